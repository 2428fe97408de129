package main

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// flowSizes are the measured numbers of open flows.
var flowSizes = []int{1_000, 10_000, 100_000, 500_000}

// settleTicks is the number of ticks after which a core places openings without
// querying other hosts first.
const settleTicks = 200

// packetsPerRound is the number of packets in one timed round.
const packetsPerRound = 200_000

// newSingleHost returns a core that owns all targets of 20 services.
func newSingleHost() *fleet {
	f := newFleet(1, true)
	f.start(servicesOf(20, 240, 1))
	return f
}

// callerFlow returns the i-th caller's flow to one of the services.
func callerFlow(i, services int) packet.Flow {
	var addr [16]byte
	addr[10], addr[11], addr[12] = 0xff, 0xff, 100
	addr[13], addr[14], addr[15] = byte(i>>16), byte(i>>8), byte(i)
	service := i % services
	return packet.Flow{
		Caller: addr, CallerPort: uint16(1024 + i%50_000),
		Service: packet.NewEndpoint(serviceAddr(service), packet.ProtoTCP),
	}
}

// openFlows opens the flows from..to-1 and establishes them. It ticks the core
// in between so that the openings stay within the targets' limits.
func (f *fleet) openFlows(from, to, services int) (refused int) {
	var out balancer.Action
	for i := from; i < to; i++ {
		p := packet.Packet{Flow: callerFlow(i, services), Class: packet.Opening, Seq: 1}
		f.core.HandlePacket(f.now, &p, nil, &out)
		if out.Kind != balancer.Forward {
			refused++
		}
		p.Class, p.Ack, p.AckValid, p.Seq = packet.Data, 1, true, 2
		f.core.HandlePacket(f.now, &p, nil, &out)
		if i%1000 == 0 {
			f.run(1)
		}
	}
	return refused
}

// measureFlows measures the memory and processing time of open and new flows.
func measureFlows() []series {
	memory := newSeries("memory of the flow table", "bytes a flow", "flows")
	opening := newSeries("placing and establishing a new flow", "ns", "flows")
	ticks := newSeries("ticks of one second", "ms", "flows")
	refused := newSeries("refused openings", "flows", "flows")
	for _, n := range flowSizes {
		f := newSingleHost()
		before := heapBytes()
		refusals := f.openFlows(0, n, 20)
		memory.add(n, (heapBytes()-before)/float64(n))
		refused.add(n, float64(refusals))
		ticks.add(n, milliseconds(shortest(func() { f.run(10) })))
		next := n
		took := shortest(func() {
			f.openFlows(next, next+20_000, 20)
			next += 20_000
		})
		opening.add(n, float64(took)/20_000)
	}
	return []series{*memory, *opening, *ticks, *refused, *measureReplicas()}
}

// measureReplicas measures the memory of flow replicas at a successor of the
// owner.
func measureReplicas() *series {
	memory := newSeries("memory of a flow told of", "bytes a flow", "flows")
	for _, n := range []int{1_000, 10_000, 100_000} {
		f := newSingleHost()
		add := make([]byte, fingerprintBytes*n)
		rng := rand.New(rand.NewPCG(seed, 0))
		for i := range n {
			var hash [8]byte
			binary.BigEndian.PutUint64(hash[:], rng.Uint64())
			copy(add[fingerprintBytes*i:], hash[:fingerprintBytes])
		}
		before := heapBytes()
		f.core.HandleFlows(f.now, peer.Flows{Targets: []peer.TargetFlows{{Target: 1, Add: add}}})
		memory.add(n, (heapBytes()-before)/float64(n))
		if kept := f.core.Stats(f.now).Replicas; kept != n {
			fail("kept %d of %d flows", kept, n)
		}
	}
	return memory
}

// measurePackets measures packets of known flows and the relaying of openings.
func measurePackets() []series {
	known := newSeries("packet of a known flow", "ns", "flows")
	for _, n := range flowSizes {
		f := newSingleHost()
		f.openFlows(0, n, 20)
		rng := rand.New(rand.NewPCG(seed, 0))
		took := shortest(func() { f.sendData(rng, n, 20, packetsPerRound) })
		known.add(n, float64(took)/packetsPerRound)
	}
	relay := newSeries("relaying an opening to its owner", "ns", "hosts in the zone")
	share := newSeries("openings that go on to another host", "share", "hosts in the zone")
	for _, hosts := range []int{3, 9, 25, 75} {
		f := newFleet(hosts, true)
		f.start(servicesOf(20, 240, 1))
		f.run(settleTicks)
		relay.add(hosts, float64(f.timeRelay())/packetsPerRound)
		s := f.core.Stats(f.now)
		share.add(hosts, float64(s.Relayed)/float64(s.Relayed+s.Forwarded))
	}
	return []series{*known, *relay, *share}
}

// sendData sends data packets of random flows.
func (f *fleet) sendData(rng *rand.Rand, flows, services, count int) {
	var out balancer.Action
	for range count {
		p := packet.Packet{
			Flow: callerFlow(rng.IntN(flows), services), Class: packet.Data,
			Seq: rng.Uint32(), Ack: 1, AckValid: true, PayloadLen: 100,
		}
		f.core.HandlePacket(f.now, &p, nil, &out)
	}
}

// timeRelay times packetsPerRound openings that the core relays or places.
func (f *fleet) timeRelay() time.Duration {
	next := 0
	var out balancer.Action
	return shortest(func() {
		for range packetsPerRound {
			p := packet.Packet{Flow: callerFlow(next, 20), Class: packet.Opening}
			f.core.HandlePacket(f.now, &p, nil, &out)
			next++
		}
	})
}
