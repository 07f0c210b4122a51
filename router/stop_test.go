package router

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

const (
	longPipeline         wire.PipelineID = "plans"  // deadline 20 s, longer than testDrain
	longReservedPipeline wire.PipelineID = "visits" // the same with a non-repeatable stage
	longDeadline                         = 2 * testDrain
	testLinger                           = time.Second
)

// publishLongPipelines adds pipelines whose requests may outlast the drain.
func (fx *fixture) publishLongPipelines() {
	var objs []wire.Object
	for id, once := range map[wire.PipelineID]bool{longPipeline: false, longReservedPipeline: true} {
		objs = append(objs, wire.Object{Kind: wire.ObjectKindPipeline, Name: string(id), Pipeline: &wire.Pipeline{
			Deadline: int(longDeadline / time.Millisecond), Rank: wire.RankInteractive, Teams: []wire.TeamID{testTeam},
			Stages: []wire.Stage{{Name: "one", Kind: wire.KindPlain, Pool: "p", Once: once, Expect: 10}},
		}})
	}
	fx.platform.publish(fx.t, 2, objs...)
	time.Sleep(time.Second)
}

// runForever accepts the call and repeats the acceptance as a heartbeat.
func runForever(st link.Stream, c *wire.Call) {
	for st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}}) == nil {
		time.Sleep(silenceTimeout / 4)
	}
}

// outcomeOf sends one request and returns its output, or the reason and executed of the
// refusal.
func (fx *fixture) outcomeOf(pipeline wire.PipelineID, token wire.Token) string {
	ans, refusal := fx.r.Do(fx.t.Context(), &Request{Team: testTeam, Pipeline: pipeline, Token: token, Body: []byte(`{}`)})
	if refusal != nil {
		return string(refusal.Reason) + " " + string(refusal.Executed)
	}
	return string(ans.Output)
}

// TestStopAnswersCutRequests guards against requests that are still in flight at the end
// of a planned stop and end with their connections, without an answer.
func TestStopAnswersCutRequests(t *testing.T) {
	for name, c := range map[string]struct {
		pipeline wire.PipelineID
		token    wire.Token
		full     bool // whether the request waits for an upstream
		want     string
	}{
		"repeatable":     {pipeline: longPipeline, want: "unknown some"},
		"non-repeatable": {pipeline: longReservedPipeline, token: "u0:a:1", want: "unknown unknown"},
		"queued":         {pipeline: longPipeline, full: true, want: "leaving none"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFixture(t, func(fx *fixture) {
				fx.publishLongPipelines()
				fx.setAnswers(runForever)
				if c.full {
					fx.net.Kill("u0")
					fx.net.Kill("u1")
					time.Sleep(time.Second)
				}
				got := make(chan string, 1)
				go func() { got <- fx.outcomeOf(c.pipeline, c.token) }()
				time.Sleep(time.Second)
				_ = fx.stop()
				select {
				case text := <-got:
					assert.Equal(t, text, c.want)
				default:
					t.Error("the router stopped without an answer to the request")
				}
				time.Sleep(longDeadline)
			})
		})
	}
}

// TestStopTakesOnlyWhatItCanFinish guards against requests that a stopping router takes
// although they may last beyond its end, where they are cut.
func TestStopTakesOnlyWhatItCanFinish(t *testing.T) {
	cfg := Config{Name: "r1", Centre: "palermo", Region: "sicily", Linger: testLinger}
	for name, c := range map[string]struct {
		pipeline wire.PipelineID
		token    wire.Token
		want     string
		calls    int
	}{
		"ends in time":                   {plainPipeline, "", `"one"`, 1},
		"may outlast the stop":           {longPipeline, "", "leaving none", 0},
		"reserved, may outlast the stop": {longReservedPipeline, "u0:a:1", "leaving unknown", 0},
	} {
		t.Run(name, func(t *testing.T) {
			runWithConfig(t, cfg, func(fx *fixture) {
				fx.publishLongPipelines()
				var wg sync.WaitGroup
				wg.Go(func() { _ = fx.stop() })
				time.Sleep(testLinger / 2)
				assert.Equal(t, fx.outcomeOf(c.pipeline, c.token), c.want)
				assert.Equal(t, fx.callCount(), c.calls)
				wg.Wait()
				time.Sleep(longDeadline)
			})
		})
	}
	t.Run("reservation", func(t *testing.T) {
		cfg := cfg
		cfg.Linger = testDrain - cutMargin - reserveTimeout/2
		runWithConfig(t, cfg, func(fx *fixture) {
			var wg sync.WaitGroup
			wg.Go(func() { _ = fx.stop() })
			reserve := func() wire.Reason {
				_, refusal := fx.r.Reserve(fx.t.Context(), testTeam, reservedPipeline)
				if refusal == nil {
					return ""
				}
				return refusal.Reason
			}
			time.Sleep(testLinger / 2)
			assert.Equal(t, reserve(), wire.Reason(""))
			time.Sleep(cfg.Linger - testLinger)
			assert.Equal(t, reserve(), wire.ReasonLeaving)
			wg.Wait()
		})
	})
}

// TestPlanStop guards against a stop without time to answer the requests that it cuts
// off, and against a linger beyond that moment.
func TestPlanStop(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		linger, timeout      time.Duration
		refuseAt, cutAt, end time.Duration
	}{
		"usual":         {time.Second, 30 * time.Second, time.Second, 29500 * time.Millisecond, 29750 * time.Millisecond},
		"long linger":   {time.Minute, 10 * time.Second, 9500 * time.Millisecond, 9500 * time.Millisecond, 9750 * time.Millisecond},
		"short timeout": {0, time.Second, 0, 750 * time.Millisecond, 875 * time.Millisecond},
		"no timeout":    {time.Second, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := planStop(start, c.linger, c.timeout)
			assert.Equal(t, p, stopPlan{start.Add(c.refuseAt), start.Add(c.cutAt), start.Add(c.end)})
		})
	}
}

// TestStopTakes guards against a stopping router that takes a request which it may have
// to cut off, or refuses one that it can finish.
func TestStopTakes(t *testing.T) {
	start := time.Unix(1000, 0)
	p := planStop(start, 3*time.Second, 8*time.Second) // cuts at 7.5 s
	for name, c := range map[string]struct {
		plan    *stopPlan
		at      time.Duration
		timeout time.Duration
		want    bool
	}{
		"no stop":             {nil, 0, time.Hour, true},
		"ends before the cut": {&p, 0, 7 * time.Second, true},
		"ends at the cut":     {&p, 500 * time.Millisecond, 7 * time.Second, true},
		"ends after the cut":  {&p, 501 * time.Millisecond, 7 * time.Second, false},
		"late in the linger":  {&p, 2999 * time.Millisecond, time.Second, true},
		"after the linger":    {&p, 3 * time.Second, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.plan.takes(start.Add(c.at), c.timeout), c.want)
		})
	}
}
