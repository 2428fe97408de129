package tunnel

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// waitTimeout bounds the wait for an event that every correct run reaches.
const waitTimeout = 10 * time.Second

var (
	caller4  = netip.MustParseAddrPort("192.0.2.7:40000")
	service4 = netip.MustParseAddrPort("198.51.100.1:443")
	caller6  = netip.MustParseAddrPort("[2001:db8::7]:40000")
	service6 = netip.MustParseAddrPort("[2001:db8:1::1]:443")

	local4   = netip.MustParseAddrPort("127.0.0.1:0")
	local6   = netip.MustParseAddrPort("[::1]:0")
	fabric4  = netip.MustParseAddrPort("127.0.0.2:0")
	host4    = netip.MustParseAddrPort("127.0.0.3:0")
	other4   = netip.MustParseAddrPort("127.0.0.4:0")
	loopback = netip.MustParsePrefix("::1/128")
)

type handlerFunc func(shard int, p *packet.Packet, in *packet.Relay, send *Sender)

func (f handlerFunc) HandlePacket(_ time.Duration, shard int, p *packet.Packet, in *packet.Relay, send *Sender) {
	f(shard, p, in, send)
}

// harness is a running server with sockets for its peers.
type harness struct {
	is                         *is.I
	server                     *Server
	fabric, host, other, local *net.UDPConn
}

func newHarness(t *testing.T, change func(*Config), h handlerFunc) *harness {
	t.Helper()
	b := &harness{is: is.New(t)}
	b.fabric, b.host = listen(t, fabric4), listen(t, host4)
	b.other, b.local = listen(t, other4), listen(t, local6)
	cfg := Config{
		Listen:        []netip.AddrPort{local4, local6},
		Fabric:        []netip.AddrPort{addrOf(b.fabric)},
		FabricSources: []netip.Prefix{netip.PrefixFrom(fabric4.Addr(), 32), loopback},
		HostSources:   []netip.Prefix{netip.PrefixFrom(host4.Addr(), 32)},
		Shards:        3,
		Handler:       h,
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	b.server, err = New(cfg)
	b.is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- b.server.Run() }()
	for !b.server.running.Load() {
		time.Sleep(time.Millisecond)
	}
	t.Cleanup(func() {
		b.is.NoErr(b.server.Close())
		b.is.NoErr(<-done)
	})
	return b
}

func listen(t *testing.T, addr netip.AddrPort) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	is.New(t).NoErr(err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func addrOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (b *harness) send(from *net.UDPConn, datagram []byte) {
	to := b.server.Addrs()[familyOf(addrOf(from).Addr())]
	_, err := from.WriteToUDPAddrPort(datagram, to)
	b.is.NoErr(err)
}

// receive returns the next IP packet received on conn and its relay.
func (b *harness) receive(conn *net.UDPConn) ([]byte, packet.Relay) {
	buf := make([]byte, MaxMTU)
	b.is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	n, err := conn.Read(buf)
	b.is.NoErr(err)
	var r packet.Relay
	inner, _, cause := packet.ParseGUE(buf[:n], &r)
	b.is.Equal(cause, packet.CauseNone)
	return inner, r
}

// waitForStats polls the counters until wanted accepts them.
func (b *harness) waitForStats(wanted func(Stats) bool) Stats {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if wanted(b.server.Stats()) {
			return b.server.Stats()
		}
		time.Sleep(time.Millisecond)
	}
	b.is.Fail() // the counters did not reach the wanted values
	return Stats{}
}

func TestForwardPreservesPacket(t *testing.T) {
	target4 := listen(t, other4)
	target6 := listen(t, local6)
	b := newHarness(t, nil, func(_ int, p *packet.Packet, in *packet.Relay, send *Sender) {
		if p.Raw[0]>>4 == 4 {
			send.Forward(addrOf(target4))
			return
		}
		send.Forward(addrOf(target6))
	})
	syn := wire.TCP(caller4, service4, layers.TCP{SYN: true, Seq: 5}, nil)
	b.send(b.fabric, packet.AppendGUE(nil, syn))
	got, _ := b.receive(target4)
	b.is.Equal(got, syn)
	request := wire.UDP(caller6, service6, []byte("request"))
	b.send(b.local, packet.AppendGUE(nil, request))
	got, _ = b.receive(target6)
	b.is.Equal(got, request)
	stats := b.waitForStats(func(s Stats) bool { return s.Sent[SentForward] == 2 })
	b.is.Equal(stats.Received, uint64(2))
	b.is.Equal(stats.Handled, uint64(2))
}

func TestRelayRewritesHeaderInPlace(t *testing.T) {
	next := listen(t, host4)
	b := newHarness(t, nil, func(_ int, p *packet.Packet, in *packet.Relay, send *Sender) {
		r := packet.Relay{Stage: packet.StageLookup}
		if in != nil {
			r = *in
		}
		for i := range uint32(4) {
			r.Visit(i + 10)
		}
		send.Relay(addrOf(next), &r)
		send.Forward(addrOf(next))
	})
	inner := wire.UDP(caller4, service4, []byte("request"))
	b.send(b.fabric, packet.AppendGUE(nil, inner))
	got, r := b.receive(next)
	b.is.Equal(got, inner)
	b.is.Equal(r.Visited[:r.VisitedLen], []uint32{10, 11, 12, 13})
	got, _ = b.receive(next)
	b.is.Equal(got, inner)
	b.send(b.host, packet.AppendRelayGUE(nil, &r, inner))
	got, r = b.receive(next)
	b.is.Equal(got, inner)
	b.is.Equal(r.VisitedLen, uint8(8))
	b.waitForStats(func(s Stats) bool { return s.Relayed == 1 && s.Sent[SentRelay] == 2 })
}

func TestRefusalsAreCountedByCause(t *testing.T) {
	b := newHarness(t, func(c *Config) { c.MTU = 1500 }, func(int, *packet.Packet, *packet.Relay, *Sender) {})
	inner := wire.UDP(caller4, service4, []byte("request"))
	relayed := packet.AppendRelayGUE(nil, &packet.Relay{Stage: packet.StageLookup}, inner)
	plain := packet.AppendGUE(nil, inner)
	b.send(b.other, plain)
	b.send(b.host, plain)
	b.send(b.fabric, relayed)
	b.send(b.fabric, make([]byte, 1501))
	b.send(b.fabric, plain[:20])
	b.send(b.fabric, inner)
	stats := b.waitForStats(func(s Stats) bool { return s.Received == 6 })
	b.is.Equal(stats.Dropped[DropSource], uint64(2))
	b.is.Equal(stats.Dropped[DropRelaySource], uint64(1))
	b.is.Equal(stats.Dropped[DropOversize], uint64(1))
	b.is.Equal(stats.Refused[packet.CauseTruncated], uint64(1))
	b.is.Equal(stats.Refused[packet.CauseGUEVariant], uint64(1))
	b.is.Equal(stats.Handled, uint64(0))
}

func TestFlowPacketsStayInOrder(t *testing.T) {
	const flows, packets = 20, 100
	var mu sync.Mutex
	last := map[packet.Flow]uint32{}
	shards := map[packet.Flow]int{}
	used := map[int]bool{}
	var disorder int
	b := newHarness(t, nil, func(shard int, p *packet.Packet, _ *packet.Relay, _ *Sender) {
		mu.Lock()
		defer mu.Unlock()
		if before, seen := shards[p.Flow]; p.Seq != last[p.Flow]+1 || (seen && before != shard) {
			disorder++
		}
		last[p.Flow], shards[p.Flow] = p.Seq, shard
		used[shard] = true
	})
	for seq := range uint32(packets) {
		for i := range uint16(flows) {
			from := netip.AddrPortFrom(caller4.Addr(), 1000+i)
			raw := wire.TCP(from, service4, layers.TCP{ACK: true, Seq: seq + 1}, nil)
			b.send(b.fabric, packet.AppendGUE(nil, raw))
		}
		handled := uint64(seq+1) * flows
		b.waitForStats(func(s Stats) bool { return s.Handled == handled })
	}
	mu.Lock()
	defer mu.Unlock()
	b.is.Equal(disorder, 0)
	b.is.Equal(len(used), 3)
}

func TestReceiveBufferOverflowIsCounted(t *testing.T) {
	const sent = 500
	is := is.New(t)
	fabric := listen(t, fabric4)
	server, err := New(Config{
		Listen:          []netip.AddrPort{local4},
		FabricSources:   []netip.Prefix{netip.PrefixFrom(fabric4.Addr(), 32)},
		ReadBufferBytes: 1 << 14,
		Handler:         handlerFunc(func(int, *packet.Packet, *packet.Relay, *Sender) {}),
	})
	is.NoErr(err)
	datagram := packet.AppendGUE(nil, wire.UDP(caller4, service4, make([]byte, 1000)))
	send := func() {
		_, err := fabric.WriteToUDPAddrPort(datagram, server.Addrs()[0])
		is.NoErr(err)
	}
	for range sent {
		send()
	}
	b := &harness{is: is, server: server}
	done := make(chan error, 1)
	go func() { done <- server.Run() }()
	b.waitForStats(func(s Stats) bool { return s.Received > 0 })
	send()
	stats := b.waitForStats(func(s Stats) bool { return s.Received+s.Dropped[DropReceiveBuffer] == sent+1 })
	is.True(stats.Dropped[DropReceiveBuffer] > 0)
	is.NoErr(server.Close())
	is.NoErr(<-done)
}

func TestQueueOverflowIsCounted(t *testing.T) {
	const batches = 2
	release := make(chan struct{})
	b := newHarness(t, func(c *Config) { c.QueueBatches, c.Shards = batches, 1 },
		func(int, *packet.Packet, *packet.Relay, *Sender) { <-release })
	plain := packet.AppendGUE(nil, wire.UDP(caller4, service4, nil))
	b.send(b.fabric, plain)
	b.waitForStats(func(s Stats) bool { return s.Handled == 1 })
	// Packets read one by one are merged into full batches while the worker is
	// busy.
	const sent = 1 + batches*batchSize + 7
	for i := range uint64(sent) - 1 {
		b.send(b.fabric, plain)
		b.waitForStats(func(s Stats) bool { return s.Received == i+2 })
	}
	b.waitForStats(func(s Stats) bool { return s.Dropped[DropQueueFull] == 7 })
	close(release)
	b.waitForStats(func(s Stats) bool { return s.Handled == sent-7 })
}

func TestCloseHandlesReadPackets(t *testing.T) {
	const packets = 20
	is := is.New(t)
	var handled atomic.Uint64
	fabric := listen(t, fabric4)
	server, err := New(Config{
		Listen:        []netip.AddrPort{local4},
		FabricSources: []netip.Prefix{netip.PrefixFrom(fabric4.Addr(), 32)},
		Shards:        2,
		Handler: handlerFunc(func(int, *packet.Packet, *packet.Relay, *Sender) {
			time.Sleep(time.Millisecond)
			handled.Add(1)
		}),
	})
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- server.Run() }()
	for i := range packets {
		from := netip.AddrPortFrom(caller4.Addr(), uint16(1000+i))
		_, err := fabric.WriteToUDPAddrPort(packet.AppendGUE(nil, wire.UDP(from, service4, nil)), server.Addrs()[0])
		is.NoErr(err)
	}
	for server.Stats().Received < packets {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(server.Close())
	is.Equal(handled.Load(), uint64(packets))
	is.NoErr(<-done)
}

func TestTooBigPacketReturnsICMPError(t *testing.T) {
	target := listen(t, other4)
	const mtu = 1500
	b := newHarness(t, func(c *Config) { c.MTU = mtu }, func(_ int, _ *packet.Packet, _ *packet.Relay, send *Sender) {
		send.Forward(addrOf(target))
	})
	// The largest payload that fits: the MTU less the outer IP, UDP and GUE
	// headers and the inner IP and UDP headers.
	fits := wire.UDP(caller4, service4, make([]byte, mtu-20-8-4-28))
	b.send(b.fabric, packet.AppendGUE(nil, fits))
	got, _ := b.receive(target)
	b.is.Equal(len(got), len(fits))
	tooBig := wire.UDP(caller4, service4, make([]byte, mtu-20-8-4-28+1))
	b.send(b.fabric, packet.AppendGUE(nil, tooBig))
	answer, _ := b.receive(b.fabric)
	p, err := wire.Parse(answer)
	b.is.NoErr(err)
	b.is.Equal(p.Dst.Addr(), caller4.Addr())
	b.is.Equal(p.ICMP.Type, uint8(layers.ICMPv4TypeDestinationUnreachable))
	b.is.Equal(p.ICMP.Code, uint8(layers.ICMPv4CodeFragmentationNeeded))
	b.is.Equal(p.ICMP.MTU, uint32(mtu-MaxOverhead))
	stats := b.waitForStats(func(s Stats) bool { return s.Sent[SentICMP] == 1 })
	b.is.Equal(stats.Dropped[DropTooBig], uint64(1))
	b.is.Equal(stats.Sent[SentForward], uint64(1))
}

func TestResetsAndICMPErrors(t *testing.T) {
	target := listen(t, other4)
	b := newHarness(t, func(c *Config) { c.ICMPErrorsPerSecond = 1 }, func(_ int, p *packet.Packet, _ *packet.Relay, send *Sender) {
		if p.Class == packet.Datagram {
			send.Unreachable()
			return
		}
		send.ResetCaller(&p.Flow, 1, 2, true)
		send.ResetTarget(addrOf(target), &p.Flow, 3, 4, false)
	})
	b.send(b.fabric, packet.AppendGUE(nil, wire.TCP(caller4, service4, layers.TCP{ACK: true}, nil)))
	raw, _ := b.receive(b.fabric)
	p, err := wire.Parse(raw)
	b.is.NoErr(err)
	b.is.Equal(fmt.Sprint(p.Src, p.Dst, p.TCP.RST, p.TCP.Seq), fmt.Sprint(service4, caller4, true, 1))
	raw, _ = b.receive(target)
	p, err = wire.Parse(raw)
	b.is.NoErr(err)
	b.is.Equal(fmt.Sprint(p.Src, p.Dst, p.TCP.RST, p.TCP.Seq), fmt.Sprint(caller4, service4, true, 3))
	b.server.Send(func(s *Sender) {
		flow := packet.Flow{Caller: caller6.Addr().As16(), CallerPort: 1, Service: packet.NewEndpoint(service6, packet.ProtoTCP)}
		s.ResetCaller(&flow, 7, 0, false)
	})
	raw, _ = b.receive(b.fabric)
	p, err = wire.Parse(raw)
	b.is.NoErr(err)
	b.is.Equal(fmt.Sprint(p.Src, p.TCP.Seq), fmt.Sprint(service6, 7))
	b.server.icmp.SetLimit(1e-9)
	for range 3 {
		b.send(b.fabric, packet.AppendGUE(nil, wire.UDP(caller4, service4, nil)))
	}
	raw, _ = b.receive(b.fabric)
	p, err = wire.Parse(raw)
	b.is.NoErr(err)
	b.is.Equal(p.ICMP.Code, uint8(layers.ICMPv4CodePort))
	b.waitForStats(func(s Stats) bool {
		return s.Sent[SentICMP] == 1 && s.Dropped[DropICMPRate] == 2
	})
}

func TestInvalidConfigIsRejected(t *testing.T) {
	handler := handlerFunc(func(int, *packet.Packet, *packet.Relay, *Sender) {})
	cases := map[string]Config{
		"no handler":   {Listen: []netip.AddrPort{local4}},
		"no address":   {Handler: handler},
		"small MTU":    {Handler: handler, Listen: []netip.AddrPort{local4}, MTU: 1300},
		"two of IPv4":  {Handler: handler, Listen: []netip.AddrPort{local4, host4}},
		"not local":    {Handler: handler, Listen: []netip.AddrPort{service4}},
		"zero address": {Handler: handler, Listen: []netip.AddrPort{{}}},
	}
	for name, cfg := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := New(cfg)
			is.New(t).True(err != nil)
		})
	}
}
