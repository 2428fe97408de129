package main

import (
	"net"
	"sync"
)

// proxy carries the connections of one host to the store. While it is cut, bytes in
// both directions and new connections wait, as on a link that drops all packets.
type proxy struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	open *sync.Cond
	cut  bool
}

func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to}
	p.open = sync.NewCond(&p.mu)
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

// setCut begins or ends the cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.open.Broadcast()
}

// wait blocks while the link is cut.
func (p *proxy) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.open.Wait()
	}
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.carry(client)
	}
}

func (p *proxy) carry(client net.Conn) {
	p.wait()
	store, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = client.Close()
		return
	}
	go p.copy(store, client)
	p.copy(client, store)
}

// copy copies one direction and closes both connections at its end.
func (p *proxy) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	const bytes = 64 << 10
	buf := make([]byte, bytes)
	for {
		n, err := from.Read(buf)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return // the other end has closed the connection
		}
	}
}
