package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// Cold targets. The load pattern: a target that has just started is overloaded
// when all hosts send it their next flows at once. Only the hosts of its own
// availability zone use it while it is cold, each with an equal share of the
// target's cold rate, so that the sum stays within the rate without messages
// between the hosts.

const (
	// assumedZoneHosts is the number of hosts assumed in a zone until a host knows how
	// many there are.
	assumedZoneHosts = 8
	// entryWriteDelay is the longest time from a target's first answer to the
	// write of its entry.
	entryWriteDelay = 200 * time.Millisecond
	// entryExpiry is the longest time that the entry of a dead target stays in the
	// store: three of its heartbeats, and the time to read that it is gone.
	entryExpiry = 5 * time.Second
	// maxColdInterval bounds the time between two openings of one host at a cold target.
	maxColdInterval = 10 * time.Second
)

// coldRateShare returns the openings per second that this host may send to a
// cold target of its zone. limits.ColdOpenings must be positive.
func coldRateShare(limits fleet.ServiceLimits, l *PeerLoads) float64 {
	hosts := assumedZoneHosts
	if l != nil && l.Sharers > 0 {
		hosts = l.Sharers
	}
	return limits.ColdOpenings / float64(hosts)
}

// allowsColdOpening reports whether this host may send one more opening to a
// target now; it limits cold targets only.
func (s *Steering) allowsColdOpening(now time.Duration, t *target, limits fleet.ServiceLimits) bool {
	if limits.ColdOpenings <= 0 || !t.cold(now) {
		return true
	}
	return t.entry.Zone == s.cfg.Zone && now >= t.nextColdOpening && s.coldRate(now, t, limits) > 0
}

// countColdOpening accounts for an opening that is sent to a cold target.
func (s *Steering) countColdOpening(now time.Duration, t *target, limits fleet.ServiceLimits) {
	if limits.ColdOpenings <= 0 || !t.maybeCold(now) {
		return
	}
	s.delayColdOpening(now, t, limits)
}

// delayColdOpening sets when this host may send a target its next opening after one that
// it sends now.
func (s *Steering) delayColdOpening(now time.Duration, t *target, limits fleet.ServiceLimits) {
	interval := maxColdInterval
	if rate := s.coldRate(now, t, limits); rate*maxColdInterval.Seconds() > 1 {
		interval = time.Duration(float64(time.Second) / rate)
	}
	t.nextColdOpening = max(now, t.nextColdOpening) + interval
}

// isSpared reports whether a target that may have started again has got its share of what
// a cold one bears, so that others are to be used.
func (s *Steering) isSpared(now time.Duration, t *target, limits fleet.ServiceLimits) bool {
	if limits.ColdOpenings <= 0 || !t.suspicion.active(now) {
		return false
	}
	return t.entry.Zone != s.cfg.Zone || now < t.nextColdOpening
}

// presumeCold marks a target that answers again as cold for the warm-up time,
// since it may have restarted. If the store had its entry long after the target
// left a flow unanswered, the target was alive then and the silence has another
// cause.
func (s *Steering) presumeCold(now time.Duration, t *target) {
	if s.cfg.CompleteTo != nil && !t.entry.Missing {
		complete, ok := s.cfg.CompleteTo()
		if ok && complete >= t.health.lastUnanswered+entryExpiry {
			return
		}
	}
	t.presumedColdAt = now
	t.presumedColdUntil = now + s.view.Config.Services[t.entry.Service].WarmUp
}

// endPresumedCold ends the presumption for targets whose entry, as written after
// they answered again, this host has read from the store.
func (s *Steering) endPresumedCold(now time.Duration) {
	if s.cfg.CompleteTo == nil {
		return
	}
	complete, _ := s.cfg.CompleteTo()
	for _, t := range s.targets {
		t.endSuspicion(now, complete)
		if now < t.presumedColdUntil && complete > t.presumedColdAt+entryWriteDelay {
			t.presumedColdUntil = 0
		}
	}
}
