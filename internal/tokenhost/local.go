package tokenhost

import (
	"cmp"
	"slices"

	"github.com/jujubehaven/jujubehaven/coordination/steering"
	wire "github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// local gives the gossip exchange access to the rest of the host.
type local struct{ h *Host }

// StoreAnswers implements gossip.Local.
func (l local) StoreAnswers() bool { return l.h.follower.StoreAnswers() }

// Leaving implements gossip.Local.
func (l local) Leaving() bool { return l.h.leaving.Load() }

// UnreachableZones implements gossip.Local.
func (l local) UnreachableZones() []string { return l.h.packets.Stats().UnreachableZones }

// HandleFeed implements gossip.Local.
func (l local) HandleFeed(f *wire.Feed) { l.h.follower.ApplyFeed(f) }

// HandleLoads implements gossip.Local.
func (l local) HandleLoads(p *steering.PeerLoads) { l.h.packets.SetPeerLoads(p) }

// maxReportedLoads limits the targets in one heartbeat. Silent targets come
// first, then those that answer too fast, then the most loaded.
const maxReportedLoads = 64

const percent = 100

// Loads implements gossip.Local.
func (l local) Loads() []wire.TargetLoad {
	var loads []wire.TargetLoad
	for _, t := range l.h.packets.Stats().Targets {
		if t.Open > 0 || t.Busy > 0 || t.Silent > 0 || t.FastShare > 0 {
			loads = append(loads, wire.TargetLoad{
				Token: uint32(t.Token), Open: t.Open, Busy: t.Busy, Silent: t.Silent, FastPercent: int(t.FastShare * percent),
			})
		}
	}
	slices.SortFunc(loads, func(a, b wire.TargetLoad) int {
		return cmp.Or(cmp.Compare(b.Silent, a.Silent), cmp.Compare(b.FastPercent, a.FastPercent), cmp.Compare(b.Busy, a.Busy), cmp.Compare(b.Open, a.Open))
	})
	return loads[:min(len(loads), maxReportedLoads)]
}
