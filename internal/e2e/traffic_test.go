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
	// answerTimeout bounds the wait for one answer, including retransmissions.
	answerTimeout = 30 * time.Second
	// datagramTimeout bounds one UDP request, which is lost if it is sent to a host
	// that is down.
	datagramTimeout = time.Second
	// requestBytes is the length of a request; it takes several segments.
	requestBytes = 5000
	flowCount    = 24
)

// network is a cluster with a fabric, targets and a caller.
type network struct {
	*cluster
	// service is the address of the TCP service, datagrams that of the UDP service.
	service, datagrams netip.AddrPort

	caller  *caller.Caller
	control io.WriteCloser // standard input of the fabric, for commands
	targets []document.Target
	conns   []*caller.Conn
	sent    int
}

// logDuration logs the duration of a part of a test and the caller's total number
// of retransmissions; no test asserts them.
func (n *network) logDuration(t *testing.T, part string, start time.Time) {
	t.Helper()
	t.Logf("%s: took %v, %d retransmissions", part, time.Since(start).Round(time.Millisecond), n.caller.Stats().Retransmitted)
}

// startNetwork starts three balancers in two zones, with two targets in each zone.
func startNetwork(t *testing.T) *network {
	t.Helper()
	is := is.New(t)
	n := &network{
		cluster: newCluster(t, "north", "north", "south"),
		service: netip.MustParseAddrPort("192.0.2.1:443"), datagrams: netip.MustParseAddrPort("192.0.2.2:443"),
	}
	c, err := caller.New(caller.Config{
		Listen: netip.AddrPortFrom(n.addrs.allocate(), dataPort), Fabric: n.fabric, Addr4: netip.MustParseAddr("198.51.100.7"),
	})
	is.NoErr(err)
	n.caller = c
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run() // returns after Close
	}()
	t.Cleanup(func() {
		is.NoErr(c.Close())
		<-done
	})
	n.startFabric(t)
	for i, zone := range []string{"north", "north", "south", "south"} {
		n.startTarget(t, fmt.Sprintf("orders-%d", i+1), zone)
	}
	defer n.logDuration(t, "cluster start", time.Now())
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
	addr := netip.AddrPortFrom(n.addrs.allocate(), dataPort)
	startFake(t, exec.Command(fakes, "target", "--name", name, "--listen", addr.String(), "--route", n.route(),
		"--service", "tcp/"+n.service.String(), "--service", "udp/"+n.datagrams.String()))
	n.targets = append(n.targets, targetDoc(name, zone, addr))
}

// startFake starts a fake, which is killed when the test ends, and waits until it
// listens.
func startFake(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	var out buffer.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	is.New(t).NoErr(cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails only if the process has exited
		_ = cmd.Wait()         // always an error: the process was killed
	})
	eventually(t, "fake listens", func() bool { return strings.Contains(out.String(), "event=listening") })
}

// setDown marks a balancer as down or up in the fabric, in place of the fabric's
// health checks.
func (n *network) setDown(t *testing.T, p *process, down bool) {
	t.Helper()
	state := "up"
	if down {
		state = "down"
	}
	_, err := fmt.Fprintf(n.control, "%s %s\n", state, p.data())
	is.New(t).NoErr(err)
}

func (n *network) nextRequest() string {
	n.sent++
	id := fmt.Sprintf("r%d ", n.sent)
	return id + strings.Repeat("x", requestBytes-len(id))
}

// openConns opens count connections and adds them to n.conns. It retries refused
// openings, for example while all targets are warming up; this is safe, since a
// refused opening ran no request.
func (n *network) openConns(t *testing.T, count int) {
	t.Helper()
	defer n.logDuration(t, fmt.Sprintf("opening %d", count), time.Now())
	for range count {
		eventually(t, "a connection opens", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
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

// exchange sends a request on each open connection concurrently; Conn.Request checks
// that each answer is complete and from the same target as before. A failure ends
// the test, since a stalled flow would delay each later exchange.
func (n *network) exchange(t *testing.T, when string) {
	t.Helper()
	var wg sync.WaitGroup
	for i, conn := range n.conns {
		request := n.nextRequest()
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
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

// datagram sends UDP requests until one is answered, since any may be lost.
func (n *network) datagram(t *testing.T, when string) {
	t.Helper()
	eventually(t, when+": a UDP request is answered", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), datagramTimeout)
		defer cancel()
		n.sent++
		_, err := n.caller.Datagram(ctx, n.datagrams, fmt.Sprintf("u%d", n.sent))
		return err == nil
	})
}

// checkService checks that requests on open connections, on new connections and
// over UDP are answered. It leaves two more connections open.
func (n *network) checkService(t *testing.T, when string) {
	t.Helper()
	defer n.logDuration(t, when, time.Now())
	n.exchange(t, when)
	n.openConns(t, 2)
	n.exchange(t, when+", with new flows")
	n.datagram(t, when)
}

// TestTCPAndUDPRequests guards against processes that do not work together: it
// sends one TCP and one UDP request through the fabric, the balancers and the
// targets.
func TestTCPAndUDPRequests(t *testing.T) {
	t.Parallel()
	n := startNetwork(t)
	n.openConns(t, 1)
	n.exchange(t, "first")
	n.datagram(t, "first")
}

// TestFlowsContinueDuringFailures guards against broken flows and refused new
// ones when a balancer is killed, the platform is stopped or a balancer is
// suspended.
func TestFlowsContinueDuringFailures(t *testing.T) {
	t.Parallel()
	n := startNetwork(t)
	first, second, third := n.processes[0], n.processes[1], n.processes[2]
	n.openConns(t, flowCount)
	n.checkService(t, "before any failure")

	first.signal(t, syscall.SIGKILL)
	first.waitExit(t)
	n.setDown(t, first, true)
	n.checkService(t, "after a kill")

	n.start(t, first)
	for _, p := range n.processes {
		n.waitServing(t, p)
	}
	n.setDown(t, first, false)
	n.checkService(t, "after its restart")

	n.platform.stop(t)
	n.checkService(t, "without the platform")

	second.signal(t, syscall.SIGSTOP)
	n.checkService(t, "with a suspended balancer")
	second.signal(t, syscall.SIGCONT)
	n.checkService(t, "after it resumed")

	n.platform.start(t)
	n.platform.put(t, serviceDoc("orders", 2, n.service, n.targets[1:]...))
	for _, p := range []*process{first, second, third} {
		eventually(t, "generation 2 at "+p.name, func() bool {
			_, list := p.get("/v1/documents")
			return strings.Contains(list, `"key":"services/orders","generation":2`)
		})
	}
}

// TestPlannedStop guards against flows that break when a balancer leaves on
// SIGTERM and is started again.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := startNetwork(t)
	first := n.processes[0]
	n.openConns(t, flowCount)
	n.exchange(t, "before the stop")

	first.signal(t, syscall.SIGTERM)
	eventually(t, "the stopping balancer is not ready", func() bool {
		status, _ := first.get("/readyz")
		return status != http.StatusOK
	})
	n.setDown(t, first, true)
	for !first.exited() {
		n.exchange(t, "while it leaves")
	}
	is.Equal(first.waitExit(t), 0)
	is.True(strings.Contains(first.log.String(), "event=leave_done"))
	n.checkService(t, "after the stop")

	n.start(t, first)
	for _, p := range n.processes {
		n.waitServing(t, p)
	}
	n.setDown(t, first, false)
	n.checkService(t, "after the start")
}
