package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// slots and queue bound the requests that a back end works on and lets wait.
	slots = 3
	queue = 12
	// workTime is the time that a request takes in a slot.
	workTime = 40 * time.Millisecond
	// requestLen and answerLen are the bytes of a request and of its answer, of which
	// the first 8 are the request's ID.
	requestLen = 900
	answerLen  = 600
	// retransmitAfter is the time to the first retransmission of an answer, and
	// maxRetransmissions the number after which a back end gives up.
	retransmitAfter    = 200 * time.Millisecond
	maxInterval        = 1600 * time.Millisecond
	maxRetransmissions = 8
)

// backend is one incarnation of a back end.
type backend struct {
	w       *world
	id      string
	number  uint64
	service string
	zone    string
	conn    *net.UDPConn
	addr    netip.AddrPort
	born    int64
	stop    chan struct{}

	mu       sync.Mutex
	seq      int
	draining bool
	ended    bool
	flows    map[ends]*backendFlow
	// free holds the times at which the slots are free.
	free [slots]time.Time
	// openings holds the flows that opened here, by the arrival of their first SYN.
	openings map[ends]time.Time
}

// backendFlow is a back end's side of a flow.
type backendFlow struct {
	echo      uint32
	seq, next uint32
	open      bool
	// answer is the answer to the last request, at sequence number answerSeq; it is nil
	// while the request is worked on. request is the ID of that request.
	request   uint64
	answer    []byte
	answerSeq uint32
	acked     bool
	closing   bool
}

// newBackend starts a back end under a new ID.
func newBackend(w *world, addr netip.AddrPort, service, zone string) (*backend, error) {
	return startBackend(w, addr, uint64(rand.Uint32())|1<<31, service, zone)
}

// startBackend starts a back end under the ID with a number.
func startBackend(w *world, addr netip.AddrPort, number uint64, service, zone string) (*backend, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	b := &backend{
		w: w, id: fmt.Sprintf("i-%x", number), number: number, service: service, zone: zone, conn: conn, addr: addr,
		born: time.Now().UnixMilli(), stop: make(chan struct{}), flows: map[ends]*backendFlow{}, openings: map[ends]time.Time{},
	}
	b.beat()
	go b.serve()
	go b.run()
	return b, nil
}

// run sends heartbeats until the back end ends.
func (b *backend) run() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
			if b.w.reachesStore(b.zone) {
				b.beat()
			}
		}
	}
}

// beat writes the back end's entry and returns the time of the acknowledgement.
func (b *backend) beat() time.Time {
	b.mu.Lock()
	b.seq++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": b.service, "address": b.addr.String(), "zone": b.zone, "version": "v1", "slots": slots,
		"state": state, "warmup_left_ms": 0, "seq": b.seq, "born": b.born,
	}
	b.mu.Unlock()
	return b.w.store.put("servers/"+b.id, entry)
}

// drain reports that the back end is leaving and returns the time at which the store
// acknowledged it.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	return b.beat()
}

// end ends the back end. It returns the requests that it had accepted and that got no
// answer.
func (b *backend) end() []uint64 {
	b.mu.Lock()
	b.ended = true
	var lost []uint64
	for _, f := range b.flows {
		if f.request != 0 && f.answer == nil {
			lost = append(lost, f.request)
		}
	}
	b.mu.Unlock()
	close(b.stop)
	_ = b.conn.Close()
	b.w.store.remove("servers/" + b.id)
	return lost
}

// lives reports whether the back end has not ended.
func (b *backend) lives() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended
}

func (b *backend) serve() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // closed
		}
		if n < idLen || b.w.isCut(from.Addr(), b.zone) {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != 0 && to != b.number {
			continue
		}
		if p, ok := decode(buf[idLen:n]); ok && p.sum == endSum {
			b.handle(&p)
		}
	}
}

func (b *backend) handle(p *packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := ends{p.src, p.dst}
	f := b.flows[key]
	switch {
	case b.ended:
	case p.flags&flagSYN != 0:
		b.handleSYN(key, f, p)
	case f == nil && p.flags&flagRST == 0:
		b.send(key, &packet{echo: p.echo, flags: flagRST, seq: p.ack, ack: p.seq})
	case f == nil:
	case p.flags&flagRST != 0:
		delete(b.flows, key)
	default:
		b.handleData(key, f, p)
	}
}

func (b *backend) handleSYN(key ends, f *backendFlow, p *packet) {
	if f == nil {
		f = &backendFlow{seq: rand.Uint32(), next: p.seq + 1}
		b.flows[key] = f
		b.openings[key] = time.Now()
	}
	if f.open {
		return
	}
	f.echo = p.echo
	b.send(key, &packet{echo: f.echo, flags: flagSYN | flagACK, seq: f.seq, ack: f.next})
}

func (b *backend) handleData(key ends, f *backendFlow, p *packet) {
	f.echo = p.echo
	if !f.open {
		if p.ack != f.seq+1 {
			return
		}
		f.open = true
		f.seq++
		b.w.flowOpened(key, b)
	}
	if f.answer != nil && p.ack == f.answerSeq+uint32(len(f.answer)) {
		f.acked = true
	}
	switch {
	case p.flags&flagFIN != 0:
		b.send(key, &packet{echo: f.echo, flags: flagFIN | flagACK, seq: f.seq, ack: p.seq + 1})
		delete(b.flows, key)
	case len(p.data) == 0:
	case p.seq == f.next:
		b.startRequest(key, f, p.data)
	case f.answer != nil:
		b.sendAnswer(key, f)
	}
}

// startRequest begins to work on a request, or rejects it if the queue is full.
func (b *backend) startRequest(key ends, f *backendFlow, data []byte) {
	f.next += uint32(len(data))
	f.request, f.answer, f.acked = binary.BigEndian.Uint64(data), nil, false
	slot := 0
	for i := range b.free {
		if b.free[i].Before(b.free[slot]) {
			slot = i
		}
	}
	now := time.Now()
	start := b.free[slot]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > queue/slots*workTime {
		b.answer(key, f, false)
		return
	}
	b.free[slot] = start.Add(workTime)
	b.w.requestRan(f.request, b)
	request := f.request
	time.AfterFunc(b.free[slot].Sub(now), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.ended && b.flows[key] == f && f.request == request {
			b.answer(key, f, true)
		}
	})
}

// answer sends the answer to a flow's request and retransmits it until it is
// acknowledged. ran is unset for a request that was rejected and has not run.
func (b *backend) answer(key ends, f *backendFlow, ran bool) {
	f.answer = make([]byte, answerLen)
	binary.BigEndian.PutUint64(f.answer, f.request)
	if ran {
		f.answer[8] = 1
	}
	f.answerSeq = f.seq
	f.seq += answerLen
	f.closing = b.draining
	b.sendAnswer(key, f)
	b.retransmit(key, f, f.answerSeq, retransmitAfter, 0)
}

func (b *backend) sendAnswer(key ends, f *backendFlow) {
	flags := byte(flagACK)
	if f.closing {
		flags |= flagFIN
	}
	b.send(key, &packet{echo: f.echo, flags: flags, seq: f.answerSeq, ack: f.next, data: f.answer})
}

func (b *backend) retransmit(key ends, f *backendFlow, seq uint32, after time.Duration, count int) {
	time.AfterFunc(after, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.ended || b.flows[key] != f || f.acked || f.answer == nil || f.answerSeq != seq || count >= maxRetransmissions {
			return
		}
		b.sendAnswer(key, f)
		b.retransmit(key, f, seq, min(2*after, maxInterval), count+1)
	})
}

// send sends a packet to the flow's client.
func (b *backend) send(key ends, p *packet) {
	p.src, p.dst, p.sum = key.route, key.client, endSum
	to := netip.AddrPortFrom(key.client.Addr(), b.w.dataPort)
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), to) // an error counts as a lost packet
}
