package limit

import "time"

// RateLimiter bounds the requests that one router sends to a cold upstream in any second.
// The upstream crashes when all routers together send much more than it tolerates,
// so each router has an equal part. It is not safe for concurrent use.
type RateLimiter struct {
	sent []time.Time // within the last second, the oldest first
}

// rateWindow is longer than the second in which requests are counted, since their
// time on the way varies.
const rateWindow = 1050 * time.Millisecond

// Allow counts a request if the part of the rate (requests a second of all
// routers) that belongs to one of the routers permits it. At least one request
// a second is permitted.
func (p *RateLimiter) Allow(now time.Time, rate float64, routers int) bool {
	if !p.WouldAllow(now, rate, routers) {
		return false
	}
	p.sent = append(p.sent, now)
	return true
}

// Record counts a request that was sent without a bound, so that the bound holds at
// once when the upstream turns cold.
func (p *RateLimiter) Record(now time.Time) {
	p.dropOld(now)
	p.sent = append(p.sent, now)
}

// WouldAllow reports whether Allow would permit a request.
func (p *RateLimiter) WouldAllow(now time.Time, rate float64, routers int) bool {
	p.dropOld(now)
	return len(p.sent) < max(int(rate)/max(routers, 1), 1)
}

func (p *RateLimiter) dropOld(now time.Time) {
	n := 0
	for n < len(p.sent) && now.Sub(p.sent[n]) >= rateWindow {
		n++
	}
	p.sent = append(p.sent[:0], p.sent[n:]...)
}
