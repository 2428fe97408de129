package tunnel

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// benchFlows is the number of flows in the benchmark's traffic.
const benchFlows = 256

// BenchmarkLoopback sends UDP datagrams through the tunnel server and through a
// plain forwarder with sockets of the same kind. It reports the CPU time of the
// whole process per packet. "direct" measures the generator and the sink alone,
// which are part of all results, so the relative cost of the tunnel is
// (tunnel - direct) / (plain - direct). "core" is the tunnel with the balancer's
// decisions for known flows.
func BenchmarkLoopback(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		sink := newSink(b)
		measureThroughput(b, sink.addr(), sink)
	})
	b.Run("plain", func(b *testing.B) {
		sink := newSink(b)
		measureThroughput(b, newForwarder(b, sink.addr()), sink)
	})
	b.Run("tunnel", func(b *testing.B) {
		sink := newSink(b)
		dest := sink.addr()
		measureThroughput(b, newTunnel(b, handlerFunc(func(_ int, _ *packet.Packet, _ *packet.Relay, send *Sender) {
			send.Forward(dest)
		})), sink)
	})
	b.Run("core", func(b *testing.B) {
		sink := newSink(b)
		handler := &balancerHandler{}
		handler.balancer, handler.now = newBalancer(1, 1<<20, sink.addr())
		for i := range benchFlows {
			opening := packet.Packet{Class: packet.Opening, Flow: packet.Flow{
				Caller: caller4.Addr().As16(), CallerPort: benchPort(i),
				Service: packet.NewEndpoint(service4, packet.ProtoTCP),
			}}
			handler.balancer.HandlePacket(handler.now, &opening, nil, &handler.action)
		}
		measureThroughput(b, newTunnel(b, handler), sink)
	})
}

// newTunnel returns the address of a running server.
func newTunnel(b *testing.B, h Handler) netip.AddrPort {
	server, err := New(Config{
		Listen:        []netip.AddrPort{local4},
		FabricSources: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Shards:        1,
		Handler:       h,
	})
	must(b, err)
	go func() { _ = server.Run() }()
	b.Cleanup(func() { must(b, server.Close()) })
	return server.Addrs()[0]
}

// sink counts the datagrams that it receives.
type sink struct {
	conn  *net.UDPConn
	count atomic.Uint64
}

func newSink(b *testing.B) *sink {
	s := &sink{conn: benchSocket(b)}
	go func() {
		batch := ipv4.NewPacketConn(s.conn)
		ms := benchMessages()
		for {
			n, err := batch.ReadBatch(ms, 0)
			if err != nil {
				return
			}
			s.count.Add(uint64(n))
		}
	}()
	return s
}

func (s *sink) addr() netip.AddrPort { return addrOf(s.conn) }

// newForwarder returns the address of a forwarder that sends each datagram to
// dest without decoding it.
func newForwarder(b *testing.B, dest netip.AddrPort) netip.AddrPort {
	in, out := benchSocket(b), benchSocket(b)
	go func() {
		reader, writer := ipv4.NewPacketConn(in), ipv4.NewPacketConn(out)
		received, toSend := benchMessages(), benchMessages()
		to := net.UDPAddrFromAddrPort(dest)
		for {
			n, err := reader.ReadBatch(received, 0)
			if err != nil {
				return
			}
			for i := range n {
				toSend[i].Addr = to
				toSend[i].Buffers[0] = received[i].Buffers[0][:received[i].N]
			}
			for done := 0; done < n; {
				sent, err := writer.WriteBatch(toSend[done:n], 0)
				if err != nil {
					return
				}
				done += sent
			}
		}
	}()
	return addrOf(in)
}

func benchSocket(b *testing.B) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local4))
	must(b, err)
	must(b, conn.SetReadBuffer(DefaultReadBufferBytes))
	b.Cleanup(func() { conn.Close() })
	return conn
}

func benchMessages() []ipv4.Message {
	ms := make([]ipv4.Message, batchSize)
	for i := range ms {
		ms[i].Buffers = [][]byte{make([]byte, DefaultMTU)}
	}
	return ms
}

// measureThroughput sends b.N datagrams to dest and waits until the sink has
// received them. The window bounds those in flight so that socket buffers don't
// overflow.
func measureThroughput(b *testing.B, dest netip.AddrPort, s *sink) {
	const window = 1024
	conn := benchSocket(b)
	batch := ipv4.NewPacketConn(conn)
	ms := benchMessages()
	for i := range ms {
		ms[i].Addr = net.UDPAddrFromAddrPort(dest)
	}
	datagrams := benchDatagrams()
	b.ReportAllocs()
	b.ResetTimer()
	cpu := cpuTime(b)
	for sent := 0; sent < b.N; {
		if sent-int(s.count.Load()) > window {
			time.Sleep(10 * time.Microsecond)
			continue
		}
		n := min(len(ms), b.N-sent)
		for i := range n {
			ms[i].Buffers[0] = datagrams[(sent+i)%benchFlows]
		}
		n, err := batch.WriteBatch(ms[:n], 0)
		must(b, err)
		sent += n
	}
	for deadline := time.Now().Add(waitTimeout); int(s.count.Load()) < b.N; {
		if time.Now().After(deadline) {
			b.Fatalf("%d of %d datagrams arrived", s.count.Load(), b.N)
		}
		time.Sleep(10 * time.Microsecond)
	}
	b.StopTimer()
	used := cpuTime(b) - cpu
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/packet")
}

func benchPort(flow int) uint16 { return uint16(1000 + flow) }

// benchDatagrams returns one datagram per flow with 1000 bytes of TCP payload.
func benchDatagrams() [][]byte {
	datagrams := make([][]byte, 0, benchFlows)
	for i := range benchFlows {
		from := netip.AddrPortFrom(caller4.Addr(), benchPort(i))
		header := layers.TCP{ACK: true, Seq: 1, Ack: 1}
		datagrams = append(datagrams, packet.AppendGUE(nil, wire.TCP(from, service4, header, make([]byte, 1000))))
	}
	return datagrams
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	must(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
