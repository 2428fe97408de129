package changes

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/platform"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/matryer/is"
)

const ordersText = `# The order book.
service: orders
team: recoating
addresses: [{address: 192.0.2.1, port: 443, protocol: tcp}]
targets:
  - name: t1
    zone: north
    tunnel: 10.0.1.1:6080
    limits: {connections: 2000, openings_in_flight: 3, openings_per_second: 50} # three slots
`

const zonesText = "zones:\n  - {name: north, state: in}\n  - {name: south, state: in}\n"

var archiveText = strings.NewReplacer("orders", "archive", "recoating", "maps",
	"192.0.2.1", "192.0.2.2", "10.0.1.1", "10.0.2.1").Replace(ordersText)

// fixture is a store that has the zones document.
type fixture struct {
	*is.I
	t        *testing.T
	ctx      context.Context
	platform *platform.Platform
	store    store.Store
	ids      *counter
}

type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return fmt.Sprintf("c-%d", c.n)
}

func newFixture(t *testing.T) fixture {
	p := platform.New(platform.Options{})
	f := fixture{
		I: is.New(t), t: t, ctx: t.Context(), platform: p,
		store: platform.NewMemory(p, 20*time.Millisecond), ids: &counter{},
	}
	f.mustApply(zonesText, "")
	return f
}

// writer returns a writer that gives up after the number of retries.
func (f fixture) writer(retries int) *Writer {
	return NewWriter(f.store, f.ids.next, Options{Sleep: func(context.Context, time.Duration) error {
		retries--
		if retries < 0 {
			return context.DeadlineExceeded
		}
		return nil
	}})
}

// failingGetStore fails to read single documents, so that a lost answer cannot be
// resolved by reading back.
type failingGetStore struct{ store.Store }

func (b failingGetStore) Get(ctx context.Context, key store.Key) (store.Entry, error) {
	if _, ok := key.Document(); ok {
		return store.Entry{}, &store.Error{Op: store.OpGet, Key: key, Kind: store.Unavailable}
	}
	return b.Store.Get(ctx, key)
}

func (f fixture) failingGetWriter(retries int) *Writer {
	w := f.writer(retries)
	w.store = failingGetStore{f.store}
	return w
}

func (f fixture) request(text, team string) Request {
	f.t.Helper()
	doc, err := document.Parse("test.yaml", []byte(text))
	f.NoErr(err)
	return Request{Document: doc, Text: []byte(text), Team: team}
}

func (f fixture) apply(text, team string) error {
	f.t.Helper()
	w := f.writer(3)
	plan, err := w.Plan(f.ctx, f.request(text, team))
	if err != nil {
		return err
	}
	return w.Write(f.ctx, plan)
}

func (f fixture) mustApply(text, team string) {
	f.t.Helper()
	f.NoErr(f.apply(text, team))
}

func (f fixture) stored(key document.Key) Stored {
	f.t.Helper()
	all, err := Load(f.ctx, f.store)
	f.NoErr(err)
	f.Equal(len(all.Invalid), 0)
	return all.Documents[key]
}

func (f fixture) claims() int {
	list, err := readClaims(f.ctx, f.store)
	f.NoErr(err)
	return len(list.Claims)
}

// edit returns the stored text of a document with a part replaced.
func (f fixture) edit(key document.Key, from, to string) string {
	f.t.Helper()
	text := string(f.stored(key).Text)
	f.True(strings.Contains(text, from))
	return strings.Replace(text, from, to, 1)
}

const ordersKey = document.Key("services/orders")
