package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"hornbeamcove.example/core/framer"
	"hornbeamcove.example/core/limit"
)

const (
	// maxResponseHeadBytes limits the head of a response, which an upstream in trouble may
	// send without end.
	maxResponseHeadBytes = 64 << 10
	// maxHeadLines limits the lines of a head. Servers customarily accept about a hundred
	// fields.
	maxHeadLines = 512
	// headLineBytes is the memory that a line of a head takes in net/http beside its bytes: the
	// entry in the map of fields, and the map's growth while the head is read.
	headLineBytes = 200
	// headCopies is the number of copies of a long line that net/http holds while it reads it.
	headCopies = 3
)

var errHeadTooLarge = errors.New("head exceeds the size limit")

// headMemory limits a head and takes its memory from a bound that all heads share. It is safe for
// concurrent use.
type headMemory struct {
	mu       sync.Mutex
	maxBytes int
	used     heldShare
}

// grow takes the memory of a head of which so much was read. It returns an error if the head is too
// large, or if there is no memory for it.
func (m *headMemory) grow(bytes, lines int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if bytes > m.maxBytes || lines > maxHeadLines {
		return errHeadTooLarge
	}
	if !m.used.grow(headCopies*bytes + lines*headLineBytes) {
		return errNoMemory
	}
	return nil
}

// release gives the memory of the head back, which nobody uses any more.
func (m *headMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used.release()
}

// headMeter limits the heads of the responses on a connection, of which it takes the memory of the
// present one. It is safe for concurrent use.
type headMeter struct {
	headMemory
	headMu sync.Mutex
	head   framer.ResponseHead
}

func newHeadMeter(bound *limit.Bytes) *headMeter {
	return &headMeter{headMemory: headMemory{maxBytes: maxResponseHeadBytes, used: heldShare{bound: bound}}}
}

// reset prepares for the response to the next request. It gives the memory of the previous head back.
func (m *headMeter) reset() {
	m.headMu.Lock()
	m.head = framer.ResponseHead{}
	m.headMu.Unlock()
	m.release()
}

// scan follows the next bytes from the connection. It returns the errors of grow.
func (m *headMeter) scan(p []byte) error {
	m.headMu.Lock()
	defer m.headMu.Unlock()
	if m.head.Scan(p) == 0 {
		return nil
	}
	return m.grow(m.head.Bytes, m.head.Lines)
}

// check returns the error of a head whose response has an ambiguous end.
func (m *headMeter) check() error {
	m.headMu.Lock()
	defer m.headMu.Unlock()
	return m.head.Err()
}

// headConn is a connection of an http.Transport whose responses have limited heads.
type headConn struct {
	net.Conn
	meter *headMeter
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if e := c.meter.scan(p[:n]); e != nil {
		return 0, e
	}
	return n, err
}

// Close implements net.Conn.
func (c *headConn) Close() error {
	c.meter.release()
	return c.Conn.Close()
}

// headTransport is an http.Transport that limits the heads of responses. It must be made by
// newUpstreamClient.
type headTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t headTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var meter *headMeter
	trace := httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		meter = info.Conn.(*headConn).meter
		meter.reset()
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &trace)))
	if err == nil {
		resp.Body = &meteredBody{resp.Body, meter}
	}
	return resp, err
}

// meteredBody is the body of a response whose head is no longer needed when it is closed.
type meteredBody struct {
	io.ReadCloser
	meter *headMeter
}

// Close implements io.Closer.
func (b *meteredBody) Close() error {
	b.meter.release()
	return b.ReadCloser.Close()
}

// newUpstreamClient returns a client for the router's own calls to upstreams. The heads of all
// answers take their memory from heads. A redirect is returned as the answer: following it would
// take the call to an address that no configuration names.
func newUpstreamClient(t *http.Transport, heads *limit.Bytes) *http.Client {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &headConn{nc, newHeadMeter(heads)}, nil
	}
	t.DisableCompression = true
	lastResponse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: headTransport{t}, CheckRedirect: lastResponse}
}
