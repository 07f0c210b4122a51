package plat

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const maxConns = 4

// cancellableClient sends requests of one sort. fasthttp knows no contexts, so the end of a
// request's context closes the reader's connections, those of its other requests
// included.
type cancellableClient struct {
	client *fasthttp.Client

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newCancellableClient() *cancellableClient {
	r := &cancellableClient{conns: make(map[net.Conn]struct{})}
	r.client = &fasthttp.Client{
		Dial:                      r.dial,
		MaxConnsPerHost:           maxConns,
		MaxResponseBodySize:       maxResponseBody,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}
	return r
}

func (r *cancellableClient) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	stop := context.AfterFunc(ctx, r.close)
	defer stop()
	if err := r.client.DoDeadline(req, resp, deadline); err != nil {
		return errors.Join(ctx.Err(), err)
	}
	return nil
}

func (r *cancellableClient) close() {
	r.mu.Lock()
	conns := make([]net.Conn, 0, len(r.conns))
	for conn := range r.conns {
		conns = append(conns, conn)
	}
	r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// dial opens a connection that close can find.
func (r *cancellableClient) dial(addr string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, owner: r}
	r.mu.Lock()
	r.conns[tracked] = struct{}{}
	r.mu.Unlock()
	return tracked, nil
}

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
