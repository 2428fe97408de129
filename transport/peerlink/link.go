package peerlink

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// flowsQueueLen bounds the queue of messages about flows of one link.
	flowsQueueLen = 256
	// minBackoff and maxBackoff bound the delay before reconnecting. It doubles
	// after each failure and is shortened by a jitter of up to half.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// stableAfter is how long a connection must live to reset the backoff.
	stableAfter = 5 * time.Second
)

// link is the outgoing connection to one peer, which is re-established when it is
// lost.
type link struct {
	links *Links
	// control is the peer's control address.
	control string
	// lastUse is guarded by the mutex of Links.
	lastUse time.Time

	heartbeat chan json.RawMessage // holds the latest unsent heartbeat
	flows     chan json.RawMessage

	mu        sync.Mutex
	conn      *jsonrpc2.Conn
	connected chan struct{} // closed while conn is set
}

func newLink(l *Links, control string) *link {
	return &link{
		links: l, control: control,
		heartbeat: make(chan json.RawMessage, 1),
		flows:     make(chan json.RawMessage, flowsQueueLen),
		connected: make(chan struct{}),
	}
}

// putHeartbeat replaces the unsent heartbeat, if there is one.
func (k *link) putHeartbeat(m json.RawMessage) {
	for {
		select {
		case k.heartbeat <- m:
			return
		default:
		}
		select {
		case <-k.heartbeat:
			k.links.cfg.Metrics.dropped.WithLabelValues(dropHeartbeatReplaced).Inc()
		default:
		}
	}
}

// putFlows queues a message; it reports false if the queue is full.
func (k *link) putFlows(m json.RawMessage) bool {
	select {
	case k.flows <- m:
		return true
	default:
		k.links.cfg.Metrics.dropped.WithLabelValues(dropFlowsQueueFull).Inc()
		return false
	}
}

// run connects and reconnects until the links are closed or the link is removed
// as idle.
func (k *link) run() {
	backoff := minBackoff
	for k.links.ctx.Err() == nil {
		conn, err := k.dial()
		if err != nil {
			k.links.countDialFailure(k.control, err)
			if k.waitBackoff(backoff) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		start := time.Now()
		if k.serve(conn) {
			return
		}
		// With TLS 1.3 a peer that rejects the certificate closes the connection
		// only after this side's handshake has succeeded, so a short-lived
		// connection counts as a failure.
		if time.Since(start) > stableAfter {
			backoff = minBackoff
		}
		if k.waitBackoff(backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitBackoff waits before reconnecting. It reports true if the link has ended.
func (k *link) waitBackoff(backoff time.Duration) (ended bool) {
	wait := backoff - rand.N(backoff/2)
	select {
	case <-k.links.ctx.Done():
		return true
	case <-time.After(wait):
		return k.links.removeIfIdle(k)
	}
}

// dial connects to the peer and does the TLS handshake.
func (k *link) dial() (*jsonrpc2.Conn, error) {
	l := k.links
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout+handshakeTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", k.control)
	if err != nil {
		return nil, err
	}
	conn, err := l.cfg.Keys.clientHandshake(ctx, l.meter(raw, 0), k.control)
	if err != nil {
		_ = raw.Close() // the handshake error is reported instead
		return nil, errors.Wrap(err, "handshake")
	}
	stream := jsonrpc2.NewBufferedStream(conn, l.codec())
	return jsonrpc2.NewConn(l.ctx, stream, rejectRequests(l), l.connOptions()...), nil
}

// serve sends queued messages until the connection ends. It reports true if the
// link has ended, too.
func (k *link) serve(conn *jsonrpc2.Conn) (ended bool) {
	k.setConn(conn)
	defer k.clearConn()
	idle := time.NewTicker(outgoingIdle)
	defer idle.Stop()
	for {
		var err error
		select {
		case <-k.links.ctx.Done():
			return true
		case <-conn.DisconnectNotify():
			return false
		case <-idle.C:
			if k.links.removeIfIdle(k) {
				return true
			}
		case m := <-k.heartbeat:
			err = k.notify(conn, peer.MethodHeartbeat, m)
		case m := <-k.flows:
			err = k.sendFlows(conn, m)
		}
		if err != nil {
			k.links.countFault(faultWrite, k.control, err)
			return false
		}
	}
}

// sendFlows sends a message when the budget allows. Heartbeats are sent while it
// waits.
func (k *link) sendFlows(conn *jsonrpc2.Conn, m json.RawMessage) error {
	for {
		wait := k.links.cfg.Budget.Delay(len(m))
		if wait <= 0 {
			return k.notify(conn, peer.MethodFlows, m)
		}
		select {
		case <-k.links.ctx.Done():
			return nil
		case <-conn.DisconnectNotify():
			k.links.cfg.Metrics.dropped.WithLabelValues(dropFlowsDisconnected).Inc()
			return nil
		case hb := <-k.heartbeat:
			if err := k.notify(conn, peer.MethodHeartbeat, hb); err != nil {
				return err
			}
		case <-time.After(min(wait, maxBudgetWait)):
		}
	}
}

func (k *link) notify(conn *jsonrpc2.Conn, method string, params any) error {
	if err := conn.Notify(k.links.ctx, method, params); err != nil {
		return err
	}
	k.links.cfg.Metrics.sent.WithLabelValues(method).Inc()
	return nil
}

// call makes one call. The wait for the connection and the budget and the wait
// for the reply are each bounded by peer.CallTimeout. If the reply times out, the
// connection is closed.
func (k *link) call(ctx context.Context, method string, params, result any) error {
	conn, err := k.waitReady(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	k.links.cfg.Metrics.sent.WithLabelValues(method).Inc()
	err = conn.Call(ctx, method, params, result)
	if errors.Is(err, context.DeadlineExceeded) {
		_ = conn.Close() // fails only if it is closed already
	}
	return err
}

// waitReady waits until the link is connected and the budget has no debt.
func (k *link) waitReady(ctx context.Context) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	conn, err := k.waitConn(ctx)
	if err != nil {
		return nil, err
	}
	if err := k.links.cfg.Budget.WaitForTokens(ctx); err != nil {
		return nil, errors.Wrap(err, "control budget is exhausted")
	}
	return conn, nil
}

// waitConn waits until the link is connected.
func (k *link) waitConn(ctx context.Context) (*jsonrpc2.Conn, error) {
	for {
		k.mu.Lock()
		conn, connected := k.conn, k.connected
		k.mu.Unlock()
		if conn != nil {
			return conn, nil
		}
		select {
		case <-connected:
		case <-k.links.ctx.Done():
			return nil, ErrClosed
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "no connection")
		}
	}
}

func (k *link) setConn(conn *jsonrpc2.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn = conn
	close(k.connected)
}

func (k *link) clearConn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.conn.Close() // fails only if it is closed already
	k.conn = nil
	k.connected = make(chan struct{})
}

// disconnect closes the connection; run re-establishes it.
func (k *link) disconnect() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		_ = k.conn.Close() // fails only if it is closed already
	}
}
