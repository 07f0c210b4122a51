package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
)

const (
	// paceWait is the pause between looks for an upstream while all are cold, and
	// paceMost the part of a request's time, as 1/paceMost, that it waits so.
	paceWait = 25 * time.Millisecond
	paceMost = 4
	// farther is the load of an upstream in another data centre beyond its own, in
	// parts of its slots.
	farther = 0.35
)

// candidates returns the upstreams of the request's service on which it may run,
// in the newest snapshot, without those that it has tried.
func (x *exchange) candidates() (us []fleet.Upstream) {
	x.refresh()
	for _, u := range x.view.Upstreams[x.svc.ID] {
		if !slices.Contains(x.tried, u.ID) && fleet.Allowed(x.route, x.team, x.s.cfg.region(u.Centre)) {
			us = append(us, u)
		}
	}
	return us
}

// refresh takes over a newer list of upstreams; the configuration stays that of the
// request's arrival.
func (x *exchange) refresh() {
	v := x.s.view.Load()
	if v == x.view {
		return
	}
	merged := *v
	merged.Config = x.view.Config
	x.view = &merged
}

// choose returns the target for the request, or nil and whether one is only held
// back by its cold start.
func (x *exchange) choose(now time.Time) (t *target, paced bool) {
	us := x.candidates()
	routers := x.s.peers.routerCount(now)
	var open []*target
	var states []standing
	var excluded []*target
	for _, u := range us {
		t := x.s.targets.get(u)
		st := t.standing(now, x.svc, routers)
		switch {
		case st.paced:
			paced = true
		case st.excluded:
			excluded = append(excluded, t)
		default:
			open = append(open, t)
			states = append(states, st)
		}
	}
	if len(open) == 0 {
		if len(excluded) == 0 || paced {
			return nil, paced
		}
		x.why = "all excluded"
		return excluded[int(draw()*float64(len(excluded)))], false
	}
	if x.route.Engine {
		return open[x.holder(open, states)], false
	}
	return open[x.nearest(open, states)], false
}

// holder chooses an engine by the shared parts of the prompt.
func (x *exchange) holder(open []*target, states []standing) int {
	es := make([]route.Engine, len(open))
	for i, t := range open {
		es[i] = route.Engine{Upstream: t.ID, Load: float64(states[i].flight), Penalty: states[i].penalty}
	}
	shared := x.need.SharedSegments()
	parts := make([]string, len(shared))
	for i, p := range shared {
		parts[i] = p.ID
	}
	x.weigh(es, open)
	x.why = "holder"
	return route.PickEngine(route.PromptKey(parts...), es)
}

// weigh gives each engine the part of the prompts that the upstreams of the stages in
// its data centre can make results for.
func (x *exchange) weigh(es []route.Engine, open []*target) {
	if len(x.route.Stages) == 0 {
		return
	}
	engines := map[wire.DataCentreID]int{}
	for _, t := range open {
		engines[t.Centre]++
	}
	shares := x.makers()
	for i, t := range open {
		es[i].Weight = max(shares[t.Centre], leastShare) / float64(engines[t.Centre])
	}
}

// leastShare is the part of the stage work that a data centre without an upstream of
// a stage counts for.
const leastShare = 0.02

// makers returns, for each data centre, the smallest part of the upstreams of any
// stage of the route that it has.
func (x *exchange) makers() map[wire.DataCentreID]float64 {
	shares := map[wire.DataCentreID]float64{}
	for n, st := range x.route.Stages {
		count := map[wire.DataCentreID]float64{}
		ups := x.view.Upstreams[st.Service]
		for _, u := range ups {
			count[u.Centre] += 1 / float64(len(ups))
		}
		for c, v := range count {
			if old, ok := shares[c]; n == 0 {
				shares[c] = v
			} else if ok {
				shares[c] = min(old, v)
			}
		}
		for c := range shares {
			if count[c] == 0 {
				delete(shares, c)
			}
		}
	}
	return shares
}

// nearest chooses the upstream with the least load, and prefers its own data centre.
func (x *exchange) nearest(open []*target, states []standing) int {
	score := func(i int) float64 {
		load := (float64(states[i].flight) + states[i].penalty) / float64(max(open[i].Slots, 1))
		if open[i].Centre != x.s.cfg.Centre {
			load += farther
		}
		return load
	}
	x.why = "least load"
	offset := int(draw() * float64(len(open)))
	order := make([]int, len(open))
	for i := range order {
		order[i] = (i + offset) % len(open)
	}
	return slices.MinFunc(order, func(a, b int) int { return cmp.Compare(score(a), score(b)) })
}

// acquire chooses a target, and waits a little while all of them are cold. It
// returns nil when there is none.
func (x *exchange) acquire(ctx context.Context) *target {
	until := time.Now().Add(x.left() / paceMost)
	for {
		now := time.Now()
		t, paced := x.choose(now)
		if t != nil && t.admit(now, x.svc, x.s.peers.routerCount(now)) {
			x.upstream = t.ID
			return t
		}
		if t == nil && !paced || now.After(until) || !clock.Sleep(ctx, paceWait) {
			return nil
		}
	}
}

// mayRepeat reports whether the request may go to another upstream after one that
// may have run it, and takes the attempt from the budget.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts && x.mayResend()
}

// leastLeft is the time below which another attempt is not worth making.
const leastLeft = 15 * time.Millisecond

// maxRejects bounds the upstreams that may reject one request.
const maxRejects = 3

// mayResend takes one more send from the budget.
func (x *exchange) mayResend() bool {
	if x.sends == 0 {
		return x.left() > leastLeft
	}
	if x.sends > maxRejects {
		return false
	}
	_, ok := x.retry.Allow(1, x.left(), leastLeft)
	return ok
}
