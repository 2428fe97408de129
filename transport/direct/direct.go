// Package direct implements the packet path of token steering: one goroutine
// reads callers' packets from a UDP socket and forwards, resets or drops them as
// package steering decides.
package direct

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

const (
	// maxDatagram is the maximum UDP payload over IPv4 in bytes.
	maxDatagram = 65507
	// tickInterval is the minimum time between two calls of Steering.Tick.
	tickInterval = 50 * time.Millisecond
	// publishInterval is the minimum time between two updates of Stats. An update
	// iterates over all targets.
	publishInterval = 200 * time.Millisecond
	// readBufferBytes is the requested size of the socket's receive buffer. It
	// holds about 150 ms of the smallest packets at 10 Mbit/s, since the kernel
	// also counts its overhead for each packet.
	readBufferBytes = 1 << 20
)

// Codec decodes datagrams into segments and encodes what is sent for them.
type Codec interface {
	// Headroom returns the number of bytes in front of a received datagram that
	// Forward may overwrite.
	Headroom() int
	// Decode decodes a datagram into p, which aliases it. It reports false if the
	// datagram is not a valid packet of a caller.
	Decode(datagram []byte, p *steering.Segment) bool
	// Forward encodes an action's token and target into buf, which holds the
	// headroom and a received datagram. It returns the datagram to send.
	Forward(buf []byte, a *steering.Action) []byte
	// Reset builds a reset for the caller of a segment in buf and returns it with
	// its destination.
	Reset(buf []byte, p *steering.Segment) ([]byte, netip.AddrPort)
}

// Observer is notified of each decision.
type Observer interface {
	// Decided is called after the action was executed. It must not block.
	Decided(now time.Duration, p *steering.Segment, a *steering.Action)
}

// Config configures a Server. Fields are required unless stated otherwise.
type Config struct {
	Listen   netip.AddrPort
	Codec    Codec
	Steering *steering.Steering
	Observer Observer
	// CompleteTo returns the time up to which the views passed to SetView so far hold
	// everything that was written to the store, and false if that is unknown. It must
	// not block; it may be nil.
	CompleteTo func() (time.Duration, bool)
	// Clock returns the monotonic time since a fixed instant.
	Clock func() time.Duration
}

// Stats holds the server's counters since its start and its current state.
type Stats struct {
	Received, Undecodable, SendErrors uint64
	// Waited counts the packets that waited for the first view.
	Waited uint64
	// Flows is the current number of flows.
	Flows   uint64
	Counts  steering.Counts
	Targets []steering.TargetStats
	// KnownTargets is the number of targets in the current view.
	KnownTargets int
	// Allotment is this host's part in the allotment of slots.
	Allotment steering.AllotmentStats
	// UnreachableZones are the zones whose targets this host does not reach.
	UnreachableZones []string
	// ZoneLoads and Plans are empty without steering.Balancing.CrossZone.
	ZoneLoads []crosszone.Load
	Plans     []steering.ServicePlan
	// ServiceTimes are the services whose mean service time is known, SlowTargets the
	// number of targets that are slower than others.
	ServiceTimes []steering.ServiceTime
	SlowTargets  int
}

// Server runs the packet path of one host.
type Server struct {
	cfg   Config
	conn  *net.UDPConn
	view  atomic.Pointer[fleet.View]
	loads atomic.Pointer[steering.PeerLoads]
	stats atomic.Pointer[Stats]
	// question is the question that Run answers next, nil if there is none. questionMu
	// admits one question at a time; Run does not lock it.
	question   atomic.Pointer[question]
	questionMu sync.Mutex
	closed     atomic.Bool
	// hasView is set once a view was applied.
	hasView atomic.Bool
	// cutOff is the last result of Steering.CutOff, ownZoneTakesFlows that of
	// Steering.OwnZoneTakesFlows.
	cutOff, ownZoneTakesFlows atomic.Bool
	// The fields below are used only by the goroutine of Run.
	reply        []byte // the buffer for resets
	segment      steering.Segment
	action       steering.Action
	waiting      waitingPackets
	current      Stats
	appliedView  *fleet.View
	appliedLoads *steering.PeerLoads
	// appliedLoadsAt is when appliedLoads was applied.
	appliedLoadsAt time.Duration
	lastTick       time.Duration
	lastPublish    time.Duration
	// completeTo and completeKnown are what Config.CompleteTo returned before the
	// applied view was loaded.
	completeTo    time.Duration
	completeKnown bool
}

// New opens the socket. The server handles no packets before Run.
func New(cfg Config) (*Server, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "data")
	}
	// The error is ignored: a smaller buffer only drops packets earlier.
	_ = conn.SetReadBuffer(readBufferBytes)
	s := &Server{cfg: cfg, conn: conn, reply: make([]byte, 0, maxDatagram)}
	s.stats.Store(&Stats{})
	return s, nil
}

// SetView sets the view that Run applies before its next read, and interrupts a
// read that waits for a packet.
func (s *Server) SetView(v *fleet.View) {
	s.view.Store(v)
	// The error is ignored: it means that the socket is closed.
	_ = s.conn.SetReadDeadline(time.Now())
}

// HasView reports whether Run has applied a view, so that packets are forwarded.
func (s *Server) HasView() bool { return s.hasView.Load() }

// SetPeerLoads sets the loads reported by other hosts, which Run applies before
// its next read.
func (s *Server) SetPeerLoads(l *steering.PeerLoads) { s.loads.Store(l) }

// CutOff reports whether there are targets that accept new flows and this host
// reaches none of them.
func (s *Server) CutOff() bool { return s.cutOff.Load() }

// OwnZoneTakesFlows reports whether a target of this host's zone accepts new flows.
func (s *Server) OwnZoneTakesFlows() bool { return s.ownZoneTakesFlows.Load() }

// Stats returns the last published values, which are updated about every 200 ms.
func (s *Server) Stats() *Stats { return s.stats.Load() }

// CompleteTo returns the time up to which the view in use holds everything that was
// written to the store, and false if that is unknown. Only the Steering may call it.
func (s *Server) CompleteTo() (time.Duration, bool) { return s.completeTo, s.completeKnown }

// Close closes the socket, which makes Run return.
func (s *Server) Close() error {
	s.closed.Store(true)
	return s.conn.Close()
}

// Run handles packets until Close, after which it returns nil, or until the
// socket fails.
func (s *Server) Run() error {
	headroom := s.cfg.Codec.Headroom()
	buf := make([]byte, headroom+maxDatagram)
	if err := s.extendReadDeadline(); err != nil {
		return s.runError(err)
	}
	for {
		s.tick(s.cfg.Clock())
		n, _, err := s.conn.ReadFromUDPAddrPort(buf[headroom:])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = s.extendReadDeadline()
			if err == nil {
				continue
			}
		}
		if err != nil {
			return s.runError(err)
		}
		s.current.Received++
		if s.appliedView == nil {
			s.wait(buf[:headroom+n])
			continue
		}
		s.handle(buf[:headroom+n])
	}
}

// handle decides about a received datagram behind its headroom.
func (s *Server) handle(buf []byte) {
	if !s.cfg.Codec.Decode(buf[s.cfg.Codec.Headroom():], &s.segment) {
		s.current.Undecodable++
		return
	}
	now := s.cfg.Clock()
	s.cfg.Steering.Handle(now, &s.segment, &s.action)
	s.execute(buf, s.reply, &s.segment, &s.action)
	s.cfg.Observer.Decided(now, &s.segment, &s.action)
}

// wait keeps a datagram for the first view.
func (s *Server) wait(buf []byte) {
	if !s.cfg.Codec.Decode(buf[s.cfg.Codec.Headroom():], &s.segment) {
		s.current.Undecodable++
		return
	}
	now := s.cfg.Clock()
	s.handleAll(s.waiting.expired(now))
	s.handleAll(s.waiting.add(now, buf, s.segment.Class == packet.Opening && s.segment.Copy > 0))
}

// handleAll decides about packets that have waited. Before the first view this
// drops them.
func (s *Server) handleAll(list []waitingPacket) {
	for _, p := range list {
		s.handle(p.buf)
	}
}

// setView applies a view. Packets that have waited for the first one are handled in
// the order of their arrival, except those that came too early.
func (s *Server) setView(now time.Duration, v *fleet.View) {
	s.handleAll(s.waiting.expired(now))
	s.appliedView = v
	s.cfg.Steering.SetView(now, v)
	s.hasView.Store(true)
	s.current.Waited += uint64(len(s.waiting.list))
	s.handleAll(s.waiting.take())
}

// extendReadDeadline lets reads time out after tickInterval, so that an idle
// reader still ticks.
func (s *Server) extendReadDeadline() error {
	return s.conn.SetReadDeadline(time.Now().Add(tickInterval))
}

// execute sends the packet that the action calls for. buf holds the received
// datagram with its headroom; a reset doesn't need it.
func (s *Server) execute(buf, reply []byte, p *steering.Segment, a *steering.Action) {
	var err error
	switch a.Kind {
	case steering.Forward:
		_, err = s.conn.WriteToUDPAddrPort(s.cfg.Codec.Forward(buf, a), a.Dest)
	case steering.Reset:
		datagram, to := s.cfg.Codec.Reset(reply, p)
		_, err = s.conn.WriteToUDPAddrPort(datagram, to)
	case steering.Drop:
	}
	if err != nil {
		s.current.SendErrors++ // the caller retransmits the packet
	}
}

// tick applies a new view and new peer loads, and answers a question. When their
// intervals have passed, it also ticks the steering and publishes the counters.
func (s *Server) tick(now time.Duration) {
	if s.cfg.CompleteTo != nil {
		// Read before the view: a later view may be the one that completeTo is about.
		s.completeTo, s.completeKnown = s.cfg.CompleteTo()
	}
	if v := s.view.Load(); v != s.appliedView {
		s.setView(now, v)
	}
	if l := s.loads.Load(); l != s.appliedLoads {
		s.appliedLoads, s.appliedLoadsAt = l, now
		s.cfg.Steering.SetPeerLoads(l)
		s.cfg.Steering.SetZoneQueries(now, l.QueriedZones, l.ZoneAnswers)
		s.cfg.Steering.SetReportedRestarts(now, l.Restarts)
	}
	if q := s.question.Load(); q != nil {
		s.answer(now, q)
	}
	if now < s.lastTick+tickInterval {
		return
	}
	s.lastTick = now
	s.cfg.Steering.Tick(now, func(p *steering.Segment, a *steering.Action) {
		s.execute(nil, s.reply, p, a)
		s.cfg.Observer.Decided(now, p, a)
	})
	s.cutOff.Store(s.cfg.Steering.CutOff())
	s.ownZoneTakesFlows.Store(s.cfg.Steering.OwnZoneTakesFlows())
	if now < s.lastPublish+publishInterval {
		return
	}
	s.lastPublish = now
	stats := s.current
	stats.Counts = s.cfg.Steering.Counts()
	stats.KnownTargets = s.cfg.Steering.NumTargets()
	stats.UnreachableZones = s.cfg.Steering.Unreachable()
	stats.Flows = uint64(s.cfg.Steering.NumFlows())
	stats.ServiceTimes = s.cfg.Steering.ServiceTimes(now)
	stats.SlowTargets = s.cfg.Steering.SlowTargets(now)
	stats.Targets = s.cfg.Steering.TargetStats(now)
	stats.Allotment = s.cfg.Steering.AllotmentStats(now)
	stats.ZoneLoads = s.cfg.Steering.ZoneLoads(now)
	stats.Plans = s.cfg.Steering.ServicePlans()
	s.stats.Store(&stats)
}

// runError returns the result of Run for an error of the socket.
func (s *Server) runError(err error) error {
	if s.closed.Load() {
		return nil
	}
	return errors.Wrap(err, "data")
}
