package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// mostTargetsAnswer reports whether at least twice as many targets answer this
// host as are unresponsive, and at least one does. If so, an unresponsive target
// is likely down itself, rather than this host's network. The targets of
// unreachable zones don't count: their silence has one cause.
func (s *Steering) mostTargetsAnswer(now time.Duration) bool {
	answering, unresponsive := 0, 0
	for _, t := range s.targets {
		switch {
		case t.path.unreachable:
		case t.health.unresponsive(now):
			unresponsive++
		case t.health.answering(now):
			answering++
		}
	}
	return answering > 0 && answering >= 2*unresponsive
}

// answeredSinceGone reports whether callers saw answers of a target after its
// entry was marked as gone.
func (s *Steering) answeredSinceGone(t *target) bool {
	return t.health.lastProgress > t.entry.Since
}

// gone reports whether packets can't reach the target any more as far as this host
// knows.
func (s *Steering) gone(t *target) bool { return t.entry.Gone && !s.answeredSinceGone(t) }

// observe updates the state of an open flow and of its target from a packet.
func (s *Steering) observe(now time.Duration, p *Segment, r *route, f *flow, a *Action) {
	t := f.target
	f.lastSeen = now
	s.setCountedOpen(f, !f.closed)
	if !f.open {
		f.setOpen(now)
		f.ack = p.Ack
		a.HandshakeTime = now - f.placedAt
		r.answerTimes.addHandshake(a.HandshakeTime)
		f.roundTrip = a.HandshakeTime
		s.observeGap(now, t, f)
		s.recordProgress(now, t)
	}
	if seqAfter(p.Ack, f.ack) {
		f.ack = p.Ack
		if f.busy {
			a.AnswerTime = now - f.pendingSince
			s.recordAnswerTime(now, r, f, a.AnswerTime)
			s.observeContinuity(now, t, f)
			if !f.answered {
				f.answered, f.watchedAt = true, now
			}
		}
		if f.awaiting {
			// Without data of this host's own the answer may be to a packet that
			// another host forwarded long ago.
			s.recordProgress(now, t)
		}
		f.retransmitted = false
		f.awaiting = false
		f.baseSeq = f.nextSeq
		s.setBusy(f, false)
	}
	if len(p.Payload) > 0 {
		s.observeData(now, p, r, f, a)
	}
	if p.Class == packet.Closing || p.Class == packet.Reset {
		s.setBusy(f, false)
		s.setOpening(f, false)
		s.setCountedOpen(f, false)
		f.closed = true
	}
}

// observeData updates the state from a packet that carries data.
func (s *Steering) observeData(now time.Duration, p *Segment, r *route, f *flow, a *Action) {
	t := f.target
	end := p.Seq + uint32(len(p.Payload))
	if !seqAfter(end, f.nextSeq) {
		s.counts.RepeatedData++
		s.setBusy(f, true)
		if t.health.recordDataRetransmission(now, f.pendingSince, !f.retransmitted, t.peersUnanswered) {
			s.recordSilence(now, t)
		}
		s.judgePath(now, t.path)
		s.observeUnansweredRequest(now, t, f, r)
		f.retransmitted = true
		return
	}
	f.nextSeq = end
	if !f.busy {
		f.pendingSince = now
		a.RequestStarts = true
		s.setOpening(f, false)
		f.foundFreeSlot = t.hasFreeSlot()
		s.startWork(now, r, f)
	}
	if end-f.baseSeq > maxInFlight {
		f.baseSeq = end - maxInFlight/2
		f.retransmitted = false
		f.pendingSince = now
		s.recordProgress(now, t)
	}
	f.awaiting = true
	s.setBusy(f, true)
}

// recordProgress records an answer of a target; a silent one answers again.
func (s *Steering) recordProgress(now time.Duration, t *target) {
	s.recordZoneProgress(now, t.path)
	if !t.health.recordAnswer(now) {
		return
	}
	s.observeSilence(now, t)
	s.presumeCold(now, t)
	if s.cfg.Events != nil {
		s.cfg.Events(Event{Key: t.entry.Key, Answers: true})
	}
}

// recordSilence reports that a target has become silent.
func (s *Steering) recordSilence(now time.Duration, t *target) {
	s.counts.Silenced++
	s.observeSilence(now, t)
	if s.cfg.Events != nil {
		s.cfg.Events(Event{Key: t.entry.Key, Silence: now - t.health.lastProgress, Flows: t.health.unansweredFlows})
	}
}
