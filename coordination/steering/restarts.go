package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// Restarts that the store does not show. The load pattern: a target is down for a tenth
// of a second and starts again under its key while the store can't be read, so its entry
// still says that it is warm. It answers openings at once and is overloaded by its usual
// share of them.
//
// What a host sees of it is a gap: openings that the target left unanswered while a later
// one was answered, or requests that are repeated. A lost packet or a long request look the
// same, so a target is only suspected after it. It gets the rate of a cold target as long
// as other targets take the rest. Several openings in a row, or what two hosts have seen,
// are beyond chance: the target then counts as cold, unless many of its pool do.
//
// The suspicion ends with an answer to a request that was sent after the gap on a flow
// opened before it, once this host has read what the target wrote to the store since, or
// with the target's warm-up time.

const (
	// overtakenAge is how long an opening has to be unanswered before one that was placed
	// later shows a gap: several times what a handshake takes, with its variation.
	overtakenAge = 30 * time.Millisecond
	// minStall is how long a request has to be unanswered to be taken for one that the
	// target has lost, and stallFactor how long in multiples of the route's median answer
	// time.
	minStall    = 50 * time.Millisecond
	stallFactor = 2
	// certainOvertaken is the number of openings in a row that are beyond chance.
	certainOvertaken = 2
	// maxTickGap is the time between two ticks from which this host itself was stalled, and
	// wakeSettleTime how long afterwards it judges no target by what it sees.
	maxTickGap     = 250 * time.Millisecond
	wakeSettleTime = 500 * time.Millisecond
	// maxSuspectedShare is the share of a pool, as its inverse, that counts as cold for gaps.
	// If more targets have one, the cause may be this host's own link.
	maxSuspectedShare = 3
	// restartReportWindow is how long a gap is reported to other hosts.
	restartReportWindow = 500 * time.Millisecond
	// restartReportLifetime is how long after a report further ones of the same target are
	// taken to mean the same gap.
	restartReportLifetime = 4 * restartReportWindow
)

// Restart is a target that may have started again, as a host has seen.
type Restart struct {
	Token Token
	// Certain is set if chance does not explain what the host has seen.
	Certain bool
}

// suspicion is a host's knowledge of a gap in a target's answers. The zero value is none.
type suspicion struct {
	// since is when the first unanswered opening was placed, at when the gap was found,
	// until when the target would have warmed up after it.
	since, at, until time.Duration
	// certain is set if the target counts as cold.
	certain bool
	// own is set if this host has seen the gap itself.
	own bool
}

// active reports whether the target is suspected.
func (g *suspicion) active(now time.Duration) bool { return now < g.until }

// observeGap looks for a gap in a target's answers when it has answered the opening of a
// flow.
func (s *Steering) observeGap(now time.Duration, t *target, f *flow) {
	count, first := t.overtakenOpenings(now, f)
	t.answeredPlacedAt = max(t.answeredPlacedAt, f.placedAt)
	if count > 0 {
		s.suspectSeen(now, t, suspicion{since: first, at: now, certain: count >= certainOvertaken})
	}
}

// observeUnansweredRequest suspects a target that has not answered a request when it is
// repeated. The target may answer other hosts meanwhile.
func (s *Steering) observeUnansweredRequest(now time.Duration, t *target, f *flow, r *route) {
	if now-f.pendingSince >= r.stallTime() {
		s.suspectSeen(now, t, suspicion{since: f.pendingSince, at: now})
	}
}

// observeSilence suspects a target that has become silent, or answers again. Other hosts,
// which may have sent it nothing meanwhile, learn of it.
func (s *Steering) observeSilence(now time.Duration, t *target) {
	if g := &t.suspicion; !g.certain || !g.active(now) {
		s.suspectSeen(now, t, suspicion{since: t.health.lastProgress, at: now})
	}
}

// overtakenOpenings returns the number of openings in a row that the target has left
// unanswered for long, placed after the last one that it had answered and before the one
// of the flow, and when the first of them was placed.
func (t *target) overtakenOpenings(now time.Duration, f *flow) (count int, first time.Duration) {
	first = now
	for g := t.firstPending; g != nil; g = g.next {
		if g.open || !g.opening || g.placedAt >= f.placedAt || g.placedAt <= t.answeredPlacedAt || now-g.placedAt < overtakenAge {
			continue
		}
		count++
		first = min(first, g.placedAt)
	}
	return count, first
}

// stallTime is how long a request of the route has to be unanswered to be taken for one
// that the target has lost.
func (r *route) stallTime() time.Duration {
	return max(minStall, stallFactor*r.answerTimes.median.value)
}

// suspectSeen records a gap that this host has seen, unless it was stalled lately: packets
// that waited for it meanwhile look unanswered.
func (s *Steering) suspectSeen(now time.Duration, t *target, g suspicion) {
	if now < s.wokeAt+wakeSettleTime {
		return
	}
	g.own = true
	s.suspect(now, t, g)
}

// observeStall records when this host was last stalled. It is called each time that the
// host has had the chance to handle packets.
func (s *Steering) observeStall(now time.Duration) {
	if now > s.lastTick+maxTickGap {
		s.wokeAt = now
	}
	s.lastTick = now
}

// suspect records a gap in a target's answers.
func (s *Steering) suspect(now time.Duration, t *target, g suspicion) {
	limits := s.serviceLimits(t)
	if limits.ColdOpenings <= 0 || limits.WarmUp <= 0 || t.cold(now) {
		return
	}
	g.certain = g.certain && !s.tooManySuspected(now, t)
	g.until = now + limits.WarmUp
	wasActive := t.suspicion.active(now)
	t.suspicion = g
	if !wasActive {
		s.delayColdOpening(now, t, limits)
	}
	if s.cfg.Events != nil && !wasActive {
		s.cfg.Events(Event{Key: t.entry.Key, Answers: true, Suspected: true, Silence: now - g.since})
	}
}

// serviceLimits returns the limits of a target's service, the zero value if it has none.
func (s *Steering) serviceLimits(t *target) fleet.ServiceLimits {
	return s.view.Config.Services[t.entry.Service]
}

// tooManySuspected reports whether more than a third of the targets of a target's pool would
// count as cold for a gap, that one included, unless it is the only one that does.
func (s *Steering) tooManySuspected(now time.Duration, t *target) bool {
	if t.pool == nil {
		return false
	}
	certain, all := 1, 0
	for _, other := range t.pool.targets {
		if !other.eligible() {
			continue
		}
		all++
		if other != t && other.suspicion.certain && other.suspicion.active(now) {
			certain++
		}
	}
	return certain > max(all/maxSuspectedShare, 1)
}

// observeContinuity ends the suspicion of a target that has answered a request on a flow:
// the flow was opened before the gap and the request sent after it, so that the target has
// not started again.
func (s *Steering) observeContinuity(now time.Duration, t *target, f *flow) {
	if t.suspicion.active(now) && f.openSince < t.suspicion.since && f.pendingSince > t.suspicion.at {
		t.suspicion.until = now
	}
}

// endSuspicion ends the suspicion of a target whose entry, as written after the gap, this
// host has read up to a time.
func (t *target) endSuspicion(now, complete time.Duration) {
	if t.suspicion.active(now) && complete > t.suspicion.at+entryWriteDelay {
		t.suspicion.until = now
	}
}

// SetReportedRestarts suspects the targets that other hosts have seen a gap at.
func (s *Steering) SetReportedRestarts(now time.Duration, list []Restart) {
	for _, r := range list {
		t := s.tokens[r.Token]
		if t == nil {
			continue
		}
		repeated := t.restartReportedAt > 0 && now < t.restartReportedAt+restartReportLifetime
		g := &t.suspicion
		switch {
		case g.active(now) && r.Certain && !g.certain:
			s.suspect(now, t, suspicion{since: g.since, at: g.at, certain: true, own: g.own})
		case !g.active(now) && !repeated:
			s.suspect(now, t, suspicion{since: now, at: now, certain: r.Certain})
		default:
			continue
		}
		t.restartReportedAt = now
	}
}

// reportedRestart returns what is reported to other hosts of a gap at the target, nil if
// there is none.
func (t *target) reportedRestart(now time.Duration) *Restart {
	g := &t.suspicion
	if !g.own || !g.active(now) || now >= g.at+restartReportWindow {
		return nil
	}
	return &Restart{Token: t.token, Certain: g.certain}
}
