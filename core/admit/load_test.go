package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// request is one request of the played load.
type request struct {
	route  *fleet.Route
	need   fleet.RequestSpec
	born   time.Time
	stage  int
	left   int // pieces of the stage
	coming []bool
	failed bool
}

// play runs requests of a route through its stages in virtual time: a queue of
// core/batch for each service with five upstreams. It returns how many were on time,
// late, refused and dropped.
type play struct {
	cfg    *fleet.Config
	now    time.Time
	queues map[fleet.ServiceID]*batch.Queue[*request]
	coming map[fleet.ServiceID]int
	ends   []end
	judge  bool

	onTime, late, refused, dropped int
}

// end is a call that ends at a time.
type end struct {
	at  time.Time
	svc fleet.ServiceID
	up  wire.UpstreamID
	rs  []batch.Piece[*request]
}

const makers = 5

var makerIDs = []wire.UpstreamID{"u0", "u1", "u2", "u3", "u4"}

func newPlay(cfg *fleet.Config, judge bool) *play {
	p := &play{cfg: cfg, now: time.Unix(1000, 0), queues: map[fleet.ServiceID]*batch.Queue[*request]{}, coming: map[fleet.ServiceID]int{}, judge: judge}
	for i := range cfg.Services {
		if s := &cfg.Services[i]; s.StageCalls != nil {
			q := batch.New[*request](*s.StageCalls)
			us := make([]fleet.Upstream, makers)
			for j := range us {
				us[j] = fleet.Upstream{ID: makerIDs[j], Centre: "a"}
			}
			q.SetUpstreams(us)
			p.queues[s.ID] = q
		}
	}
	return p
}

func (p *play) backlog(id fleet.ServiceID) Backlog {
	return Backlog{Waiting: p.queues[id].Len(), Coming: p.coming[id], Rate: p.queues[id].Rate(p.now)}
}

func (p *play) arrive(r *fleet.Route, pieces ...int) {
	q := &request{route: r, need: fleet.RequestSpec{PieceCounts: pieces}, born: p.now, coming: make([]bool, len(pieces))}
	if p.judge {
		f := Predict(p.cfg, r, &q.need, first(r), p.backlog)
		if !Decide(p.cfg, r, f, 5*time.Second, 0, first).OK {
			p.refused++
			return
		}
	}
	for i, s := range r.Stages {
		p.coming[s.Service] += q.need.PieceCount(i)
	}
	p.push(q)
}

func (p *play) push(q *request) {
	s := q.route.Stages[q.stage]
	n := q.need.PieceCount(q.stage)
	p.coming[s.Service] -= n
	q.left = n
	for range n {
		p.queues[s.Service].Push(p.now, batch.Piece[*request]{Value: q, Centre: "a", Aim: q.born.Add(q.route.TargetLatency - 250*ms), Deadline: q.born.Add(5 * time.Second)})
	}
}

// step starts the calls that can start, and ends those whose time has come.
func (p *play) step(d time.Duration) {
	p.now = p.now.Add(d)
	rest := p.ends[:0]
	for _, e := range p.ends {
		if e.at.After(p.now) {
			rest = append(rest, e)
			continue
		}
		p.queues[e.svc].Done(p.now, e.up, batch.Result{})
		for _, piece := range e.rs {
			p.made(piece.Value)
		}
	}
	p.ends = rest
	for i := range p.cfg.Services {
		id, calls := p.cfg.Services[i].ID, p.cfg.Services[i].StageCalls
		if calls == nil {
			continue
		}
		q := p.queues[id]
		for _, up := range makerIDs {
			ps, late, _ := q.Next(p.now, up)
			for _, l := range late {
				p.drop(l.Value)
			}
			if len(ps) > 0 {
				p.ends = append(p.ends, end{p.now.Add(calls.ExpectedTime(len(ps))), id, up, ps})
			}
		}
	}
}

func (p *play) drop(q *request) {
	if !q.failed {
		q.failed = true
		p.dropped++
	}
}

func (p *play) made(q *request) {
	if q.left--; q.left > 0 || q.failed {
		return
	}
	if q.stage++; q.stage < len(q.route.Stages) {
		p.push(q)
		return
	}
	if p.now.Add(250 * ms).After(q.born.Add(q.route.TargetLatency)) {
		p.late++
		return
	}
	p.onTime++
}

// burst plays seven seconds of rate requests a second of the route with three stages.
func burst(t *testing.T, judge bool, rate float64) *play {
	t.Helper()
	cfg := deployment(t)
	p := newPlay(cfg, judge)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 7000 {
		if rng.Float64() < rate/1000 {
			p.arrive(&cfg.Routes[1], 1, 8, 16)
		}
		p.step(ms)
	}
	for range 6000 {
		p.step(ms)
	}
	return p
}

// TestBurst plays the load that the package answers: a burst beyond what one of three
// services can do. School makes 30 pieces in 270 ms on each of five upstreams, which
// is 69 requests of 8 pieces a second.
func TestBurst(t *testing.T) {
	for _, tc := range []struct {
		name string
		rate float64
	}{{"half the capacity", 35}, {"near capacity", 60}, {"a third over", 92}, {"twice", 138}} {
		t.Run(tc.name, func(t *testing.T) {
			plain, judged := burst(t, false, tc.rate), burst(t, true, tc.rate)
			t.Logf("on time, late, refused, dropped: without %d %d %d %d, with %d %d %d %d", plain.onTime, plain.late, plain.refused, plain.dropped,
				judged.onTime, judged.late, judged.refused, judged.dropped)
			most := 0.9 * 69 * 7 // a tenth is lost while the queues fill
			want := min(most, 0.95*tc.rate*7)
			assert.Assert(t, float64(judged.onTime) >= want*0.8, "%d on time of %.0f that the services can do", judged.onTime, want)
			assert.Assert(t, judged.onTime*100 >= plain.onTime*97, "%d on time, %d without", judged.onTime, plain.onTime)
			assert.Assert(t, judged.late*20 <= judged.onTime, "%d late of %d on time", judged.late, judged.onTime)
		})
	}
}
