package direct

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

var service = packet.NewEndpoint(netip.MustParseAddrPort("198.18.0.1:80"), packet.ProtoTCP)

// byteCodec decodes a datagram by its first byte: 's' opens a flow, 'd' is data,
// 'u' opens a flow to an address without a route, all others are invalid.
type byteCodec struct{ caller netip.AddrPort }

func (byteCodec) Headroom() int { return 1 }

func (c byteCodec) Decode(b []byte, p *steering.Segment) bool {
	*p = steering.Segment{Flow: packet.Flow{Caller: c.caller.Addr().As16(), CallerPort: 9, Service: service}, Payload: b[1:]}
	switch b[0] {
	case 's':
		p.Class = packet.Opening
	case 'd':
		p.Class, p.Token = packet.Data, steering.TokenOf("t/1")
	case 'u':
		p.Class = packet.Opening
		p.Flow.Service.Port = 81
	default:
		return false
	}
	return true
}

func (byteCodec) Forward(buf []byte, a *steering.Action) []byte {
	buf[0] = byte(a.Target)
	return buf
}

func (c byteCodec) Reset(buf []byte, _ *steering.Segment) ([]byte, netip.AddrPort) {
	return append(buf[:0], 'R'), c.caller
}

// recorder is an Observer that records the kinds of the actions.
type recorder struct {
	mu   sync.Mutex
	list []steering.Kind
}

func (d *recorder) Decided(_ time.Duration, _ *steering.Segment, a *steering.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, a.Kind)
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func receive(t *testing.T, c *net.UDPConn) string {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
	buf := make([]byte, 2000)
	n, err := c.Read(buf)
	is.NoErr(err)
	return string(buf[:n])
}

// TestServer guards against actions that are not executed or counted, a new view
// that is not applied while no packets arrive, and a Run that outlives Close.
func TestServer(t *testing.T) {
	is := is.New(t)
	target, caller := listen(t), listen(t)
	start := time.Now()
	recorded := &recorder{}
	s, err := New(Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Codec: byteCodec{addrOf(caller)}, Observer: recorded,
		Steering: steering.New(steering.Config{Zone: "a"}), Clock: func() time.Duration { return time.Since(start) },
	})
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- s.Run() }()
	at := net.UDPAddrFromAddrPort(addrOf(s.conn))
	send := func(text string) {
		_, err := caller.WriteToUDP([]byte(text), at)
		is.NoErr(err)
	}
	eventually := func(what string, ok func(*Stats) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if ok(s.Stats()) {
				return
			}
		}
		t.Fatalf("not within 20 s: %s", what)
	}
	s.SetView(&fleet.View{
		Number: 1,
		Config: fleet.Config{
			Version: 1, Services: map[string]fleet.ServiceLimits{"book": {}},
			Routes: []fleet.Route{{Endpoint: service, Shares: []fleet.Share{{Service: "book", Weight: 1}}}},
		},
		Targets: []fleet.Entry{{Target: fleet.Target{Key: "t/1", Number: '7', Service: "book", Zone: "a", Slots: 3, Heartbeats: 1, Addr: addrOf(target)}}},
	})
	eventually("the view", func(st *Stats) bool { return st.KnownTargets == 1 })
	send("s")
	is.Equal(receive(t, target), "7s")
	send("dhello")
	is.Equal(receive(t, target), "7dhello")
	send("u")
	is.Equal(receive(t, caller), "R")
	send("x")
	eventually("totals", func(st *Stats) bool { return st.Received == 4 && st.Undecodable == 1 && st.Flows == 1 })
	is.NoErr(s.Close())
	is.NoErr(<-done)
	is.Equal(recorded.list, []steering.Kind{steering.Forward, steering.Forward, steering.Reset})
}

// TestAddressInUseIsReported guards against an error for an address in use that
// does not name the setting.
func TestAddressInUseIsReported(t *testing.T) {
	taken := listen(t)
	_, err := New(Config{Listen: addrOf(taken)})
	is := is.New(t)
	is.True(err != nil)
	is.Equal(err.Error()[:5], "data:")
}
