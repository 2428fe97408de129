package allotment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
)

// Slot allotment. The load pattern: demand is close to what the targets can serve,
// and the hosts know each other's loads only as they were several request times
// ago. Twenty hosts that act on the same value choose the same targets, whose
// queues fill while other targets are idle. Each slot is therefore allotted to one
// host, which knows at any time whether it uses it.
//
// A slot that is taken from a live host is allotted again only after the host has
// received a table without it, so that no slot has two holders although digests
// arrive late or are lost.

const (
	// smoothing is the time constant of the average of a host's demand: a step of
	// demand is followed to 86% within 0.6 s, and the moves of slots take 0.4 s more.
	// With 500 ms shares would not follow within a second.
	smoothing = 300 * time.Millisecond
	// moveMargin sets from which difference of two hosts' surpluses a slot moves
	// between them: 1 slot, below which a move gains nothing, and moveMargin times
	// the root of the mean number of slots, for the random part of the demand. From
	// 0.5 to 1.2 the p99 of the wait in the replays differs by 3 ms; 1.2 moves least.
	moveMargin = 1.2
	// confirmTimeout is how long after its revocation a slot is allotted again
	// although its former holder has not confirmed it: the holder's last table with
	// the slot has expired by then.
	confirmTimeout = Lifetime + 200*time.Millisecond
	// slotsPerJoin is the number of a service's slots for each of which, begun or
	// whole, a pair of shared targets is joined in a round.
	slotsPerJoin = 100
	// idleWeight is the weight of a host without requests, in requests: its next
	// opening.
	idleWeight = 0.25
)

// Allotter computes the tables of one reader. It is not safe for concurrent use.
type Allotter struct {
	seq     uint64
	started bool
	updated time.Duration
	hosts   map[string]*host
	targets map[uint32]*target
}

// host is a live host.
type host struct {
	name string
	hash uint64
	seq  uint64
	// demand is the smoothed number of requests by service.
	demand map[string]float64
	// held, planned and quota are used during the allotment of one group: the slots
	// that the host holds, those that it holds or is about to get, and those that it
	// should hold.
	held, planned int
	quota         float64
}

// surplus is how many slots more than its quota the host holds or is about to get.
func (h *host) surplus() float64 { return float64(h.planned) - h.quota }

// target is the allotment of one target.
type target struct {
	Target
	// holders holds a host for each allotted slot.
	holders []*host
	// revoked holds the slots that were taken from hosts that may not know yet.
	revoked []revocation
	// reserved holds the hosts for which slots were taken that are free now.
	reserved []*host
}

// revocation is a slot that was taken from a host at a time; the table with the
// sequence number seq is the first one without it. The host to gets it next; it is
// nil if that is open.
type revocation struct {
	from, to *host
	seq      uint64
	at       time.Duration
}

// free returns the number of slots that can be allotted.
func (t *target) free() int {
	return max(t.capacity()-len(t.holders)-len(t.revoked)-len(t.reserved), 0)
}

// heldBy returns the number of slots that a host holds.
func (t *target) heldBy(h *host) int {
	n := 0
	for _, holder := range t.holders {
		if holder == h {
			n++
		}
	}
	return n
}

// NewAllotter returns an allotter without hosts and targets, whose tables have
// sequence numbers after seq.
func NewAllotter(seq uint64) *Allotter {
	return &Allotter{seq: seq, hosts: map[string]*host{}, targets: map[uint32]*target{}}
}

// Update returns the next table. targets are the targets of the zone, demand the
// reports of its live hosts, one for each. The first call takes over what the
// hosts hold.
func (a *Allotter) Update(now time.Duration, targets []Target, demand []Demand) *Table {
	a.setHosts(now, demand)
	a.setTargets(targets)
	if !a.started {
		a.adopt(demand)
		a.started = true
	}
	a.seq++
	a.updated = now
	a.endRevocations(now)
	hosts := a.sortedHosts()
	for _, g := range a.groups() {
		a.shrink(g)
		a.allot(g, hosts)
	}
	return a.table()
}

// setHosts updates the live hosts and their demand. The slots of hosts that are no
// longer live are free at once.
func (a *Allotter) setHosts(now time.Duration, demand []Demand) {
	keep := math.Exp(-float64(now-a.updated) / float64(smoothing))
	live := make(map[string]*host, len(demand))
	for i := range demand {
		d := &demand[i]
		h := a.hosts[d.Host]
		if h == nil {
			h = &host{name: d.Host, hash: xxh3.HashString("allotment/" + d.Host), demand: map[string]float64{}}
			for service, n := range d.Requests {
				h.demand[service] = float64(n)
			}
		}
		h.seq = d.Seq
		h.smooth(keep, d.Requests)
		live[d.Host] = h
	}
	a.hosts = live
	gone := func(h *host) bool { return live[h.name] != h }
	for _, t := range a.targets {
		t.holders = slices.DeleteFunc(t.holders, gone)
		t.revoked = slices.DeleteFunc(t.revoked, func(r revocation) bool { return gone(r.from) })
		for i := range t.revoked {
			if to := t.revoked[i].to; to != nil && gone(to) {
				t.revoked[i].to = nil
			}
		}
	}
}

// smooth moves the host's demand towards its current requests.
func (h *host) smooth(keep float64, requests map[string]int) {
	for service, former := range h.demand {
		h.demand[service] = keep * former
		if h.demand[service] < 1e-3 && requests[service] == 0 {
			delete(h.demand, service)
		}
	}
	for service, n := range requests {
		h.demand[service] += (1 - keep) * float64(n)
	}
}

// setTargets updates the targets.
func (a *Allotter) setTargets(list []Target) {
	known := make(map[uint32]bool, len(list))
	for _, next := range list {
		known[next.Token] = true
		t := a.targets[next.Token]
		if t == nil {
			t = &target{}
			a.targets[next.Token] = t
		}
		t.Target = next
	}
	for token, t := range a.targets {
		if known[token] {
			continue
		}
		t.State = Closed
		if len(t.holders)+len(t.revoked) == 0 {
			delete(a.targets, token)
		}
	}
}

// adopt takes over what the hosts hold by the tables of a former reader.
func (a *Allotter) adopt(demand []Demand) {
	for i := range demand {
		h := a.hosts[demand[i].Host]
		for _, held := range demand[i].Held {
			t := a.targets[held.Token]
			for n := 0; t != nil && n < held.Slots && t.free() > 0; n++ {
				t.holders = append(t.holders, h)
			}
		}
	}
}

// endRevocations frees the slots whose former holders have received a table without
// them, or whose last table with them has expired, or reserves them for their next
// holders.
func (a *Allotter) endRevocations(now time.Duration) {
	for _, t := range a.targets {
		var next []*host
		t.revoked = slices.DeleteFunc(t.revoked, func(r revocation) bool {
			ended := r.from.seq >= r.seq || now >= r.at+confirmTimeout
			if ended && r.to != nil {
				next = append(next, r.to)
			}
			return ended
		})
		t.reserved = next[:min(len(next), t.free())]
	}
}

func (a *Allotter) sortedHosts() []*host {
	return slices.SortedFunc(maps.Values(a.hosts), func(x, y *host) int { return cmp.Compare(x.name, y.name) })
}

// group is the targets of a service that are cold or that are not.
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

// shrink takes the slots back that the targets of a group no longer have.
func (a *Allotter) shrink(g *group) {
	for _, t := range g.targets {
		for len(t.holders) > t.capacity() {
			a.revoke(t, len(t.holders)-1, nil)
		}
	}
}

// revoke takes a slot from its holder for another host, or for none.
func (a *Allotter) revoke(t *target, slot int, to *host) {
	t.revoked = append(t.revoked, revocation{from: t.holders[slot], to: to, seq: a.seq, at: a.updated})
	t.holders = slices.Delete(t.holders, slot, slot+1)
}

// allot brings the holdings of a group closer to the quotas of the hosts with as few
// changes as possible: free slots go to the hosts that lack most, and further ones
// move only if two hosts differ much.
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
	g.giveReserved(hosts, threshold)
	for {
		h := neediest(hosts)
		t := g.bestFree(h)
		if t == nil {
			break
		}
		t.holders = append(t.holders, h)
		h.held++
		h.planned++
	}
	for range pending {
		neediest(hosts).planned++
	}
	for range slots {
		from, to := richest(hosts), neediest(hosts)
		starved := to.planned == 0 && to.quota >= 1 && from.planned >= 2
		if from.held == 0 || (!starved && from.surplus()-to.surplus() <= threshold) {
			break
		}
		t, slot := g.bestTaken(from, to)
		a.revoke(t, slot, to)
		from.held--
		from.planned--
		to.planned++
	}
	for range 1 + slots/slotsPerJoin {
		a.join(g)
	}
}

// giveReserved gives the reserved slots to the hosts that they were taken for, or to
// those that need them more by now.
func (g *group) giveReserved(hosts []*host, threshold float64) {
	for _, t := range g.targets {
		for _, h := range t.reserved {
			if n := neediest(hosts); h.surplus()-n.surplus() > threshold {
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

// join exchanges two slots between two hosts if one shares two targets of the group
// with others, so that it holds more of one of them. Without it, moves of
// single slots leave two fifths of the slots at shared targets within 20 s, whose
// queues none of their holders knows.
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

// exchange takes one slot of the target more from another host and one of the target
// less from a host, if that makes the sum of the squares of what hosts hold of each
// target larger, so that joining ends. It reports whether it did.
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

// neediest returns the host that lacks most slots.
func neediest(hosts []*host) *host {
	return slices.MinFunc(hosts, func(x, y *host) int {
		return cmp.Or(cmp.Compare(starvation(x), starvation(y)), cmp.Compare(x.surplus(), y.surplus()), cmp.Compare(x.hash, y.hash))
	})
}

// starvation ranks hosts first that have no slot although there are enough.
func starvation(h *host) int {
	if h.planned == 0 && h.quota >= 1 {
		return 0
	}
	return 1
}

// richest returns the host with the largest surplus among those that hold a slot.
func richest(hosts []*host) *host {
	return slices.MaxFunc(hosts, func(x, y *host) int {
		return cmp.Or(cmp.Compare(min(x.held, 1), min(y.held, 1)), cmp.Compare(x.surplus(), y.surplus()), cmp.Compare(x.hash, y.hash))
	})
}

// bestFree returns the target of which a host gets a free slot, nil if no slot is
// free: one of which it holds a slot already, as a host that holds a whole target
// knows what it does, else the one with the most free slots.
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

// table returns the current table.
func (a *Allotter) table() *Table {
	t := &Table{Seq: a.seq, holdings: make(map[string][]Holding, len(a.hosts))}
	for name := range a.hosts {
		t.holdings[name] = nil
	}
	for _, token := range slices.Sorted(maps.Keys(a.targets)) {
		for _, h := range a.targets[token].holders {
			list := t.holdings[h.name]
			if n := len(list); n > 0 && list[n-1].Token == token {
				list[n-1].Slots++
				continue
			}
			t.holdings[h.name] = append(list, Holding{Token: token, Slots: 1})
		}
	}
	return t
}
