package route

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPickLeast guards against a slow, loaded or remote upstream that is preferred, and against
// many routers that all choose the upstream which tells a little less than another one.
func TestPickLeast(t *testing.T) {
	for _, tc := range []struct {
		name       string
		ps         []Plain
		confidence float64
		wants      int // -1 if both are chosen
	}{
		{"less load", []Plain{{Load: 3, Slots: 8}, {Load: 2, Slots: 8}}, 0, 1},
		{"less load for its slots", []Plain{{Load: 3, Slots: 8}, {Load: 2, Slots: 4}}, 0, 0},
		{"equal", []Plain{{Load: 2, Slots: 8}, {Load: 2, Slots: 8}}, 0, -1},
		{"remote", []Plain{{Slots: 8, Remote: true}, {Load: 2, Slots: 8}}, 0, 1},
		{"failing", []Plain{{Slots: 8, Penalty: 4}, {Load: 2, Slots: 8}}, 1, 1},
		{"slow", []Plain{{Slots: 8, Factor: 2.5}, {Load: 3, Slots: 8, Factor: 1}}, 1, 1},
		{"slow but idle", []Plain{{Slots: 8, Factor: 1.2}, {Load: 6, Slots: 8, Factor: 1}}, 1, 0},
		{"within a request", []Plain{{Load: 2.9, Slots: 8, Factor: 1}, {Load: 2, Slots: 8, Factor: 1}}, 1, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := map[int]int{}
			for n := range 1000 {
				i, _ := PickLeast(tc.ps, tc.confidence, (float64(n)+0.5)/1000)
				got[i]++
			}
			if tc.wants >= 0 {
				assert.Equal(t, got[tc.wants], 1000)
				return
			}
			assert.Assert(t, got[0] > 300 && got[1] > 300, "%v", got)
		})
	}
	i, _ := PickLeast(nil, 0, 0.5)
	assert.Equal(t, i, -1)
}
