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
	// coldPollInterval is the pause between attempts to choose an upstream while all of
	// them are cold. A request waits for 1/coldWaitDivisor of its remaining time.
	coldPollInterval = 25 * time.Millisecond
	coldWaitDivisor  = 4
	// remoteLoadPenalty is added to the load of an upstream in another data centre, as a
	// fraction of its slots.
	remoteLoadPenalty = 0.35
)

// candidates returns the upstreams of the newest snapshot on which the request may run,
// except those that it has tried.
func (x *exchange) candidates() (us []fleet.Upstream) {
	x.refreshView()
	for _, u := range x.view.Upstreams[x.svc.ID] {
		if !slices.Contains(x.tried, u.ID) && fleet.Allowed(x.route, x.team, x.s.cfg.region(u.Centre)) {
			us = append(us, u)
		}
	}
	return us
}

// refreshView updates the list of upstreams. The configuration stays the one that was in
// force when the request arrived.
func (x *exchange) refreshView() {
	v := x.s.view.Load()
	if v == x.view {
		return
	}
	merged := *v
	merged.Config = x.view.Config
	x.view = &merged
}

// choose returns the target for the request. If there is none, it returns nil and
// whether a cold upstream was left out because its rate limit was reached.
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

// chooseEngine returns the index of the engine chosen by the shared parts of the prompt.
func (x *exchange) chooseEngine(open []*target, states []targetStatus) int {
	es := make([]route.Engine, len(open))
	for i, t := range open {
		es[i] = route.Engine{Upstream: t.ID, Load: float64(states[i].inFlight), Penalty: states[i].penalty}
	}
	shared := x.spec.SharedSegments()
	parts := make([]string, len(shared))
	for i, p := range shared {
		parts[i] = p.ID
	}
	x.setWeights(es, open)
	x.choiceReason = "holder"
	return route.PickEngine(route.PromptKey(parts...), es)
}

// setWeights weights each engine by the share of the stage capacity in its data centre,
// divided by the number of engines there.
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

// minStageShare is the share of the stage capacity that is assumed for a data centre in
// which some stage has no upstream.
const minStageShare = 0.02

// stageShares returns for each data centre its fraction of a stage's upstreams, taken for
// the stage of the route for which the fraction is smallest. Data centres that lack an
// upstream of some stage are left out.
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

// leastLoaded returns the index of the upstream with the least load per slot. Upstreams
// in the router's data centre are preferred, and ties are broken at random.
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

// acquire chooses a target. It waits while the rate limits of cold upstreams hold back
// all that are left, and returns nil if there is none in time.
func (x *exchange) acquire(ctx context.Context) *target {
	until := time.Now().Add(x.remaining() / coldWaitDivisor)
	for {
		now := time.Now()
		t, paced := x.choose(now)
		if t != nil && t.allowRequest(now, x.svc, x.s.peers.routerCount(now)) {
			x.upstream = t.ID
			return t
		}
		if t == nil && !paced || now.After(until) || !clock.Sleep(ctx, coldPollInterval) {
			return nil
		}
	}
}

// allowRepeat reports whether the request may be sent again after an upstream that may
// have run it. If so, it takes a retry from the budget.
func (x *exchange) allowRepeat() bool {
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts && x.allowResend()
}

// minAttemptTime is the remaining time below which no further attempt is made.
const minAttemptTime = 15 * time.Millisecond

// maxResends is the number of sends of one request beyond which it is not sent again.
const maxResends = 3

// allowResend reports whether the request may be sent again, and takes a retry from the
// budget if an upstream was already reached.
func (x *exchange) allowResend() bool {
	if x.sends == 0 {
		return x.remaining() > minAttemptTime
	}
	if x.sends > maxResends {
		return false
	}
	_, ok := x.retryBudget.Allow(1, x.remaining(), minAttemptTime)
	return ok
}
