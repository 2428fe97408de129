package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// handleOpening places a flow, or places it anew when its target does not
// answer.
func (s *Steering) handleOpening(now time.Duration, p *Segment, r *route, a *Action) {
	f := s.flows[p.Flow]
	if f != nil && f.target != nil && s.keepsOpening(now, p, f) {
		f.seen = now
		s.forward(now, f.target, a, CauseKnown)
		return
	}
	var former *target
	if f != nil {
		former = f.target
	}
	t, cause := s.place(now, p, r, former)
	if t == nil {
		s.turnAway(p, a, cause)
		return
	}
	if f == nil {
		f = s.remember(p.Flow)
	}
	if former != nil && former != t {
		cause = CauseReplaced
	}
	a.Load = s.load(now, t)
	s.detach(f)
	*f = flow{placed: now, seen: now, nextSeq: p.Seq + 1, baseSeq: p.Seq + 1}
	s.attach(f, t)
	s.setOpening(f, true)
	t.health.tried(now)
	a.Placed = true
	s.forward(now, t, a, cause)
}

// turnAway answers an opening that gets no target: it is dropped if the caller
// repeats it soon, else refused at once.
func (s *Steering) turnAway(p *Segment, a *Action, cause Cause) {
	if cause == CauseBusy {
		a.Cause = cause
		return
	}
	s.refuse(p, a, cause, verdict.NotRun)
}

// keepsOpening reports whether a repeated opening goes to the same target
// again.
func (s *Steering) keepsOpening(now time.Duration, p *Segment, f *flow) bool {
	if f.closed || now-f.seen > openingKept {
		return false // the caller's port is used again
	}
	if f.open {
		return true
	}
	if p.Copy > 0 {
		s.counts.Copies++
		if f.target.health.openingRepeated(now, f.placed) {
			s.silenced(now, f.target)
		}
	}
	return f.target.takes() && !f.target.health.silent && p.Copy == 0
}
