package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/servicetime"
)

// Load by expected work. The load pattern: requests of one service differ in cost by
// a factor of five to fifteen, so targets with equally many requests in progress
// keep a new one waiting for very different times. The load of a target is therefore
// the expected remaining time of its requests, as package servicetime estimates it.

const (
	// maxRequestWork is the largest work of one request in mean service times, which
	// bounds the effect of a wrong estimate.
	maxRequestWork = 16.0
	// minKnownShare is the share of a pool's requests that this host must have sent
	// itself before its own ones count as less than the mean. Reports of other hosts
	// are up to 400 ms old. If the host's own requests, the part that is up to date,
	// counted less, hosts would follow old reports to the same targets.
	minKnownShare = 0.75
	// maxOrderedSlots is the largest number of slots for which the order of requests
	// is considered, maxOrderedPeers the largest number of other hosts' requests.
	maxOrderedSlots = 8
	maxOrderedPeers = 32
	// maxFreeSlotLoad is the largest load of a target with a free slot: a request is
	// served there at once, whatever the other slots do.
	maxFreeSlotLoad = 0.9
)

// learnsServiceTimes reports whether an optional decision uses service times.
func (s *Steering) learnsServiceTimes() bool {
	return s.cfg.Balancing.ExpectedWork || s.cfg.Balancing.Admission
}

// timesAt returns the estimate for the route's requests at a target, nil if the
// route does not lead to the target's service.
func (r *route) timesAt(t *target) *servicetime.Distribution {
	for i := range r.shares {
		if r.shares[i].pool.service == t.entry.Service {
			return r.shares[i].times
		}
	}
	return nil
}

// keepTimes takes over the estimates of the route's former configuration for the
// services that still serve it.
func (r *route) keepTimes(former *route) {
	if former == nil {
		return
	}
	for i := range r.shares {
		for _, old := range former.shares {
			if old.pool.service == r.shares[i].pool.service {
				r.shares[i].times = old.times
			}
		}
	}
}

// serviceTime returns the mean service time of a route's requests, without the wait
// in the targets' queues. It reports false while too little is known.
func (r *route) serviceTime(now time.Duration) (time.Duration, bool) {
	var sum, weights float64
	for _, sh := range r.shares {
		if mean, ok := sh.times.Mean(now); ok {
			sum += float64(sh.weight) * float64(mean)
			weights += float64(sh.weight)
		}
	}
	if weights == 0 {
		return 0, false
	}
	return time.Duration(sum / weights), true
}

// startWork records that a flow sends a request to its target. The flow does not
// count as busy yet.
func (s *Steering) startWork(now time.Duration, r *route, f *flow) {
	if !s.learnsServiceTimes() {
		return
	}
	f.times = r.timesAt(f.target)
	f.serviceAt = now
	if f.answered && f.target.pool != nil {
		f.target.pool.times.AddFlowRequest(now)
	}
	if f.foundFreeSlot {
		return
	}
	if e, ok := s.workEstimate(now, f.target); ok {
		_, wait := e.sum(f.target)
		f.serviceAt += time.Duration(wait / e.speed * float64(e.mean))
	}
}

// learnServiceTime adds the answer time of a request that found a free slot to what
// is known of its route, service and target.
func (s *Steering) learnServiceTime(now time.Duration, f *flow, p *pool, took time.Duration) {
	if !s.learnsServiceTimes() || f.times == nil || f.roundTrip == 0 {
		return
	}
	service := max(took-f.roundTrip, 0)
	f.target.speed.Add(now, service, f.times)
	f.times.Add(now, service)
	p.times.Add(now, service)
}

// watchFlow counts the time that a flow was open since its first answer.
func (s *Steering) watchFlow(now time.Duration, f *flow) {
	if !f.answered || !f.countedOpen || f.target == nil || !s.learnsServiceTimes() {
		return
	}
	if p := f.target.pool; p != nil {
		p.times.AddFlowTime(now, now-f.watchedAt)
	}
	f.watchedAt = now
}

// updateOwnKnowledge updates how much of the pool's load this host knows itself.
func (p *pool) updateOwnKnowledge() {
	own, peers := 0, 0
	for _, t := range p.targets {
		own += t.busy + t.opening
		peers += t.peersBusy
	}
	share := 1 - float64(peers)/float64(max(own+peers, 1))
	p.ownKnowledge = max(share-minKnownShare, 0) / (1 - minKnownShare)
}

// workEstimate holds what the work of the requests at one target follows from.
type workEstimate struct {
	now time.Duration
	// mean is the service's mean service time, speed the target's speed.
	mean  time.Duration
	speed float64
	// least is the least work of a request, 0 to 1.
	least float64
}

// workEstimate returns the estimate for a target, and false while too little is
// known of its service.
func (s *Steering) workEstimate(now time.Duration, t *target) (workEstimate, bool) {
	if t.pool == nil {
		return workEstimate{}, false
	}
	mean, ok := t.pool.times.Mean(now)
	known := t.pool.ownKnowledge
	if s.allotted(now) {
		known = max(known, t.heldPart()) // hardly any other host sends it requests
	}
	return workEstimate{now: now, mean: mean, speed: t.speed.Factor(now), least: 1 - known}, ok
}

// of returns the expected remaining time of a flow's request, in multiples of the
// service's mean service time. A request counts as 1 while too little is known.
func (e *workEstimate) of(f *flow) float64 {
	if f.times == nil {
		return 1
	}
	elapsed := time.Duration(0)
	if !f.opening {
		elapsed = time.Duration(float64(max(e.now-f.serviceAt, 0)) * e.speed)
	}
	rest, ok := f.times.Remaining(e.now, elapsed, f.roundTrip)
	if !ok {
		return 1
	}
	return min(max(float64(rest)/float64(e.mean), e.least), maxRequestWork)
}

// sum returns the work of all requests at a target and the time until it has a free
// slot, if it serves its requests in the order of arrival. Both are in multiples of the
// mean service time. The order of other hosts' requests is unknown; they count as 1 each
// and as the first.
func (e *workEstimate) sum(t *target) (work, wait float64) {
	slots := max(t.entry.Slots, 1)
	if slots > maxOrderedSlots {
		work = float64(t.peersBusy)
		for f := t.firstPending; f != nil; f = f.next {
			work += e.of(f)
		}
		return work, max(work-float64(slots-1), 0) / float64(slots)
	}
	var ends [maxOrderedSlots]float64
	for range min(t.peersBusy, maxOrderedPeers) {
		ends[firstFree(ends[:slots])]++
	}
	for f := t.firstPending; f != nil; f = f.next {
		ends[firstFree(ends[:slots])] += e.of(f)
	}
	for _, end := range ends[:slots] {
		work += end
	}
	return work + float64(max(t.peersBusy-maxOrderedPeers, 0)), ends[firstFree(ends[:slots])]
}

// firstFree returns the index of the slot that is free first.
func firstFree(ends []float64) int {
	first := 0
	for i, end := range ends {
		if end < ends[first] {
			first = i
		}
	}
	return first
}

// expectedLoad returns the target's load by expected work, in multiples of its slots.
func (s *Steering) expectedLoad(now time.Duration, t *target) float64 {
	slots := float64(max(t.entry.Slots, 1))
	e, ok := s.workEstimate(now, t)
	if !ok {
		return t.queuedPerSlot() + t.idleFlows()*openFlowLoad/slots
	}
	work, wait := e.sum(t)
	load := work / slots
	if t.hasFreeSlot() {
		load = min(load, maxFreeSlotLoad)
	} else if known := 1 - e.least; known > 0 {
		// The load is 1, as by count, with one request per slot that has half of the
		// mean time left.
		load = known*(wait+(slots-1)/slots) + (1-known)*load
	}
	idle := t.pool.times.IdleFlowLoad(now, openFlowLoad)
	return (load + t.idleFlows()*idle/slots) / e.speed
}

// idleFlows returns the open flows at a target that have no request in progress.
func (t *target) idleFlows() float64 {
	return float64(max(t.open-t.busy-t.opening, 0) + max(t.peersOpen-t.peersBusy, 0))
}

// slowPenalty returns the time that a request takes longer at a slow target than at
// others, in mean service times. Without it an idle slow target looks as good as any.
func (s *Steering) slowPenalty(now time.Duration, t *target) float64 {
	if !s.cfg.Balancing.ExpectedWork {
		return 0
	}
	return max(1/t.speed.Factor(now)-1, 0)
}

// ServiceTime is the mean service time of a service's requests, without the wait in
// the targets' queues.
type ServiceTime struct {
	Service string
	Mean    time.Duration
}

// ServiceTimes returns the services whose mean service time is known.
func (s *Steering) ServiceTimes(now time.Duration) []ServiceTime {
	var list []ServiceTime
	for name, p := range s.pools {
		if mean, ok := p.times.Mean(now); ok {
			list = append(list, ServiceTime{Service: name, Mean: mean})
		}
	}
	return list
}

// SlowTargets returns how many targets serve requests slower than others.
func (s *Steering) SlowTargets(now time.Duration) int {
	n := 0
	for _, t := range s.targets {
		if t.speed.Factor(now) < 1 {
			n++
		}
	}
	return n
}
