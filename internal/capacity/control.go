package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// controlBound is the control traffic that one host may send, in bytes a
	// second.
	controlBound = 4096
	// segmentHeaderBytes is the length of the headers of one TCP segment over
	// IPv4: 20 bytes of IP and 32 of TCP with timestamps. Each message counts as
	// one segment and one acknowledgement.
	segmentHeaderBytes = 52
)

// measureOverhead returns the bytes that JSON-RPC and mutual TLS add to messages.
func measureOverhead() messageOverhead {
	keys := newKeys()
	hb := newHeartbeat(0, 1)
	flows := peer.Flows{From: 4_000_000_000, Targets: []peer.TargetFlows{
		{Target: 1 << 63, Add: make([]byte, fingerprintBytes*10)},
	}}
	heartbeatBytes := messageBytes(keys, func(e *endpoint, to string, i int) {
		e.links.SendHeartbeat(to, newHeartbeat(uint64(i), 1))
	}, func(c *messageCounter) int { return int(c.heartbeats.Load()) }, 1)
	flowsBytes := messageBytes(keys, func(e *endpoint, to string, _ int) {
		e.links.SendFlows(to, flows)
	}, func(c *messageCounter) int { return int(c.flows.Load()) / 10 }, 1)
	return messageOverhead{heartbeat: heartbeatBytes - jsonLen(hb), flows: flowsBytes - jsonLen(flows)}
}

func jsonLen(message any) float64 {
	text, err := json.Marshal(message)
	if err != nil {
		fail("message: %v", err)
	}
	return float64(len(text))
}

// load generates the traffic of callers in a cluster.
type load struct {
	*cluster
	// held is the total number of open flows; perTick is the number opened and
	// ended in each tick.
	held, perTick int
	opened, ended int
	out           balancer.Action
	failed        map[int]bool
	// worst is the highest control traffic of one host in a window, in bytes a
	// second.
	worst float64
}

// step opens new flows, ends the oldest and advances the cluster by one tick.
func (l *load) step() {
	for range l.perTick {
		l.open(l.opened)
		l.opened++
	}
	for l.opened-l.ended > l.held {
		l.end(l.ended)
		l.ended++
	}
	l.tick()
}

func (l *load) open(i int) {
	p := packet.Packet{Flow: callerFlow(i, len(l.services)), Class: packet.Opening}
	if !l.deliver(&p, &l.out) {
		l.failed[i] = true
		return
	}
	p.Class, p.Seq, p.Ack, p.AckValid = packet.Data, 1, 1, true
	l.deliver(&p, &l.out)
}

func (l *load) end(i int) {
	if l.failed[i] {
		delete(l.failed, i)
		return
	}
	p := packet.Packet{Flow: callerFlow(i, len(l.services)), Class: packet.Closing, Seq: 1, Ack: 1, AckValid: true}
	l.deliver(&p, &l.out)
}

// runPhase runs steps for d, prints the control traffic of the hosts and records
// the highest of one host.
func (l *load) runPhase(name string, d time.Duration) {
	const window = 10 * time.Second
	start := l.sent()
	var worst sentTraffic
	for from := time.Duration(0); from < d; from += window {
		before := l.sent()
		for range int(window / tick) {
			l.step()
		}
		for i, s := range l.sent() {
			if part := s.minus(before[i]); wireBytes(part) > wireBytes(worst) {
				worst = part
			}
		}
	}
	var sum sentTraffic
	for i, s := range l.sent() {
		sum = sum.plus(s.minus(start[i]), 1)
	}
	fmt.Printf("%-22s mean of hosts      %s\n", name, formatRates(sum, float64(len(l.cores))*d.Seconds()))
	l.worst = max(l.worst, wireBytes(worst)/window.Seconds())
	fmt.Printf("%-22s worst host in %v %s\n", "", window, formatRates(worst, window.Seconds()))
}

// formatRates formats counts as rates over the given number of seconds.
func formatRates(s sentTraffic, seconds float64) string {
	return fmt.Sprintf("%5.0f B/s: heartbeats %4.0f (%4.1f a second), flows %5.0f (%4.1f messages and %5.1f fingerprints a second), "+
		"hellos %3.0f, TCP/IP %4.0f", wireBytes(s)/seconds, s.heartbeats/seconds, float64(s.heartbeatMessages)/seconds,
		s.flows/seconds, float64(s.flowMessages)/seconds, float64(s.fingerprints)/seconds,
		s.hellos/seconds, (wireBytes(s)-s.total())/seconds)
}

// wireBytes returns the bytes including TCP and IP headers: one segment for each
// message and, as traffic is about equal in both directions, one
// acknowledgement.
func wireBytes(s sentTraffic) float64 {
	return s.total() + 2*segmentHeaderBytes*float64(s.messages)
}

// controlSizes are the flows that each host holds and those that it opens a
// second.
var controlSizes = []struct{ held, opened int }{
	{30_000, 300}, {30_000, 3_000}, {300_000, 300}, {300_000, 3_000},
}

// measureControl measures the control traffic of nine cores in three zones with
// flows while a target joins, a host restarts as planned and another fails.
func measureControl() []series {
	overhead := measureOverhead()
	fmt.Printf("a message on the connection beyond its JSON: heartbeat %.0f B, flows %.0f B; bound %d B/s\n",
		overhead.heartbeat, overhead.flows, controlBound)
	for _, size := range controlSizes {
		worst := runControl(size.held, size.opened, time.Minute, overhead)
		fmt.Printf("most that one host sent: %.0f B/s, bound %d B/s\n", worst, controlBound)
	}
	return nil
}

// runControl prints the phases of one run, each of the given length. It returns
// the highest control traffic of one host in bytes a second.
func runControl(held, opened int, phaseLength time.Duration, overhead messageOverhead) float64 {
	const hosts = 9
	l := &load{
		cluster: newCluster(hosts, 3, zoneServices(3), overhead), held: held * hosts,
		perTick: opened * hosts * int(tick/time.Millisecond) / 1000, failed: make(map[int]bool),
	}
	for range 200 {
		l.tick()
	}
	perTick := l.perTick
	l.perTick = 3_000 * hosts / 10
	for l.opened < l.held {
		l.step()
	}
	l.perTick = perTick
	fmt.Printf("\n%d hosts, 3 zones, %d flows and %d new flows a second each\n", hosts, held, opened)
	l.runPhase("steady", phaseLength)
	l.addTarget("fresh", zoneName(0))
	l.runPhase("target joins", phaseLength)
	l.runPhase("the minute after", phaseLength)
	leaver := l.cores[1]
	leaver.Leave(l.now)
	from := l.now
	for !leaver.Left(l.now) {
		l.step()
	}
	fmt.Printf("planned stop took %v\n", l.now-from)
	leaver.dead = true
	l.runPhase("stopped host is gone", 10*time.Second)
	l.restart(leaver)
	l.runPhase("it is back", phaseLength)
	l.cores[2].dead = true
	l.runPhase("another died", phaseLength)
	l.restart(l.cores[2])
	l.runPhase("it is back", phaseLength)
	flows, replicas := 0, 0
	for _, c := range l.cores {
		s := c.Stats(l.now)
		flows, replicas = flows+s.Flows, replicas+s.Replicas
	}
	fmt.Printf("packets %d, relays a packet %.2f, dropped or refused %d; flows in tables %d, told of %d\n",
		l.packets, float64(l.relayed)/float64(l.packets), l.undelivered, flows, replicas)
	return l.worst
}

// measureZoneSizes measures the control traffic of hosts without flows in three
// zones of equal size, for several sizes.
func measureZoneSizes() []series {
	overhead := measureOverhead()
	s := newSeries("control traffic of an idle host", "B/s with TCP/IP", "hosts in each of three zones")
	for _, n := range []int{3, 9, 25, 75} {
		cl := newCluster(3*n, 3, zoneServices(3), overhead)
		for range 200 {
			cl.tick()
		}
		before := cl.sent()
		for range 100 {
			cl.tick()
		}
		sum := 0.0
		for i, sent := range cl.sent() {
			sum += wireBytes(sent.minus(before[i]))
		}
		s.add(n, sum/float64(len(cl.cores))/10)
	}
	return []series{*s}
}
