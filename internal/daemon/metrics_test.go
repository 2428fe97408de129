package daemon

import (
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/internal/settings"
)

const (
	metricsPage = "../../docs/operators/metrics.md"
	alarmsPage  = "../../docs/operators/alarms.md"
	// metricPrefix is the name prefix of the project's metrics.
	metricPrefix = "jujubehaven_"
)

// newTestDaemon returns a daemon on a random loopback address; it is not run.
func newTestDaemon(t *testing.T) *Daemon {
	t.Helper()
	is := is.New(t)
	addr := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(250), rand.N(250), 1+rand.N(250))
	values := map[string]string{
		"host": "h1", "zone": "z1", "data": addr + ":6080", "control": addr + ":6081", "admin": addr + ":6082",
		"fabric-return": addr + ":6083", "fabric-sources": "127.0.0.0/8", "peers-sources": "127.0.0.0/8",
		"plaintext": "true", "peers-seeds": addr + ":6084",
	}
	loaded, err := settings.Load(settings.Source{LookupFlag: func(name string) (string, bool) {
		v, ok := values[name]
		return v, ok
	}})
	is.NoErr(err)
	d, err := New(loaded, zerolog.Nop())
	is.NoErr(err)
	t.Cleanup(d.Close)
	return d
}

// registeredMetrics returns the project's metrics that a host registers, as
// name{label,label}.
func registeredMetrics(t *testing.T) []string {
	form := regexp.MustCompile(`fqName: "([^"]*)".*variableLabels: \{([^}]*)\}`)
	descs := make(chan *prometheus.Desc, 1000)
	newTestDaemon(t).registry.Describe(descs)
	close(descs)
	var list []string
	for d := range descs {
		m := form.FindStringSubmatch(d.String())
		if strings.HasPrefix(m[1], metricPrefix) {
			list = append(list, withLabels(m[1], strings.Split(m[2], ",")))
		}
	}
	sort.Strings(list)
	return list
}

func withLabels(name string, labels []string) string {
	sort.Strings(labels)
	return name + "{" + strings.Join(labels, ",") + "}"
}

// The operators' page must list exactly the exported metrics with their labels.
func TestMetricsPageAgrees(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(metricsPage)
	is.NoErr(err)
	var listed []string
	row := regexp.MustCompile("(?m)^\\| `(jujubehaven_[a-z_]+)` \\|([^|]*)\\|")
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		listed = append(listed, withLabels(m[1], strings.Split(strings.Trim(m[2], "` "), ", ")))
	}
	sort.Strings(listed)
	is.Equal(cmp.Diff(registeredMetrics(t), listed), "")
}

// Collecting all registered metrics must not find inconsistent or duplicate
// series.
func TestMetricsAreCollected(t *testing.T) {
	is := is.New(t)
	_, err := newTestDaemon(t).registry.Gather()
	is.NoErr(err)
}

// Each metric name in the operators' pages must be exported.
func TestPagesNameOnlyExportedMetrics(t *testing.T) {
	is := is.New(t)
	known := make(map[string]bool)
	name := regexp.MustCompile(`jujubehaven_[a-z_]+`)
	for _, d := range registeredMetrics(t) {
		known[name.FindString(d)] = true
	}
	for _, file := range []string{metricsPage, alarmsPage} {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		for _, found := range name.FindAllString(string(text), -1) {
			if !known[found] {
				t.Errorf("%s: %s is not exported", file, found)
			}
		}
	}
}
