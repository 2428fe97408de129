package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// agreementTimeout is how long an active host waits for its peers to have the
// same view; after that it counts as ready.
const agreementTimeout = 5 * time.Second

// readiness is the state of Ready. The balancer's mutex guards it.
type readiness struct {
	// incarnation is the one that the other fields belong to.
	incarnation uint64
	// activeSince is when Ready first saw this incarnation active, valid if
	// active is set.
	active      bool
	activeSince time.Duration
	// wasReady is set once this incarnation was ready: later changes of hosts
	// or documents, which reach the hosts one by one, don't make it unready.
	wasReady bool
}

// checkReady reports whether the host is active or leaving and its peers have
// the same view, or have had agreementTimeout to get it. The caller holds mu.
func (b *Balancer) checkReady(v *view) bool {
	if b.phase != peer.PhaseActive && b.phase != peer.PhaseLeaving {
		return false
	}
	now := time.Duration(b.lastTick.Load())
	r := &b.readiness
	if !r.active || r.incarnation != b.cfg.Host.Incarnation {
		*r = readiness{incarnation: b.cfg.Host.Incarnation, active: true, activeSince: now}
	}
	if !r.wasReady {
		r.wasReady = b.phase == peer.PhaseLeaving || now-r.activeSince >= agreementTimeout || b.peersAgree(now, v)
	}
	return r.wasReady
}

// peersAgree reports whether every directly reachable peer had the same view as
// this host in its last heartbeat.
func (b *Balancer) peersAgree(now time.Duration, v *view) bool {
	for _, m := range b.members.list {
		if m.direct(now) && m.view != v.digest {
			return false
		}
	}
	return true
}
