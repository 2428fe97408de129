package packet

import (
	"bytes"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
)

func seedPackets() [][]byte {
	data := layers.TCP{ACK: true, Seq: 8, Ack: 9}
	seeds := [][]byte{
		wire.TCP(caller4, service4, layers.TCP{SYN: true}, nil),
		wire.TCP(caller6, service6, data, []byte("data")),
		wire.UDP(caller4, service4, []byte("request")),
		icmpPacket(service4, 3, 4, wire.TCP(service4, caller4, data, nil)),
		icmpPacket(service6, 2, 0, wire.UDP(service6, caller6, nil)),
	}
	for _, c := range refusedPackets() {
		seeds = append(seeds, c.raw)
	}
	return seeds
}

// FuzzDecode compares each accepted packet with gopacket's full decoding.
func FuzzDecode(f *testing.F) {
	for _, raw := range seedPackets() {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var d Decoder
		var p Packet
		if d.Decode(raw, &p) != CauseNone {
			return
		}
		if p.Class == ICMPError {
			checkQuote(t, &p)
			return
		}
		first := layers.LayerTypeIPv4
		if raw[0]>>4 == 6 {
			first = layers.LayerTypeIPv6
		}
		want := gopacket.NewPacket(raw, first, gopacket.NoCopy)
		switch l := want.TransportLayer().(type) {
		case *layers.TCP:
			checkPorts(t, &p, uint16(l.SrcPort), uint16(l.DstPort), len(l.Payload))
			if l.Seq != p.Seq || l.Ack != p.Ack || l.ACK != p.AckValid || l.RST != (p.Class == Reset) {
				t.Fatalf("decoded %+v, gopacket %+v", p, l)
			}
		case *layers.UDP:
			checkPorts(t, &p, uint16(l.SrcPort), uint16(l.DstPort), len(l.Payload))
		default:
			t.Fatalf("accepted %x, gopacket found no transport layer", raw)
		}
	})
}

func checkPorts(t *testing.T, p *Packet, caller, service uint16, payload int) {
	t.Helper()
	if p.Flow.CallerPort != caller || p.Flow.Service.Port != service || p.PayloadLen != payload {
		t.Fatalf("decoded %+v, gopacket found ports %d, %d and a payload of %d bytes",
			p, caller, service, payload)
	}
}

// checkQuote checks that the quoted packet contains the flow's addresses.
func checkQuote(t *testing.T, p *Packet) {
	t.Helper()
	caller := p.Flow.CallerAddr().Addr().AsSlice()
	service := p.Flow.Service.AddrPort().Addr().AsSlice()
	if !bytes.Contains(p.Raw, append(service, caller...)) {
		t.Fatalf("flow %v to %v is not quoted in %x", caller, service, p.Raw)
	}
}

// FuzzParseGUE checks that encoding an accepted header yields the same bytes.
func FuzzParseGUE(f *testing.F) {
	relays := []Relay{
		{Stage: StageLookup, VisitedLen: 1, Visited: [MaxVisited]uint32{7}},
		{Stage: StageAdopt, VisitedLen: MaxVisited, ViewsDiffer: true, PeerUnreachable: true, Candidate: 9},
	}
	for _, raw := range seedPackets() {
		f.Add(raw)
		f.Add(AppendGUE(nil, raw))
		for _, r := range relays {
			f.Add(AppendRelayGUE(nil, &r, raw))
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r Relay
		inner, hasRelay, cause := ParseGUE(raw, &r)
		if cause != CauseNone {
			return
		}
		again := AppendGUE(nil, inner)
		if hasRelay {
			again = AppendRelayGUE(nil, &r, inner)
		}
		if !bytes.Equal(again, raw) {
			t.Fatalf("accepted %x, encodes to %x", raw, again)
		}
	})
}
