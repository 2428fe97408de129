package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target runs near its rate when one of four hosts fails: every fourth
// caller's acknowledgement is lost and retransmitted. The openings whose
// acknowledgements are late must not occupy the target's slots.
func TestLateAcknowledgementsLeaveSlots(t *testing.T) {
	is := is.New(t)
	const (
		gap       = 12 * time.Millisecond
		latency   = 8 * time.Millisecond
		late      = 208 * time.Millisecond
		lateEvery = 4
		lateFrom  = 10 * time.Second
		length    = 15 * time.Second
	)
	cfg := testConfig()
	cfg.Limits.OpeningsPerSecond = 100
	target := NewTarget(0, cfg, false, testSeed)
	acks := make(map[time.Duration][]time.Duration)
	refused := 0
	for now, n := time.Second, 0; now < length; now += time.Millisecond {
		for _, took := range acks[now] {
			target.Established(now, took)
			target.Ended(now, true)
		}
		if now%gap != 0 {
			continue
		}
		if !target.Admit(now).OK {
			refused++
			continue
		}
		n++
		took := latency
		if now > lateFrom && n%lateEvery == 0 {
			took = late
		}
		acks[now+took] = append(acks[now+took], took)
	}
	is.Equal(refused, 0) // an opening was refused
}

// A slow target answers its openings out of order: the answer to a later opening
// must not release the slot of an earlier one that is still being handled.
func TestSlowAnswersKeepSlots(t *testing.T) {
	is := is.New(t)
	const usual = 100 * time.Millisecond
	var o openings
	o.add(0)
	o.add(150 * time.Millisecond)
	o.answered(200*time.Millisecond, 50*time.Millisecond, usual)
	is.Equal(o.occupied, 1) // the older one still occupies its slot
	o.add(450 * time.Millisecond)
	o.answered(500*time.Millisecond, 50*time.Millisecond, usual)
	is.Equal(o.occupied, 0) // the older one is presumed lost
}
