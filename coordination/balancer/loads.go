package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// loadInterval is the time between two reports of loads to the others.
	loadInterval = 2 * time.Second
	// balanceInterval is the time between two comparisons of loads.
	balanceInterval = 500 * time.Millisecond
	// growthSmoothing is the weight of a new growth rate against the former.
	growthSmoothing = 0.3
	// fastGrowth is the growth a second above which the reports of others are
	// too old to compare with.
	fastGrowth = 0.1
	// loadMemory is how long another host's report counts.
	loadMemory = 5 * time.Second
	// warmShare is the part of its ramp from which a target counts for the
	// mean.
	warmShare = 0.5
)

// heardLoad is what another host said of its targets of a service.
type heardLoad struct {
	from  uint32
	heard time.Duration
	peer.ServiceLoad
}

// serviceLoads holds the loads that others reported, by service ID. It is
// guarded by the balancer's mutex.
type serviceLoads map[uint32][]heardLoad

// hear records a report.
func (s serviceLoads) hear(now time.Duration, from uint32, loads []peer.ServiceLoad) {
	for _, l := range loads {
		list := s[l.Service]
		kept := list[:0]
		for _, h := range list {
			if h.from != from && now-h.heard <= loadMemory {
				kept = append(kept, h)
			}
		}
		s[l.Service] = append(kept, heardLoad{from: from, heard: now, ServiceLoad: l})
	}
}

// per returns the flows for each unit of weight that a host reported last for a
// service.
func (s serviceLoads) per(now time.Duration, from, service uint32) float64 {
	for _, h := range s[service] {
		if h.from == from && h.Weight > 0 && now-h.heard <= loadMemory {
			return float64(h.Flows) / float64(h.Weight)
		}
	}
	return 0
}

// ownLoads sums up the warm targets owned here, by service.
func (b *Balancer) ownLoads(now time.Duration, v *view) []peer.ServiceLoad {
	var loads []peer.ServiceLoad
	for _, s := range v.services {
		l := peer.ServiceLoad{Service: HostID(s.name)}
		for _, t := range s.targets {
			adm := t.state.admission.Load()
			if !t.mine || !t.accepting || t.out || adm == nil || adm.WarmShare(now) < warmShare {
				continue
			}
			l.Flows += adm.ComparableFlows(now)
			l.Weight += t.weight
		}
		if l.Weight > 0 {
			loads = append(loads, l)
		}
	}
	return loads
}

// balanceLoads sets the mean load of each owned target's service, so that a
// target clearly above it passes openings on.
func (b *Balancer) balanceLoads(now time.Duration, v *view) {
	if now < b.nextLoads {
		return
	}
	b.nextLoads = now + balanceInterval
	loads := b.ownLoads(now, v)
	b.growth = smoothGrowth(b.growth, totalFlows(b.loads), totalFlows(loads))
	b.loads = loads
	for _, s := range v.services {
		mean := 0.0
		if b.growth < fastGrowth {
			mean = b.meanLoad(now, HostID(s.name))
		}
		for _, t := range s.targets {
			if adm := t.state.admission.Load(); t.mine && adm != nil {
				adm.SetMeanFlows(mean * float64(t.weight))
			}
		}
	}
}

// totalFlows returns the flows of all loads.
func totalFlows(loads []peer.ServiceLoad) int {
	n := 0
	for _, l := range loads {
		n += l.Flows
	}
	return n
}

// smoothGrowth returns the part by which flows grow a second, from the former
// value and the flows at the start and end of a balanceInterval.
func smoothGrowth(former float64, before, after int) float64 {
	if before == 0 {
		return fastGrowth * 2
	}
	latest := float64(after-before) / float64(before) / balanceInterval.Seconds()
	return former + (min(max(latest, -1), 1)-former)*growthSmoothing
}

// meanLoad returns the flows for each unit of weight over the warm targets of a
// service, here and as others reported. Others are taken to have grown since as
// this host has.
func (b *Balancer) meanLoad(now time.Duration, service uint32) float64 {
	flows, weight := 0.0, 0
	for _, l := range b.loads {
		if l.Service == service {
			flows += float64(l.Flows)
			weight += l.Weight
		}
	}
	for _, h := range b.heardLoads[service] {
		if now-h.heard <= loadMemory {
			flows += float64(h.Flows) * (1 + b.growth*(now-h.heard+balanceInterval).Seconds())
			weight += h.Weight
		}
	}
	if weight == 0 {
		return 0
	}
	return flows / float64(weight)
}
