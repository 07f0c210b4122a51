// Package budget divides a request's remaining time among its stages, and limits
// retries with a token bucket and jittered back-off. It does no I/O.
package budget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

// Split returns the time that the current stage may take: left, the time until the
// request's deadline, minus the estimates of the later stages. expect[0] is the
// estimate of the current stage. ok is false if left doesn't cover the estimates of
// all stages or if no time remains.
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
	// tokensPerRetry is the number of tokens that a retry takes. Tokens are fixed-point
	// integers, so that the budget stays exact over any number of requests.
	tokensPerRetry = 1_000_000
	// maxAttempt is the highest attempt number that wire.Ref accepts.
	maxAttempt = 64
	// baseBackoff is the maximum wait after the first failure.
	baseBackoff = 20 * time.Millisecond
	// maxBackoff is the maximum of any wait. Longer waits would use up most of a 3 s
	// deadline.
	maxBackoff = 500 * time.Millisecond
)

// Retry is the retry budget of a pool, a token bucket. First attempts add tokens and
// retries take them, so that the retries in any period number at most burst plus
// share times the first attempts. It is safe for concurrent use. The zero value
// allows no retries.
type Retry struct {
	mu            sync.Mutex
	refill        int64 // tokens added by a first attempt
	capacity      int64 // maximum tokens, tokensPerRetry for each retry of the burst
	tokens        int64
	firstAttempts int64
	allowed       int64
	refused       int64
}

// NewRetry returns a full budget that allows share retries per first attempt on
// average and burst retries at once. Negative arguments count as 0.
func NewRetry(share float64, burst int) *Retry {
	most := int64(max(burst, 0)) * tokensPerRetry
	// Rounding down keeps the tokens added at or below share per first attempt.
	gain := int64(math.Floor(max(share, 0) * tokensPerRetry))
	return &Retry{refill: gain, capacity: most, tokens: most}
}

// RecordFirstAttempt counts a first attempt and adds its tokens to the budget.
func (r *Retry) RecordFirstAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstAttempts++
	r.tokens = min(r.tokens+r.refill, r.capacity)
}

// Allow takes a retry from the budget. attempt is the number of the attempt that
// failed, left the remaining time of the stage and expect the stage's estimated
// duration. If ok is false, nothing is taken; reason is ReasonDeadline if the stage
// can't finish in time, or ReasonOverload if the budget or the attempt numbers are
// used up. Callers must check beforehand that the call may be repeated.
func (r *Retry) Allow(attempt wire.Attempt, left, expect time.Duration) (reason wire.Reason, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case left <= 0 || left < expect:
		reason = wire.ReasonDeadline
	case attempt >= maxAttempt || r.tokens < tokensPerRetry:
		reason = wire.ReasonOverload
	default:
		r.tokens -= tokensPerRetry
		r.allowed++
		return "", true
	}
	r.refused++
	return reason, false
}

// View is the state of a retry budget in the state dump.
type View struct {
	Tokens  float64 // retries available now
	First   int64   // first attempts so far
	Retried int64   // retries allowed so far
	Refused int64   // retries refused so far
}

// View returns the current state of the budget.
func (r *Retry) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return View{float64(r.tokens) / tokensPerRetry, r.firstAttempts, r.allowed, r.refused}
}

// Backoff returns the wait before the retry of the given failed attempt: exponential
// back-off with full jitter, uniform between 0 and a bound that doubles with each
// attempt from 20 ms to 500 ms. Jitter keeps callers that failed at the same time
// from retrying at the same time.
func Backoff(rng *rand.Rand, attempt wire.Attempt) time.Duration {
	bound := baseBackoff
	for n := wire.Attempt(1); n < attempt && bound < maxBackoff; n++ {
		bound *= 2
	}
	return time.Duration(rng.Int64N(int64(min(bound, maxBackoff)) + 1))
}
