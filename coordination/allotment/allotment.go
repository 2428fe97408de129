// Package allotment divides the slots of a zone's targets among the zone's hosts,
// so that hosts that decide at the same time on the same old loads use different
// targets. The reader of the zone computes a table of holders each round; a host
// uses its part of the table as its Share. The package does no I/O and reads no
// clock.
package allotment

import (
	"maps"
	"slices"
	"time"
)

// Lifetime is how long a table is used after its arrival.
const Lifetime = time.Second

// State is the state of a target as it matters to its allotment.
type State uint8

// States of a target.
const (
	// Accepting targets are allotted with all their slots.
	Accepting State = iota
	// Cold targets are allotted apart from the others, as only a few openings a
	// second may use them.
	Cold
	// Rejecting targets have full queues and are allotted with half of their slots.
	Rejecting
	// Closed targets accept no new flows: they are silent, draining or gone, or
	// their zone is out. They are not allotted.
	Closed
)

// Target is a target of the zone.
type Target struct {
	// Token identifies the target.
	Token   uint32
	Service string
	Slots   int
	State   State
}

// maxUnits is the number of units, at most, in which the slots of a target are allotted:
// more than a large zone has hosts. The work of an allotter grows with them.
const maxUnits = 128

// unit returns the number of slots that are allotted together.
func (t *Target) unit() int {
	return max(t.Slots-1, 0)/maxUnits + 1
}

// capacity returns the number of units that are allotted. What does not make a whole unit
// is left out.
func (t *Target) capacity() int {
	units := max(t.Slots, 0) / t.unit()
	switch t.State {
	case Closed:
		return 0
	case Rejecting:
		return (units + 1) / 2
	}
	return units
}

// Demand is the report of one live host.
type Demand struct {
	Host string
	// Requests counts the requests in progress or about to be sent, by service.
	Requests map[string]int
	// Seq is the sequence number of the last table of this allotter that the host
	// has received, 0 if there is none.
	Seq uint64
	// Held is what the host holds by its last valid table, of any allotter.
	Held []Holding
}

// Holding is a number of slots of one target.
type Holding struct {
	Token uint32
	Slots int
}

// Table is the allotment of one round. It is immutable.
type Table struct {
	// Seq increases with each table of an allotter and is never 0.
	Seq uint64
	// holdings holds an entry for each live host, ordered by token.
	holdings map[string][]Holding
}

// Holdings returns what a host holds. ok is false if the table does not name the
// host.
func (t *Table) Holdings(host string) (list []Holding, ok bool) {
	list, ok = t.holdings[host]
	return list, ok
}

// Hosts returns the hosts that the table names, in order.
func (t *Table) Hosts() []string { return slices.Sorted(maps.Keys(t.holdings)) }

// Share is the part of a table that concerns one host. The zero value is not
// valid.
type Share struct {
	held  map[uint32]int
	until time.Duration
}

// NewShare returns the share of a host that received its holdings at a time.
func NewShare(received time.Duration, holdings []Holding) Share {
	s := Share{held: make(map[uint32]int, len(holdings)), until: received + Lifetime}
	for _, h := range holdings {
		s.held[h.Token] += max(h.Slots, 0)
	}
	return s
}

// Held returns the number of the target's slots that the host holds.
func (s Share) Held(token uint32) int { return s.held[token] }

// Valid reports whether the share is in force.
func (s Share) Valid(now time.Duration) bool { return now < s.until }

// Age returns the time since the share arrived.
func (s Share) Age(now time.Duration) time.Duration { return now - (s.until - Lifetime) }

// Slots returns the number of slots that the host holds.
func (s Share) Slots() int {
	n := 0
	for _, slots := range s.held {
		n += slots
	}
	return n
}
