package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

// Sharing says which flows the successor of a target's owner is told of.
type Sharing uint8

const (
	// ShareExceptions tells of flows that are not at the first target of their
	// order, which a successor could not work out.
	ShareExceptions Sharing = iota
	// ShareNone tells of none.
	ShareNone
	// ShareAll tells of every flow.
	ShareAll
)

const (
	// flowShards is the number of shards of the flow table.
	flowShards = flow.ShardCount
	// pauseLimit is the time without a tick after which this process must
	// have been paused: until it has ticked again it forwards nothing.
	pauseLimit = time.Second
	// settleTime is how long a view must stand before a flow that nobody
	// knows is concluded to be lost.
	settleTime = 4 * time.Second
	// openingMemory is how long after taking a target over its owner asks the
	// others before it places an opening, since the opening may be a
	// retransmission.
	openingMemory = 15 * time.Second
	// joinWait is how long a host waits for its peers before it serves.
	joinWait = 3 * time.Second
	// tickLength is the unit of the times in the flow table.
	tickLength = 10 * time.Millisecond
	// DefaultFlowBudget is the bytes a second for messages about flows.
	DefaultFlowBudget = 1200
)

// Config is what a Balancer is told about itself.
type Config struct {
	Host peer.Host
	// Seed makes choices that need chance repeatable.
	Seed uint64
	// Sharing is ShareExceptions except in comparisons.
	Sharing Sharing
	// FlowBudget is the bytes a second for messages about flows;
	// DefaultFlowBudget when zero.
	FlowBudget int
}

// serviceDoc is a service document with its orders.
type serviceDoc struct {
	doc    document.Service
	orders []order
	past   *pastFirsts
	// changed is when the orders were made.
	changed time.Duration
}

// Balancer makes one host's decisions. The packet path reads the view and the
// sharded flow table; everything else is under mu.
//
// Lock order: mu, then a shard of flows, then an admission target, replicas or
// urgent, of which no two are held at once.
type Balancer struct {
	cfg  Config
	id   uint32
	view atomic.Pointer[view]
	// lastTick is when Tick ran last, in nanoseconds.
	lastTick atomic.Int64
	flows    *flow.Table
	replicas *replicas
	counters counters
	urgent   urgentFlows

	// docsMu orders the calls of SetDocuments; it comes before mu.
	docsMu sync.Mutex

	mu            sync.Mutex
	members       members
	phase         peer.Phase
	started       time.Duration
	readiness     readiness
	leaveAt       time.Duration
	leftAt        time.Duration
	docs          []serviceDoc
	docsDigest    uint64
	zonesOut      map[string]bool
	targets       []*targetState
	targetsByID   map[uint64]*targetState
	serviceCounts map[string]*serviceCounters
	endpoints     []packet.Endpoint
	endpointIndex map[packet.Endpoint]uint32
	beatSeq       uint64
	beatNow       bool
	dirty         bool
	share         sharer
	sweepAt       int
	sweepAll      int
	retells       retells
	// loads are this host's own, heardLoads those of the others.
	loads     []peer.ServiceLoad
	nextLoads time.Duration
	// growth is the part by which this host's flows grow a second.
	growth     float64
	heardLoads serviceLoads
	outputs    Outputs
}

// New returns a Balancer that has no documents and knows no other host.
func New(cfg Config) *Balancer {
	if cfg.FlowBudget == 0 {
		cfg.FlowBudget = DefaultFlowBudget
	}
	id := HostID(cfg.Host.Name)
	return &Balancer{
		cfg:           cfg,
		id:            id,
		flows:         flow.NewTable(),
		replicas:      newReplicas(),
		members:       members{self: id, zone: cfg.Host.Zone},
		phase:         peer.PhaseJoining,
		started:       -1,
		zonesOut:      make(map[string]bool),
		targetsByID:   make(map[uint64]*targetState),
		serviceCounts: make(map[string]*serviceCounters),
		heardLoads:    make(serviceLoads),
		endpointIndex: make(map[packet.Endpoint]uint32),
		share:         newSharer(cfg.FlowBudget),
	}
}

// Ready reports whether the host has documents in force, owns targets or is in
// a planned stop, and decides like every peer that it hears: while hosts differ
// over who serves, openings may be refused. Times are those of Tick.
func (b *Balancer) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.view.Load()
	return v != nil && len(v.services) > 0 && b.checkReady(v)
}

// SetDocuments puts documents in force. digest is the same on every host that
// has the same documents in force.
func (b *Balancer) SetDocuments(now time.Duration, services []document.Service, zones document.Zones, digest uint64) {
	b.docsMu.Lock()
	defer b.docsMu.Unlock()
	out := make(map[string]bool)
	for _, z := range zones.Zones {
		if z.State == document.ZoneOut {
			out[z.Name] = true
		}
	}
	made := b.makeOrders(services, out, sameZones(out, b.zonesOut))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.docs = b.orderDocuments(now, services, made)
	b.zonesOut = out
	b.docsDigest = digest
	b.beatNow = true
	b.sweepAll = flowShards
	b.rebuild(now)
}

// makeOrders ranks the targets of changed documents; the orders of unchanged
// ones are nil. It takes long with many services, so it needs docsMu and not mu.
func (b *Balancer) makeOrders(services []document.Service, out map[string]bool, reuse bool) [][]order {
	old := b.docsByName()
	made := make([][]order, len(services))
	for i := range services {
		s := &services[i]
		o := old[s.Name]
		if reuse && o != nil && o.doc.Generation == s.Generation && o.doc.Change == s.Change {
			continue
		}
		made[i] = buildOrders(s, out)
	}
	return made
}

func (b *Balancer) docsByName() map[string]*serviceDoc {
	docs := make(map[string]*serviceDoc, len(b.docs))
	for i := range b.docs {
		docs[b.docs[i].doc.Name] = &b.docs[i]
	}
	return docs
}

// orderDocuments joins documents with their orders and keeps the orders of
// unchanged ones.
func (b *Balancer) orderDocuments(now time.Duration, services []document.Service, made [][]order) []serviceDoc {
	old := b.docsByName()
	docs := make([]serviceDoc, len(services))
	for i := range services {
		s := &services[i]
		docs[i] = serviceDoc{doc: *s, orders: made[i], changed: now}
		o := old[s.Name]
		switch {
		case made[i] == nil:
			docs[i].orders, docs[i].past, docs[i].changed = o.orders, o.past, o.changed
		case o != nil:
			docs[i].past = b.rememberFirsts(o, &docs[i])
			b.gateSlots(o, &docs[i])
		}
	}
	return docs
}

// sameZones reports whether the same zones are out.
func sameZones(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for z := range a {
		if !b[z] {
			return false
		}
	}
	return true
}

// ticks converts a time to the unit of the flow table.
func ticks(now time.Duration) uint32 {
	return uint32(now / tickLength)
}

// sinceTicks returns the time from t, in the unit of the flow table, to now.
func sinceTicks(now time.Duration, t uint32) time.Duration {
	return time.Duration(int32(ticks(now)-t)) * tickLength
}
