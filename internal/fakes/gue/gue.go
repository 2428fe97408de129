// Package gue provides the fakes with UDP sockets for GUE-encapsulated IP packets
// and with routes to the sockets of callers.
package gue

import (
	"net"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jujubehaven/jujubehaven/protocol/packet"
)

// maxDatagram is the largest UDP payload in bytes.
const maxDatagram = 65535

// receiveBufferBytes is the requested size of a socket's receive buffer.
const receiveBufferBytes = 4 << 20

// Socket sends and receives GUE-encapsulated IP packets over UDP. Send is safe for
// concurrent use; Receive must be called by one goroutine at a time.
type Socket struct {
	udp *net.UDPConn
	buf []byte
}

// Listen opens a socket on addr; port 0 selects a free port.
func Listen(addr netip.AddrPort) (*Socket, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	if err := udp.SetReadBuffer(receiveBufferBytes); err != nil {
		return nil, errors.CombineErrors(err, udp.Close())
	}
	return &Socket{udp: udp, buf: make([]byte, maxDatagram)}, nil
}

// Addr returns the local address.
func (s *Socket) Addr() netip.AddrPort {
	addr := s.udp.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// Send encapsulates the IP packet and sends it to the UDP address of a tunnel or
// of another Socket.
func (s *Socket) Send(to netip.AddrPort, ip []byte) error {
	_, err := s.udp.WriteToUDPAddrPort(packet.AppendGUE(nil, ip), to)
	return err
}

// Receive returns the next IP packet, valid until the next call. Datagrams that
// are not valid GUE, or that have a relay header, are skipped.
func (s *Socket) Receive() ([]byte, error) {
	for {
		n, _, err := s.udp.ReadFromUDPAddrPort(s.buf)
		if err != nil {
			return nil, err
		}
		var relay packet.Relay
		ip, relayed, cause := packet.ParseGUE(s.buf[:n], &relay)
		if cause == packet.CauseNone && !relayed {
			return ip, nil
		}
	}
}

// Close closes the socket; a blocked Receive returns net.ErrClosed.
func (s *Socket) Close() error {
	return s.udp.Close()
}

// Route maps a prefix of caller addresses to the socket of these callers.
type Route struct {
	Prefix netip.Prefix
	Via    netip.AddrPort
}

// ParseRoute parses a route of the form PREFIX=ADDRESS:PORT.
func ParseRoute(text string) (Route, error) {
	prefixText, viaText, ok := strings.Cut(text, "=")
	if !ok {
		return Route{}, errors.Newf("route %q: want PREFIX=ADDRESS:PORT", text)
	}
	prefix, err := netip.ParsePrefix(prefixText)
	if err != nil {
		return Route{}, errors.Wrapf(err, "route %q", text)
	}
	via, err := netip.ParseAddrPort(viaText)
	if err != nil {
		return Route{}, errors.Wrapf(err, "route %q", text)
	}
	return Route{Prefix: prefix, Via: via}, nil
}

// Routes is a routing table; the first matching route is used.
type Routes []Route

// Lookup returns the address of the socket for the caller at addr, or false if no
// route matches.
func (r Routes) Lookup(addr netip.Addr) (netip.AddrPort, bool) {
	for _, route := range r {
		if route.Prefix.Contains(addr) {
			return route.Via, true
		}
	}
	return netip.AddrPort{}, false
}
