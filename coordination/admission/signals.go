package admission

import "time"

// signal is what the openings of a target indicate about its state.
type signal uint8

const (
	signalNone signal = iota
	// signalSlow means that openings are answered late.
	signalSlow
	// signalUnanswered means that several openings are not answered.
	signalUnanswered
	// signalCold means that the target behaves like one that has just started.
	signalCold
)

const (
	// signalWindow is the time over which openings are counted.
	signalWindow = time.Second
	// minAnswers is the least number of answers for a comparison of latency.
	minAnswers = 16
	// slowRatio and coldRatio are the ratios of the window's mean latency to the
	// target's baseline that count as slow and cold. slowSlack and coldSlack are
	// added, so that a few late acknowledgements of a fast target don't count.
	slowRatio = 3
	coldRatio = 10
	slowSlack = 50 * time.Millisecond
	coldSlack = 100 * time.Millisecond
	// minUnanswered and unansweredShare are the number and the share of
	// unanswered openings in a window that lower a target's limits;
	// coldUnanswered and coldUnansweredShare those that restart its ramp.
	minUnanswered       = 2
	unansweredShare     = 0.1
	coldUnanswered      = 3
	coldUnansweredShare = 0.5
	// The baseline follows lower latencies fast and higher ones slowly: it moves
	// by the difference divided by these.
	fasterSmoothing = 4
	slowerSmoothing = 64
	// defaultAnswerTime is the expected answer time of a target without baseline.
	defaultAnswerTime = 50 * time.Millisecond
)

// signals detects signals by comparing answers with the target's baseline
// latency.
type signals struct {
	window     window
	baseline   time.Duration
	lastAnswer time.Duration
}

// window counts the openings since its start and sums up their latency.
type window struct {
	start      time.Duration
	answered   int
	unanswered int
	latency    time.Duration
}

// answered records one answered opening.
func (s *signals) answered(now, latency time.Duration) signal {
	result := s.rollWindow(now)
	s.window.answered++
	s.window.latency += latency
	s.lastAnswer = now
	return result
}

// unanswered records one retransmitted opening; its signal does not wait for the
// end of the window.
func (s *signals) unanswered(now time.Duration) signal {
	slow := s.rollWindow(now)
	w := &s.window
	w.unanswered++
	share := float64(w.unanswered) / float64(w.unanswered+w.answered)
	if w.unanswered >= coldUnanswered && share >= coldUnansweredShare {
		s.window = window{start: now}
		return signalCold
	}
	if w.unanswered >= minUnanswered && share >= unansweredShare {
		return signalUnanswered
	}
	return slow
}

// rollWindow starts a new window if the current one is over, and returns the
// signal of its mean latency.
func (s *signals) rollWindow(now time.Duration) signal {
	w := s.window
	if now-w.start < signalWindow {
		return signalNone
	}
	s.window = window{start: now}
	if w.answered < minAnswers {
		return signalNone
	}
	return s.classify(w.latency / time.Duration(w.answered))
}

// classify compares a mean latency with the baseline and updates the baseline.
func (s *signals) classify(mean time.Duration) signal {
	if s.baseline == 0 {
		s.baseline = mean
		return signalNone
	}
	baseline := s.baseline
	s.updateBaseline(mean)
	switch {
	case mean > coldRatio*baseline+coldSlack:
		return signalCold
	case mean > slowRatio*baseline+slowSlack:
		return signalSlow
	}
	return signalNone
}

func (s *signals) updateBaseline(mean time.Duration) {
	if mean < s.baseline {
		s.baseline += (mean - s.baseline) / fasterSmoothing
		return
	}
	s.baseline += (mean - s.baseline) / slowerSmoothing
}

// expectedAnswerTime returns the expected time until an opening is answered.
func (s *signals) expectedAnswerTime() time.Duration {
	if s.baseline == 0 {
		return defaultAnswerTime
	}
	return s.baseline
}
