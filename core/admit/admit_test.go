package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
)

const ms = time.Millisecond

// deployment has three stage services and routes of three ranks that share them.
func deployment(t *testing.T) *fleet.Config {
	t.Helper()
	svc := func(id fleet.ServiceID, batch int, piece time.Duration) fleet.Service {
		return fleet.Service{ID: id, StageCalls: &fleet.StageCalls{Slots: 1, MaxBatch: batch, CallOverhead: 150 * ms, PieceTime: piece, ResultCapacity: 1 << 30, ResultTTL: 4 * time.Second}}
	}
	split := []fleet.WeightedService{{Service: "engine", Weight: 1}}
	chain := []fleet.Stage{
		{Service: "archive", ResultSize: 8_000},
		{Service: "school", After: []int{0}, ResultSize: 60_000},
		{Service: "parcel", After: []int{1}, ResultSize: 6_000},
	}
	cfg := &fleet.Config{
		Version: 1,
		Services: []fleet.Service{
			{ID: "engine", Engine: &fleet.Engine{}}, svc("archive", 8, 16*ms), svc("school", 30, 4*ms), svc("parcel", 60, 2*ms),
		},
		Routes: []fleet.Route{
			{ID: "plan", Host: "a", PathPrefix: "/", Split: split, Rank: 0, TargetLatency: 920 * ms, Stages: []fleet.Stage{{Service: "archive", ResultSize: 3_000_000}}},
			{ID: "note", Host: "b", PathPrefix: "/", Split: split, Rank: 1, TargetLatency: 1900 * ms, Stages: chain},
			{ID: "chat", Host: "c", PathPrefix: "/", Split: split, Rank: 2, TargetLatency: 2400 * ms, Stages: chain},
		},
	}
	assert.NilError(t, cfg.Index())
	return cfg
}

func first(*fleet.Route) time.Duration { return 250 * ms }

func none(fleet.ServiceID) Backlog { return Backlog{} }

func assertVerdict(t *testing.T, v Decision, reason string) {
	t.Helper()
	assert.Equal(t, v.Reason, reason)
	assert.Equal(t, v.OK, reason == "")
	if !v.OK {
		assert.Assert(t, v.RetryAfter >= minRetryDelay)
	}
}

// TestJudge guards against requests that are taken although their stages make them
// late, and against less urgent ones that fill a queue which more urgent ones need.
func TestJudge(t *testing.T) {
	cfg := deployment(t)
	plan, note, chat := &cfg.Routes[0], &cfg.Routes[1], &cfg.Routes[2]
	for _, tc := range []struct {
		name    string
		route   *fleet.Route
		pieces  []int
		at      fleet.ServiceID
		backlog Backlog
		reason  string
	}{
		{"idle", plan, []int{3}, "archive", Backlog{}, ""},
		{"idle chain", note, []int{1, 8, 16}, "archive", Backlog{}, ""},
		{"some backlog", plan, []int{3}, "archive", Backlog{Waiting: 20, Rate: 100}, ""},
		{"too much backlog", plan, []int{3}, "archive", Backlog{Waiting: 60, Rate: 100}, ReasonLate},
		{"coming work counts", plan, []int{3}, "archive", Backlog{Coming: 60, Rate: 100}, ReasonLate},
		{"less urgent work yields", note, []int{1, 8, 16}, "archive", Backlog{Waiting: 60, Rate: 100}, ReasonYield},
		{"no stage, no wait", plan, []int{0}, "archive", Backlog{Waiting: 600, Rate: 100}, ""},
		{"unknown rate", plan, []int{3}, "archive", Backlog{Waiting: 600}, ""},
		{"a later queue empties meanwhile", note, []int{1, 8, 16}, "parcel", Backlog{Waiting: 400, Rate: 1000}, ""},
		{"a later queue is too long", note, []int{1, 8, 16}, "parcel", Backlog{Waiting: 2000, Rate: 1000}, ReasonLate},
		{"the least urgent yields first", chat, []int{1, 8, 16}, "parcel", Backlog{Waiting: 1250, Rate: 1000}, ReasonYield},
	} {
		t.Run(tc.name, func(t *testing.T) {
			need := &fleet.RequestSpec{PieceCounts: tc.pieces}
			f := Predict(cfg, tc.route, need, 250*ms, func(id fleet.ServiceID) Backlog {
				if id == tc.at {
					return tc.backlog
				}
				return Backlog{}
			})
			assertVerdict(t, Decide(cfg, tc.route, f, 5*time.Second, 0, first), tc.reason)
		})
	}
}

// TestBoundOrder guards against a less urgent route that is served more than a more
// urgent one of the same service.
func TestBoundOrder(t *testing.T) {
	cfg := deployment(t)
	for _, id := range []fleet.ServiceID{"school", "parcel"} {
		note, chat := MaxWait(cfg, &cfg.Routes[1], id, first), MaxWait(cfg, &cfg.Routes[2], id, first)
		assert.Assert(t, chat <= note, "%s: chat waits %v, note %v", id, chat, note)
	}
	assert.Assert(t, MaxWait(cfg, &cfg.Routes[1], "archive", first) < MaxWait(cfg, &cfg.Routes[0], "archive", first))
}

// TestPredictIdle guards against forecasts that refuse where nothing waits.
func TestPredictIdle(t *testing.T) {
	cfg := deployment(t)
	f := Predict(cfg, &cfg.Routes[1], &fleet.RequestSpec{PieceCounts: []int{1, 8, 16}}, 250*ms, none)
	assert.Equal(t, f.Total, 166*ms+182*ms+182*ms+250*ms)
	assertVerdict(t, Decide(cfg, &cfg.Routes[1], f, 300*ms, 0, first), "")
}

// TestErrors guards against forecasts that are wrong in the same way again and again:
// those of a large fleet are from figures that are older.
func TestErrors(t *testing.T) {
	e := new(ForecastErrors)
	assert.Equal(t, e.Expected("note"), time.Duration(0))
	for i := range 200 {
		e.Record("note", 200*ms+time.Duration(i%3)*50*ms)
		e.Record("plan", -100*ms)
	}
	usual := e.Expected("note")
	assert.Assert(t, usual > 250*ms && usual < 350*ms, "usual error %v", usual)
	assert.Equal(t, e.Expected("plan"), time.Duration(0))
	for range 100 {
		e.Record("note", 0)
	}
	assert.Assert(t, e.Expected("note") < 50*ms, "usual error %v after a calm time", e.Expected("note"))

	cfg := deployment(t)
	plan := &cfg.Routes[0]
	f := Predict(cfg, plan, &fleet.RequestSpec{PieceCounts: []int{3}}, 250*ms, func(fleet.ServiceID) Backlog { return Backlog{Waiting: 25, Rate: 100} })
	assertVerdict(t, Decide(cfg, plan, f, 5*time.Second, 0, first), "")
	assertVerdict(t, Decide(cfg, plan, f, 5*time.Second, 300*ms, first), ReasonLate)
}

// TestReturn guards against callers of a burst that return together, or after the
// time that they wait at most.
func TestReturn(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		earliest, spare, left time.Duration
		draw                  float64
		want                  time.Duration
	}{
		{"while it can be on time", 200 * ms, 700 * ms, 6 * time.Second, 0.5, 450 * ms},
		{"at the earliest", 200 * ms, 700 * ms, 6 * time.Second, 0, 200 * ms},
		{"late anyway, spread", 200 * ms, 100 * ms, 6 * time.Second, 0.5, 850 * ms},
		{"within a third of the time", 200 * ms, 0, 6 * time.Second, 0.999, 1499 * ms},
		{"little time", 400 * ms, 0, time.Second, 0.5, 400 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := RetryDelay(tc.earliest, tc.spare, tc.left, tc.draw)
			assert.Assert(t, got.Round(ms) == tc.want, "got %v", got)
		})
	}
}
