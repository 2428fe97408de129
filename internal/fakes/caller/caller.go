// Package caller is a fake caller: it opens TCP connections and sends UDP
// requests as raw IP packets through the fabric, and checks the answers.
package caller

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/internal/fakes/gue"
	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
)

// Errors of connections and requests.
var (
	// ErrRefused means that an opening was answered with a reset.
	ErrRefused = errors.New("caller: connection refused")
	// ErrReset means that an open connection was reset.
	ErrReset = errors.New("caller: connection reset")
	// ErrUnreachable means that an opening or a UDP request was answered with an
	// ICMP error other than "packet too big".
	ErrUnreachable = errors.New("caller: port unreachable")
	// ErrCrossed means that the answer came from a different target than the
	// earlier ones of the connection, or belongs to another request.
	ErrCrossed = errors.New("caller: answer of another target or request")
)

// Defaults of Config.
const (
	DefaultRTO    = 200 * time.Millisecond
	DefaultMaxRTO = time.Second
)

// Range of the source ports; endPort is exclusive.
const (
	firstPort = 20000
	endPort   = 60000
)

// Config describes a Caller.
type Config struct {
	Listen netip.AddrPort
	// Fabric is the address that all packets are sent to.
	Fabric netip.AddrPort
	// Addr4 and Addr6 are the source addresses of the packets.
	Addr4, Addr6 netip.Addr
	// RTO is the initial retransmission timeout; it doubles up to MaxRTO. 0
	// means the default.
	RTO, MaxRTO time.Duration
}

// Answer is the answer to one request.
type Answer struct {
	// Target is the name of the target that ran the request.
	Target string
	Text   string
}

// Stats holds the counters of a Caller.
type Stats struct {
	// Packets counts received packets, Retransmitted retransmission timeouts.
	Packets       uint64
	Retransmitted uint64
	// BadResets counts resets ignored because of their sequence numbers.
	BadResets uint64
	// TooBig counts ICMP errors "packet too big".
	TooBig uint64
	// Dropped counts packets dropped because they match no flow or because the
	// flow's inbox is full.
	Dropped uint64
	// Undecoded counts packets that could not be decoded.
	Undecoded uint64
}

// Caller is a running fake caller. All methods are safe for concurrent use; a
// Conn must be used by one goroutine at a time.
type Caller struct {
	cfg    Config
	socket *gue.Socket

	mu       sync.Mutex
	flows    map[flowKey]chan *wire.Packet
	nextPort uint16
	lastISS  uint32
	stats    Stats
}

// flowKey identifies a flow by the caller's address, the service and the
// protocol.
type flowKey struct {
	caller, service netip.AddrPort
	udp             bool
}

// maxInboxPackets is the capacity of a flow's inbox.
const maxInboxPackets = 256

// New opens the caller's socket; Run receives from it.
func New(cfg Config) (*Caller, error) {
	socket, err := gue.Listen(cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "caller")
	}
	if cfg.RTO == 0 {
		cfg.RTO = DefaultRTO
	}
	if cfg.MaxRTO == 0 {
		cfg.MaxRTO = DefaultMaxRTO
	}
	return &Caller{
		cfg:      cfg,
		socket:   socket,
		flows:    map[flowKey]chan *wire.Packet{},
		nextPort: firstPort,
	}, nil
}

// Addr returns the address of the caller's socket, for the routes of fabric and
// targets.
func (c *Caller) Addr() netip.AddrPort { return c.socket.Addr() }

// SetFabric replaces the address that packets are sent to. It must be called
// before the first request.
func (c *Caller) SetFabric(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Fabric = addr
}

// Stats returns a copy of the counters.
func (c *Caller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// Run receives packets until Close is called.
func (c *Caller) Run() error {
	for {
		ip, err := c.socket.Receive()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "caller")
		}
		c.dispatch(append([]byte(nil), ip...))
	}
}

// Close ends Run.
func (c *Caller) Close() error { return c.socket.Close() }

// dispatch queues the packet in the inbox of its flow. An ICMP error belongs to
// the flow of the packet that it quotes.
func (c *Caller) dispatch(ip []byte) {
	p, err := wire.Parse(ip)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Packets++
	if err != nil {
		c.stats.Undecoded++
		return
	}
	key := flowKey{caller: p.Dst, service: p.Src, udp: p.UDP != nil}
	if p.ICMP != nil {
		quoted, err := wire.Parse(p.ICMP.Quoted)
		if err != nil {
			c.stats.Undecoded++
			return
		}
		if p.ICMP.MTU != 0 {
			c.stats.TooBig++
		}
		key = flowKey{caller: quoted.Src, service: quoted.Dst, udp: quoted.UDP != nil}
	}
	select {
	case c.flows[key] <- p:
	default:
		c.stats.Dropped++
	}
}

// allocateFlow allocates a source port and an inbox for a flow to service.
func (c *Caller) allocateFlow(service netip.AddrPort, udp bool) (flowKey, chan *wire.Packet, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.cfg.Addr4
	if service.Addr().Is6() {
		addr = c.cfg.Addr6
	}
	if !addr.IsValid() {
		return flowKey{}, nil, errors.Newf("caller: no address for service %s", service)
	}
	for range endPort - firstPort {
		key := flowKey{caller: netip.AddrPortFrom(addr, c.nextPort), service: service, udp: udp}
		c.nextPort++
		if c.nextPort == endPort {
			c.nextPort = firstPort
		}
		if c.flows[key] == nil {
			inbox := make(chan *wire.Packet, maxInboxPackets)
			c.flows[key] = inbox
			return key, inbox, nil
		}
	}
	return flowKey{}, nil, errors.New("caller: no free port")
}

// issStep + 1 is the distance between initial sequence numbers, so that packets of
// an earlier connection on the same port are out of the new one's window.
const issStep = 1 << 24

func (c *Caller) nextISS() uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastISS += issStep + 1
	return c.lastISS
}

func (c *Caller) releaseFlow(key flowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, key)
}

func (c *Caller) send(ip []byte) error {
	c.mu.Lock()
	fabric := c.cfg.Fabric
	c.mu.Unlock()
	return c.socket.Send(fabric, ip)
}

func (c *Caller) count(counter *uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
}

// Datagram sends one UDP request, a line of text, and waits for its answer. It
// does not retransmit: the request could run twice.
func (c *Caller) Datagram(ctx context.Context, service netip.AddrPort, request string) (Answer, error) {
	key, inbox, err := c.allocateFlow(service, true)
	if err != nil {
		return Answer{}, err
	}
	defer c.releaseFlow(key)
	if err := c.send(wire.UDP(key.caller, service, []byte(request))); err != nil {
		return Answer{}, errors.Wrap(err, "caller")
	}
	for {
		select {
		case <-ctx.Done():
			return Answer{}, errors.Wrapf(ctx.Err(), "caller: request to %s", service)
		case p := <-inbox:
			if p.ICMP == nil {
				return parseAnswer(string(p.Payload), request)
			}
			if p.ICMP.MTU == 0 {
				return Answer{}, ErrUnreachable
			}
		}
	}
}

// parseAnswer checks that text is the complete answer to request.
func parseAnswer(text, request string) (Answer, error) {
	target, rest, found := strings.Cut(text, " ")
	if !found || rest != request {
		return Answer{}, errors.Wrapf(ErrCrossed, "%d bytes for a request of %d bytes", len(text), len(request))
	}
	return Answer{Target: target, Text: rest}, nil
}
