package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// recoveryGrace is the time after the store is reachable again until which a
	// host has to have read everything before a missing target counts as gone:
	// targets rewrite entries that expired meanwhile within 2 s.
	recoveryGrace = 2500 * time.Millisecond
	// warmUpTolerance is how much later the expected end of a target's warm-up
	// may become without counting as a change: heartbeats are read with a varying
	// delay.
	warmUpTolerance = 2 * time.Second
	// goneRetention is how long a gone target is kept, for packets of its flows:
	// no flow outlives its target by more than this.
	goneRetention = 60 * time.Second
)

// Entry is a target with its state as seen by this host.
type Entry struct {
	Target
	// HeartbeatAt is when this host read the target's last heartbeat.
	HeartbeatAt time.Duration
	// ColdUntil is when the target is expected to be warm.
	ColdUntil time.Duration
	// Missing is set while the store has no usable entry of the target but one
	// may follow: the entry expired while the store was unreachable, or another
	// writer replaced it.
	Missing bool
	// Gone is set when the target has left or died.
	Gone bool
	// Since is when Missing or Gone was set.
	Since time.Duration
}

// View is an immutable snapshot of a directory.
type View struct {
	// Number increases with each view of a process.
	Number  uint64
	Config  Config
	Targets []Entry
	// ZonesOut is the set of availability zones that take no new flows.
	ZonesOut map[string]bool
}

// Directory builds views from the entries read from the store. It is not safe
// for concurrent use.
type Directory struct {
	config   Config
	targets  map[TargetKey]*Entry
	zonesOut map[string]bool
	// hasConfig is set once the configuration is known, listed once all targets and
	// zones are.
	hasConfig, listed bool
	// storeLost is set while the store is unreachable. storeRegainedAt is when it
	// was last reachable again.
	storeLost       bool
	storeRegainedAt time.Duration
	// storeWasLost is set once the store has ever been unreachable.
	storeWasLost bool
	number       uint64
	changed      bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{targets: map[TargetKey]*Entry{}, zonesOut: map[string]bool{}}
}

// Ready reports whether the configuration, the targets and the zones have each
// been read completely once.
func (d *Directory) Ready() bool {
	return d.hasConfig && d.listed
}

// StoreLost records that the store is unreachable and reports whether that is
// new.
func (d *Directory) StoreLost() bool {
	first := !d.storeLost
	d.storeLost = true
	d.storeWasLost = true
	return first
}

// StoreRegained records that the store is reachable and reports whether that is
// new.
func (d *Directory) StoreRegained(now time.Duration) bool {
	if !d.storeLost {
		return false
	}
	d.storeLost = false
	d.storeRegainedAt = now
	return true
}

// ExpectRewrites begins recoveryGrace as if the store had just become reachable
// again: an entry that the store lacks may be written again soon, so its target is
// missing rather than gone. An outage that lasts goes on.
func (d *Directory) ExpectRewrites(now time.Duration) {
	d.storeWasLost = true
	d.storeRegainedAt = now
}

// KeepsTarget reports whether what is known of a target is newer than its entry in
// a copy of the store: the target has left, drains, has restarted or has written a
// later heartbeat. A newer incarnation is never older than what is known.
func (d *Directory) KeepsTarget(copied Target) bool {
	known := d.targets[copied.Key]
	if known == nil || copied.Started > known.Started {
		return false
	}
	return known.Gone || (known.Draining && !copied.Draining) ||
		copied.Started < known.Started || copied.Heartbeats < known.Heartbeats
}

// SetConfig replaces the configuration if the version is newer and reports
// whether it did.
func (d *Directory) SetConfig(c Config) bool {
	d.hasConfig = true
	if c.Version <= d.config.Version {
		return false
	}
	d.config = c
	d.changed = true
	return true
}

// ConfigVersion returns the version of the current configuration, 0 if there is
// none.
func (d *Directory) ConfigVersion() uint64 { return d.config.Version }

// SetListed records that all targets and zones of the store are known.
func (d *Directory) SetListed() { d.listed = true }

// SetZone sets whether a zone is out, that is, takes no new flows. It reports
// whether that changed.
func (d *Directory) SetZone(zone string, out bool) bool {
	if d.zonesOut[zone] == out {
		return false
	}
	zones := maps.Clone(d.zonesOut)
	if out {
		zones[zone] = true
	} else {
		delete(zones, zone)
	}
	d.zonesOut = zones
	d.changed = true
	return true
}

// Change classifies an update of a target.
type Change uint8

// Changes of a target.
const (
	// ChangeNone is a heartbeat without any other change.
	ChangeNone Change = iota
	// ChangeNew is a target that was unknown or gone.
	ChangeNew
	// ChangeRestarted is a new incarnation under a known key.
	ChangeRestarted
	// ChangeMoved is a changed service, zone or address under a known key.
	ChangeMoved
	// ChangeDraining is a target that starts to drain.
	ChangeDraining
	// ChangeReturned is a missing target that has an entry again.
	ChangeReturned
	// ChangeCold is a target that warms up again, or for longer than expected.
	ChangeCold
	// ChangeOther is any other difference.
	ChangeOther
)

// String returns the name used in logs.
func (c Change) String() string {
	names := [...]string{"none", "new", "restarted", "moved", "draining", "returned", "cold", "other"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// PutTarget records a target's entry, read at the time now, and returns what
// changed.
func (d *Directory) PutTarget(now time.Duration, t Target) Change {
	old := d.targets[t.Key]
	e := &Entry{Target: t, HeartbeatAt: now}
	if t.WarmUpLeft > 0 {
		e.ColdUntil = now + t.WarmUpLeft
	}
	change := classifyChange(now, old, t)
	if change == ChangeNone && old.Heartbeats == t.Heartbeats {
		return ChangeNone // the same heartbeat was read twice
	}
	d.targets[t.Key] = e
	d.changed = true
	return change
}

func classifyChange(now time.Duration, old *Entry, t Target) Change {
	switch {
	case old == nil || old.Gone:
		return ChangeNew
	case old.Started != t.Started || t.Heartbeats < old.Heartbeats:
		return ChangeRestarted
	case old.Service != t.Service || old.Zone != t.Zone || old.Addr != t.Addr:
		return ChangeMoved
	case t.Draining && !old.Draining:
		return ChangeDraining
	case old.Missing:
		return ChangeReturned
	case t.WarmUpLeft > 0 && now+t.WarmUpLeft > old.ColdUntil+warmUpTolerance:
		return ChangeCold
	case old.Draining != t.Draining || old.Slots != t.Slots || old.Number != t.Number:
		return ChangeOther
	}
	return ChangeNone
}

// Removal is what became of a target whose entry the store no longer has.
type Removal uint8

const (
	// RemovalNone is a target that was unknown, missing or gone before.
	RemovalNone Removal = iota
	// RemovalMissing is a target that may write its entry again; its flows are kept.
	RemovalMissing
	// RemovalGone is a target that has left or died.
	RemovalGone
)

// String returns the name used in logs.
func (r Removal) String() string {
	names := [...]string{"none", "missing", "gone"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// RemoveTarget records that the store has no entry of a target any more. known is
// the time up to which all earlier changes were read: the removal may have been
// written at any time since. The target is gone at once, or missing if the store is
// unreachable or known is before the end of recoveryGrace. RemoveTarget returns
// what became of the target.
func (d *Directory) RemoveTarget(now, known time.Duration, key TargetKey) Removal {
	old := d.targets[key]
	if old == nil || old.Gone || old.Missing {
		return RemovalNone
	}
	removal := RemovalGone
	if d.storeLost || (d.storeWasLost && known < d.storeRegainedAt+recoveryGrace) {
		removal = RemovalMissing
	}
	e := *old
	e.Since = now
	e.Missing, e.Gone = removal == RemovalMissing, removal == RemovalGone
	d.targets[key] = &e
	d.changed = true
	return removal
}

// MarkTargetMissing records that a target's entry can't be decoded: another
// writer may have replaced it. The target counts as missing until it writes its
// entry again.
func (d *Directory) MarkTargetMissing(now time.Duration, key TargetKey) {
	old := d.targets[key]
	if old == nil || old.Gone || old.Missing {
		return
	}
	e := *old
	e.Missing, e.Since = true, now
	d.targets[key] = &e
	d.changed = true
}

// Sweep marks targets as gone that are still missing although everything was read
// that was written until the end of their grace, and drops those that have been gone
// for goneRetention. known is the time up to which all writes were read. Sweep returns
// the keys of the newly gone targets.
func (d *Directory) Sweep(now, known time.Duration) []TargetKey {
	var gone []TargetKey
	for key, e := range d.targets {
		switch {
		case e.Gone && now >= e.Since+goneRetention:
			delete(d.targets, key)
			d.changed = true
		case e.Missing && !d.storeLost && known >= max(d.storeRegainedAt, e.Since)+recoveryGrace:
			updated := *e
			updated.Missing, updated.Gone, updated.Since = false, true, now
			d.targets[key] = &updated
			d.changed = true
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	return gone
}

// Size returns the number of targets, those that are gone included.
func (d *Directory) Size() int { return len(d.targets) }

// IsMissing reports whether a target is missing.
func (d *Directory) IsMissing(key TargetKey) bool {
	e := d.targets[key]
	return e != nil && e.Missing
}

// TargetKeys returns the keys of the targets that are not gone.
func (d *Directory) TargetKeys() []TargetKey {
	var keys []TargetKey
	for key, e := range d.targets {
		if !e.Gone {
			keys = append(keys, key)
		}
	}
	return keys
}

// Checksum returns a checksum of the targets that have a usable entry in the
// store. Directories with the same entries have the same checksum.
func (d *Directory) Checksum() uint64 {
	var sum uint64
	for key, e := range d.targets {
		if !e.Gone && !e.Missing {
			sum ^= xxh3.HashString(fmt.Sprintf("%s/%d/%t", key, e.Started, e.Draining))
		}
	}
	return sum
}

// View returns a new view if anything has changed since the last one, else nil.
func (d *Directory) View() *View {
	if !d.changed {
		return nil
	}
	d.changed = false
	d.number++
	v := &View{Number: d.number, Config: d.config, ZonesOut: d.zonesOut}
	v.Targets = make([]Entry, 0, len(d.targets))
	for _, e := range d.targets {
		v.Targets = append(v.Targets, *e)
	}
	slices.SortFunc(v.Targets, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return v
}
