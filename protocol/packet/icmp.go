package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"
)

const (
	// portsLen is the length in bytes of the part of the quoted transport header
	// that holds both ports, which every ICMP error includes (RFC 792).
	portsLen = 4
	// ipv6FragmentHeaderLen is the length of the fragment header in bytes, and
	// fragmentOffsetShift the number of bits after the offset in its 16-bit field
	// (RFC 8200, section 4.5).
	ipv6FragmentHeaderLen = 8
	fragmentOffsetShift   = 3
)

// decodeICMP decodes the ICMP error in n. The quoted packet was sent by a target,
// so its source is the service and its destination the caller.
func decodeICMP(n *ipPacket, p *Packet) Cause {
	if len(n.payload) < icmpHeaderLen {
		return CauseTruncated
	}
	sum := uint32(0)
	if n.proto == ProtoICMPv6 {
		sum = pseudoHeaderSum(n.src[:], n.dst[:], ProtoICMPv6, len(n.payload))
	}
	if checksum(n.payload, sum) != 0 {
		return CauseBadChecksum
	}
	if !isICMPError(n.proto, n.payload[0]) {
		return CauseICMPQuery
	}
	p.Class = ICMPError
	var quoted ipPacket
	if cause := decodeQuoted(n.proto, n.payload[icmpHeaderLen:], &quoted); cause != CauseNone {
		return cause
	}
	if quoted.src != n.dst || !validCaller(&quoted.dst) {
		return CauseBadICMP
	}
	return decodeQuotedFlow(&quoted, &p.Flow)
}

// isICMPError reports whether the type is an error (RFC 792; RFC 4443, section
// 2.1) rather than a query. Redirect and source quench count as queries: they are
// meant for routers and old hosts, and they require no action here.
func isICMPError(proto, icmpType uint8) bool {
	if proto == ProtoICMPv6 {
		return icmpType >= layers.ICMPv6TypeDestinationUnreachable &&
			icmpType <= layers.ICMPv6TypeParameterProblem
	}
	switch icmpType {
	case layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4TypeTimeExceeded,
		layers.ICMPv4TypeParameterProblem:
		return true
	}
	return false
}

func decodeQuoted(proto uint8, b []byte, n *ipPacket) Cause {
	if len(b) == 0 {
		return CauseTruncated
	}
	switch {
	case proto == ProtoICMP && b[0]>>4 == 4:
		return decodeQuotedIPv4(b, n)
	case proto == ProtoICMPv6 && b[0]>>4 == 6:
		return decodeQuotedIPv6(b, n)
	}
	return CauseBadICMP
}

// decodeQuotedIPv4 decodes the IPv4 header of a quoted packet, which may be
// truncated. A first fragment is accepted, since it holds the ports.
func decodeQuotedIPv4(b []byte, n *ipPacket) Cause {
	if len(b) < ipv4HeaderLen {
		return CauseTruncated
	}
	headerLen := int(b[0]&0x0f) * 4
	if headerLen < ipv4HeaderLen {
		return CauseBadHeader
	}
	if headerLen > len(b) {
		return CauseTruncated
	}
	const offsetMask = 0x1fff
	if binary.BigEndian.Uint16(b[6:8])&offsetMask != 0 {
		return CauseFragment
	}
	n.src = toIPv4Mapped(b[12:16])
	n.dst = toIPv4Mapped(b[16:20])
	n.proto = b[9]
	n.payload = b[headerLen:]
	return CauseNone
}

func decodeQuotedIPv6(b []byte, n *ipPacket) Cause {
	if len(b) < ipv6HeaderLen {
		return CauseTruncated
	}
	n.src = [16]byte(b[8:24])
	n.dst = [16]byte(b[24:40])
	n.proto = b[6]
	n.payload = b[ipv6HeaderLen:]
	if layers.IPProtocol(n.proto) != layers.IPProtocolIPv6Fragment {
		return CauseNone
	}
	if len(n.payload) < ipv6FragmentHeaderLen {
		return CauseTruncated
	}
	if binary.BigEndian.Uint16(n.payload[2:4])>>fragmentOffsetShift != 0 {
		return CauseFragment
	}
	n.proto = n.payload[0]
	n.payload = n.payload[ipv6FragmentHeaderLen:]
	return CauseNone
}

func decodeQuotedFlow(quoted *ipPacket, f *Flow) Cause {
	if quoted.proto != ProtoTCP && quoted.proto != ProtoUDP {
		return CauseBadICMP
	}
	if len(quoted.payload) < portsLen {
		return CauseTruncated
	}
	f.Caller = quoted.dst
	f.CallerPort = binary.BigEndian.Uint16(quoted.payload[2:4])
	f.Service.Addr = quoted.src
	f.Service.Port = binary.BigEndian.Uint16(quoted.payload[0:2])
	f.Service.Proto = quoted.proto
	if sameEndpoints(f) {
		return CauseBadICMP
	}
	return CauseNone
}
