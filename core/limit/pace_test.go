package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPace guards against routers that together send a cold upstream more than it
// tolerates: in any second each may send its part.
func TestPace(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		rate    float64
		routers int
		want    int // in each second
	}{{"three routers", 18, 3, 6}, {"twelve", 18, 12, 1}, {"more routers than requests", 9.8, 40, 1}, {"one", 9.8, 1, 9}} {
		t.Run(tc.name, func(t *testing.T) {
			p := new(RateLimiter)
			var sent []time.Time
			for ms := range 5000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				open := p.WouldAllow(now, tc.rate, tc.routers)
				if got := p.Allow(now, tc.rate, tc.routers); got != open {
					t.Fatalf("Allow says %v, Open said %v", got, open)
				} else if got {
					sent = append(sent, now)
				}
			}
			for i, at := range sent {
				n := 0
				for _, o := range sent[i:] {
					if o.Sub(at) < time.Second {
						n++
					}
				}
				assert.Assert(t, n <= tc.want, "%d requests in a second", n)
			}
			assert.Assert(t, len(sent) >= 4*tc.want)
		})
	}
	t.Run("requests before it turned cold count", func(t *testing.T) {
		p := new(RateLimiter)
		for range 6 {
			p.Record(start)
		}
		assert.Assert(t, !p.Allow(start.Add(time.Millisecond), 18, 3))
	})
}
