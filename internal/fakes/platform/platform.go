// Package platform is a fake of the platform's key-value service, for tests and
// the demo. A Platform holds the values and the injected faults; Server
// implements the part of Consul's HTTP API that package consul uses, and Memory
// implements the store interfaces directly.
//
// The list of live and leaving hosts is at the key store.HostsKey.
package platform

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/hostlist"
)

// Platform is the in-memory key-value service. It is safe for concurrent use.
type Platform struct {
	mu          sync.Mutex
	now         func() time.Time
	clockOffset time.Duration
	view        view
	leases      map[store.LeaseID]lease
	// lastLease is the number of the most recent lease.
	lastLease int
	// changed is closed and replaced on each change, to wake blocked watches.
	changed chan struct{}
	// staleView, if set, is read in place of view.
	staleView *view
	faults    Faults
	calls     map[store.Op]uint64
	// undo holds how to revert each change, oldest first.
	undo []undoStep
	// undoTrimmed is set once the oldest steps were dropped.
	undoTrimmed bool
}

// view is one version of the stored data.
type view struct {
	// epoch counts the restores from older copies.
	epoch   store.Epoch
	index   store.Index
	entries map[store.Key]store.Entry
	// deleted maps each deleted key to the index of its deletion.
	deleted map[store.Key]store.Index
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Options configures a Platform.
type Options struct {
	// Now is the clock for the expiry of leases and the age of copies; nil means
	// time.Now.
	Now func() time.Time
}

// New returns an empty Platform.
func New(o Options) *Platform {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Platform{
		now: o.Now,
		view: view{
			epoch:   1,
			index:   1,
			entries: map[store.Key]store.Entry{},
			deleted: map[store.Key]store.Index{},
		},
		leases:  map[store.LeaseID]lease{},
		changed: make(chan struct{}),
		calls:   map[store.Op]uint64{},
	}
}

func (v view) clone() view {
	return view{epoch: v.epoch, index: v.index, entries: maps.Clone(v.entries), deleted: maps.Clone(v.deleted)}
}

// list returns the entries whose keys have the prefix, ordered by key.
func (v view) list(prefix store.Key) []store.Entry {
	var found []store.Entry
	for key, entry := range v.entries {
		if strings.HasPrefix(string(key), string(prefix)) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b store.Entry) int {
		return strings.Compare(string(a.Key), string(b.Key))
	})
	return found
}

// indexOf returns the index of the last change under the prefix.
func (v view) indexOf(prefix store.Key) store.Index {
	last := store.Index(1)
	for key, entry := range v.entries {
		if strings.HasPrefix(string(key), string(prefix)) {
			last = max(last, store.Index(entry.Revision))
		}
	}
	for key, index := range v.deleted {
		if strings.HasPrefix(string(key), string(prefix)) {
			last = max(last, index)
		}
	}
	return last
}

// readableView returns staleView if it is set, otherwise the current view.
func (p *Platform) readableView() view {
	if p.staleView != nil {
		return *p.staleView
	}
	return p.view
}

// position returns the position of the last change under the prefix.
func (v view) position(prefix store.Key) store.Position {
	return store.Position{Epoch: v.epoch, Index: v.indexOf(prefix)}
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// set writes the entry at a new index.
func (p *Platform) set(key store.Key, value []byte, holder store.LeaseID) {
	p.recordKey(key)
	p.view.index++
	delete(p.view.deleted, key)
	p.view.entries[key] = store.Entry{
		Key:      key,
		Value:    slices.Clone(value),
		Revision: store.Revision(p.view.index),
		Lease:    holder,
	}
	p.wakeWatches()
}

func (p *Platform) put(key store.Key, value []byte, expected store.Revision) bool {
	entry := p.view.entries[key]
	if entry.Revision != expected {
		return false
	}
	p.set(key, value, entry.Lease)
	return true
}

func (p *Platform) remove(key store.Key, expected store.Revision) bool {
	entry, ok := p.view.entries[key]
	if !ok || entry.Revision != expected {
		return false
	}
	p.recordKey(key)
	p.view.index++
	delete(p.view.entries, key)
	p.view.deleted[key] = p.view.index
	p.wakeWatches()
	return true
}

// endExpiredLeases ends the leases whose TTL has passed.
func (p *Platform) endExpiredLeases() {
	now := p.now().Add(p.clockOffset)
	for id, l := range p.leases {
		if !now.Before(l.expires) {
			p.endLease(id)
		}
	}
}

func (p *Platform) endLease(id store.LeaseID) {
	p.recordLease(id)
	delete(p.leases, id)
	for key, entry := range p.view.entries {
		if entry.Lease == id {
			p.set(key, entry.Value, "")
		}
	}
}

func (p *Platform) createLease(ttl time.Duration) store.LeaseID {
	p.lastLease++
	id := store.LeaseID("lease-" + strconv.Itoa(p.lastLease))
	p.recordLease(id)
	p.leases[id] = lease{ttl: ttl, expires: p.now().Add(p.clockOffset + ttl)}
	return id
}

func (p *Platform) renewLease(id store.LeaseID) bool {
	l, ok := p.leases[id]
	if !ok {
		return false
	}
	p.recordLease(id)
	l.expires = p.now().Add(p.clockOffset + l.ttl)
	p.leases[id] = l
	return true
}

// acquire writes the value and attaches the lease to the key. If it is rejected,
// it returns the error kind and true.
func (p *Platform) acquire(key store.Key, value []byte, id store.LeaseID) (store.Kind, bool) {
	if _, ok := p.leases[id]; !ok {
		return store.LeaseLost, true
	}
	holder := p.view.entries[key].Lease
	if holder != "" && holder != id {
		return store.Held, true
	}
	p.set(key, value, id)
	return 0, false
}

// SetHosts publishes the list of live and leaving hosts.
func (p *Platform) SetHosts(list hostlist.List) error {
	text, err := list.Marshal()
	if err != nil {
		return err
	}
	p.Set(store.HostsKey, text)
	return nil
}

// Set writes a value unconditionally and bypasses the injected faults.
func (p *Platform) Set(key store.Key, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set(key, value, p.view.entries[key].Lease)
}

// Value returns a value and bypasses the injected faults; ok is false if the key
// does not exist.
func (p *Platform) Value(key store.Key) (value []byte, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.view.entries[key]
	return slices.Clone(entry.Value), ok
}
