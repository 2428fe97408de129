package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// loadInterval is the time between load reports to another host.
	loadInterval = 2 * time.Second
	// balanceInterval is the time between comparisons of loads.
	balanceInterval = 500 * time.Millisecond
	// growthSmoothing is the weight of the latest growth rate in the smoothed
	// one.
	growthSmoothing = 0.3
	// fastGrowth is the relative growth per second above which the reports of
	// other hosts are too old to compare with.
	fastGrowth = 0.1
	// loadReportTTL is how long another host's report is valid.
	loadReportTTL = 5 * time.Second
	// minWarmShare is the progress of a target's ramp, 0 to 1, from which the
	// target counts in the mean.
	minWarmShare = 0.5
)

// receivedLoad is the load of another host's targets of a service, as reported
// by that host.
type receivedLoad struct {
	from     uint32
	received time.Duration
	peer.ServiceLoad
}

// serviceLoads holds the loads reported by other hosts, by service ID. The
// balancer's mutex guards it.
type serviceLoads map[uint32][]receivedLoad

// record replaces a host's reports and removes expired ones.
func (s serviceLoads) record(now time.Duration, from uint32, loads []peer.ServiceLoad) {
	for _, l := range loads {
		list := s[l.Service]
		kept := list[:0]
		for _, h := range list {
			if h.from != from && now-h.received <= loadReportTTL {
				kept = append(kept, h)
			}
		}
		s[l.Service] = append(kept, receivedLoad{from: from, received: now, ServiceLoad: l})
	}
}

// flowsPerWeight returns the flows per unit of weight in the last report of a
// host for a service, 0 if there is none.
func (s serviceLoads) flowsPerWeight(now time.Duration, from, service uint32) float64 {
	for _, h := range s[service] {
		if h.from == from && h.Weight > 0 && now-h.received <= loadReportTTL {
			return float64(h.Flows) / float64(h.Weight)
		}
	}
	return 0
}

// ownLoads sums the loads of this host's warm targets, by service.
func (b *Balancer) ownLoads(now time.Duration, v *view) []peer.ServiceLoad {
	var loads []peer.ServiceLoad
	for _, s := range v.services {
		l := peer.ServiceLoad{Service: HostID(s.name)}
		for _, t := range s.targets {
			adm := t.state.admission.Load()
			if !t.owned || !t.accepting || t.zoneOut || adm == nil || adm.WarmShare(now) < minWarmShare {
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
// target clearly above it passes openings on to other targets.
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
			if adm := t.state.admission.Load(); t.owned && adm != nil {
				adm.SetMeanFlows(mean * float64(t.weight))
			}
		}
	}
}

// totalFlows returns the sum of the flows of all loads.
func totalFlows(loads []peer.ServiceLoad) int {
	n := 0
	for _, l := range loads {
		n += l.Flows
	}
	return n
}

// smoothGrowth returns the smoothed relative growth, per second, of the number
// of flows, from its former value and the flows at the start and end of a
// balanceInterval.
func smoothGrowth(former float64, before, after int) float64 {
	if before == 0 {
		return fastGrowth * 2
	}
	latest := float64(after-before) / float64(before) / balanceInterval.Seconds()
	return former + (min(max(latest, -1), 1)-former)*growthSmoothing
}

// meanLoad returns the flows per unit of weight over the warm targets of a
// service on this host and in the reports of others. It assumes that the flows
// of other hosts have grown since their report as those of this host have.
func (b *Balancer) meanLoad(now time.Duration, service uint32) float64 {
	flows, weight := 0.0, 0
	for _, l := range b.loads {
		if l.Service == service {
			flows += float64(l.Flows)
			weight += l.Weight
		}
	}
	for _, h := range b.peerLoads[service] {
		if now-h.received <= loadReportTTL {
			flows += float64(h.Flows) * (1 + b.growth*(now-h.received+balanceInterval).Seconds())
			weight += h.Weight
		}
	}
	if weight == 0 {
		return 0
	}
	return flows / float64(weight)
}
