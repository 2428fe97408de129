package packet

// MaxVisited is the maximum number of hosts that may relay one packet. It ends
// relay loops between hosts whose views differ.
const MaxVisited = 16

// RelayStage is the operation that a relayed packet requests from its receiver.
type RelayStage uint8

const (
	// StageNone marks a packet that was received from the fabric.
	StageNone RelayStage = iota
	// StageLookup requests the receiver to forward the packet to the flow's
	// target if it knows the flow, and otherwise to relay it to the next host.
	StageLookup
	// StagePlace requests the receiver to place the flow, which no visited host
	// knows, at an eligible target that it owns.
	StagePlace
	// StageAdopt requests the receiver to record the flow at Candidate and to
	// forward the packet.
	StageAdopt
	// StagePlaceAny is StagePlace with hard limits only. It follows a StagePlace
	// in which no target admitted the flow and some target refused it only
	// because of its fair share or a closed slot.
	StagePlaceAny
)

// Relay is the relay header, which hosts send in the private data of the GUE
// header. It holds the whole state of a lookup: hosts keep no state of packets
// that they relayed.
type Relay struct {
	Stage RelayStage
	// Visited holds the IDs of the hosts that the packet visited, oldest first;
	// the first VisitedLen entries are set.
	Visited    [MaxVisited]uint32
	VisitedLen uint8
	// ViewsDiffer is set when two visited hosts have different views. The flow may
	// then exist even if no visited host knows it.
	ViewsDiffer bool
	// PeerUnreachable is set when a host on the lookup path could not be reached.
	PeerUnreachable bool
	// View is the digest of the first visited host's view: its members and
	// documents.
	View uint32
	// Candidate is the ID of the target that may have the flow, 0 for none.
	Candidate uint64
	// Excluded holds a bit set over the flow's target order in its low bits. Bit i
	// is set if the flow is known not to be at the i-th target or, during
	// placement, if the i-th target has refused it. coordination/balancer stores
	// further state of the lookup in the high bits.
	Excluded uint16
}

// HasVisited reports whether the packet visited the host.
func (r *Relay) HasVisited(host uint32) bool {
	for _, id := range r.Visited[:r.VisitedLen] {
		if id == host {
			return true
		}
	}
	return false
}

// Visit records the host. It returns false if MaxVisited is reached.
func (r *Relay) Visit(host uint32) bool {
	if r.VisitedLen >= MaxVisited {
		return false
	}
	r.Visited[r.VisitedLen] = host
	r.VisitedLen++
	return true
}
