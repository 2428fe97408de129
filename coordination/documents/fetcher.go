package documents

import (
	"math/rand/v2"
	"time"

	"github.com/jujubehaven/jujubehaven/protocol/peer"
)

const (
	// minFetchInterval limits the traffic for inventories while documents differ.
	minFetchInterval = 300 * time.Millisecond
	// peerStateTTL is how long after its backoff the state of a peer is kept.
	peerStateTTL = time.Minute
)

// Fetcher selects the peer to query for documents, one at a time. A peer that had
// nothing new, and so probably lacks documents itself, or that did not answer is
// queried again with exponential backoff. It is not safe for concurrent use.
type Fetcher struct {
	rand      *rand.Rand
	peers     map[string]peerState
	nextFetch time.Duration
}

type peerState struct {
	failures  int
	nextFetch time.Duration
}

// NewFetcher returns a fetcher whose choices depend on the seed.
func NewFetcher(seed uint64) *Fetcher {
	return &Fetcher{
		rand:  rand.New(rand.NewPCG(seed, seed)),
		peers: map[string]peerState{},
	}
}

// Pick returns the peer to query now, out of those whose documents differ; ok is
// false if none is to be queried yet.
func (f *Fetcher) Pick(now time.Duration, hosts []peer.Host) (host peer.Host, ok bool) {
	if now < f.nextFetch {
		return peer.Host{}, false
	}
	f.expire(now)
	var eligible []peer.Host
	for _, h := range hosts {
		if now >= f.peers[h.Name].nextFetch {
			eligible = append(eligible, h)
		}
	}
	if len(eligible) == 0 {
		return peer.Host{}, false
	}
	f.nextFetch = now + minFetchInterval
	return eligible[f.rand.IntN(len(eligible))], true
}

// Done records the result of querying a peer; useful is whether its documents
// changed those in force.
func (f *Fetcher) Done(now time.Duration, host peer.Host, useful bool) {
	if useful {
		delete(f.peers, host.Name)
		return
	}
	state := f.peers[host.Name]
	state.nextFetch = now + backoff(f.rand, state.failures)
	state.failures++
	f.peers[host.Name] = state
}

func (f *Fetcher) expire(now time.Duration) {
	for name, state := range f.peers {
		if now >= state.nextFetch+peerStateTTL {
			delete(f.peers, name)
		}
	}
}
