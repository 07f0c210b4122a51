// Package admit decides at a request's arrival whether its stages can be run in time.
// It does no I/O.
//
// It answers a burst that asks a little more of a stage service than its upstreams
// can do: without it every request waits in each queue on its way, most come late,
// and work on early stages is thrown away. A request that would come late is refused
// before any work on it, so that the others are on time.
package admit

import (
	"slices"
	"time"

	"hornbeamcove.example/core/fleet"
)

const (
	// slackCutPerRank is the part of the slack of more urgent routes, per rank, that a less
	// urgent one leaves to them.
	slackCutPerRank = 0.1
	// minSlackFraction is the least part of its slack that a route may use, however low
	// its rank.
	minSlackFraction = 0.3
	// maxAimFraction is the part of its aim that a request may be expected to take, with
	// the usual error of forecasts added.
	maxAimFraction = 0.9
	// minRetryDelay is the least time after which a refused caller is asked to return.
	minRetryDelay = 200 * time.Millisecond
)

// Backlog is the work that a stage service has before it, over all routers.
type Backlog struct {
	Waiting int     // pieces in its queue
	Coming  int     // pieces of requests that are admitted and have not reached it
	Rate    float64 // pieces a second that its upstreams make in full calls; 0 if unknown
}

// waitAfter is the time for which a piece waits that arrives after a while.
func (b Backlog) waitAfter(after time.Duration) time.Duration {
	if b.Rate <= 0 {
		return 0
	}
	clear := time.Duration(float64(b.Waiting+b.Coming) / b.Rate * float64(time.Second))
	return max(clear-after, 0)
}

// Forecast is the expected course of a request's stages.
type Forecast struct {
	Waits     []time.Duration // in the queue of each stage
	StageTime time.Duration   // until all stages are done
	Total     time.Duration   // until the first event or the answer
}

// Predict forecasts a request: first is the expected time from the end of its stages
// to the first event.
func Predict(cfg *fleet.Config, r *fleet.Route, n *fleet.RequestSpec, first time.Duration, backlog func(fleet.ServiceID) Backlog) Forecast {
	f := Forecast{Waits: make([]time.Duration, len(r.Stages))}
	ends := make([]time.Duration, len(r.Stages))
	for i, s := range r.Stages {
		begin := time.Duration(0)
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin
		count := n.PieceCount(i)
		if count == 0 {
			continue
		}
		calls := cfg.Service(s.Service).StageCalls
		f.Waits[i] = backlog(s.Service).waitAfter(begin)
		ends[i] += f.Waits[i] + calls.ExpectedTime(min(count, calls.MaxBatch))
		f.StageTime = max(f.StageTime, ends[i])
	}
	f.Total = f.StageTime + first
	return f
}

// Slack is the time for which a request of a route can wait in queues and still be
// on time, when its calls are full.
func Slack(cfg *fleet.Config, r *fleet.Route, first time.Duration) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	total := time.Duration(0)
	for i, s := range r.Stages {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		calls := cfg.Service(s.Service).StageCalls
		ends[i] += calls.ExpectedTime(calls.MaxBatch)
		total = max(total, ends[i])
	}
	return max(r.TargetLatency-total-first, 0)
}

// Decision says whether a request is admitted.
type Decision struct {
	OK         bool
	Reason     string // empty if OK
	Wait       time.Duration
	RetryAfter time.Duration // after which the caller may find room
	Spare      time.Duration // for which the caller can wait and be on time if no queue is left
}

// Reasons of refusals.
const (
	ReasonLate  = "would be late" // its own time is too short for the queues
	ReasonYield = "yields"        // more urgent requests need the time that is left
)

// Decide decides on a request by its forecast. left is the time until its deadline,
// late the usual error of the route's forecasts, and first gives the expected time to
// the first event of a route.
func Decide(cfg *fleet.Config, r *fleet.Route, f Forecast, left, late time.Duration, first func(*fleet.Route) time.Duration) Decision {
	aim := min(r.TargetLatency, left)
	if r.TargetLatency <= 0 {
		aim = left
	}
	waits := time.Duration(0)
	for _, w := range f.Waits {
		waits += w
	}
	spare := max(aim-f.Total+waits, 0)
	if most := time.Duration(maxAimFraction * float64(aim)); waits > 0 && f.Total+late > most {
		return Decision{Reason: ReasonLate, Wait: waits, RetryAfter: max(f.Total+late-most, minRetryDelay), Spare: spare}
	}
	for i, w := range f.Waits {
		if w == 0 {
			continue // within any bound, which takes a look at all routes
		}
		if bound := MaxWait(cfg, r, r.Stages[i].Service, first); w > bound {
			return Decision{Reason: ReasonYield, Wait: w, RetryAfter: max(w-bound, minRetryDelay), Spare: spare}
		}
	}
	return Decision{OK: true, Wait: waits}
}

// retryDivisor is the part of a caller's time, as 1/retryDivisor, within which it is asked
// to return: callers wait for up to a third of it.
const retryDivisor = 4

// RetryDelay is the time after which a caller that is refused should come back. It lies
// between the time after which there is room at the earliest and the time until which
// it can still be on time without a queue; a caller that can't be is asked to return
// within a part of the time that it has left. The callers of a burst return spread
// over that time; draw is a number from 0 up to 1.
func RetryDelay(earliest, spare, left time.Duration, draw float64) time.Duration {
	latest := spare
	if spare <= earliest {
		latest = max(left/retryDivisor, earliest)
	}
	return earliest + time.Duration(draw*float64(latest-earliest))
}

// MaxWait is the longest wait in a service's queue with which a request of route r is
// admitted: no longer than what the more urgent routes that use the service can
// bear, less a part for each rank.
func MaxWait(cfg *fleet.Config, r *fleet.Route, id fleet.ServiceID, first func(*fleet.Route) time.Duration) time.Duration {
	bound := Slack(cfg, r, first(r))
	for i := range cfg.Routes {
		o := &cfg.Routes[i]
		if o.Rank < r.Rank && slices.ContainsFunc(o.Stages, func(s fleet.Stage) bool { return s.Service == id }) {
			bound = min(bound, Slack(cfg, o, first(o)))
		}
	}
	part := max(1-slackCutPerRank*float64(max(r.Rank, 0)), minSlackFraction)
	return time.Duration(part * float64(bound))
}
