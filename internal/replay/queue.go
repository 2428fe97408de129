package replay

import (
	"container/heap"
	"time"
)

// action is a function to call at a time. Actions of the same time run in the
// order in which they were added.
type action struct {
	at    time.Duration
	order uint64
	do    func()
}

// queue is a priority queue of actions by time.
type queue struct {
	actions []action
	order   uint64
}

// Len returns the number of actions, for container/heap.
func (q *queue) Len() int { return len(q.actions) }

// Less orders actions by time, then by insertion, for container/heap.
func (q *queue) Less(i, j int) bool {
	a, b := &q.actions[i], &q.actions[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

// Swap swaps two actions, for container/heap.
func (q *queue) Swap(i, j int) { q.actions[i], q.actions[j] = q.actions[j], q.actions[i] }

// Push appends an action, for container/heap.
func (q *queue) Push(x any) { q.actions = append(q.actions, x.(action)) }

// Pop removes the last action, for container/heap.
func (q *queue) Pop() any {
	last := q.actions[len(q.actions)-1]
	q.actions = q.actions[:len(q.actions)-1]
	return last
}

// add schedules do at a time.
func (q *queue) add(at time.Duration, do func()) {
	q.order++
	heap.Push(q, action{at: at, order: q.order, do: do})
}

// next removes and returns the earliest action.
func (q *queue) next() action { return heap.Pop(q).(action) }
