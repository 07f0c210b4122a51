package route

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

// TestPick guards against a score term with the wrong sign or outside its range.
func TestPick(t *testing.T) {
	for name, c := range map[string]struct {
		a, b   Candidate
		reason string // reason for choosing a; empty if neither has room
	}{
		"load":                 {Candidate{Limit: 8, OwnInFlight: 1}, Candidate{Limit: 8, OwnInFlight: 2}, ReasonLoad},
		"load over limit":      {Candidate{Limit: 16, OwnInFlight: 3}, Candidate{Limit: 4, OwnInFlight: 2}, ReasonLoad},
		"reports of others":    {Candidate{Limit: 8, OwnInFlight: 1}, Candidate{Limit: 8, InFlight: 2}, ReasonLoad},
		"queued":               {Candidate{Limit: 8, OwnInFlight: 1}, Candidate{Limit: 8, Queued: 2}, ReasonLoad},
		"own calls in report":  {Candidate{Limit: 8, InFlight: 4, OwnReported: 4, OwnInFlight: 1}, Candidate{Limit: 8, OwnInFlight: 2}, ReasonLoad},
		"own calls that ended": {Candidate{Limit: 8, InFlight: 1, OwnReported: 3, OwnInFlight: 1}, Candidate{Limit: 8, OwnInFlight: 2}, ReasonLoad},
		"failed":               {Candidate{Limit: 8, OwnInFlight: 1}, Candidate{Limit: 8, OwnFailed: 2}, ReasonLoad},
		"failed leaves room":   {Candidate{Limit: 2, OwnFailed: 9}, Candidate{Limit: 2, OwnInFlight: 2}, ReasonOnly},
		"prefix":               {Candidate{Limit: 8, OwnInFlight: 2, PrefixCached: true}, Candidate{Limit: 8, OwnInFlight: 1}, ReasonPrefix},
		"prefix but loaded":    {Candidate{Limit: 8, OwnInFlight: 1}, Candidate{Limit: 8, OwnInFlight: 3, PrefixCached: true}, ReasonLoad},
		"nearer":               {Candidate{Limit: 8, Distance: 500}, Candidate{Limit: 8, Distance: 1500}, ReasonDistance},
		"nearer but loaded":    {Candidate{Limit: 8, Distance: 900_000}, Candidate{Limit: 8, OwnInFlight: 2}, ReasonLoad},
		"warmer":               {Candidate{Limit: 8, Warmth: wire.WarmthWarm}, Candidate{Limit: 8, Warmth: wire.WarmthWarming}, ReasonWarmth},
		"warming":              {Candidate{Limit: 8, Warmth: wire.WarmthWarming}, Candidate{Limit: 8, Warmth: wire.WarmthCold}, ReasonWarmth},
		"other full by own":    {Candidate{Limit: 8, OwnInFlight: 7}, Candidate{Limit: 1, OwnInFlight: 1}, ReasonOnly},
		"other full by report": {Candidate{Limit: 8, OwnInFlight: 7}, Candidate{Limit: 4, OwnInFlight: 1, InFlight: 2, Queued: 2, OwnReported: 1}, ReasonOnly},
		"both full":            {Candidate{Limit: 2, OwnInFlight: 2}, Candidate{}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				rng := rand.New(rand.NewPCG(seed, 0))
				for _, cs := range [][]Candidate{{c.a, c.b}, {c.b, c.a}} {
					got, ok := Pick(rng, cs)
					assert.Equal(t, ok, c.reason != "")
					assert.Equal(t, got.Reason, c.reason)
					assert.Assert(t, !ok || cs[got.Index] == c.a)
				}
			}
		})
	}
}

// TestPickRoom guards against picking a replica without room, and against picking none
// while one has room.
func TestPickRoom(t *testing.T) {
	slots := rapid.Custom(func(t *rapid.T) wire.Slots { return wire.Slots(rapid.IntRange(0, 4).Draw(t, "slots")) })
	rapid.Check(t, func(t *rapid.T) {
		cs := make([]Candidate, rapid.IntRange(0, 24).Draw(t, "n"))
		open := map[int]bool{}
		for i := range cs {
			c := Candidate{Limit: slots.Draw(t, "limit"), OwnInFlight: slots.Draw(t, "own"), InFlight: slots.Draw(t, "flight"), OwnReported: slots.Draw(t, "seen")}
			if c.OwnInFlight+max(0, c.InFlight-c.OwnReported) < c.Limit {
				open[i] = true
			}
			cs[i] = c
		}
		got, ok := Pick(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), cs)
		if ok != (len(open) > 0) || ok && !open[got.Index] {
			t.Fatalf("picked %v, %v of %v", got, ok, cs)
		}
	})
}

// TestPickHerding guards against herding: many routers that send all calls of a report
// interval to the replica that was idle in the last report.
func TestPickHerding(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	cs := make([]Candidate, 24)
	for i := range cs {
		cs[i] = Candidate{Limit: 64, InFlight: 32, PrefixCached: i == 0}
	}
	cs[0].InFlight = 0
	idleCalls := 0
	for range 2400 { // the first call of each of 2400 routers
		if c, _ := Pick(rng, cs); c.Index == 0 {
			idleCalls++
		}
	}
	assert.Assert(t, idleCalls > 120 && idleCalls < 280, "expected about 2 in 24, got %d of 2400", idleCalls)

	for range 24 * 16 { // calls of one router between two reports
		c, _ := Pick(rng, cs)
		cs[c.Index].OwnInFlight++
	}
	for i, c := range cs[1:] {
		assert.Assert(t, c.OwnInFlight >= 10 && c.OwnInFlight <= 22, "replica %d got %d calls", i+1, c.OwnInFlight)
	}
}

func BenchmarkPick(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	cs := make([]Candidate, 24)
	for i := range cs {
		cs[i] = Candidate{Limit: 64, InFlight: wire.Slots(i), Distance: wire.Micros(500 * i), PrefixCached: i%8 == 0}
	}
	for b.Loop() {
		Pick(rng, cs)
	}
}
