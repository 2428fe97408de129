package changes

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/matryer/is"
)

func TestApplyRaisesGeneration(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	first := f.stored(ordersKey)
	f.Equal(first.generation(), uint64(1))
	f.True(strings.Contains(string(first.Text), "# three slots")) // comments stay
	f.mustApply(f.edit(ordersKey, "2000", "1000"), "")
	second := f.stored(ordersKey)
	f.Equal(second.generation(), uint64(2))
	f.True(first.Document.Change() != second.Document.Change())
	f.mustApply(string(second.Text), "") // no change
	f.Equal(f.stored(ordersKey).generation(), uint64(2))
	f.Equal(f.claims(), 0)
}

func TestTwoOperatorsRace(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	mine := f.edit(ordersKey, "2000", "1000")
	theirs := f.edit(ordersKey, "2000", "500")

	// The other change is written between this operator's checks and write.
	w := f.writer(3)
	plan, err := w.Plan(f.ctx, f.request(mine, ""))
	f.NoErr(err)
	f.mustApply(theirs, "")
	var conflict *ConflictError
	f.True(errors.As(w.Write(f.ctx, plan), &conflict))
	f.True(strings.Contains(conflict.Diff, "connections: 500")) // the other's change
	f.True(!strings.Contains(conflict.Diff, "connections: 1000"))
	f.True(!conflict.MayHaveRun)

	// The other change is written before this operator's checks.
	f.True(errors.As(f.apply(mine, ""), &conflict))
	f.Equal(conflict.Base, uint64(1))
	f.Equal(conflict.Current.generation(), uint64(2))
	f.True(strings.Contains(string(f.stored(ordersKey).Text), "connections: 500"))
}

func TestWriteWithLostAnswerAppliesOnce(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	before := f.stored(ordersKey)
	f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	f.mustApply(f.edit(ordersKey, "2000", "1000"), "")
	after := f.stored(ordersKey)
	f.Equal(after.generation(), before.generation()+1) // once, not twice

	// Reading back fails, too: the retry conflicts with the first attempt.
	w := f.failingGetWriter(3)
	plan, err := w.Plan(f.ctx, f.request(f.edit(ordersKey, "1000", "500"), ""))
	f.NoErr(err)
	f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	f.NoErr(w.Write(f.ctx, plan))
	f.Equal(f.stored(ordersKey).Document.Change(), plan.Next.Document.Change())
	f.Equal(f.stored(ordersKey).generation(), after.generation()+1)
}

// The answers to all writes are lost, and reads succeed.
func TestAllAnswersLost(t *testing.T) {
	f := newFixture(t)
	f.platform.SetFaults(platform.Faults{LoseAnswers: 1000})
	f.mustApply(ordersText, "")
	f.Equal(f.stored(ordersKey).generation(), uint64(1))
}

func TestLostAnswerThenReplaced(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	w := f.failingGetWriter(3)
	plan, err := w.Plan(f.ctx, f.request(f.edit(ordersKey, "2000", "1000"), ""))
	f.NoErr(err)
	f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	w.sleep = func(context.Context, time.Duration) error {
		f.mustApply(f.edit(ordersKey, "1000", "500"), "")
		return nil
	}
	var conflict *ConflictError
	f.True(errors.As(w.Write(f.ctx, plan), &conflict))
	f.True(conflict.MayHaveRun) // it was in force before the other's change
}

// faultyPutStore injects faults while a value is written.
type faultyPutStore struct {
	store.Store
	platform *platform.Platform
	faults   platform.Faults
}

func (s faultyPutStore) PutGuarded(ctx context.Context, key store.Key, value []byte, expected store.Revision, guard store.Guard) error {
	s.platform.SetFaults(s.faults)
	defer s.platform.SetFaults(platform.Faults{})
	return s.Store.PutGuarded(ctx, key, value, expected, guard)
}

func TestOutage(t *testing.T) {
	tests := []struct {
		name   string
		faults platform.Faults
		// duringWrite is set if the faults are injected while the document is written.
		duringWrite bool
		kind        store.Kind
	}{
		{"refused", platform.Faults{Outage: true}, false, store.Unavailable},
		{"too slow to answer before the write", platform.Faults{Delay: time.Minute}, false, store.Unavailable},
		{"refused during the write", platform.Faults{Outage: true}, true, store.Unavailable},
		{"too slow to answer the write", platform.Faults{Delay: time.Minute}, true, store.UnknownOutcome},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.mustApply(ordersText, "")
			w := f.writer(2)
			plan, err := w.Plan(f.ctx, f.request(f.edit(ordersKey, "2000", "1000"), ""))
			f.NoErr(err)
			if tt.duringWrite {
				w.store = faultyPutStore{f.store, f.platform, tt.faults}
			} else {
				f.platform.SetFaults(tt.faults)
			}
			f.True(store.IsKind(w.Write(f.ctx, plan), tt.kind))
			f.platform.SetFaults(platform.Faults{})
			w.store = f.store
			f.Equal(f.stored(ordersKey).generation(), uint64(1))
			f.NoErr(w.Write(f.ctx, plan)) // the same change can be repeated
		})
	}
}

// A lost answer followed by an outage must not be reported as "nothing written".
func TestLostAnswerThenOutage(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	w := f.failingGetWriter(3)
	plan, err := w.Plan(f.ctx, f.request(f.edit(ordersKey, "2000", "1000"), ""))
	f.NoErr(err)
	f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	w.sleep = func(context.Context, time.Duration) error {
		f.platform.SetFaults(platform.Faults{Outage: true})
		w.sleep = func(context.Context, time.Duration) error { return context.Canceled }
		return nil
	}
	f.True(store.IsKind(w.Write(f.ctx, plan), store.UnknownOutcome))
}

func TestStaleReadDoesNotRevert(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	old := f.edit(ordersKey, "2000", "1000")
	f.platform.FreezeReads()
	f.platform.Set(store.DocumentKey(ordersKey), []byte(strings.NewReplacer("2000", "500",
		"generation: 1", "generation: 2", "change: c-2", "change: c-x").Replace(string(f.stored(ordersKey).Text))))
	err := f.apply(old, "")                      // the checks pass on the stale read
	f.True(store.IsKind(err, store.Unavailable)) // and the write is reported as failed
	f.platform.UnfreezeReads()
	f.Equal(f.stored(ordersKey).Document.Change(), "c-x")
}

func TestOwner(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "recoating")
	other := f.edit(ordersKey, "2000", "1000")
	tests := []struct {
		name, text, team string
		refused          bool
	}{
		{"another team acts", other, "maps", true},
		{"another team names itself owner", strings.Replace(other, "recoating", "maps", 1), "", true},
		{"another team acts and names itself owner", strings.Replace(other, "recoating", "maps", 1), "maps", true},
		{"a new document for another team", archiveText, "recoating", true},
		{"the owner", other, "recoating", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := f.apply(tt.text, tt.team)
			var owner *OwnerError
			is.Equal(errors.As(err, &owner), tt.refused)
			is.True(tt.refused || err == nil)
		})
	}
	f.mustApply(f.edit(ordersKey, "recoating", "maps"), "recoating") // transferred by its owner
	f.Equal(f.stored(ordersKey).Document.Service.Team, "maps")
}

func TestOverlap(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	for _, text := range []string{
		strings.Replace(archiveText, "192.0.2.2", "192.0.2.1", 1),
		strings.Replace(archiveText, "10.0.2.1", "10.0.1.1", 1),
		strings.Replace(archiveText, "10.0.2.1", "192.0.2.1", 1),
		strings.Replace(archiveText, "north", "west", 1),
		"zones: [{name: south, state: in}]\n", // north is in use
	} {
		var check *CheckError
		f.True(errors.As(f.apply(text, ""), &check))
	}
	f.mustApply(archiveText, "")
}

// Two services claim the same address concurrently: both pass the checks against
// the documents, and only one may be written.
func TestOverlapRace(t *testing.T) {
	f := newFixture(t)
	w := f.writer(3)
	plan, err := w.Plan(f.ctx, f.request(ordersText, ""))
	f.NoErr(err)
	overlapping := strings.Replace(archiveText, "192.0.2.2", "192.0.2.1", 1)
	other := f.writer(3)
	otherPlan, err := other.Plan(f.ctx, f.request(overlapping, ""))
	f.NoErr(err)
	f.NoErr(other.acquireClaim(f.ctx, *otherPlan.Next.Document.Service)) // and pauses before its write
	var check *CheckError
	f.True(errors.As(w.Write(f.ctx, plan), &check))
	f.True(check.Pending)
	f.NoErr(other.Write(f.ctx, otherPlan)) // continues
	f.True(errors.As(w.Write(f.ctx, plan), &check))
	f.True(!check.Pending)
	f.Equal(f.claims(), 0)
}

// A claim must stay while a write of its change may still take effect.
func TestClaimKeptAfterUnknownOutcome(t *testing.T) {
	f := newFixture(t)
	w := f.failingGetWriter(0)
	plan, err := w.Plan(f.ctx, f.request(ordersText, ""))
	f.NoErr(err)
	f.NoErr(w.acquireClaim(f.ctx, *plan.Next.Document.Service))
	f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	f.True(store.IsKind(w.Write(f.ctx, plan), store.UnknownOutcome))
	f.Equal(f.claims(), 1)
	f.mustApply(archiveText, "") // drops the claim, as its document was written
	f.Equal(f.claims(), 0)
}

// After the store was restored from an old copy, a change must still get a higher
// generation than any that was in force.
func TestStoreRestoredFromOldCopy(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	old := f.stored(ordersKey).Text
	f.mustApply(f.edit(ordersKey, "2000", "1000"), "")
	newer := string(f.stored(ordersKey).Text)
	f.platform.Set(store.DocumentKey(ordersKey), old)
	f.mustApply(newer, "")
	f.Equal(f.stored(ordersKey).generation(), uint64(3))

	// The newer file is lost, but hosts have generation 9 in force.
	w := f.writer(3)
	again := f.request(string(f.stored(ordersKey).Text), "")
	again.InForceGeneration = 9
	plan, err := w.Plan(f.ctx, again)
	f.NoErr(err)
	f.NoErr(w.Write(f.ctx, plan))
	f.Equal(f.stored(ordersKey).generation(), uint64(10))
	_, err = w.SetZone(f.ctx, "north", document.ZoneOut, 4)
	f.NoErr(err)
	f.Equal(f.stored(document.ZonesKey).generation(), uint64(5))
}

func TestSetZone(t *testing.T) {
	f := newFixture(t)
	w := f.writer(3)
	_, err := w.SetZone(f.ctx, "north", document.ZoneOut, 0)
	f.NoErr(err)
	f.Equal(zoneState(f.stored(document.ZonesKey), "north"), document.ZoneOut)
	plan, err := w.SetZone(f.ctx, "north", document.ZoneOut, 0)
	f.NoErr(err)
	f.True(plan.Unchanged)
	var unknown *UnknownZoneError
	_, err = w.SetZone(f.ctx, "west", document.ZoneOut, 0)
	f.True(errors.As(err, &unknown))
}

func TestSetZoneRace(t *testing.T) {
	for _, other := range []string{"south", "north"} {
		f := newFixture(t)
		f.platform.SetFaults(platform.Faults{BeforeWrite: func() {
			_, err := f.writer(3).SetZone(f.ctx, other, document.ZoneOut, 0)
			f.NoErr(err)
		}})
		_, err := f.writer(3).SetZone(f.ctx, "north", document.ZoneOut, 0)
		f.NoErr(err)
		f.Equal(zoneState(f.stored(document.ZonesKey), "north"), document.ZoneOut)
		f.Equal(zoneState(f.stored(document.ZonesKey), other), document.ZoneOut) // not undone
	}
}

func TestSetZoneUndoneByOther(t *testing.T) {
	f := newFixture(t)
	w := f.failingGetWriter(3)
	f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	w.sleep = func(context.Context, time.Duration) error {
		_, err := f.writer(3).SetZone(f.ctx, "north", document.ZoneIn, 0)
		f.NoErr(err)
		return nil
	}
	_, err := w.SetZone(f.ctx, "north", document.ZoneOut, 0)
	var conflict *ConflictError
	f.True(errors.As(err, &conflict))
	f.True(conflict.MayHaveRun)
	f.Equal(zoneState(f.stored(document.ZonesKey), "north"), document.ZoneIn)
}

func TestInvalidStoredText(t *testing.T) {
	f := newFixture(t)
	f.platform.Set(store.DocumentKey(ordersKey), []byte("service: orders"))
	var invalid *InvalidError
	f.True(errors.As(f.apply(ordersText, ""), &invalid))
	f.True(strings.Contains(invalid.Error(), "jujubehaven/documents/services/orders"))
	f.mustApply(archiveText, "") // other documents are not affected
}

// Guards the number of store calls per change.
func TestCalls(t *testing.T) {
	f := newFixture(t)
	count := func(change func()) string {
		before := f.platform.Calls()
		change()
		var parts []string
		for _, op := range []store.Op{store.OpGet, store.OpList, store.OpPut, store.OpDelete, store.OpCreateGuard} {
			parts = append(parts, fmt.Sprintf("%s=%d", op, f.platform.Calls()[op]-before[op]))
		}
		return strings.Join(parts, " ")
	}
	f.Equal(count(func() { f.mustApply(ordersText, "") }), "get=3 list=3 put=3 delete=0 create-guard=3") // new addresses
	edited := f.edit(ordersKey, "2000", "1000")
	f.Equal(count(func() { f.mustApply(edited, "") }), "get=0 list=2 put=1 delete=0 create-guard=1")
	f.Equal(count(func() { f.mustApply(edited, "") }), "get=0 list=1 put=0 delete=0 create-guard=0") // no change
	f.Equal(count(func() {
		_, err := f.writer(3).SetZone(f.ctx, "north", document.ZoneOut, 0)
		f.NoErr(err)
	}), "get=0 list=2 put=1 delete=0 create-guard=1")
}
