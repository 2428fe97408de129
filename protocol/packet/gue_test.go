package packet

import (
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
)

func TestParseGUERefuses(t *testing.T) {
	inner := wire.UDP(caller4, service4, []byte("x"))
	plain := AppendGUE(nil, inner)
	relayed := AppendRelayGUE(nil, &Relay{Stage: StageLookup, VisitedLen: 1}, inner)
	full := AppendRelayGUEHeader(nil, &Relay{Stage: StageLookup, VisitedLen: MaxVisited}, inner)
	full[0]++
	full[9]++
	tooManyHosts := append(append(full, 0, 0, 0, 0), inner...)
	cases := []struct {
		name string
		raw  []byte
		want Cause
	}{
		{"more than MaxVisited hosts", tooManyHosts, CauseBadRelay},
		{"empty", nil, CauseTruncated},
		{"short header", plain[:3], CauseTruncated},
		{"no payload", plain[:4], CauseTruncated},
		{"private data past end", relayed[:27], CauseTruncated},
		{"variant 1", inner, CauseGUEVariant},
		{"control", setByte(plain, 0, 0x20), CauseGUEControl},
		{"protocol", setByte(plain, 1, 47), CauseGUEProtocol},
		{"flags", setByte(plain, 3, 1), CauseGUEFlags},
		{"IP version contradicts protocol", setByte(plain, 1, 41), CauseBadVersion},
		{"relay magic", setByte(relayed, 4, 0), CauseBadRelay},
		{"relay version", setByte(relayed, 6, 2), CauseBadRelay},
		{"relay stage 0", setByte(relayed, 7, 0), CauseBadRelay},
		{"relay stage 5", setByte(relayed, 7, 5), CauseBadRelay},
		{"relay flags", setByte(relayed, 8, 4), CauseBadRelay},
		{"count below the visited hosts", setByte(relayed, 9, 2), CauseBadRelay},
		{"count above the visited hosts", setByte(relayed, 9, 9), CauseBadRelay},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var r Relay
			_, hasRelay, cause := ParseGUE(c.raw, &r)
			is.Equal(cause.String(), c.want.String())
			is.True(!hasRelay)
			is.Equal(r, Relay{})
		})
	}
}

func setByte(b []byte, i int, value byte) []byte {
	c := append([]byte(nil), b...)
	c[i] = value
	return c
}

func drawRelay(t *rapid.T) Relay {
	r := Relay{
		Stage:           RelayStage(rapid.IntRange(int(StageLookup), int(StagePlaceAny)).Draw(t, "stage")),
		VisitedLen:      rapid.Uint8Range(0, MaxVisited).Draw(t, "visited"),
		ViewsDiffer:     rapid.Bool().Draw(t, "views differ"),
		PeerUnreachable: rapid.Bool().Draw(t, "peer unreachable"),
		View:            rapid.Uint32().Draw(t, "view"),
		Candidate:       rapid.Uint64().Draw(t, "candidate"),
		Excluded:        rapid.Uint16().Draw(t, "excluded"),
	}
	for i := range r.Visited[:r.VisitedLen] {
		r.Visited[i] = rapid.Uint32().Draw(t, "host")
	}
	return r
}

func TestGUERoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		inner := wire.UDP(caller6, service6, rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "payload"))
		want := drawRelay(t)
		var got Relay
		b, hasRelay, cause := ParseGUE(AppendRelayGUE(nil, &want, inner), &got)
		is.Equal(cause, CauseNone)
		is.True(hasRelay)
		is.Equal(got, want)
		is.Equal(b, inner)
		b, hasRelay, cause = ParseGUE(AppendGUE(nil, inner), &got)
		is.Equal(cause, CauseNone)
		is.True(!hasRelay)
		is.Equal(b, inner)
	})
}

func TestGUEAllocatesNothing(t *testing.T) {
	is := is.New(t)
	inner := wire.UDP(caller4, service4, make([]byte, 100))
	in := &Relay{Stage: StageLookup, VisitedLen: MaxVisited}
	out := new(Relay)
	buf := make([]byte, 0, 2048)
	allocs := testing.AllocsPerRun(100, func() {
		ParseGUE(AppendRelayGUE(buf[:0], in, inner), out)
		ParseGUE(AppendGUE(buf[:0], inner), out)
	})
	is.Equal(allocs, 0.0)
	is.Equal(len(AppendRelayGUE(nil, in, inner)), MaxRelayOverhead+len(inner))
}

func TestResetsAndICMPErrorsAreValidPackets(t *testing.T) {
	for _, v6 := range []bool{false, true} {
		caller, service := caller4, service4
		first := layers.LayerTypeIPv4
		if v6 {
			caller, service = caller6, service6
			first = layers.LayerTypeIPv6
		}
		flow := flowOf(caller, service, ProtoTCP)
		var p Packet
		big := wire.UDP(caller, service, make([]byte, 2000))
		if new(Decoder).Decode(big, &p) != CauseNone {
			t.Fatal("request was refused")
		}
		cases := map[string][]byte{
			"to caller":   AppendReset(nil, &flow, false, 1, 2, true),
			"to target":   AppendReset([]byte{}, &flow, true, 1, 0, false),
			"unreachable": AppendUnreachable(nil, &p),
			"too big":     AppendPacketTooBig(nil, &p, 1400),
		}
		for name, raw := range cases {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				decoded := gopacket.NewPacket(raw, first, gopacket.Default)
				is.Equal(decoded.ErrorLayer(), nil)
				for _, layer := range decoded.Layers() {
					if sums, ok := layer.(interface {
						SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
					}); ok {
						is.NoErr(sums.SetNetworkLayerForChecksum(decoded.NetworkLayer()))
					}
				}
				err, mismatches := decoded.VerifyChecksums()
				is.NoErr(err)
				is.Equal(len(mismatches), 0)
			})
		}
	}
}

func TestResetFields(t *testing.T) {
	is := is.New(t)
	flow := flowOf(caller6, service6, ProtoTCP)
	var p Packet
	raw := AppendReset(nil, &flow, true, 5, 9, true)
	is.Equal(new(Decoder).Decode(raw, &p), CauseNone)
	is.Equal(p.Flow, flow)
	is.Equal(p.Class, Reset)
	is.Equal(p.Seq, uint32(5))
	is.Equal(p.Ack, uint32(9))
	is.True(p.AckValid)
	raw = AppendReset(nil, &flow, false, 5, 9, false)
	tcp := gopacket.NewPacket(raw, layers.LayerTypeIPv6, gopacket.Default).Layer(layers.LayerTypeTCP).(*layers.TCP)
	is.Equal(uint16(tcp.SrcPort), service6.Port())
	is.Equal(tcp.Ack, uint32(0))
	is.True(!tcp.ACK)
}

func TestICMPErrorDecodesToItsFlow(t *testing.T) {
	is := is.New(t)
	var d Decoder
	var request, refused Packet
	is.Equal(d.Decode(wire.UDP(caller4, service4, make([]byte, 600)), &request), CauseNone)
	raw := AppendUnreachable(nil, &request)
	is.Equal(len(raw), maxICMPv4ErrorLen)
	// In the flow of the error, caller and service are swapped.
	is.Equal(d.Decode(raw, &refused), CauseNone)
	is.Equal(refused.Flow.CallerAddr(), service4)
	is.Equal(refused.Flow.Service.AddrPort(), caller4)
	// No error is sent about an error.
	is.Equal(len(AppendUnreachable(nil, &refused)), 0)
	is.Equal(len(AppendPacketTooBig(nil, &refused, 1400)), 0)
}
