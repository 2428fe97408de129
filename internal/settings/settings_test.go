package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `host: a1
zone: a
data: [127.0.0.1:6080]
control: 127.0.0.1:6081
admin: 127.0.0.1:6082
fabric:
  return: [127.0.0.1:7000]
  sources: [127.0.0.0/8]
peers:
  sources: [127.0.0.0/8]
  seeds: [127.0.0.2:6081]
platform: http://127.0.0.1:8500
plaintext: true
limits:
  leave: 5s
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func lookupIn(values map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		v, ok := values[name]
		return v, ok
	}
}

func TestLoadReadsFileEnvironmentAndFlags(t *testing.T) {
	is := is.New(t)
	s, err := Load(Source{
		File:       writeSettings(t, validSettings),
		LookupEnv:  lookupIn(map[string]string{"JUJUBEHAVEN_ZONE": "b", "JUJUBEHAVEN_WORKERS": "3"}),
		LookupFlag: lookupIn(map[string]string{"workers": "4", "peers-seeds": "127.0.0.3:1, 127.0.0.4:1"}),
	})
	is.NoErr(err)
	is.Equal(s.Host, "a1")
	is.Equal(s.Zone, "b")                   // from the environment
	is.Equal(s.Workers, 4)                  // the flag comes last
	is.Equal(len(s.Peers.Seeds), 2)         // lists are split by commas
	is.Equal(s.Limits.Leave, 5*time.Second) // from the file
	is.Equal(s.Limits.ControlBudget, DefaultControlBudgetBytes)
}

func TestLoadRejects(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(validSettings, old, with, 1) }
	cases := []struct{ name, text, want string }{
		{"unknown key", validSettings + "colour: red\n", ":16: colour: unknown key"},
		{"unknown nested key", replace("  return:", "  back:"), ":7: fabric.back: unknown key"},
		{"key twice in a group", replace("  leave: 5s", "  leave: 5s\n  leave: 6s"), "leave"},
		{"bad address", replace("127.0.0.1:6080", "localhost:6080"), `:3: data: "localhost:6080" is not an IP address`},
		{"port 0", replace("127.0.0.1:6081", "127.0.0.1:0"), ":4: control: "},
		{"unspecified address", replace("127.0.0.1:6080", "0.0.0.0:6080"), ":3: data: "},
		{"prefix with host bits", replace("127.0.0.0/8", "127.0.0.1/8"), ":8: fabric.sources: "},
		{"list wanted", replace("[127.0.0.0/8]", "127.0.0.0/8"), ":8: fabric.sources: want a list"},
		{"empty list", replace("[127.0.0.0/8]", "[]"), ":8: fabric.sources: the list is empty"},
		{"value wanted", replace("zone: a", "zone: [a]"), ":2: zone: want a plain value"},
		{"null", replace("zone: a", "zone:"), ":2: zone: want a plain value"},
		{"mapping wanted", replace("limits:\n  leave: 5s", "limits: 3"), ":14: limits: want a mapping"},
		{"not a mapping", "- a\n", ":1: file: want a mapping"},
		{"empty", "", "file: is empty"},
		{"malformed", "host: [\n", "file: yaml: line"},
		{"missing", replace("zone: a\n", ""), "zone: is missing"},
		{"out of range", validSettings + "workers: 0\n", ":16: workers: 0 is out of range, want 1 to 256"},
		{"duration", replace("5s", "5"), `:15: limits.leave: "5" is not a duration`},
		{"level", validSettings + "log_level: loud\n", ":16: log_level: "},
		{"no TLS and no plaintext", replace("plaintext: true\n", ""), "tls.cert: is missing"},
		{"TLS and plaintext", validSettings + "tls: {cert: x}\n", ":16: tls.cert: is set although plaintext is true"},
		{"name", replace("host: a1", "host: A_1"), ":1: host: "},
		{"two data addresses of one version", replace("[127.0.0.1:6080]", "[127.0.0.1:6080, 127.0.0.2:6080]"), ":3: data: two"},
		{"own return address", replace("127.0.0.1:7000", "127.0.0.1:6080"), ":7: fabric.return: "},
		{"MTU", validSettings + "mtu: 500\n", ":16: mtu: 500 is out of range"},
		{"same address twice", replace("127.0.0.1:6082", "127.0.0.1:6081"), ":5: admin: "},
		{"seeds without a platform", replace("platform: http://127.0.0.1:8500\n", ""), ""},
		{"neither seeds nor platform", strings.Replace(replace("platform: http://127.0.0.1:8500\n", ""), "[127.0.0.2:6081]", "[]", 1), "platform: is missing"},
		{"URL", replace("http://127.0.0.1:8500", "127.0.0.1:8500"), ":12: platform: "},
		{"burst below budget", replace("leave: 5s", "control_burst: 1000"), ":15: limits.control_burst: "},
		{"own address not among the hosts'", replace("sources: [127.0.0.0/8]\n  seeds", "sources: [10.0.0.0/8]\n  seeds"), ":10: peers.sources: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := writeSettings(t, c.text)
			_, err := Load(Source{File: path})
			if c.want == "" {
				is.New(t).NoErr(err)
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), path) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

// Guards against a host of an older version that does not start as the file holds a
// setting of a newer one, and against typing errors that pass unnoticed elsewhere.
func TestIfKnownGroup(t *testing.T) {
	is := is.New(t)
	path := writeSettings(t, validSettings+"if_known:\n  workers: 3\n  colour: red\n  balancing:\n    admission: false\n    later: 2\n")
	s, err := Load(Source{File: path})
	is.NoErr(err)
	is.Equal(s.Workers, 3)
	is.True(!s.Balancing.Admission)
	is.Equal(s.Ignored, []Problem{
		{Where: path + ":18", Key: "colour", Reason: "unknown to this version"},
		{Where: path + ":21", Key: "balancing.later", Reason: "unknown to this version"},
	})
	for _, text := range []string{
		"if_known: 3\n", "if_known: {workers: many}\n", "workers: 2\nif_known: {workers: 3}\n", "balancing: {later: 2}\n",
	} {
		_, err := Load(Source{File: writeSettings(t, validSettings+text)})
		is.True(err != nil)
	}
}

const validTokenSettings = `steering: token
host: edge-a-1
zone: a
data: [127.0.0.1:6080]
admin: 127.0.0.1:6082
metrics: 127.0.0.1:9464
control: 127.0.0.1:7720
peers:
  seeds: [127.0.0.2:6081]
platform: http://127.0.0.1:8500
limits:
  leave: 2s
`

func TestLoadSteeringByToken(t *testing.T) {
	is := is.New(t)
	s, err := Load(Source{File: writeSettings(t, validTokenSettings)})
	is.NoErr(err)
	is.Equal(s.Steering, SteeringToken)
	is.Equal(s.Metrics.Port(), uint16(9464))
	s, err = Load(Source{File: writeSettings(t, validSettings)})
	is.NoErr(err)
	is.Equal(s.Steering, SteeringOwner)
}

func TestLoadRejectsForToken(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(validTokenSettings, old, with, 1) }
	cases := []struct{ name, text, want string }{
		{"steering", replace("token", "guess"), `:1: steering: "guess" is neither owner nor token`},
		{"no platform", replace("platform: http://127.0.0.1:8500\n", ""), "platform: is missing; steering by token"},
		{"IPv6", replace("127.0.0.1:6080", `"[::1]:6080"`), ":4: data: want one IPv4 address"},
		{"two addresses", replace("[127.0.0.1:6080]", "[127.0.0.1:6080, 127.0.0.1:6081]"), ":4: data: want one IPv4 address"},
		{"one address twice", replace("9464", "6082"), ":6: metrics: "},
		{"no admin", replace("admin: 127.0.0.1:6082\n", ""), "admin: is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load(Source{File: writeSettings(t, c.text)})
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func TestLoadReportsAllProblems(t *testing.T) {
	_, err := Load(Source{LookupEnv: lookupIn(map[string]string{"JUJUBEHAVEN_WORKERS": "x"})})
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{"environment JUJUBEHAVEN_WORKERS: workers: ", "settings: host: is missing", "settings: data: is missing"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in:\n%v", want, err)
		}
	}
}
