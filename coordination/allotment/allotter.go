package allotment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
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
	// smoothing is the time constant of the average of a host's demand. It is short
	// enough that shares follow a step of demand within a second.
	smoothing = 300 * time.Millisecond
	// moveMargin sets the difference of two hosts' surpluses above which a slot moves
	// between them: 1 slot, below which a move gains nothing, and moveMargin times
	// the square root of the mean number of slots of a host, so that random changes of
	// the demand move few slots.
	moveMargin = 1.2
	// confirmTimeout is how long after its revocation a slot is allotted again
	// although its former holder has not confirmed it: the holder's last table with
	// the slot has expired by then.
	confirmTimeout = Lifetime + 200*time.Millisecond
	// slotsPerJoin sets how often join is called for a group in a round: once, and
	// once more for every slotsPerJoin slots of the group.
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
	// holders holds a host for each allotted unit of slots. Slots are counted in units
	// from here on; a target of few slots has one in each.
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
	a.releaseSlots(live)
}

// releaseSlots frees the slots of hosts that are no longer live. Slots that were
// revoked for them are open to any host.
func (a *Allotter) releaseSlots(live map[string]*host) {
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
			t = &target{Target: next}
			a.targets[next.Token] = t
		}
		a.setTarget(t, next)
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

// setTarget updates a target. If the number of slots in a unit changes, hosts keep the
// whole units of what they held, and the rest is revoked.
func (a *Allotter) setTarget(t *target, next Target) {
	former := t.unit()
	t.Target = next
	unit := t.unit()
	if unit == former {
		return
	}
	held := t.holders
	t.holders = nil
	for len(held) > 0 {
		h := held[0]
		left := slices.DeleteFunc(slices.Clone(held), func(o *host) bool { return o == h })
		slots := (len(held) - len(left)) * former
		for range min(slots/unit, maxUnits) {
			t.holders = append(t.holders, h)
		}
		if slots%unit > 0 {
			t.revoked = append(t.revoked, revocation{from: h, seq: a.seq + 1, at: a.updated})
		}
		held = left
	}
}

// adopt takes over what the hosts hold by the tables of a former reader.
func (a *Allotter) adopt(demand []Demand) {
	for i := range demand {
		h := a.hosts[demand[i].Host]
		for _, held := range demand[i].Held {
			t := a.targets[held.Token]
			if t == nil {
				continue
			}
			for range min(held.Slots/t.unit(), t.free()) {
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

// revoke takes a slot from its holder for another host, or for none.
func (a *Allotter) revoke(t *target, slot int, to *host) {
	t.revoked = append(t.revoked, revocation{from: t.holders[slot], to: to, seq: a.seq, at: a.updated})
	t.holders = slices.Delete(t.holders, slot, slot+1)
}

// table returns the current table.
func (a *Allotter) table() *Table {
	t := &Table{Seq: a.seq, holdings: make(map[string][]Holding, len(a.hosts))}
	for name := range a.hosts {
		t.holdings[name] = nil
	}
	for _, token := range slices.Sorted(maps.Keys(a.targets)) {
		unit := a.targets[token].unit()
		for _, h := range a.targets[token].holders {
			list := t.holdings[h.name]
			if n := len(list); n > 0 && list[n-1].Token == token {
				list[n-1].Slots += unit
				continue
			}
			t.holdings[h.name] = append(list, Holding{Token: token, Slots: unit})
		}
	}
	return t
}
