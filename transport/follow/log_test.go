package follow

import (
	"context"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/internal/fakes/buffer"
	"github.com/jujubehaven/jujubehaven/internal/logging"
	"github.com/jujubehaven/jujubehaven/protocol/gossip"
)

// Each change of the store's state, of targets, zones and the configuration is
// logged exactly once, with the fields that explain it.
func TestLogLines(t *testing.T) {
	ctx := context.Background()
	deleted := func(x *fixture, key string) {
		x.feed.put(key, "")
		x.feed.changes[len(x.feed.changes)-1].Deleted = true
	}
	for _, c := range []struct {
		name string
		act  func(x *fixture)
		want []string
	}{
		{"start", func(*fixture) {}, []string{
			`event=config_in_force former=0 .*version=1`, `event=store_listed entries=2 epoch=0 kept=0 revision=2`,
		}},
		{"new target", func(x *fixture) { x.feed.put("t/2", "1") }, []string{`event=target_changed address=10.0.0.1:80 change=new .*target=2`}},
		{"removed target", func(x *fixture) { deleted(x, "t/1") }, []string{`event=target_removed revision=3 state=missing target=1`}},
		{"zone out", func(x *fixture) { x.feed.put("o/out/a", "{}") }, []string{`event=zone_changed out=true revision=3 zone=a`}},
		{"configuration", func(x *fixture) { x.feed.put("o/config", "vvvv") }, []string{`event=config_in_force former=1 .*version=4`}},
		{"unreadable entry", func(x *fixture) { x.feed.put("t/1", "x") }, []string{`event=entry_rejected error=.* key=t/1`}},
		{"expired target", func(x *fixture) {
			x.feed.put("t/1", "x")
			_ = x.read(ctx, ReasonReader)
			for range 3 { // the time within which it may be written again
				time.Sleep(900 * time.Millisecond)
				_ = x.read(ctx, ReasonReader)
			}
			x.feed.put("t/2", "1")
		}, []string{`event=target_expired target=1`}},
		{"store lost and back", func(x *fixture) {
			x.recordFailure(&store.Error{Kind: store.Unavailable})
			x.recordFailure(&store.Error{Kind: store.Unavailable})
		}, []string{`event=store_lost error=`, `event=store_regained`}},
		{"history lost", func(x *fixture) {
			x.recordFailure(&store.Error{Kind: store.HistoryLost})
			x.feed.entries = x.feed.entries[:1]
		}, []string{`event=store_history_lost error=`, `event=target_removed listed=true state=missing target=1`, `event=store_listed entries=1`}},
		{"from a feed", func(x *fixture) {
			c := x.feed.put("t/2", "1")
			x.ApplyFeed(&gossip.Feed{From: 2, To: 3, Changes: []gossip.Change{{Key: c.Key, Value: c.Value, Revision: c.Revision}}})
		}, []string{`event=target_changed .*change=new .*target=2`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var out buffer.Buffer
			x := newFixture(time.Hour)
			x.cfg.Log = logging.New(&out, zerolog.InfoLevel)
			is.NoErr(x.read(ctx, ReasonReader))
			c.act(x)
			is.NoErr(x.read(ctx, ReasonReader))
			for _, want := range c.want {
				found := regexp.MustCompile("(?m)"+want).FindAllString(out.String(), -1)
				if len(found) != 1 {
					t.Errorf("%d lines %s in\n%s", len(found), want, out.String())
				}
			}
		})
	}
}

// Guards against a line that does not tell a target that the store's copy lacks,
// which keeps its flows, from one that is gone, at the host that reads the store and
// at one that is fed.
func TestRemovedTargetStateIsLogged(t *testing.T) {
	for _, c := range []struct {
		name  string
		act   func(x *feed)
		state string
	}{
		{"returned from a copy", func(x *feed) {
			x.epoch, x.index = 2, 1
			x.entries = x.entries[:1]
		}, "missing"},
		{"left", func(x *feed) { x.remove("t/1") }, "gone"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reader, fed := newFixture(time.Hour), newFixture(time.Hour)
			fed.cfg.Feed = reader.feed
			reader.feed.epoch = 1
			var readerLog, fedLog buffer.Buffer
			reader.cfg.Log = logging.New(&readerLog, zerolog.InfoLevel)
			fed.cfg.Log = logging.New(&fedLog, zerolog.InfoLevel)
			for _, x := range []*fixture{reader, fed} {
				is.NoErr(x.read(t.Context(), ReasonStart))
				x.skipStart(t)
			}
			c.act(reader.feed)
			if err := reader.read(t.Context(), ReasonReader); err != nil {
				reader.recordFailure(err)
				is.NoErr(reader.read(t.Context(), ReasonHistoryLost))
			}
			is.Equal(len(reader.peers.sent), 1)
			is.True(fed.ApplyFeed(&reader.peers.sent[0]))
			for host, out := range map[string]*buffer.Buffer{"reader": &readerLog, "fed": &fedLog} {
				lines := regexp.MustCompile(`event=target_removed .*`).FindAllString(out.String(), -1)
				if len(lines) != 1 || !strings.Contains(lines[0], "state="+c.state+" ") {
					t.Errorf("%s: lines %q, want one with state=%s", host, lines, c.state)
				}
			}
			is.Equal(reader.lastView().Targets[0].Gone, c.state == "gone")
			is.Equal(fed.lastView().Targets[0].Gone, c.state == "gone")
		})
	}
}
