package docsource

import (
	"context"
	"time"

	"github.com/jujubehaven/jujubehaven/coordination/documents"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

// fetchSeed is added to the seed so that the fetcher's random choices differ
// from the followers'.
const fetchSeed = 2

// backoffPollInterval is the delay before another attempt when all differing
// peers are backing off.
const backoffPollInterval = 100 * time.Millisecond

// fetchFromPeers fetches from one of the differing peers at a time until ctx is
// done.
func (s *Source) fetchFromPeers(ctx context.Context) {
	fetcher := documents.NewFetcher(s.cfg.Seed + fetchSeed)
	for {
		var hosts []peer.Host
		select {
		case hosts = <-s.differing:
		case <-ctx.Done():
			return
		}
		host, ok := fetcher.Pick(s.now(), hosts)
		if !ok {
			sleep(ctx, backoffPollInterval)
			continue
		}
		changed := s.fetchFrom(ctx, host)
		fetcher.Done(s.now(), host, changed)
	}
}

// fetchFrom fetches from a peer the documents that this host lacks and reports
// whether the documents in force changed.
func (s *Source) fetchFrom(ctx context.Context, host peer.Host) bool {
	inventory, err := s.cfg.Peers.Inventory(ctx, host.Control)
	if err != nil {
		s.fetchFailed(ctx, host, err)
		return false
	}
	var texts []documents.Text
	for _, key := range s.missing(inventory) {
		m, err := s.cfg.Peers.Fetch(ctx, host.Control, string(key))
		if err != nil {
			s.fetchFailed(ctx, host, err)
			break
		}
		texts = append(texts, documents.Text{Key: key, YAML: []byte(m.YAML), Source: host.Name})
	}
	s.cfg.Metrics.fetches.WithLabelValues(fetchResult(texts)).Inc()
	return s.offer(texts)
}

func fetchResult(texts []documents.Text) string {
	if len(texts) == 0 {
		return "nothing"
	}
	return "documents"
}

func (s *Source) missing(m peer.Inventory) []document.Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Missing(m)
}

func (s *Source) fetchFailed(ctx context.Context, host peer.Host, err error) {
	if ctx.Err() != nil {
		return
	}
	s.cfg.Metrics.fetches.WithLabelValues("failed").Inc()
	s.cfg.Log.Warn().Str("event", "fetch_failed").Str("peer", host.Name).Err(err).Send()
}
