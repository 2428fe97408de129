package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// TargetLoad is the work of one target for the callers of some hosts.
type TargetLoad struct {
	// Open counts flows, Busy those with a request in work.
	Open, Busy int
	// Fast is the largest share of answers that a host saw come too fast.
	Fast float64
	// Silent counts the hosts that find that the target does not answer.
	Silent int
}

// PeerLoads is what the other hosts told lately, summed over them.
type PeerLoads struct {
	// Hosts counts the live hosts of this host's zone, itself included.
	Hosts int
	// Settled is set once the host has had time to hear of the others.
	Settled bool
	Targets map[Token]TargetLoad
}

// SetPeerLoads replaces what the other hosts told.
func (s *Steering) SetPeerLoads(l *PeerLoads) {
	s.peerLoads = l
	for _, t := range s.targets {
		told := l.Targets[t.token]
		t.peersOpen, t.peersBusy, t.peersSilent = told.Open, told.Busy, told.Silent
		t.peersFast = told.Fast
	}
}

// TargetStats is what a host knows of a target, for metrics and other hosts.
type TargetStats struct {
	Key     fleet.TargetKey
	Token   Token
	Service string
	Zone    string
	TargetLoad
	// Takes is set if the target may be given new flows.
	Takes bool
}

// CutOff reports whether every target that takes new flows was asked in vain a
// moment ago: what the fabric sends to this host would be lost.
func (s *Steering) CutOff(now time.Duration) bool {
	asked := false
	for _, t := range s.targets {
		if !t.takes() {
			continue
		}
		if !t.health.accused(now) {
			return false
		}
		asked = true
	}
	return asked
}

// TargetStats lists all targets that are not gone.
func (s *Steering) TargetStats(now time.Duration) []TargetStats {
	list := make([]TargetStats, 0, len(s.targets))
	for key, t := range s.targets {
		if t.entry.Gone {
			continue
		}
		silent := 0
		if t.health.silent {
			silent = 1
		}
		list = append(list, TargetStats{
			Key: key, Token: t.token, Service: t.entry.Service, Zone: t.entry.Zone,
			TargetLoad: TargetLoad{Open: t.open, Busy: t.busy + t.opening, Fast: t.quality.now(now), Silent: silent},
			Takes:      t.takes(),
		})
	}
	return list
}
