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
func (p *RateLimiter) Allow(now time.Time, rate float64, routers int) bool {
	if !p.WouldAllow(now, rate, routers) {
		return false
	}
	p.sent = append(p.sent, now)
	return true
}

// Record counts a request that was sent without asking Allow, so that the limit takes
// full effect as soon as the upstream turns cold.
func (p *RateLimiter) Record(now time.Time) {
	p.dropOld(now)
	p.sent = append(p.sent, now)
}

// WouldAllow reports whether Allow would permit a request, without counting one.
func (p *RateLimiter) WouldAllow(now time.Time, rate float64, routers int) bool {
	p.dropOld(now)
	return len(p.sent) < max(int(rate)/max(routers, 1), 1)
}

// dropOld forgets requests that have left the window.
func (p *RateLimiter) dropOld(now time.Time) {
	n := 0
	for n < len(p.sent) && now.Sub(p.sent[n]) >= rateWindow {
		n++
	}
	p.sent = append(p.sent[:0], p.sent[n:]...)
}
