package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/pace"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// dialTimeout limits connecting to an upstream. Hosts are at most a few milliseconds
	// away, so one that does not answer by then is down or unreachable.
	dialTimeout = 300 * time.Millisecond
	// tcpUserTimeout closes a connection whose peer stopped acknowledging data, for
	// instance because a middlebox dropped its state. The kernel counts the time during
	// which the peer's window is closed, too. A large request closes it while the upstream
	// is silent, so largeUserTimeout applies to one with a body over maxInlineBody.
	tcpUserTimeout   = 1500 * time.Millisecond
	largeUserTimeout = 5 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes configure the TCP keep-alive,
	// which detects a peer that vanishes while it processes a request.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// defaultIdleTimeout is how long an idle connection is kept when the upstream sends no
	// Keep-Alive timeout; idleTimeoutMargin is subtracted from one that it sends.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 700 * time.Millisecond
	// maxIdleUnrepeatable is the longest idle time of a connection that is reused for a
	// request that must not be repeated. The upstream may have dropped an older one
	// without notice, and such a request would be lost with it.
	maxIdleUnrepeatable = time.Second
	// maxInlineBody is the size in bytes up to which a request body is written before the
	// response is read. An upstream may respond before it has read all of a larger one.
	maxInlineBody = 4 << 10
	// maxResponsesRead limits the responses that are read for one request, including those
	// that are skipped: informational ones and responses to other requests.
	maxResponsesRead = 4
	connBufferSize   = 4 << 10
	// maxConnRequests limits the requests that are sent on one connection, since a hash of each
	// id is kept.
	maxConnRequests = 256
)

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, tcpUserTimeout) },
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) (err error) {
	e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
	return errors.Join(e, err)
}

// sendError is an error of sending a request to an upstream or of reading its response.
type sendError struct {
	sent bool // whether any byte of the request may have reached the upstream
	err  error
	// silent is the time since the last byte from the upstream, or since the request was
	// written; 0 if nothing was sent.
	silent time.Duration
}

// Error implements error.
func (e *sendError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *sendError) Unwrap() error { return e.err }

// upstreamConn is one connection to an upstream.
type upstreamConn struct {
	net.Conn
	limit     *limitedReader // below r
	heads     *headMeter     // of the responses
	r         *bufio.Reader
	w         *bufio.Writer
	expires   time.Time // end of the time in which it may be reused
	idleSince time.Time // end of its last use
	heardAt   time.Time // when the request was written or the last bytes of its answer arrived
	target    *target   // of the upstream; nil in tests and in probes
	due       int64     // bytes that complete the answer, 0 if unknown
	unframed  bool      // whether the answer ends with the connection
	// onSilence is called with the timeout when the read deadline has passed. If it returns nil,
	// it has set a later deadline and the read goes on. It may be nil.
	onSilence func(timeout error) error
	reused    bool
	large     bool     // whether largeUserTimeout is set
	sentIDs   []uint64 // hashes of the ids of the requests that were sent on it
	stray     bool     // whether it has carried a response to no request that was waiting
}

var idSeed = maphash.MakeSeed()

// mayCarry reports whether a request may be sent on c. An upstream may send an earlier response
// once more where the next one is expected, and only the id tells them apart. So no id is sent
// twice on one connection, and a request without an id only on a new one.
func (c *upstreamConn) mayCarry(id wire.RequestID) bool {
	return id != "" && !slices.Contains(c.sentIDs, maphash.String(idSeed, string(id)))
}

// recordSent records that a request is sent on c.
func (c *upstreamConn) recordSent(id wire.RequestID) {
	c.sentIDs = append(c.sentIDs, maphash.String(idSeed, string(id)))
}

// abort closes a connection whose request may be unfinished. It resets it, since the kernel would
// go on delivering the request after an ordinary close, long after a partition if need be.
func (c *upstreamConn) abort() {
	setAbort(c.Conn)
	_ = c.Close()
}

// Close implements net.Conn.
func (c *upstreamConn) Close() error {
	c.heads.release()
	return c.Conn.Close()
}

// setAbort lets the next close of a TCP connection reset it and drop what was not delivered.
func setAbort(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// dialAbortable opens a connection that is reset when it is closed, see abort.
func dialAbortable(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := dialer.DialContext(ctx, network, addr)
	if err == nil {
		setAbort(nc)
	}
	return nc, err
}

// setLarge sets the user timeout for a request with or without a large body.
func (c *upstreamConn) setLarge(large bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || large == c.large {
		return
	}
	timeout := tcpUserTimeout
	if large {
		timeout = largeUserTimeout
	}
	if raw, err := sc.SyscallConn(); err == nil && setUserTimeout(raw, timeout) == nil {
		c.large = large
	}
}

// dialUpstream opens a connection to an upstream. The heads of its responses take their memory from
// heads, unless that is nil. The error is a *sendError.
func dialUpstream(ctx context.Context, addr wire.Address, heads *limit.Bytes) (*upstreamConn, error) {
	nc, err := dialer.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, &sendError{err: err}
	}
	return newUpstreamConn(nc, heads), nil
}

func newUpstreamConn(nc net.Conn, heads *limit.Bytes) *upstreamConn {
	c := &upstreamConn{Conn: nc, w: bufio.NewWriterSize(nc, connBufferSize), heads: newHeadMeter(heads)}
	c.limit = &limitedReader{r: readerFunc(c.read), left: math.MaxInt64}
	c.r = bufio.NewReaderSize(c.limit, connBufferSize)
	return c
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// limitedReader reads at most left bytes from r and then fails with errResponseTooLarge.
type limitedReader struct {
	r     io.Reader
	left  int64
	heads *headMeter // follows what is read, nil unless a head is
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if l.heads != nil {
		if e := l.heads.scan(p[:n]); e != nil {
			return 0, e
		}
	}
	return n, err
}

// isUnframed reports whether only the end of the connection ends a response.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

var errCutOff = errors.New("connection ended within a response without a length")

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	conn net.Conn
}

// Read implements io.Reader. It returns errCutOff at the end of a connection that the peer has not
// closed in the ordinary way. A read returns io.EOF after a reset too, if the write of the request
// or a look at the connection was told of the reset before.
func (b *unframedBody) Read(p []byte) (n int, err error) {
	if n, err = b.ReadCloser.Read(p); errors.Is(err, io.EOF) && !closedByPeer(b.conn) {
		err = errCutOff
	}
	return n, err
}

// closedByPeer reports whether the peer of a TCP connection has closed its side, and has not reset
// the connection.
func closedByPeer(c net.Conn) (closed bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) { closed = isCloseWait(fd) })
	return err == nil && closed
}

// tcpCloseWait is TCP_CLOSE_WAIT of Linux: the peer has closed its side, this one is open.
const tcpCloseWait = 8

func isCloseWait(fd uintptr) bool {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == tcpCloseWait
}

// checkStatus returns the error of a status that no response to a request of this router can have:
// HTTP has none below 100 and above 599 (RFC 9110, section 15), and the router never asks for another
// protocol.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("impossible status %d", status)
	}
	return nil
}

const maxStatus = 599

// readHead reads the head of a response, within the limits of headMeter, and leaves its body unread.
func (c *upstreamConn) readHead(req *http.Request) (resp *http.Response, err error) {
	c.heads.reset()
	c.limit.heads = c.heads
	defer func() { c.limit.heads = nil }()
	buffered, _ := c.r.Peek(c.r.Buffered())
	if err = c.heads.scan(buffered); err != nil {
		return nil, err
	}
	if resp, err = http.ReadResponse(c.r, req); err != nil {
		return nil, err
	}
	if err = checkStatus(resp.StatusCode); err != nil {
		return nil, err
	}
	if isUnframed(resp) && resp.Body != http.NoBody {
		resp.Body = &unframedBody{resp.Body, c.Conn}
	}
	// net/http deletes the length of a response that has both.
	return resp, c.heads.check()
}

// stillIdle reports whether nothing has arrived on an idle connection: neither
// unsolicited data nor the end of the connection.
func (c *upstreamConn) stillIdle() bool { return c.r.Buffered() == 0 && !c.readable() }

// readable reports whether a read would not wait, since data, the end of the connection or an
// error has arrived. The read deadline does not count.
func (c *upstreamConn) readable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	wouldBlock := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = errors.Is(e, unix.EAGAIN)
	})
	return err != nil || !wouldBlock
}

// upstreamRequest is a complete request to an upstream, ready to be written.
type upstreamRequest struct {
	method, target, host string
	header               http.Header
	body                 []byte
	id                   wire.RequestID
}

func (r *upstreamRequest) writeHead(w *bufio.Writer) error {
	_, _ = w.WriteString(r.method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.host)
	_, _ = w.WriteString("\r\n")
	if err := r.header.Write(w); err != nil {
		return err
	}
	if len(r.body) > 0 || r.method != http.MethodGet && r.method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(r.body)))
		_, _ = w.WriteString("\r\n")
	}
	_, err := w.WriteString("\r\n")
	return err
}

// response is an upstream's response whose header was read; its body is read from resp.
type response struct {
	platform.ResponseInfo
	requestID wire.RequestID // empty if the request has none
	resp      *http.Response
	conn      *upstreamConn
	watch     *silenceWatch // of the attempt
	work      pace.Work     // of the request that is left to do
	unread    wire.Tokens   // prompt tokens that the upstream had to read
	// writeErr receives the result of writing the request.
	writeErr chan error
	// release ends the use of the connection. It is kept for reuse if reuse is set and
	// the connection is in a reusable state, and closed otherwise.
	release func(reuse bool)
}

// roundTrip sends req and reads the header of its response. Informational responses and
// those to other requests are skipped. The error is a *sendError. The caller interrupts
// a round trip through the deadline of c.
func (c *upstreamConn) roundTrip(req *upstreamRequest) (rp *response, err error) {
	defer func() {
		var se *sendError
		if errors.As(err, &se) {
			se.silent = c.silence()
		}
	}()
	c.heardAt = time.Now()
	c.recordSent(req.id)
	rp = &response{conn: c, requestID: req.id, writeErr: make(chan error, 1)}
	if err = c.write(req, rp.writeErr); err != nil {
		return nil, &sendError{sent: true, err: fmt.Errorf("write request: %w", err)}
	}
	httpReq := &http.Request{Method: req.method}
	for range maxResponsesRead {
		resp, err := c.readHead(httpReq)
		if err != nil {
			return nil, &sendError{sent: true, err: fmt.Errorf("read response: %w", err)}
		}
		if resp.StatusCode < http.StatusOK {
			continue // informational
		}
		rp.ResponseInfo = platform.ParseResponse(resp.StatusCode, resp.Header)
		rp.resp = resp
		// On a connection that was used before, a rejection without an id may be an earlier
		// one that the upstream has written once more.
		if rp.ID == req.id || rp.ID == "" && rp.NotExecuted && !c.reused {
			return rp, nil
		}
		c.stray = true
		if rp.ID != "" {
			c.limit.left = maxResponseBytes
			_, err = io.Copy(io.Discard, resp.Body)
			c.limit.left = math.MaxInt64
		}
		if err != nil || rp.ID == "" {
			return nil, &sendError{sent: true, err: errors.Join(errors.New("response does not match any request on the connection"), err)}
		}
	}
	return nil, &sendError{sent: true, err: errors.New("too many responses to other requests on the connection")}
}

// write sends req. A body over maxInlineBody is written in the background while the
// response is awaited. The result of writing the body is sent to writeErr.
func (c *upstreamConn) write(req *upstreamRequest, writeErr chan<- error) error {
	c.setLarge(len(req.body) > maxInlineBody)
	if err := req.writeHead(c.w); err != nil {
		return err
	}
	if len(req.body) <= maxInlineBody {
		_, _ = c.w.Write(req.body)
		writeErr <- nil
		return c.w.Flush()
	}
	go func() {
		_, err := c.w.Write(req.body)
		if err == nil {
			err = c.w.Flush()
		}
		writeErr <- err
	}()
	return nil
}

// prepareReuse prepares the connection for reuse after the whole response was read, and
// reports whether it may be reused. A connection is not reused if a further response on it could
// not be told from those to later requests, or if it has carried one already.
func (rp *response) prepareReuse(now time.Time) bool {
	c := rp.conn
	if rp.requestID == "" || c.stray || len(c.sentIDs) >= maxConnRequests {
		return false
	}
	select {
	case err := <-rp.writeErr:
		if err != nil {
			return false
		}
	default:
		return false // the upstream responded before the request was fully written
	}
	if rp.resp.Close || isUnframed(rp.resp) || c.r.Buffered() > 0 {
		return false
	}
	c.heads.release()
	c.idleSince = now
	c.expires = now.Add(idleTimeout(rp.resp.Header.Get("Keep-Alive")))
	return c.SetDeadline(time.Time{}) == nil
}

// idleTimeout returns how long a connection may stay idle, given the Keep-Alive header
// of its last response.
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
