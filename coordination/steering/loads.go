package steering

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
)

// TargetLoad is the load that one host, or several together, put on a target.
type TargetLoad struct {
	// Open counts flows, Busy those with a request in progress or about to be
	// sent.
	Open, Busy int
	// FastShare is the largest share, from 0 to 1, of too fast answers at any of
	// the hosts.
	FastShare float64
	// Unanswered counts flows that the target left unanswered since its last
	// answer, at most maxReportedUnanswered of each host. It is 0 if the target
	// answers another host meanwhile.
	Unanswered int
}

// maxReportedUnanswered bounds the unanswered flows in a host's report. It is
// enough for two hosts to confirm a silent target.
const maxReportedUnanswered = minDeadFlows

// answerReportWindow is how long an answer of a target is reported to other
// hosts: a little longer than the time between two reports.
const answerReportWindow = 300 * time.Millisecond

// minReportedFastShare is the smallest share of too fast answers that is
// reported to other hosts.
const minReportedFastShare = 0.05

// PeerLoads is the sum of the latest reports of the other hosts.
type PeerLoads struct {
	// Hosts counts the live hosts of this host's zone, itself included.
	Hosts int
	// Sharers is the number of hosts by which the rate of a cold target is divided, 0 if
	// it is not known. It is larger than Hosts while there may be hosts that are not heard.
	Sharers int
	// Settled is set once the host has had time to receive the heartbeats of the
	// others.
	Settled bool
	Targets map[Token]TargetLoad
	// Share holds the slots that this host holds, by its zone's last table.
	Share allotment.Share
	// QueriedZones are the zones whose hosts were queried in the last round,
	// because their targets were unreachable. ZoneAnswers holds when a host of each
	// zone last answered this host.
	QueriedZones []string
	ZoneAnswers  map[string]time.Duration
	// Restarts holds the targets that other hosts of the zone believe to have started
	// again.
	Restarts []Restart
	// Zones holds the valid summaries of all zones at the time At, this host's own
	// included. It is empty without Balancing.CrossZone and in a small zone.
	Zones []crosszone.Zone
	At    time.Duration
}

// SetPeerLoads replaces the loads reported by the other hosts.
func (s *Steering) SetPeerLoads(l *PeerLoads) {
	s.peerLoads = l
	for _, t := range s.targets {
		load := l.Targets[t.token]
		t.peersOpen, t.peersBusy, t.peersUnanswered = load.Open, load.Busy, load.Unanswered
		t.peersFast = load.FastShare
		t.held = l.Share.Held(uint32(t.token))
	}
	s.setMeanLoads()
	s.updatePools(s.lastSweep) // shares change slowly
	s.setZones(l)
}

// TargetStats is this host's data about a target, for metrics and for other
// hosts.
type TargetStats struct {
	Key     fleet.TargetKey
	Token   Token
	Service string
	Zone    string
	TargetLoad
	// Eligible is set if the target may be assigned new flows.
	Eligible bool
	// Silent is set if this host believes that the target does not answer.
	Silent bool
	// Restart is set if this host has just seen a gap in the target's answers in which
	// it may have started again, else nil.
	Restart *Restart
	// Answered is set if the target has just answered this host.
	Answered bool
}

// NumTargets returns the number of targets in the view, including those that
// are gone.
func (s *Steering) NumTargets() int { return len(s.targets) }

// TargetStats returns the targets about which this host has data to report:
// flows, requests, answers, silence or too fast answers.
func (s *Steering) TargetStats(now time.Duration) []TargetStats {
	list := make([]TargetStats, 0, len(s.targets))
	for key, t := range s.targets {
		fastShare := t.fastAnswers.shareAt(now)
		unanswered := t.health.reportedUnanswered(now)
		answered := t.health.lastProgress > 0 && now-t.health.lastProgress < answerReportWindow
		idle := t.open == 0 && t.busy == 0 && t.opening == 0
		restart := t.reportedRestart(now)
		if t.entry.Gone || (idle && unanswered == 0 && !answered && restart == nil && fastShare < minReportedFastShare) {
			continue
		}
		list = append(list, TargetStats{
			Key: key, Token: t.token, Service: t.entry.Service, Zone: t.entry.Zone,
			TargetLoad: TargetLoad{Open: t.open, Busy: t.busy + t.opening, FastShare: fastShare, Unanswered: unanswered},
			Eligible:   t.eligible(), Silent: t.health.silent, Answered: answered, Restart: restart,
		})
	}
	return list
}
