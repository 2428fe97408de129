package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/document"
)

const testSeed = 5

func testConfig() Config {
	return Config{
		ID:     1,
		Limits: document.Limits{Connections: 2000, OpeningsInFlight: 3, OpeningsPerSecond: 200},
		Ramp:   30 * time.Second,
	}
}

// openFor requests an opening every gap and returns the number admitted in each
// second. An opening is answered after latency; with a negative latency it is
// never answered, but retransmitted and abandoned after 1 s.
func openFor(t *Target, from, length, gap, latency time.Duration) []int {
	perSecond := make([]int, int(length/time.Second)+1)
	type due struct{ at time.Duration }
	var answers, retransmits []due
	for now := from; now < from+length; now += gap {
		for len(answers) > 0 && answers[0].at <= now {
			t.Established(answers[0].at, latency)
			t.Ended(answers[0].at, true)
			answers = answers[1:]
		}
		for len(retransmits) > 0 && retransmits[0].at <= now {
			t.Retransmitted(retransmits[0].at)
			t.Abandoned(retransmits[0].at)
			retransmits = retransmits[1:]
		}
		if !t.Admit(now).OK {
			continue
		}
		perSecond[int((now-from)/time.Second)]++
		if latency < 0 {
			retransmits = append(retransmits, due{now + time.Second})
			continue
		}
		answers = append(answers, due{now + latency})
	}
	for _, a := range answers {
		t.Established(a.at, latency)
		t.Ended(a.at, true)
	}
	return perSecond
}

const (
	openingGap = 2 * time.Millisecond
	answer     = 4 * time.Millisecond
	// tick is the resolution of the times in the flow table that the test
	// assumes.
	tick = 100 * time.Millisecond
)

func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		run  func(is *is.I, tg *Target)
		// cold means that the target starts cold.
		cold bool
	}{
		{"fresh at peak", func(is *is.I, tg *Target) {
			got := openFor(tg, 0, 31*time.Second, openingGap, answer)
			for second, n := range got {
				allowed := 200 * (coldShare + (1-coldShare)*float64(second+1)/30)
				is.True(float64(n) <= allowed) // exceeds the limit of the ramp
			}
			is.True(got[30] > 150) // warm at the end of its ramp
		}, true},
		{"cold holds few connections", func(is *is.I, tg *Target) {
			is.Equal(tg.Limits(0).Connections, 200)
			is.Equal(tg.Limits(30*time.Second).Connections, 2000)
		}, true},
		{"cold without notice, openings unanswered", func(is *is.I, tg *Target) {
			before := openFor(tg, 0, 5*time.Second, openingGap, answer)
			is.True(before[3] > 150)
			openFor(tg, 5*time.Second, 5*time.Second, openingGap, -1)
			is.True(tg.WarmShare(10*time.Second) < 0.3) // the ramp has restarted
			is.True(tg.Limits(10*time.Second).OpeningsPerSecond < 50)
		}, false},
		{"cold without notice, answers late", func(is *is.I, tg *Target) {
			openFor(tg, 0, 5*time.Second, openingGap, answer)
			openFor(tg, 5*time.Second, 5*time.Second, openingGap, 150*time.Millisecond)
			is.True(tg.WarmShare(10*time.Second) < 0.3)
		}, false},
		{"slow but answering keeps half", func(is *is.I, tg *Target) {
			openFor(tg, 0, 5*time.Second, openingGap, answer)
			openFor(tg, 5*time.Second, 10*time.Second, openingGap, 70*time.Millisecond)
			rate := tg.Limits(15 * time.Second).OpeningsPerSecond
			is.True(rate >= 100)
			is.True(rate < 150)
		}, false},
		{"latencies truncated to 100 ms do not count as slow", func(is *is.I, tg *Target) {
			rng := rand.New(rand.NewPCG(testSeed, 1))
			for i := range 20 * 600 {
				now := time.Duration(i) * 50 * time.Millisecond
				phase := time.Duration(rng.Int64N(int64(tick)))
				tg.Established(now, (phase + answer).Truncate(tick))
				is.Equal(tg.Limits(now).OpeningsPerSecond, 200)
			}
		}, false},
		{"report says idle while unanswered", func(is *is.I, tg *Target) {
			for s := range 5 {
				at := time.Duration(s) * time.Second
				tg.ApplyReport(at, Report{At: at, Load: 0})
				openFor(tg, at, time.Second, openingGap, -1)
				tg.Retransmitted(at + time.Second)
				tg.Retransmitted(at + time.Second)
				tg.Retransmitted(at + time.Second)
			}
			is.True(tg.Limits(5*time.Second).OpeningsPerSecond < 50)
		}, false},
		{"report says unhealthy while answering", func(is *is.I, tg *Target) {
			openFor(tg, 0, 5*time.Second, openingGap, answer)
			tg.ApplyReport(5*time.Second, Report{At: 5 * time.Second, Unhealthy: true, Load: -1})
			got := openFor(tg, 5*time.Second, 2*time.Second, openingGap, answer)
			is.True(got[0] >= 80)
		}, false},
		{"report says unhealthy, nothing answered", func(is *is.I, tg *Target) {
			tg.ApplyReport(20*time.Second, Report{At: 20 * time.Second, Unhealthy: true, Load: -1})
			is.True(tg.Limits(20*time.Second).OpeningsPerSecond <= 20)
			is.Equal(tg.Limits(20*time.Second).OpeningsInFlight, 1)
		}, false},
		{"lagging report", func(is *is.I, tg *Target) {
			tg.ApplyReport(60*time.Second, Report{At: 40 * time.Second, Unhealthy: true, Load: 1})
			is.Equal(tg.Limits(60*time.Second).OpeningsPerSecond, 200)
		}, false},
		{"flapping report does not swing the limit", func(is *is.I, tg *Target) {
			for s := range 20 {
				at := time.Duration(s) * time.Second
				tg.ApplyReport(at, Report{At: at, Shedding: s%2 == 0, Load: -1})
				is.True(tg.Limits(at).OpeningsPerSecond <= 140)
			}
		}, false},
		{"reports never raise", func(is *is.I, tg *Target) {
			tg.ApplyReport(0, Report{At: 0, Load: 0})
			is.Equal(tg.Limits(0).OpeningsPerSecond, 20)
		}, true},
		{"all signals bad still leave one opening", func(is *is.I, tg *Target) {
			for s := range 20 {
				at := time.Duration(s) * time.Second
				for range 5 {
					tg.Retransmitted(at)
				}
				tg.ApplyReport(at, Report{At: at, Unhealthy: true, Shedding: true, Load: 1})
			}
			is.Equal(tg.Limits(20*time.Second).OpeningsInFlight, 1)
			is.True(tg.Limits(20*time.Second).OpeningsPerSecond >= 1)
			is.True(tg.Admit(22 * time.Second).OK)
		}, false},
		{"one lost packet changes nothing", func(is *is.I, tg *Target) {
			tg.Retransmitted(time.Second)
			tg.Retransmitted(3 * time.Second)
			is.Equal(tg.Limits(3*time.Second).OpeningsPerSecond, 200)
		}, false},
		{"taken over warm with its flows", func(is *is.I, tg *Target) {
			for range 1990 {
				tg.Adopt(0)
			}
			tg.SetRetained(0, 10)
			d := tg.Admit(0)
			is.Equal(d.Reason, ReasonConnections)
			tg.SetRetained(0, 0)
			is.True(tg.Admit(time.Second).OK)
			is.Equal(tg.WarmShare(0), 1.0)
		}, false},
		{"taken over after a burst of the former owner", func(is *is.I, tg *Target) {
			busiest := 0
			for share := 0; share <= 1000; share += 50 {
				handOver := time.Hour + time.Duration(share)*time.Millisecond
				former := NewTarget(0, testConfig(), false, testSeed)
				next := NewTarget(handOver, testConfig(), false, testSeed)
				admitted := 0
				for now := time.Hour; now < time.Hour+time.Second; now += time.Millisecond {
					owner := former
					if now >= handOver {
						owner = next
					}
					if owner.Admit(now).OK {
						owner.Established(now, 0)
						admitted++
					}
				}
				busiest = max(busiest, admitted)
			}
			is.True(busiest <= 200) // openings in one second over both owners
		}, false},
		{"draining keeps its flows", func(is *is.I, tg *Target) {
			tg.Adopt(0)
			cfg := testConfig()
			cfg.Draining = true
			tg.Update(0, cfg)
			is.Equal(tg.Admit(0).Reason, ReasonDraining)
			is.Equal(tg.Flows(), 1)
			tg.Update(time.Second, testConfig())
			is.True(tg.Admit(time.Second).OK)
		}, false},
		{"burst after silence", func(is *is.I, tg *Target) {
			admitted := 0
			for i := range 1000 {
				now := time.Hour + time.Duration(i)*time.Millisecond
				if tg.Admit(now).OK {
					admitted++
					tg.Established(now, time.Millisecond)
				}
			}
			is.True(admitted <= 200) // openings in the first second
			is.True(admitted >= 180)
		}, false},
		{"a burst at one moment is paced", func(is *is.I, tg *Target) {
			admitted := 0
			for range 200 {
				if tg.Admit(time.Hour).OK {
					admitted++
					tg.Established(time.Hour, 0)
				}
			}
			is.Equal(admitted, 60)
		}, false},
		{"openings in flight", func(is *is.I, tg *Target) {
			now := time.Second
			for range 3 {
				is.True(tg.Admit(now).OK)
			}
			d := tg.Admit(now)
			is.Equal(d.Reason, ReasonInFlight)
			is.True(d.RetryAfter >= minRetryAfter)
			tg.Abandoned(now)
			is.True(tg.Admit(now).OK)
			is.Equal(tg.Flows(), 3)
		}, false},
		{"a caller that vanished holds no slot", func(is *is.I, tg *Target) {
			now := time.Second
			is.True(tg.Admit(now).OK) // never answered
			later := now + 300*time.Millisecond
			is.True(tg.Admit(later).OK)
			tg.Established(later+answer, 0)
			is.Equal(tg.InFlight(), 0)
			tg.Abandoned(now + 15*time.Second)
			is.Equal(tg.Flows(), 1)
		}, false},
		{"callers that vanished leave room for a probe", func(is *is.I, tg *Target) {
			for i := range 3 {
				is.True(tg.Admit(time.Second + time.Duration(i)*10*time.Millisecond).OK)
			}
			is.True(!tg.Admit(1100 * time.Millisecond).OK)
			is.True(tg.Admit(1300 * time.Millisecond).OK)
			is.True(!tg.Admit(1400 * time.Millisecond).OK)
			tg.Established(1410*time.Millisecond, 110*time.Millisecond)
			is.Equal(tg.InFlight(), 0)
		}, false},
		{"a dead target gets few openings", func(is *is.I, tg *Target) {
			admitted := 0
			for now := time.Second; now < 15*time.Second; now += openingGap {
				if tg.Admit(now).OK {
					admitted++
				}
			}
			is.Equal(admitted, 6)
		}, false},
		{"a ramp that another owner began", func(is *is.I, tg *Target) {
			tg.SetWarmShare(time.Minute, 0.55)
			is.True(tg.WarmShare(time.Minute) >= 0.549 && tg.WarmShare(time.Minute) <= 0.551)
			is.Equal(tg.WarmShare(time.Minute+15*time.Second), 1.0)
		}, false},
		{"more flows than the mean", func(is *is.I, tg *Target) {
			for range 134 {
				tg.Adopt(0)
			}
			tg.SetMeanFlows(100)
			is.True(tg.Admit(time.Second).OK)
			is.Equal(tg.Admit(time.Second).Reason, ReasonOverShare)
			is.True(tg.AdmitOverShare(time.Second).OK)
		}, false},
		{"turned cold with flows keeps them", func(is *is.I, tg *Target) {
			for range 1500 {
				tg.Adopt(0)
			}
			tg.MarkCold(time.Minute)
			is.Equal(tg.Limits(time.Minute).Connections, 1700)
			is.True(tg.Admit(time.Minute).OK)
		}, false},
		{"counts never fall below zero", func(is *is.I, tg *Target) {
			tg.Ended(0, false)
			tg.Established(0, answer)
			is.Equal(tg.Flows(), 0)
			is.Equal(tg.InFlight(), 0)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Logf("seed %d", testSeed)
			c.run(is.New(t), NewTarget(0, testConfig(), c.cold, testSeed))
		})
	}
}

func TestNoAllocations(t *testing.T) {
	is := is.New(t)
	tg := NewTarget(0, testConfig(), false, testSeed)
	now := time.Duration(0)
	allocs := testing.AllocsPerRun(1000, func() {
		now += time.Second
		tg.Admit(now)
		tg.Retransmitted(now)
		tg.Established(now, answer)
		tg.ApplyReport(now, Report{At: now, Load: 1})
		tg.Ended(now, true)
	})
	is.Equal(allocs, 0.0)
}
