package consul

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// sessionSpec is the request body that creates a session.
type sessionSpec struct {
	TTL       string
	Behavior  string
	LockDelay string
}

// session is the response to the creation of a session.
type session struct {
	ID string
}

// CreateLease implements store.Leases with a session that releases its keys when
// it ends.
func (c *Client) CreateLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	r := request{op: store.OpCreateLease, method: http.MethodPut, path: "/v1/session/create"}
	if ttl < store.MinLeaseTTL || ttl > store.MaxLeaseTTL {
		return "", r.newError(store.Invalid, errors.Newf("TTL %s is not between %s and %s", ttl, store.MinLeaseTTL, store.MaxLeaseTTL))
	}
	body, err := json.Marshal(sessionSpec{TTL: ttl.String(), Behavior: "release", LockDelay: "0s"})
	if err != nil {
		return "", r.newError(store.Invalid, err)
	}
	r.body = body
	resp, err := c.do(ctx, r)
	if err != nil {
		return "", err
	}
	var s session
	if err := r.decode(resp, &s); err != nil {
		return "", err
	}
	if s.ID == "" {
		return "", r.newError(store.UnknownOutcome, errors.New("response without a session ID"))
	}
	return store.LeaseID(s.ID), nil
}

// RenewLease implements store.Leases.
func (c *Client) RenewLease(ctx context.Context, id store.LeaseID) error {
	r := request{
		op: store.OpRenewLease, key: store.Key(id),
		method: http.MethodPut, path: "/v1/session/renew/" + url.PathEscape(string(id)),
	}
	resp, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	if resp.status == http.StatusNotFound {
		return r.newError(store.LeaseLost, nil)
	}
	return nil
}

// RevokeLease implements store.Leases.
func (c *Client) RevokeLease(ctx context.Context, id store.LeaseID) error {
	_, err := c.do(ctx, request{
		op: store.OpRevokeLease, key: store.Key(id),
		method: http.MethodPut, path: "/v1/session/destroy/" + url.PathEscape(string(id)),
	})
	return err
}

// Acquire implements store.Leases.
func (c *Client) Acquire(ctx context.Context, key store.Key, value []byte, id store.LeaseID) error {
	return c.write(ctx, store.Held, request{
		op: store.OpAcquire, key: key,
		method: http.MethodPut, body: value,
		query: url.Values{"acquire": {string(id)}},
	})
}
