// Package peer defines the control messages that jujubehaven hosts exchange.
// transport/peerlink sends them as JSON-RPC 2.0 calls and notifications.
package peer

import "time"

// Host identifies one host and its addresses. It is constant for the lifetime
// of a process.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Incarnation increases with each restart of the process on a host.
	Incarnation uint64 `json:"inc"`
	// Relay is the UDP address for relayed packets and Control the TCP address
	// for control messages, each as "ip:port".
	Relay   string `json:"relay"`
	Control string `json:"control"`
}

// Phase is the lifecycle phase of a host.
type Phase uint8

const (
	// PhaseJoining hosts relay packets but own no targets yet.
	PhaseJoining Phase = iota
	// PhaseActive hosts own targets.
	PhaseActive
	// PhaseLeaving hosts own no targets any more and hand over their flows.
	PhaseLeaving
	// PhaseLeft hosts have handed over their flows and are about to exit; they
	// receive no more queries.
	PhaseLeft
)

// Heartbeat reports the sender's liveness and state to a peer.
type Heartbeat struct {
	// From is the ID of the sender: a hash of the host's name.
	From        uint32 `json:"f"`
	Incarnation uint64 `json:"i"`
	Phase       Phase  `json:"p"`
	Seq         uint64 `json:"s"`
	// View is the digest of the sender's members and documents.
	View uint32 `json:"v"`
	// Documents is the digest of the sender's documents in force.
	Documents uint64 `json:"d"`
	// Ramps lists the sender's targets that are still warming up: those with
	// closed slots or reduced limits.
	Ramps []TargetRamp `json:"w,omitempty"`
	// Loads lists the load of the sender's targets by service. Only some
	// heartbeats carry it.
	Loads []ServiceLoad `json:"l,omitempty"`
	// Retained lists targets that the receiver has taken over from the sender,
	// with the number of flows that the sender still counts there.
	Retained []RetainedFlows `json:"r,omitempty"`
	// Lost lists the IDs of the hosts whose heartbeats the sender no longer
	// receives.
	Lost []uint32 `json:"x,omitempty"`
	// ConfirmedAlive lists the IDs of the hosts that others report as lost and
	// whose heartbeats the sender still receives.
	ConfirmedAlive []uint32 `json:"k,omitempty"`
}

// RetainedFlows is the number of a target's flows that its former owner has not
// handed over yet.
type RetainedFlows struct {
	Target uint64 `json:"t"`
	Flows  int    `json:"n"`
}

// ServiceLoad is the total load of the sender's warm targets of one service.
type ServiceLoad struct {
	// Service is the ID of the service.
	Service uint32 `json:"s"`
	Flows   int    `json:"n"`
	// Weight is the sum of the targets' weights.
	Weight int `json:"w"`
}

// TargetRamp is the warm-up state of one target: the slots of the service's table
// in which it may accept new flows, and the part of its limits that is withheld.
type TargetRamp struct {
	Target uint64 `json:"t"`
	// OpenSlots bounds the keys of the target's open gated slots: a gated slot is
	// closed if its key is OpenSlots or higher. Slots that are not gated are always
	// open. coordination/balancer defines gated slots and slot keys.
	OpenSlots uint32 `json:"n"`
	// ColdPercent is the part of the target's limits that the ramp still
	// withholds, in percent; 0 for a warm target.
	ColdPercent uint8 `json:"c,omitempty"`
}

// Flows replicates flows to the owner of their target or to a successor, which may
// become the next owner. Flows at the first target of their slot's order are left
// out, since the receiver derives that target from the flow hash.
type Flows struct {
	From    uint32        `json:"f"`
	Targets []TargetFlows `json:"t"`
}

// TargetFlows lists the flows of a Flows message that started or ended at one
// target.
type TargetFlows struct {
	Target uint64 `json:"t"`
	// Add and End hold the fingerprints of started and ended flows: the high
	// 5 bytes of each flow hash, big-endian, concatenated.
	Add []byte `json:"a,omitempty"`
	End []byte `json:"e,omitempty"`
}

// Hello announces a host to a peer and requests the peer's list of hosts.
type Hello struct {
	Host  Host  `json:"host"`
	Phase Phase `json:"phase"`
}

// HelloReply lists the hosts that the peer currently knows.
type HelloReply struct {
	Hosts []Host `json:"hosts"`
}

// Inventory lists the documents that are in force on a host.
type Inventory struct {
	Documents []DocumentID `json:"docs"`
}

// DocumentID is the key and generation of one document.
type DocumentID struct {
	Key        string `json:"k"`
	Generation uint64 `json:"g"`
}

// Fetch requests a document by key; the reply is a Document.
type Fetch struct {
	Key string `json:"k"`
}

// Document holds the original YAML text of one document.
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

// CallTimeout is the timeout of every call between hosts.
const CallTimeout = time.Second
