package share

import (
	"flag"
	"fmt"
	"math"
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
	e, late, ok := q.Pop(start)
	assert.Assert(t, ok && len(late) == 0)
	return e
}

// TestBounds guards against a queue that grows without bound and against one
// team that takes the room of others.
func TestBounds(t *testing.T) {
	q := New[int](5)
	for i, c := range []struct {
		team   wire.TeamID
		rank   wire.Rank
		bound  wire.Slots
		latest time.Time
		reason wire.Reason
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
		reason, ok := q.Push(start, Entry[int]{Team: c.team, Rank: c.rank, Bound: c.bound, Latest: c.latest})
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
	assert.Assert(t, !ok, "default bound")
}

// TestLate guards against serving entries that can't meet their deadline, and
// against keeping those behind the head of their team's queue.
func TestLate(t *testing.T) {
	q := New[int](0)
	for i, after := range []time.Duration{3, 1, 0, 2} {
		e := Entry[int]{Team: "a", Value: i}
		if after > 0 {
			e.Latest = start.Add(after)
		}
		push(t, q, e)
	}
	e, late, ok := q.Pop(start.Add(2))
	assert.Assert(t, ok && e.Value == 0 && len(late) == 1 && late[0].Value == 1)
	late = q.Expire(start.Add(5))
	assert.Assert(t, len(late) == 1 && late[0].Value == 3)
	assert.Equal(t, pop(t, q).Value, 2)
	push(t, q, Entry[int]{Team: "a", Latest: start})
	_, late, ok = q.Pop(start.Add(1))
	assert.Assert(t, !ok && len(late) == 1, "late entries without one to serve")
}

// TestRemove guards against serving a cancelled request and against removing others.
func TestRemove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](0)
		left := map[int]bool{}
		for i, op := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60).Draw(t, "ops") {
			if op < 6 {
				_, ok := q.Push(start, Entry[int]{Team: wire.TeamID(fmt.Sprint(op % 3)), Cost: 5, Value: i})
				left[i] = ok
				continue
			}
			victim := rapid.IntRange(0, i).Draw(t, "victim")
			if q.Remove(func(v int) bool { return v == victim }) != left[victim] {
				t.Fatalf("entry %d waiting: %v", victim, left[victim])
			}
			delete(left, victim)
		}
		for range len(left) {
			e, _, ok := q.Pop(start)
			if !ok || !left[e.Value] {
				t.Fatalf("popped %d, %v", e.Value, ok)
			}
			delete(left, e.Value)
		}
		if q.Len() != 0 {
			t.Fatalf("%d entries left", q.Len())
		}
	})
}

// TestShares guards against teams that get more or less than their weight's part
// of the actual cost while all wait, whatever their costs and estimates, and
// against batch work that gets less or much more than 10%.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type kind struct {
			weight       int
			cost, actual int64
		}
		kinds := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) kind {
			return kind{
				rapid.IntRange(1, 9).Draw(t, "weight"), rapid.Int64Range(1, 50).Draw(t, "cost"),
				rapid.Int64Range(1, 50).Draw(t, "actual"),
			}
		}), 2, 5).Draw(t, "kinds")
		withBatch := rapid.Bool().Draw(t, "batch")
		q := New[int](0)
		add := func(i int, rank wire.Rank) {
			cost := kinds[i].cost
			if rank == wire.RankBatch { // the estimates of the classes are wrong by different factors
				cost = kinds[i].actual/2 + 1
			}
			e := entry(fmt.Sprint(rank, i), kinds[i].weight, rank, cost)
			e.Value = i
			q.Push(start, e)
		}
		ranks := []wire.Rank{wire.RankInteractive, wire.RankBatch}[:1]
		if withBatch {
			ranks = ranks[:2]
		}
		for i := range kinds {
			for _, rank := range ranks {
				add(i, rank)
				add(i, rank)
			}
		}
		served, total := map[wire.Rank][]float64{}, map[wire.Rank]float64{}
		for _, rank := range ranks {
			served[rank] = make([]float64, len(kinds))
		}
		for range 6000 {
			e, _, ok := q.Pop(start)
			if !ok {
				t.Fatal("empty")
			}
			k := kinds[e.Value]
			q.Charge(e.Team, k.actual-e.Cost)
			served[e.Rank][e.Value] += float64(k.actual)
			total[e.Rank] += float64(k.actual)
			add(e.Value, e.Rank)
		}
		weights := 0
		for _, k := range kinds {
			weights += k.weight
		}
		for rank, all := range total {
			for i, k := range kinds {
				want := all * float64(k.weight) / float64(weights)
				// An entry of 50 at weight 1 moves the virtual time by 50.
				if math.Abs(served[rank][i]-want) > 100*float64(weights) {
					t.Fatalf("%s team %d of weight %d got %v of %v, want %v", rank, i, k.weight, served[rank][i], all, want)
				}
			}
		}
		if all := total[wire.RankInteractive] + total[wire.RankBatch]; withBatch && math.Abs(total[wire.RankBatch]-all/10) > 100 {
			t.Fatalf("batch got %v of %v", total[wire.RankBatch], all)
		}
	})
}

// TestClasses guards against batch work before interactive work, against a claim
// gathered while no batch work waited, and against a debt from capacity left over.
func TestClasses(t *testing.T) {
	q := New[int](0)
	for range 20 { // no batch work waits
		push(t, q, entry("a", 1, wire.RankInteractive, 100))
	}
	for range 20 {
		pop(t, q)
	}
	for range 8 { // batch work alone
		push(t, q, entry("b", 1, wire.RankBatch, 100))
		pop(t, q)
	}
	ranks := ""
	for range 12 {
		push(t, q, entry("a", 1, wire.RankInteractive, 10))
		push(t, q, entry("b", 1, wire.RankBatch, 10))
	}
	for range 12 {
		ranks += string(pop(t, q).Rank[:1])
	}
	assert.Equal(t, ranks, "ibiiiiiiiiib")

	q = New[int](0)
	push(t, q, Entry[int]{Team: "b", Rank: wire.RankBatch, Value: 1})
	push(t, q, entry("a", 1, wire.RankInteractive, 1000))
	push(t, q, entry("a", 1, wire.RankInteractive, 1))
	pop(t, q)
	assert.Assert(t, q.Remove(func(v int) bool { return v == 1 })) // its claim of 1000 ends with it
	push(t, q, entry("b", 1, wire.RankBatch, 1))
	assert.Equal(t, pop(t, q).Rank, wire.RankInteractive)
}

func next(t testing.TB, q *Queue[int], n int) (teams string) {
	for range n {
		teams += string(pop(t, q).Team)
	}
	return teams
}

// TestCharge guards against charges that take effect late or not at all, and
// against a cost or weight of 0 that gives a team everything.
func TestCharge(t *testing.T) {
	q := New[int](0)
	for range 3 {
		for _, team := range []string{"a", "b", "c"} {
			push(t, q, entry(team, 1, wire.RankInteractive, 10))
		}
	}
	assert.Equal(t, next(t, q, 3), "abc")
	q.Charge("a", 5)
	q.ChargeRank("c", wire.RankInteractive, -5)
	q.ChargeRank("b", wire.RankBatch, 100) // b's interactive work doesn't pay for it
	q.Charge("unknown", 5)
	assert.Equal(t, next(t, q, 4), "cbac")
	assert.Equal(t, q.View()[0].Served, int64(25))

	q = New[int](0)
	for range 3 {
		push(t, q, entry("a", 0, wire.RankInteractive, -5))
		push(t, q, entry("b", 1, wire.RankInteractive, 1))
	}
	assert.Equal(t, next(t, q, 6), "ababab")
}

// TestIdle guards against credit saved up while a team has no work and against
// a team that escapes its costs by pausing, and against costs held against a
// team after the queue was empty.
func TestIdle(t *testing.T) {
	q := New[int](0)
	for range 10 {
		push(t, q, entry("a", 1, wire.RankInteractive, 10))
	}
	next(t, q, 6)
	for range 4 { // b was idle and is not owed what a got
		push(t, q, entry("b", 1, wire.RankInteractive, 10))
	}
	assert.Equal(t, next(t, q, 4), "baba")
	push(t, q, entry("c", 1, wire.RankInteractive, 60))
	push(t, q, entry("c", 1, wire.RankInteractive, 1))
	assert.Equal(t, next(t, q, 6), "bcabac")

	q = New[int](0)
	push(t, q, entry("a", 1, wire.RankInteractive, 50))
	push(t, q, entry("b", 1, wire.RankInteractive, 10))
	push(t, q, entry("b", 1, wire.RankInteractive, 10))
	assert.Equal(t, next(t, q, 2), "ab") // a's queue is empty now
	push(t, q, entry("a", 1, wire.RankInteractive, 10))
	assert.Equal(t, next(t, q, 2), "ba")
	q.Charge("a", 1000)
	_, _, ok := q.Pop(start) // capacity is left over
	assert.Assert(t, !ok)
	push(t, q, entry("a", 1, wire.RankInteractive, 10))
	push(t, q, entry("b", 1, wire.RankInteractive, 10))
	assert.Equal(t, next(t, q, 2), "ab")
}

// TestTeams guards against a table of teams that grows without bound.
func TestTeams(t *testing.T) {
	q := New[int](0)
	push(t, q, entry("waits", 1, wire.RankInteractive, 1000))
	push(t, q, entry("waits", 1, wire.RankInteractive, 1000))
	pop(t, q)
	for i := range 2 * maxTeams {
		push(t, q, entry(fmt.Sprint(i), 1, wire.RankInteractive, 1))
		pop(t, q)
	}
	views := q.View()
	assert.Assert(t, len(views) <= maxTeams)
	assert.Equal(t, views[len(views)-1], TeamView{"waits", 1, 0, 1000})
	assert.Equal(t, pop(t, q).Team, wire.TeamID("waits"))
}

func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{5, 800} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			q := New[int](0)
			es := make([]Entry[int], teams)
			for i := range es {
				es[i] = Entry[int]{Team: wire.TeamID(fmt.Sprint("team-", i)), Weight: i%9 + 1, Cost: 100, Latest: start.Add(time.Duration(i))}
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
