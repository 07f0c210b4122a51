package limit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

var start = time.Unix(1000, 0)

// after returns the time that is ms milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestNamedHeard guards against a limit that is forgotten because of an answer that was
// overtaken, or that is kept after the upstream has stopped naming it.
func TestNamedHeard(t *testing.T) {
	p, other := wire.UpstreamID("u"), wire.UpstreamID("v")
	low, high := 1.4, 20.0
	n := new(Named)
	assertRate := func(p wire.UpstreamID, want float64) {
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
	assertRate(other, 0)
	assert.Assert(t, n.Heard(after(200), after(140), p, nil))
	assertRate(p, 0)
	n.Heard(after(300), after(250), p, &low)
	n.Retain(after(400), func(q wire.UpstreamID) bool { return q == other })
	assertRate(p, 0)
}

// allowed is the users' bound on the requests in four seconds under a limit.
func allowed(rate float64) int { return int(1.5*rate*4 + 5) }

// fleetOf simulates routers that send as many requests to an upstream as they may. It
// returns the times of the requests in milliseconds. Each router hears of the limit with its
// own first request; sending tells whether it has requests at a time.
func fleetOf(routers, until int, rate func(ms int) *float64, sending func(router, ms int) bool) (sent []int) {
	ns := make([]*Named, routers)
	for i := range ns {
		ns[i] = new(Named)
	}
	p := wire.UpstreamID("u")
	for ms := 0; ms < until; ms += 20 {
		for i, n := range ns {
			s := Share{Rank: (i + 3) % routers, Routers: routers}
			for k := 0; k < 3 && sending(i, ms) && n.Take(after(ms), p, s); k++ {
				sent = append(sent, ms)
				n.Heard(after(ms+1), after(ms), p, rate(ms))
			}
			if ms%120 == 0 {
				ns[(i+1)%routers].Merge(after(ms+20), after(ms-480), n.Reports(after(ms)))
				n.Retain(after(ms), func(wire.UpstreamID) bool { return true })
			}
		}
	}
	return sent
}

// most returns the largest number of times within four seconds, from a time on.
func most(sent []int, from int) (n int) {
	for i, last := 0, 0; last < len(sent); last++ {
		for sent[i] < from && i < last || sent[last] >= sent[i]+4000 {
			i++
		}
		if sent[i] >= from {
			n = max(n, last-i+1)
		}
	}
	return n
}

// TestNamedShare guards against a sum over all routers that exceeds the limit, and against an
// upstream that is not used up to its limit.
func TestNamedShare(t *testing.T) {
	for _, routers := range []int{1, 3, 9, 41} {
		for _, rate := range []float64{0, 0.1, 1, 1.4, 5, 60} {
			named := func(int) *float64 { return &rate }
			t.Run(fmt.Sprintf("%d routers, %v a second", routers, rate), func(t *testing.T) {
				sent := fleetOf(routers, 20_000, named, func(int, int) bool { return true })
				got := most(sent, 3000)
				assert.Assert(t, got <= allowed(rate), "%d in four seconds, %d are allowed", got, allowed(rate))
				assert.Assert(t, float64(len(sent)) >= 0.8*rate*20, "%d in 20 s", len(sent))
				assert.Assert(t, len(sent) > 0)
			})
			t.Run(fmt.Sprintf("%d routers with pauses, %v a second", routers, rate), func(t *testing.T) {
				sent := fleetOf(routers, 40_000, named, func(router, ms int) bool { return ms < 100 || ms/7000%2 == 1 || router == 0 && ms < 20_000 })
				got := most(sent, 3000)
				assert.Assert(t, got <= allowed(rate), "%d in four seconds, %d are allowed", got, allowed(rate))
			})
		}
	}
}

// TestNamedEnd guards against a limit that lasts for the routers that may not use it, and
// against one that nobody finds to have ended because those that may use it have no requests.
func TestNamedEnd(t *testing.T) {
	for _, rate := range []float64{0, 1, 2} {
		named := func(ms int) *float64 {
			if ms < 10_000 {
				return &rate
			}
			return nil
		}
		for name, sending := range map[string]func(router, ms int) bool{
			"all routers":       func(int, int) bool { return true },
			"only one, at last": func(router, ms int) bool { return ms < 5000 || router == 0 },
		} {
			t.Run(fmt.Sprint(name, ", ", rate, " a second"), func(t *testing.T) {
				sent := fleetOf(9, 70_000, named, sending)
				assert.Assert(t, most(sent, 65_000) > 100, "%d", most(sent, 65_000))
			})
		}
	}
}

// TestNamedMerge guards against reports with bad values or of old news.
func TestNamedMerge(t *testing.T) {
	p := wire.UpstreamID("u")
	rate := 2.0
	n := new(Named)
	n.Heard(after(1000), after(900), p, &rate)
	for _, r := range []Report{
		{p, math.NaN(), false, 0},
		{p, -1, false, 0},
		{p, math.Inf(1), false, 0},
		{p, 9, false, -time.Hour},
		{p, 9, false, math.MinInt64},
		{p, 9, false, math.MaxInt64},
		{p, 9, true, 2 * time.Second},
		{"v", 0, true, 0},
	} {
		assert.Equal(t, len(n.Merge(after(2000), after(1500), []Report{r})), 0, "%v", r)
	}
	assert.Equal(t, len(n.byUpstream), 1)
	assert.Equal(t, len(n.Merge(after(2000), after(1500), []Report{{p, 9, false, 0}})), 1)
	got, _ := n.Rate(p)
	assert.Equal(t, got, 9.0)
	assert.Equal(t, len(n.Merge(after(2000), after(1500), []Report{{p, 9, true, 0}})), 0, "as old as what is known")
	assert.Equal(t, len(n.Merge(after(2100), after(1600), []Report{{p, 9, true, 0}})), 1)
	assert.Equal(t, n.Wait(after(2100), p, Whole), time.Duration(0))
}
