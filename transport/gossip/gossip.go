// Package gossip exchanges the UDP messages of package protocol/gossip between
// the hosts that steer by token: heartbeats with loads, discovery of hosts, and
// feeds of store changes.
package gossip

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
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
	// LastRead returns up to which position this host has read the store by its own calls
	// and when the store last answered, by Config.Clock. It reports false if it never did.
	LastRead() (to store.Position, at time.Duration, ok bool)
	// Leaving reports whether the host is shutting down as planned.
	Leaving() bool
	// UnreachableZones returns the zones whose targets this host does not reach.
	UnreachableZones() []string
	// Loads returns this host's load on each target, and the tokens of the targets
	// that have just answered it.
	Loads() (loads []gossip.TargetLoad, answers []uint32)
	// Restarts returns the targets that may have started again, as this host has just seen.
	Restarts() []gossip.Restart
	// ZoneLoads returns the loads that the hosts of this host's zone place on each zone
	// as far as this host knows them, and the slots of its zone. It is called only with
	// Config.CrossZone.
	ZoneLoads() []crosszone.Load
	// HandleFeed receives changes that another host read from the store; fetched is
	// set if they are the reply to a fetch.
	HandleFeed(f *gossip.Feed, fetched bool)
	// HandlePeerStore receives that a host of the zone has lost the store, or that
	// the store answers the zone's reader.
	HandlePeerStore(answers bool)
	// HandleReaderPosition receives up to which position the zone's reader has read the
	// store, at the time age ago.
	HandleReaderPosition(to store.Position, age time.Duration)
	// ChangesSince returns the changes of the store after a position, nil if this
	// host doesn't know all of them.
	ChangesSince(after store.Position) *gossip.Feed
	// TablePage returns the entries that this host knows of the store after a key, nil
	// if it has no view.
	TablePage(after store.Key) *gossip.TablePage
	// HandleTable receives a page of another host's table, in reply to FetchTable.
	HandleTable(p *gossip.TablePage, from string)
	// HandleReader is called when this host begins or ends to read the store for
	// its zone.
	HandleReader()
	// HandleLoads receives the summed loads of the zone's other hosts, once per
	// round of heartbeats.
	HandleLoads(l *steering.PeerLoads)
}

// Conn is a socket for datagrams, as *net.UDPConn implements it.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Config configures an Exchange.
type Config struct {
	// Listen is the UDP address to receive on and send from. It is not used if Conn
	// is set.
	Listen netip.AddrPort
	// Conn replaces the UDP socket; it may be nil.
	Conn Conn
	// Self is this host as advertised to the others.
	Self gossip.Host
	// Seeds are the addresses of hosts that are queried for the other hosts.
	Seeds []netip.AddrPort
	Local Local
	// Targets returns the targets of this host's zone, for their allotment to the
	// hosts. It is nil if the host uses no allotments.
	Targets func() []allotment.Target
	// CrossZone lets the host exchange summaries with other zones if its zone is a large
	// one.
	CrossZone bool
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
	conn Conn

	sent, sentBytes, received, rejected atomic.Uint64
	closed                              atomic.Bool

	// mu guards the rest.
	mu    sync.Mutex
	seeds []netip.AddrPort
	peers *peers.Peers
	// tableRequests counts the requests for a table that go to the next host.
	tableRequests int
	cross         crossZone
	reads         bool
	hosts         int
	// allotted is set while this host's share of the slots is in force.
	allotted bool
}

// New opens the UDP socket. Serve and Run do the work.
func New(cfg Config) (*Exchange, error) {
	conn := cfg.Conn
	if conn == nil {
		var err error
		if conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen)); err != nil {
			return nil, errors.Wrap(err, "control")
		}
	}
	return &Exchange{
		cfg: cfg, conn: conn, seeds: cfg.Seeds, peers: peers.New(cfg.Self), cross: newCrossZone(cfg.Self.Zone), reads: true, hosts: 1,
	}, nil
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
	lostStore := e.peers.Receive(now, m)
	var known []gossip.Host
	if m.Kind == gossip.KindHello {
		known = e.peers.KnownHosts(now, m.From.Zone)
	}
	forwarded, reader := e.receiveSummaries(now, m)
	e.mu.Unlock()
	if forwarded != nil {
		e.send(forwarded, reader.Addr)
	}
	if lostStore {
		e.cfg.Local.HandlePeerStore(false) // a feed shows that the store answers again
	}
	if len(m.Relay) > 0 && m.From.Zone == e.cfg.Self.Zone {
		relayed := *m
		relayed.Relay = nil
		e.send(&relayed, m.Relay...)
	}
	switch {
	case m.Kind == gossip.KindHello:
		e.send(&gossip.Message{Kind: gossip.KindHelloReply, From: e.cfg.Self, KnownHosts: known}, from)
	case m.Kind == gossip.KindDigest && m.From.Zone == e.cfg.Self.Zone:
		e.receiveReaderState(m)
	case m.Feed != nil && (m.Kind == gossip.KindFetchReply || (m.Kind == gossip.KindFeed && m.From.Zone == e.cfg.Self.Zone)):
		fetched := m.Kind == gossip.KindFetchReply
		if !fetched && m.StoreAnswers {
			e.cfg.Local.HandlePeerStore(true)
		}
		e.cfg.Local.HandleFeed(m.Feed, fetched)
	case m.Kind == gossip.KindFetch:
		e.replyToFetch(store.Position{Epoch: m.AfterEpoch, Index: m.After}, from)
	case m.Kind == gossip.KindTable:
		e.replyToTable(m.AfterKey, from)
	case m.Kind == gossip.KindTableReply:
		e.cfg.Local.HandleTable(m.Table, m.From.Name)
	}
}

// receiveReaderState processes what a digest of this zone says of its sender's access to
// the store.
func (e *Exchange) receiveReaderState(m *gossip.Message) {
	if !m.StoreAnswers {
		e.cfg.Local.HandlePeerStore(false)
	}
	if m.Digest != nil && m.Digest.Read != nil {
		e.cfg.Local.HandleReaderPosition(m.Digest.Read.Position(), m.Digest.Read.Age())
	}
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
