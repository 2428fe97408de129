package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the routers and of the start.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
	maxMisses    = 2
	readyTimeout = 20 * time.Second
)

// env is the deployment of one run.
type env struct {
	program, dir                     string
	dataPort, adminPort, controlPort int
	begin                            time.Time
	store                            *kvStore
	hosts                            []*host
	servers                          []*server
	clients                          []*client
	listeners                        []*http.Server
	stop                             chan struct{}
	wg                               sync.WaitGroup

	mu     sync.Mutex
	record *os.File
}

// host is a process of the project's program.
type host struct {
	name, zone, ip string
	cmd            *exec.Cmd
	output         *os.File

	mu     sync.Mutex
	misses int
}

func newEnv(program, record string) (*env, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	return &env{
		program: program, dir: dir, dataPort: ports[0], adminPort: ports[1], controlPort: ports[2], begin: time.Now(),
		store: newStore(), stop: make(chan struct{}), record: f,
	}, nil
}

// freePorts returns ports that are free on the loopback address.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // nothing was accepted
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// close ends all processes and stand-ins.
func (e *env) close() {
	close(e.stop)
	for _, h := range e.hosts {
		h.kill()
	}
	e.wg.Wait()
	for _, s := range e.servers {
		s.close()
	}
	for _, c := range e.clients {
		_ = c.conn.Close()
	}
	for _, l := range e.listeners {
		_ = l.Close()
	}
	_ = os.RemoveAll(e.dir)
	_ = e.record.Close()
}

// logf writes a line to the record.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.record, "%8.3f "+format+"\n", append([]any{time.Since(e.begin).Seconds()}, args...)...)
}

// addHost writes the settings of a host as the deploy file's template has them, and
// starts the host.
func (e *env) addHost(name, zone, ip string, linkMbps float64, seeds []string) (*host, error) {
	storeAddr := fmt.Sprintf("%s:%d", ip, e.dataPort+1)
	l, err := e.store.serve(name, storeAddr)
	if err != nil {
		return nil, err
	}
	e.listeners = append(e.listeners, l)
	list := ""
	for i, seed := range seeds {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed, e.controlPort))
	}
	text := fmt.Sprintf(`steering: token
host: %s
zone: %s
data: ["%s:%d"]
admin: "%s:%d"
control: "%s:%d"
peers:
  seeds: [%s]
link_mbps: %.1f
platform: "http://%s"
limits:
  leave: 2s
`, name, zone, ip, e.dataPort, ip, e.adminPort, ip, e.controlPort, list, linkMbps, storeAddr)
	h := &host{name: name, zone: zone, ip: ip}
	if err := os.WriteFile(filepath.Join(e.dir, name+".yaml"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := e.start(h); err != nil {
		return nil, err
	}
	e.hosts = append(e.hosts, h)
	return h, nil
}

// start starts a host's process.
func (e *env) start(h *host) error {
	out, err := os.Create(filepath.Join(e.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.cmd = exec.Command(e.program, "run", "--settings", filepath.Join(e.dir, h.name+".yaml"))
	h.cmd.Stdout, h.cmd.Stderr, h.output = out, out, out
	e.logf("start %s", h.name)
	return h.cmd.Start()
}

// kill ends a host's process at once.
func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill() // it may have ended
	_ = h.cmd.Wait()
	_ = h.output.Close()
	h.cmd = nil
}

func (e *env) isReady(h *host, c *http.Client) bool {
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, e.adminPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready.
func (e *env) waitReady() error {
	c := &http.Client{Timeout: pollTimeout}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(pollTimeout / 4) {
		ready := 0
		for _, h := range e.hosts {
			if e.isReady(h, c) {
				ready++
			}
		}
		if ready == len(e.hosts) {
			return nil
		}
	}
	return errors.New("not all hosts are ready")
}

// poll polls a host's readiness as the routers do.
func (e *env) poll(h *host) {
	e.wg.Go(func() {
		c := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			ready := e.isReady(h, c)
			h.mu.Lock()
			if ready {
				h.misses = 0
			} else {
				h.misses++
			}
			h.mu.Unlock()
			select {
			case <-e.stop:
				return
			case <-ticker.C:
			}
		}
	})
}

// router returns the choice of the routers for the clients of a zone: by a steady hash
// over the zone's hosts in rotation.
func (e *env) router(zone string) func(netip.AddrPort) (string, bool) {
	return func(flow netip.AddrPort) (string, bool) {
		best, bestRank := "", uint64(0)
		for _, h := range e.hosts {
			h.mu.Lock()
			in := h.misses < maxMisses
			h.mu.Unlock()
			if h.zone != zone || !in {
				continue
			}
			if rank := xxhash.Sum64String(flow.String() + h.name); best == "" || rank > bestRank {
				best, bestRank = h.ip, rank
			}
		}
		return fmt.Sprintf("%s:%d", best, e.dataPort), best != ""
	}
}

// load sends requests of a zone's clients at a rate until the run ends or the duration
// has passed.
func (e *env) load(c *client, service netip.AddrPort, perSecond int, first uint64) {
	e.wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for id := first; ; id++ {
			select {
			case <-e.stop:
				return
			case <-ticker.C:
			}
			e.wg.Go(func() {
				start := time.Now()
				flow, outcome := c.request(service, id)
				e.logf("request %d flow %s via %s: %s after %d ms", id, flow, c.hostOf(flow), outcome, time.Since(start).Milliseconds())
			})
		}
	})
}
