package main

import (
	"net"
	"sync"
)

// proxy passes connections on to an address, until they fall silent.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns map[*proxyConn]bool
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	mu     sync.Mutex
	silent bool
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: map[*proxyConn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) serve() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &proxyConn{}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go func() {
			var both sync.WaitGroup
			both.Go(func() { c.pass(near, far) })
			both.Go(func() { c.pass(far, near) })
			both.Wait()
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
		}()
	}
}

// silence makes all open connections silent for good: nothing passes any more, neither bytes nor
// the end of the connection. New connections work. It returns the number of silent ones.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.conns)
}

// pass copies bytes from one side to the other, and closes that side at the end.
func (c *proxyConn) pass(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent && n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}
