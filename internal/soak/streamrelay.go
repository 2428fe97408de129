package soak

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// StreamRelay relays TCP connections to an address, in both directions.
type StreamRelay struct {
	listener   net.Listener
	to         string
	impairment impairmentState

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewStreamRelay starts a relay that accepts connections at the address listen and
// connects each to the address to.
func NewStreamRelay(listen, to string) (*StreamRelay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "stream relay")
	}
	s := &StreamRelay{listener: l, to: to, conns: make(map[net.Conn]struct{})}
	go s.run()
	return s, nil
}

// Addr returns the address at which the relay listens.
func (s *StreamRelay) Addr() string { return s.listener.Addr().String() }

// Set replaces the impairment in force. Reset also closes the open connections.
func (s *StreamRelay) Set(imp Impairment) {
	s.impairment.set(imp)
	if imp.Reset {
		s.closeAll()
	}
}

// Close stops the relay and closes its connections.
func (s *StreamRelay) Close() error {
	err := s.listener.Close()
	s.closeAll()
	return err
}

func (s *StreamRelay) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the peer receives a reset
		}
		_ = c.Close()
	}
}

func (s *StreamRelay) run() {
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		if s.impairment.get().Reset {
			_ = client.Close()
			continue
		}
		go s.relay(client)
	}
}

func (s *StreamRelay) relay(client net.Conn) {
	server, err := net.Dial("tcp", s.to)
	if err != nil {
		_ = client.Close()
		return
	}
	s.track(client, server)
	var wg sync.WaitGroup
	wg.Go(func() { s.copyDirection(client, server, func(imp Impairment) bool { return imp.DropForward }) })
	wg.Go(func() { s.copyDirection(server, client, func(imp Impairment) bool { return imp.DropReverse }) })
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, client)
	delete(s.conns, server)
}

func (s *StreamRelay) track(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conns {
		s.conns[c] = struct{}{}
	}
}

// copyDirection copies one direction until either end closes. After the first
// dropped bytes the direction stays silent, as when a firewall has lost the
// connection's state.
func (s *StreamRelay) copyDirection(from, to net.Conn, drop func(Impairment) bool) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buf := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		imp := s.impairment.get()
		dropped = dropped || drop(imp)
		if dropped {
			continue
		}
		time.Sleep(imp.Delay)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
