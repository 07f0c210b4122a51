package route

import (
	"math"
	"time"
)

// OutlierDetector implements passive outlier ejection for one upstream, based on the
// responses that this process received from it. Health checks don't suffice: an
// upstream can fail part of its requests while its check passes. An
// OutlierDetector is not safe for concurrent use. The zero value is ready to use.
type OutlierDetector struct {
	failures     float64 // count of failures, decayed exponentially
	responses    float64 // count of all responses, decayed exponentially
	latencyRatio float64 // moving average of latency divided by expected latency
	decayedAt    time.Time
	ejectedUntil time.Time
	ejectionTime time.Duration // length of the last ejection, 0 after recovery
}

const (
	// outlierHalfLife is the half-life of the counts. It spans several requests, since
	// each router sends few to one upstream.
	outlierHalfLife = 4 * time.Second
	// minOutlierFailures is the decayed number of failures below which an upstream
	// is not ejected.
	minOutlierFailures = 1.6
	// minFailureRatio is the ratio of failures to responses below which an upstream
	// is not ejected. Some services fail a seventh of all requests even when their
	// upstreams are healthy.
	minFailureRatio = 0.35
	// minEjectionTime and maxEjectionTime bound the ejection time, which doubles with
	// each ejection until the upstream recovers.
	minEjectionTime = time.Second
	maxEjectionTime = 6 * time.Second
	// failurePenalty is the load, in requests, that each decayed failure counts
	// for. latencyPenalty is the load for each unit of latencyRatio above 2.
	failurePenalty = 4
	latencyPenalty = 2
	// latencySmoothing is the weight of a new ratio in latencyRatio.
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

// RecordSuccess records a successful response. ratio is its latency divided by the
// expected latency, or 0 if unknown; a ratio above 10 counts as 10.
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

// RecordFailure records a failure of the upstream and ejects it once failures reach
// minOutlierFailures and minFailureRatio.
func (o *OutlierDetector) RecordFailure(now time.Time) {
	o.decay(now)
	o.responses++
	o.failures++
	if o.failures >= minOutlierFailures && o.failures >= minFailureRatio*o.responses && !now.Before(o.ejectedUntil) {
		o.eject(now)
	}
}

// rejectionWeight is the fraction of a failure that a rejection counts for: an
// upstream at capacity is not faulty, but others are preferable for a while.
const rejectionWeight = 0.5

// RecordRejection records that the upstream rejected a request for lack of capacity.
func (o *OutlierDetector) RecordRejection(now time.Time) {
	o.decay(now)
	o.responses++
	o.failures += rejectionWeight
	if o.failures >= minOutlierFailures && o.failures >= minFailureRatio*o.responses && !now.Before(o.ejectedUntil) {
		o.eject(now)
	}
}

// RecordUnreachable records a failure to connect, which ejects the upstream at once.
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

// Ejected reports whether the upstream is ejected at now, so that others are preferred.
func (o *OutlierDetector) Ejected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// Penalty returns the extra load, in requests, that the upstream's recent failures
// and latency count for.
func (o *OutlierDetector) Penalty(now time.Time) float64 {
	o.decay(now)
	return failurePenalty*o.failures + latencyPenalty*max(o.latencyRatio-2, 0)
}

// decayFactor returns the factor by which a count decays over n half-lives, 2^-n.
func decayFactor(n float64) float64 { return math.Exp2(-n) }
