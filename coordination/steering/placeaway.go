package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
)

// Placement in other zones, by the plans that follow from their summaries.

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
)

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
