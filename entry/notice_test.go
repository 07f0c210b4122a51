package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// quietTime is the time without a request after which an upstream counts as left alone. The
// upstreams of newTrafficRig get many requests a second each.
const quietTime = time.Second

// countBetween returns the number of times after one and before another.
func countBetween(times []time.Time, from, till time.Time) (n int) {
	for _, at := range times {
		if at.After(from) && at.Before(till) {
			n++
		}
	}
	return n
}

// TestLeavingUpstream guards against requests to an upstream whose answers say that it leaves
// while the store does not, on every way to it, and against one that stays unused after it
// has started again.
func TestLeavingUpstream(t *testing.T) {
	r, _, leaving := newTrafficRig(t)
	for _, p := range leaving {
		p.SetLeaving(true)
	}
	for service, p := range leaving {
		r.waitFor(service+" gets no request any more", func() bool {
			now := time.Now()
			return len(p.Arrivals()) > 0 && countBetween(p.Arrivals(), now.Add(-quietTime), now) == 0
		})
	}
	others := len(r.site.Runs())
	r.waitFor("the other upstreams get requests", func() bool { return len(r.site.Runs()) > others+20 })
	for _, p := range leaving {
		p.StartAgain()
	}
	for service, p := range leaving {
		before := len(p.Arrivals())
		r.waitFor(service+" gets requests after it has started again", func() bool { return len(p.Arrivals()) > before })
	}
}

// TestPausedUpstream guards against requests to an upstream that has turned one away and
// wants none for some time, on every way to it.
func TestPausedUpstream(t *testing.T) {
	const (
		pause    = 2500 * time.Millisecond
		inFlight = 500 * time.Millisecond // requests may still arrive within it
		allowed  = 2
		routers  = 3
	)
	r, _, paused := newTrafficRig(t)
	for _, p := range paused {
		p.TurnAway("2.5")
	}
	for service, p := range paused {
		r.waitFor(service+" turns requests away twice", func() bool {
			away := p.TurnedAway()
			return len(away) > 0 && time.Since(away[0]) > 2*pause
		})
		away := p.TurnedAway()
		got := countBetween(p.Arrivals(), away[0].Add(inFlight+pause/4), away[0].Add(pause))
		assert.Check(t, got <= allowed*routers, "%s got %d requests in its pause, %d are allowed", service, got, allowed*routers)
		p.TurnAway("")
	}
	for service, p := range paused {
		before := len(p.Arrivals())
		r.waitFor(service+" gets requests after its pause", func() bool { return len(p.Arrivals()) > before+5 })
	}
}

// TestAllPaused guards against requests that wait for upstreams which take none, and against
// callers that are told to wait for as long as the upstreams asked of this router alone.
func TestAllPaused(t *testing.T) {
	r := newRig(t)
	var ps []*site.Replica
	for _, id := range []string{"i-1", "i-2"} {
		p := r.addReplica(id, "desk")
		p.TurnAway("30")
		ps = append(ps, p)
	}
	n := r.startRouter(2)
	for range 2 {
		n.assertStatus(t, get(deskHost, "/safe/1"), http.StatusServiceUnavailable, "")
	}
	arrivals := len(ps[0].Arrivals()) + len(ps[1].Arrivals())
	began := time.Now()
	resp := n.assertStatus(t, get(deskHost, "/safe/2"), http.StatusServiceUnavailable, "")
	assert.Assert(t, time.Since(began) < 4*time.Second, "the deadline is in 8 s")
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, len(ps[0].Arrivals())+len(ps[1].Arrivals()), arrivals)
}
