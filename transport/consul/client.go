// Package consul implements store.Store and store.Leases over the HTTP API of
// Consul's key-value store and sessions
// (developer.hashicorp.com/consul/api-docs/kv and /session).
package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
)

const (
	// DefaultTimeout bounds each call; the wait of a watch is added to it.
	DefaultTimeout = 5 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
	// maxReasonBytes is how much of an error response's body is kept.
	maxReasonBytes = 200
	// waitJitterDivisor bounds the jitter that the server adds to a watch's
	// wait: up to wait/16, as its documentation says.
	waitJitterDivisor = 16

	indexHeader = "X-Consul-Index"
	tokenHeader = "X-Consul-Token"
)

// Config configures a Client.
type Config struct {
	// URL is the base URL, such as "http://127.0.0.1:8500".
	URL string
	// Token is the ACL token sent with each call; empty for none.
	Token string
	// Timeout bounds each call; 0 means DefaultTimeout.
	Timeout time.Duration
	// HTTP sends the requests; nil means a new client that uses no proxy.
	HTTP *http.Client
}

// Client calls the HTTP API of one server. Its errors are of type *store.Error.
// It is safe for concurrent use.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
	history *history
}

var (
	_ store.Store  = (*Client)(nil)
	_ store.Leases = (*Client)(nil)
)

// New returns a client without connecting. It fails if the URL isn't an absolute
// HTTP or HTTPS URL.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, errors.Newf("platform URL %q: must be of the form http://ip:port", cfg.URL)
	}
	c := &Client{
		base:    strings.TrimSuffix(cfg.URL, "/"),
		token:   cfg.Token,
		timeout: cfg.Timeout,
		http:    cfg.HTTP,
		history: newHistory(),
	}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{Proxy: nil}}
	}
	return c, nil
}

// request is one call of the HTTP API.
type request struct {
	op      store.Op
	key     store.Key
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
}

// response is the status, index and body of an HTTP response; index is 0 if the
// header is missing.
type response struct {
	status int
	index  store.Index
	body   []byte
}

// newError returns the *store.Error of the request.
func (r request) newError(kind store.Kind, cause error) error {
	return &store.Error{Op: r.op, Key: r.key, Kind: kind, Cause: cause}
}

// noResponseKind returns the error kind for a request whose response was lost or
// is unusable: the outcome of a write is unknown.
func (r request) noResponseKind() store.Kind {
	if r.op.Writes() {
		return store.UnknownOutcome
	}
	return store.Unavailable
}

// do sends a request and returns a response of status 200 or 404; other statuses
// are errors.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	if r.timeout == 0 {
		r.timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	target := c.base + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return response{}, r.newError(store.Invalid, err)
	}
	if c.token != "" {
		req.Header.Set(tokenHeader, c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, r.newError(r.transportKind(err), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, r.newError(r.noResponseKind(), err)
	}
	if len(body) > maxResponseBytes {
		return response{}, r.newError(r.noResponseKind(), errors.Newf("response exceeds %d bytes", maxResponseBytes))
	}
	return r.checkResponse(resp, body)
}

// transportKind returns the error kind of a failed HTTP exchange. If the
// connection was never established, a write can't have taken effect.
func (r request) transportKind(err error) store.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return store.Unavailable
	}
	return r.noResponseKind()
}

// checkResponse converts an HTTP response and returns the error that its status
// stands for.
func (r request) checkResponse(resp *http.Response, body []byte) (response, error) {
	result := response{status: resp.StatusCode, body: body}
	switch {
	case result.status == http.StatusOK, result.status == http.StatusNotFound:
	case result.status == http.StatusTooManyRequests:
		return result, r.newError(store.Unavailable, statusError(result))
	case result.status == http.StatusConflict:
		return result, r.newError(conflictKind(body), statusError(result))
	case result.status < http.StatusInternalServerError:
		return result, r.newError(store.Invalid, statusError(result))
	case bytes.Contains(body, []byte("invalid session")):
		return result, r.newError(store.LeaseLost, statusError(result))
	default:
		return result, r.newError(r.noResponseKind(), statusError(result))
	}
	if text := resp.Header.Get(indexHeader); text != "" {
		index, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return result, r.newError(r.noResponseKind(), errors.Wrapf(err, "header %s", indexHeader))
		}
		result.index = store.Index(index)
	}
	return result, nil
}

func statusError(resp response) error {
	reason := strings.TrimSpace(string(resp.body[:min(len(resp.body), maxReasonBytes)]))
	return fmt.Errorf("status %d: %s", resp.status, reason)
}

// decode unmarshals the JSON body of a response into v.
func (r request) decode(resp response, v any) error {
	if err := json.Unmarshal(resp.body, v); err != nil {
		return r.newError(r.noResponseKind(), errors.Wrap(err, "decode the response"))
	}
	return nil
}

func kvPath(key store.Key) string {
	u := url.URL{Path: "/v1/kv/" + string(key)}
	return u.EscapedPath()
}
