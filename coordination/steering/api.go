// Package steering makes the forwarding decisions of a host whose packets carry
// a token: both ends of a flow echo it, so any host finds the flow's target
// from the token, without an owner, a relay or a message to another host. It
// does no I/O, starts no goroutine and reads no clock. A Steering is not safe
// for concurrent use.
package steering

import (
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// Token identifies a flow's target in the flow's packets; 0 means no token.
type Token uint32

// Segment is one decoded packet from a caller.
type Segment struct {
	Flow  packet.Flow
	Class packet.Class
	// Token is the last token that the caller received, echoed.
	Token Token
	// Copy is the retransmission number of an opening: 0 for the first one.
	Copy uint32
	// Seq and Ack are the caller's sequence and acknowledgement numbers.
	Seq, Ack uint32
	// Payload is the caller's data; it is valid only during the call.
	Payload []byte
}

// Kind says what happens to a packet.
type Kind uint8

// Kinds of an Action.
const (
	// Drop discards the packet without a reply; the caller retransmits it.
	Drop Kind = iota
	// Forward sends the packet to Dest with Token and Target.
	Forward
	// Reset replies to the caller with a reset, which ends the flow.
	Reset
)

// Action is the decision about one packet. The caller owns it and reuses it.
type Action struct {
	Kind  Kind
	Cause Cause
	// Dest, Target and Token are set for Forward: the address that the packet is
	// sent to, the number of the intended target and the token to write into the
	// packet.
	Dest   netip.AddrPort
	Target uint64
	Token  Token
	// Key is the target's key for Forward and, if known, for Reset.
	Key fleet.TargetKey
	// Placed is set when the packet is an opening that was assigned a target by
	// this decision.
	Placed bool
	// Load is the target's load at the placement, in multiples of its slots.
	Load float64
	// RequestStarts is set when the packet carries the first data of a request.
	RequestStarts bool
	// HandshakeTime is the time from the flow's last placement to the packet that
	// completes the handshake. AnswerTime is the time from a request's first data
	// to the first acknowledgement of the response. Each is 0 if the packet does
	// not show it.
	HandshakeTime, AnswerTime time.Duration
	// Run is set for Reset: whether a request on the flow may have run.
	Run verdict.Run
	// ViewAge is the time since the last heartbeat of the target that this host
	// has recorded.
	ViewAge time.Duration
}

// Cause says why a packet was placed, dropped or answered by a reset.
type Cause uint8

// Causes of an Action.
const (
	// CauseKnown is a packet of a flow with a known target.
	CauseKnown Cause = iota
	// CausePlaced is an opening that was assigned a target.
	CausePlaced
	// CausePlacedAway is an opening assigned to a target in another availability
	// zone.
	CausePlacedAway
	// CauseReplaced is a retransmitted opening that was assigned to another
	// target than before.
	CauseReplaced
	// CauseNotReady is a packet that arrived before the host had a view of its
	// targets.
	CauseNotReady
	// CauseNoRoute is a packet to an address without a route.
	CauseNoRoute
	// CauseNoTarget is an opening for which no target is eligible.
	CauseNoTarget
	// CauseTargetGone is a packet of a flow whose target is gone.
	CauseTargetGone
	// CauseUnknownToken is a packet whose token matches no target.
	CauseUnknownToken
	// CauseForged is a packet whose source is the address of a service, which no
	// caller sends.
	CauseForged
	// CauseColdLimit is an opening for which only cold targets at their rate
	// limit are left.
	CauseColdLimit
	// CauseBusy is an opening that is dropped until the caller retransmits it,
	// because the queues of all targets are full.
	CauseBusy
	// CauseNoCapacity is an opening that is refused because the queues of all
	// targets are full and the caller will not retransmit it, or only when it is late.
	CauseNoCapacity
	// CauseTargetSilent is a packet of a flow that is reset because its target
	// answers no caller.
	CauseTargetSilent
	// The following causes exist only with Balancing.Admission. They are openings that
	// find less capacity than others, as they give way to them: they are dropped until
	// the caller retransmits them, or refused if it will not.

	// CauseLate is an opening that can't be served within its route's objective and
	// finds no free slot.
	CauseLate
	// CausePastTimeout is an opening that is refused because its answer would come
	// after the route's timeout.
	CausePastTimeout
	// CausePriority is an opening that leaves capacity to routes of higher priority.
	CausePriority
	// CauseFairShare is an opening of a caller that had more than its fair share of
	// the openings admitted in the last second.
	CauseFairShare
	// CauseRetryBudget is a repeated opening beyond the service's retry budget.
	CauseRetryBudget
	// CauseCount is the number of causes.
	CauseCount
)

// String returns the name used in logs and metrics.
func (c Cause) String() string {
	names := [CauseCount]string{
		"known", "placed", "placed-away", "replaced", "not-ready", "no-route",
		"no-target", "target-gone", "unknown-token", "forged", "cold-limit", "busy",
		"no-capacity", "target-silent", "late", "past-timeout", "priority", "fair-share",
		"retry-budget",
	}
	if c < CauseCount {
		return names[c]
	}
	return "unknown"
}
