package servicetime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// logNormal returns a random time with a mean and a spread of its logarithm of 0.5.
func logNormal(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(0.5*rng.NormFloat64()-0.125))
}

// near reports whether a time is within a tenth of the wanted one.
func near(got, want time.Duration) bool {
	return math.Abs(float64(got-want)) <= 0.1*float64(want)
}

// fill adds samples of a mixture: a share of long ones, the rest short.
func fill(d *Distribution, seed uint64, n int, short, long time.Duration, share float64) []time.Duration {
	rng := rand.New(rand.NewPCG(seed, 1))
	var all []time.Duration
	for range n {
		mean := short
		if rng.Float64() < share {
			mean = long
		}
		took := logNormal(rng, mean)
		all = append(all, took)
		d.Add(time.Second, took)
	}
	return all
}

// The remaining time must match the mean excess of the samples: it falls at first
// and grows for a request that has outlasted the short ones.
func TestRemainingTimeOfMixedCosts(t *testing.T) {
	is := is.New(t)
	var d Distribution
	all := fill(&d, 1, 20_000, 26*ms, 182*ms, 0.03)
	for _, elapsed := range []time.Duration{0, 15 * ms, 40 * ms, 80 * ms, 150 * ms, 300 * ms} {
		sum, n := time.Duration(0), 0
		for _, took := range all {
			if took > elapsed {
				sum += took - elapsed
				n++
			}
		}
		got, ok := d.Remaining(time.Second, elapsed, 0)
		is.True(ok)
		want := sum / time.Duration(n)
		if !near(got, want) {
			t.Errorf("after %v: %v remain, want %v", elapsed, got, want)
		}
	}
	mean, ok := d.Mean(time.Second)
	is.True(ok && near(mean, 30680*time.Microsecond))
	start, _ := d.Remaining(time.Second, 0, 0)
	long, _ := d.Remaining(time.Second, 100*ms, 0)
	is.True(long > 2*start)
}

// A request that has likely ended, but whose end is not known to the host yet, must
// not count with a remaining time of one in progress.
func TestEndsThatAreNotSeenYet(t *testing.T) {
	is := is.New(t)
	var d Distribution
	fill(&d, 2, 5_000, 5*ms, 5*ms, 0)
	seen, _ := d.Remaining(time.Second, 11*ms, 0)
	unseen, _ := d.Remaining(time.Second, 11*ms, 6*ms)
	is.True(unseen < seen/4)
}

// Too few samples, or old ones, must not be used.
func TestFewAndOldSamplesAreNotUsed(t *testing.T) {
	is := is.New(t)
	var d Distribution
	var s Service
	for range int(MinSamples) - 1 {
		d.Add(0, 20*ms)
		s.Add(0, 20*ms)
	}
	_, ok := d.Mean(0)
	is.True(!ok)
	_, ok = s.Mean(0)
	is.True(!ok)
	d.Add(0, 20*ms)
	s.Add(0, 20*ms)
	_, ok = d.Remaining(0, 0, 0)
	is.True(ok)
	_, ok = s.Mean(0)
	is.True(ok)
	_, ok = d.Mean(HalfLife)
	is.True(!ok)
	_, ok = s.Mean(HalfLife)
	is.True(!ok)
}

// Newer samples must replace older ones within a few half-lives, also long after the
// start of the host.
func TestMeanFollowsChange(t *testing.T) {
	is := is.New(t)
	var d Distribution
	var s Service
	for _, start := range []time.Duration{0, 24 * time.Hour, 1000 * time.Hour} {
		for i := range 200 {
			now := start + time.Duration(i)*100*ms
			d.Add(now, 100*ms)
			s.Add(now, 100*ms)
		}
		for i := range 400 {
			now := start + 20*time.Second + time.Duration(i)*100*ms
			d.Add(now, 20*ms)
			s.Add(now, 20*ms)
		}
		end := start + time.Minute
		mean, ok := d.Mean(end)
		is.True(ok && mean < 26*ms && mean >= 20*ms)
		mean, ok = s.Mean(end)
		is.True(ok && mean < 26*ms && mean >= 20*ms)
	}
}

// The estimate of a remaining time must be finite, not negative and bounded, whatever
// the samples are.
func TestRemainingTimeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Distribution
		now := time.Duration(rapid.Int64Range(0, int64(100*time.Hour)).Draw(t, "start"))
		longest := time.Duration(0)
		for _, took := range rapid.SliceOfN(rapid.Int64Range(-int64(ms), int64(time.Minute)), 10, 60).Draw(t, "samples") {
			now += time.Duration(rapid.Int64Range(0, int64(ms)).Draw(t, "gap"))
			d.Add(now, time.Duration(took))
			longest = max(longest, time.Duration(took), minTime)
		}
		elapsed := time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "elapsed"))
		unseen := time.Duration(rapid.Int64Range(0, int64(10*ms)).Draw(t, "unseen"))
		got, ok := d.Remaining(now, elapsed, unseen)
		if ok && (got < 0 || got > max(longest, elapsed)+ms) {
			t.Fatalf("remaining %v after %v; longest sample %v", got, elapsed, longest)
		}
	})
}

// A target that is five times slower must be found after a few requests, and a target
// that is as fast as others must not count as slow or fast by chance.
func TestSpeedOfTargets(t *testing.T) {
	is := is.New(t)
	var d Distribution
	fill(&d, 3, 5_000, 26*ms, 182*ms, 0.03)
	rng := rand.New(rand.NewPCG(4, 1))
	var slow Speed
	for range 8 {
		slow.Add(time.Second, 5*logNormal(rng, 26*ms), &d)
	}
	is.True(slow.Factor(time.Second) < 0.5)
	is.Equal(slow.Factor(time.Second+8*HalfLife), 1.0)
	wrong := 0
	const targets = 500
	for range targets {
		var s Speed
		for range 20 {
			s.Add(time.Second, logNormal(rng, 26*ms), &d)
		}
		if factor := s.Factor(time.Second); factor < 0.9 || factor > 1.1 {
			wrong++
		}
	}
	t.Logf("%d of %d equal targets judged as different", wrong, targets)
	is.True(wrong <= targets/50)
}

// The speed is bounded, and a target that recovers counts as slow for half a minute
// at most.
func TestSpeedIsBoundedAndRecovers(t *testing.T) {
	is := is.New(t)
	var d Distribution
	fill(&d, 5, 5_000, 50*ms, 50*ms, 0)
	var fast, slow Speed
	for range 100 {
		fast.Add(time.Second, ms, &d)
		slow.Add(time.Second, 50*time.Second, &d)
	}
	is.Equal(fast.Factor(time.Second), MaxSpeed)
	is.Equal(slow.Factor(time.Second), MinSpeed)
	var s Speed
	now := time.Second
	for range 50 {
		s.Add(now, 250*ms, &d)
	}
	is.True(s.Factor(now) < 0.4)
	for range 150 {
		now += 200 * ms
		s.Add(now, 50*ms, &d)
		d.Add(now, 50*ms)
	}
	is.True(s.Factor(now) > 0.8)
}

// An idle flow counts with the share of time that flows of the service spend in
// service, and with the assumed share while nothing is known.
func TestIdleFlowLoad(t *testing.T) {
	is := is.New(t)
	var s Service
	is.Equal(s.IdleFlowLoad(0, 0.04), 0.04)
	for i := range 2000 {
		now := time.Duration(i) * 50 * ms
		s.Add(now, 100*ms)
		s.AddFlowTime(now, 10*50*ms) // ten flows
		if i%2 == 0 {
			s.AddFlowRequest(now) // one request a second and flow
		}
	}
	got := s.IdleFlowLoad(100*time.Second, 0.04)
	is.True(got > 0.08 && got < 0.105) // a request of 100 ms a second
	var none Service
	for i := range 2000 {
		none.Add(time.Duration(i)*50*ms, 100*ms)
		none.AddFlowTime(time.Duration(i)*50*ms, 500*ms)
	}
	is.True(none.IdleFlowLoad(100*time.Second, 0.04) < 0.01)
}

func BenchmarkRemaining(b *testing.B) {
	var d Distribution
	fill(&d, 6, 5_000, 26*ms, 182*ms, 0.03)
	b.ReportAllocs()
	for i := range b.N {
		d.Remaining(time.Second, time.Duration(i%200)*ms, 6*ms)
	}
}
