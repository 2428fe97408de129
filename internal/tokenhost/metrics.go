package tokenhost

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubehaven/jujubehaven/coordination/steering"
)

// metricPrefix begins the names of the metrics of a host that steers by token.
const metricPrefix = "jujubehaven_token_"

// maxTargetSeries bounds the targets that have series of their own: those with
// trouble or most flows here.
const maxTargetSeries = 200

// collector exports the figures of a host.
type collector struct {
	host *Host

	received, undecodable, decided, sendErrors *prometheus.Desc
	copies, repeats, silenced, flows           *prometheus.Desc
	targetOpen, targetBusy, targetSilent       *prometheus.Desc
	storeCalls, storeFailures, storeAge        *prometheus.Desc
	feeds, configVersion, rejected, ready      *prometheus.Desc
	gossipSent, gossipBytes, gossipReceived    *prometheus.Desc
	zoneHosts, reads, linesLeft, linesDropped  *prometheus.Desc
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+name, help, labels, nil)
}

func newCollector(h *Host) *collector {
	return &collector{
		host:           h,
		received:       desc("received_packets_total", "Datagrams read from the data socket."),
		undecodable:    desc("undecodable_packets_total", "Datagrams that are no packet of a caller."),
		decided:        desc("decisions_total", "Packets by what was done and why.", "action", "cause"),
		sendErrors:     desc("send_errors_total", "Packets that the system did not send."),
		copies:         desc("repeated_openings_total", "Openings that callers repeated."),
		repeats:        desc("repeated_data_total", "Packets with data that callers repeated."),
		silenced:       desc("target_silenced_total", "How often a target was found not to answer."),
		flows:          desc("flows", "Flows that this host remembers."),
		targetOpen:     desc("target_flows", "Flows at a target through this host.", "target", "service"),
		targetBusy:     desc("target_requests", "Requests in work at a target through this host.", "target", "service"),
		targetSilent:   desc("target_silent", "1 while the target is believed not to answer.", "target", "service"),
		storeCalls:     desc("store_calls_total", "Calls to the store.", "operation"),
		storeFailures:  desc("store_failures_total", "Calls without a usable answer.", "kind"),
		storeAge:       desc("view_age_seconds", "Time since the store or a feed told this host anything."),
		feeds:          desc("feeds_total", "Feeds of the zone's reader that were applied."),
		configVersion:  desc("config_version", "Version of the configuration in force."),
		rejected:       desc("rejected_entries", "Entries of the store that can't be read."),
		ready:          desc("ready", "1 while the host says that it is ready."),
		gossipSent:     desc("gossip_sent_total", "Datagrams sent to other hosts."),
		gossipBytes:    desc("gossip_sent_bytes_total", "Bytes of datagrams sent to other hosts."),
		gossipReceived: desc("gossip_received_total", "Datagrams of other hosts by result.", "result"),
		zoneHosts:      desc("zone_hosts", "Live hosts of the availability zone, this one included."),
		reads:          desc("reads_store", "1 while this host reads the store for its zone."),
		linesLeft:      desc("log_lines_left_out_total", "Lines about packets beyond the bound of lines a second."),
		linesDropped:   desc("log_lines_dropped_total", "Lines that the reader of the log did not take in time."),
	}
}

func (c *collector) list() []*prometheus.Desc {
	return []*prometheus.Desc{
		c.received, c.undecodable, c.decided, c.sendErrors, c.copies, c.repeats, c.silenced, c.flows,
		c.targetOpen, c.targetBusy, c.targetSilent, c.storeCalls, c.storeFailures, c.storeAge, c.feeds,
		c.configVersion, c.rejected, c.ready, c.gossipSent, c.gossipBytes, c.gossipReceived, c.zoneHosts,
		c.reads, c.linesLeft, c.linesDropped,
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range c.list() {
		ch <- d
	}
}

// sink takes single values.
type sink struct{ ch chan<- prometheus.Metric }

func (s sink) gauge(d *prometheus.Desc, v float64, labels ...string) {
	s.ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (s sink) counter(d *prometheus.Desc, v uint64, labels ...string) {
	s.ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	out := sink{ch}
	c.collectPackets(out)
	c.collectStore(out)
	c.collectExchange(out)
	out.gauge(c.ready, boolValue(c.host.ready() == nil))
	out.counter(c.linesLeft, c.host.journal.leftOut.Load())
	if c.host.dropped != nil {
		out.counter(c.linesDropped, uint64(c.host.dropped()))
	}
}

func (c *collector) collectPackets(out sink) {
	s := c.host.packets.Stats()
	out.counter(c.received, s.Received)
	out.counter(c.undecodable, s.Undecodable)
	out.counter(c.sendErrors, s.SendErrors)
	out.counter(c.copies, s.Counts.RepeatedOpenings)
	out.counter(c.repeats, s.Counts.RepeatedData)
	out.counter(c.silenced, s.Counts.Silenced)
	out.gauge(c.flows, float64(s.Flows))
	for cause := range steering.CauseCount {
		out.counter(c.decided, s.Counts.Forwarded[cause], "forward", cause.String())
		out.counter(c.decided, s.Counts.Dropped[cause], "drop", cause.String())
		out.counter(c.decided, s.Counts.Resets[cause], "reset", cause.String())
	}
	for _, t := range worthSeries(s.Targets) {
		key := string(t.Key)
		out.gauge(c.targetOpen, float64(t.Open), key, t.Service)
		out.gauge(c.targetBusy, float64(t.Busy), key, t.Service)
		out.gauge(c.targetSilent, float64(t.Silent), key, t.Service)
	}
}

// worthSeries picks the targets that get series of their own.
func worthSeries(all []steering.TargetStats) []steering.TargetStats {
	list := slices.Clone(all)
	slices.SortFunc(list, func(a, b steering.TargetStats) int {
		return cmp.Or(cmp.Compare(b.Silent, a.Silent), cmp.Compare(b.Open, a.Open), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(len(list), maxTargetSeries)]
}

func (c *collector) collectStore(out sink) {
	f := c.host.follower.Stats()
	for op, n := range f.Calls {
		out.counter(c.storeCalls, n, string(op))
	}
	for kind, n := range f.Failures {
		out.counter(c.storeFailures, n, kind.String())
	}
	out.gauge(c.storeAge, (c.host.clock() - f.LastUpdate).Seconds())
	out.counter(c.feeds, f.Feeds)
	out.gauge(c.configVersion, float64(f.ConfigVersion))
	out.gauge(c.rejected, float64(f.Rejected))
}

func (c *collector) collectExchange(out sink) {
	if c.host.exchange == nil {
		return
	}
	s := c.host.exchange.Stats()
	out.counter(c.gossipSent, s.Sent)
	out.counter(c.gossipBytes, s.SentBytes)
	out.counter(c.gossipReceived, s.Received, "taken")
	out.counter(c.gossipReceived, s.Rejected, "rejected")
	out.gauge(c.zoneHosts, float64(s.Hosts))
	out.gauge(c.reads, boolValue(s.ReadsStore))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
