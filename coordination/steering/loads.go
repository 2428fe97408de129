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

// worthTelling is the least share of too fast answers that is told.
const worthTelling = 0.05

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
		if !t.health.unresponsive(now) {
			return false
		}
		asked = true
	}
	return asked
}

// Known counts the targets of the view, those that are gone included.
func (s *Steering) Known() int { return len(s.targets) }

// TargetStats lists the targets that this host has something to tell of: flows,
// requests or a suspicion.
func (s *Steering) TargetStats(now time.Duration) []TargetStats {
	list := make([]TargetStats, 0, len(s.targets))
	for key, t := range s.targets {
		fast := t.quality.now(now)
		if t.entry.Gone || (t.open == 0 && t.busy == 0 && t.opening == 0 && !t.health.silent && fast < worthTelling) {
			continue
		}
		silent := 0
		if t.health.silent {
			silent = 1
		}
		list = append(list, TargetStats{
			Key: key, Token: t.token, Service: t.entry.Service, Zone: t.entry.Zone,
			TargetLoad: TargetLoad{Open: t.open, Busy: t.busy + t.opening, Fast: fast, Silent: silent},
			Takes:      t.takes(),
		})
	}
	return list
}
