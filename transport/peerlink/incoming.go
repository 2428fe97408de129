package peerlink

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// maxConcurrentCalls bounds the calls that one connection may have in
	// progress.
	maxConcurrentCalls = 4
	// maxReplyWait bounds how long a reply waits for the budget. It leaves the
	// caller half of its timeout.
	maxReplyWait = peer.CallTimeout / 2
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
	// maxIncoming bounds the number of incoming connections.
	maxIncoming = 1024
)

// codeBusy is the JSON-RPC error code of a call that may be retried later.
const codeBusy = -32000

// Serve accepts connections until the links are closed, and then closes the
// listener.
func (l *Links) Serve(listener net.Listener) {
	stop := context.AfterFunc(l.ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if l.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close() // accepted during Close
			}
			return
		}
		if err != nil {
			l.countFault(faultAccept, listener.Addr().String(), err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.accept(conn)
	}
}

func (l *Links) accept(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.incoming) >= maxIncoming || l.ctx.Err() != nil {
		l.cfg.Metrics.faults.WithLabelValues(faultAccept).Inc()
		_ = conn.Close() // refused
		return
	}
	l.incoming[conn] = struct{}{}
	l.wg.Go(func() { l.serveIncoming(conn) })
}

func (l *Links) serveIncoming(raw net.Conn) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.incoming, raw)
		_ = raw.Close() // fails only if it is closed already
	}()
	conn, err := l.cfg.Keys.serverHandshake(l.ctx, l.meter(raw, incomingIdle))
	if err != nil {
		l.countFault(faultHandshake, raw.RemoteAddr().String(), err)
		return
	}
	h := &dispatcher{links: l, calls: make(chan struct{}, maxConcurrentCalls)}
	stream := jsonrpc2.NewBufferedStream(conn, l.codec())
	rpc := jsonrpc2.NewConn(l.ctx, stream, h, l.connOptions()...)
	<-rpc.DisconnectNotify()
}

// dispatcher passes the messages of one connection to the Handler.
type dispatcher struct {
	links *Links
	// calls is a semaphore of the calls in progress.
	calls chan struct{}
}

// Handle implements jsonrpc2.Handler. Notifications are handled in order. Calls
// run concurrently, since their replies may wait for the budget.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		d.handleNotification(req)
		return
	}
	select {
	case d.calls <- struct{}{}:
	default:
		d.links.cfg.Metrics.faults.WithLabelValues(faultBusy).Inc()
		d.replyError(ctx, conn, req, codeBusy, "too many calls at once")
		return
	}
	d.links.wg.Go(func() {
		defer func() { <-d.calls }()
		d.handleCall(ctx, conn, req)
	})
}

func (d *dispatcher) handleNotification(req *jsonrpc2.Request) {
	h := d.links.cfg.Handler
	switch req.Method {
	case peer.MethodHeartbeat:
		var m peer.Heartbeat
		if d.decodeParams(req, &m) == nil {
			h.HandleHeartbeat(m)
		}
	case peer.MethodFlows:
		var m peer.Flows
		if d.decodeParams(req, &m) == nil {
			h.HandleFlows(m)
		}
	default:
		d.links.cfg.Metrics.faults.WithLabelValues(faultUnknownMethod).Inc()
	}
}

// handleCall handles one call and sends its reply when the budget allows.
func (d *dispatcher) handleCall(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, fault := d.answer(req)
	if fault != nil {
		d.replyError(ctx, conn, req, fault.Code, fault.Message)
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, maxReplyWait)
	defer cancel()
	if err := d.links.cfg.Budget.WaitForTokens(waitCtx); err != nil {
		d.links.cfg.Metrics.faults.WithLabelValues(faultBusy).Inc()
		d.replyError(ctx, conn, req, codeBusy, "control budget is exhausted")
		return
	}
	d.countReplyError(conn.Reply(ctx, req.ID, result))
}

// answer returns the result of a call or the error to reply with.
func (d *dispatcher) answer(req *jsonrpc2.Request) (any, *jsonrpc2.Error) {
	h := d.links.cfg.Handler
	switch req.Method {
	case peer.MethodHello:
		var m peer.Hello
		if err := d.decodeParams(req, &m); err != nil {
			return nil, invalidParams(err)
		}
		return h.HandleHello(m), nil
	case peer.MethodInventory:
		return h.Inventory(), nil
	case peer.MethodFetch:
		var m peer.Fetch
		if err := d.decodeParams(req, &m); err != nil {
			return nil, invalidParams(err)
		}
		doc, ok := h.Document(m.Key)
		if !ok {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no document " + m.Key}
		}
		return doc, nil
	}
	d.links.cfg.Metrics.faults.WithLabelValues(faultUnknownMethod).Inc()
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
}

// decodeParams decodes the parameters of a message into to. It counts the
// message as received, or as a fault if the parameters are missing or invalid.
func (d *dispatcher) decodeParams(req *jsonrpc2.Request, to any) error {
	err := errors.New("parameters are missing")
	if req.Params != nil {
		err = json.Unmarshal(*req.Params, to)
	}
	if err != nil {
		d.links.cfg.Metrics.faults.WithLabelValues(faultBadParams).Inc()
		return err
	}
	d.links.cfg.Metrics.received.WithLabelValues(req.Method).Inc()
	return nil
}

func (d *dispatcher) replyError(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, text string) {
	if req.Notif {
		return
	}
	d.countReplyError(conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: text}))
}

func (d *dispatcher) countReplyError(err error) {
	if err != nil {
		d.links.cfg.Metrics.faults.WithLabelValues(faultWrite).Inc()
	}
}

func invalidParams(err error) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
}

// rejectRequests returns a handler for outgoing connections, on which peers send
// no requests. It rejects each request and counts it as a fault.
func rejectRequests(l *Links) jsonrpc2.Handler {
	return jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		l.cfg.Metrics.faults.WithLabelValues(faultUnknownMethod).Inc()
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	})
}
