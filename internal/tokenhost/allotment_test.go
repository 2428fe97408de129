package tokenhost

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/jujubehaven/jujubehaven/coordination/steering"
)

// allotmentCollector exports the allotment of a host only.
type allotmentCollector struct {
	*collector
	stats steering.AllotmentStats
}

func (c allotmentCollector) Collect(ch chan<- prometheus.Metric) {
	c.collectAllotment(metricWriter{ch}, &c.stats)
}

// Guards against metrics of the allotment that are missing or that show an age while
// no table is in force.
func TestAllotmentMetrics(t *testing.T) {
	c := allotmentCollector{newCollector(nil), steering.AllotmentStats{
		InForce: true, Age: 300 * time.Millisecond, Held: map[string]int{"book": 4}, Borrowed: map[string]uint64{"book": 7},
	}}
	is := is.New(t)
	is.NoErr(testutil.CollectAndCompare(c, strings.NewReader(`
# HELP jujubehaven_token_allotment_age_seconds Time since the table of allotted slots in force arrived, -1 if none is in force.
# TYPE jujubehaven_token_allotment_age_seconds gauge
jujubehaven_token_allotment_age_seconds 0.3
# HELP jujubehaven_token_borrowed_openings_total Openings that used slots allotted to other hosts.
# TYPE jujubehaven_token_borrowed_openings_total counter
jujubehaven_token_borrowed_openings_total{service="book"} 7
# HELP jujubehaven_token_held_slots Slots of targets that are allotted to this host.
# TYPE jujubehaven_token_held_slots gauge
jujubehaven_token_held_slots{service="book"} 4
`)))
	c.stats = steering.AllotmentStats{}
	is.NoErr(testutil.CollectAndCompare(c, strings.NewReader(`
# HELP jujubehaven_token_allotment_age_seconds Time since the table of allotted slots in force arrived, -1 if none is in force.
# TYPE jujubehaven_token_allotment_age_seconds gauge
jujubehaven_token_allotment_age_seconds -1
`)))
}
