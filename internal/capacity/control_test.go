package main

import (
	"flag"
	"testing"
	"time"
)

var controlFull = flag.Bool("control", false, "hold 300,000 flows and open 3,000 a second in the test of control traffic")

// TestControlTrafficStaysInBound guards against control traffic of one host
// above controlBound, TLS and TCP/IP headers included, in any ten seconds.
// Traffic rises while a target joins, a host stops and restarts, and another
// fails and restarts, one after the other.
func TestControlTrafficStaysInBound(t *testing.T) {
	held, opened, length := 3_000, 300, 20*time.Second
	if *controlFull {
		held, opened, length = 300_000, 3_000, time.Minute
	}
	t.Logf("seed %d", seed)
	if worst := runControl(held, opened, length, measureOverhead()); worst > controlBound {
		t.Errorf("one host sent %.0f bytes a second, at most %d allowed", worst, controlBound)
	}
}
