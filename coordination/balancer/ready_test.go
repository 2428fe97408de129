package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runUntilReady advances the time until the host is ready, at most by limit, and
// returns the time that passed.
func runUntilReady(n *testNetwork, h *testHost, limit time.Duration) time.Duration {
	start := n.now
	for !h.Ready() && n.now-start < limit {
		n.run(step, nil)
	}
	return n.now - start
}

// TestReadyOnceHostsAgree checks that hosts which start at different times become
// ready once they are active and have equal views, and stay ready while new
// documents reach them one by one.
func TestReadyOnceHostsAgree(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, seedOr(5))
	zones := []string{"z1", "z2"}
	n.addHost("h0", "z1")
	n.run(minJoinTime+time.Second, nil)
	is.True(!n.host("h0").Ready()) // no documents
	n.setDocuments(testServices(zones, 1, 2), zonesIn(zones), 0)
	is.True(runUntilReady(n, n.host("h0"), time.Minute) < agreementTimeout) // no peers

	late := n.addHost("h1", "z2")
	n.run(minJoinTime/2, nil)
	is.True(!late.Ready()) // still joining, though h0 is active
	is.True(runUntilReady(n, late, time.Minute) < minJoinTime+agreementTimeout)
	is.Equal(late.view.Load().digest, n.host("h0").view.Load().digest)

	n.setDocuments(testServices(zones, 1, 3), zonesIn(zones), 3*time.Second)
	n.run(4*time.Second, func() {
		for _, h := range n.hosts {
			is.True(h.Ready()) // became unready while documents differ
		}
	})
	late.Leave(n.now)
	is.True(late.Ready()) // leaving hosts still forward
}

// TestReadyDespiteDisagreeingPeer checks that a host becomes ready after
// agreementTimeout if the view of a peer stays different, also after a pause that
// makes it rejoin.
func TestReadyDespiteDisagreeingPeer(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, seedOr(6))
	zones := []string{"z1"}
	n.addHost("h0", "z1")
	other := n.addHost("h1", "z1")
	n.setDocuments(testServices(zones, 1, 2), zonesIn(zones), 0)
	n.run(step, nil)
	other.docsDigest++ // the views of the hosts stay different
	n.run(minJoinTime+time.Second, nil)
	first := n.host("h0")
	is.True(first.view.Load().active)
	is.True(!first.Ready())
	n.run(agreementTimeout-time.Second, nil)
	is.True(!first.Ready())
	n.run(2*time.Second, nil)
	is.True(first.Ready())

	first.paused = true
	n.run(maxTickGap+heartbeatTimeout, nil)
	first.paused = false
	n.run(step, nil)
	is.True(!first.Ready()) // it rejoins after the pause
	took := runUntilReady(n, first, time.Minute)
	is.True(took >= minJoinTime+agreementTimeout-time.Second && took < minJoinTime+agreementTimeout+time.Second)
}
