// Package fabric is a fake of the network in front of the balancers: it sends
// each packet of a caller to a random balancer, whatever its flow, and delivers
// packets to callers.
package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/internal/fakes/gue"
)

// Config describes a Fabric.
type Config struct {
	Listen    netip.AddrPort
	Balancers []netip.AddrPort
	// Routes maps callers' addresses to their sockets.
	Routes gue.Routes
	// Seed seeds the random choice of balancers.
	Seed uint64
}

// Stats holds the packet counters of a Fabric.
type Stats struct {
	// Sprayed counts packets sent to balancers, by balancer; Delivered counts
	// packets sent to callers.
	Sprayed   map[netip.AddrPort]uint64
	Delivered uint64
	// Dropped counts packets dropped because no balancer was up.
	Dropped uint64
}

// Fabric is a running fake fabric. All methods are safe for concurrent use.
type Fabric struct {
	socket *gue.Socket
	routes gue.Routes

	mu        sync.Mutex
	random    *rand.Rand
	balancers []netip.AddrPort
	down      map[netip.AddrPort]bool
	stats     Stats
}

// New opens the fabric's socket; Run forwards packets from it.
func New(cfg Config) (*Fabric, error) {
	socket, err := gue.Listen(cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "fabric")
	}
	return &Fabric{
		socket:    socket,
		routes:    cfg.Routes,
		random:    rand.New(rand.NewPCG(cfg.Seed, 0)),
		balancers: cfg.Balancers,
		down:      map[netip.AddrPort]bool{},
		stats:     Stats{Sprayed: map[netip.AddrPort]uint64{}},
	}, nil
}

// Addr returns the fabric's address.
func (f *Fabric) Addr() netip.AddrPort { return f.socket.Addr() }

// SetBalancers replaces the balancers that packets are sent to.
func (f *Fabric) SetBalancers(addrs []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = addrs
}

// SetDown marks a balancer as down or up. It replaces the health checks of a real
// fabric.
func (f *Fabric) SetDown(balancer netip.AddrPort, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[balancer] = down
}

// Stats returns a copy of the counters.
func (f *Fabric) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := f.stats
	stats.Sprayed = map[netip.AddrPort]uint64{}
	for addr, n := range f.stats.Sprayed {
		stats.Sprayed[addr] = n
	}
	return stats
}

// Run forwards packets until Close is called.
func (f *Fabric) Run() error {
	for {
		ip, err := f.socket.Receive()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "fabric")
		}
		if to, ok := f.route(ip); ok {
			// The receiver may be down; the packet is then lost.
			_ = f.socket.Send(to, ip)
		}
	}
}

// Close ends Run.
func (f *Fabric) Close() error { return f.socket.Close() }

// route returns the next hop of the packet and counts the packet; it returns false
// if the packet is dropped.
func (f *Fabric) route(ip []byte) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if caller, ok := f.routes.Lookup(destination(ip)); ok {
		f.stats.Delivered++
		return caller, true
	}
	up := make([]netip.AddrPort, 0, len(f.balancers))
	for _, addr := range f.balancers {
		if !f.down[addr] {
			up = append(up, addr)
		}
	}
	if len(up) == 0 {
		f.stats.Dropped++
		return netip.AddrPort{}, false
	}
	to := up[f.random.IntN(len(up))]
	f.stats.Sprayed[to]++
	return to, true
}

// destination returns the destination address of an IP packet, or the zero Addr
// if the header is invalid.
func destination(ip []byte) netip.Addr {
	switch {
	case len(ip) >= 20 && ip[0]>>4 == 4:
		return netip.AddrFrom4([4]byte(ip[16:20]))
	case len(ip) >= 40 && ip[0]>>4 == 6:
		return netip.AddrFrom16([16]byte(ip[24:40]))
	}
	return netip.Addr{}
}
