package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// archive describes a service with large results. 16 upstreams make at most 571 pieces
// per second.
var archive = fleet.StageCalls{
	Slots: 1, MaxBatch: 10, CallOverhead: 150 * time.Millisecond, PieceTime: 13 * time.Millisecond,
	ResultCapacity: 560_000_000, ResultTTL: 4 * time.Second,
}

const archivePieces = 571

// loadResult counts the pieces made in simulateLoad: all, those that met their aim, and
// those made outside the data centre that reads the result.
type loadResult struct{ made, onTime, moved int }

// simulateLoad simulates 20 s of requests of one to four pieces each. part is the load as
// a fraction of what the upstreams make in full calls; weights are the shares of the data
// centres a, b and c in the requests.
func simulateLoad(part float64, weights [3]int) (l loadResult) {
	const aim, latest = 800 * time.Millisecond, 4 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	centres := []wire.DataCentreID{"a", "b", "c"}
	var us []fleet.Upstream
	for i, n := range []int{6, 5, 5} {
		for j := range n {
			us = append(us, fleet.Upstream{ID: wire.UpstreamID(fmt.Sprint(centres[i], j)), Centre: centres[i]})
		}
	}
	q := New[string](archive)
	q.SetUpstreams(us)
	type call struct {
		ends time.Time
		ps   []Piece[string]
	}
	running := map[wire.UpstreamID]*call{}
	next := start
	for now := start; now.Before(at(20 * time.Second)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			c, n := rng.IntN(weights[0]+weights[1]+weights[2]), 1+rng.IntN(4)
			centre := centres[0]
			switch {
			case c >= weights[0]+weights[1]:
				centre = centres[2]
			case c >= weights[0]:
				centre = centres[1]
			}
			p := Piece[string]{Centre: centre, Size: 3_000_000, Moved: 3_000_000, Aim: now.Add(aim), Deadline: now.Add(latest)}
			q.Push(now, pieces(n, p)...)
			next = next.Add(time.Duration(rng.ExpFloat64() * 2.5 / (part * archivePieces) * float64(time.Second)))
		}
		for _, u := range us {
			if r := running[u.ID]; r != nil && !r.ends.After(now) {
				for _, p := range r.ps {
					l.made++
					if !now.After(p.Aim) {
						l.onTime++
					}
					if p.Centre != u.Centre {
						l.moved++
					}
				}
				q.Done(now, u.ID, CallOutcome{Reserved: fleet.Bytes(len(r.ps)) * 3_000_000})
				running[u.ID] = nil
			}
			if running[u.ID] != nil {
				continue
			}
			if ps, _, _ := q.Next(now, u.ID); len(ps) > 0 {
				running[u.ID] = &call{now.Add(archive.ExpectedTime(len(ps))), ps}
			}
		}
	}
	return l
}

// TestLocality guards against large results that are sent between data centres only
// because all upstreams are busy, and against a data centre that gets no help although
// it has more work than it can do.
func TestLocality(t *testing.T) {
	for _, tc := range []struct {
		name    string
		part    float64
		weights [3]int
		moved   int // maximum in percent
		onTime  int // minimum in percent
	}{
		{"calm", 0.6, [3]int{6, 5, 5}, 20, 99},
		{"busy", 0.95, [3]int{6, 5, 5}, 20, 95},
		{"too much", 1.1, [3]int{6, 5, 5}, 20, 0},
		{"uneven", 0.9, [3]int{10, 3, 3}, 40, 95},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := simulateLoad(tc.part, tc.weights)
			t.Logf("%d made, %d percent on time, %d percent moved", l.made, l.onTime*100/l.made, l.moved*100/l.made)
			assert.Assert(t, l.moved*100 <= tc.moved*l.made)
			assert.Assert(t, l.onTime*100 >= tc.onTime*l.made)
		})
	}
}
