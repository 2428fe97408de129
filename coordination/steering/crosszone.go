package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// Plans for other zones. The load pattern: callers of one zone ask for more than
// its targets serve. The hosts of the zone see at targets of other zones only what
// they cause themselves, so a target that is full looks idle to them, and all of them
// send it their flows. With the summaries of other zones, a zone with an excess sends
// away a share of its new flows that the others offer to take.

const (
	// shareReportStep is the change of the share sent away that is reported, and
	// shareReportInterval the minimum time between two reports about a service.
	shareReportStep     = 0.1
	shareReportInterval = 5 * time.Second
)

// ShareEvent reports that the share of a service's new flows that this zone sends to
// others has changed.
type ShareEvent struct {
	Service string
	// Share is the share of new flows that goes to other zones, Former the one last
	// reported.
	Share, Former float64
	// Slots and Demand are those of this host's zone.
	Slots, Demand int
}

// ServicePlan is what this host's zone sends away of a service.
type ServicePlan struct {
	Service string
	crosszone.Plan
}

// balance is a service's plan with this host's use of it.
type balance struct {
	plan *crosszone.Plan
	// zones holds the destinations of the plan.
	zones []*remoteZone
	// reported is the last share that was reported, at reportedAt.
	reported   float64
	reportedAt time.Duration
	isReported bool
}

// remoteZone is another zone with a valid summary as a destination of a service's
// flows.
type remoteZone struct {
	*crosszone.Destination
	// sent counts the requests in progress at the zone's targets as known to the hosts
	// of this zone at the start of the round.
	sent int
	// allowance is the number of flows that this host may place there in this round
	// beyond the share sent away; placed counts those that it has.
	allowance float64
	placed    int
}

// crossZone is the state of the decisions about other zones.
type crossZone struct {
	shares   *crosszone.Shares
	balances map[string]*balance
}

// setZones makes the plans of a round from the summaries of all zones.
func (s *Steering) setZones(l *PeerLoads) {
	if !s.cfg.Balancing.CrossZone || s.view == nil {
		return
	}
	s.cross.shares.Update(l.At, l.Zones, s.usableZone)
	former := s.cross.balances
	s.cross.balances = make(map[string]*balance, len(s.pools))
	for service, pl := range s.pools {
		b := s.newBalance(l, pl, s.cross.shares.Plan(crosszone.ID(service)))
		if old := former[service]; old != nil {
			b.reported, b.reportedAt, b.isReported = old.reported, old.reportedAt, old.isReported
		}
		s.cross.balances[service] = b
		s.reportShare(l.At, service, b)
	}
}

// usableZone reports whether this host may send flows to a zone.
func (s *Steering) usableZone(zone string) bool {
	path := s.paths[zone]
	return path != nil && !path.unreachable && !s.view.ZonesOut[zone]
}

// newBalance returns the state of a service and sets the remote zones of its targets.
// Without a plan the service's flows are placed as without summaries.
func (s *Steering) newBalance(l *PeerLoads, pl *pool, plan *crosszone.Plan) *balance {
	b := &balance{plan: plan}
	for _, t := range pl.targets {
		t.remote = nil
	}
	if plan == nil || !plan.Known {
		return b
	}
	byZone := make(map[string]*remoteZone, len(plan.Destinations))
	for i := range plan.Destinations {
		r := &remoteZone{Destination: &plan.Destinations[i]}
		b.zones = append(b.zones, r)
		byZone[r.Zone] = r
	}
	for _, t := range pl.targets {
		if t.remote = byZone[t.entry.Zone]; t.remote != nil {
			t.remote.sent += t.busy + t.opening + t.peersBusy
		}
	}
	for _, r := range b.zones {
		r.allowance = max(float64(r.Offer-r.sent), 0) / float64(max(l.Hosts, 1))
	}
	return b
}

// reportShare reports the share sent away if it began, ended or changed much.
func (s *Steering) reportShare(now time.Duration, service string, b *balance) {
	if s.cfg.ShareEvents == nil || (b.isReported && now < b.reportedAt+shareReportInterval) {
		return
	}
	e := ShareEvent{Service: service, Former: b.reported}
	if b.plan != nil {
		e.Share, e.Slots, e.Demand = b.plan.Share, b.plan.Slots, b.plan.Demand
	}
	if (e.Share > 0) == (e.Former > 0) && math.Abs(e.Share-e.Former) < shareReportStep {
		return
	}
	b.reported, b.reportedAt, b.isReported = e.Share, now, true
	s.cfg.ShareEvents(e)
}

// ServicePlans returns the plans of the services, ordered by service.
func (s *Steering) ServicePlans() []ServicePlan {
	var list []ServicePlan
	for service, b := range s.cross.balances {
		if b.plan != nil {
			list = append(list, ServicePlan{Service: service, Plan: *b.plan})
		}
	}
	slices.SortFunc(list, func(a, b ServicePlan) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// ZoneLoads returns the loads that the hosts of this zone place on the targets of
// each zone, as far as this host knows them, with the slots of this zone that take
// new flows. It returns nothing without Balancing.CrossZone.
func (s *Steering) ZoneLoads(now time.Duration) []crosszone.Load {
	if !s.cfg.Balancing.CrossZone {
		return nil
	}
	var list []crosszone.Load
	for service, pl := range s.pools {
		busy := map[string]int{}
		slots := 0.0
		for _, t := range pl.targets {
			busy[t.entry.Zone] += t.busy + t.opening + t.peersBusy
			if t.entry.Zone == s.cfg.Zone {
				slots += s.openSlots(now, t, pl.limits)
			}
		}
		for zone, n := range busy {
			l := crosszone.Load{Service: service, Zone: zone, Busy: n}
			if zone == s.cfg.Zone {
				l.Slots = int(slots)
			}
			if l.Busy > 0 || l.Slots > 0 {
				list = append(list, l)
			}
		}
	}
	return list
}

// openSlots returns the slots of a target that take new flows. A cold target with a
// limited rate has none: other zones must not use it, and its own hosts use it up.
func (s *Steering) openSlots(now time.Duration, t *target, limits fleet.ServiceLimits) float64 {
	switch {
	case !s.answers(now, t, limits), t.cold(now) && limits.ColdOpenings > 0:
		return 0
	case t.cold(now):
		return float64(t.entry.Slots) / coldLoadFactor
	}
	return float64(t.entry.Slots)
}

// answers reports whether a target takes new flows and there is no evidence that it
// leaves them unanswered or fails them.
func (s *Steering) answers(now time.Duration, t *target, limits fleet.ServiceLimits) bool {
	return t.eligible() && !t.entry.Missing && !t.path.unreachable && t.health.usable(now) &&
		t.peersUnanswered < minSilentFlows && !t.avoided && !t.atConnectionLimit(limits)
}
