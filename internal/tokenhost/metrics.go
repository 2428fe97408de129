package tokenhost

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/internal/buildinfo"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// metricPrefix is the name prefix of all metrics of a host that steers by token.
const metricPrefix = "jujubehaven_token_"

// maxTargetSeries limits the targets with time series of their own to the silent
// ones and those with the most flows through this host.
const maxTargetSeries = 200

// collector exports the metrics of a host.
type collector struct {
	host      *Host
	buildInfo buildinfo.Info

	build                                                         *prometheus.Desc
	received, undecodable, decisions, sendErrors                  *prometheus.Desc
	waited                                                        *prometheus.Desc
	repeatedOpenings, repeatedData, silenced, flows               *prometheus.Desc
	rejectedOpenings                                              *prometheus.Desc
	targetFlows, targetRequests, targetSilent                     *prometheus.Desc
	unreachableZones, zoneSpareSlots, zoneShareAway               *prometheus.Desc
	serviceTime, slowTargets                                      *prometheus.Desc
	storeCalls, storeFailures, viewAge, readAge                   *prometheus.Desc
	storeEpoch, storeRestores, keptEntries, storeLag, completeAge *prometheus.Desc
	feeds, configVersion, rejectedEntries, ready                  *prometheus.Desc
	gossipSent, gossipSentBytes, gossipReceived                   *prometheus.Desc
	zoneHosts, readsStore, linesLeftOut, linesDropped             *prometheus.Desc
	heldSlots, borrowedOpenings, allotmentAge                     *prometheus.Desc
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+name, help, labels, nil)
}

func newCollector(h *Host) *collector {
	return &collector{
		host:             h,
		buildInfo:        buildinfo.Read(),
		build:            newDesc("build_info", "1, with the build that runs and the version of the messages that it exchanges.", "version", "commit", "messages"),
		received:         newDesc("received_packets_total", "Datagrams read from the data socket."),
		waited:           newDesc("waited_packets_total", "Packets that waited for the host's first view."),
		undecodable:      newDesc("undecodable_packets_total", "Datagrams that are no packet of a caller."),
		decisions:        newDesc("decisions_total", "Packets by what was done and why.", "action", "cause"),
		sendErrors:       newDesc("send_errors_total", "Packets that the system did not send."),
		repeatedOpenings: newDesc("repeated_openings_total", "Openings that callers repeated."),
		rejectedOpenings: newDesc("openings_rejected_total", "Openings that got no target, by the priority of their route and cause.", "priority", "cause"),
		repeatedData:     newDesc("repeated_data_total", "Packets with data that callers repeated."),
		silenced:         newDesc("target_silenced_total", "How often a target was found not to answer."),
		flows:            newDesc("flows", "Flows that this host remembers."),
		targetFlows:      newDesc("target_flows", "Flows at a target through this host.", "target", "service"),
		targetRequests:   newDesc("target_requests", "Requests in work at a target through this host.", "target", "service"),
		targetSilent:     newDesc("target_silent", "1 while the target is believed not to answer.", "target", "service"),
		unreachableZones: newDesc("unreachable_zones", "Zones whose targets this host does not reach."),
		serviceTime:      newDesc("service_time_seconds", "Mean service time of requests without the wait in queues.", "service"),
		slowTargets:      newDesc("slow_targets", "Targets that serve requests slower than others."),
		zoneSpareSlots:   newDesc("zone_spare_slots", "Requests of a service that a zone can take: all for this host's zone, what it offers to that for another one.", "zone", "service"),
		zoneShareAway:    newDesc("zone_share_away", "Share of a service's new flows that this host sends to another zone.", "zone", "service"),
		storeCalls:       newDesc("store_calls_total", "Calls to the store by operation and reason.", "operation", "reason"),
		storeFailures:    newDesc("store_failures_total", "Calls without a usable answer.", "kind"),
		viewAge:          newDesc("view_age_seconds", "Time since the store or a feed told this host anything."),
		readAge:          newDesc("read_age_seconds", "Time since the store last answered a call of this host, -1 if it never did."),
		storeLag:         newDesc("store_lag_revisions", "Revisions of the store that this host knows to exist and has not read."),
		completeAge:      newDesc("complete_age_seconds", "Age of the time up to which this host has read everything that was written."),
		storeEpoch:       newDesc("store_epoch", "Epoch of the store, 0 if it reports none."),
		storeRestores:    newDesc("store_restores_total", "Returns of the store from an older copy."),
		keptEntries:      newDesc("kept_entries_total", "Entries of a copy of the store that did not override what this host knew."),
		feeds:            newDesc("feeds_total", "Feeds of the zone's reader that were applied."),
		configVersion:    newDesc("config_version", "Version of the configuration in force."),
		rejectedEntries:  newDesc("rejected_entries", "Entries of the store that can't be read."),
		ready:            newDesc("ready", "1 while the host says that it is ready."),
		gossipSent:       newDesc("gossip_sent_total", "Datagrams sent to other hosts."),
		gossipSentBytes:  newDesc("gossip_sent_bytes_total", "Bytes of datagrams sent to other hosts."),
		gossipReceived:   newDesc("gossip_received_total", "Datagrams of other hosts by result.", "result"),
		zoneHosts:        newDesc("zone_hosts", "Live hosts of the availability zone, this one included."),
		readsStore:       newDesc("reads_store", "1 while this host reads the store for its zone."),
		heldSlots:        newDesc("held_slots", "Slots of targets that are allotted to this host.", "service"),
		borrowedOpenings: newDesc("borrowed_openings_total", "Openings that used slots allotted to other hosts.", "service"),
		allotmentAge:     newDesc("allotment_age_seconds", "Time since the table of allotted slots in force arrived, -1 if none is in force."),
		linesLeftOut:     newDesc("log_lines_left_out_total", "Lines about packets beyond the bound of lines a second."),
		linesDropped:     newDesc("log_lines_dropped_total", "Lines that the reader of the log did not take in time."),
	}
}

func (c *collector) descs() []*prometheus.Desc {
	return []*prometheus.Desc{
		c.build, c.received, c.waited, c.undecodable, c.decisions, c.sendErrors, c.repeatedOpenings, c.repeatedData, c.silenced, c.flows,
		c.targetFlows, c.targetRequests, c.targetSilent, c.unreachableZones, c.zoneSpareSlots, c.zoneShareAway, c.storeCalls, c.storeFailures, c.viewAge, c.readAge, c.storeLag, c.completeAge, c.feeds,
		c.storeEpoch, c.storeRestores, c.keptEntries, c.serviceTime, c.slowTargets, c.rejectedOpenings,
		c.configVersion, c.rejectedEntries, c.ready, c.gossipSent, c.gossipSentBytes, c.gossipReceived, c.zoneHosts,
		c.readsStore, c.linesLeftOut, c.linesDropped, c.heldSlots, c.borrowedOpenings, c.allotmentAge,
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range c.descs() {
		ch <- d
	}
}

// metricWriter sends single values to a collector's channel.
type metricWriter struct{ ch chan<- prometheus.Metric }

func (w metricWriter) gauge(d *prometheus.Desc, v float64, labels ...string) {
	w.ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (w metricWriter) counter(d *prometheus.Desc, v uint64, labels ...string) {
	w.ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	out := metricWriter{ch}
	out.gauge(c.build, 1, c.buildInfo.Version, c.buildInfo.Commit, strconv.Itoa(gossip.Protocol))
	c.collectPackets(out)
	c.collectCapacity(out)
	c.collectStore(out)
	c.collectExchange(out)
	out.gauge(c.ready, boolValue(c.host.ready() == nil))
	out.counter(c.linesLeftOut, c.host.decisions.leftOut.Load())
	if c.host.linesDropped != nil {
		out.counter(c.linesDropped, uint64(c.host.linesDropped()))
	}
}

func (c *collector) collectPackets(out metricWriter) {
	s := c.host.packets.Stats()
	out.counter(c.received, s.Received)
	out.counter(c.waited, s.Waited)
	out.counter(c.undecodable, s.Undecodable)
	out.counter(c.sendErrors, s.SendErrors)
	out.counter(c.repeatedOpenings, s.Counts.RepeatedOpenings)
	out.counter(c.repeatedData, s.Counts.RepeatedData)
	out.counter(c.silenced, s.Counts.Silenced)
	out.gauge(c.flows, float64(s.Flows))
	out.gauge(c.unreachableZones, float64(len(s.UnreachableZones)))
	out.gauge(c.slowTargets, float64(s.SlowTargets))
	for _, t := range s.ServiceTimes {
		out.gauge(c.serviceTime, t.Mean.Seconds(), t.Service)
	}
	for cause := range steering.CauseCount {
		out.counter(c.decisions, s.Counts.Forwarded[cause], "forward", cause.String())
		out.counter(c.decisions, s.Counts.Dropped[cause], "drop", cause.String())
		out.counter(c.decisions, s.Counts.Resets[cause], "reset", cause.String())
		for priority := range s.Counts.RejectedOpenings {
			if n := s.Counts.RejectedOpenings[priority][cause]; n > 0 {
				out.counter(c.rejectedOpenings, n, strconv.Itoa(priority), cause.String())
			}
		}
	}
	c.collectAllotment(out, &s.Allotment)
	for _, t := range selectTargets(s.Targets) {
		key := string(t.Key)
		out.gauge(c.targetFlows, float64(t.Open), key, t.Service)
		out.gauge(c.targetRequests, float64(t.Busy), key, t.Service)
		out.gauge(c.targetSilent, boolValue(t.Silent), key, t.Service)
	}
}

// collectAllotment exports the allotment of slots.
func (c *collector) collectAllotment(out metricWriter, a *steering.AllotmentStats) {
	for service, n := range a.Held {
		out.gauge(c.heldSlots, float64(n), service)
	}
	for service, n := range a.Borrowed {
		out.counter(c.borrowedOpenings, n, service)
	}
	age := -1.0
	if a.InForce {
		age = a.Age.Seconds()
	}
	out.gauge(c.allotmentAge, age)
}

// selectTargets returns the targets that get time series of their own.
func selectTargets(all []steering.TargetStats) []steering.TargetStats {
	list := slices.Clone(all)
	slices.SortFunc(list, func(a, b steering.TargetStats) int {
		return cmp.Or(cmp.Compare(boolValue(b.Silent), boolValue(a.Silent)), cmp.Compare(b.Open, a.Open), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(len(list), maxTargetSeries)]
}

func (c *collector) collectStore(out metricWriter) {
	f := c.host.follower.Stats()
	for call, n := range f.Calls {
		out.counter(c.storeCalls, n, string(call.Op), string(call.Reason))
	}
	for kind, n := range f.Failures {
		out.counter(c.storeFailures, n, kind.String())
	}
	out.gauge(c.viewAge, (c.host.clock() - f.LastUpdate).Seconds())
	readAge := -1.0
	if _, at, ok := c.host.follower.LastRead(); ok {
		readAge = (c.host.clock() - at).Seconds()
	}
	out.gauge(c.readAge, readAge)
	out.gauge(c.storeLag, float64(f.LagRevisions))
	out.gauge(c.completeAge, (c.host.clock() - f.CompleteTo).Seconds())
	out.gauge(c.storeEpoch, float64(f.Epoch))
	out.counter(c.storeRestores, f.Restores)
	out.counter(c.keptEntries, f.Kept)
	out.counter(c.feeds, f.Feeds)
	out.gauge(c.configVersion, float64(f.ConfigVersion))
	out.gauge(c.rejectedEntries, float64(f.Rejected))
}

func (c *collector) collectExchange(out metricWriter) {
	if c.host.exchange == nil {
		return
	}
	s := c.host.exchange.Stats()
	out.counter(c.gossipSent, s.Sent)
	out.counter(c.gossipSentBytes, s.SentBytes)
	out.counter(c.gossipReceived, s.Received, "taken")
	out.counter(c.gossipReceived, s.Rejected, "rejected")
	out.gauge(c.zoneHosts, float64(s.Hosts))
	out.gauge(c.readsStore, boolValue(s.ReadsStore))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
