package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
)

const (
	// suspectedColdTime is the time for which an upstream counts as cold after a connection
	// to it broke: it may have restarted, and its entry tells so only later.
	suspectedColdTime = 3 * time.Second
	// maxIdleConns bounds the idle connections that are kept to one upstream.
	maxIdleConns = 32
)

// target is what this router knows of one upstream and the connections that it
// has to it. It is safe for concurrent use.
type target struct {
	fleet.Upstream

	mu          sync.Mutex
	outlier     route.OutlierDetector
	coldLimiter limit.RateLimiter
	coldUntil   time.Time
	inFlight    int
	openConns   int // connections, idle ones included
	idleConns   []*upstreamConn
}

// targets keeps a target for each upstream in use.
type targets struct {
	mu   sync.Mutex
	byID map[wire.UpstreamID]*target
}

// get returns the target of this run of an upstream. Another run of it, or one at
// another address, gets a new target.
func (ts *targets) get(u fleet.Upstream) *target {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t := ts.byID[u.ID]
	if t != nil && t.SameRun(u) {
		return t
	}
	if t != nil {
		t.closeIdle()
	}
	t = &target{Upstream: u}
	ts.byID[u.ID] = t
	return t
}

// retain updates cold times from entries and forgets upstreams that are not among us.
func (ts *targets) retain(now time.Time, us []fleet.Upstream) {
	live := make(map[wire.UpstreamID]bool, len(us))
	for _, u := range us {
		live[u.ID] = true
		t := ts.get(u)
		if u.ColdRemaining > 0 {
			t.markCold(now.Add(u.ColdRemaining))
		}
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for id, t := range ts.byID {
		if !live[id] {
			t.closeIdle()
			delete(ts.byID, id)
		}
	}
}

func (t *target) markCold(till time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = later(t.coldUntil, till)
}

func (t *target) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idleConns {
		_ = c.Close()
		t.openConns--
	}
	t.idleConns = nil
}

// closeExpired closes idle connections whose time has passed.
func (t *target) closeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleConns = slices.DeleteFunc(t.idleConns, func(c *upstreamConn) bool {
		if now.Before(c.expires) {
			return false
		}
		_ = c.Close()
		t.openConns--
		return true
	})
}

// conn returns a connection that has been idle for less than idle, or a new one. The
// error is a *sendError.
func (t *target) conn(ctx context.Context, most int, idle time.Duration) (*upstreamConn, error) {
	for {
		c := t.takeIdleConn(idle)
		if c == nil {
			break
		}
		if c.stillIdle() {
			c.reused = true
			return c, nil
		}
		t.closeConn(c)
	}
	t.mu.Lock()
	if t.openConns >= most {
		t.mu.Unlock()
		return nil, &sendError{err: errConnLimit}
	}
	t.openConns++
	t.mu.Unlock()
	c, err := dialUpstream(ctx, t.Address)
	if err != nil {
		t.mu.Lock()
		t.openConns--
		t.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// takeIdleConn returns the connection that was used last, if that was within idle.
func (t *target) takeIdleConn(idle time.Duration) *upstreamConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for len(t.idleConns) > 0 {
		c := t.idleConns[len(t.idleConns)-1]
		if now.Sub(c.idleSince) > idle {
			return nil // the others have been idle for longer
		}
		t.idleConns = t.idleConns[:len(t.idleConns)-1]
		if now.Before(c.expires) {
			return c
		}
		_ = c.Close()
		t.openConns--
	}
	return nil
}

// putIdleConn gives a connection back for reuse.
func (t *target) putIdleConn(c *upstreamConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idleConns) >= maxIdleConns {
		_ = c.Close()
		t.openConns--
		return
	}
	t.idleConns = append(t.idleConns, c)
}

// closeConn closes a connection that is in use.
func (t *target) closeConn(c *upstreamConn) {
	_ = c.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openConns--
}

// requestStarted counts a request that is about to be sent.
func (t *target) requestStarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
}

func (t *target) requestEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// recordSuccess records an answer.
func (t *target) recordSuccess(now time.Time, ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outlier.RecordSuccess(now, ratio)
}

// recordFailure records a failure: unreachable if no connection could be made, else broken if
// the connection ended.
func (t *target) recordFailure(now time.Time, unreachable, broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if unreachable {
		t.outlier.RecordUnreachable(now)
	} else {
		t.outlier.RecordFailure(now)
	}
	if unreachable || broken {
		t.coldUntil = later(t.coldUntil, now.Add(suspectedColdTime))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// targetStatus is what a choice depends on.
type targetStatus struct {
	inFlight    int
	penalty     float64
	ejected     bool
	coldLimited bool // cold, and the router's part of what it tolerates is used up
}

func (t *target) status(now time.Time, svc *fleet.Service, routers int) targetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return targetStatus{
		inFlight:    t.inFlight,
		penalty:     t.outlier.Penalty(now),
		ejected:     t.outlier.Ejected(now),
		coldLimited: svc.ColdRate > 0 && now.Before(t.coldUntil) && !t.coldLimiter.WouldAllow(now, svc.ColdRate, routers),
	}
}

// admit counts a request against the cold bound; it is false when the bound is
// reached.
func (t *target) admit(now time.Time, svc *fleet.Service, routers int) bool {
	if svc.ColdRate <= 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.coldUntil) {
		return t.coldLimiter.Allow(now, svc.ColdRate, routers)
	}
	t.coldLimiter.Record(now)
	return true
}

// recordOverload records that the upstream rejected a request because it was full.
func (t *target) recordOverload(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outlier.RecordRejection(now)
}
