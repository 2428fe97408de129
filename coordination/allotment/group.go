package allotment

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
)

// group holds either the cold targets of a service or its other ones.
type group struct {
	service string
	cold    bool
	targets []*target
}

// groups returns the groups in order, with their targets in the order of tokens.
func (a *Allotter) groups() []*group {
	type key struct {
		service string
		cold    bool
	}
	byKey := map[key]*group{}
	var list []*group
	for _, token := range slices.Sorted(maps.Keys(a.targets)) {
		t := a.targets[token]
		k := key{t.Service, t.State == Cold}
		g := byKey[k]
		if g == nil {
			g = &group{service: k.service, cold: k.cold}
			byKey[k] = g
			list = append(list, g)
		}
		g.targets = append(g.targets, t)
	}
	return list
}

// shrink revokes the slots that the targets of a group no longer have.
func (a *Allotter) shrink(g *group) {
	for _, t := range g.targets {
		for len(t.holders) > t.capacity() {
			a.revoke(t, len(t.holders)-1, nil)
		}
	}
}

// allot brings the holdings of a group closer to the quotas of the hosts with as few
// changes as possible: free slots go to the hosts with the lowest surplus, and held
// ones move only if the surpluses of two hosts differ by more than a threshold.
func (a *Allotter) allot(g *group, hosts []*host) {
	for _, h := range hosts {
		h.held, h.planned = 0, 0
	}
	slots, pending := g.count()
	if slots == 0 || len(hosts) == 0 {
		return
	}
	setQuotas(g.service, slots, hosts)
	threshold := 1 + moveMargin*math.Sqrt(float64(slots)/float64(len(hosts)))
	g.assignReserved(hosts, threshold)
	g.assignFree(hosts)
	for range pending {
		nextReceiver(hosts).planned++
	}
	a.moveSlots(g, slots, hosts, threshold)
	for range 1 + slots/slotsPerJoin {
		a.join(g)
	}
}

// assignFree assigns the free slots of a group to hosts.
func (g *group) assignFree(hosts []*host) {
	for {
		h := nextReceiver(hosts)
		t := g.bestFree(h)
		if t == nil {
			break
		}
		t.holders = append(t.holders, h)
		h.held++
		h.planned++
	}
}

// moveSlots revokes slots from hosts with a large surplus for hosts with a small one,
// as long as two surpluses differ by more than the threshold or a host that should
// hold a slot has none.
func (a *Allotter) moveSlots(g *group, slots int, hosts []*host, threshold float64) {
	for range slots {
		from, to := nextGiver(hosts), nextReceiver(hosts)
		withoutSlot := to.planned == 0 && to.quota >= 1 && from.planned >= 2
		if from.held == 0 || (!withoutSlot && from.surplus()-to.surplus() <= threshold) {
			break
		}
		t, slot := g.bestTaken(from, to)
		a.revoke(t, slot, to)
		from.held--
		from.planned--
		to.planned++
	}
}

// assignReserved assigns the reserved slots to the hosts that they were revoked for, or
// to hosts whose surplus is now lower by more than the threshold.
func (g *group) assignReserved(hosts []*host, threshold float64) {
	for _, t := range g.targets {
		for _, h := range t.reserved {
			if n := nextReceiver(hosts); h.surplus()-n.surplus() > threshold {
				h.planned--
				n.planned++
				h = n
			}
			t.holders = append(t.holders, h)
			h.held++
		}
		t.reserved = nil
	}
}

// count returns the number of a group's slots and of those that will be free. It
// counts what the hosts hold and are about to get.
func (g *group) count() (slots, pending int) {
	for _, t := range g.targets {
		slots += t.capacity()
		for _, h := range t.holders {
			h.held++
			h.planned++
		}
		for _, h := range t.reserved {
			h.planned++
		}
		left := max(t.capacity()-len(t.holders)-len(t.reserved), 0)
		for _, r := range t.revoked[:min(len(t.revoked), left)] {
			if r.to != nil {
				r.to.planned++
			} else {
				pending++
			}
		}
	}
	return slots, pending
}

// join exchanges two slots between two hosts if one of them shares two targets of the
// group with other hosts, so that it holds more slots of one of the two. Moves of
// single slots spread targets over several hosts, none of which knows the queue.
func (a *Allotter) join(g *group) {
	shared := map[*host]*target{}
	for _, t := range g.targets {
		if len(t.revoked) > 0 || len(t.holders) < 2 || t.heldBy(t.holders[0]) == len(t.holders) {
			continue
		}
		for _, h := range t.holders {
			first := shared[h]
			if first == nil {
				shared[h] = t
			}
			if first != nil && first != t && (a.exchange(h, t, first) || a.exchange(h, first, t)) {
				return
			}
		}
	}
}

// exchange revokes a slot of the target more from another host for h, and one of the
// target less from h for that host. It does so only if the sum of the squares of the
// hosts' slots at each target grows, so that joining ends, and reports whether it did.
func (a *Allotter) exchange(h *host, more, less *target) bool {
	other := slices.IndexFunc(more.holders, func(o *host) bool {
		return o != h && more.heldBy(h) >= more.heldBy(o)+less.heldBy(h)-1
	})
	if other < 0 {
		return false
	}
	from := more.holders[other]
	a.revoke(more, other, h)
	a.revoke(less, slices.Index(less.holders, h), from)
	return true
}

// setQuotas sets how many of a group's slots each host should hold. What exceeds one
// slot for each host is divided by demand and its square root, as the variation of a
// host's demand grows with the root.
func setQuotas(service string, slots int, hosts []*host) {
	sum := 0.0
	weight := func(h *host) float64 {
		d := h.demand[service]
		return idleWeight + d + math.Sqrt(d)
	}
	for _, h := range hosts {
		sum += weight(h)
	}
	base := 0.0
	if slots >= len(hosts) {
		base = 1
	}
	for _, h := range hosts {
		h.quota = base + (float64(slots)-base*float64(len(hosts)))*weight(h)/sum
	}
}

// nextReceiver returns the host that gets the next slot: the one with the lowest
// surplus, but first those that should hold a slot and have none.
func nextReceiver(hosts []*host) *host {
	return slices.MinFunc(hosts, func(x, y *host) int {
		return cmp.Or(cmp.Compare(receiverRank(x), receiverRank(y)), cmp.Compare(x.surplus(), y.surplus()), cmp.Compare(x.hash, y.hash))
	})
}

// receiverRank is 0 for a host that should hold a slot and has none, else 1.
func receiverRank(h *host) int {
	if h.planned == 0 && h.quota >= 1 {
		return 0
	}
	return 1
}

// nextGiver returns the host that the next slot is revoked from: the one with the
// largest surplus among those that hold a slot.
func nextGiver(hosts []*host) *host {
	return slices.MaxFunc(hosts, func(x, y *host) int {
		return cmp.Or(cmp.Compare(min(x.held, 1), min(y.held, 1)), cmp.Compare(x.surplus(), y.surplus()), cmp.Compare(x.hash, y.hash))
	})
}

// bestFree returns the target of which a host gets a free slot, nil if no slot is
// free. Targets with more slots of the host, and with more free slots, are preferred,
// as a host that holds all slots of a target knows its queue.
func (g *group) bestFree(h *host) *target {
	var best *target
	var bestScore float64
	for _, t := range g.targets {
		free := t.free()
		if free == 0 {
			continue
		}
		score := float64(2*t.heldBy(h)+free) + fraction(rendezvous.Mix(h.hash, uint64(t.Token)))
		if best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// bestTaken returns the target and slot that moves between two hosts: preferably a
// target of which the receiver holds a slot already, else one that the giver shares
// with others.
func (g *group) bestTaken(from, to *host) (*target, int) {
	var best *target
	var bestScore float64
	for _, t := range g.targets {
		n := t.heldBy(from)
		if n == 0 {
			continue
		}
		score := float64(4*min(t.heldBy(to), 1)-n) + fraction(rendezvous.Mix(to.hash, uint64(t.Token)))
		if best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best, slices.Index(best.holders, from)
}

// fraction returns a number from 0 to 1 from a hash.
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
