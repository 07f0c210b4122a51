package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// after returns the time that is ms milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestNamedHeard guards against a limit that is forgotten because of an answer that was
// overtaken, or that is kept after the upstream has stopped naming it.
func TestNamedHeard(t *testing.T) {
	p, restarted := Process{"u", 1}, Process{"u", 2}
	low, high := 1.4, 20.0
	n := new(Named)
	assertRate := func(p Process, want float64) {
		t.Helper()
		rate, ok := n.Rate(p)
		assert.Equal(t, rate, want)
		assert.Equal(t, ok, want > 0)
	}
	assert.Assert(t, !n.Heard(after(0), after(-5), p, nil))
	assert.Assert(t, n.Heard(after(100), after(50), p, &low))
	assert.Assert(t, !n.Heard(after(110), after(60), p, &low), "no change")
	assertRate(p, low)
	assert.Assert(t, !n.Heard(after(120), after(90), p, nil), "the request was sent before the limit was heard")
	assertRate(p, low)
	assert.Assert(t, n.Heard(after(130), after(115), p, &high))
	assertRate(p, high)
	assertRate(restarted, 0)
	assert.Assert(t, n.Heard(after(200), after(140), p, nil))
	assertRate(p, 0)
	n.Heard(after(300), after(250), p, &low)
	n.Retain(func(q Process) bool { return q == restarted })
	assertRate(p, 0)
}
