package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout of the platform's packets: offsets and lengths in bytes.
const (
	headLen   = 32
	idLen     = 8 // the back end's ID in front of a packet to it
	maxPacket = 2048
	// endSum stands for the keyed sum, which only the ends of a flow know. A reset of
	// the system has a sum of 0.
	endSum = 1
)

// Flags of a packet.
const (
	flagSYN = 2
	flagRST = 16
	flagFIN = 64
	flagACK = 128
)

// packet is a packet as the ends of a flow see it.
type packet struct {
	echo, sum uint32
	flags     byte
	seq, ack  uint32
	src, dst  netip.AddrPort
	data      []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headLen, headLen+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[6:], p.sum)
	b[10] = p.flags
	binary.BigEndian.PutUint32(b[12:], p.seq)
	binary.BigEndian.PutUint32(b[16:], p.ack)
	binary.BigEndian.PutUint16(b[20:], p.src.Port())
	binary.BigEndian.PutUint16(b[22:], p.dst.Port())
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[24:], src[:])
	copy(b[28:], dst[:])
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headLen || int(binary.BigEndian.Uint16(b[4:])) != len(b)-headLen {
		return packet{}, false
	}
	end := func(addr, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[addr:])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		echo: binary.BigEndian.Uint32(b[0:]), sum: binary.BigEndian.Uint32(b[6:]), flags: b[10],
		seq: binary.BigEndian.Uint32(b[12:]), ack: binary.BigEndian.Uint32(b[16:]),
		src: end(24, 20), dst: end(28, 22), data: append([]byte(nil), b[headLen:]...),
	}, true
}

// ends identifies a flow by its client and its route.
type ends struct{ client, route netip.AddrPort }
