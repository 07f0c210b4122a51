package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

// request is the caller's record of one call of Do.
type request struct {
	key          string
	pipeline     wire.PipelineID
	body         []byte
	token        wire.Token
	proc         *process
	startedAt    time.Time
	endedAt      time.Time
	streamedText []byte
	streamed     bool
	answer       *router.Answer
	refusal      *router.Refusal
	closed       bool      // the router died before it answered
	cancelledAt  time.Time // time at which the caller cancelled
	neverCancels bool      // the caller waits for the end of the request
	final        bool      // whether the request was sent after the fault was over
}

// probe is the record of one request that shows whether a router has applied
// the script's ticket.
type probe struct {
	proc      *process
	startedAt time.Time
	endedAt   time.Time // end of the request
	known     bool      // the router knows the pipeline for the probing team
}

// probePipeline is closed to the probing team until the script's ticket opens
// it.
const probePipeline wire.PipelineID = "probe"

// nextReadyRouter returns the next ready router in turn, as a load balancer
// does, or nil if there is none.
func (w *world) nextReadyRouter() (routerAPI, *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range w.hosts {
		w.routerTurn++
		h := w.hosts[w.routerTurn%len(w.hosts)]
		if h.router != nil && !h.current.isDead() && h.current.exitedAt.IsZero() && h.router.Ready() == nil {
			return h.router, h.current
		}
	}
	return nil, nil
}

// task describes what one caller does.
type task struct {
	key         string
	pipeline    wire.PipelineID
	team        wire.TeamID
	poison      bool
	streamed    bool
	cancelAfter time.Duration // time after which the caller cancels; 0 for never
	attempts    int           // maximum number of times that the request is sent; 0 means 1
	final       bool
}

// call runs a task: a reservation if the pipeline needs a token, then the
// request. It returns the record of the last request sent, or nil.
func (w *world) call(t task) *request {
	body, err := json.Marshal(callerBody{t.key, t.poison})
	if err != nil {
		panic(err)
	}
	var token wire.Token
	var q *request
	for n := range max(t.attempts, 1) {
		if n > 0 {
			time.Sleep(300 * time.Millisecond)
		}
		rt, p := w.nextReadyRouter()
		if rt == nil {
			continue
		}
		if t.pipeline == "book" && token == "" {
			if token = w.reserve(rt, p, t.team); token == "" {
				continue
			}
		}
		q = &request{key: t.key, pipeline: t.pipeline, body: body, token: token, proc: p, streamed: t.streamed, final: t.final, neverCancels: t.cancelAfter == 0}
		w.send(rt, q, t)
		if q.answer != nil || !q.cancelledAt.IsZero() {
			return q
		}
	}
	return q
}

// reserve returns a token, or an empty one if the router refused or died.
func (w *world) reserve(rt routerAPI, p *process, team wire.TeamID) wire.Token {
	got := make(chan wire.Token, 1)
	w.wg.Go(func() {
		p.wait()
		tok, _ := rt.Reserve(context.Background(), team, "book")
		p.wait()
		got <- tok
	})
	select {
	case tok := <-got:
		return tok
	case <-p.dead:
		return ""
	}
}

// send calls Do for q and records the outcome in q.
func (w *world) send(rt routerAPI, q *request, t task) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := &router.Request{Team: t.team, Pipeline: q.pipeline, Token: q.token, Body: q.body}
	if q.streamed {
		req.Sink = func(text []byte) error {
			q.proc.wait()
			w.mu.Lock()
			defer w.mu.Unlock()
			if q.endedAt.IsZero() {
				q.streamedText = append(q.streamedText, text...)
			}
			return nil
		}
	}
	w.mu.Lock()
	q.startedAt = time.Now()
	w.requests = append(w.requests, q)
	w.mu.Unlock()
	w.observe("accept", faultTarget{router: q.proc.name})
	type result struct {
		a *router.Answer
		f *router.Refusal
	}
	got := make(chan result, 1)
	w.wg.Go(func() {
		q.proc.wait()
		a, f := rt.Do(ctx, req)
		q.proc.wait()
		got <- result{a, f}
	})
	var giveUp <-chan time.Time
	if t.cancelAfter > 0 {
		giveUp = time.After(t.cancelAfter)
	}
	for {
		select {
		case r := <-got:
			w.mu.Lock()
			defer w.mu.Unlock()
			q.endedAt, q.answer, q.refusal = time.Now(), r.a, r.f
			return
		case <-giveUp:
			cancel()
			w.mu.Lock()
			q.cancelledAt = time.Now()
			w.mu.Unlock()
			giveUp = nil
		case <-q.proc.dead:
			w.mu.Lock()
			defer w.mu.Unlock()
			q.endedAt, q.closed = time.Now(), true
			return
		}
	}
}

// sleepUntil sleeps until d after the start of the world.
func (w *world) sleepUntil(d time.Duration) { time.Sleep(time.Until(w.start.Add(d))) }

// loadStart and loadEnd are counted from the start of the world.
const (
	loadStart    = 2 * time.Second
	loadEnd      = 13 * time.Second
	loadInterval = 70 * time.Millisecond
	burstSize    = 8
)

// generateLoad sends requests from loadStart to loadEnd: to both pipelines in
// turn, with some callers that cancel, and with a burst about once a second.
func (w *world) generateLoad() {
	w.sleepUntil(loadStart)
	for i := 0; time.Since(w.start) < loadEnd; i++ {
		t := task{key: fmt.Sprintf("k%d", i), pipeline: "fold", team: "kites", streamed: w.rng.IntN(2) == 0}
		if i%2 == 1 {
			t.pipeline, t.team, t.attempts = "book", "gliders", 4
		}
		if i%10 == 4 || i%10 == 7 {
			t.cancelAfter = time.Duration(20+w.rng.IntN(120)) * time.Millisecond
		}
		w.wg.Go(func() { w.call(t) })
		if i%15 == 14 {
			for n := range burstSize {
				b := task{key: fmt.Sprintf("k%d.%d", i, n), pipeline: "fold", team: "kites", streamed: n%2 == 0}
				w.wg.Go(func() { w.call(b) })
			}
		}
		time.Sleep(loadInterval)
	}
}

// probeStart and probeEnd are counted from the start of the world.
const (
	probeStart    = 2500 * time.Millisecond
	probeEnd      = 15 * time.Second
	probeInterval = 200 * time.Millisecond
)

// probeRouters requests the probe pipeline from each ready router every
// probeInterval. The deadline of 1 ms makes a router that knows the pipeline
// refuse before any stage runs.
func (w *world) probeRouters() {
	for w.sleepUntil(probeStart); time.Since(w.start) < probeEnd; time.Sleep(probeInterval) {
		for _, h := range w.hosts {
			w.mu.Lock()
			rt, p := h.router, h.current
			w.mu.Unlock()
			if rt == nil || p.isDead() || rt.Ready() != nil {
				continue
			}
			w.wg.Go(func() { w.probe(rt, p) })
		}
	}
}

// probe sends one probe and records its outcome.
func (w *world) probe(rt routerAPI, p *process) {
	p.wait()
	startedAt := time.Now()
	_, f := rt.Do(context.Background(), &router.Request{Team: "kites", Pipeline: probePipeline, Deadline: time.Millisecond, Body: []byte("{}")})
	endedAt := time.Now()
	if p.wait(); p.isDead() || f == nil || f.Reason == wire.ReasonLeaving {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes = append(w.probes, probe{p, startedAt, endedAt, f.Reason != wire.ReasonNotfound})
}

// runScript makes the planned changes of every cell with a script: a new model
// version, the ticket that opens the probe pipeline, a drain of one upstream,
// and planned stops of an agent and a router.
func (w *world) runScript() {
	w.sleepUntil(3 * time.Second)
	w.publish(modelObject(2), pipelineObject(string(probePipeline), pipelines["fold"]))
	w.sleepUntil(3500 * time.Millisecond)
	w.stopInScript("p2")
	w.sleepUntil(4500 * time.Millisecond)
	w.publish(upstreamObject("g2", wire.UpstreamStateDrain))
	w.sleepUntil(10 * time.Second)
	w.publish(upstreamObject("g2", wire.UpstreamStateServe))
	w.sleepUntil(10500 * time.Millisecond)
	w.stopInScript("r2")
}

// stopInScript makes a planned stop of the script. In the naive world it always
// stops r1, the only process.
func (w *world) stopInScript(name wire.HostID) {
	if w.naive {
		w.observe("drain", faultTarget{})
		name = "r1"
	}
	w.stop(name, true)
}

// sendFinalRequests sends requests to both pipelines through both routers after
// the fault is over.
func (w *world) sendFinalRequests() {
	for i := range 12 {
		t := task{key: fmt.Sprintf("final%d", i), pipeline: "fold", team: "kites", streamed: true, final: true}
		if i%4 >= 2 {
			t.pipeline, t.team = "book", "gliders"
		}
		w.call(t)
	}
}
