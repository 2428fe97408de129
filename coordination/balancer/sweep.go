package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

const (
	// sweepShards is the number of shards that an ordinary tick visits, and
	// sweepShardsFast that after a change of documents.
	sweepShards     = 8
	sweepShardsFast = 64
	// openingTimeout ends TCP openings that the caller never acknowledged.
	openingTimeout = 15 * time.Second
	// datagramOpening is how long a datagram flow counts as an opening.
	datagramOpening = time.Second
	// closingTimeout is how long the addresses and ports of a closed flow stay
	// with its target: twice the maximum segment lifetime of common kernels.
	closingTimeout = time.Minute
	// closingQuietTime is how long a closed flow must be without packets before
	// it no longer counts as a connection of its target.
	closingQuietTime = time.Second
	// resetTimeout is closingTimeout for a flow that was reset.
	resetTimeout = 5 * time.Second
	// idleTimeout and datagramIdleTimeout end flows without packets.
	idleTimeout         = time.Hour
	datagramIdleTimeout = time.Minute
	// A flow with silentRetries retransmissions and no progress for
	// silentTimeout is given up if its target makes progress with other flows.
	silentRetries = 5
	silentTimeout = 10 * time.Second
	// targetProgressWindow is the time within which a target must have made
	// progress with some flow to count as progressing.
	targetProgressWindow = 5 * time.Second
)

// sweepAction is what a sweep does with a flow.
type sweepAction uint8

const (
	sweepKeep sweepAction = iota
	sweepExpire
	sweepCancel
	sweepZoneOut
	sweepSilent
)

// sweep visits the next shards of the flow table: it ends flows that are over
// and replicates those whose target a successor could not derive.
func (b *Balancer) sweep(now time.Duration, v *view) {
	n := sweepShards
	if b.fastSweepShards > 0 {
		n = sweepShardsFast
		b.fastSweepShards -= n
	}
	for range n {
		b.sweepShard(now, v, b.flows.ShardAt(b.nextSweepShard))
		b.nextSweepShard = (b.nextSweepShard + 1) % flowShards
	}
	for _, t := range v.targets {
		if left := t.state.staleShards.Load(); left > 0 {
			t.state.staleShards.Store(left - int32(n))
		}
	}
}

// sweepShard visits one shard.
func (b *Balancer) sweepShard(now time.Duration, v *view, s *flow.Shard) {
	s.Lock()
	defer s.Unlock()
	s.Range(func(k *flow.Key, e *flow.Entry) bool {
		tv := v.targets[e.Target]
		if tv.state.staleShards.Load() > 0 {
			e.Flags &^= flow.Replicated
		}
		switch b.sweepActionOf(now, tv, k, e) {
		case sweepKeep:
			b.maintainFlow(now, v, tv, k, e)
		case sweepExpire:
			if e.Flags&flow.Moved == 0 && e.State != flow.GivenUp {
				tv.service.counts.ended.Add(1)
			}
			b.endFlow(now, tv, k, e)
			s.Delete(k)
		case sweepCancel:
			b.cancelOpening(tv, k, e)
			b.endFlow(now, tv, k, e)
			s.Delete(k)
		case sweepZoneOut:
			b.sweepGiveUp(tv, k, e, verdict.CauseZoneOut)
			b.endFlow(now, tv, k, e)
			if b.mustRememberGivenUp(tv, k, e) {
				e.State = flow.GivenUp
				e.LastSeen = ticks(now)
				return true
			}
			s.Delete(k)
		case sweepSilent:
			b.sweepGiveUp(tv, k, e, verdict.CauseSilent)
			b.endFlow(now, tv, k, e)
			s.Delete(k)
		}
		return true
	})
}

// maintainFlow updates a flow that is kept: it ends the opening of a datagram
// flow, releases a quiet closed flow and replicates the flow if needed.
func (b *Balancer) maintainFlow(now time.Duration, v *view, tv *targetView, k *flow.Key, e *flow.Entry) {
	if e.State == flow.Opening && b.isDatagram(k) && sinceTicks(now, e.Since) > datagramOpening {
		b.establish(now, tv, e)
	}
	if e.State == flow.Closing && sinceTicks(now, e.LastSeen) > closingQuietTime {
		b.release(tv, now, e)
	}
	b.replicateFlow(now, v, tv, k, e)
}

// sweepActionOf returns what a sweep does with the flow.
func (b *Balancer) sweepActionOf(now time.Duration, tv *targetView, k *flow.Key, e *flow.Entry) sweepAction {
	idle := sinceTicks(now, e.LastSeen)
	age := sinceTicks(now, e.Since)
	if e.Flags&flow.Moved != 0 {
		if age > movedEntryTTL {
			return sweepExpire
		}
		return sweepKeep
	}
	if e.State == flow.GivenUp {
		if idle > datagramIdleTimeout {
			return sweepExpire
		}
		return sweepKeep
	}
	if tv.zoneOut {
		return sweepZoneOut
	}
	switch e.State {
	case flow.Opening:
		if age > openingTimeout && !b.isDatagram(k) {
			return sweepCancel
		}
	case flow.Established:
		if idle > b.idleLimit(k) {
			return sweepExpire
		}
		if e.Retries >= silentRetries && age > silentTimeout && b.progressing(now, tv) {
			return sweepSilent
		}
	case flow.Closing:
		if idle > closingTimeout {
			return sweepExpire
		}
	case flow.Reset:
		if idle > resetTimeout {
			return sweepExpire
		}
	}
	return sweepKeep
}

// mustRememberGivenUp reports whether the entry of a given-up flow must be
// kept, since a retransmission of the packet that opened it with payload could
// run the request again elsewhere.
func (b *Balancer) mustRememberGivenUp(tv *targetView, k *flow.Key, e *flow.Entry) bool {
	carried := b.isDatagram(k) || e.State == flow.Opening
	return carried && e.Flags&flow.Payload != 0 && !tv.service.idempotent
}

// progressing reports whether the target has recently made progress with some
// flow.
func (b *Balancer) progressing(now time.Duration, tv *targetView) bool {
	last := tv.state.lastProgress.Load()
	return last > 0 && now-time.Duration(last) < targetProgressWindow
}

// isDatagram reports whether the flow is of a datagram protocol.
func (b *Balancer) isDatagram(k *flow.Key) bool {
	return b.endpoints[k.Endpoint].Proto == packet.ProtoUDP
}

// idleLimit returns the idle timeout of the flow.
func (b *Balancer) idleLimit(k *flow.Key) time.Duration {
	if b.isDatagram(k) {
		return datagramIdleTimeout
	}
	return idleTimeout
}

// flowOf returns the flow of a key.
func (b *Balancer) flowOf(k *flow.Key) packet.Flow {
	return packet.Flow{Caller: k.Caller, CallerPort: k.Port, Service: b.endpoints[k.Endpoint]}
}

// endFlow removes a flow from its target's counts and from the replicas of the
// successors.
func (b *Balancer) endFlow(now time.Duration, tv *targetView, k *flow.Key, e *flow.Entry) {
	b.release(tv, now, e)
	if e.Flags&flow.Replicated != 0 && tv.owned {
		b.replicate(now, tv, b.hashOf(k), true)
	}
}

// cancelOpening resets the target's side of an opening that the caller
// abandoned.
func (b *Balancer) cancelOpening(tv *targetView, k *flow.Key, e *flow.Entry) {
	g := GivenUp{Service: tv.service.name, Target: tv.id}
	g.Verdict = verdict.Verdict{Run: verdict.MayHaveRun, Cause: verdict.CauseAbandoned}
	f := b.flowOf(k)
	g.Resets[0] = resetToTarget(&f, tv, e)
	g.ResetLen = 1
	b.counters.countVerdict(g.Verdict)
	b.outputs.Resets = append(b.outputs.Resets, g)
}

// sweepGiveUp gives up a flow and resets both ends, or only the caller if the
// target's zone is out.
func (b *Balancer) sweepGiveUp(tv *targetView, k *flow.Key, e *flow.Entry, cause verdict.Cause) {
	if e.State == flow.Closing || e.State == flow.Reset {
		return
	}
	g := GivenUp{Service: tv.service.name, Target: tv.id}
	g.Verdict = verdict.Verdict{Run: verdict.MayHaveRun, Cause: cause, RetryAfter: giveUpRetryAfter}
	b.counters.countVerdict(g.Verdict)
	tv.service.counts.broken[cause].Add(1)
	if !b.isDatagram(k) {
		f := b.flowOf(k)
		g.Resets[0] = resetToCaller(&f, e)
		g.ResetLen = 1
		if !tv.zoneOut {
			g.Resets[1] = resetToTarget(&f, tv, e)
			g.ResetLen = 2
		}
	}
	b.outputs.Resets = append(b.outputs.Resets, g)
}

// recountFlows counts the flows in the table for targets that this host has
// taken over.
func (b *Balancer) recountFlows(now time.Duration, gained map[uint32]bool, v *view) {
	if len(gained) == 0 {
		return
	}
	for i := range flowShards {
		s := b.flows.ShardAt(i)
		s.Lock()
		s.Range(func(k *flow.Key, e *flow.Entry) bool {
			if !gained[e.Target] || e.Flags&flow.Moved != 0 {
				return true
			}
			v.targets[e.Target].state.admission.Load().Adopt(now)
			e.Flags |= flow.Counted
			return true
		})
		s.Unlock()
	}
}
