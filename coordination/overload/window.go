package overload

import "time"

const (
	// windowLength is the time that counts are kept for.
	windowLength = time.Second
	// windowParts is the number of parts that a window is divided into; the oldest
	// part is forgotten at once.
	windowParts = 10
	partLength  = windowLength / windowParts
	// NumPriorities is the number of priorities that are told apart; lower ones count
	// as the lowest of them.
	NumPriorities = 4
)

// Class returns the index of a priority.
func Class(priority int) int { return min(max(priority, 0), NumPriorities-1) }

// window counts events of the last second. The zero value is empty.
type window struct {
	parts [windowParts]int
	// last is the number of the part that was written last, counted from time 0.
	last  int64
	total int
}

// add counts an event.
func (w *window) add(now time.Duration) {
	w.expire(now)
	w.parts[w.last%windowParts]++
	w.total++
}

// sum returns the number of events of the last second.
func (w *window) sum(now time.Duration) int {
	w.expire(now)
	return w.total
}

// expire forgets the parts that are older than the window.
func (w *window) expire(now time.Duration) {
	current := int64(now / partLength)
	for range min(current-w.last, windowParts) {
		w.last++
		w.total -= w.parts[w.last%windowParts]
		w.parts[w.last%windowParts] = 0
	}
	w.last = max(w.last, current)
}
