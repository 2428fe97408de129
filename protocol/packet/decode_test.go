package packet

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
)

func TestDecodeAccepts(t *testing.T) {
	syn := layers.TCP{SYN: true, Seq: 7}
	data := layers.TCP{ACK: true, Seq: 8, Ack: 9}
	fin := layers.TCP{ACK: true, FIN: true, Seq: 8, Ack: 9}
	rst := layers.TCP{RST: true, Seq: 8}
	answer4 := wire.TCP(service4, caller4, data, []byte("answer"))
	answer6 := wire.UDP(service6, caller6, []byte("answer"))
	cases := []struct {
		name    string
		raw     []byte
		flow    Flow
		class   Class
		payload int
		seq     uint32
		ack     bool
	}{
		{"syn4", wire.TCP(caller4, service4, syn, nil), flowOf(caller4, service4, ProtoTCP), Opening, 0, 7, false},
		{"data6", wire.TCP(caller6, service6, data, []byte("abc")), flowOf(caller6, service6, ProtoTCP), Data, 3, 8, true},
		{"fin4", wire.TCP(caller4, service4, fin, nil), flowOf(caller4, service4, ProtoTCP), Closing, 0, 8, true},
		{"rst6", wire.TCP(caller6, service6, rst, nil), flowOf(caller6, service6, ProtoTCP), Reset, 0, 8, false},
		{"udp4", wire.UDP(caller4, service4, []byte("ab")), flowOf(caller4, service4, ProtoUDP), Datagram, 2, 0, false},
		{"udp6", wire.UDP(caller6, service6, nil), flowOf(caller6, service6, ProtoUDP), Datagram, 0, 0, false},
		{"too big 4", icmpPacket(service4, 3, 4, answer4[:28]), flowOf(caller4, service4, ProtoTCP), ICMPError, 0, 0, false},
		{"too big 6", icmpPacket(service6, 2, 0, answer6), flowOf(caller6, service6, ProtoUDP), ICMPError, 0, 0, false},
	}
	var d Decoder
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p Packet
			is.Equal(d.Decode(c.raw, &p), CauseNone)
			is.Equal(p.Flow, c.flow)
			is.Equal(p.Class, c.class)
			is.Equal(p.PayloadLen, c.payload)
			is.Equal(p.Seq, c.seq)
			is.Equal(p.AckValid, c.ack)
		})
	}
}

// edit returns a copy of raw with the byte at i set and, if raw is IPv4, with the
// header checksum recomputed.
func edit(raw []byte, i int, value byte) []byte {
	b := append([]byte(nil), raw...)
	b[i] = value
	if b[0]>>4 == 4 && len(b) >= ipv4HeaderLen {
		binary.BigEndian.PutUint16(b[10:], 0)
		headerLen := min(max(int(b[0]&0xf)*4, ipv4HeaderLen), len(b))
		binary.BigEndian.PutUint16(b[10:], checksum(b[:headerLen], 0))
	}
	return b
}

func refusedPackets() map[string]refusedPacket {
	tcp4 := wire.TCP(caller4, service4, layers.TCP{SYN: true}, nil)
	tcp6 := wire.TCP(caller6, service6, layers.TCP{SYN: true}, nil)
	udp4 := wire.UDP(caller4, service4, []byte("x"))
	udp6 := wire.UDP(caller6, service6, []byte("x"))
	answer4 := wire.TCP(service4, caller4, layers.TCP{ACK: true}, nil)
	answer6 := wire.TCP(service6, caller6, layers.TCP{ACK: true}, nil)
	other := netip.MustParseAddrPort("198.51.100.2:443")
	multicast := netip.MustParseAddrPort("224.0.0.1:40000")
	mapped4 := netip.MustParseAddrPort("[::ffff:192.0.2.7]:40000")
	damaged := append([]byte(nil), tcp4...)
	damaged[8]++
	icmpDamaged := icmpPacket(service4, 3, 4, answer4)
	icmpDamaged[ipv4HeaderLen+1]++
	return map[string]refusedPacket{
		"empty":                {nil, CauseTruncated},
		"short IPv4 header":    {tcp4[:19], CauseTruncated},
		"short IPv6 header":    {tcp6[:39], CauseTruncated},
		"IPv6 without payload": {edit(tcp6, 5, 0)[:40], CauseTruncated},
		"cut IPv4":             {tcp4[:30], CauseTruncated},
		"cut IPv6":             {tcp6[:50], CauseTruncated},
		"trailing byte IPv4":   {append(edit(tcp4, 0, 0x45), 0), CauseBadLength},
		"trailing byte IPv6":   {append(edit(tcp6, 0, 0x60), 0), CauseBadLength},
		"IPv4 length 0":        {edit(edit(tcp4, 3, 0), 2, 0), CauseBadLength},
		"version 5":            {edit(tcp4, 0, 0x55), CauseBadVersion},
		"IPv4 header of 4":     {edit(tcp4, 0, 0x44), CauseBadHeader},
		"IPv4 header past end": {edit(tcp4, 0, 0x4f), CauseTruncated},
		"IPv4 options":         {edit(tcp4, 0, 0x46), CauseOptions},
		"IPv4 checksum":        {damaged, CauseBadChecksum},
		"first fragment":       {edit(udp4, 6, 0x20), CauseFragment},
		"last fragment":        {edit(udp4, 7, 1), CauseFragment},
		"IPv6 fragment":        {edit(udp6, 6, 44), CauseFragment},
		"hop-by-hop options":   {edit(udp6, 6, 0), CauseOptions},
		"routing header":       {edit(udp6, 6, 43), CauseOptions},
		"destination options":  {edit(udp6, 6, 60), CauseOptions},
		"SCTP":                 {edit(tcp4, 9, 132), CauseUnknownProtocol},
		"no next header":       {edit(tcp6, 6, 59), CauseUnknownProtocol},
		"ICMPv6 in IPv4":       {edit(tcp4, 9, ProtoICMPv6), CauseUnknownProtocol},
		"ICMP in IPv6":         {edit(tcp6, 6, ProtoICMP), CauseUnknownProtocol},
		"multicast caller":     {wire.UDP(multicast, service4, nil), CauseBadAddress},
		"mapped caller":        {wire.UDP(mapped4, service6, nil), CauseBadAddress},
		"caller is service":    {wire.UDP(service4, service4, nil), CauseBadAddress},
		"TCP header of 4":      {edit(tcp4, 32, 0x40), CauseBadHeader},
		"TCP header past end":  {edit(tcp4, 32, 0x60), CauseTruncated},
		"SYN and FIN":          {edit(tcp4, 33, 0x03), CauseBadFlags},
		"no TCP flag":          {edit(tcp6, 53, 0), CauseBadFlags},
		"UDP length 7":         {edit(udp4, 25, 7), CauseBadLength},
		"UDP length past end":  {edit(udp4, 25, 10), CauseBadLength},
		"echo request 4":       {icmpPacket(service4, 8, 0, answer4), CauseICMPQuery},
		"echo request 6":       {icmpPacket(service6, 128, 0, answer6), CauseICMPQuery},
		"ICMP checksum":        {icmpDamaged, CauseBadChecksum},
		"ICMP without quote":   {icmpPacket(service4, 3, 4, nil), CauseTruncated},
		"ICMP without ports":   {icmpPacket(service4, 3, 4, answer4[:23]), CauseTruncated},
		"ICMP of other flow":   {icmpPacket(other, 3, 4, answer4), CauseBadICMP},
		"ICMP of fragment":     {icmpPacket(service4, 3, 4, edit(answer4, 7, 1)), CauseFragment},
		"ICMP of ICMP":         {icmpPacket(service6, 2, 0, edit(answer6, 6, ProtoICMPv6)), CauseBadICMP},
		"ICMPv6 of IPv4":       {icmpPacket(service6, 2, 0, answer4), CauseBadICMP},
	}
}

type refusedPacket struct {
	raw  []byte
	want Cause
}

func TestDecodeRefuses(t *testing.T) {
	var d Decoder
	for name, c := range refusedPackets() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p Packet
			is.Equal(d.Decode(c.raw, &p).String(), c.want.String())
		})
	}
}

func TestDecodeRoundTrip(t *testing.T) {
	var d Decoder
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		addr := func(name string, first byte, length int) netip.AddrPort {
			b := rapid.SliceOfN(rapid.Byte(), length, length).Draw(t, name)
			b[0] = first // unicast and not IPv4-mapped
			ip, _ := netip.AddrFromSlice(b)
			return netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, name+" port"))
		}
		length := rapid.SampledFrom([]int{4, 16}).Draw(t, "address length")
		caller, service := addr("caller", 0x20, length), addr("service", 0x30, length)
		payload := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "payload")
		seq, ack := rapid.Uint32().Draw(t, "seq"), rapid.Uint32().Draw(t, "ack")
		var p Packet
		raw := wire.TCP(caller, service, layers.TCP{ACK: true, Seq: seq, Ack: ack}, payload)
		is.Equal(d.Decode(raw, &p), CauseNone)
		is.Equal(p, Packet{
			Raw: raw, Flow: flowOf(caller, service, ProtoTCP), Class: Data,
			PayloadLen: len(payload), Seq: seq, Ack: ack, AckValid: true,
		})
		reset := AppendReset(nil, &p.Flow, true, seq, ack, true)
		is.Equal(d.Decode(reset, &p), CauseNone)
		is.Equal(p.Flow, flowOf(caller, service, ProtoTCP))
		is.Equal(p.Seq, seq)
		raw = wire.UDP(caller, service, payload)
		is.Equal(d.Decode(raw, &p), CauseNone)
		is.Equal(p, Packet{
			Raw: raw, Flow: flowOf(caller, service, ProtoUDP), Class: Datagram,
			PayloadLen: len(payload),
		})
	})
}

func TestDecodeAllocatesNothing(t *testing.T) {
	is := is.New(t)
	multipath := layers.TCP{ACK: true, Options: []layers.TCPOption{
		{OptionType: layers.TCPOptionKindMultipathTCP, OptionLength: 12, OptionData: make([]byte, 10)},
	}}
	packets := [][]byte{
		wire.TCP(caller4, service4, multipath, make([]byte, 100)),
		wire.UDP(caller6, service6, make([]byte, 100)),
		icmpPacket(service4, 3, 4, wire.TCP(service4, caller4, layers.TCP{ACK: true}, nil)),
	}
	for _, c := range refusedPackets() {
		packets = append(packets, c.raw)
	}
	d, p := new(Decoder), new(Packet)
	allocs := testing.AllocsPerRun(100, func() {
		for _, raw := range packets {
			d.Decode(raw, p)
		}
	})
	is.Equal(allocs, 0.0)
}
