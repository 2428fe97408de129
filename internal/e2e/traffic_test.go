package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/internal/fakes/buffer"
	"github.com/jujubehaven/jujubehaven/internal/fakes/caller"
	"github.com/jujubehaven/jujubehaven/protocol/document"
)

const (
	// answerPatience bounds the wait for one answer, retransmissions included.
	answerPatience = 30 * time.Second
	// datagramPatience bounds one UDP request, which a dead host may swallow.
	datagramPatience = time.Second
	// requestBytes makes a request several segments long.
	requestBytes = 5000
	flowCount    = 24
)

// network is a cluster with fabric, targets and a caller around it.
type network struct {
	*cluster
	// service is on TCP, datagrams on UDP.
	service, datagrams netip.AddrPort

	caller  *caller.Caller
	control io.WriteCloser // commands to the fabric
	targets []document.Target
	conns   []*caller.Conn
	sent    int
}

// logTime logs how long a part of a test took and how often the caller has
// repeated itself since the start; no test judges it.
func (n *network) logTime(t *testing.T, part string, start time.Time) {
	t.Helper()
	t.Logf("%s: took %v, %d retransmissions", part, time.Since(start).Round(time.Millisecond), n.caller.Stats().Retransmitted)
}

// startNetwork runs three balancers in two zones with two targets each.
func startNetwork(t *testing.T) *network {
	t.Helper()
	is := is.New(t)
	n := &network{
		cluster: newCluster(t, "north", "north", "south"),
		service: netip.MustParseAddrPort("192.0.2.1:443"), datagrams: netip.MustParseAddrPort("192.0.2.2:443"),
	}
	c, err := caller.New(caller.Config{
		Listen: netip.AddrPortFrom(n.addrs.take(), dataPort), Fabric: n.fabric, Addr4: netip.MustParseAddr("198.51.100.7"),
	})
	is.NoErr(err)
	n.caller = c
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run() // ends with Close
	}()
	t.Cleanup(func() {
		is.NoErr(c.Close())
		<-done
	})
	n.startFabric(t)
	for i, zone := range []string{"north", "north", "south", "south"} {
		n.startTarget(t, fmt.Sprintf("orders-%d", i+1), zone)
	}
	defer n.logTime(t, "start of all", time.Now())
	n.platform.put(t, zonesDoc(1, bothZonesIn()))
	n.platform.put(t, serviceDoc("orders", 1, n.service, n.targets...))
	n.platform.put(t, datagramDoc("status", n.datagrams, n.targets...))
	n.startAll(t)
	return n
}

func (n *network) route() string { return "198.51.100.0/24=" + n.caller.Addr().String() }

func (n *network) startFabric(t *testing.T) {
	t.Helper()
	args := []string{"fabric", "--listen", n.fabric.String(), "--route", n.route()}
	for _, p := range n.processes {
		args = append(args, "--balancer", p.data().String())
	}
	cmd := exec.Command(fakes, args...)
	stdin, err := cmd.StdinPipe()
	is.New(t).NoErr(err)
	n.control = stdin
	startFake(t, cmd)
}

func (n *network) startTarget(t *testing.T, name, zone string) {
	t.Helper()
	addr := netip.AddrPortFrom(n.addrs.take(), dataPort)
	startFake(t, exec.Command(fakes, "target", "--name", name, "--listen", addr.String(), "--route", n.route(),
		"--service", "tcp/"+n.service.String(), "--service", "udp/"+n.datagrams.String()))
	n.targets = append(n.targets, targetDoc(name, zone, addr))
}

// startFake runs a stand-in until the test ends and waits until it listens.
func startFake(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	var out buffer.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	is.New(t).NoErr(cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails only if it has ended
		_ = cmd.Wait()         // killed
	})
	eventually(t, "stand-in listens", func() bool { return strings.Contains(out.String(), "event=listening") })
}

// setDown tells the fabric what its own checks of a balancer would find.
func (n *network) setDown(t *testing.T, p *process, down bool) {
	t.Helper()
	state := "up"
	if down {
		state = "down"
	}
	_, err := fmt.Fprintf(n.control, "%s %s\n", state, p.data())
	is.New(t).NoErr(err)
}

func (n *network) request() string {
	n.sent++
	id := fmt.Sprintf("r%d ", n.sent)
	return id + strings.Repeat("x", requestBytes-len(id))
}

// open opens connections and leaves them open. A refusal says that nothing
// ran, as when all targets are warming up, so the caller tries again.
func (n *network) open(t *testing.T, count int) {
	t.Helper()
	defer n.logTime(t, fmt.Sprintf("opening %d", count), time.Now())
	for range count {
		eventually(t, "a connection opens", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), answerPatience)
			defer cancel()
			conn, err := n.caller.Dial(ctx, n.service)
			if errors.Is(err, caller.ErrRefused) {
				return false
			}
			is.New(t).NoErr(err)
			n.conns = append(n.conns, conn)
			return true
		})
	}
}

// exchange sends a request on each open connection, all at once; the stand-in
// checks that each answer is whole and of the same target as before. A failure
// ends the test: a flow that is silent would hold up each later exchange too.
func (n *network) exchange(t *testing.T, when string) {
	t.Helper()
	var wg sync.WaitGroup
	for i, conn := range n.conns {
		request := n.request()
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerPatience)
			defer cancel()
			if _, err := conn.Request(ctx, request); err != nil {
				t.Errorf("%s: flow %d, caller %s, target %q: %v", when, i, conn.Local(), conn.Target(), err)
			}
		})
	}
	wg.Wait()
	if t.Failed() {
		t.FailNow()
	}
}

// datagram sends UDP requests until one is answered: the network may lose any.
func (n *network) datagram(t *testing.T, when string) {
	t.Helper()
	eventually(t, when+": a UDP request is answered", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), datagramPatience)
		defer cancel()
		n.sent++
		_, err := n.caller.Datagram(ctx, n.datagrams, fmt.Sprintf("u%d", n.sent))
		return err == nil
	})
}

func (n *network) serves(t *testing.T, when string) {
	t.Helper()
	defer n.logTime(t, when, time.Now())
	n.exchange(t, when)
	n.open(t, 2)
	n.exchange(t, when+", new flows too")
	n.datagram(t, when)
}

// TestWholePath sends one TCP and one UDP request through separate processes.
func TestWholePath(t *testing.T) {
	t.Parallel()
	n := startNetwork(t)
	n.open(t, 1)
	n.exchange(t, "first")
	n.datagram(t, "first")
}

// TestServiceGoesOn kills a balancer, freezes another and stops the platform
// under open flows.
func TestServiceGoesOn(t *testing.T) {
	t.Parallel()
	n := startNetwork(t)
	first, second, third := n.processes[0], n.processes[1], n.processes[2]
	n.open(t, flowCount)
	n.serves(t, "at first")

	first.signal(t, syscall.SIGKILL)
	first.waitExit(t)
	n.setDown(t, first, true)
	n.serves(t, "after a kill")

	n.start(t, first)
	for _, p := range n.processes {
		n.waitServing(t, p)
	}
	n.setDown(t, first, false)
	n.serves(t, "after its restart")

	n.platform.stop(t)
	n.serves(t, "without the platform")

	second.signal(t, syscall.SIGSTOP)
	n.serves(t, "with a frozen balancer")
	second.signal(t, syscall.SIGCONT)
	n.serves(t, "after the freeze")

	n.platform.start(t)
	n.platform.put(t, serviceDoc("orders", 2, n.service, n.targets[1:]...))
	for _, p := range []*process{first, second, third} {
		eventually(t, "generation 2 at "+p.name, func() bool {
			_, list := p.get("/v1/documents")
			return strings.Contains(list, `"key":"services/orders","generation":2`)
		})
	}
}

// TestPlannedStop stops a balancer in order under open flows and starts it
// again: no flow breaks.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := startNetwork(t)
	first := n.processes[0]
	n.open(t, flowCount)
	n.exchange(t, "at first")

	first.signal(t, syscall.SIGTERM)
	eventually(t, "the stopping balancer is not ready", func() bool {
		status, _ := first.get("/readyz")
		return status != http.StatusOK
	})
	n.setDown(t, first, true)
	for !first.exited() {
		n.exchange(t, "while it hands over")
	}
	is.Equal(first.waitExit(t), 0)
	is.True(strings.Contains(first.log.String(), "event=leave_done"))
	n.serves(t, "after the stop")

	n.start(t, first)
	for _, p := range n.processes {
		n.waitServing(t, p)
	}
	n.setDown(t, first, false)
	n.serves(t, "after the start")
}
