package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestTruncatedHead guards against a success with an empty or short body when an upstream
// stops within the head of its answer.
func TestTruncatedHead(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"
	for _, stream := range []bool{false, true} {
		for cut := range len(answer) {
			near, far := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, answer[:cut])
				_ = far.Close()
			}()
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://h/")
			resp.StreamBody = stream
			err := newConn(near).do(t.Context(), req, resp)
			assert.Assert(t, err != nil, "cut after %q", answer[:cut])
			_ = near.Close()
		}
	}
}
