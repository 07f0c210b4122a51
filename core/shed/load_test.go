package shed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shed"
	"hornbeamcove.example/core/wire"
)

const (
	ms = time.Millisecond
	// reportInterval is the time between two reports of a router to the others.
	reportInterval = 120 * ms
	routerCount    = 3
	firstEvent     = 250 * ms
)

// request is one request of the simulated load.
type request struct {
	route    *fleet.Route
	large    bool // sent by the largest team
	burst    bool // arrived in a burst
	arrived  time.Time
	deadline time.Time
	left     int // pieces that are not made yet
	begun    bool
	yields   bool // admitted although it will be late
	failed   bool
}

// report is what a router tells the others.
type report struct {
	asked   shed.Demand
	pending [fleet.RankLevels]int
	level   shed.Fractions
}

// router decides on the requests that arrive at it. The first router owns the queue.
type router struct {
	meter shed.Meter
	level shed.Level
	mix   shed.Mix
	work  map[fleet.RouteID]*shed.MeanWork
	last  report
}

// outcome counts requests of one kind.
type outcome struct{ asked, onTime, late, dropped, refused int }

// served returns the part of the requests that were answered.
func (o outcome) served() float64 { return float64(o.onTime+o.late) / float64(max(o.asked, 1)) }

// lost returns the number of requests that were not answered in time.
func (o outcome) lost() int { return o.asked - o.onTime }

// world runs requests of three kinds through one stage service in virtual time. They arrive at
// several routers, which know each other's state as of the last report.
type world struct {
	cfg      *fleet.Config
	now      time.Time
	queue    *batch.Queue[*request]
	routers  [routerCount]router
	shedding bool // whether requests are shed by cost, rather than by the fixed cut
	over     bool // whether the largest team exceeds its share
	burst    bool // whether there is a burst
	rng      *rand.Rand
	running  []call

	kinds  map[fleet.RouteID]*outcome
	bursts map[fleet.RouteID]*outcome // of those that arrived in a burst
	teams  map[bool]*outcome          // by whether it is the largest
	// inverted counts decisions at a level that turned a rank away more than a less urgent one.
	inverted int
}

// call is a stage call in progress.
type call struct {
	ends   time.Time
	id     wire.UpstreamID
	pieces []batch.Piece[*request]
}

var upstreams = []wire.UpstreamID{"u0", "u1", "u2", "u3", "u4"}

// newWorld returns a world without requests. The service makes 8 pieces in 278 ms on each of five
// upstreams: 144 pieces a second.
func newWorld(t *testing.T, shedding bool, rng *rand.Rand) *world {
	t.Helper()
	split := []fleet.WeightedService{{Service: "engine", Weight: 1}}
	stages := []fleet.Stage{{Service: "archive", ResultSize: 8_000}}
	w := &world{
		cfg: &fleet.Config{
			Version: 1,
			Services: []fleet.Service{
				{ID: "engine", Engine: &fleet.Engine{}},
				{ID: "archive", StageCalls: &fleet.StageCalls{Slots: 1, MaxBatch: 8, CallOverhead: 150 * ms, PieceTime: 16 * ms, ResultCapacity: 1 << 30, ResultTTL: 4 * time.Second}},
			},
			Routes: []fleet.Route{
				{ID: "plan", Host: "a", PathPrefix: "/", Split: split, Rank: 0, TargetLatency: 1100 * ms, Stages: stages},
				{ID: "note", Host: "b", PathPrefix: "/", Split: split, Rank: 1, TargetLatency: 2500 * ms, Stages: stages},
				{ID: "chat", Host: "c", PathPrefix: "/", Split: split, Rank: 2, TargetLatency: 3000 * ms, Stages: stages},
			},
		},
		now: time.Unix(1000, 0), shedding: shedding, rng: rng,
		kinds:  map[fleet.RouteID]*outcome{"plan": {}, "note": {}, "chat": {}},
		bursts: map[fleet.RouteID]*outcome{"plan": {}, "note": {}, "chat": {}}, teams: map[bool]*outcome{true: {}, false: {}},
	}
	assert.NilError(t, w.cfg.Index())
	w.queue = batch.New[*request](*w.cfg.Service("archive").StageCalls)
	var us []fleet.Upstream
	for _, id := range upstreams {
		us = append(us, fleet.Upstream{ID: id, Centre: "a"})
	}
	w.queue.SetUpstreams(us)
	for i := range w.routers {
		w.routers[i].work = map[fleet.RouteID]*shed.MeanWork{"plan": {}, "note": {}, "chat": {}}
	}
	return w
}

func firstEventTime(*fleet.Route) time.Duration { return firstEvent }

// state returns the state of the service as router i knows it, and the owner's level.
func (w *world) state(i int) (s shed.State, level shed.Fractions) {
	s.Rate = w.queue.Rate(w.now)
	if w.shedding {
		s.Rate = w.queue.SustainedRate(w.now)
	}
	s.Bound = admit.QueueBounds(w.cfg, "archive", firstEventTime)
	for j := range w.routers {
		r := w.routers[j].last
		if i == j {
			r = w.report(i)
		}
		for rank, rate := range r.asked {
			s.Asked.Add(rank, rate)
			s.Pending[rank] += r.pending[rank]
		}
	}
	return s, w.routers[0].last.level
}

// report returns the present state of router i.
func (w *world) report(i int) (r report) {
	r = report{asked: w.routers[i].meter.Demand(w.now), level: w.routers[i].last.level}
	if i == 0 {
		r.pending = w.queue.CountByRank()
	}
	return r
}

// exchangeReports makes the present state of all routers known.
func (w *world) exchangeReports() {
	for i := range w.routers {
		s, _ := w.state(i)
		w.routers[i].last = w.report(i)
		w.routers[i].last.level = w.routers[i].level.Update(w.now, s.Required())
	}
}

// byCost is the decision by cost on one request. It implements admit.Yielding.
type byCost struct {
	w      *world
	router *router
	req    *request
	pieces int
	level  shed.Fractions
}

// Yields implements admit.Yielding.
func (d byCost) Yields(admit.Forecast) (admit.Yield, bool) {
	return admit.Yield{Reason: admit.ReasonShed}, d.sheds(shed.Normal)
}

func (d byCost) sheds(g shed.Group) bool {
	if d.req.large && d.w.over {
		g = shed.OverShare
	}
	rank := d.req.route.Rank
	c := shed.Class{Group: g, Size: d.router.work[d.req.route.ID].Classify(float64(d.pieces))}
	d.router.mix.Record(d.w.now, rank, c, float64(d.pieces))
	return d.router.mix.Sheds(rank, c, d.level[rank], d.w.rng.Float64())
}

// arrive is the arrival of a request.
func (w *world) arrive(r *fleet.Route, large bool, pieces int) {
	i := w.rng.IntN(routerCount)
	req := &request{route: r, large: large, burst: w.burst, arrived: w.now, deadline: w.now.Add(5 * time.Second), left: pieces}
	w.count(req, func(o *outcome) { o.asked++ })
	w.routers[i].meter.Record(w.now, r.Rank, pieces)
	state, level := w.state(i)
	b := admit.Backlog{Rate: state.Rate}
	for _, n := range state.Pending {
		b.Waiting += n
	}
	var others admit.Yielding = admit.FixedCut{Config: w.cfg, Route: r, FirstEventTime: firstEventTime}
	cost := byCost{w, &w.routers[i], req, pieces, level}
	if level[0] > level[1] || level[1] > level[2] {
		w.inverted++
	}
	if w.shedding {
		others, b.Waiting = cost, state.Ahead(r.Rank)
	}
	f := admit.Predict(w.cfg, r, &fleet.RequestSpec{PieceCounts: []int{pieces}}, firstEvent, func(fleet.ServiceID) admit.Backlog { return b })
	d := admit.Decide(r, f, 5*time.Second, 0, others)
	if d.Reason == admit.ReasonLate && w.shedding {
		cost.sheds(shed.Late)
	}
	if !d.OK {
		all := admit.Backlog{Waiting: w.queue.Len() - w.queue.CountLate(), Late: w.queue.CountLate(), Rate: state.Rate}
		f = admit.Predict(w.cfg, r, &fleet.RequestSpec{PieceCounts: []int{pieces}}, firstEvent, func(fleet.ServiceID) admit.Backlog { return all.BehindAll() })
		if req.yields = admit.DecideLate(f, 5*time.Second, 0); !req.yields {
			w.count(req, func(o *outcome) { o.refused++ })
			return
		}
	}
	p := batch.Piece[*request]{Value: req, Centre: "a", Rank: r.Rank, Aim: w.now.Add(r.TargetLatency - firstEvent), Deadline: req.deadline, Late: req.yields, Ages: w.shedding}
	if w.shedding {
		w.makeRoom(p, pieces, state.Bound[r.Rank])
	}
	for range pieces {
		w.queue.Push(w.now, p)
	}
}

// makeRoom refuses the requests that give way to n pieces like p.
func (w *world) makeRoom(p batch.Piece[*request], n int, bound time.Duration) {
	ps, count := w.queue.Yielders(w.now, p, n, bound, func(req *request) bool { return !req.begun && !req.yields })
	for _, p := range ps {
		req := p.Value
		if count > 0 && !req.failed {
			count -= w.queue.Remove(func(other *request) bool { return other == req })
			req.failed = true
			w.count(req, func(o *outcome) { o.refused++ })
		}
	}
}

// count changes the outcomes that a request belongs to.
func (w *world) count(req *request, change func(*outcome)) {
	change(w.kinds[req.route.ID])
	change(w.teams[req.large])
	if req.burst {
		change(w.bursts[req.route.ID])
	}
}

// step advances the time by a millisecond.
func (w *world) step() {
	w.now = w.now.Add(ms)
	running := w.running[:0]
	for _, c := range w.running {
		if c.ends.After(w.now) {
			running = append(running, c)
			continue
		}
		w.queue.Done(w.now, c.id, batch.CallOutcome{})
		for _, p := range c.pieces {
			w.made(p.Value)
		}
	}
	w.running = running
	for _, id := range upstreams {
		ps, expired, _ := w.queue.Next(w.now, id)
		for _, p := range expired {
			w.end(p.Value)
		}
		for _, p := range ps {
			p.Value.begun = true
		}
		if len(ps) > 0 {
			w.running = append(w.running, call{w.now.Add(w.cfg.Service("archive").StageCalls.ExpectedTime(len(ps))), id, ps})
		}
	}
}

// made records that a piece of the request was made.
func (w *world) made(req *request) {
	if req.left--; req.left == 0 {
		w.end(req)
	}
}

// end counts a request, on time if all of its pieces were made in time.
func (w *world) end(req *request) {
	if req.failed {
		return
	}
	req.failed = true
	w.count(req, func(o *outcome) {
		switch {
		case req.left > 0:
			o.dropped++
		case w.now.Add(firstEvent).After(req.arrived.Add(req.route.TargetLatency)):
			o.late++
		default:
			o.onTime++
		}
	})
}

// minutes is the length of a play: long enough that the kinds' parts of it differ by more than chance.
const minutes = 5

// play runs the same minute of load several times: 40 requests a second of three kinds, of which the largest team sends
// a third. burst returns by what factor a kind exceeds that at a time, and extra by what factor
// the largest team does.
func play(t *testing.T, shedding bool, burst func(at time.Duration, route int) float64, extra func(at time.Duration) float64) *world {
	t.Helper()
	rng := rand.New(rand.NewPCG(5, 6))
	w := newWorld(t, shedding, rand.New(rand.NewPCG(7, 8)))
	for i := range minutes * 60_000 {
		at := time.Duration(i) * ms % time.Minute
		if i%int(reportInterval/ms) == 0 {
			w.exchangeReports()
		}
		w.over = extra(at) > 1
		w.burst = burst(at, 0) > 1 || burst(at, 2) > 1
		for route := range w.cfg.Routes {
			for _, large := range []bool{true, false} {
				rate := 40.0 / 3 / 3
				if large {
					rate *= extra(at)
				} else {
					rate *= 2
				}
				if rng.Float64() < rate*burst(at, route)/1000 {
					w.arrive(&w.cfg.Routes[route], large, 1+int(rng.ExpFloat64()*2))
				}
			}
		}
		w.step()
	}
	return w
}

func within(at, begin, length time.Duration) bool { return at >= begin && at < begin+length }

func always(time.Duration) float64 { return 1 }

// twoBursts is a burst of the least urgent kind and, half a minute later, one of the most urgent.
func twoBursts(at time.Duration, route int) float64 {
	switch {
	case route == 2 && within(at, 10*time.Second, 6*time.Second):
		return 4
	case route == 0 && within(at, 40*time.Second, 6*time.Second):
		return 4
	}
	return 1
}

// TestBursts guards against callers who lose their requests to a burst of another kind: of bursts
// of two kinds half a minute apart fewer lose than with the fixed cut, and the most urgent least.
func TestBursts(t *testing.T) {
	before, after := play(t, false, twoBursts, always), play(t, true, twoBursts, always)
	lost, dropped := map[*world]int{}, map[*world]int{}
	for _, r := range before.cfg.Routes {
		b, a := before.kinds[r.ID], after.kinds[r.ID]
		t.Logf("%s: asked, on time, late, dropped, refused: before %v, after %v", r.ID, *b, *a)
		lost[before] += b.lost()
		lost[after] += a.lost()
		dropped[before] += b.dropped
		dropped[after] += a.dropped
	}
	assert.Assert(t, lost[after] < lost[before], "%d lose, %d before", lost[after], lost[before])
	assert.Assert(t, dropped[after] < dropped[before], "%d wait for nothing, %d before", dropped[after], dropped[before])
	plan, note, chat := after.bursts["plan"].served(), after.bursts["note"].served(), after.bursts["chat"].served()
	t.Logf("in the bursts: before %v %v %v, after %v %v %v", *before.bursts["plan"], *before.bursts["note"], *before.bursts["chat"], *after.bursts["plan"], *after.bursts["note"], *after.bursts["chat"])
	// Requests of a burst arrive when there is a shortage, others at all times: the parts of plan and
	// note can't be compared. What can be is the level at each moment.
	assert.Assert(t, plan >= chat && note >= chat, "a rank is served less often than a less urgent one: %.3f, %.3f, %.3f", plan, note, chat)
	assert.Equal(t, after.inverted, 0, "times that a rank was turned away more than a less urgent one")
	assert.Assert(t, after.bursts["plan"].lost() < before.bursts["plan"].lost(), "the most urgent lose more than before")
}

// TestLargeTeam guards against small teams that lose their requests to the burst of the largest
// team, which sends a third of the traffic at other times.
func TestLargeTeam(t *testing.T) {
	extra := func(at time.Duration) float64 {
		if within(at, 10*time.Second, 6*time.Second) {
			return 5
		}
		return 1
	}
	steady := func(time.Duration, int) float64 { return 1 }
	before, after := play(t, false, steady, extra), play(t, true, steady, extra)
	t.Logf("largest team: before %v, after %v; others: before %v, after %v", *before.teams[true], *after.teams[true], *before.teams[false], *after.teams[false])
	assert.Assert(t, after.teams[false].lost() < before.teams[false].lost(), "the small teams lose as many requests as before")
	assert.Assert(t, after.teams[false].served() > after.teams[true].served(), "the small teams pay for the largest")
	lost := func(w *world) int { return w.teams[true].lost() + w.teams[false].lost() }
	assert.Assert(t, lost(after) < lost(before), "%d lose, %d before", lost(after), lost(before))
}
