package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPace guards against routers that together send a cold upstream more requests
// than it tolerates: in any second each may send only its share.
func TestPace(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		rate    float64
		routers int
		want    int // most requests in any second
	}{{"three routers", 18, 3, 6}, {"twelve", 18, 12, 1}, {"more routers than requests", 9.8, 40, 1}, {"one", 9.8, 1, 9}} {
		t.Run(tc.name, func(t *testing.T) {
			l := new(RateLimiter)
			var sent []time.Time
			for ms := range 5000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				allowed := l.WouldAllow(now, tc.rate, tc.routers)
				if got := l.Allow(now, tc.rate, tc.routers); got != allowed {
					t.Fatalf("Allow returned %v, WouldAllow returned %v", got, allowed)
				} else if got {
					sent = append(sent, now)
				}
			}
			for i, at := range sent {
				n := 0
				for _, other := range sent[i:] {
					if other.Sub(at) < time.Second {
						n++
					}
				}
				assert.Assert(t, n <= tc.want, "%d requests in a second", n)
			}
			assert.Assert(t, len(sent) >= 4*tc.want)
		})
	}
	t.Run("requests before the upstream turned cold count", func(t *testing.T) {
		l := new(RateLimiter)
		for range 6 {
			l.Record(start)
		}
		assert.Assert(t, !l.Allow(start.Add(time.Millisecond), 18, 3))
	})
}
