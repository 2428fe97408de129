package balancer

import (
	"slices"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

const (
	// slotBits is the number of high bits of a flow hash that select its slot.
	slotBits = 12
	// slotCount is the number of slots in a service's table.
	slotCount = 1 << slotBits
	// orderLen is the number of targets in a slot's order.
	orderLen = 8
	// homeZoneLen is the number of targets that a slot's first zone has in the
	// order, and otherZoneLen that of each other zone. If these are fewer than
	// orderLen, more targets of the zones follow.
	homeZoneLen  = 4
	otherZoneLen = 2
	// noTarget ends an order that is shorter than orderLen.
	noTarget = ^uint16(0)
)

// order holds a slot's targets by descending preference, as positions in the
// service document.
type order [orderLen]uint16

// slotOf returns the slot of a flow hash.
func slotOf(hash uint64) uint32 {
	return uint32(hash >> (64 - slotBits))
}

// ranked is a target with its rendezvous score.
type ranked struct {
	pos   uint16
	score float64
}

// zoneTargets is one zone's targets of a service.
type zoneTargets struct {
	id      uint64
	weight  float64
	members []uint16
}

// buildOrders ranks the targets of a service for every slot. Draining targets
// stay in the order so that their flows are found; zones that are out do not.
func buildOrders(doc *document.Service, out map[string]bool) []order {
	zones := groupByZone(doc, out)
	ids := make([]uint64, len(doc.Targets))
	for i := range doc.Targets {
		ids[i] = TargetID(doc.Name, doc.Targets[i].Name)
	}
	orders := make([]order, slotCount)
	seed := TargetID(doc.Name, "")
	var scratch []ranked
	for slot := range orders {
		key := rendezvous.Mix(seed, uint64(slot)+1)
		var ranks [][]ranked
		for _, z := range rankZones(zones, key) {
			scratch = rankTargets(doc, ids, z, key)
			ranks = append(ranks, scratch)
		}
		orders[slot] = fillOrder(ranks)
	}
	return orders
}

// groupByZone groups the targets by zone, without the zones that are out.
func groupByZone(doc *document.Service, out map[string]bool) []zoneTargets {
	var zones []zoneTargets
	index := make(map[string]int)
	for i := range doc.Targets {
		t := &doc.Targets[i]
		if out[t.Zone] {
			continue
		}
		at, ok := index[t.Zone]
		if !ok {
			at = len(zones)
			index[t.Zone] = at
			zones = append(zones, zoneTargets{id: zoneID(t.Zone)})
		}
		zones[at].weight += float64(t.Weight)
		zones[at].members = append(zones[at].members, uint16(i))
	}
	return zones
}

// rankZones returns the zones in the slot's order. The first is the slot's home
// zone.
func rankZones(zones []zoneTargets, key uint64) []zoneTargets {
	type rankedZone struct {
		at    int
		score float64
	}
	ranks := make([]rankedZone, len(zones))
	for i, z := range zones {
		ranks[i] = rankedZone{at: i, score: rendezvous.Score(key, z.id, z.weight)}
	}
	slices.SortFunc(ranks, func(a, b rankedZone) int { return compareScores(a.score, b.score) })
	sorted := make([]zoneTargets, len(zones))
	for i, r := range ranks {
		sorted[i] = zones[r.at]
	}
	return sorted
}

// rankTargets returns one zone's targets in the slot's order.
func rankTargets(doc *document.Service, ids []uint64, z zoneTargets, key uint64) []ranked {
	ranks := make([]ranked, len(z.members))
	for i, pos := range z.members {
		weight := float64(doc.Targets[pos].Weight)
		ranks[i] = ranked{pos: pos, score: rendezvous.Score(key, ids[pos], weight)}
	}
	slices.SortFunc(ranks, func(a, b ranked) int { return compareScores(a.score, b.score) })
	return ranks
}

// compareScores sorts by descending score.
func compareScores(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return 0
}

// fillOrder takes homeZoneLen targets of the first zone and otherZoneLen of
// each other one, then fills the order with the remaining targets.
func fillOrder(ranks [][]ranked) order {
	var o order
	n := 0
	add := func(list []ranked) {
		for _, r := range list {
			if n < orderLen {
				o[n] = r.pos
				n++
			}
		}
	}
	taken := make([]int, len(ranks))
	for i, list := range ranks {
		limit := otherZoneLen
		if i == 0 {
			limit = homeZoneLen
		}
		taken[i] = min(limit, len(list))
		add(list[:taken[i]])
	}
	for i, list := range ranks {
		add(list[taken[i]:])
	}
	for ; n < orderLen; n++ {
		o[n] = noTarget
	}
	return o
}
