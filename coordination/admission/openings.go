package admission

import "time"

const (
	// openingTick is the resolution of the times at which openings are placed.
	openingTick = 10 * time.Millisecond
	// openingTicks is the number of ticks that are counted; older openings
	// don't occupy a slot.
	openingTicks = 2560
	// lostAfterAnswers is a number of usual answer times: an unanswered opening is
	// presumed lost once an opening placed that much later is answered. A target
	// handles a few openings at once and may answer them out of order.
	lostAfterAnswers = 4
	// maxLostAfter bounds that time for targets that answer slowly.
	maxLostAfter = 200 * time.Millisecond
	// probeInterval is the time after which a target whose slots are all
	// occupied gets one more opening, up to twice its slots: the openings in
	// flight may be of callers that disappeared.
	probeInterval = 250 * time.Millisecond
)

// openings counts the openings in flight by the tick in which they were
// placed. When an opening is answered, those placed clearly before it are
// presumed lost by the caller or the network and release their slots.
type openings struct {
	counts [openingTicks]uint16
	// occupied is the number that occupy a slot, presumedLost that of the
	// others.
	occupied, presumedLost int
	// firstTick is the earliest tick whose openings occupy slots, lastTick the
	// latest.
	firstTick, lastTick int64
	lastAdded           time.Duration
}

func tickOf(now time.Duration) int64 { return int64(now / openingTick) }

func (o *openings) count(tick int64) *uint16 {
	return &o.counts[uint64(tick)%openingTicks]
}

// add counts an opening that is placed now.
func (o *openings) add(now time.Duration) {
	tick := tickOf(now)
	if o.occupied == 0 {
		o.firstTick = tick
	}
	// The clocks of workers differ slightly: now may precede the first tick.
	tick = max(tick, o.firstTick)
	o.presumeLost(tick - openingTicks)
	o.lastTick = max(tick, o.lastTick)
	*o.count(tick)++
	o.occupied++
	o.lastAdded = now
}

// answered removes an opening that was placed latency ago and presumes the
// clearly older ones lost; usual is the target's usual answer time.
func (o *openings) answered(now, latency, usual time.Duration) {
	tick := tickOf(now - latency)
	switch {
	case o.occupied > 0 && tick >= o.firstTick && tick <= o.lastTick && *o.count(tick) > 0:
		*o.count(tick)--
		o.occupied--
	default:
		o.remove()
	}
	o.presumeLost(tick - lostAfterTicks(usual))
}

// lostAfterTicks returns how many ticks an opening must be older than an
// answered one to be presumed lost, with one more tick for rounding.
func lostAfterTicks(usual time.Duration) int64 {
	gap := min(lostAfterAnswers*usual, maxLostAfter)
	return 1 + int64((gap+openingTick-1)/openingTick)
}

// remove removes an opening that will not be answered.
func (o *openings) remove() {
	if o.presumedLost > 0 {
		o.presumedLost--
		return
	}
	for ; o.occupied > 0 && o.firstTick <= o.lastTick; o.firstTick++ {
		if *o.count(o.firstTick) > 0 {
			*o.count(o.firstTick)--
			o.occupied--
			return
		}
	}
}

// presumeLost releases the slots of the openings placed up to a tick.
func (o *openings) presumeLost(upTo int64) {
	for ; o.occupied > 0 && o.firstTick <= upTo; o.firstTick++ {
		n := int(*o.count(o.firstTick))
		*o.count(o.firstTick) = 0
		o.occupied -= n
		o.presumedLost += n
	}
}

// full reports whether all slots are occupied and no probe is due.
func (o *openings) full(now time.Duration, slots int) bool {
	if o.occupied < slots {
		return false
	}
	return o.occupied >= 2*slots || now-o.lastAdded < probeInterval
}
