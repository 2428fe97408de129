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
	// hashBytes is the length of a flow's fingerprint in a message: the high
	// bytes of its hash.
	hashBytes = 5
	// hashCost is a fingerprint's bytes on the wire, in base64.
	hashCost = 7
	// messageCost is the bytes on the wire of a message without its parts:
	// JSON, TLS record and TCP/IP headers; targetCost those of a part without
	// its fingerprints.
	messageCost = 180
	targetCost  = 45
	// flushInterval is how long fingerprints are collected for one message.
	flushInterval = 5 * time.Second
	// flushSoonest is the same for flows that are about to become ambiguous.
	flushSoonest = 900 * time.Millisecond
	// flushEarly is the same while the budget is not needed otherwise.
	flushEarly = time.Second
	// flowBurst is how many seconds of the budget may be spent at once, and
	// idlePart the part of that from which the budget counts as not needed.
	flowBurst = 1
	idlePart  = 0.5
	// shareAge is how old a flow must be before a successor is told of it.
	shareAge = 5 * time.Second
)

// sharer collects the fingerprints to send, under a token bucket. It is guarded
// by the balancer's mutex.
type sharer struct {
	budget *rate.Limiter
	// idle is the tokens from which the budget counts as not needed.
	idle    float64
	pending []pendingFlows
	// flushAt is when the pending messages go out at the latest.
	flushAt time.Duration
}

// pendingFlows is a message in the making.
type pendingFlows struct {
	to      uint32
	targets []peer.TargetFlows
}

func newSharer(bytesPerSecond int) sharer {
	burst := flowBurst * bytesPerSecond
	return sharer{
		budget: rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		idle:   idlePart * float64(burst),
	}
}

// at converts virtual time to the type that the token bucket takes.
func at(now time.Duration) time.Time {
	return time.Unix(0, int64(now))
}

// part returns the part about a target of the message to a host, and what
// starting it costs.
func (s *sharer) part(to uint32, target uint64) (*peer.TargetFlows, int) {
	cost := 0
	i := slices.IndexFunc(s.pending, func(p pendingFlows) bool { return p.to == to })
	if i < 0 {
		i = len(s.pending)
		s.pending = append(s.pending, pendingFlows{to: to})
		cost += messageCost
	}
	m := &s.pending[i]
	j := slices.IndexFunc(m.targets, func(t peer.TargetFlows) bool { return t.Target == target })
	if j < 0 {
		j = len(m.targets)
		m.targets = append(m.targets, peer.TargetFlows{Target: target})
		cost += targetCost
	}
	return &m.targets[j], cost
}

// tell queues a flow hash; it reports false when the budget is spent.
func (s *sharer) tell(now time.Duration, to uint32, target, hash uint64, ended bool) bool {
	if !s.budget.AllowN(at(now), hashCost) {
		return false
	}
	s.queue(now, to, target, hash, ended)
	return true
}

// tellAhead queues a flow hash on the budget of the time to come.
func (s *sharer) tellAhead(now time.Duration, to uint32, target, hash uint64) {
	s.budget.ReserveN(at(now), hashCost)
	s.queue(now, to, target, hash, false)
}

// queue adds a flow hash to the message to a host.
func (s *sharer) queue(now time.Duration, to uint32, target, hash uint64, ended bool) {
	if len(s.pending) == 0 {
		s.flushAt = now + flushInterval
	}
	m, cost := s.part(to, target)
	if cost > 0 {
		s.budget.ReserveN(at(now), cost)
	}
	if ended {
		m.End = appendFingerprint(m.End, hash)
		return
	}
	m.Add = appendFingerprint(m.Add, hash)
}

// flushSoon has the queued messages go out within flushSoonest.
func (s *sharer) flushSoon(now time.Duration) {
	s.flushAt = min(s.flushAt, now+flushSoonest)
}

// appendFingerprint appends the part of a flow hash that messages carry.
func appendFingerprint(dst []byte, hash uint64) []byte {
	var full [8]byte
	binary.BigEndian.PutUint64(full[:], hash)
	return append(dst, full[:hashBytes]...)
}

// tellSuccessors queues a flow of an owned target for the hosts after its
// owner; it reports false when the budget is spent.
func (b *Balancer) tellSuccessors(now time.Duration, tv *targetView, hash uint64, ended bool) bool {
	for _, host := range tv.owners[1:] {
		if host != 0 && !b.share.tell(now, host, tv.id, hash, ended) {
			return false
		}
	}
	return true
}

// tellSuccessorsAhead is tellSuccessors on the budget of the time to come.
func (b *Balancer) tellSuccessorsAhead(now time.Duration, tv *targetView, hash uint64) {
	for _, host := range tv.owners[1:] {
		if host != 0 {
			b.share.tellAhead(now, host, tv.id, hash)
		}
	}
}

// flushFlows moves the queued messages to the outputs when their time has come.
func (b *Balancer) flushFlows(now time.Duration) {
	idle := b.share.budget.TokensAt(at(now)) > b.share.idle
	early := idle && now >= b.share.flushAt-flushInterval+flushEarly
	if now < b.share.flushAt && !early {
		return
	}
	for _, p := range b.share.pending {
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
	b.share.pending = b.share.pending[:0]
}

// countFlows counts a message that is sent.
func (b *Balancer) countFlows(targets []peer.TargetFlows) {
	n := 0
	for _, t := range targets {
		n += (len(t.Add) + len(t.End)) / hashBytes
	}
	b.counters.flowsTold.Add(uint64(n))
	b.counters.flowBytes.Add(uint64(messageCost + len(targets)*targetCost + n*hashCost))
}

// shareFlow tells the successor of the flow's owner about the flow if it could
// not work out the flow's target itself.
func (b *Balancer) shareFlow(now time.Duration, v *view, tv *targetView, k *flow.Key, e *flow.Entry) {
	if b.cfg.Sharing == ShareNone || e.State != flow.Established || e.Flags&flow.Moved != 0 {
		return
	}
	if e.Flags&flow.Replicated != 0 {
		return
	}
	leaving := b.stopping()
	if !tv.mine && !leaving {
		return
	}
	hash := b.hashOf(k)
	if !b.mayTell(now, b.urgencyOf(v, k, hash, tv), leaving) {
		return
	}
	told := false
	if leaving {
		told = tv.owner() != 0 && b.share.tell(now, tv.owner(), tv.id, hash, false)
	} else {
		told = b.tellSuccessors(now, tv, hash, false)
	}
	if told {
		e.Flags |= flow.Replicated
	}
}

// urgency says how soon a flow is told of.
type urgency uint8

const (
	// neverTell is for flows at the first target of their order.
	neverTell urgency = iota
	// tellIdle is for flows that only targets closed to their slot come before:
	// they are told of while the budget is not needed otherwise.
	tellIdle
	// tellNow is for flows that a successor would look for elsewhere.
	tellNow
)

// urgencyOf returns how soon a flow at the target is told of.
func (b *Balancer) urgencyOf(v *view, k *flow.Key, hash uint64, tv *targetView) urgency {
	ep := v.endpoints[b.endpoints[k.Endpoint]]
	if ep == nil {
		return tellNow
	}
	slot := slotOf(hash)
	u := neverTell
	for _, pos := range ep.service.orders[slot] {
		if pos == noTarget {
			return tellNow
		}
		t := ep.service.targets[pos]
		if t == tv {
			return u
		}
		if !t.state.closedTo(slot) {
			return tellNow
		}
		u = tellIdle
	}
	return tellNow
}

// mayTell reports whether the budget allows to tell of a flow now.
func (b *Balancer) mayTell(now time.Duration, u urgency, leaving bool) bool {
	if u == neverTell {
		return b.cfg.Sharing == ShareAll
	}
	idle := b.share.budget.TokensAt(at(now)) > b.share.idle
	return u == tellNow || leaving || idle
}

// hashOf returns the flow hash of a key.
func (b *Balancer) hashOf(k *flow.Key) uint64 {
	f := b.flowOf(k)
	return f.Hash()
}

// hasUntold reports whether some flow held here is known to no other host and
// could not be worked out.
func (b *Balancer) hasUntold() bool {
	v := b.view.Load()
	if v == nil || b.cfg.Sharing == ShareNone {
		return false
	}
	if len(b.share.pending) > 0 || b.retells.waiting() {
		return true
	}
	untold := false
	for i := 0; i < flowShards && !untold; i++ {
		s := b.flows.ShardAt(i)
		s.Lock()
		s.Range(func(k *flow.Key, e *flow.Entry) bool {
			tv := v.targets[e.Target]
			held := e.State == flow.Established && e.Flags&(flow.Moved|flow.Replicated) == 0
			untold = held && !tv.out && tv.owner() != 0 && b.urgencyOf(v, k, b.hashOf(k), tv) != neverTell
			return !untold
		})
		s.Unlock()
	}
	return untold
}
