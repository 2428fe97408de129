package packet

import (
	"net/netip"

	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
)

// Addresses from the documentation prefixes (RFC 5737, RFC 3849).
var (
	caller4  = netip.MustParseAddrPort("192.0.2.7:40000")
	service4 = netip.MustParseAddrPort("198.51.100.1:443")
	caller6  = netip.MustParseAddrPort("[2001:db8::7]:40000")
	service6 = netip.MustParseAddrPort("[2001:db8:1::1]:443")
	router4  = netip.MustParseAddr("203.0.113.9")
	router6  = netip.MustParseAddr("2001:db8:9::9")
)

func flowOf(caller, service netip.AddrPort, proto uint8) Flow {
	return Flow{
		Caller:     caller.Addr().As16(),
		CallerPort: caller.Port(),
		Service:    NewEndpoint(service, proto),
	}
}

// icmpPacket returns an ICMP message from a router to dst that quotes a packet.
func icmpPacket(dst netip.AddrPort, icmpType, code uint8, quoted []byte) []byte {
	router := router4
	if dst.Addr().Is6() {
		router = router6
	}
	return wire.ICMPError(router, dst.Addr(), icmpType, code, quoted)
}
