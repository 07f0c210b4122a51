package agent

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// runAgainst makes a call with a long input to an upstream that answers once by answer, and returns
// the output.
func runAgainst(t *testing.T, kind wire.Kind, answer func(c net.Conn, r *http.Request)) (string, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10) // a long input doesn't fit
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			answer(c, r)
		}
	}()
	h, err := NewHTTP(kind, "http://"+ln.Addr().String())
	assert.NilError(t, err)
	input, err := json.Marshal(stageInput{Body: json.RawMessage(`{"prompt":"` + strings.Repeat("u", 900<<10) + `"}`)})
	assert.NilError(t, err)
	text := ""
	ans, err := h.Run(t.Context(), &wire.Call{Kind: kind, Input: input}, func(b []byte) error {
		text += string(b)
		return nil
	})
	return text + string(ans.Output), err
}

// TestCutAnswer guards against a part of an answer that passes for the whole, because its end was
// lost or the connection was reset. The part is valid JSON by itself.
func TestCutAnswer(t *testing.T) {
	const part = "12"
	reset := func(c net.Conn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	read := func(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	for name, answer := range map[string]func(c net.Conn, r *http.Request){
		"no length, reset while the input is written": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+part)
			reset(c)
		},
		"no length, reset after the input": func(c net.Conn, r *http.Request) {
			read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+part)
			reset(c)
		},
		"HTTP/1.0, reset after the input": func(c net.Conn, r *http.Request) {
			read(r)
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n"+part)
			reset(c)
		},
		"length, closed": func(c net.Conn, r *http.Request) {
			read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"+part)
		},
		"chunks, closed": func(c net.Conn, r *http.Request) {
			read(r)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part)
		},
		"chunks, reset": func(c net.Conn, r *http.Request) {
			read(r)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part)
			reset(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 8 {
				out, err := runAgainst(t, wire.KindPlain, answer)
				assert.Assert(t, err != nil, "%q passes for the whole answer", out)
				assert.Assert(t, sentWithoutStatus(err), "the call may have run: %v", err)
			}
		})
	}
}

// TestImpossibleStatus guards against an answer whose status HTTP doesn't have: fasthttp takes 0 and
// 0200 for 200.
func TestImpossibleStatus(t *testing.T) {
	const events = "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"
	for _, status := range []string{"000 X", "0 X", "0200 OK", "00200 OK", "-200 OK", "+200 OK", "99 X", "099 X", "600 X", "999 X", "101 X", "200OK", "20 OK"} {
		for kind, body := range map[wire.Kind]string{wire.KindPlain: "{}", wire.KindGenerate: events} {
			t.Run(fmt.Sprint(status, ", ", kind), func(t *testing.T) {
				out, err := runAgainst(t, kind, func(c net.Conn, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				})
				assert.Assert(t, err != nil, "%q passes for an answer", out)
				assert.Assert(t, sentWithoutStatus(err), "the call may have run: %v", err)
			})
		}
	}
	informational := func(n int) func(c net.Conn, r *http.Request) {
		return func(c net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			for range n {
				if _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\nOther: x\r\n\r\n"); err != nil {
					return
				}
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}
	t.Run("informational ones", func(t *testing.T) {
		out, err := runAgainst(t, wire.KindPlain, informational(2))
		assert.NilError(t, err)
		assert.Equal(t, out, "{}")
		_, err = runAgainst(t, wire.KindPlain, informational(10_000))
		assert.Assert(t, err != nil)
	})
}
