package slo_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/report"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
	"github.com/jujubehaven/jujubehaven/state/slo"
)

const day = 24 * time.Hour

var objectives = document.Objectives{
	Window: 30 * day, FlowsNotBroken: 0.9999, NewFlowsServed: 0.999,
}

func advance(st *slo.Store, from, to, step time.Duration) {
	for now := from; now <= to; now += step {
		st.Advance(now)
	}
}

func windows(b report.Balancer) map[time.Duration]report.Window {
	out := make(map[time.Duration]report.Window)
	for _, w := range b.Services[0].Windows {
		out[time.Duration(w.Seconds*float64(time.Second))] = w
	}
	return out
}

func TestEventsExpireFromWindows(t *testing.T) {
	is := is.New(t)
	st := slo.New(0)
	s := st.Service("orders", objectives)
	s.Count(slo.FlowsNotBroken, 90, 10)
	s.Count(slo.NewFlowsServed, 7, 1)
	advance(st, time.Second, 8*time.Minute, time.Second)

	w := windows(st.Report(8*time.Minute, "h1", "z1"))
	is.Equal(w[report.Window5m].FlowsNotBroken, report.Count{})
	is.Equal(w[report.Window30m].FlowsNotBroken, report.Count{Good: 90, Bad: 10})
	is.Equal(w[30*day].NewFlowsServed, report.Count{Good: 7, Bad: 1})

	advance(st, 8*time.Minute, 4*day, 10*time.Second)
	w = windows(st.Report(4*day, "h1", "z1"))
	is.Equal(w[report.Window3d].FlowsNotBroken, report.Count{})
	is.Equal(w[30*day].FlowsNotBroken, report.Count{Good: 90, Bad: 10})
}

func TestReplacedHostCoversLess(t *testing.T) {
	is := is.New(t)
	const start = 100 * day
	st := slo.New(start)
	st.Service("orders", objectives).Count(slo.NewFlowsServed, 1, 0)
	advance(st, start, start+30*time.Minute, time.Second)

	b := st.Report(start+30*time.Minute, "h1", "z1")
	w := windows(b)
	is.Equal(b.SeenSeconds, 1800.0)
	is.Equal(w[report.Window5m].CoveredSeconds, 300.0)
	is.Equal(w[report.Window1h].CoveredSeconds, 1800.0)
	is.Equal(w[30*day].CoveredSeconds, 1800.0)
}

func TestPauseIsNotCovered(t *testing.T) {
	is := is.New(t)
	st := slo.New(0)
	st.Service("orders", objectives).Count(slo.NewFlowsServed, 1, 0)
	advance(st, 0, 10*time.Minute, time.Second)
	advance(st, 30*time.Minute, 32*time.Minute, time.Second)

	w := windows(st.Report(32*time.Minute, "h1", "z1"))
	is.Equal(w[report.Window5m].CoveredSeconds, 120.0)
	is.Equal(w[report.Window1h].CoveredSeconds, 720.0)
}

func TestNewBudgetWindowBeginsWithoutPast(t *testing.T) {
	is := is.New(t)
	st := slo.New(0)
	s := st.Service("orders", objectives)
	s.Count(slo.NewFlowsServed, 5, 5)
	advance(st, 0, time.Hour, time.Second)
	changed := objectives
	changed.Window = 7 * day
	st.Service("orders", changed)
	s.Count(slo.NewFlowsServed, 2, 0)

	w := windows(st.Report(time.Hour+time.Minute, "h1", "z1"))
	is.Equal(w[7*day].NewFlowsServed, report.Count{Good: 2})
	is.True(w[7*day].CoveredSeconds <= 60)
	is.Equal(w[report.Window6h].NewFlowsServed, report.Count{Good: 7, Bad: 5})
}

func TestQuietServiceHasNoWindowsAndRetainDrops(t *testing.T) {
	is := is.New(t)
	st := slo.New(0)
	st.Service("archive", objectives)
	st.Service("orders", objectives)
	b := st.Report(time.Minute, "h1", "z1")
	is.Equal(len(b.Services), 2)
	is.Equal(len(b.Services[0].Windows), 0)
	st.Retain([]string{"orders"})
	b = st.Report(time.Minute, "h1", "z1")
	is.Equal(len(b.Services), 1)
	is.Equal(b.Services[0].Name, "orders")
}

func TestCountDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	st := slo.New(0)
	s := st.Service("orders", objectives)
	allocs := testing.AllocsPerRun(1000, func() { s.Count(slo.NewFlowsServed, 1, 1) })
	is.Equal(allocs, 0.0)
	st.Advance(time.Second)
	now := 2 * time.Second
	allocs = testing.AllocsPerRun(1000, func() { st.Advance(now); now += time.Hour })
	is.Equal(allocs, 0.0) // the memory of a window is fixed
}

func TestConcurrentCountsAreComplete(t *testing.T) {
	is := is.New(t)
	st := slo.New(0)
	s := st.Service("orders", objectives)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 1000 {
				s.Count(slo.NewFlowsServed, 1, 0)
				st.Advance(time.Duration(i) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	w := windows(st.Report(time.Second, "h1", "z1"))
	is.Equal(w[report.Window1h].NewFlowsServed.Good, uint64(4000))
}

func TestZoneOutBreaksNoObjective(t *testing.T) {
	is := is.New(t)
	is.True(!slo.Breaks(verdict.CauseZoneOut))
	is.True(!slo.Breaks(verdict.CauseNone))
	is.True(!slo.Breaks(verdict.CauseNoCapacity))
	is.True(slo.Breaks(verdict.CauseLostState))
	is.True(slo.Breaks(verdict.CauseSilent))
}

// A window's count must lie between that of an exact window and that of a window
// longer by one bucket and two steps.
func TestWindowIsAccurateWithinOneBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := slo.New(0)
		s := st.Service("orders", objectives)
		step := time.Duration(rapid.IntRange(1, 9).Draw(t, "step")) * time.Second
		counts := rapid.SliceOfN(rapid.Uint64Range(0, 3), 1, 400).Draw(t, "counts")
		for i, n := range counts {
			s.Count(slo.NewFlowsServed, n, 0)
			st.Advance(time.Duration(i+1) * step)
		}
		end := time.Duration(len(counts)) * step
		b := st.Report(end, "h1", "z1")
		for _, w := range b.Services[0].Windows {
			window := time.Duration(w.Seconds * float64(time.Second))
			low, high := uint64(0), uint64(0)
			for i, n := range counts {
				age := end - time.Duration(i+1)*step
				if age < window {
					low += n
				}
				if age < window+window/30+2*step {
					high += n
				}
			}
			got := w.NewFlowsServed.Good
			if got < low || got > high {
				t.Fatalf("window %v: got %d, want %d to %d", window, got, low, high)
			}
		}
	})
}

// Guards against a count that leaves its window too soon: with steps of 9 s a count of
// 297 s ago is missing in the window of five minutes.
func TestCountStaysForItsWindow(t *testing.T) {
	is := is.New(t)
	const step = 9 * time.Second
	missing := 0
	for n := 2; n < 60; n++ {
		st := slo.New(0)
		s := st.Service("orders", objectives)
		low := uint64(0)
		end := time.Duration(n) * step
		for i := range n {
			count := uint64(0)
			if i < 2 {
				count = 1
			}
			s.Count(slo.NewFlowsServed, count, 0)
			at := time.Duration(i+1) * step
			st.Advance(at)
			if end-at < 5*time.Minute {
				low += count
			}
		}
		for _, w := range st.Report(end, "h1", "z1").Services[0].Windows {
			if w.Seconds == 300 && w.NewFlowsServed.Good < low {
				t.Logf("%d steps: %d, want %d or more", n, w.NewFlowsServed.Good, low)
				missing++
			}
		}
	}
	is.Equal(missing, 0)
}
