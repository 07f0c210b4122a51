package matrix

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"hornbeamcove.example/core/wire"
)

// Guarantees of the design page by number; resume and bounded are further
// conditions on each cell.
const (
	results    = 1 // no stage result lost, duplicated or delivered to another request
	coldStart  = 2
	centreOut  = 3
	whole      = 4
	noneTrue   = 5
	atMostOnce = 6
	leaving    = 7
	graceful   = 8
	inForce    = 9
	resume     = 10 // service resumes after healing
	bounded    = 11 // each request ends with its deadline; a poisoned one costs few upstreams
)

// violation is one breach of a guarantee.
type violation struct {
	guarantee int
	text      string
}

// answerGrace is the time after its deadline by which a request has an outcome.
const answerGrace = 500 * time.Millisecond

// recoverTime is the time before its deadline at which a finished stage can still
// be delivered although the session just went silent.
const recoverTime = 3 * time.Second

// poisonBound is how often upstreams may crash under one poisoned request: twice
// for each of the two routers.
const poisonBound = 4

// checker judges a world from the records of the fakes and the callers alone.
type checker struct {
	w   *world
	out []violation
	// byID and byKey and byToken index the calls at the upstreams.
	byID    map[wire.RequestID][]*callRecord
	byKey   map[string][]*callRecord
	byToken map[wire.Token][]*callRecord
}

func (w *world) check() []violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &checker{
		w: w, byID: map[wire.RequestID][]*callRecord{}, byKey: map[string][]*callRecord{},
		byToken: map[wire.Token][]*callRecord{},
	}
	for _, r := range w.calls {
		c.byID[r.ref.Request] = append(c.byID[r.ref.Request], r)
		c.byKey[r.key] = append(c.byKey[r.key], r)
		if r.token != "" {
			c.byToken[r.token] = append(c.byToken[r.token], r)
		}
	}
	c.calls()
	c.requests()
	c.tokens()
	c.stops()
	c.tickets()
	return c.out
}

func (c *checker) fail(guarantee int, format string, args ...any) {
	c.out = append(c.out, violation{guarantee, fmt.Sprintf(format, args...)})
}

func (c *checker) at(t time.Time) time.Duration { return t.Sub(c.w.start) }

// calls judges each call that an upstream began.
func (c *checker) calls() {
	seen := map[wire.Ref]bool{}
	for _, r := range c.w.calls {
		if seen[r.ref] {
			c.fail(results, "call %v began twice", r.ref)
		}
		seen[r.ref] = true
		// Only work counts that was given after the giver learnt of the cold start:
		// from the first load report that showed it or the first reset.
		if r.knew && r.held > coldBound {
			c.fail(coldStart, "cold %s held %d calls at %s, bound %d", r.up.id, r.held, c.at(r.begun), coldBound)
		}
		if from, out := c.since(wire.ObjectKindCentre, string(r.up.centre), r.begun); out {
			c.fail(centreOut, "call at %s at %s, centre %s out since %s", r.up.id, c.at(r.begun), r.up.centre, c.at(from))
		}
		if from, out := c.since(wire.ObjectKindUpstream, string(r.up.id), r.begun); out {
			c.fail(leaving, "call at %s at %s, drained since %s", r.up.id, c.at(r.begun), c.at(from))
		}
		if s := r.proc.stopAt; !s.IsZero() && r.begun.After(s.Add(forceLimit)) {
			c.fail(leaving, "call through %s at %s, stopping since %s", r.proc.name, c.at(r.begun), c.at(s))
		}
	}
}

// since reports whether the newest ticket on a centre or upstream that must have
// been in force at t takes it out of service, and no newer one returns it.
func (c *checker) since(kind wire.ObjectKind, name string, t time.Time) (from time.Time, out bool) {
	for _, p := range c.w.plat.tickets {
		for i := range p.ticket.Objects {
			o := &p.ticket.Objects[i]
			if o.Kind != kind || o.Name != name || p.at.After(t) {
				continue
			}
			gone := o.Centre != nil && o.Centre.State == wire.CentreStateOut ||
				o.Upstream != nil && o.Upstream.State == wire.UpstreamStateDrain
			if !gone {
				from, out = time.Time{}, false
			} else if limit := c.w.plat.inForce(p.at); t.After(limit) {
				from, out = p.at, true
			}
		}
	}
	return from, out
}

// requests judges what each caller got.
func (c *checker) requests() {
	answers := map[string]string{} // whole answer to key
	for _, q := range c.w.requests {
		out, _ := expected(pipelines[q.pipeline], q.body)
		answers[string(out)] = q.key
	}
	for _, q := range c.w.requests {
		c.request(q, answers)
	}
}

func (c *checker) request(q *request, answers map[string]string) {
	out, text := expected(pipelines[q.pipeline], q.body)
	if a := q.answer; a != nil && !bytes.Equal(a.Output, out) {
		g, whose := whole, ""
		if key := answers[string(a.Output)]; key != "" {
			g, whose = results, " of "+key
		}
		c.fail(g, "request %s got the answer%s %.60s, want %.60s", q.key, whose, a.Output, out)
	}
	switch {
	case q.streamed && q.answer != nil && string(q.sink) != text:
		c.fail(whole, "request %s was streamed %q, want %q", q.key, q.sink, text)
	case q.streamed && !strings.HasPrefix(text, string(q.sink)):
		c.fail(whole, "request %s was streamed %q, want a part of %q", q.key, q.sink, text)
	}
	if f := q.refusal; f != nil && f.Executed == wire.ExecutedNone {
		c.none(q)
	}
	if q.ended.IsZero() {
		c.fail(bounded, "request %s never ended", q.key)
		return
	}
	if end := q.begun.Add(deadline + answerGrace); q.ended.After(end) && !c.disturbed(q.begun, q.ended, q.proc.name) {
		c.fail(bounded, "request %s took %s", q.key, q.ended.Sub(q.begun))
	}
	if q.final && q.answer == nil {
		c.fail(resume, "request %s after the fault through %s: %v", q.key, q.proc.name, q.refusal)
	}
	c.lost(q)
}

// none judges a refusal that says that nothing was executed: no upstream began
// anything of this request, nor anything under its token before the refusal.
func (c *checker) none(q *request) {
	for _, r := range c.byID[q.refusal.Request] {
		c.fail(noneTrue, "request %s refused as none (%s), began at %s at %s", q.key, q.refusal.Reason, r.up.id, c.at(r.begun))
	}
	for _, r := range c.byToken[q.token] {
		if q.token != "" && r.begun.Before(q.ended) && r.ref.Request != q.refusal.Request {
			c.fail(noneTrue, "request %s refused as none (%s), its token began at %s", q.key, q.refusal.Reason, c.at(r.begun))
		}
	}
}

// lost judges a refusal although an upstream finished the last stage in time for
// its result to be delivered.
func (c *checker) lost(q *request) {
	if q.refusal == nil || !q.gaveUp.IsZero() {
		return
	}
	stages := pipelines[q.pipeline]
	for _, r := range c.byID[q.refusal.Request] {
		end := q.begun.Add(deadline)
		if r.ref.Stage != stages[len(stages)-1].Name || r.end != endDone {
			continue
		}
		if r.ended.Add(recoverTime).After(end) || c.disturbed(q.begun, end, q.proc.name, r.proc.name) {
			continue
		}
		g := results
		for _, p := range []*process{r.proc, q.proc} {
			if p.stopAt.After(q.begun) && p.stopAt.Before(q.ended) {
				g = graceful
			}
		}
		c.fail(g, "request %s (%.8s) refused (%s) at %s, its last stage finished at %s at %s", q.key, q.refusal.Request,
			q.refusal.Reason, c.at(q.ended), r.proc.name, c.at(r.ended))
	}
}

// disturbed reports whether a kill or another fault that may cost an answer hit
// one of the processes between two times.
func (c *checker) disturbed(from, to time.Time, names ...wire.HostID) bool {
	for _, p := range c.w.procs {
		if !p.killAt.IsZero() && !p.killAt.Before(from) && !p.killAt.After(to) && slices.Contains(names, p.name) {
			return true
		}
	}
	for _, d := range c.w.breaks {
		hit := len(d.names) == 0 || slices.ContainsFunc(names, func(n wire.HostID) bool { return slices.Contains(d.names, n) })
		if hit && d.from.Before(to) && d.to.After(from) {
			return true
		}
	}
	return false
}

func (c *checker) tokens() {
	for t, n := range c.w.effects {
		if n > 1 {
			c.fail(atMostOnce, "token %s took effect %d times", t, n)
		}
	}
}

// stops judges planned stops: the process ends by itself within its limit, and
// nothing that it had under way is cut off.
func (c *checker) stops() {
	for _, p := range c.w.procs {
		if p.stopAt.IsZero() || !p.killAt.IsZero() {
			continue
		}
		if p.runErr != nil && !c.disturbed(p.stopAt, p.goneAt, p.name) {
			c.fail(graceful, "planned stop of %s at %s: %v", p.name, c.at(p.stopAt), p.runErr)
		}
		for _, r := range c.w.calls {
			if r.proc == p && r.end == endCancelled && !r.ended.Before(p.goneAt) {
				c.fail(graceful, "planned stop of %s cut off call %v at %s", p.name, r.ref, c.at(r.ended))
			}
		}
		for _, q := range c.w.requests {
			if q.proc == p && q.begun.Before(p.stopAt) && q.ended.After(p.goneAt) {
				c.fail(graceful, "planned stop of %s at %s left request %s open", p.name, c.at(p.stopAt), q.key)
			}
		}
	}
}

// tickets judges that tickets come into force in time and never revert.
func (c *checker) tickets() {
	var from, limit time.Time
	for _, p := range c.w.plat.tickets[baseTickets:] {
		for i := range p.ticket.Objects {
			if p.ticket.Objects[i].Name == string(probePipeline) {
				from, limit = p.at, c.w.plat.inForce(p.at)
			}
		}
	}
	known := map[*process]time.Time{} // end of the first probe that found the ticket
	for _, p := range c.w.probes {
		switch {
		case p.known && known[p.proc].IsZero():
			known[p.proc] = p.at
		case p.known:
		case !known[p.proc].IsZero() && p.begun.After(known[p.proc]):
			c.fail(inForce, "ticket reverted at %s at %s", p.proc.name, c.at(p.at))
		case p.begun.After(limit) && !from.IsZero() && p.at.After(p.proc.born.Add(forceLimit)) &&
			!c.disturbed(p.at.Add(-forceLimit), p.at, p.proc.name):
			c.fail(inForce, "ticket of %s not in force at %s at %s", c.at(from), p.proc.name, c.at(p.at))
		}
	}
	lost := 0
	for _, u := range c.w.ups {
		c.orders(u)
		lost += u.poisoned
	}
	if lost > poisonBound {
		c.fail(bounded, "a poisoned request crashed upstreams %d times, want at most %d", lost, poisonBound)
	}
}

// orders judges that an engine never takes an older order after a newer one and
// has the newest model in the end.
func (c *checker) orders(u *upstream) {
	var newest wire.TicketNumber
	for _, o := range u.orders {
		if o.taken && o.order.Fence < newest {
			c.fail(inForce, "%s took order %d after %d at %s", u.id, o.order.Fence, newest, c.at(o.at))
		}
		if o.taken {
			newest = max(newest, o.order.Fence)
		}
	}
	if u.kind == wire.KindGenerate && u.loaded.Version != 2 {
		c.fail(inForce, "%s has version %d in the end, want 2", u.id, u.loaded.Version)
	}
}

// summary names each broken guarantee once with its first violations.
func summary(vs []violation) string {
	const most = 3
	var b strings.Builder
	n := map[int]int{}
	for _, v := range vs {
		if n[v.guarantee]++; n[v.guarantee] <= most {
			fmt.Fprintf(&b, "\n  guarantee %d: %s", v.guarantee, v.text)
		}
	}
	for g, k := range n {
		if k > most {
			fmt.Fprintf(&b, "\n  guarantee %d: %d more", g, k-most)
		}
	}
	return b.String()
}
