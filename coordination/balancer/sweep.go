package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/flow"
)

const (
	// sweepShards is the number of shards visited by an ordinary tick, and
	// sweepShardsFast after a change of documents.
	sweepShards     = 8
	sweepShardsFast = 64
	// openingTimeout ends TCP openings that the caller never acknowledged.
	openingTimeout = 15 * time.Second
	// datagramOpening is how long a datagram flow counts as an opening.
	datagramOpening = time.Second
	// closingTimeout is how long a closed flow's address pair stays with its
	// target, twice the segment lifetime of a common kernel.
	closingTimeout = time.Minute
	// closingQuiet is how long a closed flow must be without packets before it
	// no longer counts as a connection of its target.
	closingQuiet = time.Second
	// resetTimeout is the same after a reset.
	resetTimeout = 5 * time.Second
	// idleTimeout and datagramIdleTimeout end flows without packets.
	idleTimeout         = time.Hour
	datagramIdleTimeout = time.Minute
	// silentRetries retransmissions without progress over silentTimeout end a
	// flow while its target makes progress with others.
	silentRetries = 5
	silentTimeout = 10 * time.Second
	// targetProgress is how lately a target must have made progress.
	targetProgress = 5 * time.Second
)

// fate is what a sweep does with a flow.
type fate uint8

const (
	fateKeep fate = iota
	fateExpire
	fateCancel
	fateZoneOut
	fateSilent
)

// sweep visits part of the flow table: it ends flows that are over, and tells
// successors of those that they could not work out.
func (b *Balancer) sweep(now time.Duration, v *view) {
	n := sweepShards
	if b.sweepAll > 0 {
		n = sweepShardsFast
		b.sweepAll -= n
	}
	for range n {
		b.sweepShard(now, v, b.flows.ShardAt(b.sweepAt))
		b.sweepAt = (b.sweepAt + 1) % flowShards
	}
	for _, t := range v.targets {
		if left := t.state.reshare.Load(); left > 0 {
			t.state.reshare.Store(left - int32(n))
		}
	}
}

// sweepShard visits one shard.
func (b *Balancer) sweepShard(now time.Duration, v *view, s *flow.Shard) {
	s.Lock()
	defer s.Unlock()
	s.Range(func(k *flow.Key, e *flow.Entry) bool {
		tv := v.targets[e.Target]
		if tv.state.reshare.Load() > 0 {
			e.Flags &^= flow.Replicated
		}
		switch b.fateOf(now, tv, k, e) {
		case fateKeep:
			b.tidy(now, v, tv, k, e)
		case fateExpire:
			if e.Flags&flow.Moved == 0 && e.State != flow.GivenUp {
				tv.service.counts.ended.Add(1)
			}
			b.end(now, tv, k, e)
			s.Delete(k)
		case fateCancel:
			b.cancel(tv, k, e)
			b.end(now, tv, k, e)
			s.Delete(k)
		case fateZoneOut:
			b.sweepGiveUp(tv, k, e, verdict.CauseZoneOut)
			b.end(now, tv, k, e)
			if b.keepsGivenUp(tv, k, e) {
				e.State = flow.GivenUp
				e.LastSeen = ticks(now)
				return true
			}
			s.Delete(k)
		case fateSilent:
			b.sweepGiveUp(tv, k, e, verdict.CauseSilent)
			b.end(now, tv, k, e)
			s.Delete(k)
		}
		return true
	})
}

// tidy shares the flow if need be and ends the opening of a datagram flow.
func (b *Balancer) tidy(now time.Duration, v *view, tv *targetView, k *flow.Key, e *flow.Entry) {
	if e.State == flow.Opening && b.isDatagram(k) && sinceTicks(now, e.Since) > datagramOpening {
		b.establish(now, tv, e)
	}
	if e.State == flow.Closing && sinceTicks(now, e.LastSeen) > closingQuiet {
		b.release(tv, now, e)
	}
	if sinceTicks(now, e.Since) >= shareAge {
		b.shareFlow(now, v, tv, k, e)
	}
}

// fateOf decides what becomes of a flow.
func (b *Balancer) fateOf(now time.Duration, tv *targetView, k *flow.Key, e *flow.Entry) fate {
	idle := sinceTicks(now, e.LastSeen)
	age := sinceTicks(now, e.Since)
	if e.Flags&flow.Moved != 0 {
		if age > movedLength {
			return fateExpire
		}
		return fateKeep
	}
	if e.State == flow.GivenUp {
		if idle > datagramIdleTimeout {
			return fateExpire
		}
		return fateKeep
	}
	if tv.out {
		return fateZoneOut
	}
	switch e.State {
	case flow.Opening:
		if age > openingTimeout && !b.isDatagram(k) {
			return fateCancel
		}
	case flow.Established:
		if idle > b.idleLimit(k) {
			return fateExpire
		}
		if e.Retries >= silentRetries && age > silentTimeout && b.progressing(now, tv) {
			return fateSilent
		}
	case flow.Closing:
		if idle > closingTimeout {
			return fateExpire
		}
	case flow.Reset:
		if idle > resetTimeout {
			return fateExpire
		}
	}
	return fateKeep
}

// keepsGivenUp reports whether a flow that is given up must be remembered, since
// a copy of a packet that opened it with payload could run it again elsewhere.
func (b *Balancer) keepsGivenUp(tv *targetView, k *flow.Key, e *flow.Entry) bool {
	carried := b.isDatagram(k) || e.State == flow.Opening
	return carried && e.Flags&flow.Payload != 0 && !tv.service.idempotent
}

// progressing reports whether the target makes progress with some flow.
func (b *Balancer) progressing(now time.Duration, tv *targetView) bool {
	last := tv.state.progressed.Load()
	return last > 0 && now-time.Duration(last) < targetProgress
}

// isDatagram reports whether the flow is of a datagram protocol.
func (b *Balancer) isDatagram(k *flow.Key) bool {
	return b.endpoints[k.Endpoint].Proto == packet.ProtoUDP
}

// idleLimit returns how long the flow may be without packets.
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

// end takes a flow off its target's counts and off the successor's replica.
func (b *Balancer) end(now time.Duration, tv *targetView, k *flow.Key, e *flow.Entry) {
	b.release(tv, now, e)
	if e.Flags&flow.Replicated != 0 && tv.mine {
		b.tellSuccessors(now, tv, b.hashOf(k), true)
	}
}

// cancel resets the target's half of an opening that the caller gave up.
func (b *Balancer) cancel(tv *targetView, k *flow.Key, e *flow.Entry) {
	g := GivenUp{Service: tv.service.name, Target: tv.id}
	g.Verdict = verdict.Verdict{Run: verdict.MayHaveRun, Cause: verdict.CauseAbandoned}
	f := b.flowOf(k)
	g.Resets[0] = resetToTarget(&f, tv, e)
	g.ResetLen = 1
	b.counters.gaveUp(g.Verdict)
	b.outputs.Resets = append(b.outputs.Resets, g)
}

// sweepGiveUp resets a flow at both ends, or at the caller's alone if the
// target's zone is out.
func (b *Balancer) sweepGiveUp(tv *targetView, k *flow.Key, e *flow.Entry, cause verdict.Cause) {
	if e.State == flow.Closing || e.State == flow.Reset {
		return
	}
	g := GivenUp{Service: tv.service.name, Target: tv.id}
	g.Verdict = verdict.Verdict{Run: verdict.MayHaveRun, Cause: cause, RetryAfter: giveUpRetryAfter}
	b.counters.gaveUp(g.Verdict)
	tv.service.counts.broken[cause].Add(1)
	if !b.isDatagram(k) {
		f := b.flowOf(k)
		g.Resets[0] = resetToCaller(&f, e)
		g.ResetLen = 1
		if !tv.out {
			g.Resets[1] = resetToTarget(&f, tv, e)
			g.ResetLen = 2
		}
	}
	b.outputs.Resets = append(b.outputs.Resets, g)
}

// recount counts the flows in the table for targets that were gained again.
func (b *Balancer) recount(now time.Duration, gained map[uint32]bool, v *view) {
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
