package plat

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const maxConns = 4 // connections per client

// cancellableClient is an HTTP client for one kind of request. fasthttp doesn't
// support contexts, so the end of a request's context closes all connections of
// the client, those of its other requests included.
type cancellableClient struct {
	client *fasthttp.Client

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newCancellableClient() *cancellableClient {
	c := &cancellableClient{conns: make(map[net.Conn]struct{})}
	c.client = &fasthttp.Client{
		Dial:                      c.dial,
		MaxConnsPerHost:           maxConns,
		MaxResponseBodySize:       maxResponseBody,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}
	return c
}

func (c *cancellableClient) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	if err := c.client.DoDeadline(req, resp, deadline); err != nil {
		return errors.Join(ctx.Err(), err)
	}
	return nil
}

func (c *cancellableClient) close() {
	c.mu.Lock()
	conns := make([]net.Conn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// dial opens a connection and tracks it for close.
func (c *cancellableClient) dial(addr string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, owner: c}
	c.mu.Lock()
	c.conns[tracked] = struct{}{}
	c.mu.Unlock()
	return tracked, nil
}

// trackedConn is a connection that its owner closes unless it is closed before.
type trackedConn struct {
	net.Conn
	owner *cancellableClient
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.owner.mu.Lock()
	delete(t.owner.conns, t)
	t.owner.mu.Unlock()
	return t.Conn.Close()
}
