package peers

import "time"

// StoreAccess is what a host knows of its own access to the store.
type StoreAccess struct {
	// Answers is set unless the host's last call to the store failed, which may be long
	// ago.
	Answers bool
	// Leaving is set if the host is shutting down as planned.
	Leaving bool
	// LastRead is when the store last answered a call of the host, valid if HasRead is
	// set.
	LastRead time.Duration
	HasRead  bool
}

// able reports whether the host may be able to read the store for its zone.
func (a StoreAccess) able() bool { return a.Answers && !a.Leaving }

// fresh reports whether the host has shown lately that it can.
func (a StoreAccess) fresh(now time.Duration) bool {
	return a.able() && a.HasRead && now < a.LastRead+maxReadAge
}

// ReadsStore reports whether this host reads the store for its zone, or reads it to show
// that it can before it becomes the reader. Callers call it once a round.
func (p *Peers) ReadsStore(now time.Duration, access StoreAccess) bool {
	if !p.large() {
		p.leads = false
		return p.readsForSmallZone(now, access.Answers, access.Leaving)
	}
	role := p.roleInLargeZone(now, access)
	if leads := role == roleReader; leads != p.leads {
		p.leads, p.leadsSince = leads, now
	}
	return role != roleFollower
}

// readsForSmallZone decides by the heartbeats of all hosts: the reader is the
// first, in the order of readers, of the live hosts that can read the store. A
// host that sees no other such host reads the store itself.
func (p *Peers) readsForSmallZone(now time.Duration, storeAnswers, leaving bool) bool {
	window := p.reportWindow()
	for _, other := range p.zonePeers() {
		if !p.reports(now, other, window) || !other.able() {
			continue
		}
		if !storeAnswers || leaving || ranksBefore(other.host, p.self) {
			return false
		}
	}
	return true
}

// role is what a host of a large zone does about the store.
type role int

const (
	// roleFollower waits for the reader's feeds.
	roleFollower role = iota
	// roleCandidate reads the store, and becomes the reader if the store answers.
	roleCandidate
	// roleReader reads the store for the zone and sends its digests.
	roleReader
)

// roleInLargeZone decides by the digests of the zone's reader and by what this host has
// read itself. A host becomes the reader in place of another one only after the store has
// answered it: its last call may be long ago.
func (p *Peers) roleInLargeZone(now time.Duration, access StoreAccess) role {
	reader := p.reader(now)
	switch {
	case reader == nil:
		p.unableSince, p.staleSince = 0, 0
		return p.roleWithoutReader(now, access)
	case reader.fresh(now):
		p.unableSince, p.staleSince = 0, 0
		return p.roleBesideReader(now, access, reader)
	}
	return p.roleBesideStaleReader(now, access, reader)
}

// roleBesideReader is the role while another host reads the store: this one replaces it
// if it comes before it in the order of readers.
func (p *Peers) roleBesideReader(now time.Duration, access StoreAccess, reader *peer) role {
	switch {
	case !access.able() || !ranksBefore(p.self, reader.host):
		return roleFollower
	case access.fresh(now) && (p.leads || p.Settled(now)):
		return roleReader
	case p.Settled(now):
		return roleCandidate
	}
	return roleFollower
}

// roleBesideStaleReader is the role while the host that acts as the reader has not read
// the store for long, or says that the store does not answer it.
func (p *Peers) roleBesideStaleReader(now time.Duration, access StoreAccess, reader *peer) role {
	if p.staleSince == 0 {
		p.staleSince = now
	}
	if reader.able() {
		p.unableSince = 0
	} else if p.unableSince == 0 {
		p.unableSince = now
	}
	switch {
	case access.fresh(now) && (p.leads || now >= p.staleSince+p.lateReadWait()):
		return roleReader
	case p.leads && !access.Leaving && ranksBefore(p.self, reader.host):
		return roleReader
	case access.able() && !reader.able() && now >= p.unableSince+p.takeoverWait():
		return roleCandidate
	}
	return roleFollower
}

// roleWithoutReader is the role while no other host acts as the reader. The zone needs
// digests also if the store answers none of its hosts.
func (p *Peers) roleWithoutReader(now time.Duration, access StoreAccess) role {
	if p.leads && !access.Leaving {
		return roleReader
	}
	wait := digestTimeout + p.takeoverWait()
	if !access.able() {
		wait += unableDelay
	}
	if now >= p.readerSeen+wait {
		return roleReader
	}
	return roleFollower
}
