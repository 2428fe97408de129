package target

import (
	"bytes"
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
)

// maxSegmentLen is the largest payload of a segment in bytes.
const maxSegmentLen = 1000

// receiveWindow is the receive window that segments advertise, in bytes.
const receiveWindow = 65535

// connKey identifies a connection.
type connKey struct {
	caller, service netip.AddrPort
}

// conn is one connection. It has no retransmission timer: lost segments are
// retransmitted when the caller retransmits or probes.
type conn struct {
	key connKey
	// irs and iss are the initial receive and send sequence numbers (RFC 9293).
	irs, iss uint32
	rcvNxt   uint32
	reorder  wire.ReorderBuffer
	sndUna   uint32
	// unacked holds the bytes sent from sndUna on.
	unacked []byte
	// partialLine holds the received bytes of an incomplete request.
	partialLine []byte
	// closing is set when the caller has closed its side; the target's FIN then
	// follows unacked.
	closing bool
}

// handleSegment handles one TCP segment (RFC 9293, section 3.10.7).
func (t *Target) handleSegment(p *wire.Packet) {
	key := connKey{caller: p.Src, service: p.Dst}
	c := t.conns[key]
	switch {
	case p.TCP.RST:
		t.handleReset(key, c, p)
	case p.TCP.SYN && !p.TCP.ACK:
		t.handleSYN(key, c, p)
	case c == nil:
		t.rejectSegment(key, p)
	default:
		t.handleEstablished(c, p)
	}
}

// rejectSegment answers a segment that belongs to no connection with a reset.
func (t *Target) rejectSegment(key connKey, p *wire.Packet) {
	if t.closed[key] {
		t.stats.AfterClose++
	} else {
		t.stats.UnknownFlow++
	}
	t.send(wire.TCP(p.Dst, p.Src, layers.TCP{RST: true, Seq: p.TCP.Ack}, nil), p.Src)
}

// handleReset ends the connection if the reset has the expected sequence number
// (RFC 5961, section 3.2).
func (t *Target) handleReset(key connKey, c *conn, p *wire.Packet) {
	if c != nil && p.TCP.Seq == c.rcvNxt {
		t.stats.Resets++
		delete(t.conns, key)
	}
}

func (t *Target) handleSYN(key connKey, c *conn, p *wire.Packet) {
	if c == nil || c.irs != p.TCP.Seq {
		if t.cfg.MaxConnections > 0 && len(t.conns) >= t.cfg.MaxConnections {
			t.stats.OverLimit++
			return
		}
		iss := p.TCP.Seq ^ 0x5a5a5a5a
		c = &conn{key: key, irs: p.TCP.Seq, iss: iss, rcvNxt: p.TCP.Seq + 1, sndUna: iss + 1}
		t.conns[key] = c
		delete(t.closed, key)
		t.stats.Openings++
		t.stats.MaxConnections = max(t.stats.MaxConnections, len(t.conns))
	}
	t.sendSegment(c, layers.TCP{SYN: true, ACK: true, Seq: c.iss}, nil)
}

func (t *Target) handleEstablished(c *conn, p *wire.Packet) {
	if t.acknowledge(c, p.TCP.Ack) {
		delete(t.conns, c.key)
		t.closed[c.key] = true
		return
	}
	end := p.TCP.Seq + uint32(len(p.Payload))
	switch {
	case int32(p.TCP.Seq-c.rcvNxt) > 0:
		c.reorder.Insert(c.rcvNxt, p.TCP.Seq, p.Payload)
		t.sendSegment(c, layers.TCP{ACK: true, Seq: c.sndNxt()}, nil)
	case p.TCP.Seq != c.rcvNxt:
		// The segment is a retransmission or a probe: the answer to it may have
		// been lost.
		t.sendUnacked(c)
	case len(p.Payload) > 0:
		late := c.reorder.Take(end)
		c.rcvNxt = end + uint32(len(late))
		t.sendSegment(c, layers.TCP{ACK: true, Seq: c.sndNxt()}, nil)
		t.receive(c, p.Payload)
		t.receive(c, late)
	}
	if p.TCP.FIN && end == c.rcvNxt && !c.closing {
		c.rcvNxt++
		c.closing = true
		t.sendUnacked(c)
	}
}

// acknowledge removes acknowledged bytes from unacked. It returns true if the
// FIN is acknowledged.
func (t *Target) acknowledge(c *conn, ack uint32) bool {
	n := int(int32(ack - c.sndUna))
	if n < 0 {
		return false
	}
	if n > len(c.unacked) {
		return c.closing
	}
	c.unacked = c.unacked[n:]
	c.sndUna = ack
	return false
}

// receive appends payload to partialLine and runs the requests that are complete.
func (t *Target) receive(c *conn, payload []byte) {
	c.partialLine = append(c.partialLine, payload...)
	for {
		before, after, found := bytes.Cut(c.partialLine, []byte{'\n'})
		if !found {
			return
		}
		c.partialLine = after
		t.runRequest(string(before), func(answer string) { t.sendAnswer(c, answer) })
	}
}

// sendAnswer sends an answer unless the connection has ended or is closing.
func (t *Target) sendAnswer(c *conn, text string) {
	if t.conns[c.key] != c || c.closing {
		return
	}
	from := len(c.unacked)
	c.unacked = append(append(c.unacked, text...), '\n')
	t.sendFrom(c, from)
}

// sendUnacked retransmits everything that is not acknowledged, or sends an
// acknowledgement if there is nothing to retransmit.
func (t *Target) sendUnacked(c *conn) {
	t.sendFrom(c, 0)
	if c.closing {
		t.sendSegment(c, layers.TCP{FIN: true, ACK: true, Seq: c.sndNxt()}, nil)
		return
	}
	if len(c.unacked) == 0 {
		t.sendSegment(c, layers.TCP{ACK: true, Seq: c.sndNxt()}, nil)
	}
}

// sendFrom sends the unacknowledged bytes that start at index from.
func (t *Target) sendFrom(c *conn, from int) {
	for ; from < len(c.unacked); from += maxSegmentLen {
		part := c.unacked[from:min(from+maxSegmentLen, len(c.unacked))]
		t.sendSegment(c, layers.TCP{ACK: true, PSH: true, Seq: c.sndUna + uint32(from)}, part)
	}
}

func (t *Target) sendSegment(c *conn, header layers.TCP, payload []byte) {
	header.Ack = c.rcvNxt
	header.Window = receiveWindow
	t.send(wire.TCP(c.key.service, c.key.caller, header, payload), c.key.caller)
}

// sndNxt returns the sequence number that follows the last byte sent.
func (c *conn) sndNxt() uint32 {
	return c.sndUna + uint32(len(c.unacked))
}
