package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBegin guards against streams that upstreams run although their callers will have left, and
// against refusals of those that may be in time.
func TestBegin(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name string
		b    Begin
		late bool
	}{
		{"in time", Begin{Elapsed: 6 * s, Awaited: 3 * s, Deadline: 9 * s, First: s, Rest: 4 * s}, false},
		{"caller leaves before the first event", Begin{Elapsed: 9 * s, Awaited: s, Deadline: 9 * s, First: 3 * s}, true},
		{"may begin in time", Begin{Elapsed: 9 * s, Awaited: 2 * s, Deadline: 9 * s, First: 3 * s}, false},
		{"deadline before the end", Begin{Elapsed: 9 * s, Awaited: 2 * s, Deadline: 2 * s, First: s, Rest: 4 * s}, true},
		{"unknown length", Begin{Elapsed: 9 * s, Awaited: 2 * s, Deadline: 2 * s, First: s}, false},
		{"just arrived", Begin{Awaited: 4 * s, Deadline: 4 * s, First: 20 * s, Rest: 90 * s}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, tc.b.IsLate(), tc.late) })
	}
	t.Run("rest", func(t *testing.T) {
		var st StreamTimes
		assert.Equal(t, st.Rest("r", 10), time.Duration(0))
		st.Record("r", s, 4*s, 40)
		assert.Equal(t, st.Rest("r", 10), s)
		assert.Equal(t, st.Rest("r", 0), time.Duration(0))
		assert.Equal(t, st.Rest("other", 10), time.Duration(0))
	})
}
