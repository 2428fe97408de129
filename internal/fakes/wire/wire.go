// Package wire encodes and decodes the IP packets that the fakes exchange. It is
// for tests and the demo; the product decodes with protocol/packet.
package wire

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// ttl is the TTL or hop limit of the encoded packets.
const ttl = 64

// ErrInvalidPacket is returned for bytes that are not an IP packet with TCP, UDP or ICMP.
var ErrInvalidPacket = errors.New("wire: not a TCP, UDP or ICMP packet")

// Packet is a decoded packet. Exactly one of TCP, UDP and ICMP is set; with ICMP,
// the ports of Src and Dst are 0.
type Packet struct {
	Src, Dst netip.AddrPort
	TCP      *layers.TCP
	UDP      *layers.UDP
	ICMP     *ICMP
	Payload  []byte
}

// ICMP is an ICMPv4 or ICMPv6 error message.
type ICMP struct {
	Type, Code uint8
	// MTU is the field that holds the next-hop MTU in bytes in "packet too big";
	// the other errors that the fakes receive set it to 0.
	MTU uint32
	// Quoted is the start of the IP packet that caused the error.
	Quoted []byte
}

// ipLayer is an IP header that can be serialized and used for the pseudo-header of
// a transport checksum.
type ipLayer interface {
	gopacket.SerializableLayer
	gopacket.NetworkLayer
}

// TCP returns an IP packet with a TCP segment; the ports of header are set from
// src and dst.
func TCP(src, dst netip.AddrPort, header layers.TCP, payload []byte) []byte {
	ip := ipHeader(src.Addr(), dst.Addr(), layers.IPProtocolTCP)
	header.SrcPort = layers.TCPPort(src.Port())
	header.DstPort = layers.TCPPort(dst.Port())
	must(header.SetNetworkLayerForChecksum(ip))
	return serialize(ip, &header, gopacket.Payload(payload))
}

// UDP returns an IP packet with a UDP datagram.
func UDP(src, dst netip.AddrPort, payload []byte) []byte {
	ip := ipHeader(src.Addr(), dst.Addr(), layers.IPProtocolUDP)
	header := layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(dst.Port())}
	must(header.SetNetworkLayerForChecksum(ip))
	return serialize(ip, &header, gopacket.Payload(payload))
}

// ICMPError returns an ICMP error from the address src about quoted, the start
// of an IP packet. The 32 bits after the checksum are zero.
func ICMPError(src, dst netip.Addr, icmpType, code uint8, quoted []byte) []byte {
	if dst.Is4() {
		header := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(icmpType, code)}
		return serialize(ipHeader(src, dst, layers.IPProtocolICMPv4), header, gopacket.Payload(quoted))
	}
	ip := ipHeader(src, dst, layers.IPProtocolICMPv6)
	header := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(icmpType, code)}
	must(header.SetNetworkLayerForChecksum(ip))
	return serialize(ip, header, gopacket.Payload(append(make([]byte, 4), quoted...)))
}

func ipHeader(src, dst netip.Addr, proto layers.IPProtocol) ipLayer {
	if src.Is4() {
		return &layers.IPv4{
			Version: 4, TTL: ttl, Protocol: proto, Flags: layers.IPv4DontFragment,
			SrcIP: net.IP(src.AsSlice()), DstIP: net.IP(dst.AsSlice()),
		}
	}
	return &layers.IPv6{
		Version: 6, HopLimit: ttl, NextHeader: proto,
		SrcIP: net.IP(src.AsSlice()), DstIP: net.IP(dst.AsSlice()),
	}
}

func serialize(parts ...gopacket.SerializableLayer) []byte {
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	must(gopacket.SerializeLayers(buf, opts, parts...))
	return buf.Bytes()
}

// must panics on an error, since serializing the headers built here fails only
// because of a programming error.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Parse decodes the IP packet raw. The result refers to raw. The error is
// ErrInvalidPacket.
func Parse(raw []byte) (*Packet, error) {
	if len(raw) == 0 {
		return nil, ErrInvalidPacket
	}
	first := layers.LayerTypeIPv4
	if raw[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	decoded := gopacket.NewPacket(raw, first, gopacket.NoCopy)
	network := decoded.NetworkLayer()
	if network == nil {
		return nil, ErrInvalidPacket
	}
	flow := network.NetworkFlow()
	src, _ := netip.AddrFromSlice(flow.Src().Raw())
	dst, _ := netip.AddrFromSlice(flow.Dst().Raw())
	p := &Packet{Src: netip.AddrPortFrom(src, 0), Dst: netip.AddrPortFrom(dst, 0)}
	if !p.decodeTransport(decoded) {
		return nil, ErrInvalidPacket
	}
	return p, nil
}

func (p *Packet) decodeTransport(decoded gopacket.Packet) bool {
	switch l := decoded.TransportLayer().(type) {
	case *layers.TCP:
		p.TCP = l
		p.setPortsAndPayload(uint16(l.SrcPort), uint16(l.DstPort), l.Payload)
		return true
	case *layers.UDP:
		p.UDP = l
		p.setPortsAndPayload(uint16(l.SrcPort), uint16(l.DstPort), l.Payload)
		return true
	}
	if l, ok := decoded.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4); ok {
		p.ICMP = &ICMP{
			Type: l.TypeCode.Type(), Code: l.TypeCode.Code(),
			MTU: uint32(l.Seq), Quoted: l.Payload,
		}
		return true
	}
	if l, ok := decoded.Layer(layers.LayerTypeICMPv6).(*layers.ICMPv6); ok {
		return p.decodeICMPv6(l)
	}
	return false
}

func (p *Packet) decodeICMPv6(l *layers.ICMPv6) bool {
	const wordLen = 4
	if len(l.Payload) < wordLen {
		return false
	}
	word := l.Payload[:wordLen]
	p.ICMP = &ICMP{
		Type: l.TypeCode.Type(), Code: l.TypeCode.Code(),
		MTU:    uint32(word[0])<<24 | uint32(word[1])<<16 | uint32(word[2])<<8 | uint32(word[3]),
		Quoted: l.Payload[wordLen:],
	}
	return true
}

func (p *Packet) setPortsAndPayload(src, dst uint16, payload []byte) {
	p.Src = netip.AddrPortFrom(p.Src.Addr(), src)
	p.Dst = netip.AddrPortFrom(p.Dst.Addr(), dst)
	p.Payload = payload
}
