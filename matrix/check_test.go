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
	guaranteeResults       = 1 // no stage result lost, duplicated or delivered to another request
	guaranteeColdStart     = 2
	guaranteeCentreOut     = 3
	guaranteeWholeAnswer   = 4
	guaranteeNotExecuted   = 5
	guaranteeAtMostOnce    = 6
	guaranteeDraining      = 7
	guaranteeGracefulStop  = 8
	guaranteeTicketInForce = 9
	guaranteeRecovery      = 10 // service resumes after healing
	guaranteeBounded       = 11 // each request ends with its deadline; a poisoned one costs few upstreams
)

// violation is one breach of a guarantee.
type violation struct {
	guarantee int
	message   string
}

// answerGrace is the time after its deadline by which a request has an outcome.
const answerGrace = 500 * time.Millisecond

// redeliveryTime is the time before its deadline at which a finished stage can still
// be delivered although the session just went silent.
const redeliveryTime = 3 * time.Second

// maxPoisonCrashes is how often upstreams may crash under one poisoned request: twice
// for each of the two routers.
const maxPoisonCrashes = 4

// checker judges a world from the records of the fakes and the callers alone.
type checker struct {
	w          *world
	violations []violation
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
	c.checkCalls()
	c.checkRequests()
	c.checkTokens()
	c.checkStops()
	c.checkTickets()
	return c.violations
}

func (c *checker) fail(guarantee int, format string, args ...any) {
	c.violations = append(c.violations, violation{guarantee, fmt.Sprintf(format, args...)})
}

func (c *checker) sinceStart(t time.Time) time.Duration { return t.Sub(c.w.start) }

// checkCalls judges each call that an upstream began.
func (c *checker) checkCalls() {
	seen := map[wire.Ref]bool{}
	for _, r := range c.w.calls {
		if seen[r.ref] {
			c.fail(guaranteeResults, "call %v began twice", r.ref)
		}
		seen[r.ref] = true
		// Only work counts that was given after the giver learnt of the cold start:
		// from the first load report that showed it or the first reset.
		if r.knewCold && r.inFlight > coldLimit {
			c.fail(guaranteeColdStart, "cold %s held %d calls at %s, bound %d", r.upstream.id, r.inFlight, c.sinceStart(r.begun), coldLimit)
		}
		if from, out := c.outOfServiceSince(wire.ObjectKindCentre, string(r.upstream.centre), r.begun); out {
			c.fail(guaranteeCentreOut, "call at %s at %s, centre %s out since %s", r.upstream.id, c.sinceStart(r.begun), r.upstream.centre, c.sinceStart(from))
		}
		if from, out := c.outOfServiceSince(wire.ObjectKindUpstream, string(r.upstream.id), r.begun); out {
			c.fail(guaranteeDraining, "call at %s at %s, drained since %s", r.upstream.id, c.sinceStart(r.begun), c.sinceStart(from))
		}
		if s := r.proc.stopRequestedAt; !s.IsZero() && r.begun.After(s.Add(inForceLimit)) {
			c.fail(guaranteeDraining, "call through %s at %s, stopping since %s", r.proc.name, c.sinceStart(r.begun), c.sinceStart(s))
		}
	}
}

// outOfServiceSince reports whether the newest ticket on a centre or upstream that must have
// been in force at t takes it out of service, and no newer one returns it.
func (c *checker) outOfServiceSince(kind wire.ObjectKind, name string, t time.Time) (from time.Time, out bool) {
	for _, p := range c.w.platform.tickets {
		for i := range p.ticket.Objects {
			o := &p.ticket.Objects[i]
			if o.Kind != kind || o.Name != name || p.at.After(t) {
				continue
			}
			outOfService := o.Centre != nil && o.Centre.State == wire.CentreStateOut ||
				o.Upstream != nil && o.Upstream.State == wire.UpstreamStateDrain
			if !outOfService {
				from, out = time.Time{}, false
			} else if limit := c.w.platform.inForceBy(p.at); t.After(limit) {
				from, out = p.at, true
			}
		}
	}
	return from, out
}

// checkRequests judges what each caller got.
func (c *checker) checkRequests() {
	answers := map[string]string{} // whole answer to key
	for _, q := range c.w.requests {
		out, _ := expectedAnswer(pipelines[q.pipeline], q.body)
		answers[string(out)] = q.key
	}
	for _, q := range c.w.requests {
		c.checkRequest(q, answers)
	}
}

func (c *checker) checkRequest(q *request, answers map[string]string) {
	out, text := expectedAnswer(pipelines[q.pipeline], q.body)
	if a := q.answer; a != nil && !bytes.Equal(a.Output, out) {
		g, whose := guaranteeWholeAnswer, ""
		if key := answers[string(a.Output)]; key != "" {
			g, whose = guaranteeResults, " of "+key
		}
		c.fail(g, "request %s got the answer%s %.60s, want %.60s", q.key, whose, a.Output, out)
	}
	switch {
	case q.streamed && q.answer != nil && string(q.streamedText) != text:
		c.fail(guaranteeWholeAnswer, "request %s was streamed %q, want %q", q.key, q.streamedText, text)
	case q.streamed && !strings.HasPrefix(text, string(q.streamedText)):
		c.fail(guaranteeWholeAnswer, "request %s was streamed %q, want a part of %q", q.key, q.streamedText, text)
	}
	if f := q.refusal; f != nil && f.Executed == wire.ExecutedNone {
		c.checkNotExecuted(q)
	}
	if q.ended.IsZero() {
		c.fail(guaranteeBounded, "request %s never ended", q.key)
		return
	}
	if end := q.begun.Add(requestDeadline + answerGrace); q.ended.After(end) && !c.disturbed(q.begun, q.ended, q.proc.name) {
		c.fail(guaranteeBounded, "request %s took %s", q.key, q.ended.Sub(q.begun))
	}
	if q.final && q.answer == nil {
		c.fail(guaranteeRecovery, "request %s after the fault through %s: %v", q.key, q.proc.name, q.refusal)
	}
	c.checkLostAnswer(q)
}

// checkNotExecuted judges a refusal that says that nothing was executed: no upstream began
// anything of this request, nor anything under its token before the refusal.
func (c *checker) checkNotExecuted(q *request) {
	for _, r := range c.byID[q.refusal.Request] {
		c.fail(guaranteeNotExecuted, "request %s refused as none (%s), began at %s at %s", q.key, q.refusal.Reason, r.upstream.id, c.sinceStart(r.begun))
	}
	for _, r := range c.byToken[q.token] {
		if q.token != "" && r.begun.Before(q.ended) && r.ref.Request != q.refusal.Request {
			c.fail(guaranteeNotExecuted, "request %s refused as none (%s), its token began at %s", q.key, q.refusal.Reason, c.sinceStart(r.begun))
		}
	}
}

// checkLostAnswer judges a refusal although an upstream finished the last stage in time for
// its result to be delivered.
func (c *checker) checkLostAnswer(q *request) {
	if q.refusal == nil || !q.cancelledAt.IsZero() {
		return
	}
	stages := pipelines[q.pipeline]
	for _, r := range c.byID[q.refusal.Request] {
		end := q.begun.Add(requestDeadline)
		if r.ref.Stage != stages[len(stages)-1].Name || r.outcome != outcomeDone {
			continue
		}
		if r.ended.Add(redeliveryTime).After(end) || c.disturbed(q.begun, end, q.proc.name, r.proc.name) {
			continue
		}
		g := guaranteeResults
		for _, p := range []*process{r.proc, q.proc} {
			if p.stopRequestedAt.After(q.begun) && p.stopRequestedAt.Before(q.ended) {
				g = guaranteeGracefulStop
			}
		}
		c.fail(g, "request %s (%.8s) refused (%s) at %s, its last stage finished at %s at %s", q.key, q.refusal.Request,
			q.refusal.Reason, c.sinceStart(q.ended), r.proc.name, c.sinceStart(r.ended))
	}
}

// disturbed reports whether a kill or another fault that may cost an answer hit
// one of the processes between two times.
func (c *checker) disturbed(from, to time.Time, names ...wire.HostID) bool {
	for _, p := range c.w.procs {
		if !p.killedAt.IsZero() && !p.killedAt.Before(from) && !p.killedAt.After(to) && slices.Contains(names, p.name) {
			return true
		}
	}
	for _, d := range c.w.disturbances {
		hit := len(d.names) == 0 || slices.ContainsFunc(names, func(n wire.HostID) bool { return slices.Contains(d.names, n) })
		if hit && d.from.Before(to) && d.to.After(from) {
			return true
		}
	}
	return false
}

func (c *checker) checkTokens() {
	for t, n := range c.w.effects {
		if n > 1 {
			c.fail(guaranteeAtMostOnce, "token %s took effect %d times", t, n)
		}
	}
}

// checkStops judges planned stops: the process ends by itself within its limit, and
// nothing that it had under way is cut off.
func (c *checker) checkStops() {
	for _, p := range c.w.procs {
		if p.stopRequestedAt.IsZero() || !p.killedAt.IsZero() {
			continue
		}
		if p.runErr != nil && !c.disturbed(p.stopRequestedAt, p.exitedAt, p.name) {
			c.fail(guaranteeGracefulStop, "planned stop of %s at %s: %v", p.name, c.sinceStart(p.stopRequestedAt), p.runErr)
		}
		for _, r := range c.w.calls {
			if r.proc == p && r.outcome == outcomeCancelled && !r.ended.Before(p.exitedAt) {
				c.fail(guaranteeGracefulStop, "planned stop of %s cut off call %v at %s", p.name, r.ref, c.sinceStart(r.ended))
			}
		}
		for _, q := range c.w.requests {
			if q.proc == p && q.begun.Before(p.stopRequestedAt) && q.ended.After(p.exitedAt) {
				c.fail(guaranteeGracefulStop, "planned stop of %s at %s left request %s open", p.name, c.sinceStart(p.stopRequestedAt), q.key)
			}
		}
	}
}

// checkTickets judges that tickets come into force in time and never revert.
func (c *checker) checkTickets() {
	var from, limit time.Time
	for _, p := range c.w.platform.tickets[initialTickets:] {
		for i := range p.ticket.Objects {
			if p.ticket.Objects[i].Name == string(probePipeline) {
				from, limit = p.at, c.w.platform.inForceBy(p.at)
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
			c.fail(guaranteeTicketInForce, "ticket reverted at %s at %s", p.proc.name, c.sinceStart(p.at))
		case p.begun.After(limit) && !from.IsZero() && p.at.After(p.proc.startedAt.Add(inForceLimit)) &&
			!c.disturbed(p.at.Add(-inForceLimit), p.at, p.proc.name):
			c.fail(guaranteeTicketInForce, "ticket of %s not in force at %s at %s", c.sinceStart(from), p.proc.name, c.sinceStart(p.at))
		}
	}
	crashes := 0
	for _, u := range c.w.upstreams {
		c.checkOrders(u)
		crashes += u.poisonCrashes
	}
	if crashes > maxPoisonCrashes {
		c.fail(guaranteeBounded, "a poisoned request crashed upstreams %d times, want at most %d", crashes, maxPoisonCrashes)
	}
}

// checkOrders judges that an engine never takes an older order after a newer one and
// has the newest model in the end.
func (c *checker) checkOrders(u *upstream) {
	var newest wire.TicketNumber
	for _, o := range u.orders {
		if o.taken && o.order.Fence < newest {
			c.fail(guaranteeTicketInForce, "%s took order %d after %d at %s", u.id, o.order.Fence, newest, c.sinceStart(o.at))
		}
		if o.taken {
			newest = max(newest, o.order.Fence)
		}
	}
	if u.kind == wire.KindGenerate && u.loaded.Version != 2 {
		c.fail(guaranteeTicketInForce, "%s has version %d in the end, want 2", u.id, u.loaded.Version)
	}
}

// summary names each broken guarantee once with its first violations.
func summary(vs []violation) string {
	const maxPerGuarantee = 3
	var b strings.Builder
	n := map[int]int{}
	for _, v := range vs {
		if n[v.guarantee]++; n[v.guarantee] <= maxPerGuarantee {
			fmt.Fprintf(&b, "\n  guarantee %d: %s", v.guarantee, v.message)
		}
	}
	for g, k := range n {
		if k > maxPerGuarantee {
			fmt.Fprintf(&b, "\n  guarantee %d: %d more", g, k-maxPerGuarantee)
		}
	}
	return b.String()
}
