package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

const (
	// openingKept is how long an opening that was never followed is kept: the
	// caller gives up an attempt after 1.4 s.
	openingKept = 3 * time.Second
	// closedKept is how long a flow is kept after its caller's FIN, for what is
	// retransmitted.
	closedKept = 2 * time.Second
	// defaultIdle is how long a silent flow is kept without a configuration.
	defaultIdle = 60 * time.Second
	// openingFresh is how long an opening counts as work about to come: callers
	// send their first request with the end of the handshake.
	openingFresh = 500 * time.Millisecond
	// busyFresh is how long a request counts as work after its caller's last
	// packet, and openFresh how long a flow counts as open. A caller that gave
	// up, or whose packets take another host now, says nothing.
	busyFresh = 700 * time.Millisecond
	openFresh = 3 * time.Second
	// sweepInterval is the time between two looks at all flows.
	sweepInterval = 250 * time.Millisecond
)

// flow is what a host remembers of one flow. It serves load figures and
// evidence about targets only: packets find their target by token.
type flow struct {
	target *target
	// placed is when the opening was last sent to a target.
	placed time.Duration
	seen   time.Duration
	// asked is when the data was first sent that the target has not answered
	// yet; busy is set meanwhile.
	asked time.Duration
	// nextSeq is the sequence number after the caller's data so far.
	nextSeq uint32
	// baseSeq is nextSeq when the flow last made progress.
	baseSeq uint32
	ack     uint32
	busy    bool
	// open is set once the caller has answered the target's handshake.
	open   bool
	closed bool
	// counted is set while the flow counts as open at its target.
	counted bool
	// opening is set until the caller sends data.
	opening bool
	// repeated is set when the flow has repeated data that was not answered.
	repeated bool
}

// seqAfter reports whether sequence number a is after b (RFC 9293, 3.4).
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// repeats reports whether a packet repeats data that was repeated before
// without an answer.
func (f *flow) repeats(p *Segment) bool {
	return f.repeated && len(p.Payload) > 0 && !seqAfter(p.Seq+uint32(len(p.Payload)), f.nextSeq) && !seqAfter(p.Ack, f.ack)
}

// remember returns the flow's state, new if it is not known.
func (s *Steering) remember(key packet.Flow) *flow {
	f := s.flows[key]
	if f == nil {
		f = &flow{}
		s.flows[key] = f
	}
	return f
}

// attach counts the flow at a target.
func (s *Steering) attach(f *flow, t *target) {
	if f.target == t {
		return
	}
	s.detach(f)
	f.target = t
	s.setCounted(f, true)
}

// detach takes the flow out of its target's counts.
func (s *Steering) detach(f *flow) {
	if f.target == nil {
		return
	}
	s.setBusy(f, false)
	s.setOpening(f, false)
	s.setCounted(f, false)
	f.target = nil
}

// setBusy counts whether the target works on a request of the flow.
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
}

// setCounted counts the flow among its target's open ones.
func (s *Steering) setCounted(f *flow, counted bool) {
	if f.counted == counted {
		return
	}
	f.counted = counted
	if counted {
		f.target.open++
	} else {
		f.target.open--
	}
}

// setOpening counts whether the flow is about to send its first request.
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
}

// sweep forgets flows that have ended or are silent.
func (s *Steering) sweep(now time.Duration) {
	idle := s.view.Config.IdleTimeout
	if idle <= 0 {
		idle = defaultIdle
	}
	for key, f := range s.flows {
		silent := now - f.seen
		if silent > busyFresh {
			s.setBusy(f, false)
		}
		if silent > openFresh {
			s.setCounted(f, false)
		}
		if silent > openingFresh {
			s.setOpening(f, false)
		}
		kept := idle
		switch {
		case f.closed:
			kept = closedKept
		case !f.open:
			kept = openingKept
		}
		if silent > kept {
			s.detach(f)
			delete(s.flows, key)
		}
	}
}
