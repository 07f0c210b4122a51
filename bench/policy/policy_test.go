package policy

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func tiny(w *bytes.Buffer, seed uint64) *Measurement {
	m := New(w, seed)
	m.warmup, m.window = time.Second, time.Second
	m.fleets = m.fleets[:1]
	m.loads = m.loads[1:2]
	return m
}

// TestDeterministic guards against figures that can't be reproduced from their
// seed, and against a seed that has no effect.
func TestDeterministic(t *testing.T) {
	var a, b, c bytes.Buffer
	tiny(&a, 1).All()
	tiny(&b, 1).All()
	tiny(&c, 2).All()
	assert.Equal(t, a.String(), b.String())
	assert.Assert(t, a.String() != c.String())
}

// TestAccounts guards against requests that are counted twice or not at all,
// against a policy that passes the bound, and against work beyond the slots.
func TestAccounts(t *testing.T) {
	m := tiny(new(bytes.Buffer), 1)
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

// TestFairShares guards against shares that exceed a demand or leave room unused.
func TestFairShares(t *testing.T) {
	f := &fleet{teams: []teamSpec{{weight: 3}, {weight: 1}, {weight: 1}}}
	s := time.Second
	assert.DeepEqual(t, f.fairShares([]time.Duration{60 * s, 60 * s, 5 * s}, []time.Duration{20 * s, 20 * s, 5 * s}), []float64{30, 10, 5})
	assert.DeepEqual(t, f.fairShares([]time.Duration{20 * s, 60 * s, 5 * s}, []time.Duration{20 * s, 20 * s, 5 * s}), []float64{20, 20, 5})
}

// TestFaults guards against a model in which a cold start or a data centre move
// has no effect, and against work of ours beyond the cold bound or after a ticket.
func TestFaults(t *testing.T) {
	m := New(new(bytes.Buffer), 1)
	m.window = 8 * time.Second
	f := m.fleets[0]
	for _, p := range []Policy{naive, ours} {
		most, crashes := m.run(f, 0.7, p, restartUpstreams(0, 3)).maxColdLoad(0)
		assert.Equal(t, most <= f.pools[0].coldSlots && crashes == 0, p.Name == ours.Name, p.Name)
	}
	s := m.run(f, 0.6, ours, moveCentre(true, func(*sim, int) time.Duration { return 5 * ms }))
	for _, u := range s.upstreams[0] {
		late := u.lastCall > faultAt+10*ms
		assert.Equal(t, late, u.centre != 0, string(u.id))
	}
}

// TestCrashRun guards against more upstreams lost to one request than 2 a router
// that sees it, and against refusals of the requests beside it.
func TestCrashRun(t *testing.T) {
	for seed := range uint64(20) {
		s := simulateCrashes(seed, quarantineIsolate, true, 3, 1)
		assert.Assert(t, s.upstreamsLost == 2 && s.bystandersRefused == 0, "seed %d: %d lost", seed, s.upstreamsLost)
		s = simulateCrashes(seed, quarantineIsolate, false, 3, 1)
		assert.Assert(t, s.upstreamsLost <= 6 && s.bystandersRefused == 0, "seed %d: %d lost", seed, s.upstreamsLost)
		assert.Assert(t, simulateCrashes(seed, quarantineNone, false, 3, 1).upstreamsLost > 100, "seed %d", seed)
	}
}
