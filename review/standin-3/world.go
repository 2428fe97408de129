package main

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the pages.
const (
	contactTime = 4 * time.Second
	drainBound  = 3 * time.Second
	// A cold backend bears warmup_per_s * warmupExcess + warmupSlack requests in a second.
	warmupExcess = 1.5
	warmupSlack  = 5
)

// kind is a kind of request.
type kind struct {
	name, method, service string
	// work is the mean time of the work on a request, with a spread of 0.5, maxWork its
	// maximum.
	work, maxWork, deadline time.Duration
	// perSecond is the number of requests of all clients, bytes the length of a request.
	perSecond float64
	bytes     int
}

// The kinds of requests, as on the site's sheet. Each has a flow of its own here.
var (
	orders  = &kind{"booth-reserve", "POST", "bron", 52 * time.Millisecond, 310 * time.Millisecond, 4 * time.Second, 83.3, 900}
	feeds   = &kind{"board-stream", "GET", "bron", 40 * time.Millisecond, 240 * time.Millisecond, 3 * time.Second, 60, 0}
	uploads = &kind{"take-upload", "POST", "qabyl", 5 * time.Millisecond, 30 * time.Millisecond, 8 * time.Second, 25, 40000}
	kinds   = []*kind{orders, feeds, uploads}
)

// request is one attempt of a client.
type request struct {
	id          string
	kind        *kind
	route       netip.AddrPort
	from        netip.AddrPort
	zone        string
	resetByHost bool
	resetBy     *backend // guarded by world.mu

	// The fields below are guarded by world.mu.
	sentAt time.Time
	// via is the host that got the last opening, inTouch whether it was in touch then.
	via     *host
	inTouch bool
	// server is the backend at which the flow has opened.
	server *backend
	ranAt  time.Time
	runs   int
	end    outcome
}

// world is everything of a case.
type world struct {
	dir                                           string
	dataPort, readyPort, metricsPort, controlPort int
	backendPort                                   int
	store                                         *store
	storeAddr                                     string
	zones                                         []string
	hosts                                         []*host
	clients                                       map[string][]*client
	routes                                        map[*kind]netip.AddrPort
	stop                                          chan struct{}
	wg                                            sync.WaitGroup
	start                                         time.Time
	out                                           *os.File

	// storeDown is set while the store takes no writes.
	storeDown atomic.Bool
	// coldRate is warmup_per_s, rates the requests a second where a case differs.
	coldRate float64
	rates    map[*kind]float64

	mu       sync.Mutex
	backends []*backend
	requests map[string]*request
	byEnd    map[netip.AddrPort]*request
	lastID   int
	breaks   map[string]int
	version  uint64
}

// freePort returns a port that is free at all addresses.
func freePort(network string) (int, error) {
	if network == "udp" {
		c, err := net.ListenUDP("udp4", nil)
		if err != nil {
			return 0, err
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().(*net.UDPAddr).Port, nil
	}
	l, err := net.Listen("tcp4", ":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// layout is the size of a deployment.
type layout struct {
	zones []string
	// hosts, orderServers and mapServers are numbers in each zone.
	hosts, orderServers, mapServers int
}

// newWorld starts the store, the backends, the hosts and the clients of a deployment.
func newWorld(dir, record string, c *testCase) (*world, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, store: newStore(), zones: c.layout.zones, coldRate: c.coldRate, rates: c.rates, clients: map[string][]*client{}, routes: map[*kind]netip.AddrPort{},
		stop: make(chan struct{}), start: time.Now(), out: out,
		requests: map[string]*request{}, byEnd: map[netip.AddrPort]*request{}, breaks: map[string]int{},
	}
	for _, p := range []struct {
		port    *int
		network string
	}{{&w.dataPort, "udp"}, {&w.controlPort, "udp"}, {&w.backendPort, "udp"}, {&w.readyPort, "tcp"}, {&w.metricsPort, "tcp"}} {
		if *p.port, err = freePort(p.network); err != nil {
			return nil, err
		}
	}
	if _, w.storeAddr, err = w.store.serve("127.9.0.1"); err != nil {
		return nil, err
	}
	for i, k := range kinds {
		w.routes[k] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, 0, byte(i + 1)}), 8443)
	}
	w.configure()
	return w, w.populate(c.layout)
}

func (w *world) populate(l layout) error {
	n := 0
	for z, zone := range l.zones {
		for i := range l.orderServers + l.mapServers {
			service := "bron"
			if i >= l.orderServers {
				service = "qabyl"
			}
			if _, err := w.addBackend(service, zone); err != nil {
				return err
			}
		}
		for i := range l.hosts {
			h, err := newHost(w, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, fmt.Sprintf("127.1.%d.%d", z+1, i+1))
			if err != nil {
				return err
			}
			w.hosts = append(w.hosts, h)
		}
		for i := range 6 {
			c, err := newClient(w, zone, fmt.Sprintf("127.3.%d.%d", z+1, i+1))
			if err != nil {
				return err
			}
			w.clients[zone] = append(w.clients[zone], c)
		}
		n++
	}
	var seeds []string
	for i := 0; i < len(w.hosts) && len(seeds) < 3; i += l.hosts {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.hosts[i].ip, w.controlPort))
	}
	for _, h := range w.hosts {
		if err := h.writeSettings(seeds); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	w.wg.Add(1)
	go w.probeHosts()
	return nil
}

// addBackend starts a backend.
func (w *world) addBackend(service, zone string) (*backend, error) {
	w.mu.Lock()
	n := len(w.backends) + 1
	w.mu.Unlock()
	b, err := newBackend(w, fmt.Sprintf("i-%08x", rand.Uint32()), service, zone, fmt.Sprintf("127.2.0.%d", n), w.backendPort, 0)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends = append(w.backends, b)
	return b, nil
}

// backendsOf returns the backends of a service in a zone that neither drain nor have
// ended.
func (w *world) backendsOf(service, zone string) []*backend {
	w.mu.Lock()
	all := append([]*backend(nil), w.backends...)
	w.mu.Unlock()
	var list []*backend
	for _, b := range all {
		b.mu.Lock()
		if b.service == service && b.zone == zone && b.state == "ready" && !b.stopped {
			list = append(list, b)
		}
		b.mu.Unlock()
	}
	return list
}

func (w *world) probeHosts() {
	defer w.wg.Done()
	for {
		for _, h := range w.hosts {
			go h.probe()
		}
		if !sleepUnless(w.stop, probeInterval) {
			return
		}
	}
}

// route returns the host that a flow's next packet goes to.
func (w *world) route(zone string, from netip.AddrPort) *host {
	var all, used, anywhere []*host
	for _, h := range w.hosts {
		in := h.used()
		if h.zone == zone {
			all = append(all, h)
			if in {
				used = append(used, h)
			}
		} else if in {
			anywhere = append(anywhere, h)
		}
	}
	switch {
	case len(used) == 0 && len(anywhere) > 0:
		used = anywhere
	case 2*len(used) < len(all):
		used = all
	}
	if len(used) == 0 {
		used = w.hosts
	}
	var best *host
	var rank uint64
	for _, h := range used {
		sum := fnv.New64a()
		_, _ = fmt.Fprint(sum, from, h.name) // a hash never fails
		if r := sum.Sum64() * 0x9e3779b97f4a7c15; best == nil || r > rank {
			best, rank = h, r
		}
	}
	return best
}

// waitReady waits until all hosts are used by the router.
func (w *world) waitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := true
		for _, h := range w.hosts {
			ready = ready && h.used()
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("not all hosts are ready after %v", timeout)
}

// traffic sends the requests of all kinds until the end of the case.
func (w *world) traffic() {
	for _, k := range kinds {
		for _, zone := range w.zones {
			for _, c := range w.clients[zone] {
				w.wg.Add(1)
				perSecond := k.perSecond
				if rate, ok := w.rates[k]; ok {
					perSecond = rate
				}
				go w.sendRequests(c, k, perSecond/float64(len(w.zones)*len(w.clients[zone])))
			}
		}
	}
}

func (w *world) sendRequests(c *client, k *kind, perSecond float64) {
	defer w.wg.Done()
	for {
		if !sleepUnless(w.stop, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second))) {
			return
		}
		w.mu.Lock()
		w.lastID++
		r := &request{id: fmt.Sprintf("q%06d", w.lastID), kind: k, route: w.routes[k], zone: c.zone}
		w.requests[r.id] = r
		w.mu.Unlock()
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			c.attempt(r)
		}()
	}
}

// workTime is the time of the work on a request.
func (w *world) workTime(id string) time.Duration {
	w.mu.Lock()
	k := w.requests[id].kind
	w.mu.Unlock()
	return min(time.Duration(float64(k.work)*math.Exp(0.5*rand.NormFloat64()-0.125)), k.maxWork)
}

func (w *world) started(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byEnd[r.from] = r
}

// sent records that an opening was sent to a host.
func (w *world) sent(r *request, h *host) {
	now := time.Now()
	touch := h.inTouch(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.sentAt.IsZero() {
		r.sentAt = now
	}
	r.via, r.inTouch = h, touch
}

// taken records that a backend has taken an opening.
func (w *world) taken(from netip.AddrPort, b *backend) {
	now := time.Now()
	w.judgeCold(b, now)
	w.mu.Lock()
	r := w.byEnd[from]
	w.mu.Unlock()
	if r != nil && !b.drainedAt.IsZero() { // b.mu is held
		if late := now.Sub(b.drainedAt); late > drainBound {
			w.tookLate(r, b, late)
		}
	}
}

// judgeCold counts the openings of the last second at a cold backend. b.mu is held.
func (w *world) judgeCold(b *backend, now time.Time) {
	if !now.Before(b.coldUntil) {
		return
	}
	b.openings = append(b.openings, now)
	for len(b.openings) > 0 && now.Sub(b.openings[0]) > time.Second {
		b.openings = b.openings[1:]
	}
	b.most = max(b.most, len(b.openings))
	if n := len(b.openings); float64(n) > w.coldRate*warmupExcess+warmupSlack {
		w.broken("FAILBACK", "backend %s, cold for %d ms more, has got %d openings in a second", b.id, b.coldUntil.Sub(now).Milliseconds(), n)
	}
}

// tookLate judges an opening that came to a backend later than drainBound after the store
// has accepted that it drains.
func (w *world) tookLate(r *request, b *backend, late time.Duration) {
	w.mu.Lock()
	via, touch := r.via, r.inTouch
	w.mu.Unlock()
	if !touch || !via.inTouch(time.Now()) {
		w.record("request %s reached %s %d ms after it drained, through %s, which is not in touch", r.id, b.id, late.Milliseconds(), via.name)
		return
	}
	w.broken("DRAIN", "request %s (%s) reached %s %d ms after the store accepted that it drains, through %s", r.id, r.kind.name, b.id, late.Milliseconds(), via.name)
}

// opened records that a flow has opened at a backend.
func (w *world) opened(from netip.AddrPort, b *backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.byEnd[from]; r != nil {
		r.server = b
	}
}

// ran records that a backend begins to work on a request.
func (w *world) ran(id string, b *backend) {
	w.mu.Lock()
	r := w.requests[id]
	if r == nil {
		w.mu.Unlock()
		w.broken("UNASKED", "backend %s runs the request %q, which no client sent", b.id, id)
		return
	}
	r.runs++
	runs := r.runs
	r.ranAt = time.Now()
	via := r.via
	w.mu.Unlock()
	if b.service != r.kind.service {
		w.broken("ROUTE", "request %s (%s, for %s) runs at %s of %s, through %s", id, r.kind.name, r.kind.service, b.id, b.service, via.name)
	}
	if runs > 1 {
		w.broken("TWICE", "request %s has run %d times", id, runs)
	}
}

// resetBy records that a backend resets a flow because it does not hold it.
func (w *world) resetBy(from netip.AddrPort, b *backend) {
	w.mu.Lock()
	r := w.byEnd[from]
	var server *backend
	if r != nil {
		server = r.server
	}
	w.mu.Unlock()
	if server != nil && server != b && !server.hasEnded() {
		w.record("request %s, whose flow is open at %s: a packet has reached %s, which resets the flow", r.id, server.id, b.id)
		w.mu.Lock()
		r.resetBy = b
		w.mu.Unlock()
	}
}

// finished records how an attempt ended.
func (w *world) finished(r *request, end outcome) {
	w.mu.Lock()
	r.end = end
	server := r.server
	delete(w.byEnd, r.from)
	via := r.via
	w.mu.Unlock()
	if end == answered {
		return
	}
	at := "-"
	if server != nil {
		at = server.id
	}
	w.record("request %s (%s) sent through %s: %s; opened at %s, ran %d times", r.id, r.kind.name, via.name, end, at, r.runs)
	w.mu.Lock()
	by := r.resetBy
	w.mu.Unlock()
	if end == reset && by != nil && !server.hasEnded() {
		w.broken("FLOW", "request %s: %s has reset its flow, which is open at %s", r.id, by.id, server.id)
	}
	if end == reset && r.resetByHost && server != nil && !server.hasEnded() && via.inTouch(time.Now()) {
		w.broken("FLOW", "request %s: a host reset the flow while %s lives", r.id, server.id)
	}
}

func (b *backend) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// record writes a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...)) // a lost line is only a lost line
}

// broken records that a rule is broken.
func (w *world) broken(rule, format string, args ...any) {
	w.mu.Lock()
	w.breaks[rule]++
	w.mu.Unlock()
	w.record("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// finish ends everything and returns the number of breaks of each rule.
func (w *world) finish() map[string]int {
	close(w.stop)
	w.wg.Wait()
	for _, h := range w.hosts {
		h.kill()
		h.proxy.close()
	}
	w.mu.Lock()
	all := append([]*backend(nil), w.backends...)
	w.mu.Unlock()
	ends := map[outcome]int{}
	ran := 0
	for _, r := range w.requests {
		ends[r.end]++
		ran += r.runs
	}
	w.record("%d requests were sent, %d ran; how they ended: %v; broken: %v", len(w.requests), ran, ends, w.breaks)
	for _, b := range all {
		b.end()
	}
	w.keepLogs()
	return w.breaks
}

// keepLogs copies what the hosts logged of the store and of their view into the record.
func (w *world) keepLogs() {
	for _, h := range w.hosts {
		b, err := os.ReadFile(h.settings + ".log")
		if err == nil && os.Getenv("KEEP_LOGS") != "" {
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), h.name+".log"), b, 0o600) // for a reader only
		}
	}
	_ = w.out.Close()
}
