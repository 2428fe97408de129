package follow

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// A host that the store has refused since its start takes its first view from another
// host (docs/design/first-view.md). Until a list or the reader's checksum confirms the
// table, the host behaves as in an outage of the store.

const (
	// maxPageBytes bounds the keys and values of a page, so that it fits a datagram
	// also if it can't be compressed. A longer entry has a page of its own.
	maxPageBytes = 24 << 10
	// entryBytes is what an entry adds to a page beside its key and value, at most.
	entryBytes = 32
	// maxPageRequests is how often a page is requested from one host before the
	// transfer begins again at another.
	maxPageRequests = 2
)

// tableTransfer is the table of another host, received in part.
type tableTransfer struct {
	// from is the name of the host, empty before the first page.
	from  string
	pages []*gossip.TablePage
	// after is the key after which the next page begins; requests counts the requests
	// for it.
	after    store.Key
	requests int
}

// recordValue keeps an entry of the store as this host last read it, for hosts that
// need its table.
func (f *Follower) recordValue(e store.Entry) { f.values[e.Key] = e }

// pruneValues forgets the entries of targets that are no longer known.
func (f *Follower) pruneValues() {
	known := map[store.Key]bool{}
	for _, key := range f.knownKeys() {
		known[key] = true
	}
	for key := range f.values {
		if !known[key] {
			delete(f.values, key)
		}
	}
}

// TablePage returns the entries after a key that this host knows, nil if it has no
// view. Targets that are gone are left out.
func (f *Follower) TablePage(after store.Key) *gossip.TablePage {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.dir.Ready() {
		return nil
	}
	page := &gossip.TablePage{
		Epoch: f.pos.Epoch, Index: f.pos.Index, AgeMS: (f.cfg.Clock() - f.completeTo).Milliseconds(), After: after,
	}
	if held := f.heldUntil - f.cfg.Clock(); held > 0 {
		page.HeldMS = held.Milliseconds()
	}
	size := 0
	for _, key := range f.knownKeys() {
		if key <= after {
			continue
		}
		e := f.values[key]
		entry := gossip.TableEntry{Key: key, Value: e.Value, Revision: e.Revision, Missing: f.isMissing(key)}
		size += len(key) + len(e.Value) + entryBytes
		if size > maxPageBytes && len(page.Entries) > 0 {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, entry)
	}
	return page
}

func (f *Follower) isMissing(key store.Key) bool {
	return key.HasPrefix(f.cfg.Keys.Targets) && f.dir.IsMissing(f.targetKey(key))
}

// needsTable reports whether this host has had no list and needs another host's table:
// it has no view, or a feed has shown that its table is outdated.
func (f *Follower) needsTable() bool {
	return f.pos.Index == 0 || (f.unconfirmed && f.missedFeed != "")
}

// fetchTable requests the next page of another host's table if this host needs one. It
// reports whether a request was sent.
func (f *Follower) fetchTable() bool {
	if f.cfg.Peers == nil {
		return false
	}
	f.mu.Lock()
	if !f.needsTable() {
		f.mu.Unlock()
		return false
	}
	if f.transfer == nil || f.transfer.requests >= maxPageRequests {
		f.transfer = &tableTransfer{}
	}
	f.transfer.requests++
	after, from := f.transfer.after, f.transfer.from
	f.mu.Unlock()
	return f.cfg.Peers.FetchTable(after, from)
}

// ApplyTablePage receives a page of the table of another host. The table is applied
// when it is complete, unless this host has read the store meanwhile.
func (f *Follower) ApplyTablePage(p *gossip.TablePage, from string) {
	f.mu.Lock()
	more := f.addPage(p, from)
	f.mu.Unlock()
	if more {
		f.fetchTable()
	}
}

// addPage adds a page to the transfer and reports whether another one has to be
// requested.
func (f *Follower) addPage(p *gossip.TablePage, from string) bool {
	t := f.transfer
	switch {
	case !f.needsTable():
		f.transfer = nil
		return false
	case t == nil || p.After != t.after || (t.from != "" && t.from != from):
		return false // not the page that was requested last
	case len(t.pages) > 0 && t.pages[0].Epoch != p.Epoch:
		f.transfer = &tableTransfer{}
		return true
	}
	t.from, t.requests = from, 0
	t.pages = append(t.pages, p)
	if p.More {
		t.after = p.Entries[len(p.Entries)-1].Key
		return true
	}
	f.transfer = nil
	f.applyTable(t)
	return false
}

// applyTable applies a complete table. Its position is that of the first page: what
// has changed since is fetched after the next failed call, or a feed shows it.
func (f *Follower) applyTable(t *tableTransfer) {
	first := t.pages[0]
	all := store.Snapshot{Epoch: first.Epoch, Index: first.Index}
	if f.pos.Index != 0 && !f.pos.Before(all.Position()) {
		return
	}
	var missing []fleet.TargetKey
	all.Entries, missing = f.joinPages(t.pages)
	age := time.Duration(first.AgeMS) * time.Millisecond
	now := f.cfg.Clock()
	f.dir.StoreLost()
	if f.pos.Index == 0 {
		f.applyFirstList(&all)
	} else {
		if f.pos.Epoch != all.Epoch {
			f.recordRestore(all.Position())
		}
		f.applyLaterList(&all, true) // its sender may know less of a target than this host
	}
	for _, key := range missing {
		f.dir.RemoveTarget(now, f.completeTo, key)
	}
	if held := time.Duration(first.HeldMS) * time.Millisecond; held > 0 {
		f.heldUntil, f.relistPending = max(f.heldUntil, now+held), true
	}
	f.dir.SetListed()
	f.pos, f.listed, f.unconfirmed, f.lastList = all.Position(), true, true, now
	f.targetsDiffer = false
	f.recent.reset(f.pos)
	f.advance(f.pos, now-age-maxFeedDelay, now-age)
	f.cfg.Log.Warn().Str("event", "first_view_from_peer").Str("peer", t.from).Int("entries", len(all.Entries)).
		Uint64("epoch", uint64(f.pos.Epoch)).Uint64("revision", uint64(f.pos.Index)).Dur("age_ms", age).Send()
	f.publish()
	f.wake()
}

// joinPages returns the entries of a table's pages, and the targets that the sender
// knows as missing.
func (f *Follower) joinPages(pages []*gossip.TablePage) (entries []store.Entry, missing []fleet.TargetKey) {
	for _, p := range pages {
		for _, e := range p.Entries {
			entries = append(entries, store.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision})
			if e.Missing && e.Key.HasPrefix(f.cfg.Keys.Targets) {
				missing = append(missing, f.targetKey(e.Key))
			}
		}
	}
	return entries, missing
}

// confirmTable records that a list or the reader's checksum agrees with the table that
// this host took from another one.
func (f *Follower) confirmTable(by string) {
	if !f.unconfirmed {
		return
	}
	f.unconfirmed = false
	f.dir.StoreRegained(f.cfg.Clock())
	f.cfg.Log.Info().Str("event", "first_view_confirmed").Str("by", by).Send()
}
