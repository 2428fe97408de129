package tunnel

import (
	"net/netip"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// Sender sends packets in GUE. It is valid only during the call that received it
// and is not safe for concurrent use.
type Sender struct {
	server   *Server
	queues   [familyCount]*queue
	counters counters
	// item is the packet being handled, nil outside of HandlePacket.
	item *item
}

// Forward sends the packet being handled to a target's tunnel address. A packet
// that exceeds the MTU is dropped, and its caller receives an ICMP error.
func (s *Sender) Forward(dest netip.AddrPort) {
	if !s.prepare(dest, packet.GUEOverhead) {
		return
	}
	it := s.item
	start := it.start - packet.GUEOverhead
	packet.AppendGUEHeader(it.buffer.bytes[start:start], it.packet.Raw)
	s.enqueue(dest, it.buffer.bytes[start:it.start+len(it.packet.Raw)], SentForward)
}

// Relay sends the packet being handled with r to another host's relay address.
// A packet that exceeds the MTU is dropped, and its caller receives an ICMP
// error.
func (s *Sender) Relay(dest netip.AddrPort, r *packet.Relay) {
	overhead := packet.RelayOverhead(r)
	if !s.prepare(dest, overhead) {
		return
	}
	it := s.item
	start := it.start - overhead
	packet.AppendRelayGUEHeader(it.buffer.bytes[start:start], r, it.packet.Raw)
	s.enqueue(dest, it.buffer.bytes[start:it.start+len(it.packet.Raw)], SentRelay)
}

// prepare reports whether the packet being handled fits the MTU with overhead
// bytes of header, and makes its headroom safe to overwrite.
func (s *Sender) prepare(dest netip.AddrPort, overhead int) bool {
	it := s.item
	if it == nil {
		panic("tunnel: Forward or Relay called outside HandlePacket")
	}
	if !s.fits(dest, overhead+len(it.packet.Raw)) {
		s.counters.dropped[DropTooBig].Add(1)
		s.packetTooBig()
		return false
	}
	if it.queued {
		// The queue still refers to the header that is overwritten next.
		s.flush()
	}
	it.queued = true
	return true
}

func (s *Sender) fits(dest netip.AddrPort, datagramLen int) bool {
	outer := outerIPv6Len
	if familyOf(dest.Addr()) == familyIPv4 {
		outer = outerIPv4Len
	}
	return outer+outerUDPLen+datagramLen <= s.server.cfg.MTU
}

// ResetCaller sends the caller a TCP reset through the fabric, with the
// service's address as its source.
func (s *Sender) ResetCaller(flow *packet.Flow, seq, ack uint32, ackValid bool) {
	dest, ok := s.fabricAddr(flow)
	if !ok {
		return
	}
	s.enqueueBuilt(dest, SentReset, func(b []byte) []byte {
		return packet.AppendReset(b, flow, false, seq, ack, ackValid)
	})
}

// ResetTarget sends the target at dest a TCP reset with the caller's address as
// its source.
func (s *Sender) ResetTarget(dest netip.AddrPort, flow *packet.Flow, seq, ack uint32, ackValid bool) {
	s.enqueueBuilt(dest, SentReset, func(b []byte) []byte {
		return packet.AppendReset(b, flow, true, seq, ack, ackValid)
	})
}

// Unreachable sends the caller of the packet being handled the ICMP error "port
// unreachable", the counterpart of a reset for UDP.
func (s *Sender) Unreachable() {
	p := &s.item.packet
	s.sendICMPError(func(b []byte) []byte { return packet.AppendUnreachable(b, p) })
}

func (s *Sender) packetTooBig() {
	p := &s.item.packet
	mtu := uint16(s.server.cfg.MTU - MaxOverhead)
	s.sendICMPError(func(b []byte) []byte { return packet.AppendPacketTooBig(b, p, mtu) })
}

// sendICMPError sends the caller the ICMP error that build appends. It sends
// none if the packet being handled is an ICMP error itself.
func (s *Sender) sendICMPError(build func([]byte) []byte) {
	p := &s.item.packet
	if p.Class == packet.ICMPError {
		return
	}
	if !s.server.icmp.Allow() {
		s.counters.dropped[DropICMPRate].Add(1)
		return
	}
	if dest, ok := s.fabricAddr(&p.Flow); ok {
		s.enqueueBuilt(dest, SentICMP, build)
	}
}

// fabricAddr returns the fabric address for packets to the flow's caller. If
// none is configured, it counts the packet as dropped and returns false.
func (s *Sender) fabricAddr(flow *packet.Flow) (netip.AddrPort, bool) {
	addrs := s.server.cfg.Fabric
	if len(addrs) == 0 {
		s.counters.dropped[DropNoFabric].Add(1)
		return netip.AddrPort{}, false
	}
	return addrs[flow.Hash()%uint64(len(addrs))], true
}

// enqueueBuilt queues the IP packet that build appends to its argument.
func (s *Sender) enqueueBuilt(dest netip.AddrPort, kind SentKind, build func([]byte) []byte) {
	q := s.queueFor(dest)
	if q == nil {
		return
	}
	b := append(q.scratch(), make([]byte, packet.GUEOverhead)...)
	b = build(b)
	packet.AppendGUEHeader(b[:0], b[packet.GUEOverhead:])
	q.storeScratch(b)
	q.add(dest, b, kind)
}

func (s *Sender) enqueue(dest netip.AddrPort, b []byte, kind SentKind) {
	if q := s.queueFor(dest); q != nil {
		q.add(dest, b, kind)
	}
}

// queueFor returns the queue for dest. If there is none, it counts the packet as
// dropped and returns nil.
func (s *Sender) queueFor(dest netip.AddrPort) *queue {
	q := s.queues[familyOf(dest.Addr())]
	if q == nil {
		s.counters.dropped[DropNoSocket].Add(1)
	}
	return q
}

func (s *Sender) flush() {
	for _, q := range s.queues {
		if q != nil {
			q.flush()
		}
	}
}
