package reportcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"image/png"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/report"
	"github.com/jujubehaven/jujubehaven/state/slo"
	"github.com/jujubehaven/jujubehaven/transport/burn"
)

var plotFile = flag.String("plot", "", "write the plot of TestPlotIsValidPNG to this PNG file")

const seen = 2 * time.Hour

// balancer serves the counts of one host at which the given number of 100,000
// recent flows were broken.
func balancer(t *testing.T, host string, broken uint64) string {
	store := slo.New(0)
	objectives := document.Objectives{Window: 720 * time.Hour, FlowsNotBroken: 0.999, NewFlowsServed: 0.999}
	s := store.Service("orders", objectives)
	store.Service("archive", objectives)
	for now := time.Duration(0); now < seen; now += 10 * time.Second {
		store.Advance(now)
	}
	s.Count(slo.FlowsNotBroken, 100_000-broken, broken)
	s.Count(slo.NewFlowsServed, 1000, 0)
	clock := func() time.Duration { return seen }
	server := httptest.NewServer(burn.Handler(burn.Config{Store: store, Host: host, Zone: "z1", Clock: clock}))
	t.Cleanup(server.Close)
	return server.URL
}

// run runs "report burn" and returns its output and exit code.
func run(args ...string) (string, int) {
	var out bytes.Buffer
	root := &cli.Command{
		Name: "jujubehaven", Commands: Commands(), Writer: &out, ErrWriter: &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(context.Background(), append([]string{"jujubehaven", "report", "burn"}, args...))
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return out.String() + exit.Error(), exit.ExitCode()
	}
	if err != nil {
		return out.String() + err.Error(), -1
	}
	return out.String(), 0
}

func TestExitCodes(t *testing.T) {
	fine, burning := balancer(t, "h1", 0), balancer(t, "h2", 5000)
	refusing := httptest.NewServer(http.NotFoundHandler())
	refusing.Close()
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"version":99}`))
	}))
	t.Cleanup(other.Close)
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"fine", []string{"--balancer", fine}, ExitOK, "0 are missing"},
		{"page", []string{"--balancer", fine, "--balancer", burning}, ExitPage, "page"},
		{"one missing", []string{"--balancer", fine, "--balancer", refusing.URL}, ExitMissing, "missing: " + refusing.URL},
		{"nobody", []string{"--balancer", refusing.URL}, ExitFailed, "no balancer answered"},
		{"other version", []string{"--balancer", other.URL}, ExitFailed, "answered version 99"},
		{"same host twice", []string{"--balancer", fine, "--balancer", balancer(t, "h1", 0)}, ExitMissing, "counted once"},
		{"no balancer", nil, ExitUsage, "--balancer is missing"},
		{"same URL twice", []string{"--balancer", fine, "--balancer", fine + "/"}, ExitUsage, "given twice"},
		{"not a URL", []string{"--balancer", "h1:9100"}, ExitUsage, "--balancer"},
		{"output", []string{"--balancer", fine, "--output", "xml"}, ExitUsage, "table, json or html"},
		{"argument", []string{"--balancer", fine, "h1"}, ExitUsage, "unexpected argument"},
		{"file", []string{"--balancer", fine, "--file", "/dev/null/x"}, ExitFailed, "create report"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			out, code := run(tt.args...)
			t.Log(out)
			is.Equal(code, tt.code)
			is.True(strings.Contains(out, tt.want))
		})
	}
}

func TestUnknownReport(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	root := &cli.Command{
		Commands: Commands(), Writer: &out, ErrWriter: &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	var exit cli.ExitCoder
	is.True(errors.As(root.Run(context.Background(), []string{"jujubehaven", "report", "nosuch"}), &exit))
	is.Equal(exit.ExitCode(), ExitUsage)
}

func TestMissingCoverageIsShown(t *testing.T) {
	is := is.New(t)
	out, _ := run("--balancer", balancer(t, "h1", 0))
	is.True(strings.Contains(out, "0 (33.33%)")) // 2 of 6 hours
	is.True(strings.Contains(out, "What a replaced or paused balancer counted before is in no figure."))
}

func TestJSON(t *testing.T) {
	is := is.New(t)
	out, code := run("--balancer", balancer(t, "h1", 5000), "--output", "json")
	is.Equal(code, ExitPage)
	var got report.Burn
	is.NoErr(json.Unmarshal([]byte(out), &got))
	is.Equal(got.Services[1].Objectives[0].Rates[0].Count, report.Count{Good: 95_000, Bad: 5000})
}

func TestHTMLIsSelfContained(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "burn.html")
	out, code := run("--balancer", balancer(t, "h1", 5000), "--output", "html", "--file", file)
	is.Equal(code, ExitPage)
	is.Equal(out, "")
	text, err := os.ReadFile(file)
	is.NoErr(err)
	html := string(text)
	is.Equal(strings.Count(html, "<svg"), 2)
	for _, link := range []string{"href=", "src=", "@import", "url(", "<script"} {
		is.True(!strings.Contains(html, link))
	}
	is.True(strings.Contains(html, "orders"))
}

func TestHTMLEscapesBalancerData(t *testing.T) {
	is := is.New(t)
	bad := report.Balancer{Host: "<script>h", SeenSeconds: 1, Services: []report.Service{{Name: "<script>s"}}}
	burn := report.Merge([]report.Balancer{bad}, []report.Missing{{Balancer: "x", Reason: "<script>m"}})
	var out bytes.Buffer
	is.NoErr(writeHTML(&out, &burn))
	is.True(!strings.Contains(out.String(), "<script"))
}

func TestPlotIsValidPNG(t *testing.T) {
	is := is.New(t)
	var services []report.Service
	for i, name := range []string{"orders", "status", "archive"} {
		s := report.Service{Name: name, Objectives: report.Objectives{WindowSeconds: 720 * 3600, FlowsNotBroken: 0.999}}
		for j, w := range report.AlertWindows {
			bad := uint64(30 * (i + 1) * (5 - j))
			s.Windows = append(s.Windows, report.Window{
				Seconds: w.Seconds(), CoveredSeconds: w.Seconds(),
				FlowsNotBroken: report.Count{Good: 20_000 - bad, Bad: bad},
			})
		}
		services = append(services, s)
	}
	burn := report.Merge([]report.Balancer{{Host: "h1", SeenSeconds: 1e7, Services: services}}, nil)
	image, err := plotBurn(&burn, 0, "png")
	is.NoErr(err)
	_, err = png.Decode(bytes.NewReader(image))
	is.NoErr(err)
	if *plotFile != "" {
		is.NoErr(os.WriteFile(*plotFile, image, 0o644))
	}
}
