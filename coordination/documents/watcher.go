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
	// RereadInterval is the longest time between reads: after the store
	// was restored from an older copy, its index may reach that of a watch again, by
	// the same last write, without notice.
	RereadInterval = 2 * time.Minute
	// RestoreGrace is how long after the store's restore from an older copy the copy
	// does not override what a host knows of leaving hosts. What was lost is written
	// again within seconds.
	RestoreGrace = 4500 * time.Millisecond
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
	After store.Position
}

// Watcher decides how one prefix of the store is followed: read once, then
// watch, and read again after each change, at long intervals, and once more when
// RestoreGrace has passed since the store was restored from a copy. Failed calls
// are retried with exponential backoff and jitter, so that hosts don't all
// return to a recovering store at once. It is not safe for concurrent use.
type Watcher struct {
	rand     *rand.Rand
	position store.Position
	upToDate bool
	failures int
	nextCall time.Duration
	// lastStep is the time of the last call of Next.
	lastStep time.Duration
	// nextRead is when to read next even without a change.
	nextRead time.Duration
	// graceEnd is the end of the grace after the store was restored from a copy.
	graceEnd time.Duration
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
	return Step{Kind: StepWatch, Wait: min(WatchTimeout, w.nextRead-now), After: w.position}
}

// ReadDone records a successful read as of the position. It reports whether the read
// is the first after the store was restored from an older copy.
func (w *Watcher) ReadDone(at store.Position) (restored bool) {
	restored = w.position.Index != 0 && !continues(w.position, at)
	w.nextRead = w.lastStep + randomDuration(w.rand, RereadInterval/2, RereadInterval)
	if restored {
		w.graceEnd = w.lastStep + RestoreGrace
	}
	if w.lastStep < w.graceEnd {
		w.nextRead = min(w.nextRead, w.graceEnd)
	}
	w.failures = 0
	w.upToDate = true
	w.position = at
	return restored
}

// WatchDone records the end of a watch at the position. The next step is a read
// unless nothing has changed.
func (w *Watcher) WatchDone(at store.Position) {
	w.failures = 0
	w.upToDate = at == w.position
}

// continues reports whether a position belongs to the same history as a former one.
func continues(former, at store.Position) bool {
	return at.Epoch == former.Epoch && at.Index >= former.Index
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
