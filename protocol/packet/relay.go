package packet

// MaxVisited bounds the hosts that one packet may pass, so that hosts whose
// views differ cannot relay a packet for ever.
const MaxVisited = 16

// RelayStage says what the sender of a relayed packet asks for.
type RelayStage uint8

const (
	// StageNone marks a packet that came from the fabric.
	StageNone RelayStage = iota
	// StageLookup asks the receiver to forward the packet if it knows the flow
	// and to pass it on if not.
	StageLookup
	// StagePlace asks the receiver to place the flow if it owns a candidate
	// target, since no visited host knows the flow.
	StagePlace
	// StageAdopt asks the receiver to record the flow at Candidate and forward.
	StageAdopt
	// StagePlaceAny is StagePlace after every target in the order was found
	// above its fair share: only hard limits count.
	StagePlaceAny
)

// Relay travels in the private data of the GUE header between hosts. It is
// all the state of a lookup: no host remembers a packet that it passed on.
type Relay struct {
	Stage RelayStage
	// Visited holds the IDs of the hosts that the packet passed, oldest first.
	Visited    [MaxVisited]uint32
	VisitedLen uint8
	// ViewsDiffer is set when two visited hosts work from different views, so
	// that nothing may be concluded from nobody knowing the flow.
	ViewsDiffer bool
	// PeerUnreachable is set when a host on the lookup path could not be reached.
	PeerUnreachable bool
	// View is the digest of the first visited host's view.
	View uint32
	// Candidate is the ID of the target that the flow may be at, 0 for none.
	Candidate uint64
	// Excluded is a bit set over the flow's order: bit i says that the flow is
	// known not to be at the i-th target or, while placing, that the i-th
	// target has refused it. The core uses the bits above for the lookup's
	// state.
	Excluded uint16
}

// HasVisited reports whether the packet passed the host.
func (r *Relay) HasVisited(host uint32) bool {
	for _, id := range r.Visited[:r.VisitedLen] {
		if id == host {
			return true
		}
	}
	return false
}

// Visit records the host; it reports false when the hop limit is reached.
func (r *Relay) Visit(host uint32) bool {
	if r.VisitedLen >= MaxVisited {
		return false
	}
	r.Visited[r.VisitedLen] = host
	r.VisitedLen++
	return true
}
