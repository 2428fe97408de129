package consul_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	"github.com/jujubehaven/jujubehaven/transport/consul"
	"github.com/matryer/is"
)

// callTimeout is the timeout of clients whose calls are meant to time out, and
// the wait of watches that are meant to end without a change.
const callTimeout = 50 * time.Millisecond

// client is what the contract is checked on.
type client interface {
	store.Store
	store.Leases
}

// opener returns a client of the platform with a call timeout.
type opener func(t *testing.T, p *platform.Platform, timeout time.Duration) client

func openConsul(t *testing.T, p *platform.Platform, timeout time.Duration) client {
	t.Helper()
	server := httptest.NewServer(platform.NewServer(p))
	t.Cleanup(server.Close)
	c, err := consul.New(consul.Config{URL: server.URL, Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func openMemory(_ *testing.T, p *platform.Platform, timeout time.Duration) client {
	return platform.NewMemory(p, timeout)
}

// fixture is a platform that holds the keys a/1, a/2 and b/1, and a client of it.
type fixture struct {
	*is.I
	ctx      context.Context
	platform *platform.Platform
	client   client
	open     func(timeout time.Duration) client
}

func (f fixture) revision(key store.Key) store.Revision {
	f.Helper()
	entry, err := f.client.Get(f.ctx, key)
	f.NoErr(err)
	return entry.Revision
}

func (f fixture) guard() store.Guard {
	f.Helper()
	guard, err := f.client.CreateGuard(f.ctx)
	f.NoErr(err)
	return guard
}

func (f fixture) lease() store.LeaseID {
	f.Helper()
	id, err := f.client.CreateLease(f.ctx, store.MinLeaseTTL)
	f.NoErr(err)
	return id
}

func (f fixture) fails(err error, kind store.Kind) {
	f.Helper()
	f.True(err != nil)              // an error
	f.True(store.IsKind(err, kind)) // of the expected kind
}

func (f fixture) value(key store.Key) string {
	value, _ := f.platform.Value(key)
	return string(value)
}

// copied makes writes to a/1 a minute after the fixture's, lists a/, and restores
// the platform from a copy that lacks the writes. It returns the list.
func (f fixture) copied(writes int) store.Snapshot {
	f.Helper()
	f.platform.AdvanceClock(time.Minute)
	for range writes {
		f.platform.Set("a/1", []byte("lost"))
	}
	s, err := f.client.List(f.ctx, "a/")
	f.NoErr(err)
	f.NoErr(f.platform.Restore(time.Second))
	return s
}

// writeAndRead creates and deletes a key repeatedly and returns an error if a call
// fails or a read of a/ shows another epoch.
func (f fixture) writeAndRead(key store.Key, epoch store.Epoch) error {
	for range 20 {
		if err := f.client.Put(f.ctx, key, []byte("x"), 0); err != nil {
			return err
		}
		s, err := f.client.List(f.ctx, "a/")
		if err != nil {
			return err
		}
		entry, err := f.client.Get(f.ctx, key)
		if err != nil {
			return err
		}
		if err := f.client.Delete(f.ctx, key, entry.Revision); err != nil {
			return err
		}
		at, err := f.client.Watch(f.ctx, "a/", s.Position(), callTimeout)
		if err != nil {
			return err
		}
		if s.Epoch != epoch || at.Epoch != epoch {
			return fmt.Errorf("epochs %d and %d, want %d", s.Epoch, at.Epoch, epoch)
		}
	}
	return nil
}

// reissued checks that a watch and a list of a/ show that the index of a former
// list was given out again.
func (f fixture) reissued(former store.Snapshot, key store.Key, value string) {
	f.Helper()
	at, err := f.client.Watch(f.ctx, "a/", former.Position(), callTimeout)
	f.NoErr(err)
	f.Equal(at.Index, former.Index)
	f.True(at.Epoch > former.Epoch)
	again, err := f.client.List(f.ctx, "a/")
	f.NoErr(err)
	f.Equal(again.Position(), at)
	i := slices.IndexFunc(again.Entries, func(e store.Entry) bool { return e.Key == key })
	f.Equal(string(again.Entries[i].Value), value)
}

// watch starts a watch and returns its result channel once the platform has
// received the call.
func (f fixture) watch(prefix store.Key, after store.Position) <-chan watchResult {
	before := f.platform.Calls()[store.OpWatch]
	results := make(chan watchResult, 1)
	go func() {
		at, err := f.client.Watch(f.ctx, prefix, after, time.Minute)
		results <- watchResult{at, err}
	}()
	for f.platform.Calls()[store.OpWatch] == before {
		time.Sleep(time.Millisecond)
	}
	return results
}

type watchResult struct {
	at  store.Position
	err error
}

// contract lists what every implementation of store.Store and store.Leases must
// do.
var contract = []struct {
	name string
	run  func(f fixture)
}{
	{"lists a prefix in order", func(f fixture) {
		s, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		f.Equal(len(s.Entries), 2)
		f.Equal(s.Entries[0].Key, store.Key("a/1"))
		f.Equal(string(s.Entries[1].Value), "two")
		empty, err := f.client.List(f.ctx, "c/")
		f.NoErr(err)
		f.Equal(len(empty.Entries), 0)
		f.True(empty.Index > 0) // a watch can start from it
	}},
	{"gets by the whole key", func(f fixture) {
		_, err := f.client.Get(f.ctx, "a")
		f.fails(err, store.NotFound)
	}},
	{"creates a key once", func(f fixture) {
		f.NoErr(f.client.Put(f.ctx, "a/3", []byte("x"), 0))
		f.fails(f.client.Put(f.ctx, "a/3", []byte("y"), 0), store.Conflict)
		f.Equal(f.value("a/3"), "x")
	}},
	{"second of two racing writes conflicts", func(f fixture) {
		revision := f.revision("a/1")
		f.NoErr(f.client.Put(f.ctx, "a/1", []byte("first"), revision))
		f.fails(f.client.Put(f.ctx, "a/1", []byte("second"), revision), store.Conflict)
		f.Equal(f.value("a/1"), "first")
	}},
	{"a write between read and write conflicts", func(f fixture) {
		revision := f.revision("a/1")
		f.platform.SetFaults(platform.Faults{BeforeWrite: func() { f.platform.Set("a/1", []byte("other")) }})
		f.fails(f.client.Put(f.ctx, "a/1", []byte("mine"), revision), store.Conflict)
		f.Equal(f.value("a/1"), "other")
	}},
	{"deletes by revision only", func(f fixture) {
		revision := f.revision("a/1")
		f.fails(f.client.Delete(f.ctx, "a/1", 0), store.Conflict)
		f.fails(f.client.Delete(f.ctx, "a/1", revision-1), store.Conflict)
		f.NoErr(f.client.Delete(f.ctx, "a/1", revision))
		_, err := f.client.Get(f.ctx, "a/1")
		f.fails(err, store.NotFound)
	}},
	{"rejects a value that is too long", func(f fixture) {
		value := []byte(strings.Repeat("x", store.MaxValueBytes+1))
		f.fails(f.client.Put(f.ctx, "a/3", value, 0), store.Invalid)
		f.NoErr(f.client.Put(f.ctx, "a/3", value[1:], 0))
	}},
	{"watch wakes on a change and on a delete", func(f fixture) {
		s, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		results := f.watch("a/", s.Position())
		f.platform.Set("a/1", []byte("new"))
		first := <-results
		f.NoErr(first.err)
		f.True(s.Position().Before(first.at))
		results = f.watch("a/", first.at)
		f.NoErr(f.client.Delete(f.ctx, "a/1", f.revision("a/1")))
		second := <-results
		f.NoErr(second.err)
		f.True(first.at.Before(second.at))
	}},
	{"watch sees a change made before it", func(f fixture) {
		s, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		f.platform.Set("a/1", []byte("new"))
		at, err := f.client.Watch(f.ctx, "a/", s.Position(), time.Minute)
		f.NoErr(err)
		f.Equal(at.Epoch, s.Epoch)
		f.True(at.Index > s.Index)
	}},
	{"watch ends unchanged and ignores other prefixes", func(f fixture) {
		s, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		f.platform.Set("b/1", []byte("new"))
		at, err := f.client.Watch(f.ctx, "a/", s.Position(), callTimeout)
		f.NoErr(err)
		f.Equal(at, s.Position())
	}},
	{"a waiting watch is one call", func(f fixture) {
		s, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		before := f.platform.Calls()[store.OpWatch]
		results := f.watch("a/", s.Position())
		for range 10 {
			f.platform.Set("b/1", []byte("other"))
		}
		f.platform.Set("a/1", []byte("new"))
		f.NoErr((<-results).err)
		f.Equal(f.platform.Calls()[store.OpWatch], before+1)
	}},
	{"outage fails reads and writes nothing", func(f fixture) {
		revision := f.revision("a/1")
		f.platform.SetFaults(platform.Faults{Outage: true})
		_, err := f.client.Get(f.ctx, "a/1")
		f.fails(err, store.Unavailable)
		_, err = f.client.List(f.ctx, "a/")
		f.fails(err, store.Unavailable)
		_, err = f.client.Watch(f.ctx, "a/", store.Position{}, time.Minute)
		f.fails(err, store.Unavailable)
		err = f.client.Put(f.ctx, "a/1", []byte("new"), revision)
		f.True(store.IsKind(err, store.Unavailable) || store.IsKind(err, store.UnknownOutcome))
		f.Equal(f.value("a/1"), "one")
		f.platform.SetFaults(platform.Faults{})
		f.NoErr(f.client.Put(f.ctx, "a/1", []byte("new"), revision))
	}},
	{"outage ends a waiting watch", func(f fixture) {
		s, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		results := f.watch("a/", s.Position())
		f.platform.SetFaults(platform.Faults{Outage: true})
		f.fails((<-results).err, store.Unavailable)
	}},
	{"a timeout fails a read and leaves the outcome of a write unknown", func(f fixture) {
		revision := f.revision("a/1")
		f.platform.SetFaults(platform.Faults{Delay: time.Minute})
		shortTimeout := f.open(callTimeout)
		_, err := shortTimeout.Get(f.ctx, "a/1")
		f.fails(err, store.Unavailable)
		f.fails(shortTimeout.Put(f.ctx, "a/1", []byte("new"), revision), store.UnknownOutcome)
	}},
	{"a short delay changes no result", func(f fixture) {
		f.platform.SetFaults(platform.Faults{Delay: time.Millisecond})
		f.NoErr(f.client.Put(f.ctx, "a/1", []byte("new"), f.revision("a/1")))
		f.Equal(f.value("a/1"), "new")
	}},
	{"a write without a response may have taken effect", func(f fixture) {
		revision := f.revision("a/1")
		f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
		f.fails(f.client.Put(f.ctx, "a/1", []byte("new"), revision), store.UnknownOutcome)
		entry, err := f.client.Get(f.ctx, "a/1")
		f.NoErr(err)
		f.Equal(string(entry.Value), "new")
		f.fails(f.client.Put(f.ctx, "a/1", []byte("again"), revision), store.Conflict)
	}},
	{"a stale read cannot overwrite", func(f fixture) {
		f.platform.FreezeReads()
		f.platform.Set("a/1", []byte("new"))
		entry, err := f.client.Get(f.ctx, "a/1")
		f.NoErr(err)
		f.Equal(string(entry.Value), "one") // stale
		f.fails(f.client.Put(f.ctx, "a/1", []byte("late"), entry.Revision), store.Conflict)
		f.platform.UnfreezeReads()
		entry, err = f.client.Get(f.ctx, "a/1")
		f.NoErr(err)
		f.Equal(string(entry.Value), "new")
	}},
	{"a lost history shows as a new epoch", func(f fixture) {
		for range 10 {
			f.platform.Set("a/1", []byte("many"))
		}
		s, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		f.platform.ResetIndex()
		at, err := f.client.Watch(f.ctx, "a/", s.Position(), callTimeout)
		f.NoErr(err)
		f.True(at.Epoch > s.Epoch)
		again, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		f.Equal(again.Position(), at)
		at, err = f.client.Watch(f.ctx, "a/", again.Position(), callTimeout)
		f.NoErr(err)
		f.Equal(at, again.Position()) // reported once
	}},
	{"a copy's contents replace what was written since", func(f fixture) {
		s := f.copied(1)
		at, err := f.client.Watch(f.ctx, "a/", s.Position(), callTimeout)
		f.NoErr(err)
		f.True(at.Epoch > s.Epoch)
		again, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		f.Equal(string(again.Entries[0].Value), "one")
		f.True(again.Index < s.Index)
	}},
	{"an index given out again is a new epoch: another key", func(f fixture) {
		s := f.copied(1)
		f.platform.Set("a/2", []byte("reissued"))
		f.reissued(s, "a/2", "reissued")
	}},
	{"an index given out again is a new epoch: the same key", func(f fixture) {
		s := f.copied(1)
		f.platform.Set("a/1", []byte("reissued"))
		f.reissued(s, "a/1", "reissued")
	}},
	{"an index given out again is a new epoch: a new key", func(f fixture) {
		s := f.copied(1)
		f.platform.Set("a/3", []byte("reissued"))
		f.reissued(s, "a/3", "reissued")
	}},
	{"an index given out again is a new epoch: a deletion lost", func(f fixture) {
		s, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		f.platform.AdvanceClock(time.Minute)
		f.NoErr(f.client.Delete(f.ctx, "a/1", s.Entries[0].Revision))
		s, err = f.client.List(f.ctx, "a/")
		f.NoErr(err)
		f.NoErr(f.platform.Restore(time.Second))
		f.platform.Set("a/2", []byte("reissued"))
		f.reissued(s, "a/2", "reissued")
	}},
	{"an index passed again hides no change", func(f fixture) {
		s := f.copied(2)
		f.platform.Set("a/2", []byte("reissued"))
		f.platform.Set("b/1", []byte("other"))
		f.platform.Set("a/2", []byte("passed"))
		at, err := f.client.Watch(f.ctx, "a/", s.Position(), time.Minute)
		f.NoErr(err)
		f.True(at != s.Position())
		again, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		f.Equal(string(again.Entries[0].Value), "one")
		f.Equal(string(again.Entries[1].Value), "passed")
		f.True(again.Epoch > s.Epoch)
	}},
	{"a new epoch holds for all prefixes", func(f fixture) {
		other, err := f.client.List(f.ctx, "b/")
		f.NoErr(err)
		s := f.copied(1)
		at, err := f.client.Watch(f.ctx, "a/", s.Position(), callTimeout)
		f.NoErr(err)
		f.True(at.Epoch > s.Epoch)
		at, err = f.client.Watch(f.ctx, "b/", other.Position(), callTimeout)
		f.NoErr(err)
		f.True(at.Epoch > other.Epoch)
	}},
	{"writes, deletions and concurrent reads are no new epoch", func(f fixture) {
		first, err := f.client.List(f.ctx, "a/")
		f.NoErr(err)
		errs := make(chan error, 4)
		for reader := range cap(errs) {
			go func() { errs <- f.writeAndRead(store.Key(fmt.Sprintf("a/r%d", reader)), first.Epoch) }()
		}
		for range cap(errs) {
			f.NoErr(<-errs)
		}
	}},
	{"a copy keeps what is older and its leases", func(f fixture) {
		id := f.lease()
		f.NoErr(f.client.Acquire(f.ctx, "l", []byte("1"), id))
		revision := f.revision("l")
		f.platform.AdvanceClock(time.Second)
		late := f.lease()
		f.NoErr(f.client.RevokeLease(f.ctx, id))
		f.NoErr(f.platform.Restore(500 * time.Millisecond))
		f.Equal(f.revision("l"), revision)
		f.NoErr(f.client.RenewLease(f.ctx, id))
		f.fails(f.client.RenewLease(f.ctx, late), store.LeaseLost)
	}},
	{"a guarded write removes its guard", func(f fixture) {
		guard := f.guard()
		f.NoErr(f.client.PutGuarded(f.ctx, "a/1", []byte("new"), f.revision("a/1"), guard))
		f.Equal(f.value("a/1"), "new")
		_, err := f.client.Get(f.ctx, guard.Key)
		f.fails(err, store.NotFound)
		f.fails(f.client.PutGuarded(f.ctx, "a/1", []byte("again"), f.revision("a/1"), guard), store.Conflict)
		f.Equal(f.value("a/1"), "new")
	}},
	{"a guarded write creates a key once", func(f fixture) {
		f.NoErr(f.client.PutGuarded(f.ctx, "a/3", []byte("x"), 0, f.guard()))
		f.fails(f.client.PutGuarded(f.ctx, "a/3", []byte("y"), 0, f.guard()), store.Conflict)
		f.Equal(f.value("a/3"), "x")
	}},
	{"a guarded write of another revision changes nothing", func(f fixture) {
		guard, revision := f.guard(), f.revision("a/1")
		f.platform.Set("a/1", []byte("other"))
		f.fails(f.client.PutGuarded(f.ctx, "a/1", []byte("mine"), revision, guard), store.Conflict)
		f.Equal(f.value("a/1"), "other")
		f.Equal(f.revision(guard.Key), guard.Revision)
		f.NoErr(f.client.Delete(f.ctx, guard.Key, guard.Revision))
	}},
	{"guards differ and are newer than what was read before", func(f fixture) {
		revision := f.revision("b/1")
		first, second := f.guard(), f.guard()
		f.True(first.Key != second.Key)
		f.True(revision < first.Revision && first.Revision < second.Revision)
	}},
	{"a guarded write fails on a revision given out again", func(f fixture) {
		f.platform.AdvanceClock(time.Minute)
		f.platform.Set("a/1", []byte("read"))
		revision, guard := f.revision("a/1"), f.guard()
		f.NoErr(f.platform.Restore(time.Second))
		f.platform.Set("a/1", []byte("reissued"))
		f.Equal(f.revision("a/1"), revision)
		f.fails(f.client.PutGuarded(f.ctx, "a/1", []byte("mine"), revision, guard), store.Conflict)
		f.Equal(f.value("a/1"), "reissued")
	}},
	{"another guard does not stand for one that was lost", func(f fixture) {
		f.platform.AdvanceClock(time.Minute)
		guard := f.guard()
		f.NoErr(f.platform.Restore(time.Second))
		other := f.guard()
		f.Equal(other.Revision, guard.Revision)
		f.fails(f.client.PutGuarded(f.ctx, "a/1", []byte("mine"), f.revision("a/1"), guard), store.Conflict)
		f.Equal(f.value("a/1"), "one")
	}},
	{"a guard that is older than the copy still holds", func(f fixture) {
		revision, guard := f.revision("a/1"), f.guard()
		f.platform.AdvanceClock(time.Minute)
		f.platform.Set("a/2", []byte("lost"))
		f.NoErr(f.platform.Restore(time.Second))
		f.NoErr(f.client.PutGuarded(f.ctx, "a/1", []byte("mine"), revision, guard))
		f.Equal(f.value("a/1"), "mine")
	}},
	{"a guarded write without a response may have taken effect", func(f fixture) {
		revision, guard := f.revision("a/1"), f.guard()
		f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
		f.fails(f.client.PutGuarded(f.ctx, "a/1", []byte("new"), revision, guard), store.UnknownOutcome)
		f.Equal(f.value("a/1"), "new")
		f.fails(f.client.PutGuarded(f.ctx, "a/1", []byte("new"), revision, guard), store.Conflict)
	}},
	{"a guard without a response may exist", func(f fixture) {
		f.platform.SetFaults(platform.Faults{LoseGuardAnswers: 1})
		_, err := f.client.CreateGuard(f.ctx)
		f.fails(err, store.UnknownOutcome)
		_, err = f.client.CreateGuard(f.ctx)
		f.NoErr(err)
	}},
	{"rejects a guarded value that is too long", func(f fixture) {
		value := []byte(strings.Repeat("x", store.MaxValueBytes+1))
		f.fails(f.client.PutGuarded(f.ctx, "a/3", value, 0, f.guard()), store.Invalid)
	}},
	{"a lease excludes others until revoked", func(f fixture) {
		first, second := f.lease(), f.lease()
		f.NoErr(f.client.Acquire(f.ctx, "l", []byte("1"), first))
		f.NoErr(f.client.Acquire(f.ctx, "l", []byte("1"), first)) // acquired again by the holder
		f.fails(f.client.Acquire(f.ctx, "l", []byte("2"), second), store.Held)
		f.NoErr(f.client.RevokeLease(f.ctx, first))
		f.NoErr(f.client.Acquire(f.ctx, "l", []byte("2"), second))
		f.fails(f.client.RenewLease(f.ctx, first), store.LeaseLost)
		f.fails(f.client.Acquire(f.ctx, "l", []byte("1"), first), store.LeaseLost)
	}},
	{"a renewed lease stays valid", func(f fixture) {
		id := f.lease()
		f.NoErr(f.client.Acquire(f.ctx, "l", []byte("1"), id))
		for range 3 {
			f.platform.AdvanceClock(store.MinLeaseTTL / 2)
			f.NoErr(f.client.RenewLease(f.ctx, id))
		}
		f.platform.AdvanceClock(store.MinLeaseTTL)
		f.fails(f.client.RenewLease(f.ctx, id), store.LeaseLost)
	}},
	{"a paused holder of an expired lease cannot write", func(f fixture) {
		first, second := f.lease(), store.LeaseID("")
		f.NoErr(f.client.Acquire(f.ctx, "l", []byte("1"), first))
		read := f.revision("l")
		f.platform.AdvanceClock(store.MinLeaseTTL)
		second = f.lease()
		f.NoErr(f.client.Acquire(f.ctx, "l", []byte("2"), second))
		f.fails(f.client.Put(f.ctx, "l", []byte("late"), read), store.Conflict)
		f.Equal(f.value("l"), "2")
	}},
	{"an expired lease alone makes the holder's write conflict", func(f fixture) {
		id := f.lease()
		f.NoErr(f.client.Acquire(f.ctx, "l", []byte("1"), id))
		read := f.revision("l")
		f.platform.ExpireLeases()
		f.fails(f.client.Put(f.ctx, "l", []byte("late"), read), store.Conflict)
	}},
	{"an acquisition without a response may have taken effect", func(f fixture) {
		id, other := f.lease(), f.lease()
		f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
		f.fails(f.client.Acquire(f.ctx, "l", []byte("1"), id), store.UnknownOutcome)
		f.fails(f.client.Acquire(f.ctx, "l", []byte("2"), other), store.Held)
	}},
	{"rejects a lease that is too short", func(f fixture) {
		_, err := f.client.CreateLease(f.ctx, time.Second)
		f.fails(err, store.Invalid)
	}},
	{"counts each call once", func(f fixture) {
		before := f.platform.Calls()
		_, _ = f.client.Get(f.ctx, "a/1")
		_, _ = f.client.List(f.ctx, "a/")
		_ = f.client.Put(f.ctx, "a/9", nil, 0)
		_ = f.client.Delete(f.ctx, "a/9", 1)
		after := f.platform.Calls()
		for _, op := range []store.Op{store.OpGet, store.OpList, store.OpPut, store.OpDelete} {
			f.Equal(after[op], before[op]+1)
		}
	}},
}

// TestContract checks the Consul client and the in-memory store against the same
// contract, so that tests with the latter hold for the former.
func TestContract(t *testing.T) {
	clients := map[string]opener{"consul": openConsul, "memory": openMemory}
	for name, open := range clients {
		for _, tt := range contract {
			t.Run(name+"/"+tt.name, func(t *testing.T) {
				start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
				p := platform.New(platform.Options{Now: func() time.Time { return start }})
				p.Set("a/1", []byte("one"))
				p.Set("a/2", []byte("two"))
				p.Set("b/1", []byte("three"))
				tt.run(fixture{
					I: is.New(t), ctx: t.Context(), platform: p,
					client: open(t, p, time.Minute),
					open:   func(d time.Duration) client { return open(t, p, d) },
				})
			})
		}
	}
}

// A write that can't connect has no effect, so its error must be Unavailable, not
// UnknownOutcome.
func TestUnreachableWritesNothing(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(platform.NewServer(platform.New(platform.Options{})))
	url := server.URL
	server.Close()
	c, err := consul.New(consul.Config{URL: url})
	is.NoErr(err)
	err = c.Put(t.Context(), "a/1", nil, 0)
	is.True(store.IsKind(err, store.Unavailable)) // no connection, so no effect
}

func TestNewRejectsBadURL(t *testing.T) {
	for _, url := range []string{"", "127.0.0.1:8500", "ftp://127.0.0.1", "http://"} {
		_, err := consul.New(consul.Config{URL: url})
		is.New(t).True(err != nil)
	}
}
