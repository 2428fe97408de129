package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// Flows of dead targets. The load pattern: targets die without notice while
// callers wait for their answers. Callers retransmit at growing intervals, so the
// packet that would be answered with a reset may come long after the target is
// known to be dead, or after the caller's deadline. Idempotent requests can be
// sent elsewhere, so their flows are reset as soon as the evidence suffices, and
// the flows of requests that follow at once. In a large zone each host sees few
// flows of a target; the evidence is therefore summed over the hosts of the zone.
// Flows of a zone that was lost with its hosts reach hosts that have seen little
// of them. Less evidence about a target suffices there, but not none: a few targets
// of a lost zone may still serve.

// givesUp reports whether a flow of the route that waits for an answer of the
// target is to be reset: the target is dead, or its zone is lost and it is silent.
func (s *Steering) givesUp(now time.Duration, r *route, t *target) bool {
	if !r.idempotent {
		return false
	}
	return t.health.dead(now, t.peersUnanswered) || (t.path.lost(now) && t.health.silentInLostZone(now))
}

// confirmSilences marks the targets as silent that left flows unanswered at this
// host and at others.
func (s *Steering) confirmSilences(now time.Duration) {
	for _, t := range s.targets {
		if t.health.confirmSilence(now, t.peersUnanswered) {
			s.recordSilence(now, t)
		}
	}
}

// resetDeadFlows resets the flows that wait for the answers of dead targets. A flow
// that its caller has closed is left alone, as the caller may use the port again.
func (s *Steering) resetDeadFlows(now time.Duration, reset func(*Segment, *Action)) {
	for key, f := range s.flows {
		if f.target == nil || !f.awaiting || f.closed {
			continue
		}
		r := s.routes[key.Service]
		if r == nil || !s.givesUp(now, r, f.target) {
			continue
		}
		if !s.mostTargetsAnswer(now) {
			return
		}
		s.counts.Resets[CauseTargetSilent]++
		reset(
			&Segment{Flow: key, Class: packet.Data, Token: f.target.token, Ack: f.ack},
			&Action{Kind: Reset, Cause: CauseTargetSilent, Key: f.target.entry.Key, Run: verdict.MayHaveRun},
		)
		s.removeFlow(key)
	}
}
