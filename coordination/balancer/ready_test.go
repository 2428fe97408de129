package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runUntilReady lets time pass until the host is ready, and returns how long.
func runUntilReady(n *link, h *testHost, limit time.Duration) time.Duration {
	start := n.now
	for !h.Ready() && n.now-start < limit {
		n.run(step, nil)
	}
	return n.now - start
}

// Hosts that start at different times are ready once they serve and agree on
// who serves, and stay so when documents reach them one by one.
func TestReadyOnceHostsAgree(t *testing.T) {
	is := is.New(t)
	n := newLink(t, seedOr(5))
	zones := []string{"z1", "z2"}
	n.addHost("h0", "z1")
	n.run(minJoinTime+time.Second, nil)
	is.True(!n.host("h0").Ready()) // no documents
	n.setDocuments(testServices(zones, 1, 2), zonesIn(zones), 0)
	is.True(runUntilReady(n, n.host("h0"), time.Minute) < agreementTimeout) // alone

	late := n.addHost("h1", "z2")
	n.run(minJoinTime/2, nil)
	is.True(!late.Ready()) // joining, though h0 serves
	is.True(runUntilReady(n, late, time.Minute) < minJoinTime+agreementTimeout)
	is.Equal(late.view.Load().digest, n.host("h0").view.Load().digest)

	n.setDocuments(testServices(zones, 1, 3), zonesIn(zones), 3*time.Second)
	n.run(4*time.Second, func() {
		for _, h := range n.hosts {
			is.True(h.Ready()) // differing documents don't end it
		}
	})
	late.Leave(n.now)
	is.True(late.Ready()) // leaving hosts still forward
}

// A host that a peer never agrees with is ready after a bounded time, again
// after each pause that makes it join anew.
func TestReadyInSpiteOfAPeer(t *testing.T) {
	is := is.New(t)
	n := newLink(t, seedOr(6))
	zones := []string{"z1"}
	n.addHost("h0", "z1")
	other := n.addHost("h1", "z1")
	n.setDocuments(testServices(zones, 1, 2), zonesIn(zones), 0)
	n.run(step, nil)
	other.docsDigest++ // so that it always differs
	n.run(minJoinTime+time.Second, nil)
	first := n.host("h0")
	is.True(first.view.Load().active)
	is.True(!first.Ready())
	n.run(agreementTimeout-time.Second, nil)
	is.True(!first.Ready())
	n.run(2*time.Second, nil)
	is.True(first.Ready())

	first.frozen = true
	n.run(maxTickGap+heartbeatTimeout, nil)
	first.frozen = false
	n.run(step, nil)
	is.True(!first.Ready()) // joins anew
	took := runUntilReady(n, first, time.Minute)
	is.True(took >= minJoinTime+agreementTimeout-time.Second && took < minJoinTime+agreementTimeout+time.Second)
}
