package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener is a net.Listener that tracks its connections, so that a crash can reset them.
type listener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, ln: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		inner.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = struct{}{}
	l.wg.Add(1)
	return c, nil
}

// abort closes the listener and resets all connections. Their handlers may still run.
func (l *listener) abort() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Listener.Close()
	l.reset(true)
}

// reset resets the open connections. It spares those used for /fault unless includeControl
// is set.
func (l *listener) reset(includeControl bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.control.Load() && !includeControl {
			continue
		}
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // fails only if the connection is closed already
		}
		c.Conn.Close()
	}
}

// silence makes the open connections, except those used for /fault, discard all data
// that they receive or send.
func (l *listener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.control.Load() {
			c.silent.Store(true)
		}
	}
}

// conn is a connection that can be silenced and that deregisters from its listener on Close.
type conn struct {
	net.Conn
	ln      *listener
	silent  atomic.Bool
	control atomic.Bool // whether it was used for /fault; such connections are spared, so that the response arrives
	once    sync.Once
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.ln.mu.Lock()
		delete(c.ln.conns, c)
		c.ln.mu.Unlock()
		c.ln.wg.Done()
	})
	return err
}
