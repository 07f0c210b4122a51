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
	teamSlots     wire.Slots = 64
	poolSlots     wire.Slots = 1024
	retryShare               = 0.1
	retryBurst               = 10
	maxPlacements            = 16
	failTime                 = time.Second
	nearDelay                = 50 * time.Microsecond // one way within a data centre
)

// report is what an agent tells a router about its upstream.
type report struct {
	limit, flight, queued wire.Slots
	warmth                wire.Warmth
	cache                 []wire.Fingerprint
	out                   bool
}

// view is what one router knows of one upstream.
type view struct {
	*upstream
	report
	seen     wire.Slots // own calls when the report came
	own      wire.Slots
	failed   wire.Slots // own calls that failed within failTime
	distance time.Duration
}

// router is one router with its queues by pool.
type router struct {
	*sim
	centre int
	rng    *rand.Rand
	pools  []*poolView
	known  [centres]wire.CentreState // of the data centres, as the router knows them
}

type poolView struct {
	members []*view
	queue   queue
	retry   *budget.Retry
}

func newRouter(s *sim, centre int, rng *rand.Rand) *router {
	r := &router{sim: s, centre: centre, rng: rng}
	for i := range r.known {
		r.known[i] = wire.CentreStateIn
	}
	bound := poolSlots
	if s.policy.admit == admitAll {
		bound = 0
	}
	for i := range s.fleet.pools {
		p := &poolView{queue: newQueue(s.policy.fair, bound), retry: budget.NewRetry(retryShare, retryBurst)}
		for _, u := range s.pools[i] {
			d := nearDelay
			if u.centre != centre {
				d = s.fleet.apart
			}
			p.members = append(p.members, &view{upstream: u, report: u.agent.report(), distance: d})
		}
		r.pools = append(r.pools, p)
	}
	return r
}

func (c *call) poolIndex() int { return c.router.fleet.pipes[c.pipe].stages[c.stage] }

func (c *call) poolView() *poolView { return c.router.pools[c.poolIndex()] }

// entry describes the call to a queue. The cost is what the router knows before
// the call: the size of the prompt.
func (c *call) entry(engine bool) share.Entry[*call] {
	f := c.router.fleet
	cost := int64(1)
	if engine {
		cost = promptSize
	}
	return share.Entry[*call]{
		Team: wire.TeamID(f.teams[c.team].name), Weight: f.teams[c.team].weight, Rank: f.pipes[c.pipe].rank,
		Cost: cost, Value: c,
	}
}

// begin starts the current stage of a request.
func (r *router) begin(q *request) {
	q.attempt, q.avoid = 1, nil
	r.pools[r.fleet.pipes[q.pipe].stages[q.stage]].retry.RecordFirstAttempt()
	r.place(q)
}

// place queues one attempt.
func (r *router) place(q *request) {
	if q.dead {
		return
	}
	c := &call{request: q, stage: q.stage, router: r, end: q.at + deadline}
	p := c.poolView()
	e := c.entry(r.fleet.pools[c.poolIndex()].engine())
	e.TeamLimit = teamSlots
	if r.policy.admit == admitAll {
		e.TeamLimit = 1 << 30
	}
	if r.policy.admit == admitSplit {
		left, ok := budget.Split(q.at+deadline-r.now, r.expects(q))
		if !ok {
			r.refuse(q, wire.ReasonDeadline)
			return
		}
		c.end = r.now + left
		latest := c.end - time.Duration(r.expects(q)[0])*ms
		e.LatestStart = epoch.Add(latest)
		r.after(latest-r.now+1, func() { r.expire(p) })
	}
	if reason, ok := p.queue.Push(r.wall(), e); !ok {
		r.refuse(q, reason)
		return
	}
	r.dispatch(p)
}

func (r *router) expects(q *request) (es []wire.Millis) {
	for _, p := range r.fleet.pipes[q.pipe].stages[q.stage:] {
		es = append(es, r.fleet.expect(p, r.policy.expect))
	}
	return es
}

func (r *router) expire(p *poolView) {
	for _, e := range p.queue.Expire(r.wall()) {
		r.refuse(e.Value.request, wire.ReasonDeadline)
	}
}

// dispatch places waiting calls where there is room.
func (r *router) dispatch(p *poolView) {
	for p.queue.Len() > 0 {
		if _, ok := r.pick(p, nil); !ok {
			return
		}
		e, late, ok := p.queue.Pop(r.wall())
		for _, x := range late {
			r.refuse(x.Value.request, wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		if e.Value.dead {
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
func (r *router) send(c *call, v *view) {
	c.up = v.upstream
	v.own++
	r.sends++
	r.after(v.distance, func() {
		if reason := c.up.agent.join(c); reason != "" {
			r.refused(c, reason)
		}
		r.beat(c, v)
	})
	if r.policy.cancel {
		r.after(c.end-r.now, func() { r.cancel(c) })
	}
}

// beat reports to the router while a call is open.
func (r *router) beat(c *call, v *view) {
	if r.lag > 0 {
		return
	}
	r.after(beatPeriod, func() {
		if !c.over {
			rep := c.up.agent.report()
			r.after(v.distance, func() { r.observe(v, rep) })
			r.beat(c, v)
		}
	})
}

func (r *router) cancel(c *call) {
	if c.over {
		return
	}
	if c.done == nil { // it waits in the agent
		r.refused(c, wire.ReasonDeadline)
		return
	}
	c.up.finish(c, false, false)
}

func (r *router) observe(v *view, rep report) {
	v.report, v.seen = rep, v.own
}

// view returns what the router knows of the upstream of c.
func (c *call) view() *view {
	for _, v := range c.poolView().members {
		if v.upstream == c.up {
			return v
		}
	}
	return nil
}

// refused takes the agent's word that a call was not run.
func (r *router) refused(c *call, reason wire.Reason) {
	if c.over {
		return
	}
	c.over = true
	r.settle(c, func() { r.again(c, reason, false) })
}

// returned takes the outcome of a call that was run.
func (r *router) returned(c *call, ok, reset bool) {
	r.settle(c, func() {
		switch {
		case ok:
			r.next(c)
		case reset:
			r.again(c, wire.ReasonCrashed, true)
		case r.now >= c.end:
			r.again(c, wire.ReasonDeadline, true)
		default:
			r.again(c, wire.ReasonUpstream, true)
		}
	})
}

// settle passes an answer with its report to the router.
func (r *router) settle(c *call, f func()) {
	v := c.view()
	rep := c.up.agent.report()
	r.after(v.distance, func() {
		if r.lag == 0 {
			r.observe(v, rep)
		}
		v.own--
		if r.policy.charge && r.fleet.pools[c.poolIndex()].engine() && c.done != nil {
			extra := int64(c.work[c.stage].busy / tokenTime)
			q := c.entry(true)
			c.poolView().queue.ChargeRank(q.Team, q.Rank, extra)
			c.up.agent.queue.ChargeRank(q.Team, q.Rank, extra)
		}
		f()
		r.dispatch(c.poolView())
	})
}

func (r *router) next(c *call) {
	q := c.request
	if q.dead {
		return
	}
	q.stage++
	if q.stage == len(q.work) {
		r.answer(q)
		return
	}
	r.begin(q)
}

// again decides on a retry.
func (r *router) again(c *call, reason wire.Reason, ran bool) {
	q := c.request
	if ran && reason != wire.ReasonDeadline && r.policy.failed {
		v := c.view()
		v.failed++
		r.after(failTime, func() { v.failed-- })
	}
	if q.dead {
		return
	}
	if reason == wire.ReasonDeadline || q.attempt >= maxPlacements {
		r.refuse(q, reason)
		return
	}
	left := c.end - r.now
	expect := time.Duration(r.expects(q)[0]) * ms
	wait := min(budget.Backoff(r.rng, q.attempt), max(0, left-expect))
	if ran && !r.mayRetry(c, left, expect) {
		r.refuse(q, reason)
		return
	}
	if ran {
		r.retries++
	}
	if r.policy.retry == retryAny {
		wait = 0
	}
	if r.policy.avoid {
		q.avoid = append(q.avoid, c.up)
	}
	q.attempt++
	r.after(wait, func() { r.place(q) })
}

func (r *router) mayRetry(c *call, left, expect time.Duration) bool {
	switch r.policy.retry {
	case retryNever:
		return false
	case retryBudget:
		_, ok := c.poolView().retry.Allow(c.attempt, left, expect)
		return ok
	}
	return c.attempt < maxTries
}

// pick chooses a replica for c, or for any call when c is nil.
func (r *router) pick(p *poolView, c *call) (*view, bool) {
	r.cands = r.cands[:0]
	open := r.open[:0]
	for _, v := range p.members {
		if !r.eligible(v) || c != nil && slices.Contains(c.avoid, v.upstream) {
			continue
		}
		cand := r.candidate(v, c)
		if r.blind() || used(r.policy.choice, &cand) < cand.Limit {
			r.cands = append(r.cands, cand)
			open = append(open, v)
		}
	}
	r.open = open
	if len(open) == 0 {
		return nil, false
	}
	i := choose(r.policy.choice, r.rng, r.cands)
	return open[i], i >= 0
}

// blind reports whether the policy sends calls without a look at the room left.
// Late reports say that a replica is full until the next one arrives, so a
// choice on reports alone would leave replicas idle if it waited for room; the
// agent queues or refuses what is too much.
func (r *router) blind() bool {
	return r.policy.limit == limitNone || r.policy.choice <= chooseTwo
}

func (r *router) eligible(v *view) bool {
	u := wire.Upstream{State: wire.UpstreamStateServe}
	return member.Evaluate(u, wire.Centre{State: r.known[v.centre]}, true, member.Session{Alive: true, CentreOut: v.report.out}, member.Listing{State: member.ListedLive}).Eligible
}

func (r *router) candidate(v *view, c *call) route.Candidate {
	if r.live {
		r.observe(v, v.agent.report())
	}
	k := route.Candidate{
		Upstream: v.id, Distance: wire.Micros(v.distance / time.Microsecond), Limit: v.limit, InFlight: v.flight,
		Queued: v.queued, OwnInFlight: v.own, OwnReported: v.seen, Warmth: v.warmth, OwnFailed: v.failed,
	}
	if r.policy.choice >= choosePrefix && c != nil && c.work[c.stage].prefix != "" {
		k.PrefixCached = slices.Contains(v.report.cache, c.work[c.stage].prefix)
	}
	return k
}

// used is the load that a policy sees.
func used(kind choiceKind, c *route.Candidate) wire.Slots {
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
		return used(kind, a)*b.Limit < used(kind, b)*a.Limit
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
		return chooseHeld(rng, cs)
	}
	c, ok := route.Pick(rng, cs)
	if !ok {
		return -1
	}
	return c.Index
}

// chooseHeld compares a random holder of the prefix with a random replica.
func chooseHeld(rng *rand.Rand, cs []route.Candidate) int {
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
