package soak

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortOfProxy guards against another program that gets the port of a crashed replica's proxy
// and answers requests for the replica.
func TestPortOfProxy(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer target.Close()
	p, err := NewProxy(target.Addr().String())
	assert.NilError(t, err)
	defer p.Close()
	local, err := net.ResolveTCPAddr("tcp", p.Addr())
	assert.NilError(t, err)
	p.SetDown(true)
	_, err = (&net.Dialer{LocalAddr: local}).Dial("tcp", target.Addr().String())
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	_, err = net.Dial("tcp", p.Addr())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	p.SetDown(false)
	c, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
}
