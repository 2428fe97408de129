package balancer

import (
	"flag"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// maxFaults bounds the number of faults in one sequence.
const maxFaults = 12

// faults are the faults of the property tests by name.
var faults = map[string]func(f *faultRun){
	"kill":      (*faultRun).kill,
	"start":     (*faultRun).restartHost,
	"leave":     (*faultRun).leaveHost,
	"pause":     (*faultRun).pauseHost,
	"resume":    (*faultRun).resumeHosts,
	"cut zones": (*faultRun).cutZones,
	"cut hosts": (*faultRun).cutHosts,
	"heal":      (*faultRun).heal,
	"document":  (*faultRun).changeDocument,
	"zone":      (*faultRun).changeZone,
	"address":   (*faultRun).moveAddress,
}

// liveCount returns the number of hosts that are neither down nor paused.
func (f *faultRun) liveCount() int {
	up := 0
	for _, h := range f.hosts {
		if !h.down && !h.paused {
			up++
		}
	}
	return up
}

func (f *faultRun) kill() {
	if f.liveCount() > 2 {
		f.liveHost().down = true
	}
}

func (f *faultRun) restartHost() {
	for _, h := range f.hosts {
		if h.down {
			f.addHost(h.name, h.zone)
			return
		}
	}
}

func (f *faultRun) leaveHost() {
	if f.liveCount() < 3 {
		return
	}
	h := f.liveHost()
	h.Leave(f.now)
	f.after(time.Second, func() { f.finishLeave(h) })
}

// finishLeave stops a leaving host once its handover is complete.
func (f *faultRun) finishLeave(h *testHost) {
	if h.Left(f.now) {
		h.down = true
		return
	}
	f.after(time.Second, func() { f.finishLeave(h) })
}

func (f *faultRun) pauseHost() {
	if f.liveCount() > 2 {
		f.liveHost().paused = true
	}
}

func (f *faultRun) resumeHosts() {
	for _, h := range f.hosts {
		h.paused = false
	}
}

func (f *faultRun) cutZones() {
	a, b := f.rng.IntN(3), f.rng.IntN(2)
	from, to := threeZones[a], threeZones[(a+1+b)%3]
	f.zoneCut[[2]string{from, to}] = true
	if f.rng.IntN(2) == 0 {
		f.zoneCut[[2]string{to, from}] = true
	}
}

func (f *faultRun) cutHosts() {
	a, b := f.liveHost(), f.liveHost()
	f.hostCut[[2]string{a.name, b.name}] = a != b
}

func (f *faultRun) heal() {
	clear(f.zoneCut)
	clear(f.hostCut)
}

// markChanged sets a service document's generation to that of the next digest.
func (f *faultRun) markChanged(s *document.Service) {
	s.Generation = f.digest + 1
}

// changeDocument adds, removes, drains, activates or reweights a target of a
// random service.
func (f *faultRun) changeDocument() {
	services := copyServices(f.services)
	s := &services[f.rng.IntN(len(services))]
	t := &s.Targets[f.rng.IntN(len(s.Targets))]
	switch f.rng.IntN(5) {
	case 0:
		for i := range 8 {
			if !hasTarget(s, sharedTarget(i).Name) {
				s.Targets = append(s.Targets, sharedTarget(i))
				break
			}
		}
	case 1:
		if len(s.Targets) > 2 {
			s.Targets = s.Targets[:len(s.Targets)-1]
		}
	case 2:
		t.State = document.TargetDraining
	case 3:
		t.State = document.TargetActive
	case 4:
		t.Weight = 1 + f.rng.IntN(3)
	}
	f.markChanged(s)
	f.distributeDocuments(services, f.zones, 3*time.Second)
}

// hasTarget reports whether the service has a target of that name.
func hasTarget(s *document.Service, name string) bool {
	for _, t := range s.Targets {
		if t.Name == name {
			return true
		}
	}
	return false
}

// changeZone takes one zone out or puts all zones in service.
func (f *faultRun) changeZone() {
	zones := zonesIn(threeZones)
	if f.rng.IntN(2) == 0 {
		zones = zonesIn(threeZones, threeZones[f.rng.IntN(3)])
	}
	f.distributeDocuments(copyServices(f.services), zones, 3*time.Second)
}

// moveAddress exchanges the addresses of the two services of one protocol.
func (f *faultRun) moveAddress() {
	services := copyServices(f.services)
	first := 2 * f.rng.IntN(2)
	a, b := &services[first], &services[first+1]
	a.Addresses, b.Addresses = b.Addresses, a.Addresses
	f.markChanged(a)
	f.markChanged(b)
	f.distributeDocuments(services, f.zones, 3*time.Second)
}

// faultSequences selects the faults of random sequences and the properties to
// check.
type faultSequences struct {
	names      []string
	properties properties
	// first is a fault that precedes the random ones, empty for none.
	first string
}

// flagMu guards the flags of rapid, which parallel tests set.
var flagMu sync.Mutex

// setFlag sets a flag of rapid unless the command line has changed it.
func setFlag(t *testing.T, name, value string) {
	flagMu.Lock()
	defer flagMu.Unlock()
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
}

// propertySeed is rapid's seed unless -rapid.seed is set, so that every run uses
// the same sequences.
const propertySeed = "61"

// run runs the sequences.
func (s faultSequences) run(t *testing.T) {
	setFlag(t, "rapid.checks", propertyChecks)
	setFlag(t, "rapid.seed", propertySeed)
	setFlag(t, "rapid.shrinktime", "0s")
	setFlag(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(rt *rapid.T) {
		f := newFaultRun(t, rt, rapid.Uint64().Draw(rt, "seed"))
		f.properties = s.properties
		f.runTraffic(2*time.Second, 20)
		if s.first != "" {
			faults[s.first](f)
			f.runTraffic(4*time.Second, 20)
		}
		for range rapid.IntRange(1, maxFaults).Draw(rt, "faults") {
			faults[rapid.SampledFrom(s.names).Draw(rt, "fault")](f)
			f.runTraffic(time.Duration(rapid.IntRange(1, 40).Draw(rt, "steps"))*step, 20)
		}
	})
}

// TestNoPacketReachesAnotherService checks that no packet reaches a target of
// another service or of a zone that is out while hosts fail, stop, pause and are
// partitioned and documents change, in random order.
func TestNoPacketReachesAnotherService(t *testing.T) {
	t.Parallel()
	faultSequences{properties: properties{isolation: true}, names: []string{
		"kill", "start", "leave", "pause", "resume", "cut zones", "cut hosts", "heal", "document", "zone",
	}}.run(t)
}

// TestNotRunVerdictIsCorrect checks that no flow gets the verdict NotRun after its
// payload was forwarded, under all faults except moved addresses.
func TestNotRunVerdictIsCorrect(t *testing.T) {
	t.Parallel()
	checkRefusalVerdicts(t)
}

// checkRefusalVerdicts checks the verdicts under all faults except moved
// addresses.
func checkRefusalVerdicts(t *testing.T) {
	faultSequences{properties: properties{verdicts: true}, names: []string{
		"kill", "start", "leave", "pause", "resume", "cut zones", "cut hosts", "heal", "document", "zone",
	}}.run(t)
}

// TestNotRunVerdictAfterForwardByAnotherHost guards against a wrong NotRun verdict
// of a host that placed a flow but did not forward its payload: another host
// forwarded it, and the first one gives the flow up when the target's zone is
// taken out. Seed 1105 produces this sequence.
func TestNotRunVerdictAfterForwardByAnotherHost(t *testing.T) {
	checks := "1"
	if testing.Short() {
		// rapid runs a fifth of the sequences with -short.
		checks = "5"
	}
	for name, value := range map[string]string{"rapid.seed": "1105", "rapid.checks": checks} {
		f := flag.Lookup(name)
		before := f.Value.String()
		if err := f.Value.Set(value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = f.Value.Set(before) })
	}
	checkRefusalVerdicts(t)
}

// TestMovedAddressReachesNoFormerTarget checks that packets of open flows reach no
// target of the former service after addresses were exchanged between services.
func TestMovedAddressReachesNoFormerTarget(t *testing.T) {
	t.Parallel()
	faultSequences{properties: properties{isolation: true}, first: "address", names: []string{
		"kill", "start", "leave", "pause", "resume", "document", "zone", "address",
	}}.run(t)
}

// TestRequestReachesOneTargetInPlannedChanges checks that a request in the first
// packet reaches at most one target if copies of it arrive within copyWindow while
// hosts stop and documents change.
func TestRequestReachesOneTargetInPlannedChanges(t *testing.T) {
	t.Parallel()
	faultSequences{properties: properties{atMostOnce: true}, names: []string{"start", "leave", "document", "zone"}}.run(t)
}

// TestRequestReachesOneTargetWhenHostsFail checks the same while hosts fail and
// pause.
func TestRequestReachesOneTargetWhenHostsFail(t *testing.T) {
	t.Parallel()
	faultSequences{properties: properties{atMostOnce: true}, names: []string{
		"kill", "start", "pause", "resume", "document", "zone",
	}}.run(t)
}

// TestRequestReachesOneTargetInPartitions checks the same while zones and hosts are
// partitioned.
func TestRequestReachesOneTargetInPartitions(t *testing.T) {
	t.Parallel()
	faultSequences{properties: properties{atMostOnce: true}, names: []string{"cut zones", "cut hosts", "heal"}}.run(t)
}

// TestFingerprintCollisionAcrossServices checks that a packet is not forwarded to
// another service whose replicated flow has the same fingerprint; fingerprints are
// shorter than flow hashes.
func TestFingerprintCollisionAcrossServices(t *testing.T) {
	n, c := nineHosts(t, 62, ReplicateExceptions)
	n.run(20*time.Second, nil)
	book, archive := &n.services[0], &n.services[1]
	f := c.newFlow(endpointOf(book))
	other := TargetID(archive.Name, archive.Targets[0].Name)
	replicated := peer.Flows{Targets: []peer.TargetFlows{
		{Target: other, Add: appendFingerprint(nil, f.flow.Hash())},
	}}
	for _, h := range n.hosts {
		h.HandleFlows(n.now, replicated)
	}
	p := c.dataPacket(f)
	r := n.deliver(&p)
	if r.kind == Forward && r.target.service != book.Name {
		t.Errorf("packet of %s forwarded to a target of %s", book.Name, r.target.service)
	}
}
