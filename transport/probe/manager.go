package probe

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Manager checks a changing set of targets periodically. Each target has its own
// goroutine, so that a check that hangs delays no other target; a host owns few
// targets.
type Manager struct {
	checker *Checker
	clock   func() time.Duration
	sink    func(Result)

	mu      sync.Mutex
	running map[Target]context.CancelFunc
	wg      sync.WaitGroup
}

// NewManager returns a Manager without targets. clock returns the time of the
// reports. sink receives each result and is called concurrently.
func NewManager(cfg Config, clock func() time.Duration, sink func(Result)) *Manager {
	return &Manager{
		checker: NewChecker(cfg),
		clock:   clock,
		sink:    sink,
		running: make(map[Target]context.CancelFunc),
	}
}

// Set replaces the set of targets. Targets without a URL are ignored.
func (m *Manager) Set(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[Target]bool, len(targets))
	for _, t := range targets {
		if t.HealthURL != "" || t.LoadURL != "" {
			wanted[t] = true
		}
	}
	for t, cancel := range m.running {
		if !wanted[t] {
			cancel()
			delete(m.running, t)
		}
	}
	for t := range wanted {
		m.start(t)
	}
}

// Close cancels all checks and waits until they have ended.
func (m *Manager) Close() {
	m.Set(nil)
	m.wg.Wait()
}

func (m *Manager) start(t Target) {
	if _, ok := m.running[t]; ok {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.running[t] = cancel
	m.wg.Go(func() { m.run(ctx, t) })
}

func (m *Manager) run(ctx context.Context, t Target) {
	rng := rand.New(rand.NewPCG(m.checker.cfg.Seed, t.ID))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(jittered(m.checker.cfg.Interval, rng.Float64())):
		}
		r := m.checker.Check(ctx, m.clock(), t)
		if ctx.Err() == nil {
			m.sink(r)
		}
	}
}

// jittered returns the interval with jitter. uniform is a random number in
// [0, 1).
func jittered(interval time.Duration, uniform float64) time.Duration {
	return time.Duration(float64(interval) * (1 + intervalJitter*(2*uniform-1)))
}
