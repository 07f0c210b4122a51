package route

import (
	"math"
	"time"
)

// OutlierDetector judges one upstream from the answers that this process got from it. A
// health check tells little: an upstream can fail part of its requests while its
// check passes. It is not safe for concurrent use.
type OutlierDetector struct {
	failures     float64 // decayed count of failures
	responses    float64 // decayed count of answers
	latencyRatio float64 // moving average of latency over the expected latency
	decayedAt    time.Time
	ejectedUntil time.Time
	ejectionTime time.Duration
}

const (
	// outlierHalfLife is the half-life of counted answers; routers see few requests
	// each, so that it spans several of them.
	outlierHalfLife = 4 * time.Second
	// minOutlierFailures is the least decayed number of failures that excludes an upstream.
	minOutlierFailures = 1.6
	// minFailureRatio is the least part of failures that excludes it. Some services
	// fail a seventh of all requests by themselves.
	minFailureRatio = 0.35
	minEjectionTime = time.Second
	maxEjectionTime = 6 * time.Second
	// failurePenalty and latencyPenalty turn failures and slowness into requests of load.
	failurePenalty   = 4
	latencyPenalty   = 2
	latencySmoothing = 0.2
)

func (o *OutlierDetector) decay(now time.Time) {
	if o.decayedAt.IsZero() {
		o.decayedAt = now
	}
	if d := now.Sub(o.decayedAt); d > 0 {
		f := decayFactor(float64(d) / float64(outlierHalfLife))
		o.failures *= f
		o.responses *= f
		o.decayedAt = now
	}
}

// RecordSuccess records an answer. ratio is its latency over the expected one, or 0 if
// unknown.
func (o *OutlierDetector) RecordSuccess(now time.Time, ratio float64) {
	o.decay(now)
	o.responses++
	if ratio > 0 {
		o.latencyRatio += latencySmoothing * (min(ratio, 10) - o.latencyRatio)
	}
	if o.failures < 1 {
		o.ejectionTime = 0
	}
}

// RecordFailure records a failure of the upstream.
func (o *OutlierDetector) RecordFailure(now time.Time) {
	o.decay(now)
	o.responses++
	o.failures++
	if o.failures >= minOutlierFailures && o.failures >= minFailureRatio*o.responses && !now.Before(o.ejectedUntil) {
		o.eject(now)
	}
}

// rejectionWeight is the part of a failure that a rejection counts for: a full upstream is
// not faulty, but others are better for a while.
const rejectionWeight = 0.5

// RecordRejection records that the upstream rejected a request because it had no place.
func (o *OutlierDetector) RecordRejection(now time.Time) {
	o.decay(now)
	o.responses++
	o.failures += rejectionWeight
	if o.failures >= minOutlierFailures && o.failures >= minFailureRatio*o.responses && !now.Before(o.ejectedUntil) {
		o.eject(now)
	}
}

// RecordUnreachable records that no connection could be made, which excludes at once.
func (o *OutlierDetector) RecordUnreachable(now time.Time) {
	o.decay(now)
	o.responses++
	o.failures++
	if !now.Before(o.ejectedUntil) {
		o.eject(now)
	}
}

func (o *OutlierDetector) eject(now time.Time) {
	o.ejectionTime = min(max(2*o.ejectionTime, minEjectionTime), maxEjectionTime)
	o.ejectedUntil = now.Add(o.ejectionTime)
}

// Ejected reports whether other upstreams are to be preferred.
func (o *OutlierDetector) Ejected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// Penalty returns the load that the upstream's recent behaviour counts for, in
// requests.
func (o *OutlierDetector) Penalty(now time.Time) float64 {
	o.decay(now)
	return failurePenalty*o.failures + latencyPenalty*max(o.latencyRatio-2, 0)
}

// decayFactor returns 2 to the power of -n.
func decayFactor(n float64) float64 { return math.Exp2(-n) }
