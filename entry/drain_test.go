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
