package balancer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// maxOwners is the number of hosts kept for each target: its owner and the
// owner's successors.
const maxOwners = 3

// view is the state that the packet path reads. It is immutable; a change of
// documents or hosts creates a new one.
type view struct {
	digest  uint32
	changed time.Duration
	// active is set while this host may own targets.
	active    bool
	hosts     map[uint32]hostRoute
	endpoints map[packet.Endpoint]*endpointView
	// targets is indexed by targetState.index; entries are never nil.
	targets  []*targetView
	services []*serviceView
	ids      map[uint64]*targetView
	// lastLost is when an active host was last lost.
	lastLost time.Duration
	// otherZoneReachable is set while some host of another zone is reachable.
	otherZoneReachable bool
	// degraded is set while some active host is not directly reachable.
	degraded bool
	// mayBePartitioned is set while a lost host may still be serving.
	mayBePartitioned bool
}

// hostRoute is the next hop to a host: the host itself, or another host that
// still receives its heartbeats. next is zero if there is none.
type hostRoute struct {
	next uint32
	dest netip.AddrPort
	// sameZone is set for a directly reachable host of this host's zone.
	sameZone bool
}

// endpointView is one address, port and protocol with its service.
type endpointView struct {
	index   uint32
	service *serviceView
}

// serviceView is a service in force.
type serviceView struct {
	name         string
	counts       *serviceCounters
	idempotent   bool
	orders       []order
	formerFirsts *formerFirsts
	// changed is when the orders changed last.
	changed time.Duration
	targets []*targetView
}

// targetView is a target in force, or one that was removed from its document
// and may still have flows (removed).
type targetView struct {
	index     uint32
	id        uint64
	name      string
	service   *serviceView
	zone      string
	tunnel    netip.AddrPort
	weight    int
	accepting bool
	zoneOut   bool
	removed   bool
	// owners holds the first serving hosts in the target's rendezvous order:
	// its owner, then the owner's successors. crossZone is set if the owner is
	// not in the target's zone.
	owners [maxOwners]uint32
	// leavingOwner is a host in a planned stop that owned the target and may
	// still hold its flows, 0 if there is none.
	leavingOwner uint32
	crossZone    bool
	// partitioned is set while every host of the target's zone is lost: they
	// may still be serving the target's flows.
	partitioned bool
	owned       bool
	state       *targetState
}

// owner returns the ID of the host that owns the target, 0 if there is none.
func (t *targetView) owner() uint32 {
	return t.owners[0]
}

// candidateHost is a host that may own targets or is leaving.
type candidateHost struct {
	id      uint32
	zone    string
	leaving bool
}

// servingHosts lists the hosts that may own targets, this one included.
func (b *Balancer) servingHosts() []candidateHost {
	var hosts []candidateHost
	if b.phase == peer.PhaseActive {
		hosts = append(hosts, candidateHost{id: b.id, zone: b.cfg.Host.Zone})
	}
	for _, m := range b.members.list {
		if m.serves() {
			hosts = append(hosts, candidateHost{id: m.id, zone: m.host.Zone})
		}
	}
	slices.SortFunc(hosts, func(a, b candidateHost) int { return cmp.Compare(a.id, b.id) })
	return hosts
}

// leavingHosts lists the hosts in a planned stop that are still alive.
func (b *Balancer) leavingHosts() []candidateHost {
	var hosts []candidateHost
	for _, m := range b.members.list {
		if m.phase == peer.PhaseLeaving && m.state == memberAlive {
			hosts = append(hosts, candidateHost{id: m.id, zone: m.host.Zone, leaving: true})
		}
	}
	return hosts
}

// rebuild creates the view of the current documents and members and puts it in
// force.
func (b *Balancer) rebuild(now time.Duration) {
	hosts := b.servingHosts()
	v := &view{
		changed:            now,
		active:             b.phase == peer.PhaseActive,
		hosts:              make(map[uint32]hostRoute, len(b.members.list)),
		endpoints:          make(map[packet.Endpoint]*endpointView),
		otherZoneReachable: b.members.otherZoneReachable(now),
		mayBePartitioned:   b.members.mayBePartitioned(now),
		lastLost:           b.members.lastLost(),
	}
	b.addRoutes(v, now)
	lost := b.members.lostZones(now)
	digest := b.viewDigest(hosts)
	hosts = append(hosts, b.leavingHosts()...)
	for i := range b.docs {
		b.addService(v, &b.docs[i], hosts, lost)
	}
	b.addRemovedTargets(v, hosts, lost)
	v.digest = digest
	old := b.view.Load()
	if old != nil && old.digest == v.digest {
		v.changed = old.changed
	}
	b.updateOwnership(now, v)
	b.view.Store(v)
}

// addRoutes adds the route to each member.
func (b *Balancer) addRoutes(v *view, now time.Duration) {
	for _, m := range b.members.list {
		var route hostRoute
		switch via := b.members.find(m.confirmedBy); {
		case m.direct(now):
			route = hostRoute{next: m.id, dest: m.relay, sameZone: m.host.Zone == b.cfg.Host.Zone}
		case via != nil && now < m.confirmedUntil && via.direct(now):
			route = hostRoute{next: via.id, dest: via.relay}
		}
		v.degraded = v.degraded || (m.state != memberUnknown && m.phase == peer.PhaseActive && route.next != m.id)
		v.hosts[m.id] = route
	}
}

// addService adds a service document with its targets and their owners.
func (b *Balancer) addService(v *view, d *serviceDoc, hosts []candidateHost, lost map[string]bool) {
	s := &serviceView{
		name: d.doc.Name, counts: b.internService(d.doc.Name), idempotent: d.doc.Idempotent,
		orders: d.orders, formerFirsts: d.formerFirsts, changed: d.changed,
	}
	for i := range d.doc.Targets {
		t := &d.doc.Targets[i]
		state := b.internTarget(TargetID(d.doc.Name, t.Name))
		tv := &targetView{
			index:     state.index,
			id:        state.id,
			name:      t.Name,
			service:   s,
			zone:      t.Zone,
			tunnel:    t.Tunnel,
			weight:    t.Weight,
			accepting: t.State != document.TargetDraining,
			zoneOut:   b.zonesOut[t.Zone],
			state:     state,
		}
		setOwners(tv, hosts, b.id)
		tv.partitioned = tv.crossZone && lost[t.Zone]
		s.targets = append(s.targets, tv)
		state.last = tv
		state.config = admissionConfig(state.id, t)
	}
	v.services = append(v.services, s)
	for _, a := range d.doc.Addresses {
		ep := packet.NewEndpoint(a.AddrPort, a.Protocol)
		v.endpoints[ep] = &endpointView{index: b.internEndpoint(ep), service: s}
	}
}

// addRemovedTargets keeps targets that were removed from their document, so
// that their remaining flows are served.
func (b *Balancer) addRemovedTargets(v *view, hosts []candidateHost, lost map[string]bool) {
	v.targets = make([]*targetView, len(b.targets))
	for _, s := range v.services {
		for _, t := range s.targets {
			v.targets[t.index] = t
		}
	}
	for i, st := range b.targets {
		if v.targets[i] != nil {
			continue
		}
		tv := *st.last
		tv.accepting, tv.removed = false, true
		tv.zoneOut = b.zonesOut[tv.zone]
		setOwners(&tv, hosts, b.id)
		tv.partitioned = tv.crossZone && lost[tv.zone]
		v.targets[i] = &tv
	}
	v.ids = make(map[uint64]*targetView, len(v.targets))
	for _, t := range v.targets {
		v.ids[t.id] = t
	}
}

// setOwners sets the owners of a target: hosts of its zone rank before all
// others.
func setOwners(t *targetView, hosts []candidateHost, self uint32) {
	var best [maxOwners]rankedHost
	var leaver rankedHost
	n := 0
	for i := range hosts {
		r := rankHost(t, &hosts[i])
		switch {
		case !hosts[i].leaving:
			n = insertRanked(&best, n, r)
		case leaver.id == 0 || r.before(&leaver):
			leaver = r
		}
	}
	for i := range n {
		t.owners[i] = best[i].id
	}
	if leaver.id != 0 && (n == 0 || leaver.before(&best[0])) {
		t.leavingOwner = leaver.id
	}
	t.crossZone = n > 0 && best[0].otherZone
	t.owned = t.owners[0] == self
}

// rankedHost is a host with its rank in a target's rendezvous order: hosts of
// the target's zone first, then by descending score.
type rankedHost struct {
	id        uint32
	otherZone bool
	score     uint64
}

func rankHost(t *targetView, h *candidateHost) rankedHost {
	return rankedHost{id: h.id, otherZone: h.zone != t.zone, score: rendezvous.Mix(t.id, uint64(h.id))}
}

// before reports whether the host ranks before the other.
func (r *rankedHost) before(other *rankedHost) bool {
	if r.otherZone != other.otherZone {
		return other.otherZone
	}
	return r.score > other.score
}

// insertRanked inserts a host into the n best ones and returns their new
// number.
func insertRanked(best *[maxOwners]rankedHost, n int, r rankedHost) int {
	at := n
	for at > 0 && r.before(&best[at-1]) {
		at--
	}
	if at == maxOwners {
		return n
	}
	n = min(n+1, maxOwners)
	copy(best[at+1:n], best[at:n-1])
	best[at] = r
	return n
}

// viewDigest returns a digest that is equal on two hosts with the same serving
// hosts and documents, which make the same decisions.
func (b *Balancer) viewDigest(hosts []candidateHost) uint32 {
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	write := func(x uint64) {
		for i := range buf {
			buf[i] = byte(x >> (8 * i))
		}
		_, _ = d.Write(buf[:])
	}
	for _, h := range hosts {
		write(uint64(h.id))
	}
	write(b.docsDigest)
	return uint32(d.Sum64()) | 1
}
