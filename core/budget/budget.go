// Package budget divides a request's deadline between its stages and bounds
// retries. It does no I/O.
package budget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

// Split returns the time that the current stage may take: left less the
// estimates of the later stages. expect[0] is the estimate of the current stage.
// ok is false when left doesn't cover the estimates of all stages.
func Split(left time.Duration, expect []wire.Millis) (stage time.Duration, ok bool) {
	stage = left
	if len(expect) == 0 {
		return stage, stage > 0
	}
	for _, m := range expect[1:] {
		stage -= duration(m)
	}
	return stage, stage > 0 && stage >= duration(expect[0])
}

func duration(m wire.Millis) time.Duration { return time.Duration(m) * time.Millisecond }

const (
	// tokenUnit is one retry in the budget's fixed-point arithmetic. Integers keep
	// the budget exact over any number of requests.
	tokenUnit = 1_000_000
	// maxAttempt is the highest attempt number that wire.Ref accepts.
	maxAttempt = 64
	// baseBackoff is the longest wait after the first failure.
	baseBackoff = 20 * time.Millisecond
	// maxBackoff bounds each wait; a longer one uses up most of a 3 s deadline.
	maxBackoff = 500 * time.Millisecond
)

// Retry is the retry budget of one pool. First attempts add to it and retries
// take from it, so that in any period retries number at most burst plus share
// times the first attempts. It is safe for concurrent use. The zero value
// allows no retry.
type Retry struct {
	mu            sync.Mutex
	refill        int64 // units added by a first attempt
	capacity      int64 // units of the burst
	tokens        int64
	firstAttempts int64
	allowed       int64
	refused       int64
}

// NewRetry returns a full budget that allows share retries for each first
// attempt, and burst retries at once. Negative arguments count as 0.
func NewRetry(share float64, burst int) *Retry {
	most := int64(max(burst, 0)) * tokenUnit
	// Rounding down keeps the sum of gains at or below share of first attempts.
	gain := int64(math.Floor(max(share, 0) * tokenUnit))
	return &Retry{refill: gain, capacity: most, tokens: most}
}

// RecordFirstAttempt counts a first attempt.
func (r *Retry) RecordFirstAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstAttempts++
	r.tokens = min(r.tokens+r.refill, r.capacity)
}

// Allow takes one retry from the budget. attempt is the number of the attempt
// that failed, left the time that the stage still has and expect its estimate.
// When ok is false nothing is taken and reason is ReasonDeadline if the stage
// could not finish in time or ReasonOverload if the budget is used up. The
// caller checks beforehand that the call may be repeated.
func (r *Retry) Allow(attempt wire.Attempt, left, expect time.Duration) (reason wire.Reason, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case left <= 0 || left < expect:
		reason = wire.ReasonDeadline
	case attempt >= maxAttempt || r.tokens < tokenUnit:
		reason = wire.ReasonOverload
	default:
		r.tokens -= tokenUnit
		r.allowed++
		return "", true
	}
	r.refused++
	return reason, false
}

// View is the state of a retry budget for the state dump.
type View struct {
	Tokens  float64 // retries allowed now
	First   int64   // first attempts
	Retried int64   // retries allowed so far
	Refused int64   // retries refused so far
}

// View returns the current state.
func (r *Retry) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return View{float64(r.tokens) / tokenUnit, r.firstAttempts, r.allowed, r.refused}
}

// Backoff returns the wait before the retry that follows the failed attempt. It
// is uniform between 0 and a bound that doubles with each attempt from 20 ms to
// 500 ms (full jitter), so that callers that failed together don't retry together.
func Backoff(rng *rand.Rand, attempt wire.Attempt) time.Duration {
	bound := baseBackoff
	for n := wire.Attempt(1); n < attempt && bound < maxBackoff; n++ {
		bound *= 2
	}
	return time.Duration(rng.Int64N(int64(min(bound, maxBackoff)) + 1))
}
