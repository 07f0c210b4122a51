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

// request is one request of the simulated load.
type request struct {
	route   *fleet.Route
	need    fleet.RequestSpec
	arrived time.Time
	stage   int
	left    int // pieces of the current stage that are not made yet
	coming  []bool
	failed  bool
}

// simulation runs requests through the stages of their routes in virtual time, with a
// batch.Queue and five upstreams for each stage service. It counts the requests that
// were on time, late, refused and dropped.
type simulation struct {
	cfg       *fleet.Config
	now       time.Time
	queues    map[fleet.ServiceID]*batch.Queue[*request]
	coming    map[fleet.ServiceID]int
	running   []runningCall
	admission bool

	onTime, late, refused, dropped int
}

// runningCall is a call in progress; at is the time at which it ends.
type runningCall struct {
	at  time.Time
	svc fleet.ServiceID
	up  wire.UpstreamID
	rs  []batch.Piece[*request]
}

const upstreamCount = 5

var upstreamIDs = []wire.UpstreamID{"u0", "u1", "u2", "u3", "u4"}

func newSimulation(cfg *fleet.Config, judge bool) *simulation {
	p := &simulation{cfg: cfg, now: time.Unix(1000, 0), queues: map[fleet.ServiceID]*batch.Queue[*request]{}, coming: map[fleet.ServiceID]int{}, admission: judge}
	for i := range cfg.Services {
		if s := &cfg.Services[i]; s.StageCalls != nil {
			q := batch.New[*request](*s.StageCalls)
			us := make([]fleet.Upstream, upstreamCount)
			for j := range us {
				us[j] = fleet.Upstream{ID: upstreamIDs[j], Centre: "a"}
			}
			q.SetUpstreams(us)
			p.queues[s.ID] = q
		}
	}
	return p
}

func (p *simulation) backlog(id fleet.ServiceID) Backlog {
	return Backlog{Waiting: p.queues[id].Len(), Unqueued: p.coming[id], Rate: p.queues[id].Rate(p.now)}
}

func (p *simulation) arrive(r *fleet.Route, pieces ...int) {
	q := &request{route: r, need: fleet.RequestSpec{PieceCounts: pieces}, arrived: p.now, coming: make([]bool, len(pieces))}
	if p.admission {
		f := Predict(p.cfg, r, &q.need, fixedFirstEvent(r), p.backlog)
		if !Decide(p.cfg, r, f, 5*time.Second, 0, fixedFirstEvent).OK {
			p.refused++
			return
		}
	}
	for i, s := range r.Stages {
		p.coming[s.Service] += q.need.PieceCount(i)
	}
	p.push(q)
}

func (p *simulation) push(q *request) {
	s := q.route.Stages[q.stage]
	n := q.need.PieceCount(q.stage)
	p.coming[s.Service] -= n
	q.left = n
	for range n {
		p.queues[s.Service].Push(p.now, batch.Piece[*request]{Value: q, Centre: "a", Aim: q.arrived.Add(q.route.TargetLatency - 250*ms), Deadline: q.arrived.Add(5 * time.Second)})
	}
}

// step advances the time by d, ends the calls that are done and starts those that can
// start.
func (p *simulation) step(d time.Duration) {
	p.now = p.now.Add(d)
	rest := p.running[:0]
	for _, e := range p.running {
		if e.at.After(p.now) {
			rest = append(rest, e)
			continue
		}
		p.queues[e.svc].Done(p.now, e.up, batch.CallOutcome{})
		for _, piece := range e.rs {
			p.finish(piece.Value)
		}
	}
	p.running = rest
	for i := range p.cfg.Services {
		id, calls := p.cfg.Services[i].ID, p.cfg.Services[i].StageCalls
		if calls == nil {
			continue
		}
		q := p.queues[id]
		for _, up := range upstreamIDs {
			ps, late, _ := q.Next(p.now, up)
			for _, l := range late {
				p.drop(l.Value)
			}
			if len(ps) > 0 {
				p.running = append(p.running, runningCall{p.now.Add(calls.ExpectedTime(len(ps))), id, up, ps})
			}
		}
	}
}

func (p *simulation) drop(q *request) {
	if !q.failed {
		q.failed = true
		p.dropped++
	}
}

func (p *simulation) finish(q *request) {
	if q.left--; q.left > 0 || q.failed {
		return
	}
	if q.stage++; q.stage < len(q.route.Stages) {
		p.push(q)
		return
	}
	if p.now.Add(250 * ms).After(q.arrived.Add(q.route.TargetLatency)) {
		p.late++
		return
	}
	p.onTime++
}

// burst simulates seven seconds with rate requests per second of the route note, which
// has three stages, and then six more seconds without arrivals.
func burst(t *testing.T, judge bool, rate float64) *simulation {
	t.Helper()
	cfg := deployment(t)
	p := newSimulation(cfg, judge)
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

// TestBurst guards against refusing too few or too many requests in a burst that exceeds
// the capacity of one of three services. The service school makes 30 pieces in 270 ms on
// each of its five upstreams, which is 69 requests of 8 pieces per second.
func TestBurst(t *testing.T) {
	for _, tc := range []struct {
		name string
		rate float64
	}{{"half the capacity", 35}, {"near capacity", 60}, {"a third over", 92}, {"twice", 138}} {
		t.Run(tc.name, func(t *testing.T) {
			plain, judged := burst(t, false, tc.rate), burst(t, true, tc.rate)
			t.Logf("on time, late, refused, dropped: without %d %d %d %d, with %d %d %d %d", plain.onTime, plain.late, plain.refused, plain.dropped,
				judged.onTime, judged.late, judged.refused, judged.dropped)
			most := 0.9 * 69 * 7 // a tenth is lost while the queues fill up
			want := min(most, 0.95*tc.rate*7)
			assert.Assert(t, float64(judged.onTime) >= want*0.8, "%d on time of %.0f that the services have capacity for", judged.onTime, want)
			assert.Assert(t, judged.onTime*100 >= plain.onTime*97, "%d on time, %d without", judged.onTime, plain.onTime)
			assert.Assert(t, judged.late*20 <= judged.onTime, "%d late of %d on time", judged.late, judged.onTime)
		})
	}
}
