package router

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

// brokenSession is a session that opens only the given number of streams, all of which
// fail.
type brokenSession struct {
	link.Session
	opens int // streams that may still be opened
	done  chan struct{}
}

func (s *brokenSession) Peer() wire.Hello      { return testHello(wire.RoleAgent, "u0") }
func (s *brokenSession) Done() <-chan struct{} { return s.done }
func (s *brokenSession) Close(string)          {}

func (s *brokenSession) Open(context.Context) (link.Stream, error) {
	if s.opens == 0 {
		return nil, errors.New("session ended")
	}
	s.opens--
	return brokenStream{}, nil
}

type brokenStream struct{ link.Stream }

func (brokenStream) Send(*wire.Frame) error { return errors.New("stream ended") }

// TestSecondSessionBreaks guards against a router that crashes when the session on which
// it queries the outcome of a call is lost before the stream is open.
func TestSecondSessionBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Name: "r1", Centre: "palermo", Region: "sicily"}, link.NewNet(), nil)
		l := newAgentLink(r, "u0", "10.0.0.0:1", nil)
		l.setSession(&brokenSession{opens: 1, done: make(chan struct{})})
		go func() {
			time.Sleep(resumeTimeout / 2)
			l.setSession(&brokenSession{done: make(chan struct{})})
		}()
		o := r.runAttempt(t.Context(), l, &wire.Call{Ref: wire.Ref{Request: "q", Stage: "one", Attempt: 1}, Left: 3000}, nil, new(bool), func() bool { return true })
		assert.Equal(t, o.reason, wire.ReasonUnknown)
		assert.Assert(t, o.costPending, "the cost is not collected")
	})
}

// TestCostAfterLostSession guards against work that no team is charged for: the agent is
// unreachable while the request is retried elsewhere, and so its cost must be collected
// afterwards.
func TestCostAfterLostSession(t *testing.T) {
	runWithFixture(t, func(fx *fixture) {
		const busy = 70
		agent := fx.agents[0]
		agent.answer = func(st link.Stream, c *wire.Call) {
			_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}})
			fx.net.Cut("u0", "r1")
			time.AfterFunc(2*time.Second, func() { fx.net.Heal("u0", "r1") })
		}
		agent.query = func(st link.Stream, q *wire.Query) {
			_ = st.Send(&wire.Frame{Result: &wire.Result{
				Ref: q.Ref, Outcome: wire.OutcomeFailed, Reason: wire.ReasonCancelled, Executed: wire.ExecutedSome,
				Cost: wire.Cost{Busy: busy},
			}})
		}
		for agent.callCount() == 0 {
			fx.expect(`"one"`, plainPipeline, "")
		}
		time.Sleep(collectTimeout)
		assert.Equal(t, fx.r.accounts.Totals().Reasons[wire.ReasonUnknown].Cost.Busy, wire.Micros(busy))
	})
}

// TestCostForgotten guards against a query for a cost that closes the session, and with
// it all other calls, when the agent has no result and resets the stream.
func TestCostForgotten(t *testing.T) {
	runWithFixture(t, func(fx *fixture) {
		agent := fx.agents[0]
		var queries atomic.Int32
		agent.query = func(st link.Stream, _ *wire.Query) {
			queries.Add(1)
			st.Reset()
		}
		l := fx.r.snapshot.Load().links["u0"]
		before, _ := l.session()
		fx.r.collectCost(l, wire.Ref{Request: "q", Stage: "one", Attempt: 1}, false, func(*wire.Result) { t.Error("a cost was recorded") })
		time.Sleep(collectTimeout)
		after, _ := l.session()
		assert.Assert(t, before == after, "the session was closed")
		assert.Equal(t, queries.Load(), int32(1))
		assert.Equal(t, fx.r.Count("cost_lost", wire.ReasonUnknown), int64(1))
	})
}
