package documents

import (
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/matryer/is"
)

func TestWatcherReadsThenWatches(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(1)
	is.Equal(w.Next(0, true).Kind, StepRead)
	w.ReadDone(7)
	now := time.Second
	is.Equal(w.Next(now, true), Step{Kind: StepWatch, Wait: WatchTimeout, After: 7})
	is.True(!w.WatchDone(7)) // unchanged
	now += time.Second
	is.Equal(w.Next(now, true).Kind, StepWatch)
	is.True(!w.WatchDone(9)) // changed
	now += time.Second
	is.Equal(w.Next(now, true).Kind, StepRead)
}

func TestWatcherReadsAgainAfterGap(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(1)
	w.ReadDone(70)
	is.True(w.WatchDone(3)) // the history was lost
	is.Equal(w.Next(time.Second, true).Kind, StepRead)
	w.ReadDone(3)
	is.Equal(w.Next(2*time.Second, true).After, Step{After: 3}.After)
}

func TestWatcherIdlesWhenNotWanted(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(1)
	w.ReadDone(7)
	is.Equal(w.Next(0, false), Step{Kind: StepPause, Wait: IdlePollInterval})
	is.Equal(w.Next(time.Second, true).Kind, StepRead) // changes may have been missed
}

// After a store has lost its history, its index may reach the watched one again,
// so that the watch misses a change; reads at long intervals recover from it.
func TestWatcherReadsAtLongIntervals(t *testing.T) {
	is := is.New(t)
	w := NewWatcher(1)
	w.ReadDone(7)
	reads := 0
	for now := time.Duration(0); now < time.Hour; now += WatchTimeout {
		if w.Next(now, true).Kind == StepRead {
			reads++
			w.ReadDone(7)
		}
		w.WatchDone(7)
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
			w.ReadDone(1)
		case StepWatch:
			calls++
			w.WatchDone(1) // the store answers at once
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
	w.ReadDone(1)                                // the store has recovered
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
