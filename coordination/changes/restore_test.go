package changes

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// markCopy makes what is written from now on missing from the copy that loseWrites
// returns to.
func (f fixture) markCopy() { f.platform.AdvanceClock(time.Minute) }

func (f fixture) loseWrites() { f.NoErr(f.platform.Restore(time.Second)) }

func (f fixture) revision(key store.Key) store.Revision {
	f.t.Helper()
	entry, err := f.store.Get(f.ctx, key)
	f.NoErr(err)
	return entry.Revision
}

// reissue restores the store from the marked copy and writes a value under a key
// so that it gets a revision that was given out before.
func (f fixture) reissue(key store.Key, value []byte, revision store.Revision) {
	f.t.Helper()
	f.loseWrites()
	for range 100 {
		f.platform.Set(key, value)
		if f.revision(key) == revision {
			return
		}
	}
	f.t.Fatalf("revision %d was not reached", revision)
}

// beforeWrite runs a function before the next write of a document or the claims.
func (f fixture) beforeWrite(run func()) {
	f.platform.SetFaults(platform.Faults{BeforeWrite: run})
}

func (f fixture) guards() int {
	s, err := f.store.List(f.ctx, store.GuardsPrefix)
	f.NoErr(err)
	return len(s.Entries)
}

// planAgainstAnotherOperator returns a change of a document that was written after the
// copy of the store, and the text that another operator writes in its place.
func (f *fixture) planAgainstAnotherOperator() (w *Writer, plan Plan, theirs []byte) {
	f.mustApply(ordersText, "")
	f.markCopy()
	f.mustApply(f.edit(ordersKey, "2000", "1500"), "")
	w = f.writer(3)
	plan, err := w.Plan(f.ctx, f.request(f.edit(ordersKey, "1500", "1000"), ""))
	f.NoErr(err)
	theirs = []byte(strings.NewReplacer("1500", "500", "c-3", "c-other").Replace(string(f.stored(ordersKey).Text)))
	return w, plan, theirs
}

// Guards against overwriting another operator's document whose revision was given
// out before for the one that this change was made from.
func TestReissuedRevisionOfADocumentConflicts(t *testing.T) {
	f := newFixture(t)
	w, plan, theirs := f.planAgainstAnotherOperator()
	f.beforeWrite(func() { f.reissue(store.DocumentKey(ordersKey), theirs, plan.Base.Revision) })
	var conflict *ConflictError
	f.True(errors.As(w.Write(f.ctx, plan), &conflict))
	f.True(!conflict.MayHaveRun)
	f.True(strings.Contains(conflict.Diff, "connections: 500"))
	f.Equal(string(f.stored(ordersKey).Text), string(theirs))
	f.Equal(f.guards(), 0)
}

// Guards against the same failure if the restore is between the plan and the write.
func TestRevisionReissuedBeforeTheWriteBeginsConflicts(t *testing.T) {
	f := newFixture(t)
	w, plan, theirs := f.planAgainstAnotherOperator()
	f.reissue(store.DocumentKey(ordersKey), theirs, plan.Base.Revision)
	var conflict *ConflictError
	f.True(errors.As(w.Write(f.ctx, plan), &conflict))
	f.Equal(string(f.stored(ordersKey).Text), string(theirs))
}

// Guards against a conflict although the contents that a change relies on are the same:
// only the revision of its base is another after the store's restore.
func TestSameContentsUnderAnotherRevision(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	w := f.writer(3)
	plan, err := w.Plan(f.ctx, f.request(f.edit(ordersKey, "2000", "1000"), ""))
	f.NoErr(err)
	f.platform.ResetIndex()
	f.NoErr(w.Write(f.ctx, plan))
	f.Equal(f.stored(ordersKey).Document.Change(), plan.Next.Document.Change())
}

// Guards against an evacuation that overwrites another operator's zones document
// with a revision given out before.
func TestReissuedRevisionOfZonesIsNotOverwritten(t *testing.T) {
	f := newFixture(t)
	f.markCopy()
	_, err := f.writer(3).SetZone(f.ctx, "south", document.ZoneOut, 0)
	f.NoErr(err)
	revision := f.revision(store.DocumentKey(document.ZonesKey))
	theirs := strings.Replace(string(f.stored(document.ZonesKey).Text), "south", "west", 1)
	f.beforeWrite(func() { f.reissue(store.DocumentKey(document.ZonesKey), []byte(theirs), revision) })
	_, err = f.writer(3).SetZone(f.ctx, "north", document.ZoneOut, 0)
	f.NoErr(err)
	zones := f.stored(document.ZonesKey)
	f.Equal(zoneState(zones, "north"), document.ZoneOut)
	f.Equal(zoneState(zones, "west"), document.ZoneOut) // not undone
	f.Equal(f.guards(), 0)
}

// Guards against claims that overwrite those of another operator with a revision
// given out before, when a claim is added and when it is removed.
func TestReissuedRevisionOfClaimsIsNotOverwritten(t *testing.T) {
	other := claim{
		Service: "third", Team: "maps", Generation: 1, Change: "c-other",
		Addresses: []claimAddress{{AddrPort: netip.MustParseAddrPort("192.0.2.3:443")}},
	}
	for _, removes := range []bool{false, true} {
		f := newFixture(t)
		orders := f.request(ordersText, "").Document.Service
		orders.Change, orders.Generation = "c-own", 1
		w := f.writer(3)
		if removes {
			f.NoErr(w.acquireClaim(f.ctx, *orders))
		}
		f.markCopy()
		archive := f.request(archiveText, "").Document.Service
		archive.Change, archive.Generation = "c-lost", 1
		f.NoErr(w.acquireClaim(f.ctx, *archive))
		list, err := readClaims(f.ctx, f.store)
		f.NoErr(err)
		theirs := claimList{Claims: []claim{other}}
		if removes {
			theirs.Claims = append(theirs.Claims, newClaim(*orders))
		}
		text, err := json.Marshal(theirs)
		f.NoErr(err)
		f.beforeWrite(func() { f.reissue(store.ClaimsKey, text, list.revision) })
		if removes {
			f.NoErr(w.removeClaim(f.ctx, "c-own"))
		} else {
			f.NoErr(w.acquireClaim(f.ctx, *orders))
		}
		list, err = readClaims(f.ctx, f.store)
		f.NoErr(err)
		f.True(list.contains("c-other"))
		f.Equal(list.contains("c-own"), !removes)
		f.Equal(f.guards(), 0)
	}
}

// hookedStore runs a function before the creation of each guard.
type hookedStore struct {
	store.Store
	beforeGuard func()
}

func (s hookedStore) CreateGuard(ctx context.Context) (store.Guard, error) {
	s.beforeGuard()
	return s.Store.CreateGuard(ctx)
}

// Guards against two services with one address: the store loses a claim between its
// write and its use, and another operator takes the address.
func TestClaimLostBeforeItsUse(t *testing.T) {
	overlapping := strings.Replace(archiveText, "192.0.2.2", "192.0.2.1", 1)
	for _, moment := range []string{"before the guard of the document", "before the write of the document"} {
		t.Run(moment, func(t *testing.T) {
			f := newFixture(t)
			w := f.writer(3)
			plan, err := w.Plan(f.ctx, f.request(ordersText, ""))
			f.NoErr(err)
			f.markCopy()
			loseClaim := func() {
				f.loseWrites()
				f.mustApply(overlapping, "")
			}
			if moment == "before the write of the document" {
				f.beforeWrite(func() { f.beforeWrite(loseClaim) })
			} else {
				guards := 0
				w.store = hookedStore{f.store, func() {
					if guards++; guards == 2 {
						loseClaim()
					}
				}}
			}
			var conflict *ConflictError
			f.True(errors.As(w.Write(f.ctx, plan), &conflict))
			f.True(conflict.ClaimLost)
			f.Equal(f.stored(ordersKey).Revision, store.Revision(0))
			f.Equal(f.stored("services/archive").generation(), uint64(1))
			f.Equal(f.claims(), 0)
			f.Equal(f.guards(), 0)
			var check *CheckError
			f.True(errors.As(f.apply(ordersText, ""), &check)) // the command again
		})
	}
}

// Guards against a change that is reported as written although the store has lost it:
// the answer to its write was lost, then the store was restored from a copy, and another
// operator's change got its revision.
func TestLostAnswerAcrossTheReturn(t *testing.T) {
	for _, replaced := range []bool{true, false} {
		f := newFixture(t)
		f.mustApply(ordersText, "")
		base := f.stored(ordersKey)
		w := f.failingGetWriter(3)
		plan, err := w.Plan(f.ctx, f.request(f.edit(ordersKey, "2000", "1000"), ""))
		f.NoErr(err)
		f.markCopy()
		f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
		theirs := strings.NewReplacer("2000", "500", "generation: 1", "generation: 2", "c-2", "c-other").Replace(string(base.Text))
		returns := 0
		w.sleep = func(context.Context, time.Duration) error {
			if returns++; returns > 1 {
				return nil
			}
			f.Equal(f.stored(ordersKey).Document.Change(), plan.Next.Document.Change()) // in force for a time
			if replaced {
				f.reissue(store.DocumentKey(ordersKey), []byte(theirs), f.revision(store.DocumentKey(ordersKey)))
			} else {
				f.loseWrites()
			}
			return nil
		}
		err = w.Write(f.ctx, plan)
		if !replaced {
			f.NoErr(err) // written again
			f.Equal(f.stored(ordersKey).Document.Change(), plan.Next.Document.Change())
			continue
		}
		var conflict *ConflictError
		f.True(errors.As(err, &conflict))
		f.True(conflict.MayHaveRun)
		f.Equal(string(f.stored(ordersKey).Text), theirs)
	}
}

// Guards against a change that fails, or is written twice, because answers to guards are
// lost.
func TestLostAnswersToGuards(t *testing.T) {
	f := newFixture(t)
	f.platform.SetFaults(platform.Faults{LoseGuardAnswers: 2})
	f.mustApply(ordersText, "")
	f.Equal(f.stored(ordersKey).generation(), uint64(1))
	f.Equal(f.claims(), 0)
}

// Guards against guards that pile up in the store.
func TestNoGuardIsLeft(t *testing.T) {
	f := newFixture(t)
	f.mustApply(ordersText, "")
	f.mustApply(f.edit(ordersKey, "2000", "1000"), "")
	overlapping := strings.Replace(archiveText, "192.0.2.2", "192.0.2.1", 1)
	w := f.writer(3)
	request := f.request(strings.Replace(archiveText, "archive", "third", 1), "")
	plan, err := w.Plan(f.ctx, request)
	f.NoErr(err)
	f.True(f.apply(overlapping, "") != nil)
	f.mustApply(archiveText, "")
	var check *CheckError
	f.True(errors.As(w.Write(f.ctx, plan), &check))
	f.Equal(f.guards(), 0)
}
