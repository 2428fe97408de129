package balancer

import (
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/rendezvous"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// fetchInterval is the time between document fetches from one host.
	fetchInterval = time.Second
	// minLeaveTime and maxLeaveTime bound the handover of a planned stop.
	minLeaveTime = 4 * time.Second
	maxLeaveTime = 5 * time.Minute
	// leftNoticeTime is how long a host waits before its exit after announcing
	// PhaseLeft, so that its peers stop querying it.
	leftNoticeTime = time.Second
	// watchersPerZone is the number of hosts per zone that watch the platform's
	// store.
	watchersPerZone = 2
)

// Tick performs all periodic work. It must be called every 100 ms; the result
// is valid until the next call.
func (b *Balancer) Tick(now time.Duration) Outputs {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outputs = Outputs{}
	b.detectPause(now)
	b.lastTick.Store(int64(now))
	changed, suspected := b.members.expire(now)
	b.heartbeatNow = b.heartbeatNow || suspected
	if b.advancePhase(now) || changed || b.partitionWindowEnded(now) || b.dirty {
		b.dirty = false
		b.rebuild(now)
	}
	if v := b.view.Load(); v != nil && len(v.services) > 0 {
		b.balanceLoads(now, v)
		b.replicateUrgent(now, v)
		b.openGatedSlots(now, v)
		b.sendBackfill(now)
		b.sweep(now, v)
	}
	b.flushFlows(now)
	b.queueHeartbeats(now)
	b.queueHellos(now)
	b.queueFetches(now)
	return b.outputs
}

// detectPause detects that the process was paused. After a pause in which its
// peers have taken over its targets, the host rejoins.
func (b *Balancer) detectPause(now time.Duration) {
	last := time.Duration(b.lastTick.Load())
	gap := now - last
	if b.started < 0 {
		b.started = now
		return
	}
	if gap <= maxTickGap {
		return
	}
	for _, m := range b.members.list {
		m.lastHeartbeat += gap
	}
	if gap > heartbeatTimeout && !b.stopping() {
		b.rejoin(now)
	}
}

// rejoin drops all flows and replicas and makes the host a joining one with a
// new incarnation.
func (b *Balancer) rejoin(now time.Duration) {
	b.phase = peer.PhaseJoining
	b.started = now
	b.cfg.Host.Incarnation++
	b.flows.Clear()
	b.replicas.clear()
	for _, st := range b.targets {
		st.owner = 0
		st.complete.Store(false)
		st.covered.Store(nil)
		st.handedTo.Store(0)
	}
	b.counters.rejoined.Add(1)
	b.heartbeatNow = true
	b.rebuild(now)
}

// advancePhase makes a joining host active once it has documents and has waited
// minJoinTime for heartbeats; it reports whether the phase changed.
func (b *Balancer) advancePhase(now time.Duration) bool {
	if b.phase != peer.PhaseJoining || len(b.docs) == 0 || now-b.started < minJoinTime {
		return false
	}
	b.phase = peer.PhaseActive
	b.heartbeatNow = true
	return true
}

// partitionWindowEnded reports whether the view counts lost hosts as possibly
// serving and all of them were lost more than partitionWindow ago.
func (b *Balancer) partitionWindowEnded(now time.Duration) bool {
	v := b.view.Load()
	return v != nil && v.mayBePartitioned && !b.members.mayBePartitioned(now)
}

// queueHeartbeats queues the heartbeats that are due, or all of them after a
// change that peers need at once.
func (b *Balancer) queueHeartbeats(now time.Duration) {
	all := b.heartbeatNow
	b.heartbeatNow = false
	var hb peer.Heartbeat
	var retained map[uint32][]peer.RetainedFlows
	made := false
	for _, m := range b.members.list {
		if now < m.nextHeartbeat && !all {
			continue
		}
		m.nextHeartbeat = now + crossZoneHeartbeatInterval
		if m.host.Zone == b.cfg.Host.Zone {
			m.nextHeartbeat = now + zoneHeartbeatInterval
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

// withLoads adds this host's loads to a heartbeat once per loadInterval and
// member.
func (b *Balancer) withLoads(now time.Duration, m *member, hb peer.Heartbeat) peer.Heartbeat {
	if now < m.nextLoads {
		return hb
	}
	m.nextLoads = now + loadInterval
	hb.Loads = b.loads
	return hb
}

// heartbeat returns the next heartbeat, without the parts that differ by
// receiver.
func (b *Balancer) heartbeat(now time.Duration) peer.Heartbeat {
	b.heartbeatSeq++
	v := b.view.Load()
	hb := peer.Heartbeat{
		From:           b.id,
		Incarnation:    b.cfg.Host.Incarnation,
		Phase:          b.phase,
		Seq:            b.heartbeatSeq,
		Documents:      b.docsDigest,
		Ramps:          b.targetRamps(now, v),
		Lost:           b.members.lost(now),
		ConfirmedAlive: b.members.confirmed(now),
	}
	if v != nil {
		hb.View = v.digest
	}
	return hb
}

// queueHellos queues hellos to members that are not alive.
func (b *Balancer) queueHellos(now time.Duration) {
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

// queueFetches lists the reachable peers whose documents in force differ from
// those of this host.
func (b *Balancer) queueFetches(now time.Duration) {
	for _, m := range b.members.list {
		differ := m.documents != b.docsDigest && m.documents != 0
		if !differ || !m.direct(now) || now < m.nextFetch {
			continue
		}
		m.nextFetch = now + fetchInterval
		b.outputs.FetchFrom = append(b.outputs.FetchFrom, m.host)
	}
}

// AddHosts adds hosts to the members. They count as alive only after their
// first heartbeat.
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

// HandleHello adds the sender to the members. The reply lists this host and the
// members that are alive.
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

// HandleHelloReply adds the hosts in the reply to the members.
func (b *Balancer) HandleHelloReply(now time.Duration, m peer.HelloReply) {
	b.AddHosts(now, m.Hosts)
}

// HandleHeartbeat processes a peer's heartbeat.
func (b *Balancer) HandleHeartbeat(now time.Duration, m peer.Heartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	queried := slices.ContainsFunc(m.Lost, func(id uint32) bool { return id != b.id && !b.members.isQueried(now, id) })
	changed := b.members.heartbeat(now, &m)
	b.recordRamps(now, &m)
	b.peerLoads.record(now, m.From, m.Loads)
	b.recordRetained(now, m.Retained)
	b.heartbeatNow = b.heartbeatNow || queried
	b.dirty = b.dirty || changed || len(m.ConfirmedAlive) > 0
}

// HandleFlows applies a replication message to the replicas of this host.
func (b *Balancer) HandleFlows(_ time.Duration, m peer.Flows) {
	for i := range m.Targets {
		t := &m.Targets[i]
		if !b.replicas.apply(t.Target, t.Add, t.End) {
			b.counters.badMessages.Add(1)
			continue
		}
		b.forwardLateFlows(m.From, t)
	}
}

// Leave starts a planned stop: the host's targets pass to their successors, and
// flows are handed over when their next packets arrive.
func (b *Balancer) Leave(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping() {
		return
	}
	b.phase = peer.PhaseLeaving
	b.leaveStarted = now
	b.heartbeatNow = true
	b.rebuild(now)
}

// Left reports whether the process may exit after Leave. This host announces
// PhaseLeft once all flows that need it are replicated or maxLeaveTime is over,
// and may exit leftNoticeTime later.
func (b *Balancer) Left(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.phase == peer.PhaseLeft {
		return now-b.leftAt >= leftNoticeTime
	}
	elapsed := now - b.leaveStarted
	done := elapsed >= maxLeaveTime || (elapsed >= minLeaveTime && !b.hasUnreplicated())
	if b.phase == peer.PhaseLeaving && done {
		b.phase = peer.PhaseLeft
		b.leftAt = now
		b.heartbeatNow = true
	}
	return false
}

// stopping reports whether a planned stop has begun.
func (b *Balancer) stopping() bool {
	return b.phase == peer.PhaseLeaving || b.phase == peer.PhaseLeft
}

// IsWatcher reports whether this host should watch the platform's store for its
// zone.
func (b *Balancer) IsWatcher() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.phase != peer.PhaseActive {
		return len(b.docs) == 0
	}
	const watchKey = 0x646f6373 // "docs" in ASCII
	ownScore := rendezvous.Mix(watchKey, uint64(b.id))
	higher := 0
	for _, h := range b.servingHosts() {
		if h.zone == b.cfg.Host.Zone && rendezvous.Mix(watchKey, uint64(h.id)) > ownScore {
			higher++
		}
	}
	return higher < watchersPerZone
}
