package follow

import (
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// maxLogBytes bounds the keys and values in a changeLog.
const maxLogBytes = 256 << 10

// changeLog holds the changes of the store, without heartbeats, that were made
// after index from up to index to, oldest first.
type changeLog struct {
	from, to store.Index
	list     []gossip.Change
	bytes    int
}

// reset empties the log, which continues after an index.
func (l *changeLog) reset(index store.Index) {
	*l = changeLog{from: index, to: index}
}

// add appends the changes between two indexes, without those that the log has
// already.
func (l *changeLog) add(from, to store.Index, changes []gossip.Change) {
	if from > l.to {
		l.reset(from)
	}
	for _, c := range changes {
		if store.Index(c.Revision) > l.to {
			l.list = append(l.list, c)
			l.bytes += len(c.Key) + len(c.Value)
		}
	}
	l.to = max(l.to, to)
	l.trim()
}

// trim drops the oldest changes until the log is within its bound.
func (l *changeLog) trim() {
	drop := 0
	for l.bytes > maxLogBytes && drop < len(l.list) {
		c := l.list[drop]
		l.bytes -= len(c.Key) + len(c.Value)
		l.from = store.Index(c.Revision)
		drop++
	}
	l.list = append(l.list[:0], l.list[drop:]...)
}

// since returns the changes after an index, and false if the log does not have
// all of them.
func (l *changeLog) since(after store.Index) ([]gossip.Change, bool) {
	if after < l.from {
		return nil, false
	}
	var list []gossip.Change
	for _, c := range l.list {
		if store.Index(c.Revision) > after {
			list = append(list, c)
		}
	}
	return list, true
}
