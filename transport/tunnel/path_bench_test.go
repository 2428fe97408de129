package tunnel

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"golang.org/x/net/ipv4"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// flowTableSizes are the numbers of flows in the table in the benchmarks.
var flowTableSizes = []int{1_000, 100_000, 500_000}

// balancerHandler carries out the balancer's decisions.
type balancerHandler struct {
	balancer *balancer.Balancer
	now      time.Duration
	action   balancer.Action
}

func (h *balancerHandler) HandlePacket(_ time.Duration, _ int, p *packet.Packet, in *packet.Relay, send *Sender) {
	a := &h.action
	h.balancer.HandlePacket(h.now, p, in, a)
	switch a.Kind {
	case balancer.Forward:
		send.Forward(a.Dest)
	case balancer.RelayTo:
		send.Relay(a.Dest, &a.Relay)
	case balancer.Refuse:
		if p.Class == packet.Datagram {
			send.Unreachable()
		}
	}
	sendResets(send, a.Resets[:a.ResetLen])
}

func sendResets(send *Sender, resets []balancer.Reset) {
	for i := range resets {
		r := &resets[i]
		if r.ToTarget {
			send.ResetTarget(r.Dest, &r.Flow, r.Seq, r.Ack, r.AckValid)
		} else {
			send.ResetCaller(&r.Flow, r.Seq, r.Ack, r.AckValid)
		}
	}
}

// discardConn is a batchConn that discards what is written.
type discardConn struct{}

func (discardConn) ReadBatch([]ipv4.Message, int) (int, error)       { return 0, net.ErrClosed }
func (discardConn) WriteBatch(ms []ipv4.Message, _ int) (int, error) { return len(ms), nil }

// packetPath is the complete packet path of a host without system calls and
// without queueing between goroutines.
type packetPath struct {
	server  *Server
	handler *balancerHandler
	batch   *batch
	opening []byte
	data    []byte
}

// newPacketPath returns the packet path of the first of count hosts in a zone.
func newPacketPath(tb testing.TB, count, connections int) *packetPath {
	handler := &balancerHandler{}
	handler.balancer, handler.now = newBalancer(count, connections, other4)
	server, err := New(Config{
		Listen:        []netip.AddrPort{local4},
		Fabric:        []netip.AddrPort{fabric4},
		FabricSources: []netip.Prefix{netip.PrefixFrom(fabric4.Addr(), 32)},
		Shards:        1,
		Handler:       handler,
	})
	must(tb, err)
	tb.Cleanup(func() { must(tb, server.Close()) })
	server.shards[0].sender.queues[familyIPv4].conn = discardConn{}
	server.readers[0].messages[0].Addr = net.UDPAddrFromAddrPort(fabric4)
	syn := layers.TCP{SYN: true}
	ack := layers.TCP{ACK: true, Seq: 1, Ack: 1}
	return &packetPath{
		server: server, handler: handler, batch: server.shards[0].newBatch(),
		opening: packet.AppendGUE(nil, wire.TCP(caller4, service4, syn, nil)),
		data:    packet.AppendGUE(nil, wire.TCP(caller4, service4, ack, make([]byte, 1000))),
	}
}

// newBalancer returns the balancer of the first of count hosts after all have
// joined each other, and the current virtual time.
func newBalancer(count, connections int, target netip.AddrPort) (*balancer.Balancer, time.Duration) {
	const step = 100 * time.Millisecond
	hosts := make([]*balancer.Balancer, count)
	infos := make([]peer.Host, count)
	for i := range hosts {
		infos[i] = peer.Host{
			Name: fmt.Sprint("h", i), Zone: "z", Incarnation: 1,
			Relay: fmt.Sprintf("127.0.1.%d:6080", i+1), Control: fmt.Sprint(i),
		}
		hosts[i] = balancer.New(balancer.Config{Host: infos[i], Seed: uint64(i)})
	}
	now := time.Hour
	for _, h := range hosts {
		h.AddHosts(now, infos)
		h.SetDocuments(now, []document.Service{benchService(connections, target)},
			document.Zones{Generation: 1, Zones: []document.Zone{{Name: "z", State: document.ZoneIn}}}, 1)
	}
	for range 300 {
		now += step
		for _, h := range hosts {
			deliver(hosts, h, now)
		}
	}
	return hosts[0], now
}

// deliver ticks h and delivers its messages to the receivers, whose control
// addresses are their indices in hosts. A nil entry is a host that has died. It
// returns the resets to be sent.
func deliver(hosts []*balancer.Balancer, h *balancer.Balancer, now time.Duration) []balancer.Reset {
	at := func(control string) *balancer.Balancer { return hosts[control[0]-'0'] }
	out := h.Tick(now)
	for _, m := range out.Hellos {
		if to := at(m.Control); to != nil {
			h.HandleHelloReply(now, to.HandleHello(now, m.Hello))
		}
	}
	for _, m := range out.Heartbeats {
		if to := at(m.To.Control); to != nil {
			to.HandleHeartbeat(now, m.Heartbeat)
		}
	}
	for _, m := range out.Flows {
		if to := at(m.To.Control); to != nil {
			to.HandleFlows(now, m.Flows)
		}
	}
	var resets []balancer.Reset
	for _, g := range out.Resets {
		resets = append(resets, g.Resets[:g.ResetLen]...)
	}
	return resets
}

// benchService returns a service with 14 targets at one tunnel address.
func benchService(connections int, target netip.AddrPort) document.Service {
	s := document.Service{
		Name: "order-book", Generation: 1,
		Addresses: []document.Address{{AddrPort: service4, Protocol: packet.ProtoTCP}},
	}
	for i := range 14 {
		s.Targets = append(s.Targets, document.Target{
			Name: fmt.Sprint("t", i), Zone: "z", Weight: 1, State: document.TargetActive,
			Tunnel: target,
			Limits: document.Limits{Connections: connections, OpeningsInFlight: 1 << 28, OpeningsPerSecond: 1 << 28},
			Ramp:   time.Second,
		})
	}
	return s
}

// process runs the datagram through the path as a packet of the i-th caller.
func (p *packetPath) process(datagram []byte, i int) {
	r := p.server.readers[0]
	m := &r.messages[0]
	m.N = copy(m.Buffers[0], datagram)
	setCaller(m.Buffers[0][packet.GUEOverhead:], i)
	r.receive(0)
	b := r.pending[0]
	if b != nil && len(b.items) == batchSize {
		r.pending[0] = nil
		p.server.shards[0].handle(b)
		p.server.shards[0].release(b)
	}
}

// setCaller replaces the source address of an IPv4 packet.
func setCaller(ip []byte, i int) {
	binary.BigEndian.PutUint32(ip[12:], 172<<24|uint32(i))
	binary.BigEndian.PutUint16(ip[10:], 0)
	binary.BigEndian.PutUint16(ip[10:], gopacket.FoldChecksum(gopacket.ComputeChecksum(ip[:20], 0)))
}

// establish opens count flows and sends data on each of them.
func (p *packetPath) establish(count int) {
	for i := range count {
		p.process(p.opening, i)
	}
	for i := range count {
		p.process(p.data, i)
	}
}

// BenchmarkPath measures decoding, the balancer's decision and encapsulation of
// packets with 1000 bytes of payload.
func BenchmarkPath(b *testing.B) {
	for _, flows := range flowTableSizes {
		b.Run(fmt.Sprint("known/", flows), func(b *testing.B) {
			p := newPacketPath(b, 1, 1<<30)
			p.establish(flows)
			p.measure(b, p.data, func(i int) int { return i % flows }, SentForward)
		})
		b.Run(fmt.Sprint("new/", flows), func(b *testing.B) {
			p := newPacketPath(b, 1, 1<<30)
			p.establish(flows)
			p.measure(b, p.opening, func(i int) int { return flows + i }, SentForward)
		})
		b.Run(fmt.Sprint("relay/", flows), func(b *testing.B) {
			p := newPacketPath(b, 2, 1<<30)
			p.establish(flows)
			p.measure(b, p.data, func(i int) int { return flows + i%1000 }, SentRelay)
		})
	}
	b.Run("refusal", func(b *testing.B) {
		p := newPacketPath(b, 1, 1)
		p.establish(10_000)
		p.measure(b, p.opening, func(i int) int { return 10_000 + i }, SentReset)
	})
}

// measure processes one packet per iteration and reports the number of packets
// of the given kind sent per packet handled.
func (p *packetPath) measure(b *testing.B, datagram []byte, caller func(int) int, kind SentKind) {
	before := p.server.Stats()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		p.process(datagram, caller(i))
		i++
	}
	after := p.server.Stats()
	handled := after.Handled - before.Handled
	if handled == 0 {
		return
	}
	b.ReportMetric(float64(after.Sent[kind]-before.Sent[kind])/float64(handled), kind.String()+"/op")
}

func TestKnownFlowAllocatesNothing(t *testing.T) {
	const flows = 1000
	p := newPacketPath(t, 1, 1<<30)
	p.establish(flows)
	i := 0
	allocs := testing.AllocsPerRun(100*batchSize, func() {
		p.process(p.data, i%flows)
		i++
	})
	if allocs != 0 {
		t.Errorf("%v allocations per packet of a known flow", allocs)
	}
	stats := p.server.Stats()
	if sent := stats.Sent[SentForward]; sent != stats.Handled {
		t.Errorf("%d of %d packets forwarded", sent, stats.Handled)
	}
}

func TestICMPErrorFollowsEmbeddedFlow(t *testing.T) {
	is := is.New(t)
	p := newPacketPath(t, 1, 1<<30)
	p.establish(batchSize)
	flowOf := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 0, 0, byte(i)}), caller4.Port())
	}
	router := netip.MustParseAddr("203.0.113.9")
	var d packet.Decoder
	targets := map[uint64]bool{}
	for i := range batchSize {
		var data, icmp packet.Packet
		is.Equal(d.Decode(wire.TCP(flowOf(i), service4, layers.TCP{ACK: true, Seq: 1, Ack: 1}, nil), &data), packet.CauseNone)
		p.handler.balancer.HandlePacket(p.handler.now, &data, nil, &p.handler.action)
		want := p.handler.action.Target
		answer := wire.TCP(service4, flowOf(i), layers.TCP{ACK: true}, make([]byte, 100))
		is.Equal(d.Decode(wire.ICMPError(router, service4.Addr(), 3, 4, answer[:28]), &icmp), packet.CauseNone)
		p.handler.balancer.HandlePacket(p.handler.now, &icmp, nil, &p.handler.action)
		is.Equal(p.handler.action.Kind, balancer.Forward)
		is.Equal(p.handler.action.Target, want)
		targets[want] = true
	}
	is.True(len(targets) > 1)
}

func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
