package zonemodel

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// datagram is a received message with its sender.
type datagram struct {
	data []byte
	from netip.AddrPort
}

// network delivers datagrams between the hosts of a model, with loss and delay.
type network struct {
	mu   sync.Mutex
	rng  *rand.Rand
	loss float64
	// maxDelay bounds the delay of a datagram; longer than the time between two
	// datagrams, it reorders them.
	maxDelay time.Duration
	conns    map[netip.AddrPort]*conn
	// paused holds the hosts that neither send nor receive.
	paused map[netip.AddrPort]bool
}

func newNetwork(rng *rand.Rand) *network {
	return &network{rng: rng, maxDelay: 5 * time.Millisecond, conns: map[netip.AddrPort]*conn{}, paused: map[netip.AddrPort]bool{}}
}

// conn is one host's socket; it implements gossip.Conn.
type conn struct {
	network *network
	addr    netip.AddrPort
	in      chan datagram
	closed  chan struct{}
	once    sync.Once
}

// socketBuffer is the number of datagrams that wait to be read; more are lost.
const socketBuffer = 1000

func (n *network) open(addr netip.AddrPort) *conn {
	c := &conn{network: n, addr: addr, in: make(chan datagram, socketBuffer), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[addr] = c
	return c
}

func (c *conn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	case d := <-c.in:
		return copy(b, d.data), d.from, nil
	}
}

func (c *conn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rng.Float64() < n.loss || n.paused[c.addr] {
		return len(b), nil
	}
	d := datagram{data: append([]byte(nil), b...), from: c.addr}
	time.AfterFunc(time.Duration(n.rng.Int64N(int64(n.maxDelay)))+1, func() { n.deliver(to, d) })
	return len(b), nil
}

func (n *network) deliver(to netip.AddrPort, d datagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	receiver := n.conns[to]
	if receiver == nil || n.paused[to] {
		return
	}
	select {
	case receiver.in <- d:
	default: // the socket's buffer is full
	}
}

func (c *conn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		if c.network.conns[c.addr] == c {
			delete(c.network.conns, c.addr)
		}
		close(c.closed)
	})
	return nil
}
