// Package peerlink carries the control messages between hosts as JSON-RPC 2.0
// over TCP with mutual TLS. Each host keeps one outgoing connection per peer; all
// sent bytes are charged to one budget.
package peerlink

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// Handler receives the messages of peers. Its methods are called from several
// goroutines; only the notifications of one connection arrive in order.
type Handler interface {
	// HandleHello returns the reply to a peer's hello.
	HandleHello(m peer.Hello) peer.HelloReply
	HandleHeartbeat(m peer.Heartbeat)
	HandleFlows(m peer.Flows)
	// Inventory returns the keys and generations of the documents in force.
	Inventory() peer.Inventory
	// Document returns a document in force; false if the key is not in force.
	Document(key string) (peer.Document, bool)
}

// Config configures Links. Handler and Budget are required.
type Config struct {
	Handler Handler
	// Budget limits the rate of sent bytes.
	Budget *Budget
	// Keys are the TLS keys; nil means plain TCP.
	Keys *Keys
	// MaxMessage bounds one received message, in bytes.
	MaxMessage int
	// Metrics counts bytes, messages and faults; nil means NewMetrics.
	Metrics *Metrics
	Log     zerolog.Logger
}

// Timeouts of connections.
const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	// incomingIdle is how long an incoming connection may receive nothing before
	// it is closed.
	incomingIdle = time.Minute
	// outgoingIdle is how long a link may be unused before its connection is
	// closed.
	outgoingIdle = 30 * time.Second
)

// ErrClosed is returned by calls on closed Links.
var ErrClosed = errors.New("control links are closed")

// Links holds the control connections of one host. Its methods are safe for
// concurrent use.
type Links struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// mu guards the maps and the lastUse of each link.
	mu sync.Mutex
	// outgoing has the links by control address.
	outgoing map[string]*link
	incoming map[net.Conn]struct{}
}

// New returns Links without connections. Serve accepts incoming ones; outgoing
// ones are established on first use.
func New(cfg Config) *Links {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		cfg: cfg, ctx: ctx, cancel: cancel,
		outgoing: map[string]*link{},
		incoming: map[net.Conn]struct{}{},
	}
}

// SendHeartbeat queues a heartbeat for a peer's control address. It never blocks
// and doesn't retain m. A later heartbeat replaces one that isn't sent yet.
func (l *Links) SendHeartbeat(control string, m peer.Heartbeat) {
	if k := l.link(control); k != nil {
		k.putHeartbeat(encode(m))
	}
}

// encode returns a message as JSON, so that the caller may reuse the message while
// it is queued. Messages of package peer can always be encoded.
func encode(m any) json.RawMessage {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}

// SendFlows queues a message about flows for a peer's control address. It never
// blocks and doesn't retain m. It reports false if the message was dropped because
// the queue is full, which is counted, or the links are closed.
func (l *Links) SendFlows(control string, m peer.Flows) bool {
	k := l.link(control)
	if k == nil {
		return false
	}
	return k.putFlows(encode(m))
}

// Hello sends this host's identity to a peer and returns the reply.
func (l *Links) Hello(ctx context.Context, control string, m peer.Hello) (peer.HelloReply, error) {
	var reply peer.HelloReply
	err := l.call(ctx, control, peer.MethodHello, m, &reply)
	return reply, err
}

// Inventory returns the keys and generations of a peer's documents in force.
func (l *Links) Inventory(ctx context.Context, control string) (peer.Inventory, error) {
	var reply peer.Inventory
	err := l.call(ctx, control, peer.MethodInventory, struct{}{}, &reply)
	return reply, err
}

// Fetch returns the text of a peer's document. An unknown key is an error.
func (l *Links) Fetch(ctx context.Context, control, key string) (peer.Document, error) {
	var reply peer.Document
	err := l.call(ctx, control, peer.MethodFetch, peer.Fetch{Key: key}, &reply)
	return reply, err
}

func (l *Links) call(ctx context.Context, control, method string, params, result any) error {
	k := l.link(control)
	if k == nil {
		return ErrClosed
	}
	if err := k.call(ctx, method, params, result); err != nil {
		l.cfg.Metrics.faults.WithLabelValues(faultCall).Inc()
		return errors.Wrapf(err, "%s to %s", method, control)
	}
	return nil
}

// link returns the outgoing link to a control address and starts it on first use.
// It returns nil if the links are closed.
func (l *Links) link(control string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil
	}
	k, ok := l.outgoing[control]
	if !ok {
		k = newLink(l, control)
		l.outgoing[control] = k
		l.wg.Go(k.run)
	}
	k.lastUse = time.Now()
	return k
}

// removeIfIdle removes a link that wasn't used for outgoingIdle. It reports
// whether it did.
func (l *Links) removeIfIdle(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(k.lastUse) < outgoingIdle {
		return false
	}
	delete(l.outgoing, k.control)
	return true
}

// ReloadKeys reads the TLS files again and closes all connections, so that peers
// authenticate with the new keys. On an error the previous keys remain in use and
// the connections stay open. Without keys it does nothing.
func (l *Links) ReloadKeys() error {
	if l.cfg.Keys == nil {
		return nil
	}
	if err := l.cfg.Keys.Reload(); err != nil {
		return err
	}
	l.closeConnections()
	return nil
}

func (l *Links) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.incoming {
		_ = conn.Close() // its read loop fails and ends
	}
	for _, k := range l.outgoing {
		k.disconnect()
	}
}

// Close closes all connections and waits for their goroutines.
func (l *Links) Close() {
	l.cancel()
	l.closeConnections()
	l.wg.Wait()
}
