package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// attemptTime is how long a client waits for the answer to its SYN and the copies.
	attemptTime = 1400 * time.Millisecond
	// requestDeadline is a client's deadline for a request.
	requestDeadline = 4 * time.Second
	// maxAckDistance is how far the sequence number of a reset of the system may be from
	// the client's last acknowledgement.
	maxAckDistance = 76800
	firstPort      = 20000
)

// clients are the clients of one zone, which share an address.
type clients struct {
	w    *world
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan packet
}

func newClients(w *world, zone string, addr netip.Addr) (*clients, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.dataPort)))
	if err != nil {
		return nil, err
	}
	c := &clients{w: w, zone: zone, addr: addr, conn: conn, port: firstPort, flows: map[uint16]chan packet{}}
	go c.serve()
	return c, nil
}

// serve hands packets to the flows until the socket is closed.
func (c *clients) serve() {
	buf := make([]byte, maxPacket)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return // closed
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		in := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if in != nil {
			select {
			case in <- p:
			default: // the flow reads too slowly: the packet is lost
			}
		}
	}
}

// outcome is how an attempt ended.
type outcome int

const (
	answered outcome = iota
	rejected
	noAnswer
	systemReset
	backendReset
	closedByBackend
)

func (o outcome) String() string {
	return [...]string{"answered", "rejected", "no answer", "reset by the system", "reset by a back end", "closed by the back end"}[o]
}

// clientFlow is a client's side of a flow.
type clientFlow struct {
	c        *clients
	key      ends
	in       chan packet
	echo     uint32
	seq, ack uint32
	open     bool
	// closing is set once the back end has sent its FIN.
	closing bool
	// via names the host that the last packet went to.
	via string
}

// newFlow returns a flow from a new port.
func (c *clients) newFlow(route netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	const buffered = 64
	c.port++
	f := &clientFlow{c: c, in: make(chan packet, buffered), seq: rand.Uint32(), key: ends{netip.AddrPortFrom(c.addr, c.port), route}}
	c.flows[c.port] = f.in
	return f
}

func (f *clientFlow) send(flags byte, seq, ack uint32, data []byte) {
	p := packet{echo: f.echo, sum: endSum, flags: flags, seq: seq, ack: ack, src: f.key.client, dst: f.key.route, data: data}
	h := f.c.w.routers.choose(f.c.zone, f.key)
	f.via = h.name
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), h.data) // an error counts as a lost packet
}

// receive returns the next packet that the flow accepts, false if none comes in time.
func (f *clientFlow) receive(until time.Time) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return packet{}, false
		case p := <-f.in:
			if p.sum == 0 {
				if p.flags != flagRST || len(p.data) > 0 || (f.open && distance(p.seq, f.ack) > maxAckDistance) {
					continue
				}
				return p, true
			}
			if p.flags&flagRST == 0 {
				f.echo = p.echo
			}
			return p, true
		}
	}
}

func distance(a, b uint32) uint32 {
	d := a - b
	return min(d, -d)
}

func resetOf(p *packet) outcome {
	if p.sum == 0 {
		return systemReset
	}
	return backendReset
}

// openFlow sends the SYN and its copies until an answer comes.
func (f *clientFlow) openFlow() outcome {
	start := time.Now()
	for i, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, attemptTime} {
		syn := packet{sum: endSum, flags: flagSYN, seq: f.seq, ack: uint32(i), src: f.key.client, dst: f.key.route}
		h := f.c.w.routers.choose(f.c.zone, f.key)
		f.via = h.name
		_, _ = f.c.conn.WriteToUDPAddrPort(syn.encode(), h.data)
		for {
			p, ok := f.receive(start.Add(until))
			if !ok {
				break
			}
			if p.flags&flagRST != 0 {
				return resetOf(&p)
			}
			if p.flags == flagSYN|flagACK && p.ack == f.seq+1 {
				f.seq++
				f.ack = p.seq + 1
				f.open = true
				return answered
			}
		}
	}
	return noAnswer
}

// request sends a request and waits for its answer.
func (f *clientFlow) request(id uint64) outcome {
	data := make([]byte, requestLen)
	binary.BigEndian.PutUint64(data, id)
	deadline := time.Now().Add(requestDeadline)
	interval := retransmitAfter
	for time.Now().Before(deadline) {
		f.send(flagACK, f.seq, f.ack, data)
		retry := time.Now().Add(interval)
		if retry.After(deadline) {
			retry = deadline
		}
		for {
			p, ok := f.receive(retry)
			if !ok {
				break
			}
			if p.flags&flagRST != 0 {
				return resetOf(&p)
			}
			if len(p.data) != answerLen || p.seq != f.ack {
				continue
			}
			f.seq += requestLen
			f.ack += answerLen
			f.closing = p.flags&flagFIN != 0
			f.send(flagACK, f.seq, f.ack, nil)
			switch {
			case binary.BigEndian.Uint64(p.data) != id:
				f.c.w.rec.sayf("request %d got the answer to request %d", id, binary.BigEndian.Uint64(p.data))
				return noAnswer
			case p.data[8] == 0:
				return rejected
			}
			return answered
		}
		interval = min(2*interval, maxInterval)
	}
	return noAnswer
}

// finish closes the flow.
func (f *clientFlow) finish() {
	if f.open {
		f.send(flagFIN|flagACK, f.seq, f.ack, nil)
		f.receive(time.Now().Add(100 * time.Millisecond))
	}
	f.c.mu.Lock()
	delete(f.c.flows, f.key.client.Port())
	f.c.mu.Unlock()
}
