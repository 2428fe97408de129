package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet, as PROTOCOL.md gives them.
const (
	flagSYN     = 2
	flagBounced = 8
	flagRST     = 16
	flagFIN     = 64
	flagACK     = 128
)

// headerBytes is the length of a packet's header, numberBytes that of the number of the
// intended backend in front of a packet.
const (
	headerBytes = 32
	numberBytes = 8
)

// sumKey is the key of the packets' sums. The hosts do not know it.
const sumKey = "review-3"

// packet is one packet of a flow.
type packet struct {
	echo     uint32
	flags    byte
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
	// sum is the sum as received; encode computes it.
	sum uint32
}

func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint32(b, p.echo)
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	b[10] = p.flags
	binary.BigEndian.PutUint32(b[12:], p.seq)
	binary.BigEndian.PutUint32(b[16:], p.ack)
	binary.BigEndian.PutUint16(b[20:], p.src.Port())
	binary.BigEndian.PutUint16(b[22:], p.dst.Port())
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[24:], src[:])
	copy(b[28:], dst[:])
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[6:], keyedSum(b))
	return b
}

// decodePacket decodes a packet. It reports false for bytes that are no packet.
func decodePacket(b []byte) (packet, bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[4:])) != len(b)-headerBytes {
		return packet{}, false
	}
	return packet{
		echo:  binary.BigEndian.Uint32(b),
		sum:   binary.BigEndian.Uint32(b[6:]),
		flags: b[10],
		seq:   binary.BigEndian.Uint32(b[12:]),
		ack:   binary.BigEndian.Uint32(b[16:]),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[24:28])), binary.BigEndian.Uint16(b[20:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[28:32])), binary.BigEndian.Uint16(b[22:])),
		data:  append([]byte(nil), b[headerBytes:]...),
	}, true
}

// keyedSum is the sum over all fields but echo, pad and BOUNCED.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey)) // a hash never fails
	_, _ = h.Write(b[4:6])
	_, _ = h.Write([]byte{b[10] &^ flagBounced})
	_, _ = h.Write(b[12:])
	return h.Sum32()
}

// genuine reports whether the sender of a received packet wrote it so.
func genuine(b []byte, p *packet) bool { return p.sum == keyedSum(b) }
