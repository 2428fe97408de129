package steering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/verdict"
)

// A flow whose target is gone is reset at once if it was open before all that this host
// has read, unless callers still see answers of the target.
func TestGoneTarget(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := w.established(1, feeds)
	w.now += time.Second
	w.entry(key).Gone, w.entry(key).Since = true, w.now
	w.apply()
	w.complete = w.now
	a := c.sendRequest()
	is.Equal(a.Kind, Reset)
	is.Equal(a.Cause, CauseTargetGone)

	w = newFixture(t)
	c, key = w.established(1, feeds)
	w.entry(key).Gone, w.entry(key).Since = true, w.now
	w.now += 100 * time.Millisecond
	w.targets[key].health.recordAnswer(w.now)
	w.apply()
	is.Equal(c.sendRequest().Kind, Forward)
}

// A flow with idempotent requests is reset when its target is silent, so that
// the caller retries elsewhere. Any other flow keeps waiting for the target.
func TestSilentTargetResetsIdempotentFlowsOnly(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := silenceTarget(w, feeds)
	a := c.sendRequest()
	is.Equal(a.Kind, Reset)
	is.Equal(a.Cause, CauseTargetSilent)
	is.Equal(a.Key, key)
	is.Equal(a.Run, verdict.MayHaveRun)

	w = newFixture(t)
	c, _ = silenceTarget(w, orders)
	is.Equal(c.sendRequest().Kind, Forward)
}

// A host with a single unanswered flow resets it only if other hosts report the
// target as silent too.
func TestSilentTargetReportedByPeers(t *testing.T) {
	is := is.New(t)
	for hosts, want := range map[int]Kind{0: Forward, 1: Forward, 2: Reset} {
		w := newFixture(t)
		c, key := silenceTarget(w, feeds)
		w.targets[key].health.unansweredFlows = 1
		w.SetPeerLoads(&PeerLoads{Hosts: 4, Targets: map[Token]TargetLoad{TokenOf(key): {Unanswered: hosts}}})
		is.Equal(c.sendRequest().Kind, want)
	}
}

// Guards against resets of open flows because this host's own link is
// congested: a long feed filled a link of 10 Mbit/s for 0.6 s, and its host
// treated targets as dead.
func TestCongestedHostLinkResetsNoFlow(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, _ := silenceTarget(w, feeds)
	for _, key := range []fleet.TargetKey{"m0", "b0"} {
		w.targets[key].health.markSilent(w.now)
		w.targets[key].health.lastUnanswered = w.now
	}
	is.Equal(c.sendRequest().Kind, Forward)
}

// Outdated evidence must not reset a flow: the target may answer again, but no
// flow has tried it since.
func TestOutdatedEvidenceResetsNoFlow(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	c, key := silenceTarget(w, feeds)
	w.now += 2 * time.Second
	for _, other := range []fleet.TargetKey{"m0", "b0"} {
		w.targets[other].health.recordAnswer(w.now)
	}
	is.True(w.targets[key].health.silent)
	is.Equal(c.sendRequest().Kind, Forward)
}

// A flow is not reset, however long it waits, while its target answers others.
func TestSlowFlowIsNotResetWhileTargetAnswers(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	for _, key := range []fleet.TargetKey{"a1", "a2", "b0", "b1", "b2"} {
		w.entry(key).Draining = true
	}
	w.apply()
	slow, _ := w.established(1, feeds)
	stuck, _ := w.established(2, feeds)
	other, _ := w.established(3, feeds)
	for range 20 {
		w.now += 200 * time.Millisecond
		is.Equal(slow.sendRequest().Kind, Forward)
		is.Equal(stuck.sendRequest().Kind, Forward)
		other.sendRequest()
		is.Equal(other.acknowledge().Kind, Forward)
	}
	is.Equal(len(w.events), 0)
}

// A heartbeat of a silent target ends its backoff at once.
func TestHeartbeatEndsBackoffOfSilentTarget(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	_, key := silenceTarget(w, orders)
	w.targets[key].health.recordAttempt(w.now)
	is.True(!w.targets[key].health.usable(w.now))
	w.now += 10 * time.Millisecond
	w.entry(key).HeartbeatAt = w.now
	w.apply()
	is.True(w.targets[key].health.usable(w.now))
}
