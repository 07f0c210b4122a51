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
	maxIdleConns = 64
	maxIdleAge   = 30 * time.Second
	// tcpUserTimeout ends a connection whose peer stopped acknowledging, for
	// instance because a device in between lost track of it.
	tcpUserTimeout    = 1500 * time.Millisecond
	optTCPUserTimeout = 0x12 // TCP_USER_TIMEOUT
)

// conn is one connection to the upstream. fasthttp encodes and parses on it; its
// own client has no cancellation and retries by itself, and neither fits calls
// that may not be repeated.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	idleSince time.Time
	reused    bool
}

// connPool keeps idle connections to one address. It is safe for concurrent use.
type connPool struct {
	addr string
	mu   sync.Mutex
	idle []*conn
}

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
	Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(tcpUserTimeout/time.Millisecond))
		})
	},
}

// get returns an idle connection, or a new one when fresh is set or none is idle.
func (p *connPool) get(ctx context.Context, fresh bool) (c *conn, err error) {
	if !fresh {
		if c = p.takeIdle(); c != nil {
			return c, nil
		}
	}
	nc, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, &UpstreamError{Err: err}
	}
	return newConn(nc), nil
}

func newConn(nc net.Conn) *conn {
	return &conn{Conn: nc, r: bufio.NewReader(nc), w: bufio.NewWriter(nc)}
}

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

// put keeps c for reuse; beyond maxIdleConns connections it is closed.
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

// do sends req on c and reads the head of the answer into resp; a streamed body
// stays unread. The returned function must be called when the body was read.
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

// bindContext ends reads and writes on c when ctx is done. The returned function
// releases c and reports whether ctx was still live.
func (c *conn) bindContext(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
}

// isConnBroken reports whether err means that the peer closed or reset the connection.
func isConnBroken(err error) bool {
	var ne net.Error
	return !errors.As(err, &ne) || !ne.Timeout()
}

// roundTrip makes one call whose whole answer is read into memory. A repeatable
// call that found its idle connection closed is sent once more on a new one.
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

// markSent marks the error of a connection that could not be opened again after
// the call was sent: the upstream may have run the call and died of it.
func markSent(err error) error {
	var ue *UpstreamError
	if !errors.As(err, &ue) || ue.Sent {
		return err
	}
	return &UpstreamError{Sent: true, Reset: true, Err: ue.Err}
}

// mayBeSent reports whether a call that failed with err may have reached the
// upstream and was not answered with a status.
func mayBeSent(err error) bool {
	var ue *UpstreamError
	return !errors.As(err, &ue) || ue.Sent && ue.Status == 0
}

// statusError returns an error unless resp has status 200.
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

// watch keeps one connection open on which nothing is sent. It breaks when the
// upstream's process ends, also while no call is in flight; an upstream that
// closes idle connections causes calls of lost too. After a break, and at the start,
// lost is called once more when the upstream can be reached.
func (p *connPool) watch(ctx context.Context, lost func()) {
	pause := minWatchBackoff
	for ctx.Err() == nil {
		c, err := p.get(ctx, true)
		if err == nil {
			// The upstream may have restarted before the connection was made, too.
			lost()
			stop := c.bindContext(ctx)
			_, _ = c.r.ReadByte()
			stop()
			_ = c.Close()
			pause = minWatchBackoff
		}
		if ctx.Err() != nil {
			return
		}
		lost()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxWatchBackoff)
	}
}
