package shard

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// archive describes a service with large results, as in core/batch.
var archive = fleet.StageCalls{
	Slots: 1, MaxBatch: 10, CallOverhead: 150 * time.Millisecond, PieceTime: 13 * time.Millisecond,
	ResultCapacity: 580_000_000, ResultTTL: 4 * time.Second,
}

const resultSize fleet.Bytes = 3_000_000

// reportAge is how old the waits are that routers choose by: several heartbeats, since
// they pass from router to router.
const reportAge = 300 * time.Millisecond

// play is a simulated service whose upstreams are divided among queues.
type play struct {
	shards  []Shard
	queues  []*batch.Queue[int]
	reports []Candidate
	running map[wire.UpstreamID]*call
	made    int // pieces made
	onTime  int // pieces made before their aim
	moved   int // pieces made outside the data centre that reads them
	orders  []int
}

// call is a stage call in progress.
type call struct {
	ends time.Time
	ps   []batch.Piece[int]
}

func newPlay(shards []Shard) *play {
	p := &play{shards: shards, reports: make([]Candidate, len(shards)), running: map[wire.UpstreamID]*call{}, orders: make([]int, len(shards))}
	for i, s := range shards {
		q := batch.New[int](archive)
		q.SetUpstreams(s.Upstreams)
		p.queues = append(p.queues, q)
		p.reports[i].ID = s.ID
	}
	return p
}

// report updates the waits that orders are placed by.
func (p *play) report(now time.Time) {
	for i, q := range p.queues {
		p.reports[i].Wait = time.Duration(float64(q.Len()) / q.Rate(now) * float64(time.Second))
	}
}

// step ends and starts the calls of a queue.
func (p *play) step(now time.Time, i int) {
	q := p.queues[i]
	for _, u := range p.shards[i].Upstreams {
		if c := p.running[u.ID]; c != nil {
			if c.ends.After(now) {
				continue
			}
			for _, piece := range c.ps {
				p.made++
				if !now.After(piece.Aim) {
					p.onTime++
				}
				if piece.Centre != u.Centre {
					p.moved++
				}
			}
			q.Done(now, u.ID, batch.CallOutcome{Reserved: fleet.Bytes(len(c.ps)) * resultSize})
			delete(p.running, u.ID)
		}
		if ps, _, _ := q.Next(now, u.ID); len(ps) > 0 {
			p.running[u.ID] = &call{now.Add(archive.ExpectedTime(len(ps))), ps}
		}
	}
}

// run plays 20 s of requests of one to four pieces each, at a fraction of the capacity in
// full calls. weights are the shares of the data centres in the requests. choose returns
// the queue of an order that is read in centre.
func (p *play) run(loadFraction float64, weights []int, choose func(p *play, centre wire.DataCentreID, rng *rand.Rand) int) {
	const aim, deadline = 800 * time.Millisecond, 4 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	upstreams, total := 0, 0
	for _, s := range p.shards {
		upstreams += len(s.Upstreams)
	}
	for _, w := range weights {
		total += w
	}
	capacity := float64(upstreams*archive.MaxBatch) / archive.ExpectedTime(archive.MaxBatch).Seconds()
	start := time.Unix(1000, 0)
	nextArrival, nextReport := start, start
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		if !nextReport.After(now) {
			p.report(now)
			nextReport = now.Add(reportAge)
		}
		for !nextArrival.After(now) {
			c, centre := rng.IntN(total), 0
			for c -= weights[0]; c >= 0; c -= weights[centre] {
				centre++
			}
			id := wire.DataCentreID(rune('a' + centre))
			i := choose(p, id, rng)
			p.orders[i]++
			for range 1 + rng.IntN(4) {
				p.queues[i].Push(now, batch.Piece[int]{Centre: id, Size: resultSize, Moved: resultSize, Aim: now.Add(aim), Deadline: now.Add(deadline)})
			}
			nextArrival = nextArrival.Add(time.Duration(rng.ExpFloat64() * 2.5 / (loadFraction * capacity) * float64(time.Second)))
		}
		for i := range p.queues {
			p.step(now, i)
		}
	}
}

// chosen places an order as routers do.
func chosen(p *play, centre wire.DataCentreID, rng *rand.Rand) int {
	return Choose(p.reports, centre, archive.CallOverhead, rng.IntN)
}

// only places all orders in the first queue.
func only(*play, wire.DataCentreID, *rand.Rand) int { return 0 }

// TestLoad plays bursts at a service of 46 upstreams in five data centres. It guards
// against a division whose callers get their results later than from a single queue, whose
// results cross data centres more often, or which still leaves one owner most of the
// orders.
func TestLoad(t *testing.T) {
	us := upstreams(10, 9, 9, 9, 9)
	for _, tc := range []struct {
		name         string
		loadFraction float64
		weights      []int
		moved        int // maximum in percent
		onTime       int // minimum in percent
	}{
		{"calm", 0.6, []int{10, 9, 9, 9, 9}, 20, 99},
		{"busy", 0.95, []int{10, 9, 9, 9, 9}, 20, 95},
		{"uneven", 0.9, []int{16, 8, 8, 7, 7}, 40, 95},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlay(Divide("archive", us))
			p.run(tc.loadFraction, tc.weights, chosen)
			single := newPlay([]Shard{{ID{Service: "archive"}, us}})
			single.run(tc.loadFraction, tc.weights, only)
			total, most := 0, 0
			for _, n := range p.orders {
				total += n
				most = max(most, n)
			}
			t.Logf("%d queues: %d pieces, %.1f %% on time, %.1f %% moved, at most %d of %d orders at one owner; one queue: %d, %.1f %%, %.1f %%", len(p.shards),
				p.made, percent(p.onTime, p.made), percent(p.moved, p.made), most, total, single.made, percent(single.onTime, single.made), percent(single.moved, single.made))
			assert.Assert(t, p.onTime*100 >= tc.onTime*p.made)
			assert.Assert(t, p.moved*100 <= tc.moved*p.made)
			assert.Assert(t, most*2 < total)
		})
	}
}

func percent(n, total int) float64 { return 100 * float64(n) / float64(total) }
