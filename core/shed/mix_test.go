package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
)

// arrival is one request of TestMix.
type arrival struct {
	group Group
	work  float64
}

// play lets requests arrive every 10 ms for a minute, of whose work the given fraction is turned
// away. It returns by group and size how many came and how many were turned away.
func play(fraction float64, next func(*rand.Rand) arrival) (asked, turnedAway [groups][sizes]float64, work, workAway float64) {
	var m Mix
	var route MeanWork
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 6000 {
		now := start.Add(time.Duration(i) * 10 * ms)
		a := next(rng)
		c := Class{a.group, route.Classify(a.work)}
		m.Record(now, 1, c, a.work)
		away := m.Sheds(1, c, fraction, rng.Float64())
		asked[c.Group][c.Size]++
		work += a.work
		if away {
			turnedAway[c.Group][c.Size]++
			workAway += a.work
		}
	}
	return asked, turnedAway, work, workAway
}

// sizesOf draws the work of requests of a mean of 3 pieces, a few of them large.
func sizesOf(rng *rand.Rand) float64 { return float64(1 + int(rng.ExpFloat64()*2)) }

// TestMixFraction guards against a router that turns away more or less than its part, and
// against many small requests that are turned away for the work of a few large ones.
func TestMixFraction(t *testing.T) {
	for _, fraction := range []float64{0.1, 0.3, 0.6, 0.9} {
		asked, away, work, workAway := play(fraction, func(rng *rand.Rand) arrival { return arrival{Normal, sizesOf(rng)} })
		assert.Assert(t, workAway > 0.8*fraction*work && workAway < 1.2*fraction*work, "fraction %v: %v of %v", fraction, workAway, work)
		n, total := 0.0, 0.0
		for s := range sizes {
			n, total = n+away[Normal][s], total+asked[Normal][s]
			if s > 0 {
				smaller := away[Normal][s-1] / asked[Normal][s-1]
				assert.Assert(t, away[Normal][s]/asked[Normal][s] >= 0.95*smaller, "fraction %v: %v requests are turned away less often than smaller ones", fraction, s)
			}
		}
		assert.Assert(t, n < fraction*total || fraction > maxSizeFraction, "fraction %v: %v of %v requests are turned away", fraction, n, total)
	}
}

// TestMixLargeServed guards against large requests that are hardly ever served: each size is served
// at least half as often as its kind.
func TestMixLargeServed(t *testing.T) {
	for _, fraction := range []float64{0.1, 0.3, 0.6, 0.9} {
		asked, away, _, _ := play(fraction, func(rng *rand.Rand) arrival { return arrival{Normal, sizesOf(rng)} })
		served, total := 0.0, 0.0
		for s := range sizes {
			served, total = served+asked[Normal][s]-away[Normal][s], total+asked[Normal][s]
		}
		for s := range sizes {
			ratio := (asked[Normal][s] - away[Normal][s]) / asked[Normal][s]
			assert.Assert(t, ratio >= 0.5*served/total, "fraction %v: %v are served %.2f, all %.2f", fraction, s, ratio, served/total)
		}
	}
}

// TestMixShare guards against a team within its share that loses requests to another team's burst,
// and against turning away those that can be on time before those that can't.
func TestMixShare(t *testing.T) {
	asked, away, _, _ := play(0.2, func(rng *rand.Rand) arrival {
		switch rng.IntN(3) {
		case 0:
			return arrival{OverShare, sizesOf(rng)}
		case 1:
			return arrival{Late, sizesOf(rng)}
		}
		return arrival{Normal, sizesOf(rng)}
	})
	lost := func(g Group) (ratio float64) {
		n, total := 0.0, 0.0
		for s := range sizes {
			n, total = n+away[g][s], total+asked[g][s]
		}
		return n / total
	}
	assert.Assert(t, lost(OverShare) > 0.4, "%v of those beyond the share", lost(OverShare))
	assert.Assert(t, lost(Late) < 0.05, "%v of the late ones", lost(Late))
	assert.Assert(t, lost(Normal) == 0, "%v of the others", lost(Normal))
}

// BenchmarkSheds measures the decision on one request: the state of its service gives the level, and
// the request is classified and counted.
func BenchmarkSheds(b *testing.B) {
	var m Mix
	var route MeanWork
	var meter Meter
	var level Level
	state := State{Rate: 100, Pending: [fleet.RankLevels]int{10, 20, 80}, Bound: [fleet.RankLevels]time.Duration{400 * ms, 600 * ms, time.Second}}
	b.ReportAllocs()
	for i := range b.N {
		now, rank := start.Add(time.Duration(i)*ms), i%3
		meter.Record(now, rank, 1+i%7)
		state.Asked = meter.Demand(now)
		fractions := level.Update(now, state.Required())
		c := Class{Size: route.Classify(float64(1 + i%7))}
		m.Record(now, rank, c, float64(1+i%7))
		m.Sheds(rank, c, fractions[rank], float64(i%10)/10)
	}
}
