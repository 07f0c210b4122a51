package budget

import (
	"time"

	"hornbeamcove.example/core/wire"
)

// Hedge holds the inputs of the decision whether a request is sent to another upstream while
// the one that works on it is silent.
type Hedge struct {
	Repeatable  bool          // whether the request may run more than once
	Runs        int           // upstreams that may have run it
	MaxAttempts int           // of the request's route
	MayReturn   bool          // whether it may be sent again to one of them
	Sends       int           // attempts that reached an upstream
	MaxSends    int           // limit of Sends
	Remaining   time.Duration // time until the request's deadline
	Expected    time.Duration // expected time from a send to the answer
	HasOther    bool          // whether another upstream could take the request now
}

// Blocked returns why the request must wait for the silent upstream, or "" if it may be sent
// to another one as far as the retry budget allows.
func (h Hedge) Blocked() string {
	switch {
	case !h.Repeatable:
		return "route"
	case h.Runs >= h.MaxAttempts && !h.MayReturn:
		return "attempts"
	case h.Sends >= h.MaxSends:
		return "sends"
	case h.Remaining <= h.Expected:
		return "time"
	case !h.HasOther:
		return "no upstream"
	}
	return ""
}

// hedgeReserveDivisor gives the part of the burst that hedges leave to retries after
// failures: an upstream that is silent may go on, one that has failed does not.
const hedgeReserveDivisor = 2

// AllowHedge is Allow for a request whose upstream has not failed but is silent. It leaves
// half of the burst to retries.
func (r *Retry) AllowHedge(remaining, estimate time.Duration) (reason wire.Reason, ok bool) {
	r.mu.Lock()
	spare := r.tokens-r.capacity/hedgeReserveDivisor >= tokensPerRetry
	r.mu.Unlock()
	if !spare {
		return wire.ReasonOverload, false
	}
	return r.Allow(1, remaining, estimate)
}

// Reserve takes a retry without a request that needs it now, and reports whether there was one. GiveBack
// returns it if it is not used.
func (r *Retry) Reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < tokensPerRetry {
		return false
	}
	r.tokens -= tokensPerRetry
	r.allowed++
	return true
}

// GiveBack returns a retry that was reserved and not used.
func (r *Retry) GiveBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+tokensPerRetry, r.capacity)
	r.allowed--
}
