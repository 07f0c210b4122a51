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

	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
)

const (
	// slackCutPerRank is the fraction of the slack, per rank, that a route leaves to
	// more urgent routes: each rank shortens the longest wait with which the route is
	// admitted by this fraction.
	slackCutPerRank = 0.1
	// minSlackFraction is the fraction of the slack that a route may always use,
	// whatever its rank.
	minSlackFraction = 0.3
	// maxTargetFraction limits the forecast time of a request, including the expected
	// forecast error, to a fraction of its target: the target latency of its route or
	// the time until its deadline, whichever is shorter.
	maxTargetFraction = 0.9
	// lateRateFraction is the fraction of a service's rate that requests which will miss
	// their target can count on, since they yield to those that arrive later and won't.
	lateRateFraction = 0.5
	// maxLateFraction limits the forecast time of a request that will miss its target to a
	// fraction of its caller's patience.
	maxLateFraction = 0.7
	// minPatience, patienceTargets and patienceGaps give the time after which a caller
	// leaves a stream that is silent: the longest of 2 s, four latency targets and eight of
	// the longest gaps between events that count as on time, as docs/platform.md says.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	// minRetryDelay is the shortest delay after which a refused caller is asked to retry.
	minRetryDelay = 200 * time.Millisecond
)

// Backlog is the outstanding work of a stage service, summed over all routers.
type Backlog struct {
	Waiting  int     // pieces in its queue
	Unqueued int     // pieces of admitted requests that aren't in its queue yet
	Late     int     // pieces, in its queue or not, that yield to the others; not in Waiting and Unqueued
	Resumed  int     // pieces in Waiting and Unqueued that streams need which callers take up again
	Rate     float64 // pieces per second that its upstreams make in full calls; 0 if unknown
}

// BehindAll returns the backlog as a request sees it that yields to all others.
func (b Backlog) BehindAll() Backlog {
	return Backlog{Waiting: b.Waiting + b.Late, Unqueued: b.Unqueued, Rate: lateRateFraction * b.Rate}
}

// BehindResumed returns the backlog as a stream sees it that its caller takes up again: its
// pieces go before those of new requests within batch.ResumedShare.
func (b Backlog) BehindResumed() Backlog {
	return Backlog{Waiting: b.Resumed, Rate: batch.ResumedShare * b.Rate}
}

// WaitAfter returns the expected queueing time of a piece that arrives when the given
// time has passed, 0 if the rate is unknown.
func (b Backlog) WaitAfter(after time.Duration) time.Duration {
	if b.Rate <= 0 {
		return 0
	}
	drainTime := time.Duration(float64(b.Waiting+b.Unqueued) / b.Rate * float64(time.Second))
	return max(drainTime-after, 0)
}

// Forecast holds the expected times of a request, counted from its arrival.
type Forecast struct {
	Waits     []time.Duration // queueing time of each stage
	StageTime time.Duration   // time until all stages are done
	Total     time.Duration   // time until the first event or the answer
}

// Predict returns the forecast of a request on route r. firstEventTime is the expected
// time from the end of its stages to the first event; backlog returns the backlog of a
// stage service.
func Predict(cfg *fleet.Config, r *fleet.Route, spec *fleet.RequestSpec, firstEventTime time.Duration, backlog func(fleet.ServiceID) Backlog) Forecast {
	f := Forecast{Waits: make([]time.Duration, len(r.Stages))}
	ends := make([]time.Duration, len(r.Stages))
	for _, i := range r.StageOrder() {
		s := &r.Stages[i]
		begin := time.Duration(0)
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin
		count := spec.PieceCount(i)
		if count == 0 {
			continue
		}
		calls := cfg.Service(s.Service).StageCalls
		f.Waits[i] = backlog(s.Service).WaitAfter(begin)
		ends[i] += f.Waits[i] + calls.ExpectedTime(min(count, calls.MaxBatch))
		f.StageTime = max(f.StageTime, ends[i])
	}
	f.Total = f.StageTime + firstEventTime
	return f
}

// Slack returns how long a request of route r can wait in queues and still meet the
// route's target latency if all its calls are full. firstEventTime is as in Predict. The
// result is at least 0.
func Slack(cfg *fleet.Config, r *fleet.Route, firstEventTime time.Duration) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	total := time.Duration(0)
	for _, i := range r.StageOrder() {
		s := &r.Stages[i]
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		calls := cfg.Service(s.Service).StageCalls
		ends[i] += calls.ExpectedTime(calls.MaxBatch)
		total = max(total, ends[i])
	}
	return max(r.TargetLatency-total-firstEventTime, 0)
}

// Decision says whether a request is admitted, and if not, why and when to retry.
type Decision struct {
	OK         bool
	Reason     string        // empty if OK
	Wait       time.Duration // expected queueing time of all stages, or of the stage for which the request yields
	RetryAfter time.Duration // earliest time after which a retry may be admitted
	Spare      time.Duration // how long the caller can wait before a retry and still be on time if the queues are empty by then
}

// Reasons for refusing a request.
const (
	ReasonLate  = "would be late" // the queues are too long for its target latency or deadline
	ReasonYield = "yields"        // it would take queueing time that more urgent routes need
	ReasonShed  = "shed"          // others that need the same service cost their callers more to lose
)

// Yield says for what a request that can be on time leaves room to others.
type Yield struct {
	Reason      string
	Wait, Bound time.Duration // queueing time of the stage for which it yields, and the longest one there
	Lasts       time.Duration // how long the shortage is expected to last, 0 if unknown
}

// Yielding decides whether a request that can be on time leaves room to others.
type Yielding interface {
	// Yields reports whether a request with forecast f leaves room to others, and for what.
	Yields(f Forecast) (y Yield, yields bool)
}

// Decide decides whether to admit a request of route r with forecast f. timeLeft is the time
// until its deadline, forecastError is the time by which forecasts of the route are expected
// to be too short, and others decides whether a request that can be on time is admitted.
func Decide(r *fleet.Route, f Forecast, timeLeft, forecastError time.Duration, others Yielding) Decision {
	target := min(r.TargetLatency, timeLeft)
	if r.TargetLatency <= 0 {
		target = timeLeft
	}
	totalWait := time.Duration(0)
	for _, w := range f.Waits {
		totalWait += w
	}
	spare := max(target-f.Total+totalWait, 0)
	if limit := time.Duration(maxTargetFraction * float64(target)); totalWait > 0 && f.Total+forecastError > limit {
		return Decision{Reason: ReasonLate, Wait: totalWait, RetryAfter: max(f.Total+forecastError-limit, minRetryDelay), Spare: spare}
	}
	if y, yields := others.Yields(f); yields {
		return Decision{Reason: y.Reason, Wait: y.Wait, RetryAfter: max(y.Wait-y.Bound, min(y.Lasts, timeLeft/retryDivisor), minRetryDelay), Spare: spare}
	}
	return Decision{OK: true, Wait: totalWait}
}

// FixedCut yields when the queueing time of a stage exceeds MaxWait.
type FixedCut struct {
	Config *fleet.Config
	Route  *fleet.Route
	// FirstEventTime returns the expected time from the end of a route's stages to the first
	// event.
	FirstEventTime func(*fleet.Route) time.Duration
}

// Yields implements Yielding.
func (c FixedCut) Yields(f Forecast) (y Yield, yields bool) {
	for i, w := range f.Waits {
		if w == 0 {
			continue // never above MaxWait, which is slow because it looks at all routes
		}
		if bound := MaxWait(c.Config, c.Route, c.Route.Stages[i].Service, c.FirstEventTime); w > bound {
			return Yield{Reason: ReasonYield, Wait: w, Bound: bound}, true
		}
	}
	return Yield{}, false
}

// QueueBounds returns by fleet.RankLevel how much work may be ahead of a new request at a service,
// as the time that it takes there, with which the requests of all routes that use it are on time,
// also if they wait as long in each of their stages; 0 for ranks that no such route has. The time
// until a request reaches the service counts in full: the work is done meanwhile. No wait is taken
// to be below a full call, since pieces wait that long for the end of the calls before them
// however little there is to do. firstEventTime is as in Decide.
func QueueBounds(cfg *fleet.Config, id fleet.ServiceID, firstEventTime func(*fleet.Route) time.Duration) (bounds [fleet.RankLevels]time.Duration) {
	calls := cfg.Service(id).StageCalls
	fullCall := max(calls.ExpectedTime(calls.MaxBatch), time.Millisecond)
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		begin, depth, ok := reach(cfg, r, id)
		if !ok {
			continue
		}
		wait := max(Slack(cfg, r, firstEventTime(r))/time.Duration(depth), fullCall)
		for _, rank := range cfg.RanksOf(r) {
			if b := &bounds[fleet.RankLevel(rank)]; *b == 0 || begin+wait < *b {
				*b = begin + wait
			}
		}
	}
	return bounds
}

// reach returns when a request of route r first needs a service if nothing waits and all calls are
// full, and the number of stages in the route's longest chain. ok is whether r needs the service.
func reach(cfg *fleet.Config, r *fleet.Route, id fleet.ServiceID) (begin time.Duration, depth int, ok bool) {
	ends, depths := make([]time.Duration, len(r.Stages)), make([]int, len(r.Stages))
	for _, i := range r.StageOrder() {
		s := &r.Stages[i]
		for _, a := range s.After {
			ends[i], depths[i] = max(ends[i], ends[a]), max(depths[i], depths[a])
		}
		if s.Service == id && (!ok || ends[i] < begin) {
			begin, ok = ends[i], true
		}
		calls := cfg.Service(s.Service).StageCalls
		ends[i] += calls.ExpectedTime(calls.MaxBatch)
		depths[i]++
		depth = max(depth, depths[i])
	}
	return begin, depth, ok
}

// Patience returns how long after its first attempt began a caller of route r waits for the
// first event, or for the answer if r has no latency target.
func Patience(r *fleet.Route) time.Duration {
	return max(minPatience, patienceTargets*r.TargetLatency, patienceGaps*r.TargetGap)
}

// DecideLate reports whether a request that will miss its target is admitted all the same:
// it yields to all requests that may be on time, and its caller gets the answer late rather
// than not at all. f is the forecast with the backlogs that BehindAll returns, timeLeft the
// time until its deadline or until its caller leaves, and forecastError as in Decide.
func DecideLate(f Forecast, timeLeft, forecastError time.Duration) bool {
	return f.Total+forecastError <= time.Duration(maxLateFraction*float64(timeLeft))
}

// DecideResumed reports whether a stream that its caller takes up is admitted. Its first event
// has been delivered, so the target latency says nothing about it any more: it runs if it can
// go on before its caller leaves, and goes before new requests, since its caller holds a part
// of the answer already. f is the forecast with the backlogs that BehindResumed returns,
// timeLeft the time until its deadline, and forecastError as in Decide.
func DecideResumed(f Forecast, timeLeft, forecastError time.Duration) bool {
	return DecideLate(f, timeLeft, forecastError)
}

// retryDivisor limits the retry delay of a request that would be late anyway to
// 1/retryDivisor of the time until its deadline. Callers wait for at most a third of that
// time.
const retryDivisor = 4

// RetryDelay returns the time after which a refused caller should retry: between
// earliest, when it may be admitted, and spare, until when it can still be on time if
// the queues are empty. A caller that would be late anyway is asked to retry within
// 1/retryDivisor of timeLeft, or after earliest if that is later. draw is a random number
// in [0, 1) that spreads the retries of a burst over that time.
func RetryDelay(earliest, spare, timeLeft time.Duration, draw float64) time.Duration {
	latest := spare
	if spare <= earliest {
		latest = max(timeLeft/retryDivisor, earliest)
	}
	return earliest + time.Duration(draw*float64(latest-earliest))
}

// MaxWait returns the longest wait in a service's queue with which a request of route r
// is admitted. It is the smallest slack of r and of the more urgent routes that use the
// service, reduced by slackCutPerRank for each rank of r, but not below minSlackFraction
// of that slack.
func MaxWait(cfg *fleet.Config, r *fleet.Route, id fleet.ServiceID, firstEventTime func(*fleet.Route) time.Duration) time.Duration {
	bound := Slack(cfg, r, firstEventTime(r))
	for i := range cfg.Routes {
		other := &cfg.Routes[i]
		if other.Rank < r.Rank && slices.ContainsFunc(other.Stages, func(s fleet.Stage) bool { return s.Service == id }) {
			bound = min(bound, Slack(cfg, other, firstEventTime(other)))
		}
	}
	fraction := max(1-slackCutPerRank*float64(max(r.Rank, 0)), minSlackFraction)
	return time.Duration(fraction * float64(bound))
}
