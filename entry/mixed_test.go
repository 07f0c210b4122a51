package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// rawHead is the head of an answer to a request, without the empty line that ends it.
func rawHead(q *http.Request, status string) string {
	return "HTTP/1.1 " + status + "\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\nRequest-Id: " + q.Header.Get("Request-Id") + "\r\n"
}

// resetAfter lets what was written arrive, and resets the connection.
func resetAfter(c net.Conn) {
	time.Sleep(5 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// poll waits until one of the events of poll(2) has arrived on a TCP connection.
func poll(c net.Conn, events int16) {
	if raw, err := c.(syscall.Conn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, -1) })
	}
}

// TestCutAnswer guards against a part of an answer that looks complete to its caller, because only
// the end of the connection ends the answer, or because the end of the answer was lost. A request
// that may not be repeated runs once.
func TestCutAnswer(t *testing.T) {
	const part = "id: 1\ndata: part\n\n"
	upload := strings.Repeat("u", 900<<10)
	read := func(q *http.Request) { _, _ = io.Copy(io.Discard, q.Body) }
	for _, tc := range []struct {
		name   string
		answer func(c net.Conn, q *http.Request)
		whole  bool
	}{
		{name: "no length, reset while the upload is written", answer: func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, rawHead(q, "200 OK")+"\r\n"+part)
			resetAfter(c)
		}},
		{name: "no length, reset after the upload", answer: func(c net.Conn, q *http.Request) {
			read(q)
			_, _ = io.WriteString(c, rawHead(q, "200 OK")+"\r\n"+part)
			resetAfter(c)
		}},
		{name: "no length, closed while the upload is written", answer: func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, rawHead(q, "200 OK")+"\r\n"+part)
			poll(c, unix.POLLIN) // the kernel resets a connection that is closed with unread bytes
		}},
		{name: "no length, sending side closed while the upload is written", whole: true, answer: func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, rawHead(q, "200 OK")+"\r\n"+part)
			_ = c.(*net.TCPConn).CloseWrite()
			read(q)
		}},
		{name: "no length, closed after the upload", whole: true, answer: func(c net.Conn, q *http.Request) {
			read(q)
			_, _ = io.WriteString(c, rawHead(q, "200 OK")+"\r\n"+part)
		}},
		{name: "HTTP/1.0, reset while the upload is written", answer: func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, strings.Replace(rawHead(q, "200 OK"), "HTTP/1.1", "HTTP/1.0", 1)+"\r\n"+part)
			resetAfter(c)
		}},
		{name: "length, reset while the upload is written", answer: func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, rawHead(q, "200 OK")+"Content-Length: 100\r\n\r\n"+part)
			resetAfter(c)
		}},
		{name: "length, closed after the upload", answer: func(c net.Conn, q *http.Request) {
			read(q)
			_, _ = io.WriteString(c, rawHead(q, "200 OK")+"Content-Length: 100\r\n\r\n"+part)
		}},
		{name: "chunks, reset while the upload is written", answer: func(c net.Conn, q *http.Request) {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", rawHead(q, "200 OK"), len(part), part)
			resetAfter(c)
		}},
		{name: "chunks, closed after the upload", answer: func(c net.Conn, q *http.Request) {
			read(q)
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", rawHead(q, "200 OK"), len(part), part)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, host := range []string{deskHost, streamHost} {
				t.Run(host, func(t *testing.T) { assertCutAnswer(t, host, post(host, "/once/x", upload), tc.answer, tc.whole, part) })
			}
		})
	}
}

// assertCutAnswer sends a request several times, since the router reads and writes at the same time,
// and asserts that the answer is the whole part, or nothing that looks complete.
func assertCutAnswer(t *testing.T, host string, c call, answer func(c net.Conn, q *http.Request), whole bool, part string) {
	t.Helper()
	const times = 8
	r := newRig(t)
	runs := make(chan string, 2*times)
	service := "desk"
	if host == streamHost {
		service = "engine"
	}
	r.addRawReplica("i-1", service, func(nc net.Conn, q *http.Request) {
		runs <- q.Header.Get("Request-Id")
		answer(nc, q)
	})
	n := r.startRouter(1)
	for i := range times {
		c.id = fmt.Sprint("q", i)
		resp, body, err := n.do(t, c)
		switch {
		case whole:
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, body, part)
		case err == nil:
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%q looks complete", body)
		}
		assert.Equal(t, <-runs, c.id)
		assert.Equal(t, len(runs), 0, "a request that may not be repeated was sent twice")
	}
}

// TestHeadWithoutLength guards against 502 for a HEAD request, whose answer has no body and need not
// state a length.
func TestHeadWithoutLength(t *testing.T) {
	r := newRig(t)
	r.addRawReplica("i-1", "desk", func(c net.Conn, q *http.Request) { _, _ = io.WriteString(c, rawHead(q, "200 OK")+"\r\n") })
	n := r.startRouter(1)
	c := get(deskHost, "/safe/x")
	c.method = http.MethodHead
	n.assertStatus(t, c, http.StatusOK, "")
}

// TestResetSeenByWrite guards against a reset that passes for the end of an answer without a length:
// the kernel reports the error of a connection once, to the write of the upload if that comes first.
func TestResetSeenByWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	nc, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer nc.Close()
	c := newUpstreamConn(nc, nil)
	far := <-accepted
	_, err = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\npart")
	assert.NilError(t, err)
	resp, err := c.readHead(&http.Request{Method: http.MethodPost})
	assert.NilError(t, err)
	_ = far.(*net.TCPConn).SetLinger(0)
	_ = far.Close()
	poll(nc, 0) // until the reset has arrived
	_, err = nc.Write([]byte("upload"))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	body, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "%q looks complete", body)
}

// TestImpossibleStatus guards against an answer whose status HTTP doesn't have, which says nothing of
// the request: it may have run.
func TestImpossibleStatus(t *testing.T) {
	for _, status := range []string{"000 X", "001 X", "099 X", "99 X", "600 X", "999 X", "0200 OK", "-200 OK", "+20 OK", "101 Switching Protocols", "200OK"} {
		for _, host := range []string{deskHost, streamHost} {
			t.Run(status+" "+host, func(t *testing.T) {
				answer := func(c net.Conn, q *http.Request) {
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(c, rawHead(q, status)+"Content-Length: 2\r\n\r\nok")
				}
				assertCutAnswer(t, host, post(host, "/once/x", "x"), answer, false, "")
			})
		}
	}
	t.Run("answer in the body", func(t *testing.T) {
		answer := func(c net.Conn, q *http.Request) {
			inner := rawHead(q, "200 OK") + "Content-Length: 2\r\n\r\nok"
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", rawHead(q, "000 X"), len(inner), inner)
		}
		assertCutAnswer(t, deskHost, post(deskHost, "/once/x", "x"), answer, false, "")
	})
	t.Run("informational ones without end", func(t *testing.T) {
		answer := func(c net.Conn, q *http.Request) {
			for range 100 {
				if _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
					return
				}
			}
		}
		assertCutAnswer(t, deskHost, post(deskHost, "/once/x", "x"), answer, false, "")
	})
	t.Run("repeated elsewhere", func(t *testing.T) {
		r := newRig(t)
		r.addRawReplica("i-1", "desk", func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, rawHead(q, "600 X")+"Content-Length: 2\r\n\r\nok")
		})
		r.addReplica("i-2", "desk")
		n := r.startRouter(2)
		for i := range 4 {
			c := get(deskHost, fmt.Sprint("/safe/", i))
			n.assertStatus(t, c, http.StatusOK, site.Body(c.target))
		}
	})
}
