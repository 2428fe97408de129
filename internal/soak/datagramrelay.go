package soak

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// maxDatagramLen is the largest UDP payload over IPv4, in bytes.
const maxDatagramLen = 65_507

// DatagramRelay relays UDP datagrams one way, from its own address to another.
type DatagramRelay struct {
	conn       *net.UDPConn
	to         netip.AddrPort
	impairment impairmentState
}

// NewDatagramRelay starts a relay that forwards datagrams from the address listen
// to the address to.
func NewDatagramRelay(listen, to netip.AddrPort) (*DatagramRelay, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "datagram relay")
	}
	d := &DatagramRelay{conn: conn, to: to}
	go d.run()
	return d, nil
}

// Set replaces the impairment in force.
func (d *DatagramRelay) Set(imp Impairment) { d.impairment.set(imp) }

// Close stops the relay.
func (d *DatagramRelay) Close() error { return d.conn.Close() }

func (d *DatagramRelay) run() {
	buf := make([]byte, maxDatagramLen)
	for {
		n, err := d.conn.Read(buf)
		if err != nil {
			return // closed
		}
		imp := d.impairment.get()
		if imp.DropForward {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		if imp.Delay > 0 {
			time.AfterFunc(imp.Delay, func() { d.forward(b) })
			continue
		}
		d.forward(b)
	}
}

func (d *DatagramRelay) forward(b []byte) {
	// A datagram that can't be sent is dropped, as on any network.
	_, _ = d.conn.WriteToUDPAddrPort(b, d.to)
}
