package gossip

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
)

// testSummary returns a summary of a number of services with slots slots each.
func testSummary(services int, slots uint32) *Message {
	m := &Message{
		Kind: KindSummary, Summary: &Summary{Sequence: 100_000},
		From: Host{
			Name: "edge-west-2a-110", Zone: "west-2a", Addr: netip.MustParseAddrPort("10.20.30.40:7720"),
			Started: 1_764_800_000_000_000_000, Protocol: Protocol, LinkMbps: 200,
		},
	}
	for i := range uint32(services) {
		m.Summary.Services = append(m.Summary.Services, ServiceSummary{
			Service: (i + 1) * 2654435761, Slots: slots, Busy: slots * 9 / 10, Demand: slots * 3 / 2, Offer: slots / 8, Sent: slots / 4,
		})
	}
	return m
}

// Guards against summaries that cause much traffic between zones, which is expensive: one
// of 20 services with all slots of 733 targets stays within 400 bytes.
func TestSummarySize(t *testing.T) {
	is := is.New(t)
	m := testSummary(20, 2*733/20)
	b, err := Encode(m)
	is.NoErr(err)
	t.Logf("%d bytes", len(b))
	is.True(len(b) <= 400)
	got, err := Decode(b)
	is.NoErr(err)
	is.Equal(cmp.Diff(*m, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })), "")
}

// The summaries of six zones, with 20 services each, add a bounded number of bytes to
// the loads of 512 targets in a digest. Each summary is in one of two digests.
func TestSummariesInDigest(t *testing.T) {
	is := is.New(t)
	m := testMessage()
	m.Kind, m.Digest = KindDigest, &Digest{Hosts: 110}
	for i := range uint32(512) {
		m.Digest.Loads = append(m.Digest.Loads, TargetLoad{Token: (i + 1) * 2654435761, Open: int(i % 9), Busy: int(i % 5)})
	}
	alone, err := Encode(m)
	is.NoErr(err)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, zone := range []string{"a", "b", "c", "d", "e", "f"} {
		services := testSummary(20, 73).Summary.Services
		for i := range services {
			s := &services[i]
			s.Slots, s.Busy, s.Demand, s.Offer, s.Sent = rng.Uint32N(150), rng.Uint32N(200), rng.Uint32N(200), rng.Uint32N(30), rng.Uint32N(30)
		}
		m.Digest.Zones = append(m.Digest.Zones, ZoneSummary{Zone: zone, AgeMS: rng.Uint32N(200), Services: services})
	}
	with, err := Encode(m)
	is.NoErr(err)
	t.Logf("%d bytes without summaries, %d with six", len(alone), len(with))
	is.True(len(with)-len(alone) <= 1800)
}

// Builds without summaries must still read a digest that carries them.
func TestOldBuildsIgnoreSummaries(t *testing.T) {
	is := is.New(t)
	m := testMessage()
	m.Kind, m.Digest = KindDigest, &Digest{Hosts: 12, Zones: []ZoneSummary{{Zone: "b"}}}
	m.Summary = testSummary(1, 1).Summary
	b, err := Encode(m)
	is.NoErr(err)
	var old struct {
		Kind   Kind `cbor:"1,keyasint"`
		Digest *struct {
			Hosts int `cbor:"1,keyasint"`
		} `cbor:"8,keyasint,omitempty"`
	}
	is.NoErr(cbor.Unmarshal(b, &old))
	is.Equal(old.Digest.Hosts, 12)
}
