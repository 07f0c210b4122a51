package matrix

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"hornbeamcove.example/core/wire"
)

// The guarantees of the design page by number, followed by two further
// conditions on each cell, guaranteeRecovery and guaranteeBounded.
const (
	guaranteeResults       = 1  // no stage result is lost, duplicated or delivered to another request
	guaranteeColdStart     = 2  // an upstream known to be cold holds no more calls than its cold limit
	guaranteeCentreOut     = 3  // a data centre that is out gets no new calls
	guaranteeWholeAnswer   = 4  // an answer is complete, and its stream is unaltered
	guaranteeNotExecuted   = 5  // a refusal that reports no execution is right
	guaranteeAtMostOnce    = 6  // a token takes effect at most once
	guaranteeDraining      = 7  // a drained upstream or a stopping process gets no new calls
	guaranteeGracefulStop  = 8  // a planned stop ends in time and cuts no work off
	guaranteeTicketInForce = 9  // a ticket comes into force in time and is never reverted
	guaranteeRecovery      = 10 // requests are answered again once the fault is over
	guaranteeBounded       = 11 // each request ends by its deadline, and a poisoned one crashes few upstreams
)

// violation is one case in which a guarantee was broken.
type violation struct {
	guarantee int
	message   string
}

// answerGrace is how long after its deadline a request may still end.
const answerGrace = 500 * time.Millisecond

// redeliveryTime is how long before the deadline a stage must finish for its
// result to be delivered even if the session has just gone silent.
const redeliveryTime = 3 * time.Second

// maxPoisonCrashes limits the upstream crashes caused by one poisoned request:
// two for each of the two routers.
const maxPoisonCrashes = 4

// checker verifies the guarantees for one world. It uses only what the fakes
// and the callers recorded.
type checker struct {
	w          *world
	violations []violation
	// byID, byKey and byToken index the calls that reached the upstreams.
	byID    map[wire.RequestID][]*callRecord
	byKey   map[string][]*callRecord
	byToken map[wire.Token][]*callRecord
}

// check returns every violation of a guarantee found in the records of w.
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

// fail records a violation.
func (c *checker) fail(guarantee int, format string, args ...any) {
	c.violations = append(c.violations, violation{guarantee, fmt.Sprintf(format, args...)})
}

// sinceStart returns t as an offset from the start of the world.
func (c *checker) sinceStart(t time.Time) time.Duration { return t.Sub(c.w.start) }

// checkCalls verifies every call that an upstream started.
func (c *checker) checkCalls() {
	seen := map[wire.Ref]bool{}
	for _, r := range c.w.calls {
		if seen[r.ref] {
			c.fail(guaranteeResults, "call %v started twice", r.ref)
		}
		seen[r.ref] = true
		// A call counts only if the process that sent it could know of the cold
		// start, from a load report or a connection reset.
		if r.knewCold && r.inFlight > coldLimit {
			c.fail(guaranteeColdStart, "cold upstream %s held %d calls at %s, limit %d", r.upstream.id, r.inFlight, c.sinceStart(r.startedAt), coldLimit)
		}
		if since, out := c.outOfServiceSince(wire.ObjectKindCentre, string(r.upstream.centre), r.startedAt); out {
			c.fail(guaranteeCentreOut, "call started at upstream %s at %s, data centre %s out since %s", r.upstream.id, c.sinceStart(r.startedAt), r.upstream.centre, c.sinceStart(since))
		}
		if since, out := c.outOfServiceSince(wire.ObjectKindUpstream, string(r.upstream.id), r.startedAt); out {
			c.fail(guaranteeDraining, "call started at upstream %s at %s, drained since %s", r.upstream.id, c.sinceStart(r.startedAt), c.sinceStart(since))
		}
		if s := r.proc.stopRequestedAt; !s.IsZero() && r.startedAt.After(s.Add(inForceLimit)) {
			c.fail(guaranteeDraining, "call started through %s at %s, stopping since %s", r.proc.name, c.sinceStart(r.startedAt), c.sinceStart(s))
		}
	}
}

// outOfServiceSince reports whether a data centre or an upstream is out of
// service at t, and since when: a ticket that must be in force by t takes it
// out, and no newer ticket published by t returns it.
func (c *checker) outOfServiceSince(kind wire.ObjectKind, name string, t time.Time) (since time.Time, out bool) {
	for _, p := range c.w.platform.tickets {
		for i := range p.ticket.Objects {
			o := &p.ticket.Objects[i]
			if o.Kind != kind || o.Name != name || p.publishedAt.After(t) {
				continue
			}
			outOfService := o.Centre != nil && o.Centre.State == wire.CentreStateOut ||
				o.Upstream != nil && o.Upstream.State == wire.UpstreamStateDrain
			if !outOfService {
				since, out = time.Time{}, false
			} else if deadline := c.w.platform.inForceBy(p.publishedAt); t.After(deadline) {
				since, out = p.publishedAt, true
			}
		}
	}
	return since, out
}

// checkRequests verifies what each caller received.
func (c *checker) checkRequests() {
	answers := map[string]string{} // key of the request by its expected answer
	for _, q := range c.w.requests {
		out, _ := expectedAnswer(pipelines[q.pipeline], q.body)
		answers[string(out)] = q.key
	}
	for _, q := range c.w.requests {
		c.checkRequest(q, answers)
	}
}

// checkRequest verifies the outcome of one request. answers maps each expected
// answer to the key of its request.
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
		c.fail(guaranteeWholeAnswer, "request %s was streamed %q, want a prefix of %q", q.key, q.streamedText, text)
	}
	if f := q.refusal; f != nil && f.Executed == wire.ExecutedNone {
		c.checkNotExecuted(q)
	}
	if q.endedAt.IsZero() {
		c.fail(guaranteeBounded, "request %s did not end", q.key)
		return
	}
	if end := q.startedAt.Add(requestDeadline + answerGrace); q.endedAt.After(end) && !c.disturbed(q.startedAt, q.endedAt, q.proc.name) {
		c.fail(guaranteeBounded, "request %s took %s", q.key, q.endedAt.Sub(q.startedAt))
	}
	if q.final && q.answer == nil {
		c.fail(guaranteeRecovery, "request %s sent after the fault through %s was not answered: %v", q.key, q.proc.name, q.refusal)
	}
	c.checkLostAnswer(q)
}

// checkNotExecuted verifies a refusal that reports no execution: no upstream
// started a call of the request, or a call with its token before the refusal.
func (c *checker) checkNotExecuted(q *request) {
	for _, r := range c.byID[q.refusal.Request] {
		c.fail(guaranteeNotExecuted, "request %s refused as not executed (%s), but a call started at upstream %s at %s", q.key, q.refusal.Reason, r.upstream.id, c.sinceStart(r.startedAt))
	}
	for _, r := range c.byToken[q.token] {
		if q.token != "" && r.startedAt.Before(q.endedAt) && r.ref.Request != q.refusal.Request {
			c.fail(guaranteeNotExecuted, "request %s refused as not executed (%s), but a call with its token started at %s", q.key, q.refusal.Reason, c.sinceStart(r.startedAt))
		}
	}
}

// checkLostAnswer reports a request that was refused although an upstream
// finished its last stage early enough for the result to be delivered.
func (c *checker) checkLostAnswer(q *request) {
	if q.refusal == nil || !q.cancelledAt.IsZero() {
		return
	}
	stages := pipelines[q.pipeline]
	for _, r := range c.byID[q.refusal.Request] {
		end := q.startedAt.Add(requestDeadline)
		if r.ref.Stage != stages[len(stages)-1].Name || r.outcome != outcomeDone {
			continue
		}
		if r.endedAt.Add(redeliveryTime).After(end) || c.disturbed(q.startedAt, end, q.proc.name, r.proc.name) {
			continue
		}
		g := guaranteeResults
		for _, p := range []*process{r.proc, q.proc} {
			if p.stopRequestedAt.After(q.startedAt) && p.stopRequestedAt.Before(q.endedAt) {
				g = guaranteeGracefulStop
			}
		}
		c.fail(g, "request %s (%.8s) refused (%s) at %s, but its last stage finished through %s at %s", q.key, q.refusal.Request,
			q.refusal.Reason, c.sinceStart(q.endedAt), r.proc.name, c.sinceStart(r.endedAt))
	}
}

// disturbed reports whether one of the processes was killed, or hit by another
// fault that may cost an answer, between two times.
func (c *checker) disturbed(from, to time.Time, names ...wire.HostID) bool {
	for _, p := range c.w.procs {
		if !p.killedAt.IsZero() && !p.killedAt.Before(from) && !p.killedAt.After(to) && slices.Contains(names, p.name) {
			return true
		}
	}
	for _, d := range c.w.disturbances {
		affected := len(d.names) == 0 || slices.ContainsFunc(names, func(n wire.HostID) bool { return slices.Contains(d.names, n) })
		if affected && d.from.Before(to) && d.to.After(from) {
			return true
		}
	}
	return false
}

// checkTokens verifies that no token took effect more than once.
func (c *checker) checkTokens() {
	for t, n := range c.w.effects {
		if n > 1 {
			c.fail(guaranteeAtMostOnce, "token %s took effect %d times", t, n)
		}
	}
}

// checkStops verifies planned stops: the process exits without an error within
// its drain limit, and no call or request that it had in flight is cut off.
func (c *checker) checkStops() {
	for _, p := range c.w.procs {
		if p.stopRequestedAt.IsZero() || !p.killedAt.IsZero() {
			continue
		}
		if p.runErr != nil && !c.disturbed(p.stopRequestedAt, p.exitedAt, p.name) {
			c.fail(guaranteeGracefulStop, "planned stop of %s at %s: %v", p.name, c.sinceStart(p.stopRequestedAt), p.runErr)
		}
		for _, r := range c.w.calls {
			if r.proc == p && r.outcome == outcomeCancelled && !r.endedAt.Before(p.exitedAt) {
				c.fail(guaranteeGracefulStop, "planned stop of %s cut off call %v at %s", p.name, r.ref, c.sinceStart(r.endedAt))
			}
		}
		for _, q := range c.w.requests {
			if q.proc == p && q.startedAt.Before(p.stopRequestedAt) && q.endedAt.After(p.exitedAt) {
				c.fail(guaranteeGracefulStop, "planned stop of %s at %s left request %s unanswered", p.name, c.sinceStart(p.stopRequestedAt), q.key)
			}
		}
	}
}

// checkTickets verifies that the script's ticket comes into force in time and
// is never reverted. It also verifies the orders of each upstream and limits
// the crashes caused by poisoned requests.
func (c *checker) checkTickets() {
	var publishedAt, deadline time.Time
	for _, p := range c.w.platform.tickets[initialTickets:] {
		for i := range p.ticket.Objects {
			if p.ticket.Objects[i].Name == string(probePipeline) {
				publishedAt, deadline = p.publishedAt, c.w.platform.inForceBy(p.publishedAt)
			}
		}
	}
	knownAt := map[*process]time.Time{} // end of the first probe that showed the ticket in force
	for _, p := range c.w.probes {
		switch {
		case p.known && knownAt[p.proc].IsZero():
			knownAt[p.proc] = p.endedAt
		case p.known:
		case !knownAt[p.proc].IsZero() && p.startedAt.After(knownAt[p.proc]):
			c.fail(guaranteeTicketInForce, "ticket reverted on %s at %s", p.proc.name, c.sinceStart(p.endedAt))
		case p.startedAt.After(deadline) && !publishedAt.IsZero() && p.endedAt.After(p.proc.startedAt.Add(inForceLimit)) &&
			!c.disturbed(p.endedAt.Add(-inForceLimit), p.endedAt, p.proc.name):
			c.fail(guaranteeTicketInForce, "ticket published at %s not in force on %s at %s", c.sinceStart(publishedAt), p.proc.name, c.sinceStart(p.endedAt))
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

// checkOrders verifies that an engine never accepts an order with a lower fence
// after a newer one, and that it ends with the newest version of its model.
func (c *checker) checkOrders(u *upstream) {
	var newest wire.TicketNumber
	for _, o := range u.orders {
		if o.accepted && o.order.Fence < newest {
			c.fail(guaranteeTicketInForce, "upstream %s accepted order %d after order %d at %s", u.id, o.order.Fence, newest, c.sinceStart(o.at))
		}
		if o.accepted {
			newest = max(newest, o.order.Fence)
		}
	}
	if u.kind == wire.KindGenerate && u.loaded.Version != 2 {
		c.fail(guaranteeTicketInForce, "upstream %s ended with model version %d, want 2", u.id, u.loaded.Version)
	}
}

// summary lists the first violations of each broken guarantee and counts the
// rest.
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
