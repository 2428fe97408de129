package consul

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// kvPair is an entry of a response. Value is base64 in JSON.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

func (p kvPair) entry() store.Entry {
	return store.Entry{
		Key:      store.Key(p.Key),
		Value:    p.Value,
		Revision: store.Revision(p.ModifyIndex),
		Lease:    store.LeaseID(p.Session),
	}
}

// Get implements store.Store. The read is linearizable ("consistent").
func (c *Client) Get(ctx context.Context, key store.Key) (store.Entry, error) {
	r := request{
		op: store.OpGet, key: key,
		method: http.MethodGet, path: kvPath(key),
		query: url.Values{"consistent": {""}},
	}
	resp, err := c.do(ctx, r)
	if err != nil {
		return store.Entry{}, err
	}
	if resp.status == http.StatusNotFound {
		return store.Entry{}, r.newError(store.NotFound, nil)
	}
	var pairs []kvPair
	if err := r.decode(resp, &pairs); err != nil {
		return store.Entry{}, err
	}
	if len(pairs) != 1 {
		return store.Entry{}, r.newError(store.Unavailable, errors.Newf("response has %d entries instead of 1", len(pairs)))
	}
	return pairs[0].entry(), nil
}

// List implements store.Store. The read is linearizable ("consistent").
func (c *Client) List(ctx context.Context, prefix store.Key) (store.Snapshot, error) {
	r := request{
		op: store.OpList, key: prefix,
		method: http.MethodGet, path: kvPath(prefix),
		query: url.Values{"recurse": {""}, "consistent": {""}},
	}
	resp, err := c.doIndexed(ctx, r)
	if err != nil {
		return store.Snapshot{}, err
	}
	snapshot := store.Snapshot{Index: resp.index}
	if resp.status == http.StatusNotFound {
		return snapshot, nil
	}
	var pairs []kvPair
	if err := r.decode(resp, &pairs); err != nil {
		return store.Snapshot{}, err
	}
	for _, p := range pairs {
		snapshot.Entries = append(snapshot.Entries, p.entry())
	}
	return snapshot, nil
}

// Watch implements store.Store with a blocking query. It queries only the keys,
// which keeps the response short, since only the index is needed.
func (c *Client) Watch(ctx context.Context, prefix store.Key, after store.Index, wait time.Duration) (store.Index, error) {
	wait = min(wait, store.MaxWatchWait)
	resp, err := c.doIndexed(ctx, request{
		op: store.OpWatch, key: prefix,
		method: http.MethodGet, path: kvPath(prefix),
		query: url.Values{
			"keys":  {""},
			"index": {strconv.FormatUint(uint64(after), 10)},
			"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
		},
		timeout: c.timeout + wait + wait/waitJitterDivisor,
	})
	return resp.index, err
}

// doIndexed sends a request and fails if the response has no index.
func (c *Client) doIndexed(ctx context.Context, r request) (response, error) {
	resp, err := c.do(ctx, r)
	if err != nil {
		return response{}, err
	}
	if resp.index == 0 {
		return response{}, r.newError(store.Unavailable, errors.Newf("response without the header %s", indexHeader))
	}
	return resp, nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key store.Key, value []byte, expected store.Revision) error {
	return c.write(ctx, store.Conflict, request{
		op: store.OpPut, key: key,
		method: http.MethodPut, body: value,
		query: url.Values{"cas": {strconv.FormatUint(uint64(expected), 10)}},
	})
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key store.Key, expected store.Revision) error {
	return c.write(ctx, store.Conflict, request{
		op: store.OpDelete, key: key, method: http.MethodDelete,
		query: url.Values{"cas": {strconv.FormatUint(uint64(expected), 10)}},
	})
}

// write sends a conditional write. refused is the error kind if the server
// returns false.
func (c *Client) write(ctx context.Context, refused store.Kind, r request) error {
	if len(r.body) > store.MaxValueBytes {
		return r.newError(store.Invalid, errors.Newf("value has %d bytes, limit is %d", len(r.body), store.MaxValueBytes))
	}
	r.path = kvPath(r.key)
	resp, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return r.newError(store.Invalid, statusError(resp))
	}
	var done bool
	if err := r.decode(resp, &done); err != nil {
		return err
	}
	if !done {
		return r.newError(refused, nil)
	}
	return nil
}
