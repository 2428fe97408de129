package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/changes"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/daemon"
	"github.com/jujubehaven/jujubehaven/internal/fakes/authority"
	"github.com/jujubehaven/jujubehaven/internal/fakes/caller"
	"github.com/jujubehaven/jujubehaven/internal/fakes/fabric"
	"github.com/jujubehaven/jujubehaven/internal/fakes/gue"
	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	"github.com/jujubehaven/jujubehaven/internal/fakes/target"
	"github.com/jujubehaven/jujubehaven/internal/settings"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

const (
	dataPort    = 6080
	controlPort = 6081
	adminPort   = 6082
	// storeTimeout bounds a call to the fake platform.
	storeTimeout = 2 * time.Second
	// readyTimeout bounds the start of all balancers.
	readyTimeout = 30 * time.Second
	// readyPoll is the interval at which a balancer's readiness is queried.
	readyPoll = 50 * time.Millisecond
)

// service is the address of the service, callerAddr that of the callers and
// callerRoute the route back to them.
var (
	service     = netip.MustParseAddrPort("192.0.2.1:443")
	callerAddr  = netip.MustParseAddr("198.51.100.1")
	callerRoute = netip.MustParsePrefix("198.51.100.0/24")
)

// host is one balancer. abort stops it at once; done is closed when it has
// stopped.
type host struct {
	name, zone string
	addr       netip.Addr
	source     settings.Source
	abort      context.CancelFunc
	done       chan struct{}
}

func (h *host) data() netip.AddrPort    { return netip.AddrPortFrom(h.addr, dataPort) }
func (h *host) control() netip.AddrPort { return netip.AddrPortFrom(h.addr, controlPort) }
func (h *host) admin() netip.AddrPort   { return netip.AddrPortFrom(h.addr, adminPort) }

// system holds the balancers and fakes of one run.
type system struct {
	cfg      Config
	dir      string
	platform *platform.Platform
	http     *http.Server
	baseURL  string
	writer   *changes.Writer
	fabric   *fabric.Fabric
	caller   *caller.Caller
	targets  []*target.Target
	zoneOf   map[string]string
	hosts    []*host
	wg       sync.WaitGroup
	network  [2]byte
	nextAddr byte
}

// newSystem starts all fakes and balancers; close stops them.
func newSystem(cfg Config) (*system, error) {
	s := &system{cfg: cfg, zoneOf: make(map[string]string)}
	s.network = [2]byte{byte(1 + rand.N(250)), byte(1 + rand.N(250))}
	if err := s.start(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) start() error {
	var err error
	if s.dir, err = os.MkdirTemp("", "jujubehaven-bench"); err != nil {
		return err
	}
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.startNetwork(); err != nil {
		return err
	}
	if err := s.startTargets(); err != nil {
		return err
	}
	return s.startHosts()
}

// nextLoopbackAddr returns the next unused loopback address of the run.
func (s *system) nextLoopbackAddr() netip.Addr {
	s.nextAddr++
	return netip.AddrFrom4([4]byte{127, s.network[0], s.network[1], s.nextAddr})
}

func (s *system) zone(i int) string { return fmt.Sprintf("zone-%d", i%s.cfg.Zones+1) }

func (s *system) startPlatform() error {
	s.platform = platform.New(platform.Options{})
	listener, err := net.Listen("tcp", netip.AddrPortFrom(s.nextLoopbackAddr(), 0).String())
	if err != nil {
		return err
	}
	s.baseURL = "http://" + listener.Addr().String()
	s.http = &http.Server{Handler: platform.NewServer(s.platform)}
	s.wg.Go(func() { _ = s.http.Serve(listener) }) // ends with the error of Close
	change := 0
	newID := func() string {
		change++
		return fmt.Sprintf("bench-%d", change)
	}
	s.writer = changes.NewWriter(platform.NewMemory(s.platform, storeTimeout), newID, changes.Options{})
	return nil
}

// startNetwork starts the fabric and the callers.
func (s *system) startNetwork() error {
	var err error
	if s.caller, err = caller.New(caller.Config{
		Listen: netip.AddrPortFrom(s.nextLoopbackAddr(), 0), Addr4: callerAddr,
	}); err != nil {
		return err
	}
	s.wg.Go(func() { _ = s.caller.Run() }) // ends at close
	s.fabric, err = fabric.New(fabric.Config{
		Listen: netip.AddrPortFrom(s.nextLoopbackAddr(), dataPort), Routes: s.routes(), Seed: s.cfg.Seed,
	})
	if err != nil {
		return err
	}
	s.wg.Go(func() { _ = s.fabric.Run() }) // ends at close
	s.caller.SetFabric(s.fabric.Addr())
	return nil
}

func (s *system) routes() gue.Routes {
	return gue.Routes{{Prefix: callerRoute, Via: s.caller.Addr()}}
}

// startTargets starts the targets and writes the documents.
func (s *system) startTargets() error {
	address := document.Address{AddrPort: service, Protocol: packet.ProtoTCP}
	doc := document.Service{
		Name: "bench", Team: "bench", Generation: 1, Change: "bench-start",
		Addresses:  []document.Address{address},
		Objectives: document.Objectives{Window: time.Hour, FlowsNotBroken: 0.999, NewFlowsServed: 0.999},
	}
	for i := range s.cfg.Zones * s.cfg.TargetsPerZone {
		name, zone := fmt.Sprintf("target-%02d", i+1), s.zone(i)
		t, err := target.New(target.Config{
			Name: name, Listen: netip.AddrPortFrom(s.nextLoopbackAddr(), dataPort),
			Services: doc.Addresses, Routes: s.routes(),
		})
		if err != nil {
			return err
		}
		s.wg.Go(func() { _ = t.Run() }) // ends at close
		s.targets = append(s.targets, t)
		s.zoneOf[name] = zone
		doc.Targets = append(doc.Targets, document.Target{
			Name: name, Zone: zone, Tunnel: t.Addr(), Weight: 1, State: document.TargetActive,
			Limits: document.Limits{Connections: 2000, OpeningsInFlight: 100, OpeningsPerSecond: 1000},
			Ramp:   5 * time.Second,
		})
	}
	zones := document.Zones{Generation: 1, Change: "bench-zones"}
	for i := range s.cfg.Zones {
		zones.Zones = append(zones.Zones, document.Zone{Name: s.zone(i), State: document.ZoneIn})
	}
	if err := s.put(document.Document{Zones: &zones}); err != nil {
		return err
	}
	return s.put(document.Document{Service: &doc})
}

func (s *system) put(doc document.Document) error {
	text, err := doc.Marshal()
	if err != nil {
		return err
	}
	s.platform.Set(store.DocumentKey(doc.Key()), text)
	return nil
}

// startHosts starts all balancers and waits until they are ready.
func (s *system) startHosts() error {
	ca, err := authority.New()
	if err != nil {
		return err
	}
	for i := range s.cfg.Zones * s.cfg.HostsPerZone {
		s.hosts = append(s.hosts, &host{name: fmt.Sprintf("host-%02d", i+1), zone: s.zone(i), addr: s.nextLoopbackAddr()})
	}
	var data []netip.AddrPort
	for _, h := range s.hosts {
		if err := s.configure(ca, h); err != nil {
			return err
		}
		if err := s.run(h); err != nil {
			return err
		}
		data = append(data, h.data())
	}
	s.fabric.SetBalancers(data)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, h := range s.hosts {
		if err := h.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// configure issues the certificate of a balancer and sets its settings.
func (s *system) configure(ca *authority.Authority, h *host) error {
	dir, err := os.MkdirTemp(s.dir, h.name)
	if err != nil {
		return err
	}
	files, err := ca.Issue(dir, h.addr)
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range s.hosts {
		seeds = append(seeds, other.control().String())
	}
	values := map[string]string{
		"host": h.name, "zone": h.zone, "data": h.data().String(),
		"control": h.control().String(), "admin": h.admin().String(),
		"fabric-return": s.fabric.Addr().String(), "fabric-sources": s.fabric.Addr().Addr().String() + "/32",
		"peers-sources": "127.0.0.0/8", "peers-seeds": strings.Join(seeds, ","),
		"platform": s.baseURL, "workers": "1", "log-level": "error",
		"tls-cert": files.Cert, "tls-key": files.Key, "tls-ca": files.CA,
	}
	h.source = settings.Source{LookupFlag: func(name string) (string, bool) {
		v, ok := values[name]
		return v, ok
	}}
	return nil
}

// run starts the balancer in this process from its settings.
func (s *system) run(h *host) error {
	loaded, err := settings.Load(h.source)
	if err != nil {
		return err
	}
	d, err := daemon.New(loaded, zerolog.Nop())
	if err != nil {
		return errors.Wrapf(err, "start %s", h.name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.abort, h.done = cancel, make(chan struct{})
	done := h.done
	s.wg.Go(func() {
		defer close(done)
		_ = d.Run(context.Background(), ctx) // ends at kill or close
	})
	return nil
}

// kill stops a balancer without notice to the others.
func (h *host) kill() {
	h.abort()
	<-h.done
}

func (h *host) waitReady(ctx context.Context) error {
	for {
		if h.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%s did not become ready", h.name)
		case <-time.After(readyPoll):
		}
	}
}

// setZone takes a zone out or returns it.
func (s *system) setZone(zone string, state document.ZoneState) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, err := s.writer.SetZone(ctx, zone, state, 0)
	return err
}

// close stops everything that was started.
func (s *system) close() {
	for _, h := range s.hosts {
		if h.abort != nil {
			h.abort()
		}
	}
	if s.caller != nil {
		_ = s.caller.Close() // the error does not matter at the end of a run
	}
	if s.fabric != nil {
		_ = s.fabric.Close() // as above
	}
	for _, t := range s.targets {
		_ = t.Close() // as above
	}
	if s.http != nil {
		_ = s.http.Close() // as above
	}
	s.wg.Wait()
	_ = os.RemoveAll(s.dir) // leftover temporary files do no harm
}
