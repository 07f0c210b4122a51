package budget

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

const ms = time.Millisecond

// A fixed seed makes every run check the same cases; the flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestSplit guards against a stage that uses up the time of later stages.
func TestSplit(t *testing.T) {
	for name, c := range map[string]struct {
		remaining time.Duration
		estimates []wire.Millis
		timeout   time.Duration
		ok        bool
	}{
		"time kept for later stages": {100 * ms, []wire.Millis{20, 30, 40}, 30 * ms, true},
		"exact":                      {90 * ms, []wire.Millis{20, 30, 40}, 20 * ms, true},
		"short of this stage":        {89 * ms, []wire.Millis{20, 30, 40}, 19 * ms, false},
		"short of later stages":      {10 * ms, []wire.Millis{0, 30}, -20 * ms, false},
		"last stage":                 {50 * ms, []wire.Millis{20}, 50 * ms, true},
		"no stage":                   {50 * ms, nil, 50 * ms, true},
		"expired":                    {0, []wire.Millis{0}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			timeout, ok := Split(c.remaining, c.estimates)
			assert.Equal(t, timeout, c.timeout)
			assert.Equal(t, ok, c.ok)
		})
	}
}

// TestAllow guards against retries past the deadline or over budget, and against
// refused retries that take tokens.
func TestAllow(t *testing.T) {
	r := NewRetry(0.1, 2)
	for _, c := range []struct {
		attempt             wire.Attempt
		firstAttempts       int
		remaining, estimate time.Duration
		reason              wire.Reason
	}{
		{1, 0, 10 * ms, 11 * ms, wire.ReasonDeadline},
		{1, 0, 0, 0, wire.ReasonDeadline},
		{64, 0, 10 * ms, 10 * ms, wire.ReasonOverload},
		{1, 0, 10 * ms, 10 * ms, ""},
		{2, 0, 10 * ms, 10 * ms, ""},
		{3, 0, 10 * ms, 10 * ms, wire.ReasonOverload},
		{1, 9, 10 * ms, 10 * ms, wire.ReasonOverload},
		{1, 1, 10 * ms, 10 * ms, ""},
		{1, 0, 10 * ms, 10 * ms, wire.ReasonOverload},
	} {
		for range c.firstAttempts {
			r.RecordFirstAttempt()
		}
		reason, ok := r.Allow(c.attempt, c.remaining, c.estimate)
		assert.Equal(t, reason, c.reason)
		assert.Equal(t, ok, c.reason == "")
	}
	assert.Equal(t, r.View(), View{Tokens: 0, First: 10, Retried: 3, Refused: 6})

	r = NewRetry(0.4999996, 1) // if it were rounded up, two first attempts would allow a retry
	_, ok := r.Allow(1, ms, ms)
	assert.Assert(t, ok)
	r.RecordFirstAttempt()
	r.RecordFirstAttempt()
	_, ok = r.Allow(1, ms, ms)
	assert.Assert(t, !ok)
}

// TestRetryBound guards against retry storms: the retries in any period must not
// exceed burst plus ratio times the first attempts in it.
func TestRetryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "share")
		burst := rapid.IntRange(0, 12).Draw(t, "burst")
		r := NewRetry(ratio, burst)
		// maxExcess is the largest excess of retries over ratio times the first
		// attempts in any period that ends now.
		maxExcess := 0.0
		for _, first := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "events") {
			if first {
				r.RecordFirstAttempt()
				maxExcess = max(0, maxExcess-ratio)
				continue
			}
			if _, ok := r.Allow(1, ms, ms); ok {
				maxExcess++
			}
			if maxExcess > float64(burst)+1e-6 {
				t.Fatalf("retries exceed the budget by %v with burst %d", maxExcess, burst)
			}
		}
	})
}

// TestBackoff guards against waits over the maximum and against missing jitter.
func TestBackoff(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for attempt, bound := range map[wire.Attempt]time.Duration{
		0: 20 * ms, 1: 20 * ms, 2: 40 * ms, 5: 320 * ms, 6: 500 * ms, 64: 500 * ms,
	} {
		low, high := bound, time.Duration(0)
		for range 1000 {
			d := Backoff(rng, attempt)
			low, high = min(low, d), max(high, d)
		}
		assert.Assert(t, low >= 0 && low < bound/20, "attempt %d: shortest %v", attempt, low)
		assert.Assert(t, high <= bound && high > bound-bound/20, "attempt %d: longest %v", attempt, high)
	}
}

func BenchmarkRetry(b *testing.B) {
	r := NewRetry(0.1, 10)
	for b.Loop() {
		r.RecordFirstAttempt()
		r.Allow(1, ms, ms)
	}
}
