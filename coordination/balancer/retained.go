package balancer

import (
	"math"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// retainedFlows lists the flows that this host still counts at targets that
// another has taken over, by the new owner.
func (b *Balancer) retainedFlows() map[uint32][]peer.RetainedFlows {
	v := b.view.Load()
	if v == nil {
		return nil
	}
	retained := make(map[uint32][]peer.RetainedFlows)
	for _, t := range v.targets {
		adm := t.state.admission.Load()
		if t.mine || adm == nil || t.owner() == 0 || t.state.frozenFor.Load() != t.owner() {
			continue
		}
		if n := adm.Flows(); n > 0 {
			retained[t.owner()] = append(retained[t.owner()], peer.RetainedFlows{Target: t.id, Flows: n})
		}
	}
	return retained
}

// hearRetained records what a former owner still counts at targets owned here.
func (b *Balancer) hearRetained(now time.Duration, list []peer.RetainedFlows) {
	for _, r := range list {
		st, ok := b.targetsByID[r.Target]
		if !ok || st.owner != b.id {
			continue
		}
		st.admission.Load().SetRetained(now, r.Flows)
	}
}

// inheritedFlows estimates the flows at a target that this host takes over: the
// former owner's mean over its warm targets. Nothing is known of others. A
// former owner that lives tells the number itself.
func (b *Balancer) inheritedFlows(now time.Duration, t *targetView) int {
	if !t.accepting || t.state.cold > 0 {
		return 0
	}
	return int(math.Ceil(b.heardLoads.per(now, t.state.owner, HostID(t.service.name)) * float64(t.weight)))
}
