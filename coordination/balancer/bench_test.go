package balancer

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// heldFlows are the table sizes of the benchmarks.
var heldFlows = []int{1_000, 100_000, 500_000}

// benchFlow returns the i-th flow to an endpoint.
func benchFlow(i int, ep packet.Endpoint) packet.Flow {
	ip := netip.AddrFrom4([4]byte{172, byte(i >> 16), byte(i >> 8), byte(i)})
	return packet.Flow{Caller: ip.As16(), CallerPort: 4000, Service: ep}
}

// loneHost returns a link with one host that owns all targets.
func loneHost(tb testing.TB) (*link, *testHost) {
	n := newLink(tb, 1)
	h := n.addHost("h0", "z1")
	n.setDocuments(testServices([]string{"z1"}, 14, 4), zonesIn([]string{"z1"}), 0)
	n.run(20*time.Second, nil)
	return n, h
}

// fill opens and establishes count flows at the host.
func fill(n *link, h *testHost, count int) []packet.Packet {
	ep := endpointOf(&n.services[0])
	packets := make([]packet.Packet, count)
	var a Action
	for i := range packets {
		p := &packets[i]
		*p = packet.Packet{Flow: benchFlow(i, ep), Class: packet.Opening}
		h.HandlePacket(n.now, p, nil, &a)
		*p = packet.Packet{Flow: p.Flow, Class: packet.Data, Seq: 1, Ack: 1, AckValid: true, PayloadLen: 10}
		h.HandlePacket(n.now, p, nil, &a)
		if a.Kind != Forward {
			n.t.Fatalf("flow %d: %+v", i, a)
		}
	}
	return packets
}

func BenchmarkKnownFlow(b *testing.B) {
	for _, held := range heldFlows {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			n, h := loneHost(b)
			before := liveHeap()
			packets := fill(n, h, held)
			perFlow := float64(liveHeap()-before)/float64(held) - packetBytes
			var a Action
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				h.HandlePacket(n.now, &packets[i], nil, &a)
				if i++; i == held {
					i = 0
				}
			}
			b.ReportMetric(perFlow, "B/flow")
			runtime.KeepAlive(packets)
		})
	}
}

// packetBytes is the size of a packet.Packet, which the benchmark keeps for
// each flow beside the table.
const packetBytes = 88

// liveHeap returns the bytes of live objects.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkNewFlow(b *testing.B) {
	for _, held := range heldFlows {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			n, h := loneHost(b)
			fill(n, h, held)
			ep := endpointOf(&n.services[0])
			var a Action
			p := packet.Packet{Class: packet.Opening}
			b.ReportAllocs()
			i := held
			for b.Loop() {
				p.Flow = benchFlow(i, ep)
				h.HandlePacket(n.now, &p, nil, &a)
				i++
			}
		})
	}
}

func BenchmarkRelay(b *testing.B) {
	for _, held := range heldFlows {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			n, _ := nineHosts(b, 1, ReplicateExceptions)
			ep := endpointOf(&n.services[0])
			var a Action
			p := packet.Packet{Class: packet.Data, PayloadLen: 10, AckValid: true}
			h := n.hosts[0]
			for i := range held {
				p.Flow = benchFlow(i, ep)
				n.deliverAt(h, &packet.Packet{Class: packet.Opening, Flow: p.Flow})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.Flow = benchFlow(i%held, ep)
				h.HandlePacket(n.now, &p, nil, &a)
				i++
			}
		})
	}
}

func BenchmarkRefusal(b *testing.B) {
	n, h := loneHost(b)
	services := copyServices(n.services)
	for i := range services[0].Targets {
		services[0].Targets[i].Limits.Connections = 1
	}
	n.setDocuments(services, n.zones, 0)
	n.run(time.Second, nil)
	fillUntilRefused(n, h)
	var a Action
	ep := endpointOf(&n.services[0])
	p := packet.Packet{Class: packet.Opening}
	b.ReportAllocs()
	i := 1 << 20
	for b.Loop() {
		p.Flow = benchFlow(i, ep)
		h.HandlePacket(n.now, &p, nil, &a)
		i++
	}
	if a.Kind != Refuse {
		b.Fatalf("not refused: %+v", a)
	}
}

// fillUntilRefused opens flows until many in a row are refused.
func fillUntilRefused(n *link, h *testHost) {
	const inRow = 1000
	var a Action
	for i, refused := 0, 0; refused < inRow; i++ {
		p := packet.Packet{Flow: benchFlow(i, endpointOf(&n.services[0])), Class: packet.Opening}
		h.HandlePacket(n.now, &p, nil, &a)
		refused++
		if a.Kind != Refuse {
			refused = 0
		}
	}
}

func TestPacketPathDoesNotAllocate(t *testing.T) {
	n, h := loneHost(t)
	packets := fill(n, h, 1000)
	var a Action
	i := 0
	allocs := testing.AllocsPerRun(1000, func() {
		h.HandlePacket(n.now, &packets[i%len(packets)], nil, &a)
		i++
	})
	if allocs != 0 {
		t.Errorf("%v allocations for each packet of a known flow", allocs)
	}
}
