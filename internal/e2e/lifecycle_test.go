package e2e

import (
	"fmt"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// serviceDoc returns the document of a non-idempotent TCP service.
func serviceDoc(name string, generation uint64, addr netip.AddrPort, targets ...document.Target) document.Document {
	return document.Document{Service: &document.Service{
		Name: name, Team: "team", Generation: generation, Change: fmt.Sprintf("%s-%d", name, generation),
		Addresses:  []document.Address{{AddrPort: addr, Protocol: packet.ProtoTCP}},
		Targets:    targets,
		Objectives: document.Objectives{Window: time.Hour, FlowsNotBroken: 0.999, NewFlowsServed: 0.99},
	}}
}

// datagramDoc returns the document of an idempotent UDP service. A non-idempotent
// service places no datagrams for a minute after a start, since a host that was
// running before may already have forwarded a copy.
func datagramDoc(name string, addr netip.AddrPort, targets ...document.Target) document.Document {
	doc := serviceDoc(name, 1, addr, targets...)
	doc.Service.Addresses[0].Protocol = packet.ProtoUDP
	doc.Service.Idempotent = true
	return doc
}

func targetDoc(name, zone string, tunnel netip.AddrPort) document.Target {
	return document.Target{
		Name: name, Zone: zone, Tunnel: tunnel, Weight: 1, State: document.TargetActive,
		Limits: document.Limits{Connections: 2000, OpeningsInFlight: 100, OpeningsPerSecond: 1000},
		Ramp:   time.Second,
	}
}

func zonesDoc(generation uint64, states map[string]document.ZoneState) document.Document {
	zones := document.Zones{Generation: generation, Change: fmt.Sprintf("zones-%d", generation)}
	for name, state := range states {
		zones.Zones = append(zones.Zones, document.Zone{Name: name, State: state})
	}
	return document.Document{Zones: &zones}
}

func bothZonesIn() map[string]document.ZoneState {
	return map[string]document.ZoneState{"north": document.ZoneIn, "south": document.ZoneIn}
}

// TestLifecycle guards against failures over the life of a balancer: it must not
// be ready without documents, must get them from its peers when the platform is
// unavailable, and must leave on SIGTERM and exit at once on a second one.
func TestLifecycle(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, "north", "north", "south")
	late := c.processes[1]
	for _, p := range []*process{c.processes[0], c.processes[2]} {
		c.start(t, p)
	}
	first := c.processes[0]
	eventually(t, "admin answers", func() bool { status, _ := first.get("/healthz"); return status == 200 })
	status, reason := first.get("/readyz")
	is.Equal(status, 503) // not ready without documents
	is.True(strings.Contains(reason, "documents"))

	c.platform.put(t, zonesDoc(1, bothZonesIn()))
	c.platform.put(t, serviceDoc("orders", 1, netip.MustParseAddrPort("192.0.2.1:443"),
		targetDoc("orders-1", "north", netip.AddrPortFrom(c.addrs.allocate(), dataPort))))
	waitReady(t, first)
	waitReady(t, c.processes[2])

	c.platform.stop(t)
	c.start(t, late)
	waitReady(t, late) // receives the documents from its peers
	_, list := late.get("/v1/documents")
	is.True(strings.Contains(list, `"key":"services/orders","generation":1`))
	eventually(t, "the store's outage is logged", func() bool {
		return strings.Contains(first.log.String()+late.log.String(), "event=store_unreachable")
	})

	first.signal(t, syscall.SIGHUP)
	eventually(t, "settings are reloaded", func() bool { return strings.Contains(first.log.String(), "event=reload_done") })
	first.signal(t, syscall.SIGTERM)
	is.Equal(first.waitExit(t), 0)
	is.True(strings.Contains(first.log.String(), "event=leave_done"))

	late.signal(t, syscall.SIGTERM)
	eventually(t, "leaving starts", func() bool { return strings.Contains(late.log.String(), "event=leave_started") })
	late.signal(t, syscall.SIGTERM)
	is.Equal(late.waitExit(t), 3) // the second signal makes it exit at once
	c.platform.start(t)
}
