package site

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPortOfCrashedReplica guards against another program that gets the port of a replica while
// that is down or removed, and answers requests for it.
func TestPortOfCrashedReplica(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer other.Close()
	taken := func(p *Replica) error {
		local, err := net.ResolveTCPAddr("tcp", p.Addr())
		assert.NilError(t, err)
		c, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", other.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err
	}

	down := newReplica(t, Crash, 0, 0)
	down.Downtime = time.Hour
	_, err = call(t.Context(), down, "/safe/1", "b")
	assert.Assert(t, err != nil)
	assert.ErrorIs(t, taken(down), syscall.EADDRINUSE)
	_, err = call(t.Context(), down, "/safe/1", "b")
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)

	back := newReplica(t, Serve, 0, 0)
	back.Downtime = time.Millisecond
	back.Act = func(r *http.Request) Action { return map[string]Action{"/crash": Crash}[r.URL.Path] }
	_, err = call(t.Context(), back, "/crash", "b")
	assert.Assert(t, err != nil)
	waitFor(t, "the replica is down", time.Millisecond, func() bool {
		answer, err := call(t.Context(), back, "/safe/1", "b")
		return err == nil && answer == Body("/safe/1")
	})

	removed := newReplica(t, Serve, 0, 0)
	removed.Site.Remove(removed)
	assert.ErrorIs(t, taken(removed), syscall.EADDRINUSE)
}
