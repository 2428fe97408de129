package tokenhost

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubehaven/jujubehaven/coordination/steering"
)

// collector exports the figures of a host.
type collector struct {
	host                                 *Host
	received, decided, errors, copies    *prometheus.Desc
	repeats, silenced, flows, targetOpen *prometheus.Desc
	targetBusy, targetSilent, targetAge  *prometheus.Desc
	storeCalls, storeFailures, storeAge  *prometheus.Desc
	configVersion, rejected, ready       *prometheus.Desc
	undecodable                          *prometheus.Desc
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("jujubehaven_token_"+name, help, labels, nil)
}

func newCollector(h *Host) *collector {
	return &collector{
		host:          h,
		received:      desc("received_packets_total", "Datagrams read from the data socket."),
		undecodable:   desc("undecodable_packets_total", "Datagrams that are no packet of a caller."),
		decided:       desc("decisions_total", "Packets by what was done and why.", "action", "cause"),
		errors:        desc("send_errors_total", "Packets that the system did not send."),
		copies:        desc("repeated_openings_total", "Openings that callers repeated."),
		repeats:       desc("repeated_data_total", "Packets with data that callers repeated."),
		silenced:      desc("target_silent_total", "How often a target was found not to answer."),
		flows:         desc("flows", "Flows that this host remembers."),
		targetOpen:    desc("target_flows", "Flows at a target through this host.", "target", "service"),
		targetBusy:    desc("target_requests", "Requests in work at a target through this host.", "target", "service"),
		targetSilent:  desc("target_silent", "1 while the target is believed not to answer.", "target", "service"),
		targetAge:     desc("target_entry_age_seconds", "Age of the target's last word.", "target", "service"),
		storeCalls:    desc("store_calls_total", "Calls to the store.", "operation"),
		storeFailures: desc("store_failures_total", "Calls without a usable answer.", "kind"),
		storeAge:      desc("store_answer_age_seconds", "Age of the store's last answer."),
		configVersion: desc("config_version", "Version of the configuration in force."),
		rejected:      desc("rejected_entries", "Entries of the store that can't be read."),
		ready:         desc("ready", "1 while the host says that it is ready."),
	}
}

func (c *collector) list() []*prometheus.Desc {
	return []*prometheus.Desc{
		c.received, c.undecodable, c.decided, c.errors, c.copies, c.repeats, c.silenced, c.flows,
		c.targetOpen, c.targetBusy, c.targetSilent, c.targetAge, c.storeCalls, c.storeFailures,
		c.storeAge, c.configVersion, c.rejected, c.ready,
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range c.list() {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	s := c.host.packets.Stats()
	counter(c.received, s.Received)
	counter(c.undecodable, s.Undecodable)
	counter(c.errors, s.SendErrors)
	counter(c.copies, s.Counts.Copies)
	counter(c.repeats, s.Counts.Repeats)
	counter(c.silenced, s.Counts.Silenced)
	gauge(c.flows, float64(s.Flows))
	for cause := range steering.CauseCount {
		counter(c.decided, s.Counts.Forwarded[cause], "forward", cause.String())
		counter(c.decided, s.Counts.Dropped[cause], "drop", cause.String())
		counter(c.decided, s.Counts.Resets[cause], "reset", cause.String())
	}
	for _, t := range s.Targets {
		key := string(t.Key)
		gauge(c.targetOpen, float64(t.Open), key, t.Service)
		gauge(c.targetBusy, float64(t.Busy), key, t.Service)
		gauge(c.targetSilent, boolValue(t.Silent), key, t.Service)
		gauge(c.targetAge, t.SaidAge.Seconds(), key, t.Service)
	}
	c.collectStore(gauge, counter)
	gauge(c.ready, boolValue(c.host.ready() == nil))
}

func (c *collector) collectStore(gauge func(*prometheus.Desc, float64, ...string), counter func(*prometheus.Desc, uint64, ...string)) {
	f := c.host.follower.Stats()
	for op, n := range f.Calls {
		counter(c.storeCalls, n, string(op))
	}
	for kind, n := range f.Failures {
		counter(c.storeFailures, n, kind.String())
	}
	gauge(c.storeAge, (c.host.clock() - f.Answered).Seconds())
	gauge(c.configVersion, float64(f.ConfigVersion))
	gauge(c.rejected, float64(f.Rejected))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
