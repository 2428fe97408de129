package steering

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/protocol/explain"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// Errors of Explain.
var (
	ErrNoView  = errors.New("the host has no view of services and targets yet")
	ErrNoRoute = errors.New("no route")
)

// Names of what rules a target out or ranks it lower.
const (
	outDraining        = "draining"
	outGone            = "gone"
	outZone            = "zone-out"
	outTokenCollision  = "token-collision"
	outConnectionLimit = "connection-limit"
	outColdLimit       = "cold-limit"
	outColdElsewhere   = "cold-in-other-zone"
	outQueueFull       = "queue-full"

	lowerSilent          = "silent"
	lowerSilentAtPeers   = "silent-at-other-hosts"
	lowerUnreachableZone = "unreachable-zone"
	lowerMissing         = "missing"
	lowerAvoided         = "avoided"
	lowerCold            = "cold"
	lowerSlow            = "slow"
	lowerOtherZone       = "other-zone"
)

// explainFigure is a further column of an explanation. Its value is empty where the
// column does not apply.
type explainFigure struct {
	name  string
	value func(s *Steering, now time.Duration, r *route, t *target) string
}

// explainFigures are the further columns in their order. Optional decisions add
// theirs here.
var explainFigures = []explainFigure{
	{"speed", func(s *Steering, now time.Duration, _ *route, t *target) string {
		if !s.learnsServiceTimes() {
			return ""
		}
		return strconv.FormatFloat(t.speed.Factor(now), 'f', 2, 64)
	}},
	{"held_slots", func(s *Steering, now time.Duration, _ *route, t *target) string {
		if !s.allotted(now) {
			return ""
		}
		return strconv.Itoa(t.held)
	}},
	{"service_ms", func(_ *Steering, now time.Duration, r *route, t *target) string {
		if times := r.timesAt(t); times != nil {
			if mean, ok := times.Mean(now); ok {
				return strconv.FormatFloat(float64(mean)/float64(time.Millisecond), 'f', 1, 64)
			}
		}
		return ""
	}},
}

// Explain says where a first opening of a flow would be placed at a time, and why. It
// changes no state. The caller fills in the host and the ages of the data that it has
// handed over.
func (s *Steering) Explain(now time.Duration, flow packet.Flow) (*explain.Answer, error) {
	if s.view == nil {
		return nil, ErrNoView
	}
	r := s.routes[flow.Service]
	if r == nil {
		return nil, errors.Wrapf(ErrNoRoute, "to %s", flow.Service.AddrPort())
	}
	answer := &explain.Answer{
		Zone: s.cfg.Zone, To: flow.Service.AddrPort().String(),
		From: flow.CallerAddr().String(),
		Ages: []explain.Age{{Name: "view", Seconds: (now - s.viewAt).Seconds()}},
	}
	for _, sh := range r.shares {
		answer.Shares = append(answer.Shares, explain.Share{Service: sh.pool.service, Weight: sh.weight})
	}
	if f := s.flows[flow]; f != nil && f.target != nil && !f.closed {
		answer.KnownTarget = string(f.target.entry.Key)
	}
	pl := r.choosePool(flow.Hash())
	if pl == nil {
		answer.Cause, answer.Reason = CauseNoTarget.String(), "the route has no service"
		return answer, nil
	}
	answer.Service = pl.service
	for _, t := range s.targets {
		if t.entry.Service == pl.service {
			answer.Candidates = append(answer.Candidates, s.explainCandidate(now, r, pl, t, flow.Hash()))
		}
	}
	slices.SortFunc(answer.Candidates, func(a, b explain.Candidate) int { return cmp.Compare(a.Target, b.Target) })
	s.explainChoice(now, pl, r, flow, answer)
	return answer, nil
}

// explainChoice adds the target that would be chosen and the reason.
func (s *Steering) explainChoice(now time.Duration, pl *pool, r *route, flow packet.Flow, answer *explain.Answer) {
	// What gives way to others depends on the openings of the last second, which an
	// explanation must not count.
	ad := admission{ownZoneLimit: s.queueLimit(0), otherZoneLimit: s.queueLimit(0)}
	chosen := s.choose(now, pl, &Segment{Flow: flow, Class: packet.Opening}, r, nil, &ad)
	best, cause := chosen.target, chosen.cause
	usable, cheaper := 0, 0
	for i := range answer.Candidates {
		c := &answer.Candidates[i]
		if len(c.RuledOut) > 0 {
			continue
		}
		usable++
		if best != nil && c.Cost < s.cost(now, best, flow.Hash()) {
			cheaper++
		}
	}
	if best == nil {
		answer.Cause, answer.Reason = cause.String(), noTargetReason(cause)
		return
	}
	answer.Chosen = string(best.entry.Key)
	answer.Cause = cause.String()
	answer.Reason = fmt.Sprintf("lowest cost of the %d targets that are not ruled out", usable)
	if cheaper > 0 {
		answer.Reason = fmt.Sprintf("selected among some of the %d targets that are not ruled out, "+
			"by the caller's address and port; %d others have a lower cost", usable, cheaper)
	}
}

// noTargetReason explains an opening that is not placed.
func noTargetReason(cause Cause) string {
	switch cause {
	case CauseColdLimit:
		return "only cold targets at their rate limit are left"
	case CauseBusy:
		return "the queues of all targets are full; the opening is dropped until the caller retransmits it"
	case CauseNoCapacity:
		return "the queues of all targets are full"
	}
	return "no target accepts new flows"
}

// explainCandidate describes one target of the pool that the flow selects.
func (s *Steering) explainCandidate(now time.Duration, r *route, pl *pool, t *target, hash uint64) explain.Candidate {
	c := explain.Candidate{
		Target: string(t.entry.Key), Zone: t.entry.Zone, Addr: t.entry.Addr.String(), Slots: t.entry.Slots,
		Open: t.open, Busy: t.busy + t.opening, PeersOpen: t.peersOpen, PeersBusy: t.peersBusy,
		Load: s.load(now, t), Cost: s.cost(now, t, hash),
		RuledOut: s.ruledOut(now, pl, t), RankedLower: s.rankedLower(now, t),
		HeartbeatAgeSeconds: (now - t.entry.HeartbeatAt).Seconds(),
	}
	for _, f := range explainFigures {
		if value := f.value(s, now, r, t); value != "" {
			c.Figures = append(c.Figures, explain.Figure{Name: f.name, Value: value})
		}
	}
	return c
}

// ruledOut lists what excludes a target from a first opening.
func (s *Steering) ruledOut(now time.Duration, pl *pool, t *target) []string {
	return namesOf([]namedState{
		{outDraining, t.entry.Draining},
		{outGone, t.entry.Gone},
		{outZone, t.zoneOut},
		{outTokenCollision, t.shadowed},
		{outConnectionLimit, t.atConnectionLimit(pl.limits)},
		{outColdElsewhere, !s.allowsColdOpening(now, t, pl.limits) && t.entry.Zone != s.cfg.Zone},
		{outColdLimit, !s.allowsColdOpening(now, t, pl.limits) && t.entry.Zone == s.cfg.Zone},
		{outQueueFull, t.queuedPerSlot() >= s.queueLimit(0)},
	})
}

// rankedLower lists what raises the cost of a target above its load.
func (s *Steering) rankedLower(now time.Duration, t *target) []string {
	return namesOf([]namedState{
		{lowerSilent, !t.health.usable(now)},
		{lowerSilentAtPeers, t.peersUnanswered >= minSilentFlows},
		{lowerUnreachableZone, t.path.unreachable},
		{lowerMissing, t.entry.Missing},
		{lowerAvoided, t.avoided},
		{lowerCold, t.cold(now)},
		{lowerSlow, s.slowPenalty(now, t) > 0},
		{lowerOtherZone, t.entry.Zone != s.cfg.Zone},
	})
}

// namedState is a state of a target that holds or not.
type namedState struct {
	name  string
	holds bool
}

// namesOf returns the names of the states that hold.
func namesOf(states []namedState) []string {
	var names []string
	for _, state := range states {
		if state.holds {
			names = append(names, state.name)
		}
	}
	return names
}
