package batch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

const (
	largeTeam wire.TeamID = "large"
	smallTeam wire.TeamID = "small"
)

// overLarge returns a function for SetOverShare by which the large team is over its share.
func overLarge(ratio float64) func(time.Time, int, wire.TeamID) float64 {
	return func(_ time.Time, _ int, team wire.TeamID) float64 {
		if team == largeTeam {
			return ratio
		}
		return 0
	}
}

// simulateBurst simulates ten seconds in which small teams ask for three fifths of what eight
// upstreams make and a large team for a fifth, for two seconds in the middle for as much as all
// of it. It returns the pieces of both asked for and made on time.
func simulateBurst(overShare func(time.Time, int, wire.TeamID) float64) (asked, onTime map[wire.TeamID]int) {
	const aim, deadline = 900 * time.Millisecond, 4 * time.Second
	asked, onTime = map[wire.TeamID]int{}, map[wire.TeamID]int{}
	q := newQueue("a", "a", "a", "a", "a", "a", "a", "a")
	q.SetOverShare(overShare)
	capacity := q.Rate(start)
	type call struct {
		ends time.Time
		ps   []Piece[string]
	}
	running := map[wire.UpstreamID]*call{}
	due := map[wire.TeamID]float64{}
	for now := start; now.Before(at(10 * time.Second)); now = now.Add(time.Millisecond) {
		rates := map[wire.TeamID]float64{largeTeam: 0.2, smallTeam: 0.6}
		if now.After(at(4*time.Second)) && now.Before(at(6*time.Second)) {
			rates[largeTeam] = 1
		}
		for _, team := range []wire.TeamID{largeTeam, smallTeam} {
			for due[team] += rates[team] * capacity / 1000; due[team] >= 1; due[team]-- {
				if now.Before(at(9 * time.Second)) { // the others may end after the simulation
					asked[team]++
				}
				q.Push(now, Piece[string]{Team: team, Centre: "a", Aim: now.Add(aim), Deadline: now.Add(deadline)})
			}
		}
		for i := range 8 {
			id := wire.UpstreamID(fmt.Sprint("u", i))
			if c := running[id]; c != nil && !c.ends.After(now) {
				for _, p := range c.ps {
					if !now.After(p.Aim) && p.Aim.Before(at(9*time.Second+aim)) {
						onTime[p.Team]++
					}
				}
				q.Done(now, id, CallOutcome{})
				running[id] = nil
			}
			if running[id] != nil {
				continue
			}
			if ps, _, _ := q.Next(now, id); len(ps) > 0 {
				running[id] = &call{now.Add(calls.ExpectedTime(len(ps))), ps}
			}
		}
	}
	return asked, onTime
}

// TestBurstOfLargeTeam guards against a queue in which the burst of a team over its share makes
// the other teams late, and against one that wastes the room that they leave.
func TestBurstOfLargeTeam(t *testing.T) {
	asked, before := simulateBurst(nil)
	_, after := simulateBurst(overLarge(1.5))
	t.Logf("asked %v; on time in the order without shares %v, with shares %v", asked, before, after)
	assert.Assert(t, before[smallTeam]*100 < 95*asked[smallTeam])
	assert.Assert(t, after[smallTeam]*100 >= 98*asked[smallTeam])
	sum := func(n map[wire.TeamID]int) int { return n[largeTeam] + n[smallTeam] }
	assert.Assert(t, sum(after)*100 >= 98*sum(before), "on time in all: before %d, after %d", sum(before), sum(after))
}

// TestOverShareOrder guards against pieces of a team over its share that are held back although
// all can be on time, or behind a less urgent rank.
func TestOverShareOrder(t *testing.T) {
	large := func(v string, rank int, aim time.Duration) Piece[string] {
		p := piece(v, aim, 10*time.Second)
		p.Team, p.Rank = largeTeam, rank
		return p
	}
	small := func(v string, rank int, aim time.Duration) Piece[string] {
		p := piece(v, aim, 10*time.Second)
		p.Team, p.Rank = smallTeam, rank
		return p
	}
	for _, tc := range []struct {
		name string
		ps   []Piece[string]
		want []string
	}{
		{"room for all", []Piece[string]{large("a", 0, 400*time.Millisecond), small("b", 0, 500*time.Millisecond)}, []string{"a", "b"}},
		{
			"all late, by rank first",
			[]Piece[string]{large("a", 0, 10*time.Millisecond), small("b", 0, 20*time.Millisecond), small("c", 1, 10*time.Millisecond), large("d", 1, 5*time.Millisecond)},
			[]string{"b", "a", "c", "d"},
		},
		{
			"not all on time",
			append([]Piece[string]{
				large("a", 0, 300*time.Millisecond), small("b", 0, 310*time.Millisecond), small("c", 1, 305*time.Millisecond), small("d", 1, 320*time.Millisecond),
				small("e", 0, 290*time.Millisecond),
			}, pieces(12, small("f", 1, 330*time.Millisecond))...),
			[]string{"e", "c", "b", "a", "d", "f0", "f1", "f2"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := newQueue("a")
			q.SetOverShare(overLarge(1e9))
			q.Push(start, tc.ps...)
			assert.DeepEqual(t, values(assertNext(t, q, start, "u0", len(tc.want))), tc.want)
		})
	}
	t.Run("resumed", func(t *testing.T) {
		q := newQueue("a")
		q.SetOverShare(overLarge(1e9))
		p := large("a", 0, 10*time.Millisecond)
		p.Resumed = true
		q.Push(start, small("b", 0, 5*time.Millisecond), p)
		assert.DeepEqual(t, values(assertNext(t, q, start, "u0", 2)), []string{"a", "b"})
	})
}

// BenchmarkNextOver is BenchmarkNext with pieces of 16 teams of which one is over its share.
func BenchmarkNextOver(b *testing.B) {
	centres := make([]wire.DataCentreID, 48)
	for i := range centres {
		centres[i] = []wire.DataCentreID{"a", "b", "c"}[i%3]
	}
	q := newQueue(centres...)
	q.SetOverShare(overLarge(1e9))
	for i := range 400 {
		team := largeTeam
		if i%3 > 0 {
			team = wire.TeamID(fmt.Sprint("small", i%15))
		}
		q.Push(start, Piece[string]{Team: team, Centre: centres[i%3], Size: 3_000_000, Moved: 3_000_000, Aim: at(time.Duration(i) * 5 * time.Millisecond), Deadline: at(time.Hour)})
	}
	for b.Loop() {
		ps, _, _ := q.Next(at(time.Second), "u0")
		q.Done(at(time.Second), "u0", CallOutcome{Reserved: fleet.Bytes(len(ps)) * 3_000_000})
		q.Push(start, ps...)
	}
}
