package steering

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/servicetime"
)

// target is a target with this host's own data about it.
type target struct {
	entry fleet.Entry
	token Token
	// pool is the pool of the target's service, nil if the configuration has none.
	pool *pool
	// path is the path from this host to the target's zone.
	path *zonePath
	// zoneOut is set while the target's availability zone takes no new flows.
	zoneOut bool
	// shadowed is set while an older target has the same token.
	shadowed bool
	// open, opening and busy count this host's flows at the target: all open
	// flows, those that have sent no data yet, and those with a request in
	// progress.
	open, opening, busy int
	// peersOpen counts the other hosts' open flows at the target, peersBusy those
	// of them that are opening or busy.
	peersOpen, peersBusy int
	// peersUnanswered is the number of flows that the target left unanswered at
	// the other hosts of the zone.
	peersUnanswered int
	// peersFast is the largest share of too fast answers that another host of the
	// zone reports.
	peersFast float64
	// held is the number of the target's slots that this host holds.
	held int
	// remote is the target's zone as a destination, nil if it is this host's own zone or
	// its summary is not known.
	remote      *remoteZone
	health      health
	fastAnswers fastAnswerShare
	// avoided is set while the target is avoided for its too fast answers.
	avoided bool
	// presumedColdAt is when the target answered again after a silence. It may
	// have restarted, so it counts as cold until presumedColdUntil, or until this
	// host has read what the target wrote to the store since.
	presumedColdAt, presumedColdUntil time.Duration
	// suspicion is that the target has started again without this host's knowledge.
	// answeredPlacedAt is when the opening was placed that was answered last, of those
	// that were answered. restartReportedAt is when another host first reported a gap.
	suspicion         suspicion
	answeredPlacedAt  time.Duration
	restartReportedAt time.Duration
	// nextColdOpening is when this host may send the target its next opening
	// while the target is cold or suspected to be.
	nextColdOpening time.Duration
	// firstPending and lastPending are the ends of the list of this host's flows at
	// the target that are opening or busy, the oldest first.
	firstPending, lastPending *flow
	// speed is the target's speed relative to others.
	speed servicetime.Speed
}

// TokenOf returns the token of a target: a hash of its key, the same on every
// host and never 0.
func TokenOf(key fleet.TargetKey) Token {
	token := Token(xxh3.HashString("token/" + string(key)))
	if token == 0 {
		return 1
	}
	return token
}

// eligible reports whether the target may be assigned new flows.
func (t *target) eligible() bool {
	return !t.entry.Draining && !t.entry.Gone && !t.zoneOut && !t.shadowed
}

// cold reports whether the target is still warming up after its start, or is
// presumed to be.
func (t *target) cold(now time.Duration) bool {
	return now < t.entry.ColdUntil || now < t.presumedColdUntil || (t.suspicion.certain && t.suspicion.active(now))
}

// maybeCold reports whether the target is cold or suspected to be, so that its openings
// are counted.
func (t *target) maybeCold(now time.Duration) bool { return t.cold(now) || t.suspicion.active(now) }
