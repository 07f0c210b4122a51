package limit

import "time"

// RateLimiter limits the requests that one router sends to a cold upstream in any
// second. The upstream crashes when all routers together send much more than it
// tolerates, so each router gets an equal share of the rate. It is not safe for
// concurrent use.
type RateLimiter struct {
	sent []time.Time // send times within rateWindow, oldest first
}

// rateWindow is the length of the sliding window. It is longer than a second because
// network delay varies, and requests may reach the upstream closer together than they
// were sent.
const rateWindow = 1050 * time.Millisecond

// Allow reports whether a request may be sent now, and counts it if so. rate is the
// limit of all routers together in requests per second; each of them gets an equal
// share, but at least one request per second.
func (l *RateLimiter) Allow(now time.Time, rate float64, routers int) bool {
	if !l.WouldAllow(now, rate, routers) {
		return false
	}
	l.sent = append(l.sent, now)
	return true
}

// Record counts a request that was sent without asking Allow, so that the limit takes
// full effect as soon as the upstream turns cold.
func (l *RateLimiter) Record(now time.Time) {
	l.dropOld(now)
	l.sent = append(l.sent, now)
}

// WouldAllow reports whether Allow would permit a request, without counting one.
func (l *RateLimiter) WouldAllow(now time.Time, rate float64, routers int) bool {
	l.dropOld(now)
	return len(l.sent) < max(int(rate)/max(routers, 1), 1)
}

// dropOld forgets the requests sent before the window.
func (l *RateLimiter) dropOld(now time.Time) {
	n := 0
	for n < len(l.sent) && now.Sub(l.sent[n]) >= rateWindow {
		n++
	}
	l.sent = append(l.sent[:0], l.sent[n:]...)
}
