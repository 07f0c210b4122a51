package shed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, got > want-1e-6 && got < want+1e-6, "got %v, want %v", got, want)
}

// TestRequired guards against queues that make requests miss their targets, against turning
// requests away that there is room for, and against a rank that is served less often than a less
// urgent one.
func TestRequired(t *testing.T) {
	equal := [fleet.RankLevels]time.Duration{400 * ms, 400 * ms, 400 * ms}
	patient := [fleet.RankLevels]time.Duration{400 * ms, 400 * ms, 2 * time.Second}
	for _, tc := range []struct {
		name  string
		state State
		want  Fractions
	}{
		{"less than the rate", State{100, Demand{40, 30, 10}, [fleet.RankLevels]int{0, 10, 10}, equal}, Fractions{}},
		{"a burst finds an empty queue", State{100, Demand{40, 30, 110}, [fleet.RankLevels]int{}, equal}, Fractions{}},
		{"the queue is at its bound", State{100, Demand{40, 30, 60}, [fleet.RankLevels]int{10, 10, 20}, equal}, Fractions{2: 0.5}},
		{"the least urgent are not enough", State{100, Demand{40, 100, 60}, [fleet.RankLevels]int{10, 30, 0}, equal}, Fractions{1: 0.4, 2: 1}},
		{"the most urgent alone are too many", State{100, Demand{200, 100, 60}, [fleet.RankLevels]int{40}, equal}, Fractions{0.5, 1, 1}},
		{"the queue is twice its bound", State{100, Demand{10, 10, 10}, [fleet.RankLevels]int{80}, equal}, Fractions{1, 1, 1}},
		{"what is less urgent gives way", State{100, Demand{10, 10, 10}, [fleet.RankLevels]int{0, 0, 80}, equal}, Fractions{2: 1}},
		{"patient requests wait longer", State{100, Demand{40, 30, 60}, [fleet.RankLevels]int{10, 10, 100}, patient}, Fractions{}},
		{"the queue is at the bound of patient requests", State{100, Demand{40, 30, 60}, [fleet.RankLevels]int{10, 10, 180}, patient}, Fractions{2: 0.5}},
		{"urgent requests go before patient ones", State{100, Demand{40, 30, 60}, [fleet.RankLevels]int{10, 10, 380}, patient}, Fractions{2: 1}},
		{"patient requests of a lower rank are not spared", State{100, Demand{100, 100, 1}, [fleet.RankLevels]int{20, 20, 0}, patient}, Fractions{0, 1, 1}},
		{"the rate is unknown", State{0, Demand{40, 30, 60}, [fleet.RankLevels]int{10, 10, 380}, equal}, Fractions{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := tc.state.Required()
			for r := range tc.state.Bound[:3] {
				assertNear(t, got[r], tc.want[r])
			}
			for r := 1; r < len(got); r++ {
				assert.Assert(t, got[r] >= got[r-1], "rank %d is served less often than rank %d", r-1, r)
			}
		})
	}
}

// TestAhead guards against a forecast for requests with little time that counts pieces with much,
// and against one for patient requests that doesn't count those that go first.
func TestAhead(t *testing.T) {
	s := State{Rate: 100, Pending: [fleet.RankLevels]int{30, 20, 180}, Bound: [fleet.RankLevels]time.Duration{400 * ms, 300 * ms, 2 * time.Second}}
	for rank, want := range []int{20 + 30 + 20, 20 + 20 + 10, 230} {
		assert.Equal(t, s.Ahead(rank), want, "rank %d", rank)
	}
	assert.Equal(t, s.Wait(0), 700*ms)
}

// TestLevel guards against a level that reacts late to a shortage, and against one that follows
// each gap between arrivals.
func TestLevel(t *testing.T) {
	var l Level
	assertNear(t, l.Update(start, Fractions{})[1], 0)
	assertNear(t, l.Update(start.Add(10*ms), Fractions{1: 0.4})[1], 0.4)
	assertNear(t, l.Update(start.Add(20*ms), Fractions{1: 0.6})[1], 0.6)
	assertNear(t, l.Update(start.Add(20*ms+fallTime), Fractions{})[1], 0.3)
	assertNear(t, l.Update(start.Add(30*ms+fallTime), Fractions{1: 0.5})[1], 0.5)
	assertNear(t, l.Update(start.Add(30*ms+6*fallTime), Fractions{})[1], 0)
}

// TestMeter guards against a demand that is off by the length of its average, or that stays
// after the callers have left.
func TestMeter(t *testing.T) {
	var m Meter
	for i := range 400 {
		m.Record(start.Add(time.Duration(i)*10*ms), 1, 2)
	}
	d := m.Demand(start.Add(4000 * ms))
	assert.Assert(t, d[1] > 190 && d[1] < 210, "%v pieces per second", d[1])
	d = m.Demand(start.Add(7000 * ms))
	assert.Assert(t, d.Total() < 1, "%v pieces per second after 3 s without any", d.Total())
}
