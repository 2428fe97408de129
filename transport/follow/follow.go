// Package follow keeps a fleet directory in sync with the platform's store,
// directly or through feeds from another host of the zone, and publishes its
// views.
package follow

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

const (
	// DefaultPollInterval is the minimum time between two reads of changes, so
	// that one call collects the heartbeats of many targets.
	DefaultPollInterval = 900 * time.Millisecond
	// watchWait is how long a read waits for a change. It bounds the time to
	// detect a connection that no longer delivers anything, and with the poll interval
	// the time between two feeds of a quiet store.
	watchWait = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. It
	// doubles after each failure and is jittered by up to half.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// feedTimeout is how long a host waits for the next feed before it reads
	// the store itself, plus a jitter of up to feedTimeoutJitter. A feed comes
	// every poll interval and may be lost; a timeout below two intervals lets a
	// host read the store after a single lost feed.
	feedTimeout       = 1500 * time.Millisecond
	feedTimeoutJitter = 300 * time.Millisecond
	// fetchTimeout is how long a host that lacks changes waits for another host
	// to send them before it reads the store.
	fetchTimeout = 300 * time.Millisecond
	// A host may conclude that an entry missing from its view doesn't exist only
	// if its last update is younger than maxUpdateAge, its last failed call is
	// at least failureSettleTime ago and its last full list at least listSettleTime
	// ago. The store may have recovered just before that list, and entries that
	// expired in the outage are written again within 2 s.
	maxUpdateAge      = 2500 * time.Millisecond
	failureSettleTime = 4 * time.Second
	listSettleTime    = 2500 * time.Millisecond
	// failureRetention is how long a host that reads no more after a failed call counts as
	// one that the store does not answer.
	failureRetention = 10 * time.Second
	// maxFeedDelay bounds a feed's time in transit, feedTransit the usual one.
	maxFeedDelay = time.Second
	feedTransit  = 300 * time.Millisecond
	// minRefreshInterval limits the rate of reads caused by Refresh.
	minRefreshInterval = time.Second
	// minMismatchInterval limits the rate of lists because of a mismatch.
	minMismatchInterval = 5 * time.Second
	// maxStaleValues is the number of entries of former targets that are kept at least
	// before they are forgotten.
	maxStaleValues = 100
	// missedFeedJitter spreads the reads of hosts that missed the same feed.
	missedFeedJitter = 150 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	// Feed reads the store.
	Feed    store.Feed
	Keys    fleet.Keys
	Decoder fleet.Decoder
	// Publish receives each new view, in order. It must not call the Follower.
	Publish func(*fleet.View)
	// Clock returns the time since a fixed origin.
	Clock func() time.Duration
	Log   zerolog.Logger
	// Peers exchanges feeds with the other hosts of the zone; nil if every host
	// reads the store itself.
	Peers Peers
	// PollInterval is the minimum time between the starts of two reads; 0 means
	// DefaultPollInterval.
	PollInterval time.Duration
}

// Peers lets one host of a zone read the store for the others.
type Peers interface {
	// ReadsStore reports whether this host reads the store for its zone.
	ReadsStore() bool
	// SendFeed sends the changes read from the store to the other hosts.
	SendFeed(f *gossip.Feed)
	// Fetch requests the changes after a position from another host, without
	// waiting for the reply, which ApplyFeed receives. It reports false if there
	// is no such host.
	Fetch(after store.Position) bool
	// FetchTable requests the entries of the store after a key from the named host, or
	// from the next one that may have a table if the name is empty, without waiting for
	// the reply, which ApplyTablePage receives. It reports false if there is no such
	// host.
	FetchTable(after store.Key, from string) bool
	// FeedWait returns how much longer than the first host of the zone this one
	// waits for a missing feed before it reads the store itself, and how long after a
	// call of its own that failed.
	FeedWait() (wait, retry time.Duration)
}

// Follower reads the store and keeps a directory of it. Its methods are safe
// for concurrent use.
type Follower struct {
	cfg Config

	// mu guards the rest.
	mu    sync.Mutex
	dir   *fleet.Directory
	stats Stats
	// pos is the position in the store's history up to which all changes are
	// known; its index is 0 before the first list. Changes can be read from it
	// while listed is set; otherwise the next read is a list.
	pos    store.Position
	listed bool
	// lastUpdate is when the store or a feed last provided an update.
	lastUpdate time.Duration
	// lastRead is when the store last answered a call of this host, which it had read
	// up to readTo; valid if hasRead is set.
	lastRead time.Duration
	readTo   store.Position
	hasRead  bool
	// completeTo is the time up to which all writes are known, reach says how far the
	// history was read compared to the store's.
	completeTo time.Duration
	reach      reach
	// wakeup signals Run that a feed arrived or that a read is due.
	wakeup chan struct{}
	// missedFeed is why this host has to read the store although another host
	// does: a feed has shown that it lacks changes. It is empty if there is no reason.
	missedFeed Reason
	// lastRefresh is when Refresh last caused a read, refreshTo the time up to which
	// that read has to be complete.
	lastRefresh, refreshTo time.Duration
	// lastMismatch is when this host's targets last differed from the reader's,
	// valid if hasMismatch is set.
	lastMismatch time.Duration
	hasMismatch  bool
	// targetsDiffer is set while this host's targets differ from those of the host
	// that sent the last feed, until the next list. A target that is missing here
	// may have an entry then, so none counts as gone.
	targetsDiffer bool
	// lastFailure is the time of the last failed call, valid if hasFailed is
	// set; lastList is the time of the last full list.
	lastFailure time.Duration
	hasFailed   bool
	lastList    time.Duration
	// storeLost is set while the store doesn't respond to this host.
	storeLost bool
	// recent holds the last changes, for other hosts that lack them.
	recent changeLog
	// rejected maps each entry that can't be decoded to its error, so that it is
	// logged once.
	rejected map[store.Key]string
	// operator holds the operator's entries that the store holds, as true, and those
	// that were deleted, as false.
	operator map[store.Key]bool
	// heldUntil is the end of the grace after the store was restored from a copy.
	// relistPending is set until the list that follows it.
	heldUntil     time.Duration
	relistPending bool
	// keptInList is the number of entries of the last list that did not override
	// what was known.
	keptInList int
	// firstList is when the first list was applied.
	firstList time.Duration
	// values holds the entries as they were last read.
	values map[store.Key]store.Entry
	// unconfirmed is set while this host has no list but the table of another host.
	unconfirmed bool
	// peerStoreAnswers is set if the store answered the zone's reader when it was last
	// heard of.
	peerStoreAnswers bool
	// transfer is the table that is being received, nil if there is none.
	transfer *tableTransfer
	// epochMissing is set once a response did not name the store's epoch.
	epochMissing bool
	// progress is what CompleteTo returns, nil before the first update.
	progress atomic.Pointer[progress]
}

// Stats are the totals and the state of a Follower, for metrics.
type Stats struct {
	// Calls counts store calls, Failures failed ones by kind.
	Calls    map[Call]uint64
	Failures map[store.Kind]uint64
	// LastUpdate is when the store or a feed last provided an update, by
	// Config.Clock.
	LastUpdate    time.Duration
	ConfigVersion uint64
	// Rejected is the number of entries that can't be decoded.
	Rejected int
	// Feeds counts the applied feeds of other hosts.
	Feeds uint64
	// LagRevisions is the number of revisions of the store that are known to exist and
	// were not read yet. CompleteTo is the time up to which all writes are known.
	LagRevisions uint64
	CompleteTo   time.Duration
	// Epoch is the epoch of the store, Restores counts its restores from a copy and
	// Kept the entries of copies that did not override what was known.
	Epoch    store.Epoch
	Restores uint64
	Kept     uint64
	Ready    bool
}

// New returns a follower with an empty directory.
func New(cfg Config) *Follower {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	return &Follower{
		cfg: cfg, dir: fleet.NewDirectory(), rejected: map[store.Key]string{}, operator: map[store.Key]bool{}, values: map[store.Key]store.Entry{}, wakeup: make(chan struct{}, 1),
		stats: Stats{Calls: map[Call]uint64{}, Failures: map[store.Kind]uint64{}},
		reach: newReach(),
	}
}

// Ready reports whether the configuration, the zones and the targets have been
// read.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dir.Ready()
}

// Confirmed reports whether the store or the zone's reader has confirmed what this host
// knows, which is not the case while it has only the table of another host.
func (f *Follower) Confirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unconfirmed
}

// StoreAnswers reports whether the entries were listed once and the last call to
// the store succeeded, or failed so long ago that it says nothing any more.
func (f *Follower) StoreAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pos.Index > 0 && (!f.storeLost || f.failureOutdated())
}

// failureOutdated reports whether the last call failed long ago and other hosts have
// provided an update since. The caller holds f.mu.
func (f *Follower) failureOutdated() bool {
	return f.lastUpdate > f.lastFailure && f.cfg.Clock() >= f.lastFailure+failureRetention
}

// LastRead returns up to which position this host has read the store by its own calls,
// and when the store last answered, by Config.Clock. It reports false if it never did.
func (f *Follower) LastRead() (to store.Position, at time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readTo, f.lastRead, f.hasRead
}

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	reason := ReasonStart
	for ctx.Err() == nil {
		start := f.cfg.Clock()
		err := f.read(ctx, reason)
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			delay = minRetryDelay
			if f.pause(ctx, start+f.cfg.PollInterval) {
				reason = ReasonUnknownDestination
			} else {
				reason = f.waitToRead(ctx, ReasonReader)
			}
		case store.IsKind(err, store.HistoryLost):
			f.recordFailure(err)
			reason = ReasonHistoryLost
		case isTooLong(err):
			f.recordTooLong(err)
			reason = ReasonTooLong
		default:
			f.recordFailure(err)
			if !f.fetchTable() {
				f.fetch()
			}
			f.sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
			reason = f.waitToRead(ctx, ReasonRetry)
		}
	}
}

// publish expires missing targets and publishes a new view if anything has
// changed.
func (f *Follower) publish() {
	defer f.recordProgress()
	if !f.targetsDiffer {
		for _, key := range f.dir.Sweep(f.cfg.Clock(), f.completeTo) {
			f.cfg.Log.Warn().Str("event", "target_expired").Str("target", string(key)).Send()
		}
	}
	if len(f.values) > maxStaleValues+2*f.dir.Size() {
		f.pruneValues()
	}
	if !f.dir.Ready() {
		return
	}
	f.stats.Ready = true
	if v := f.dir.View(); v != nil {
		f.cfg.Publish(v)
	}
}

// Stats returns a copy of the current totals and state.
func (f *Follower) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.Calls = maps.Clone(f.stats.Calls)
	s.Failures = maps.Clone(f.stats.Failures)
	s.Rejected = len(f.rejected)
	s.LastUpdate = f.lastUpdate
	s.Epoch = f.pos.Epoch
	s.LagRevisions = f.reach.lag(f.pos)
	s.CompleteTo = f.completeTo
	return s
}

// waitForWakeup waits for a wakeup, but no longer than wait.
func (f *Follower) waitForWakeup(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wakeup:
	}
}

func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
