package gossip

// Summary is what the reader of a large zone tells the reader of another one.
type Summary struct {
	// Sequence numbers the summaries of one incarnation of the sender.
	Sequence uint64 `cbor:"1,keyasint"`
	// Services lists the services with traffic.
	Services []ServiceSummary `cbor:"2,keyasint,omitempty"`
	// Forwarded is set if a host of the receiver's zone has sent the summary on to the
	// reader; it is not forwarded again.
	Forwarded bool `cbor:"3,keyasint,omitempty"`
}

// ServiceSummary is the state of one service in the sender's zone.
type ServiceSummary struct {
	// An array is shorter than a map; a summary carries many entries.
	_ struct{} `cbor:",toarray"`

	// Service is a hash of the service's name.
	Service uint32
	// Slots counts the slots that take new flows and Busy the requests in progress at
	// the zone's targets without those of the receiver's zone.
	Slots uint32
	Busy  uint32
	// Demand counts the requests of the zone's callers in progress in any zone.
	Demand uint32
	// Offer is the number of requests in progress that the zone takes from the
	// receiver's zone, and Sent the number that it has in progress there.
	Offer uint32
	Sent  uint32
}

// ZoneSummary is a zone's summary in a digest.
type ZoneSummary struct {
	Zone string `cbor:"1,keyasint"`
	// AgeMS is the time in milliseconds since the summary arrived at the sender.
	AgeMS    uint32           `cbor:"2,keyasint,omitempty"`
	Services []ServiceSummary `cbor:"3,keyasint,omitempty"`
}
