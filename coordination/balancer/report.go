package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/admission"
)

// HandleReport passes a target's report to its admission. Reports of targets
// that this host does not own are ignored: their owner queries the target
// itself.
func (b *Balancer) HandleReport(now time.Duration, target uint64, r admission.Report) {
	v := b.view.Load()
	if v == nil {
		return
	}
	tv := v.byID(target)
	if tv == nil || !tv.owned {
		return
	}
	if adm := tv.state.admission.Load(); adm != nil {
		adm.ApplyReport(now, r)
	}
}
