package balancer

// The low orderLen bits of packet.Relay.Excluded are the ruled-out targets
// of the order. The bits above them hold further lookup state.
const (
	// softRefused is set while placing if some target refused only because it
	// is above its fair share or closed to the slot.
	softRefused = 1 << 15
	// fromReplica is set during a lookup if Candidate comes from the replicas
	// of a visited host.
	fromReplica = 1 << 14
	// reordered is set if a visited host saw the order change within
	// duplicateWindow. Hosts that started later have not seen the change, so
	// the bit is relayed.
	reordered = 1 << 13
)
