package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestHedgeBlocked guards against a request that leaves its silent upstream although nobody else
// may or can serve it.
func TestHedgeBlocked(t *testing.T) {
	free := Hedge{Repeatable: true, Runs: 1, MaxAttempts: 2, Sends: 1, MaxSends: 4, Remaining: time.Second, Expected: 200 * ms, HasOther: true}
	for _, c := range []struct {
		reason string
		change func(*Hedge)
	}{
		{"", func(*Hedge) {}},
		{"route", func(h *Hedge) { h.Repeatable = false }},
		{"attempts", func(h *Hedge) { h.Runs = 2 }},
		{"", func(h *Hedge) { h.Runs, h.MayReturn = 2, true }},
		{"sends", func(h *Hedge) { h.Sends = 4 }},
		{"time", func(h *Hedge) { h.Remaining = 200 * ms }},
		{"no upstream", func(h *Hedge) { h.HasOther = false }},
	} {
		t.Run(c.reason, func(t *testing.T) {
			h := free
			c.change(&h)
			assert.Equal(t, h.Blocked(), c.reason)
		})
	}
}

// TestHedgeReserve guards against silences that use up the retry budget of requests whose
// upstreams have failed.
func TestHedgeReserve(t *testing.T) {
	r := NewRetry(0, 4)
	for i, allowed := range []bool{true, true, false, false} {
		reason, ok := r.AllowHedge(10*ms, ms)
		assert.Equal(t, ok, allowed, "hedge %d", i)
		assert.Equal(t, reason == wire.ReasonOverload, !allowed)
	}
	for i, allowed := range []bool{true, true, false} {
		_, ok := r.Allow(1, 10*ms, ms)
		assert.Equal(t, ok, allowed, "retry %d", i)
	}
}

// TestReserve guards against a reserved retry that is lost, or that another request uses.
func TestReserve(t *testing.T) {
	r := NewRetry(0, 1)
	assert.Assert(t, r.Reserve())
	assert.Assert(t, !r.Reserve())
	_, ok := r.Allow(1, 10*ms, ms)
	assert.Assert(t, !ok)
	r.GiveBack()
	assert.DeepEqual(t, r.View(), View{Tokens: 1, Refused: 1})
	_, ok = r.Allow(1, 10*ms, ms)
	assert.Assert(t, ok)
}
