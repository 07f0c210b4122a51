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
	// coldPollInterval is the pause between looks for an upstream while all are cold, and
	// coldWaitDivisor the part of a request's time, as 1/coldWaitDivisor, that it waits so.
	coldPollInterval = 25 * time.Millisecond
	coldWaitDivisor  = 4
	// remoteLoadPenalty is the load of an upstream in another data centre beyond its own, in
	// parts of its slots.
	remoteLoadPenalty = 0.35
)

// candidates returns the upstreams of the request's service on which it may run,
// in the newest snapshot, without those that it has tried.
func (x *exchange) candidates() (us []fleet.Upstream) {
	x.refreshView()
	for _, u := range x.view.Upstreams[x.svc.ID] {
		if !slices.Contains(x.tried, u.ID) && fleet.Allowed(x.route, x.team, x.s.cfg.region(u.Centre)) {
			us = append(us, u)
		}
	}
	return us
}

// refreshView takes over a newer list of upstreams; the configuration stays that of the
// request's arrival.
func (x *exchange) refreshView() {
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
	var states []targetStatus
	var excluded []*target
	for _, u := range us {
		t := x.s.targets.get(u)
		st := t.status(now, x.svc, routers)
		switch {
		case st.coldLimited:
			paced = true
		case st.ejected:
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
		x.choiceReason = "all excluded"
		return excluded[int(randomFraction()*float64(len(excluded)))], false
	}
	if x.route.Engine {
		return open[x.chooseEngine(open, states)], false
	}
	return open[x.leastLoaded(open, states)], false
}

// chooseEngine chooses an engine by the shared parts of the prompt.
func (x *exchange) chooseEngine(open []*target, states []targetStatus) int {
	es := make([]route.Engine, len(open))
	for i, t := range open {
		es[i] = route.Engine{Upstream: t.ID, Load: float64(states[i].inFlight), Penalty: states[i].penalty}
	}
	shared := x.need.SharedSegments()
	parts := make([]string, len(shared))
	for i, p := range shared {
		parts[i] = p.ID
	}
	x.setWeights(es, open)
	x.choiceReason = "holder"
	return route.PickEngine(route.PromptKey(parts...), es)
}

// setWeights gives each engine the part of the prompts that the upstreams of the stages in
// its data centre can make results for.
func (x *exchange) setWeights(es []route.Engine, open []*target) {
	if len(x.route.Stages) == 0 {
		return
	}
	engines := map[wire.DataCentreID]int{}
	for _, t := range open {
		engines[t.Centre]++
	}
	shares := x.stageShares()
	for i, t := range open {
		es[i].Weight = max(shares[t.Centre], minStageShare) / float64(engines[t.Centre])
	}
}

// minStageShare is the part of the stage work that a data centre without an upstream of
// a stage counts for.
const minStageShare = 0.02

// stageShares returns, for each data centre, the smallest part of the upstreams of any
// stage of the route that it has.
func (x *exchange) stageShares() map[wire.DataCentreID]float64 {
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

// leastLoaded chooses the upstream with the least load, and prefers its own data centre.
func (x *exchange) leastLoaded(open []*target, states []targetStatus) int {
	score := func(i int) float64 {
		load := (float64(states[i].inFlight) + states[i].penalty) / float64(max(open[i].Slots, 1))
		if open[i].Centre != x.s.cfg.Centre {
			load += remoteLoadPenalty
		}
		return load
	}
	x.choiceReason = "least load"
	offset := int(randomFraction() * float64(len(open)))
	order := make([]int, len(open))
	for i := range order {
		order[i] = (i + offset) % len(open)
	}
	return slices.MinFunc(order, func(a, b int) int { return cmp.Compare(score(a), score(b)) })
}

// acquire chooses a target, and waits a little while all of them are cold. It
// returns nil when there is none.
func (x *exchange) acquire(ctx context.Context) *target {
	until := time.Now().Add(x.remaining() / coldWaitDivisor)
	for {
		now := time.Now()
		t, paced := x.choose(now)
		if t != nil && t.admit(now, x.svc, x.s.peers.routerCount(now)) {
			x.upstream = t.ID
			return t
		}
		if t == nil && !paced || now.After(until) || !clock.Sleep(ctx, coldPollInterval) {
			return nil
		}
	}
}

// allowRepeat reports whether the request may go to another upstream after one that
// may have run it, and takes the attempt from the budget.
func (x *exchange) allowRepeat() bool {
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts && x.allowResend()
}

// minAttemptTime is the time below which another attempt is not worth making.
const minAttemptTime = 15 * time.Millisecond

// maxRejections bounds the upstreams that may reject one request.
const maxRejections = 3

// allowResend takes one more send from the budget.
func (x *exchange) allowResend() bool {
	if x.sends == 0 {
		return x.remaining() > minAttemptTime
	}
	if x.sends > maxRejections {
		return false
	}
	_, ok := x.retryBudget.Allow(1, x.remaining(), minAttemptTime)
	return ok
}
