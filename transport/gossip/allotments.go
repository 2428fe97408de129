package gossip

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// holdings returns what the host's heartbeat reports of its slots.
func (e *Exchange) holdings() *gossip.Holdings {
	if e.cfg.Targets == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.Holdings(e.cfg.Clock())
}

// allot computes the table of this round, if this host is the reader of a large
// zone, and the groups' parts of it. The caller holds e.mu.
func (e *Exchange) allot(now time.Duration, r *round) {
	if e.cfg.Targets == nil {
		return
	}
	e.peers.Allot(now, e.cfg.Targets())
	if r.digest != nil {
		for i := range r.groups {
			r.parts = append(r.parts, e.peers.AllotmentsFor(&r.groups[i]))
		}
	}
	r.prevAllotted, e.allotted = e.allotted, e.peers.Share().Valid(now)
	r.allotted = e.allotted
}

// reportAllotments logs when this host's share of the slots comes into force or
// expires.
func (e *Exchange) reportAllotments(r *round) {
	switch {
	case r.allotted && !r.prevAllotted:
		e.cfg.Log.Info().Str("event", "allotments_in_force").Int("slots", r.loads.Share.Slots()).Int("hosts", r.hosts).Send()
	case !r.allotted && r.prevAllotted:
		e.cfg.Log.Warn().Str("event", "allotments_expired").Dur("age_ms", r.loads.Share.Age(e.cfg.Clock())).Int("hosts", r.hosts).Send()
	}
}
