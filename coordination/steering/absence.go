package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// Packets of open flows whose route or target this host does not know, or whose target
// is gone as far as it knows: the target may have started again under its key. Hosts
// read the store independently, so another host may have opened the flow by a change
// that this one has not read yet. The route and the target were written before the flow
// opened, so they are absent for certain once this host has read everything that was
// written before it first saw the flow. Until then the packets are dropped and the
// store is read; their callers retransmit them. After that the flow is reset, without
// waiting for its next packet.

const (
	// maxAbsentFlows bounds the flows without a known destination that are recorded. It is
	// above the number of flows that a host is expected to forward.
	maxAbsentFlows = 1 << 14
	// absentRetention is how long such a flow is kept after its last packet: longer
	// than the longest interval between a caller's retransmissions.
	absentRetention = 5 * time.Second
)

// absentFlow is an open flow whose route or target this host does not know.
type absentFlow struct {
	// firstSeen and lastSeen are when the first and the last of its packets arrived.
	firstSeen, lastSeen time.Duration
	// hadDestination is set if this host has seen the flow while its destination was in
	// the view.
	hadDestination bool
	token          Token
	ack            uint32
}

// handleAbsent decides about a packet of an open flow whose destination is absent
// from this host's view: its route or, by its token, its target. a.Key names the target
// if it is known.
func (s *Steering) handleAbsent(now time.Duration, p *Segment, a *Action, cause Cause) {
	a.Cause = cause
	if p.Class == packet.Reset {
		return
	}
	f := s.absent[p.Flow]
	if f == nil || f.token != p.Token {
		f = s.recordAbsent(now, p)
	}
	f.lastSeen, f.ack = now, p.Ack
	switch {
	case f.firstSeen == now:
		s.refresh()
	case s.isAbsent(f, cause):
		s.refuse(p, a, cause, verdict.MayHaveRun)
		delete(s.absent, p.Flow)
		s.removeFlow(p.Flow)
	}
}

// recordAbsent records when a packet of a flow without a known destination was first
// seen.
func (s *Steering) recordAbsent(now time.Duration, p *Segment) *absentFlow {
	if len(s.absent) >= maxAbsentFlows {
		s.forgetOneAbsent()
	}
	f := &absentFlow{firstSeen: now, token: p.Token}
	if known := s.flows[p.Flow]; known != nil && known.open && !known.closed {
		f.firstSeen, f.hadDestination = known.openSince, true
	}
	s.absent[p.Flow] = f
	return f
}

// forgetOneAbsent makes room for another flow. A flow that is still in use is recorded
// again by its next packet.
func (s *Steering) forgetOneAbsent() {
	for key := range s.absent {
		delete(s.absent, key)
		return
	}
}

// refresh starts a read of the store.
func (s *Steering) refresh() {
	if s.cfg.Refresh != nil {
		s.cfg.Refresh()
	}
}

// readSince reports whether this host has read everything that was written to the store
// before it first saw a flow, and whether the store has settled: after an outage, or its
// return from a copy, entries may be missing from it for a while.
func (s *Steering) readSince(f *absentFlow) (read, settled bool) {
	if s.cfg.CompleteTo == nil {
		return false, false
	}
	complete, settled := s.cfg.CompleteTo()
	return complete > f.firstSeen, settled
}

// isAbsent reports whether what the view lacks did not exist when this host first saw a
// flow. What it knows to have been dropped or to be gone is so whatever the store lacks.
func (s *Steering) isAbsent(f *absentFlow, cause Cause) bool {
	read, settled := s.readSince(f)
	ended := f.hadDestination && cause != CauseUnknownToken
	return read && (settled || ended)
}

// resolveAbsent resets the flows whose destination is absent for certain, and forgets
// those whose destination is known by now or that have sent nothing for a while.
func (s *Steering) resolveAbsent(now time.Duration, reset func(*Segment, *Action)) {
	for key, f := range s.absent {
		cause, target, absent := s.destinationAbsent(key, f.token)
		switch {
		case !absent || now >= f.lastSeen+absentRetention:
			delete(s.absent, key)
		case s.isAbsent(f, cause):
			s.counts.Resets[cause]++
			reset(
				&Segment{Flow: key, Class: packet.Data, Token: f.token, Ack: f.ack},
				&Action{Kind: Reset, Cause: cause, Key: target, Run: verdict.MayHaveRun},
			)
			delete(s.absent, key)
			s.removeFlow(key)
		default:
			if read, _ := s.readSince(f); !read {
				s.refresh()
			}
		}
	}
}

// destinationAbsent reports whether this host knows no destination for a flow, what of
// it is absent, and the key of a target that is gone.
func (s *Steering) destinationAbsent(key packet.Flow, token Token) (Cause, fleet.TargetKey, bool) {
	t := s.tokens[token]
	switch {
	case s.routes[key.Service] == nil:
		return CauseNoRoute, "", true
	case t == nil:
		return CauseUnknownToken, "", true
	case s.gone(t):
		return CauseTargetGone, t.entry.Key, true
	}
	return CauseKnown, "", false
}
