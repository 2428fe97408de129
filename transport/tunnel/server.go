package tunnel

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// headroom is the number of bytes reserved in front of each received datagram.
const headroom = packet.MaxRelayOverhead

// batchSize is the number of datagrams read or written with one system call.
const batchSize = 64

// Handler decides what to do with callers' packets.
type Handler interface {
	// HandlePacket decides what to do with p and sends packets with send. in is
	// the relay header of a packet from another host, nil for one from the fabric.
	// All packets of a flow have the same shard, and calls for one shard are
	// sequential in the order of arrival. The arguments are valid until it
	// returns.
	HandlePacket(now time.Duration, shard int, p *packet.Packet, in *packet.Relay, send *Sender)
}

// Server is the tunnel endpoint of one host.
type Server struct {
	cfg     Config
	sockets []*socket
	readers []*reader
	shards  []*shard
	buffers sync.Pool
	icmp    *rate.Limiter
	running atomic.Bool
	closing atomic.Bool
	stopped chan struct{}

	// backgroundMu guards background, the sender for packets that are not sent
	// in response to a received packet.
	backgroundMu sync.Mutex
	background   *Sender
}

// New validates cfg and opens the sockets. The server handles no packets before
// Run.
func New(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		cfg:     cfg,
		icmp:    rate.NewLimiter(rate.Limit(cfg.ICMPErrorsPerSecond), cfg.ICMPErrorsPerSecond),
		stopped: make(chan struct{}),
	}
	s.buffers.New = func() any { return &buffer{bytes: make([]byte, headroom+cfg.MTU)} }
	if err := s.open(); err != nil {
		s.closeSockets()
		return nil, err
	}
	return s, nil
}

func (s *Server) open() error {
	for range s.cfg.Shards {
		sender, err := s.newSender()
		if err != nil {
			return err
		}
		s.shards = append(s.shards, newShard(s, len(s.shards), sender))
	}
	background, err := s.newSender()
	if err != nil {
		return err
	}
	s.background = background
	for _, addr := range s.cfg.Listen {
		if err := s.openReader(addr); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) openReader(addr netip.AddrPort) error {
	sock, err := openSocket(addr)
	if err != nil {
		return err
	}
	s.sockets = append(s.sockets, sock)
	if err := sock.udp.SetReadBuffer(s.cfg.ReadBufferBytes); err != nil {
		return errors.Wrapf(err, "tunnel: set receive buffer of %s", addr)
	}
	if err := enableOverflowCount(sock.udp); err != nil {
		return errors.Wrapf(err, "tunnel: enable overflow count of %s", addr)
	}
	s.readers = append(s.readers, newReader(s, sock))
	return nil
}

// newSender opens a separate socket for each IP version. Senders with a shared
// socket would block each other, and different source ports let receivers spread
// the packets over their receive queues.
func (s *Server) newSender() (*Sender, error) {
	sender := &Sender{server: s}
	for _, addr := range s.cfg.Listen {
		sock, err := openSocket(netip.AddrPortFrom(addr.Addr(), 0))
		if err != nil {
			return nil, err
		}
		s.sockets = append(s.sockets, sock)
		sender.queues[familyOf(addr.Addr())] = newQueue(sock.batch, &sender.counters)
	}
	return sender, nil
}

// Addrs returns the local addresses in the order of Config.Listen.
func (s *Server) Addrs() []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(s.readers))
	for _, r := range s.readers {
		addrs = append(addrs, r.socket.addr())
	}
	return addrs
}

// Run handles packets until Close or until reading a socket fails. When it
// returns, all packets that were read have been handled. It must be called only
// once.
func (s *Server) Run() error {
	s.running.Store(true)
	defer close(s.stopped)
	errs := make(chan error, len(s.readers))
	for _, r := range s.readers {
		go func() { errs <- r.run() }()
	}
	var first error
	for range s.readers {
		err := <-errs
		if err != nil && first == nil {
			first = err
		}
		s.stopReading()
	}
	for _, sh := range s.shards {
		sh.pool.StopAndWait()
	}
	return first
}

// Close stops reading, waits until Run has handled the packets already read, and
// closes the sockets.
func (s *Server) Close() error {
	s.stopReading()
	if s.running.Load() {
		<-s.stopped
	}
	return s.closeSockets()
}

// stopReading interrupts blocked reads.
func (s *Server) stopReading() {
	s.closing.Store(true)
	for _, r := range s.readers {
		// This fails only on a closed socket, on which no read is blocked.
		_ = r.socket.udp.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *Server) closeSockets() error {
	var err error
	for _, sock := range s.sockets {
		err = errors.CombineErrors(err, sock.udp.Close())
	}
	return err
}

// Send calls f with a sender for resets that are not sent in response to a
// received packet, such as those of abandoned flows. The sender is valid until f
// returns.
func (s *Server) Send(f func(*Sender)) {
	s.backgroundMu.Lock()
	defer s.backgroundMu.Unlock()
	f(s.background)
	s.background.flush()
}

// Stats returns the sums of the counters of all readers and senders.
func (s *Server) Stats() Stats {
	var stats Stats
	for _, r := range s.readers {
		r.counters.addTo(&stats)
	}
	for _, sh := range s.shards {
		sh.sender.counters.addTo(&stats)
	}
	s.background.counters.addTo(&stats)
	return stats
}
