package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Layout of a packet and its flags.
const (
	headLen      = 32
	numberLen    = 8
	requestLen   = 16
	responseLen  = 64
	maxDatagram  = 2048
	flagSYN      = 2
	flagRST      = 16
	flagFIN      = 64
	flagACK      = 128
	endpointSum  = 1 // any keyed sum; hosts send 0
	openTimeout  = 1400 * time.Millisecond
	firstCopy    = 200 * time.Millisecond
	secondCopy   = 600 * time.Millisecond
	firstRepeat  = 200 * time.Millisecond
	maxRepeat    = 1600 * time.Millisecond
	deadline     = 4 * time.Second
	workTime     = 40 * time.Millisecond
	beatInterval = 1200 * time.Millisecond
)

// segment is a packet as its ends see it.
type segment struct {
	echo     uint32
	flags    byte
	seq, ack uint32
	src, dst netip.AddrPort
	sum      uint32
	data     []byte
}

func (p *segment) encode() []byte {
	b := make([]byte, headLen, headLen+len(p.data))
	binary.BigEndian.PutUint32(b, p.echo)
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[6:], endpointSum)
	b[10] = p.flags
	binary.BigEndian.PutUint32(b[12:], p.seq)
	binary.BigEndian.PutUint32(b[16:], p.ack)
	binary.BigEndian.PutUint16(b[20:], p.src.Port())
	binary.BigEndian.PutUint16(b[22:], p.dst.Port())
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[24:], src[:])
	copy(b[28:], dst[:])
	return append(b, p.data...)
}

func decode(b []byte) (segment, bool) {
	if len(b) < headLen {
		return segment{}, false
	}
	addr := func(at, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[at:at+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return segment{
		echo: binary.BigEndian.Uint32(b), flags: b[10], seq: binary.BigEndian.Uint32(b[12:]), ack: binary.BigEndian.Uint32(b[16:]),
		src: addr(24, 20), dst: addr(28, 22), sum: binary.BigEndian.Uint32(b[6:]), data: append([]byte(nil), b[headLen:]...),
	}, true
}

// flowKey identifies a flow at a back end.
type flowKey struct{ client, service netip.AddrPort }

// serverFlow is a back end's side of a flow.
type serverFlow struct {
	seq, next, echo uint32
	response        []byte
}

// arrival is an opening that reached a back end.
type arrival struct {
	at     time.Time
	client netip.AddrPort
}

// server is a stand-in of a back end.
type server struct {
	id, service, zone, addr string
	number                  uint64
	conn                    *net.UDPConn
	clientPort              uint16
	store                   *kvStore

	mu       sync.Mutex
	beats    int
	born     time.Time
	warmup   time.Duration
	flows    map[flowKey]*serverFlow
	arrivals []arrival
	runs     map[uint64]int
	stop     chan struct{}
}

// newServer starts a back end that serves and writes its entry to the store.
func newServer(store *kvStore, number uint64, service, zone, addr string, clientPort uint16, warmup time.Duration) (*server, error) {
	conn, err := listenUDP(addr)
	if err != nil {
		return nil, err
	}
	s := &server{
		id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone, addr: addr, conn: conn, clientPort: clientPort,
		store: store, born: time.Now(), warmup: warmup, flows: map[flowKey]*serverFlow{}, runs: map[uint64]int{},
		stop: make(chan struct{}),
	}
	go s.serve()
	s.beat()
	go func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-ticker.C:
				s.beat()
			}
		}
	}()
	return s, nil
}

// beat writes the entry.
func (s *server) beat() {
	s.mu.Lock()
	s.beats++
	entry := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": 3, "state": "ready",
		"warmup_left_ms": s.coldLeft().Milliseconds(), "seq": s.beats, "born": s.born.UnixMilli(),
	}
	s.mu.Unlock()
	s.store.put("servers/"+s.id, entry)
}

// coldLeft returns how long the back end stays cold; the caller holds mu.
func (s *server) coldLeft() time.Duration { return max(s.warmup-time.Since(s.born), 0) }

func (s *server) close() {
	close(s.stop)
	_ = s.conn.Close() // the run is over
}

// opened returns the openings that reached the back end, in their order.
func (s *server) opened() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *server) serve() {
	buf := make([]byte, maxDatagram)
	for {
		n, err := s.conn.Read(buf)
		if err != nil {
			return
		}
		if n < numberLen {
			continue
		}
		intended := binary.BigEndian.Uint64(buf)
		p, ok := decode(buf[numberLen:n])
		if ok && (intended == 0 || intended == s.number) {
			s.handle(&p)
		}
	}
}

func (s *server) handle(p *segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := s.flows[key]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &serverFlow{seq: uint32(time.Now().UnixNano()) | 1<<28, next: p.seq + 1}
			s.flows[key] = f
			s.arrivals = append(s.arrivals, arrival{time.Now(), p.src})
		}
		f.echo = p.echo
		s.send(key, f, flagSYN|flagACK, f.seq, f.next, nil)
	case p.flags&flagRST != 0:
		delete(s.flows, key)
	case f == nil:
		s.send(key, &serverFlow{echo: p.echo}, flagRST, p.ack, p.seq, nil)
	case p.flags&flagFIN != 0:
		s.send(key, f, flagFIN|flagACK, f.seq+1+uint32(len(f.response)), p.seq+1, nil)
		delete(s.flows, key)
	case len(p.data) == requestLen:
		s.request(key, f, p)
	}
}

// request runs a request, or answers its repetition; the caller holds mu.
func (s *server) request(key flowKey, f *serverFlow, p *segment) {
	f.echo = p.echo
	if p.seq != f.next {
		s.send(key, f, flagACK, f.seq+1, f.next, f.response)
		return
	}
	f.next += requestLen
	id := binary.BigEndian.Uint64(p.data)
	s.runs[id]++
	time.AfterFunc(workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f.response = append(append([]byte(nil), p.data...), make([]byte, responseLen-requestLen)...)
		s.send(key, f, flagACK, f.seq+1, f.next, f.response)
	})
}

// send sends a packet to the client directly.
func (s *server) send(key flowKey, f *serverFlow, flags byte, seq, ack uint32, data []byte) {
	p := segment{echo: f.echo, flags: flags, seq: seq, ack: ack, src: key.service, dst: key.client, data: data}
	// A datagram that can't be sent counts as lost.
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.client.Addr(), s.clientPort))
}

// client is a stand-in of the clients of one zone, which share an address.
type client struct {
	addr  netip.Addr
	conn  *net.UDPConn
	route func(flow netip.AddrPort) (host string, ok bool)

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan segment
	// via holds the host that took a flow's last opening.
	via map[netip.AddrPort]string
}

func newClient(addr string, route func(netip.AddrPort) (string, bool)) (*client, error) {
	conn, err := listenUDP(addr)
	if err != nil {
		return nil, err
	}
	c := &client{
		addr: netip.MustParseAddrPort(addr).Addr(), conn: conn, route: route, port: 1024,
		flows: map[uint16]chan segment{}, via: map[netip.AddrPort]string{},
	}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		in := c.flows[p.dst.Port()]
		c.mu.Unlock()
		select {
		case in <- p:
		default: // the flow is over
		}
	}
}

// hostOf returns the host that a flow's opening was sent to.
func (c *client) hostOf(flow netip.AddrPort) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.via[flow]
}

// open begins a new flow from a new port.
func (c *client) open() (netip.AddrPort, chan segment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	in := make(chan segment, 16)
	c.flows[c.port] = in
	return netip.AddrPortFrom(c.addr, c.port), in
}

func (c *client) done(flow netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, flow.Port())
}

func (c *client) send(p *segment) {
	host, ok := c.route(p.src)
	if !ok {
		return
	}
	if p.flags&flagSYN != 0 {
		c.mu.Lock()
		c.via[p.src] = host
		c.mu.Unlock()
	}
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), netip.MustParseAddrPort(host)) // counts as lost
}

// request opens a flow, sends one request on it and waits for the response. It returns
// how the attempt ended.
func (c *client) request(service netip.AddrPort, id uint64) (flow netip.AddrPort, outcome string) {
	flow, in := c.open()
	defer c.done(flow)
	start := time.Now()
	p := segment{src: flow, dst: service, seq: uint32(id)*7919 + 1}
	syn, ok := c.handshake(&p, in, start)
	if !ok {
		return flow, syn
	}
	p.flags = flagACK
	p.data = binary.BigEndian.AppendUint64(nil, id)
	p.data = append(p.data, make([]byte, requestLen-len(p.data))...)
	for wait := firstRepeat; time.Since(start) < deadline; wait = min(2*wait, maxRepeat) {
		c.send(&p)
		for repeat := time.After(wait); ; {
			var got segment
			select {
			case got = <-in:
			case <-repeat:
			}
			if got.src.IsValid() && got.flags&flagRST != 0 {
				return flow, "reset"
			}
			if len(got.data) == responseLen {
				c.finish(&p, in)
				return flow, "answered"
			}
			if !got.src.IsValid() {
				break
			}
			if got.flags&flagSYN == 0 {
				p.echo = got.echo
			}
		}
	}
	return flow, "deadline"
}

// handshake sends the opening and its copies. If it reports false, the string says how
// the attempt ended.
func (c *client) handshake(p *segment, in chan segment, start time.Time) (string, bool) {
	p.flags = flagSYN
	for copies, until := range []time.Duration{firstCopy, secondCopy, openTimeout} {
		p.ack = uint32(copies)
		c.send(p)
		select {
		case got := <-in:
			if got.flags&flagRST != 0 {
				return "refused", false
			}
			p.echo, p.ack, p.seq = got.echo, got.seq+1, p.seq+1
			return "", true
		case <-time.After(time.Until(start.Add(until))):
		}
	}
	return "not opened", false
}

// finish closes a flow.
func (c *client) finish(p *segment, in chan segment) {
	p.flags, p.seq, p.ack, p.data = flagFIN|flagACK, p.seq+requestLen, p.ack+responseLen, nil
	c.send(p)
	select {
	case <-in:
	case <-time.After(firstRepeat):
	}
}

func listenUDP(addr string) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return conn, nil
}
