package main

import (
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/jujubehaven/jujubehaven/internal/fakes/authority"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/jujubehaven/jujubehaven/transport/peerlink"
)

const (
	// unlimitedBytes is a budget, in bytes, that delays no message.
	unlimitedBytes = 1 << 30
	maxMessage     = 1 << 20
	// heartbeatsPerPeer is the number of heartbeats in each direction in one
	// timing.
	heartbeatsPerPeer = 100
	// heartbeatPause is long enough to send a heartbeat before the next
	// replaces it in the queue.
	heartbeatPause = 2 * time.Millisecond
)

// fingerprintBytes is the length of a flow's fingerprint in peer.Flows.
const fingerprintBytes = 5

// messageCounter is a peerlink.Handler that counts received heartbeats and flows.
type messageCounter struct{ heartbeats, flows atomic.Int64 }

func (c *messageCounter) HandleHello(peer.Hello) peer.HelloReply { return peer.HelloReply{} }
func (c *messageCounter) HandleHeartbeat(peer.Heartbeat)         { c.heartbeats.Add(1) }
func (c *messageCounter) HandleFlows(m peer.Flows) {
	for _, t := range m.Targets {
		c.flows.Add(int64(len(t.Add) / fingerprintBytes))
	}
}
func (c *messageCounter) Inventory() peer.Inventory             { return peer.Inventory{} }
func (c *messageCounter) Document(string) (peer.Document, bool) { return peer.Document{}, false }

// endpoint holds the control links of one host.
type endpoint struct {
	links    *peerlink.Links
	counter  messageCounter
	address  string
	registry *prometheus.Registry
}

func newEndpoint(keys *peerlink.Keys, budget *peerlink.Budget) *endpoint {
	e := &endpoint{registry: prometheus.NewRegistry()}
	m := peerlink.NewMetrics()
	e.registry.MustRegister(m)
	e.links = peerlink.New(peerlink.Config{
		Handler: &e.counter, Budget: budget, Keys: keys,
		MaxMessage: maxMessage, Metrics: m, Log: zerolog.Nop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	e.address = listener.Addr().String()
	go e.links.Serve(listener)
	return e
}

// newUnlimitedEndpoint returns an endpoint whose budget delays no message.
func newUnlimitedEndpoint(keys *peerlink.Keys) *endpoint {
	return newEndpoint(keys, peerlink.NewBudget(unlimitedBytes, unlimitedBytes))
}

// sentBytes returns the bytes sent so far, TLS included.
func (e *endpoint) sentBytes() float64 {
	families, err := e.registry.Gather()
	if err != nil {
		fail("gather: %v", err)
	}
	for _, f := range families {
		if f.GetName() == "jujubehaven_control_sent_bytes_total" {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	fail("no metric of sent bytes")
	return 0
}

// newKeys returns keys with a certificate of a new authority.
func newKeys() *peerlink.Keys {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		fail("keys: %v", err)
	}
	defer os.RemoveAll(dir)
	ca, err := authority.New()
	if err != nil {
		fail("keys: %v", err)
	}
	files, err := ca.Issue(dir, netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		fail("keys: %v", err)
	}
	keys, err := peerlink.LoadKeys(files.Cert, files.Key, files.CA)
	if err != nil {
		fail("keys: %v", err)
	}
	return keys
}

// newHeartbeat returns a heartbeat with the given number of ramps. Its numbers
// have as many digits as in production.
func newHeartbeat(seq uint64, ramps int) peer.Heartbeat {
	hb := peer.Heartbeat{
		From: 4_000_000_000, Incarnation: 1_700_000_000_000, Phase: peer.PhaseActive,
		Seq: 1_000_000 + seq, View: 4_000_000_000, Documents: 1 << 63,
	}
	for i := range ramps {
		hb.Ramps = append(hb.Ramps, peer.TargetRamp{Target: 1<<63 + uint64(i), OpenSlots: 2048})
	}
	return hb
}

// measureLinks measures control messages and connections.
func measureLinks() []series {
	keys := newKeys()
	return append(measureMessages(keys), measureHub(keys)...)
}

// measureMessages measures the size of messages on the wire.
func measureMessages(keys *peerlink.Keys) []series {
	heartbeat := newSeries("heartbeat over mutual TLS", "bytes", "warming targets named")
	for _, n := range []int{0, 1, 10} {
		heartbeat.add(n, messageBytes(keys, func(e *endpoint, to string, i int) {
			e.links.SendHeartbeat(to, newHeartbeat(uint64(i), n))
		}, func(c *messageCounter) int { return int(c.heartbeats.Load()) }, 1))
	}
	flows := newSeries("message about flows over mutual TLS", "bytes a flow", "flows in the message")
	for _, n := range []int{1, 10, 100} {
		message := peer.Flows{From: 4_000_000_000, Targets: []peer.TargetFlows{
			{Target: 1 << 63, Add: make([]byte, fingerprintBytes*n)},
		}}
		flows.add(n, messageBytes(keys, func(e *endpoint, to string, _ int) {
			e.links.SendFlows(to, message)
		}, func(c *messageCounter) int { return int(c.flows.Load()) / n }, n))
	}
	return []series{*heartbeat, *flows}
}

// messageBytes returns the bytes of one message, divided by the given number.
func messageBytes(keys *peerlink.Keys, send func(*endpoint, string, int), arrived func(*messageCounter) int, per int) float64 {
	const count = 200
	from, to := newUnlimitedEndpoint(keys), newUnlimitedEndpoint(keys)
	defer from.links.Close()
	defer to.links.Close()
	sendOne := func(i int) {
		before := arrived(&to.counter)
		send(from, to.address, i)
		waitFor(func() bool { return arrived(&to.counter) > before })
	}
	sendOne(0)
	before := from.sentBytes()
	for i := range count {
		sendOne(i)
	}
	return (from.sentBytes() - before) / count / float64(per)
}

// messageTimeout is the longest wait for a message.
const messageTimeout = 10 * time.Second

func waitFor(condition func() bool) {
	for end := time.Now().Add(messageTimeout); time.Now().Before(end); time.Sleep(50 * time.Microsecond) {
		if condition() {
			return
		}
	}
	fail("a message did not arrive")
}

// measureHub measures one host that exchanges heartbeats with many peers.
func measureHub(keys *peerlink.Keys) []series {
	connect := newSeries("processor time of a new connection, both ends", "ms", "peers")
	memory := newSeries("memory of one end of a connection", "KB", "peers")
	each := newSeries("processor time of a heartbeat, sent and received", "us", "peers")
	for _, peers := range []int{2, 8, 24, 74} {
		before, cpu := memoryInUse(), processorTime()
		hub := newUnlimitedEndpoint(keys)
		others := make([]*endpoint, peers)
		for i := range others {
			others[i] = newUnlimitedEndpoint(keys)
		}
		hub.exchange(others, 0)
		waitFor(func() bool { return hub.counter.heartbeats.Load() >= int64(peers) && allReceived(others) })
		connections := float64(2 * peers)
		connect.add(peers, milliseconds(processorTime()-cpu)/connections)
		memory.add(peers, (memoryInUse()-before)/(2*connections)/1e3)

		cpu = processorTime()
		start := hub.counter.heartbeats.Load()
		for i := range heartbeatsPerPeer {
			hub.exchange(others, i+1)
			time.Sleep(heartbeatPause)
		}
		waitFor(func() bool { return hub.counter.heartbeats.Load() > start })
		took := processorTime() - cpu
		sent := float64(hub.counter.heartbeats.Load()-start) * 2
		each.add(peers, float64(took)/float64(time.Microsecond)/sent)
		hub.links.Close()
		for _, o := range others {
			o.links.Close()
		}
	}
	return []series{*connect, *memory, *each}
}

// exchange sends a heartbeat to each of the others and one back.
func (e *endpoint) exchange(others []*endpoint, seq int) {
	for _, o := range others {
		e.links.SendHeartbeat(o.address, newHeartbeat(uint64(seq), 0))
		o.links.SendHeartbeat(e.address, newHeartbeat(uint64(seq), 0))
	}
}

func allReceived(others []*endpoint) bool {
	for _, o := range others {
		if o.counter.heartbeats.Load() == 0 {
			return false
		}
	}
	return true
}

// memoryInUse returns the bytes of live heap objects and stacks.
func memoryInUse() float64 {
	heap := heapBytes()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return heap + float64(m.StackInuse)
}

// processorTime returns the user and system time of the process so far.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		fail("processor time: %v", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
