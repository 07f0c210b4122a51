package router

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

// heartbeatInterval is that of agents.
const heartbeatInterval = 250 * time.Millisecond

// pauseNetwork returns an answer function that accepts the call and then loses all
// frames to the router for d.
func (fx *fixture) pauseNetwork(from *fakeAgent, d time.Duration) func(link.Stream, *wire.Call) {
	return func(st link.Stream, c *wire.Call) {
		_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}})
		fx.net.Cut(from.name, "r1")
		time.AfterFunc(d, func() { fx.net.Heal(from.name, "r1") })
	}
}

// answerQuery answers a query with the result of the call.
func answerQuery(st link.Stream, q *wire.Query) {
	_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: q.Ref}})
	_ = st.Send(&wire.Frame{Result: &wire.Result{Ref: q.Ref, Outcome: wire.OutcomeDone, Executed: wire.ExecutedSome, Output: []byte(`"late"`)}})
}

// TestNetworkPauseEndsNoCallWithoutRetry guards against a call that is given up after a
// second without its agent although no other replica can take it over.
func TestNetworkPauseEndsNoCallWithoutRetry(t *testing.T) {
	for name, c := range map[string]struct {
		pipeline  wire.PipelineID
		token     wire.Token
		useBudget bool // whether the retry budget is used up
		alone     bool // whether there is no other upstream
	}{
		"budget used up":    {pipeline: longPipeline, useBudget: true},
		"no other upstream": {pipeline: longPipeline, alone: true},
		"non-repeatable":    {pipeline: longReservedPipeline, token: "u0:a:1"},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFixture(t, func(fx *fixture) {
				fx.publishLongPipelines()
				for _, a := range fx.agents {
					a.answer = fx.pauseNetwork(a, time.Second)
					a.query = answerQuery
				}
				if c.useBudget {
					budget := fx.r.snapshot.Load().pools["p"].retryBudget
					for ok := true; ok; {
						_, ok = budget.Allow(1, time.Second, 0)
					}
				}
				if c.alone {
					fx.net.Kill("u1")
					time.Sleep(time.Second)
				}
				fx.expect(`"late"`, c.pipeline, c.token)
				assert.Equal(t, fx.callCount(), 1)
			})
		})
	}
}

// TestSilentUpstreamKeepsItsCall guards against a call that is ended, repeated or counted
// as a failure because its upstream is silent while its agent sends heartbeats.
func TestSilentUpstreamKeepsItsCall(t *testing.T) {
	const silence = 2 * time.Second
	for pipeline, token := range map[wire.PipelineID]wire.Token{plainPipeline: "", reservedPipeline: "u0:a:1"} {
		t.Run(string(pipeline), func(t *testing.T) {
			runWithFixture(t, func(fx *fixture) {
				fx.setAnswers(func(st link.Stream, c *wire.Call) {
					for range silence / heartbeatInterval {
						_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}})
						time.Sleep(heartbeatInterval)
					}
					answerCall(st, c)
				})
				fx.expect(`"one"`, pipeline, token)
				assert.Equal(t, fx.callCount(), 1)
				for _, l := range fx.r.snapshot.Load().links {
					assert.Equal(t, l.recentFailures(time.Now()), wire.Slots(0))
				}
				assert.Equal(t, fx.r.snapshot.Load().pools["p"].retryBudget.View().Retried, int64(0))
				assert.Equal(t, fx.r.Count("session_lost", ""), int64(0))
			})
		})
	}
}

// TestAbandonedRunIsCancelled guards against two replicas that work on the same call: the
// first one must stop once it is reached again.
func TestAbandonedRunIsCancelled(t *testing.T) {
	runWithFixture(t, func(fx *fixture) {
		agent := fx.agents[0]
		agent.answer = fx.pauseNetwork(agent, time.Second)
		var cancelled atomic.Bool
		agent.query = func(st link.Stream, q *wire.Query) {
			_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: q.Ref}})
			// The next query may arrive before the reset was seen; both wait for it.
			for ctx := context.Background(); !cancelled.Load(); {
				waitCtx, cancel := context.WithTimeout(ctx, heartbeatInterval)
				_, err := st.Recv(waitCtx)
				cancel()
				switch {
				case errors.Is(err, link.ErrReset):
					cancelled.Store(true)
					return
				case !errors.Is(err, context.DeadlineExceeded):
					return
				}
			}
			_ = st.Send(&wire.Frame{Result: &wire.Result{
				Ref: q.Ref, Outcome: wire.OutcomeFailed, Reason: wire.ReasonCancelled, Executed: wire.ExecutedSome, Cost: wire.Cost{Busy: 70},
			}})
		}
		for agent.callCount() == 0 {
			fx.expect(`"one"`, plainPipeline, "")
		}
		time.Sleep(collectTimeout)
		assert.Assert(t, cancelled.Load(), "the first replica works on")
		assert.Equal(t, fx.r.accounts.Totals().Reasons[wire.ReasonUnknown].Cost.Busy, wire.Micros(70))
	})
}

// TestMayRepeat guards against a wait that is shortened for an attempt that must not be
// made.
func TestMayRepeat(t *testing.T) {
	for name, c := range map[string]struct {
		once, textSent bool
		n              wire.Attempt
		want           bool
	}{
		"first attempt":    {false, false, 1, true},
		"last attempt":     {false, false, maxPlacements, false},
		"one before it":    {false, false, maxPlacements - 1, true},
		"non-repeatable":   {true, false, 1, false},
		"text was sent on": {false, true, 1, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, mayRepeat(c.once, c.textSent, c.n), c.want) })
	}
}
