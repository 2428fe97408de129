package packet

import (
	"testing"

	"github.com/gopacket/gopacket/layers"

	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
)

func BenchmarkDecode(b *testing.B) {
	data := layers.TCP{ACK: true}
	cases := []struct {
		name string
		raw  []byte
	}{
		{"tcp4", wire.TCP(caller4, service4, data, make([]byte, 1000))},
		{"tcp6", wire.TCP(caller6, service6, data, make([]byte, 1000))},
		{"udp4", wire.UDP(caller4, service4, make([]byte, 1000))},
		{"refused", wire.UDP(service4, service4, nil)},
		{"icmp4", icmpPacket(service4, 3, 4, wire.TCP(service4, caller4, data, nil))},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			var d Decoder
			var p Packet
			b.ReportAllocs()
			for b.Loop() {
				d.Decode(c.raw, &p)
			}
		})
	}
}

func BenchmarkGUE(b *testing.B) {
	inner := wire.UDP(caller4, service4, make([]byte, 1000))
	relay := Relay{Stage: StageLookup, VisitedLen: 3}
	buf := make([]byte, 0, 2048)
	b.Run("plain", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ParseGUE(AppendGUE(buf, inner), &relay)
		}
	})
	b.Run("relay", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ParseGUE(AppendRelayGUE(buf, &relay, inner), &relay)
		}
	})
}

func BenchmarkAppendReset(b *testing.B) {
	flow := flowOf(caller4, service4, ProtoTCP)
	buf := make([]byte, 0, 64)
	b.ReportAllocs()
	for b.Loop() {
		AppendReset(buf, &flow, false, 1, 2, true)
	}
}
