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
)

// race records which change was reported as written for each generation.
type race struct {
	fixture
	mu      sync.Mutex
	written map[string]string
}

// Many operators concurrently move services between a few addresses while
// answers are lost. No two services may be stored with the same address, and
// each change reported as written must have a generation of its own.
func TestManyOperators(t *testing.T) {
	t.Logf("seed %d", raceSeed)
	r := &race{fixture: newFixture(t), written: map[string]string{}}
	var wg sync.WaitGroup
	for operator := range raceOperators {
		wg.Go(func() { r.runOperator(rand.New(rand.NewPCG(raceSeed, uint64(operator)))) })
	}
	wg.Wait()
	t.Logf("%d changes written", len(r.written))
	r.True(len(r.written) > raceServices) // some changes were written
}

func (r *race) runOperator(rng *rand.Rand) {
	w := NewWriter(r.store, r.ids.next, Options{
		Sleep: func(context.Context, time.Duration) error { return nil },
	})
	for range raceChanges {
		if rng.IntN(4) == 0 {
			r.platform.SetFaults(platform.Faults{LoseAnswers: rng.IntN(3)})
		}
		plan, err := w.Plan(r.ctx, r.request(raceText(rng), ""))
		if err == nil && !plan.Unchanged && w.Write(r.ctx, plan) == nil {
			r.record(plan)
		}
		r.checkStored()
	}
}

// raceText returns the document of a random service with a random address.
func raceText(rng *rand.Rand) string {
	service := rng.IntN(raceServices)
	return strings.NewReplacer(
		"orders", fmt.Sprintf("s%d", service),
		"192.0.2.1", fmt.Sprintf("192.0.2.%d", rng.IntN(raceAddresses)),
		"10.0.1.1", fmt.Sprintf("10.0.1.%d", service),
	).Replace(ordersText)
}

func (r *race) record(plan Plan) {
	id := fmt.Sprintf("%s generation %d", plan.Key, plan.Next.Document.Generation())
	change := plan.Next.Document.Change()
	r.mu.Lock()
	defer r.mu.Unlock()
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
