package site

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCrashRefusesConnections guards against a crash that resets connections before new ones are
// refused: its callers then take the replica for one that has started again.
func TestCrashRefusesConnections(t *testing.T) {
	for range 20 {
		p := newReplica(t, Crash, 0, 0)
		p.Downtime = time.Hour
		_, err := call(t.Context(), p, "/safe/1", "b")
		assert.Assert(t, err != nil)
		c, err := net.Dial("tcp", p.Addr())
		if err == nil {
			_ = c.Close()
		}
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
}
