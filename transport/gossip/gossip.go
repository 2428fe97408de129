// Package gossip exchanges the UDP messages of package protocol/gossip between
// the hosts that steer by token: heartbeats with loads, discovery of hosts, and
// feeds of store changes.
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
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

const percent = 100

// maxFeedTime bounds how long one feed, summed over all receivers, occupies the
// host's link, which also carries callers' packets. assumedLinkMbps is used if
// the bandwidth is not known.
const (
	maxFeedTime     = 30 * time.Millisecond
	assumedLinkMbps = 10
)

// Local connects an Exchange to the rest of its host. Its methods are called
// from several goroutines.
type Local interface {
	// StoreAnswers reports whether the store responds to this host.
	StoreAnswers() bool
	// Leaving reports whether the host is shutting down as planned.
	Leaving() bool
	// UnreachableZones returns the zones whose targets this host does not reach.
	UnreachableZones() []string
	// Loads returns this host's load on each target, and the tokens of the targets
	// that have just answered it.
	Loads() (loads []gossip.TargetLoad, answers []uint32)
	// HandleFeed receives changes that another host read from the store; fetched is
	// set if they are the reply to a fetch.
	HandleFeed(f *gossip.Feed, fetched bool)
	// HandleReaderStore receives whether the store answers the zone's reader.
	HandleReaderStore(answers bool)
	// ChangesSince returns the changes of the store after an index, nil if this
	// host doesn't know all of them.
	ChangesSince(after store.Index) *gossip.Feed
	// HandleReader is called when this host begins or ends to read the store for
	// its zone.
	HandleReader()
	// HandleLoads receives the summed loads of the zone's other hosts, once per
	// round of heartbeats.
	HandleLoads(l *steering.PeerLoads)
}

// Config configures an Exchange.
type Config struct {
	// Listen is the UDP address to receive on and send from.
	Listen netip.AddrPort
	// Self is this host as advertised to the others.
	Self gossip.Host
	// Seeds are the addresses of hosts that are queried for the other hosts.
	Seeds []netip.AddrPort
	Local Local
	// Clock returns the time since a fixed origin.
	Clock func() time.Duration
	Log   zerolog.Logger
}

// Stats are totals since the start and the current state.
type Stats struct {
	// Rejected counts the received datagrams that can't be decoded; Received
	// doesn't include them.
	Sent, SentBytes, Received, Rejected uint64
	// Hosts is the number of live hosts of the zone, this one included.
	Hosts int
	// ReadsStore reports whether this host reads the store for its zone.
	ReadsStore bool
}

// Exchange sends and receives the gossip messages of one host. Its methods are
// safe for concurrent use.
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

// New opens the UDP socket. Serve and Run do the work.
func New(cfg Config) (*Exchange, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "control")
	}
	return &Exchange{cfg: cfg, conn: conn, seeds: cfg.Seeds, peers: peers.New(cfg.Self), reads: true, hosts: 1}, nil
}

// Close closes the socket, which ends Serve.
func (e *Exchange) Close() error {
	e.closed.Store(true)
	return e.conn.Close()
}

// Serve receives messages until Close, after which it returns nil.
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
		e.receive(&m, from)
	}
}

// receive processes a received message: it updates the known hosts, replies to a
// hello and passes on a feed of this zone.
func (e *Exchange) receive(m *gossip.Message, from netip.AddrPort) {
	e.mu.Lock()
	now := e.cfg.Clock()
	e.peers.Receive(now, m)
	var known []gossip.Host
	if m.Kind == gossip.KindHello {
		known = e.peers.KnownHosts(now, m.From.Zone)
	}
	e.mu.Unlock()
	if len(m.Relay) > 0 && m.From.Zone == e.cfg.Self.Zone {
		relayed := *m
		relayed.Relay = nil
		e.send(&relayed, m.Relay...)
	}
	switch {
	case m.Kind == gossip.KindHello:
		e.send(&gossip.Message{Kind: gossip.KindHelloReply, From: e.cfg.Self, KnownHosts: known}, from)
	case m.Kind == gossip.KindDigest && m.From.Zone == e.cfg.Self.Zone && !m.StoreAnswers:
		e.cfg.Local.HandleReaderStore(false) // a feed shows that the store answers again
	case m.Feed != nil && (m.Kind == gossip.KindFetchReply || (m.Kind == gossip.KindFeed && m.From.Zone == e.cfg.Self.Zone)):
		fetched := m.Kind == gossip.KindFetchReply
		if !fetched && m.StoreAnswers {
			e.cfg.Local.HandleReaderStore(true)
		}
		e.cfg.Local.HandleFeed(m.Feed, fetched)
	case m.Kind == gossip.KindFetch:
		e.replyToFetch(m.After, from)
	}
}

// replyToFetch sends the changes after an index, if this host knows them.
func (e *Exchange) replyToFetch(after store.Index, to netip.AddrPort) {
	feed := e.cfg.Local.ChangesSince(after)
	if feed == nil {
		return
	}
	e.send(&gossip.Message{
		Kind: gossip.KindFetchReply, From: e.cfg.Self, StoreAnswers: e.cfg.Local.StoreAnswers(), Leaving: e.cfg.Local.Leaving(), Feed: feed,
	}, to)
}

// Run sends heartbeats, and hellos to the seeds, until ctx is done.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(peers.HeartbeatInterval)
	defer ticker.Stop()
	for {
		e.runRound()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runRound sends one round of heartbeats, and hellos if due. It also determines
// whether this host reads the store, and passes the loads of the other hosts to
// Local.
func (e *Exchange) runRound() {
	answers, leaving := e.cfg.Local.StoreAnswers(), e.cfg.Local.Leaving()
	own, targetAnswers := e.cfg.Local.Loads()
	heartbeat, err := gossip.Encode(&gossip.Message{
		Kind: gossip.KindHeartbeat, From: e.cfg.Self, StoreAnswers: answers, Leaving: leaving, Loads: own, Answers: targetAnswers,
	})
	if err != nil {
		e.cfg.Log.Error().Str("event", "gossip_failed").Str("kind", string(gossip.KindHeartbeat)).Err(err).Send()
	}
	e.mu.Lock()
	now := e.cfg.Clock()
	helloDue := e.peers.HelloDue(now)
	to := e.peers.NextRound(now, len(heartbeat), own, targetAnswers)
	seeds := e.seeds
	queried, contacts := e.zoneContacts()
	prevReads, prevHosts := e.reads, e.hosts
	e.reads = e.peers.ReadsStore(now, answers, leaving)
	e.hosts = e.peers.LiveHosts(now)
	reads, hosts := e.reads, e.hosts
	digest, receivers := e.peers.Digest(now), e.peers.Receivers(now)
	loads := &steering.PeerLoads{
		Hosts: hosts, Settled: e.peers.Settled(now), Targets: map[steering.Token]steering.TargetLoad{},
		QueriedZones: queried, ZoneAnswers: e.peers.ZoneAnswers(),
	}
	for token, l := range e.peers.Loads(now) {
		loads.Targets[steering.Token(token)] = steering.TargetLoad{Open: l.Open, Busy: l.Busy, Unanswered: l.Unanswered, FastShare: float64(l.FastPercent) / percent}
	}
	e.mu.Unlock()
	if hosts != prevHosts {
		e.cfg.Log.Info().Str("event", "hosts_changed").Int("hosts", hosts).Int("former", prevHosts).Send()
	}
	if reads != prevReads {
		e.cfg.Log.Info().Str("event", "reader_changed").Bool("reads", reads).Int("hosts", hosts).Bool("store_answers", answers).Send()
	}
	if reads != prevReads {
		e.cfg.Local.HandleReader()
	}
	e.cfg.Local.HandleLoads(loads)
	hello := &gossip.Message{Kind: gossip.KindHello, From: e.cfg.Self}
	if helloDue {
		e.send(hello, seeds...)
	}
	e.send(hello, contacts...)
	if err == nil {
		e.write(heartbeat, addrs(to)...)
	}
	if digest != nil {
		e.sendToZone(&gossip.Message{Kind: gossip.KindDigest, From: e.cfg.Self, StoreAnswers: answers, Leaving: leaving, Digest: digest}, receivers)
	}
}

// sendToZone sends a message to the heads of groups, with the hosts that each of
// them relays it to.
func (e *Exchange) sendToZone(m *gossip.Message, groups []peers.Group) {
	for _, g := range groups {
		m.Relay = g.Relay
		e.send(m, g.Head.Addr)
	}
}

// zoneContacts returns the unreachable zones of which hosts are known, and the
// hosts that are queried to find out whether they can be reached again. The caller
// holds e.mu.
func (e *Exchange) zoneContacts() (zones []string, contacts []netip.AddrPort) {
	for _, zone := range e.cfg.Local.UnreachableZones() {
		if hosts := e.peers.ZoneContacts(zone); len(hosts) > 0 {
			zones = append(zones, zone)
			contacts = append(contacts, addrs(hosts)...)
		}
	}
	return zones, contacts
}

// SetSeeds replaces the addresses of the seeds.
func (e *Exchange) SetSeeds(seeds []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// ReadsStore reports whether this host reads the store for its zone.
func (e *Exchange) ReadsStore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reads
}

// SendFeed sends changes read from the store to the other hosts of the zone. If
// the feed is too long it removes the changes from f and marks it as partial, so
// that the receivers read the store themselves.
func (e *Exchange) SendFeed(f *gossip.Feed) {
	e.mu.Lock()
	receivers := e.peers.Receivers(e.cfg.Clock())
	e.mu.Unlock()
	if len(receivers) == 0 {
		return
	}
	m := &gossip.Message{
		Kind: gossip.KindFeed, From: e.cfg.Self, StoreAnswers: e.cfg.Local.StoreAnswers(), Leaving: e.cfg.Local.Leaving(), Feed: f,
	}
	if b, err := gossip.Encode(m); err != nil || len(b)*len(receivers) > e.maxFeedBytes() {
		f.Changes, f.Partial = nil, true
	}
	e.sendToZone(m, receivers)
}

// maxFeedBytes returns the bytes that the host's link carries in maxFeedTime.
func (e *Exchange) maxFeedBytes() int {
	mbps := e.cfg.Self.LinkMbps
	if mbps <= 0 {
		mbps = assumedLinkMbps
	}
	return int(float64(mbps) * 1e6 / 8 * maxFeedTime.Seconds())
}

// Fetch requests the changes after an index from the zone's reader, or from
// hosts of other zones if this host is the reader. It reports whether there is a
// host to request them from; the reply arrives as a feed.
func (e *Exchange) Fetch(after store.Index) bool {
	e.mu.Lock()
	to := e.peers.FetchFrom(e.cfg.Clock())
	e.mu.Unlock()
	e.send(&gossip.Message{Kind: gossip.KindFetch, From: e.cfg.Self, After: after}, addrs(to)...)
	return len(to) > 0
}

// FeedWait returns how much longer than the first host of the zone this one
// waits for a missing feed before it reads the store itself.
func (e *Exchange) FeedWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.FeedWait(e.cfg.Clock())
}

func addrs(hosts []gossip.Host) []netip.AddrPort {
	list := make([]netip.AddrPort, len(hosts))
	for i, h := range hosts {
		list[i] = h.Addr
	}
	return list
}

// send encodes and sends a message. Delivery isn't guaranteed: later rounds make
// up for lost messages.
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
		Hosts: e.hosts, ReadsStore: e.reads,
	}
}
