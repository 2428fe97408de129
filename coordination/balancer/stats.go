package balancer

import (
	"sync/atomic"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/admission"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// runCount is the number of values of verdict.Run.
const runCount = 3

// counters are the totals of the packet path and of replication since the
// start.
type counters struct {
	forwarded, relayed, placed, placedElsewhere atomic.Uint64
	handedOver, adopted, concluded              atomic.Uint64
	flowsTold, flowBytes, heartbeats            atomic.Uint64
	rejoined, badMessages                       atomic.Uint64
	drops                                       [DropCauseCount]atomic.Uint64
	verdicts                                    [runCount][verdict.CauseCount]atomic.Uint64
}

// countVerdict counts a verdict.
func (c *counters) countVerdict(v verdict.Verdict) {
	c.verdicts[v.Run][v.Cause].Add(1)
}

// Stats is a snapshot of the counters, all totals since the start, and gauges.
type Stats struct {
	Forwarded, Relayed uint64
	// Placed counts new flows, PlacedElsewhere those not at the first target
	// of their order.
	Placed, PlacedElsewhere uint64
	// HandedOver counts flows handed over to a target's new owner, Adopted
	// flows adopted from other hosts, Concluded flows whose target was
	// inferred.
	HandedOver, Adopted, Concluded uint64
	// FlowsTold counts flow fingerprints sent to other hosts, FlowBytes the
	// estimated bytes on the wire of their messages.
	FlowsTold, FlowBytes, Heartbeats uint64
	// Rejoined counts the pauses after which the host rejoined.
	Rejoined uint64
	// BadMessages counts parts of replication messages that were rejected.
	BadMessages uint64
	Drops       [DropCauseCount]uint64
	Verdicts    [runCount][verdict.CauseCount]uint64
	// Flows is the number of flows in the table, Replicas the number of flows
	// in the replicas.
	Flows, Replicas int
	// Serving is the number of hosts that may own targets.
	Serving int
	View    uint32
	Targets []TargetStats
	// Services are the totals of each service since the start.
	Services []ServiceStats
}

// TargetStats describes a target that this host owns.
type TargetStats struct {
	Name     string
	Service  string
	ID       uint64
	Zone     string
	Flows    int
	InFlight int
	Warm     float64
	Limit    document.Limits
	// Complete is set if every flow at the target is in the table.
	Complete bool
	// OpenSlots is 4096 if the target accepts openings of all slots; otherwise
	// it bounds the keys of its open gated slots, see slotKey.
	OpenSlots uint32
	Accepting bool
}

// Stats returns a snapshot of the counters and gauges.
func (b *Balancer) Stats(now time.Duration) Stats {
	c := &b.counters
	s := Stats{
		Forwarded: c.forwarded.Load(), Relayed: c.relayed.Load(),
		Placed: c.placed.Load(), PlacedElsewhere: c.placedElsewhere.Load(),
		HandedOver: c.handedOver.Load(), Adopted: c.adopted.Load(), Concluded: c.concluded.Load(),
		FlowsTold: c.flowsTold.Load(), FlowBytes: c.flowBytes.Load(),
		Heartbeats: c.heartbeats.Load(), Rejoined: c.rejoined.Load(), BadMessages: c.badMessages.Load(),
		Flows: b.flows.Len(), Replicas: b.replicas.len(),
		Services: b.serviceStats(),
	}
	for i := range c.drops {
		s.Drops[i] = c.drops[i].Load()
	}
	for run := range c.verdicts {
		for cause := range c.verdicts[run] {
			s.Verdicts[run][cause] = c.verdicts[run][cause].Load()
		}
	}
	v := b.view.Load()
	if v == nil {
		return s
	}
	s.View = v.digest
	b.mu.Lock()
	s.Serving = len(b.servingHosts())
	b.mu.Unlock()
	for _, t := range v.targets {
		if adm := t.state.admission.Load(); t.owned && adm != nil {
			s.Targets = append(s.Targets, targetStats(now, t, adm))
		}
	}
	return s
}

// targetStats describes one owned target.
func targetStats(now time.Duration, t *targetView, adm *admission.Target) TargetStats {
	return TargetStats{
		Service: t.service.name, Name: t.name, ID: t.id, Zone: t.zone,
		Flows: adm.Flows(), InFlight: adm.InFlight(), Warm: adm.WarmShare(now), Limit: adm.Limits(now),
		Complete: t.state.complete.Load(), OpenSlots: t.state.openSlots.Load(),
		Accepting: t.accepting && !t.zoneOut,
	}
}
