package peerlink

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/internal/settings"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// testTimeout bounds each wait for a condition. It is no requirement on latency.
const testTimeout = 15 * time.Second

const testMaxMessage = 4096

// recorder is a Handler that records the messages it receives.
type recorder struct {
	mu         sync.Mutex
	heartbeats []peer.Heartbeat
	flows      []peer.Flows
}

func (r *recorder) HandleHello(m peer.Hello) peer.HelloReply {
	return peer.HelloReply{Hosts: []peer.Host{m.Host}}
}

func (r *recorder) HandleHeartbeat(m peer.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats = append(r.heartbeats, m)
}

func (r *recorder) HandleFlows(m peer.Flows) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows = append(r.flows, m)
}

func (r *recorder) Inventory() peer.Inventory {
	return peer.Inventory{Documents: []peer.DocumentID{{Key: "services/a", Generation: 3}}}
}

func (r *recorder) Document(key string) (peer.Document, bool) {
	return peer.Document{Key: key, YAML: "x"}, key == "services/a"
}

func (r *recorder) counts() (heartbeats, flows int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.heartbeats), len(r.flows)
}

// host is a Links that serves on a loopback port, with its handler.
type host struct {
	*Links
	*recorder
	addr string
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return listener
}

func startHost(t *testing.T, keys *Keys, budget *Budget) *host {
	t.Helper()
	r := &recorder{}
	links := New(Config{Handler: r, Budget: budget, Keys: keys, MaxMessage: testMaxMessage, Log: zerolog.Nop()})
	listener := listen(t)
	served := make(chan struct{})
	go func() {
		defer close(served)
		links.Serve(listener)
	}()
	t.Cleanup(func() {
		links.Close()
		<-served
	})
	return &host{Links: links, recorder: r, addr: listener.Addr().String()}
}

// largeBudget returns a budget that delays no message of the tests.
func largeBudget() *Budget { return NewBudget(1<<20, 1<<20) }

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timeout waiting for %s", what)
}

// heartbeatArrives sends heartbeats until one is received, which shows that the
// link works.
func heartbeatArrives(t *testing.T, from, to *host) {
	t.Helper()
	before, _ := to.counts()
	eventually(t, "arrival of a heartbeat", func() bool {
		from.SendHeartbeat(to.addr, peer.Heartbeat{From: 7})
		after, _ := to.counts()
		return after > before
	})
}

func (h *host) faultCount(cause string) float64 {
	return testutil.ToFloat64(h.cfg.Metrics.faults.WithLabelValues(cause))
}

func TestMessageExchange(t *testing.T) {
	ca := newAuthority(t)
	for name, keys := range map[string]func() *Keys{
		"mutual TLS": func() *Keys { return newKeys(t, ca) },
		"plain":      func() *Keys { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := startHost(t, keys(), largeBudget()), startHost(t, keys(), largeBudget())
			heartbeatArrives(t, a, b)
			ctx := context.Background()
			reply, err := a.Hello(ctx, b.addr, peer.Hello{Host: peer.Host{Name: "a"}})
			is.NoErr(err)
			is.Equal(reply.Hosts[0].Name, "a")
			inventory, err := a.Links.Inventory(ctx, b.addr)
			is.NoErr(err)
			is.Equal(inventory.Documents[0].Generation, uint64(3))
			doc, err := a.Fetch(ctx, b.addr, "services/a")
			is.NoErr(err)
			is.Equal(doc.YAML, "x")
			_, err = a.Fetch(ctx, b.addr, "services/b")
			is.True(err != nil) // an unknown document is an error
			is.True(a.SendFlows(b.addr, peer.Flows{From: 9}))
			eventually(t, "arrival of the flows message", func() bool { _, n := b.counts(); return n == 1 })
			// The sender counts a message after it was written, so the other end may
			// have received it before.
			eventually(t, "the same count of bytes at both ends", func() bool {
				return testutil.ToFloat64(a.cfg.Metrics.bytesSent) == testutil.ToFloat64(b.cfg.Metrics.bytesReceived)
			})
		})
	}
}

// frame encodes a message as boundedCodec reads it.
func frame(text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}

// TestIncomingFaults checks that a malformed or invalid message is counted by
// cause and doesn't affect the connections of other peers.
func TestIncomingFaults(t *testing.T) {
	const call = `{"jsonrpc":"2.0","id":1,"method":`
	const notification = `{"jsonrpc":"2.0","method":`
	cases := []struct {
		name  string
		bytes []byte
		cause string
	}{
		{"cut in a message", frame(notification + `"hb","params":{}}`)[:20], faultCutInMessage},
		{"giant message", binary.AppendUvarint(nil, 1<<40), faultTooLong},
		{"message over the limit", frame(string(make([]byte, testMaxMessage+1))), faultTooLong},
		{"malformed JSON", frame(`{"jsonrpc":`), faultMalformed},
		{"neither request nor response", frame(`{}`), faultMalformed},
		{"unknown notification", frame(notification + `"nothing","params":{}}`), faultUnknownMethod},
		{"unknown call", frame(call + `"nothing","params":{}}`), faultUnknownMethod},
		{"parameters missing", frame(notification + `"hb"}`), faultBadParams},
		{"parameters of a wrong type", frame(call + `"hello","params":[1]}`), faultBadParams},
		{"document key of a wrong type", frame(call + `"fetch","params":{"k":1}}`), faultBadParams},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, b := startHost(t, nil, largeBudget()), startHost(t, nil, largeBudget())
			heartbeatArrives(t, a, b)
			conn, err := net.Dial("tcp", b.addr)
			is.NoErr(err)
			_, err = conn.Write(c.bytes)
			is.NoErr(err)
			is.NoErr(conn.Close())
			eventually(t, "count of the fault", func() bool { return b.faultCount(c.cause) > 0 })
			heartbeatArrives(t, a, b)
		})
	}
}

func TestUntrustedPeersAreRefused(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	cases := []struct {
		name string
		dial func(addr string) (net.Conn, error)
	}{
		{"certificate of another authority", func(addr string) (net.Conn, error) {
			pair := newKeys(t, other).current.Load()
			return tls.Dial("tcp", addr, &tls.Config{Certificates: []tls.Certificate{pair.cert}, InsecureSkipVerify: true})
		}},
		{"no certificate", func(addr string) (net.Conn, error) {
			return tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
		}},
		{"no TLS", func(addr string) (net.Conn, error) {
			return net.Dial("tcp", addr)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := startHost(t, newKeys(t, ca), largeBudget())
			conn, err := c.dial(b.addr)
			is.NoErr(err) // with TLS 1.3 the dialling side sees the rejection only on a read
			defer conn.Close()
			_, _ = conn.Write(frame(`{"jsonrpc":"2.0","method":"hb","params":{}}`)) // fails if the connection is already closed
			eventually(t, "handshake fault", func() bool { return b.faultCount(faultHandshake) > 0 })
			heartbeats, _ := b.counts()
			is.Equal(heartbeats, 0) // messages of untrusted peers aren't handled
		})
	}
}

func TestDiallerRefusesAnUntrustedPeer(t *testing.T) {
	is := is.New(t)
	a := startHost(t, newKeys(t, newAuthority(t)), largeBudget())
	b := startHost(t, newKeys(t, newAuthority(t)), largeBudget())
	_, err := a.Hello(context.Background(), b.addr, peer.Hello{})
	is.True(err != nil)
	is.True(a.faultCount(faultDial) > 0)
}

// TestSilentPeer uses a peer that accepts connections and never replies. Calls to
// it must time out, and its full queue must not block messages to other peers.
func TestSilentPeer(t *testing.T) {
	is := is.New(t)
	silent := listen(t)
	defer silent.Close()
	a, b := startHost(t, nil, largeBudget()), startHost(t, nil, largeBudget())
	_, err := a.Hello(context.Background(), silent.Addr().String(), peer.Hello{})
	is.True(err != nil)
	is.True(a.faultCount(faultCall) > 0)
	for range 2 * flowsQueueLen {
		a.SendHeartbeat(silent.Addr().String(), peer.Heartbeat{})
		a.SendFlows(silent.Addr().String(), peer.Flows{})
	}
	heartbeatArrives(t, a, b)
}

func TestReloadKeys(t *testing.T) {
	is := is.New(t)
	first, second := newAuthority(t), newAuthority(t)
	dirA, dirB := t.TempDir(), t.TempDir()
	a := startHost(t, loadKeys(t, issue(t, first, dirA)), largeBudget())
	b := startHost(t, loadKeys(t, issue(t, first, dirB)), largeBudget())
	heartbeatArrives(t, a, b)

	is.NoErr(os.WriteFile(filepath.Join(dirB, "key.pem"), []byte("no key"), 0o600))
	is.True(b.ReloadKeys() != nil) // rejected
	heartbeatArrives(t, a, b)      // the previous keys remain in use

	issue(t, second, dirB)
	is.NoErr(b.ReloadKeys())
	eventually(t, "rejection of the peer with the old authority", func() bool {
		a.SendHeartbeat(b.addr, peer.Heartbeat{})
		return a.faultCount(faultDial) > 0
	})
	issue(t, second, dirA)
	is.NoErr(a.ReloadKeys())
	heartbeatArrives(t, a, b)
}

// TestBudgetExhausted puts a slowly refilling budget into debt. Messages about
// flows must wait or be dropped and counted, calls must time out, and heartbeats
// must still be sent.
func TestBudgetExhausted(t *testing.T) {
	is := is.New(t)
	a, b := startHost(t, nil, NewBudget(1, 1000)), startHost(t, nil, largeBudget())
	a.cfg.Budget.Charge(100_000)
	dropped := a.cfg.Metrics.dropped.WithLabelValues(dropFlowsQueueFull)
	for range 2 * flowsQueueLen {
		a.SendFlows(b.addr, peer.Flows{From: 1})
	}
	is.True(testutil.ToFloat64(dropped) > 0)
	for range 3 {
		heartbeatArrives(t, a, b)
	}
	_, flows := b.counts()
	is.Equal(flows, 0)
	_, err := a.Hello(context.Background(), b.addr, peer.Hello{})
	is.True(err != nil) // the call times out while there is a debt

	a.cfg.Budget.Set(1<<30, 1<<30)
	eventually(t, "flows after the budget was raised", func() bool { _, n := b.counts(); return n > 0 })
}

func TestBudgetDelay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := NewBudget(1000, 4000)
	b.now = func() time.Time { return now }
	is.Equal(b.Delay(4000), time.Duration(0))
	b.Charge(9000) // exceeds the burst
	is.Equal(b.Delay(1000), 6*time.Second)
	now = now.Add(6 * time.Second)
	is.Equal(b.Delay(1000), time.Duration(0))
	now = now.Add(time.Hour)
	is.Equal(b.Delay(1<<20), time.Duration(0)) // a message larger than the burst needs only a full bucket
}

// TestJoinOfNineHosts sends hellos between all hosts of the largest deployed
// system, nine, at once. The default budget must be large enough that no call has
// to wait for it.
func TestJoinOfNineHosts(t *testing.T) {
	const count = 9
	is := is.New(t)
	ca := newAuthority(t)
	hosts := make([]*host, count)
	for i := range hosts {
		budget := NewBudget(settings.DefaultControlBudgetBytes, settings.DefaultControlBurstBytes)
		hosts[i] = startHost(t, newKeys(t, ca), budget)
	}
	var wg sync.WaitGroup
	for i, from := range hosts {
		for j, to := range hosts {
			if i != j {
				wg.Go(func() {
					if _, err := from.Hello(context.Background(), to.addr, peer.Hello{}); err != nil {
						t.Errorf("host %d to host %d: %v", i, j, err)
					}
				})
			}
		}
	}
	wg.Wait()
	for _, h := range hosts {
		is.Equal(h.faultCount(faultBusy), 0.0)
		is.True(h.cfg.Budget.Delay(0) == 0) // no host is in debt
	}
}
