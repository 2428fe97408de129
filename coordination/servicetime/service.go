package servicetime

import (
	"math"
	"time"
)

// Long flows. The load pattern: callers keep flows open between requests. How much
// load an idle one stands for depends on how often its caller sends requests and how
// long they take.

// priorFlowSeconds is the weight of the assumed load of an idle flow, as the time
// that flows were watched.
const priorFlowSeconds = 20.0

// Service estimates the mean service time of all requests of a service and the load
// of its idle flows. The zero value has no samples.
type Service struct {
	decay
	// samples and seconds sum the weights of the samples and their service times.
	samples, seconds float64
	// flowSeconds sums the time of open flows that had a request before, requests the
	// requests that they sent.
	flowSeconds, requests float64
}

// sampleWeight returns the weight of a sample that is added at now.
func (s *Service) sampleWeight(now time.Duration) float64 {
	if factor := s.rescale(now); factor != 1 {
		s.samples *= factor
		s.seconds *= factor
		s.flowSeconds *= factor
		s.requests *= factor
	}
	return s.weight(now)
}

// Add adds the service time of a request that ended at now.
func (s *Service) Add(now, took time.Duration) {
	w := s.sampleWeight(now)
	s.samples += w
	s.seconds += w * max(took, minTime).Seconds()
}

// Mean returns the mean service time. It reports false if too few samples are in
// force.
func (s *Service) Mean(now time.Duration) (time.Duration, bool) {
	if s.samples < MinSamples*s.weight(now) {
		return 0, false
	}
	return fromSeconds(s.seconds / s.samples), true
}

// AddFlowTime adds the time that flows were open after their first answer.
func (s *Service) AddFlowTime(now, total time.Duration) {
	s.flowSeconds += s.sampleWeight(now) * total.Seconds()
}

// AddFlowRequest adds a request that a flow sent after its first answer.
func (s *Service) AddFlowRequest(now time.Duration) { s.requests += s.sampleWeight(now) }

// IdleFlowLoad returns the share of time that an open flow has a request in service,
// from 0 to 1. assumed is the share while little is known.
func (s *Service) IdleFlowLoad(now time.Duration, assumed float64) float64 {
	mean, ok := s.Mean(now)
	if !ok {
		return assumed
	}
	w := s.weight(now)
	prior := priorFlowSeconds * w
	load := (s.requests*mean.Seconds() + assumed*prior) / (s.flowSeconds + prior)
	return math.Min(load, 1)
}
