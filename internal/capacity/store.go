package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/changes"
	"github.com/jujubehaven/jujubehaven/coordination/documents"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

const (
	// changesPerDay is the number of document changes a day at the full size.
	changesPerDay = 1300
	day           = 24 * time.Hour
	// storeTimeout bounds a call to the fake platform.
	storeTimeout = 10 * time.Second
	// watchersPerZone is how many hosts of a zone watch the store.
	watchersPerZone = 2
)

// callsBetween returns how often the operations were called between two counts.
func callsBetween(before, after map[store.Op]uint64, ops ...store.Op) float64 {
	sum := 0.0
	for _, op := range ops {
		sum += float64(after[op] - before[op])
	}
	return sum
}

// jsonBytes returns the length of a message in JSON.
func jsonBytes(m any) int {
	text, err := json.Marshal(m)
	if err != nil {
		fail("encode: %v", err)
	}
	return len(text)
}

// measureStore measures calls to the platform's store and the handling of its
// documents.
func measureStore() []series {
	reads := newSeries("reads of a changed document by its writer", "calls", "services")
	writes := newSeries("writes of a changed document", "calls", "services")
	readKB := newSeries("bytes read by a watcher after a change", "KB", "services")
	offer := newSeries("taking a read of all documents with one new", "ms", "services")
	inventory := newSeries("inventory sent to a peer", "KB", "services")
	fetch := newSeries("taking one document from a peer", "ms", "services")
	for _, size := range fleetSizes {
		s := newStoreFixture(size.services, size.targets)
		before := s.platform.Calls()
		s.change(1)
		after := s.platform.Calls()
		reads.add(size.services, callsBetween(before, after, store.OpGet, store.OpList))
		writes.add(size.services, callsBetween(before, after, store.OpPut, store.OpDelete))
		readKB.add(size.services, float64(s.listBytes())/1e3)
		offer.add(size.services, milliseconds(s.shortestOf(s.offerAll)))
		inventory.add(size.services, float64(jsonBytes(s.set.Inventory()))/1e3)
		fetch.add(size.services, milliseconds(s.shortestOf(s.offerOne)))
	}
	dayCalls := newSeries("calls of watchers in a day of 1300 changes", "calls", "watchers")
	for _, watchers := range []int{watchersPerZone, 3 * watchersPerZone, fullZones * watchersPerZone} {
		dayCalls.add(watchers, float64(watchers*watcherCallsPerDay()))
	}
	return []series{*reads, *writes, *readKB, *offer, *inventory, *fetch, *dayCalls}
}

// storeFixture is a store with documents, the writer of an operator and the
// document set of a watcher.
type storeFixture struct {
	ctx      context.Context
	platform *platform.Platform
	store    store.Store
	writer   *changes.Writer
	services []document.Service
	set      *documents.Set
	changes  int
}

func newStoreFixture(services, targets int) *storeFixture {
	p := platform.New(platform.Options{})
	s := &storeFixture{
		ctx: context.Background(), platform: p, store: platform.NewMemory(p, storeTimeout),
		services: servicesOf(services, targets, fullZones), set: documents.NewSet(),
	}
	s.writer = changes.NewWriter(s.store, s.nextID, changes.Options{})
	zones := zonesDocument(1, "")
	s.put(document.ZonesKey, document.Document{Zones: &zones})
	for i := range s.services {
		doc := document.Document{Service: &s.services[i]}
		s.put(doc.Key(), doc)
	}
	s.offerAll()
	if !s.set.Ready() {
		fail("the documents of the store are not in force")
	}
	return s
}

func (s *storeFixture) nextID() string {
	s.changes++
	return fmt.Sprintf("measured-%d", s.changes)
}

// put writes a document to the platform without the writer's checks.
func (s *storeFixture) put(key document.Key, doc document.Document) {
	text, err := doc.Marshal()
	if err != nil {
		fail("marshal %s: %v", key, err)
	}
	s.platform.Set(store.DocumentKey(key), text)
}

// change writes a new ramp of one target, in seconds above a minute, as an
// operator does.
func (s *storeFixture) change(ramp int) {
	next := s.services[0]
	next.Targets = append([]document.Target(nil), next.Targets...)
	next.Targets[0].Ramp = time.Minute + time.Duration(ramp)*time.Second
	s.services[0] = next
	doc := document.Document{Service: &next}
	text, err := doc.Marshal()
	if err != nil {
		fail("marshal: %v", err)
	}
	plan, err := s.writer.Plan(s.ctx, changes.Request{Document: doc, Text: text})
	if err != nil {
		fail("plan: %v", err)
	}
	if err := s.writer.Write(s.ctx, plan); err != nil {
		fail("write: %v", err)
	}
	s.services[0] = *plan.Next.Document.Service
}

// list reads all documents from the store, as a watcher does.
func (s *storeFixture) list() store.Snapshot {
	snapshot, err := s.store.List(s.ctx, store.DocumentsPrefix)
	if err != nil {
		fail("list: %v", err)
	}
	return snapshot
}

func (s *storeFixture) listBytes() int {
	n := 0
	for _, e := range s.list().Entries {
		n += len(e.Key) + len(e.Value)
	}
	return n
}

// offerAll offers all documents of the store to the set and reports a change.
func (s *storeFixture) offerAll() (changed bool) {
	var texts []documents.Text
	for _, e := range s.list().Entries {
		if key, ok := e.Key.Document(); ok {
			texts = append(texts, documents.Text{Key: key, YAML: e.Value, Source: "store"})
		}
	}
	_, changed = s.set.Offer(texts)
	return changed
}

// offerOne offers only the changed document to the set, as if it were from a
// peer, and reports a change.
func (s *storeFixture) offerOne() (changed bool) {
	doc := document.Document{Service: &s.services[0]}
	e, err := s.store.Get(s.ctx, store.DocumentKey(doc.Key()))
	if err != nil {
		fail("get: %v", err)
	}
	_, changed = s.set.Offer([]documents.Text{{Key: doc.Key(), YAML: e.Value, Source: "peer"}})
	return changed
}

// shortestOf returns the shortest time that take needs to put a change into
// force, without the time to write the change.
func (s *storeFixture) shortestOf(take func() (changed bool)) time.Duration {
	best := time.Duration(0)
	for i := range timingRounds {
		s.change(s.changes + 2)
		start := time.Now()
		if !take() {
			fail("a change did not come into force")
		}
		if took := time.Since(start); i == 0 || took < best {
			best = took
		}
	}
	return best
}

// watcherCallsPerDay returns the number of calls that one watcher makes in a
// day of virtual time. After a watch without a change, the client reads the last
// write back.
func watcherCallsPerDay() int {
	w := documents.NewWatcher(seed)
	every := day / changesPerDay
	count := 0
	for now := time.Duration(0); now < day; {
		step := w.Next(now, true)
		if step.Kind == documents.StepPause {
			now += step.Wait
			continue
		}
		count++
		position := func() store.Position {
			return store.Position{Epoch: 1, Index: store.Index(now/every) + 1}
		}
		if step.Kind == documents.StepRead {
			w.ReadDone(position())
			now += time.Millisecond
			continue
		}
		changed := time.Duration(step.After.Index) * every
		now = min(now+step.Wait, max(changed, now+time.Millisecond))
		if position() == step.After {
			count++
		}
		w.WatchDone(position())
	}
	return count
}
