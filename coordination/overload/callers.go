package overload

import "time"

const (
	// maxCallers bounds the callers that are counted in a second, for each service
	// and priority.
	maxCallers = 512
	// fairMargin is how far a caller may exceed the mean of all callers, as a factor,
	// and fairAllowance the openings that any caller may have in addition.
	fairMargin    = 1.25
	fairAllowance = 1.0
)

// Caller is a caller's IP address.
type Caller [16]byte

// callerCounts counts the admitted openings of callers in the last second: those of
// the current second and a decreasing part of those of the previous one. With more
// callers than maxCallers those with the fewest openings are forgotten first (Misra
// and Gries, "Finding repeated elements", 1982). The zero value is empty.
type callerCounts struct {
	current, previous           map[Caller]int
	currentTotal, previousTotal int
	// since is when the current second began.
	since time.Duration
}

// add counts an admitted opening.
func (c *callerCounts) add(now time.Duration, caller Caller) {
	c.rotate(now)
	if _, known := c.current[caller]; !known && len(c.current) >= maxCallers {
		c.decrement()
		return
	}
	c.currentTotal++
	c.current[caller]++
}

// decrement lowers all counts by one and removes callers without any left.
func (c *callerCounts) decrement() {
	c.currentTotal -= len(c.current)
	for caller := range c.current {
		c.current[caller]--
		if c.current[caller] == 0 {
			delete(c.current, caller)
		}
	}
}

// rotate begins a new second if the current one is over.
func (c *callerCounts) rotate(now time.Duration) {
	switch elapsed := now - c.since; {
	case c.current == nil || elapsed >= 2*windowLength:
		c.current, c.previous = map[Caller]int{}, map[Caller]int{}
		c.currentTotal, c.previousTotal, c.since = 0, 0, now
	case elapsed >= windowLength:
		c.current, c.previous = c.previous, c.current
		clear(c.current)
		c.previousTotal, c.currentTotal = c.currentTotal, 0
		c.since += windowLength
	}
}

// exceedsFairShare reports whether a caller had more than its fair share.
func (c *callerCounts) exceedsFairShare(now time.Duration, caller Caller) bool {
	c.rotate(now)
	previousWeight := 1 - float64(now-c.since)/float64(windowLength)
	mean := 0.0
	if n := len(c.current); n > 0 {
		mean = float64(c.currentTotal) / float64(n)
	}
	if n := len(c.previous); n > 0 {
		// Early in a second few callers were counted in it; the previous second tells
		// more about the mean.
		mean = max(mean, float64(c.previousTotal)/float64(n))
	}
	count := float64(c.current[caller]) + previousWeight*float64(c.previous[caller])
	return count > fairMargin*mean+fairAllowance
}
