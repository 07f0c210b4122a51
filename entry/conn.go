package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// dialTimeout bounds the set-up of a connection to an upstream. Hosts are at most
	// a few milliseconds away; one that does not answer by then is down or cut off.
	dialTimeout = 300 * time.Millisecond
	// tcpUserTimeout ends a connection whose peer stopped acknowledging, for instance
	// because a device in between lost track of it.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes find a peer that vanished while it works.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// defaultIdleTimeout is the time for which an unused connection is kept when the upstream
	// doesn't state its own; idleTimeoutMargin is kept clear of a stated one.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 700 * time.Millisecond
	// maxIdleUnrepeatable is the time for which a connection may have been unused for a request
	// that must not be repeated: an upstream may have dropped it without notice, and
	// such a request is lost with it.
	maxIdleUnrepeatable = time.Second
	// maxInlineBody is the size of a request up to which it is written before the
	// answer is read; a peer may answer a longer one before it has read it.
	maxInlineBody = 4 << 10
	// maxStrayAnswers bounds answers to other requests that are skipped.
	maxStrayAnswers = 4
	connBufferSize  = 4 << 10
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	Control: func(_, _ string, raw syscall.RawConn) (err error) {
		e := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
		})
		return errors.Join(e, err)
	},
}

// sendError is a failure of a call to an upstream.
type sendError struct {
	sent bool // whether any byte of the request may have reached the upstream
	err  error
}

// Error implements error.
func (e *sendError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *sendError) Unwrap() error { return e.err }

// upstreamConn is one connection to an upstream.
type upstreamConn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	expires   time.Time // up to which it may be used again
	idleSince time.Time // from when on it was not used
	reused    bool
}

func dialUpstream(ctx context.Context, addr wire.Address) (*upstreamConn, error) {
	nc, err := dialer.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, &sendError{err: err}
	}
	return &upstreamConn{Conn: nc, r: bufio.NewReaderSize(nc, connBufferSize), w: bufio.NewWriterSize(nc, connBufferSize)}, nil
}

// stillIdle reports whether nothing has arrived on an idle connection, neither bytes
// that belong to no request nor its end.
func (c *upstreamConn) stillIdle() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && clean
}

// upstreamRequest is a request to an upstream, as bytes that depend on nothing else.
type upstreamRequest struct {
	method, target, host string
	header               http.Header
	body                 []byte
	id                   wire.RequestID
}

func (o *upstreamRequest) writeHead(w *bufio.Writer) error {
	_, _ = w.WriteString(o.method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(o.target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(o.host)
	_, _ = w.WriteString("\r\n")
	if err := o.header.Write(w); err != nil {
		return err
	}
	if len(o.body) > 0 || o.method != http.MethodGet && o.method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(o.body)))
		_, _ = w.WriteString("\r\n")
	}
	_, err := w.WriteString("\r\n")
	return err
}

// reply is the head of an upstream's answer; its body is read from resp.
type reply struct {
	platform.ResponseInfo
	resp *http.Response
	conn *upstreamConn
	// writeErr receives the result of writing the request.
	writeErr chan error
	// release ends the use of the connection, which is kept if reuse is set and
	// nothing speaks against it.
	release func(reuse bool)
}

// roundTrip sends o and reads the head of its answer. Answers to other requests are
// skipped. The error is a *sendError. The caller ends c when ctx is done.
func (c *upstreamConn) roundTrip(o *upstreamRequest) (rp *reply, err error) {
	rp = &reply{conn: c, writeErr: make(chan error, 1)}
	if err = c.write(o, rp.writeErr); err != nil {
		return nil, &sendError{sent: true, err: fmt.Errorf("write request: %w", err)}
	}
	req := &http.Request{Method: o.method}
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, &sendError{sent: true, err: fmt.Errorf("read answer: %w", err)}
		}
		if resp.StatusCode < http.StatusOK {
			continue // informational
		}
		rp.ResponseInfo = platform.ParseResponse(resp.StatusCode, resp.Header)
		rp.resp = resp
		if rp.ID == o.id || rp.ID == "" && rp.NotExecuted {
			return rp, nil
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil || rp.ID == "" {
			return nil, &sendError{sent: true, err: errors.New("the answer belongs to no known request")}
		}
	}
	return nil, &sendError{sent: true, err: errors.New("only answers to other requests")}
}

// write sends a short request at once and the body of a longer one while the answer
// is awaited.
func (c *upstreamConn) write(o *upstreamRequest, done chan<- error) error {
	if err := o.writeHead(c.w); err != nil {
		return err
	}
	if len(o.body) <= maxInlineBody {
		_, _ = c.w.Write(o.body)
		done <- nil
		return c.w.Flush()
	}
	go func() {
		_, err := c.w.Write(o.body)
		if err == nil {
			err = c.w.Flush()
		}
		done <- err
	}()
	return nil
}

// finish ends the use of the connection after the whole answer was read, and
// reports whether it may be used again.
func (rp *reply) finish(now time.Time) bool {
	c := rp.conn
	select {
	case err := <-rp.writeErr:
		if err != nil {
			return false
		}
	default:
		return false // answered before the request was read
	}
	if rp.resp.Close || rp.resp.ContentLength < 0 && len(rp.resp.TransferEncoding) == 0 || c.r.Buffered() > 0 {
		return false
	}
	c.idleSince = now
	c.expires = now.Add(idleTimeout(rp.resp.Header.Get("Keep-Alive")))
	return c.SetDeadline(time.Time{}) == nil
}

// idleTimeout returns how long a connection may stay unused, from its Keep-Alive header.
func idleTimeout(keepAlive string) time.Duration {
	for p := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return max(time.Duration(s)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
