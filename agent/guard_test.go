package agent

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestGuardStopsSend guards against a call that leaves after a pause which fell
// between its admission and the write to the upstream.
func TestGuardStopsSend(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near)
	defer c.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	ctx := withSendCheck(context.Background(), func() error { return &UpstreamError{Err: errStaleConfig} })
	err := c.do(ctx, req, resp) // a write to the pipe would block, since nobody reads it
	var ue *UpstreamError
	assert.Assert(t, errors.As(err, &ue))
	assert.Assert(t, !ue.Sent)
	assert.Assert(t, errors.Is(err, errStaleConfig))
}
