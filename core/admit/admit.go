// Package admit is the admission control for requests with stages: it decides when a
// request arrives whether its stages can be run in time. It does no I/O.
//
// It protects against bursts that exceed the capacity of a stage service by a little.
// Without it, every request waits in the queue of each of its stages, most finish late,
// and work on early stages is wasted. A request that would be late is refused before any
// work is done on it, so that the others are on time.
package admit

import (
	"slices"
	"time"

	"hornbeamcove.example/core/fleet"
)

const (
	// slackCutPerRank is the fraction by which each rank shortens the longest wait with
	// which a route is admitted. It leaves the rest to more urgent routes.
	slackCutPerRank = 0.1
	// minSlackFraction is the fraction of the slack that a route may use at least,
	// whatever its rank.
	minSlackFraction = 0.3
	// maxTargetFraction limits the forecast time of a request, including the expected
	// forecast error, to a fraction of its aim.
	maxTargetFraction = 0.9
	// minRetryDelay is the shortest delay after which a refused caller is asked to retry.
	minRetryDelay = 200 * time.Millisecond
)

// Backlog is the outstanding work of a stage service, summed over all routers.
type Backlog struct {
	Waiting  int     // pieces in its queue
	Unqueued int     // pieces of admitted requests that have not reached its queue yet
	Rate     float64 // pieces per second that its upstreams make in full calls; 0 if unknown
}

// waitAfter returns the expected queueing time of a piece that arrives after the given
// time, 0 if the rate is unknown.
func (b Backlog) waitAfter(after time.Duration) time.Duration {
	if b.Rate <= 0 {
		return 0
	}
	clear := time.Duration(float64(b.Waiting+b.Unqueued) / b.Rate * float64(time.Second))
	return max(clear-after, 0)
}

// Forecast holds the expected times of a request, counted from its arrival.
type Forecast struct {
	Waits     []time.Duration // queueing time of each stage
	StageTime time.Duration   // time until all stages are done
	Total     time.Duration   // time until the first event or the answer
}

// Predict returns the forecast of a request with need n on route r. first is the expected
// time from the end of its stages to the first event; backlog returns the backlog of a
// stage service.
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

// Slack returns how long a request of route r can wait in queues and still meet the
// route's aim if all its calls are full. It is at least 0.
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

// Decision says whether a request is admitted, and if not, why and when to retry.
type Decision struct {
	OK         bool
	Reason     string        // empty if OK
	Wait       time.Duration // expected queueing time of all stages, or of the one that ReasonYield is about
	RetryAfter time.Duration // earliest time after which a retry may be admitted
	Spare      time.Duration // how long the caller can wait and still be on time if the queues are empty then
}

// Reasons for refusing a request.
const (
	ReasonLate  = "would be late" // the queues are too long for its aim or deadline
	ReasonYield = "yields"        // it would take queueing time that more urgent routes need
)

// Decide decides whether to admit a request with forecast f. left is the time until its
// deadline, late is the expected error of the route's forecasts, and first returns the
// expected time from the end of a route's stages to the first event.
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
	if most := time.Duration(maxTargetFraction * float64(aim)); waits > 0 && f.Total+late > most {
		return Decision{Reason: ReasonLate, Wait: waits, RetryAfter: max(f.Total+late-most, minRetryDelay), Spare: spare}
	}
	for i, w := range f.Waits {
		if w == 0 {
			continue // always within MaxWait, which looks at all routes
		}
		if bound := MaxWait(cfg, r, r.Stages[i].Service, first); w > bound {
			return Decision{Reason: ReasonYield, Wait: w, RetryAfter: max(w-bound, minRetryDelay), Spare: spare}
		}
	}
	return Decision{OK: true, Wait: waits}
}

// retryDivisor limits the retry delay to 1/retryDivisor of the time that a caller has
// left, because callers wait for at most a third of it.
const retryDivisor = 4

// RetryDelay returns the time after which a refused caller should retry: between
// earliest, when it may be admitted, and spare, until when it can still be on time if
// the queues are empty. A caller that would be late anyway is asked to retry within
// 1/retryDivisor of the time left. draw is a random number in [0, 1) that spreads the
// retries of a burst over that time.
func RetryDelay(earliest, spare, left time.Duration, draw float64) time.Duration {
	latest := spare
	if spare <= earliest {
		latest = max(left/retryDivisor, earliest)
	}
	return earliest + time.Duration(draw*float64(latest-earliest))
}

// MaxWait returns the longest wait in a service's queue with which a request of route r
// is admitted. It is the least slack of r and of the more urgent routes that use the
// service, reduced by slackCutPerRank for each rank of r, but not below minSlackFraction
// of it.
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
