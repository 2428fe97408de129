// Package balancer makes the decisions of one host: which host owns a target,
// where a flow is placed, which hosts are queried about an unknown flow, and
// what is sent to peers. It does no I/O, starts no goroutine and reads no
// clock: callers pass the time and send the packets and messages that it
// returns.
package balancer

import (
	"net/netip"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// ActionKind is what to do with a packet.
type ActionKind uint8

const (
	// Drop discards the packet without a reply.
	Drop ActionKind = iota
	// Forward sends the packet to a target's tunnel address.
	Forward
	// RelayTo sends the packet with its Relay to another host.
	RelayTo
	// Refuse discards the packet and sends the resets immediately.
	Refuse
)

// Action is the decision about one packet. The caller owns it and reuses it.
type Action struct {
	Kind ActionKind
	// Dest is the target's tunnel for Forward, the host's relay address for
	// RelayTo.
	Dest netip.AddrPort
	// Target is the target's ID for Forward, Host the receiver's ID for RelayTo.
	Target uint64
	Host   uint32
	// Relay is the relay header for RelayTo.
	Relay packet.Relay
	// Drop is the cause for Drop.
	Drop DropCause
	// Verdict is set for Refuse. Resets[:ResetLen] must be sent whatever the
	// kind of the action.
	Verdict  verdict.Verdict
	Resets   [maxResets]Reset
	ResetLen uint8
}

// maxResets bounds the resets of one action.
const maxResets = 16

// clear empties the action for its next use.
func (a *Action) clear() {
	a.Kind = Drop
	a.Dest = netip.AddrPort{}
	a.Target = 0
	a.Host = 0
	a.Drop = 0
	a.Verdict = verdict.Verdict{}
	a.ResetLen = 0
}

// Reset is a TCP reset to one end of a flow. A UDP caller gets an ICMP error
// that quotes the refused packet instead.
type Reset struct {
	Flow packet.Flow
	// ToTarget sends the reset to Dest as if from the caller; otherwise it goes
	// to the caller as if from the service, through the fabric.
	ToTarget bool
	Dest     netip.AddrPort
	// Seq and Ack are the TCP fields of the reset (RFC 9293, section 3.5.2);
	// AckValid sets the ACK flag.
	Seq, Ack uint32
	AckValid bool
}

// DropCause is why a packet was dropped without a reply.
type DropCause uint8

const (
	// DropNoService means no service has the packet's address and port.
	DropNoService DropCause = iota
	// DropPeerUnreachable means a host that may have the flow is unreachable.
	DropPeerUnreachable
	// DropHopLimit means the packet was relayed by too many hosts.
	DropHopLimit
	// DropViewsDiffer means hosts have or may have different views; the caller
	// will retransmit.
	DropViewsDiffer
	// DropNotReady means this host has no documents yet, was paused, or can't
	// reach the owner of a target that accepts the flow.
	DropNotReady
	// DropUnknownFlow means a reset or an ICMP error belongs to no known flow, or
	// the target of a handed-over flow is in a zone that is out.
	DropUnknownFlow
	// DropTakingOver means a target is being taken over: its owner is new, or
	// its former owner was lost and it has no new one yet.
	DropTakingOver
	// DropCauseCount is the number of causes.
	DropCauseCount
)

// Outputs holds the messages and packets that the caller of Tick must send.
// Slices are valid until the next call of Tick.
type Outputs struct {
	Heartbeats []HeartbeatTo
	Flows      []FlowsTo
	Hellos     []HelloTo
	// FetchFrom lists hosts whose documents differ from those in force here.
	FetchFrom []peer.Host
	// Resets are the resets of flows that were given up.
	Resets []GivenUp
}

// HeartbeatTo is a heartbeat and its receiver.
type HeartbeatTo struct {
	To        peer.Host
	Heartbeat peer.Heartbeat
}

// FlowsTo is a message about flows and its receiver.
type FlowsTo struct {
	To    peer.Host
	Flows peer.Flows
}

// HelloTo is a hello and its receiver's control address.
type HelloTo struct {
	Control string
	Hello   peer.Hello
}

// GivenUp is a flow that was given up, with its verdict and the resets for its
// ends.
type GivenUp struct {
	Service  string
	Target   uint64
	Verdict  verdict.Verdict
	Resets   [2]Reset
	ResetLen uint8
}
