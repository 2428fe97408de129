package soak

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Streams relays TCP connections to an address, in both directions.
type Streams struct {
	listener   net.Listener
	to         string
	impairment impairmentState

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// RelayStreams starts a relay that accepts connections at the address listen and
// connects each to the address to.
func RelayStreams(listen, to string) (*Streams, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "stream relay")
	}
	s := &Streams{listener: l, to: to, conns: make(map[net.Conn]struct{})}
	go s.run()
	return s, nil
}

// Addr returns the address at which the relay listens.
func (s *Streams) Addr() string { return s.listener.Addr().String() }

// Set replaces the impairment in force. Reset also closes the open connections.
func (s *Streams) Set(t Trouble) {
	s.impairment.set(t)
	if t.Reset {
		s.closeAll()
	}
}

// Close stops the relay and closes its connections.
func (s *Streams) Close() error {
	err := s.listener.Close()
	s.closeAll()
	return err
}

func (s *Streams) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the peer receives a reset
		}
		_ = c.Close()
	}
}

func (s *Streams) run() {
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

func (s *Streams) relay(client net.Conn) {
	server, err := net.Dial("tcp", s.to)
	if err != nil {
		_ = client.Close()
		return
	}
	s.track(client, server)
	var wg sync.WaitGroup
	wg.Go(func() { s.copyDirection(client, server, func(t Trouble) bool { return t.Silent }) })
	wg.Go(func() { s.copyDirection(server, client, func(t Trouble) bool { return t.SilentBack }) })
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, client)
	delete(s.conns, server)
}

func (s *Streams) track(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conns {
		s.conns[c] = struct{}{}
	}
}

// copyDirection copies one direction until either end closes. After the first
// dropped bytes the direction stays silent, as when a firewall has lost the
// connection's state.
func (s *Streams) copyDirection(from, to net.Conn, drops func(Trouble) bool) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buf := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		t := s.impairment.get()
		dropped = dropped || drops(t)
		if dropped {
			continue
		}
		time.Sleep(t.Delay)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
