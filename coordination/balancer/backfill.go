package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// backfillRequest requests that this host's replicas of a target's flows are
// sent to a host.
type backfillRequest struct {
	target uint64
	to     uint32
}

// backfillItem is one flow that is still to be sent to a host.
type backfillItem struct {
	backfillRequest
	hash uint64
}

// backfill holds the replicas that this host still has to forward to hosts that
// have become a target's owner or successor. The balancer's mutex guards it.
type backfill struct {
	requests []backfillRequest
	queue    []backfillItem
}

// pending reports whether anything is still to be sent.
func (r *backfill) pending() bool {
	return len(r.requests) > 0 || len(r.queue) > 0
}

// queueBackfill queues the flows of the requests.
func (b *Balancer) queueBackfill() {
	r := &b.backfill
	if len(r.requests) == 0 {
		return
	}
	slices.SortFunc(r.requests, compareBackfillRequests)
	requests := slices.Compact(r.requests)
	queued := len(r.queue)
	for shard := range replicaShards {
		b.replicas.each(shard, func(hash, target uint64) bool {
			at, _ := slices.BinarySearchFunc(requests, backfillRequest{target: target}, compareBackfillRequests)
			for ; at < len(requests) && requests[at].target == target; at++ {
				r.queue = append(r.queue, backfillItem{backfillRequest: requests[at], hash: hash})
			}
			return true
		})
	}
	// The iteration order of the replicas is random, and the budget may not
	// cover the whole queue: sorting makes the flows that are sent first
	// reproducible.
	slices.SortFunc(r.queue[queued:], func(a, b backfillItem) int { return cmp.Compare(a.hash, b.hash) })
	r.requests = r.requests[:0]
}

// forwardLateFlows queues flows for the target's owner if they come from a host
// that no longer is the owner: they were in transit when the owner changed.
func (b *Balancer) forwardLateFlows(from uint32, t *peer.TargetFlows) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st, ok := b.targetsByID[t.Target]
	if !ok || st.owner == from || st.owner == b.id || st.owner == 0 {
		return
	}
	request := backfillRequest{target: t.Target, to: st.owner}
	for list := t.Add; len(list) > 0; list = list[fingerprintBytes:] {
		b.backfill.queue = append(b.backfill.queue, backfillItem{backfillRequest: request, hash: fingerprintAt(list)})
	}
}

// compareBackfillRequests sorts by target, then by host.
func compareBackfillRequests(a, b backfillRequest) int {
	switch {
	case a.target != b.target && a.target < b.target:
		return -1
	case a.target != b.target:
		return 1
	}
	return int(int64(a.to) - int64(b.to))
}

// sendBackfill sends queued flows until the budget is exhausted.
func (b *Balancer) sendBackfill(now time.Duration) {
	r := &b.backfill
	if b.cfg.Replication == ReplicateNone {
		*r = backfill{}
		return
	}
	b.queueBackfill()
	for len(r.queue) > 0 {
		item := r.queue[0]
		m := b.members.find(item.to)
		held := b.replicas.target(item.hash) == item.target
		if held && m != nil && m.serves() && !b.replicator.tryQueue(now, item.to, item.target, item.hash, false) {
			return
		}
		r.queue = r.queue[1:]
	}
	r.queue = nil
}
