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
	// coldDoubt is the time for which an upstream counts as cold after a connection
	// to it broke: it may have restarted, and its entry tells so only later.
	coldDoubt = 3 * time.Second
	// maxIdleConns bounds the idle connections that are kept to one upstream.
	maxIdleConns = 32
)

// target is what this router knows of one upstream and the connections that it
// has to it. It is safe for concurrent use.
type target struct {
	fleet.Upstream

	mu       sync.Mutex
	outlier  route.OutlierDetector
	pace     limit.RateLimiter
	coldTill time.Time
	flight   int
	open     int // connections, idle ones included
	idle     []*upstreamConn
}

// targets keeps a target for each upstream in use.
type targets struct {
	mu  sync.Mutex
	all map[wire.UpstreamID]*target
}

// get returns the target of this run of an upstream. Another run of it, or one at
// another address, gets a new target.
func (ts *targets) get(u fleet.Upstream) *target {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t := ts.all[u.ID]
	if t != nil && t.SameRun(u) {
		return t
	}
	if t != nil {
		t.closeIdle()
	}
	t = &target{Upstream: u}
	ts.all[u.ID] = t
	return t
}

// retain updates cold times from entries and forgets upstreams that are not among us.
func (ts *targets) retain(now time.Time, us []fleet.Upstream) {
	live := make(map[wire.UpstreamID]bool, len(us))
	for _, u := range us {
		live[u.ID] = true
		t := ts.get(u)
		if u.ColdRemaining > 0 {
			t.chill(now.Add(u.ColdRemaining))
		}
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for id, t := range ts.all {
		if !live[id] {
			t.closeIdle()
			delete(ts.all, id)
		}
	}
}

func (t *target) chill(till time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldTill = later(t.coldTill, till)
}

func (t *target) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		_ = c.Close()
		t.open--
	}
	t.idle = nil
}

// sweep closes idle connections whose time has passed.
func (t *target) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = slices.DeleteFunc(t.idle, func(c *upstreamConn) bool {
		if now.Before(c.until) {
			return false
		}
		_ = c.Close()
		t.open--
		return true
	})
}

// conn returns a connection that has been idle for less than idle, or a new one. The
// error is a *sendError.
func (t *target) conn(ctx context.Context, most int, idle time.Duration) (*upstreamConn, error) {
	for {
		c := t.takeIdle(idle)
		if c == nil {
			break
		}
		if c.clean() {
			c.reused = true
			return c, nil
		}
		t.drop(c)
	}
	t.mu.Lock()
	if t.open >= most {
		t.mu.Unlock()
		return nil, &sendError{err: errConnLimit}
	}
	t.open++
	t.mu.Unlock()
	c, err := dialUpstream(ctx, t.Address)
	if err != nil {
		t.mu.Lock()
		t.open--
		t.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// takeIdle returns the connection that was used last, if that was within idle.
func (t *target) takeIdle(idle time.Duration) *upstreamConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		if now.Sub(c.since) > idle {
			return nil // the others have been idle for longer
		}
		t.idle = t.idle[:len(t.idle)-1]
		if now.Before(c.until) {
			return c
		}
		_ = c.Close()
		t.open--
	}
	return nil
}

// keep gives a connection back for reuse.
func (t *target) keep(c *upstreamConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle) >= maxIdleConns {
		_ = c.Close()
		t.open--
		return
	}
	t.idle = append(t.idle, c)
}

// drop closes a connection that is in use.
func (t *target) drop(c *upstreamConn) {
	_ = c.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
}

// begin counts a request that is about to be sent.
func (t *target) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flight++
}

func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flight--
}

// good records an answer.
func (t *target) good(now time.Time, ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outlier.RecordSuccess(now, ratio)
}

// bad records a failure: unreachable if no connection could be made, else broken if
// the connection ended.
func (t *target) bad(now time.Time, unreachable, broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if unreachable {
		t.outlier.RecordUnreachable(now)
	} else {
		t.outlier.RecordFailure(now)
	}
	if unreachable || broken {
		t.coldTill = later(t.coldTill, now.Add(coldDoubt))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// standing is what a choice depends on.
type standing struct {
	flight   int
	penalty  float64
	excluded bool
	paced    bool // cold, and the router's part of what it tolerates is used up
}

func (t *target) standing(now time.Time, svc *fleet.Service, routers int) standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return standing{
		flight:   t.flight,
		penalty:  t.outlier.Penalty(now),
		excluded: t.outlier.Ejected(now),
		paced:    svc.ColdRate > 0 && now.Before(t.coldTill) && !t.pace.WouldAllow(now, svc.ColdRate, routers),
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
	if now.Before(t.coldTill) {
		return t.pace.Allow(now, svc.ColdRate, routers)
	}
	t.pace.Record(now)
	return true
}

// full records that the upstream rejected a request because it was full.
func (t *target) full(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outlier.RecordRejection(now)
}
