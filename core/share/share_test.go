package share

import (
	"flag"
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

// A fixed seed makes every run check the same cases; the flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1000, 0)

func entry(team string, weight int, rank wire.Rank, cost int64) Entry[int] {
	return Entry[int]{Team: wire.TeamID(team), Weight: weight, Rank: rank, Cost: cost}
}

func push(t testing.TB, q *Queue[int], e Entry[int]) {
	t.Helper()
	reason, ok := q.Push(start, e)
	assert.Assert(t, ok, "push: %s", reason)
}

func pop(t testing.TB, q *Queue[int]) Entry[int] {
	t.Helper()
	e, expired, ok := q.Pop(start)
	assert.Assert(t, ok && len(expired) == 0)
	return e
}

// TestLimits guards against a queue that grows without limit and against one team
// that fills the queue for all others.
func TestLimits(t *testing.T) {
	q := New[int](5)
	for i, c := range []struct {
		team      wire.TeamID
		rank      wire.Rank
		teamLimit wire.Slots
		latest    time.Time
		reason    wire.Reason
	}{
		{"a", wire.RankInteractive, 2, time.Time{}, ""},
		{"a", wire.RankBatch, 2, start, ""},
		{"a", wire.RankBatch, 2, time.Time{}, wire.ReasonQueue},
		{"b", wire.RankBatch, 2, start.Add(-1), wire.ReasonDeadline},
		{"b", wire.RankBatch, 4, time.Time{}, ""},
		{"b", wire.RankBatch, 4, time.Time{}, ""},
		{"b", wire.RankBatch, 4, time.Time{}, ""},
		{"b", wire.RankBatch, 4, time.Time{}, wire.ReasonQueue},
		{"c", wire.RankInteractive, 0, time.Time{}, wire.ReasonQueue},
	} {
		reason, ok := q.Push(start, Entry[int]{Team: c.team, Rank: c.rank, TeamLimit: c.teamLimit, LatestStart: c.latest})
		assert.Equal(t, reason, c.reason, "push %d", i)
		assert.Equal(t, ok, c.reason == "")
	}
	assert.Equal(t, q.Len(), wire.Slots(5))
	assert.DeepEqual(t, q.View(), []TeamView{{"a", 1, 1, 0}, {"b", 0, 3, 0}})

	q = New[int](0)
	for range 64 {
		push(t, q, entry("a", 1, wire.RankBatch, 1))
	}
	_, ok := q.Push(start, entry("a", 1, wire.RankBatch, 1))
	assert.Assert(t, !ok, "default limit")
}

// TestLatestStart guards against serving entries whose latest start has passed, and
// against keeping such entries behind the head of their team's queue.
func TestLatestStart(t *testing.T) {
	q := New[int](0)
	for i, after := range []time.Duration{3, 1, 0, 2} {
		e := Entry[int]{Team: "a", Value: i}
		if after > 0 {
			e.LatestStart = start.Add(after)
		}
		push(t, q, e)
	}
	e, expired, ok := q.Pop(start.Add(2))
	assert.Assert(t, ok && e.Value == 0 && len(expired) == 1 && expired[0].Value == 1)
	expired = q.Expire(start.Add(5))
	assert.Assert(t, len(expired) == 1 && expired[0].Value == 3)
	assert.Equal(t, pop(t, q).Value, 2)
	push(t, q, Entry[int]{Team: "a", LatestStart: start})
	_, expired, ok = q.Pop(start.Add(1))
	assert.Assert(t, !ok && len(expired) == 1, "an expired entry and none to serve")
}

// TestRemove guards against serving a cancelled request and against removing another.
func TestRemove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](0)
		waiting := map[int]bool{}
		for i, op := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60).Draw(t, "ops") {
			if op < 6 {
				_, ok := q.Push(start, Entry[int]{Team: wire.TeamID(fmt.Sprint(op % 3)), Cost: 5, Value: i})
				waiting[i] = ok
				continue
			}
			victim := rapid.IntRange(0, i).Draw(t, "victim")
			if q.Remove(func(v int) bool { return v == victim }) != waiting[victim] {
				t.Fatalf("entry %d waiting: %v", victim, waiting[victim])
			}
			delete(waiting, victim)
		}
		for range len(waiting) {
			e, _, ok := q.Pop(start)
			if !ok || !waiting[e.Value] {
				t.Fatalf("popped %d, %v", e.Value, ok)
			}
			delete(waiting, e.Value)
		}
		if q.Len() != 0 {
			t.Fatalf("%d entries left", q.Len())
		}
	})
}

// TestShares guards against teams that get more or less of the actual cost than their
// weight entitles them to while all wait, for any costs and estimates, and against
// batch work that gets less or much more than 10%.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type teamSpec struct {
			weight       int
			cost, actual int64
		}
		specs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) teamSpec {
			return teamSpec{
				rapid.IntRange(1, 9).Draw(t, "weight"), rapid.Int64Range(1, 50).Draw(t, "cost"),
				rapid.Int64Range(1, 50).Draw(t, "actual"),
			}
		}), 2, 5).Draw(t, "kinds")
		withBatch := rapid.Bool().Draw(t, "batch")
		q := New[int](0)
		add := func(i int, rank wire.Rank) {
			cost := specs[i].cost
			if rank == wire.RankBatch { // the estimates of the classes are wrong by different factors
				cost = specs[i].actual/2 + 1
			}
			e := entry(fmt.Sprint(rank, i), specs[i].weight, rank, cost)
			e.Value = i
			q.Push(start, e)
		}
		ranks := []wire.Rank{wire.RankInteractive, wire.RankBatch}[:1]
		if withBatch {
			ranks = ranks[:2]
		}
		for i := range specs {
			for _, rank := range ranks {
				add(i, rank)
				add(i, rank)
			}
		}
		served, total := map[wire.Rank][]float64{}, map[wire.Rank]float64{}
		for _, rank := range ranks {
			served[rank] = make([]float64, len(specs))
		}
		for range 6000 {
			e, _, ok := q.Pop(start)
			if !ok {
				t.Fatal("empty")
			}
			spec := specs[e.Value]
			q.Charge(e.Team, spec.actual-e.Cost)
			served[e.Rank][e.Value] += float64(spec.actual)
			total[e.Rank] += float64(spec.actual)
			add(e.Value, e.Rank)
		}
		weights := 0
		for _, spec := range specs {
			weights += spec.weight
		}
		for rank, all := range total {
			for i, spec := range specs {
				want := all * float64(spec.weight) / float64(weights)
				// An entry of 50 at weight 1 moves the virtual time by 50.
				if math.Abs(served[rank][i]-want) > 100*float64(weights) {
					t.Fatalf("%s team %d of weight %d got %v of %v, want %v", rank, i, spec.weight, served[rank][i], all, want)
				}
			}
		}
		if all := total[wire.RankInteractive] + total[wire.RankBatch]; withBatch && math.Abs(total[wire.RankBatch]-all/10) > 100 {
			t.Fatalf("batch got %v of %v", total[wire.RankBatch], all)
		}
	})
}

// TestServiceOrder guards against serving teams and classes in the wrong order. A step
// is "+" to push an entry, "=" to pop and compare ("-" expects none), "~" to remove
// or "$" to charge. "a5" is an interactive entry of team a with cost 5, "A5" a batch
// entry.
func TestServiceOrder(t *testing.T) {
	for name, steps := range map[string]string{
		"equal teams":                     "+a1 +a1 +b1 +b1 =a =b =a =b",
		"charge more":                     "+a9 +b9 +c9 +a9 +b9 +c9 =a =b =c $a5 =b =c =a",
		"charge less":                     "+a9 +b9 +c9 +a9 +b9 +c9 =a =b =c $c-5 =c =a =b",
		"charge of the other class":       "+a9 +b9 +a9 +b9 =a =b $A99 =a =b",
		"minimum cost":                    "+a-5 +b1 +a-5 +b1 +a-5 +b1 =a =b =a =b =a =b",
		"interactive first":               "+A1 +b1 =b =A",
		"batch share":                     "+A1 +A1 +A1 +b1 +b1 +b1 +b1 +b1 +b1 +b1 +b1 +b1 +b1 +b1 =b =A =b =b =b =b =b =b =b =b =b =A =b",
		"no credit before batch waits":    "+a99 +a99 +a99 =a =a =a +B1 +B1 +a1 +a1 =a =B =a",
		"no credit after batch emptied":   "+B1 +a99 +a1 =a ~B +B1 =a",
		"no debt for idle capacity":       "+B99 =B +B99 =B +a1 +a1 +B1 =a =B =a",
		"idle team earns no credit":       "+a9 +a9 +a9 +a9 +a9 =a =a =a +b9 +b9 +b9 =b =a =b =a =b",
		"team pause keeps costs":          "+a50 +b9 +b9 =a =b +a9 =b =a",
		"idle capacity cancels costs":     "+a9 +b9 =a =b $a99 =- +a9 +b9 =a =b",
		"charges after idle capacity too": "+a9 +b9 =a =b =- $a99 +a9 +b9 +b9 =b =b =a",
	} {
		t.Run(name, func(t *testing.T) {
			q := New[int](0)
			for i, step := range strings.Fields(steps) {
				team, rank := strings.ToLower(step[1:2]), wire.RankInteractive
				if team != step[1:2] {
					rank = wire.RankBatch
				}
				cost, _ := strconv.ParseInt(step[2:], 10, 64)
				switch step[0] {
				case '+':
					push(t, q, Entry[int]{Team: wire.TeamID(team), Rank: rank, Cost: cost, Value: int(step[1])})
				case '$':
					q.ChargeRank(wire.TeamID(team), rank, cost)
				case '~':
					assert.Assert(t, q.Remove(func(v int) bool { return v == int(step[1]) }))
				case '=':
					e, _, ok := q.Pop(start)
					assert.Assert(t, ok == (team != "-") && (!ok || e.Value == int(step[1])), "step %d: %s got %c", i, step, e.Value)
				}
			}
		})
	}
}

// TestTeams guards against a table of teams that grows without limit.
func TestTeams(t *testing.T) {
	q := New[int](0)
	push(t, q, entry("waits", 1, wire.RankInteractive, 1000))
	push(t, q, entry("waits", 1, wire.RankInteractive, 1000))
	pop(t, q)
	q.Charge("waits", 5)
	q.Charge("unknown", 5)
	for i := range 2 * maxTeams {
		push(t, q, entry(fmt.Sprint(i), 1, wire.RankInteractive, 1))
		pop(t, q)
	}
	views := q.View()
	assert.Assert(t, len(views) <= maxTeams)
	assert.Equal(t, views[len(views)-1], TeamView{"waits", 1, 0, 1005})
	assert.Equal(t, pop(t, q).Team, wire.TeamID("waits"))
}

func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{5, 800} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			q := New[int](0)
			es := make([]Entry[int], teams)
			for i := range es {
				es[i] = Entry[int]{Team: wire.TeamID(fmt.Sprint("team-", i)), Weight: i%9 + 1, Cost: 100, LatestStart: start.Add(time.Duration(i))}
				push(b, q, es[i])
			}
			for n := 0; b.Loop(); n++ {
				e, _, _ := q.Pop(start)
				q.Charge(e.Team, 7)
				q.Push(start, e)
			}
		})
	}
}
