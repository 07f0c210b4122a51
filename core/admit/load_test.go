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
	route      *fleet.Route
	spec       fleet.RequestSpec
	arrived    time.Time
	stage      int
	unfinished int // pieces of the current stage that are not made yet
	coming     []bool
	failed     bool
}

// simulation runs requests through the stages of their routes in virtual time, with a
// batch.Queue and five upstreams for each stage service. It counts the requests that
// were on time, late, refused and dropped.
type simulation struct {
	cfg       *fleet.Config
	now       time.Time
	queues    map[fleet.ServiceID]*batch.Queue[*request]
	unqueued  map[fleet.ServiceID]int
	running   []runningCall
	admission bool

	onTime, late, refused, dropped int
}

// runningCall is a call in progress.
type runningCall struct {
	endsAt   time.Time
	service  fleet.ServiceID
	upstream wire.UpstreamID
	pieces   []batch.Piece[*request]
}

const upstreamCount = 5

var upstreamIDs = []wire.UpstreamID{"u0", "u1", "u2", "u3", "u4"}

// newSimulation returns a simulation without requests. If admission is false, it admits
// every request.
func newSimulation(cfg *fleet.Config, admission bool) *simulation {
	sim := &simulation{cfg: cfg, now: time.Unix(1000, 0), queues: map[fleet.ServiceID]*batch.Queue[*request]{}, unqueued: map[fleet.ServiceID]int{}, admission: admission}
	for i := range cfg.Services {
		if s := &cfg.Services[i]; s.StageCalls != nil {
			q := batch.New[*request](*s.StageCalls)
			us := make([]fleet.Upstream, upstreamCount)
			for j := range us {
				us[j] = fleet.Upstream{ID: upstreamIDs[j], Centre: "a"}
			}
			q.SetUpstreams(us)
			sim.queues[s.ID] = q
		}
	}
	return sim
}

func (sim *simulation) backlog(id fleet.ServiceID) Backlog {
	return Backlog{Waiting: sim.queues[id].Len(), Unqueued: sim.unqueued[id], Rate: sim.queues[id].Rate(sim.now)}
}

func (sim *simulation) arrive(r *fleet.Route, pieces ...int) {
	req := &request{route: r, spec: fleet.RequestSpec{PieceCounts: pieces}, arrived: sim.now, coming: make([]bool, len(pieces))}
	if sim.admission {
		f := Predict(sim.cfg, r, &req.spec, fixedFirstEventTime(r), sim.backlog)
		if !Decide(sim.cfg, r, f, 5*time.Second, 0, fixedFirstEventTime).OK {
			sim.refused++
			return
		}
	}
	for i, s := range r.Stages {
		sim.unqueued[s.Service] += req.spec.PieceCount(i)
	}
	sim.push(req)
}

// push adds the pieces of the request's current stage to the queue of their service.
func (sim *simulation) push(req *request) {
	s := req.route.Stages[req.stage]
	n := req.spec.PieceCount(req.stage)
	sim.unqueued[s.Service] -= n
	req.unfinished = n
	for range n {
		sim.queues[s.Service].Push(sim.now, batch.Piece[*request]{Value: req, Centre: "a", Aim: req.arrived.Add(req.route.TargetLatency - 250*ms), Deadline: req.arrived.Add(5 * time.Second)})
	}
}

// step advances the time by d, ends the calls that are done and starts those that can
// start.
func (sim *simulation) step(d time.Duration) {
	sim.now = sim.now.Add(d)
	stillRunning := sim.running[:0]
	for _, call := range sim.running {
		if call.endsAt.After(sim.now) {
			stillRunning = append(stillRunning, call)
			continue
		}
		sim.queues[call.service].Done(sim.now, call.upstream, batch.CallOutcome{})
		for _, piece := range call.pieces {
			sim.finish(piece.Value)
		}
	}
	sim.running = stillRunning
	for i := range sim.cfg.Services {
		id, calls := sim.cfg.Services[i].ID, sim.cfg.Services[i].StageCalls
		if calls == nil {
			continue
		}
		q := sim.queues[id]
		for _, up := range upstreamIDs {
			ps, expired, _ := q.Next(sim.now, up)
			for _, p := range expired {
				sim.drop(p.Value)
			}
			if len(ps) > 0 {
				sim.running = append(sim.running, runningCall{sim.now.Add(calls.ExpectedTime(len(ps))), id, up, ps})
			}
		}
	}
}

// drop counts a request that lost a piece because it couldn't be made before its deadline.
func (sim *simulation) drop(req *request) {
	if !req.failed {
		req.failed = true
		sim.dropped++
	}
}

// finish records that a piece of the request was made. After the last one the request
// enters its next stage or ends.
func (sim *simulation) finish(req *request) {
	if req.unfinished--; req.unfinished > 0 || req.failed {
		return
	}
	if req.stage++; req.stage < len(req.route.Stages) {
		sim.push(req)
		return
	}
	if sim.now.Add(250 * ms).After(req.arrived.Add(req.route.TargetLatency)) {
		sim.late++
		return
	}
	sim.onTime++
}

// simulateBurst simulates seven seconds with rate requests per second of the route note,
// which has three stages, and then six more seconds without arrivals.
func simulateBurst(t *testing.T, admission bool, rate float64) *simulation {
	t.Helper()
	cfg := deployment(t)
	sim := newSimulation(cfg, admission)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 7000 {
		if rng.Float64() < rate/1000 {
			sim.arrive(&cfg.Routes[1], 1, 8, 16)
		}
		sim.step(ms)
	}
	for range 6000 {
		sim.step(ms)
	}
	return sim
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
			withoutAdmission, withAdmission := simulateBurst(t, false, tc.rate), simulateBurst(t, true, tc.rate)
			t.Logf("on time, late, refused, dropped: without %d %d %d %d, with %d %d %d %d", withoutAdmission.onTime, withoutAdmission.late, withoutAdmission.refused, withoutAdmission.dropped,
				withAdmission.onTime, withAdmission.late, withAdmission.refused, withAdmission.dropped)
			capacity := 0.9 * 69 * 7 // a tenth is lost while the queues fill up
			want := min(capacity, 0.95*tc.rate*7)
			assert.Assert(t, float64(withAdmission.onTime) >= want*0.8, "%d on time of %.0f that the services have capacity for", withAdmission.onTime, want)
			assert.Assert(t, withAdmission.onTime*100 >= withoutAdmission.onTime*97, "%d on time, %d without", withAdmission.onTime, withoutAdmission.onTime)
			assert.Assert(t, withAdmission.late*20 <= withAdmission.onTime, "%d late of %d on time", withAdmission.late, withAdmission.onTime)
		})
	}
}
