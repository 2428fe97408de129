package steering

import "time"

// Unreachable zones. The load pattern: an availability zone is cut off while it
// carries its full load, so packets to every target on the other side of the
// cut are lost. A host that judges each target alone loses flows at all of them,
// one after the other, before it avoids the last one. The path to a zone is
// therefore judged as a whole: several targets of the zone leave flows
// unanswered while none of them answers.

const (
	// pathTimeout is how long no target of a zone may answer, while flows go
	// unanswered, before the zone counts as unreachable: longer than a caller
	// waits for its first retransmission.
	pathTimeout = 250 * time.Millisecond
	// minUnansweredTargets is the number of targets of a zone that leave flows
	// unanswered from which the zone counts as unreachable. One is enough if
	// another zone is unreachable already. A zone with fewer eligible targets
	// needs all of them.
	minUnansweredTargets = 3
	// minQueryTime is how long the zone's hosts have to leave queries unanswered
	// before flows are given up: two rounds of queries.
	minQueryTime = 400 * time.Millisecond
	// maxUnreachableHold is how long a zone counts as unreachable without new
	// evidence. A host that is not ready gets no packets that could show that its
	// targets answer again.
	maxUnreachableHold = 10 * time.Second
)

// ZoneEvent reports that the targets of a zone can't be reached by this host
// any more, or can be again.
type ZoneEvent struct {
	Zone      string
	Reachable bool
	// Targets is the number of targets that left flows unanswered, for a zone
	// that became unreachable; Silence is the time since one of the zone's
	// targets last answered.
	Targets int
	Silence time.Duration
}

// zonePath is the evidence about the path from this host to the targets of one
// zone.
type zonePath struct {
	zone string
	// lastProgress is when a target of the zone last answered this host's flows.
	lastProgress time.Duration
	// unreachable is set since unreachableSince while the zone counts as
	// unreachable.
	unreachable      bool
	unreachableSince time.Duration
	// lastUnanswered is when a flow at a target of the zone last went unanswered.
	lastUnanswered time.Duration
	// queriedSince is since when hosts of the unreachable zone are queried without
	// an answer, 0 if they are not.
	queriedSince time.Duration
}

// lost reports whether flows at the zone's targets are to be given up: none of
// them has answered for long, one left a flow unanswered recently, and the zone's
// hosts do not answer either. A few targets of the zone may be dead while others
// live that this host has sent nothing to.
func (z *zonePath) lost(now time.Duration) bool {
	return z.unreachable && now-z.lastProgress >= minDeadSilence && now-z.lastUnanswered < unansweredWindow &&
		z.queriedSince > 0 && now-z.queriedSince >= minQueryTime
}

// pathTo returns the path to a zone and creates it if there is none.
func (s *Steering) pathTo(zone string) *zonePath {
	path := s.paths[zone]
	if path == nil {
		path = &zonePath{zone: zone}
		s.paths[zone] = path
	}
	return path
}

// recordZoneProgress records that a target of a zone answered.
func (s *Steering) recordZoneProgress(now time.Duration, path *zonePath) {
	path.lastProgress = now
	s.setReachable(path)
}

// setReachable ends the verdict that a zone is unreachable.
func (s *Steering) setReachable(path *zonePath) {
	if !path.unreachable {
		return
	}
	path.unreachable, path.queriedSince = false, 0
	s.notifyZone(ZoneEvent{Zone: path.zone, Reachable: true})
}

// judgePath decides whether a zone is unreachable after one of its targets left
// a flow unanswered.
func (s *Steering) judgePath(now time.Duration, path *zonePath) {
	path.lastUnanswered = now
	silence := now - path.lastProgress
	if path.unreachable || silence < pathTimeout {
		return
	}
	eligible, unanswered := 0, 0
	for _, t := range s.targets {
		if t.path != path || !t.eligible() {
			continue
		}
		eligible++
		if t.health.lastUnanswered > path.lastProgress {
			unanswered++
		}
	}
	if unanswered == 0 || unanswered < min(eligible, s.requiredUnanswered()) {
		return
	}
	path.unreachable, path.unreachableSince = true, now
	s.notifyZone(ZoneEvent{Zone: path.zone, Targets: unanswered, Silence: silence})
}

// requiredUnanswered returns the number of unanswered targets from which a zone
// counts as unreachable.
func (s *Steering) requiredUnanswered() int {
	for _, path := range s.paths {
		if path.unreachable {
			return 1
		}
	}
	return minUnansweredTargets
}

// SetZoneQueries tells the zones whose hosts have just been queried, and when a
// host of each zone last answered. A zone whose hosts answer is reachable: its
// targets are judged one by one again and tried at once.
func (s *Steering) SetZoneQueries(now time.Duration, queried []string, answers map[string]time.Duration) {
	for _, zone := range queried {
		if path := s.paths[zone]; path != nil && path.unreachable && path.queriedSince == 0 {
			path.queriedSince = now
		}
	}
	for zone, at := range answers {
		path := s.paths[zone]
		if path == nil || !path.unreachable || at <= path.unreachableSince {
			continue
		}
		s.setReachable(path)
		s.retryTargets(now, path)
	}
}

// expireUnreachable ends the verdicts that were not confirmed for
// maxUnreachableHold.
func (s *Steering) expireUnreachable(now time.Duration) {
	for _, path := range s.paths {
		if path.unreachable && now >= path.unreachableSince+maxUnreachableHold {
			s.setReachable(path)
			s.retryTargets(now, path)
		}
	}
}

// retryTargets ends the backoff of the silent targets of a zone.
func (s *Steering) retryTargets(now time.Duration, path *zonePath) {
	for _, t := range s.targets {
		if t.path == path && t.health.silent {
			t.health.retryAt = min(t.health.retryAt, now)
		}
	}
}

// Unreachable returns the zones that count as unreachable.
func (s *Steering) Unreachable() []string {
	var zones []string
	for zone, path := range s.paths {
		if path.unreachable {
			zones = append(zones, zone)
		}
	}
	return zones
}

// CutOff reports whether there are eligible targets and none of them is in a
// zone that this host reaches: packets that the fabric sends to this host would
// be lost.
func (s *Steering) CutOff() bool {
	unreachable := false
	for _, t := range s.targets {
		if !t.eligible() {
			continue
		}
		if !t.path.unreachable {
			return false
		}
		unreachable = true
	}
	return unreachable
}

// OwnZoneTakesFlows reports whether a target of this host's zone may be assigned new
// flows.
func (s *Steering) OwnZoneTakesFlows() bool {
	for _, t := range s.targets {
		if t.entry.Zone == s.cfg.Zone && t.eligible() {
			return true
		}
	}
	return false
}

func (s *Steering) notifyZone(e ZoneEvent) {
	if s.cfg.ZoneEvents != nil {
		s.cfg.ZoneEvents(e)
	}
}
