package route

import (
	"math"
	"time"
)

// Outlier judges one upstream from the answers that this process got from it. A
// health check tells little: an upstream can fail part of its requests while its
// check passes. It is not safe for concurrent use.
type Outlier struct {
	fails  float64 // decayed count of failures
	total  float64 // decayed count of answers
	slow   float64 // moving average of latency over the expected latency
	at     time.Time
	banned time.Time
	ban    time.Duration
}

const (
	// outlierHalf is the half-life of counted answers; routers see few requests
	// each, so that it spans several of them.
	outlierHalf = 4 * time.Second
	// outlierLeast is the least decayed number of failures that excludes an upstream.
	outlierLeast = 1.6
	// outlierPart is the least part of failures that excludes it. Some services
	// fail a seventh of all requests by themselves.
	outlierPart = 0.35
	banMin      = time.Second
	banMax      = 6 * time.Second
	// penaltyFail and penaltySlow turn failures and slowness into requests of load.
	penaltyFail = 4
	penaltySlow = 2
	slowWeight  = 0.2
)

func (o *Outlier) decay(now time.Time) {
	if o.at.IsZero() {
		o.at = now
	}
	if d := now.Sub(o.at); d > 0 {
		f := halve(float64(d) / float64(outlierHalf))
		o.fails *= f
		o.total *= f
		o.at = now
	}
}

// Good records an answer. ratio is its latency over the expected one, or 0 if
// unknown.
func (o *Outlier) Good(now time.Time, ratio float64) {
	o.decay(now)
	o.total++
	if ratio > 0 {
		o.slow += slowWeight * (min(ratio, 10) - o.slow)
	}
	if o.fails < 1 {
		o.ban = 0
	}
}

// Bad records a failure of the upstream.
func (o *Outlier) Bad(now time.Time) {
	o.decay(now)
	o.total++
	o.fails++
	if o.fails >= outlierLeast && o.fails >= outlierPart*o.total && !now.Before(o.banned) {
		o.exclude(now)
	}
}

// fullPart is the part of a failure that a rejection counts for: a full upstream is
// not faulty, but others are better for a while.
const fullPart = 0.5

// Full records that the upstream rejected a request because it had no place.
func (o *Outlier) Full(now time.Time) {
	o.decay(now)
	o.total++
	o.fails += fullPart
	if o.fails >= outlierLeast && o.fails >= outlierPart*o.total && !now.Before(o.banned) {
		o.exclude(now)
	}
}

// Unreachable records that no connection could be made, which excludes at once.
func (o *Outlier) Unreachable(now time.Time) {
	o.decay(now)
	o.total++
	o.fails++
	if !now.Before(o.banned) {
		o.exclude(now)
	}
}

func (o *Outlier) exclude(now time.Time) {
	o.ban = min(max(2*o.ban, banMin), banMax)
	o.banned = now.Add(o.ban)
}

// Excluded reports whether other upstreams are to be preferred.
func (o *Outlier) Excluded(now time.Time) bool { return now.Before(o.banned) }

// Penalty returns the load that the upstream's recent behaviour counts for, in
// requests.
func (o *Outlier) Penalty(now time.Time) float64 {
	o.decay(now)
	return penaltyFail*o.fails + penaltySlow*max(o.slow-2, 0)
}

// halve returns 2 to the power of -n.
func halve(n float64) float64 { return math.Exp2(-n) }
