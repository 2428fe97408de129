// Package daemon runs one host that steers flows by owner. It passes received
// packets and messages to the balancer and sends the balancer's output.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/balancer"
	"github.com/jujubehaven/jujubehaven/internal/logging"
	"github.com/jujubehaven/jujubehaven/internal/settings"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/jujubehaven/jujubehaven/state/slo"
	"github.com/jujubehaven/jujubehaven/transport/admin"
	"github.com/jujubehaven/jujubehaven/transport/docsource"
	"github.com/jujubehaven/jujubehaven/transport/peerlink"
	"github.com/jujubehaven/jujubehaven/transport/tunnel"
)

// TickInterval is the time between two ticks of the balancer.
const TickInterval = 100 * time.Millisecond

// flowBudgetShare is the fraction of the control budget for flow messages; the
// rest is for heartbeats, documents and handshakes.
const flowBudgetShare = 0.3

// closeTimeout limits the wait for open admin requests at shutdown.
const closeTimeout = time.Second

// Daemon is one load balancer host. Its sockets are open from New until Run
// returns.
type Daemon struct {
	log            zerolog.Logger
	level          logging.LevelHook
	host           peer.Host
	clock          func() time.Duration
	balancer       *balancer.Balancer
	budget         *peerlink.Budget
	links          *peerlink.Links
	tunnel         *tunnel.Server
	docs           *docsource.Source
	admin          *admin.Server
	hellos         pendingHellos
	reportFailures reportFailures
	// services holds the services in force, nil before the first.
	services atomic.Pointer[[]document.Service]
	registry *prometheus.Registry
	slos     *slo.Store

	controlListener, adminListener net.Listener

	// mu guards settings, which Reload changes, and leaving.
	mu       sync.Mutex
	settings settings.Settings
	leaving  bool
}

// New opens the sockets of a host. A Daemon that is not run must be closed.
func New(s settings.Settings, log zerolog.Logger) (*Daemon, error) {
	start := time.Now()
	d := &Daemon{
		settings: s,
		clock:    func() time.Duration { return time.Since(start) },
		host: peer.Host{
			Name: s.Host, Zone: s.Zone, Incarnation: uint64(start.UnixMilli()),
			Relay: s.Data[0].String(), Control: s.Control.String(),
		},
		hellos:         pendingHellos{pending: map[string]bool{}},
		reportFailures: reportFailures{failed: map[uint64]bool{}},
		registry:       prometheus.NewRegistry(),
	}
	d.level.Set(s.LogLevel)
	d.log = log.Hook(&d.level).With().Str("host", s.Host).Logger()
	d.balancer = balancer.New(balancer.Config{
		Host: d.host, Seed: rand.Uint64(), FlowBudget: int(float64(s.Limits.ControlBudget) * flowBudgetShare),
	})
	if err := d.open(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// open creates the components that open sockets or read files.
func (d *Daemon) open() error {
	s := d.settings
	d.budget = peerlink.NewBudget(s.Limits.ControlBudget, s.Limits.ControlBurst)
	keys, err := loadKeys(s.TLS)
	if err != nil {
		return err
	}
	linkMetrics := peerlink.NewMetrics()
	d.links = peerlink.New(peerlink.Config{
		Handler: peerHandler{d}, Budget: d.budget, Keys: keys,
		MaxMessage: s.Limits.MaxMessage, Metrics: linkMetrics, Log: d.log,
	})
	docMetrics := docsource.NewMetrics()
	if d.docs, err = d.newDocuments(docMetrics); err != nil {
		return err
	}
	if d.tunnel, err = d.openTunnel(); err != nil {
		return err
	}
	d.registerMetrics(linkMetrics, docMetrics, d.balancerMetrics())
	d.admin = admin.New(admin.Config{Metrics: d.registry, Ready: d.ready, Documents: d.docs.InForce})
	d.serveBurn()
	if d.controlListener, err = net.Listen("tcp", s.Control.String()); err != nil {
		return errors.Wrap(err, "control")
	}
	if d.adminListener, err = net.Listen("tcp", s.Admin.String()); err != nil {
		return errors.Wrap(err, "admin")
	}
	return nil
}

func loadKeys(t settings.TLS) (*peerlink.Keys, error) {
	if t.Plaintext {
		return nil, nil
	}
	return peerlink.LoadKeys(t.Cert, t.Key, t.CA)
}

// Run serves until leave is done, hands over to the other hosts and closes.
// When abort is done it closes at once. Run returns the error of a socket that
// failed permanently.
func (d *Daemon) Run(leave, abort context.Context) error {
	ctx, cancel := context.WithCancel(abort)
	defer cancel()
	failed := make(chan error, 2)
	var wg sync.WaitGroup
	wg.Go(func() { failed <- d.tunnel.Run() })
	wg.Go(func() { failed <- d.admin.Serve(d.adminListener) })
	wg.Go(func() { d.links.Serve(d.controlListener) })
	wg.Go(func() { d.tickLoop(ctx) })
	wg.Go(func() { d.docs.Run(ctx) })
	wg.Go(func() { d.probeLoop(ctx) })
	wg.Go(func() { d.sloLoop(ctx) })
	d.contactSeeds(ctx, &wg)
	d.log.Info().Str("event", "host_started").Str("zone", d.host.Zone).
		Str("data", d.host.Relay).Str("control", d.host.Control).
		Str("admin", d.adminListener.Addr().String()).Send()

	var err error
	select {
	case err = <-failed:
		d.log.Error().Str("event", "socket_failed").Err(err).Send()
	case <-leave.Done():
		d.handOver(abort)
	case <-abort.Done():
	}
	cancel()
	d.close()
	wg.Wait()
	d.log.Info().Str("event", "host_stopped").Send()
	return err
}

// handOver leaves the set of hosts and waits until the others have taken over
// or the leave limit has passed.
func (d *Daemon) handOver(abort context.Context) {
	d.mu.Lock()
	d.leaving = true
	limit := d.settings.Limits.Leave
	d.mu.Unlock()
	d.log.Info().Str("event", "leave_started").Dur("limit_ms", limit).Send()
	start := d.clock()
	d.balancer.Leave(start)
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for !d.balancer.Left(d.clock()) {
		select {
		case <-abort.Done():
			d.log.Warn().Str("event", "leave_aborted").Dur("after_ms", d.clock()-start).Send()
			return
		case <-ticker.C:
		}
		if d.clock()-start >= limit {
			d.log.Warn().Str("event", "leave_timed_out").Dur("after_ms", d.clock()-start).Send()
			return
		}
	}
	d.log.Info().Str("event", "leave_done").Dur("after_ms", d.clock()-start).Send()
}

// Close closes the sockets of a Daemon that was not run.
func (d *Daemon) Close() { d.close() }

func (d *Daemon) close() {
	if d.tunnel != nil {
		d.logClose("tunnel", d.tunnel.Close())
	}
	if d.links != nil {
		d.links.Close()
	}
	if d.controlListener != nil {
		_ = d.controlListener.Close() // closed by Serve already if it ran
	}
	if d.admin != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		d.logClose("admin", d.admin.Close(ctx))
	}
	if d.adminListener != nil {
		_ = d.adminListener.Close() // closed by the admin server if it ran
	}
}

func (d *Daemon) logClose(part string, err error) {
	if err != nil {
		d.log.Warn().Str("event", "close_failed").Str("part", part).Err(err).Send()
	}
}

// ready returns nil if the host forwards packets of the services in force, or
// the reason why not.
func (d *Daemon) ready() error {
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	if leaving {
		return errors.New("leaving")
	}
	if d.balancer.Ready() {
		return nil
	}
	if !d.docs.Ready() {
		return errors.New("no documents in force")
	}
	return errors.New("joining: does not serve yet, or its peers do not agree yet on who serves")
}

// AdminAddr returns the address of the admin server.
func (d *Daemon) AdminAddr() string { return d.adminListener.Addr().String() }
