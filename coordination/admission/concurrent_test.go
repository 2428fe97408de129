package admission

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConcurrentUse calls all methods concurrently, for the race detector, and
// checks that no update of a count is lost.
func TestConcurrentUse(t *testing.T) {
	const workers, rounds = 4, 500
	cfg := testConfig()
	cfg.Limits.OpeningsInFlight = workers * rounds
	cfg.Limits.OpeningsPerSecond = 0
	tg := NewTarget(0, cfg, false, testSeed)
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for i := range rounds {
				now := time.Duration(i) * time.Millisecond
				if !tg.AdmitOverShare(now).OK {
					continue
				}
				tg.SetMeanFlows(100)
				tg.ApplyReport(now, Report{At: now, Load: 0.5})
				tg.Established(now, 0)
				tg.Adopt(now)
				_ = tg.Limits(now)
				tg.Ended(now, true)
				tg.Ended(now, true)
			}
		})
	}
	wait.Wait()
	is := is.New(t)
	is.Equal(tg.Flows(), 0)
	is.Equal(tg.InFlight(), 0)
}
