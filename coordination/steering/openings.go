package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/overload"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// handleOpening assigns a target to a new flow, or another one if the flow's
// target did not answer the previous opening.
func (s *Steering) handleOpening(now time.Duration, p *Segment, r *route, a *Action) {
	f := s.flows[p.Flow]
	if f != nil && f.target != nil && s.keepsTarget(now, p, f) {
		f.lastSeen = now
		s.forward(now, p, f.target, a, CauseKnown)
		return
	}
	var former *target
	if f != nil && !s.reusesPort(now, f) {
		former = f.target
	}
	c := s.place(now, p, r, former)
	if c.target == nil {
		s.rejectOpening(p, r, a, &c)
		return
	}
	t, cause := c.target, c.cause
	if f == nil {
		f = s.ensureFlow(p.Flow)
	}
	if former != nil && former != t {
		cause = CauseReplaced
	}
	a.Load = s.load(now, t)
	s.detach(f)
	*f = flow{placedAt: now, lastSeen: now, nextSeq: p.Seq + 1, baseSeq: p.Seq + 1}
	s.attach(f, t)
	f.times = r.timesAt(t)
	s.setOpening(f, true)
	t.health.recordAttempt(now)
	a.Placed = true
	s.forward(now, p, t, a, cause)
}

// rejectOpening drops an opening that gets no target now but may get one when the
// caller retransmits it, and refuses any other.
func (s *Steering) rejectOpening(p *Segment, r *route, a *Action, c *choice) {
	s.counts.RejectedOpenings[overload.Class(r.priority)][c.cause]++
	if c.cause.retriable() && p.Copy < lastCopy && !c.atOnce {
		a.Cause = c.cause
		return
	}
	s.refuse(p, a, c.cause, verdict.NotRun)
}

// reusesPort reports whether an opening begins a new flow with the addresses and
// ports of a former one.
func (s *Steering) reusesPort(now time.Duration, f *flow) bool {
	return f.closed || now-f.lastSeen > openingRetention
}

// keepsTarget reports whether a retransmitted opening goes to the same target
// as before.
func (s *Steering) keepsTarget(now time.Duration, p *Segment, f *flow) bool {
	if s.reusesPort(now, f) {
		return false
	}
	if f.open {
		return true
	}
	if p.Copy > 0 {
		s.counts.RepeatedOpenings++
		if f.target.health.recordOpeningRetransmission(now, f.placedAt) {
			s.recordSilence(now, f.target)
		}
		s.judgePath(now, f.target.path)
	}
	return f.target.eligible() && !f.target.health.silent && p.Copy == 0
}
