package tunnel

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

// batchConn reads and writes several datagrams per system call. It serves both
// IP versions because ipv4.Message and ipv6.Message are the same type.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// socket is a UDP socket with its batch operations.
type socket struct {
	udp   *net.UDPConn
	batch batchConn
}

func openSocket(addr netip.AddrPort) (*socket, error) {
	network := "udp6"
	if familyOf(addr.Addr()) == familyIPv4 {
		network = "udp4"
	}
	udp, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "tunnel: listen on %s", addr)
	}
	if network == "udp4" {
		return &socket{udp: udp, batch: ipv4.NewPacketConn(udp)}, nil
	}
	return &socket{udp: udp, batch: ipv6.NewPacketConn(udp)}, nil
}

func (s *socket) addr() netip.AddrPort {
	return s.udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// buffer holds one datagram behind headroom, so that a longer GUE header can
// replace the received one in place.
type buffer struct {
	bytes []byte
}

// datagram returns the part of the buffer behind the headroom.
func (b *buffer) datagram() []byte {
	return b.bytes[headroom:]
}
