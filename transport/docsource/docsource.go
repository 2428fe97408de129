// Package docsource keeps a host's documents up to date: it watches the
// platform's store if this host is a watcher, fetches missing documents from
// peers, and passes the documents in force to the host's load balancing. It
// also follows the platform's list of hosts in the store.
package docsource

import (
	"context"
	"sync"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/documents"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/hostlist"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/rs/zerolog"
)

// sourceStore is the document source logged for documents from the store.
const sourceStore = "store"

// Peers queries other hosts by control address (ip:port).
type Peers interface {
	Inventory(ctx context.Context, control string) (peer.Inventory, error)
	Fetch(ctx context.Context, control, key string) (peer.Document, error)
}

// State is the set of documents in force on this host.
type State struct {
	// Services are the services in force; targets on leaving hosts are marked
	// as draining.
	Services []document.Service
	Zones    document.Zones
	// Digest identifies the documents for heartbeats.
	Digest uint64
	// Ready reports whether the zones document and at least one service are in
	// force. The documents must not be used before that.
	Ready bool
	// Hosts are the live entry hosts (those that run this load balancer) in the
	// platform's list, as hints for the membership.
	Hosts []peer.Host
}

// Config configures a Source.
type Config struct {
	// Host is the name of this host.
	Host string
	// Store is the platform's store; nil disables following it.
	Store store.Store
	Peers Peers
	// IsWatcher reports whether this host watches the store for documents.
	// Every host follows the list of hosts.
	IsWatcher func() bool
	// Apply receives each new state, in order. It is called with the Source
	// locked and must not call it.
	Apply func(State)
	// Seed seeds the jitter of delays and the choice of peers.
	Seed    uint64
	Metrics *Metrics
	Log     zerolog.Logger
}

// Source holds the documents of one host. Its methods are safe for concurrent
// use.
type Source struct {
	cfg   Config
	start time.Time
	// differing holds the most recent list of peers whose documents differ.
	differing chan []peer.Host

	mu    sync.Mutex
	set   *documents.Set
	hosts hostlist.List
	// leaving holds the hosts that were leaving when the store returned from an older
	// copy. They stay so until heldUntil, whatever the store lists.
	leaving   []hostlist.Host
	heldUntil time.Duration
}

// New returns a source without documents; Run obtains them.
func New(cfg Config) *Source {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	return &Source{
		cfg:       cfg,
		start:     time.Now(),
		differing: make(chan []peer.Host, 1),
		set:       documents.NewSet(),
	}
}

// Run follows the store and fetches from peers until the context is done.
func (s *Source) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if s.cfg.Store != nil {
		wg.Go(func() { s.followDocuments(ctx) })
		wg.Go(func() { s.followHosts(ctx) })
	}
	wg.Go(func() { s.fetchFromPeers(ctx) })
	wg.Wait()
}

// now returns the time since the source was created.
func (s *Source) now() time.Duration { return time.Since(s.start) }

// FetchFrom sets the list of peers whose documents differ from this host's; Run
// fetches from them. It doesn't block; each call replaces the previous list, and
// an empty list is ignored.
func (s *Source) FetchFrom(hosts []peer.Host) {
	if len(hosts) == 0 {
		return
	}
	latest := append([]peer.Host(nil), hosts...)
	for {
		select {
		case s.differing <- latest:
			return
		default:
		}
		select {
		case <-s.differing:
		default:
		}
	}
}

// Inventory returns the keys and generations in force, to answer a peer.
func (s *Source) Inventory() peer.Inventory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Inventory()
}

// Document returns the text of a document in force; false if the key is not in
// force.
func (s *Source) Document(key string) (peer.Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Fetch(peer.Fetch{Key: key})
}

// InForce returns the documents in force, for the admin server.
func (s *Source) InForce() document.InForceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return document.InForceList{Host: s.cfg.Host, Documents: s.set.InForce()}
}

// Ready reports whether the zones document and at least one service are in
// force.
func (s *Source) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Ready()
}

// Digest returns the digest of the keys and generations in force.
func (s *Source) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Digest()
}

// offer adds document texts, applies the new state if the documents in force
// changed, and reports whether they did.
func (s *Source) offer(texts []documents.Text) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.set.Stats()
	events, changed := s.set.Offer(texts)
	s.cfg.Metrics.countOffered(before, s.set.Stats())
	for _, e := range events {
		s.log(e)
	}
	if changed {
		s.cfg.Metrics.inForce.Set(float64(len(s.set.InForce())))
		s.apply()
	}
	return changed
}

// setHosts replaces the platform's list of hosts.
func (s *Source) setHosts(list hostlist.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.heldUntil {
		list = documents.KeepLeaving(list, s.leaving)
	}
	s.hosts = list
	s.apply()
}

// holdLeaving keeps the hosts that are leaving as such until the grace after the
// store's restore from an older copy is over. The list of hosts is read again then.
func (s *Source) holdLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = documents.LeavingHosts(s.hosts)
	s.heldUntil = s.now() + documents.RestoreGrace
}

// apply passes the state to Config.Apply. The caller holds mu, which keeps
// states in order.
func (s *Source) apply() {
	s.cfg.Apply(State{
		Services: documents.WithLeaving(s.set.Services(), s.hosts),
		Zones:    s.set.Zones(),
		Digest:   s.set.Digest(),
		Ready:    s.set.Ready(),
		Hosts:    documents.EntryHosts(s.hosts),
	})
}

func (s *Source) log(e documents.Event) {
	line := s.cfg.Log.Info()
	if e.Outcome != documents.Accepted {
		line = s.cfg.Log.Warn()
	}
	line.Str("event", "document_"+e.Outcome.String()).
		Str("key", string(e.Key)).
		Uint64("generation", e.Generation).
		Str("change", e.Change).
		Str("source", e.Source)
	if e.Reason != "" {
		line.Str("reason", e.Reason)
	}
	line.Send()
}
