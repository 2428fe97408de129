package balancer

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

const (
	// modelLimit is the connection limit of each target.
	modelLimit = 3
	// modelAttempts is the number of targets tried for an opening with exact
	// limits.
	modelAttempts = orderLen
	// modelDiscoveryTime is the mean time until a new owner sees a packet of a
	// flow that it took over, in mean flow durations.
	modelDiscoveryTime = 0.1
	// modelFailurePeriod is the measured time after a host failure, in mean flow
	// durations.
	modelFailurePeriod = 1.0
)

// modelFlow is an open flow in the model.
type modelFlow struct {
	ends   float64
	target int
	// shareHost is the host whose share the flow uses, if limits are divided.
	shareHost int
	// knownAt is the time from which the target's owner counts the flow.
	knownAt float64
	index   int
}

// modelQueue is a heap of open flows by end time.
type modelQueue []*modelFlow

func (q modelQueue) Len() int           { return len(q) }
func (q modelQueue) Less(i, j int) bool { return q[i].ends < q[j].ends }
func (q modelQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)        { *q = append(*q, x.(*modelFlow)) }
func (q *modelQueue) Pop() any {
	old := *q
	f := old[len(old)-1]
	*q = old[:len(old)-1]
	return f
}

// limitsModel simulates one zone whose targets have a limit of modelLimit flows
// each, with Poisson arrivals and exponential flow durations of mean 1.
type limitsModel struct {
	rng     *rand.Rand
	hosts   int
	targets int
	divided bool
	now     float64
	queue   modelQueue
	// flows lists the open flows by target.
	flows [][]*modelFlow
	// share[host][target] is the number of flows that a host may place at a
	// target if limits are divided.
	share                        [][]int
	owner                        []int
	failedHost                   int
	refused, overLimit, openings int
}

func newLimitsModel(seed uint64, hosts, targets int, divided bool) *limitsModel {
	m := &limitsModel{
		rng: rand.New(rand.NewPCG(seed, 3)), hosts: hosts, targets: targets, divided: divided,
		flows: make([][]*modelFlow, targets), owner: make([]int, targets), failedHost: -1,
	}
	m.share = make([][]int, hosts)
	for h := range m.share {
		m.share[h] = make([]int, targets)
	}
	for t := range targets {
		order := m.rng.Perm(hosts)
		m.owner[t] = order[0]
		for unit := range modelLimit {
			m.share[order[unit%hosts]][t]++
		}
	}
	return m
}

// run opens flows for the given time at a rate of load times the capacity.
func (m *limitsModel) run(load, length float64) {
	rate := load * float64(modelLimit*m.targets)
	for end := m.now + length; m.now < end; {
		m.now += m.rng.ExpFloat64() / rate
		for len(m.queue) > 0 && m.queue[0].ends <= m.now {
			m.remove(heap.Pop(&m.queue).(*modelFlow))
		}
		m.open()
	}
}

func (m *limitsModel) remove(f *modelFlow) {
	list := m.flows[f.target]
	last := list[len(list)-1]
	list[f.index], last.index = last, f.index
	m.flows[f.target] = list[:len(list)-1]
}

// open places a flow or refuses it.
func (m *limitsModel) open() {
	m.openings++
	target, host := m.choose()
	if target < 0 {
		m.refused++
		return
	}
	if len(m.flows[target]) >= modelLimit {
		m.overLimit++
	}
	f := &modelFlow{
		ends: m.now + m.rng.ExpFloat64(), target: target, shareHost: host, knownAt: m.now, index: len(m.flows[target]),
	}
	m.flows[target] = append(m.flows[target], f)
	heap.Push(&m.queue, f)
}

// choose returns a target that is below its limit by the known flows, and the
// host whose share the flow uses. The target is -1 if there is none.
func (m *limitsModel) choose() (target, host int) {
	if !m.divided {
		for range modelAttempts {
			if t := m.rng.IntN(m.targets); m.knownFlows(t) < modelLimit {
				return t, 0
			}
		}
		return -1, 0
	}
	host = m.rng.IntN(m.hosts)
	for host == m.failedHost {
		host = m.rng.IntN(m.hosts)
	}
	// The host tries all targets of which it has a share.
	from := m.rng.IntN(m.targets)
	for i := range m.targets {
		t := (from + i) % m.targets
		if m.share[host][t] > 0 && m.usedShare(host, t) < m.share[host][t] {
			return t, host
		}
	}
	return -1, 0
}

// knownFlows returns the number of flows that the target's owner counts.
func (m *limitsModel) knownFlows(t int) int {
	n := 0
	for _, f := range m.flows[t] {
		if f.knownAt <= m.now {
			n++
		}
	}
	return n
}

// usedShare returns the number of flows in a host's share of a target.
func (m *limitsModel) usedShare(host, t int) int {
	n := 0
	for _, f := range m.flows[t] {
		if f.shareHost == host {
			n++
		}
	}
	return n
}

// kill makes a host fail. The next owners of its targets discover the flows by
// their packets. Its shares of divided limits stay unused, since limits are
// divided among all listed hosts.
func (m *limitsModel) kill(host int) {
	m.failedHost = host
	for t, owner := range m.owner {
		if owner != host {
			continue
		}
		for _, f := range m.flows[t] {
			f.knownAt = m.now + m.rng.ExpFloat64()*modelDiscoveryTime
		}
	}
}

// modelRow holds the results of one setting as fractions of the openings: those
// refused before and after a host failure, and those over the limit after it.
type modelRow struct{ refused, refusedAfter, overLimitAfter float64 }

// measureLimits averages over several host failures.
func measureLimits(hosts, targets int, divided bool, load float64) modelRow {
	const rounds = 40
	var row modelRow
	var before, after, refused, refusedAfter, over int
	for seed := range uint64(rounds) {
		m := newLimitsModel(seed+1, hosts, targets, divided)
		m.run(load, 5)
		m.openings, m.refused = 0, 0
		m.run(load, 5)
		before, refused = before+m.openings, refused+m.refused
		m.openings, m.refused, m.overLimit = 0, 0, 0
		m.kill(int(seed) % hosts)
		m.run(load, modelFailurePeriod)
		after, refusedAfter, over = after+m.openings, refusedAfter+m.refused, over+m.overLimit
	}
	row.refused = float64(refused) / float64(before)
	row.refusedAfter = float64(refusedAfter) / float64(after)
	row.overLimitAfter = float64(over) / float64(after)
	return row
}

// TestLimitsExactOrDivided checks for targets with a limit of 3 that limits which
// the target's owner enforces exactly refuse no more openings after a host
// failure than limits that are divided among the hosts of a zone.
func TestLimitsExactOrDivided(t *testing.T) {
	sizes := []struct{ hosts, targets int }{{2, 14}, {3, 14}, {9, 90}, {25, 250}, {75, 750}}
	for _, size := range sizes {
		if !*compareFull && size.hosts > 3 {
			continue
		}
		for _, load := range []float64{0.6, 0.8, 0.95} {
			exact := measureLimits(size.hosts, size.targets, false, load)
			divided := measureLimits(size.hosts, size.targets, true, load)
			t.Logf("| %d | %d | %.0f %% | %.2f / %.2f %% | %.2f / %.2f %% | %.2f / %.2f %% |",
				size.hosts, size.targets, load*100, exact.refused*100, divided.refused*100,
				exact.refusedAfter*100, divided.refusedAfter*100, exact.overLimitAfter*100, divided.overLimitAfter*100)
			if exact.refusedAfter > divided.refusedAfter {
				t.Errorf("%d hosts, load %.2f: exact limits refuse more than divided ones after a host failure", size.hosts, load)
			}
		}
	}
}
