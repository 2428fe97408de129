package tokenhost

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/peers"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	wire "github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// local gives the gossip exchange access to the rest of the host.
type local struct{ h *Host }

// StoreAnswers implements gossip.Local.
func (l local) StoreAnswers() bool { return l.h.follower.StoreAnswers() }

// LastRead implements gossip.Local.
func (l local) LastRead() (to store.Position, at time.Duration, ok bool) {
	return l.h.follower.LastRead()
}

// Leaving implements gossip.Local.
func (l local) Leaving() bool { return l.h.leaving.Load() }

// UnreachableZones implements gossip.Local.
func (l local) UnreachableZones() []string { return l.h.packets.Stats().UnreachableZones }

// HandleFeed implements gossip.Local.
func (l local) HandleFeed(f *wire.Feed, fetched bool) {
	if fetched {
		l.h.follower.ApplyFetched(f)
		return
	}
	l.h.follower.ApplyFeed(f)
}

// HandlePeerStore implements gossip.Local.
func (l local) HandlePeerStore(answers bool) { l.h.follower.SetPeerStore(answers) }

// HandleReaderPosition implements gossip.Local.
func (l local) HandleReaderPosition(to store.Position, age time.Duration) {
	l.h.follower.SeeReader(to, age)
}

// ChangesSince implements gossip.Local.
func (l local) ChangesSince(after store.Position) *wire.Feed { return l.h.follower.ChangesSince(after) }

// TablePage implements gossip.Local.
func (l local) TablePage(after store.Key) *wire.TablePage { return l.h.follower.TablePage(after) }

// HandleTable implements gossip.Local.
func (l local) HandleTable(p *wire.TablePage, from string) { l.h.follower.ApplyTablePage(p, from) }

// HandleReader implements gossip.Local.
func (l local) HandleReader() { l.h.follower.Wake() }

// HandleLoads implements gossip.Local.
func (l local) HandleLoads(p *steering.PeerLoads) { l.h.packets.SetPeerLoads(p) }

// ZoneLoads implements gossip.Local.
func (l local) ZoneLoads() []crosszone.Load { return l.h.packets.Stats().ZoneLoads }

// maxReportedLoads limits the targets in one heartbeat.
const maxReportedLoads = 64

// maxReportedAnswers limits the targets that answered in one heartbeat.
const maxReportedAnswers = 128

// maxReportedRestarts limits the targets that may have started again in one heartbeat.
const maxReportedRestarts = 32

// Restarts implements gossip.Local.
func (l local) Restarts() []wire.Restart {
	var list []wire.Restart
	for _, t := range l.h.packets.Stats().Targets {
		if t.Restart != nil && len(list) < maxReportedRestarts {
			list = append(list, wire.Restart{Token: uint32(t.Token), Certain: t.Restart.Certain})
		}
	}
	return list
}

const percent = 100

// Loads implements gossip.Local.
func (l local) Loads() (loads []wire.TargetLoad, answers []uint32) {
	for _, t := range l.h.packets.Stats().Targets {
		if t.Answered {
			answers = append(answers, uint32(t.Token))
		}
		if t.Open > 0 || t.Busy > 0 || t.Unanswered > 0 || t.FastShare > 0 {
			loads = append(loads, wire.TargetLoad{
				Token: uint32(t.Token), Open: t.Open, Busy: t.Busy, Unanswered: t.Unanswered, FastPercent: int(t.FastShare * percent),
			})
		}
	}
	peers.SortLoads(loads)
	return loads[:min(len(loads), maxReportedLoads)], answers[:min(len(answers), maxReportedAnswers)]
}
