package admit

import (
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// StreamTimes tracks how long the streams of each route take until their first event, and after
// it for each token that their callers expect. Estimates of callers are often far off, which the
// spread of the times per token covers. It is safe for concurrent use. The zero value is ready to
// use.
type StreamTimes struct{ first, token Durations }

// Record adds a stream that was served: its time until the first event and after it, and the
// number of tokens that its caller expected. Without an estimate it adds nothing.
func (st *StreamTimes) Record(id fleet.RouteID, first, rest time.Duration, tokens wire.Tokens) {
	if tokens > 0 {
		st.first.Record(id, first)
		st.token.Record(id, rest/time.Duration(tokens))
	}
}

// Expected returns times within which most streams of a route begin, and end after that, if
// their callers expect the given number of tokens. Both are 0 if that is unknown.
func (st *StreamTimes) Expected(id fleet.RouteID, tokens wire.Tokens) (first, rest time.Duration) {
	token := st.token.within(id, streamDeviations)
	if tokens <= 0 || token <= 0 {
		return 0, 0
	}
	return st.first.within(id, streamDeviations), token * time.Duration(min(tokens, maxTokens))
}

// streamDeviations is the number of mean deviations that are added to the mean. It is lower than
// durationDeviations, since a stream of a known length is refused for nothing more often than one
// is cut off that was taken.
const streamDeviations = 2

// maxTokens bounds an estimate, so that the time for it can't overflow.
const maxTokens = 1 << 20
