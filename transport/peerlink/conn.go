package peerlink

import (
	"net"
	"time"
)

// meteredConn counts the bytes of a connection below TLS and charges sent bytes
// to the budget. It sets a deadline for each write and, if idle is not 0, for
// each read.
type meteredConn struct {
	net.Conn
	links *Links
	idle  time.Duration
}

// meter wraps a connection; idle is its read timeout, 0 for none.
func (l *Links) meter(conn net.Conn, idle time.Duration) net.Conn {
	return &meteredConn{Conn: conn, links: l, idle: idle}
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.links.cfg.Metrics.bytesReceived.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.links.cfg.Metrics.bytesSent.Add(float64(n))
	c.links.cfg.Budget.Charge(n)
	return n, err
}
