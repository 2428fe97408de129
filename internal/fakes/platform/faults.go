package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// Faults configures fault injection. The zero value injects no faults.
type Faults struct {
	// Outage makes all calls fail without effect.
	Outage bool
	// Delay is the time by which the effect of each call is delayed.
	Delay time.Duration
	// LoseAnswers is the number of writes, from the next one on, that take effect
	// but are not answered. Those that only create or delete a guard don't count;
	// LoseGuardAnswers is the number of these.
	LoseAnswers      int
	LoseGuardAnswers int
	// BeforeWrite runs once, immediately before the next conditional write takes
	// effect, so that a test can make a concurrent write first. Writes that only
	// create or delete a guard don't count.
	BeforeWrite func()
}

// SetFaults replaces the injected faults. An outage also ends blocked watches.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wakeWatches()
}

// FreezeReads makes all reads return the current state until UnfreezeReads is
// called, as a lagging replica does; writes still take effect.
func (p *Platform) FreezeReads() {
	p.mu.Lock()
	defer p.mu.Unlock()
	frozen := p.view.clone()
	p.staleView = &frozen
}

// UnfreezeReads ends the effect of FreezeReads.
func (p *Platform) UnfreezeReads() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleView = nil
	p.wakeWatches()
}

// ResetIndex renumbers all values from index 1 and discards the record of
// deletions, as when a store is restored from a backup. Watches see an index
// that went backwards; the values are kept.
func (p *Platform) ResetIndex() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.index = 1
	p.view.epoch++
	p.undo = nil
	clear(p.view.deleted)
	keys := slices.SortedFunc(maps.Keys(p.view.entries), func(a, b store.Key) int {
		return strings.Compare(string(a), string(b))
	})
	for _, key := range keys {
		p.view.index++
		entry := p.view.entries[key]
		entry.Revision = store.Revision(p.view.index)
		p.view.entries[key] = entry
	}
	p.wakeWatches()
}

// ExpireLeases ends all leases, as if their holders had not renewed them.
func (p *Platform) ExpireLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.leases {
		p.endLease(id)
	}
}

// AdvanceClock advances the clock of the leases by d.
func (p *Platform) AdvanceClock(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clockOffset += d
	p.endExpiredLeases()
}

// Calls returns the number of calls by operation; a watch counts once however
// long it blocks.
func (p *Platform) Calls() map[store.Op]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// outcome is how a call ended.
type outcome uint8

const (
	answered outcome = iota
	// refused calls have no effect.
	refused
	// canceled calls were canceled by the client before they took effect.
	canceled
	// unanswered calls took effect, but the client gets no answer.
	unanswered
)

// call counts the operation, injects the faults and runs effect while p.mu is
// held.
func (p *Platform) call(ctx context.Context, op store.Op, key store.Key, effect func()) outcome {
	ofGuard := key.HasPrefix(store.GuardsPrefix)
	p.mu.Lock()
	p.calls[op]++
	faults := p.faults
	if faults.BeforeWrite != nil && !ofGuard && (op == store.OpPut || op == store.OpDelete) {
		p.faults.BeforeWrite = nil
	} else {
		faults.BeforeWrite = nil
	}
	p.mu.Unlock()
	if faults.Outage {
		return refused
	}
	if !sleep(ctx, faults.Delay) {
		return canceled
	}
	if faults.BeforeWrite != nil {
		faults.BeforeWrite()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endExpiredLeases()
	effect()
	remaining := &p.faults.LoseAnswers
	if ofGuard {
		remaining = &p.faults.LoseGuardAnswers
	}
	if op.Writes() && *remaining > 0 {
		*remaining--
		return unanswered
	}
	return answered
}

// sleep waits for d; it returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watch blocks until the index under the prefix is greater than that of after or
// wait has passed; it does not block if the index is 0, nor if after names another
// epoch. It counts as one call.
func (p *Platform) watch(ctx context.Context, prefix store.Key, after store.Position, wait time.Duration) (view, outcome) {
	var seen view
	var changed chan struct{}
	readView := func() {
		seen = p.readableView().clone()
		changed = p.changed
	}
	if o := p.call(ctx, store.OpWatch, prefix, readView); o != answered {
		return view{}, o
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for after.Index != 0 && (after.Epoch == 0 || after.Epoch == seen.epoch) && seen.indexOf(prefix) <= after.Index {
		select {
		case <-changed:
		case <-timer.C:
			return seen, answered
		case <-ctx.Done():
			return view{}, canceled
		}
		p.mu.Lock()
		down := p.faults.Outage
		readView()
		p.mu.Unlock()
		if down {
			return view{}, refused
		}
	}
	return seen, answered
}
