// Package tokenhost runs one host that steers flows by token. It connects the
// packet path, the follower of the platform's store, the gossip exchange with
// other hosts and the admin server.
package tokenhost

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/logging"
	"github.com/jujubehaven/jujubehaven/internal/settings"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/explain"
	wire "github.com/jujubehaven/jujubehaven/protocol/gossip"
	"github.com/jujubehaven/jujubehaven/protocol/report"
	"github.com/jujubehaven/jujubehaven/transport/admin"
	"github.com/jujubehaven/jujubehaven/transport/direct"
	"github.com/jujubehaven/jujubehaven/transport/follow"
	"github.com/jujubehaven/jujubehaven/transport/gossip"
)

// closeTimeout limits the wait for open admin requests at shutdown.
const closeTimeout = 200 * time.Millisecond

// Dependencies holds the platform-specific components of a host.
type Dependencies struct {
	// Feed reads the platform's store, Keys names its key prefixes and Decoder
	// decodes its entries.
	Feed    store.Feed
	Keys    fleet.Keys
	Decoder fleet.Decoder
	// Codec decodes and encodes packets on the data socket.
	Codec direct.Codec
	// LinesDropped returns the number of log lines dropped so far; it may be nil.
	LinesDropped func() int64
}

// Host is one load balancer host. Its sockets are open from New until Run
// returns.
type Host struct {
	log          zerolog.Logger
	level        logging.LevelHook
	start        time.Time
	packets      *direct.Server
	follower     *follow.Follower
	exchange     *gossip.Exchange
	admin        *admin.Server
	decisions    *decisionLog
	registry     *prometheus.Registry
	leaving      atomic.Bool
	linesDropped func() int64

	// mu guards settings, which Reload changes, and lastReady, the result of the
	// last readiness check.
	mu        sync.Mutex
	settings  settings.Settings
	lastReady bool

	adminListener, metricsListener net.Listener
}

// New opens the sockets of a host. A Host that is not run must be closed.
func New(s settings.Settings, log zerolog.Logger, deps Dependencies) (*Host, error) {
	h := &Host{
		start: time.Now(), settings: s, registry: prometheus.NewRegistry(), linesDropped: deps.LinesDropped,
	}
	h.level.Set(s.LogLevel)
	h.log = log.Hook(&h.level).With().Str("host", s.Host).Logger()
	h.decisions = newDecisionLog(h.log, h.clock)
	var err error
	h.packets, err = direct.New(direct.Config{
		Listen: s.Data[0], Codec: deps.Codec, Observer: h.decisions, Clock: h.clock, CompleteTo: h.completeTo,
		Steering: steering.New(steering.Config{
			Zone: s.Zone, Events: h.decisions.logTargetEvent, ZoneEvents: h.decisions.logZoneEvent,
			ShareEvents: h.decisions.logShareEvent,
			CompleteTo:  h.viewCompleteTo, Refresh: h.refresh, Balancing: steering.Balancing(s.Balancing),
		}),
	})
	if err != nil {
		return nil, err
	}
	if err := h.openExchange(); err != nil {
		h.Close()
		return nil, err
	}
	h.follower = follow.New(follow.Config{
		Feed: deps.Feed, Keys: deps.Keys, Decoder: deps.Decoder,
		Publish: h.packets.SetView, Clock: h.clock, Log: h.log, Peers: h.peers(),
	})
	h.registry.MustRegister(newCollector(h), h.decisions.handshakes, h.decisions.answers,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	h.admin = admin.New(admin.Config{Metrics: h.registry, Ready: h.checkReady, Documents: noDocuments})
	h.admin.Handle("GET "+explain.Path, newExplainHandler(h))
	h.admin.Handle("GET "+report.CapacityPath, http.HandlerFunc(h.serveCapacity))
	if err := h.listen(); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// openExchange opens the gossip exchange with the other hosts if the settings
// have a control address.
func (h *Host) openExchange() error {
	s := h.settings
	if !s.Control.IsValid() {
		return nil
	}
	var targets func() []allotment.Target
	if s.Balancing.Allotments {
		targets = func() []allotment.Target { return h.packets.Stats().Allotment.Targets }
	}
	var err error
	h.exchange, err = gossip.New(gossip.Config{
		Listen: s.Control, Seeds: seedAddrs(s), Local: local{h}, Targets: targets, CrossZone: s.Balancing.CrossZone, Clock: h.clock, Log: h.log,
		Self: wire.Host{
			Name: s.Host, Zone: s.Zone, Addr: s.Control, Started: h.start.UnixNano(),
			Protocol: wire.Protocol, LinkMbps: s.LinkMbps,
		},
	})
	return err
}

// seedAddrs returns the control addresses of the seeds, without this host's
// own. All hosts use the same control port.
func seedAddrs(s settings.Settings) []netip.AddrPort {
	seeds := make([]netip.AddrPort, 0, len(s.Peers.Seeds))
	for _, seed := range s.Peers.Seeds {
		if addr := netip.AddrPortFrom(seed.Addr(), s.Control.Port()); addr != s.Control {
			seeds = append(seeds, addr)
		}
	}
	return seeds
}

// peers returns the gossip exchange, or a nil interface if there is none.
func (h *Host) peers() follow.Peers {
	if h.exchange == nil {
		return nil
	}
	return h.exchange
}

func (h *Host) listen() error {
	var err error
	if h.adminListener, err = net.Listen("tcp", h.settings.Admin.String()); err != nil {
		return errors.Wrap(err, "admin")
	}
	if !h.settings.Metrics.IsValid() {
		return nil
	}
	h.metricsListener, err = net.Listen("tcp", h.settings.Metrics.String())
	return errors.Wrap(err, "metrics")
}

// noDocuments returns an empty list of documents in force: the platform's store
// holds configurations instead.
func noDocuments() document.InForceList { return document.InForceList{} }

func (h *Host) clock() time.Duration { return time.Since(h.start) }

// Run serves until leave is done. The host then reports that it is not ready,
// continues to serve for the leave limit so that the fabric stops sending to
// it, and closes. When abort is done it closes at once. Run returns the error
// of a socket that failed permanently.
func (h *Host) Run(leave, abort context.Context) error {
	ctx, cancel := context.WithCancel(abort)
	defer cancel()
	failed := make(chan error, 4)
	var wg sync.WaitGroup
	wg.Go(func() { failed <- h.packets.Run() })
	wg.Go(func() { failed <- h.admin.Serve(h.adminListener) })
	if h.metricsListener != nil {
		wg.Go(func() { failed <- h.admin.Serve(h.metricsListener) })
	}
	if h.exchange != nil {
		wg.Go(func() { failed <- h.exchange.Serve() })
		wg.Go(func() { h.exchange.Run(ctx) })
	}
	wg.Go(func() { h.follower.Run(ctx) })
	wg.Go(func() { h.decisions.run(ctx) })
	h.log.Info().Str("event", "host_started").Str("zone", h.settings.Zone).Str("steering", string(h.settings.Steering)).
		Stringer("data", h.settings.Data[0]).Stringer("admin", h.settings.Admin).Send()
	var err error
	select {
	case err = <-failed:
		h.log.Error().Str("event", "socket_failed").Err(err).Send()
	case <-leave.Done():
		h.leave(abort)
	case <-abort.Done():
	}
	cancel()
	h.Close()
	wg.Wait()
	h.log.Info().Str("event", "host_stopped").Send()
	return err
}

// leave gives the fabric time to switch to other hosts before this one closes.
// Flows need no hand-over: any host finds their targets by token.
func (h *Host) leave(abort context.Context) {
	h.leaving.Store(true)
	h.mu.Lock()
	limit := h.settings.Limits.Leave
	h.mu.Unlock()
	h.log.Info().Str("event", "leave_started").Dur("limit_ms", limit).Send()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-abort.Done():
		h.log.Warn().Str("event", "leave_aborted").Send()
	case <-timer.C:
		h.log.Info().Str("event", "leave_done").Send()
	}
}

// viewCompleteTo returns the time up to which the view of the packet path holds all
// changes of the store, and false while it may be incomplete or out of date.
func (h *Host) viewCompleteTo() (time.Duration, bool) { return h.packets.CompleteTo() }

// completeTo returns the time up to which this host has received all changes of
// the store, and false while its entries may be incomplete or out of date.
func (h *Host) completeTo() (time.Duration, bool) { return h.follower.CompleteTo() }

// refresh requests a new read of the store by this host.
func (h *Host) refresh() { h.follower.Refresh() }

// checkReady is the readiness check that the fabric queries. It logs each change
// of the result.
func (h *Host) checkReady() error {
	err := h.ready()
	h.mu.Lock()
	defer h.mu.Unlock()
	if ready := err == nil; ready != h.lastReady {
		h.lastReady = ready
		h.log.Info().Str("event", "readiness_changed").Bool("ready", ready).AnErr("reason", err).Send()
	}
	return err
}

// ready returns nil if the host can forward packets, or the reason why not.
func (h *Host) ready() error {
	return hostState{
		leaving: h.leaving.Load(), knowsTargets: h.follower.Ready(), hasView: h.packets.HasView(),
		cutOff: h.packets.CutOff(), confirmed: h.follower.Confirmed(), ownZoneTakesFlows: h.packets.OwnZoneTakesFlows(),
	}.ready()
}

// Reload applies new settings: the log level, the seeds and the leave limit. If
// it returns an error, the previous settings stay in force.
func (h *Host) Reload(s settings.Settings) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	// NeedRestart counts the seeds as fixed, but this host can reload them.
	fixed := h.settings
	fixed.Peers.Seeds = s.Peers.Seeds
	if keys := settings.NeedRestart(fixed, s); len(keys) > 0 {
		return errors.Newf("changed settings that need a restart: %s", strings.Join(keys, ", "))
	}
	h.level.Set(s.LogLevel)
	if h.exchange != nil {
		h.exchange.SetSeeds(seedAddrs(s))
	}
	h.settings = s
	return nil
}

// Close closes the sockets.
func (h *Host) Close() {
	h.logClose("data", h.packets.Close())
	if h.exchange != nil {
		h.logClose("control", h.exchange.Close())
	}
	if h.admin != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		h.logClose("admin", h.admin.Close(ctx))
	}
	for _, l := range []net.Listener{h.adminListener, h.metricsListener} {
		if l != nil {
			_ = l.Close() // closed by the admin server if it ran
		}
	}
}

func (h *Host) logClose(part string, err error) {
	if err != nil {
		h.log.Warn().Str("event", "close_failed").Str("part", part).Err(err).Send()
	}
}
