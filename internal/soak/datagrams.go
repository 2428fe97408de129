package soak

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// maxDatagramLen is the largest UDP payload over IPv4, in bytes.
const maxDatagramLen = 65_507

// Datagrams relays UDP datagrams one way, from its own address to another.
type Datagrams struct {
	conn       *net.UDPConn
	to         netip.AddrPort
	impairment impairmentState
}

// RelayDatagrams starts a relay that forwards datagrams from the address listen
// to the address to.
func RelayDatagrams(listen, to netip.AddrPort) (*Datagrams, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "datagram relay")
	}
	d := &Datagrams{conn: conn, to: to}
	go d.run()
	return d, nil
}

// Set replaces the impairment in force.
func (d *Datagrams) Set(t Trouble) { d.impairment.set(t) }

// Close stops the relay.
func (d *Datagrams) Close() error { return d.conn.Close() }

func (d *Datagrams) run() {
	buf := make([]byte, maxDatagramLen)
	for {
		n, err := d.conn.Read(buf)
		if err != nil {
			return // closed
		}
		t := d.impairment.get()
		if t.Silent {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		if t.Delay > 0 {
			time.AfterFunc(t.Delay, func() { d.forward(b) })
			continue
		}
		d.forward(b)
	}
}

func (d *Datagrams) forward(b []byte) {
	// A datagram that can't be sent is dropped, as on any network.
	_, _ = d.conn.WriteToUDPAddrPort(b, d.to)
}
