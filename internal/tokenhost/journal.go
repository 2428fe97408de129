package tokenhost

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/jujubehaven/jujubehaven/coordination/steering"
)

const (
	// decisionsPerSecond bounds the lines about packets that were forwarded, and
	// those about packets that were not; decisionBurst is how many of each may
	// come at once. Placements under load must not hide why a flow was reset.
	decisionsPerSecond = 50
	decisionBurst      = 100
	// summaryInterval is the time between two lines about what was left out.
	summaryInterval = 10 * time.Second
	// maxRequestID bounds the bytes of a request's ID in a line.
	maxRequestID = 64
)

// requestIDHeader is the header field that names a request, as callers send
// it in the first data of a request.
var requestIDHeader = []byte("\r\nRequest-Id:")

// journal writes one line for each decision that touches a request, within a
// bounded rate. It never blocks.
type journal struct {
	log   zerolog.Logger
	clock func() time.Duration
	// forwarded and failed bound the lines about packets.
	forwarded, failed *rate.Limiter
	// leftOut counts the lines beyond the rate.
	leftOut atomic.Uint64
	// handshakes and answers are the latencies that callers' packets show.
	handshakes, answers prometheus.Histogram
}

// latencyBuckets are in seconds, from a handshake within a zone to a caller's
// longest wait.
var latencyBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 8}

func latency(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: metricPrefix + name, Help: help, Buckets: latencyBuckets})
}

func newJournal(log zerolog.Logger, clock func() time.Duration) *journal {
	return &journal{
		log: log, clock: clock,
		forwarded: rate.NewLimiter(decisionsPerSecond, decisionBurst), failed: rate.NewLimiter(decisionsPerSecond, decisionBurst),
		handshakes: latency("handshake_seconds", "Time from an opening to the end of its handshake, as callers' packets show it."),
		answers:    latency("answer_seconds", "Time from a request's first data to the first acknowledgement of its answer."),
	}
}

// Decided implements direct.Observer.
func (j *journal) Decided(_ time.Duration, p *steering.Segment, a *steering.Action) {
	if a.HandshakeTime > 0 {
		j.handshakes.Observe(a.HandshakeTime.Seconds())
	}
	if a.AnswerTime > 0 {
		j.answers.Observe(a.AnswerTime.Seconds())
	}
	switch {
	case a.Kind == steering.Forward && a.Placed:
		j.line("flow_placed", j.forwarded, p, a).Str("target", string(a.Key)).Float64("load", a.Load).
			Uint32("copy", p.Copy).Dur("view_age_ms", a.ViewAge).Send()
	case a.Kind == steering.Forward && a.RequestStarts:
		j.request(p, a)
	case a.Kind == steering.Reset:
		j.line("flow_reset", j.failed, p, a).Str("target", string(a.Key)).Str("run", a.Run.String()).Send()
	case a.Kind == steering.Drop:
		j.line("packet_dropped", j.failed, p, a).Uint32("token", uint32(p.Token)).Send()
	}
}

// request names the request whose first data a packet carries, so that its ID
// leads to the flow.
func (j *journal) request(p *steering.Segment, a *steering.Action) {
	if id := requestID(p.Payload); id != "" {
		j.line("request_sent", j.forwarded, p, a).Str("request", id).Str("target", string(a.Key)).Send()
	}
}

// line begins a line about a packet; the event is nil, and writes nothing, if
// there were too many.
func (j *journal) line(event string, limiter *rate.Limiter, p *steering.Segment, a *steering.Action) *zerolog.Event {
	if !limiter.Allow() {
		j.leftOut.Add(1)
		return nil
	}
	return j.log.Info().Str("event", event).Str("cause", a.Cause.String()).
		Stringer("from", p.Flow.CallerAddr()).Stringer("to", p.Flow.Service.AddrPort())
}

// requestID reads the ID of an HTTP/1.1 request from the start of its data;
// empty if it is not there.
func requestID(data []byte) string {
	at := bytes.Index(data, requestIDHeader)
	if at < 0 {
		return ""
	}
	rest := data[at+len(requestIDHeader):]
	end := bytes.IndexByte(rest, '\r')
	if end < 0 {
		return ""
	}
	return string(bytes.TrimSpace(rest[:min(end, maxRequestID)]))
}

// targetEvent logs a change in what the host believes of a target.
func (j *journal) targetEvent(e steering.Event) {
	if e.Answers {
		j.log.Info().Str("event", "target_answers").Str("target", string(e.Key)).Send()
		return
	}
	j.log.Warn().Str("event", "target_silent").Str("target", string(e.Key)).
		Dur("silence_ms", e.Silence).Int("flows", e.Flows).Send()
}

// run reports now and then how many lines were left out.
func (j *journal) run(ctx context.Context) {
	var told uint64
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			told = j.report(told)
		}
	}
}

// report logs how many lines were left out beyond those told of; it returns all.
func (j *journal) report(told uint64) uint64 {
	n := j.leftOut.Load()
	if n > told {
		j.log.Info().Str("event", "lines_left_out").Uint64("lines", n-told).Send()
	}
	return n
}
