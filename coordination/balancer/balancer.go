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

// ReplicationMode selects the flows that an owner replicates to its successors.
type ReplicationMode uint8

const (
	// ReplicateExceptions replicates flows that are not at the first target of
	// their order, since a successor can't derive their target.
	ReplicateExceptions ReplicationMode = iota
	// ReplicateNone replicates no flows.
	ReplicateNone
	// ReplicateAll replicates every flow.
	ReplicateAll
)

const (
	// flowShards is the number of shards of the flow table.
	flowShards = flow.ShardCount
	// maxTickGap is the time without a tick after which the process counts as
	// paused: it forwards nothing until it has ticked again.
	maxTickGap = time.Second
	// viewSettleTime is how long a view must be unchanged before a flow that no
	// host has counts as lost.
	viewSettleTime = 4 * time.Second
	// retransmissionWindow is how long after a target was taken over, or the
	// orders of its service changed, its owner queries the other hosts before it
	// places an opening, which may be a retransmission.
	retransmissionWindow = 15 * time.Second
	// minJoinTime is how long a host waits for heartbeats of its peers before
	// it serves.
	minJoinTime = 3 * time.Second
	// tickLength is the unit of the times in the flow table.
	tickLength = 10 * time.Millisecond
	// DefaultFlowBudget is the default limit for replication messages, in bytes
	// per second.
	DefaultFlowBudget = 1200
)

// Config holds the settings of a Balancer.
type Config struct {
	Host peer.Host
	// Seed seeds all random choices.
	Seed uint64
	// Replication is ReplicateExceptions except in comparisons.
	Replication ReplicationMode
	// FlowBudget limits replication messages, in bytes per second; 0 means
	// DefaultFlowBudget.
	FlowBudget int
}

// serviceDoc is a service document with the target orders built from it.
type serviceDoc struct {
	doc          document.Service
	orders       []order
	formerFirsts *formerFirsts
	// changed is when the orders were built.
	changed time.Duration
}

// Balancer makes the decisions of one host. The packet path reads the view and
// the sharded flow table; mu guards everything else.
//
// Lock order: mu, then a shard of flows, then one of: an admission target,
// replicas, urgent. No two of the last three are held together.
type Balancer struct {
	cfg  Config
	id   uint32
	view atomic.Pointer[view]
	// lastTick is the time of the last Tick, in nanoseconds.
	lastTick atomic.Int64
	flows    *flow.Table
	replicas *replicas
	counters counters
	urgent   urgentFlows

	// docsMu serializes SetDocuments; it is locked before mu.
	docsMu sync.Mutex

	mu              sync.Mutex
	members         members
	phase           peer.Phase
	started         time.Duration
	readiness       readiness
	leaveStarted    time.Duration
	leftAt          time.Duration
	docs            []serviceDoc
	docsDigest      uint64
	zonesOut        map[string]bool
	targets         []*targetState
	targetsByID     map[uint64]*targetState
	serviceCounts   map[string]*serviceCounters
	endpoints       []packet.Endpoint
	endpointIndex   map[packet.Endpoint]uint32
	heartbeatSeq    uint64
	heartbeatNow    bool
	dirty           bool
	replicator      replicator
	nextSweepShard  int
	fastSweepShards int
	backfill        backfill
	// loads are this host's own, peerLoads those reported by other hosts.
	loads     []peer.ServiceLoad
	nextLoads time.Duration
	// growth is the smoothed relative growth, per second, of the number of this
	// host's flows.
	growth    float64
	peerLoads serviceLoads
	outputs   Outputs
}

// New returns a Balancer without documents or peers.
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
		peerLoads:     make(serviceLoads),
		endpointIndex: make(map[packet.Endpoint]uint32),
		replicator:    newReplicator(cfg.FlowBudget),
	}
}

// Ready reports whether the host has documents in force, is active or leaving,
// and has once had the same view as every reachable peer or has waited
// agreementTimeout for that: while views differ, openings may be refused. A
// leaving host does not wait. Ready uses the time of the last Tick.
func (b *Balancer) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.view.Load()
	return v != nil && len(v.services) > 0 && b.checkReady(v)
}

// SetDocuments puts documents in force. digest must be equal on all hosts that
// have the same documents in force.
func (b *Balancer) SetDocuments(now time.Duration, services []document.Service, zones document.Zones, digest uint64) {
	b.docsMu.Lock()
	defer b.docsMu.Unlock()
	out := make(map[string]bool)
	for _, z := range zones.Zones {
		if z.State == document.ZoneOut {
			out[z.Name] = true
		}
	}
	made := b.buildChangedOrders(services, out, equalZones(out, b.zonesOut))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.docs = b.attachOrders(now, services, made)
	b.zonesOut = out
	b.docsDigest = digest
	b.heartbeatNow = true
	b.fastSweepShards = flowShards
	b.rebuild(now)
}

// buildChangedOrders builds the orders of changed documents; those of unchanged
// ones are nil. It is slow with many services, so it requires docsMu and not
// mu.
func (b *Balancer) buildChangedOrders(services []document.Service, out map[string]bool, reuse bool) [][]order {
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

// attachOrders pairs documents with their orders and keeps the orders of
// unchanged ones.
func (b *Balancer) attachOrders(now time.Duration, services []document.Service, made [][]order) []serviceDoc {
	old := b.docsByName()
	docs := make([]serviceDoc, len(services))
	for i := range services {
		s := &services[i]
		docs[i] = serviceDoc{doc: *s, orders: made[i], changed: now}
		o := old[s.Name]
		switch {
		case made[i] == nil:
			docs[i].orders, docs[i].formerFirsts, docs[i].changed = o.orders, o.formerFirsts, o.changed
		case o != nil:
			docs[i].formerFirsts = b.updateFormerFirsts(o, &docs[i])
			b.gateSlots(o, &docs[i])
		}
	}
	return docs
}

// equalZones reports whether the same zones are out.
func equalZones(a, b map[string]bool) bool {
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

// sinceTicks returns the time from t, in units of the flow table, to now.
func sinceTicks(now time.Duration, t uint32) time.Duration {
	return time.Duration(int32(ticks(now)-t)) * tickLength
}
