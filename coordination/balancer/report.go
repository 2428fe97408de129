package balancer

import (
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/admission"
)

// HandleReport takes what a target says about itself. Reports about targets
// that this host does not own are ignored: their owner asks them itself.
func (b *Balancer) HandleReport(now time.Duration, target uint64, r admission.Report) {
	v := b.view.Load()
	if v == nil {
		return
	}
	tv := v.byID(target)
	if tv == nil || !tv.mine {
		return
	}
	if adm := tv.state.admission.Load(); adm != nil {
		adm.ApplyReport(now, r)
	}
}
