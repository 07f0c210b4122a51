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

// These follow package router.
const (
	teamQueueLimit wire.Slots = 64
	poolQueueLimit wire.Slots = 1024
	retryRatio                = 0.1
	retryBurst                = 10
	maxPlacements             = 16
	failureWindow             = time.Second
	nearDelay                 = 50 * time.Microsecond // one way within a data centre
)

// report is what an agent tells a router about its upstream.
type report struct {
	limit, inFlight, queued wire.Slots
	warmth                  wire.Warmth
	cachedPrefixes          []wire.Fingerprint
	centreOut               bool
}

// upstreamView is what one router knows of one upstream.
type upstreamView struct {
	*upstream
	report
	ownReported    wire.Slots // own calls when the report came
	ownInFlight    wire.Slots
	recentFailures wire.Slots // own calls that failed within failureWindow
	delay          time.Duration
}

// router is one router with its queues by pool.
type router struct {
	*sim
	centre       int
	rng          *rand.Rand
	pools        []*poolView
	centreStates [centreCount]wire.CentreState // of the data centres, as the router knows them
}

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

// entry describes the call to a queue. The cost is what the router knows before
// the call: the size of the prompt.
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

// beginStage starts the current stage of a request.
func (r *router) beginStage(q *request) {
	q.attempt, q.avoid = 1, nil
	r.pools[r.fleet.pipelines[q.pipeline].stages[q.stage]].retry.RecordFirstAttempt()
	r.enqueue(q)
}

// enqueue queues one attempt.
func (r *router) enqueue(q *request) {
	if q.aborted {
		return
	}
	c := &call{request: q, stage: q.stage, router: r, stageDeadline: q.arrival + deadline}
	p := c.poolView()
	e := c.entry(r.fleet.pools[c.poolIndex()].engine())
	e.TeamLimit = teamQueueLimit
	if r.policy.admit == admitAll {
		e.TeamLimit = 1 << 30
	}
	if r.policy.admit == admitSplit {
		left, ok := budget.Split(q.arrival+deadline-r.now, r.stageEstimates(q))
		if !ok {
			r.refuse(q, wire.ReasonDeadline)
			return
		}
		c.stageDeadline = r.now + left
		latest := c.stageDeadline - time.Duration(r.stageEstimates(q)[0])*ms
		e.LatestStart = epoch.Add(latest)
		r.after(latest-r.now+1, func() { r.expire(p) })
	}
	if reason, ok := p.queue.Push(r.wallTime(), e); !ok {
		r.refuse(q, reason)
		return
	}
	r.dispatch(p)
}

func (r *router) stageEstimates(q *request) (es []wire.Millis) {
	for _, p := range r.fleet.pipelines[q.pipeline].stages[q.stage:] {
		es = append(es, r.fleet.estimate(p, r.policy.estimateQuantile))
	}
	return es
}

func (r *router) expire(p *poolView) {
	for _, e := range p.queue.Expire(r.wallTime()) {
		r.refuse(e.Value.request, wire.ReasonDeadline)
	}
}

// dispatch places waiting calls where there is room.
func (r *router) dispatch(p *poolView) {
	for p.queue.Len() > 0 {
		if _, ok := r.pick(p, nil); !ok {
			return
		}
		e, late, ok := p.queue.Pop(r.wallTime())
		for _, x := range late {
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

// send gives a call to an agent, and cancels it at its deadline.
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

// heartbeat reports to the router while a call is open.
func (r *router) heartbeat(c *call, v *upstreamView) {
	if r.reportLag > 0 {
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

func (r *router) cancel(c *call) {
	if c.ended {
		return
	}
	if c.done == nil { // it waits in the agent
		r.handleRefusal(c, wire.ReasonDeadline)
		return
	}
	c.upstream.finish(c, false, false)
}

func (r *router) observe(v *upstreamView, rep report) {
	v.report, v.ownReported = rep, v.ownInFlight
}

// upstreamView returns what the router knows of the upstream of c.
func (c *call) upstreamView() *upstreamView {
	for _, v := range c.poolView().views {
		if v.upstream == c.upstream {
			return v
		}
	}
	return nil
}

// handleRefusal takes the agent's word that a call was not run.
func (r *router) handleRefusal(c *call, reason wire.Reason) {
	if c.ended {
		return
	}
	c.ended = true
	r.deliver(c, func() { r.retryOrRefuse(c, reason, false) })
}

// handleResult takes the outcome of a call that was run.
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

// deliver passes an answer with its report to the router.
func (r *router) deliver(c *call, f func()) {
	v := c.upstreamView()
	rep := c.upstream.agent.report()
	r.after(v.delay, func() {
		if r.reportLag == 0 {
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

// retryOrRefuse decides on a retry.
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
	left := c.stageDeadline - r.now
	expect := time.Duration(r.stageEstimates(q)[0]) * ms
	wait := min(budget.Backoff(r.rng, q.attempt), max(0, left-expect))
	if ran && !r.mayRetry(c, left, expect) {
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

func (r *router) mayRetry(c *call, left, expect time.Duration) bool {
	switch r.policy.retry {
	case retryNever:
		return false
	case retryBudget:
		_, ok := c.poolView().retry.Allow(c.attempt, left, expect)
		return ok
	}
	return c.attempt < maxAttempts
}

// pick chooses a replica for c, or for any call when c is nil.
func (r *router) pick(p *poolView, c *call) (*upstreamView, bool) {
	r.candidates = r.candidates[:0]
	open := r.openViews[:0]
	for _, v := range p.views {
		if !r.eligible(v) || c != nil && slices.Contains(c.avoid, v.upstream) {
			continue
		}
		cand := r.candidate(v, c)
		if r.ignoresCapacity() || perceivedLoad(r.policy.choice, &cand) < cand.Limit {
			r.candidates = append(r.candidates, cand)
			open = append(open, v)
		}
	}
	r.openViews = open
	if len(open) == 0 {
		return nil, false
	}
	i := choose(r.policy.choice, r.rng, r.candidates)
	return open[i], i >= 0
}

// ignoresCapacity reports whether the policy sends calls without a look at the room left.
// Late reports say that a replica is full until the next one arrives, so a
// choice on reports alone would leave replicas idle if it waited for room; the
// agent queues or refuses what is too much.
func (r *router) ignoresCapacity() bool {
	return r.policy.limit == limitNone || r.policy.choice <= chooseTwo
}

func (r *router) eligible(v *upstreamView) bool {
	u := wire.Upstream{State: wire.UpstreamStateServe}
	return member.Evaluate(u, wire.Centre{State: r.centreStates[v.centre]}, true, member.Session{Alive: true, CentreOut: v.report.centreOut}, member.Listing{State: member.ListedLive}).Eligible
}

func (r *router) candidate(v *upstreamView, c *call) route.Candidate {
	if r.liveReports {
		r.observe(v, v.agent.report())
	}
	k := route.Candidate{
		Upstream: v.id, Distance: wire.Micros(v.delay / time.Microsecond), Limit: v.limit, InFlight: v.inFlight,
		Queued: v.queued, OwnInFlight: v.ownInFlight, OwnReported: v.ownReported, Warmth: v.warmth, OwnFailed: v.recentFailures,
	}
	if r.policy.choice >= choosePrefix && c != nil && c.work[c.stage].prefix != "" {
		k.PrefixCached = slices.Contains(v.report.cachedPrefixes, c.work[c.stage].prefix)
	}
	return k
}

// perceivedLoad is the load that a policy sees.
func perceivedLoad(kind choiceKind, c *route.Candidate) wire.Slots {
	switch kind {
	case chooseRandom, chooseLeast, chooseTwo:
		return c.InFlight + c.Queued
	}
	return c.OwnInFlight + max(0, c.InFlight+c.Queued-c.OwnReported)
}

// choose returns the index of a candidate with room.
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

// chooseHolderOrRandom compares a random holder of the prefix with a random replica.
func chooseHolderOrRandom(rng *rand.Rand, cs []route.Candidate) int {
	held, n := -1, 0
	for i := range cs {
		if cs[i].PrefixCached {
			n++
			if rng.IntN(n) == 0 {
				held = i
			}
		}
	}
	other := rng.IntN(len(cs))
	if held < 0 || held == other {
		c, _ := route.Pick(rng, cs)
		return c.Index
	}
	c, _ := route.Pick(rng, []route.Candidate{cs[held], cs[other]})
	if c.Index == 0 {
		return held
	}
	return other
}
