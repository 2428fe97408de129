package steering

import (
	"fmt"
	"math"
	"math/rand/v2"
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
						r.updatePools(r.now)
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

// Guards against a target that stays avoided after its answers were too fast once.
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

// Guards against an estimate of a route's fastest answers that does not converge, does
// not tell failing targets from healthy ones or is used after too few answers.
func TestAnswerTimesConverge(t *testing.T) {
	is := is.New(t)
	const roundTrip = 6 * time.Millisecond
	var known, fresh answerTimes
	for range 2 * minQuantileSamples {
		known.addHandshake(roundTrip)
		fresh.addHandshake(roundTrip)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		known.addAnswer(roundTrip + 40*time.Millisecond + time.Duration(rng.Int64N(int64(20*time.Millisecond))))
	}
	is.True(known.service.value > 39*time.Millisecond && known.service.value < 43*time.Millisecond)
	is.True(known.addAnswer(roundTrip + time.Millisecond))
	is.True(!known.addAnswer(roundTrip + 25*time.Millisecond))
	for range minQuantileSamples - 1 {
		is.True(!fresh.addAnswer(time.Second))
	}
	is.True(!fresh.addAnswer(time.Millisecond)) // too few samples
	var noHandshake answerTimes
	for range 2 * minQuantileSamples {
		is.True(!noHandshake.addAnswer(time.Second)) // the round trip is not known
	}
}

// Guards against healthy targets that count as failing because most requests wait
// in queues: the fastest answers of the route stay the measure.
func TestWaitingDoesNotMakeAnswersTooFast(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var a answerTimes
	for range 2 * minQuantileSamples {
		a.addHandshake(6 * time.Millisecond)
	}
	tooFast := 0
	const answers = 20000
	for range answers {
		took := 6*time.Millisecond + time.Duration(55e6*math.Exp(0.5*rng.NormFloat64()-0.125))
		if rng.Float64() < 0.7 {
			took += 150 * time.Millisecond // waits for a slot
		}
		if a.addAnswer(took) {
			tooFast++
		}
	}
	is.True(float64(tooFast) < 0.02*answers)
}

// Guards against a host that keeps using a failing target which another host of the
// zone has reported.
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
	const roundTrip = 6 * time.Millisecond
	for range 2 * minQuantileSamples {
		w.routes[orders].answerTimes.addHandshake(roundTrip)
	}
	for range 2 * minQuantileSamples {
		w.routes[orders].answerTimes.addAnswer(roundTrip + 40*time.Millisecond)
	}
	w.view.Config.Version++
	w.apply()
	is.True(w.routes[orders].answerTimes.addAnswer(roundTrip)) // far below the usual time
	w.view.Config.Version++
	w.view.Config.Routes[1].Shares = []fleet.Share{{Service: "maps", Weight: 1}}
	w.apply()
	is.True(!w.routes[orders].answerTimes.addAnswer(roundTrip)) // another service
}

// Guards against most targets of a zone that are avoided because the other zones'
// targets count as well.
func TestAvoidedTargetsAreBoundedInEachZone(t *testing.T) {
	is := is.New(t)
	w := newFixture(t)
	for n := range 20 {
		w.add(fmt.Sprintf("c%d", n), "book", "c")
	}
	for n := 3; n < 10; n++ {
		w.add(fmt.Sprintf("a%d", n), "book", "a")
	}
	w.apply()
	loads := map[Token]TargetLoad{}
	for n := range 10 {
		loads[TokenOf(fleet.TargetKey(fmt.Sprintf("a%d", n)))] = TargetLoad{FastShare: 0.6 + 0.03*float64(n)}
	}
	w.SetPeerLoads(&PeerLoads{Hosts: 2, Targets: loads})
	for key, target := range w.targets {
		is.Equal(target.avoided, key == "a8" || key == "a9") // the two with the largest shares
	}
}
