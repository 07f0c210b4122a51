package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
)

const ms = time.Millisecond

// deployment returns a configuration with three stage services and three routes of
// different ranks that share them.
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

func fixedFirstEventTime(*fleet.Route) time.Duration { return 250 * ms }

func noBacklog(fleet.ServiceID) Backlog { return Backlog{} }

func assertDecision(t *testing.T, d Decision, reason string) {
	t.Helper()
	assert.Equal(t, d.Reason, reason)
	assert.Equal(t, d.OK, reason == "")
	if !d.OK {
		assert.Assert(t, d.RetryAfter >= minRetryDelay)
	}
}

// TestDecide guards against admitting requests whose stages would make them late, and
// against less urgent requests filling a queue that more urgent ones need.
func TestDecide(t *testing.T) {
	cfg := deployment(t)
	plan, note, chat := &cfg.Routes[0], &cfg.Routes[1], &cfg.Routes[2]
	for _, tc := range []struct {
		name    string
		route   *fleet.Route
		pieces  []int
		service fleet.ServiceID
		backlog Backlog
		reason  string
	}{
		{"idle", plan, []int{3}, "archive", Backlog{}, ""},
		{"idle chain", note, []int{1, 8, 16}, "archive", Backlog{}, ""},
		{"some backlog", plan, []int{3}, "archive", Backlog{Waiting: 20, Rate: 100}, ""},
		{"too much backlog", plan, []int{3}, "archive", Backlog{Waiting: 60, Rate: 100}, ReasonLate},
		{"pieces that will come count", plan, []int{3}, "archive", Backlog{Unqueued: 60, Rate: 100}, ReasonLate},
		{"a less urgent route yields", note, []int{1, 8, 16}, "archive", Backlog{Waiting: 60, Rate: 100}, ReasonYield},
		{"no pieces, no wait", plan, []int{0}, "archive", Backlog{Waiting: 600, Rate: 100}, ""},
		{"unknown rate", plan, []int{3}, "archive", Backlog{Waiting: 600}, ""},
		{"the queue of a later stage drains in time", note, []int{1, 8, 16}, "parcel", Backlog{Waiting: 400, Rate: 1000}, ""},
		{"the queue of a later stage is too long", note, []int{1, 8, 16}, "parcel", Backlog{Waiting: 2000, Rate: 1000}, ReasonLate},
		{"the least urgent route yields first", chat, []int{1, 8, 16}, "parcel", Backlog{Waiting: 1250, Rate: 1000}, ReasonYield},
	} {
		t.Run(tc.name, func(t *testing.T) {
			spec := &fleet.RequestSpec{PieceCounts: tc.pieces}
			f := Predict(cfg, tc.route, spec, 250*ms, func(id fleet.ServiceID) Backlog {
				if id == tc.service {
					return tc.backlog
				}
				return Backlog{}
			})
			assertDecision(t, Decide(tc.route, f, 5*time.Second, 0, FixedCut{cfg, tc.route, fixedFirstEventTime}), tc.reason)
		})
	}
}

// TestMaxWaitOrder guards against admitting a less urgent route with longer waits than a
// more urgent one that uses the same service.
func TestMaxWaitOrder(t *testing.T) {
	cfg := deployment(t)
	for _, id := range []fleet.ServiceID{"school", "parcel"} {
		note, chat := MaxWait(cfg, &cfg.Routes[1], id, fixedFirstEventTime), MaxWait(cfg, &cfg.Routes[2], id, fixedFirstEventTime)
		assert.Assert(t, chat <= note, "%s: chat waits %v, note %v", id, chat, note)
	}
	assert.Assert(t, MaxWait(cfg, &cfg.Routes[1], "archive", fixedFirstEventTime) < MaxWait(cfg, &cfg.Routes[0], "archive", fixedFirstEventTime))
}

// TestPredictIdle guards against refusing a request although nothing waits.
func TestPredictIdle(t *testing.T) {
	cfg := deployment(t)
	f := Predict(cfg, &cfg.Routes[1], &fleet.RequestSpec{PieceCounts: []int{1, 8, 16}}, 250*ms, noBacklog)
	assert.Equal(t, f.Total, 166*ms+182*ms+182*ms+250*ms)
	assertDecision(t, Decide(&cfg.Routes[1], f, 300*ms, 0, FixedCut{cfg, &cfg.Routes[1], fixedFirstEventTime}), "")
}

// TestForecastErrors guards against forecasts with a lasting bias, which occurs in a large
// fleet because they are made from older backlog figures.
func TestForecastErrors(t *testing.T) {
	e := new(ForecastErrors)
	assert.Equal(t, e.Expected("note"), time.Duration(0))
	for i := range 200 {
		e.Record("note", 200*ms+time.Duration(i%3)*50*ms)
		e.Record("plan", -100*ms)
	}
	expected := e.Expected("note")
	assert.Assert(t, expected > 250*ms && expected < 350*ms, "expected error %v", expected)
	assert.Equal(t, e.Expected("plan"), time.Duration(0))
	for range 100 {
		e.Record("note", 0)
	}
	assert.Assert(t, e.Expected("note") < 50*ms, "expected error %v after a calm period", e.Expected("note"))

	cfg := deployment(t)
	plan := &cfg.Routes[0]
	f := Predict(cfg, plan, &fleet.RequestSpec{PieceCounts: []int{3}}, 250*ms, func(fleet.ServiceID) Backlog { return Backlog{Waiting: 25, Rate: 100} })
	assertDecision(t, Decide(plan, f, 5*time.Second, 0, FixedCut{cfg, plan, fixedFirstEventTime}), "")
	assertDecision(t, Decide(plan, f, 5*time.Second, 300*ms, FixedCut{cfg, plan, fixedFirstEventTime}), ReasonLate)
}

// TestRetryDelay guards against asking the callers of a burst to retry all at once, or
// later than they are willing to wait.
func TestRetryDelay(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		earliest, spare, left time.Duration
		draw                  float64
		want                  time.Duration
	}{
		{"can still be on time", 200 * ms, 700 * ms, 6 * time.Second, 0.5, 450 * ms},
		{"at the earliest", 200 * ms, 700 * ms, 6 * time.Second, 0, 200 * ms},
		{"late anyway", 200 * ms, 100 * ms, 6 * time.Second, 0.5, 850 * ms},
		{"within a third of the time left", 200 * ms, 0, 6 * time.Second, 0.999, 1499 * ms},
		{"little time left", 400 * ms, 0, time.Second, 0.5, 400 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := RetryDelay(tc.earliest, tc.spare, tc.left, tc.draw)
			assert.Assert(t, got.Round(ms) == tc.want, "got %v", got)
		})
	}
}

// TestDecideResumed guards against streams that are not taken up because they have missed the
// latency target, which their first event has met already.
func TestDecideResumed(t *testing.T) {
	cfg := deployment(t)
	plan := &cfg.Routes[0]
	f := Forecast{Waits: []time.Duration{700 * ms}, StageTime: 1000 * ms, Total: 1250 * ms}
	for _, tc := range []struct {
		name     string
		timeLeft time.Duration
		ok       bool
	}{{"in time", 2500 * ms, true}, {"after its caller has left", 1300 * ms, false}} {
		t.Run(tc.name, func(t *testing.T) {
			assertDecision(t, Decide(plan, f, tc.timeLeft, 0, FixedCut{cfg, plan, fixedFirstEventTime}), ReasonLate)
			assert.Equal(t, DecideResumed(f, tc.timeLeft, 0), tc.ok)
		})
	}
}

// TestQueueBounds guards against queues so long that requests of a chain are late once they have
// waited in each of its stages, against patient requests that may wait no longer than urgent ones,
// and against a shortage that is seen whenever a call is full.
func TestQueueBounds(t *testing.T) {
	cfg := deployment(t)
	for _, id := range []fleet.ServiceID{"archive", "school", "parcel"} {
		bounds := QueueBounds(cfg, id, fixedFirstEventTime)
		calls := cfg.Service(id).StageCalls
		fullCall := calls.ExpectedTime(calls.MaxBatch)
		for i := range cfg.Routes {
			r := &cfg.Routes[i]
			begin, depth, ok := reach(cfg, r, id)
			if !ok {
				assert.Equal(t, bounds[r.Rank], time.Duration(0))
				continue
			}
			wait, share := bounds[r.Rank]-begin, Slack(cfg, r, 250*ms)/time.Duration(depth)
			assert.Assert(t, wait >= fullCall && (wait <= share || wait == fullCall), "%s: %s waits %v in each stage", id, r.ID, wait)
		}
		assert.Assert(t, bounds[2] > bounds[1], "chat has more time than note")
		assert.Equal(t, bounds[3], time.Duration(0), "no route has the rank")
	}
}
