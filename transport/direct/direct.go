// Package direct moves callers' packets that carry a token: one goroutine
// reads them from a UDP socket, asks package steering and sends them on.
package direct

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
)

const (
	// maxDatagram is the longest UDP payload over IPv4.
	maxDatagram = 65507
	// tickInterval bounds the time between two ticks of the decisions, and
	// how long a new view or a close waits for an idle reader.
	tickInterval = 50 * time.Millisecond
	// publishInterval is the time between two publications of the totals, which
	// look at all targets.
	publishInterval = 200 * time.Millisecond
	// readBufferBytes is the receive buffer asked of the system: some 150 ms
	// of packets at 10 Mbit/s.
	readBufferBytes = 1 << 20
)

// Codec translates between datagrams and segments.
type Codec interface {
	// Headroom is the number of bytes in front of a received datagram that
	// Forward may use.
	Headroom() int
	// Decode reads a datagram; it reports false if it is none of a caller. The
	// segment aliases the datagram.
	Decode(datagram []byte, p *steering.Segment) bool
	// Forward writes an action's token and target around a datagram that
	// stands in buf after the headroom, and returns what is to be sent.
	Forward(buf []byte, a *steering.Action) []byte
	// Reset returns a reset to the caller of a segment and where to send it.
	Reset(buf []byte, p *steering.Segment) ([]byte, netip.AddrPort)
}

// Observer sees each decision after it was carried out. It must not block.
type Observer interface {
	Decided(now time.Duration, p *steering.Segment, a *steering.Action)
}

// Config says what a Server does.
type Config struct {
	Listen   netip.AddrPort
	Codec    Codec
	Steering *steering.Steering
	Observer Observer
	// Clock is the time since a fixed moment.
	Clock func() time.Duration
}

// Stats are totals since the start.
type Stats struct {
	Received, Undecodable, SendErrors uint64
	Flows                             uint64
	Counts                            steering.Counts
	Targets                           []steering.TargetStats
	// Known counts the targets of the view in force.
	Known int
	// CutOff is set while no target that takes new flows answers this host.
	CutOff bool
}

// Server is the packet path of one host.
type Server struct {
	cfg    Config
	conn   *net.UDPConn
	view   atomic.Pointer[fleet.View]
	loads  atomic.Pointer[steering.PeerLoads]
	stats  atomic.Pointer[Stats]
	closed atomic.Bool
	// The rest belongs to the goroutine of Run.
	now       Stats
	seen      *fleet.View
	seenLoads *steering.PeerLoads
	ticked    time.Duration
	published time.Duration
}

// New opens the socket.
func New(cfg Config) (*Server, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "data")
	}
	// A smaller buffer than asked for only loses packets earlier.
	_ = conn.SetReadBuffer(readBufferBytes)
	s := &Server{cfg: cfg, conn: conn}
	s.stats.Store(&Stats{})
	return s, nil
}

// SetView hands a new view to the decisions.
func (s *Server) SetView(v *fleet.View) { s.view.Store(v) }

// SetPeerLoads hands the loads that other hosts tell to the decisions.
func (s *Server) SetPeerLoads(l *steering.PeerLoads) { s.loads.Store(l) }

// Stats returns totals that are some 200 ms old at most.
func (s *Server) Stats() *Stats { return s.stats.Load() }

// Close ends Run.
func (s *Server) Close() error {
	s.closed.Store(true)
	return s.conn.Close()
}

// Run handles packets until Close; the error is nil after Close.
func (s *Server) Run() error {
	headroom := s.cfg.Codec.Headroom()
	buf := make([]byte, headroom+maxDatagram)
	reply := make([]byte, 0, headroom+maxDatagram)
	var p steering.Segment
	var a steering.Action
	if err := s.wakeLater(); err != nil {
		return s.end(err)
	}
	for {
		s.tick(s.cfg.Clock())
		n, _, err := s.conn.ReadFromUDPAddrPort(buf[headroom:])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = s.wakeLater()
			if err == nil {
				continue
			}
		}
		if err != nil {
			return s.end(err)
		}
		s.now.Received++
		if !s.cfg.Codec.Decode(buf[headroom:headroom+n], &p) {
			s.now.Undecodable++
			continue
		}
		now := s.cfg.Clock()
		s.cfg.Steering.Handle(now, &p, &a)
		s.carryOut(buf[:headroom+n], reply, &p, &a)
		s.cfg.Observer.Decided(now, &p, &a)
	}
}

// wakeLater ends the read in progress after a tick's interval.
func (s *Server) wakeLater() error {
	return s.conn.SetReadDeadline(time.Now().Add(tickInterval))
}

func (s *Server) carryOut(buf, reply []byte, p *steering.Segment, a *steering.Action) {
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
		s.now.SendErrors++ // the caller sends the packet again
	}
}

// tick takes new views over and publishes the totals.
func (s *Server) tick(now time.Duration) {
	if v := s.view.Load(); v != s.seen {
		s.seen = v
		s.cfg.Steering.SetView(now, v)
	}
	if l := s.loads.Load(); l != s.seenLoads {
		s.seenLoads = l
		s.cfg.Steering.SetPeerLoads(l)
	}
	if now < s.ticked+tickInterval {
		return
	}
	s.ticked = now
	s.cfg.Steering.Tick(now)
	if now < s.published+publishInterval {
		return
	}
	s.published = now
	stats := s.now
	stats.Counts = s.cfg.Steering.Counts()
	stats.Known = s.cfg.Steering.NumTargets()
	stats.CutOff = s.cfg.Steering.CutOff(now)
	stats.Flows = uint64(s.cfg.Steering.NumFlows())
	stats.Targets = s.cfg.Steering.TargetStats(now)
	s.stats.Store(&stats)
}

func (s *Server) end(err error) error {
	if s.closed.Load() {
		return nil
	}
	return errors.Wrap(err, "data")
}
