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

// brokenSession opens only the given number of streams, and all of them fail.
type brokenSession struct {
	link.Session
	opens int
	done  chan struct{}
}

func (s *brokenSession) Peer() wire.Hello      { return greeting(wire.RoleAgent, "u0") }
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

// Guards against a router that crashes when the session by which it asks for a
// call's outcome breaks before a stream is open.
func TestSecondSessionBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Name: "r1", Centre: "palermo", Region: "sicily"}, link.NewNet(), nil)
		l := newAgentLink(r, "u0", "10.0.0.0:1", nil)
		l.setSession(&brokenSession{opens: 1, done: make(chan struct{})})
		go func() {
			time.Sleep(resumeTimeout / 2)
			l.setSession(&brokenSession{done: make(chan struct{})})
		}()
		o := r.runAttempt(t.Context(), l, &wire.Call{Ref: wire.Ref{Request: "q", Stage: "one", Attempt: 1}, Left: 3000}, nil, new(bool))
		assert.Equal(t, o.reason, wire.ReasonUnknown)
		assert.Assert(t, o.costPending, "the cost is not collected")
	})
}

// Guards against work that nobody is charged for: an agent that can't be reached
// while the request is retried elsewhere is asked for the cost afterwards.
func TestCostAfterLostSession(t *testing.T) {
	inBubble(t, func(g *rig) {
		const busy = 70
		u := g.peers[0]
		u.answer = func(st link.Stream, c *wire.Call) {
			_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}})
			g.net.Cut("u0", "r1")
			time.AfterFunc(2*time.Second, func() { g.net.Heal("u0", "r1") })
		}
		u.query = func(st link.Stream, q *wire.Query) {
			_ = st.Send(&wire.Frame{Result: &wire.Result{
				Ref: q.Ref, Outcome: wire.OutcomeFailed, Reason: wire.ReasonCancelled, Executed: wire.ExecutedSome,
				Cost: wire.Cost{Busy: busy},
			}})
		}
		for u.seen() == 0 {
			g.expect(`"one"`, plain, "")
		}
		time.Sleep(collectTimeout)
		assert.Equal(t, g.r.accounts.Totals().Reasons[wire.ReasonUnknown].Cost.Busy, wire.Micros(busy))
	})
}

// Guards against a question for a cost that closes the session of all other calls when
// the agent has nothing more to say.
func TestCostForgotten(t *testing.T) {
	inBubble(t, func(g *rig) {
		u := g.peers[0]
		var asked atomic.Int32
		u.query = func(st link.Stream, _ *wire.Query) {
			asked.Add(1)
			st.Reset()
		}
		l := g.r.snapshot.Load().links["u0"]
		before, _ := l.session()
		g.r.collectCost(l, wire.Ref{Request: "q", Stage: "one", Attempt: 1}, func(*wire.Result) { t.Error("booked") })
		time.Sleep(collectTimeout)
		after, _ := l.session()
		assert.Assert(t, before == after, "the session was closed")
		assert.Equal(t, asked.Load(), int32(1))
		assert.Equal(t, g.r.Count("cost_lost", wire.ReasonUnknown), int64(1))
	})
}
