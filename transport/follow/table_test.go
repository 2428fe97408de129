package follow

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/fleet"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// pagedTargets is the number of targets whose entries take three pages.
const pagedTargets = 60

// longValue returns the value of a target's entry, of which a page holds about 24.
func longValue(heartbeats int) string {
	return strings.Repeat(" ", 1000) + fmt.Sprint(heartbeats)
}

// tableHosts are a host that the store refuses since its start and hosts with a table.
type tableHosts struct {
	*is.I
	t       *testing.T
	starter *fixture
	mu      sync.Mutex
	// servers are asked in turn. Requests go to the one whose number is the name.
	servers []*fixture
	next    int
	// before runs before a request is answered; it returns false if the reply is lost.
	before func(request, server int) bool
	count  int
}

// newTableHosts returns a starter and servers that have listed the same store with
// paged targets, a zone that is out and a missing target.
func newTableHosts(t *testing.T, servers int) *tableHosts {
	h := &tableHosts{I: is.New(t), t: t, starter: newFixture(100 * time.Millisecond)}
	h.starter.feed.fail(&store.Error{Kind: store.Overloaded})
	for range servers {
		h.servers = append(h.servers, newFixture(time.Hour))
	}
	for i, s := range h.servers {
		if i > 0 {
			s.feed, s.cfg.Feed = h.servers[0].feed, h.servers[0].feed
		}
	}
	if servers > 0 {
		feed := h.servers[0].feed
		feed.epoch = 2
		for i := range pagedTargets {
			feed.put(fmt.Sprintf("t/p%02d", i), longValue(1))
		}
		feed.put("o/out/a", "{}")
	}
	for _, s := range h.servers {
		h.NoErr(s.read(t.Context(), ReasonStart))
	}
	h.starter.peers.tables = h.answer
	h.starter.peers.fetched = func(after store.Position) {
		for _, s := range h.servers {
			if changes := s.ChangesSince(after); changes != nil {
				h.starter.ApplyFetched(changes)
			}
		}
	}
	return h
}

// answer answers a request for a table like hosts over a network.
func (h *tableHosts) answer(after store.Key, from string) {
	time.Sleep(time.Millisecond)
	h.mu.Lock()
	number := h.next
	if from == "" {
		h.next = (h.next + 1) % max(1, len(h.servers))
	} else if _, err := fmt.Sscan(from, &number); err != nil {
		panic(err)
	}
	h.count++
	request := h.count
	h.mu.Unlock()
	if h.before != nil && !h.before(request, number) {
		return
	}
	if number < len(h.servers) {
		if page := h.servers[number].TablePage(after); page != nil {
			h.starter.ApplyTablePage(page, fmt.Sprint(number))
		}
	}
}

func (x *fixture) isUnconfirmed() bool {
	x.Follower.mu.Lock()
	defer x.Follower.mu.Unlock()
	return x.unconfirmed
}

func (x *fixture) position() store.Position {
	x.Follower.mu.Lock()
	defer x.Follower.mu.Unlock()
	return x.pos
}

func (x *fixture) receivesNoTable() bool {
	x.Follower.mu.Lock()
	defer x.Follower.mu.Unlock()
	return x.transfer == nil
}

func (p *stubPeers) requests() []tableRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.tableRequests)
}

// states returns the targets of a view by key, as "usable", "missing" or "gone".
func states(v *fleet.View) map[fleet.TargetKey]string {
	all := map[fleet.TargetKey]string{}
	for _, e := range v.Targets {
		switch {
		case e.Gone:
			all[e.Key] = "gone"
		case e.Missing:
			all[e.Key] = "missing"
		default:
			all[e.Key] = "usable"
		}
	}
	return all
}

// sameView fails unless the starter's view is that of a server.
func (h *tableHosts) sameView(server *fixture) {
	h.t.Helper()
	v := h.starter.lastView()
	h.True(v != nil)
	h.Equal(states(v), states(server.lastView()))
	h.Equal(v.ZonesOut, server.lastView().ZonesOut)
	h.Equal(v.Config.Version, server.lastView().Config.Version)
}

// Guards against a host without a view while others have one: the store refuses it
// since its start.
func TestFirstViewFromAPeer(t *testing.T) {
	for name, c := range map[string]struct {
		servers int
		before  func(request, server int) bool
	}{
		"nothing lost":       {1, nil},
		"every second lost":  {1, func(request, _ int) bool { return request%2 == 0 }},
		"the first one dies": {2, func(request, server int) bool { return request == 1 || server == 1 }},
		"the second page of the first one is lost twice": {2, func(request, _ int) bool { return request != 2 && request != 3 }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newTableHosts(t, c.servers)
				server := h.servers[0]
				server.recordFailure(&store.Error{Kind: store.Unavailable})
				server.feed.remove("t/p00")
				h.NoErr(server.read(t.Context(), ReasonReader))
				h.Equal(states(server.lastView())["p00"], "missing")
				if c.servers > 1 {
					h.servers[1].recordFailure(&store.Error{Kind: store.Unavailable})
					h.NoErr(h.servers[1].read(t.Context(), ReasonReader))
				}
				if c.before != nil {
					h.before = func(request, server int) bool {
						h.True(h.starter.lastView() == nil) // not before the table is complete
						return c.before(request, server)
					}
				}
				h.starter.start(t)
				time.Sleep(5 * time.Second)
				h.sameView(server)
				h.True(h.starter.Ready())
				h.True(!h.starter.StoreAnswers())
				_, complete := h.starter.CompleteTo()
				h.True(!complete)
				_, watches := h.starter.feed.calls()
				h.Equal(watches, 0) // its calls are lists
			})
		})
	}
}

// Guards against a change between two pages that is lost: a target of the first page
// leaves, and one joins whose key belongs there.
func TestTableThatChangesBetweenItsPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTableHosts(t, 1)
		server := h.servers[0]
		server.skipStart(t)
		h.before = func(request, _ int) bool {
			if request == 2 {
				server.feed.remove("t/p01")
				server.feed.put("t/p00a", "1")
				h.NoErr(server.read(t.Context(), ReasonReader))
			}
			return true
		}
		h.starter.start(t)
		time.Sleep(time.Second)
		v := states(h.starter.lastView())
		h.Equal(v["p00a"], "usable")
		h.Equal(v["p01"], "missing") // not gone before the table is confirmed
		h.Equal(h.starter.position(), server.position())
	})
}

// Guards against two histories of the store in one table.
func TestTableWhoseEpochChangesBetweenItsPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTableHosts(t, 1)
		server := h.servers[0]
		h.before = func(request, _ int) bool {
			if request == 2 {
				server.feed.epoch = 3
				server.recordFailure(&store.Error{Kind: store.HistoryLost})
				h.NoErr(server.read(t.Context(), ReasonHistoryLost))
			}
			return true
		}
		h.starter.start(t)
		time.Sleep(time.Second)
		h.Equal(h.starter.position(), server.position())
		h.Equal(h.starter.peers.requests()[2], tableRequest{}) // began again
		h.sameView(server)
	})
}

// Guards against a table that replaces what the host has read itself: the store is
// back in the middle of the transfer, and the rest of the table comes late.
func TestStoreBackDuringTheTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTableHosts(t, 1)
		h.starter.feed.put("t/own", "1")
		h.before = func(request, _ int) bool {
			if request == 2 {
				h.starter.feed.fail(nil)
				time.Sleep(2 * time.Second)
			}
			return true
		}
		h.starter.start(t)
		time.Sleep(5 * time.Second)
		h.Equal(states(h.starter.lastView()), map[fleet.TargetKey]string{"1": "usable", "own": "usable"})
		h.True(!h.starter.isUnconfirmed())
		h.True(h.starter.receivesNoTable())
		h.starter.ApplyTablePage(h.servers[0].TablePage(""), "0") // not requested any more
		h.Equal(len(states(h.starter.lastView())), 2)
	})
}

// Guards against a table that is older than the one that the host has.
func TestOlderTableIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTableHosts(t, 2)
		h.servers[0].feed.put("t/new", "1")
		h.NoErr(h.servers[0].read(t.Context(), ReasonReader))
		h.starter.peers.fetched = nil // changes can't make up for it
		h.starter.start(t)
		time.Sleep(50 * time.Millisecond)
		h.sameView(h.servers[0])
		pos := h.starter.position()
		h.starter.ApplyFeed(&gossip.Feed{From: 900, To: 901, FromEpoch: 2, Epoch: 2}) // its table is outdated
		time.Sleep(5 * time.Second)
		h.True(len(h.starter.peers.requests()) > 4) // the second server was asked, too
		h.Equal(h.starter.position(), pos)
		h.sameView(h.servers[0])
	})
}

// Guards against a host that stays at the table of an older epoch: feeds of the newer
// one don't continue it.
func TestTableOfAnOlderEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTableHosts(t, 1)
		server := h.servers[0]
		h.starter.start(t)
		time.Sleep(time.Second)
		former := h.starter.position()
		server.feed.epoch, server.feed.index = 3, 30
		server.feed.put("t/new", "1")
		server.recordFailure(&store.Error{Kind: store.HistoryLost})
		h.NoErr(server.read(t.Context(), ReasonHistoryLost))
		server.feed.put("t/newer", "1")
		h.NoErr(server.read(t.Context(), ReasonReader))
		sent := server.peers.sent
		h.starter.ApplyFeed(&sent[len(sent)-1]) // the one that crosses the epochs was lost
		time.Sleep(5 * time.Second)
		h.True(former.Before(h.starter.position()))
		h.Equal(h.starter.position(), server.position())
		h.Equal(states(h.starter.lastView())["newer"], "usable")
		h.True(h.starter.isUnconfirmed())
	})
}

// Guards against hosts that stay without a view after the store is back because no other
// host had a table: two hosts without a view, and a build that serves no tables.
func TestNoHostHasATable(t *testing.T) {
	for name, withoutView := range map[string]bool{"no view": true, "older build": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newTableHosts(t, 0)
				if withoutView {
					other := newFixture(100 * time.Millisecond)
					other.feed.fail(&store.Error{Kind: store.Overloaded})
					other.peers.tables = func(after store.Key, _ string) {
						if page := h.starter.TablePage(after); page != nil {
							other.ApplyTablePage(page, "starter")
						}
					}
					h.servers = append(h.servers, other)
					other.start(t)
				} else {
					h.starter.peers.tables = nil
				}
				h.starter.start(t)
				time.Sleep(5 * time.Second)
				h.True(h.starter.lastView() == nil)
				h.True(!h.starter.Ready())
				for _, x := range append(h.servers, h.starter) {
					h.True(x.TablePage("") == nil)
					x.feed.fail(nil)
				}
				time.Sleep(2 * maxRetryDelay)
				for _, x := range append(h.servers, h.starter) {
					h.True(x.lastView() != nil)
					h.True(!x.isUnconfirmed())
				}
			})
		})
	}
}

// Guards against flows that are ended because of a table that nobody has confirmed: a
// deletion leaves the target missing, whatever others say of the store. Only a list or
// the checksum of a host with a list ends that.
func TestNothingIsGoneBeforeTheTableIsConfirmed(t *testing.T) {
	for _, by := range []string{"list", "checksum"} {
		t.Run(by, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newTableHosts(t, 1)
				server := h.servers[0]
				server.skipStart(t)
				h.starter.peers.set(false)
				h.starter.start(t)
				time.Sleep(time.Second)
				h.sameView(server)
				feed := func() *gossip.Feed {
					h.NoErr(server.read(t.Context(), ReasonReader))
					return &server.peers.sent[len(server.peers.sent)-1]
				}
				server.feed.remove("t/p01")
				deletion := *feed()
				deletion.Checksum, deletion.Operator = 0, nil // of a host that may not confirm
				h.True(h.starter.ApplyFeed(&deletion))
				for range 10 {
					h.starter.SetPeerStore(true)
					time.Sleep(time.Second)
					next := *feed()
					next.Checksum, next.Operator = 0, nil
					h.starter.ApplyFeed(&next)
					h.Equal(states(h.starter.lastView())["p01"], "missing")
				}
				h.True(h.starter.isUnconfirmed())
				if by == "list" {
					h.starter.feed, h.starter.cfg.Feed = server.feed, server.feed
					h.NoErr(h.starter.read(t.Context(), ReasonNoFeed))
				} else {
					h.starter.ApplyFeed(feed())
				}
				h.True(!h.starter.isUnconfirmed())
				h.Equal(states(h.starter.lastView())["p01"], "missing") // as after an outage
				for range 4 {
					time.Sleep(time.Second)
					h.starter.ApplyFeed(feed())
				}
				h.Equal(states(h.starter.lastView())["p01"], "gone")
			})
		})
	}
}

// Guards against a table that counts as confirmed because a host agrees that the store
// has refused meanwhile, too: then targets whose entries expired would count as gone.
func TestOnlyTheReadersStoreConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTableHosts(t, 1)
		h.starter.start(t)
		time.Sleep(2 * restoreGrace) // fetches from the server
		h.True(h.starter.isUnconfirmed())
		server := h.servers[0]
		server.skipStart(t)
		h.NoErr(server.read(t.Context(), ReasonReader))
		feed := server.peers.sent[len(server.peers.sent)-1]
		h.True(feed.Checksum != 0 && feed.Operator != nil)
		h.starter.SetPeerStore(false)
		h.starter.ApplyFeed(&feed)
		h.True(h.starter.isUnconfirmed())
		h.starter.SetPeerStore(true)
		h.starter.ApplyFetched(&feed) // the sender may be cut off from the store as well
		h.True(h.starter.isUnconfirmed())
		h.starter.ApplyFeed(&feed)
		h.True(!h.starter.isUnconfirmed())
	})
}

// Guards against hosts that miss the end of an evacuation: if a zone went out and back
// after a host's table was made, its first list shows no difference from the table, but
// a host that was ahead of the table knows the zone as out.
func TestFirstListAfterATableIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTableHosts(t, 1)
		server := h.servers[0]
		h.starter.start(t)
		time.Sleep(time.Second)
		server.feed.put("o/out/b", "{}")
		h.NoErr(server.read(t.Context(), ReasonReader))
		server.feed.remove("o/out/b")
		h.starter.Follower.mu.Lock()
		h.starter.cfg.Feed = server.feed
		h.starter.Follower.mu.Unlock()
		h.NoErr(h.starter.read(t.Context(), ReasonNoFeed))
		h.Equal(len(h.starter.peers.sent), 0)
		h.True(!h.starter.isUnconfirmed())
	})
}

// Guards against two hosts without a list that take each other's table for confirmed.
func TestUnconfirmedHostsDoNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTableHosts(t, 1)
		h.starter.start(t)
		time.Sleep(2 * restoreGrace) // otherwise its feeds would carry the operator's state by now
		h.True(h.starter.isUnconfirmed())
		second := newFixture(time.Hour)
		for after, more := store.Key(""), true; more; {
			page := h.starter.TablePage(after)
			second.transfer = &tableTransfer{after: after, pages: second.pagesSoFar()}
			second.ApplyTablePage(page, "starter")
			more = page.More
			after = page.Entries[len(page.Entries)-1].Key
		}
		h.Equal(second.position(), h.starter.position()) // a table of a host that took it from another one
		h.True(second.Stats().LastUpdate <= h.starter.Stats().LastUpdate)
		changes := h.starter.ChangesSince(second.position())
		h.True(changes != nil)
		second.SetPeerStore(true)
		second.ApplyFeed(changes)
		h.True(second.isUnconfirmed())
		time.Sleep(3 * time.Second) // removals at the start leave targets missing in any case
		second.ApplyFeed(&gossip.Feed{
			From: second.position().Index, To: second.position().Index + 1, FromEpoch: 2, Epoch: 2,
			Changes: []gossip.Change{{Key: "t/p01", Revision: store.Revision(second.position().Index + 1), Deleted: true}},
		})
		for range 4 {
			time.Sleep(time.Second)
			second.ApplyFeed(&gossip.Feed{From: second.position().Index, To: second.position().Index + 1, FromEpoch: 2, Epoch: 2})
			h.Equal(states(second.lastView())["p01"], "missing") // also if no call of its own failed
		}
	})
}

// Guards against an unconfirmed host that gets no feeds any more: one has shown that
// its targets differ from the reader's, and the list that would settle it fails.
func TestUnconfirmedTableThatDiffersIsFedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTableHosts(t, 1)
		h.starter.start(t)
		time.Sleep(time.Second)
		next := h.starter.position().Index + 1
		h.starter.ApplyFeed(&gossip.Feed{From: next - 1, To: next, FromEpoch: 2, Epoch: 2, Checksum: 1})
		time.Sleep(time.Second)
		h.True(h.starter.ApplyFeed(&gossip.Feed{From: next, To: next + 1, FromEpoch: 2, Epoch: 2, Checksum: 1}))
		h.True(h.starter.isUnconfirmed())
	})
}

// Guards against a table made of pages that don't belong together: repeated ones, and
// those of another host, come late.
func TestPagesThatWereNotRequestedAreIgnored(t *testing.T) {
	is := is.New(t)
	x := newFixture(time.Hour)
	x.feed.fail(&store.Error{Kind: store.Overloaded})
	page := func(after store.Key, more bool, key store.Key, value string) *gossip.TablePage {
		return &gossip.TablePage{Epoch: 2, Index: 9, After: after, More: more, Entries: []gossip.TableEntry{{Key: key, Value: []byte(value), Revision: 1}}}
	}
	x.ApplyTablePage(page("", false, "o/config", "v"), "a")
	is.True(x.lastView() == nil) // nothing was requested
	x.fetchTable()
	x.ApplyTablePage(page("", true, "o/config", "v"), "a")
	x.ApplyTablePage(page("", true, "o/config", "vvv"), "a")
	x.ApplyTablePage(page("o/config", false, "t/other", "1"), "b")
	is.True(x.lastView() == nil)
	x.ApplyTablePage(page("o/config", false, "t/1", "1"), "a")
	is.Equal(states(x.lastView()), map[fleet.TargetKey]string{"1": "usable"})
	is.Equal(x.lastView().Config.Version, uint64(1))
}

func (x *fixture) pagesSoFar() []*gossip.TablePage {
	if x.transfer == nil {
		return nil
	}
	return x.transfer.pages
}
