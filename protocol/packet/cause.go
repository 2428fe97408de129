package packet

// Cause is the reason why a packet or a GUE header was refused.
type Cause uint8

const (
	// CauseNone means that the packet was accepted.
	CauseNone Cause = iota
	// CauseTruncated means that a part of the headers or of the payload is missing.
	CauseTruncated
	// CauseBadLength means any other contradiction between a length field and the
	// bytes received.
	CauseBadLength
	// CauseBadVersion means an IP version other than 4 and 6, or one that
	// contradicts the GUE header's protocol.
	CauseBadVersion
	// CauseBadHeader means a header length below the minimum of its protocol.
	CauseBadHeader
	// CauseBadChecksum means a wrong IPv4 header or ICMP checksum.
	CauseBadChecksum
	// CauseBadAddress means an unspecified or multicast caller, a caller that
	// equals the service, or an IPv4-mapped address in an IPv6 packet.
	CauseBadAddress
	// CauseBadFlags means an invalid combination of TCP flags.
	CauseBadFlags
	// CauseUnknownProtocol means a protocol other than TCP, UDP and ICMP.
	CauseUnknownProtocol
	// CauseOptions means IPv4 options or IPv6 extension headers.
	CauseOptions
	// CauseFragment means an IP fragment, which lacks ports or a part of the
	// payload.
	CauseFragment
	// CauseICMPQuery means an ICMP message other than an error.
	CauseICMPQuery
	// CauseBadICMP means an ICMP error that does not quote a flow of its
	// destination.
	CauseBadICMP
	// CauseGUEVariant means a GUE variant other than 0.
	CauseGUEVariant
	// CauseGUEControl means a GUE control message.
	CauseGUEControl
	// CauseGUEProtocol means that the GUE payload is not an IP packet.
	CauseGUEProtocol
	// CauseGUEFlags means GUE extension fields, none of which are supported.
	CauseGUEFlags
	// CauseBadRelay means private data that is not a valid relay header of this
	// version.
	CauseBadRelay
	// CauseCount is the number of causes.
	CauseCount
)

var causeNames = [CauseCount]string{
	"none", "truncated", "bad-length", "bad-version", "bad-header",
	"bad-checksum", "bad-address", "bad-flags", "unknown-protocol", "options",
	"fragment", "icmp-query", "bad-icmp", "gue-variant", "gue-control",
	"gue-protocol", "gue-flags", "bad-relay",
}

// String returns the name used in logs and metrics.
func (c Cause) String() string {
	if c < CauseCount {
		return causeNames[c]
	}
	return "unknown"
}
