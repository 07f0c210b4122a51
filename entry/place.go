package entry

import (
	"context"
	"slices"
	"time"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/pace"
	"hornbeamcove.example/core/route"
)

const (
	// coldPollInterval is the pause between attempts to choose an upstream while all of
	// them are cold. A request waits for 1/coldWaitDivisor of its remaining time.
	coldPollInterval = 25 * time.Millisecond
	coldWaitDivisor  = 4
)

// candidates returns the upstreams of the newest snapshot on which the request may run,
// except those that it has tried. If upstreamsUsedUp, they are among those that it has left. A
// stream that has begun may go on only at upstreams of the same software version: what two
// versions write doesn't fit together.
func (x *exchange) candidates() (us []fleet.Upstream) {
	x.refreshView()
	onlyLeft := x.upstreamsUsedUp()
	for _, u := range x.view.Upstreams[x.svc.ID] {
		if x.pinned != "" && u.Software != x.pinned || onlyLeft && !slices.Contains(x.left, u.ID) {
			continue
		}
		if !x.s.notices.Leaving(time.Now(), u) && !slices.Contains(x.tried, u.ID) && fleet.Allowed(x.route, x.team, x.s.cfg.region(u.Centre)) {
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

// Reasons for the choice of an upstream.
const (
	choiceExcluded = "all excluded" // all are ejected
	choiceWayBack  = "way back"     // the request has left it for another one, which had no answer
)

// choose returns the target for the request; if all are ejected, it picks one at random. Silent
// upstreams, and those that the request has left, are chosen only if all others are ejected, but
// the wayBack goes first: it had room for the request, which isn't known of the others.
// If there is none, it returns nil and whether a cold upstream was left out because its
// rate limit was reached. It sets limitWait.
func (x *exchange) choose(now time.Time) (t *target, coldLimited bool) {
	us := x.candidates()
	routers := x.s.peers.routerCount(now)
	var usable []*target
	var states []targetStatus
	var silent, ejected []*target
	var silentStates []targetStatus
	x.limitWait = 0
	svc, means := x.pace()
	for _, u := range us {
		if wait := x.s.limitWait(now, u); wait > 0 {
			if x.limitWait == 0 || wait < x.limitWait {
				x.limitWait = wait
			}
			continue
		}
		t := x.s.targets.get(u)
		st := t.status(now, x.svc, routers)
		switch {
		case u.ID == x.wayBack && !x.hedging && !st.coldLimited:
			x.choiceReason, x.choiceLoad, x.choiceKnown = choiceWayBack, pace.Load{}, 0
			return t, false
		case x.hedging && (st.silent || st.quiet > maxQuiet):
			continue
		case st.coldLimited:
			coldLimited = true
		case st.ejected:
			ejected = append(ejected, t)
		case st.silent || slices.Contains(x.left, u.ID):
			silent = append(silent, t)
			silentStates = append(silentStates, st)
		default:
			usable = append(usable, t)
			states = append(states, st)
		}
	}
	if len(usable) == 0 && len(silent) > 0 {
		usable, states = silent, silentStates
	}
	if len(usable) == 0 {
		if len(ejected) == 0 || coldLimited {
			return nil, coldLimited
		}
		x.choiceReason = choiceExcluded
		return ejected[int(randomFraction()*float64(len(ejected)))], false
	}
	loads, confidence := estimateLoads(svc, states, means)
	var i int
	var reason route.Reason
	if x.route.Engine {
		key := route.PromptKey(x.sharedSegmentIDs()...)
		i, reason = x.chooseEngine(key, usable, states, loads, x.demand(now, key, svc, means, len(usable), confidence))
	} else {
		i, reason = x.leastLoaded(usable, states, loads, confidence)
	}
	x.choiceReason, x.choiceLoad, x.choiceKnown = string(reason), loads[i], confidence
	return usable[i], false
}

// chooseEngine returns the index of the engine that prompts with the same shared segments
// prefer, because its prefix cache may hold them, unless its load is too high.
func (x *exchange) chooseEngine(key uint64, usable []*target, states []targetStatus, loads []pace.Load, d route.Demand) (int, route.Reason) {
	es := make([]route.Engine, len(usable))
	for i, t := range usable {
		es[i] = route.Engine{Upstream: t.ID, Load: loads[i].Requests, Factor: loads[i].Factor, Penalty: states[i].penalty}
	}
	if d.Confidence > 0 {
		x.penalizeAway(es, usable)
	}
	x.setWeights(es, usable)
	return route.PickHolder(key, es, d)
}

// sharedSegmentIDs returns the IDs of the prompt segments that other requests may share.
func (x *exchange) sharedSegmentIDs() []string {
	segments := x.spec.SharedSegments()
	ids := make([]string, len(segments))
	for i, p := range segments {
		ids[i] = p.ID
	}
	return ids
}

// leastLoaded returns the index of the upstream with the least load per slot. Upstreams
// in the router's data centre are preferred, and ties are broken at random.
func (x *exchange) leastLoaded(usable []*target, states []targetStatus, loads []pace.Load, confidence float64) (int, route.Reason) {
	ps := make([]route.Plain, len(usable))
	for i, t := range usable {
		ps[i] = route.Plain{
			Load: loads[i].Requests, Factor: loads[i].Factor, Penalty: states[i].penalty, Slots: t.Slots,
			Remote: t.Centre != x.s.cfg.Centre,
		}
	}
	return route.PickLeast(ps, confidence, randomFraction())
}

// acquire chooses a target and counts the request against its rate limit if it is cold.
// It waits while every upstream that is not ejected is cold and at its limit, and returns
// nil if there is no target in time or a part of the prompt is quarantined.
func (x *exchange) acquire(ctx context.Context) *target {
	x.awaitProbe(ctx)
	until := time.Now().Add(x.remaining() / coldWaitDivisor)
	for x.trial || !x.quarantined() {
		now := time.Now()
		t, coldLimited := x.chooseProbed(ctx, now)
		if t != nil && t.allowRequest(now, x.svc, x.s.peers.routerCount(now)) && x.s.takeLimited(now, t.Upstream) {
			x.upstream, x.software = t.ID, t.Software
			x.s.incCounter("choices", "service", string(x.svc.ID), "reason", x.choiceReason)
			return t
		}
		if t == nil && !coldLimited || now.After(until) || !clock.Sleep(ctx, coldPollInterval) {
			return nil
		}
	}
	return nil
}

// awaitProbe waits until it is known whether the upstream of the last attempt crashed, if a
// part of the prompt is already suspected of crashing upstreams.
func (x *exchange) awaitProbe(ctx context.Context) {
	if x.probed == nil || !x.s.parts.Suspected(time.Now(), x.parts) {
		return
	}
	select {
	case <-x.probed:
	case <-ctx.Done():
	}
	x.probed = nil
}

// allowRepeat reports whether the request may be sent again after an upstream that may
// have run it. If so, it takes a retry from the budget.
func (x *exchange) allowRepeat() bool {
	switch {
	case !x.route.Repeatable():
		x.notRepeated = "route"
	case x.upstreamsUsedUp() && len(x.left) == 0:
		x.notRepeated = "attempts"
	default:
		return x.allowResend()
	}
	return false
}

// minAttemptTime is the remaining time below which no further attempt is made.
const minAttemptTime = 15 * time.Millisecond

// maxResends limits how often a request that reached an upstream is sent again, not counting its returns.
const maxResends = 3

// allowResend reports whether the request may be sent again, and takes a retry from the
// budget if an upstream was already reached. If not, it sets notRepeated.
func (x *exchange) allowResend() bool {
	switch {
	case x.remaining() <= minAttemptTime:
		x.notRepeated = "time"
		return false
	case x.sends == 0:
		return true
	case x.reserved > 0:
		x.reserved--
		return true
	case x.sends-x.returns > maxResends:
		x.notRepeated = "sends"
		return false
	}
	_, ok := x.retryBudget.Allow(1, x.remaining(), minAttemptTime)
	if !ok {
		x.notRepeated = "budget"
	}
	return ok
}
