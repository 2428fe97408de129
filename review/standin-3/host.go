package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is what the deploy file starts on a host.
const program = "target/jujubehaven"

// probeInterval is the time between two probes of the router, probeMisses the number of
// misses after which it uses a host no more.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	probeMisses   = 2
)

// host is one machine with a process of the system.
type host struct {
	w              *world
	name, zone, ip string
	dataAddr       netip.AddrPort
	proxy          *proxy
	settings       string

	mu sync.Mutex
	// cmd is the process, nil while there is none; ended is closed at its end.
	cmd   *exec.Cmd
	ended chan struct{}
	// disturbedAt is when the host was last started or hit by a disruption, until when it
	// lasts.
	disturbedUntil time.Time
	inRotation     bool
	misses         int
}

func newHost(w *world, name, zone, ip string) (*host, error) {
	p, err := newProxy(ip, w.storeAddr)
	if err != nil {
		return nil, err
	}
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, err
	}
	return &host{
		w: w, name: name, zone: zone, ip: ip, dataAddr: netip.AddrPortFrom(addr, uint16(w.dataPort)), proxy: p,
		settings: filepath.Join(w.dir, name+".yaml"),
	}, nil
}

// writeSettings writes the settings as deploy/settings.yaml has them.
func (h *host) writeSettings(seeds []string) error {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	text := fmt.Sprintf(`steering: token
host: %s
zone: %s
data: ["%s"]
admin: "%s:%d"
metrics: "%s:%d"
control: "%s:%d"
peers:
  seeds: [%s]
link_mbps: 1000.0
platform: "http://%s"
limits:
  leave: 2s
`, h.name, h.zone, h.dataAddr, h.ip, h.w.readyPort, h.ip, h.w.metricsPort, h.ip, h.w.controlPort, strings.Join(quoted, ","), h.proxy.address())
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process. Its log goes to a file of the temporary folder.
func (h *host) start() error {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own copy
	cmd := exec.Command(program, "run", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.cmd == cmd { // nobody has ended it
			h.cmd = nil
			h.w.broken("FAULT", "host %s ended by itself: %v", h.name, err)
		}
		close(ended)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.ended = cmd, ended
	h.disturbedUntil = time.Now()
	return nil
}

// kill kills the process.
func (h *host) kill() {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.cmd = nil
	h.disturbedUntil = time.Now().Add(time.Hour) // until its next start
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-ended
}

// disturbed records that a disruption of the host ends now.
func (h *host) disturbed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbedUntil = time.Now()
}

// inTouch reports whether the host has been without disruption for contactTime.
func (h *host) inTouch(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd != nil && now.Sub(h.disturbedUntil) >= contactTime
}

// ready asks the host whether it is ready.
func (h *host) ready() bool {
	c := http.Client{Timeout: probeTimeout}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, h.w.readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// probe is the router's probe of the host.
func (h *host) probe() {
	ready := h.ready()
	h.mu.Lock()
	defer h.mu.Unlock()
	if ready {
		h.misses, h.inRotation = 0, true
		return
	}
	h.misses++
	if h.misses >= probeMisses {
		h.inRotation = false
	}
}

func (h *host) used() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inRotation
}

// readsStore reports whether the host's last read of the store is young.
func (h *host) readsStore() bool {
	h.proxy.mu.Lock()
	defer h.proxy.mu.Unlock()
	return time.Since(h.proxy.lastAnswer) < 1500*time.Millisecond
}
