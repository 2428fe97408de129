package tunnel

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/internal/fakes/caller"
	"github.com/jujubehaven/jujubehaven/internal/fakes/fabric"
	"github.com/jujubehaven/jujubehaven/internal/fakes/gue"
	"github.com/jujubehaven/jujubehaven/internal/fakes/target"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// virtualStart is the hosts' clock reading when the servers start. The balancers
// have then run for a minute of virtual time.
const virtualStart = time.Hour

// hosts is a zone of hosts with the complete packet path over loopback. Control
// messages are delivered in memory.
type hosts struct {
	is      *is.I
	start   time.Time
	servers []*Server
	fabric  *fabric.Fabric
	caller  *caller.Caller
	targets []*target.Target
	routes  gue.Routes
	service document.Service

	mu sync.Mutex
	// balancers holds nil for a killed host.
	balancers []*balancer.Balancer
	infos     []peer.Host
	// runs counts the executions of each request at the targets.
	runs map[string]int
}

// runner is the common interface of the fakes and the server.
type runner interface {
	Run() error
	Close() error
}

func (h *hosts) run(t *testing.T, r runner, err error) {
	t.Helper()
	h.is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- r.Run() }()
	t.Cleanup(func() {
		r.Close()
		h.is.NoErr(<-done)
	})
}

func newHosts(t *testing.T, hostCount, targetCount int) *hosts {
	h := &hosts{is: is.New(t), runs: map[string]int{}}
	var err error
	h.caller, err = caller.New(caller.Config{
		Listen: local4, RTO: 50 * time.Millisecond, MaxRTO: 200 * time.Millisecond,
		Addr4: caller4.Addr(), Addr6: caller6.Addr(),
	})
	h.run(t, h.caller, err)
	h.routes = gue.Routes{
		{Prefix: netip.PrefixFrom(caller4.Addr(), 32), Via: h.caller.Addr()},
		{Prefix: netip.PrefixFrom(caller6.Addr(), 128), Via: h.caller.Addr()},
	}
	h.fabric, err = fabric.New(fabric.Config{Listen: local4, Routes: h.routes, Seed: 1})
	h.run(t, h.fabric, err)
	h.caller.SetFabric(h.fabric.Addr())
	h.service = document.Service{Name: "order-book", Generation: 1, Addresses: []document.Address{
		{AddrPort: service4, Protocol: packet.ProtoTCP},
		{AddrPort: service6, Protocol: packet.ProtoTCP},
		{AddrPort: service4, Protocol: packet.ProtoUDP},
		{AddrPort: service6, Protocol: packet.ProtoUDP},
	}}
	for i := range targetCount {
		h.addTarget(t, fmt.Sprint("t", i))
	}
	for i := range hostCount {
		h.addHost(t, i)
	}
	h.warmUp()
	h.tickUntilCleanup(t)
	for _, server := range h.servers {
		h.run(t, server, nil)
	}
	return h
}

func (h *hosts) addTarget(t *testing.T, name string) {
	tg, err := target.New(target.Config{
		Name: name, Listen: local4, Services: h.service.Addresses, Routes: h.routes, OnRequest: h.countRun,
	})
	h.run(t, tg, err)
	h.targets = append(h.targets, tg)
	h.service.Targets = append(h.service.Targets, document.Target{
		Name: name, Zone: "z", Tunnel: tg.Addr(), Weight: 1, State: document.TargetActive,
		Limits: document.Limits{Connections: 2000, OpeningsInFlight: 2000, OpeningsPerSecond: 2000}, Ramp: time.Second,
	})
}

func (h *hosts) addHost(t *testing.T, i int) {
	server, err := New(Config{
		Listen: []netip.AddrPort{local4}, Fabric: []netip.AddrPort{h.fabric.Addr()},
		FabricSources: []netip.Prefix{netip.PrefixFrom(local4.Addr(), 8)},
		HostSources:   []netip.Prefix{netip.PrefixFrom(local4.Addr(), 8)},
		Shards:        2,
		Now:           func() time.Duration { return virtualStart + time.Since(h.start) },
		Handler: handlerFunc(func(_ int, p *packet.Packet, in *packet.Relay, send *Sender) {
			handler := balancerHandler{balancer: h.balancer(i), now: virtualStart + time.Since(h.start)}
			if handler.balancer != nil {
				handler.HandlePacket(handler.now, 0, p, in, send)
			}
		}),
	})
	h.is.NoErr(err)
	h.servers = append(h.servers, server)
	h.infos = append(h.infos, peer.Host{
		Name: fmt.Sprint("h", i), Zone: "z", Incarnation: 1,
		Relay: server.Addrs()[0].String(), Control: fmt.Sprint(i),
	})
	h.balancers = append(h.balancers, balancer.New(balancer.Config{Host: h.infos[i], Seed: uint64(i)}))
}

// warmUp runs the hosts in virtual time until all of them are members.
func (h *hosts) warmUp() {
	now := virtualStart - time.Minute
	zones := document.Zones{Generation: 1, Zones: []document.Zone{{Name: "z", State: document.ZoneIn}}}
	var tunnels []netip.AddrPort
	for i, b := range h.balancers {
		b.AddHosts(now, h.infos)
		b.SetDocuments(now, []document.Service{h.service}, zones, 1)
		tunnels = append(tunnels, h.servers[i].Addrs()...)
	}
	h.fabric.SetBalancers(tunnels)
	for now < virtualStart {
		now += tickInterval
		h.tick(now)
	}
	h.start = time.Now()
}

const tickInterval = 100 * time.Millisecond

func (h *hosts) tickUntilCleanup(t *testing.T) {
	ticker := time.NewTicker(tickInterval)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				h.tick(virtualStart + time.Since(h.start))
			}
		}
	}()
}

func (h *hosts) tick(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, b := range h.balancers {
		if b != nil {
			resets := deliver(h.balancers, b, now)
			h.servers[i].Send(func(s *Sender) { sendResets(s, resets) })
		}
	}
}

func (h *hosts) balancer(i int) *balancer.Balancer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balancers[i]
}

func (h *hosts) kill(i int) {
	h.mu.Lock()
	h.balancers[i] = nil
	h.mu.Unlock()
	h.is.NoErr(h.servers[i].Close())
}

func (h *hosts) countRun(_, request string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[request]++
}

// requestOverUDP retries a request until it is answered, since openings with
// payload may be dropped in the second after a target's owner changed. Each
// attempt has a distinct text, so that h.runs also counts attempts that were
// executed but not answered.
func (h *hosts) requestOverUDP(ctx context.Context, request string) {
	const attemptTimeout = 3 * time.Second
	for attempt := 0; ; attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		_, err := h.caller.Datagram(attemptCtx, service4, fmt.Sprint(request, " try ", attempt))
		cancel()
		if err == nil {
			return
		}
		h.is.NoErr(ctx.Err()) // no attempt was answered
	}
}

// TestHostFailureBreaksNoConnection guards against connections that are reset,
// and requests that are lost or run twice, when one of three hosts dies and the
// fabric still sends packets to it for a while.
func TestHostFailureBreaksNoConnection(t *testing.T) {
	const flows, requests = 20, 30
	h := newHosts(t, 3, 6)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	results := make(chan error, flows)
	halfway := make(chan struct{}, flows)
	for i := range flows {
		service := []netip.AddrPort{service4, service6}[i%2]
		go func() { results <- h.runConnection(ctx, service, i, requests, halfway) }()
	}
	for range flows {
		<-halfway
	}
	answer, err := h.caller.Datagram(ctx, service6, "before")
	h.is.NoErr(err)
	h.is.Equal(answer.Text, "before")
	h.kill(1)
	time.Sleep(2 * tickInterval)
	h.fabric.SetDown(h.servers[1].Addrs()[0], true)
	for range flows {
		h.is.NoErr(<-results)
	}
	for i := range flows {
		h.requestOverUDP(ctx, fmt.Sprint("after ", i))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.is.Equal(len(h.runs), flows*requests+1+flows)
	for _, n := range h.runs {
		h.is.Equal(n, 1)
	}
	for _, tg := range h.targets {
		stats := tg.Stats()
		h.is.Equal(stats.WrongService+stats.UnknownFlow+stats.Undecoded, uint64(0))
	}
	h.is.Equal(h.caller.Stats().BadResets, uint64(0))
}

// runConnection makes requests on one connection and closes it. It signals
// halfway when half of them are answered or when the dial failed.
func (h *hosts) runConnection(ctx context.Context, service netip.AddrPort, flow, requests int, halfway chan<- struct{}) error {
	conn, err := h.caller.Dial(ctx, service)
	if err != nil {
		halfway <- struct{}{}
		return err
	}
	for n := range requests {
		if n == requests/2 {
			halfway <- struct{}{}
		}
		if _, err := conn.Request(ctx, fmt.Sprint("request ", flow, " ", n)); err != nil {
			return err
		}
	}
	return conn.Close(ctx)
}
