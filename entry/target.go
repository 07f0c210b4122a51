package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/pace"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// suspectedColdTime is how long an upstream counts as cold after a connection to it
	// failed: it may have restarted, which its entry in the store shows only later.
	suspectedColdTime = 3 * time.Second
	// maxIdleConns limits the idle connections that are kept to one upstream, and all
	// connections to it if its service sets no limit.
	maxIdleConns = 32
)

// target holds this router's connections to one upstream and its health statistics. It
// is safe for concurrent use.
type target struct {
	fleet.Upstream

	heads   *limit.Bytes // memory for the heads of responses, nil for any
	heardAt atomic.Int64 // when bytes of any answer arrived last, in Unix nanoseconds

	mu               sync.Mutex
	silentAt         time.Time // when the upstream was last found silent
	silenceCountedAt time.Time // when a silence of the whole upstream was last recorded as a failure
	outlier          route.OutlierDetector
	coldLimiter      limit.RateLimiter
	coldUntil        time.Time
	inFlight         int
	load             pace.Upstream
	probing          bool      // whether a probe is in progress
	busySince        time.Time // when inFlight became positive
	openConns        int       // open connections, including idle ones
	idleConns        []*upstreamConn
}

// recordLimit records the limit that an answer of an upstream named, if any. began is when
// its request was sent.
func (s *Server) recordLimit(u fleet.Upstream, info platform.ResponseInfo, began time.Time) {
	if info.BadLimit {
		s.log.Warn("upstream names a limit that is no number", "upstream", u.ID)
		return
	}
	if !s.limits.Heard(time.Now(), began, u.ID, info.RateLimit) {
		return
	}
	if info.RateLimit == nil {
		s.log.Info("upstream names no limit any more", "upstream", u.ID, "service", u.Service)
		return
	}
	s.log.Info("upstream names a limit", "upstream", u.ID, "service", u.Service, "limit", *info.RateLimit)
	s.incCounter("limits_named", "service", string(u.Service))
}

// recordNotices records what an answer of an upstream said about it: its limit, that it
// leaves, and for how long it wants no requests. began is when its request was sent.
func (s *Server) recordNotices(u fleet.Upstream, info platform.ResponseInfo, began time.Time) {
	if info.Misdirected {
		return // the answer is another upstream's
	}
	s.recordLimit(u, info, began)
	s.recordLoad(u, info, time.Now())
	left, paused := s.notices.Heard(time.Now(), u, info.Leaving, info.Pause)
	if left {
		s.log.Info("upstream says that it leaves", "upstream", u.ID, "service", u.Service)
		s.incCounter("upstreams_leaving", "service", string(u.Service))
	}
	if paused {
		s.log.Info("upstream wants no requests", "upstream", u.ID, "service", u.Service, "pause", info.Pause.String())
		s.incCounter("upstreams_paused", "service", string(u.Service))
	}
}

// limitShare returns this router's share of the limit that an upstream names.
func (s *Server) limitShare(now time.Time, u fleet.Upstream) limit.Share {
	names := s.peers.candidateNames(now)
	return limit.Share{Rank: route.Rank(string(u.ID), names, s.cfg.Name), Routers: len(names)}
}

// limitWait returns the time until this router may send a request to an upstream, given the
// limit that it names and the time for which it wants none; 0 if it may now.
func (s *Server) limitWait(now time.Time, u fleet.Upstream) time.Duration {
	wait := s.notices.Wait(now, u)
	if _, limited := s.limits.Rate(u.ID); limited {
		wait = max(wait, s.limits.Wait(now, u.ID, s.limitShare(now, u)))
	}
	return wait
}

// stageWait is limitWait for the router whose queue alone sends calls to a stage upstream. It
// reports false for one that leaves, which must get none any more.
func (s *Server) stageWait(now time.Time, u fleet.Upstream) (wait time.Duration, ok bool) {
	return max(s.notices.Wait(now, u), s.limits.Wait(now, u.ID, limit.Whole)), !s.notices.Leaving(now, u)
}

// takeLimited reports whether a request may be sent to an upstream now within the limit
// that it names, and counts it if so.
func (s *Server) takeLimited(now time.Time, u fleet.Upstream) bool {
	if _, limited := s.limits.Rate(u.ID); !limited {
		return true
	}
	return s.limits.Take(now, u.ID, s.limitShare(now, u))
}

// targets holds the target of each upstream in use. It is safe for concurrent use.
type targets struct {
	heads *limit.Bytes // see target

	mu   sync.Mutex
	byID map[wire.UpstreamID]*target
}

// get returns the target of u. If the upstream has restarted or moved to another
// address, get replaces its target.
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
	t = &target{Upstream: u, heads: ts.heads}
	ts.byID[u.ID] = t
	return t
}

// retain updates the cold times from us and removes the targets of upstreams that are
// not in us.
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

func (t *target) markCold(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = later(t.coldUntil, until)
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

// closeExpired closes idle connections that have expired.
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

// conn returns a connection for a request that has been idle for at most maxIdle, or a new one
// if fewer than maxConns are open. One that is idle and can't be used gives way to a new one.
// The error is a *sendError.
func (t *target) conn(ctx context.Context, id wire.RequestID, maxConns int, maxIdle time.Duration) (*upstreamConn, error) {
	for {
		c := t.takeIdleConn(id, maxIdle)
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
	if t.openConns >= maxConns && len(t.idleConns) > 0 {
		_ = t.idleConns[0].Close()
		t.idleConns = slices.Delete(t.idleConns, 0, 1)
		t.openConns--
	}
	if t.openConns >= maxConns {
		t.mu.Unlock()
		return nil, &sendError{err: errConnLimit}
	}
	t.openConns++
	t.mu.Unlock()
	c, err := dialUpstream(ctx, t.Address, t.heads)
	if err != nil {
		t.mu.Lock()
		t.openConns--
		t.mu.Unlock()
		return nil, err
	}
	c.target = t
	return c, nil
}

// takeIdleConn removes and returns the most recently used idle connection that may carry a
// request and has been idle for at most maxIdle, or returns nil.
func (t *target) takeIdleConn(id wire.RequestID, maxIdle time.Duration) *upstreamConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for i, c := range slices.Backward(t.idleConns) {
		if now.Sub(c.idleSince) > maxIdle {
			return nil // the others have been idle for longer
		}
		if c.mayCarry(id) && now.Before(c.expires) {
			t.idleConns = slices.Delete(t.idleConns, i, i+1)
			return c
		}
	}
	return nil
}

// putIdleConn keeps a connection for reuse, or closes it if maxIdleConns are kept.
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
	c.abort()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openConns--
}

// requestStarted counts a request as in flight. requestEnded must follow.
func (t *target) requestStarted(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight == 0 {
		t.busySince = now
	}
	t.inFlight++
}

// workStarted records the work of a request that was sent. workEnded must follow.
func (t *target) workStarted(w pace.Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Sent(w)
}

// workEnded records the end of a request with the given work left.
func (t *target) workEnded(w pace.Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.Done(w)
}

// promptRead records that the answer to a request has begun, and returns the work left.
func (t *target) promptRead(w pace.Work) pace.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load.Read(w)
}

func (t *target) requestEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// recordSuccess records a response. relativeLatency is the time that it took relative to
// the expected time.
func (t *target) recordSuccess(now time.Time, relativeLatency float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outlier.RecordSuccess(now, relativeLatency)
}

// recordFailure records a failure. unreachable is set if no connection could be made or
// another upstream has the address, and connBroken if the connection ended early; after
// either the upstream counts as cold for suspectedColdTime.
func (t *target) recordFailure(now time.Time, unreachable, connBroken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if unreachable {
		t.outlier.RecordUnreachable(now)
	} else {
		t.outlier.RecordFailure(now)
	}
	if unreachable || connBroken {
		t.coldUntil = later(t.coldUntil, now.Add(suspectedColdTime))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// targetStatus is the state of a target on which the choice of an upstream depends.
type targetStatus struct {
	inFlight    int
	load        pace.Known
	penalty     float64 // extra load for recent failures and slow responses, in requests
	ejected     bool
	silent      bool          // whether nothing has come from it for a while
	quiet       time.Duration // since anything came from it while it had requests
	coldLimited bool          // whether it is cold and this router's share of its rate limit is used up
}

// status returns the target's current status. routers is the number of routers among
// which the rate limit of a cold upstream is divided.
func (t *target) status(now time.Time, svc *fleet.Service, routers int) targetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	quiet := time.Duration(0)
	if t.inFlight > 0 {
		quiet = now.Sub(later(t.busySince, time.Unix(0, t.heardAt.Load())))
	}
	return targetStatus{
		quiet:       quiet,
		inFlight:    t.inFlight,
		load:        t.load.Know(now),
		penalty:     t.outlier.Penalty(now),
		ejected:     t.outlier.Ejected(now),
		silent:      t.silent(now),
		coldLimited: svc.ColdRate > 0 && now.Before(t.coldUntil) && !t.coldLimiter.WouldAllow(now, svc.ColdRate, routers),
	}
}

// allowRequest counts a request against the rate limit of the upstream. It returns false
// if the upstream is cold and the limit is reached.
func (t *target) allowRequest(now time.Time, svc *fleet.Service, routers int) bool {
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

// recordOverload records that the upstream is overloaded: it rejected a request because
// it was full, or was much slower than usual.
func (t *target) recordOverload(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outlier.RecordRejection(now)
}
