package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// zoneHeartbeatInterval is the time between heartbeats within a zone, and
	// crossZoneHeartbeatInterval between zones.
	zoneHeartbeatInterval      = time.Second
	crossZoneHeartbeatInterval = time.Second
	// heartbeatTimeout is the time without heartbeats after which a host is
	// suspected and its peers query each other about it. suspectTimeout is how
	// long they wait for a confirmation that it is alive.
	heartbeatTimeout = 2 * time.Second
	suspectTimeout   = 500 * time.Millisecond
	// maxConfirmAge is the maximum age of the last heartbeat of a host that is
	// confirmed alive to others. confirmTTL is how long such a confirmation is
	// valid.
	maxConfirmAge = 1200 * time.Millisecond
	confirmTTL    = 1200 * time.Millisecond
	// queryTTL is how long a host replies to a query about another host.
	queryTTL = 2 * time.Second
	// partitionWindow is how long a lost host counts as possibly still serving
	// on the other side of a partition.
	partitionWindow = time.Minute
	// zonePartitionWindow is the same for a zone of which all hosts are lost.
	zonePartitionWindow = 15 * time.Minute
	// helloInterval is the time between hellos to a member that is not alive.
	helloInterval = 2 * time.Second
)

// memberState is the liveness of another host, as seen from this host.
type memberState uint8

const (
	memberUnknown memberState = iota
	memberAlive
	memberSuspect
	memberDead
)

// member is another host.
type member struct {
	id            uint32
	host          peer.Host
	relay         netip.AddrPort
	state         memberState
	phase         peer.Phase
	lastHeartbeat time.Duration
	changed       time.Duration
	// The member is not declared dead before confirmedUntil, since another host,
	// confirmedBy, has confirmed it alive.
	confirmedUntil time.Duration
	confirmedBy    uint32
	nextHeartbeat  time.Duration
	nextHello      time.Duration
	nextLoads      time.Duration
	view           uint32
	documents      uint64
	nextFetch      time.Duration
	// queriedUntil is until when this host replies to queries of others about
	// the member.
	queriedUntil time.Duration
	// reportsUsLost is set while the member's last heartbeat listed this host
	// as lost: heartbeats arrive in one direction only.
	reportsUsLost bool
}

// serves reports whether the member may own targets.
func (m *member) serves() bool {
	return m.phase == peer.PhaseActive && (m.state == memberAlive || m.state == memberSuspect)
}

// direct reports whether packets can be sent to the member directly.
func (m *member) direct(now time.Duration) bool {
	return m.state == memberAlive && now-m.lastHeartbeat <= heartbeatTimeout && !m.reportsUsLost
}

// members is the set of other hosts. The balancer's mutex guards it.
type members struct {
	self uint32
	zone string
	list []*member
}

// find returns the member with the ID, or nil.
func (ms *members) find(id uint32) *member {
	for _, m := range ms.list {
		if m.id == id {
			return m
		}
	}
	return nil
}

// add adds a host, or resets a member with a new incarnation; it reports
// whether something changed.
func (ms *members) add(now time.Duration, h peer.Host) bool {
	id := HostID(h.Name)
	if id == ms.self {
		return false
	}
	relay, err := netip.ParseAddrPort(h.Relay)
	if err != nil {
		return false
	}
	m := ms.find(id)
	if m == nil {
		m = &member{id: id, host: h, relay: relay, changed: now}
		ms.list = append(ms.list, m)
		slices.SortFunc(ms.list, func(a, b *member) int { return int(int64(a.id) - int64(b.id)) })
		return true
	}
	if h.Incarnation <= m.host.Incarnation {
		return false
	}
	m.host = h
	m.relay = relay
	m.state = memberUnknown
	m.phase = peer.PhaseJoining
	m.changed = now
	return true
}

// heartbeat processes a member's heartbeat; it reports whether the set of
// serving hosts, or the way to reach them, changed.
func (ms *members) heartbeat(now time.Duration, hb *peer.Heartbeat) bool {
	m := ms.find(hb.From)
	if m == nil || hb.Incarnation < m.host.Incarnation {
		return false
	}
	before, wasDirect := m.serves(), m.direct(now)
	wasLeaving := m.phase == peer.PhaseLeaving
	m.host.Incarnation = hb.Incarnation
	m.lastHeartbeat = now
	m.state = memberAlive
	m.phase = hb.Phase
	m.view = hb.View
	m.documents = hb.Documents
	m.reportsUsLost = slices.Contains(hb.Lost, ms.self)
	for _, id := range hb.ConfirmedAlive {
		if v := ms.find(id); v != nil {
			v.confirmedUntil = now + confirmTTL
			v.confirmedBy = hb.From
		}
	}
	for _, id := range hb.Lost {
		if v := ms.find(id); v != nil {
			v.queriedUntil = now + queryTTL
		}
	}
	changed := before != m.serves() || wasDirect != m.direct(now) || wasLeaving != (m.phase == peer.PhaseLeaving)
	if changed {
		m.changed = now
	}
	return changed
}

// expire updates the states of members without recent heartbeats; it reports
// whether the set of serving hosts, or the way to reach them, changed, and
// whether a member became suspect.
func (ms *members) expire(now time.Duration) (changed, suspected bool) {
	for _, m := range ms.list {
		timedOut := now-m.lastHeartbeat > heartbeatTimeout
		switch {
		case m.state == memberAlive && timedOut:
			m.state = memberSuspect
			m.changed = now
			changed, suspected = true, true
		case m.state == memberSuspect && now-m.changed > suspectTimeout && now > m.confirmedUntil:
			m.state = memberDead
			m.changed = now
			changed = true
		}
	}
	return changed, suspected
}

// lost lists the members that are suspect or were recently declared dead.
func (ms *members) lost(now time.Duration) []uint32 {
	var ids []uint32
	for _, m := range ms.list {
		recent := m.state == memberDead && now-m.changed < partitionWindow
		if m.state == memberSuspect || recent {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// confirmed lists the members that others report as lost and from which this
// host has a recent heartbeat.
func (ms *members) confirmed(now time.Duration) []uint32 {
	var ids []uint32
	for _, m := range ms.list {
		if now < m.queriedUntil && m.state == memberAlive && now-m.lastHeartbeat <= maxConfirmAge {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// mayBePartitioned reports whether an active member was lost within
// partitionWindow, so that it may still be serving.
func (ms *members) mayBePartitioned(now time.Duration) bool {
	for _, m := range ms.list {
		if m.state == memberDead && m.phase == peer.PhaseActive && now-m.changed < partitionWindow {
			return true
		}
	}
	return false
}

// lastLost returns when an active member was last lost, -partitionWindow if
// none was.
func (ms *members) lastLost() time.Duration {
	at := -partitionWindow
	for _, m := range ms.list {
		lost := m.state == memberSuspect || m.state == memberDead
		if lost && m.phase == peer.PhaseActive {
			at = max(at, m.changed)
		}
	}
	return at
}

// lostZones returns the zones with active members that were lost within
// zonePartitionWindow.
func (ms *members) lostZones(now time.Duration) map[string]bool {
	lost := make(map[string]bool)
	for _, m := range ms.list {
		if m.state == memberDead && m.phase == peer.PhaseActive && now-m.changed < zonePartitionWindow {
			lost[m.host.Zone] = true
		}
	}
	return lost
}

// otherZoneReachable reports whether any host outside this zone is directly
// reachable.
func (ms *members) otherZoneReachable(now time.Duration) bool {
	for _, m := range ms.list {
		if m.host.Zone != ms.zone && m.direct(now) {
			return true
		}
	}
	return false
}

// isQueried reports whether another host has already queried this one about the
// member, or the member is unknown.
func (ms *members) isQueried(now time.Duration, id uint32) bool {
	m := ms.find(id)
	return m == nil || now < m.queriedUntil
}
