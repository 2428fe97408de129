package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Lengths of fixed headers in bytes.
const (
	ipv4HeaderLen = 20
	ipv6HeaderLen = 40
	tcpHeaderLen  = 20
	udpHeaderLen  = 8
	icmpHeaderLen = 8
)

// Decoder decodes IP packets into preallocated layers. It does not allocate,
// neither for accepted nor for refused packets. It is not safe for concurrent
// use: each worker has its own.
type Decoder struct {
	ip4 layers.IPv4
	ip6 layers.IPv6
	udp layers.UDP
}

// ipPacket holds the addresses, the protocol and the payload of an IP packet.
type ipPacket struct {
	src, dst [16]byte
	proto    uint8
	payload  []byte
}

// Decode decodes raw, which must hold exactly one IP packet, into p.
// It returns the cause if the packet is refused; p is then undefined.
//
// IPv4 options, IPv6 extension headers and fragments are refused. The IPv4
// header checksum (RFC 791) and ICMP checksums are verified; those of TCP and
// UDP are left to the target, which receives the packet unchanged.
func (d *Decoder) Decode(raw []byte, p *Packet) Cause {
	*p = Packet{Raw: raw}
	var n ipPacket
	if cause := d.decodeIP(raw, &n); cause != CauseNone {
		return cause
	}
	if !validCaller(&n.src) {
		return CauseBadAddress
	}
	p.Flow.Caller = n.src
	p.Flow.Service.Addr = n.dst
	p.Flow.Service.Proto = n.proto
	switch n.proto {
	case ProtoTCP:
		return d.decodeTCP(n.payload, p)
	case ProtoUDP:
		return d.decodeUDP(n.payload, p)
	case ProtoICMP, ProtoICMPv6:
		return decodeICMP(&n, p)
	}
	return CauseUnknownProtocol
}

func (d *Decoder) decodeIP(raw []byte, n *ipPacket) Cause {
	if len(raw) == 0 {
		return CauseTruncated
	}
	switch raw[0] >> 4 {
	case 4:
		return d.decodeIPv4(raw, n)
	case 6:
		return d.decodeIPv6(raw, n)
	}
	return CauseBadVersion
}

func (d *Decoder) decodeIPv4(raw []byte, n *ipPacket) Cause {
	if cause := checkIPv4(raw); cause != CauseNone {
		return cause
	}
	if d.ip4.DecodeFromBytes(raw, gopacket.NilDecodeFeedback) != nil {
		return CauseBadHeader
	}
	if d.ip4.Flags&layers.IPv4MoreFragments != 0 || d.ip4.FragOffset != 0 {
		return CauseFragment
	}
	n.src = toIPv4Mapped(raw[12:16])
	n.dst = toIPv4Mapped(raw[16:20])
	n.proto = uint8(d.ip4.Protocol)
	n.payload = d.ip4.Payload
	if n.proto == ProtoICMPv6 {
		return CauseUnknownProtocol
	}
	return CauseNone
}

// checkIPv4 checks what gopacket would report with an allocated error.
func checkIPv4(raw []byte) Cause {
	if len(raw) < ipv4HeaderLen {
		return CauseTruncated
	}
	headerLen := int(raw[0]&0x0f) * 4
	if headerLen < ipv4HeaderLen {
		return CauseBadHeader
	}
	if headerLen > len(raw) {
		return CauseTruncated
	}
	if total := binary.BigEndian.Uint16(raw[2:4]); int(total) != len(raw) {
		return lengthCause(int(total), len(raw))
	}
	if checksum(raw[:headerLen], 0) != 0 {
		return CauseBadChecksum
	}
	if headerLen > ipv4HeaderLen {
		return CauseOptions
	}
	return CauseNone
}

func (d *Decoder) decodeIPv6(raw []byte, n *ipPacket) Cause {
	if cause := checkIPv6(raw); cause != CauseNone {
		return cause
	}
	if d.ip6.DecodeFromBytes(raw, gopacket.NilDecodeFeedback) != nil {
		return CauseBadHeader
	}
	n.src = [16]byte(raw[8:24])
	n.dst = [16]byte(raw[24:40])
	n.proto = uint8(d.ip6.NextHeader)
	n.payload = d.ip6.Payload
	if n.proto == ProtoICMP || isIPv4Mapped(&n.src) || isIPv4Mapped(&n.dst) {
		return ipv4InIPv6Cause(n.proto)
	}
	return CauseNone
}

// checkIPv6 checks what gopacket would report with an allocated error.
func checkIPv6(raw []byte) Cause {
	if len(raw) < ipv6HeaderLen {
		return CauseTruncated
	}
	if total := ipv6HeaderLen + int(binary.BigEndian.Uint16(raw[4:6])); total != len(raw) {
		return lengthCause(total, len(raw))
	}
	if len(raw) == ipv6HeaderLen {
		return CauseTruncated
	}
	switch layers.IPProtocol(raw[6]) {
	case layers.IPProtocolIPv6Fragment:
		return CauseFragment
	case layers.IPProtocolIPv6HopByHop, layers.IPProtocolIPv6Routing,
		layers.IPProtocolIPv6Destination:
		return CauseOptions
	}
	return CauseNone
}

func (d *Decoder) decodeTCP(b []byte, p *Packet) Cause {
	// gopacket allocates for each multipath option (RFC 8684), so the fixed part
	// of the header (RFC 9293, section 3.1) is decoded here.
	if len(b) < tcpHeaderLen {
		return CauseTruncated
	}
	headerLen := int(b[12]>>4) * 4
	if headerLen < tcpHeaderLen {
		return CauseBadHeader
	}
	if headerLen > len(b) {
		return CauseTruncated
	}
	p.Flow.CallerPort = binary.BigEndian.Uint16(b[0:2])
	p.Flow.Service.Port = binary.BigEndian.Uint16(b[2:4])
	p.Seq = binary.BigEndian.Uint32(b[4:8])
	p.Ack = binary.BigEndian.Uint32(b[8:12])
	p.AckValid = b[13]&tcpACK != 0
	p.PayloadLen = len(b) - headerLen
	return classifyTCP(b[13], p)
}

// TCP flags (RFC 9293, section 3.1).
const (
	tcpFIN = 1 << 0
	tcpSYN = 1 << 1
	tcpRST = 1 << 2
	tcpACK = 1 << 4
)

func classifyTCP(flags uint8, p *Packet) Cause {
	if sameEndpoints(&p.Flow) {
		return CauseBadAddress
	}
	switch flags & (tcpFIN | tcpSYN | tcpRST | tcpACK) {
	case tcpSYN:
		p.Class = Opening
	case tcpACK, tcpSYN | tcpACK:
		p.Class = Data
	case tcpFIN | tcpACK:
		p.Class = Closing
	case tcpRST, tcpRST | tcpACK:
		p.Class = Reset
	default:
		return CauseBadFlags
	}
	return CauseNone
}

func (d *Decoder) decodeUDP(b []byte, p *Packet) Cause {
	if len(b) < udpHeaderLen {
		return CauseTruncated
	}
	length := int(binary.BigEndian.Uint16(b[4:6]))
	if length < udpHeaderLen || length > len(b) {
		return CauseBadLength
	}
	if d.udp.DecodeFromBytes(b, gopacket.NilDecodeFeedback) != nil {
		return CauseBadHeader
	}
	p.Class = Datagram
	p.Flow.CallerPort = uint16(d.udp.SrcPort)
	p.Flow.Service.Port = uint16(d.udp.DstPort)
	p.PayloadLen = len(d.udp.Payload)
	if sameEndpoints(&p.Flow) {
		return CauseBadAddress
	}
	return CauseNone
}

func lengthCause(declared, received int) Cause {
	if declared > received {
		return CauseTruncated
	}
	return CauseBadLength
}

// ipv4InIPv6Cause returns why an IPv6 packet is refused whose flow could equal
// that of an IPv4 packet: ICMP for IPv4, and IPv4-mapped addresses (RFC 4291,
// section 2.5.5.2).
func ipv4InIPv6Cause(proto uint8) Cause {
	if proto == ProtoICMP {
		return CauseUnknownProtocol
	}
	return CauseBadAddress
}

func validCaller(addr *[16]byte) bool {
	a := netip.AddrFrom16(*addr).Unmap()
	return !a.IsUnspecified() && !a.IsMulticast()
}

func sameEndpoints(f *Flow) bool {
	return f.Caller == f.Service.Addr && f.CallerPort == f.Service.Port
}

func toIPv4Mapped(ipv4 []byte) [16]byte {
	return netip.AddrFrom4([4]byte(ipv4)).As16()
}

func isIPv4Mapped(addr *[16]byte) bool {
	return netip.AddrFrom16(*addr).Is4In6()
}

// checksum returns the Internet checksum (RFC 1071) of b, continued from the
// partial sum. It is 0 if b includes its own correct checksum.
func checksum(b []byte, sum uint32) uint16 {
	return gopacket.FoldChecksum(gopacket.ComputeChecksum(b, sum))
}
