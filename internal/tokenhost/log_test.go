package tokenhost

import (
	"context"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/internal/fakes/buffer"
	"github.com/jujubehaven/jujubehaven/internal/logging"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// Each decision about a packet, and each change of a target's state, must be
// logged with its cause.
func TestDecisionLogLines(t *testing.T) {
	p := steering.Segment{
		Flow: packet.Flow{Caller: service.Addr, CallerPort: 1041, Service: service}, Token: 99, Copy: 2,
		Payload: []byte("GET / HTTP/1.1\r\nRequest-Id: 4f1d\r\n\r\n"),
	}
	for _, c := range []struct {
		name   string
		decide func(l *decisionLog)
		want   string
	}{
		{"placed", func(l *decisionLog) {
			l.Decided(0, &p, &steering.Action{Kind: steering.Forward, Placed: true, Key: "t/1", Load: 0.5, ViewAge: time.Second, Cause: steering.CausePlaced})
		}, `level=info event=flow_placed cause=placed copy=2 from=198.18.0.1:1041 load=0.5 target=t/1 to=198.18.0.1:80 view_age_ms=1000\n`},
		{"request", func(l *decisionLog) {
			l.Decided(0, &p, &steering.Action{Kind: steering.Forward, RequestStarts: true, Key: "t/1", Cause: steering.CauseKnown})
		}, `event=request_sent cause=known from=198.18.0.1:1041 request=4f1d target=t/1 to=198.18.0.1:80\n`},
		{"reset", func(l *decisionLog) {
			l.Decided(0, &p, &steering.Action{Kind: steering.Reset, Key: "t/1", Cause: steering.CauseTargetGone, Run: verdict.MayHaveRun})
		}, `event=flow_reset cause=target-gone from=198.18.0.1:1041 run=may-have-run target=t/1 to=198.18.0.1:80\n`},
		{"drop", func(l *decisionLog) {
			l.Decided(0, &p, &steering.Action{Kind: steering.Drop, Cause: steering.CauseUnknownToken})
		}, `event=packet_dropped cause=unknown-token from=198.18.0.1:1041 to=198.18.0.1:80 token=99\n`},
		{"known packet", func(l *decisionLog) { l.Decided(0, &p, &steering.Action{Kind: steering.Forward}) }, `^$`},
		{"silent target", func(l *decisionLog) {
			l.logTargetEvent(steering.Event{Key: "t/1", Silence: 300 * time.Millisecond, Flows: 2})
		}, `level=warn event=target_silent flows=2 silence_ms=300 target=t/1\n`},
		{"target answers", func(l *decisionLog) { l.logTargetEvent(steering.Event{Key: "t/1", Answers: true}) }, `level=info event=target_answers target=t/1\n`},
		{"lines left out", func(l *decisionLog) {
			l.leftOut.Add(7)
			l.reportLeftOut(0)
		}, `level=info event=lines_left_out lines=7\n`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out buffer.Buffer
			c.decide(newDecisionLog(logging.New(&out, zerolog.InfoLevel), func() time.Duration { return 0 }))
			if !regexp.MustCompile(c.want).MatchString(out.String()) {
				t.Errorf("no line %s in %q", c.want, out.String())
			}
		})
	}
}

// A host must log its start, each change of its readiness and its stop.
func TestHostLines(t *testing.T) {
	is := is.New(t)
	x := newTestHost(t)
	x.eventually("ready", func() bool { return x.status(x.host.settings.Admin, "/readyz") == http.StatusOK })
	x.leave()
	x.eventually("not ready", func() bool { return x.status(x.host.settings.Admin, "/readyz") != http.StatusOK })
	is.NoErr(x.stop())
	log := x.log.String()
	find := func(from int, line string) int {
		t.Helper()
		found := regexp.MustCompile(line).FindStringIndex(log[from:])
		if found == nil {
			t.Fatalf("no line %s after byte %d of\n%s", line, from, log)
		}
		return from + found[1]
	}
	// The admin server runs before the host logs host_started, and the host turns
	// unready before it logs leave_started, so a concurrent /readyz request may
	// log readiness_changed first in both cases.
	started := find(0, `event=host_started admin=.* data=.* steering=token zone=a`)
	ready := find(0, `event=readiness_changed .*ready=true`)
	running := max(started, ready)
	leaving := find(running, `event=leave_started .*limit_ms=`)
	unready := find(running, `event=readiness_changed .*ready=false reason=leaving`)
	done := find(max(leaving, unready), `event=leave_done`)
	find(done, `event=host_stopped.*\n$`)
}

// A leave that is aborted must be logged as such.
func TestAbortedLeaveLine(t *testing.T) {
	var out buffer.Buffer
	h := &Host{log: logging.New(&out, zerolog.InfoLevel)}
	h.settings.Limits.Leave = time.Minute
	abort, cancel := context.WithCancel(context.Background())
	cancel()
	h.leave(abort)
	is.New(t).True(regexp.MustCompile(`level=warn event=leave_aborted`).MatchString(out.String()))
}
