package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// TestStopTimes guards against a drain that cuts requests off before the last sixth of the
// grace period, or leaves no time between its steps.
func TestStopTimes(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 6 * time.Second, 8 * time.Second, 30 * time.Second, 5 * time.Minute} {
		st := newStopTimes(grace)
		assert.Assert(t, st.cut > grace*5/6+grace/50, "grace %v: %+v", grace, st)
		assert.Assert(t, st.deregistered < st.closeListener && st.closeListener < st.cut, "grace %v: %+v", grace, st)
		assert.Assert(t, st.closeConns-st.cut >= min(refuseMargin, grace/25), "grace %v: %+v", grace, st)
		assert.Assert(t, grace-st.closeConns >= min(killMargin, grace/12), "grace %v: %+v", grace, st)
	}
}

// TestDrainCutsLate guards against a drain that ends requests before the last sixth of a
// short grace period.
func TestDrainCutsLate(t *testing.T) {
	for _, grace := range []float64{1.5, 3} {
		t.Run(fmt.Sprint(grace, " s"), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.addReplica("i-1", "desk", site.NoAnswer)
			n := r.startRouterWithGrace(1, grace)
			c := n.dialRaw(t)
			c.write(t, post(deskHost, "/once/1", "x"), 1)
			r.waitFor("the upstream runs the request", func() bool { return len(r.site.Runs()) == 1 })
			began := time.Now()
			n.terminate()
			c.assertStatus(t, http.StatusGatewayTimeout, "stopping\n")
			assert.Assert(t, time.Since(began) >= n.cfg.grace()*5/6, "ended after %v", time.Since(began))
			n.wait(t)
		})
	}
}

// TestDrainRefusesLongStream guards against a stream that a stopping router takes and cuts
// at the end of the grace period.
func TestDrainRefusesLongStream(t *testing.T) {
	r := newRig(t)
	p := r.addReplica("e-1", "engine")
	p.ServiceTime = 500 * time.Millisecond
	n := r.startRouterWithGrace(1, 2)
	n.terminate()
	r.waitFor("the router is not ready", func() bool { return n.readinessStatus(t) == http.StatusServiceUnavailable })
	resp := n.assertStatus(t, post(streamHost, "/resume/1", "x"), http.StatusServiceUnavailable, "stopping\n")
	assert.Assert(t, resp.Close && resp.Header.Get("Retry-After") != "")
	r.assertRuns("id-/resume/1", 0)
	n.wait(t)
}

// TestDrainTakesShortStream guards against refusals of streams that usually end long before
// the grace period does, although their deadlines lie behind it.
func TestDrainTakesShortStream(t *testing.T) {
	r := newRig(t)
	r.addReplica("e-1", "engine")
	n := r.startRouterWithGrace(1, 4)
	for i := range 5 {
		n.assertStatus(t, post(streamHost, fmt.Sprint("/once/", i), "x"), http.StatusOK, "")
	}
	n.terminate()
	r.waitFor("the router is not ready", func() bool { return n.readinessStatus(t) == http.StatusServiceUnavailable })
	n.assertStatus(t, post(streamHost, "/once/late", "x"), http.StatusOK, streamBody("/once/late", 6))
	n.wait(t)
}

// TestDrainLeavesUnrepeatable guards against requests that may not be repeated and that a
// stopping router runs, though they may outlast it, while another router could.
func TestDrainLeavesUnrepeatable(t *testing.T) {
	r := newRig(t)
	p := r.addReplica("i-1", "desk")
	first := r.settings("r1")
	first.Stop = 3
	n := r.start(first)
	other := r.start(r.settings("r2", first.Peers))
	for _, n := range []*node{n, other} {
		r.waitForUpstreams(n, 1)
	}
	r.waitFor("the routers know each other", func() bool { return len(n.peers.ownerCandidates(time.Now())) == 2 })
	n.assertStatus(t, post(deskHost, "/once/early", "x"), http.StatusOK, "")
	p.ServiceTime = 10 * time.Second
	n.terminate()
	r.waitFor("the router is not ready", func() bool { return n.readinessStatus(t) == http.StatusServiceUnavailable })
	n.assertStatus(t, post(deskHost, "/once/late", "x"), http.StatusServiceUnavailable, "stopping\n")
	r.assertRuns("id-/once/late", 0)
	n.wait(t)
}
