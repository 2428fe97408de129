package documents

import (
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/matryer/is"
)

func at(epoch store.Epoch, index store.Index) store.Position {
	return store.Position{Epoch: epoch, Index: index}
}

func TestWatcherReadsThenWatches(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(1)
	is.Equal(w.Next(0, true).Kind, StepRead)
	w.ReadDone(at(1, 7))
	now := time.Second
	is.Equal(w.Next(now, true), Step{Kind: StepWatch, Wait: WatchTimeout, After: at(1, 7)})
	w.WatchDone(at(1, 7)) // unchanged
	now += time.Second
	is.Equal(w.Next(now, true).Kind, StepWatch)
	w.WatchDone(at(1, 9)) // changed
	now += time.Second
	is.Equal(w.Next(now, true).Kind, StepRead)
}

// Guards against changes that are skipped because the store returned from an older
// copy: its index went back, reached the watched one again or passed it.
func TestWatcherReadsAgainAfterTheStoreReturns(t *testing.T) {
	for name, returned := range map[string]store.Position{
		"index went back": at(2, 3), "same index": at(2, 70), "index passed": at(2, 90), "no epochs": at(1, 3),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := NewWatcher(1)
			is.True(!w.ReadDone(at(1, 70)))
			w.WatchDone(returned)
			is.Equal(w.Next(time.Second, true).Kind, StepRead)
			is.True(w.ReadDone(returned))
			is.Equal(w.Next(2*time.Second, true).After, returned)
			w.WatchDone(returned)
			is.True(!w.ReadDone(returned)) // reported once
		})
	}
}

// Guards against a copy's contents that are not read again when they may override
// what the host knows, also if they change in the meantime.
func TestWatcherReadsAgainAfterTheGrace(t *testing.T) {
	for _, changed := range []bool{false, true} {
		is := is.New(t)
		w := NewWatcher(1)
		w.ReadDone(at(1, 70))
		is.Equal(w.Next(time.Second, true).Kind, StepWatch)
		w.WatchDone(at(2, 3))
		is.Equal(w.Next(2*time.Second, true).Kind, StepRead)
		w.ReadDone(at(2, 3))
		last := at(2, 3)
		if changed {
			last = at(2, 4)
			w.Next(3*time.Second, true)
			w.WatchDone(last)
			is.Equal(w.Next(4*time.Second, true).Kind, StepRead)
			is.True(!w.ReadDone(last))
		}
		step := w.Next(5*time.Second, true)
		is.Equal(step, Step{Kind: StepWatch, Wait: 1500 * time.Millisecond, After: last})
		w.WatchDone(last)
		is.Equal(w.Next(2*time.Second+RestoreGrace, true).Kind, StepRead)
	}
}

func TestWatcherIdlesWhenNotWanted(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(1)
	w.ReadDone(at(1, 7))
	is.Equal(w.Next(0, false), Step{Kind: StepPause, Wait: IdlePollInterval})
	is.Equal(w.Next(time.Second, true).Kind, StepRead) // changes may have been missed
}

// After a store has lost its history, its index may reach the watched one again,
// so that the watch misses a change; reads at long intervals recover from it.
func TestWatcherReadsAtLongIntervals(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(1)
	w.ReadDone(at(1, 7))
	reads := 0
	for now := time.Duration(0); now < time.Hour; now += WatchTimeout {
		if w.Next(now, true).Kind == StepRead {
			reads++
			w.ReadDone(at(1, 7))
		}
		w.WatchDone(at(1, 7))
	}
	is.True(reads >= 28 && reads <= 60) // once in RereadInterval, or up to twice
}

func TestWatcherLimitsCalls(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(1)
	calls := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		switch w.Next(now, true).Kind {
		case StepRead:
			calls++
			w.ReadDone(at(1, 1))
		case StepWatch:
			calls++
			w.WatchDone(at(1, 1)) // the store answers at once
		}
	}
	is.Equal(calls, 100) // one in each minCallInterval
}

func TestWatcherBacksOff(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(1)
	calls := 0
	var last time.Duration
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		if w.Next(now, true).Kind == StepRead {
			calls++
			last = now
			is.True(w.Failed(now) <= maxBackoff)
		}
	}
	is.True(calls >= 15 && calls <= 40)          // about one in 3 s after the first
	is.True(last >= time.Minute-maxBackoff)      // retries forever
	is.Equal(w.Next(last, true).Kind, StepPause) // waits after the last failure
	w.ReadDone(at(1, 1))                         // the store has recovered
	is.True(w.Failed(time.Minute) <= minBackoff) // the backoff was reset
}

func TestFetcher(t *testing.T) {
	is := is.New(t)
	f := NewFetcher(1)
	a, b := peer.Host{Name: "a"}, peer.Host{Name: "b"}
	_, ok := f.Pick(0, nil)
	is.True(!ok)
	host, ok := f.Pick(0, []peer.Host{a})
	is.True(ok)
	_, ok = f.Pick(minFetchInterval-1, []peer.Host{b})
	is.True(!ok) // one at a time
	f.Done(minFetchInterval-1, host, false)
	got, ok := f.Pick(minFetchInterval, []peer.Host{a, b})
	is.True(ok)
	is.Equal(got.Name, "b") // a is backing off
	f.Done(minFetchInterval, b, true)
	_, ok = f.Pick(2*minFetchInterval, []peer.Host{b})
	is.True(ok) // useful peers are queried again
	for now := time.Second; now < time.Minute; now += time.Second {
		f.Done(now, a, false)
	}
	_, ok = f.Pick(time.Minute, []peer.Host{a})
	is.True(!ok) // a is backing off
	_, ok = f.Pick(time.Minute+maxBackoff, []peer.Host{a})
	is.True(ok) // the backoff is over
}
