package docsource

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/documents"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/hostlist"
)

// hostsSeed is added to the seed so that the jitter of this host's two
// followers differs.
const hostsSeed = 1

// follower reads and watches one prefix of the store as its Watcher decides.
type follower struct {
	source  *Source
	prefix  store.Key
	watcher *documents.Watcher
	wanted  func() bool
	// receive processes the entries under the prefix. restored is set if they are the
	// first since the store was restored from an older copy.
	receive func(entries []store.Entry, restored bool)
	// failing is set while calls fail, so that only the first failure is logged.
	failing bool
}

// followDocuments follows the documents in the store while this host is a
// watcher or is not ready yet.
func (s *Source) followDocuments(ctx context.Context) {
	f := follower{
		source:  s,
		prefix:  store.DocumentsPrefix,
		watcher: documents.NewWatcher(s.cfg.Seed),
		wanted:  func() bool { return !s.Ready() || s.cfg.IsWatcher() },
		receive: s.receiveDocuments,
	}
	f.run(ctx)
}

func (s *Source) followHosts(ctx context.Context) {
	f := follower{
		source:  s,
		prefix:  store.HostsKey,
		watcher: documents.NewWatcher(s.cfg.Seed + hostsSeed),
		wanted:  func() bool { return true },
		receive: s.receiveHosts,
	}
	f.run(ctx)
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		step := f.watcher.Next(f.source.now(), f.wanted())
		switch step.Kind {
		case documents.StepRead:
			f.read(ctx)
		case documents.StepWatch:
			f.watch(ctx, step)
		default:
			sleep(ctx, step.Wait)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *follower) read(ctx context.Context) {
	snapshot, err := f.source.cfg.Store.List(ctx, f.prefix)
	if f.failed(ctx, store.OpList, err) {
		return
	}
	restored := f.watcher.ReadDone(snapshot.Position())
	if restored {
		f.source.cfg.Metrics.historyLost.Inc()
		f.source.cfg.Log.Warn().Str("event", "store_history_lost").Str("prefix", string(f.prefix)).
			Uint64("epoch", uint64(snapshot.Epoch)).Uint64("revision", uint64(snapshot.Index)).Send()
	}
	f.receive(snapshot.Entries, restored)
}

func (f *follower) watch(ctx context.Context, step documents.Step) {
	at, err := f.source.cfg.Store.Watch(ctx, f.prefix, step.After, step.Wait)
	if f.failed(ctx, store.OpWatch, err) {
		return
	}
	f.watcher.WatchDone(at)
}

// failed records the result of a call and reports whether it failed.
func (f *follower) failed(ctx context.Context, op store.Op, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	f.source.cfg.Metrics.countCall(op, err)
	if err == nil {
		if f.failing {
			f.source.cfg.Log.Info().Str("event", "store_reachable").Str("prefix", string(f.prefix)).Send()
		}
		f.failing = false
		return false
	}
	delay := f.watcher.Failed(f.source.now())
	if !f.failing {
		f.source.cfg.Log.Warn().Str("event", "store_unreachable").Str("prefix", string(f.prefix)).
			Err(err).Dur("retry_ms", delay).Send()
	}
	f.failing = true
	return true
}

// receiveDocuments offers the stored documents to the set, which takes only higher
// generations, also from a copy.
func (s *Source) receiveDocuments(entries []store.Entry, _ bool) {
	var texts []documents.Text
	for _, entry := range entries {
		key, ok := entry.Key.Document()
		if !ok {
			s.cfg.Log.Warn().Str("event", "document_key_unknown").Str("key", string(entry.Key)).Send()
			continue
		}
		texts = append(texts, documents.Text{Key: key, YAML: entry.Value, Source: sourceStore})
	}
	s.offer(texts)
}

// receiveHosts replaces the list of hosts. A missing or invalid list leaves the
// previous one in place.
func (s *Source) receiveHosts(entries []store.Entry, restored bool) {
	if restored {
		s.holdLeaving()
	}
	for _, entry := range entries {
		if entry.Key != store.HostsKey {
			continue
		}
		list, err := hostlist.Parse(entry.Value)
		if err != nil {
			s.cfg.Metrics.rejectedHostLists.Inc()
			s.cfg.Log.Warn().Str("event", "host_list_rejected").Err(err).Send()
			return
		}
		s.cfg.Log.Info().Str("event", "host_list_accepted").Int("hosts", len(list.Hosts)).Send()
		s.setHosts(list)
	}
}

// resultLabel returns the metric label for the result of a store call.
func resultLabel(err error) string {
	var e *store.Error
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &e):
		return e.Kind.String()
	}
	return "other"
}
