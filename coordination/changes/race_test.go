package changes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

// Sizes of the test of concurrent operators.
const (
	raceOperators = 8
	raceChanges   = 30
	raceServices  = 4
	raceAddresses = 5
	raceSeed      = 1
	// With these numbers, most changes are written while restores go on.
	restoreChanges   = 40
	restoreAddresses = 8
	// maxTimeToRestore bounds the time until the store is restored from a copy again,
	// maxCopyAge the age of the copy. Both are a few times as long as a change.
	maxTimeToRestore = 4 * time.Millisecond
	maxCopyAge       = 2 * time.Millisecond
)

// race records which change was reported as written for each generation.
type race struct {
	fixture
	mu      sync.Mutex
	written map[string]string
	// restores is set if the store is restored from older copies.
	restores bool
	// changes is the number of changes of each operator, addresses that of the
	// addresses that they use.
	changes, addresses int
	writes, conflicts  int
}

// Many operators concurrently move services between a few addresses while
// answers are lost. No two services may be stored with the same address, and
// each change reported as written must have a generation of its own.
func TestManyOperators(t *testing.T) {
	t.Logf("seed %d", raceSeed)
	r := &race{fixture: newFixture(t), written: map[string]string{}, changes: raceChanges, addresses: raceAddresses}
	var wg sync.WaitGroup
	for operator := range raceOperators {
		wg.Go(func() { r.runOperator(rand.New(rand.NewPCG(raceSeed, uint64(operator)))) })
	}
	wg.Wait()
	t.Logf("%d changes written", len(r.written))
	r.True(len(r.written) > raceServices) // some changes were written
}

// Guards against two services with one address, and against lost changes, while the store
// is restored from older copies: a claim may be lost between any two calls, and revisions
// are given out again.
func TestManyOperatorsWhileTheStoreReturns(t *testing.T) {
	t.Logf("seed %d", raceSeed)
	r := &race{fixture: newFixture(t), restores: true, changes: restoreChanges, addresses: restoreAddresses}
	done := make(chan struct{})
	var restoring, operators sync.WaitGroup
	restoring.Go(func() {
		rng := rand.New(rand.NewPCG(raceSeed, raceOperators))
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rng.IntN(int(maxTimeToRestore)))):
				if err := r.platform.Restore(time.Duration(rng.IntN(int(maxCopyAge)))); err != nil {
					t.Error(err)
				}
			}
		}
	})
	for operator := range raceOperators {
		operators.Go(func() { r.runOperator(rand.New(rand.NewPCG(raceSeed, uint64(operator)))) })
	}
	operators.Wait()
	close(done)
	restoring.Wait()
	t.Logf("%d changes written, %d conflicts", r.writes, r.conflicts)
	r.True(r.writes > raceServices) // some changes were written
	r.True(r.conflicts > 0)
}

func (r *race) runOperator(rng *rand.Rand) {
	w := NewWriter(r.store, r.ids.next, Options{
		Sleep: func(context.Context, time.Duration) error { return nil },
	})
	for range r.changes {
		if rng.IntN(4) == 0 {
			r.platform.SetFaults(platform.Faults{LoseAnswers: rng.IntN(3)})
		}
		plan, err := w.Plan(r.ctx, r.request(raceText(rng, r.addresses), ""))
		if err == nil && !plan.Unchanged {
			r.record(plan, w.Write(r.ctx, plan))
		}
		r.checkStored()
	}
}

// raceText returns the document of a random service with a random address.
func raceText(rng *rand.Rand, addresses int) string {
	service := rng.IntN(raceServices)
	return strings.NewReplacer(
		"orders", fmt.Sprintf("s%d", service),
		"192.0.2.1", fmt.Sprintf("192.0.2.%d", rng.IntN(addresses)),
		"10.0.1.1", fmt.Sprintf("10.0.1.%d", service),
	).Replace(ordersText)
}

func (r *race) record(plan Plan, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.conflicts++
		return
	}
	r.writes++
	if r.restores {
		return // a lost generation is written again
	}
	id := fmt.Sprintf("%s generation %d", plan.Key, plan.Next.Document.Generation())
	change := plan.Next.Document.Change()
	if other, ok := r.written[id]; ok {
		r.t.Errorf("%s was written by %s and %s", id, other, change)
	}
	r.written[id] = change
}

func (r *race) checkStored() {
	all, err := Load(r.ctx, r.store)
	if err != nil {
		r.t.Error(err)
		return
	}
	services, _ := all.withDocument(document.Document{Zones: &document.Zones{}})
	for _, c := range document.CheckServices(services) {
		r.t.Errorf("stored documents conflict: %s", c)
	}
}
