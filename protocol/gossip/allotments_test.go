package gossip

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"github.com/jujubehaven/jujubehaven/coordination/allotment"
)

func TestHoldingsRoundTrip(t *testing.T) {
	is := is.New(t)
	var list []allotment.Holding
	for i := range 600 {
		list = append(list, allotment.Holding{Token: uint32(i) * 2654435761, Slots: 1 + i%3})
	}
	b := PackHoldings(list)
	is.True(len(b) <= 4*len(list)+2*6)
	got, err := UnpackHoldings(b)
	is.NoErr(err)
	byToken := func(a, b allotment.Holding) int { return cmp.Compare(a.Token, b.Token) }
	slices.SortFunc(list, byToken)
	slices.SortFunc(got, byToken)
	is.Equal(got, list)
	none, err := UnpackHoldings(nil)
	is.NoErr(err)
	is.Equal(len(none), 0)
}

func TestUnpackRejects(t *testing.T) {
	for name, b := range map[string][]byte{
		"cut": {1, 2, 0, 0, 0, 7}, "no length": {1}, "too long": make([]byte, maxPackedBytes+2),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := UnpackHoldings(b)
			is.New(t).True(err != nil)
		})
	}
}

func testDigest() *Message {
	m := testMessage()
	m.Kind, m.Loads = KindDigest, nil
	m.Digest = &Digest{Hosts: 12, Loads: []TargetLoad{{Token: 7, Busy: 3}}, Allotments: &Allotments{Seq: 9, Hosts: []HostSlots{
		{Host: HostID("h1"), Slots: PackHoldings([]allotment.Holding{{Token: 7, Slots: 2}})}, {Host: HostID("h2")},
	}}}
	m.Holdings = &Holdings{Reader: ReaderID(m.From), Seq: 8, Slots: []byte{1, 1, 0, 0, 0, 7}}
	return m
}

func TestAllotmentsRoundTrip(t *testing.T) {
	is := is.New(t)
	m := testDigest()
	b, err := Encode(m)
	is.NoErr(err)
	got, err := Decode(b)
	is.NoErr(err)
	is.Equal(gocmp.Diff(*m, got, gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
		gocmp.Comparer(func(a, b HostSlots) bool { return a.Host == b.Host && bytes.Equal(a.Slots, b.Slots) })), "")
}

func FuzzAllotments(f *testing.F) {
	b, _ := Encode(testDigest())
	f.Add(b)
	f.Add([]byte{2, 1, 0, 0, 0, 7})
	f.Fuzz(func(t *testing.T, b []byte) {
		if list, err := UnpackHoldings(b); err == nil {
			again, err := UnpackHoldings(PackHoldings(list))
			if err != nil || len(again) != len(list) {
				t.Errorf("%d holdings, after packing %d, %v", len(list), len(again), err)
			}
		}
		m, err := Decode(b)
		if err != nil || m.Digest == nil || m.Digest.Allotments == nil {
			return
		}
		for _, h := range m.Digest.Allotments.Hosts {
			if list, err := UnpackHoldings(h.Slots); err == nil && len(list) > maxPackedBytes/tokenBytes {
				t.Errorf("%d holdings exceed the limit", len(list))
			}
		}
	})
}
