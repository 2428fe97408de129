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
	// decisionsPerSecond limits the lines about forwarded packets and, separately,
	// those about dropped packets and resets; decisionBurst is the burst of each.
	// The limits are separate so that placements under load do not suppress the
	// lines that explain resets.
	decisionsPerSecond = 50
	decisionBurst      = 100
	// leftOutReportInterval is the time between two lines_left_out lines.
	leftOutReportInterval = 10 * time.Second
	// maxRequestIDBytes limits the request ID in a line. A space between the colon
	// and the ID counts.
	maxRequestIDBytes = 64
)

// requestIDHeader is the start of the HTTP header field that holds the request
// ID. Callers send the field in the first data segment of a request.
var requestIDHeader = []byte("\r\nRequest-Id:")

// decisionLog logs one line for each decision that affects a request, at a
// limited rate, and records the latencies. It never blocks.
type decisionLog struct {
	log   zerolog.Logger
	clock func() time.Duration
	// forwardedLimiter limits the lines about forwarded packets, failedLimiter
	// those about drops and resets.
	forwardedLimiter, failedLimiter *rate.Limiter
	// leftOut counts the lines that exceeded the rate and were not written.
	leftOut atomic.Uint64
	// handshakes and answers are latencies measured from callers' packets.
	handshakes, answers prometheus.Histogram
}

// latencyBuckets are in seconds. They range from a handshake within a zone to
// the longest time that a caller waits.
var latencyBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 8}

func newLatencyHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: metricPrefix + name, Help: help, Buckets: latencyBuckets})
}

func newDecisionLog(log zerolog.Logger, clock func() time.Duration) *decisionLog {
	return &decisionLog{
		log: log, clock: clock,
		forwardedLimiter: rate.NewLimiter(decisionsPerSecond, decisionBurst), failedLimiter: rate.NewLimiter(decisionsPerSecond, decisionBurst),
		handshakes: newLatencyHistogram("handshake_seconds", "Time from an opening to the end of its handshake, as callers' packets show it."),
		answers:    newLatencyHistogram("answer_seconds", "Time from a request's first data to the first acknowledgement of its answer."),
	}
}

// Decided implements direct.Observer.
func (l *decisionLog) Decided(_ time.Duration, p *steering.Segment, a *steering.Action) {
	if a.HandshakeTime > 0 {
		l.handshakes.Observe(a.HandshakeTime.Seconds())
	}
	if a.AnswerTime > 0 {
		l.answers.Observe(a.AnswerTime.Seconds())
	}
	switch {
	case a.Kind == steering.Forward && a.Placed:
		l.line("flow_placed", l.forwardedLimiter, p, a).Str("target", string(a.Key)).Float64("load", a.Load).
			Uint32("copy", p.Copy).Dur("view_age_ms", a.ViewAge).Send()
	case a.Kind == steering.Forward && a.RequestStarts:
		l.logRequest(p, a)
	case a.Kind == steering.Reset:
		l.line("flow_reset", l.failedLimiter, p, a).Str("target", string(a.Key)).Str("run", a.Run.String()).Send()
	case a.Kind == steering.Drop:
		l.line("packet_dropped", l.failedLimiter, p, a).Uint32("token", uint32(p.Token)).Send()
	}
}

// logRequest logs the request ID of a packet that carries the first data of a
// request, so that the flow can be found by request ID.
func (l *decisionLog) logRequest(p *steering.Segment, a *steering.Action) {
	if id := requestID(p.Payload); id != "" {
		l.line("request_sent", l.forwardedLimiter, p, a).Str("request", id).Str("target", string(a.Key)).Send()
	}
}

// line starts a log line about a packet. It returns a nil event, which writes
// nothing, if the rate limit is exceeded.
func (l *decisionLog) line(event string, limiter *rate.Limiter, p *steering.Segment, a *steering.Action) *zerolog.Event {
	if !limiter.Allow() {
		l.leftOut.Add(1)
		return nil
	}
	return l.log.Info().Str("event", event).Str("cause", a.Cause.String()).
		Stringer("from", p.Flow.CallerAddr()).Stringer("to", p.Flow.Service.AddrPort())
}

// requestID returns the ID of an HTTP/1.1 request from its first data segment,
// or an empty string if the segment does not contain the whole header field.
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
	return string(bytes.TrimSpace(rest[:min(end, maxRequestIDBytes)]))
}

// logTargetEvent logs that a target became silent, answers again or may have started
// again.
func (l *decisionLog) logTargetEvent(e steering.Event) {
	if e.Suspected {
		l.log.Info().Str("event", "target_suspected").Str("target", string(e.Key)).Dur("silence_ms", e.Silence).Send()
		return
	}
	if e.Answers {
		l.log.Info().Str("event", "target_answers").Str("target", string(e.Key)).Send()
		return
	}
	l.log.Warn().Str("event", "target_silent").Str("target", string(e.Key)).
		Dur("silence_ms", e.Silence).Int("flows", e.Flows).Send()
}

// logZoneEvent logs that a zone became unreachable or can be reached again.
func (l *decisionLog) logZoneEvent(e steering.ZoneEvent) {
	if e.Reachable {
		l.log.Info().Str("event", "zone_reachable").Str("zone", e.Zone).Send()
		return
	}
	l.log.Warn().Str("event", "zone_unreachable").Str("zone", e.Zone).
		Int("targets", e.Targets).Dur("silence_ms", e.Silence).Send()
}

// run logs the number of lines left out, periodically, until ctx is done.
func (l *decisionLog) run(ctx context.Context) {
	var reported uint64
	ticker := time.NewTicker(leftOutReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			reported = l.reportLeftOut(reported)
		}
	}
}

// reportLeftOut logs how many lines were left out since the last report, if any.
// It takes the total of the last report and returns the current one.
func (l *decisionLog) reportLeftOut(reported uint64) uint64 {
	n := l.leftOut.Load()
	if n > reported {
		l.log.Info().Str("event", "lines_left_out").Uint64("lines", n-reported).Send()
	}
	return n
}
