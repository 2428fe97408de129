package steering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// failingReplay plays ordinary load on a zone of three targets, one of which
// answers with errors at once, and returns the share of its requests.
func failingReplay(t *testing.T, seed uint64, judged bool) float64 {
	r := newReplay(t, seed)
	failed, sent := 0, 0
	gap := 15 * time.Millisecond
	for due := time.Second; due < 11*time.Second; due += gap {
		r.at(due, func() {
			r.flows++
			c := r.caller(r.flows, orders)
			a := c.open(0)
			if a.Kind != Forward {
				return
			}
			sent++
			r.at(r.now+6*time.Millisecond, func() {
				c.confirm()
				c.ask()
				took := 6*time.Millisecond + time.Duration((0.5+r.rng.Float64())*float64(replayWork))
				if a.Key == "a0" && r.now > 3*time.Second {
					failed++
					took = 7 * time.Millisecond
				}
				r.at(r.now+took, func() {
					c.answered()
					c.p.Class = 2
					c.send()
					if !judged {
						r.targets[a.Key].quality = quality{}
					}
				})
			})
		})
	}
	r.run()
	return float64(failed) / float64(sent)
}

// A target that fails each request at once gets few of them; by load alone it
// would get most.
func TestFailingTargetGetsLittle(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		judged, plain := failingReplay(t, seed, true), failingReplay(t, seed, false)
		t.Logf("seed %d: share of a failing target %.3f, by load alone %.3f", seed, judged, plain)
		is.True(plain > 0.33) // more than its part
		is.True(judged < 0.05)
	}
}

// Targets of good health are not taken for failing ones by chance.
func TestGoodTargetsAreNotTakenForFailing(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, 3)
	gap := 15 * time.Millisecond
	for due := time.Second; due < 21*time.Second; due += gap {
		r.at(due, func() { r.request(due, callerRetries) })
		r.at(due, func() {
			for _, target := range r.targets {
				is.Equal(target.qualityLoad(r.now), 0.0)
			}
		})
	}
	r.run()
}

func TestQualityReturnsWithTime(t *testing.T) {
	is := is.New(t)
	var q quality
	for range 20 {
		q.answered(0, true)
	}
	is.True(q.now(0) > 0.9)
	is.True(q.now(fastHalfLife) < 0.51)
	is.True(q.now(2*fastHalfLife) < fastFloor)
	q.answered(0, false)
	is.True(q.now(0) < 0.71)
}

func TestUsualTimeFollowsTheMedian(t *testing.T) {
	is := is.New(t)
	var u typical
	for range 500 {
		u.tooFast(40 * time.Millisecond)
		u.tooFast(60 * time.Millisecond)
		u.tooFast(50 * time.Millisecond)
	}
	is.True(u.time > 40*time.Millisecond && u.time < 60*time.Millisecond)
	is.True(u.tooFast(7 * time.Millisecond))
	is.True(!u.tooFast(25 * time.Millisecond))
	var fresh typical
	is.True(!fresh.tooFast(time.Second))
	is.True(!fresh.tooFast(time.Millisecond)) // too few to tell
}

// What another host of the zone found counts here too.
func TestPeersFindFailingTargets(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.SetPeerLoads(&PeerLoads{Hosts: 2, Targets: map[Token]TargetLoad{TokenOf("a0"): {Fast: 0.8}}})
	for n := range 9 {
		is.True(w.caller(n, orders).open(0).Key != fleet.TargetKey("a0"))
	}
}
