package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy is what lies between one host and the store. It can lose track of open
// connections: these pass nothing more and are not reset, while new ones work.
type proxy struct {
	listener net.Listener
	store    string

	mu    sync.Mutex
	conns map[*proxyConn]bool
	// lastAnswer is when the store last answered the host.
	lastAnswer time.Time
	// down is set while the store is down: connections are reset.
	down bool
}

// proxyConn is one connection of a host to the store.
type proxyConn struct {
	host, store net.Conn
	silent      atomic.Bool
	// used is when the connection last passed anything, in nanoseconds since 1970.
	used atomic.Int64
}

func newProxy(ip, store string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, store: store, conns: map[*proxyConn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *proxy) connect(host net.Conn) {
	if p.isDown() {
		_ = host.Close()
		return
	}
	upstream, err := net.Dial("tcp", p.store)
	if err != nil {
		_ = host.Close()
		return
	}
	c := &proxyConn{host: host, store: upstream}
	c.used.Store(time.Now().UnixNano())
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { c.pass(upstream, host, nil); done <- struct{}{} }()
	go func() { c.pass(host, upstream, p.answered); done <- struct{}{} }()
	<-done
	if c.silent.Load() {
		<-done // each end learns of the other's end only by itself
	}
	_ = host.Close()
	_ = upstream.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pass copies from one end to the other until one closes. A silent connection swallows
// what it gets.
func (c *proxyConn) pass(to io.Writer, from io.Reader, passed func()) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.silent.Load() {
			c.used.Store(time.Now().UnixNano())
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
			if passed != nil {
				passed()
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer = time.Now()
}

// silenceIdle makes the connections silent for good that have passed nothing for a time.
// It returns their number.
func (p *proxy) silenceIdle(idle time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if time.Since(time.Unix(0, c.used.Load())) >= idle && !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

// waitForAnswer waits until the store answers the host, and returns when it did.
func (p *proxy) waitForAnswer(timeout time.Duration) (time.Time, bool) {
	p.mu.Lock()
	before := p.lastAnswer
	p.mu.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		last := p.lastAnswer
		p.mu.Unlock()
		if last.After(before) {
			return last, true
		}
	}
	return time.Time{}, false
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.host.Close()
		_ = c.store.Close()
	}
}

func (p *proxy) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// setDown begins or ends an outage of the store.
func (p *proxy) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	if down {
		for c := range p.conns {
			_ = c.host.Close()
		}
	}
}
