package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout  = time.Second
	maxIdleConns = 64               // idle connections kept per pool
	maxIdleAge   = 30 * time.Second // an older idle connection is not reused
	// callUserTimeout and controlUserTimeout close a connection whose peer stopped
	// acknowledging data, for instance because a device on the path lost the
	// connection's state. The kernel counts the time during which the peer's window is
	// closed, too. A large call closes it while the upstream is silent, which one
	// without a fault may be for 2 s. Control requests are too small to close it.
	callUserTimeout    = 5 * time.Second
	controlUserTimeout = 1500 * time.Millisecond
	optTCPUserTimeout  = 0x12 // socket option TCP_USER_TIMEOUT; its value is in milliseconds
)

// conn is one connection to the upstream. It uses fasthttp only to encode requests
// and to parse responses: fasthttp's client cannot be cancelled and retries on its
// own, which rules it out for calls that must not be repeated.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	idleSince time.Time
	reused    bool // whether the connection carried an earlier call
}

// connPool keeps the idle connections to one address. It is safe for concurrent
// use.
type connPool struct {
	addr   string
	dialer *net.Dialer
	mu     sync.Mutex
	idle   []*conn
}

// newConnPool returns a pool without connections. Its dialer sets keep-alive probes and
// the user timeout, so that a dead peer is detected on an idle connection as well as on
// one with unacknowledged data.
func newConnPool(addr string, userTimeout time.Duration) connPool {
	return connPool{addr: addr, dialer: &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(userTimeout/time.Millisecond))
			})
		},
	}}
}

// get returns an idle connection, or a new one if forceNew is set or none is idle.
func (p *connPool) get(ctx context.Context, forceNew bool) (c *conn, err error) {
	if !forceNew {
		if c = p.takeIdle(); c != nil {
			return c, nil
		}
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, &UpstreamError{Err: err}
	}
	return newConn(nc), nil
}

func newConn(nc net.Conn) *conn {
	return &conn{Conn: nc, r: bufio.NewReader(nc), w: bufio.NewWriter(nc)}
}

// takeIdle returns the connection that became idle last, or nil. It closes those
// that have been idle for maxIdleAge.
func (p *connPool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(c.idleSince) < maxIdleAge {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps c for reuse, or closes it if maxIdleConns connections are idle.
func (p *connPool) put(c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// do sends req on c and reads the response into resp, or only its head if
// resp.StreamBody is set. It sends nothing if CheckSend fails. The error is that of
// CheckSend, that of ctx, or an *UpstreamError.
func (c *conn) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (err error) {
	stop := c.bindContext(ctx)
	defer func() {
		if !stop() && ctx.Err() != nil {
			err = ctx.Err()
		}
	}()
	if err = CheckSend(ctx); err != nil {
		return err
	}
	if err = req.Write(c.w); err == nil {
		err = c.w.Flush()
	}
	if err == nil {
		err = resp.Read(c.r)
	}
	if err != nil {
		return &UpstreamError{Sent: true, Reset: isConnBroken(err), Err: err}
	}
	return nil
}

// bindContext aborts reads and writes on c when ctx is done. The returned function
// undoes this and reports whether ctx was not done yet.
func (c *conn) bindContext(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
}

// isConnBroken reports whether err is anything but a timeout, which means that the
// peer closed or reset the connection.
func isConnBroken(err error) bool {
	var ne net.Error
	return !errors.As(err, &ne) || !ne.Timeout()
}

// roundTrip sends req and reads the whole response into memory. A repeatable call
// is sent again if its reused connection turns out to be closed. If once is set,
// the call is not repeatable: it uses a new connection and is sent at most once.
func (p *connPool) roundTrip(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, once bool) (err error) {
	for sent := false; ; sent = true {
		c, err := p.get(ctx, once)
		if err != nil && sent {
			return markSent(err)
		}
		if err != nil {
			return err
		}
		err = c.do(ctx, req, resp)
		if err == nil {
			p.put(c)
			return nil
		}
		_ = c.Close()
		var ue *UpstreamError
		if once || !c.reused || !errors.As(err, &ue) || !ue.Reset {
			return err
		}
	}
}

// markSent marks err, from a connection that could not be reopened after the call
// was sent, as sent and reset: the call may have crashed the upstream.
func markSent(err error) error {
	var ue *UpstreamError
	if !errors.As(err, &ue) || ue.Sent {
		return err
	}
	return &UpstreamError{Sent: true, Reset: true, Err: ue.Err}
}

// sentWithoutStatus reports whether a call that failed with err may have reached the
// upstream without an HTTP status in return.
func sentWithoutStatus(err error) bool {
	var ue *UpstreamError
	return !errors.As(err, &ue) || ue.Sent && ue.Status == 0
}

// statusError returns an *UpstreamError unless resp has status 200.
func statusError(resp *fasthttp.Response) error {
	if s := resp.StatusCode(); s != fasthttp.StatusOK {
		return &UpstreamError{Status: s, Sent: true, Err: fmt.Errorf("%s", resp.Body())}
	}
	return nil
}

const (
	minWatchBackoff = 10 * time.Millisecond
	maxWatchBackoff = time.Second
)

// watch keeps one connection open without sending anything on it, and calls onLost
// when it breaks. The connection breaks when the upstream's process ends, even if
// no call is in flight; an upstream that closes idle connections has the same
// effect. onLost is also called after every attempt to connect, including the first.
func (p *connPool) watch(ctx context.Context, onLost func()) {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		c, err := p.get(ctx, true)
		if err == nil {
			// The upstream may also have restarted before the connection was made.
			onLost()
			stop := c.bindContext(ctx)
			_, _ = c.r.ReadByte()
			stop()
			_ = c.Close()
			backoff = minWatchBackoff
		}
		if ctx.Err() != nil {
			return
		}
		onLost()
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
}
