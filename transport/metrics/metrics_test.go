package metrics_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/transport/metrics"
)

// fixedStats is a Source that returns constant statistics.
type fixedStats balancer.Stats

func (s fixedStats) Stats(time.Duration) balancer.Stats { return balancer.Stats(s) }

// completeStats returns statistics with a value of each kind.
func completeStats() fixedStats {
	s := fixedStats{Forwarded: 7, Services: []balancer.ServiceStats{{Name: "orders", Placed: 3, Ended: 2}}}
	s.Drops[balancer.DropHopLimit] = 4
	s.Verdicts[verdict.MayHaveRun][verdict.CauseSilent] = 5
	s.Services[0].Broken[verdict.CauseLostState] = 6
	s.Services[0].Refused[verdict.CauseNoCapacity] = 8
	s.Targets = []balancer.TargetStats{
		{Service: "orders", Name: "a", Zone: "z1", Flows: 30, Warm: 1, Accepting: true, Limit: document.Limits{Connections: 2000}},
		{Service: "orders", Name: "b", Zone: "z1", Flows: 10, Warm: 1, Accepting: true},
		{Service: "orders", Name: "cold", Zone: "z1", Flows: 900, Warm: 0.5, Accepting: true},
		{Service: "orders", Name: "draining", Zone: "z1", Flows: 900, Warm: 1},
	}
	return s
}

func collector(s fixedStats) *metrics.Collector {
	return metrics.New(metrics.Config{
		Source:    s,
		Clock:     func() time.Duration { return 0 },
		Documents: func() []metrics.Generation { return []metrics.Generation{{Document: "zones", Generation: 9}} },
	})
}

func TestExportedValues(t *testing.T) {
	is := is.New(t)
	want := `
# HELP jujubehaven_document_generation Generation of the document in force.
# TYPE jujubehaven_document_generation gauge
jujubehaven_document_generation{document="zones"} 9
# HELP jujubehaven_service_flows_broken_total Flows that the load balancer gave up.
# TYPE jujubehaven_service_flows_broken_total counter
jujubehaven_service_flows_broken_total{cause="lost-state",service="orders"} 6
# HELP jujubehaven_service_imbalance_ratio Highest over mean flows of the warm targets owned here.
# TYPE jujubehaven_service_imbalance_ratio gauge
jujubehaven_service_imbalance_ratio{service="orders"} 1.5
# HELP jujubehaven_service_openings_refused_total New flows refused.
# TYPE jujubehaven_service_openings_refused_total counter
jujubehaven_service_openings_refused_total{cause="no-capacity",service="orders"} 8
# HELP jujubehaven_verdicts_total Flows refused or given up.
# TYPE jujubehaven_verdicts_total counter
jujubehaven_verdicts_total{cause="silent",run="may-have-run"} 5
`
	is.NoErr(testutil.CollectAndCompare(collector(completeStats()), strings.NewReader(want),
		"jujubehaven_document_generation",
		"jujubehaven_service_flows_broken_total", "jujubehaven_service_imbalance_ratio",
		"jujubehaven_service_openings_refused_total", "jujubehaven_verdicts_total"))
}

func TestDropsOfAllCausesAreExported(t *testing.T) {
	is := is.New(t)
	n := testutil.CollectAndCount(collector(completeStats()), "jujubehaven_packets_dropped_total")
	is.Equal(n, int(balancer.DropCauseCount))
	for cause := range balancer.DropCauseCount {
		is.True(cause.String() != "unknown")
	}
}

func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	s := completeStats()
	s.Targets = make([]balancer.TargetStats, 4400)
	for i := range s.Targets {
		s.Targets[i] = balancer.TargetStats{Service: "s", Name: string(rune('a' + i))}
	}
	c := collector(s)
	is.Equal(testutil.CollectAndCount(c, "jujubehaven_target_flows"), metrics.MaxTargets)
	is.Equal(testutil.CollectAndCount(c, "jujubehaven_target_limit"), 3*metrics.MaxTargets)
	is.NoErr(testutil.CollectAndCompare(c, strings.NewReader(`
# HELP jujubehaven_targets_omitted Targets owned here beyond the bound on exported ones.
# TYPE jujubehaven_targets_omitted gauge
jujubehaven_targets_omitted 3400
`), "jujubehaven_targets_omitted"))
}

func TestMetricsPassTheLinter(t *testing.T) {
	is := is.New(t)
	problems, err := testutil.CollectAndLint(collector(completeStats()))
	is.NoErr(err)
	is.Equal(len(problems), 0)
}
