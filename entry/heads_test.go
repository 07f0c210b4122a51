package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/limit"
)

// shortFields returns n header fields that differ.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// TestEndlessStageHead guards against a router that runs out of memory because an upstream answers
// a stage call, or a call that frees results, with a head without end.
func TestEndlessStageHead(t *testing.T) {
	for _, path := range []string{"/stage-run", "/stage-free"} {
		for name, line := range map[string]string{"fields": shortFields(1000), "one field": strings.Repeat("x", 8000)} {
			t.Run(path+" "+name, func(t *testing.T) {
				r := newRig(t)
				read := make(chan int, 10)
				r.addRawReplica("a-1", "archive", func(c net.Conn, q *http.Request) {
					if q.URL.Path != path {
						body := `{"items":[{"handle":"` + c.LocalAddr().String() + `/1"}]}`
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
						return
					}
					_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
					n, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nOther: ")
					for k := 0; err == nil && n < 64<<20; n += k {
						k, err = io.WriteString(c, line)
					}
					read <- n
				})
				n := r.startRouter(1)
				m := n.queues.makePieces(context.Background(), Order{Request: "q", Service: "archive", Pieces: 1, Key: "k", Centre: "a", Aim: waitTimeout, Left: waitTimeout})
				if path == "/stage-free" {
					assert.Equal(t, m.Reason, "")
					n.queues.free(Freed{Service: "archive", Handles: m.Handles})
				}
				bytes := <-read
				assert.Assert(t, bytes <= 2<<20, "%d bytes were read", bytes)
				r.waitFor("the memory is given back", func() bool { return n.heldAnswers.Used() == 0 })
			})
		}
	}
}

// pipeClient returns a client whose connections lead to serve, one goroutine each.
func pipeClient(heads *limit.Bytes, serve func(c net.Conn, br *bufio.Reader)) *http.Client {
	return newUpstreamClient(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			serve(far, bufio.NewReader(far))
		}()
		return near, nil
	}}, heads)
}

// TestHeadsTogether guards against many heads, each within its limit, that take more memory than
// all may take together, and against memory that is not given back.
func TestHeadsTogether(t *testing.T) {
	const fields, heads = 500, 8
	bound := limit.NewBytes(heads * fields * headLineBytes)
	end := make(chan struct{})
	c := pipeClient(bound, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+shortFields(fields))
			<-end
		}
	})
	errs := make(chan error, 2*heads)
	for range 2 * heads {
		go func() {
			_, err := c.Get("http://upstream/")
			errs <- err
		}()
	}
	for range heads - 1 { // the others have taken their memory or wait for the end of their head
		assert.ErrorIs(t, <-errs, errNoMemory)
	}
	assert.Assert(t, bound.Used() > 0)
	close(end)
	for range heads + 1 {
		assert.Assert(t, <-errs != nil)
	}
	assert.Equal(t, bound.Used(), int64(0))
}

// TestHeadsOneByOne guards against an answer on a kept connection that is refused for the size of
// those before it, and against a head whose size is counted with its body.
func TestHeadsOneByOne(t *testing.T) {
	bound := limit.NewBytes(1 << 20)
	dials := 0
	c := pipeClient(bound, func(c net.Conn, br *bufio.Reader) {
		dials++
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			body := strings.Repeat("\n", 100<<10)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early Hints\r\n%s\r\nHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", shortFields(200), shortFields(200), len(body), body)
		}
	})
	for range 4 {
		resp, err := c.Get("http://upstream/")
		assert.NilError(t, err)
		assert.Assert(t, bound.Used() > 0)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(body), 100<<10)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, bound.Used(), int64(0))
	}
	assert.Equal(t, dials, 1)
}

// TestHeadLimits guards against a head over the limits that is accepted, and against one within
// them that is refused.
func TestHeadLimits(t *testing.T) {
	const status, length = "HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name, head string
		err        error
	}{
		{"small", status + length, nil},
		{"most fields", status + shortFields(maxHeadLines-3) + length, nil},
		{"too many fields", status + shortFields(maxHeadLines-2) + length, errHeadTooLarge},
		{"most bytes", status + "A: " + strings.Repeat("x", maxResponseHeadBytes-len(status)-len("A: \r\n")-len(length)) + "\r\n" + length, nil},
		{"too many bytes", status + "A: " + strings.Repeat("x", maxResponseHeadBytes-len(status)-len("A: \r\n")-len(length)+1) + "\r\n" + length, errHeadTooLarge},
		{"too many informational heads", strings.Repeat("HTTP/1.1 100 Continue\r\n"+shortFields(maxHeadLines/4)+"\r\n", 4) + status + length, errHeadTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := pipeClient(limit.NewBytes(1<<20), func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					_, _ = io.WriteString(c, tc.head)
				}
			})
			resp, err := c.Get("http://upstream/")
			assert.Assert(t, errors.Is(err, tc.err), "%v", err)
			if tc.err == nil {
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
			}
		})
	}
}

// TestHeadMemoryOfAnswer guards against the memory of an answer's head that is not given back when
// the answer ends, on a connection that is kept or not, and against one given back before.
func TestHeadMemoryOfAnswer(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("connection kept %t", kept), func(t *testing.T) {
			r := newRig(t)
			begun, end := make(chan struct{}), make(chan struct{})
			r.addRawReplica("i-1", "desk", func(c net.Conn, q *http.Request) {
				connection := ""
				if !kept {
					connection = "Connection: close\r\n"
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\n%s%sContent-Length: 2\r\n\r\na", q.Header.Get("Request-Id"), connection, shortFields(400))
				close(begun)
				<-end
				_, _ = io.WriteString(c, "b")
				_, _ = io.Copy(io.Discard, c)
			})
			n := r.startRouter(1)
			answered := make(chan *http.Response, 1)
			go func() {
				resp, _, _ := n.do(t, post(deskHost, "/once/1", "x"))
				answered <- resp
			}()
			<-begun
			r.waitFor("the head is counted", func() bool { return n.heldAnswers.Used() >= 400*headLineBytes-freeHeldBytes })
			close(end)
			resp := <-answered
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			r.waitFor("the memory is given back", func() bool { return n.heldAnswers.Used() == 0 })
		})
	}
}

// TestRedirectedCall guards against a stage call, or a call that frees results, that follows a
// redirect to an address which is no upstream.
func TestRedirectedCall(t *testing.T) {
	for _, path := range []string{"/stage-run", "/stage-free"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t)
			elsewhere := make(chan string, 10)
			other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { elsewhere <- q.URL.Path }))
			t.Cleanup(other.Close)
			redirected := make(chan struct{}, 10)
			r.addRawReplica("a-1", "archive", func(c net.Conn, q *http.Request) {
				if q.URL.Path != path {
					body := `{"items":[{"handle":"` + c.LocalAddr().String() + `/1"}]}`
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 307 Temporary Redirect\r\nLocation: %s%s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", other.URL, path)
				redirected <- struct{}{}
			})
			n := r.startRouter(1)
			m := n.queues.makePieces(context.Background(), Order{Request: "q", Service: "archive", Pieces: 1, Key: "k", Centre: "a", Aim: waitTimeout, Left: waitTimeout})
			if path == "/stage-free" {
				assert.Equal(t, m.Reason, "")
				n.queues.free(Freed{Service: "archive", Handles: m.Handles})
			} else {
				assert.Assert(t, m.Reason != "", "a redirect counts as made")
			}
			<-redirected
			n.background.Wait()
			assert.Equal(t, len(elsewhere), 0, "the call has followed the redirect")
		})
	}
}

// TestRequestHeads guards against heads of callers that use up the memory of a router, against an
// untrue refusal of one, and against memory that is not given back.
func TestRequestHeads(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	n := r.startRouter(1)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", string(n.cfg.Callers))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c, bufio.NewReader(c)
	}
	send := func(c net.Conn, br *bufio.Reader, i, fields int) *http.Response {
		_, err := fmt.Fprintf(c, "GET /safe/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: q%d\r\nAuthorization: Bearer key-1\r\n%s\r\n", i, deskHost, i, shortFields(fields))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		return resp
	}
	c, br := dial()
	for i := range 3 {
		assert.Equal(t, send(c, br, i, 400).StatusCode, http.StatusOK)
		r.waitFor("the memory is given back", func() bool { return n.heldBodies.Used() == 0 })
	}
	memory := int64(n.cfg.Memory) << 20 / bodyShare
	assert.Assert(t, n.heldBodies.Take(memory))
	assert.Equal(t, send(c, br, 3, 10).StatusCode, http.StatusOK)
	resp := send(c, br, 4, 400)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close && resp.Header.Get("Retry-After") != "")
	r.assertRuns("q4", 0)
	n.heldBodies.Give(memory)
	c, br = dial()
	assert.Equal(t, send(c, br, 5, maxHeadLines).StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	r.assertRuns("q5", 0)
	c, _ = dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\n"+shortFields(500))
	assert.NilError(t, err)
	r.waitFor("the head is counted", func() bool { return n.heldBodies.Used() > 0 })
	assert.NilError(t, c.Close())
	r.waitFor("the memory is given back", func() bool { return n.heldBodies.Used() == 0 })
}
