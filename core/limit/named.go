package limit

import (
	"math"
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	// refreshInterval is the time since the last answer of a limited upstream after which
	// a router may send it a request beyond its share, one for each interval. Without it
	// no router would learn that a very low limit has ended.
	refreshInterval = 5 * time.Second
	// burstTime is the time whose share a router may save up and send at once.
	burstTime = 500 * time.Millisecond
	// endedLifetime is the time for which the end of a limit is reported.
	endedLifetime = 10 * time.Second
	// maxLimits bounds the upstreams whose limits are kept, and maxReportedLimits
	// the limits in one report.
	maxLimits         = 4096
	maxReportedLimits = 32
)

// Share is the part of an upstream's limit that this router may use. Rank is its place from
// 0 on in an order of the routers that is the same at all of them, and below 0 if it must
// not use the upstream.
type Share struct{ Rank, Routers int }

// Whole is the share of a router that is the only one to send requests to an upstream.
var Whole = Share{Rank: 0, Routers: 1}

// Named holds the limits that upstreams name in their answers: the requests per second
// that they take from all routers together, for as long as they say so.
//
// The first routers in the order, as many as the limit has whole requests per second, each
// use an equal part of it and may save up half a second's part or one request; the others
// send nothing. So the sum stays near the limit however many routers there are.
//
// A limit stays in force when an upstream starts again under its ID, until an answer without
// one: the store may tell of the start only after the first answers.
//
// Named is safe for concurrent use. The zero value is ready to use.
type Named struct {
	mu         sync.Mutex
	byUpstream map[wire.UpstreamID]*namedLimit
}

type namedLimit struct {
	rate    float64   // requests per second
	ended   bool      // whether the upstream names no limit any more
	heardAt time.Time // time of the last answer that named the limit or ended it

	tokens    float64 // requests that may be sent now
	filledAt  time.Time
	refreshAt time.Time // time of the last request beyond the share
}

// Heard records the limit that an answer named, or nil if it named none. began is when its
// request was sent. It reports whether the limit has changed. Answers may overtake each
// other, so one without a limit ends the limit only if its request was sent after the last
// answer that named one.
func (n *Named) Heard(now, began time.Time, u wire.UpstreamID, rate *float64) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.byUpstream[u]
	if rate != nil {
		return n.set(u, namedLimit{rate: *rate, heardAt: now, filledAt: now})
	}
	if l == nil || l.ended || !began.After(l.heardAt) {
		return false
	}
	l.ended, l.heardAt = true, now
	return true
}

// set replaces what was heard of an upstream, but keeps the use of its limit. It reports
// whether the limit has changed. The caller holds mu.
func (n *Named) set(u wire.UpstreamID, heard namedLimit) (changed bool) {
	l := n.byUpstream[u]
	if l == nil {
		if n.byUpstream == nil {
			n.byUpstream = make(map[wire.UpstreamID]*namedLimit)
		}
		if len(n.byUpstream) < maxLimits {
			n.byUpstream[u] = &heard
		}
		return true
	}
	changed = l.rate != heard.rate || l.ended != heard.ended
	l.rate, l.ended, l.heardAt = heard.rate, heard.ended, heard.heardAt
	return changed
}

// Rate returns the limit of an upstream in requests per second, and false if it
// names none.
func (n *Named) Rate(u wire.UpstreamID) (rate float64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.byUpstream[u]; l != nil && !l.ended {
		return l.rate, true
	}
	return 0, false
}

// Wait returns the time until a request may be sent to an upstream within the
// given share, 0 if it may be sent now.
func (n *Named) Wait(now time.Time, u wire.UpstreamID, s Share) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.byUpstream[u]
	if l == nil || l.ended {
		return 0
	}
	return l.wait(now, s)
}

// Take reports whether a request may be sent now, and counts it if so.
func (n *Named) Take(now time.Time, u wire.UpstreamID, s Share) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.byUpstream[u]
	if l == nil || l.ended {
		return true
	}
	if l.wait(now, s) > 0 {
		return false
	}
	if l.tokens >= 1 {
		l.tokens--
	} else {
		l.refreshAt = now
	}
	return true
}

// wait fills the bucket and returns the time until it holds a request or one may be sent
// beyond the share.
func (l *namedLimit) wait(now time.Time, s Share) time.Duration {
	users := max(1, min(int(min(l.rate, math.MaxInt32)), s.Routers))
	elapsed := now.Sub(l.filledAt)
	l.filledAt = now
	if s.Rank < 0 {
		l.tokens = 0
		return refreshInterval
	}
	if s.Rank >= users {
		l.tokens = 0
		return l.refreshWait(now, s.Rank-users+2)
	}
	part := l.rate / float64(users)
	l.tokens = min(l.tokens+part*elapsed.Seconds(), max(1, part*burstTime.Seconds()))
	if l.tokens >= 1 {
		return 0
	}
	refresh := l.refreshWait(now, 1)
	if missing := (1 - l.tokens) / part; missing < refresh.Seconds() {
		return max(time.Duration(missing*float64(time.Second)), time.Millisecond)
	}
	return refresh
}

// refreshWait returns the time until the upstream has not answered any router for the given
// number of intervals, and this router has sent nothing beyond its share for one.
func (l *namedLimit) refreshWait(now time.Time, intervals int) time.Duration {
	return max(l.heardAt.Add(time.Duration(intervals)*refreshInterval).Sub(now), l.refreshAt.Add(refreshInterval).Sub(now), 0)
}

// Retain removes the limits of upstreams for which live returns false, and those that have
// ended some time ago.
func (n *Named) Retain(now time.Time, live func(wire.UpstreamID) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for u, l := range n.byUpstream {
		if !live(u) || l.ended && now.Sub(l.heardAt) > endedLifetime {
			delete(n.byUpstream, u)
		}
	}
}

// Report is what a router tells others about a limit.
type Report struct {
	Upstream wire.UpstreamID
	Rate     float64
	Ended    bool
	Age      time.Duration // time since the last answer that said so
}

// Reports returns the limits to tell other routers, at most 32. If there are more they are
// drawn at random, so that repeated reports tell them all.
func (n *Named) Reports(now time.Time) (rs []Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for u, l := range n.byUpstream { // in random order
		if len(rs) == maxReportedLimits {
			break
		}
		rs = append(rs, Report{u, l.rate, l.ended, now.Sub(l.heardAt)})
	}
	return rs
}

// Merge adds the reports of another router, which were made at the earliest at the given
// time. It returns those that changed a limit.
func (n *Named) Merge(now, earliest time.Time, rs []Report) (changed []Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range rs {
		heardAt := earliest.Add(-r.Age)
		if r.Age < 0 || heardAt.After(now) || !(r.Rate >= 0) || math.IsInf(r.Rate, 0) {
			continue
		}
		l := n.byUpstream[r.Upstream]
		if l == nil && r.Ended || l != nil && !heardAt.After(l.heardAt) {
			continue
		}
		if n.set(r.Upstream, namedLimit{rate: r.Rate, ended: r.Ended, heardAt: heardAt, filledAt: now}) {
			changed = append(changed, r)
		}
	}
	return changed
}
