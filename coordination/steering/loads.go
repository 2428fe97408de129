package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// TargetLoad is the work of one target for the callers of some hosts.
type TargetLoad struct {
	// Open counts flows, Busy those with a request in work.
	Open, Busy int
}

// PeerLoads is what the other hosts told lately, summed over them.
type PeerLoads struct {
	Targets map[fleet.TargetKey]TargetLoad
}

// SetPeerLoads replaces what the other hosts told.
func (s *Steering) SetPeerLoads(l *PeerLoads) {
	s.peerLoads = l
	for key, t := range s.targets {
		t.peersOpen, t.peersBusy = 0, 0
		if l != nil {
			told := l.Targets[key]
			t.peersOpen, t.peersBusy = told.Open, told.Busy
		}
	}
}

// TargetStats is what a host knows of a target, for metrics and other hosts.
type TargetStats struct {
	Key     fleet.TargetKey
	Service string
	Zone    string
	TargetLoad
	// Silent is set while the target is believed not to answer.
	Silent bool
	// Takes is set if the target may be given new flows.
	Takes bool
	// SaidAge is how old the target's last word in the store is.
	SaidAge time.Duration
}

// TargetStats lists all targets that are not gone.
func (s *Steering) TargetStats(now time.Duration) []TargetStats {
	list := make([]TargetStats, 0, len(s.targets))
	for key, t := range s.targets {
		if t.entry.Gone {
			continue
		}
		list = append(list, TargetStats{
			Key: key, Service: t.entry.Service, Zone: t.entry.Zone,
			TargetLoad: TargetLoad{Open: t.open, Busy: t.busy},
			Silent:     t.health.silent, Takes: t.takes(), SaidAge: now - t.entry.Said,
		})
	}
	return list
}
