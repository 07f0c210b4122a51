package router

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/wire"
)

// fakePlatform is an in-memory platform.
type fakePlatform struct {
	mu      sync.Mutex
	index   uint64
	tickets []plat.RawTicket
	hosts   []plat.Host
	down    bool // whether requests for tickets fail
}

func (p *fakePlatform) Tickets(ctx context.Context, after uint64, wait time.Duration) (plat.Page, error) {
	for end := time.Now().Add(wait); ; {
		p.mu.Lock()
		page := plat.Page{Index: p.index}
		for _, t := range p.tickets {
			if t.Index > after {
				page.Tickets = append(page.Tickets, t)
			}
		}
		down := p.down
		p.mu.Unlock()
		if down {
			return plat.Page{}, &plat.StatusError{Code: 503}
		}
		if len(page.Tickets) > 0 || time.Now().After(end) {
			return page, nil
		}
		if !clock.Sleep(ctx, 10*time.Millisecond) {
			return plat.Page{}, ctx.Err()
		}
	}
}

func (p *fakePlatform) Hosts(context.Context) ([]plat.Host, int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts, 0, nil
}

func (p *fakePlatform) publish(t *testing.T, n wire.TicketNumber, objs ...wire.Object) {
	data, err := json.Marshal(wire.Ticket{Number: n, Objects: objs})
	assert.NilError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.tickets = append(p.tickets, plat.RawTicket{Index: p.index, Ticket: data})
}

// fakeAgent is an agent whose answers are set by the test.
type fakeAgent struct {
	t     *testing.T
	name  wire.HostID
	ln    link.Listener
	mu    sync.Mutex
	rep   wire.Report // sent at the start of each session
	calls []wire.Call
	// answer handles one call; nil stands for answerCall.
	answer func(st link.Stream, c *wire.Call)
	// query handles one query; nil answers that the call is absent.
	query func(st link.Stream, q *wire.Query)
}

func (a *fakeAgent) report() *wire.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	rep := a.rep
	return &rep
}

func (a *fakeAgent) callCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.calls)
}

func (a *fakeAgent) run(ctx context.Context) {
	for {
		s, err := a.ln.Accept(ctx)
		if err != nil {
			return
		}
		_ = s.Control().Send(&wire.Frame{Report: a.report()})
		go func() {
			for {
				st, err := s.Accept(ctx)
				if err != nil {
					return
				}
				go a.serve(ctx, st)
			}
		}()
	}
}

func (a *fakeAgent) serve(ctx context.Context, st link.Stream) {
	f, err := st.Recv(ctx)
	if err != nil {
		return
	}
	switch {
	case f.Query != nil && a.query != nil:
		a.query(st, f.Query)
	case f.Query != nil:
		_ = st.Send(&wire.Frame{Refuse: refuseMessage(f.Query.Ref, wire.ReasonAbsent)})
	case f.Reserve != nil:
		_ = st.Send(&wire.Frame{Reserved: &wire.Reserved{Token: wire.Token(a.name + ":a:1")}})
	case f.Call != nil:
		a.mu.Lock()
		a.calls = append(a.calls, *f.Call)
		answer := a.answer
		a.mu.Unlock()
		if answer == nil {
			answer = answerCall
		}
		answer(st, f.Call)
	}
}

func refuseMessage(ref wire.Ref, reason wire.Reason) *wire.Refuse {
	return &wire.Refuse{Ref: ref, Reason: reason, Executed: wire.ExecutedNone, Retry: 50}
}

// refuseWith returns an answer function that refuses the call.
func refuseWith(reason wire.Reason) func(link.Stream, *wire.Call) {
	return func(st link.Stream, c *wire.Call) { _ = st.Send(&wire.Frame{Refuse: refuseMessage(c.Ref, reason)}) }
}

// answerCall accepts the call and answers with the name of the stage. A result of
// another call and a duplicate accept come first.
func answerCall(st link.Stream, c *wire.Call) {
	otherRef := c.Ref
	otherRef.Attempt++
	accept := &wire.Frame{Accept: &wire.Accept{Ref: c.Ref}}
	out := []byte(fmt.Sprintf("%q", c.Ref.Stage))
	for _, f := range []*wire.Frame{
		{Result: &wire.Result{Ref: otherRef, Outcome: wire.OutcomeDone, Executed: wire.ExecutedSome, Output: []byte(`"foreign"`)}},
		accept, accept,
		{Result: &wire.Result{Ref: c.Ref, Outcome: wire.OutcomeDone, Executed: wire.ExecutedSome, Output: out}},
	} {
		_ = st.Send(f)
	}
}

// failWith returns an answer function that accepts the call and answers with a failure.
func failWith(reason wire.Reason) func(link.Stream, *wire.Call) {
	return func(st link.Stream, c *wire.Call) {
		_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}})
		_ = st.Send(&wire.Frame{Result: &wire.Result{Ref: c.Ref, Outcome: wire.OutcomeFailed, Reason: reason, Executed: wire.ExecutedSome, Wasted: true}})
	}
}

// ignoreCall never answers the call.
func ignoreCall(link.Stream, *wire.Call) {}

// fixture is a router with a fake platform and two fake agents of one pool.
type fixture struct {
	t        *testing.T
	net      *link.Net
	platform *fakePlatform
	r        *Router
	agents   []*fakeAgent
	stop     func() error // stops the router and returns the error of Run; nil after the first time
}

const (
	testDrain                        = 10 * time.Second
	testTeam         wire.TeamID     = "folders"
	plainPipeline    wire.PipelineID = "notes"
	reservedPipeline wire.PipelineID = "kits"
)

// fleetObjects returns the configuration of the fixture: one team, one data centre, the
// two pipelines and two upstreams.
func fleetObjects() []wire.Object {
	objs := []wire.Object{
		{Kind: wire.ObjectKindTeam, Name: string(testTeam), Team: &wire.Team{Weight: 1, Queue: 64}},
		{Kind: wire.ObjectKindCentre, Name: "palermo", Centre: &wire.Centre{Region: "sicily", State: wire.CentreStateIn}},
	}
	for id, once := range map[wire.PipelineID]bool{plainPipeline: false, reservedPipeline: true} {
		objs = append(objs, wire.Object{Kind: wire.ObjectKindPipeline, Name: string(id), Pipeline: &wire.Pipeline{
			Deadline: 3000, Rank: wire.RankInteractive, Teams: []wire.TeamID{testTeam},
			Stages: []wire.Stage{{Name: "one", Kind: wire.KindPlain, Pool: "p", Once: once, Expect: 10}},
		}})
	}
	for i := range 2 {
		objs = append(objs, upstreamObject(i, wire.UpstreamStateServe))
	}
	return objs
}

func upstreamObject(i int, state wire.UpstreamState) wire.Object {
	return wire.Object{Kind: wire.ObjectKindUpstream, Name: fmt.Sprintf("u%d", i), Upstream: &wire.Upstream{
		Pool: "p", Kind: wire.KindPlain, Centre: "palermo", Host: wire.HostID(fmt.Sprintf("u%d", i)), Agent: wire.Address(fmt.Sprintf("10.0.0.%d:1", i)),
		Limit: 4, Cold: 4, State: state,
	}}
}

func testHello(role wire.Role, name wire.HostID) wire.Hello {
	return wire.Hello{Role: role, Name: name, Centre: "palermo", Incarnation: "a", Version: 1}
}

// runWithFixture runs f with a fixture in a synctest bubble, where time is virtual.
func runWithFixture(t *testing.T, f func(fx *fixture)) {
	runWithConfig(t, Config{Name: "r1", Centre: "palermo", Region: "sicily"}, f)
}

// runWithConfig is like runWithFixture for a router with the given settings.
func runWithConfig(t *testing.T, cfg Config, f func(fx *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{t: t, net: link.NewNet(), platform: &fakePlatform{}}
		ctx, stop := context.WithCancel(t.Context())
		for i := range 2 {
			a := &fakeAgent{t: t, name: wire.HostID(fmt.Sprintf("u%d", i))}
			a.rep = wire.Report{Upstream: wire.UpstreamID(a.name), Incarnation: "a", Warmth: wire.WarmthWarm, Limit: 4, Prefixes: []wire.Fingerprint{}}
			a.ln = fx.net.Listen(wire.Address(fmt.Sprintf("10.0.0.%d:1", i)), testHello(wire.RoleAgent, a.name))
			fx.agents = append(fx.agents, a)
			go a.run(ctx)
		}
		fx.platform.publish(t, 1, fleetObjects()...)
		fx.r = New(cfg, fx.net, nil, WithPlatform(fx.platform))
		runErr := make(chan error, 1)
		runCtx, stopRouter := context.WithCancel(ctx)
		fx.stop = func() error {
			stopRouter()
			err := <-runErr
			runErr <- nil
			return err
		}
		go func() { runErr <- fx.r.Run(runCtx, testDrain) }()
		time.Sleep(time.Second)
		f(fx)
		err := fx.stop()
		stop()
		assert.NilError(t, err)
	})
}

// setAnswers sets the answer function of both agents.
func (fx *fixture) setAnswers(answer func(link.Stream, *wire.Call)) {
	for _, a := range fx.agents {
		a.mu.Lock()
		a.answer = answer
		a.mu.Unlock()
	}
}

// callCount returns the number of calls that the agents received.
func (fx *fixture) callCount() int { return fx.agents[0].callCount() + fx.agents[1].callCount() }

// expect sends one request and compares the output, or the reason and executed of the
// refusal, with want. It returns the time that the request took.
func (fx *fixture) expect(want string, pipeline wire.PipelineID, token wire.Token) time.Duration {
	fx.t.Helper()
	start := time.Now()
	ans, refusal := fx.r.Do(fx.t.Context(), &Request{Team: testTeam, Pipeline: pipeline, Token: token, Body: []byte(`{}`)})
	got := ""
	if refusal != nil {
		got = string(refusal.Reason) + " " + string(refusal.Executed)
	} else {
		got = string(ans.Output)
	}
	assert.Equal(fx.t, got, want)
	return time.Since(start)
}

// TestDo guards against a router that answers a request wrongly or misreports how much
// of it was executed, when agents refuse, fail, crash or fall silent.
func TestDo(t *testing.T) {
	const token = "u0:a:1"
	for name, f := range map[string]func(fx *fixture){
		"frames of other calls and duplicates are dropped": func(fx *fixture) {
			fx.expect(`"one"`, plainPipeline, "")
			assert.Equal(fx.t, fx.r.Count("discarded", wire.ReasonMismatch), int64(1))
		},
		"a refused offer goes to the other replica": func(fx *fixture) {
			fx.agents[0].answer = refuseWith(wire.ReasonBusy)
			for range 20 {
				fx.expect(`"one"`, plainPipeline, "")
			}
			offered := map[wire.RequestID]bool{}
			for _, c := range fx.agents[0].calls {
				assert.Assert(fx.t, !offered[c.Ref.Request], "offered twice to the replica that refused")
				offered[c.Ref.Request] = true
			}
		},
		"all replicas refuse, so nothing is executed": func(fx *fixture) {
			fx.setAnswers(refuseWith(wire.ReasonBusy))
			fx.expect("busy none", plainPipeline, "")
		},
		"a failed replica is avoided on the retry": func(fx *fixture) {
			fx.agents[0].answer = failWith(wire.ReasonUpstream)
			for range 5 {
				fx.expect(`"one"`, plainPipeline, "")
			}
			assert.Assert(fx.t, fx.agents[0].callCount() <= 5)
		},
		"a replica that fails at once does not attract the calls": func(fx *fixture) {
			fx.agents[0].answer = failWith(wire.ReasonUpstream)
			for range 40 {
				fx.expect(`"one"`, plainPipeline, "")
			}
			// If failures didn't count as load, it would be tried first in half of the
			// requests, which exceeds the retry budget.
			assert.Assert(fx.t, fx.agents[0].callCount() <= 10, "%d calls", fx.agents[0].callCount())
		},
		"retries stay within the budget": func(fx *fixture) {
			fx.setAnswers(failWith(wire.ReasonUpstream))
			for range 50 {
				fx.expect("upstream some", plainPipeline, "")
			}
			// 50 first attempts, a burst of 10 retries, and a tenth of the first attempts.
			assert.Assert(fx.t, fx.callCount() <= 50+10+5, "%d calls", fx.callCount())
		},
		"silence is noticed in time for a retry": func(fx *fixture) {
			fx.agents[0].answer = ignoreCall
			for range 6 {
				took := fx.expect(`"one"`, plainPipeline, "")
				assert.Assert(fx.t, took < 2*time.Second, "took %s", took)
			}
		},
		"a silent reserved call is unknown": func(fx *fixture) {
			fx.agents[0].answer = func(st link.Stream, c *wire.Call) {
				_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}})
			}
			fx.expect("unknown unknown", reservedPipeline, token)
		},
		"an absent reserved call does not prove its token unused": func(fx *fixture) {
			s := &activeStage{activeRequest: &activeRequest{r: fx.r, executed: executionRecord{tokenUnknown: true}}}
			refused := (&attempt{link: fx.r.snapshot.Load().links["u0"], deadline: time.Now().Add(time.Second)}).refusalOutcome(refuseMessage(wire.Ref{}, wire.ReasonAbsent))
			s.recordAttempt(nil, &wire.Call{Once: true}, &refused, 0)
			assert.Equal(fx.t, s.executed.value(), wire.ExecutedUnknown)
		},
		"a reserved call is never sent to another upstream": func(fx *fixture) {
			fx.agents[0].answer = refuseWith(wire.ReasonBusy)
			fx.expect("busy none", reservedPipeline, token)
			assert.Equal(fx.t, fx.agents[1].callCount(), 0)
		},
		"a reserved failure is not retried": func(fx *fixture) {
			fx.agents[0].answer = failWith(wire.ReasonUpstream)
			fx.expect("upstream some", reservedPipeline, token)
			assert.Equal(fx.t, fx.callCount(), 1)
		},
		"a refusal before the reservation was checked says unknown": func(fx *fixture) {
			fx.r.cfg.MaxInFlight = 0
			fx.expect("overload unknown", reservedPipeline, token)
			fx.expect("overload none", plainPipeline, "")
		},
		"a reservation of an upstream that is gone says unknown": func(fx *fixture) {
			fx.expect("unavailable unknown", reservedPipeline, "u9:a:1")
		},
		"a missing reservation": func(fx *fixture) { fx.expect("reservation none", reservedPipeline, "") },
		"a crash leads to a solo run, a second crash to quarantine": func(fx *fixture) {
			fx.setAnswers(failWith(wire.ReasonCrashed))
			fx.expect("quarantined some", plainPipeline, "")
			assert.Equal(fx.t, fx.callCount(), 2)
			fx.expect("quarantined none", plainPipeline, "")
			assert.Equal(fx.t, fx.callCount(), 2)
			time.Sleep(11 * time.Minute)
			fx.setAnswers(nil)
			fx.expect(`"one"`, plainPipeline, "")
		},
		"identical suspect requests run one at a time": func(fx *fixture) {
			fx.setAnswers(func(st link.Stream, c *wire.Call) {
				time.Sleep(50 * time.Millisecond)
				failWith(wire.ReasonCrashed)(st, c)
			})
			fx.r.crashes.RecordCrash(time.Now(), crash.Fingerprint(testTeam, plainPipeline, []byte(`{}`)), testTeam, plainPipeline, false)
			var wg sync.WaitGroup
			for range 6 {
				wg.Go(func() {
					_, _ = fx.r.Do(fx.t.Context(), &Request{Team: testTeam, Pipeline: plainPipeline, Body: []byte(`{}`)})
				})
			}
			wg.Wait()
			assert.Equal(fx.t, fx.callCount(), 1)
		},
		"a suspect that survives its solo run is cleared": func(fx *fixture) {
			fx.setAnswers(func(st link.Stream, c *wire.Call) {
				if c.Solo {
					answerCall(st, c)
					return
				}
				failWith(wire.ReasonCrashed)(st, c)
			})
			fx.expect(`"one"`, plainPipeline, "")
			assert.Equal(fx.t, fx.callCount(), 2)
			fx.setAnswers(nil)
			fx.expect(`"one"`, plainPipeline, "")
			assert.Equal(fx.t, fx.r.crashes.State(time.Now(), crash.Fingerprint(testTeam, plainPipeline, []byte(`{}`))), wire.MarkStateCleared)
		},
		"a drained upstream gets no work": func(fx *fixture) {
			fx.platform.publish(fx.t, 2, upstreamObject(0, wire.UpstreamStateDrain))
			time.Sleep(time.Second)
			before := fx.agents[0].callCount()
			for range 8 {
				fx.expect(`"one"`, plainPipeline, "")
			}
			assert.Equal(fx.t, fx.agents[0].callCount(), before)
		},
		"a leaving host gets no work after 4 s": func(fx *fixture) {
			fx.platform.mu.Lock()
			fx.platform.hosts = []plat.Host{{Name: "u0", Role: wire.RoleAgent, State: plat.HostLeaving}}
			fx.platform.mu.Unlock()
			time.Sleep(4 * time.Second)
			for range 8 {
				fx.expect(`"one"`, plainPipeline, "")
			}
			assert.Equal(fx.t, fx.agents[0].callCount(), 0)
		},
		"a report of a full upstream goes stale": func(fx *fixture) {
			for _, a := range fx.agents {
				a.mu.Lock()
				a.rep.Flight = a.rep.Limit
				a.mu.Unlock()
			}
			fx.net.Kill("r1") // the first report of each new session shows a full upstream
			time.Sleep(time.Second)
			assert.Assert(fx.t, fx.expect(`"one"`, plainPipeline, "") < 2*time.Second)
		},
		"a ticket waits for the object that it refers to": func(fx *fixture) {
			fx.platform.publish(fx.t, 3, wire.Object{Kind: wire.ObjectKindKey, Name: "k", Key: &wire.Key{Team: "late", Hash: wire.KeyHash(fmt.Sprintf("%064d", 1))}})
			time.Sleep(time.Second)
			assert.Assert(fx.t, fx.r.snapshot.Load().rejected[0].Pending)
			fx.platform.publish(fx.t, 2, wire.Object{Kind: wire.ObjectKindTeam, Name: "late", Team: &wire.Team{Weight: 1, Queue: 1}})
			time.Sleep(time.Second)
			_, ok := fx.r.snapshot.Load().store.Key(wire.KeyHash(fmt.Sprintf("%064d", 1)))
			assert.Assert(fx.t, ok)
			assert.Equal(fx.t, len(fx.r.snapshot.Load().rejected), 0)
		},
	} {
		t.Run(name, func(t *testing.T) { runWithFixture(t, f) })
	}
}

// TestPeers guards against a router without configuration while the platform is down: a
// router that starts then must take the whole configuration from a peer.
func TestPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := link.NewNet()
		platformUp, platformDown := &fakePlatform{}, &fakePlatform{down: true}
		platformUp.publish(t, 7, fleetObjects()...)
		ctx, stop := context.WithCancel(t.Context())
		start := func(name wire.HostID, addr, other wire.Address, p *fakePlatform) (*Router, chan error) {
			r := New(Config{Name: name, Centre: "palermo", Region: "sicily", Peers: []wire.Address{other}}, net, net.Listen(addr, testHello(wire.RoleRouter, name)), WithPlatform(p))
			done := make(chan error, 1)
			go func() { done <- r.Run(ctx, time.Second) }()
			return r, done
		}
		r1, done1 := start("r1", "10.1.0.1:1", "10.1.0.2:1", platformUp)
		r2, done2 := start("r2", "10.1.0.2:1", "10.1.0.1:1", platformDown)
		time.Sleep(4 * time.Second)
		assertSameStore := func() {
			t.Helper()
			assert.DeepEqual(t, r2.snapshot.Load().store.Digest(), r1.snapshot.Load().store.Digest())
		}
		assertSameStore()
		platformUp.publish(t, 8, upstreamObject(0, wire.UpstreamStateDrain))
		time.Sleep(4 * time.Second)
		assertSameStore()
		u, _ := r2.snapshot.Load().store.Upstream("u0")
		assert.Equal(t, u.State, wire.UpstreamStateDrain)
		stop()
		assert.NilError(t, <-done1)
		assert.NilError(t, <-done2)
	})
}
