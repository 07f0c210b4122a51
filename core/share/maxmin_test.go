package share

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

// TestLevel guards against shares that leave capacity unused, that exceed it, or that give a
// team less than it asks for although it asks for no more than its part.
func TestLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "teams")
		capacity := Rate(rapid.Float64Range(0, 1000).Draw(t, "capacity"))
		claims := make([]Claim, n)
		demand, weights := Rate(0), 0.0
		for i := range claims {
			claims[i] = Claim{Rate(rapid.Float64Range(0, 100).Draw(t, "rate")), rapid.Float64Range(0.1, 10).Draw(t, "weight")}
			demand += claims[i].Rate
			weights += claims[i].Weight
		}
		level := Level(capacity, claims)
		sum := Rate(0)
		for _, c := range claims {
			got := c.Share(level)
			sum += got
			if least := min(c.Rate, capacity*Rate(c.Weight/weights)); got < least*(1-1e-9) {
				t.Fatalf("claim %v gets %v, below %v", c, got, least)
			}
		}
		if want := min(capacity, demand); math.Abs(float64(sum-want)) > 1e-6*float64(want+1) {
			t.Fatalf("shares add up to %v, want %v", sum, want)
		}
	})
}

// TestQueueShares guards against the two copies of one rule disagreeing: what the fair queue
// serves while work waits is what Level gives.
func TestQueueShares(t *testing.T) {
	demand := map[wire.TeamID]int{"a": 300, "b": 40, "c": 90, "d": 10}
	weight := map[wire.TeamID]int{"a": 1, "b": 1, "c": 2, "d": 1}
	const capacity = 200
	q := New[int](1000)
	var claims []Claim
	var teams []wire.TeamID
	for id, n := range demand {
		teams, claims = append(teams, id), append(claims, Claim{Rate(n), float64(weight[id])})
		for range n {
			push(t, q, Entry[int]{Team: id, Weight: weight[id], Rank: wire.RankInteractive, Cost: 1, TeamLimit: 1000})
		}
	}
	served := map[wire.TeamID]int{}
	for range capacity {
		served[pop(t, q).Team]++
	}
	level := Level(capacity, claims)
	for i, id := range teams {
		want := float64(claims[i].Share(level))
		assert.Assert(t, math.Abs(float64(served[id])-want) <= float64(weight[id])+1, "team %s is served %d, want %.1f", id, served[id], want)
	}
}

const (
	crowd      = 16  // teams
	burstBegin = 4.0 // seconds
	burstEnd   = 12.0
	dayEnd     = 20.0
	roomFor    = 0.4 // seconds of work that may wait
)

// play sends the requests of one large team, which has a third of the traffic and sends six
// times as much for eight seconds, and of 15 small teams to a service that does 100 of them a
// second. Each of the routers measures those that reach it and reports every 120 ms. admit says
// whether a request is admitted when the given work waits. play returns the requests and those
// served of the large team, of all small teams, and of the worst-served small team.
func play(routers int, admit func(excess, waiting, room float64) bool) (asked, served [2]int, worst float64) {
	const capacity = 100.0
	meters := make([]Meter, routers)
	reports := make([]Report, routers)
	var d Divider
	var over Over
	waiting := 0.0
	due := make([]float64, crowd)
	askedBy, servedBy := make([]int, crowd), make([]int, crowd)
	for step := range int(dayEnd * 1000) {
		at := float64(step) / 1000
		now := start.Add(time.Duration(step) * time.Millisecond)
		waiting = max(waiting-capacity/1000, 0)
		if step%120 == 0 {
			over = d.Update(now, Input{
				Wait: time.Duration(waiting / capacity * float64(time.Second)), Tolerated: time.Duration(roomFor / 2 * float64(time.Second)),
				Capacity: capacity, Coverage: 1, Reports: reports,
			}).Over
			for i := range meters { // known to the others at the next decision
				reports[i] = meters[i].Report(now, 0, MaxReportTeams)
			}
		}
		for team := range crowd {
			rate := 2.0 + float64(team%4)*0.5
			if team == 0 {
				rate = 21
				if at >= burstBegin && at < burstEnd {
					rate *= 6
				}
			}
			for due[team] += rate / 1000; due[team] >= 1; due[team]-- {
				id := wire.TeamID(fmt.Sprint("team", team))
				meters[(askedBy[team]+team)%routers].Ask(now, 0, id, 1)
				askedBy[team]++
				if admit(over[id], waiting, roomFor*capacity) {
					waiting++
					servedBy[team]++
				}
			}
		}
	}
	worst = 1
	for team := range crowd {
		kind := min(team, 1)
		asked[kind] += askedBy[team]
		served[kind] += servedBy[team]
		if team > 0 {
			worst = min(worst, float64(servedBy[team])/float64(askedBy[team]))
		}
	}
	return asked, served, worst
}

// TestBurstOfLargeTeam plays the load that shares of teams answer and compares with the order
// without them. It guards against small teams that pay for the burst of a large one, and
// against room that stays unused because the large team is held back.
func TestBurstOfLargeTeam(t *testing.T) {
	for _, routers := range []int{1, 9} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			asked, before, worstBefore := play(routers, func(_, waiting, room float64) bool { return waiting < room })
			_, after, worstAfter := play(routers, func(excess, waiting, room float64) bool { return waiting < room/(1+excess) })
			t.Logf("requests of the large and the small teams %v; served before %v, worst small team %.3f; after %v, %.3f", asked, before, worstBefore, after, worstAfter)
			assert.Assert(t, worstBefore < 0.9, "without shares a small team is refused %.3f", 1-worstBefore)
			assert.Equal(t, after[1], asked[1], "requests of small teams that are served")
			total := func(n [2]int) int { return n[0] + n[1] }
			assert.Assert(t, float64(total(after)) >= 0.98*float64(total(before)), "served in all: before %d, after %d", total(before), total(after))
		})
	}
}

// reportOf returns a report of teams that ask for the given rates.
func reportOf(teams map[wire.TeamID]Rate) Report {
	return Report{Demands: []Demand{demandOf(0, teams)}}
}

func demandOf(rank int, teams map[wire.TeamID]Rate) Demand {
	d := Demand{Rank: rank, Count: len(teams)}
	for id, rate := range teams {
		d.Teams = append(d.Teams, TeamRate{id, rate})
		d.Asked += rate
	}
	return d
}

// short returns an input that shows a shortage at a service that does 100 a second.
func short(reports ...Report) Input {
	return Input{Wait: time.Second, Tolerated: time.Second, Capacity: 100, Coverage: 1, Reports: reports}
}

func assertOver(t *testing.T, d Division, teams ...wire.TeamID) {
	t.Helper()
	assert.Equal(t, len(d.Over), len(teams), "teams over their share: %v", d.Over)
	for _, id := range teams {
		assert.Assert(t, d.Over[id] > 0, "team %s", id)
	}
}

// TestDivider guards against teams that are held to a share without need.
func TestDivider(t *testing.T) {
	for _, tc := range []struct {
		name string
		in   Input
		over []wire.TeamID
	}{
		{"nobody asks", short(), nil},
		{"one team alone", short(reportOf(map[wire.TeamID]Rate{"a": 300})), nil},
		{"all ask for more", short(reportOf(map[wire.TeamID]Rate{"a": 300, "b": 200})), []wire.TeamID{"a", "b"}},
		{"enough for all", short(reportOf(map[wire.TeamID]Rate{"a": 80, "b": 10})), nil},
		{"one asks for more", short(reportOf(map[wire.TeamID]Rate{"a": 150, "b": 10})), []wire.TeamID{"a"}},
		{"within the margin", short(reportOf(map[wire.TeamID]Rate{"a": 95, "b": 10})), nil},
		{"in one report only", short(reportOf(map[wire.TeamID]Rate{"a": 150}), reportOf(map[wire.TeamID]Rate{"b": 10}), Report{}), []wire.TeamID{"a"}},
		{"split among reports", short(reportOf(map[wire.TeamID]Rate{"a": 60, "b": 5}), reportOf(map[wire.TeamID]Rate{"a": 60, "c": 5})), []wire.TeamID{"a"}},
		{"no shortage", Input{Wait: time.Second / 4, Tolerated: time.Second / 2, Capacity: 100, Coverage: 1, Reports: []Report{reportOf(map[wire.TeamID]Rate{"a": 150, "b": 10})}}, nil},
		{"a tenth of the routers", Input{Wait: time.Second, Tolerated: time.Second, Capacity: 100, Coverage: 0.1, Reports: []Report{reportOf(map[wire.TeamID]Rate{"a": 15, "b": 1})}}, []wire.TeamID{"a"}},
		{"a service without a queue", Input{Coverage: 1, Reports: []Report{{Admitted: 100, Short: true, Demands: []Demand{demandOf(0, map[wire.TeamID]Rate{"a": 150, "b": 10})}}}}, []wire.TeamID{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d Divider
			assertOver(t, d.Update(start, tc.in), tc.over...)
		})
	}
}

// TestExceeds guards against a team that loses more than what exceeds its share.
func TestExceeds(t *testing.T) {
	for _, ratio := range []float64{0, 0.1, 0.5, 9} {
		n := 0
		for i := range 1000 {
			if Exceeds(ratio, float64(i)/1000) {
				n++
			}
		}
		assert.Assert(t, math.Abs(float64(n)-1000*ratio/(1+ratio)) <= 1, "ratio %v: %d of 1000", ratio, n)
	}
}

// TestWeight guards against weights that are ignored: a team of four times the weight may ask
// for four times as much.
func TestWeight(t *testing.T) {
	in := short(reportOf(map[wire.TeamID]Rate{"a": 75, "b": 45, "c": 1}))
	in.Weight = func(id wire.TeamID) float64 {
		if id == "a" {
			return 4
		}
		return 1
	}
	var d Divider
	assertOver(t, d.Update(start, in), "b")
}

// TestHysteresis guards against a team that changes sides with every measurement, and against
// a shortage that ends because one measurement shows none.
func TestHysteresis(t *testing.T) {
	var d Divider
	at := start
	step := func(in Input) Division {
		at = at.Add(120 * time.Millisecond)
		return d.Update(at, in)
	}
	burst := func(rate Rate) Input { return short(reportOf(map[wire.TeamID]Rate{"a": rate, "b": 10})) }
	first := step(burst(120))
	assertOver(t, first, "a")
	assert.DeepEqual(t, first.Changes, []Change{{"a", true, 120, 90}})
	for _, rate := range []Rate{95, 92, 110, 91} {
		d := step(burst(rate))
		assertOver(t, d, "a")
		assert.Equal(t, len(d.Changes), 0)
	}
	assert.DeepEqual(t, step(burst(85)).Changes, []Change{{"a", false, 85, 85}})
	assertOver(t, step(burst(95)))
	assertOver(t, step(burst(120)), "a")

	calm := burst(120)
	calm.Wait = 0
	for range 24 { // without the shares, the queue would be long again
		assertOver(t, step(calm), "a")
	}
	over := step(calm)
	assertOver(t, over)
	assert.Equal(t, len(over.Changes), 1)

	assertOver(t, step(burst(120)), "a")
	calm = burst(50)
	calm.Wait = 0
	for range 4 {
		assert.Assert(t, step(calm).Short)
	}
	assert.Assert(t, !step(calm).Short, "a shortage without demand")
}

// TestLevelRises guards against teams that change sides because the queue's length, and with it
// what is left to divide, goes up and down.
func TestLevelRises(t *testing.T) {
	var d Divider
	flips := 0
	for i := range 100 {
		in := short(reportOf(map[wire.TeamID]Rate{"a": 150, "b": 33, "c": 10}))
		if i%3 > 0 {
			in.Wait = in.Tolerated * 3 / 2
		}
		flips += len(d.Update(start.Add(time.Duration(i)*120*time.Millisecond), in).Changes)
	}
	assert.Assert(t, flips <= 2, "teams changed sides %d times", flips)
}

// TestCapacityFromAdmitted guards against shares that shrink because the teams are held to
// them, at a service whose capacity is known from what was admitted only.
func TestCapacityFromAdmitted(t *testing.T) {
	var d Divider
	admitted := Rate(100)
	for i := range 25 {
		r := Report{Admitted: admitted, Short: true, Demands: []Demand{demandOf(0, map[wire.TeamID]Rate{"a": 150, "b": 10})}}
		div := d.Update(start.Add(time.Duration(i)*120*time.Millisecond), Input{Coverage: 1, Reports: []Report{r}})
		assertOver(t, div, "a")
		assert.Assert(t, div.Capacity > 70, "capacity %v after %d reports", div.Capacity, i)
		admitted = 60
	}
}

// TestInvalidReport guards against a report of another build or a damaged one that decides
// who is refused.
func TestInvalidReport(t *testing.T) {
	good := reportOf(map[wire.TeamID]Rate{"a": 50, "b": 20})
	for _, tc := range []struct {
		name  string
		wrong Demand
	}{
		{"negative", Demand{Asked: 10, Count: 1, Teams: []TeamRate{{"b", -500}}}},
		{"not a number", Demand{Asked: 10, Count: 1, Teams: []TeamRate{{"b", Rate(math.NaN())}}}},
		{"infinite", Demand{Asked: Rate(math.Inf(1)), Count: 1, Teams: []TeamRate{{"b", Rate(math.Inf(1))}}}},
		{"more than the total", Demand{Asked: 10, Count: 1, Teams: []TeamRate{{"b", 500}}}},
		{"more teams than counted", Demand{Asked: 500, Count: 0, Teams: []TeamRate{{"b", 500}}}},
		{"too many teams", Demand{Asked: 500, Count: 100, Teams: slices.Repeat([]TeamRate{{"b", 5}}, 100)}},
		{"impossible count", Demand{Asked: 500, Count: 1 << 30}},
		{"negative total", Demand{Asked: -5}},
		{"no such rank", Demand{Rank: Ranks, Asked: 500, Count: 1}},
		{"negative rank", Demand{Rank: -1, Asked: 500, Count: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wrong := Report{Demands: []Demand{tc.wrong}}
			assert.Assert(t, !wrong.IsValid())
			var d Divider
			div := d.Update(start, short(good, wrong))
			assertOver(t, div)
			assert.Equal(t, div.Asked, Rate(70))
		})
	}
	for _, ratio := range []float64{-1, math.NaN(), math.Inf(1)} {
		assert.Assert(t, !Over{"a": 1, "b": ratio}.IsValid(), "ratio %v", ratio)
	}
	t.Run("a rank twice", func(t *testing.T) {
		assert.Assert(t, !(&Report{Demands: []Demand{{Asked: 1, Count: 1}, {Asked: 1, Count: 1}}}).IsValid())
	})
}

// TestMeter guards against a meter that grows with the number of teams, that counts work that
// is long past, or that a clock that was set back confuses.
func TestMeter(t *testing.T) {
	var m Meter
	for i := range 2 * maxTeams {
		m.Ask(start, 3, wire.TeamID(fmt.Sprint("t", i)), 1)
	}
	for range 50 {
		m.Ask(start, 3, "t1", 1)
	}
	for _, wrong := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		m.Ask(start, 3, "t2", wrong)
	}
	report := func(now time.Time) Demand {
		t.Helper()
		r := m.Report(now, 3, MaxReportTeams)
		assert.Assert(t, r.IsValid())
		if len(r.Demands) == 0 {
			return Demand{}
		}
		return r.Demands[0]
	}
	d := report(start)
	assert.Equal(t, d.Rank, 3)
	assert.Equal(t, d.Count, maxTeams)
	assert.Equal(t, len(d.Teams), MaxReportTeams)
	assert.DeepEqual(t, d.Teams[0], TeamRate{"t1", 51})
	assert.Equal(t, d.Asked, Rate(2*maxTeams+50))
	assert.Equal(t, len(m.Report(start, 0, MaxReportTeams).Demands[0].Teams), 0, "teams of another rank")

	assert.Equal(t, report(start.Add(-time.Hour)).Teams[0].Rate, Rate(51), "after the clock was set back")
	assert.Equal(t, report(start.Add(time.Minute)).Count, 0)
	m.Ask(start.Add(time.Minute), 3, "late", 1)
	assert.Equal(t, report(start.Add(time.Minute)).Teams[0].Team, wire.TeamID("late"))
	m.Ask(start.Add(time.Minute), -7, "low", 1)
	m.Ask(start.Add(time.Minute), 70, "high", 1)
	ranks := m.Report(start.Add(time.Minute), 0, 1).Demands
	assert.Equal(t, ranks[0].Teams[0].Team, wire.TeamID("low"))
	assert.Equal(t, ranks[2].Rank, Ranks-1)
}

// TestRanks guards against a team that is turned away in the rank that is short because it asks
// for much in another.
func TestRanks(t *testing.T) {
	urgent := demandOf(0, map[wire.TeamID]Rate{"a": 70, "b": 10})
	for _, tc := range []struct {
		name string
		ds   []Demand
		rank int
		over []wire.TeamID
	}{
		{"the least urgent is short", []Demand{urgent, demandOf(4, map[wire.TeamID]Rate{"a": 5, "b": 80, "c": 4})}, 4, []wire.TeamID{"b"}},
		{"the middle is short", []Demand{urgent, demandOf(3, map[wire.TeamID]Rate{"a": 5, "c": 60}), demandOf(4, map[wire.TeamID]Rate{"b": 80})}, 3, []wire.TeamID{"c"}},
		{"the most urgent is short", []Demand{demandOf(0, map[wire.TeamID]Rate{"a": 140, "b": 10}), demandOf(4, map[wire.TeamID]Rate{"b": 80})}, 0, []wire.TeamID{"a"}},
		{"room for all", []Demand{urgent, demandOf(4, map[wire.TeamID]Rate{"b": 10})}, 4, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d Divider
			div := d.Update(start, short(Report{Demands: tc.ds}))
			assertOver(t, div, tc.over...)
			assert.Equal(t, div.Rank, tc.rank)
		})
	}
}

// TestOldReport guards against the last report of a router that has ended counting in full.
func TestOldReport(t *testing.T) {
	r := reportOf(map[wire.TeamID]Rate{"a": 100})
	old := r.Aged(time.Second)
	assert.Assert(t, old.IsValid() && old.Demands[0].Teams[0].Rate < 37 && old.Asked() < 37, "%v", old)
	assert.Equal(t, r.Demands[0].Teams[0].Rate, Rate(100), "the report itself")
}
