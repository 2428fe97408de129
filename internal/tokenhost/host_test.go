package tokenhost

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/buffer"
	"github.com/jujubehaven/jujubehaven/internal/logging"
	"github.com/jujubehaven/jujubehaven/internal/settings"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// staticFeed is a store whose entries never change.
type staticFeed struct{ entries []store.Entry }

func (s staticFeed) List(context.Context, store.Key) (store.Snapshot, error) {
	return store.Snapshot{Entries: s.entries, Index: 1}, nil
}

func (s staticFeed) Changes(ctx context.Context, _ store.Key, after store.Index, wait time.Duration) (store.Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return store.Changes{Index: after}, nil
}

func (s staticFeed) Head(context.Context) (store.Position, error) {
	return store.Position{Index: 1}, nil
}

// addrDecoder decodes entries whose value is the address of a target.
type addrDecoder struct{}

func (addrDecoder) Target(key store.Key, value []byte) (fleet.Target, error) {
	addr, err := netip.ParseAddrPort(string(value))
	return fleet.Target{Key: fleet.TargetKey(key), Number: 7, Service: "book", Zone: "a", Addr: addr, Slots: 3, Heartbeats: 1}, err
}

var service = packet.NewEndpoint(netip.MustParseAddrPort("198.18.0.1:80"), packet.ProtoTCP)

func (addrDecoder) Operator(store.Key, []byte, bool) (fleet.OperatorChange, error) {
	return fleet.OperatorChange{Config: &fleet.Config{
		Version:  3,
		Services: map[string]fleet.ServiceLimits{"book": {}},
		Routes:   []fleet.Route{{Endpoint: service, Shares: []fleet.Share{{Service: "book", Weight: 1}}}},
	}}, nil
}

// classCodec decodes a caller's packet from one byte for its class, followed by
// the payload. The byte 'u' stands for an opening to a port without a route; 'x'
// can't be decoded.
type classCodec struct{ reset netip.AddrPort }

func (classCodec) Headroom() int { return 0 }

func (classCodec) Decode(b []byte, p *steering.Segment) bool {
	if len(b) == 0 || b[0] == 'x' {
		return false
	}
	p.Class = packet.Class(b[0])
	p.Token = steering.TokenOf("t/1")
	p.Flow = packet.Flow{Caller: netip.MustParseAddr("100.64.0.7").As16(), CallerPort: 1, Service: service}
	if b[0] == 'u' {
		p.Class = packet.Opening
		p.Flow.Service.Port = 81
	}
	p.Seq, p.Ack, p.Copy, p.Payload = 1, 1, 0, b[1:]
	return true
}

func (classCodec) Forward(buf []byte, a *steering.Action) []byte {
	return fmt.Appendf(nil, "%d %s", a.Target, buf[1:])
}

func (c classCodec) Reset([]byte, *steering.Segment) ([]byte, netip.AddrPort) {
	return []byte("reset"), c.reset
}

// testHost is a host with one socket that acts as target and caller.
type testHost struct {
	t      *testing.T
	host   *Host
	socket *net.UDPConn
	log    *buffer.Buffer
	leave  context.CancelFunc
	done   chan error
}

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// newIdleTestHost returns a host that is not run, with changed settings. The test runs
// or closes it.
func newIdleTestHost(t *testing.T, changes ...func(*settings.Settings)) *testHost {
	t.Helper()
	is := is.New(t)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	own := netip.MustParseAddrPort(socket.LocalAddr().String())
	values := map[string]string{
		"steering": "token", "host": "h1", "zone": "a", "platform": "http://127.0.0.1:1", "limits-leave": "100ms",
		"data": freePort(t).String(), "admin": freePort(t).String(), "metrics": freePort(t).String(), "control": freePort(t).String(),
	}
	s, err := settings.Load(settings.Source{LookupFlag: func(name string) (string, bool) {
		v, ok := values[name]
		return v, ok
	}})
	is.NoErr(err)
	for _, change := range changes {
		change(&s)
	}
	log := &buffer.Buffer{}
	h, err := New(s, logging.New(log, zerolog.DebugLevel), Dependencies{
		Feed:    staticFeed{[]store.Entry{{Key: "t/1", Value: []byte(own.String())}, {Key: "o/c"}}},
		Keys:    fleet.Keys{Targets: "t/", Operator: "o/"},
		Decoder: addrDecoder{}, Codec: classCodec{reset: own},
	})
	is.NoErr(err)
	return &testHost{t: t, host: h, socket: socket, log: log, done: make(chan error, 1)}
}

// newTestHost returns a running host that is ready and forwards packets.
func newTestHost(t *testing.T, changes ...func(*settings.Settings)) *testHost {
	t.Helper()
	x := newIdleTestHost(t, changes...)
	h := x.host
	leave, cancel := context.WithCancel(context.Background())
	x.leave = cancel
	go func() { x.done <- h.Run(leave, context.Background()) }()
	t.Cleanup(func() { x.stop() })
	x.eventually("ready", func() bool { return x.status(x.host.settings.Admin, "/readyz") == http.StatusOK })
	// The packet path applies a new view at its next tick.
	x.eventually("a view", func() bool { return h.packets.Stats().KnownTargets == 1 })
	return x
}

func (x *testHost) stop() error {
	x.leave()
	err := <-x.done
	x.done <- err
	return err
}

func (x *testHost) eventually(what string, ok func() bool) {
	x.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	x.t.Fatalf("not within 20 s: %s; log:\n%s", what, x.log.String())
}

func (x *testHost) get(addr netip.AddrPort, path string) (int, string, error) {
	resp, err := http.Get("http://" + addr.String() + path)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func (x *testHost) status(addr netip.AddrPort, path string) int {
	status, _, err := x.get(addr, path)
	if err != nil {
		return 0
	}
	return status
}

// exchange sends a packet and returns the packet that the host sends in return.
func (x *testHost) exchange(text string) string {
	x.t.Helper()
	is := is.New(x.t)
	_, err := x.socket.WriteToUDPAddrPort([]byte(text), x.host.settings.Data[0])
	is.NoErr(err)
	is.NoErr(x.socket.SetReadDeadline(time.Now().Add(20 * time.Second)))
	buf := make([]byte, 2000)
	n, err := x.socket.Read(buf)
	is.NoErr(err)
	return string(buf[:n])
}

func rawPacket(class packet.Class, payload string) string { return string(rune(class)) + payload }

func TestHostForwardsLogsAndCounts(t *testing.T) {
	is := is.New(t)
	x := newTestHost(t)
	is.Equal(x.exchange(rawPacket(packet.Opening, "")), "7 ")
	request := "GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: 4f1d\r\n\r\n"
	is.Equal(x.exchange(rawPacket(packet.Data, request)), "7 "+request)
	is.Equal(x.exchange("u"), "reset")
	x.eventually("lines", func() bool { return strings.Count(x.log.String(), "event=flow_reset") == 1 })
	for _, want := range []string{
		`event=config_in_force .*version=3`,
		`event=flow_placed cause=placed .*from=100.64.0.7:1 .*target=t/1 to=198.18.0.1:80 view_age_ms=`,
		`event=request_sent cause=known from=100.64.0.7:1 .*request=4f1d target=t/1 to=198.18.0.1:80`,
		`event=flow_reset cause=no-route from=100.64.0.7:1 .*run=not-run .*to=198.18.0.1:81`,
	} {
		if !regexp.MustCompile(want).MatchString(x.log.String()) {
			t.Errorf("no line %s in\n%s", want, x.log.String())
		}
	}
	x.eventually("metrics", func() bool {
		_, body, err := x.get(x.host.settings.Metrics, "/metrics")
		return err == nil && strings.Contains(body, `jujubehaven_token_decisions_total{action="forward",cause="placed"} 1`) &&
			strings.Contains(body, "jujubehaven_token_handshake_seconds_count 1") &&
			strings.Contains(body, "jujubehaven_token_config_version 3") &&
			strings.Contains(body, "jujubehaven_token_allotment_age_seconds -1")
	})
}

// A leaving host reports that it is not ready and forwards packets until it
// closes.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	x := newTestHost(t)
	h := x.host
	h.mu.Lock()
	h.settings.Limits.Leave = 2 * time.Second
	h.mu.Unlock()
	x.leave()
	x.eventually("not ready", func() bool { return x.status(h.settings.Admin, "/readyz") == http.StatusServiceUnavailable })
	is.Equal(x.exchange(rawPacket(packet.Opening, "")), "7 ")
	is.NoErr(x.stop())
	is.True(strings.Contains(x.log.String(), "event=leave_done"))
}

// A host must not be ready while its packet path drops packets as not-ready. The
// packet path applies the follower's first view only at its next tick, so a check
// of the follower alone lets /readyz answer 200 too early.
func TestNotReadyBeforePacketPathHasView(t *testing.T) {
	is := is.New(t)
	x := newIdleTestHost(t)
	t.Cleanup(x.host.Close)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.host.follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	x.eventually("the follower's first view", x.host.follower.Ready)
	is.Equal(x.host.packets.Stats().KnownTargets, 0) // the packet path does not run
	is.True(x.host.ready() != nil)                   // not ready without a view in the packet path
}

func TestReload(t *testing.T) {
	is := is.New(t)
	x := newTestHost(t)
	s := x.host.settings
	s.LogLevel = zerolog.ErrorLevel
	s.Peers.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.9:1")}
	is.NoErr(x.host.Reload(s))
	is.Equal(x.host.level.Level(), zerolog.ErrorLevel)
	s.Zone = "b"
	err := x.host.Reload(s)
	is.True(err != nil && strings.Contains(err.Error(), "zone"))
}

// The log stays within its rate limit under a flood of packets, and the lines
// left out are counted.
func TestLinesAreBounded(t *testing.T) {
	is := is.New(t)
	var out buffer.Buffer
	l := newDecisionLog(zerolog.New(&out), func() time.Duration { return 0 })
	p := steering.Segment{Flow: packet.Flow{Service: service}}
	for range 100_000 {
		l.Decided(0, &p, &steering.Action{Kind: steering.Forward, Placed: true})
	}
	lines := strings.Count(out.String(), "\n")
	is.True(lines >= decisionBurst && lines < decisionBurst+decisionsPerSecond*10)
	is.Equal(l.leftOut.Load(), uint64(100_000-lines))
}

// Placements beyond the rate limit must not suppress the lines of a few resets
// among them.
func TestPlacementLinesDoNotSuppressResets(t *testing.T) {
	is := is.New(t)
	var out buffer.Buffer
	l := newDecisionLog(zerolog.New(&out), func() time.Duration { return 0 })
	p := steering.Segment{Flow: packet.Flow{Service: service}}
	const resets, placementsEach = 20, 100
	for range resets {
		for range placementsEach {
			l.Decided(0, &p, &steering.Action{Kind: steering.Forward, Placed: true})
		}
		l.Decided(0, &p, &steering.Action{Kind: steering.Reset})
	}
	is.Equal(strings.Count(out.String(), "flow_reset"), resets)
}

func TestRequestID(t *testing.T) {
	cases := map[string]string{
		"GET / HTTP/1.1\r\nRequest-Id: a1\r\n\r\n": "a1",
		"GET / HTTP/1.1\r\nRequest-Id:a1\r\n\r\n":  "a1",
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n":        "",
		"GET / HTTP/1.1\r\nRequest-Id: cut off":    "",
		"":                                         "",
		"GET / HTTP/1.1\r\nRequest-Id: " + strings.Repeat("a", 100) + "\r\n": strings.Repeat("a", maxRequestIDBytes-1),
	}
	for data, want := range cases {
		is.New(t).Equal(requestID([]byte(data)), want)
	}
}

func TestNewErrorNamesFailedSetting(t *testing.T) {
	is := is.New(t)
	x := newTestHost(t)
	_, err := New(x.host.settings, zerolog.Nop(), Dependencies{Feed: staticFeed{}, Decoder: addrDecoder{}, Codec: classCodec{}})
	is.True(err != nil && strings.Contains(err.Error(), "data")) // the address is in use
	is.True(!errors.Is(err, io.EOF))
}

// The operators' page must list exactly the exported metrics with their labels.
func TestMetricsPageAgrees(t *testing.T) {
	is := is.New(t)
	x := newTestHost(t)
	descs := make(chan *prometheus.Desc, 1000)
	x.host.registry.Describe(descs)
	close(descs)
	form := regexp.MustCompile(`fqName: "([^"]*)".*variableLabels: \{([^}]*)\}`)
	var exported, listed []string
	for d := range descs {
		if m := form.FindStringSubmatch(d.String()); strings.HasPrefix(m[1], metricPrefix) {
			exported = append(exported, withLabels(m[1], m[2]))
		}
	}
	text, err := os.ReadFile("../../docs/operators/platform.md")
	is.NoErr(err)
	row := regexp.MustCompile("(?m)^\\| `(jujubehaven_[a-z_]+)` \\|([^|]*)\\|")
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		listed = append(listed, withLabels(m[1], strings.Trim(m[2], "` ")))
	}
	sort.Strings(exported)
	sort.Strings(listed)
	is.Equal(cmp.Diff(exported, listed), "")
}

// Guards against refusals that an operator can't look up: the page must explain each
// cause for which openings are dropped or refused.
func TestOperationsPageListsCauses(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	placed := map[steering.Cause]bool{
		steering.CauseKnown: true, steering.CausePlaced: true, steering.CausePlacedAway: true, steering.CauseReplaced: true,
		steering.CauseForged: true, // no caller sends it
	}
	for cause := range steering.CauseCount {
		named := regexp.MustCompile("(`|cause=)" + cause.String() + "`")
		if !placed[cause] && !named.Match(text) {
			t.Errorf("docs/OPERATIONS.md does not explain the cause %s", cause)
		}
	}
}

func withLabels(name, labels string) string {
	list := strings.Split(strings.ReplaceAll(labels, " ", ""), ",")
	sort.Strings(list)
	return name + "{" + strings.Join(list, ",") + "}"
}
