package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// TestNotices guards against requests to an upstream that has said that it leaves or wants
// none, and against notices that outlive the process that gave them.
func TestNotices(t *testing.T) {
	now := time.Unix(1000, 0)
	run := func(born int64) fleet.Upstream { return fleet.Upstream{ID: "u", Born: born} }
	soon := now.UnixMilli() + 1 // a start after the notices
	assertNotice := func(t *testing.T, n *Notices, at time.Time, u fleet.Upstream, leaving bool, wait time.Duration) {
		t.Helper()
		assert.Equal(t, n.Leaving(at, u), leaving)
		assert.Equal(t, n.Wait(at, u), wait)
	}
	t.Run("leaving", func(t *testing.T) {
		var n Notices
		assertNotice(t, &n, now, run(5), false, 0)
		left, paused := n.Heard(now, run(5), true, 0)
		assert.Assert(t, left && !paused)
		left, _ = n.Heard(now, run(5), true, 0)
		assert.Assert(t, !left, "it was known")
		n.Heard(now, run(5), false, 0) // an answer that was on its way
		assertNotice(t, &n, now, run(5), true, 0)
		assertNotice(t, &n, now, run(soon), false, 0)
	})
	t.Run("pause", func(t *testing.T) {
		var n Notices
		_, paused := n.Heard(now, run(5), false, 2*time.Second)
		assert.Assert(t, paused)
		n.Heard(now, run(5), false, time.Second) // a shorter one doesn't end it sooner
		assertNotice(t, &n, now.Add(time.Second), run(5), false, time.Second)
		assertNotice(t, &n, now.Add(2*time.Second), run(5), false, 0)
		assertNotice(t, &n, now, run(soon), false, 0)
		n.Heard(now, run(5), false, 1000*time.Hour)
		assertNotice(t, &n, now, run(5), false, maxPause)
	})
	t.Run("answer of a former process", func(t *testing.T) {
		var n Notices
		n.Heard(now, run(6), false, time.Second)
		n.Heard(now, run(5), true, time.Minute)
		assertNotice(t, &n, now, run(6), false, time.Second)
	})
	t.Run("told before the store tells of the start", func(t *testing.T) {
		var n Notices
		n.Heard(now, run(5), true, time.Minute)
		earlier, later := run(now.Add(-time.Second).UnixMilli()), run(now.Add(time.Second).UnixMilli())
		assertNotice(t, &n, now.Add(2*time.Second), earlier, true, 58*time.Second)
		assertNotice(t, &n, now.Add(2*time.Second), later, false, 0)
		assertNotice(t, &n, now.Add(bornLag), earlier, false, 0)
	})
	t.Run("forgotten late", func(t *testing.T) {
		var n Notices
		n.Heard(now, run(5), true, 0)
		none := func(wire.UpstreamID) bool { return false }
		n.Retain(now.Add(leavingMemory), none)
		assertNotice(t, &n, now, run(5), true, 0)
		n.Retain(now.Add(leavingMemory+1), none)
		assertNotice(t, &n, now, run(5), false, 0)
	})
	t.Run("bound", func(t *testing.T) {
		var n Notices
		for i := range maxNotices + 5 {
			n.Heard(now, fleet.Upstream{ID: wire.UpstreamID(fmt.Sprint(i))}, true, 0)
		}
		assert.Equal(t, len(n.byUpstream), maxNotices)
	})
}
