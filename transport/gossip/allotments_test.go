package gossip

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
)

// Guards against shares that do not arrive over real sockets, that expire without a log
// line, or that a host without allotments gets.
func TestLargeZoneSharesOutSlots(t *testing.T) {
	is := is.New(t)
	targets := func() []allotment.Target {
		var list []allotment.Target
		for i := range uint32(24) {
			list = append(list, allotment.Target{Token: i + 1, Service: "s", Slots: 2})
		}
		return list
	}
	hosts := []*testHost{startAllottingHost(t, "h0", "a", targets)}
	for n := 1; n < 11; n++ {
		hosts = append(hosts, startAllottingHost(t, fmt.Sprintf("h%d", n), "a", targets, hosts[0].addr))
	}
	without := startHost(t, "without", "a", hosts[0].addr)
	held := func(h *testHost) int {
		h.localStub.mu.Lock()
		defer h.localStub.mu.Unlock()
		if h.peerLoads == nil || !h.peerLoads.Share.Valid(h.cfg.Clock()) {
			return 0
		}
		return h.peerLoads.Share.Slots()
	}
	// The reader may be the host without allotments at first; the order of readers
	// decides. Its share of the zone's targets is none in either case.
	eventually(t, "one reader", func() bool {
		readers := 0
		for _, h := range append(hosts, without) {
			if h.Stats().ReadsStore {
				readers++
			}
		}
		return readers == 1
	})
	if without.Stats().ReadsStore {
		without.stop()
	}
	eventually(t, "shares of all hosts", func() bool {
		sum := 0
		for _, h := range hosts {
			if held(h) == 0 {
				return false
			}
			sum += held(h)
		}
		return sum == 48
	})
	is.Equal(held(without), 0)
	var reader, other *testHost
	for _, h := range hosts {
		if h.Stats().ReadsStore {
			reader = h
		} else {
			other = h
		}
	}
	is.True(strings.Contains(other.log.String(), "event=allotments_in_force"))
	for _, h := range hosts {
		if h != reader && h != other {
			h.stop()
		}
	}
	reader.stop()
	eventually(t, "the expiry of the share", func() bool {
		return strings.Contains(other.log.String(), "event=allotments_expired")
	})
}
