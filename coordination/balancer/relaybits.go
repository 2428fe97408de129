package balancer

// The low orderLen bits of packet.Relay.Excluded say which targets of the order
// are ruled out. These bits above them say more about the lookup.
const (
	// softRefused says, while placing, that some target refused only for being
	// above its fair share or still closed to the slot.
	softRefused = 1 << 15
	// fromReplica says, while looking a flow up, that Candidate was named by a
	// host that was told of the flow.
	fromReplica = 1 << 14
	// reordered says that a visited host saw the order change within
	// carefulMemory. A host that started since knows nothing of it, so the
	// others' word counts.
	reordered = 1 << 13
)
