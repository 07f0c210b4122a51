package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

// request is one call of Do as its caller saw it.
type request struct {
	key      string
	pipeline wire.PipelineID
	body     []byte
	token    wire.Token
	proc     *process
	begun    time.Time
	ended    time.Time
	sink     []byte
	streamed bool
	answer   *router.Answer
	refusal  *router.Refusal
	closed   bool      // the router died before it answered
	gaveUp   time.Time // when the caller cancelled
	patient  bool      // the caller does not give up
	final    bool      // sent after all faults were healed
}

// probe asks a router whether it knows the pipeline of a ticket.
type probe struct {
	proc  *process
	begun time.Time
	at    time.Time // end
	known bool
}

const probePipeline wire.PipelineID = "probe"

// choose returns the next router that is ready, as a load balancer does.
func (w *world) choose() (entry, *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range w.hosts {
		w.turn++
		h := w.hosts[w.turn%len(w.hosts)]
		if h.entry != nil && !h.current.isDead() && h.current.goneAt.IsZero() && h.entry.Ready() == nil {
			return h.entry, h.current
		}
	}
	return nil, nil
}

// task says what a caller does.
type task struct {
	key      string
	pipeline wire.PipelineID
	team     wire.TeamID
	poison   bool
	streamed bool
	cancel   time.Duration // time until the caller gives up; 0 for never
	tries    int           // sends of the same body until it is answered
	final    bool
}

// call does a task: a reservation where the pipeline needs one, then the request.
func (w *world) call(t task) *request {
	body, err := json.Marshal(callerBody{t.key, t.poison})
	if err != nil {
		panic(err)
	}
	var token wire.Token
	var q *request
	for n := range max(t.tries, 1) {
		if n > 0 {
			time.Sleep(300 * time.Millisecond)
		}
		e, p := w.choose()
		if e == nil {
			continue
		}
		if t.pipeline == "book" && token == "" {
			if token = w.reserve(e, p, t.team); token == "" {
				continue
			}
		}
		q = &request{key: t.key, pipeline: t.pipeline, body: body, token: token, proc: p, streamed: t.streamed, final: t.final, patient: t.cancel == 0}
		w.send(e, q, t)
		if q.answer != nil || !q.gaveUp.IsZero() {
			return q
		}
	}
	return q
}

// reserve returns no token when the router refused or died.
func (w *world) reserve(e entry, p *process, team wire.TeamID) wire.Token {
	got := make(chan wire.Token, 1)
	w.wg.Go(func() {
		p.wait()
		tok, _ := e.Reserve(context.Background(), team, "book")
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

// send calls Do and records what the caller saw.
func (w *world) send(e entry, q *request, t task) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := &router.Request{Team: t.team, Pipeline: q.pipeline, Token: q.token, Body: q.body}
	if q.streamed {
		req.Sink = func(text []byte) error {
			q.proc.wait()
			w.mu.Lock()
			defer w.mu.Unlock()
			if q.ended.IsZero() {
				q.sink = append(q.sink, text...)
			}
			return nil
		}
	}
	w.mu.Lock()
	q.begun = time.Now()
	w.requests = append(w.requests, q)
	w.mu.Unlock()
	w.observe("accept", where{router: q.proc.name})
	type result struct {
		a *router.Answer
		f *router.Refusal
	}
	got := make(chan result, 1)
	w.wg.Go(func() {
		q.proc.wait()
		a, f := e.Do(ctx, req)
		q.proc.wait()
		got <- result{a, f}
	})
	var give <-chan time.Time
	if t.cancel > 0 {
		give = time.After(t.cancel)
	}
	for {
		select {
		case r := <-got:
			w.mu.Lock()
			defer w.mu.Unlock()
			q.ended, q.answer, q.refusal = time.Now(), r.a, r.f
			return
		case <-give:
			cancel()
			w.mu.Lock()
			q.gaveUp = time.Now()
			w.mu.Unlock()
			give = nil
		case <-q.proc.dead:
			w.mu.Lock()
			defer w.mu.Unlock()
			q.ended, q.closed = time.Now(), true
			return
		}
	}
}

// at sleeps until a time of the world's script.
func (w *world) at(d time.Duration) { time.Sleep(time.Until(w.start.Add(d))) }

const (
	loadFrom = 2 * time.Second
	loadTo   = 13 * time.Second
	period   = 70 * time.Millisecond
	burst    = 8
)

// load calls from loadFrom to loadTo: both pipelines in turn, some callers that
// give up, and a burst each second.
func (w *world) load() {
	w.at(loadFrom)
	for i := 0; time.Since(w.start) < loadTo; i++ {
		t := task{key: fmt.Sprintf("k%d", i), pipeline: "fold", team: "kites", streamed: w.rng.IntN(2) == 0}
		if i%2 == 1 {
			t.pipeline, t.team, t.tries = "book", "gliders", 4
		}
		if i%10 == 4 || i%10 == 7 {
			t.cancel = time.Duration(20+w.rng.IntN(120)) * time.Millisecond
		}
		w.wg.Go(func() { w.call(t) })
		if i%15 == 14 {
			for n := range burst {
				b := task{key: fmt.Sprintf("k%d.%d", i, n), pipeline: "fold", team: "kites", streamed: n%2 == 0}
				w.wg.Go(func() { w.call(b) })
			}
		}
		time.Sleep(period)
	}
}

const (
	probeFrom   = 2500 * time.Millisecond
	probeTo     = 15 * time.Second
	probePeriod = 200 * time.Millisecond
)

// probeAll asks each router for the probe pipeline. The deadline of 1 ms makes a
// router that knows it refuse before any stage runs.
func (w *world) probeAll() {
	for w.at(probeFrom); time.Since(w.start) < probeTo; time.Sleep(probePeriod) {
		for _, h := range w.hosts {
			w.mu.Lock()
			e, p := h.entry, h.current
			w.mu.Unlock()
			if e == nil || p.isDead() || e.Ready() != nil {
				continue
			}
			w.wg.Go(func() { w.probe(e, p) })
		}
	}
}

func (w *world) probe(e entry, p *process) {
	p.wait()
	begun := time.Now()
	_, f := e.Do(context.Background(), &router.Request{Team: "kites", Pipeline: probePipeline, Deadline: time.Millisecond, Body: []byte("{}")})
	at := time.Now()
	if p.wait(); p.isDead() || f == nil || f.Reason == wire.ReasonLeaving {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes = append(w.probes, probe{p, begun, at, f.Reason != wire.ReasonNotfound})
}

// script makes the planned changes that every cell has.
func (w *world) script() {
	w.at(3 * time.Second)
	w.publish(modelObject(2), pipelineObject(string(probePipeline), pipelines["fold"]))
	w.at(3500 * time.Millisecond)
	w.stopPlanned("p2")
	w.at(4500 * time.Millisecond)
	w.publish(upstreamObject("g2", wire.UpstreamStateDrain))
	w.at(10 * time.Second)
	w.publish(upstreamObject("g2", wire.UpstreamStateServe))
	w.at(10500 * time.Millisecond)
	w.stopPlanned("r2")
}

// stopPlanned stops a process of the script; the naive version has only r1.
func (w *world) stopPlanned(name wire.HostID) {
	if w.naive {
		w.observe("drain", where{})
		name = "r1"
	}
	w.stop(name, true)
}

// resumed calls both pipelines through both routers once everything is healed.
func (w *world) resumed() {
	for i := range 12 {
		t := task{key: fmt.Sprintf("final%d", i), pipeline: "fold", team: "kites", streamed: true, final: true}
		if i%4 >= 2 {
			t.pipeline, t.team = "book", "gliders"
		}
		w.call(t)
	}
}
