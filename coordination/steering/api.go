// Package steering decides where the packets of flows go when packets carry a
// token that both ends of a flow send back: any host finds a flow's target
// from the token, without an owner, a relay or a message. It does no I/O,
// starts no goroutine and reads no clock. A Steering belongs to one goroutine.
package steering

import (
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// Token names a flow's target in its packets. 0 stands for none.
type Token uint32

// Segment is one decoded packet of a caller.
type Segment struct {
	Flow  packet.Flow
	Class packet.Class
	// Token is what the caller sends back of the last token it was given.
	Token Token
	// Copy counts the earlier openings of this flow, for openings.
	Copy uint32
	// Seq and Ack are the caller's sequence number and what it acknowledges.
	Seq, Ack uint32
	// Payload is the caller's data; it is valid during the call.
	Payload []byte
}

// Kind says what to do with a packet.
type Kind uint8

// Kinds of an Action.
const (
	// Drop discards the packet in silence; the caller sends it again.
	Drop Kind = iota
	// Forward sends the packet to Dest with Token and Target.
	Forward
	// Reset ends the flow at the caller.
	Reset
)

// Action is the decision about one packet. The caller owns it and reuses it.
type Action struct {
	Kind  Kind
	Cause Cause
	// Dest, Target and Token are set for Forward: where the packet goes, the
	// number of the intended target and the token to write.
	Dest   netip.AddrPort
	Target uint64
	Token  Token
	// Key is the target's key for Forward and, if known, for Reset.
	Key fleet.TargetKey
	// Placed is set when this packet was the first to be sent to the target.
	Placed bool
	// Load is the target's load at the placement, as a share of its slots.
	Load float64
	// RequestStarts is set when the packet carries the first data of a request.
	RequestStarts bool
	// HandshakeTook is the time from the opening's last copy to the caller's
	// answer to the target's, and AnswerTook that from a request's first data to
	// the first acknowledgement of its answer; 0 if the packet shows neither.
	HandshakeTook, AnswerTook time.Duration
	// Run says for Reset whether a request on the flow may have run.
	Run verdict.Run
	// ViewAge is the age of the target's last word that changed anything.
	ViewAge time.Duration
}

// Cause says why a packet was placed, dropped or answered by a reset.
type Cause uint8

// Causes of an Action.
const (
	// CauseKnown is a packet of a flow whose target is known.
	CauseKnown Cause = iota
	// CausePlaced is an opening that was given a target.
	CausePlaced
	// CausePlacedAway is an opening placed in another availability zone.
	CausePlacedAway
	// CauseReplaced is a repeated opening that was given another target.
	CauseReplaced
	// CauseNotReady is a packet that came before the host knew its targets.
	CauseNotReady
	// CauseNoRoute is a packet to an address that no route has.
	CauseNoRoute
	// CauseNoTarget is an opening for which no target is left.
	CauseNoTarget
	// CauseTargetGone is a packet of a flow whose target is gone.
	CauseTargetGone
	// CauseUnknownToken is a packet whose token no target has.
	CauseUnknownToken
	// CauseForged is a packet that no caller sends.
	CauseForged
	// CauseColdLimit is an opening for which only cold targets at their limit
	// are left.
	CauseColdLimit
	// CauseBusy is an opening that waits for its caller's next copy, since the
	// requests in work fill the targets.
	CauseBusy
	// CauseNoCapacity is an opening that is refused since every target has all
	// the requests that it queues.
	CauseNoCapacity
	// CauseTargetSilent is a packet of a flow that was given up since its target
	// answers nobody.
	CauseTargetSilent
	// CauseCount is the number of causes.
	CauseCount
)

// String returns the name used in logs and metrics.
func (c Cause) String() string {
	names := [CauseCount]string{
		"known", "placed", "placed-away", "replaced", "not-ready", "no-route",
		"no-target", "target-gone", "unknown-token", "forged", "cold-limit", "busy",
		"no-capacity", "target-silent",
	}
	if c < CauseCount {
		return names[c]
	}
	return "unknown"
}
