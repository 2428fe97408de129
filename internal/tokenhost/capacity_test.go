package tokenhost

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/jujubehaven/jujubehaven/coordination/crosszone"
	"github.com/jujubehaven/jujubehaven/coordination/steering"
	"github.com/jujubehaven/jujubehaven/internal/fakes/buffer"
	"github.com/jujubehaven/jujubehaven/internal/settings"
	"github.com/jujubehaven/jujubehaven/protocol/packet"
	"github.com/jujubehaven/jujubehaven/protocol/report"
)

// Guards against summaries at the packet path that are missing at the admin address or
// in the metrics, and against loads that do not reach the exchange with other hosts.
func TestCapacityIsReported(t *testing.T) {
	is := is.New(t)
	x := newTestHost(t, func(s *settings.Settings) {
		s.Balancing.CrossZone, s.Zone = true, "z"
		s.Control = netip.AddrPort{} // the exchange would replace the summaries
	})
	id := crosszone.ID("book")
	x.host.packets.SetPeerLoads(&steering.PeerLoads{Hosts: 12, Settled: true, At: x.host.clock(), Zones: []crosszone.Zone{
		{Name: "a", At: x.host.clock() + time.Hour, Services: []crosszone.Service{{ID: id, Slots: 40, Busy: 12, Offer: 20}}},
		{Name: "b", At: x.host.clock() + time.Hour, Services: []crosszone.Service{{ID: id, Slots: 8, Offer: 4}}}, // no target here
		{Name: "z", At: x.host.clock() + time.Hour, Services: []crosszone.Service{{ID: id, Slots: 100, Demand: 30}}},
	}})
	var got report.Capacity
	x.eventually("the capacity", func() bool {
		status, body, err := x.get(x.host.settings.Admin, report.CapacityPath)
		return err == nil && status == http.StatusOK && json.Unmarshal([]byte(body), &got) == nil && len(got.Services) == 1
	})
	is.Equal(got, report.Capacity{Host: "h1", Zone: "z", Enabled: true, Services: []report.ServiceCapacity{{
		Service: "book", Known: true, Slots: 100, Demand: 30, Spare: 55,
		Zones: []report.ZoneCapacity{{Zone: "a", Slots: 40, Busy: 12, Spare: 20}, {Zone: "b", Slots: 8}},
	}}})
	_, body, err := x.get(x.host.settings.Metrics, "/metrics")
	is.NoErr(err)
	for _, line := range []string{
		`jujubehaven_token_zone_spare_slots{service="book",zone="z"} 55`,
		`jujubehaven_token_zone_spare_slots{service="book",zone="a"} 20`,
		`jujubehaven_token_zone_share_away{service="book",zone="a"} 0`,
	} {
		is.True(strings.Contains(body, line))
	}
	x.exchange(rawPacket(packet.Opening, ""))
	x.eventually("the loads", func() bool {
		return slices.Equal(local{x.host}.ZoneLoads(), []crosszone.Load{{Service: "book", Zone: "a", Busy: 1}})
	})
}

func TestShareEventIsLogged(t *testing.T) {
	var out buffer.Buffer
	l := newDecisionLog(zerolog.New(&out), func() time.Duration { return 0 })
	l.logShareEvent(steering.ShareEvent{Service: "book", Share: 0.3, Former: 0.1, Slots: 60, Demand: 80})
	for _, field := range []string{`"zone_share_changed"`, `"service":"book"`, `"share":0.3`, `"former":0.1`, `"slots":60`, `"demand":80`} {
		is.New(t).True(strings.Contains(out.String(), field))
	}
}
