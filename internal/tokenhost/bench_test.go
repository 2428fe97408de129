package tokenhost

import (
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/internal/logging"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/transport/direct"
)

// noopObserver ignores all decisions.
type noopObserver struct{}

func (noopObserver) Decided(time.Duration, *steering.Segment, *steering.Action) {}

// requestCodec decodes packets of 100 flows in turn; every third packet starts a
// request.
type requestCodec struct {
	classCodec
	n *int
}

var requestData = []byte("GET /status HTTP/1.1\r\nHost: example\r\nRequest-Id: 30315befd63ff987\r\n\r\n")

func (c requestCodec) Decode(_ []byte, p *steering.Segment) bool {
	const flows, perRequest = 100, 3
	*c.n++
	p.Class = packet.Data
	p.Token = steering.TokenOf("t/1")
	p.Flow = packet.Flow{Caller: netip.MustParseAddr("100.64.0.7").As16(), CallerPort: uint16(1 + *c.n%flows), Service: service}
	p.Payload = nil
	p.Ack++
	if *c.n%perRequest == 0 {
		p.Payload = requestData
		p.Seq += uint32(len(requestData))
	}
	return true
}

// BenchmarkPacketPath reports the CPU time of the process for one packet over
// loopback, including the benchmark's own sender and receiver, with and without
// log lines and histograms.
func BenchmarkPacketPath(b *testing.B) {
	discard, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = discard.Close() }()
	queue := logging.NewQueue(discard)
	defer func() { _ = queue.Close() }()
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	for _, c := range []struct {
		name     string
		observer direct.Observer
	}{
		{"silent", noopObserver{}},
		{"logging", newDecisionLog(logging.New(queue, zerolog.InfoLevel), clock)},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkObserver(b, c.observer, clock) })
	}
}

func benchmarkObserver(b *testing.B, observer direct.Observer, clock func() time.Duration) {
	loopback := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))
	target, err := net.ListenUDP("udp", loopback)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	decisions := steering.New(steering.Config{Zone: "a"})
	n := 0
	listen := netip.MustParseAddrPort("127.0.0.1:36080")
	server, err := direct.New(direct.Config{
		Listen: listen, Codec: requestCodec{n: &n}, Steering: decisions, Observer: observer, Clock: clock,
	})
	if err != nil {
		b.Fatal(err)
	}
	config, _ := addrDecoder{}.Operator("", nil, false)
	server.SetView(&fleet.View{Number: 1, Config: *config.Config, Targets: []fleet.Entry{{Target: fleet.Target{
		Key: "t/1", Number: 7, Service: "book", Zone: "a", Slots: 3, Heartbeats: 1, Addr: target.LocalAddr().(*net.UDPAddr).AddrPort(),
	}}}})
	done := make(chan error, 1)
	go func() { done <- server.Run() }()
	sender, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(listen))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	buf := make([]byte, 2000)
	before := cpuTime(b)
	for b.Loop() {
		if _, err := sender.Write(requestData); err != nil {
			b.Fatal(err)
		}
		if err := target.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			b.Fatal(err)
		}
		if _, err := target.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	if err := server.Close(); err != nil {
		b.Fatal(err)
	}
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}

// cpuTime returns the user and system CPU time of this process so far.
func cpuTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
