package agent

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestCheckSendStopsCall guards against a call that is sent although the process was
// paused between its admission and the write to the upstream.
func TestCheckSendStopsCall(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	c := newConn(client)
	defer c.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	ctx := withSendCheck(context.Background(), func() error { return &UpstreamError{Err: errStaleConfig} })
	err := c.do(ctx, req, resp) // nobody reads from the pipe, so a write would block
	var ue *UpstreamError
	assert.Assert(t, errors.As(err, &ue))
	assert.Assert(t, !ue.Sent)
	assert.Assert(t, errors.Is(err, errStaleConfig))
}
