package metrics

import "github.com/prometheus/client_golang/prometheus"

// namespace is the prefix of all metric names.
const namespace = "jujubehaven"

// Label names of the metrics.
const (
	labelCause    = "cause"
	labelRun      = "run"
	labelService  = "service"
	labelTarget   = "target"
	labelZone     = "zone"
	labelLimit    = "limit"
	labelDocument = "document"
)

// family is the description and the type of one metric.
type family struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
}

func counter(name, help string, labels ...string) family {
	return newFamily(prometheus.CounterValue, name, help, labels)
}

func gauge(name, help string, labels ...string) family {
	return newFamily(prometheus.GaugeValue, name, help, labels)
}

func newFamily(kind prometheus.ValueType, name, help string, labels []string) family {
	full := prometheus.BuildFQName(namespace, "", name)
	return family{desc: prometheus.NewDesc(full, help, labels, nil), kind: kind}
}

// families holds all metrics of a balancer.
type families struct {
	forwarded, relayed, drops, verdicts                family
	placed, placedElsewhere, handedOver                family
	adopted, concluded, told, toldBytes                family
	heartbeats, rejoined                               family
	flows, replicas, serving, view                     family
	servicePlaced, serviceEnded                        family
	serviceBroken, serviceRefused, imbalance           family
	targetFlows, targetInFlight, targetWarm            family
	targetLimit, targetAccepting, targetSlots, omitted family
	generation                                         family
}

func newFamilies() families {
	return families{
		forwarded:       counter("packets_forwarded_total", "Packets sent to targets."),
		relayed:         counter("packets_relayed_total", "Packets sent on to another host."),
		drops:           counter("packets_dropped_total", "Packets dropped without an answer.", labelCause),
		verdicts:        counter("verdicts_total", "Flows refused or given up.", labelRun, labelCause),
		placed:          counter("flows_placed_total", "New flows placed at a target owned here."),
		placedElsewhere: counter("flows_placed_elsewhere_total", "New flows not placed at the first target of their order."),
		handedOver:      counter("flows_handed_over_total", "Flows passed to the new owner of their target."),
		adopted:         counter("flows_adopted_total", "Flows taken over from another host."),
		concluded:       counter("flows_concluded_total", "Flows taken over whose target was worked out."),
		told:            counter("flows_told_total", "Flow hashes sent to successors."),
		toldBytes:       counter("flows_told_bytes_total", "Bytes of flow hashes sent to successors."),
		heartbeats:      counter("heartbeats_sent_total", "Heartbeats sent."),
		rejoined:        counter("rejoins_total", "Pauses of the process after which it started anew."),
		flows:           gauge("flows", "Flows in the table."),
		replicas:        gauge("replicas", "Flows of other owners that this host was told of."),
		serving:         gauge("hosts_serving", "Hosts that may own targets, as this host sees it."),
		view:            gauge("view_digest", "Digest of hosts and documents; equal on hosts that decide alike."),
		servicePlaced:   counter("service_flows_placed_total", "New flows placed at a target owned here.", labelService),
		serviceEnded:    counter("service_flows_ended_total", "Flows that one of their ends closed.", labelService),
		serviceBroken:   counter("service_flows_broken_total", "Flows that the load balancer gave up.", labelService, labelCause),
		serviceRefused:  counter("service_openings_refused_total", "New flows refused.", labelService, labelCause),
		imbalance:       gauge("service_imbalance_ratio", "Highest over mean flows of the warm targets owned here.", labelService),
		targetFlows:     gauge("target_flows", "Flows at a target owned here.", labelService, labelTarget, labelZone),
		targetInFlight:  gauge("target_openings_in_flight", "Openings that the target has not answered yet.", labelService, labelTarget, labelZone),
		targetWarm:      gauge("target_warm_share", "How far the target is warmed up, 0 to 1.", labelService, labelTarget, labelZone),
		targetLimit:     gauge("target_limit", "What the target is given now.", labelService, labelTarget, labelZone, labelLimit),
		targetAccepting: gauge("target_accepting", "1 if the target accepts new flows.", labelService, labelTarget, labelZone),
		targetSlots:     gauge("target_open_slots", "Hash slots, out of 4096, whose new flows the target accepts.", labelService, labelTarget, labelZone),
		omitted:         gauge("targets_omitted", "Targets owned here beyond the bound on exported ones."),
		generation:      gauge("document_generation", "Generation of the document in force.", labelDocument),
	}
}

// all lists the families.
func (f *families) all() []family {
	return []family{
		f.forwarded, f.relayed, f.drops, f.verdicts,
		f.placed, f.placedElsewhere, f.handedOver,
		f.adopted, f.concluded, f.told, f.toldBytes,
		f.heartbeats, f.rejoined,
		f.flows, f.replicas, f.serving, f.view,
		f.servicePlaced, f.serviceEnded,
		f.serviceBroken, f.serviceRefused, f.imbalance,
		f.targetFlows, f.targetInFlight, f.targetWarm,
		f.targetLimit, f.targetAccepting, f.targetSlots, f.omitted,
		f.generation,
	}
}
