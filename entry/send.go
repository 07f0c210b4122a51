package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/platform"
)

var errConnLimit = errors.New("no connection left to the upstream")

// connPart is the part of an upstream's connections, in percent, that routers divide
// among themselves; the rest is for stage calls and routers that start.
const connPart = 80

// staleTime is the time after a request was sent up to which the end of a connection
// that was used before counts as dropped earlier: such a connection is reset within a
// round trip, 2 ms between data centres; the rest is for a busy host. An upstream that
// breaks off later has lost the answer.
const staleTime = 10 * time.Millisecond

// outcome is the end of one send as far as the head of its answer.
type outcome int

const (
	answered    outcome = iota // the reply is to be read
	rejected                   // the upstream did not run the request
	unreachable                // nothing was sent
	broken                     // the request may have run, and has no answer
)

// send sends the request to a target and reads the head of its answer. stall bounds
// the wait for it. The caller must call release on an answered reply.
func (x *exchange) send(ctx context.Context, t *target, o platform.Outgoing, stall time.Duration) (rp *reply, out outcome) {
	most := max(x.svc.MaxConns*connPart/100/x.s.peers.routerCount(time.Now()), 1)
	if x.svc.MaxConns <= 0 {
		most = maxIdleConns
	}
	idle := idleAge
	if !x.route.Repeatable() {
		idle = freshIdle
	}
	c, err := t.conn(ctx, most, idle)
	if err != nil {
		x.failed(t, err, errors.Is(err, errConnLimit) || ctx.Err() != nil)
		return nil, unreachable
	}
	t.begin()
	x.sends++
	x.runs++ // until the answer says otherwise
	began := time.Now()
	_ = c.SetDeadline(began.Add(stall))
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	rp, err = c.roundTrip(x.outgoing(t, o))
	if err != nil {
		stop()
		t.drop(c)
		t.end()
		// The request may go to the upstream once more if the end of a connection that
		// was used before is all that happened. If it was dropped while idle, that says
		// nothing about the upstream unless it crashed.
		stale := c.reused && ctx.Err() == nil && !isTimeout(err)
		dropped := stale && time.Since(began) < staleTime
		x.failed(t, err, dropped || ctx.Err() != nil)
		if dropped {
			x.suspect(t)
		}
		if stale && !slices.Contains(x.again, t.ID) {
			x.again = append(x.again, t.ID)
			x.tried = x.tried[:len(x.tried)-1]
		}
		return nil, broken
	}
	rp.release = func(reuse bool) {
		stop()
		if reuse && ctx.Err() == nil && rp.finish(time.Now()) {
			t.keep(c)
		} else {
			t.drop(c)
		}
		t.end()
	}
	if rp.ColdRemaining > 0 {
		t.chill(time.Now().Add(rp.ColdRemaining))
	}
	if rp.NotExecuted {
		x.runs--
		x.reject(t, rp)
		return nil, rejected
	}
	return rp, answered
}

// failed records a send without an answer.
func (x *exchange) failed(t *target, err error, ours bool) {
	var se *sendError
	sent := errors.As(err, &se) && se.sent
	x.s.log.Info("send failed", "request", x.need.ID, "upstream", t.ID, "address", t.Address, "sent", sent,
		"ours", ours, "left_ms", x.left().Milliseconds(), "err", err)
	x.s.count("sends", "outcome", "failed")
	x.tried = append(x.tried, t.ID)
	if ours {
		return
	}
	timeout := isTimeout(err)
	if timeout && x.left() <= ownTimeout {
		// The request ran out of time, which says little about the upstream unless
		// the route is usually much faster.
		if took, ok := x.s.learned.known(x.route.ID); ok && x.took() > lateFactor*took {
			t.full(time.Now())
		}
		return
	}
	t.bad(time.Now(), !sent, sent && !timeout)
	if sent && !timeout {
		x.suspect(t)
	}
}

const (
	// ownTimeout is the time left below which a timeout counts as the request's own.
	ownTimeout = 5 * time.Millisecond
	// lateFactor is how many times the usual time a request must have taken for its
	// timeout to count against the upstream.
	lateFactor = 5
)

func isTimeout(err error) bool {
	var ne interface{ Timeout() bool }
	return errors.As(err, &ne) && ne.Timeout()
}

const (
	// crashDelay is the time after a broken connection after which a crashed
	// upstream accepts no new one.
	crashDelay = 20 * time.Millisecond
	crashLimit = 200 * time.Millisecond
)

// suspect finds out whether the upstream crashed while it ran the request, and
// records a strike against the request if so.
func (x *exchange) suspect(t *target) {
	k := crash.Strike{Print: x.print, Upstream: t.ID, Born: t.Born}
	x.s.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashDelay+crashLimit)
		defer cancel()
		if !clock.Sleep(ctx, crashDelay) {
			return
		}
		c, err := dialUpstream(ctx, t.Address)
		if err == nil {
			_ = c.Close()
			return
		}
		x.s.log.Warn("upstream crashed while it ran a request", "request", x.need.ID, "upstream", t.ID, "err", err)
		x.s.count("strikes")
		t.bad(time.Now(), true, true)
		x.s.strikes.Add(time.Now(), k)
	})
}

// reject ends a reply that says that the request was not run.
func (x *exchange) reject(t *target, rp *reply) {
	x.s.log.Info("upstream rejected", "request", x.need.ID, "upstream", t.ID, "status", rp.resp.StatusCode, "wrong", rp.Misdirected)
	x.s.count("sends", "outcome", "rejected")
	x.tried = append(x.tried, t.ID)
	x.rejectedInputs = rp.resp.StatusCode == http.StatusConflict
	_, err := readBody(rp.resp)
	rp.release(err == nil)
	if rp.Misdirected {
		t.bad(time.Now(), true, false)
	} else if rp.resp.StatusCode == http.StatusServiceUnavailable || rp.resp.StatusCode == http.StatusTooManyRequests {
		t.full(time.Now())
	}
}
