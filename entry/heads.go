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
	// maxResponseHeadBytes and maxResponseHeadLines limit the head of a response, which an
	// upstream in trouble may send without end. Servers customarily accept about a hundred
	// fields.
	maxResponseHeadBytes = 64 << 10
	maxResponseHeadLines = 512
	// headLineBytes is the memory that a line of a head takes in net/http beside its bytes: the
	// entry in the map of fields, and the map's growth while the head is read.
	headLineBytes = 200
)

var errHeadTooLarge = errors.New("response head exceeds the size limit")

// headMeter limits the heads of the responses on a connection, and takes the memory of the
// present one from a bound that all connections share. It is safe for concurrent use.
type headMeter struct {
	mu   sync.Mutex
	head framer.ResponseHead
	used heldShare
}

func newHeadMeter(bound *limit.Bytes) *headMeter { return &headMeter{used: heldShare{bound: bound}} }

// reset prepares for the response to the next request. It gives the memory of the previous head back.
func (m *headMeter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.head = framer.ResponseHead{}
	m.used.release()
}

// release gives the memory of the head back, which nobody uses any more.
func (m *headMeter) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used.release()
}

// scan follows the next bytes from the connection. It returns an error if the head is too large,
// or if there is no memory for it.
func (m *headMeter) scan(p []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.head.Scan(p) == 0 {
		return nil
	}
	if m.head.Bytes > maxResponseHeadBytes || m.head.Lines > maxResponseHeadLines {
		return errHeadTooLarge
	}
	if !m.used.grow(m.head.Bytes + m.head.Lines*headLineBytes) {
		return errNoMemory
	}
	return nil
}

// check returns the error of a head whose response has an ambiguous end.
func (m *headMeter) check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
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
