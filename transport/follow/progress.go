package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// How far a host has read. A store may divide a long answer to a watch, which does not
// say so: the caller continues from its last revision. An answer therefore holds all
// changes up to the call only if it is empty, if it reaches a position of the store that
// was read before the call, or by its size: if it is no longer than answers that did,
// and did not end where one more long change had no room.

const (
	// shortEvents and shortBytes are the size of answers that no store is expected to
	// divide.
	shortEvents = 64
	shortBytes  = 64 << 10
	// longShare is the share of an answer, as its inverse, from which on a change is
	// long: the next one may have had no room in an answer that is otherwise short.
	longShare = 16
)

// answerSize is the size of an answer to a watch, or of a part of one.
type answerSize struct {
	events int
	// bytes is the length of the keys and values, longest that of the longest change.
	bytes, longest int
}

// add adds a change to the size.
func (s *answerSize) add(c *store.Change) {
	n := len(c.Key) + len(c.Value)
	s.events++
	s.bytes += n
	s.longest = max(s.longest, n)
}

// within reports whether the size is not above another one.
func (s answerSize) within(limit answerSize) bool {
	return s.events <= limit.events && s.bytes <= limit.bytes
}

// withOneMore returns the size with a further change, as long as the longest one.
func (s answerSize) withOneMore() answerSize {
	return answerSize{events: s.events + 1, bytes: s.bytes + s.longest, longest: s.longest}
}

// minus returns the size without a part of it.
func (s answerSize) minus(part answerSize) answerSize {
	return answerSize{events: s.events - part.events, bytes: s.bytes - part.bytes, longest: s.longest}
}

// sizeAfter returns the size of the changes after an index.
func sizeAfter(list []store.Change, index store.Index) answerSize {
	var size answerSize
	for i := range list {
		if store.Index(list[i].Revision) > index {
			size.add(&list[i])
		}
	}
	return size
}

// reach compares the position that was read with the store's own.
type reach struct {
	// head is a position that the store had, as it said, and headAt the time of that
	// call: all writes made before it are at head or before. headAt is 0 if no call
	// was made.
	head   store.Position
	headAt time.Duration
	// newest is the newest position that is known to exist.
	newest store.Position
	// short is the size of answers that are taken to be undivided, whole that of the
	// largest answer known to be so, last that of the last answer, which ended at lastTo.
	short, whole, last answerSize
	lastTo             store.Position
	// doubtful is set while the last answer may have been divided.
	doubtful bool
	// verifyNext is set if the next answer is to be compared with the store's position,
	// so that answers of its size are known to be undivided.
	verifyNext bool
	// behind is set once an answer did not reach head, until one does. behindSince is
	// the time of that answer, and answers counts the answers from it on.
	behind      bool
	behindSince time.Duration
	answers     int
}

func newReach() reach { return reach{short: answerSize{events: shortEvents, bytes: shortBytes}} }

// undivided reports whether an answer was not divided, by its size alone.
func (r *reach) undivided(size answerSize) bool {
	if size.longest*longShare > size.bytes {
		size = size.withOneMore()
	}
	return size.within(r.short) || size.within(r.whole)
}

// needsHead reports whether the store's position has to be read before the next answer:
// there is no other sign of whether the last one, up to pos, was divided.
func (r *reach) needsHead(pos store.Position) bool {
	return r.verifyNext || (r.doubtful && !pos.Before(r.head))
}

// unread reports whether changes after pos exist, or may exist because the last answer
// was divided.
func (r *reach) unread(pos store.Position) bool { return r.doubtful || pos.Before(r.head) }

// lag returns the number of revisions after pos that are known to exist.
func (r *reach) lag(pos store.Position) uint64 {
	if r.newest.Epoch != pos.Epoch || r.newest.Index <= pos.Index {
		return 0
	}
	return uint64(r.newest.Index - pos.Index)
}

// see records that a position exists.
func (r *reach) see(at store.Position) {
	if r.newest.Before(at) {
		r.newest = at
	}
}

// learn records that a part of an answer was undivided.
func (r *reach) learn(part answerSize) {
	r.whole.events = max(r.whole.events, part.events)
	r.whole.bytes = max(r.whole.bytes, part.bytes)
}

// setHead records the store's position, as a call made at a time returned it. It reports
// whether the last answer, up to pos, had all changes until then.
func (r *reach) setHead(head store.Position, at time.Duration, pos store.Position) bool {
	r.head, r.headAt = head, at
	r.see(head)
	r.verifyNext = false
	if pos.Before(head) {
		return false
	}
	if r.doubtful && pos == r.lastTo {
		r.learn(r.last)
	}
	r.doubtful = false
	return true
}

// answered records an answer with the changes between two positions, read by a call
// that began at start. It returns the time up to which all writes are known, 0 if the
// answer says nothing about it.
func (r *reach) answered(from, to store.Position, start time.Duration, list []store.Change) time.Duration {
	wasDoubtful := r.doubtful
	r.see(to)
	r.last, r.lastTo = sizeAfter(list, 0), to
	if !from.Before(to) { // no changes after from, whatever the store's position
		r.head, r.headAt, r.doubtful = to, start, false
		return start
	}
	crossesHead := r.headAt > 0 && from.Epoch == r.head.Epoch && from.Before(r.head)
	switch {
	case to.Before(r.head) && from.Epoch == r.head.Epoch:
		if r.undivided(r.last) { // the store divides answers of this size
			r.short, r.whole = answerSize{}, answerSize{}
		}
		r.doubtful = true
		return 0
	case r.undivided(r.last):
		r.doubtful = false
		r.verifyNext = wasDoubtful
		return start
	case crossesHead:
		rest := sizeAfter(list, r.head.Index)
		r.doubtful = !rest.within(r.short)
		r.learn(r.last.minus(rest))
		return r.headAt
	}
	r.doubtful = true
	return 0
}

// reset records that all entries were listed at a position, by a call that began at
// start.
func (r *reach) reset(at store.Position, start time.Duration) {
	r.head, r.headAt, r.newest = at, start, at
	r.doubtful, r.verifyNext = false, false
}

// CompleteTo returns the time up to which the last published view has all writes to
// the store. The second result is false while entries may be missing from the store
// itself after an outage, or while the last update is too old. It does not block.
func (f *Follower) CompleteTo() (time.Duration, bool) {
	p := f.progress.Load()
	if p == nil {
		return 0, false
	}
	now := f.cfg.Clock()
	return p.completeTo, now >= p.settledAt && now < p.expiresAt
}

// progress is what CompleteTo returns.
type progress struct {
	// completeTo is the time up to which all writes are known. Absent entries say
	// something about that time from settledAt to expiresAt.
	completeTo, settledAt, expiresAt time.Duration
}

// recordProgress updates what CompleteTo returns. It is called after the view that
// holds the changes was published. The caller holds f.mu.
func (f *Follower) recordProgress() {
	p := progress{completeTo: f.completeTo, settledAt: f.lastList + listSettleTime}
	if f.hasFailed {
		p.settledAt = max(p.settledAt, f.lastFailure+failureSettleTime)
	}
	if f.listed && (!f.storeLost || f.lastUpdate > f.lastFailure) {
		p.expiresAt = f.lastUpdate + maxUpdateAge
	}
	f.progress.Store(&p)
}

// readHead reads the store's position if it is needed to tell whether an answer was
// divided.
func (f *Follower) readHead(ctx context.Context, reason Reason) error {
	f.mu.Lock()
	needed := f.reach.needsHead(f.pos)
	if needed {
		f.recordCall(store.OpHead, reason)
	}
	f.mu.Unlock()
	if !needed {
		return nil
	}
	start := f.cfg.Clock()
	head, err := f.cfg.Feed.Head(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resolveEpoch(&head.Epoch)
	if err := f.checkHead(head); err != nil {
		return err
	}
	if f.reach.setHead(head, start, f.pos) {
		f.completeTo = max(f.completeTo, start)
		f.publish()
	}
	return nil
}

// checkHead returns an error if the store's position is not of the history that this
// host knows. The caller holds f.mu.
func (f *Follower) checkHead(head store.Position) error {
	if !head.Before(f.pos) {
		return nil
	}
	kind := store.HistoryLost
	if head.Epoch < f.pos.Epoch {
		kind = store.Outdated
	}
	return &store.Error{
		Op: store.OpHead, Kind: kind, Epoch: head.Epoch,
		Cause: errors.Newf("index %d of epoch %d is before index %d of epoch %d", head.Index, head.Epoch, f.pos.Index, f.pos.Epoch),
	}
}

// recordAnswer records an answer to a watch and returns the time up to which all writes
// are known, 0 if the answer does not change it. The caller holds f.mu.
func (f *Follower) recordAnswer(from, to store.Position, start time.Duration, list []store.Change) time.Duration {
	r := &f.reach
	completeTo := r.answered(from, to, start, list)
	r.answers++
	switch behind := to.Before(r.head); {
	case behind && !r.behind:
		r.behind, r.behindSince, r.answers = true, f.cfg.Clock(), 1
		f.cfg.Log.Info().Str("event", "store_behind").Uint64("revision", uint64(to.Index)).Uint64("revisions", r.lag(to)).Send()
	case !behind && r.behind:
		r.behind = false
		f.cfg.Log.Info().Str("event", "store_caught_up").Uint64("revision", uint64(to.Index)).Int("answers", r.answers).
			Dur("after_ms", f.cfg.Clock()-r.behindSince).Send()
	}
	return completeTo
}

// lagTime returns how old the time is up to which all writes are known, 0 if the last
// answer had all of them. The caller holds f.mu.
func (f *Follower) lagTime() time.Duration {
	if !f.reach.unread(f.pos) {
		return 0
	}
	return f.cfg.Clock() - f.completeTo
}
