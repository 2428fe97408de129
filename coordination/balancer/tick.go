package balancer

import (
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// fetchInterval is the time between fetches of documents from one host.
	fetchInterval = time.Second
	// leaveAtLeast and leaveAtMost bound a planned stop's hand-over.
	leaveAtLeast = 4 * time.Second
	leaveAtMost  = 5 * time.Minute
	// leftNotice is how long before its exit a host tells its peers to ask it
	// nothing any more.
	leftNotice = time.Second
	// watchersPerZone is the number of hosts that watch the platform's store.
	watchersPerZone = 2
)

// Tick does what is due. It must be called every 100 ms; the result is valid
// until the next call.
func (b *Balancer) Tick(now time.Duration) Outputs {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outputs = Outputs{}
	b.noticePause(now)
	b.lastTick.Store(int64(now))
	changed, suspected := b.members.expire(now)
	b.beatNow = b.beatNow || suspected
	if b.advancePhase(now) || changed || b.cutOffEnded(now) || b.dirty {
		b.dirty = false
		b.rebuild(now)
	}
	if v := b.view.Load(); v != nil && len(v.services) > 0 {
		b.balanceLoads(now, v)
		b.tellUrgent(now, v)
		b.openFreshSlots(now, v)
		b.retellReplicas(now)
		b.sweep(now, v)
	}
	b.flushFlows(now)
	b.heartbeatsDue(now)
	b.hellosDue(now)
	b.fetchesDue(now)
	return b.outputs
}

// noticePause starts the host anew after a pause in which its peers must have
// taken its targets over.
func (b *Balancer) noticePause(now time.Duration) {
	last := time.Duration(b.lastTick.Load())
	gap := now - last
	if b.started < 0 {
		b.started = now
		return
	}
	if gap <= pauseLimit {
		return
	}
	for _, m := range b.members.list {
		m.heard += gap
	}
	if gap > silenceLimit && !b.stopping() {
		b.rejoin(now)
	}
}

// rejoin forgets all flows and becomes a joining host again.
func (b *Balancer) rejoin(now time.Duration) {
	b.phase = peer.PhaseJoining
	b.started = now
	b.cfg.Host.Incarnation++
	b.flows.Clear()
	b.replicas.clear()
	for _, st := range b.targets {
		st.owner = 0
		st.whole.Store(false)
		st.covered.Store(nil)
		st.frozenFor.Store(0)
	}
	b.counters.rejoined.Add(1)
	b.beatNow = true
	b.rebuild(now)
}

// advancePhase makes a joining host active when it has documents and has had
// time to hear its peers; it reports whether the phase changed.
func (b *Balancer) advancePhase(now time.Duration) bool {
	if b.phase != peer.PhaseJoining || len(b.docs) == 0 || now-b.started < joinWait {
		return false
	}
	b.phase = peer.PhaseActive
	b.beatNow = true
	return true
}

// cutOffEnded reports whether the last lost host has been gone for so long that
// it no longer counts as perhaps serving.
func (b *Balancer) cutOffEnded(now time.Duration) bool {
	v := b.view.Load()
	return v != nil && v.perhapsCutOff && !b.members.perhapsCutOff(now)
}

// heartbeatsDue queues the heartbeats whose time has come, or all of them when
// something changed that the others should know at once.
func (b *Balancer) heartbeatsDue(now time.Duration) {
	all := b.beatNow
	b.beatNow = false
	var hb peer.Heartbeat
	var retained map[uint32][]peer.RetainedFlows
	made := false
	for _, m := range b.members.list {
		if now < m.nextBeat && !all {
			continue
		}
		m.nextBeat = now + awayHeartbeatInterval
		if m.host.Zone == b.cfg.Host.Zone {
			m.nextBeat = now + zoneHeartbeatInterval
		}
		if !made {
			hb = b.heartbeat(now)
			retained = b.retainedFlows()
			made = true
		}
		hb.Retained = retained[m.id]
		b.outputs.Heartbeats = append(b.outputs.Heartbeats, HeartbeatTo{To: m.host, Heartbeat: b.withLoads(now, m, hb)})
		b.counters.heartbeats.Add(1)
	}
}

// withLoads adds this host's loads to a heartbeat if the member has not been
// told of them lately.
func (b *Balancer) withLoads(now time.Duration, m *member, hb peer.Heartbeat) peer.Heartbeat {
	if now < m.nextLoads {
		return hb
	}
	m.nextLoads = now + loadInterval
	hb.Loads = b.loads
	return hb
}

// heartbeat returns the heartbeat to send now.
func (b *Balancer) heartbeat(now time.Duration) peer.Heartbeat {
	b.beatSeq++
	v := b.view.Load()
	hb := peer.Heartbeat{
		From:           b.id,
		Incarnation:    b.cfg.Host.Incarnation,
		Phase:          b.phase,
		Seq:            b.beatSeq,
		Documents:      b.docsDigest,
		Ramps:          b.shares(now, v),
		Lost:           b.members.lost(now),
		ConfirmedAlive: b.members.vouches(now),
	}
	if v != nil {
		hb.View = v.digest
	}
	return hb
}

// hellosDue queues hellos to hosts that are not heard.
func (b *Balancer) hellosDue(now time.Duration) {
	for _, m := range b.members.list {
		if m.state == memberAlive || now < m.nextHello {
			continue
		}
		m.nextHello = now + helloInterval
		b.outputs.Hellos = append(b.outputs.Hellos, HelloTo{
			Control: m.host.Control,
			Hello:   peer.Hello{Host: b.cfg.Host, Phase: b.phase},
		})
	}
}

// fetchesDue lists peers whose documents in force differ from those here.
func (b *Balancer) fetchesDue(now time.Duration) {
	for _, m := range b.members.list {
		differ := m.documents != b.docsDigest && m.documents != 0
		if !differ || !m.direct(now) || now < m.fetchAt {
			continue
		}
		m.fetchAt = now + fetchInterval
		b.outputs.FetchFrom = append(b.outputs.FetchFrom, m.host)
	}
}

// AddHosts records hosts that others have named; they count as alive only once
// they are heard.
func (b *Balancer) AddHosts(now time.Duration, hosts []peer.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addHosts(now, hosts)
}

func (b *Balancer) addHosts(now time.Duration, hosts []peer.Host) {
	changed := false
	for _, h := range hosts {
		changed = b.members.add(now, h) || changed
	}
	b.dirty = b.dirty || changed
}

// HandleHello records a host that introduces itself and names the hosts known
// here, this one included.
func (b *Balancer) HandleHello(now time.Duration, m peer.Hello) peer.HelloReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addHosts(now, []peer.Host{m.Host})
	reply := peer.HelloReply{Hosts: []peer.Host{b.cfg.Host}}
	for _, known := range b.members.list {
		if known.state == memberAlive {
			reply.Hosts = append(reply.Hosts, known.host)
		}
	}
	return reply
}

// HandleHelloReply records the hosts that a peer knows.
func (b *Balancer) HandleHelloReply(now time.Duration, m peer.HelloReply) {
	b.AddHosts(now, m.Hosts)
}

// HandleHeartbeat records a peer's heartbeat.
func (b *Balancer) HandleHeartbeat(now time.Duration, m peer.Heartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	asked := slices.ContainsFunc(m.Lost, func(id uint32) bool { return id != b.id && !b.members.isWanted(now, id) })
	changed := b.members.heartbeat(now, &m)
	b.hearShares(now, &m)
	b.heardLoads.hear(now, m.From, m.Loads)
	b.hearRetained(now, m.Retained)
	b.beatNow = b.beatNow || asked
	b.dirty = b.dirty || changed || len(m.ConfirmedAlive) > 0
}

// HandleFlows records what the owner of a target says about its flows.
func (b *Balancer) HandleFlows(_ time.Duration, m peer.Flows) {
	for i := range m.Targets {
		t := &m.Targets[i]
		if !b.replicas.apply(t.Target, t.Add, t.End) {
			b.counters.badMessages.Add(1)
			continue
		}
		b.passOn(m.From, t)
	}
}

// Leave begins a planned stop: the host's targets go to their successors and
// flows are handed over as their packets come.
func (b *Balancer) Leave(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping() {
		return
	}
	b.phase = peer.PhaseLeaving
	b.leaveAt = now
	b.beatNow = true
	b.rebuild(now)
}

// Left reports whether a planned stop may end: the successors know what they
// need, or the time for it is over, and the peers had time to hear of it.
func (b *Balancer) Left(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.phase == peer.PhaseLeft {
		return now-b.leftAt >= leftNotice
	}
	gone := now - b.leaveAt
	over := gone >= leaveAtMost || (gone >= leaveAtLeast && !b.hasUntold())
	if b.phase == peer.PhaseLeaving && over {
		b.phase = peer.PhaseLeft
		b.leftAt = now
		b.beatNow = true
	}
	return false
}

// stopping reports whether a planned stop has begun.
func (b *Balancer) stopping() bool {
	return b.phase == peer.PhaseLeaving || b.phase == peer.PhaseLeft
}

// IsWatcher reports whether this host should watch the platform's store for
// its zone.
func (b *Balancer) IsWatcher() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.phase != peer.PhaseActive {
		return len(b.docs) == 0
	}
	const watchKey = 0x646f6373
	mine := rendezvous.Mix(watchKey, uint64(b.id))
	better := 0
	for _, h := range b.servingHosts() {
		if h.zone == b.cfg.Host.Zone && rendezvous.Mix(watchKey, uint64(h.id)) > mine {
			better++
		}
	}
	return better < watchersPerZone
}
