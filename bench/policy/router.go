package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamcove.example/core/budget"
	"hornbeamcove.example/core/member"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

// These constants follow package router.
const (
	teamQueueLimit wire.Slots = 64
	poolQueueLimit wire.Slots = 1024
	retryRatio                = 0.1                   // retries per first attempt
	retryBurst                = 10                    // retries at once
	maxPlacements             = 16                    // attempts per stage, refusals included
	failureWindow             = time.Second           // see Policy.countFailures
	nearDelay                 = 50 * time.Microsecond // one way within a data centre
)

// report is an agent's report on its upstream to a router.
type report struct {
	limit, inFlight, queued wire.Slots
	warmth                  wire.Warmth
	cachedPrefixes          []wire.Fingerprint
	centreOut               bool
}

// upstreamView is the state of one upstream as one router sees it.
type upstreamView struct {
	*upstream
	report
	ownReported    wire.Slots    // ownInFlight when the report arrived
	ownInFlight    wire.Slots    // this router's calls
	recentFailures wire.Slots    // own calls that failed within failureWindow
	delay          time.Duration // one way, from the router to the upstream's agent
}

// router models one router with a queue for each pool.
type router struct {
	*sim
	centre       int
	rng          *rand.Rand
	pools        []*poolView
	centreStates [centreCount]wire.CentreState // as far as the router knows
}

// poolView is one router's state of one pool.
type poolView struct {
	views []*upstreamView
	queue queue
	retry *budget.Retry
}

func newRouter(s *sim, centre int, rng *rand.Rand) *router {
	r := &router{sim: s, centre: centre, rng: rng}
	for i := range r.centreStates {
		r.centreStates[i] = wire.CentreStateIn
	}
	bound := poolQueueLimit
	if s.policy.admit == admitAll {
		bound = 0
	}
	for i := range s.fleet.pools {
		p := &poolView{queue: newQueue(s.policy.fairQueue, bound), retry: budget.NewRetry(retryRatio, retryBurst)}
		for _, u := range s.upstreams[i] {
			d := nearDelay
			if u.centre != centre {
				d = s.fleet.crossCentreDelay
			}
			p.views = append(p.views, &upstreamView{upstream: u, report: u.agent.report(), delay: d})
		}
		r.pools = append(r.pools, p)
	}
	return r
}

func (c *call) poolIndex() int { return c.router.fleet.pipelines[c.pipeline].stages[c.stage] }

func (c *call) poolView() *poolView { return c.router.pools[c.poolIndex()] }

// entry returns the queue entry of the call. Its cost is what the router knows before
// the call, the length of the prompt, or 1 for services.
func (c *call) entry(engine bool) share.Entry[*call] {
	f := c.router.fleet
	cost := int64(1)
	if engine {
		cost = promptTokens
	}
	return share.Entry[*call]{
		Team: wire.TeamID(f.teams[c.team].name), Weight: f.teams[c.team].weight, Rank: f.pipelines[c.pipeline].rank,
		Cost: cost, Value: c,
	}
}

// beginStage makes the first attempt at the current stage of a request.
func (r *router) beginStage(q *request) {
	q.attempt, q.avoid = 1, nil
	r.pools[r.fleet.pipelines[q.pipeline].stages[q.stage]].retry.RecordFirstAttempt()
	r.enqueue(q)
}

// enqueue queues one attempt at the current stage, or refuses the request.
func (r *router) enqueue(q *request) {
	if q.aborted {
		return
	}
	c := &call{request: q, stage: q.stage, router: r, stageDeadline: q.arrival + deadline}
	p := c.poolView()
	e := c.entry(r.fleet.pools[c.poolIndex()].engine())
	e.TeamLimit = teamQueueLimit
	if r.policy.admit == admitAll {
		e.TeamLimit = 1 << 30 // in effect no limit
	}
	if r.policy.admit == admitSplit {
		timeout, ok := budget.Split(q.arrival+deadline-r.now, r.stageEstimates(q))
		if !ok {
			r.refuse(q, wire.ReasonDeadline)
			return
		}
		c.stageDeadline = r.now + timeout
		latestStart := c.stageDeadline - time.Duration(r.stageEstimates(q)[0])*ms
		e.LatestStart = epoch.Add(latestStart)
		r.after(latestStart-r.now+1, func() { r.expire(p) })
	}
	if reason, ok := p.queue.Push(r.wallTime(), e); !ok {
		r.refuse(q, reason)
		return
	}
	r.dispatch(p)
}

// stageEstimates returns the estimates of the current and the later stages.
func (r *router) stageEstimates(q *request) (estimates []wire.Millis) {
	for _, p := range r.fleet.pipelines[q.pipeline].stages[q.stage:] {
		estimates = append(estimates, r.fleet.estimate(p, r.policy.estimateQuantile))
	}
	return estimates
}

// expire refuses the queued requests that can no longer meet their stage deadline.
func (r *router) expire(p *poolView) {
	for _, e := range p.queue.Expire(r.wallTime()) {
		r.refuse(e.Value.request, wire.ReasonDeadline)
	}
}

// dispatch sends queued calls while a replica has capacity. A call for which only
// replicas to avoid have capacity goes to one of these.
func (r *router) dispatch(p *poolView) {
	for p.queue.Len() > 0 {
		if _, ok := r.pick(p, nil); !ok {
			return
		}
		e, expired, ok := p.queue.Pop(r.wallTime())
		for _, x := range expired {
			r.refuse(x.Value.request, wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		if e.Value.aborted {
			continue
		}
		v, ok := r.pick(p, e.Value)
		if !ok {
			v, _ = r.pick(p, nil)
		}
		r.send(e.Value, v)
	}
}

// send sends a call to an agent and, if the policy says so, cancels it at its stage
// deadline.
func (r *router) send(c *call, v *upstreamView) {
	c.upstream = v.upstream
	v.ownInFlight++
	r.sends++
	r.after(v.delay, func() {
		if reason := c.upstream.agent.submit(c); reason != "" {
			r.handleRefusal(c, reason)
		}
		r.heartbeat(c, v)
	})
	if r.policy.cancelLate {
		r.after(c.stageDeadline-r.now, func() { r.cancel(c) })
	}
}

// heartbeat sends the agent's report to the router every heartbeatInterval until the
// call ends.
func (r *router) heartbeat(c *call, v *upstreamView) {
	if r.reportPeriod > 0 {
		return
	}
	r.after(heartbeatInterval, func() {
		if !c.ended {
			rep := c.upstream.agent.report()
			r.after(v.delay, func() { r.observe(v, rep) })
			r.heartbeat(c, v)
		}
	})
}

// cancel ends a call that has not ended yet.
func (r *router) cancel(c *call) {
	if c.ended {
		return
	}
	if c.done == nil { // not yet admitted by the agent
		r.handleRefusal(c, wire.ReasonDeadline)
		return
	}
	c.upstream.finish(c, false, false)
}

// observe stores a report that arrived at the router.
func (r *router) observe(v *upstreamView, rep report) {
	v.report, v.ownReported = rep, v.ownInFlight
}

// upstreamView returns the router's view of the upstream that c was sent to.
func (c *call) upstreamView() *upstreamView {
	for _, v := range c.poolView().views {
		if v.upstream == c.upstream {
			return v
		}
	}
	return nil
}

// handleRefusal handles the end of a call that the upstream didn't run.
func (r *router) handleRefusal(c *call, reason wire.Reason) {
	if c.ended {
		return
	}
	c.ended = true
	r.deliver(c, func() { r.retryOrRefuse(c, reason, false) })
}

// handleResult handles the end of a call that the upstream accepted.
func (r *router) handleResult(c *call, ok, reset bool) {
	r.deliver(c, func() {
		switch {
		case ok:
			r.completeStage(c)
		case reset:
			r.retryOrRefuse(c, wire.ReasonCrashed, true)
		case r.now >= c.stageDeadline:
			r.retryOrRefuse(c, wire.ReasonDeadline, true)
		default:
			r.retryOrRefuse(c, wire.ReasonUpstream, true)
		}
	})
}

// deliver brings the answer to a call to the router, together with the agent's
// report, and then calls f.
func (r *router) deliver(c *call, f func()) {
	v := c.upstreamView()
	rep := c.upstream.agent.report()
	r.after(v.delay, func() {
		if r.reportPeriod == 0 {
			r.observe(v, rep)
		}
		v.ownInFlight--
		if r.policy.chargeActual && r.fleet.pools[c.poolIndex()].engine() && c.done != nil {
			extra := int64(c.work[c.stage].busy / tokenTime)
			q := c.entry(true)
			c.poolView().queue.ChargeRank(q.Team, q.Rank, extra)
			c.upstream.agent.queue.ChargeRank(q.Team, q.Rank, extra)
		}
		f()
		r.dispatch(c.poolView())
	})
}

// completeStage goes on to the next stage or answers the request.
func (r *router) completeStage(c *call) {
	q := c.request
	if q.aborted {
		return
	}
	q.stage++
	if q.stage == len(q.work) {
		r.answer(q)
		return
	}
	r.beginStage(q)
}

// retryOrRefuse tries the stage again or refuses the request. ran tells that the
// upstream accepted the call; only then does the retry policy apply.
func (r *router) retryOrRefuse(c *call, reason wire.Reason, ran bool) {
	q := c.request
	if ran && reason != wire.ReasonDeadline && r.policy.countFailures {
		v := c.upstreamView()
		v.recentFailures++
		r.after(failureWindow, func() { v.recentFailures-- })
	}
	if q.aborted {
		return
	}
	if reason == wire.ReasonDeadline || q.attempt >= maxPlacements {
		r.refuse(q, reason)
		return
	}
	remaining := c.stageDeadline - r.now
	estimate := time.Duration(r.stageEstimates(q)[0]) * ms
	wait := min(budget.Backoff(r.rng, q.attempt), max(0, remaining-estimate))
	if ran && !r.mayRetry(c, remaining, estimate) {
		r.refuse(q, reason)
		return
	}
	if ran {
		r.retries++
	}
	if r.policy.retry == retryImmediate {
		wait = 0
	}
	if r.policy.avoidFailed {
		q.avoid = append(q.avoid, c.upstream)
	}
	q.attempt++
	r.after(wait, func() { r.enqueue(q) })
}

// mayRetry reports whether the policy allows a retry. remaining is the time until the
// stage deadline, estimate the estimate of the stage.
func (r *router) mayRetry(c *call, remaining, estimate time.Duration) bool {
	switch r.policy.retry {
	case retryNever:
		return false
	case retryBudget:
		_, ok := c.poolView().retry.Allow(c.attempt, remaining, estimate)
		return ok
	}
	return c.attempt < maxAttempts
}

// pick chooses a replica for c. With c nil it ignores cached prefixes and replicas to
// avoid.
func (r *router) pick(p *poolView, c *call) (*upstreamView, bool) {
	r.candidates = r.candidates[:0]
	openViews := r.candidateViews[:0]
	for _, v := range p.views {
		if !r.eligible(v) || c != nil && slices.Contains(c.avoid, v.upstream) {
			continue
		}
		cand := r.candidate(v, c)
		if r.ignoresCapacity() || perceivedLoad(r.policy.choice, &cand) < cand.Limit {
			r.candidates = append(r.candidates, cand)
			openViews = append(openViews, v)
		}
	}
	r.candidateViews = openViews
	if len(openViews) == 0 {
		return nil, false
	}
	i := choose(r.policy.choice, r.rng, r.candidates)
	return openViews[i], i >= 0
}

// ignoresCapacity reports whether the policy sends calls without regard to the
// capacity of replicas. A choice on reports alone has to: a replica that was full at
// its last report looks full until the next one, and would stay idle if the router
// waited for capacity. The agent queues or refuses the excess.
func (r *router) ignoresCapacity() bool {
	return r.policy.limit == limitNone || r.policy.choice <= chooseTwo
}

// eligible reports whether v may get new calls, given the state of its data centre.
func (r *router) eligible(v *upstreamView) bool {
	u := wire.Upstream{State: wire.UpstreamStateServe}
	return member.Evaluate(u, wire.Centre{State: r.centreStates[v.centre]}, true, member.Session{Alive: true, CentreOut: v.report.centreOut}, member.Listing{State: member.ListedLive}).Eligible
}

// candidate returns v as a candidate for c, which may be nil.
func (r *router) candidate(v *upstreamView, c *call) route.Candidate {
	if r.liveReports {
		r.observe(v, v.agent.report())
	}
	cand := route.Candidate{
		Upstream: v.id, Distance: wire.Micros(v.delay / time.Microsecond), Limit: v.limit, InFlight: v.inFlight,
		Queued: v.queued, OwnInFlight: v.ownInFlight, OwnReported: v.ownReported, Warmth: v.warmth, OwnFailed: v.recentFailures,
	}
	if r.policy.choice >= choosePrefix && c != nil && c.work[c.stage].prefix != "" {
		cand.PrefixCached = slices.Contains(v.report.cachedPrefixes, c.work[c.stage].prefix)
	}
	return cand
}

// perceivedLoad returns the load of a candidate in calls. Policies that choose on
// reports alone ignore the router's own calls since the last report.
func perceivedLoad(kind choiceKind, c *route.Candidate) wire.Slots {
	switch kind {
	case chooseRandom, chooseLeast, chooseTwo:
		return c.InFlight + c.Queued
	}
	return c.OwnInFlight + max(0, c.InFlight+c.Queued-c.OwnReported)
}

// choose returns the index of the chosen candidate, or -1 if route.Pick finds none
// with capacity.
func choose(kind choiceKind, rng *rand.Rand, cs []route.Candidate) int {
	less := func(i, j int) bool {
		a, b := &cs[i], &cs[j]
		return perceivedLoad(kind, a)*b.Limit < perceivedLoad(kind, b)*a.Limit
	}
	switch kind {
	case chooseRandom:
		return rng.IntN(len(cs))
	case chooseLeast, chooseLeastOwn:
		best := 0
		for n := range cs {
			if less(n, best) {
				best = n
			}
		}
		return best
	case chooseTwo:
		i, j := rng.IntN(len(cs)), rng.IntN(len(cs))
		if less(j, i) {
			return j
		}
		return i
	case chooseHolder:
		return chooseHolderOrRandom(rng, cs)
	}
	c, ok := route.Pick(rng, cs)
	if !ok {
		return -1
	}
	return c.Index
}

// chooseHolderOrRandom returns the index of the better of a random candidate with the
// cached prefix and any random candidate. If there is no such candidate or both are
// the same, it uses route.Pick on all candidates.
func chooseHolderOrRandom(rng *rand.Rand, cs []route.Candidate) int {
	holder, n := -1, 0
	for i := range cs {
		if cs[i].PrefixCached {
			n++
			if rng.IntN(n) == 0 {
				holder = i
			}
		}
	}
	other := rng.IntN(len(cs))
	if holder < 0 || holder == other {
		c, _ := route.Pick(rng, cs)
		return c.Index
	}
	c, _ := route.Pick(rng, []route.Candidate{cs[holder], cs[other]})
	if c.Index == 0 {
		return holder
	}
	return other
}
