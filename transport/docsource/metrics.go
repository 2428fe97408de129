package docsource

import (
	"github.com/jujubehaven/jujubehaven/coordination/documents"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the counters of a Source. It implements prometheus.Collector.
type Metrics struct {
	offered           *prometheus.CounterVec
	calls             *prometheus.CounterVec
	fetches           *prometheus.CounterVec
	historyLost       prometheus.Counter
	rejectedHostLists prometheus.Counter
	inForce           prometheus.Gauge
}

// NewMetrics returns unregistered metrics.
func NewMetrics() *Metrics {
	return &Metrics{
		offered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubehaven_documents_offered_total",
			Help: "Documents offered by the store and by peers, by outcome.",
		}, []string{"outcome"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubehaven_store_calls_total",
			Help: "Calls to the platform's store, by operation and result.",
		}, []string{"op", "result"}),
		fetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jujubehaven_documents_fetches_total",
			Help: "Times that a peer was asked for documents, by result.",
		}, []string{"result"}),
		historyLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubehaven_store_history_lost_total",
			Help: "Returns of the store from an older copy, by which its index went back.",
		}),
		rejectedHostLists: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jujubehaven_host_lists_rejected_total",
			Help: "Lists of hosts from the platform that were not valid.",
		}),
		inForce: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "jujubehaven_documents_in_force",
			Help: "Documents in force on this host.",
		}),
	}
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range m.collectors() {
		c.Describe(ch)
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	for _, c := range m.collectors() {
		c.Collect(ch)
	}
}

func (m *Metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.offered, m.calls, m.fetches, m.historyLost, m.rejectedHostLists, m.inForce}
}

func (m *Metrics) countCall(op store.Op, err error) {
	m.calls.WithLabelValues(string(op), resultLabel(err)).Inc()
}

// countOffered adds the difference between two snapshots of the set's totals.
func (m *Metrics) countOffered(before, after documents.Stats) {
	for o := documents.Outcome(0); o < documents.OutcomeCount; o++ {
		m.offered.WithLabelValues(o.String()).Add(float64(after.Texts[o] - before.Texts[o]))
	}
}
