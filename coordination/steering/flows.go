package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

const (
	// openingRetention is how long a flow is kept that sent nothing after its
	// opening: the caller gives up an attempt after 1.4 s.
	openingRetention = 3 * time.Second
	// closedRetention is how long a flow is kept after its caller's FIN, for
	// retransmissions.
	closedRetention = 2 * time.Second
	// defaultIdleTimeout is how long an idle flow is kept if the configuration
	// sets no timeout.
	defaultIdleTimeout = 60 * time.Second
	// openingLoadExpiry is how long an opening counts as a request about to
	// arrive: callers send their first request with the end of the handshake.
	openingLoadExpiry = 500 * time.Millisecond
	// busyLoadExpiry and openLoadExpiry are how long after its caller's last
	// packet a flow counts as busy and as open. A caller that gave up, or whose
	// packets take another host now, sends no notice.
	busyLoadExpiry = 700 * time.Millisecond
	openLoadExpiry = 3 * time.Second
	// sweepInterval is the time between two sweeps of the flow table.
	sweepInterval = 250 * time.Millisecond
)

// flow is what a host records about one flow, for load figures, target health
// and retransmitted openings. All other packets find their target by token; the
// record is used for them only if the token is unknown.
type flow struct {
	target *target
	// placedAt is when an opening of the flow was last assigned to a target,
	// lastSeen when its caller's last packet arrived.
	placedAt time.Duration
	lastSeen time.Duration
	// pendingSince is when the oldest data was sent that the target has not
	// answered yet; it is out of date once all data is answered.
	pendingSince time.Duration
	// nextSeq is the sequence number after the caller's last data.
	nextSeq uint32
	// baseSeq is the value of nextSeq when the flow last made progress.
	baseSeq uint32
	ack     uint32
	busy    bool
	// foundFreeSlot is set if the target had a free slot when the flow's last
	// request was sent.
	foundFreeSlot bool
	// awaiting is set while data that this host forwarded is unanswered.
	awaiting bool
	// open is set once the caller has completed the handshake, openSince is when this
	// host first saw that.
	open      bool
	openSince time.Duration
	closed    bool
	// countedOpen is set while the flow counts as open at its target.
	countedOpen bool
	// opening is set until the caller sends data.
	opening bool
	// retransmitted is set when the flow has retransmitted data that is still
	// unanswered.
	retransmitted bool
	pendingWork
}

// seqAfter reports whether sequence number a is after b (RFC 9293, 3.4).
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// setOpen records that the caller has completed the handshake.
func (f *flow) setOpen(now time.Duration) { f.open, f.openSince = true, now }

// ensureFlow returns the state of a flow and creates it if there is none.
func (s *Steering) ensureFlow(key packet.Flow) *flow {
	f := s.flows[key]
	if f == nil {
		f = &flow{}
		s.flows[key] = f
	}
	return f
}

// attach assigns the flow to a target and counts it there.
func (s *Steering) attach(f *flow, t *target) {
	if f.target == t {
		return
	}
	s.detach(f)
	f.target = t
	s.setCountedOpen(f, true)
}

// detach removes the flow from its target and from the target's counts.
func (s *Steering) detach(f *flow) {
	if f.target == nil {
		return
	}
	s.setBusy(f, false)
	s.setOpening(f, false)
	s.setCountedOpen(f, false)
	f.target = nil
}

// setBusy sets whether a request of the flow is in progress and updates its
// target's count.
func (s *Steering) setBusy(f *flow, busy bool) {
	if f.busy == busy || f.target == nil {
		return
	}
	f.busy = busy
	if busy {
		f.target.busy++
	} else {
		f.target.busy--
	}
	f.target.updatePending(f)
}

// setCountedOpen sets whether the flow counts as open and updates its target's
// count.
func (s *Steering) setCountedOpen(f *flow, counted bool) {
	if f.countedOpen == counted {
		return
	}
	f.countedOpen = counted
	if counted {
		f.target.open++
	} else {
		f.target.open--
	}
}

// setOpening sets whether the flow is about to send its first request and
// updates its target's count.
func (s *Steering) setOpening(f *flow, opening bool) {
	if f.opening == opening || f.target == nil {
		return
	}
	f.opening = opening
	if opening {
		f.target.opening++
	} else {
		f.target.opening--
	}
	f.target.updatePending(f)
}

// sweep removes flows that have ended or are idle, and expires the load of
// flows without recent packets.
func (s *Steering) sweep(now time.Duration) {
	idle := s.view.Config.IdleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	for key, f := range s.flows {
		s.watchFlow(now, f)
		inactive := now - f.lastSeen
		if inactive > busyLoadExpiry {
			s.setBusy(f, false)
		}
		if inactive > openLoadExpiry {
			s.setCountedOpen(f, false)
		}
		if inactive > openingLoadExpiry {
			s.setOpening(f, false)
		}
		retention := idle
		switch {
		case f.closed:
			retention = closedRetention
		case !f.open:
			retention = openingRetention
		}
		if inactive > retention {
			s.detach(f)
			delete(s.flows, key)
		}
	}
}
