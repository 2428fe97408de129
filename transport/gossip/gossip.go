// Package gossip exchanges the datagrams of package protocol/gossip between
// hosts that steer by token.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/peers"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

const percent = 100

// maxFeedBytes bounds what a feed takes to all hosts of the zone together: 30
// ms of a link of 10 Mbit/s, which carries callers' packets too.
const maxFeedBytes = 40_000

// Local is what the rest of the host tells.
type Local interface {
	// StoreAnswers reports whether the store answers this host.
	StoreAnswers() bool
	// Leaving reports whether the host is in a planned stop.
	Leaving() bool
	// Loads is the load that this host gives to targets.
	Loads() []gossip.TargetLoad
	// TakeFeed gets what another host read from the store.
	TakeFeed(f *gossip.Feed)
	// TakeLoads gets what the other hosts of the zone told.
	TakeLoads(l *steering.PeerLoads)
}

// Config says what an Exchange does.
type Config struct {
	Listen netip.AddrPort
	Self   gossip.Host
	// Seeds are the addresses of hosts to meet first.
	Seeds []netip.AddrPort
	Local Local
	Clock func() time.Duration
	Log   zerolog.Logger
}

// Stats are totals since the start.
type Stats struct {
	Sent, SentBytes, Received, Rejected uint64
	// Hosts counts the live hosts of the zone.
	Hosts int
	// Reads is set while this host reads the store for its zone.
	Reads bool
}

// Exchange is one host's part in the exchange. Its methods are safe for
// concurrent use.
type Exchange struct {
	cfg  Config
	conn *net.UDPConn

	sent, sentBytes, received, rejected atomic.Uint64
	closed                              atomic.Bool

	// mu guards the rest.
	mu    sync.Mutex
	seeds []netip.AddrPort
	peers *peers.Peers
	reads bool
	hosts int
}

// New opens the socket.
func New(cfg Config) (*Exchange, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "control")
	}
	return &Exchange{cfg: cfg, conn: conn, seeds: cfg.Seeds, peers: peers.New(cfg.Self), reads: true, hosts: 1}, nil
}

// Close ends Serve.
func (e *Exchange) Close() error {
	e.closed.Store(true)
	return e.conn.Close()
}

// Serve takes messages until Close; the error is nil after Close.
func (e *Exchange) Serve() error {
	buf := make([]byte, gossip.MaxBytes+1)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if e.closed.Load() {
				return nil
			}
			return errors.Wrap(err, "control")
		}
		m, err := gossip.Decode(buf[:n])
		if err != nil {
			e.rejected.Add(1)
			continue
		}
		e.received.Add(1)
		e.take(&m, from)
	}
}

func (e *Exchange) take(m *gossip.Message, from netip.AddrPort) {
	e.mu.Lock()
	now := e.cfg.Clock()
	e.peers.Receive(now, m)
	var known []gossip.Host
	if m.Kind == gossip.KindHello {
		known = e.peers.KnownHosts(now, m.From.Zone)
	}
	e.mu.Unlock()
	switch {
	case m.Kind == gossip.KindHello:
		e.send(&gossip.Message{Kind: gossip.KindHelloReply, From: e.cfg.Self, KnownHosts: known}, from)
	case m.Kind == gossip.KindFeed && m.Feed != nil && m.From.Zone == e.cfg.Self.Zone:
		e.cfg.Local.TakeFeed(m.Feed)
	}
}

// Run sends beats and greetings until ctx is done.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(peers.HeartbeatInterval)
	defer ticker.Stop()
	for {
		e.round()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Exchange) round() {
	answers, leaving := e.cfg.Local.StoreAnswers(), e.cfg.Local.Leaving()
	beat, err := gossip.Encode(&gossip.Message{
		Kind: gossip.KindHeartbeat, From: e.cfg.Self, StoreAnswers: answers, Leaving: leaving, Loads: e.cfg.Local.Loads(),
	})
	if err != nil {
		e.cfg.Log.Error().Str("event", "gossip_failed").Str("kind", string(gossip.KindHeartbeat)).Err(err).Send()
	}
	e.mu.Lock()
	now := e.cfg.Clock()
	greet := e.peers.HelloDue(now)
	to := e.peers.NextRound(now, len(beat))
	seeds := e.seeds
	formerReads, formerHosts := e.reads, e.hosts
	e.reads = e.peers.ReadsStore(now, answers, leaving)
	e.hosts = e.peers.LiveHosts(now)
	reads, hosts := e.reads, e.hosts
	loads := &steering.PeerLoads{Hosts: hosts, Settled: e.peers.Settled(now), Targets: map[steering.Token]steering.TargetLoad{}}
	for token, l := range e.peers.Loads(now) {
		loads.Targets[steering.Token(token)] = steering.TargetLoad{Open: l.Open, Busy: l.Busy, Silent: l.Silent, FastShare: float64(l.FastPercent) / percent}
	}
	e.mu.Unlock()
	if hosts != formerHosts {
		e.cfg.Log.Info().Str("event", "hosts_changed").Int("hosts", hosts).Int("former", formerHosts).Send()
	}
	if reads != formerReads {
		e.cfg.Log.Info().Str("event", "reader_changed").Bool("reads", reads).Int("hosts", hosts).Bool("store_answers", answers).Send()
	}
	e.cfg.Local.TakeLoads(loads)
	if greet {
		hello := &gossip.Message{Kind: gossip.KindHello, From: e.cfg.Self}
		e.send(hello, seeds...)
	}
	if err == nil {
		e.write(beat, addrs(to)...)
	}
}

// SetSeeds replaces the hosts to meet first.
func (e *Exchange) SetSeeds(seeds []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// Reads reports whether this host reads the store for its zone.
func (e *Exchange) Reads() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reads
}

// SendFeed tells the other hosts of the zone what the store told this one.
func (e *Exchange) SendFeed(f *gossip.Feed) {
	e.mu.Lock()
	to := e.peers.ZoneHosts()
	e.mu.Unlock()
	if len(to) == 0 {
		return
	}
	m := &gossip.Message{Kind: gossip.KindFeed, From: e.cfg.Self, StoreAnswers: true, Leaving: e.cfg.Local.Leaving(), Feed: f}
	if b, err := gossip.Encode(m); err != nil || len(b)*len(to) > maxFeedBytes {
		f.Changes, f.Partial = nil, true // too long: the others ask the store
	}
	e.send(m, addrs(to)...)
}

func addrs(hosts []gossip.Host) []netip.AddrPort {
	list := make([]netip.AddrPort, len(hosts))
	for i, h := range hosts {
		list[i] = h.Addr
	}
	return list
}

// send sends a message; what is lost is made good by a later round.
func (e *Exchange) send(m *gossip.Message, to ...netip.AddrPort) {
	b, err := gossip.Encode(m)
	if err != nil {
		e.cfg.Log.Error().Str("event", "gossip_failed").Str("kind", string(m.Kind)).Err(err).Send()
		return
	}
	e.write(b, to...)
}

// write sends an encoded message.
func (e *Exchange) write(b []byte, to ...netip.AddrPort) {
	for _, addr := range to {
		if _, err := e.conn.WriteToUDPAddrPort(b, addr); err != nil {
			e.cfg.Log.Debug().Str("event", "gossip_failed").Stringer("to", addr).Err(err).Send()
			continue
		}
		e.sent.Add(1)
		e.sentBytes.Add(uint64(len(b)))
	}
}

// Stats returns the totals.
func (e *Exchange) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{
		Sent: e.sent.Load(), SentBytes: e.sentBytes.Load(), Received: e.received.Load(), Rejected: e.rejected.Load(),
		Hosts: e.hosts, Reads: e.reads,
	}
}
