package balancer

import (
	"math"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// retainedFlows lists the flows that this host still counts at targets that
// other hosts have taken over from it, by new owner.
func (b *Balancer) retainedFlows() map[uint32][]peer.RetainedFlows {
	v := b.view.Load()
	if v == nil {
		return nil
	}
	retained := make(map[uint32][]peer.RetainedFlows)
	for _, t := range v.targets {
		adm := t.state.admission.Load()
		if t.owned || adm == nil || t.owner() == 0 || t.state.handedTo.Load() != t.owner() {
			continue
		}
		if n := adm.Flows(); n > 0 {
			retained[t.owner()] = append(retained[t.owner()], peer.RetainedFlows{Target: t.id, Flows: n})
		}
	}
	return retained
}

// recordRetained records the flows that a former owner still counts at targets
// of this host.
func (b *Balancer) recordRetained(now time.Duration, list []peer.RetainedFlows) {
	for _, r := range list {
		st, ok := b.targetsByID[r.Target]
		if !ok || st.owner != b.id {
			continue
		}
		st.admission.Load().SetRetained(now, r.Flows)
	}
}

// inheritedFlows estimates the flows at a target that this host takes over: the
// former owner's mean flows per unit of weight over its warm targets, times the
// target's weight. It is 0 for cold and draining targets. A former owner that is
// alive reports the actual number.
func (b *Balancer) inheritedFlows(now time.Duration, t *targetView) int {
	if !t.accepting || t.state.withheldPercent > 0 {
		return 0
	}
	return int(math.Ceil(b.peerLoads.flowsPerWeight(now, t.state.owner, HostID(t.service.name)) * float64(t.weight)))
}
