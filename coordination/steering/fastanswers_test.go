package steering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// replayFailingTarget simulates ordinary load on a zone of three targets, one
// of which answers each request at once with an error, and returns that
// target's share of the requests. Without detect, the host places by load
// alone.
func replayFailingTarget(t *testing.T, seed uint64, detect bool) float64 {
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
				c.sendRequest()
				took := 6*time.Millisecond + time.Duration((0.5+r.rng.Float64())*float64(replayWork))
				if a.Key == "a0" && r.now > 3*time.Second {
					failed++
					took = 7 * time.Millisecond
				}
				r.at(r.now+took, func() {
					c.acknowledge()
					c.p.Class = packet.Closing
					c.send()
					if !detect {
						r.targets[a.Key].fastAnswers = fastAnswerShare{}
						r.judgePools(r.now)
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
func TestFailingTargetGetsFewRequests(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		detected, plain := replayFailingTarget(t, seed, true), replayFailingTarget(t, seed, false)
		t.Logf("seed %d: share of a failing target %.3f, by load alone %.3f", seed, detected, plain)
		is.True(plain > 0.33) // more than a third
		is.True(detected < 0.05)
	}
}

// Random variation of answer times must not give a healthy target a penalty.
func TestHealthyTargetsGetNoFastAnswerPenalty(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, 3)
	gap := 15 * time.Millisecond
	for due := time.Second; due < 21*time.Second; due += gap {
		r.at(due, func() { r.request(due, callerRetries) })
		r.at(due, func() {
			for _, target := range r.targets {
				is.Equal(target.fastAnswerPenalty(r.now), 0.0)
			}
		})
	}
	r.run()
}

func TestFastAnswerShareDecays(t *testing.T) {
	is := is.New(t)
	var share fastAnswerShare
	for range 20 {
		share.addAnswer(0, true)
	}
	is.True(share.shareAt(0) > 0.9)
	is.True(share.shareAt(fastShareHalfLife) < 0.51)
	is.True(share.shareAt(2*fastShareHalfLife) < fastShareThreshold)
	share.addAnswer(0, false)
	is.True(share.shareAt(0) < 0.71)
}

func TestMedianEstimateConverges(t *testing.T) {
	is := is.New(t)
	var estimate medianEstimate
	for range 500 {
		estimate.addSample(40 * time.Millisecond)
		estimate.addSample(60 * time.Millisecond)
		estimate.addSample(50 * time.Millisecond)
	}
	is.True(estimate.median > 40*time.Millisecond && estimate.median < 60*time.Millisecond)
	is.True(estimate.tooFast(7 * time.Millisecond))
	is.True(!estimate.tooFast(25 * time.Millisecond))
	var fresh medianEstimate
	fresh.addSample(time.Second)
	is.True(!fresh.tooFast(time.Millisecond)) // too few samples
}

// A share of too fast answers that another host of the zone reports counts at
// this host too.
func TestPeersFindFailingTargets(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	w.SetPeerLoads(&PeerLoads{Hosts: 2, Targets: map[Token]TargetLoad{TokenOf("a0"): {FastShare: 0.8}}})
	for n := range 9 {
		is.True(w.caller(n, orders).open(0).Key != fleet.TargetKey("a0"))
	}
}

// Guards against failing targets that draw flows again after each change of the
// configuration, because the routes' usual answer times were forgotten.
func TestAnswerTimesSurviveAChangeOfConfiguration(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	for range 2 * minMedianSamples {
		w.routes[orders].answerTime.addSample(40 * time.Millisecond)
	}
	w.view.Config.Version++
	w.apply()
	is.True(w.routes[orders].answerTime.tooFast(time.Millisecond)) // far below the median
	w.view.Config.Version++
	w.view.Config.Routes[1].Shares = []fleet.Share{{Service: "maps", Weight: 1}}
	w.apply()
	is.True(!w.routes[orders].answerTime.tooFast(time.Millisecond)) // another service
}
