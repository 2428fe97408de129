package tunnel

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// reader reads one socket, decodes the packets and submits them to the shards.
type reader struct {
	server   *Server
	socket   *socket
	decoder  packet.Decoder
	messages []ipv4.Message
	buffers  []*buffer
	// scratch is the packet being decoded, whose shard is not known yet.
	scratch item
	// pending holds the batches of the current read by shard, nil for a shard
	// without packets.
	pending []*batch
	// lastOverflow is the last value from overflowCount.
	lastOverflow uint32
	counters     counters
}

func newReader(s *Server, sock *socket) *reader {
	r := &reader{
		server:   s,
		socket:   sock,
		messages: make([]ipv4.Message, batchSize),
		buffers:  make([]*buffer, batchSize),
		pending:  make([]*batch, len(s.shards)),
	}
	for i := range r.messages {
		r.messages[i].Buffers = make([][]byte, 1)
		r.messages[i].OOB = make([]byte, overflowOOBLen)
		r.attachBuffer(i)
	}
	return r
}

// attachBuffer assigns a free buffer to the i-th message.
func (r *reader) attachBuffer(i int) {
	r.buffers[i] = r.server.buffers.Get().(*buffer)
	r.messages[i].Buffers[0] = r.buffers[i].datagram()
}

// run reads until the server closes or a read fails. It returns the error of
// the failed read.
func (r *reader) run() error {
	for {
		n, err := r.socket.batch.ReadBatch(r.messages, 0)
		if n > 0 {
			r.countOverflows(&r.messages[n-1])
			r.receiveAll(n)
		}
		if r.server.closing.Load() {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "tunnel: read from %s", r.socket.addr())
		}
	}
}

// countOverflows counts the datagrams that were dropped before m.
func (r *reader) countOverflows(m *ipv4.Message) {
	count, ok := overflowCount(m.OOB[:m.NN])
	if !ok {
		return
	}
	r.counters.dropped[DropReceiveBuffer].Add(uint64(count - r.lastOverflow))
	r.lastOverflow = count
}

// receiveAll decodes the first n messages and submits them to the shards.
func (r *reader) receiveAll(n int) {
	r.counters.received.Add(uint64(n))
	for i := range n {
		r.receive(i)
	}
	r.submit()
}

// receive decodes the i-th message and adds it to the batch of its shard.
func (r *reader) receive(i int) {
	m := &r.messages[i]
	if m.Flags&unix.MSG_TRUNC != 0 {
		r.counters.dropped[DropOversize].Add(1)
		return
	}
	if !r.decode(m) {
		return
	}
	r.scratch.buffer = r.buffers[i]
	shard := r.server.shardOf(&r.scratch.packet.Flow)
	if r.pending[shard] == nil {
		r.pending[shard] = r.server.shards[shard].newBatch()
	}
	r.pending[shard].add(&r.scratch)
	r.attachBuffer(i)
}

// decode decodes m into scratch. It reports false and counts the cause if the
// outer source, the GUE header or the inner packet is invalid.
func (r *reader) decode(m *ipv4.Message) bool {
	fromFabric, fromHost := r.classifySource(m.Addr)
	if !fromFabric && !fromHost {
		r.counters.dropped[DropSource].Add(1)
		return false
	}
	it := &r.scratch
	inner, relayed, cause := packet.ParseGUE(m.Buffers[0][:m.N], &it.relay)
	if cause == packet.CauseNone {
		cause = r.decoder.Decode(inner, &it.packet)
	}
	if cause != packet.CauseNone {
		r.counters.refused[cause].Add(1)
		return false
	}
	if relayed && !fromHost {
		r.counters.dropped[DropRelaySource].Add(1)
		return false
	}
	if !relayed && !fromFabric {
		r.counters.dropped[DropSource].Add(1)
		return false
	}
	it.relayed = relayed
	it.start = headroom + m.N - len(inner)
	return true
}

func (r *reader) classifySource(addr net.Addr) (fromFabric, fromHost bool) {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return false, false
	}
	ip := udp.AddrPort().Addr().Unmap().WithZone("")
	return containsAddr(r.server.cfg.FabricSources, ip),
		containsAddr(r.server.cfg.HostSources, ip)
}

func containsAddr(prefixes []netip.Prefix, addr netip.Addr) bool {
	for _, p := range prefixes {
		if p.Contains(addr) {
			return true
		}
	}
	return false
}

// submit submits the pending batches to their shards.
func (r *reader) submit() {
	for i, b := range r.pending {
		if b == nil {
			continue
		}
		r.pending[i] = nil
		sh := r.server.shards[i]
		if !sh.submit(b) {
			r.counters.dropped[DropQueueFull].Add(uint64(len(b.items)))
			sh.release(b)
		}
	}
}
