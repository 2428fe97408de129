package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
)

// Placement in other zones. The load pattern: callers of one zone ask for more than
// its targets serve. The hosts of the zone see at targets of other zones only what
// they cause themselves, so a target that is full looks idle to them, and all of them
// send it their flows. With the summaries of other zones, a zone with an excess sends
// away a share of its new flows that the others offer to take.

const (
	// fullZonePenalty ranks targets of other zones that offer nothing behind those of
	// the own zone that can queue, and before targets without a usable entry.
	fullZonePenalty = 50.0
	// maxRemoteQueue bounds the part of the queue limit that another zone's own requests
	// take up, in multiples of the slots. That zone's hosts go on to queue up to the limit,
	// so that callers of a zone without targets would get nothing.
	maxRemoteQueue = 2.0
	// awayHashSeed and overflowHashSeed make the choice of a zone independent of the
	// choice of a target.
	awayHashSeed     = 0x61776179
	overflowHashSeed = 0x6f766572
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

// placeAway returns a target of another zone for a flow of the share that is sent
// away, or nil. All copies of an opening are of that share or none is. One that was
// sent away without an answer stays in this zone, as the other one may be
// unreachable.
func (s *Steering) placeAway(now time.Duration, pl *pool, p *Segment, former *target) *target {
	b := s.cross.balances[pl.service]
	if b == nil || b.plan == nil || b.plan.Share == 0 || (former != nil && former.entry.Zone != s.cfg.Zone) {
		return nil
	}
	i := b.plan.Pick(now, fraction(p.Flow.Hash(), awayHashSeed))
	if i < 0 {
		return nil
	}
	return s.lessLoaded(now, pl, b.plan.Destinations[i].Zone, p)
}

// fraction returns a number in [0, 1) that depends on a flow's hash.
func fraction(hash, seed uint64) float64 { return float64(rendezvous.Mix(hash, seed)>>11) / (1 << 53) }

// lessLoaded returns the less loaded of two targets of another zone, chosen by the
// flow's hash, or nil if the zone has none that can take the flow.
func (s *Steering) lessLoaded(now time.Duration, pl *pool, zone string, p *Segment) *target {
	hash := p.Flow.Hash()
	limit := s.queueLimit(p.Copy)
	var sampled sample
	for _, t := range pl.targets {
		if t.entry.Zone == zone && !t.cold(now) && s.answers(now, t, pl.limits) && t.queuedPerSlot()+t.remoteQueue(now) < limit {
			sampled.add(t, s.load(now, t), rendezvous.Mix(hash, t.entry.Number))
		}
	}
	t, _ := sampled.cheapest()
	return t
}

// spreadOverflow replaces the target of another zone that has the lowest cost, which
// is the same at all hosts, by one that depends on the flow's hash. If the zones offer
// nothing more, as this zone can't even queue, the flow goes to a zone in proportion
// to the requests that its queues can still take. It also returns the zone that takes the flow, nil if the
// target is not replaced.
func (s *Steering) spreadOverflow(now time.Duration, pl *pool, p *Segment, best, former *target) (*target, *remoteZone) {
	if !best.remote.valid(now) || former != nil {
		return best, nil
	}
	r := best.remote
	if r.full(p.Flow.Hash()) {
		r = s.cross.balances[pl.service].overflowZone(now, s.queueLimit(p.Copy), fraction(p.Flow.Hash(), overflowHashSeed), r)
	}
	t := s.lessLoaded(now, pl, r.Zone, p)
	if t == nil {
		return best, nil
	}
	return t, r
}

// overflowZone chooses a zone in proportion to the requests that its targets can
// still queue; otherwise is returned if there is none.
func (b *balance) overflowZone(now time.Duration, limit, point float64, otherwise *remoteZone) *remoteZone {
	queueable := make([]float64, len(b.zones))
	sum := 0.0
	for i, r := range b.zones {
		if r.valid(now) {
			queueable[i] = max(limit*float64(r.Slots)-float64(r.Busy+r.sent), 0)
			sum += queueable[i]
		}
	}
	point *= sum
	for i, r := range b.zones {
		if point < queueable[i] {
			return r
		}
		point -= queueable[i]
	}
	return otherwise
}

// valid reports whether the zone has a summary that has not expired.
func (r *remoteZone) valid(now time.Duration) bool { return r != nil && now < r.ValidUntil }

// full reports whether the zone takes no flow beyond the share sent away. The rest of
// its offer is divided among the hosts; of a fraction of a flow, the
// hash decides whether it is one.
func (r *remoteZone) full(hash uint64) bool {
	return float64(r.placed)+fraction(hash, overflowHashSeed) >= r.allowance
}

// remoteQueue returns the part of remoteLoad that counts towards the queue limit.
func (t *target) remoteQueue(now time.Duration) float64 {
	return min(t.remoteLoad(now), maxRemoteQueue)
}

// remoteLoad returns the requests per slot at a target of another zone that this
// zone's hosts do not cause, by that zone's summary; 0 if there is no valid one.
func (t *target) remoteLoad(now time.Duration) float64 {
	if !t.remote.valid(now) {
		return 0
	}
	return t.remote.RequestsPerSlot()
}

// otherZoneCost is added to the cost of a target of another zone.
func (t *target) otherZoneCost(now time.Duration, hash uint64) float64 {
	cost := otherZonePenalty + t.remoteLoad(now)
	if t.remote.valid(now) && t.remote.full(hash) {
		cost += fullZonePenalty
	}
	return cost
}
