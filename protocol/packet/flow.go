// Package packet decodes the IP packets of callers, encodes and decodes GUE
// encapsulation, and builds TCP resets and ICMP errors. It does no I/O.
package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// Endpoint is one address, port and protocol of a service.
// Addr holds an IPv4 address in IPv4-mapped IPv6 form.
type Endpoint struct {
	Addr  [16]byte
	Port  uint16
	Proto uint8
}

// IP protocol numbers (IANA "Protocol Numbers").
const (
	ProtoICMP   uint8 = 1
	ProtoTCP    uint8 = 6
	ProtoUDP    uint8 = 17
	ProtoICMPv6 uint8 = 58
)

// NewEndpoint returns the endpoint of an address, port and protocol.
func NewEndpoint(addr netip.AddrPort, proto uint8) Endpoint {
	return Endpoint{Addr: addr.Addr().As16(), Port: addr.Port(), Proto: proto}
}

// AddrPort returns the endpoint's address and port, with IPv4 unmapped.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(e.Addr).Unmap(), e.Port)
}

// Flow is the 5-tuple that identifies the packets from one caller's port to one
// endpoint. Caller holds an IPv4 address in IPv4-mapped IPv6 form.
type Flow struct {
	Caller     [16]byte
	CallerPort uint16
	Service    Endpoint
}

// hashInputLen is the length in bytes of the encoded flow that Hash hashes.
const hashInputLen = 16 + 2 + 16 + 2 + 1

// Hash returns the 64-bit XXH3 hash of the flow, which is the same on every host.
func (f *Flow) Hash() uint64 {
	var b [hashInputLen]byte
	copy(b[0:16], f.Caller[:])
	binary.BigEndian.PutUint16(b[16:18], f.CallerPort)
	copy(b[18:34], f.Service.Addr[:])
	binary.BigEndian.PutUint16(b[34:36], f.Service.Port)
	b[36] = f.Service.Proto
	return xxh3.Hash(b[:])
}

// CallerAddr returns the caller's address and port, with IPv4 unmapped.
func (f *Flow) CallerAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(f.Caller).Unmap(), f.CallerPort)
}

// Class is the role of a packet in its flow.
type Class uint8

const (
	// Opening is a TCP SYN without ACK.
	Opening Class = iota
	// Data is any other TCP packet without FIN or RST.
	Data
	// Closing is a TCP packet with FIN.
	Closing
	// Reset is a TCP packet with RST.
	Reset
	// Datagram is a UDP packet. It may open a flow and always carries payload.
	Datagram
	// ICMPError reports a problem with a packet that a target sent to the
	// caller; Flow is the flow of the quoted packet.
	ICMPError
)

// Packet is one decoded IP packet from a caller to a service address.
// Raw aliases the receive buffer, so a Packet is valid until the buffer is reused.
type Packet struct {
	Raw   []byte
	Flow  Flow
	Class Class
	// PayloadLen is the length of the TCP or UDP payload in bytes.
	PayloadLen int
	// Seq, Ack and AckValid are the TCP fields of the packet.
	Seq, Ack uint32
	AckValid bool
}
