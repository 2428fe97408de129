package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// zoneHeartbeatInterval is the time between heartbeats inside a zone and
	// awayHeartbeatInterval between zones.
	zoneHeartbeatInterval = time.Second
	awayHeartbeatInterval = time.Second
	// silenceLimit is how long a host may be silent before its peers ask each
	// other about it, and vouchWait how long they wait for an answer.
	silenceLimit = 2 * time.Second
	vouchWait    = 500 * time.Millisecond
	// vouchAge is how lately a host must have been heard to be vouched for, and
	// vouchLength how long the word of a third host keeps a host alive.
	vouchAge    = 1200 * time.Millisecond
	vouchLength = 1200 * time.Millisecond
	// wantedLength is how long a host answers that another is alive.
	wantedLength = 2 * time.Second
	// lostMemory is how long a lost host counts as perhaps only cut off.
	lostMemory = time.Minute
	// cutMemory is how long a zone whose hosts all fell silent counts as
	// perhaps only cut off.
	cutMemory = 15 * time.Minute
	// helloInterval is the time between hellos to a host that is not heard.
	helloInterval = 2 * time.Second
)

// memberState is what this host believes of another.
type memberState uint8

const (
	memberUnheard memberState = iota
	memberAlive
	memberSuspect
	memberDead
)

// member is another host.
type member struct {
	id      uint32
	host    peer.Host
	relay   netip.AddrPort
	state   memberState
	phase   peer.Phase
	heard   time.Duration
	changed time.Duration
	// vouched is until when another host's word keeps this one alive.
	vouched   time.Duration
	voucher   uint32
	nextBeat  time.Duration
	nextHello time.Duration
	nextLoads time.Duration
	view      uint32
	documents uint64
	fetchAt   time.Duration
	// wanted is until when others ask whether this host is alive.
	wanted time.Duration
	// reported is set while the member's last heartbeat listed this host as
	// lost, so that its silence is mutual.
	reportsUsLost bool
}

// serves reports whether the member may own targets.
func (m *member) serves() bool {
	return m.phase == peer.PhaseActive && (m.state == memberAlive || m.state == memberSuspect)
}

// direct reports whether packets can be sent straight to the member.
func (m *member) direct(now time.Duration) bool {
	return m.state == memberAlive && now-m.heard <= silenceLimit && !m.reportsUsLost
}

// members is the set of other hosts. It is guarded by the balancer's mutex.
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

// add records a host; it reports whether something changed.
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
	m.state = memberUnheard
	m.phase = peer.PhaseJoining
	m.changed = now
	return true
}

// heartbeat records a member's heartbeat; it reports whether the set of hosts
// that serve, or the way to reach them, changed.
func (ms *members) heartbeat(now time.Duration, hb *peer.Heartbeat) bool {
	m := ms.find(hb.From)
	if m == nil || hb.Incarnation < m.host.Incarnation {
		return false
	}
	before, wasDirect := m.serves(), m.direct(now)
	wasLeaving := m.phase == peer.PhaseLeaving
	m.host.Incarnation = hb.Incarnation
	m.heard = now
	m.state = memberAlive
	m.phase = hb.Phase
	m.view = hb.View
	m.documents = hb.Documents
	m.reportsUsLost = slices.Contains(hb.Lost, ms.self)
	for _, id := range hb.ConfirmedAlive {
		if v := ms.find(id); v != nil {
			v.vouched = now + vouchLength
			v.voucher = hb.From
		}
	}
	for _, id := range hb.Lost {
		if v := ms.find(id); v != nil {
			v.wanted = now + wantedLength
		}
	}
	changed := before != m.serves() || wasDirect != m.direct(now) || wasLeaving != (m.phase == peer.PhaseLeaving)
	if changed {
		m.changed = now
	}
	return changed
}

// expire applies silence; it reports whether the set of hosts that serve, or
// the way to reach them, changed, and whether a host was newly suspected.
func (ms *members) expire(now time.Duration) (changed, suspected bool) {
	for _, m := range ms.list {
		silent := now-m.heard > silenceLimit
		switch {
		case m.state == memberAlive && silent:
			m.state = memberSuspect
			m.changed = now
			changed, suspected = true, true
		case m.state == memberSuspect && now-m.changed > vouchWait && now > m.vouched:
			m.state = memberDead
			m.changed = now
			changed = true
		}
	}
	return changed, suspected
}

// lost lists the members that this host has stopped hearing from.
func (ms *members) lost(now time.Duration) []uint32 {
	var ids []uint32
	for _, m := range ms.list {
		recent := m.state == memberDead && now-m.changed < lostMemory
		if m.state == memberSuspect || recent {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// vouches lists the members that others have lost and this host hears.
func (ms *members) vouches(now time.Duration) []uint32 {
	var ids []uint32
	for _, m := range ms.list {
		if now < m.wanted && m.state == memberAlive && now-m.heard <= vouchAge {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// perhapsCutOff reports whether some host was lost so lately, and without a
// planned stop, that it may still be serving.
func (ms *members) perhapsCutOff(now time.Duration) bool {
	for _, m := range ms.list {
		if m.state == memberDead && m.phase == peer.PhaseActive && now-m.changed < lostMemory {
			return true
		}
	}
	return false
}

// lostAt returns when a host last fell silent without a planned stop, a time
// before all others if none has.
func (ms *members) lostAt() time.Duration {
	at := -lostMemory
	for _, m := range ms.list {
		lost := m.state == memberSuspect || m.state == memberDead
		if lost && m.phase == peer.PhaseActive {
			at = max(at, m.changed)
		}
	}
	return at
}

// lostZones returns the zones whose hosts fell silent without a planned stop.
func (ms *members) lostZones(now time.Duration) map[string]bool {
	lost := make(map[string]bool)
	for _, m := range ms.list {
		if m.state == memberDead && m.phase == peer.PhaseActive && now-m.changed < cutMemory {
			lost[m.host.Zone] = true
		}
	}
	return lost
}

// hearsOtherZone reports whether any host outside this zone is heard.
func (ms *members) hearsOtherZone(now time.Duration) bool {
	for _, m := range ms.list {
		if m.host.Zone != ms.zone && m.direct(now) {
			return true
		}
	}
	return false
}

// isWanted reports whether this host was asked about a member already.
func (ms *members) isWanted(now time.Duration, id uint32) bool {
	m := ms.find(id)
	return m == nil || now < m.wanted
}
