package balancer

import (
	"encoding/binary"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

const (
	// fingerprintBytes is the length of a flow fingerprint: the high bytes of
	// the flow hash.
	fingerprintBytes = 5
	// fingerprintWireBytes is the size of a fingerprint on the wire, in base64.
	fingerprintWireBytes = 7
	// messageWireBytes is the size on the wire of a message without its parts:
	// JSON, TLS record and TCP/IP headers. targetWireBytes is that of one part
	// without fingerprints.
	messageWireBytes = 180
	targetWireBytes  = 45
	// flushInterval is how long fingerprints are collected for one message.
	flushInterval = 5 * time.Second
	// urgentFlushDelay is the longest wait of flows that are about to become
	// ambiguous, see slotProgress.
	urgentFlushDelay = 900 * time.Millisecond
	// idleFlushInterval replaces flushInterval while the budget is idle.
	idleFlushInterval = time.Second
	// budgetBurstSeconds is the capacity of the token bucket in seconds of the
	// budget. The budget counts as idle while more than idleBudgetFraction of
	// that capacity is left.
	budgetBurstSeconds = 1
	idleBudgetFraction = 0.5
)

// replicator collects fingerprints to send to other hosts, limited by a token
// bucket. The balancer's mutex guards it.
type replicator struct {
	budget *rate.Limiter
	// idleTokens is the number of tokens above which the budget counts as idle.
	idleTokens float64
	pending    []pendingFlows
	// flushAt is the latest time to send the pending messages.
	flushAt time.Duration
}

// pendingFlows is a message that has not been sent yet.
type pendingFlows struct {
	to      uint32
	targets []peer.TargetFlows
}

func newReplicator(bytesPerSecond int) replicator {
	burst := budgetBurstSeconds * bytesPerSecond
	return replicator{
		budget:     rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		idleTokens: idleBudgetFraction * float64(burst),
	}
}

// limiterTime converts the caller's time to the type that the token bucket
// takes.
func limiterTime(now time.Duration) time.Time {
	return time.Unix(0, int64(now))
}

// messagePart returns the part for a target of the pending message to a host,
// and the wire bytes that creating it adds.
func (s *replicator) messagePart(to uint32, target uint64) (*peer.TargetFlows, int) {
	cost := 0
	i := slices.IndexFunc(s.pending, func(p pendingFlows) bool { return p.to == to })
	if i < 0 {
		i = len(s.pending)
		s.pending = append(s.pending, pendingFlows{to: to})
		cost += messageWireBytes
	}
	m := &s.pending[i]
	j := slices.IndexFunc(m.targets, func(t peer.TargetFlows) bool { return t.Target == target })
	if j < 0 {
		j = len(m.targets)
		m.targets = append(m.targets, peer.TargetFlows{Target: target})
		cost += targetWireBytes
	}
	return &m.targets[j], cost
}

// tryQueue queues a flow hash; it reports false when the budget is exhausted.
func (s *replicator) tryQueue(now time.Duration, to uint32, target, hash uint64, ended bool) bool {
	if !s.budget.AllowN(limiterTime(now), fingerprintWireBytes) {
		return false
	}
	s.queue(now, to, target, hash, ended)
	return true
}

// queueOverBudget queues a flow hash and charges it to the future budget if the
// budget is exhausted.
func (s *replicator) queueOverBudget(now time.Duration, to uint32, target, hash uint64) {
	s.budget.ReserveN(limiterTime(now), fingerprintWireBytes)
	s.queue(now, to, target, hash, false)
}

// queue adds a flow hash to the pending message to a host.
func (s *replicator) queue(now time.Duration, to uint32, target, hash uint64, ended bool) {
	if len(s.pending) == 0 {
		s.flushAt = now + flushInterval
	}
	m, cost := s.messagePart(to, target)
	if cost > 0 {
		s.budget.ReserveN(limiterTime(now), cost)
	}
	if ended {
		m.End = appendFingerprint(m.End, hash)
		return
	}
	m.Add = appendFingerprint(m.Add, hash)
}

// flushSoon makes the queued messages due within urgentFlushDelay.
func (s *replicator) flushSoon(now time.Duration) {
	s.flushAt = min(s.flushAt, now+urgentFlushDelay)
}

// appendFingerprint appends the fingerprint of a flow hash.
func appendFingerprint(dst []byte, hash uint64) []byte {
	var full [8]byte
	binary.BigEndian.PutUint64(full[:], hash)
	return append(dst, full[:fingerprintBytes]...)
}

// replicate queues a flow of an owned target for the owner's successors; it
// reports false when the budget is exhausted.
func (b *Balancer) replicate(now time.Duration, tv *targetView, hash uint64, ended bool) bool {
	for _, host := range tv.owners[1:] {
		if host != 0 && !b.replicator.tryQueue(now, host, tv.id, hash, ended) {
			return false
		}
	}
	return true
}

// replicateOverBudget does the same as replicate, but charges the future budget
// if the budget is exhausted.
func (b *Balancer) replicateOverBudget(now time.Duration, tv *targetView, hash uint64) {
	for _, host := range tv.owners[1:] {
		if host != 0 {
			b.replicator.queueOverBudget(now, host, tv.id, hash)
		}
	}
}

// flushFlows moves the queued messages to the outputs when they are due.
func (b *Balancer) flushFlows(now time.Duration) {
	idle := b.replicator.budget.TokensAt(limiterTime(now)) > b.replicator.idleTokens
	early := idle && now >= b.replicator.flushAt-flushInterval+idleFlushInterval
	if now < b.replicator.flushAt && !early {
		return
	}
	for _, p := range b.replicator.pending {
		m := b.members.find(p.to)
		if m == nil {
			continue
		}
		b.outputs.Flows = append(b.outputs.Flows, FlowsTo{
			To:    m.host,
			Flows: peer.Flows{From: b.id, Targets: p.targets},
		})
		b.countFlows(p.targets)
	}
	b.replicator.pending = b.replicator.pending[:0]
}

// countFlows adds a sent message to the counters.
func (b *Balancer) countFlows(targets []peer.TargetFlows) {
	n := 0
	for _, t := range targets {
		n += (len(t.Add) + len(t.End)) / fingerprintBytes
	}
	b.counters.flowsTold.Add(uint64(n))
	b.counters.flowBytes.Add(uint64(messageWireBytes + len(targets)*targetWireBytes + n*fingerprintWireBytes))
}

// replicateFlow replicates the flow to the successors or, while this host
// leaves, to the new owner, if they could not derive the flow's target.
func (b *Balancer) replicateFlow(now time.Duration, v *view, tv *targetView, k *flow.Key, e *flow.Entry) {
	if b.cfg.Replication == ReplicateNone || e.State != flow.Established || e.Flags&flow.Moved != 0 {
		return
	}
	if e.Flags&flow.Replicated != 0 {
		return
	}
	leaving := b.stopping()
	if !tv.owned && !leaving {
		return
	}
	hash := b.hashOf(k)
	if !b.mayReplicate(now, b.urgencyOf(v, k, hash, tv), leaving) {
		return
	}
	replicated := false
	if leaving {
		replicated = tv.owner() != 0 && b.replicator.tryQueue(now, tv.owner(), tv.id, hash, false)
	} else {
		replicated = b.replicate(now, tv, hash, false)
	}
	if replicated {
		e.Flags |= flow.Replicated
	}
}

// urgency is when a flow is replicated.
type urgency uint8

const (
	// replicateNever is for flows at the first target of their order.
	replicateNever urgency = iota
	// replicateWhenIdle is for flows whose target follows only targets that are
	// closed to the slot: they are replicated while the budget is idle.
	replicateWhenIdle
	// replicateNow is for flows whose target a successor would infer wrongly.
	replicateNow
)

// urgencyOf returns when a flow at the target is replicated.
func (b *Balancer) urgencyOf(v *view, k *flow.Key, hash uint64, tv *targetView) urgency {
	ep := v.endpoints[b.endpoints[k.Endpoint]]
	if ep == nil {
		return replicateNow
	}
	slot := slotOf(hash)
	u := replicateNever
	for _, pos := range ep.service.orders[slot] {
		if pos == noTarget {
			return replicateNow
		}
		t := ep.service.targets[pos]
		if t == tv {
			return u
		}
		if !t.state.slotAdvertisedClosed(slot) {
			return replicateNow
		}
		u = replicateWhenIdle
	}
	return replicateNow
}

// mayReplicate reports whether the budget allows replicating a flow now.
func (b *Balancer) mayReplicate(now time.Duration, u urgency, leaving bool) bool {
	if u == replicateNever {
		return b.cfg.Replication == ReplicateAll
	}
	idle := b.replicator.budget.TokensAt(limiterTime(now)) > b.replicator.idleTokens
	return u == replicateNow || leaving || idle
}

// hashOf returns the flow hash of a key.
func (b *Balancer) hashOf(k *flow.Key) uint64 {
	f := b.flowOf(k)
	return f.Hash()
}

// hasUnreplicated reports whether some flow of this host is not replicated and
// its target could not be derived by another host.
func (b *Balancer) hasUnreplicated() bool {
	v := b.view.Load()
	if v == nil || b.cfg.Replication == ReplicateNone {
		return false
	}
	if len(b.replicator.pending) > 0 || b.backfill.pending() {
		return true
	}
	found := false
	for i := 0; i < flowShards && !found; i++ {
		s := b.flows.ShardAt(i)
		s.Lock()
		s.Range(func(k *flow.Key, e *flow.Entry) bool {
			tv := v.targets[e.Target]
			held := e.State == flow.Established && e.Flags&(flow.Moved|flow.Replicated) == 0
			found = held && !tv.zoneOut && tv.owner() != 0 && b.urgencyOf(v, k, b.hashOf(k), tv) != replicateNever
			return !found
		})
		s.Unlock()
	}
	return found
}
