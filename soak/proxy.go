package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a proxy does to the connections through it.
type Fault int32

// Faults of a proxy.
const (
	Forward            Fault = iota
	Delay                    // holds each piece of data for dataDelay
	Blackhole                // drops all data of connections open now and later, both ways
	BlackholeResponses       // drops data from the server to the client only
	Reset                    // resets open connections and new ones
)

const (
	dataDelay       = 150 * time.Millisecond
	copyBufferBytes = 16 << 10
)

// Proxy forwards TCP connections on loopback and injects faults. It is safe for
// concurrent use.
type Proxy struct {
	ln     net.Listener
	target string
	fault  atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetFault changes what the proxy does.
func (p *Proxy) SetFault(f Fault) {
	p.fault.Store(int32(f))
	if f == Reset {
		p.reset()
	}
}

// Close stops the proxy.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.reset()
}

func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	if Fault(p.fault.Load()) == Reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	up, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(up, c, false) })
	wg.Go(func() { p.copy(c, up, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
	_ = c.Close()
	_ = up.Close()
}

// copy forwards data from src to dst; back says that it is the server's. The end of
// a connection is passed on, a reset as a reset. A direction that lost data stays
// silent: TCP never delivers what comes after a gap.
func (p *Proxy) copy(dst, src net.Conn, back bool) {
	buf := make([]byte, copyBufferBytes)
	for lost := false; ; {
		n, err := src.Read(buf)
		switch f := Fault(p.fault.Load()); {
		case f == Blackhole || f == BlackholeResponses && back:
			lost = lost || n > 0
		case f == Delay:
			time.Sleep(dataDelay)
		}
		if n > 0 && !lost {
			if _, e := dst.Write(buf[:n]); e != nil {
				_ = src.Close()
				return
			}
		}
		if err == io.EOF {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = dst.(*net.TCPConn).SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}
