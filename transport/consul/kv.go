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
	sent := c.history.sent(prefix)
	resp, err := c.doIndexed(ctx, r)
	if err != nil {
		return store.Snapshot{}, err
	}
	snapshot := store.Snapshot{Index: resp.index}
	var pairs []kvPair
	if resp.status != http.StatusNotFound {
		if err := r.decode(resp, &pairs); err != nil {
			return store.Snapshot{}, err
		}
	}
	for _, p := range pairs {
		snapshot.Entries = append(snapshot.Entries, p.entry())
	}
	snapshot.Epoch = c.history.received(prefix, sent, snapshot.Index, newListing(snapshot))
	return snapshot, nil
}

// Watch implements store.Store with a blocking query. It queries only the keys,
// which keeps the response short, since only the index is needed. An index that
// stays the same may have been given out again, so the last write is read back.
func (c *Client) Watch(ctx context.Context, prefix store.Key, after store.Position, wait time.Duration) (store.Position, error) {
	sent := c.history.sent(prefix)
	if after.Index != 0 && after.Epoch != sent.epoch {
		return store.Position{Epoch: sent.epoch, Index: max(sent.index, 1)}, nil
	}
	wait = min(wait, store.MaxWatchWait)
	resp, err := c.doIndexed(ctx, request{
		op: store.OpWatch, key: prefix,
		method: http.MethodGet, path: kvPath(prefix),
		query: url.Values{
			"keys":  {""},
			"index": {strconv.FormatUint(uint64(after.Index), 10)},
			"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
		},
		timeout: c.timeout + wait + wait/waitJitterDivisor,
	})
	if err != nil {
		return store.Position{}, err
	}
	if resp.index == after.Index && sent.list != nil && sent.list.index == after.Index {
		return c.confirm(ctx, prefix, sent)
	}
	sent.index = max(sent.index, after.Index)
	return store.Position{Epoch: c.history.received(prefix, sent, resp.index, nil), Index: resp.index}, nil
}

// confirm returns the position of a list whose index has not changed. If the last
// write is not the one that was listed, the index was given out again for another
// one. If there is nothing to read back, as after a deletion, it lists again.
func (c *Client) confirm(ctx context.Context, prefix store.Key, listed mark) (store.Position, error) {
	unchanged := store.Position{Epoch: listed.epoch, Index: listed.list.index}
	key, ok := listed.list.last()
	if !ok {
		again, err := c.List(ctx, prefix)
		return again.Position(), err
	}
	entry, err := c.Get(ctx, key)
	switch {
	case store.IsKind(err, store.NotFound):
		again, err := c.List(ctx, prefix)
		return again.Position(), err
	case err != nil:
		return store.Position{}, err
	case store.Index(entry.Revision) > unchanged.Index:
		return store.Position{Epoch: listed.epoch, Index: store.Index(entry.Revision)}, nil
	case stampOf(entry) != listed.list.entries[key]:
		return store.Position{Epoch: c.history.restored(listed), Index: unchanged.Index}, nil
	}
	return unchanged, nil
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
