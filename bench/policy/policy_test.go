package policy

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTinyMeasurement returns a short Measurement of one fleet under one load.
func newTinyMeasurement(w *bytes.Buffer, seed uint64) *Measurement {
	m := New(w, seed)
	m.warmup, m.window = time.Second, time.Second
	m.fleets = m.fleets[:1]
	m.loads = m.loads[1:2]
	return m
}

// TestDeterministic checks that the output can be reproduced from the seed and that
// the seed has an effect.
func TestDeterministic(t *testing.T) {
	var a, b, c bytes.Buffer
	newTinyMeasurement(&a, 1).All()
	newTinyMeasurement(&b, 1).All()
	newTinyMeasurement(&c, 2).All()
	assert.Equal(t, a.String(), b.String())
	assert.Assert(t, a.String() != c.String())
}

// TestAccounts guards against requests that are counted twice or not at all, a
// policy that exceeds the upper bound, and upstreams that run more calls than they
// have slots.
func TestAccounts(t *testing.T) {
	m := newTinyMeasurement(new(bytes.Buffer), 1)
	for _, f := range m.fleets {
		for _, p := range append(choicePolicies(), naive, plain) {
			s := m.run(f, 1.5, p)
			refused := 0
			for _, n := range s.outcome.refusals {
				refused += n
			}
			assert.Equal(t, s.outcome.all.offered, s.outcome.all.met+refused, p.Name)
			assert.Equal(t, s.outcome.all.met, len(s.outcome.latency), p.Name)
			b := m.upperBound(f, 1.5)
			assert.Assert(t, s.outcome.all.metRatio() <= b.metRatio, p.Name)
			for _, us := range s.upstreams {
				for _, u := range us {
					assert.Assert(t, len(u.running) <= u.pool.slots)
				}
			}
		}
	}
}

// TestFairShares guards against shares that exceed a team's demand or leave time
// unassigned.
func TestFairShares(t *testing.T) {
	f := &fleet{teams: []teamSpec{{weight: 3}, {weight: 1}, {weight: 1}}}
	s := time.Second
	assert.DeepEqual(t, f.fairShares([]time.Duration{60 * s, 60 * s, 5 * s}, []time.Duration{20 * s, 20 * s, 5 * s}), []float64{30, 10, 5})
	assert.DeepEqual(t, f.fairShares([]time.Duration{20 * s, 60 * s, 5 * s}, []time.Duration{20 * s, 20 * s, 5 * s}), []float64{20, 20, 5})
}

// TestFaults guards against a model in which a cold start or a data centre change
// has no effect, and against ours loading cold upstreams beyond their slots or
// sending calls to a data centre after routers know that it is out.
func TestFaults(t *testing.T) {
	m := New(new(bytes.Buffer), 1)
	m.window = 8 * time.Second
	f := m.fleets[0]
	for _, p := range []Policy{naive, ours} {
		maxHeld, crashes := m.run(f, 0.7, p, restartUpstreams(0, 3)).maxColdLoad(0)
		assert.Equal(t, maxHeld <= f.pools[0].coldSlots && crashes == 0, p.Name == ours.Name, p.Name)
	}
	s := m.run(f, 0.6, ours, takeCentreOutAndBack(true, func(*sim, int) time.Duration { return 5 * ms }))
	for _, u := range s.upstreams[0] {
		late := u.lastCall > faultAt+10*ms
		assert.Equal(t, late, u.centre != 0, string(u.id))
	}
}

// TestSimulateCrashes checks that one request crashes two upstreams with gossip and
// at most two per router without, that bystanders aren't refused, and that the
// request crashes many upstreams when there is no policy against it.
func TestSimulateCrashes(t *testing.T) {
	for seed := range uint64(20) {
		s := simulateCrashes(seed, quarantineIsolate, true, 3, 1)
		assert.Assert(t, s.upstreamsLost == 2 && s.bystandersRefused == 0, "seed %d: %d lost", seed, s.upstreamsLost)
		s = simulateCrashes(seed, quarantineIsolate, false, 3, 1)
		assert.Assert(t, s.upstreamsLost <= 6 && s.bystandersRefused == 0, "seed %d: %d lost", seed, s.upstreamsLost)
		assert.Assert(t, simulateCrashes(seed, quarantineNone, false, 3, 1).upstreamsLost > 100, "seed %d", seed)
	}
}
