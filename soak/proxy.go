package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcove.example/fakes/site"
)

// Fault says how a proxy treats the connections through it.
type Fault int32

// Faults of a proxy. Forward is the state without a fault.
const (
	Forward            Fault = iota
	Delay                    // delays the data of each read by dataDelay
	Blackhole                // drops all data in both directions, on open and new connections
	BlackholeResponses       // drops data from the server to the client
	Reset                    // resets open connections and new ones
)

const (
	dataDelay       = 150 * time.Millisecond
	copyBufferBytes = 16 << 10
)

// Proxy forwards TCP connections on loopback and injects faults. It is safe for
// concurrent use.
type Proxy struct {
	port   *site.Port
	target string
	fault  atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
	ln    net.Listener
	down  bool
}

// NewProxy starts a proxy on a free loopback port that forwards to target.
func NewProxy(target string) (*Proxy, error) {
	port, err := site.ReservePort()
	if err != nil {
		return nil, err
	}
	ln, err := port.Listen()
	if err != nil {
		return nil, errors.Join(err, port.Close())
	}
	p := &Proxy{port: port, target: target, conns: map[net.Conn]bool{}, ln: ln}
	go p.accept(ln)
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.port.Addr() }

// SetDown makes the proxy refuse connections, as the address of a server that crashed
// does, or accept them again.
func (p *Proxy) SetDown(down bool) {
	p.mu.Lock()
	p.down = down
	if down {
		_ = p.ln.Close()
	}
	p.mu.Unlock()
	if down {
		p.reset()
		return
	}
	for !p.listen() {
		time.Sleep(10 * time.Millisecond) // another socket uses the port for a moment
	}
}

// listen accepts connections again after SetDown. It returns false if the port is in use.
func (p *Proxy) listen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return true
	}
	ln, err := p.port.Listen()
	if err != nil {
		return false
	}
	p.ln = ln
	go p.accept(ln)
	return true
}

// SetFault makes the proxy inject f from now on. Reset also resets the open connections.
func (p *Proxy) SetFault(f Fault) {
	p.fault.Store(int32(f))
	if f == Reset {
		p.reset()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.down = true
	_ = p.ln.Close()
	_ = p.port.Close()
	p.mu.Unlock()
	p.reset()
}

// reset closes all open connections with a TCP reset.
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

func (p *Proxy) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve forwards a client connection until both directions have ended. It resets the
// connection if the fault is Reset or the target cannot be reached.
func (p *Proxy) serve(c net.Conn) {
	if Fault(p.fault.Load()) == Reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, c, false) })
	wg.Go(func() { p.copy(c, server, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = c.Close()
	_ = server.Close()
}

// copy forwards data from src to dst; fromServer says that src is the server. It passes on
// the end of the stream as a half-close and a read error as a reset. Once data has been
// dropped, the direction carries no more data, because TCP never delivers bytes after a gap.
func (p *Proxy) copy(dst, src net.Conn, fromServer bool) {
	buf := make([]byte, copyBufferBytes)
	for dropped := false; ; {
		n, err := src.Read(buf)
		switch f := Fault(p.fault.Load()); {
		case f == Blackhole || f == BlackholeResponses && fromServer:
			dropped = dropped || n > 0
		case f == Delay:
			time.Sleep(dataDelay)
		}
		if n > 0 && !dropped {
			if _, e := dst.Write(buf[:n]); e != nil {
				// The other direction may read the end of the stream, since a reset is reported once.
				_ = src.(*net.TCPConn).SetLinger(0)
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
