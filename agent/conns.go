package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	dialTimeout = time.Second
	// callUserTimeout and controlUserTimeout close a connection whose peer stopped
	// acknowledging data, for instance because a device on the path lost the
	// connection's state. The kernel counts the time during which the peer's window is
	// closed, too. A large call closes it while the upstream is silent, which one
	// without a fault may be for 2 s. Control requests are too small to close it.
	callUserTimeout    = 5 * time.Second
	controlUserTimeout = 1500 * time.Millisecond
	optTCPUserTimeout  = 0x12 // socket option TCP_USER_TIMEOUT; its value is in milliseconds
)

// conn is one connection to the upstream. It carries one call: an upstream may send an answer
// once more, and answers have no id by which it could be told from that to the next call. conn
// uses fasthttp only to encode requests and to parse responses: fasthttp's client cannot be
// cancelled and retries on its own, which rules it out for calls that must not be repeated.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
}

// dialer opens connections to one address. It is safe for concurrent use.
type dialer struct {
	addr string
	net.Dialer
}

// newDialer returns a dialer that sets keep-alive probes and the user timeout, so that a dead
// peer is detected on an idle connection as well as on one with unacknowledged data.
func newDialer(addr string, userTimeout time.Duration) *dialer {
	return &dialer{addr: addr, Dialer: net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(userTimeout/time.Millisecond))
			})
		},
	}}
}

// dial opens a connection. The error is an *UpstreamError.
func (d *dialer) dial(ctx context.Context) (*conn, error) {
	nc, err := d.DialContext(ctx, "tcp", d.addr)
	if err != nil {
		return nil, &UpstreamError{Err: err}
	}
	return newConn(nc), nil
}

func newConn(nc net.Conn) *conn {
	return &conn{Conn: nc, r: bufio.NewReader(nc), w: bufio.NewWriter(nc)}
}

// do sends req on c and reads the response into resp, or only its head if
// resp.StreamBody is set. It reads maxAnswerBytes of a body at most. It sends nothing if
// CheckSend fails. The error is that of CheckSend, that of ctx, or an *UpstreamError.
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
		err = c.awaitStatus()
	}
	if err == nil {
		err = resp.ReadLimitBody(c.r, maxAnswerBytes)
	}
	if err != nil {
		tooLarge := errors.Is(err, fasthttp.ErrBodyTooLarge)
		return &UpstreamError{Sent: true, Reset: !tooLarge && isConnBroken(err), Err: err}
	}
	return nil
}

const (
	// maxInformational limits the informational responses before an answer, and maxHeadLines the
	// lines of each.
	maxInformational = 4
	maxHeadLines     = 100
	// statusLineSize is the size of a status line up to the byte after its status.
	statusLineSize = len("HTTP/1.1 200 ")
	maxStatus      = 599
)

var errStatusLine = errors.New("status line without a possible status")

// awaitStatus skips informational responses and checks the status of the answer that follows, which
// it leaves unread. HTTP has none below 100 and above 599 (RFC 9110, section 15), and calls ask for
// no other protocol. fasthttp takes a status of 0 for 200.
func (c *conn) awaitStatus() error {
	for range maxInformational + 1 {
		line, err := c.r.Peek(statusLineSize)
		if err != nil {
			return err
		}
		version, status := string(line[:len("HTTP/1.1 ")]), string(line[len("HTTP/1.1 "):statusLineSize-1])
		n, err := strconv.ParseUint(status, 10, 16)
		end := line[statusLineSize-1]
		if err != nil || version != "HTTP/1.1 " && version != "HTTP/1.0 " || end != ' ' && end != '\r' && end != '\n' ||
			n < fasthttp.StatusContinue || n > maxStatus || n == fasthttp.StatusSwitchingProtocols {
			return errStatusLine
		}
		if n >= fasthttp.StatusOK {
			return nil
		}
		if err = c.skipHead(); err != nil {
			return err
		}
	}
	return errors.New("too many informational responses")
}

// skipHead reads a head up to the empty line that ends it.
func (c *conn) skipHead() error {
	for range maxHeadLines {
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return errors.New("head of an informational response is too long")
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

// roundTrip sends req on a new connection and reads the whole response into memory.
func (d *dialer) roundTrip(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	c, err := d.dial(ctx)
	if err != nil {
		return err
	}
	defer c.Close()
	return c.do(ctx, req, resp)
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

// maxErrorText limits what an error quotes of the body of a response, in bytes.
const maxErrorText = 200

// statusError returns an *UpstreamError unless resp has status 200. It quotes the beginning of a
// body that was read, and reads nothing of a stream, which may not end.
func statusError(resp *fasthttp.Response) error {
	s := resp.StatusCode()
	if s == fasthttp.StatusOK {
		return nil
	}
	text := []byte("status " + strconv.Itoa(s))
	if !resp.IsBodyStream() {
		text = resp.Body()
	}
	return &UpstreamError{Status: s, Sent: true, Err: fmt.Errorf("%s", text[:min(len(text), maxErrorText)])}
}

const (
	minWatchBackoff = 10 * time.Millisecond
	maxWatchBackoff = time.Second
)

// watch keeps one connection open without sending anything on it, and calls onLost
// when it breaks. The connection breaks when the upstream's process ends, even if
// no call is in flight; an upstream that closes idle connections has the same
// effect. onLost is also called after every attempt to connect, including the first.
func (d *dialer) watch(ctx context.Context, onLost func()) {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		c, err := d.dial(ctx)
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
