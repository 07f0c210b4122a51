package framer

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is still read from a caller whose request was
	// answered before it was read. Closing the connection with unread bytes would reset it, and
	// the caller might not get the answer. The bytes are above the bodies that callers may send.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
)

// Listener is a listener of an HTTP/1.1 server, whose connections fail at a request with an
// ambiguous end. The server answers it like other malformed ones, with 400, and closes the
// connection.
type Listener struct {
	net.Listener
	// Rejected, if set, is called with the error of each such request.
	Rejected func(error)
	// NewMeter, if set, returns what limits the heads of the requests on a new connection.
	NewMeter func() Meter
}

// Meter limits the heads of the requests on a connection. Its methods may be called concurrently.
type Meter interface {
	// Grow is called while a head is read, with what was read of it. If it returns an answer, the
	// server doesn't get the request: the answer is written, and the connection is closed.
	Grow(bytes, lines int) (answer []byte)
	// Release is called when the server no longer needs the head, or any of the connection.
	Release()
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	fc := &Conn{Conn: c, rejected: l.Rejected}
	if l.NewMeter != nil {
		fc.meter = l.NewMeter()
	}
	return fc, nil
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	rejected func(error)
	meter    Meter       // nil if heads have no limit
	requests Requests    // used by Read only
	content  atomic.Bool // whether the present request has a body that was not read to its end
	early    atomic.Bool // whether it was answered all the same
	lingers  atomic.Bool // whether Close must read what is left
}

// Read implements net.Conn. After the last bytes that may be passed on it returns the error of
// the request that was rejected.
func (c *Conn) Read(p []byte) (n int, err error) {
	if _, err = c.requests.Scan(nil); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(p)
	n, scanErr := c.requests.Scan(p[:n])
	if c.content.Store(c.requests.inContent()); !c.content.Load() {
		c.early.Store(false)
	}
	if c.meter != nil && n > 0 {
		if answer := c.meter.Grow(c.requests.HeadBytes, c.requests.HeadLines); answer != nil {
			return 0, c.refuse(answer)
		}
	}
	if scanErr == nil {
		return n, err
	}
	c.lingers.Store(true)
	if c.rejected != nil {
		c.rejected(scanErr)
	}
	if n > 0 {
		return n, nil
	}
	return 0, scanErr
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.content.Load() {
		c.early.Store(true)
	}
	return c.Conn.Write(p)
}

var errRefused = errors.New("request refused for its head")

// refuse answers a request that the server doesn't get, and returns the error for the server. It
// answers no request whose connection fails in a read.
func (c *Conn) refuse(answer []byte) error {
	c.lingers.Store(true)
	if _, err := c.Conn.Write(answer); err != nil {
		return err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
}

// RequestEnded says that the server no longer needs the head of the last request.
func (c *Conn) RequestEnded() {
	if c.meter != nil {
		c.meter.Release()
	}
}

// CloseWrite ends the sending side of the connection.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return c.Conn.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.RequestEnded()
	early := c.early.Swap(false)
	if (c.lingers.Swap(false) || early) && c.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
	}
	return c.Conn.Close()
}
