package replay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// Policy is the way in which new flows are placed.
type Policy string

const (
	// PolicyCore uses the decision core unchanged.
	PolicyCore Policy = "core"
	// PolicyNoRamp uses the core with documents without ramps.
	PolicyNoRamp Policy = "no-ramp"
	// PolicyHashing places each flow by its hash over the active targets. The
	// hosts share one flow table at no cost.
	PolicyHashing Policy = "hashing"
	// PolicyLeastReported places each flow at the target that last reported
	// the fewest open flows. The hosts share one flow table at no cost.
	PolicyLeastReported Policy = "least-reported"
)

// Options changes how a trace is run.
type Options struct {
	// Policy defaults to PolicyCore.
	Policy Policy
	// Seed overrides the trace's seed unless it is 0.
	Seed uint64
}

// simulation is the state of one simulated run.
type simulation struct {
	trace    *Trace
	seed     uint64
	policy   Policy
	now      time.Duration
	rng      *rand.Rand
	queue    queue
	hosts    []*host
	zones    map[string]*zone
	cutUntil map[zonePair]time.Duration // end of the last cut, by direction
	services []*service
	targets  map[uint64]*target
	platform platform
	callers  callers
	metrics  metrics
}

// zone is an availability zone and when it was last taken out.
type zone struct {
	name  string
	out   bool
	outAt time.Duration
}

// zonePair is a direction between two zones.
type zonePair struct{ from, to string }

// service holds the state of a service in the run. Its targets are in the order
// of its document.
type service struct {
	spec       ServiceSpec
	endpoint   packet.Endpoint
	addr       netip.AddrPort
	generation uint64
	targets    []*target
	perSecond  float64
	nextTarget int
}

// Run runs a trace and measures its outcomes.
func Run(t *Trace, o Options) *Result {
	sim := newSimulation(t, o)
	sim.schedule()
	for sim.queue.Len() > 0 {
		next := sim.queue.next()
		if next.at > t.Length {
			break
		}
		sim.now = next.at
		next.do()
	}
	sim.now = t.Length
	return sim.result()
}

func newSimulation(t *Trace, o Options) *simulation {
	seed := t.Seed
	if o.Seed != 0 {
		seed = o.Seed
	}
	sim := &simulation{
		trace:    t,
		seed:     seed,
		policy:   o.Policy,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		zones:    make(map[string]*zone),
		cutUntil: make(map[zonePair]time.Duration),
		targets:  make(map[uint64]*target),
	}
	if sim.policy == "" {
		sim.policy = PolicyCore
	}
	sim.callers.byFlow = make(map[packet.Flow]*caller)
	for _, z := range t.Zones {
		sim.zones[z.Name] = &zone{name: z.Name}
	}
	for i := range t.Services {
		sim.addService(&t.Services[i])
	}
	for _, z := range t.Zones {
		for i := range z.Hosts {
			sim.startHost(fmt.Sprintf("%s-%d", z.Name, i+1), z.Name)
		}
	}
	sim.publishAll()
	return sim
}

func (sim *simulation) addService(spec *ServiceSpec) {
	addr := netip.MustParseAddrPort(spec.Address)
	s := &service{
		spec:      *spec,
		addr:      addr,
		endpoint:  packet.NewEndpoint(addr, packet.ProtoTCP),
		perSecond: spec.Flows.PerSecond,
	}
	sim.services = append(sim.services, s)
	for i := range spec.Targets {
		sim.addTarget(s, sim.trace.Zones[i%len(sim.trace.Zones)].Name)
	}
}

// addTarget adds a warm target to a service.
func (sim *simulation) addTarget(s *service, zoneName string) *target {
	s.nextTarget++
	name := fmt.Sprintf("t%02d", s.nextTarget)
	t := &target{
		id:      balancer.TargetID(s.spec.Name, name),
		name:    name,
		service: s.spec.Name,
		zone:    zoneName,
		limits:  s.spec.limits(),
		ramp:    s.spec.Ramp,
		state:   document.TargetActive,
		weight:  1,
		flows:   make(map[packet.Flow]*caller),
	}
	s.targets = append(s.targets, t)
	sim.targets[t.id] = t
	return t
}

func (sim *simulation) findService(name string) *service {
	for _, s := range sim.services {
		if s.spec.Name == name {
			return s
		}
	}
	return nil
}

func (sim *simulation) after(d time.Duration, do func()) { sim.queue.add(sim.now+d, do) }

// schedule queues the events, the callers and the samples.
func (sim *simulation) schedule() {
	for i := range sim.trace.Events {
		e := &sim.trace.Events[i]
		sim.queue.add(e.At, func() { sim.applyEvent(e) })
	}
	for _, s := range sim.services {
		sim.queue.add(Warmup, func() { sim.scheduleArrivals(s) })
		sim.scheduleStanding(s)
	}
	sim.queue.add(Warmup, sim.sample)
}

// reaches reports whether packets sent in one zone arrive in another.
func (sim *simulation) reaches(from, to string) bool {
	return sim.now >= sim.cutUntil[zonePair{from, to}]
}

// tunnelOf returns the tunnel address of a target, derived from its ID.
func tunnelOf(t *target) netip.AddrPort {
	const port = 6080
	b := [4]byte{10, byte(t.id >> 8), byte(t.id >> 16), byte(t.id >> 24)}
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}
