package matrix

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

const (
	naiveTimeout  = 300 * time.Millisecond
	naiveAttempts = 5
)

// naiveRouter is the simplest implementation: one process that reads the
// configuration once and calls the upstreams directly, chosen at random and
// without limits. A connection carries one call at a time, and its answers come
// in order. Every error and timeout is retried, and every refusal reports that
// nothing was executed.
type naiveRouter struct {
	w *world
	p *process

	mu     sync.Mutex
	rng    *rand.Rand
	store  *ticket.Store
	idle   map[wire.UpstreamID][]*naiveConn
	serial int
	runCtx context.Context
}

// naiveConn is a connection to an upstream. events may still receive the answer
// to a call that timed out.
type naiveConn struct {
	upstreamClient
	events chan event
}

func newNaiveRouter(w *world, p *process) *naiveRouter {
	return &naiveRouter{w: w, p: p, rng: rand.New(rand.NewPCG(1, 2)), idle: map[wire.UpstreamID][]*naiveConn{}, runCtx: context.Background()}
}

// Run reads the configuration and serves until ctx ends, then returns at once.
// That cancels the calls in flight.
func (n *naiveRouter) Run(ctx context.Context, _ time.Duration) error {
	n.mu.Lock()
	n.runCtx = ctx
	n.mu.Unlock()
	page, err := platformReader{n.w.platform, n.p}.Tickets(ctx, 0, time.Minute)
	if err != nil {
		return err
	}
	store := new(ticket.Store)
	for _, raw := range page.Tickets {
		t, err := ticket.Parse(raw.Ticket)
		if err != nil {
			return err
		}
		if store, _, err = store.Apply(t); err != nil {
			return err
		}
	}
	n.mu.Lock()
	n.store = store
	n.mu.Unlock()
	<-ctx.Done()
	return nil
}

func (n *naiveRouter) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.store == nil || n.runCtx.Err() != nil {
		return errors.New("not running")
	}
	return nil
}

func (n *naiveRouter) nextSerial() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	return n.serial
}

func (n *naiveRouter) Reserve(context.Context, wire.TeamID, wire.PipelineID) (wire.Token, *router.Refusal) {
	return wire.Token(fmt.Sprintf("%s-%d", n.p.incarnation, n.nextSerial())), nil
}

func (n *naiveRouter) Do(_ context.Context, req *router.Request) (*router.Answer, *router.Refusal) {
	id := wire.RequestID(fmt.Sprintf("%.8s-%d", n.p.incarnation, n.nextSerial()))
	pl, ok := n.store.Pipeline(req.Pipeline)
	if !ok {
		return nil, &router.Refusal{Request: id, Reason: wire.ReasonNotfound, Executed: wire.ExecutedNone}
	}
	n.w.withLock(func() { n.w.routerByRequest[id] = n.p.name })
	out := []byte("null")
	for i := range pl.Stages {
		sink := req.Sink
		if i < len(pl.Stages)-1 {
			sink = nil
		}
		var err error
		if out, err = n.runStage(id, req, &pl.Stages[i], out, sink); err != nil {
			return nil, &router.Refusal{Request: id, Reason: wire.ReasonUpstream, Executed: wire.ExecutedNone}
		}
	}
	return &router.Answer{Request: id, Output: out}, nil
}

// runStage runs one stage with retries and returns its output.
func (n *naiveRouter) runStage(id wire.RequestID, req *router.Request, st *wire.Stage, prior []byte, sink func([]byte) error) (out []byte, err error) {
	input, err := json.Marshal(stageBody{req.Body, prior})
	if err != nil {
		return nil, err
	}
	text := ""
	emit := func(s string) {
		text += s
		if sink != nil {
			_ = sink([]byte(s))
		}
	}
	for try := range naiveAttempts {
		c := n.pickConn(st.Pool)
		call := &wire.Call{Ref: wire.Ref{Request: id, Stage: st.Name, Attempt: wire.Attempt(try + 1)}, Kind: st.Kind, Once: st.Once, Input: input}
		if st.Once {
			call.Token = req.Token
		}
		if out, err = n.call(c, call, emit); err == nil {
			break
		}
	}
	if st.Kind == wire.KindGenerate && err == nil {
		out, err = json.Marshal(map[string]string{"text": text})
	}
	return out, err
}

// pickConn returns an idle or new connection to a random upstream of the pool.
func (n *naiveRouter) pickConn(pool wire.PoolID) *naiveConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []wire.UpstreamID
	for _, o := range n.store.Upstreams() {
		if o.Upstream.Pool == pool {
			ids = append(ids, wire.UpstreamID(o.Name))
		}
	}
	id := ids[n.rng.IntN(len(ids))]
	if idle := n.idle[id]; len(idle) > 0 {
		n.idle[id] = idle[1:]
		return idle[0]
	}
	return &naiveConn{upstreamClient{n.w.upstreams[id], n.p}, make(chan event, 64)}
}

// call sends a call on a connection and reads events up to the end of an
// answer. After a timeout the connection is reused although the answer is still
// to come, so that the next call can receive it.
func (n *naiveRouter) call(c *naiveConn, call *wire.Call, emit func(string)) ([]byte, error) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.idle[c.upstream.id] = append(n.idle[c.upstream.id], c)
	}()
	n.w.wg.Go(func() {
		a, err := c.Run(n.runCtx, call, func(text []byte) error {
			n.w.observe("stream", faultTarget{agent: n.p.name, upstream: c.upstream})
			c.events <- event{text: string(text)}
			return nil
		})
		c.events <- event{output: a.Output, err: err, end: true}
	})
	timeout := time.NewTimer(naiveTimeout)
	defer timeout.Stop()
	for {
		select {
		case e := <-c.events:
			if e.end {
				return e.output, e.err
			}
			emit(e.text)
		case <-timeout.C:
			return nil, context.DeadlineExceeded
		}
	}
}

// allSlow makes every upstream slow. If only the one that executes the first call is slow,
// the order of goroutines decides whether late answers of a last stage exist, which are
// the ones that reach another request whole.
var allSlow = fault{name: "all slow", inject: func(w *world, _ faultTarget) {
	set := func(on bool) {
		w.withLock(func() {
			for _, u := range w.upstreams {
				u.slow = on
			}
		})
	}
	set(true)
	time.Sleep(faultDuration)
	set(false)
}}

// TestNaiveBreaks guards against a checker that detects nothing: it must report
// that the naive router breaks each of the nine guarantees in the given cell.
func TestNaiveBreaks(t *testing.T) {
	for _, c := range []struct {
		guarantee   int
		fault, step string
	}{
		{guaranteeResults, "all slow", "execute"},
		{guaranteeColdStart, "cold without warning", "execute"},
		{guaranteeCentreOut, "data centre out", "accept"},
		{guaranteeWholeAnswer, "error", "stream"},
		{guaranteeNotExecuted, "error", "execute"},
		{guaranteeAtMostOnce, "slow", "execute"},
		{guaranteeDraining, "host list lagging", "accept"},
		{guaranteeGracefulStop, "crash", "drain"},
		{guaranteeTicketInForce, "platform stale", "accept"},
	} {
		t.Run(fmt.Sprintf("%d/%s/%s", c.guarantee, c.fault, c.step), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				vs := runCell(t, faultNamed(c.fault), c.step, seedOf(c.fault, c.step), true).check()
				for _, v := range vs {
					if v.guarantee == c.guarantee {
						t.Logf("guarantee %d in cell %s/%s: %s", v.guarantee, c.fault, c.step, v.message)
						return
					}
				}
				t.Errorf("the checker reported no violation of guarantee %d, only:%s", c.guarantee, summary(vs))
			})
		})
	}
}

// faultNamed returns the fault with a name, or nil.
func faultNamed(name string) *fault {
	for _, f := range append(faults(), allSlow) {
		if f.name == name {
			return &f
		}
	}
	return nil
}

// TestSameAnswers verifies that the real and the naive router give the same
// answers when there are no faults and no planned changes.
func TestSameAnswers(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var got [2]map[string]string
			for i, naive := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					got[i] = answers(t, runCell(t, &fault{skipScript: true}, "", seed, naive))
				})
			}
			if len(got[0]) == 0 || len(got[0]) != len(got[1]) {
				t.Errorf("%d answers from the real router, %d from the naive one", len(got[0]), len(got[1]))
			}
			for key, out := range got[0] {
				if got[1][key] != out {
					t.Errorf("request %s: real router answered %s, naive one %s", key, out, got[1][key])
				}
			}
		})
	}
}

// answers returns the output and the streamed text of each request that its
// caller did not cancel, by key.
func answers(t *testing.T, w *world) map[string]string {
	out := map[string]string{}
	for _, q := range w.requests {
		switch {
		case q.neverCancels && q.answer == nil:
			t.Errorf("request %s was not answered: %v", q.key, q.refusal)
		case q.neverCancels:
			out[q.key] = string(q.answer.Output) + string(q.streamedText)
		}
	}
	return out
}
