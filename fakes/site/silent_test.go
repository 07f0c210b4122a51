package site

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestListenUnreachable guards against an address that refuses connections, or establishes them.
func TestListenUnreachable(t *testing.T) {
	addr, stop, err := ListenUnreachable()
	assert.NilError(t, err)
	defer stop()
	c, err := net.DialTimeout("tcp", addr, fillTimeout)
	if err == nil {
		_ = c.Close()
	}
	ne, ok := err.(net.Error)
	assert.Assert(t, ok && ne.Timeout(), "%v", err)
}

// TestListenSilent guards against a listener that closes connections in place of staying silent.
func TestListenSilent(t *testing.T) {
	addr, stop, err := ListenSilent()
	assert.NilError(t, err)
	defer stop()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("question"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(fillTimeout)))
	_, err = c.Read(make([]byte, 1))
	ne, ok := err.(net.Error)
	assert.Assert(t, ok && ne.Timeout(), "%v", err)
}
