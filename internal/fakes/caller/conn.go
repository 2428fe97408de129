package caller

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket/layers"

	"github.com/jujubehaven/jujubehaven/internal/fakes/wire"
)

const (
	// maxSegmentLen is the largest payload of a segment and sendWindow the largest
	// number of unacknowledged bytes in flight, in bytes.
	maxSegmentLen = 1000
	sendWindow    = 16 * maxSegmentLen
	// receiveWindow is the receive window that segments advertise, in bytes.
	receiveWindow = 65535
)

// Conn is one TCP connection. Packets are handled only while one of its methods
// runs; between calls they stay in the inbox.
type Conn struct {
	caller *Caller
	key    flowKey
	inbox  chan *wire.Packet

	iss, sndUna, sndNxt uint32
	rcvNxt              uint32
	// unacked holds the unacknowledged bytes of the request, starting at sndUna.
	unacked []byte
	// received holds the contiguous bytes of the answer so far, reorder those
	// after a gap.
	received []byte
	reorder  wire.ReorderBuffer
	// established is set by the handshake, finSent and finReceived on close.
	established, finSent, finReceived bool
	// timedOut is set by a retransmission timeout and cleared by the next send.
	timedOut bool
	target   string
	err      error
}

// Dial opens a connection; it retransmits the SYN until ctx is done. The error is
// ErrRefused, ErrUnreachable or that of ctx.
func (c *Caller) Dial(ctx context.Context, service netip.AddrPort) (*Conn, error) {
	key, inbox, err := c.allocateFlow(service, false)
	if err != nil {
		return nil, err
	}
	iss := c.nextISS()
	conn := &Conn{caller: c, key: key, inbox: inbox, iss: iss, sndUna: iss, sndNxt: iss}
	err = conn.sendUntil(ctx, conn.sendSYN, func() bool { return conn.established })
	if err != nil {
		conn.Abandon()
		return nil, err
	}
	return conn, nil
}

// Local returns the caller's address and port.
func (c *Conn) Local() netip.AddrPort { return c.key.caller }

// Target returns the name of the target that answers on this connection, or ""
// before the first answer.
func (c *Conn) Target() string { return c.target }

// Request sends a line of text and waits for its complete answer. If the answer
// comes from a different target than the previous one, the error is ErrCrossed.
func (c *Conn) Request(ctx context.Context, text string) (Answer, error) {
	c.unacked = append(append(c.unacked, text...), '\n')
	err := c.sendUntil(ctx, c.sendUnacked, func() bool { return bytes.IndexByte(c.received, '\n') >= 0 })
	if err != nil {
		return Answer{}, err
	}
	line, rest, _ := bytes.Cut(c.received, []byte{'\n'})
	c.received = rest
	answer, err := parseAnswer(string(line), text)
	if err != nil {
		return Answer{}, err
	}
	if c.target != "" && c.target != answer.Target {
		return Answer{}, errors.Wrapf(ErrCrossed, "%s after %s", answer.Target, c.target)
	}
	c.target = answer.Target
	return answer, nil
}

// Close closes the connection with a FIN and waits for the target's FIN.
func (c *Conn) Close(ctx context.Context) error {
	defer c.Abandon()
	c.finSent = true
	return c.sendUntil(ctx, c.sendFIN, func() bool { return c.finReceived })
}

// Abort resets the connection.
func (c *Conn) Abort() error {
	defer c.Abandon()
	return c.sendSegment(layers.TCP{RST: true, ACK: true, Seq: c.sndNxt}, nil)
}

// Abandon drops the connection without sending anything, as when a caller
// crashes.
func (c *Conn) Abandon() { c.caller.releaseFlow(c.key) }

// Err handles the packets in the inbox and returns the error that ended the
// connection, or nil.
func (c *Conn) Err() error {
	for {
		select {
		case p := <-c.inbox:
			c.handle(p)
		default:
			return c.err
		}
	}
}

// sendUntil calls send and handles packets until done returns true. While no
// packets arrive, it retransmits with exponential backoff.
func (c *Conn) sendUntil(ctx context.Context, send func() error, done func() bool) error {
	rto := c.caller.cfg.RTO
	for c.Err() == nil && !done() {
		if err := send(); err != nil {
			return errors.Wrap(err, "caller")
		}
		progress, err := c.awaitPacket(ctx, rto)
		if err != nil {
			return err
		}
		if progress {
			rto = c.caller.cfg.RTO
			continue
		}
		rto = min(2*rto, c.caller.cfg.MaxRTO)
		c.sndNxt = c.sndUna
		c.timedOut = true
		c.caller.count(&c.caller.stats.Retransmitted)
	}
	return c.err
}

// awaitPacket handles the next packet; it returns false if none arrives within
// rto.
func (c *Conn) awaitPacket(ctx context.Context, rto time.Duration) (bool, error) {
	timer := time.NewTimer(rto)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, errors.Wrapf(ctx.Err(), "caller: %s to %s", c.key.caller, c.key.service)
	case p := <-c.inbox:
		c.handle(p)
		return true, nil
	case <-timer.C:
		return false, nil
	}
}

func (c *Conn) sendSYN() error {
	if c.sndNxt != c.iss {
		return nil
	}
	c.sndNxt = c.iss + 1
	return c.sendSegment(layers.TCP{SYN: true, Seq: c.iss}, nil)
}

// sendUnacked sends the bytes from sndNxt on that fit into the window. If all are
// acknowledged and the retransmission timeout has expired, it sends a probe.
func (c *Conn) sendUnacked() error {
	if len(c.unacked) == 0 && c.timedOut {
		c.timedOut = false
		return c.probe()
	}
	c.timedOut = false
	for {
		from := int(c.sndNxt - c.sndUna)
		to := min(from+maxSegmentLen, len(c.unacked), sendWindow)
		if from >= to {
			return nil
		}
		header := layers.TCP{ACK: true, PSH: true, Seq: c.sndNxt}
		c.sndNxt += uint32(to - from)
		if err := c.sendSegment(header, c.unacked[from:to]); err != nil {
			return err
		}
	}
}

// probe sends an empty segment with an acknowledged sequence number, as a
// keep-alive does (RFC 9293, section 3.8.4), so that the target retransmits.
func (c *Conn) probe() error {
	return c.sendSegment(layers.TCP{ACK: true, Seq: c.sndUna - 1}, nil)
}

func (c *Conn) sendFIN() error {
	if c.sndNxt != c.sndUna {
		return nil
	}
	c.sndNxt = c.sndUna + 1
	return c.sendSegment(layers.TCP{FIN: true, ACK: true, Seq: c.sndUna}, nil)
}

func (c *Conn) sendSegment(header layers.TCP, payload []byte) error {
	if header.ACK {
		header.Ack = c.rcvNxt
	}
	header.Window = receiveWindow
	return c.caller.send(wire.TCP(c.key.caller, c.key.service, header, payload))
}

func (c *Conn) handle(p *wire.Packet) {
	switch {
	case p.ICMP != nil:
		c.handleICMP(p.ICMP)
	case p.TCP.RST:
		c.handleReset(p.TCP)
	case !c.established:
		c.handleSYNACK(p.TCP)
	default:
		c.handleSegment(p)
	}
}

// handleICMP fails an opening; on an established connection ICMP errors are soft
// errors and ignored (RFC 1122, section 4.2.3.9).
func (c *Conn) handleICMP(icmp *wire.ICMP) {
	if !c.established && icmp.MTU == 0 {
		c.err = ErrUnreachable
	}
}

// handleReset accepts a reset with the expected sequence or acknowledgement
// number (RFC 9293, section 3.10.7).
func (c *Conn) handleReset(tcp *layers.TCP) {
	switch {
	case !c.established && tcp.ACK && tcp.Ack == c.iss+1:
		c.err = ErrRefused
	case c.established && tcp.Seq == c.rcvNxt:
		c.err = ErrReset
	default:
		c.caller.count(&c.caller.stats.BadResets)
	}
}

func (c *Conn) handleSYNACK(tcp *layers.TCP) {
	if !tcp.SYN || !tcp.ACK || tcp.Ack != c.iss+1 {
		return
	}
	c.established = true
	c.sndUna, c.sndNxt = c.iss+1, c.iss+1
	c.rcvNxt = tcp.Seq + 1
	c.err = c.sendSegment(layers.TCP{ACK: true, Seq: c.sndNxt}, nil)
}

func (c *Conn) handleSegment(p *wire.Packet) {
	c.acknowledge(p.TCP.Ack)
	end := p.TCP.Seq + uint32(len(p.Payload))
	c.reorder.Insert(c.rcvNxt, p.TCP.Seq, p.Payload)
	if p.TCP.Seq == c.rcvNxt && len(p.Payload) > 0 {
		late := c.reorder.Take(end)
		c.received = append(append(c.received, p.Payload...), late...)
		c.rcvNxt = end + uint32(len(late))
		c.err = c.sendSegment(layers.TCP{ACK: true, Seq: c.sndNxt}, nil)
	}
	if p.TCP.FIN && end == c.rcvNxt {
		c.rcvNxt++
		c.finReceived = true
		c.err = c.sendSegment(layers.TCP{ACK: true, Seq: c.sndNxt}, nil)
	}
}

// acknowledge removes the bytes that the target acknowledged from unacked.
func (c *Conn) acknowledge(ack uint32) {
	n := int(int32(ack - c.sndUna))
	if c.finSent && n == 1 {
		c.sndUna, c.sndNxt = ack, ack
		return
	}
	if n <= 0 || n > len(c.unacked) {
		return
	}
	c.unacked = c.unacked[n:]
	c.sndUna = ack
	if int32(c.sndNxt-c.sndUna) < 0 {
		c.sndNxt = c.sndUna
	}
}
