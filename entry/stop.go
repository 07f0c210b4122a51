package entry

import (
	"net/http"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/fleet"
)

// expectedWindow is the time from the start of a drain in which requests are taken that are
// expected to end before it does. One that is cut off all the same counts as lost if it was
// sent later than 3 s after the signal, and the signal may reach a host that has used up its
// CPU quota late.
const expectedWindow = deregistrationDelay - 250*time.Millisecond

// untilCut returns the time from now until requests without a response are refused in the
// drain that has begun.
func (s *Server) untilCut(now Instant) time.Duration {
	return s.drainBegan.Load().Add(newStopTimes(s.cfg.grace()).cut).Sub(now)
}

// stopRefusal returns the refusal of a request that may outlast the drain, or nil if it is taken.
// expected is the time within which it is expected to end, 0 if that is unknown.
func (x *exchange) stopRefusal(expected time.Duration) *refusal {
	began := x.s.drainBegan.Load()
	if began == nil {
		return nil
	}
	now := bootNow()
	st := admit.Stop{
		Left:         x.s.untilCut(now),
		DeadlineOnly: now.Sub(*began) > expectedWindow || x.s.drainEnd.Load() != nil,
		OthersReady:  x.s.peers.othersReady(time.Now()),
	}
	l := admit.Length{Deadline: x.deadline.Sub(now), Expected: expected, Repeatable: x.route.Repeatable()}
	if st.Takes(l) {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, reasonStopping, minRetryAfter}
}

// sendRefusal is stopRefusal for a stream that may not be repeated, at the time when it is sent to
// an upstream: its stages may have taken longer than was expected when it arrived. Of other
// streams a caller takes up the rest, which costs it less than to have the stages made again.
func (x *exchange) sendRefusal() *refusal {
	_, rest := x.expectedStream()
	if x.runs > 0 || x.route.Repeatable() || rest == 0 {
		return nil
	}
	return x.stopRefusal(x.s.expectedFirstEvent(x.route) + rest)
}

// expectedStream returns times within which a stream of this length is expected to begin, and to
// end after that, both 0 if they are unknown. The caller's estimate of the length includes what it
// has got already of a stream that it takes up.
func (x *exchange) expectedStream() (first, rest time.Duration) {
	if x.route.Kind != fleet.Stream || x.spec.Resumed {
		return 0, 0
	}
	return x.s.streamTimes.Expected(x.route.ID, x.spec.ExpectedTokens)
}

// expectedDuration returns the time within which a stream of this length or else most requests of
// the route end, 0 if it is unknown. A safe request gets an answer even if it is ended, so a
// default will do for it.
func (x *exchange) expectedDuration() time.Duration {
	if first, rest := x.expectedStream(); rest > 0 {
		return first + rest
	}
	if d := x.s.durations.Expected(x.route.ID); d > 0 || x.route.Kind != fleet.Safe {
		return d
	}
	return defaultResponseTime
}

// recordDuration records how long a request took that ends with the given status.
func (x *exchange) recordDuration(status int, reason string, took time.Duration) {
	switch {
	case x.route == nil || x.spec.Resumed: // a stream that was taken up has only a part of its events
	case reason == reasonServed:
		x.s.durations.Record(x.route.ID, took)
		if x.begunAfter > 0 {
			x.s.streamTimes.Record(x.route.ID, x.begunAfter, took-x.begunAfter, x.spec.ExpectedTokens)
		}
	case status != http.StatusServiceUnavailable && x.runs > 0:
		x.s.durations.RecordAtLeast(x.route.ID, took)
	}
}

// reasonServed is the reason for the end of a request that was served.
const reasonServed = "served"
