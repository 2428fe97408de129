package documents

import (
	"math/rand/v2"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

const (
	// WatchTimeout is how long a watch waits for a change. If the store has lost
	// its history, a watch waits for the whole time.
	WatchTimeout = 3 * time.Second
	// RereadInterval is the longest time between reads: after the store has lost
	// its history, its index may reach that of a watch again unnoticed.
	RereadInterval = 2 * time.Minute
	// IdlePollInterval is how often a host that does not follow the prefix checks
	// whether it should.
	IdlePollInterval = 500 * time.Millisecond
	// minCallInterval limits the rate of calls if the store answers at once.
	minCallInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after failed calls.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// StepKind is the kind of a watcher's next action.
type StepKind uint8

const (
	// StepPause waits for Step.Wait before Next is called again.
	StepPause StepKind = iota
	// StepRead reads all values under the prefix.
	StepRead
	// StepWatch waits for up to Step.Wait until the store has a change after
	// Step.After.
	StepWatch
)

// Step is the next action of a watcher.
type Step struct {
	Kind  StepKind
	Wait  time.Duration
	After store.Index
}

// Watcher decides how one prefix of the store is followed: read once, then
// watch, and read again after each change and at long intervals. Failed calls
// are retried with exponential backoff and jitter, so that hosts don't all
// return to a recovering store at once. It is not safe for concurrent use.
type Watcher struct {
	rand     *rand.Rand
	index    store.Index
	upToDate bool
	failures int
	nextCall time.Duration
	// lastStep is the time of the last call of Next.
	lastStep time.Duration
	// nextRead is when to read next even without a change.
	nextRead time.Duration
}

// NewWatcher returns a watcher whose jitter depends on the seed.
func NewWatcher(seed uint64) *Watcher {
	return &Watcher{rand: rand.New(rand.NewPCG(seed, seed))}
}

// Next returns the next step; wanted is whether this host should follow the
// prefix. A host that starts to follow it reads first.
func (w *Watcher) Next(now time.Duration, wanted bool) Step {
	w.lastStep = now
	if !wanted {
		w.upToDate = false
		return Step{Kind: StepPause, Wait: IdlePollInterval}
	}
	if now < w.nextCall {
		return Step{Kind: StepPause, Wait: w.nextCall - now}
	}
	w.nextCall = now + minCallInterval
	if !w.upToDate || now >= w.nextRead {
		return Step{Kind: StepRead}
	}
	return Step{Kind: StepWatch, Wait: WatchTimeout, After: w.index}
}

// ReadDone records a successful read as of the index.
func (w *Watcher) ReadDone(index store.Index) {
	w.nextRead = w.lastStep + randomDuration(w.rand, RereadInterval/2, RereadInterval)
	w.failures = 0
	w.upToDate = true
	w.index = index
}

// WatchDone records the end of a watch at the index; historyLost reports that the
// store has lost its history, so that changes may have been missed.
func (w *Watcher) WatchDone(index store.Index) (historyLost bool) {
	w.failures = 0
	w.upToDate = index == w.index
	return index < w.index
}

// Failed records a failed call and returns the delay before the next one. The
// next call is a read, as a change may have been missed.
func (w *Watcher) Failed(now time.Duration) time.Duration {
	w.upToDate = false
	delay := backoff(w.rand, w.failures)
	w.failures++
	w.nextCall = now + delay
	return delay
}

// backoff returns a random delay between half and all of the exponential delay.
func backoff(r *rand.Rand, failures int) time.Duration {
	delay := maxBackoff
	if failures < 16 {
		delay = min(maxBackoff, minBackoff<<failures)
	}
	return randomDuration(r, delay/2, delay)
}

// randomDuration returns a duration from low to high, both included.
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
