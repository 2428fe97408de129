package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Times of a client's openings and of its copies of data.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openWithin = 1400 * time.Millisecond
	dataRetry  = 200 * time.Millisecond
)

// Limits of a flow.
const (
	maxData     = 1200
	maxInFlight = 16
	// window is how far a host's reset may be from the client's last ack.
	window = 76800
)

// client is one client address.
type client struct {
	w    *world
	zone string
	conn *net.UDPConn
	addr netip.Addr

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan packet
}

func newClient(w *world, zone, ip string) (*client, error) {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, uint16(w.dataPort))))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, zone: zone, conn: conn, addr: addr, port: 20000, flows: map[uint16]chan packet{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decodePacket(buf[:n])
		if !ok {
			c.w.broken("MIXED", "client %s got bytes that are no packet", c.addr)
			continue
		}
		if own := p.flags == flagRST && p.sum == 0 && len(p.data) == 0; !own && !genuine(buf[:n], &p) {
			c.w.broken("MIXED", "client %s got a packet that its sender did not write so", c.addr)
			continue
		}
		c.mu.Lock()
		in := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if in == nil {
			continue // the flow has ended
		}
		select {
		case in <- p:
		default: // as lost
		}
	}
}

// outcome is how an attempt ended.
type outcome string

// Outcomes of an attempt.
const (
	answered   outcome = "answered"
	notOpened  outcome = "not opened"
	refused    outcome = "refused before it opened"
	reset      outcome = "reset while open"
	unanswered outcome = "unanswered"
)

// attempt sends one request on a flow of its own.
func (c *client) attempt(r *request) {
	c.mu.Lock()
	c.port++
	port := c.port
	in := make(chan packet, 16)
	c.flows[port] = in
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, port)
		c.mu.Unlock()
	}()
	r.from = netip.AddrPortFrom(c.addr, port)
	f := &clientFlow{c: c, r: r, in: in, next: rand.Uint32()}
	c.w.started(r)
	end := f.open()
	if end == "" {
		end = f.exchange()
	}
	c.w.finished(r, end)
}

// clientFlow is a flow at a client.
type clientFlow struct {
	c         *client
	r         *request
	in        chan packet
	echo      uint32
	next, ack uint32
}

// send sends a packet through the host that the router chooses now.
func (f *clientFlow) send(p packet) {
	p.echo, p.src, p.dst = f.echo, f.r.from, f.r.route
	h := f.c.w.route(f.c.zone, f.r.from)
	if p.flags&flagSYN != 0 {
		f.c.w.sent(f.r, h)
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), h.dataAddr) // a lost packet comes again
}

// open opens the flow. It returns an outcome if it does not open.
func (f *clientFlow) open() outcome {
	start := time.Now()
	copies := []time.Duration{0, firstCopy, secondCopy, openWithin}
	for n := range 3 {
		f.send(packet{flags: flagSYN, seq: f.next, ack: uint32(n)})
		timer := time.NewTimer(time.Until(start.Add(copies[n+1])))
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				switch {
				case p.flags&flagRST != 0:
					timer.Stop()
					return refused
				case p.flags&flagSYN != 0 && p.ack == f.next+1:
					timer.Stop()
					f.next++
					f.echo, f.ack = p.echo, p.seq+1
					return ""
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
	return notOpened
}

// exchange sends the request, at most maxInFlight packets at a time, and waits for its
// answer.
func (f *clientFlow) exchange() outcome {
	body := fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", f.r.kind.method, f.r.kind.name, f.r.id, f.r.kind.bytes)
	body = append(body, make([]byte, f.r.kind.bytes)...)
	first := f.next
	acked, sent := 0, 0
	// sendOn sends what the window allows.
	sendOn := func() {
		for sent < len(body) && sent < acked+maxInFlight*maxData {
			end := min(sent+maxData, len(body))
			f.send(packet{flags: flagACK, seq: first + uint32(sent), ack: f.ack, data: body[sent:end]})
			sent = end
		}
		f.next = first + uint32(sent)
	}
	sendOn()
	deadline := time.NewTimer(f.r.kind.deadline)
	defer deadline.Stop()
	wait := dataRetry
	again := time.NewTimer(wait)
	defer again.Stop()
	for {
		select {
		case p := <-f.in:
			// PROTOCOL.md: the client places in its packets the last echo that it received
			// on the flow.
			if p.flags&flagRST == 0 {
				f.echo = p.echo
			}
			switch {
			case p.flags&flagRST != 0 && p.sum == 0 && p.seq-f.ack+window > 2*window:
				continue // outside of the window
			case p.flags&flagRST != 0:
				f.r.resetByHost = p.sum == 0
				return reset
			case p.flags&flagSYN != 0:
				continue
			}
			if n := int(int32(p.ack - first)); n > acked && n <= sent {
				acked, wait = n, dataRetry
				again.Reset(wait)
				if acked == len(body) {
					again.Stop()
				}
				sendOn()
			}
			if len(p.data) > 0 && p.seq == f.ack {
				if requestID(p.data) != f.r.id {
					f.c.w.broken("MIXED", "request %s got the answer to %s", f.r.id, requestID(p.data))
				}
				f.ack += uint32(len(p.data))
				f.send(packet{flags: flagACK | flagFIN, seq: f.next, ack: f.ack})
				return answered
			}
		case <-again.C:
			sent = acked
			sendOn()
			wait = min(2*wait, 1600*time.Millisecond)
			again.Reset(wait)
		case <-deadline.C:
			return unanswered
		}
	}
}
