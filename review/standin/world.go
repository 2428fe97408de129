package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	// maxMisses is the number of missed probes after which a host is out of rotation.
	maxMisses = 2
	// stopGrace is the time between SIGTERM and SIGKILL.
	stopGrace = 6 * time.Second
	startTime = 20 * time.Second
)

// world is one deployment: the store, the hosts, the back ends and the clients.
type world struct {
	rec      *record
	balancer string
	temp     string
	prefix   string
	dataPort uint16
	adminAt  int
	gossipAt int
	// apart is set if the hosts of different zones do not know each other.
	apart    bool
	store    *store
	routers  *routers
	hosts    []*host
	backends []*backend
	clients  map[string]*clients
	nextID   atomic.Uint64

	mu sync.Mutex
	// opened maps each open flow to its back end, ran each request to the back ends that
	// ran it.
	opened map[ends]*backend
	ran    map[uint64][]string
	// cutZone is the zone that is cut off, empty if none is.
	cutZone string
}

func newWorld(balancer, temp string, rec *record) (*world, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	base := 20000 + rand.IntN(10000)
	w := &world{
		rec: rec, balancer: balancer, temp: temp, store: s, clients: map[string]*clients{}, opened: map[ends]*backend{}, ran: map[uint64][]string{},
		prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(256)), dataPort: uint16(base), adminAt: base + 1, gossipAt: base + 2,
	}
	w.routers = &routers{w: w, client: &http.Client{Timeout: probeInterval - 50*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}}
	return w, nil
}

func (w *world) addr(n, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s%d:%d", w.prefix, n, port))
}

// close ends all processes and sockets.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
		h.link.close()
	}
	for _, b := range w.backends {
		_ = b.conn.Close()
	}
	for _, c := range w.clients {
		_ = c.conn.Close()
	}
	w.store.close()
}

// flowOpened records that a back end has the end of a flow's handshake.
func (w *world) flowOpened(key ends, b *backend) {
	w.mu.Lock()
	w.opened[key] = b
	w.mu.Unlock()
}

// openedAt returns the back end at which a flow is open, nil if it is not.
func (w *world) openedAt(key ends) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened[key]
}

// requestRan records that a back end began to work on a request.
func (w *world) requestRan(id uint64, b *backend) {
	w.rec.logf("request %d runs at %s", id, b.id)
	w.mu.Lock()
	w.ran[id] = append(w.ran[id], b.id)
	w.mu.Unlock()
}

// addHosts starts hosts of a zone.
func (w *world) addHosts(zone string, n int) error {
	for range n {
		i := len(w.hosts) + 1
		h := &host{w: w, name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, data: w.addr(i, int(w.dataPort)), admin: w.addr(i, w.adminAt)}
		h.settings = filepath.Join(w.temp, h.name+".yaml")
		link, err := newProxy(w.store.addr())
		if err != nil {
			return err
		}
		h.link = link
		const deadHost = 250
		seeds := [2]int{1, 2}
		if w.apart {
			seeds = [2]int{deadHost, deadHost + 1}
		}
		text := fmt.Sprintf(`steering: token
host: %s
zone: %s
data: [%q]
admin: %q
metrics: %q
control: %q
peers:
  seeds: [%q, %q]
link_mbps: 1000.0
platform: "http://%s"
limits:
  leave: 2s
`, h.name, zone, h.data, h.admin, w.addr(i, w.gossipAt+1), w.addr(i, w.gossipAt), w.addr(seeds[0], w.gossipAt), w.addr(seeds[1], w.gossipAt), link.addr())
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// addBackends starts back ends of a service in a zone.
func (w *world) addBackends(service, zone string, n int) error {
	const firstBackend, port = 100, 8080
	for range n {
		b, err := newBackend(w, w.addr(firstBackend+len(w.backends), port), service, zone)
		if err != nil {
			return err
		}
		w.backends = append(w.backends, b)
	}
	return nil
}

// addClients adds the clients of a zone.
func (w *world) addClients(zone string) error {
	const firstClient = 60
	c, err := newClients(w, zone, w.addr(firstClient+len(w.clients), 1).Addr())
	w.clients[zone] = c
	return err
}

// waitReady waits until all hosts are ready.
func (w *world) waitReady() error {
	go w.routers.run()
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, h := range w.hosts {
			ready = ready && h.inRotation()
		}
		if ready {
			return nil
		}
	}
	return errors.New("the hosts did not become ready")
}

// setCut cuts a zone off from the other zones and from the store, or ends the cut.
// Clients still reach it.
func (w *world) setCut(zone string, cut bool) {
	w.mu.Lock()
	w.cutZone = ""
	if cut {
		w.cutZone = zone
	}
	w.mu.Unlock()
	for _, h := range w.hosts {
		if h.zone == zone {
			h.link.setCut(cut)
		}
	}
}

// isCut reports whether packets between a host's address and a zone are lost.
func (w *world) isCut(from netip.Addr, zone string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutZone == "" {
		return false
	}
	for _, h := range w.hosts {
		if h.data.Addr() == from {
			return (h.zone == w.cutZone) != (zone == w.cutZone)
		}
	}
	return false
}

// reachesStore reports whether the back ends of a zone reach the store.
func (w *world) reachesStore(zone string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutZone != zone
}

// printHostLogs prints the last output of the hosts.
func (w *world) printHostLogs() {
	const tail = 2000
	for _, h := range w.hosts {
		b, _ := os.ReadFile(h.output())
		fmt.Fprintf(os.Stderr, "== %s\n%s\n", h.name, b[max(len(b)-tail, 0):])
	}
}

// host is a host of the balancer, a process of its own.
type host struct {
	w        *world
	name     string
	zone     string
	data     netip.AddrPort
	admin    netip.AddrPort
	settings string
	// link carries the host's connections to the store.
	link *proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	misses int
}

func (h *host) output() string { return filepath.Join(h.w.temp, h.name+".log") }

func (h *host) start() error {
	out, err := os.OpenFile(h.output(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command(h.w.balancer, "run", "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.misses = maxMisses
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(h.cmd, h.exited)
	h.w.rec.logf("%s is started", h.name)
	return nil
}

// terminate sends SIGTERM, waits for the end of the process and kills it after the
// grace.
func (h *host) terminate() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	h.w.rec.logf("%s gets SIGTERM", h.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		_ = cmd.Process.Kill()
		<-exited
	}
	h.w.rec.logf("%s has ended", h.name)
}

func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil || cmd.Process == nil || exited == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.misses < maxMisses
}

// routers are the platform's routers.
type routers struct {
	w      *world
	client *http.Client
}

// run probes the hosts twice a second.
func (r *routers) run() {
	for _, h := range r.w.hosts {
		go func() {
			time.Sleep(rand.N(probeInterval))
			ticker := time.NewTicker(probeInterval)
			defer ticker.Stop()
			for {
				r.probe(h)
				<-ticker.C
			}
		}()
	}
}

func (r *routers) probe(h *host) {
	resp, err := r.client.Get("http://" + h.admin.String() + "/readyz")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	h.mu.Lock()
	before := h.misses < maxMisses
	h.misses++
	if ok {
		h.misses = 0
	}
	after := h.misses < maxMisses
	h.mu.Unlock()
	if before != after {
		r.w.rec.logf("%s in rotation: %t", h.name, after)
	}
}

// choose returns the host that gets a packet of a flow.
func (r *routers) choose(zone string, key ends) *host {
	var own, rotation, others []*host
	for _, h := range r.w.hosts {
		in := h.inRotation()
		switch {
		case h.zone == zone:
			own = append(own, h)
			if in {
				rotation = append(rotation, h)
			}
		case in:
			others = append(others, h)
		}
	}
	list := rotation
	switch {
	case len(rotation) == 0 && len(others) > 0:
		list = nearest(zone, others)
	case 2*len(rotation) < len(own):
		list = own
	}
	best, bestHash := list[0], uint64(0)
	for _, h := range list {
		hash := fnv.New64a()
		_, _ = fmt.Fprintf(hash, "%s %s %s", key.client, key.route, h.name)
		if v := mix(hash.Sum64()); v > bestHash {
			best, bestHash = h, v
		}
	}
	return best
}

// mix spreads the bits of a hash.
func mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// nearest returns the hosts of the zone that comes next in the order of names.
func nearest(zone string, hosts []*host) []*host {
	next := ""
	for _, h := range hosts {
		if h.zone > zone && (next == "" || next < zone || h.zone < next) {
			next = h.zone
		} else if h.zone < zone && (next == "" || (next < zone && h.zone < next)) {
			next = h.zone
		}
	}
	var list []*host
	for _, h := range hosts {
		if h.zone == next {
			list = append(list, h)
		}
	}
	return list
}
