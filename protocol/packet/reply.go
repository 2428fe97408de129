package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"
)

// generatedTTL is the TTL or hop limit of generated packets.
const generatedTTL = 64

// Maximum lengths of ICMP errors in bytes, including the IP header, which every
// path carries: 576 (RFC 1812, section 4.3.2.3) and 1280 (RFC 4443, section 2.4).
const (
	maxICMPv4ErrorLen = 576
	maxICMPv6ErrorLen = 1280
)

// AppendReset appends an IP packet with a TCP reset for the flow. Its source is
// the service and its destination the caller; toTarget swaps the two, for a reset
// that is sent to the target. The acknowledgment number ack is sent only if
// ackValid is set (RFC 9293, section 3.5.2).
func AppendReset(dst []byte, flow *Flow, toTarget bool, seq, ack uint32, ackValid bool) []byte {
	src, srcPort := &flow.Service.Addr, flow.Service.Port
	to, toPort := &flow.Caller, flow.CallerPort
	if toTarget {
		src, to = to, src
		srcPort, toPort = toPort, srcPort
	}
	dst, start := appendIPHeader(dst, src, to, ProtoTCP, tcpHeaderLen)
	dst = binary.BigEndian.AppendUint16(dst, srcPort)
	dst = binary.BigEndian.AppendUint16(dst, toPort)
	dst = binary.BigEndian.AppendUint32(dst, seq)
	flags := uint8(tcpRST)
	if ackValid {
		flags |= tcpACK
	} else {
		ack = 0
	}
	dst = binary.BigEndian.AppendUint32(dst, ack)
	dst = append(dst, tcpHeaderLen/4<<4, flags, 0, 0, 0, 0, 0, 0)
	segment := dst[start:]
	sum := pseudoHeaderSum(src[:], to[:], ProtoTCP, len(segment))
	binary.BigEndian.PutUint16(segment[16:18], checksum(segment, sum))
	return dst
}

// AppendUnreachable appends the ICMP error "port unreachable" (RFC 792, RFC
// 4443) that quotes original, a packet that Decode accepted. It appends nothing
// if original is itself an ICMP error (RFC 1122, section 3.2.2). The calling code
// limits the rate.
func AppendUnreachable(dst []byte, original *Packet) []byte {
	if original.Raw[0]>>4 == 4 {
		return appendICMPError(dst, original, layers.ICMPv4TypeDestinationUnreachable,
			layers.ICMPv4CodePort, 0)
	}
	return appendICMPError(dst, original, layers.ICMPv6TypeDestinationUnreachable,
		layers.ICMPv6CodePortUnreachable, 0)
}

// AppendPacketTooBig appends the ICMP error that limits the caller of original
// to IP packets of at most mtu bytes (RFC 1191, RFC 8201). It appends nothing if
// original is itself an ICMP error. The calling code limits the rate.
func AppendPacketTooBig(dst []byte, original *Packet, mtu uint16) []byte {
	if original.Raw[0]>>4 == 4 {
		return appendICMPError(dst, original, layers.ICMPv4TypeDestinationUnreachable,
			layers.ICMPv4CodeFragmentationNeeded, uint32(mtu))
	}
	return appendICMPError(dst, original, layers.ICMPv6TypePacketTooBig, 0, uint32(mtu))
}

// appendICMPError appends an ICMP error from the destination of original to its
// source. restOfHeader is the 32 bits after the checksum; as much of original is
// quoted as fits.
func appendICMPError(dst []byte, original *Packet, icmpType, code uint8, restOfHeader uint32) []byte {
	if original.Class == ICMPError {
		return dst
	}
	proto, quote := ProtoICMP, maxICMPv4ErrorLen-ipv4HeaderLen-icmpHeaderLen
	if original.Raw[0]>>4 == 6 {
		proto, quote = ProtoICMPv6, maxICMPv6ErrorLen-ipv6HeaderLen-icmpHeaderLen
	}
	quote = min(quote, len(original.Raw))
	src, to := &original.Flow.Service.Addr, &original.Flow.Caller
	dst, start := appendIPHeader(dst, src, to, proto, icmpHeaderLen+quote)
	dst = append(dst, icmpType, code, 0, 0)
	dst = binary.BigEndian.AppendUint32(dst, restOfHeader)
	dst = append(dst, original.Raw[:quote]...)
	message := dst[start:]
	sum := uint32(0)
	if proto == ProtoICMPv6 {
		sum = pseudoHeaderSum(src[:], to[:], proto, len(message))
	}
	binary.BigEndian.PutUint16(message[2:4], checksum(message, sum))
	return dst
}

// appendIPHeader appends an IPv4 header if both addresses are IPv4-mapped and
// an IPv6 header otherwise. It returns the index where the payload starts.
func appendIPHeader(dst []byte, src, to *[16]byte, proto uint8, payloadLen int) ([]byte, int) {
	if isIPv4Mapped(src) && isIPv4Mapped(to) {
		dst = appendIPv4Header(dst, src[12:], to[12:], proto, payloadLen)
	} else {
		dst = appendIPv6Header(dst, src[:], to[:], proto, payloadLen)
	}
	return dst, len(dst)
}

// appendIPv4Header sets "don't fragment", so the identification field has no
// meaning and stays 0 (RFC 6864).
func appendIPv4Header(dst, src, to []byte, proto uint8, payloadLen int) []byte {
	start := len(dst)
	dst = append(dst, 0x45, 0)
	dst = binary.BigEndian.AppendUint16(dst, uint16(ipv4HeaderLen+payloadLen))
	dst = append(dst, 0, 0, uint8(layers.IPv4DontFragment)<<5, 0, generatedTTL, proto, 0, 0)
	dst = append(dst, src...)
	dst = append(dst, to...)
	binary.BigEndian.PutUint16(dst[start+10:], checksum(dst[start:], 0))
	return dst
}

func appendIPv6Header(dst, src, to []byte, proto uint8, payloadLen int) []byte {
	dst = append(dst, 0x60, 0, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, uint16(payloadLen))
	dst = append(dst, proto, generatedTTL)
	dst = append(dst, src...)
	return append(dst, to...)
}

// pseudoHeaderSum returns the partial checksum over the pseudo-header of a
// segment (RFC 9293, section 3.1; RFC 8200, section 8.1). The prefix of an
// IPv4-mapped address adds 0xffff, which is zero in ones' complement
// arithmetic, so the sum is correct for both IP versions.
func pseudoHeaderSum(src, dst []byte, proto uint8, length int) uint32 {
	sum := uint32(proto) + uint32(length)
	for i := 0; i < len(src); i += 2 {
		sum += uint32(binary.BigEndian.Uint16(src[i:]))
		sum += uint32(binary.BigEndian.Uint16(dst[i:]))
	}
	return sum
}
