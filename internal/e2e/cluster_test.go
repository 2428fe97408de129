package e2e

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	_ "github.com/jujubehaven/jujubehaven/internal/bench"
	_ "github.com/jujubehaven/jujubehaven/internal/daemon"
	"github.com/jujubehaven/jujubehaven/internal/fakes/authority"
	"github.com/jujubehaven/jujubehaven/internal/fakes/buffer"
	_ "github.com/jujubehaven/jujubehaven/internal/fakes/fabric"
	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	_ "github.com/jujubehaven/jujubehaven/internal/fakes/target"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	// The blank imports invalidate cached test results when these packages change:
	// the test cache does not track the programs that TestMain builds.
)

const (
	// conditionTimeout bounds each wait for a condition. It only ends a failing
	// test; no test asserts a duration.
	conditionTimeout = 60 * time.Second
	pollInterval     = 20 * time.Millisecond

	dataPort    = 6080
	controlPort = 6081
	adminPort   = 6082
)

// binary and fakes are the paths of the programs, built once by TestMain.
var binary, fakes string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary, fakes = filepath.Join(dir, "jujubehaven"), filepath.Join(dir, "fakes")
	for path, pkg := range map[string]string{binary: "../../cmd/jujubehaven", fakes: "../fakes/cmd/fakes"} {
		build := exec.Command("go", "build", "-o", path, pkg)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "build:", err)
			return 1
		}
	}
	return m.Run()
}

// addressAllocator allocates loopback addresses from a random /24 network, so that
// tests that run at the same time rarely use the same ones.
type addressAllocator struct {
	second, third byte
	last          byte
}

func newAddressAllocator() *addressAllocator {
	return &addressAllocator{second: byte(1 + rand.N(250)), third: byte(1 + rand.N(250))}
}

func (a *addressAllocator) allocate() netip.Addr {
	a.last++
	return netip.AddrFrom4([4]byte{127, a.second, a.third, a.last})
}

// platformServer serves the fake platform over HTTP. It can be stopped and started
// again; the stored data is kept.
type platformServer struct {
	*platform.Platform
	addr string
	http *http.Server
}

func startPlatform(t *testing.T, addr netip.Addr) *platformServer {
	t.Helper()
	p := &platformServer{Platform: platform.New(platform.Options{}), addr: netip.AddrPortFrom(addr, 8500).String()}
	p.start(t)
	t.Cleanup(func() { p.stop(t) })
	return p
}

func (p *platformServer) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", p.addr)
	is.New(t).NoErr(err)
	p.http = &http.Server{Handler: platform.NewServer(p.Platform)}
	go func() { _ = p.http.Serve(listener) }() // returns http.ErrServerClosed after Close
}

func (p *platformServer) stop(t *testing.T) {
	t.Helper()
	is.New(t).NoErr(p.http.Close())
}

// put writes a document directly to the store, bypassing the document commands, as
// an operator can.
func (p *platformServer) put(t *testing.T, doc document.Document) {
	t.Helper()
	text, err := doc.Marshal()
	is.New(t).NoErr(err)
	p.Set(store.DocumentKey(doc.Key()), text)
}

// process is a balancer that runs as a separate process.
type process struct {
	name     string
	zone     string
	addr     netip.Addr
	settings string
	log      buffer.Buffer
	cmd      *exec.Cmd
	done     chan struct{}
}

// cluster is the balancers of one test and the resources that they share.
type cluster struct {
	addrs     *addressAllocator
	authority *authority.Authority
	platform  *platformServer
	fabric    netip.AddrPort
	processes []*process
}

// newCluster starts the platform and prepares one balancer for each zone given;
// the balancers are not started.
func newCluster(t *testing.T, zones ...string) *cluster {
	t.Helper()
	ca, err := authority.New()
	is.New(t).NoErr(err)
	c := &cluster{addrs: newAddressAllocator(), authority: ca}
	c.platform = startPlatform(t, c.addrs.allocate())
	c.fabric = netip.AddrPortFrom(c.addrs.allocate(), dataPort)
	for i, zone := range zones {
		c.processes = append(c.processes, &process{
			name: fmt.Sprintf("%s-%d", zone, i+1), zone: zone, addr: c.addrs.allocate(),
		})
	}
	return c
}

func (p *process) data() netip.AddrPort    { return netip.AddrPortFrom(p.addr, dataPort) }
func (p *process) control() netip.AddrPort { return netip.AddrPortFrom(p.addr, controlPort) }
func (p *process) admin() netip.AddrPort   { return netip.AddrPortFrom(p.addr, adminPort) }

func (c *cluster) writeSettings(t *testing.T, p *process) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	files, err := c.authority.Issue(dir, p.addr)
	is.NoErr(err)
	var seeds []string
	for _, other := range c.processes {
		seeds = append(seeds, other.control().String())
	}
	text := fmt.Sprintf(`host: %s
zone: %s
data: [%s]
control: %s
admin: %s
fabric:
  return: [%s]
  sources: [%s/32]
peers:
  sources: [127.0.0.0/8]
  seeds: [%s]
platform: http://%s
tls: {cert: %s, key: %s, ca: %s}
`, p.name, p.zone, p.data(), p.control(), p.admin(), c.fabric, c.fabric.Addr(),
		strings.Join(seeds, ", "), c.platform.addr, files.Cert, files.Key, files.CA)
	p.settings = filepath.Join(dir, "settings.yaml")
	is.NoErr(os.WriteFile(p.settings, []byte(text), 0o600))
}

// start starts the balancer process, which is killed when the test ends.
func (c *cluster) start(t *testing.T, p *process) {
	t.Helper()
	if p.settings == "" {
		c.writeSettings(t, p)
	}
	p.cmd = exec.Command(binary, "run", "--settings", p.settings, "--workers", "1", "--log-level", "debug")
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	is.New(t).NoErr(p.cmd.Start())
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait() // tests check ProcessState instead
		close(done)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails only if the process has exited
		<-done
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.name, p.log.String())
		}
	})
}

// startAll starts all balancers and waits until each reports that all are serving.
// Until then, new flows skip targets in zones without a serving balancer. The other
// balancers cannot derive the target of such a flow, so the flow is reset if the
// balancer that forwards its packets is killed before it has replicated the flow.
func (c *cluster) startAll(t *testing.T) {
	t.Helper()
	for _, p := range c.processes {
		c.start(t, p)
	}
	for _, p := range c.processes {
		c.waitServing(t, p)
	}
}

// waitServing waits until a balancer is ready and reports that all are serving.
func (c *cluster) waitServing(t *testing.T, p *process) {
	t.Helper()
	waitReady(t, p)
	want := fmt.Sprintf("\njujubehaven_hosts_serving %d\n", len(c.processes))
	eventually(t, p.name+" reports all balancers as serving", func() bool {
		_, text := p.get("/metrics")
		return strings.Contains(text, want)
	})
}

func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	is.New(t).NoErr(p.cmd.Process.Signal(sig))
}

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(conditionTimeout):
		t.Fatalf("%s did not exit", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

func waitReady(t *testing.T, p *process) {
	t.Helper()
	eventually(t, p.name+" is ready", func() bool {
		status, _ := p.get("/readyz")
		return status == http.StatusOK
	})
}

// get sends a GET request to the admin address; status 0 means that the request
// failed, with the error in body.
func (p *process) get(path string) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.admin().String()+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}

// eventually polls condition and fails the test if it is not met within
// conditionTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for condition: %s", what)
}
