package docsource

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/documents"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/hostlist"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/jujubehaven/jujubehaven/transport/consul"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// testTimeout bounds each test.
const testTimeout = 30 * time.Second

// callTimeout is the timeout of a store call.
const callTimeout = 100 * time.Millisecond

func ordersText(generation int) []byte {
	return fmt.Appendf(nil, `service: orders
team: recoating
generation: %d
change: c-%d
addresses: [{address: 192.0.2.1, port: 443, protocol: tcp}]
targets:
  - name: t1
    zone: north
    tunnel: 10.0.1.1:6080
    limits: {connections: 2000, openings_in_flight: 3, openings_per_second: 50}
`, generation, generation)
}

var zonesText = zonesOfGeneration(1)

const ordersKey = document.Key("services/orders")

// gatedStore is one host's access to the store, which the test can make
// unavailable.
type gatedStore struct {
	store.Store
	unavailable atomic.Bool
}

func (g *gatedStore) List(ctx context.Context, prefix store.Key) (store.Snapshot, error) {
	if g.unavailable.Load() {
		return store.Snapshot{}, &store.Error{Op: store.OpList, Kind: store.Unavailable}
	}
	return g.Store.List(ctx, prefix)
}

func (g *gatedStore) Watch(ctx context.Context, prefix store.Key, after store.Position, wait time.Duration) (store.Position, error) {
	if g.unavailable.Load() {
		return store.Position{}, &store.Error{Op: store.OpWatch, Kind: store.Unavailable}
	}
	return g.Store.Watch(ctx, prefix, after, wait)
}

// host is a source with the last state that it applied.
type host struct {
	*Source
	name  string
	gate  *gatedStore
	mu    sync.Mutex
	state State
}

func (h *host) applied() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// generation returns the generation of the orders document in force.
func (h *host) generation() uint64 {
	for _, s := range h.applied().Services {
		if s.Name == "orders" {
			return s.Generation
		}
	}
	return 0
}

// network is a set of hosts that share one platform.
type network struct {
	t        *testing.T
	ctx      context.Context
	platform *platform.Platform
	hosts    map[string]*host
}

func newNetwork(t *testing.T) *network {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return &network{t: t, ctx: ctx, platform: platform.New(platform.Options{}), hosts: map[string]*host{}}
}

// Inventory implements Peers. A host's control address is its name.
func (n *network) Inventory(_ context.Context, control string) (peer.Inventory, error) {
	return n.hosts[control].Source.Inventory(), nil
}

// Fetch implements Peers.
func (n *network) Fetch(_ context.Context, control, key string) (peer.Document, error) {
	m, ok := n.hosts[control].Document(key)
	if !ok {
		return peer.Document{}, errors.New("no such document")
	}
	return m, nil
}

// add creates a host without starting it.
func (n *network) add(name string, unavailable, watcher bool) *host {
	h := &host{name: name, gate: &gatedStore{Store: platform.NewMemory(n.platform, callTimeout)}}
	h.gate.unavailable.Store(unavailable)
	h.Source = New(Config{
		Host: name, Store: h.gate, Peers: n, Seed: uint64(len(n.hosts)), Log: zerolog.Nop(),
		IsWatcher: func() bool { return watcher },
		Apply: func(s State) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.state = s
		},
	})
	n.hosts[name] = h
	return h
}

func (n *network) run(h *host) {
	done := make(chan struct{})
	go func() {
		h.Run(n.ctx)
		close(done)
	}()
	n.t.Cleanup(func() { <-done })
}

// waitFor waits for a condition. Meanwhile it calls FetchFrom on each host with
// the hosts whose digests differ, as the processing of heartbeats does.
func (n *network) waitFor(what string, condition func() bool) {
	n.t.Helper()
	for !condition() {
		if n.ctx.Err() != nil {
			n.t.Fatalf("timeout waiting for %s", what)
		}
		for _, h := range n.hosts {
			h.FetchFrom(n.differing(h))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (n *network) differing(h *host) []peer.Host {
	var hosts []peer.Host
	for name, other := range n.hosts {
		if other.Digest() != h.Digest() {
			hosts = append(hosts, peer.Host{Name: name, Control: name})
		}
	}
	return hosts
}

func (n *network) writeOrders(generation int) {
	n.platform.Set(store.DocumentKey(ordersKey), ordersText(generation))
}

func zonesOfGeneration(generation int) []byte {
	return fmt.Appendf(nil, "generation: %d\nchange: z-%d\nzones: [{name: north, state: in}]\n", generation, generation)
}

// listedHost returns an entry host whose address is that of the target of orders if
// number is 1.
func listedHost(number int, state hostlist.State) hostlist.Host {
	address := netip.AddrFrom4([4]byte{10, 0, 1, byte(number)})
	return hostlist.Host{
		Name: fmt.Sprintf("h%d", number), Zone: "north", Address: address, State: state,
		Relay: netip.AddrPortFrom(address, 6081).String(), Control: netip.AddrPortFrom(address, 7000).String(),
	}
}

func (n *network) writeHosts(hosts ...hostlist.Host) {
	is.New(n.t).NoErr(n.platform.SetHosts(hostlist.List{Hosts: hosts}))
}

// draining reports whether the target of the orders document drains.
func (h *host) draining() bool {
	return h.applied().Services[0].Targets[0].State == document.TargetDraining
}

func (n *network) writeInitial() {
	n.platform.Set(store.DocumentKey(document.ZonesKey), zonesText)
	n.writeOrders(1)
}

// waitForGeneration waits until all hosts have the generation in force.
func (n *network) waitForGeneration(generation uint64) {
	n.t.Helper()
	start := time.Now()
	defer func() {
		n.t.Logf("generation %d on %d hosts after %v", generation, len(n.hosts), time.Since(start))
	}()
	n.waitFor(fmt.Sprintf("generation %d on all hosts", generation), func() bool {
		for _, h := range n.hosts {
			if h.generation() != generation || !h.Ready() {
				return false
			}
		}
		return true
	})
}

func TestWatchedChangeIsApplied(t *testing.T) {
	n := newNetwork(t)
	n.writeInitial()
	n.run(n.add("a", false, true))
	n.waitForGeneration(1)
	n.writeOrders(2)
	n.waitForGeneration(2)
	is.New(t).Equal(n.hosts["a"].InForce(), document.InForceList{Host: "a", Documents: []document.InForce{
		{Key: ordersKey, Generation: 2, Change: "c-2"},
		{Key: document.ZonesKey, Generation: 1, Change: "z-1"},
	}})
}

// Right after a write the store becomes unavailable to all hosts but one. The
// others must get the change from their peers.
func TestStoreDownForAllButOne(t *testing.T) {
	n := newNetwork(t)
	n.writeInitial()
	for i := range 6 {
		n.run(n.add(fmt.Sprintf("h%d", i), false, i < 2))
	}
	n.waitForGeneration(1)
	for name, h := range n.hosts {
		h.gate.unavailable.Store(name != "h0")
	}
	n.writeOrders(2)
	n.waitForGeneration(2)
}

func TestHostStartsDuringOutage(t *testing.T) {
	n := newNetwork(t)
	n.writeInitial()
	n.run(n.add("a", false, true))
	n.waitForGeneration(1)
	n.platform.SetFaults(platform.Faults{Outage: true})
	late := n.add("late", false, false)
	is.New(t).True(!late.Ready()) // not ready without documents
	n.run(late)
	n.waitForGeneration(1)
}

// The store's index goes back twice, once during an outage. Changes written after
// that must still be applied.
func TestChangeAfterOutageAndGap(t *testing.T) {
	n := newNetwork(t)
	n.writeInitial()
	for range 20 {
		n.writeOrders(1) // raises the index
	}
	n.run(n.add("a", false, true))
	n.waitForGeneration(1)
	n.platform.SetFaults(platform.Faults{Outage: true})
	n.platform.ResetIndex()
	n.writeOrders(2)
	n.platform.SetFaults(platform.Faults{})
	n.waitForGeneration(2)
	n.platform.ResetIndex()
	n.writeOrders(3)
	n.writeOrders(4) // moves the index past its value before the reset
	n.waitForGeneration(4)
}

func TestSlowStore(t *testing.T) {
	n := newNetwork(t)
	n.writeInitial()
	n.run(n.add("a", false, true))
	n.waitForGeneration(1)
	n.platform.SetFaults(platform.Faults{Delay: callTimeout / 4})
	n.writeOrders(2)
	n.waitForGeneration(2)
}

// Documents in force must not revert to an older generation when the store
// returns a stale copy, when it was restored from one, or when a peer has older
// documents.
func TestDocumentsDoNotRevert(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.writeInitial()
	a := n.add("a", false, true)
	n.run(a)
	n.platform.FreezeReads()
	n.writeOrders(3)
	n.waitForGeneration(1) // stale reads
	n.platform.UnfreezeReads()
	n.waitForGeneration(3)
	n.writeOrders(2)
	n.platform.Set(store.DocumentKey("services/marker"), []byte(strings.NewReplacer("orders", "marker",
		"192.0.2.1", "192.0.2.2", "10.0.1.1", "10.0.1.2").Replace(string(ordersText(1)))))
	n.waitFor("read of the second service", func() bool { return len(a.applied().Services) == 2 })
	is.Equal(a.generation(), uint64(3))
	behind := n.add("behind", true, false)
	behind.offer(nil)
	n.run(behind)
	n.waitForGeneration(3)
}

// Guards against a change that is skipped because the store returned from an older
// copy and gave out its index a second time.
func TestReissuedIndexIsNotSkipped(t *testing.T) {
	for _, overHTTP := range []bool{false, true} {
		t.Run(fmt.Sprintf("overHTTP=%t", overHTTP), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := newNetwork(t)
			n.writeInitial()
			a := n.add("a", false, true)
			if overHTTP {
				server := httptest.NewServer(platform.NewServer(n.platform))
				t.Cleanup(server.Close)
				client, err := consul.New(consul.Config{URL: server.URL})
				is.NoErr(err)
				a.gate.Store = client
			}
			n.run(a)
			n.waitForGeneration(1)
			n.platform.AdvanceClock(time.Minute)
			n.platform.Set(store.DocumentKey(document.ZonesKey), zonesOfGeneration(2))
			n.waitFor("zones", func() bool { return a.applied().Zones.Generation == 2 })
			watches := n.platform.Calls()[store.OpWatch]
			n.waitFor("the next watch", func() bool { return n.platform.Calls()[store.OpWatch] > watches })
			is.NoErr(n.platform.Restore(time.Second))
			n.writeOrders(2) // at the index that the zones had before
			n.waitForGeneration(2)
		})
	}
}

// Guards against new flows to a host that leaves, which an older copy of the store
// lists as live or does not list. When the grace is over, the store's contents hold.
func TestLeavingHostStaysSoAfterTheStoreReturns(t *testing.T) {
	for name, before := range map[string][]hostlist.Host{
		"live in the copy": {listedHost(1, hostlist.Live)}, "not in the copy": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t)
				n.writeInitial()
				n.writeHosts(before...)
				a := n.add("a", false, true)
				n.run(a)
				n.waitForGeneration(1)
				time.Sleep(10 * time.Second)
				n.writeHosts(listedHost(1, hostlist.Leaving))
				time.Sleep(time.Second)
				is.True(a.draining())
				is.NoErr(n.platform.Restore(5 * time.Second))
				n.writeHosts(append(before, listedHost(2, hostlist.Live))...) // the first write after the restore
				time.Sleep(time.Second)
				is.True(a.draining())
				n.writeHosts(listedHost(1, hostlist.Live), listedHost(2, hostlist.Leaving))
				time.Sleep(time.Second)
				is.True(a.draining())
				is.Equal(len(a.applied().Hosts), 0) // a new leaving host is taken from the list
				time.Sleep(documents.RestoreGrace)
				is.True(!a.draining())
			})
		})
	}
}

func TestLeavingHostDrainsItsTargets(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.writeInitial()
	a := n.add("a", false, false)
	n.run(a)
	n.waitForGeneration(1)
	is.Equal(a.applied().Services[0].Targets[0].State, document.TargetActive)
	is.NoErr(n.platform.SetHosts(hostlist.List{Hosts: []hostlist.Host{
		{Name: "t1", Zone: "north", Address: netip.MustParseAddr("10.0.1.1"), State: hostlist.Leaving},
		{
			Name: "b", Zone: "north", Address: netip.MustParseAddr("10.0.0.2"), State: hostlist.Live,
			Relay: "10.0.0.2:6081", Control: "10.0.0.2:7000",
		},
	}}))
	n.waitFor("list of hosts", func() bool { return len(a.applied().Hosts) == 1 })
	is.Equal(a.applied().Services[0].Targets[0].State, document.TargetDraining)
	n.platform.Set(store.HostsKey, []byte("{"))
	n.writeOrders(2)
	n.run(n.add("watcher", false, true))
	n.waitForGeneration(2)
	is.Equal(a.applied().Services[0].Targets[0].State, document.TargetDraining) // an invalid list is ignored
}

// An idle host reads each prefix once and then waits in watches; it must not
// poll.
func TestCallsOfAnIdleHost(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	n.writeInitial()
	n.run(n.add("a", false, true))
	n.waitForGeneration(1)
	n.waitFor("two pending watches", func() bool { return n.platform.Calls()[store.OpWatch] >= 2 })
	calls := n.platform.Calls()
	is.True(calls[store.OpList] <= 4) // one read of each prefix, plus one each if a change came in between
	is.Equal(calls[store.OpPut]+calls[store.OpGet], uint64(0))
}
