package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// pollInterval is how often a watching host reads the platform's store.
const pollInterval = 300 * time.Millisecond

// documents is a set of documents. The services are sorted by name.
type documents struct {
	services []document.Service
	zones    document.Zones
}

func (d *documents) clone() documents {
	return documents{services: slices.Clone(d.services), zones: d.zones}
}

// merge takes over documents of a higher generation and reports any change.
func (d *documents) merge(from *documents) bool {
	changed := false
	for i := range from.services {
		changed = d.mergeService(&from.services[i]) || changed
	}
	if from.zones.Generation > d.zones.Generation {
		d.zones = from.zones
		changed = true
	}
	return changed
}

func (d *documents) mergeService(s *document.Service) bool {
	at, found := slices.BinarySearchFunc(d.services, s.Name, func(e document.Service, name string) int {
		return cmp.Compare(e.Name, name)
	})
	switch {
	case !found:
		d.services = slices.Insert(d.services, at, *s)
		return true
	case s.Generation > d.services[at].Generation:
		d.services[at] = *s
		return true
	}
	return false
}

// digest returns a hash of the documents' names and generations.
func (d *documents) digest() uint64 {
	text := fmt.Sprintf("zones %d\n", d.zones.Generation)
	for i := range d.services {
		text += fmt.Sprintf("%s %d\n", d.services[i].Name, d.services[i].Generation)
	}
	return xxh3.HashString(text)
}

// platform is a fake of the platform's document store.
type platform struct {
	docs     documents
	outUntil time.Duration
}

// poll reads the platform's documents for a host that watches the store.
func (sim *simulation) poll(h *host) {
	if h.dead {
		return
	}
	sim.after(pollInterval, func() { sim.poll(h) })
	if h.alive(sim.now) && sim.now >= sim.platform.outUntil && h.core.IsWatcher() {
		sim.applyDocuments(h, &sim.platform.docs)
	}
}

// applyDocuments puts newer documents into force at a host.
func (sim *simulation) applyDocuments(h *host, docs *documents) {
	if !h.docs.merge(docs) {
		return
	}
	h.core.SetDocuments(sim.now, slices.Clone(h.docs.services), h.docs.zones, h.docs.digest())
}

// publishAll writes the first generation of all documents.
func (sim *simulation) publishAll() {
	sim.publishZones(0)
	for _, s := range sim.services {
		sim.publishService(s, 0)
	}
}

// publishService writes the next generation of a service's document.
func (sim *simulation) publishService(s *service, reach int) {
	s.generation++
	doc := document.Service{
		Name: s.spec.Name, Team: s.spec.Name, Generation: s.generation,
		Change:    fmt.Sprintf("%s-%d", s.spec.Name, s.generation),
		Addresses: []document.Address{{AddrPort: s.addr, Protocol: packet.ProtoTCP}},
	}
	for _, t := range s.targets {
		if !t.removed {
			doc.Targets = append(doc.Targets, sim.targetDocument(t))
		}
	}
	sim.publish(&documents{services: []document.Service{doc}}, reach)
}

func (sim *simulation) targetDocument(t *target) document.Target {
	ramp := t.ramp
	if sim.policy == PolicyNoRamp {
		ramp = 0
	}
	return document.Target{
		Name: t.name, Zone: t.zone, Tunnel: tunnelOf(t), Weight: t.weight,
		State: t.state, Limits: t.limits, Ramp: ramp,
	}
}

// publishZones writes the next generation of the zones document.
func (sim *simulation) publishZones(reach int) {
	doc := document.Zones{Generation: sim.platform.docs.zones.Generation + 1}
	doc.Change = fmt.Sprintf("zones-%d", doc.Generation)
	for _, spec := range sim.trace.Zones {
		state := document.ZoneIn
		if sim.zones[spec.Name].out {
			state = document.ZoneOut
		}
		doc.Zones = append(doc.Zones, document.Zone{Name: spec.Name, State: state})
	}
	sim.publish(&documents{zones: doc}, reach)
}

// publish writes documents to the store and delivers them at once to as many
// random hosts as reach says.
func (sim *simulation) publish(docs *documents, reach int) {
	sim.platform.docs.merge(docs)
	for _, at := range sim.rng.Perm(len(sim.hosts)) {
		h := sim.hosts[at]
		if reach == 0 {
			return
		}
		if h.alive(sim.now) {
			sim.applyDocuments(h, docs)
			reach--
		}
	}
}
