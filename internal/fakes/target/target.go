// Package target is a fake target: it decapsulates callers' packets from GUE,
// answers TCP and UDP requests and sends the answers directly to the callers.
//
// A request is one line of text. The answer is the target's name, a space and
// the same line.
package target

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/internal/fakes/gue"
	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// Config describes a Target.
type Config struct {
	Name   string
	Listen netip.AddrPort
	// Services are the addresses that the target serves; packets for other
	// addresses are counted and dropped.
	Services []document.Address
	// Routes maps callers' addresses to their sockets.
	Routes gue.Routes
	// MaxConnections limits the open connections; openings over the limit are
	// dropped. 0 means no limit.
	MaxConnections int
	// Slots limits the requests that run concurrently; 0 means no limit.
	// RequestDuration is the time that each request takes.
	Slots           int
	RequestDuration time.Duration
	// OnRequest, if set, is called once for each request that is run.
	OnRequest func(target, request string)
}

// Stats holds the counters of a Target.
type Stats struct {
	Packets uint64
	// Openings counts connections accepted; Connections is the number open now
	// and MaxConnections the highest number open at once.
	Openings                    uint64
	Connections, MaxConnections int
	// Requests counts requests run; MaxPending is the highest number that were
	// waiting for a slot or running at the same time.
	Requests   uint64
	MaxPending int
	// WrongService counts packets for an address that is not served here.
	WrongService uint64
	// OverLimit counts openings dropped because of the connection limit.
	OverLimit uint64
	// UnknownFlow counts packets of connections that the target has no state
	// for, AfterClose late packets of connections closed with FIN. Both are
	// answered with a reset.
	UnknownFlow, AfterClose uint64
	// Resets counts connections that the caller reset.
	Resets uint64
	// ICMPErrors counts received ICMP errors, which answers have caused.
	ICMPErrors uint64
	// Undecoded counts packets that were not valid TCP, UDP or ICMP packets.
	Undecoded uint64
}

// Target is a running fake target. All methods are safe for concurrent use.
type Target struct {
	cfg    Config
	socket *gue.Socket
	slots  chan struct{}

	mu      sync.Mutex
	conns   map[connKey]*conn
	closed  map[connKey]bool
	pending int
	stats   Stats
}

// New opens the target's tunnel socket; Run receives from it.
func New(cfg Config) (*Target, error) {
	socket, err := gue.Listen(cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "target %s", cfg.Name)
	}
	t := &Target{cfg: cfg, socket: socket, conns: map[connKey]*conn{}, closed: map[connKey]bool{}}
	if cfg.Slots > 0 {
		t.slots = make(chan struct{}, cfg.Slots)
	}
	return t, nil
}

// Addr returns the address of the target's tunnel socket.
func (t *Target) Addr() netip.AddrPort { return t.socket.Addr() }

// SetRoutes replaces the routes to callers.
func (t *Target) SetRoutes(routes gue.Routes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.Routes = routes
}

// Stats returns a copy of the counters.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.stats
	stats.Connections = len(t.conns)
	return stats
}

// Run handles packets until Close is called.
func (t *Target) Run() error {
	for {
		ip, err := t.socket.Receive()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "target %s", t.cfg.Name)
		}
		t.handle(ip)
	}
}

// Close ends Run. Open connections are dropped without a reset, as when a
// target crashes.
func (t *Target) Close() error { return t.socket.Close() }

// Restart drops the state of all connections, as when a target's process
// restarts.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = map[connKey]*conn{}
	t.closed = map[connKey]bool{}
}

func (t *Target) handle(ip []byte) {
	p, err := wire.Parse(ip)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Packets++
	switch {
	case err != nil:
		t.stats.Undecoded++
	case p.ICMP != nil:
		t.stats.ICMPErrors++
	case !t.serves(p):
		t.stats.WrongService++
	case p.TCP != nil:
		t.handleSegment(p)
	default:
		t.handleDatagram(p)
	}
}

func (t *Target) serves(p *wire.Packet) bool {
	proto := packet.ProtoUDP
	if p.TCP != nil {
		proto = packet.ProtoTCP
	}
	for _, s := range t.cfg.Services {
		if s.AddrPort == p.Dst && s.Protocol == proto {
			return true
		}
	}
	return false
}

func (t *Target) handleDatagram(p *wire.Packet) {
	caller, service, request := p.Src, p.Dst, string(p.Payload)
	t.runRequest(request, func(answer string) {
		t.send(wire.UDP(service, caller, []byte(answer)), caller)
	})
}

// runRequest runs a request and calls done with its answer while t.mu is held. If
// requests take time or slots are limited, it does so in a new goroutine.
func (t *Target) runRequest(request string, done func(answer string)) {
	t.pending++
	t.stats.MaxPending = max(t.stats.MaxPending, t.pending)
	if t.slots == nil && t.cfg.RequestDuration == 0 {
		t.finishRequest(request, done)
		return
	}
	go func() {
		if t.slots != nil {
			t.slots <- struct{}{}
			defer func() { <-t.slots }()
		}
		time.Sleep(t.cfg.RequestDuration)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.finishRequest(request, done)
	}()
}

func (t *Target) finishRequest(request string, done func(answer string)) {
	t.pending--
	t.stats.Requests++
	if t.cfg.OnRequest != nil {
		t.cfg.OnRequest(t.cfg.Name, request)
	}
	done(t.cfg.Name + " " + request)
}

// send sends an IP packet directly to the caller, not through a balancer.
func (t *Target) send(ip []byte, caller netip.AddrPort) {
	if via, ok := t.cfg.Routes.Lookup(caller.Addr()); ok {
		// The caller's socket may be closed; that is not an error of the target.
		_ = t.socket.Send(via, ip)
	}
}
