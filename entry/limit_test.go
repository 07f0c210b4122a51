package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes/site"
)

const (
	// contactTime is the users' bound on the time until routers keep a limit that an
	// upstream names, and limitWindow the time over which requests are counted then.
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
)

// allowedInWindow is the users' bound on the requests in limitWindow to an upstream that
// names the given limit.
func allowedInWindow(limit float64) int { return int(1.5*limit*limitWindow.Seconds() + 5) }

// maxInWindow returns the largest number of times from a given one on that lie within
// limitWindow.
func maxInWindow(times []time.Time, from time.Time) (n int) {
	for first, last := 0, 0; last < len(times); last++ {
		for times[first].Before(from) || times[last].Sub(times[first]) >= limitWindow {
			if first++; first > last {
				break
			}
		}
		n = max(n, last-first+1)
	}
	return n
}

// newTrafficRig starts three routers and three upstreams of each service, of which all but the
// first reject or fail some requests, and callers that send on every way to an upstream until
// the test ends. It returns the first upstream of each service.
func newTrafficRig(t *testing.T) (r *rig, nodes []*node, first map[string]*site.Replica) {
	t.Helper()
	r = newRig(t)
	first = map[string]*site.Replica{}
	for _, service := range []string{"desk", "engine", "archive", "school"} {
		for i := range 3 {
			var acts []site.Action
			for range 40 * i { // retries of what the others reject or fail
				acts = append(acts, site.Serve, site.Reject, site.LoseAnswer)
			}
			p := r.addReplica(fmt.Sprint(service, "-", i), service, acts...)
			if i == 0 {
				first[service] = p
			}
		}
	}
	var seeds []wire.Address
	for i := range 3 {
		cfg := r.settings(fmt.Sprint("r", i), seeds...)
		seeds = append(seeds, cfg.Peers)
		nodes = append(nodes, r.start(cfg))
	}
	for _, nd := range nodes {
		r.waitForUpstreams(nd, 12)
		r.waitFor("the router knows its peers", func() bool { return nd.peers.routerCount(time.Now()) == len(nodes) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		callers.Wait()
	})
	for i, nd := range nodes {
		for _, c := range partRoutes {
			callers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					_, _, _ = nd.doContext(t, ctx, withParts(c.call(fmt.Sprintf("%s-%d-%d", c.name[:3], i, n)), "first", fmt.Sprint("topic-", n%40)))
				}
			})
		}
	}
	return r, nodes, first
}

// TestNamedLimit guards against more requests to an upstream than the limit that it names,
// on every way to it, and against an upstream that gets none after the limit has ended.
func TestNamedLimit(t *testing.T) {
	r, _, limited := newTrafficRig(t)
	r.site.Replicas()[1].SetLimit("no number")
	const limit = 1.4
	for _, p := range limited {
		p.SetLimit(fmt.Sprint(limit))
	}
	named := time.Now()
	r.waitFor("the window is over", func() bool { return time.Since(named) > contactTime+limitWindow })
	for service, p := range limited {
		got := maxInWindow(p.Arrivals(), named.Add(contactTime))
		assert.Check(t, got <= allowedInWindow(limit), "%s got %d requests in %v, %d are allowed", service, got, limitWindow, allowedInWindow(limit))
		assert.Check(t, got > 0, "%s gets no request at all", service)
	}
	for _, p := range limited {
		p.SetLimit("")
	}
	for service, p := range limited {
		before := len(p.Arrivals())
		r.waitFor(service+" gets more requests after its limit has ended", func() bool { return len(p.Arrivals())-before > 2*allowedInWindow(limit) })
	}
}

// TestAllLimited guards against requests that wait until their deadline for upstreams that
// take none.
func TestAllLimited(t *testing.T) {
	r := newRig(t)
	for i := range 2 {
		r.addReplica(fmt.Sprint("i-", i), "desk").SetLimit("0")
	}
	n := r.startRouter(2)
	for i := range 8 { // the first requests find out
		_, _, _ = n.do(t, get(deskHost, fmt.Sprint("/safe/", i)))
	}
	began := time.Now()
	resp := n.assertStatus(t, get(deskHost, "/safe/late"), http.StatusServiceUnavailable, "")
	assert.Assert(t, time.Since(began) < 4*time.Second, "the deadline is in 8 s")
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	r.assertRuns("id-/safe/late", 0)
}

// TestLimitAfterRestart guards against a limit that is forgotten when the store tells late
// that the upstream which names it has started again.
func TestLimitAfterRestart(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk").SetLimit("0")
	n := r.startRouter(1)
	n.assertStatus(t, get(deskHost, "/safe/1"), http.StatusOK, "")
	n.assertStatus(t, get(deskHost, "/safe/2"), http.StatusServiceUnavailable, "")
	r.site.Store.SetField("servers/i-1", "born", 1)
	r.waitFor("the router knows the new start", func() bool { return n.view.Load().Upstreams["desk"][0].Born == 1 })
	n.assertStatus(t, get(deskHost, "/safe/3"), http.StatusServiceUnavailable, "")
}
