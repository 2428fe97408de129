package follow

import (
	"slices"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// maxLogBytes bounds the keys and values in a changeLog.
const maxLogBytes = 256 << 10

// changeLog holds the changes of the store, without heartbeats, that were made
// after position from up to position to, oldest first. It spans epochs: the
// changes that a restored store causes have the first known position of the new
// epoch. What was written before that position in the new epoch is not in the log.
type changeLog struct {
	from, to store.Position
	list     []loggedChange
	bytes    int
	// crossed holds the first known position of each epoch that the log enters.
	crossed []store.Position
}

// loggedChange is a change with its position in the log.
type loggedChange struct {
	at     store.Position
	change gossip.Change
}

// size returns the bytes that count towards maxLogBytes.
func (c *loggedChange) size() int { return len(c.change.Key) + len(c.change.Value) }

// reset empties the log, which continues after a position.
func (l *changeLog) reset(at store.Position) {
	*l = changeLog{from: at, to: at}
}

// add appends the changes between two positions, without those that the log has
// already.
func (l *changeLog) add(from, to store.Position, changes []gossip.Change) {
	if l.to.Before(from) || (from.Epoch != to.Epoch && from.Epoch != l.to.Epoch) {
		l.reset(from)
	}
	if from.Epoch != to.Epoch && l.to.Before(to) {
		l.crossed = append(l.crossed, to)
	}
	for _, c := range changes {
		at := store.Position{Epoch: to.Epoch, Index: store.Index(c.Revision)}
		if from.Epoch != to.Epoch {
			at = to // revisions of different epochs are not comparable
		}
		if l.to.Before(at) {
			logged := loggedChange{at: at, change: c}
			l.list = append(l.list, logged)
			l.bytes += logged.size()
		}
	}
	if l.to.Before(to) {
		l.to = to
	}
	l.trim()
}

// trim drops the oldest changes until the log is within its bound.
func (l *changeLog) trim() {
	drop := 0
	for l.bytes > maxLogBytes && drop < len(l.list) {
		l.bytes -= l.list[drop].size()
		l.from = l.list[drop].at
		drop++
	}
	l.list = append(l.list[:0], l.list[drop:]...)
}

// inGap reports whether a position is in the part of an epoch that the log does not
// have.
func (l *changeLog) inGap(at store.Position) bool {
	return slices.ContainsFunc(l.crossed, func(first store.Position) bool {
		return at.Epoch == first.Epoch && at.Before(first)
	})
}

// since returns the changes after a position, and false if the log does not have
// all of them.
func (l *changeLog) since(after store.Position) ([]gossip.Change, bool) {
	if after.Before(l.from) || l.inGap(after) {
		return nil, false
	}
	var list []gossip.Change
	for _, c := range l.list {
		if after.Before(c.at) {
			list = append(list, c.change)
		}
	}
	return list, true
}
