package balancer

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// tableSizes are the flow table sizes of the benchmarks, in flows.
var tableSizes = []int{1_000, 100_000, 500_000}

// benchFlow returns the i-th flow to an endpoint.
func benchFlow(i int, ep packet.Endpoint) packet.Flow {
	ip := netip.AddrFrom4([4]byte{172, byte(i >> 16), byte(i >> 8), byte(i)})
	return packet.Flow{Caller: ip.As16(), CallerPort: 4000, Service: ep}
}

// singleHost returns a network with one host, which owns all targets.
func singleHost(tb testing.TB) (*testNetwork, *testHost) {
	n := newTestNetwork(tb, 1)
	h := n.addHost("h0", "z1")
	n.setDocuments(testServices([]string{"z1"}, 14, 4), zonesIn([]string{"z1"}), 0)
	n.run(20*time.Second, nil)
	return n, h
}

// fillTable opens and establishes count flows at the host. It returns the last
// data packet of each.
func fillTable(n *testNetwork, h *testHost, count int) []packet.Packet {
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

// BenchmarkKnownFlow measures a data packet of a flow in the host's table, and
// the memory per flow.
func BenchmarkKnownFlow(b *testing.B) {
	for _, tableSize := range tableSizes {
		b.Run(fmt.Sprint(tableSize), func(b *testing.B) {
			n, h := singleHost(b)
			before := liveHeap()
			packets := fillTable(n, h, tableSize)
			perFlow := float64(liveHeap()-before)/float64(tableSize) - packetBytes
			var a Action
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				h.HandlePacket(n.now, &packets[i], nil, &a)
				if i++; i == tableSize {
					i = 0
				}
			}
			b.ReportMetric(perFlow, "B/flow")
			runtime.KeepAlive(packets)
		})
	}
}

// packetBytes is the size of a packet.Packet. The benchmark keeps one per flow
// in addition to the table.
const packetBytes = 88

// liveHeap returns the bytes of live heap objects.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkNewFlow measures the opening of a flow that is not in the table.
func BenchmarkNewFlow(b *testing.B) {
	for _, tableSize := range tableSizes {
		b.Run(fmt.Sprint(tableSize), func(b *testing.B) {
			n, h := singleHost(b)
			fillTable(n, h, tableSize)
			ep := endpointOf(&n.services[0])
			var a Action
			p := packet.Packet{Class: packet.Opening}
			b.ReportAllocs()
			i := tableSize
			for b.Loop() {
				p.Flow = benchFlow(i, ep)
				h.HandlePacket(n.now, &p, nil, &a)
				i++
			}
		})
	}
}

// BenchmarkRelay measures data packets at one of nine hosts, which relays those
// of flows whose target has another owner.
func BenchmarkRelay(b *testing.B) {
	for _, tableSize := range tableSizes {
		b.Run(fmt.Sprint(tableSize), func(b *testing.B) {
			n, _ := nineHosts(b, 1, ReplicateExceptions)
			ep := endpointOf(&n.services[0])
			var a Action
			p := packet.Packet{Class: packet.Data, PayloadLen: 10, AckValid: true}
			h := n.hosts[0]
			for i := range tableSize {
				p.Flow = benchFlow(i, ep)
				n.deliverAt(h, &packet.Packet{Class: packet.Opening, Flow: p.Flow})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.Flow = benchFlow(i%tableSize, ep)
				h.HandlePacket(n.now, &p, nil, &a)
				i++
			}
		})
	}
}

// BenchmarkRefusal measures an opening that is refused because all targets are
// at their connection limit.
func BenchmarkRefusal(b *testing.B) {
	n, h := singleHost(b)
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

// fillUntilRefused opens flows until 1000 consecutive ones are refused.
func fillUntilRefused(n *testNetwork, h *testHost) {
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

// TestPacketPathDoesNotAllocate guards against allocations per packet, which
// cost throughput and cause garbage collection.
func TestPacketPathDoesNotAllocate(t *testing.T) {
	n, h := singleHost(t)
	packets := fillTable(n, h, 1000)
	var a Action
	i := 0
	allocs := testing.AllocsPerRun(1000, func() {
		h.HandlePacket(n.now, &packets[i%len(packets)], nil, &a)
		i++
	})
	if allocs != 0 {
		t.Errorf("%v allocations per packet of a known flow, want 0", allocs)
	}
}
