package documents

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/jujubehaven/jujubehaven/protocol/peer"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// spec holds the fields of a service's document that the tests vary.
type spec struct {
	name, team, address, tunnel, zone string
	generation                        int
	change                            string
}

func (s spec) text() Text {
	yaml := fmt.Sprintf(`service: %s
team: %s
generation: %d
change: %s
addresses: [{address: %s, port: 443, protocol: tcp}]
targets:
  - name: t1
    zone: %s
    tunnel: %s:6080
    limits: {connections: 2000, openings_in_flight: 3, openings_per_second: 50}
`, s.name, s.team, s.generation, s.change, s.address, s.zone, s.tunnel)
	return Text{Key: document.ServiceKey(s.name), YAML: []byte(yaml), Source: "test"}
}

func orders(generation int) spec {
	return spec{"orders", "recoating", "192.0.2.1", "10.0.1.1", "north", generation, fmt.Sprintf("o-%d", generation)}
}

func archive(generation int) spec {
	return spec{"archive", "maps", "192.0.2.2", "10.0.2.1", "north", generation, fmt.Sprintf("a-%d", generation)}
}

func (s spec) at(address string) spec {
	s.address = address
	return s
}

func zones(generation int, state string) Text {
	yaml := fmt.Sprintf("generation: %d\nchange: z-%d\nzones: [{name: north, state: %s}]\n", generation, generation, state)
	return Text{Key: document.ZonesKey, YAML: []byte(yaml), Source: "test"}
}

// inForce returns the documents in force as "key=generation".
func inForce(s *Set) string {
	var parts []string
	for _, d := range s.InForce() {
		parts = append(parts, fmt.Sprintf("%s=%d", d.Key, d.Generation))
	}
	return strings.Join(parts, " ")
}

func outcomes(events []Event) string {
	var parts []string
	for _, e := range events {
		parts = append(parts, fmt.Sprintf("%s:%s", e.Key, e.Outcome))
	}
	return strings.Join(parts, " ")
}

func offer(s *Set, texts ...Text) string {
	events, _ := s.Offer(texts)
	return outcomes(events)
}

func TestOffer(t *testing.T) {
	bad := orders(9).text()
	bad.YAML = append(bad.YAML, []byte("extra: 1\n")...)
	other := orders(2)
	other.change = "o-x"
	tests := []struct {
		name    string
		steps   [][]Text
		events  []string
		inForce string
	}{
		{
			"first documents",
			[][]Text{{orders(1).text(), zones(1, "in")}},
			[]string{"services/orders:accepted zones:accepted"},
			"services/orders=1 zones=1",
		},
		{
			"a lower generation never replaces a higher one",
			[][]Text{{orders(3).text()}, {orders(2).text()}, {orders(1).text()}},
			[]string{"services/orders:accepted", "", ""},
			"services/orders=3",
		},
		{
			"a document after a skipped generation is accepted",
			[][]Text{{orders(1).text()}, {orders(7).text()}},
			[]string{"services/orders:accepted", "services/orders:accepted"},
			"services/orders=7",
		},
		{
			"the same text again changes nothing",
			[][]Text{{orders(1).text()}, {orders(1).text()}},
			[]string{"services/orders:accepted", ""},
			"services/orders=1",
		},
		{
			"a missing key in a later read removes nothing",
			[][]Text{{orders(1).text(), archive(1).text()}, {archive(1).text()}},
			[]string{"services/archive:accepted services/orders:accepted", ""},
			"services/archive=1 services/orders=1",
		},
		{
			"an invalid text leaves the old in force and is reported once",
			[][]Text{{orders(1).text()}, {bad}, {bad}},
			[]string{"services/orders:accepted", "services/orders:rejected", ""},
			"services/orders=1",
		},
		{
			"an invalid text does not affect the others",
			[][]Text{{bad, archive(1).text()}},
			[]string{"services/orders:rejected services/archive:accepted"},
			"services/archive=1",
		},
		{
			"another text of the same generation is reported",
			[][]Text{{orders(2).text()}, {other.text()}},
			[]string{"services/orders:accepted", "services/orders:diverged"},
			"services/orders=2",
		},
		{
			"a text under another key",
			[][]Text{{{Key: "services/archive", YAML: orders(1).text().YAML}}},
			[]string{"services/archive:rejected"},
			"",
		},
		{
			"a new service cannot take an address in force",
			[][]Text{{orders(1).text()}, {archive(1).at("192.0.2.1").text()}, {archive(1).at("192.0.2.1").text()}},
			[]string{"services/orders:accepted", "services/archive:held", ""},
			"services/orders=1",
		},
		{
			"an update cannot take an address in force",
			[][]Text{{orders(1).text(), archive(1).text()}, {archive(2).at("192.0.2.1").text()}},
			[]string{"services/archive:accepted services/orders:accepted", "services/archive:held"},
			"services/archive=1 services/orders=1",
		},
		{
			"an address transferred, received in the wrong order",
			[][]Text{
				{orders(1).text(), archive(1).text()},
				{archive(2).at("192.0.2.1").text()},
				{orders(2).at("192.0.2.9").text()},
			},
			[]string{
				"services/archive:accepted services/orders:accepted", "services/archive:held",
				"services/archive:accepted services/orders:accepted",
			},
			"services/archive=2 services/orders=2",
		},
		{
			"addresses swapped at once",
			[][]Text{
				{orders(1).text(), archive(1).text()},
				{orders(2).at("192.0.2.2").text(), archive(2).at("192.0.2.1").text()},
			},
			[]string{
				"services/archive:accepted services/orders:accepted",
				"services/archive:accepted services/orders:accepted",
			},
			"services/archive=2 services/orders=2",
		},
		{
			"a conflicting document does not block the owner's change",
			[][]Text{
				{orders(1).text(), archive(1).text()},
				{archive(2).at("192.0.2.1").text(), orders(2).text()},
			},
			[]string{
				"services/archive:accepted services/orders:accepted",
				"services/orders:accepted services/archive:held",
			},
			"services/archive=1 services/orders=2",
		},
		{
			"a held document is replaced by a later valid one",
			[][]Text{{orders(1).text()}, {archive(1).at("192.0.2.1").text()}, {archive(2).text()}},
			[]string{"services/orders:accepted", "services/archive:held", "services/archive:accepted"},
			"services/archive=2 services/orders=1",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewSet()
			for i, texts := range tt.steps {
				is.Equal(offer(s, texts...), tt.events[i])
			}
			is.Equal(inForce(s), tt.inForce)
		})
	}
}

// A zones document that takes a zone out must not be held because a service
// names a zone that it lacks.
func TestZoneOutIsNeverHeld(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	otherZone := archive(1)
	otherZone.zone = "west"
	offer(s, orders(1).text(), zones(1, "in"), otherZone.text())
	is.Equal(offer(s, zones(2, "out")), "zones:accepted")
	is.Equal(s.Zones().Zones, []document.Zone{
		{Name: "north", State: document.ZoneOut},
		{Name: "west", State: document.ZoneOut}, // named by no zones document
	})
}

func TestReadyNeedsZonesAndService(t *testing.T) {
	is := is.New(t)
	s := NewSet()
	is.True(!s.Ready())
	offer(s, orders(1).text(), archive(1).text())
	is.True(!s.Ready()) // no zones yet
	offer(s, zones(1, "in"))
	is.True(s.Ready())
	onlyZones := NewSet()
	offer(onlyZones, zones(1, "in"))
	is.True(!onlyZones.Ready()) // no service yet
}

func TestPeerExchange(t *testing.T) {
	is := is.New(t)
	a, b := NewSet(), NewSet()
	offer(a, orders(2).text(), zones(5, "out"))
	offer(b, orders(1).text(), archive(4).text())
	is.True(a.Digest() != b.Digest())
	is.Equal(a.Missing(b.Inventory()), []document.Key{"services/archive"})
	is.Equal(b.Missing(a.Inventory()), []document.Key{"services/orders", document.ZonesKey})
	exchange(b, a)
	exchange(a, b)
	is.Equal(inForce(b), "services/archive=4 services/orders=2 zones=5")
	is.Equal(inForce(a), inForce(b))
	is.Equal(a.Digest(), b.Digest())
	_, ok := a.Fetch(peer.Fetch{Key: "services/none"})
	is.True(!ok)
}

// exchange copies the documents that one set lacks from the other.
func exchange(to, from *Set) {
	var texts []Text
	for _, key := range to.Missing(from.Inventory()) {
		if m, ok := from.Fetch(peer.Fetch{Key: string(key)}); ok {
			texts = append(texts, Text{Key: key, YAML: []byte(m.YAML), Source: "peer"})
		}
	}
	to.Offer(texts)
}

// Versions are offered in any order and repeatedly: no generation in force may
// decrease, no two documents in force may conflict, and once the newest versions
// are offered they must be in force.
func TestOfferInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSet()
		highest := map[document.Key]uint64{}
		draws := rapid.IntRange(1, 40).Draw(t, "offers")
		for range draws {
			generation := rapid.IntRange(1, 6).Draw(t, "generation")
			text := zones(generation, "in")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				text = orders(generation).at(addressOf(generation, 0)).text()
			case 1:
				text = archive(generation).at(addressOf(generation, 1)).text()
			}
			s.Offer([]Text{text})
			if conflicts := document.CheckServices(s.Services()); len(conflicts) > 0 {
				t.Fatalf("documents in force conflict: %v", conflicts)
			}
			for _, d := range s.InForce() {
				if d.Generation < highest[d.Key] {
					t.Fatalf("generation of %s decreased from %d to %d", d.Key, highest[d.Key], d.Generation)
				}
				highest[d.Key] = d.Generation
			}
		}
		s.Offer([]Text{orders(6).at(addressOf(6, 0)).text(), archive(6).at(addressOf(6, 1)).text(), zones(6, "in")})
		if got := inForce(s); got != "services/archive=6 services/orders=6 zones=6" {
			t.Fatalf("in force after the newest versions were offered: %s", got)
		}
	})
}

// addressOf lets the two services swap two addresses at each generation.
func addressOf(generation, service int) string {
	return fmt.Sprintf("192.0.2.%d", 1+(generation+service)%2)
}
