// Package peer defines the control messages between hosts of jujubehaven.
// They are plain values; transport/peerlink carries them over jsonrpc2.
package peer

import "time"

// Host describes one host to the others. It is fixed while a process lives.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Incarnation is higher for each later process of the same name.
	Incarnation uint64 `json:"inc"`
	// Relay is the UDP address for relayed packets and Control the TCP address
	// for messages, each as IP and port.
	Relay   string `json:"relay"`
	Control string `json:"control"`
}

// Phase is how far a host is in its life.
type Phase uint8

const (
	// PhaseJoining hosts relay but own nothing yet.
	PhaseJoining Phase = iota
	// PhaseActive hosts own targets.
	PhaseActive
	// PhaseLeaving hosts own nothing any more and still pass on what they know.
	PhaseLeaving
	// PhaseLeft hosts have handed over what they know and are about to exit:
	// they are asked nothing any more.
	PhaseLeft
)

// Heartbeat tells a peer that its sender lives and what it has in force.
type Heartbeat struct {
	From        uint32 `json:"f"`
	Incarnation uint64 `json:"i"`
	Phase       Phase  `json:"p"`
	Seq         uint64 `json:"s"`
	// View is the digest of the sender's members and documents.
	View uint32 `json:"v"`
	// Documents is the digest of the sender's documents in force.
	Documents uint64 `json:"d"`
	// Ramps lists the sender's targets that do not accept their whole share
	// of the hash space yet.
	Ramps []TargetRamp `json:"w,omitempty"`
	// Loads are the loads of the sender's targets, in some heartbeats.
	Loads []ServiceLoad `json:"l,omitempty"`
	// Retained lists targets that the receiver has taken over from the sender,
	// with the flows there that the sender still counts.
	Retained []RetainedFlows `json:"r,omitempty"`
	// Lost lists the hosts that the sender has stopped hearing from.
	Lost []uint32 `json:"x,omitempty"`
	// ConfirmedAlive lists hosts that others have lost and the sender still hears.
	ConfirmedAlive []uint32 `json:"k,omitempty"`
}

// RetainedFlows is the number of flows at a target that its former owner has not
// handed over yet.
type RetainedFlows struct {
	Target uint64 `json:"t"`
	Flows  int    `json:"n"`
}

// ServiceLoad sums up the sender's warm targets of one service.
type ServiceLoad struct {
	// Service is the ID of the service.
	Service uint32 `json:"s"`
	Flows   int    `json:"n"`
	// Weight is the sum of the targets' weights.
	Weight int `json:"w"`
}

// TargetRamp is how much of its hash space a warming target accepts, and how far
// its ramp is.
type TargetRamp struct {
	Target uint64 `json:"t"`
	// OpenSlots of the service's table, out of slots in all.
	OpenSlots uint32 `json:"n"`
	// ColdPercent is the share of its limits that the target's ramp still withholds,
	// in percent; 0 for a warm target.
	ColdPercent uint8 `json:"c,omitempty"`
}

// Flows tells the successor of a target's owner which flows are at a target
// that is not first in their order.
type Flows struct {
	From    uint32        `json:"f"`
	Targets []TargetFlows `json:"t"`
}

// TargetFlows is what a Flows message says about one target.
type TargetFlows struct {
	Target uint64 `json:"t"`
	// Add and End are flow fingerprints: the high 5 bytes of the flow hashes,
	// big-endian, one after the other.
	Add []byte `json:"a,omitempty"`
	End []byte `json:"e,omitempty"`
}

// Hello introduces a host to a peer and asks for the hosts it knows.
type Hello struct {
	Host  Host  `json:"host"`
	Phase Phase `json:"phase"`
}

// HelloReply lists the hosts that the peer has heard of lately.
type HelloReply struct {
	Hosts []Host `json:"hosts"`
}

// Inventory lists the documents a host has in force.
type Inventory struct {
	Documents []DocumentID `json:"docs"`
}

// DocumentID is the key and generation of one document.
type DocumentID struct {
	Key        string `json:"k"`
	Generation uint64 `json:"g"`
}

// Fetch asks a peer for a document by key; Document answers with its text.
type Fetch struct {
	Key string `json:"k"`
}

// Document is the text of one document as its owner wrote it.
type Document struct {
	Key  string `json:"k"`
	YAML string `json:"y"`
}

// Method names of the jsonrpc2 calls and notifications.
const (
	MethodHello     = "hello"
	MethodHeartbeat = "hb"
	MethodFlows     = "flows"
	MethodInventory = "inv"
	MethodFetch     = "fetch"
)

// CallTimeout bounds every call between hosts.
const CallTimeout = time.Second
