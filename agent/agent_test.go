package agent

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

// stub is an upstream whose calls end when the test sends to ends.
type stub struct {
	boot   wire.BootID
	loaded atomic.Pointer[Loaded]
	calls  chan *wire.Call
	ends   chan error
	orders chan Order
}

func newStub() *stub {
	s := &stub{boot: "b1", calls: make(chan *wire.Call, 64), ends: make(chan error, 64), orders: make(chan Order, 64)}
	s.loaded.Store(&Loaded{})
	return s
}

func (s *stub) Run(ctx context.Context, c *wire.Call, emit func([]byte) error) (Answer, error) {
	s.calls <- c
	if c.Stream {
		_ = emit([]byte("one "))
	}
	select {
	case err := <-s.ends:
		return Answer{Output: []byte(`"done"`), Cost: wire.Cost{Calls: 1}}, err
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

func (s *stub) Load(context.Context) (limit.LoadReport, Loaded, error) {
	return limit.LoadReport{Boot: s.boot}, *s.loaded.Load(), nil
}

func (s *stub) Order(_ context.Context, o Order) error {
	s.orders <- o
	s.loaded.Store(&o.Loaded)
	return nil
}

func (s *stub) Prefixes() []wire.Fingerprint { return nil }

// fixture is an agent with the session of one router, in virtual time.
type fixture struct {
	t    *testing.T
	net  *link.Net
	a    *Agent
	up   *stub
	sess link.Session
	stop context.CancelFunc
	done chan error
}

const fixtureDrain = time.Minute

const address wire.Address = "10.0.0.1:1"

func hello(role wire.Role, name wire.HostID, inc wire.Incarnation, epoch wire.Epoch) wire.Hello {
	return wire.Hello{Role: role, Name: name, Centre: "palermo", Incarnation: inc, Epoch: epoch, Version: 1}
}

// runInVirtualTime runs f with an agent that admits two calls at once to its
// upstream.
func runInVirtualTime(t *testing.T, f func(r *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		r := &fixture{t: t, net: link.NewNet(), up: newStub(), done: make(chan error, 1)}
		ln := r.net.Listen(address, hello(wire.RoleAgent, "u1", "a1", 0))
		r.a = New(Config{Name: "u1", Upstream: "u1", Centre: "palermo", Kind: wire.KindPlain, Bounds: limit.Bounds{Warm: 2, Cold: 2}}, r.up, ln, WithIncarnation("a1"))
		ctx, stop := context.WithCancel(t.Context())
		r.stop = stop
		go func() { r.done <- r.a.Run(ctx, fixtureDrain) }()
		r.dial(1)
		f(r)
		// End the calls that f left running, so that the drain completes.
		for range cap(r.up.ends) - len(r.up.ends) {
			r.up.ends <- nil
		}
		stop()
		assert.NilError(t, <-r.done)
	})
}

// dial opens a session as router r1 and waits for the agent's first report.
func (r *fixture) dial(epoch wire.Epoch) {
	s, err := r.net.Dial(r.t.Context(), address, hello(wire.RoleRouter, "r1", "r1", epoch))
	assert.NilError(r.t, err)
	f, err := s.Control().Recv(r.t.Context())
	assert.NilError(r.t, err)
	assert.Assert(r.t, f.Report != nil)
	r.sess = s
}

// call returns a call with a time limit of 3 s, which is non-repeatable if token is
// not empty.
func call(id wire.RequestID, token wire.Token) *wire.Call {
	return &wire.Call{
		Ref: wire.Ref{Request: id, Stage: "s", Attempt: 1}, Team: "t", Pipeline: "p", Kind: wire.KindPlain, Rank: wire.RankInteractive,
		Weight: 1, Left: 3000, Once: token != "", Token: token, Print: "f", Input: []byte("{}"),
	}
}

// send opens a stream, sends f on it and returns it.
func (r *fixture) send(f *wire.Frame) link.Stream {
	st, err := r.sess.Open(r.t.Context())
	assert.NilError(r.t, err)
	assert.NilError(r.t, st.Send(f))
	return st
}

// expect reads the next frame that is not a report, checks that its description is
// want, and returns it.
func (r *fixture) expect(st link.Stream, want string) *wire.Frame {
	r.t.Helper()
	for {
		ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
		f, err := st.Recv(ctx)
		cancel()
		assert.NilError(r.t, err)
		if f.Report != nil {
			continue
		}
		got := "other"
		switch {
		case f.Accept != nil:
			got = "accept"
		case f.Refuse != nil:
			got = "refuse " + string(f.Refuse.Reason) + " " + string(f.Refuse.Executed)
		case f.Chunk != nil:
			got = "chunk " + string(f.Chunk.Data)
		case f.Result != nil:
			got = "result " + string(f.Result.Outcome) + " " + string(f.Result.Executed)
		case f.Reserved != nil:
			got = "reserved"
		}
		assert.Equal(r.t, got, want)
		return f
	}
}

// result reads frames until the stream's result, or returns nil if the stream ends
// without one.
func (r *fixture) result(st link.Stream) *wire.Result {
	for {
		ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
		f, err := st.Recv(ctx)
		cancel()
		if err != nil {
			return nil
		}
		if f.Result != nil {
			return f.Result
		}
	}
}

// reserve returns a new token for a non-repeatable call.
func (r *fixture) reserve() wire.Token {
	return r.expect(r.send(&wire.Frame{Reserve: &wire.Reserve{Team: "t", Pipeline: "p"}}), "reserved").Reserved.Token
}

// startedCalls returns the number of calls that were sent to the upstream.
func (r *fixture) startedCalls() int { return len(r.up.calls) }

// TestCalls guards against calls that are lost, run twice or reported wrongly. Each
// case is named after the rule that prevents it.
func TestCalls(t *testing.T) {
	for name, f := range map[string]func(r *fixture){
		"duplicate call joins the run": func(r *fixture) {
			first := r.send(&wire.Frame{Call: call("1", "")})
			r.expect(first, "accept")
			again := r.send(&wire.Frame{Call: call("1", "")})
			r.expect(again, "accept")
			r.up.ends <- nil
			r.expect(first, "result done some")
			r.expect(again, "result done some")
			assert.Equal(r.t, r.startedCalls(), 1)
		},
		"duplicate call after the end gets the held result": func(r *fixture) {
			r.up.ends <- nil
			first := r.send(&wire.Frame{Call: call("1", "")})
			r.expect(first, "accept")
			r.expect(first, "result done some")
			again := r.send(&wire.Frame{Call: call("1", "")})
			r.expect(again, "accept")
			r.expect(again, "result done some")
			assert.Equal(r.t, r.startedCalls(), 1)
		},
		"a stream resumes at the next chunk": func(r *fixture) {
			c := call("1", "")
			c.Stream = true
			first := r.send(&wire.Frame{Call: c})
			r.expect(first, "accept")
			r.expect(first, "chunk one ")
			r.dial(2)
			again := r.send(&wire.Frame{Query: &wire.Query{Ref: c.Ref, Next: 1}})
			r.expect(again, "accept")
			r.up.ends <- nil
			r.expect(again, "result done some")
		},
		"a refused call leaves nothing behind": func(r *fixture) {
			r.sync(withTicketNumber(5, centre(wire.CentreStateOut)))
			r.expect(r.send(&wire.Frame{Call: call("1", "")}), "refuse out none")
			synctest.Wait()
			held, _ := r.a.held.Size()
			assert.Equal(r.t, held, 0)
		},
		"a call of a replaced session never starts": func(r *fixture) {
			old := r.sess
			r.dial(2)
			st, err := old.Open(r.t.Context())
			if err == nil {
				_ = st.Send(&wire.Frame{Call: call("1", "")})
			}
			r.expect(r.send(&wire.Frame{Query: &wire.Query{Ref: call("1", "").Ref}}), "refuse absent none")
			synctest.Wait()
			assert.Equal(r.t, r.startedCalls(), 0)
		},
		"a token runs once": func(r *fixture) {
			tok := r.reserve()
			r.up.ends <- nil
			st := r.send(&wire.Frame{Call: call("1", tok)})
			r.expect(st, "accept")
			r.expect(st, "result done some")
			st = r.send(&wire.Frame{Call: call("2", tok)})
			r.expect(st, "accept")
			r.expect(st, "result done some")
			assert.Equal(r.t, r.startedCalls(), 1)
		},
		"a token joins its running call": func(r *fixture) {
			tok := r.reserve()
			first := r.send(&wire.Frame{Call: call("1", tok)})
			r.expect(first, "accept")
			second := r.send(&wire.Frame{Call: call("2", tok)})
			synctest.Wait()
			r.up.ends <- nil
			r.expect(first, "result done some")
			r.expect(second, "accept")
			r.expect(second, "result done some")
			assert.Equal(r.t, r.startedCalls(), 1)
		},
		"the token of a failed call stays spent": func(r *fixture) {
			tok := r.reserve()
			r.up.ends <- &UpstreamError{Sent: true, Err: errors.New("broken")}
			st := r.send(&wire.Frame{Call: call("1", tok)})
			r.expect(st, "accept")
			r.expect(st, "result failed unknown")
			r.expect(r.send(&wire.Frame{Call: call("2", tok)}), "refuse spent unknown")
			assert.Equal(r.t, r.startedCalls(), 1)
		},
		"the token of a call that was not sent can be used again": func(r *fixture) {
			tok := r.reserve()
			r.up.ends <- &UpstreamError{Err: errors.New("connection refused")}
			st := r.send(&wire.Frame{Call: call("1", tok)})
			r.expect(st, "accept")
			r.expect(st, "result failed none")
			r.up.ends <- nil
			st = r.send(&wire.Frame{Call: call("2", tok)})
			r.expect(st, "accept")
			r.expect(st, "result done some")
		},
		"a token used with another body is refused as a mismatch": func(r *fixture) {
			tok := r.reserve()
			r.up.ends <- nil
			st := r.send(&wire.Frame{Call: call("1", tok)})
			r.expect(st, "accept")
			r.expect(st, "result done some")
			c := call("2", tok)
			c.Print = "g"
			r.expect(r.send(&wire.Frame{Call: c}), "refuse mismatch unknown")
		},
		"a token of another run of the agent is refused as spent": func(r *fixture) {
			r.expect(r.send(&wire.Frame{Call: call("1", "u1:a0:1")}), "refuse spent unknown")
		},
		"a call beyond the limit waits in the queue": func(r *fixture) {
			for _, id := range []wire.RequestID{"1", "2"} {
				r.expect(r.send(&wire.Frame{Call: call(id, "")}), "accept")
			}
			third := r.send(&wire.Frame{Call: call("3", "")})
			time.Sleep(time.Second)
			assert.Equal(r.t, r.startedCalls(), 2)
			r.up.ends <- nil
			r.expect(third, "accept")
		},
		"a queued call whose deadline passes is refused as not executed": func(r *fixture) {
			for _, id := range []wire.RequestID{"1", "2"} {
				r.expect(r.send(&wire.Frame{Call: call(id, "")}), "accept")
			}
			c := call("3", "")
			c.Left = 100
			r.expect(r.send(&wire.Frame{Call: c}), "refuse deadline none")
		},
		"a reset cancels the call": func(r *fixture) {
			st := r.send(&wire.Frame{Call: call("1", "")})
			r.expect(st, "accept")
			st.Reset()
			synctest.Wait()
			assert.Equal(r.t, r.a.Count("failed", wire.ReasonCancelled), int64(1))
		},
		"a call is cancelled when its router is lost, a non-repeatable one runs on": func(r *fixture) {
			tok := r.reserve()
			r.expect(r.send(&wire.Frame{Call: call("1", "")}), "accept")
			r.expect(r.send(&wire.Frame{Call: call("2", tok)}), "accept")
			r.net.Kill("r1")
			time.Sleep(orphanTimeout + time.Second/2)
			synctest.Wait()
			assert.Equal(r.t, r.a.Count("failed", wire.ReasonCancelled), int64(1))
			r.up.ends <- nil
			r.dial(2)
			st := r.send(&wire.Frame{Call: call("3", tok)})
			r.expect(st, "accept")
			r.expect(st, "result done some")
			assert.Equal(r.t, r.startedCalls(), 2)
		},
		"a call that was orphaned twice runs on while its router returns in time": func(r *fixture) {
			r.expect(r.send(&wire.Frame{Call: call("1", "")}), "accept")
			query := func(epoch wire.Epoch) link.Stream {
				r.dial(epoch)
				st := r.send(&wire.Frame{Query: &wire.Query{Ref: call("1", "").Ref}})
				r.expect(st, "accept")
				return st
			}
			r.sess.Close("lost")
			time.Sleep(orphanTimeout - 200*time.Millisecond)
			query(2)
			r.sess.Close("lost again")
			time.Sleep(400 * time.Millisecond)
			st := query(3)
			r.up.ends <- nil
			r.expect(st, "result done some")
		},
		"frames go on while the upstream is silent and the call is queued": func(r *fixture) {
			streams := []link.Stream{}
			for _, id := range []wire.RequestID{"1", "2", "3"} {
				streams = append(streams, r.send(&wire.Frame{Call: call(id, "")}))
			}
			for range 8 {
				for _, st := range streams {
					ctx, cancel := context.WithTimeout(r.t.Context(), heartbeatInterval+50*time.Millisecond)
					_, err := st.Recv(ctx)
					cancel()
					assert.NilError(r.t, err)
				}
			}
		},
		"the router of a call that outlasts the drain learns its outcome": func(r *fixture) {
			var streams []link.Stream
			for id, token := range map[wire.RequestID]wire.Token{"1": "", "2": r.reserve()} {
				c := call(id, token)
				c.Left = wire.Millis(2 * fixtureDrain / time.Millisecond)
				st := r.send(&wire.Frame{Call: c})
				r.expect(st, "accept")
				streams = append(streams, st)
			}
			r.stop()
			for _, st := range streams {
				res := r.result(st)
				if res == nil {
					r.t.Error("the agent stopped without a result of the call")
					continue
				}
				assert.Equal(r.t, res.Reason, wire.ReasonUnknown)
				assert.Assert(r.t, res.Executed != wire.ExecutedNone)
				_ = st.Send(&wire.Frame{Ack: &wire.Ack{Ref: res.Ref}})
			}
			assert.ErrorContains(r.t, <-r.done, "drain exceeded")
			r.done <- nil
		},
		"a drain refuses new calls and finishes those under way": func(r *fixture) {
			st := r.send(&wire.Frame{Call: call("1", "")})
			r.expect(st, "accept")
			r.stop()
			synctest.Wait()
			r.expect(r.send(&wire.Frame{Call: call("2", "")}), "refuse leaving none")
			r.up.ends <- nil
			r.expect(st, "result done some")
			assert.NilError(r.t, st.Send(&wire.Frame{Ack: &wire.Ack{Ref: call("1", "").Ref}}))
		},
	} {
		t.Run(name, func(t *testing.T) { runInVirtualTime(t, f) })
	}
}

// withTicketNumber returns o as ticket n sets it.
func withTicketNumber(n wire.TicketNumber, o wire.Object) wire.Object {
	o.Number = n
	return o
}

func upstream(state wire.UpstreamState, fencing bool) wire.Object {
	return wire.Object{Kind: wire.ObjectKindUpstream, Name: "u1", Upstream: &wire.Upstream{
		Pool: "p", Kind: wire.KindGenerate, Centre: "palermo", Limit: 2, Cold: 2, State: state, Model: "m", Fencing: fencing,
	}}
}

func model(version wire.Version) wire.Object {
	return wire.Object{Kind: wire.ObjectKindModel, Name: "m", Model: &wire.Model{Version: version}}
}

func centre(state wire.CentreState) wire.Object {
	return wire.Object{Kind: wire.ObjectKindCentre, Name: "palermo", Centre: &wire.Centre{Region: "sicily", State: state}}
}

// sync sends configuration objects to the agent and waits until it is idle again.
func (r *fixture) sync(objs ...wire.Object) {
	assert.NilError(r.t, r.sess.Control().Send(&wire.Frame{Sync: &wire.Sync{Objects: objs}}))
	synctest.Wait()
}

// TestObjects guards against an agent that returns to an older ticket, admits calls
// in a data centre that is out of service, or sends an outdated order to an engine.
func TestObjects(t *testing.T) {
	for name, f := range map[string]func(r *fixture){
		"a centre that is out refuses calls, and an older ticket does not revert it": func(r *fixture) {
			r.sync(withTicketNumber(7, centre(wire.CentreStateOut)))
			r.sync(withTicketNumber(6, centre(wire.CentreStateIn)))
			r.expect(r.send(&wire.Frame{Call: call("1", "")}), "refuse out none")
			r.sync(withTicketNumber(8, centre(wire.CentreStateIn)))
			r.expect(r.send(&wire.Frame{Call: call("2", "")}), "accept")
		},
		"queued calls are refused when the drain begins": func(r *fixture) {
			for _, id := range []wire.RequestID{"1", "2"} {
				r.expect(r.send(&wire.Frame{Call: call(id, "")}), "accept")
			}
			st := r.send(&wire.Frame{Call: call("3", "")})
			synctest.Wait()
			r.sync(withTicketNumber(3, upstream(wire.UpstreamStateDrain, true)))
			r.expect(st, "refuse leaving none")
		},
		"orders follow the newest ticket": func(r *fixture) {
			r.sync(withTicketNumber(5, upstream(wire.UpstreamStateServe, true)), withTicketNumber(5, model(2)))
			time.Sleep(ticketPropagationLimit + 2*time.Second)
			r.sync(withTicketNumber(4, model(1)))
			time.Sleep(5 * time.Second)
			assert.Equal(r.t, len(r.up.orders), 1)
			o := <-r.up.orders
			assert.Equal(r.t, o.Version, wire.Version(2))
			assert.Equal(r.t, o.Fence, wire.TicketNumber(5))
		},
		"no order without fencing while no router confirms": func(r *fixture) {
			r.sync(withTicketNumber(5, upstream(wire.UpstreamStateServe, false)), withTicketNumber(5, model(2)))
			r.net.Kill("r1")
			time.Sleep(20 * time.Second)
			assert.Equal(r.t, len(r.up.orders), 0)
			r.dial(2)
			r.sync(withTicketNumber(5, upstream(wire.UpstreamStateServe, false)))
			time.Sleep(time.Second)
			assert.Equal(r.t, len(r.up.orders), 1)
		},
	} {
		t.Run(name, func(t *testing.T) { runInVirtualTime(t, f) })
	}
}
