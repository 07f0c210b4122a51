package admit

import (
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// Begin is what is known of a stream whose caller has got nothing of it yet, at the moment at which it
// is to be sent to an upstream.
type Begin struct {
	Elapsed  time.Duration // since the request arrived
	Awaited  time.Duration // until the caller leaves if no event has arrived
	Deadline time.Duration // until the caller's deadline
	First    time.Duration // mean time from the send to the first event
	Rest     time.Duration // mean time from the first event to the end for a stream of this length, 0 if unknown
}

// hopeless is the part of a mean time below which few streams remain.
const hopeless = 0.5

// IsLate reports whether a run of the stream would be of no use: its caller leaves before the first event, or
// its deadline passes before the last one. It takes half of the mean times, since means refuse half of
// those that would be in time. A stream that has more time left than it has waited is not late,
// whatever the means say: they come from streams that were sent, and would otherwise not be corrected.
func (b Begin) IsLate() bool {
	isLate := func(need, left time.Duration) bool {
		return left < b.Elapsed && left < time.Duration(hopeless*float64(need))
	}
	return isLate(b.First, b.Awaited) || b.Rest > 0 && isLate(b.First+b.Rest, b.Deadline)
}

// Rest returns the mean time from the first event to the end of streams of a route whose callers
// expect the given number of tokens, 0 if that is unknown.
func (st *StreamTimes) Rest(id fleet.RouteID, tokens wire.Tokens) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return st.token.within(id, 0) * time.Duration(min(tokens, maxTokens))
}
