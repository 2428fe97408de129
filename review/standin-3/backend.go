package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the site's services and requests.
const (
	slots         = 3
	queueLength   = 12
	heartbeat     = 1200 * time.Millisecond
	answerRetry   = 200 * time.Millisecond
	answerRetries = 8
)

// entry is what a backend writes of itself to the store.
type entry struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Slots        int    `json:"slots"`
	State        string `json:"state"`
	WarmupLeftMS int    `json:"warmup_left_ms"`
	Seq          uint64 `json:"seq"`
	Born         int64  `json:"born"`
}

// backend is one incarnation of a backend.
type backend struct {
	w             *world
	id            string
	number        uint64
	service, zone string
	conn          *net.UDPConn
	born          time.Time
	work          chan struct{} // holds a token for each busy slot

	mu    sync.Mutex
	flows map[netip.AddrPort]*backendFlow // by the client's end; a client uses a port once
	state string
	seq   uint64
	queue int
	// coldUntil is until when the backend is cold, openings when it has taken openings
	// since its start.
	coldUntil time.Time
	openings  []time.Time
	most      int // the most openings in a second while cold
	// drainedAt is when the store accepted that the backend drains, zero if it does not.
	drainedAt time.Time
	stopped   bool
	stop      chan struct{}
}

// backendFlow is a flow at a backend.
type backendFlow struct {
	client, service netip.AddrPort
	echo            uint32
	iss, next       uint32 // the backend's first and next sequence numbers
	expected        uint32 // the client's next sequence number
	request         []byte // what has arrived of the request
	unacknowledged  int    // packets since the last acknowledgement
	open, ended     bool
	answered        bool // the client has acknowledged the answer
}

func newBackend(w *world, id, service, zone, ip string, port int, cold time.Duration) (*backend, error) {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, uint16(port))))
	if err != nil {
		return nil, err
	}
	var number uint64
	for _, r := range id {
		if d := strings.IndexRune("0123456789abcdef", r); d >= 0 {
			number = number<<4 | uint64(d)
		}
	}
	b := &backend{
		w: w, id: id, number: number, service: service, zone: zone, conn: conn, born: time.Now(),
		coldUntil: time.Now().Add(cold), work: make(chan struct{}, slots), flows: map[netip.AddrPort]*backendFlow{}, state: "ready", stop: make(chan struct{}),
	}
	b.write()
	go b.receive()
	go b.beat()
	return b, nil
}

func (b *backend) address() string { return b.conn.LocalAddr().String() }

func (b *backend) key() string { return "servers/" + b.id }

// write writes the backend's entry.
func (b *backend) write() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped || b.w.storeDown.Load() {
		return
	}
	b.seq++
	b.w.store.put(b.key(), b.entry())
}

// entry returns the backend's entry. The caller holds b.mu.
func (b *backend) entry() entry {
	return entry{
		Service: b.service, Address: b.address(), Zone: b.zone, Version: "v1", Slots: slots, State: b.state,
		WarmupLeftMS: int(max(time.Until(b.coldUntil), 0).Milliseconds()), Seq: b.seq, Born: b.born.UnixMilli(),
	}
}

// writeLate writes the entry as it is now, but the store executes the call only after a
// time, and its answer is lost.
func (b *backend) writeLate(after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	e := b.entry()
	time.AfterFunc(after, func() {
		b.w.store.put(b.key(), e)
		b.w.record("the store executes a late write of %s: state %s, seq %d", b.id, e.State, e.Seq)
	})
}

func (b *backend) beat() {
	phase := time.NewTimer(rand.N(heartbeat))
	defer phase.Stop()
	select {
	case <-phase.C:
	case <-b.stop:
		return
	}
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.write()
		case <-b.stop:
			return
		}
	}
}

// drain reports that the backend is about to leave, and ends it after a time from the
// moment when the store has accepted that.
func (b *backend) drain(after time.Duration) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.write()
	b.mu.Lock()
	b.drainedAt = time.Now()
	b.mu.Unlock()
	b.w.record("backend %s of %s in %s drains; the store has accepted it", b.id, b.service, b.zone)
	if after > 0 {
		time.AfterFunc(after, b.end)
	}
}

// end ends the backend and removes its entry.
func (b *backend) end() {
	if b.crash() {
		b.w.store.remove(b.key())
		b.w.record("backend %s has ended", b.id)
	}
}

// crash ends the backend, which forgets its flows. It reports false if it had ended.
func (b *backend) crash() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.stopped = true
	close(b.stop)
	_ = b.conn.Close()
	return true
}

func (b *backend) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < numberBytes+headerBytes {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != 0 && to != b.number {
			continue // another backend is meant
		}
		p, ok := decodePacket(buf[numberBytes:n])
		if !ok || !genuine(buf[numberBytes:n], &p) {
			b.w.broken("UNASKED", "backend %s got a packet that its sender did not write so", b.id)
			continue
		}
		b.handle(&p)
	}
}

func (b *backend) handle(p *packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	f := b.flows[p.src]
	if p.flags&flagSYN != 0 {
		b.handleOpening(f, p)
		return
	}
	if f == nil || (!f.open && p.ack != f.iss+1) {
		if p.flags&flagRST == 0 {
			b.reset(p)
		}
		return
	}
	f.echo = p.echo
	switch {
	case p.flags&flagRST != 0:
		f.ended = true
		return
	case !f.open:
		f.open = true
		b.w.opened(p.src, b)
	}
	if p.ack == f.next && f.next != f.iss+1 {
		f.answered = true
	}
	if len(p.data) > 0 {
		b.handleData(f, p)
	}
	if p.flags&flagFIN != 0 {
		f.ended = true
		b.send(&packet{echo: f.echo, flags: flagFIN | flagACK, seq: f.next, ack: p.seq + 1, src: p.dst, dst: p.src})
	}
}

func (b *backend) handleOpening(f *backendFlow, p *packet) {
	created := f == nil
	if created {
		if b.queue >= slots+queueLength {
			return // full
		}
		iss := rand.Uint32()
		f = &backendFlow{client: p.src, service: p.dst, iss: iss, next: iss + 1, expected: p.seq + 1}
		b.flows[p.src] = f
		b.w.taken(p.src, b)
	}
	f.echo = p.echo
	b.accept(f)
	if created {
		go b.acceptAgain(f)
	}
}

// accept answers an opening. The caller holds b.mu.
func (b *backend) accept(f *backendFlow) {
	b.send(&packet{echo: f.echo, flags: flagSYN | flagACK, seq: f.iss, ack: f.expected, src: f.service, dst: f.client})
}

// acceptAgain repeats the answer to an opening that the client has not acknowledged.
func (b *backend) acceptAgain(f *backendFlow) {
	wait := answerRetry
	for range 2 { // the client gives up after 1.4 s
		if !sleepUnless(b.stop, wait) {
			return
		}
		b.mu.Lock()
		done := f.open || f.ended || b.stopped
		if !done {
			b.accept(f)
		}
		b.mu.Unlock()
		if done {
			return
		}
		wait *= 2
	}
}

// reset answers a packet of a flow that the backend does not hold. The caller holds b.mu.
func (b *backend) reset(p *packet) {
	go b.w.resetBy(p.src, b)
	b.send(&packet{echo: p.echo, flags: flagRST, seq: p.ack, src: p.dst, dst: p.src})
}

func (b *backend) handleData(f *backendFlow, p *packet) {
	if p.seq == f.expected {
		f.expected += uint32(len(p.data))
		f.request = append(f.request, p.data...)
		f.unacknowledged++
		if done, id := whole(f.request); done {
			f.request = nil
			b.queue++
			go b.serve(f, id)
			return // the answer acknowledges
		}
		if f.unacknowledged < 2 {
			return
		}
	}
	f.unacknowledged = 0
	b.send(&packet{echo: f.echo, flags: flagACK, seq: f.next, ack: f.expected, src: f.service, dst: f.client})
}

// whole reports whether a request has arrived whole, and its id.
func whole(request []byte) (bool, string) {
	head, body, ok := strings.Cut(string(request), "\r\n\r\n")
	if !ok {
		return false, ""
	}
	_, length, _ := strings.Cut(head, "Content-Length: ")
	n, err := strconv.Atoi(length)
	return err == nil && len(body) >= n, requestID(request)
}

// serve runs a request and answers it until the client has acknowledged the answer.
func (b *backend) serve(f *backendFlow, id string) {
	select {
	case b.work <- struct{}{}:
	case <-b.stop:
		return
	}
	b.w.ran(id, b)
	worked := sleepUnless(b.stop, b.w.workTime(id))
	<-b.work
	b.mu.Lock()
	b.queue--
	iss := f.next
	body := fmt.Sprintf("HTTP/1.1 200 OK\r\nBackend-Stamp: %s\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", b.id, id)
	f.next += uint32(len(body))
	b.mu.Unlock()
	if !worked {
		return // the backend has ended
	}
	wait := answerRetry
	for range answerRetries {
		b.mu.Lock()
		done := f.answered || f.ended || b.stopped
		if !done {
			b.send(&packet{echo: f.echo, flags: flagACK, seq: iss, ack: f.expected, src: f.service, dst: f.client, data: []byte(body)})
		}
		b.mu.Unlock()
		if done || !sleepUnless(b.stop, wait) {
			return
		}
		wait = min(2*wait, 1600*time.Millisecond)
	}
}

// send sends a packet to its client. The caller holds b.mu.
func (b *backend) send(p *packet) {
	// A lost packet comes again.
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), uint16(b.w.dataPort)))
}

// sleepUnless sleeps and reports true, or false if stop is closed before.
func sleepUnless(stop <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// requestID returns the id of a request.
func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
