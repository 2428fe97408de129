package main

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"time"
)

// point is a cost at one size.
type point struct{ size, value float64 }

// series is a cost at several sizes.
type series struct {
	// cost is what is measured, in unit; by is what the sizes count.
	cost, unit, by string
	points         []point
}

func newSeries(cost, unit, by string) *series {
	return &series{cost: cost, unit: unit, by: by}
}

func (s *series) add(size int, value float64) {
	s.points = append(s.points, point{float64(size), value})
}

// fit returns the slope and intercept of the least squares line.
func (s *series) fit() (slope, base float64) {
	n := float64(len(s.points))
	var x, y, xx, xy float64
	for _, p := range s.points {
		x += p.size
		y += p.value
		xx += p.size * p.size
		xy += p.size * p.value
	}
	det := n*xx - x*x
	if det == 0 {
		return 0, y / n
	}
	slope = (n*xy - x*y) / det
	return slope, (y - slope*x) / n
}

// power returns the exponent of growth between the last two points: 0 for
// constant, 1 for linear and 2 for quadratic growth.
func (s *series) power() float64 {
	if len(s.points) < 2 {
		return 0
	}
	a, b := s.points[len(s.points)-2], s.points[len(s.points)-1]
	if a.value <= 0 || b.value <= 0 {
		return 0
	}
	return math.Log(b.value/a.value) / math.Log(b.size/a.size)
}

// String returns one line of text with all points, the fit and the exponent.
func (s *series) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s by %s:", s.cost, s.unit, s.by)
	for _, p := range s.points {
		fmt.Fprintf(&b, " %.0f: %.4g;", p.size, p.value)
	}
	slope, base := s.fit()
	fmt.Fprintf(&b, " line %.4g + %.4g each; power %.2f", base, slope, s.power())
	return b.String()
}

// heapBytes returns the bytes of live objects after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// timingRounds is how often a timing is repeated. The shortest counts, as other
// load on the machine can only lengthen a timing.
const timingRounds = 3

// shortest returns the shortest run time of f over all rounds.
func shortest(f func()) time.Duration {
	best := time.Duration(0)
	for i := range timingRounds {
		start := time.Now()
		f()
		if took := time.Since(start); i == 0 || took < best {
			best = took
		}
	}
	return best
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
