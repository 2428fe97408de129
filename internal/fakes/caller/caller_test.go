package caller

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/internal/fakes/fabric"
	"github.com/jujubehaven/jujubehaven/internal/fakes/gue"
	"github.com/jujubehaven/jujubehaven/internal/fakes/target"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/transport/tunnel"
)

const testTimeout = 20 * time.Second

var (
	loopback       = netip.MustParseAddrPort("127.0.0.1:0")
	service4       = netip.MustParseAddrPort("198.51.100.1:443")
	service6       = netip.MustParseAddrPort("[2001:db8:1::1]:443")
	unknownService = netip.MustParseAddrPort("198.51.100.9:443")
)

// forwarder is the packet handler of two balancers: it forwards all packets to
// one target, or rejects them with a reset or an ICMP error.
type forwarder struct {
	dest   netip.AddrPort
	refuse atomic.Bool
	// dropNext is the number of following packets to drop.
	dropNext atomic.Int64
}

func (f *forwarder) HandlePacket(_ time.Duration, _ int, p *packet.Packet, _ *packet.Relay, send *tunnel.Sender) {
	switch {
	case f.dropNext.Add(-1) >= 0:
	case !f.refuse.Load():
		send.Forward(f.dest)
	case p.Class == packet.Datagram:
		send.Unreachable()
	case p.Class == packet.Opening:
		send.ResetCaller(&p.Flow, 0, p.Seq+1, true)
	default:
		send.ResetCaller(&p.Flow, p.Ack, 0, false)
	}
}

type setup struct {
	is        *is.I
	caller    *Caller
	fabric    *fabric.Fabric
	target    *target.Target
	forwarder *forwarder
	tunnels   []netip.AddrPort
}

// runner is implemented by all fakes and by the tunnel.
type runner interface {
	Run() error
	Close() error
}

func newSetup(t *testing.T, change func(*target.Config)) *setup {
	s := &setup{is: is.New(t), forwarder: &forwarder{}}
	var err error
	s.caller, err = New(Config{
		Listen: loopback, RTO: 20 * time.Millisecond, MaxRTO: 50 * time.Millisecond,
		Addr4: netip.MustParseAddr("192.0.2.7"), Addr6: netip.MustParseAddr("2001:db8::7"),
	})
	s.is.NoErr(err)
	routes := gue.Routes{
		{Prefix: netip.MustParsePrefix("192.0.2.0/24"), Via: s.caller.Addr()},
		{Prefix: netip.MustParsePrefix("2001:db8::/64"), Via: s.caller.Addr()},
	}
	cfg := target.Config{
		Name: "target-1", Listen: loopback, Routes: routes,
		Services: []document.Address{
			{AddrPort: service4, Protocol: packet.ProtoTCP},
			{AddrPort: service6, Protocol: packet.ProtoTCP},
			{AddrPort: service4, Protocol: packet.ProtoUDP},
			{AddrPort: service6, Protocol: packet.ProtoUDP},
		},
	}
	if change != nil {
		change(&cfg)
	}
	s.target, err = target.New(cfg)
	s.is.NoErr(err)
	s.forwarder.dest = s.target.Addr()
	s.fabric, err = fabric.New(fabric.Config{Listen: loopback, Routes: routes, Seed: 1})
	s.is.NoErr(err)
	s.caller.SetFabric(s.fabric.Addr())
	s.start(t, s.caller, s.target, s.fabric)
	for range 2 {
		server, err := tunnel.New(tunnel.Config{
			Listen: []netip.AddrPort{loopback}, Fabric: []netip.AddrPort{s.fabric.Addr()},
			FabricSources: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
			Handler:       s.forwarder, Shards: 2,
		})
		s.is.NoErr(err)
		s.start(t, server)
		s.tunnels = append(s.tunnels, server.Addrs()...)
	}
	s.fabric.SetBalancers(s.tunnels)
	return s
}

func (s *setup) start(t *testing.T, runners ...runner) {
	for _, r := range runners {
		done := make(chan error, 1)
		go func() { done <- r.Run() }()
		t.Cleanup(func() {
			s.is.NoErr(r.Close())
			s.is.NoErr(<-done)
		})
	}
}

// TestAnswersAreComplete guards against truncated or mixed-up answers when
// the segments of a request and its answer pass through two balancers in any
// order.
func TestAnswersAreComplete(t *testing.T) {
	for _, service := range []netip.AddrPort{service4, service6} {
		t.Run(service.String(), func(t *testing.T) {
			s := newSetup(t, nil)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			conn, err := s.caller.Dial(ctx, service)
			s.is.NoErr(err)
			for _, length := range []int{1, 999, 50_000} {
				text := strings.Repeat("x", length)
				answer, err := conn.Request(ctx, text)
				s.is.NoErr(err)
				s.is.Equal(answer, Answer{Target: "target-1", Text: text})
			}
			s.is.NoErr(conn.Close(ctx))
			answer, err := s.caller.Datagram(ctx, service, "hello")
			s.is.NoErr(err)
			s.is.Equal(answer.Target, "target-1")
			stats := s.target.Stats()
			s.is.Equal(stats.Openings, uint64(1))
			s.is.Equal(stats.Requests, uint64(4))
			s.is.Equal(stats.UnknownFlow+stats.WrongService+stats.Undecoded, uint64(0))
			for _, addr := range s.tunnels {
				s.is.True(s.fabric.Stats().Sprayed[addr] > 0)
			}
		})
	}
}

// TestLostPacketsAreRetransmitted guards against requests that hang or run twice
// when the network drops SYNs, data segments and FINs.
func TestLostPacketsAreRetransmitted(t *testing.T) {
	s := newSetup(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s.forwarder.dropNext.Store(1)
	conn, err := s.caller.Dial(ctx, service4)
	s.is.NoErr(err)
	for i := range 20 {
		s.forwarder.dropNext.Store(int64(i % 4))
		text := fmt.Sprint(i, strings.Repeat("y", 3000))
		answer, err := conn.Request(ctx, text)
		s.is.NoErr(err)
		s.is.Equal(answer.Text, text)
	}
	s.forwarder.dropNext.Store(1)
	s.is.NoErr(conn.Close(ctx))
	s.is.Equal(s.target.Stats().Requests, uint64(20))
	s.is.True(s.caller.Stats().Retransmitted > 0)
}

// TestRefusalsAndResets guards against wrong errors and counters when an opening is
// refused, an open connection is reset or the target drops an opening.
func TestRefusalsAndResets(t *testing.T) {
	s := newSetup(t, func(c *target.Config) { c.MaxConnections = 1 })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := s.caller.Dial(ctx, service4)
	s.is.NoErr(err)
	_, err = conn.Request(ctx, "one")
	s.is.NoErr(err)
	s.forwarder.refuse.Store(true)
	_, err = s.caller.Dial(ctx, service4)
	s.is.True(errors.Is(err, ErrRefused))
	_, err = s.caller.Datagram(ctx, service6, "two")
	s.is.True(errors.Is(err, ErrUnreachable))
	_, err = conn.Request(ctx, "three")
	s.is.True(errors.Is(err, ErrReset))
	s.is.Equal(s.caller.Stats().BadResets, uint64(0))
	s.forwarder.refuse.Store(false)
	short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stop()
	_, err = s.caller.Dial(short, service4)
	s.is.True(errors.Is(err, context.DeadlineExceeded))
	s.is.True(s.target.Stats().OverLimit > 0)
	short, stop = context.WithTimeout(ctx, 100*time.Millisecond)
	defer stop()
	_, err = s.caller.Dial(short, unknownService)
	s.is.True(errors.Is(err, context.DeadlineExceeded))
	s.is.True(s.target.Stats().WrongService > 0)
}

// TestRequestsWaitForSlots guards against requests that are lost or run twice when
// more arrive than the target has slots.
func TestRequestsWaitForSlots(t *testing.T) {
	var runs atomic.Int64
	s := newSetup(t, func(c *target.Config) {
		c.Slots, c.RequestDuration = 3, time.Millisecond
		c.OnRequest = func(string, string) { runs.Add(1) }
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	const requests = 10
	errs := make(chan error, requests)
	for i := range requests {
		go func() {
			_, err := s.caller.Datagram(ctx, service4, fmt.Sprint("take ", i))
			errs <- err
		}()
	}
	for range requests {
		s.is.NoErr(<-errs)
	}
	s.is.Equal(runs.Load(), int64(requests))
	s.is.Equal(s.target.Stats().Requests, uint64(requests))
}

// TestRestartedTargetResets guards against a connection that hangs because the
// target no longer has state for it.
func TestRestartedTargetResets(t *testing.T) {
	s := newSetup(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := s.caller.Dial(ctx, service4)
	s.is.NoErr(err)
	s.target.Restart()
	_, err = conn.Request(ctx, "one")
	s.is.True(errors.Is(err, ErrReset))
	s.is.True(s.target.Stats().UnknownFlow > 0)
}

func TestFabricSkipsBalancersThatAreDown(t *testing.T) {
	s := newSetup(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s.fabric.SetDown(s.tunnels[0], true)
	for range 10 {
		_, err := s.caller.Datagram(ctx, service4, "hello")
		s.is.NoErr(err)
	}
	stats := s.fabric.Stats()
	s.is.Equal(stats.Sprayed[s.tunnels[0]], uint64(0))
	s.is.Equal(stats.Sprayed[s.tunnels[1]], uint64(10))
}
