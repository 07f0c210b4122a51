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

// publisher is a platform in memory.
type publisher struct {
	mu      sync.Mutex
	index   uint64
	tickets []plat.RawTicket
	hosts   []plat.Host
	down    bool
}

func (p *publisher) Tickets(ctx context.Context, after uint64, wait time.Duration) (plat.Page, error) {
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

func (p *publisher) Hosts(context.Context) ([]plat.Host, int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts, 0, nil
}

func (p *publisher) publish(t *testing.T, n wire.TicketNumber, objs ...wire.Object) {
	data, err := json.Marshal(wire.Ticket{Number: n, Objects: objs})
	assert.NilError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.tickets = append(p.tickets, plat.RawTicket{Index: p.index, Ticket: data})
}

// peer is an agent whose answers the test scripts.
type peer struct {
	t     *testing.T
	name  wire.HostID
	ln    link.Listener
	mu    sync.Mutex
	rep   wire.Report
	calls []wire.Call
	// answer handles one call; nil accepts it and answers it.
	answer func(st link.Stream, c *wire.Call)
	// query answers one query; nil says that the call is absent.
	query func(st link.Stream, q *wire.Query)
}

func (p *peer) report() *wire.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	rep := p.rep
	return &rep
}

func (p *peer) seen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls)
}

func (p *peer) run(ctx context.Context) {
	for {
		s, err := p.ln.Accept(ctx)
		if err != nil {
			return
		}
		_ = s.Control().Send(&wire.Frame{Report: p.report()})
		go func() {
			for {
				st, err := s.Accept(ctx)
				if err != nil {
					return
				}
				go p.serve(ctx, st)
			}
		}()
	}
}

func (p *peer) serve(ctx context.Context, st link.Stream) {
	f, err := st.Recv(ctx)
	if err != nil {
		return
	}
	switch {
	case f.Query != nil && p.query != nil:
		p.query(st, f.Query)
	case f.Query != nil:
		_ = st.Send(&wire.Frame{Refuse: refusal(f.Query.Ref, wire.ReasonAbsent)})
	case f.Reserve != nil:
		_ = st.Send(&wire.Frame{Reserved: &wire.Reserved{Token: wire.Token(p.name + ":a:1")}})
	case f.Call != nil:
		p.mu.Lock()
		p.calls = append(p.calls, *f.Call)
		answer := p.answer
		p.mu.Unlock()
		if answer == nil {
			answer = done
		}
		answer(st, f.Call)
	}
}

func refusal(ref wire.Ref, reason wire.Reason) *wire.Refuse {
	return &wire.Refuse{Ref: ref, Reason: reason, Executed: wire.ExecutedNone, Retry: 50}
}

func refuse(reason wire.Reason) func(link.Stream, *wire.Call) {
	return func(st link.Stream, c *wire.Call) { _ = st.Send(&wire.Frame{Refuse: refusal(c.Ref, reason)}) }
}

// done answers with the name of the stage; foreign and doubled frames come first.
func done(st link.Stream, c *wire.Call) {
	foreign := c.Ref
	foreign.Attempt++
	accept := &wire.Frame{Accept: &wire.Accept{Ref: c.Ref}}
	out := []byte(fmt.Sprintf("%q", c.Ref.Stage))
	for _, f := range []*wire.Frame{
		{Result: &wire.Result{Ref: foreign, Outcome: wire.OutcomeDone, Executed: wire.ExecutedSome, Output: []byte(`"foreign"`)}},
		accept, accept,
		{Result: &wire.Result{Ref: c.Ref, Outcome: wire.OutcomeDone, Executed: wire.ExecutedSome, Output: out}},
	} {
		_ = st.Send(f)
	}
}

func fail(reason wire.Reason) func(link.Stream, *wire.Call) {
	return func(st link.Stream, c *wire.Call) {
		_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}})
		_ = st.Send(&wire.Frame{Result: &wire.Result{Ref: c.Ref, Outcome: wire.OutcomeFailed, Reason: reason, Executed: wire.ExecutedSome, Wasted: true}})
	}
}

// silent takes a call and never says a word.
func silent(link.Stream, *wire.Call) {}

// rig is a router with two agents of one pool, in virtual time.
type rig struct {
	t     *testing.T
	net   *link.Net
	plat  *publisher
	r     *Router
	peers []*peer
}

const (
	team     wire.TeamID     = "folders"
	plain    wire.PipelineID = "notes"
	reserved wire.PipelineID = "kits"
)

func fleetObjects() []wire.Object {
	objs := []wire.Object{
		{Kind: wire.ObjectKindTeam, Name: string(team), Team: &wire.Team{Weight: 1, Queue: 64}},
		{Kind: wire.ObjectKindCentre, Name: "palermo", Centre: &wire.Centre{Region: "sicily", State: wire.CentreStateIn}},
	}
	for id, once := range map[wire.PipelineID]bool{plain: false, reserved: true} {
		objs = append(objs, wire.Object{Kind: wire.ObjectKindPipeline, Name: string(id), Pipeline: &wire.Pipeline{
			Deadline: 3000, Rank: wire.RankInteractive, Teams: []wire.TeamID{team},
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

func greeting(role wire.Role, name wire.HostID) wire.Hello {
	return wire.Hello{Role: role, Name: name, Centre: "palermo", Incarnation: "a", Version: 1}
}

func inBubble(t *testing.T, f func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		g := &rig{t: t, net: link.NewNet(), plat: &publisher{}}
		ctx, stop := context.WithCancel(t.Context())
		for i := range 2 {
			p := &peer{t: t, name: wire.HostID(fmt.Sprintf("u%d", i))}
			p.rep = wire.Report{Upstream: wire.UpstreamID(p.name), Incarnation: "a", Warmth: wire.WarmthWarm, Limit: 4, Prefixes: []wire.Fingerprint{}}
			p.ln = g.net.Listen(wire.Address(fmt.Sprintf("10.0.0.%d:1", i)), greeting(wire.RoleAgent, p.name))
			g.peers = append(g.peers, p)
			go p.run(ctx)
		}
		g.plat.publish(t, 1, fleetObjects()...)
		g.r = New(Config{Name: "r1", Centre: "palermo", Region: "sicily"}, g.net, nil, WithPlatform(g.plat))
		ended := make(chan error, 1)
		go func() { ended <- g.r.Run(ctx, 10*time.Second) }()
		time.Sleep(time.Second)
		f(g)
		stop()
		assert.NilError(t, <-ended)
	})
}

// script gives both agents the same answers.
func (g *rig) script(answer func(link.Stream, *wire.Call)) {
	for _, p := range g.peers {
		p.mu.Lock()
		p.answer = answer
		p.mu.Unlock()
	}
}

func (g *rig) seen() int { return g.peers[0].seen() + g.peers[1].seen() }

// expect sends one request and compares the answer, or the refusal's reason and
// executed.
func (g *rig) expect(want string, pl wire.PipelineID, token wire.Token) time.Duration {
	g.t.Helper()
	begun := time.Now()
	ans, ref := g.r.Do(g.t.Context(), &Request{Team: team, Pipeline: pl, Token: token, Body: []byte(`{}`)})
	got := ""
	if ref != nil {
		got = string(ref.Reason) + " " + string(ref.Executed)
	} else {
		got = string(ans.Output)
	}
	assert.Equal(g.t, got, want)
	return time.Since(begun)
}

// TestDo guards what a router says of a request, whatever its agents do.
func TestDo(t *testing.T) {
	const token = "u0:a:1"
	for name, f := range map[string]func(g *rig){
		"foreign and doubled frames are dropped": func(g *rig) {
			g.expect(`"one"`, plain, "")
			assert.Equal(g.t, g.r.Count("discarded", wire.ReasonMismatch), int64(1))
		},
		"a refused offer goes to the other replica": func(g *rig) {
			g.peers[0].answer = refuse(wire.ReasonBusy)
			for range 20 {
				g.expect(`"one"`, plain, "")
			}
			offered := map[wire.RequestID]bool{}
			for _, c := range g.peers[0].calls {
				assert.Assert(g.t, !offered[c.Ref.Request], "offered twice to the replica that refused")
				offered[c.Ref.Request] = true
			}
		},
		"all refuse, nothing ran": func(g *rig) {
			g.script(refuse(wire.ReasonBusy))
			g.expect("busy none", plain, "")
		},
		"a failed replica is avoided on the retry": func(g *rig) {
			g.peers[0].answer = fail(wire.ReasonUpstream)
			for range 5 {
				g.expect(`"one"`, plain, "")
			}
			assert.Assert(g.t, g.peers[0].seen() <= 5)
		},
		"a replica that fails at once does not draw the calls": func(g *rig) {
			g.peers[0].answer = fail(wire.ReasonUpstream)
			for range 40 {
				g.expect(`"one"`, plain, "")
			}
			// Without a load for failures it would be tried first in half of the
			// requests, which is more than the retry budget bears.
			assert.Assert(g.t, g.peers[0].seen() <= 10, "%d calls", g.peers[0].seen())
		},
		"retries stay within the budget": func(g *rig) {
			g.script(fail(wire.ReasonUpstream))
			for range 50 {
				g.expect("upstream some", plain, "")
			}
			// 50 first attempts, a burst of 10, and a tenth of the first attempts.
			assert.Assert(g.t, g.seen() <= 50+10+5, "%d calls", g.seen())
		},
		"silence is noticed in time for a retry": func(g *rig) {
			g.peers[0].answer = silent
			for range 6 {
				took := g.expect(`"one"`, plain, "")
				assert.Assert(g.t, took < 2*time.Second, "took %s", took)
			}
		},
		"a silent reserved call is unknown": func(g *rig) {
			g.peers[0].answer = func(st link.Stream, c *wire.Call) {
				_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}})
			}
			g.expect("unknown unknown", reserved, token)
		},
		"an absent reserved call does not speak for its token": func(g *rig) {
			s := &activeStage{activeRequest: &activeRequest{r: g.r, executed: executionRecord{tokenUnknown: true}}}
			refused := (&attempt{link: g.r.snapshot.Load().links["u0"], deadline: time.Now().Add(time.Second)}).refusalOutcome(refusal(wire.Ref{}, wire.ReasonAbsent))
			s.record(nil, &wire.Call{Once: true}, &refused, 0)
			assert.Equal(g.t, s.executed.value(), wire.ExecutedUnknown)
		},
		"a reserved call is never sent to another upstream": func(g *rig) {
			g.peers[0].answer = refuse(wire.ReasonBusy)
			g.expect("busy none", reserved, token)
			assert.Equal(g.t, g.peers[1].seen(), 0)
		},
		"a reserved failure is not retried": func(g *rig) {
			g.peers[0].answer = fail(wire.ReasonUpstream)
			g.expect("upstream some", reserved, token)
			assert.Equal(g.t, g.seen(), 1)
		},
		"a refusal before the agent was asked says unknown": func(g *rig) {
			g.r.cfg.MaxInFlight = 0
			g.expect("overload unknown", reserved, token)
			g.expect("overload none", plain, "")
		},
		"a reservation of an upstream that is gone says unknown": func(g *rig) {
			g.expect("unavailable unknown", reserved, "u9:a:1")
		},
		"a missing reservation": func(g *rig) { g.expect("reservation none", reserved, "") },
		"a crash makes a suspect that runs alone, then a quarantine": func(g *rig) {
			g.script(fail(wire.ReasonCrashed))
			g.expect("quarantined some", plain, "")
			assert.Equal(g.t, g.seen(), 2)
			g.expect("quarantined none", plain, "")
			assert.Equal(g.t, g.seen(), 2)
			time.Sleep(11 * time.Minute)
			g.script(nil)
			g.expect(`"one"`, plain, "")
		},
		"copies of a suspect run one after another": func(g *rig) {
			g.script(func(st link.Stream, c *wire.Call) {
				time.Sleep(50 * time.Millisecond)
				fail(wire.ReasonCrashed)(st, c)
			})
			g.r.crashes.RecordCrash(time.Now(), crash.Fingerprint(team, plain, []byte(`{}`)), team, plain, false)
			var wg sync.WaitGroup
			for range 6 {
				wg.Go(func() { _, _ = g.r.Do(g.t.Context(), &Request{Team: team, Pipeline: plain, Body: []byte(`{}`)}) })
			}
			wg.Wait()
			assert.Equal(g.t, g.seen(), 1)
		},
		"an innocent is cleared by its run alone": func(g *rig) {
			g.script(func(st link.Stream, c *wire.Call) {
				if c.Solo {
					done(st, c)
					return
				}
				fail(wire.ReasonCrashed)(st, c)
			})
			g.expect(`"one"`, plain, "")
			assert.Equal(g.t, g.seen(), 2)
			g.script(nil)
			g.expect(`"one"`, plain, "")
			assert.Equal(g.t, g.r.crashes.State(time.Now(), crash.Fingerprint(team, plain, []byte(`{}`))), wire.MarkStateCleared)
		},
		"a drained upstream gets no work": func(g *rig) {
			g.plat.publish(g.t, 2, upstreamObject(0, wire.UpstreamStateDrain))
			time.Sleep(time.Second)
			before := g.peers[0].seen()
			for range 8 {
				g.expect(`"one"`, plain, "")
			}
			assert.Equal(g.t, g.peers[0].seen(), before)
		},
		"a leaving host gets no work after 4 s": func(g *rig) {
			g.plat.mu.Lock()
			g.plat.hosts = []plat.Host{{Name: "u0", Role: wire.RoleAgent, State: plat.HostLeaving}}
			g.plat.mu.Unlock()
			time.Sleep(4 * time.Second)
			for range 8 {
				g.expect(`"one"`, plain, "")
			}
			assert.Equal(g.t, g.peers[0].seen(), 0)
		},
		"a report of a full upstream goes stale": func(g *rig) {
			for _, p := range g.peers {
				p.mu.Lock()
				p.rep.Flight = p.rep.Limit
				p.mu.Unlock()
			}
			g.net.Kill("r1") // the first report of each new session says full
			time.Sleep(time.Second)
			assert.Assert(g.t, g.expect(`"one"`, plain, "") < 2*time.Second)
		},
		"a ticket waits for the one that it names": func(g *rig) {
			g.plat.publish(g.t, 3, wire.Object{Kind: wire.ObjectKindKey, Name: "k", Key: &wire.Key{Team: "late", Hash: wire.KeyHash(fmt.Sprintf("%064d", 1))}})
			time.Sleep(time.Second)
			assert.Assert(g.t, g.r.snapshot.Load().rejected[0].Pending)
			g.plat.publish(g.t, 2, wire.Object{Kind: wire.ObjectKindTeam, Name: "late", Team: &wire.Team{Weight: 1, Queue: 1}})
			time.Sleep(time.Second)
			_, ok := g.r.snapshot.Load().store.Key(wire.KeyHash(fmt.Sprintf("%064d", 1)))
			assert.Assert(g.t, ok)
			assert.Equal(g.t, len(g.r.snapshot.Load().rejected), 0)
		},
	} {
		t.Run(name, func(t *testing.T) { inBubble(t, f) })
	}
}

// TestPeers guards catch-up from peers while the platform is down: a router that
// starts without it takes everything from another one.
func TestPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := link.NewNet()
		up, down := &publisher{}, &publisher{down: true}
		up.publish(t, 7, fleetObjects()...)
		ctx, stop := context.WithCancel(t.Context())
		start := func(name wire.HostID, addr, other wire.Address, p *publisher) (*Router, chan error) {
			r := New(Config{Name: name, Centre: "palermo", Region: "sicily", Peers: []wire.Address{other}}, net, net.Listen(addr, greeting(wire.RoleRouter, name)), WithPlatform(p))
			done := make(chan error, 1)
			go func() { done <- r.Run(ctx, time.Second) }()
			return r, done
		}
		r1, done1 := start("r1", "10.1.0.1:1", "10.1.0.2:1", up)
		r2, done2 := start("r2", "10.1.0.2:1", "10.1.0.1:1", down)
		time.Sleep(4 * time.Second)
		same := func() {
			t.Helper()
			assert.DeepEqual(t, r2.snapshot.Load().store.Digest(), r1.snapshot.Load().store.Digest())
		}
		same()
		up.publish(t, 8, upstreamObject(0, wire.UpstreamStateDrain))
		time.Sleep(4 * time.Second)
		same()
		u, _ := r2.snapshot.Load().store.Upstream("u0")
		assert.Equal(t, u.State, wire.UpstreamStateDrain)
		stop()
		assert.NilError(t, <-done1)
		assert.NilError(t, <-done2)
	})
}
