package replay

import (
	"slices"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// sampleInterval is the length of a bin and the time between two samples.
const sampleInterval = time.Second

// minMeanFlows is the mean number of open flows of a target below which the
// balance is not sampled.
const minMeanFlows = 50

// Violation is one event or sample that counts against an outcome.
type Violation struct {
	At   time.Duration
	Kind OutcomeKind
	// Flow is nil if the violation concerns no single flow.
	Flow   *packet.Flow
	Detail string
}

// bin counts a service's flows by the second in which they were opened.
type bin struct {
	service                          *service
	at                               time.Duration
	offered, served, refused, failed int
	// possible is the number of openings that the rates of the active targets
	// allow, reduced for cold targets.
	possible float64
	// refusalDelay is the longest time to a refusal.
	refusalDelay time.Duration
}

// balanceSample is the ratio of the highest to the mean number of open flows of
// a service's warm targets at one time. peakTarget has the highest number.
type balanceSample struct {
	service    *service
	at         time.Duration
	peakTarget string
	ratio      float64
}

// report is a fake target's report of its open flows.
type report struct {
	target *target
	at     time.Duration
	flows  int
}

// metrics collects the measurements of a run.
type metrics struct {
	violations []Violation
	bins       []*bin
	balances   []balanceSample
	reports    []report
}

func (m *metrics) addViolation(at time.Duration, kind OutcomeKind, f *packet.Flow, detail string) {
	m.violations = append(m.violations, Violation{At: at, Kind: kind, Flow: f, Detail: detail})
}

// binAt returns a service's bin for a time and adds it if it is missing.
func (m *metrics) binAt(s *service, at time.Duration) *bin {
	at = at.Truncate(sampleInterval)
	for _, b := range slices.Backward(m.bins) {
		if b.service == s && b.at == at {
			return b
		}
		if b.at < at-sampleInterval {
			break
		}
	}
	if i := slices.IndexFunc(m.bins, func(b *bin) bool { return b.service == s && b.at == at }); i >= 0 {
		return m.bins[i]
	}
	b := &bin{service: s, at: at}
	m.bins = append(m.bins, b)
	return b
}

func (m *metrics) countOffered(sim *simulation, s *service) { m.binAt(s, sim.now).offered++ }

func (m *metrics) countServed(_ *simulation, c *caller) { m.binAt(c.service, c.opened).served++ }

func (m *metrics) countFailed(_ *simulation, c *caller) { m.binAt(c.service, c.opened).failed++ }

func (m *metrics) countRefused(sim *simulation, c *caller) {
	b := m.binAt(c.service, c.opened)
	b.refused++
	b.refusalDelay = max(b.refusalDelay, sim.now-c.opened)
}

func (m *metrics) addOverLimit(sim *simulation, c *caller, t *target, why string) {
	if !t.unannounced || t.warmShare(sim.now) == 1 {
		m.addViolation(sim.now, OverLimit, &c.flow, t.service+" "+t.name+" could not bear it: "+why)
	}
}

// checkArrival records packets that must not reach the target.
func (m *metrics) checkArrival(sim *simulation, c *caller, p *packet.Packet, t *target) {
	z := sim.zones[t.zone]
	if z.out && sim.now > z.outAt+outZoneGrace {
		m.addViolation(sim.now, OutZonePackets, &c.flow, "packet to "+t.name+" in "+t.zone)
	}
	leaving := t.state == document.TargetDraining && sim.now > t.drainingSince+leavingGrace
	if leaving && p.Class == packet.Opening && t.flows[c.flow] != c {
		m.addViolation(sim.now, LeavingOpenings, &c.flow, "opening at "+t.name)
	}
	if t.service != c.service.spec.Name {
		m.addViolation(sim.now, Misdelivered, &c.flow, "packet for "+c.service.spec.Name+" at "+t.service+" "+t.name)
	}
}

// checkPayloadTarget records a flow whose payload a second target accepts.
func (m *metrics) checkPayloadTarget(sim *simulation, c *caller, t *target) {
	if c.payloadTarget != nil && c.payloadTarget != t {
		m.addViolation(sim.now, RanTwice, &c.flow, "payload at "+c.payloadTarget.name+" and "+t.name)
	}
}

// sample records the balance, the possible openings and the targets' reports of
// each service.
func (sim *simulation) sample() {
	sim.after(sampleInterval, sim.sample)
	for _, s := range sim.services {
		sim.sampleService(s)
	}
}

func (sim *simulation) sampleService(s *service) {
	b := sim.metrics.binAt(s, sim.now)
	sum, peak, n := 0, 0, 0
	name := ""
	for _, t := range s.targets {
		sim.metrics.reports = append(sim.metrics.reports, report{t, sim.now, len(t.flows)})
		if t.state != document.TargetActive || sim.zones[t.zone].out {
			continue
		}
		share := t.warmShare(sim.now)
		b.possible += float64(t.limits.OpeningsPerSecond) * share
		if share < 1 {
			continue
		}
		n++
		sum += len(t.flows)
		if len(t.flows) > peak {
			peak, name = len(t.flows), t.name
		}
	}
	if n == 0 || sum < n*minMeanFlows {
		return
	}
	ratio := float64(peak) * float64(n) / float64(sum)
	sim.metrics.balances = append(sim.metrics.balances, balanceSample{s, sim.now, name, ratio})
}

// lastReport returns the open flows in a target's last report up to a time.
func (m *metrics) lastReport(t *target, before time.Duration) int {
	for _, r := range slices.Backward(m.reports) {
		if r.target == t && r.at <= before {
			return r.flows
		}
	}
	return 0
}
