package consul

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/coordination/store"
)

// The service's transactions (developer.hashicorp.com/consul/api-docs/txn) check and
// write several keys in one step.

// txnOp is one operation of a transaction.
type txnOp struct {
	KV kvOp
}

// kvOp is an operation on one key. Value is base64 in JSON.
type kvOp struct {
	Verb  string
	Key   store.Key
	Value []byte         `json:",omitempty"`
	Index store.Revision `json:",omitempty"`
}

// txnResponse is the response to a transaction that was done.
type txnResponse struct {
	Results []struct{ KV kvPair }
}

// permissionDenied is part of the body of the response to a transaction that the ACL
// token does not allow. Its status is that of a conflict. The first letter is left out,
// so that both cases match.
var permissionDenied = []byte("ermission denied")

// CreateGuard implements store.Store with an empty value under a random key.
func (c *Client) CreateGuard(ctx context.Context) (store.Guard, error) {
	guard := store.Guard{Key: store.GuardsPrefix + store.Key(rand.Text())}
	r := request{op: store.OpCreateGuard, key: guard.Key}
	done, err := c.transact(ctx, r, kvOp{Verb: "cas", Key: guard.Key})
	if err != nil {
		return store.Guard{}, err
	}
	if len(done.Results) != 1 || done.Results[0].KV.ModifyIndex == 0 {
		return store.Guard{}, r.newError(store.UnknownOutcome, errors.New("response without the index of the guard"))
	}
	guard.Revision = store.Revision(done.Results[0].KV.ModifyIndex)
	return guard, nil
}

// PutGuarded implements store.Store. The index of the guard is checked by itself, as
// the deletion of a key that does not exist succeeds.
func (c *Client) PutGuarded(ctx context.Context, key store.Key, value []byte, expected store.Revision, guard store.Guard) error {
	_, err := c.transact(ctx, request{op: store.OpPut, key: key},
		kvOp{Verb: "check-index", Key: guard.Key, Index: guard.Revision},
		kvOp{Verb: "delete", Key: guard.Key},
		kvOp{Verb: "cas", Key: key, Value: value, Index: expected},
	)
	return err
}

// transact sends a transaction. The error is of kind Conflict if a check or a
// comparison failed.
func (c *Client) transact(ctx context.Context, r request, ops ...kvOp) (txnResponse, error) {
	var list []txnOp
	for _, o := range ops {
		list = append(list, txnOp{o})
	}
	var err error
	if r.body, err = json.Marshal(list); err != nil {
		return txnResponse{}, r.newError(store.Invalid, err)
	}
	if len(r.body) > store.MaxValueBytes {
		return txnResponse{}, r.newError(store.Invalid,
			errors.Newf("transaction has %d bytes, limit is %d", len(r.body), store.MaxValueBytes))
	}
	r.method, r.path = http.MethodPut, "/v1/txn"
	resp, err := c.do(ctx, r)
	if err != nil {
		return txnResponse{}, err
	}
	if resp.status != http.StatusOK {
		return txnResponse{}, r.newError(store.Invalid, statusError(resp))
	}
	var done txnResponse
	return done, r.decode(resp, &done)
}

// conflictKind returns the error kind of a response with status 409.
func conflictKind(body []byte) store.Kind {
	if bytes.Contains(body, permissionDenied) {
		return store.Invalid
	}
	return store.Conflict
}
