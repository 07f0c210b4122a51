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

var errConnLimit = errors.New("this router's limit of connections to the upstream is reached")

// sharedConnPercent is the percentage of an upstream's connections that is divided
// among the routers. The rest is reserved for stage calls and routers that start.
const sharedConnPercent = 80

// staleConnWindow is the time after sending a request on a reused connection within
// which its end is attributed to the upstream having dropped it while idle. Such a
// connection is reset within one round trip, 2 ms between data centres; the rest allows
// for a busy host. An upstream that closes the connection later has lost the response.
const staleConnWindow = 10 * time.Millisecond

// outcome is the result of sending a request and reading the header of its response.
type outcome int

const (
	answered   outcome = iota // the response header was read, the body was not
	rejected                  // the upstream did not run the request
	notSent                   // no connection was available, nothing was sent
	noResponse                // the request may have run, but there is no valid response
	replaced                  // the upstream was silent, and an attempt at another one is answered
)

// send sends the request to t and reads the header of its response. While nothing arrives for
// longer than wait, another upstream is asked.
// The caller must call release on the response if the outcome is answered.
func (x *exchange) send(ctx context.Context, t *target, o platform.Outgoing, wait time.Duration) (rp *response, out outcome) {
	maxConns := max(x.svc.MaxConns*sharedConnPercent/100/x.s.peers.routerCount(time.Now()), 1)
	if x.svc.MaxConns <= 0 {
		maxConns = maxIdleConns
	}
	maxIdle := defaultIdleTimeout
	if !x.route.Repeatable() {
		maxIdle = maxIdleUnrepeatable
	}
	c, err := t.conn(ctx, x.spec.ID, maxConns, maxIdle)
	if err != nil {
		x.recordSendFailure(t, err, errors.Is(err, errConnLimit) || ctx.Err() != nil)
		return nil, notSent
	}
	w, unread := x.work(t)
	t.requestStarted(time.Now())
	t.workStarted(w)
	if x.onSend != nil {
		x.onSend(t)
	}
	x.hedging = false
	x.survived, x.progressed, x.trial = false, false, false
	x.sends++
	isBack := slices.Contains(x.left, t.ID)
	x.left, x.wayBack = without(x.left, t.ID), ""
	if isBack {
		x.returns++
	}
	if _, limited := x.s.limits.Rate(t.ID); limited {
		x.s.incCounter("limited_sends", "service", string(x.svc.ID))
	}
	x.countRun(isBack, 1) // reverted if the response says that the request did not run
	began := time.Now()
	watch := x.watchSilence(ctx, t, c, wait)
	stop := context.AfterFunc(ctx, watch.interrupt)
	rp, err = c.roundTrip(x.buildRequest(t, o))
	if err != nil {
		stop()
		t.closeConn(c)
		t.requestEnded()
		t.workEnded(w)
		if errors.Is(err, errReplaced) {
			x.recordReplaced(t, c)
			return nil, replaced
		}
		// If a reused connection ended, the request may be sent to the upstream once more.
		// A connection dropped while idle is no failure of the upstream unless it crashed.
		mayBeStale := c.reused && ctx.Err() == nil && !isTimeout(err) && !errors.Is(err, errLeft)
		droppedIdle := mayBeStale && time.Since(began) < staleConnWindow
		x.recordSendFailure(t, err, droppedIdle || ctx.Err() != nil)
		if droppedIdle {
			x.probeCrash(t)
		}
		if mayBeStale && !slices.Contains(x.retriedStale, t.ID) {
			x.retriedStale = append(x.retriedStale, t.ID)
			x.tried = x.tried[:len(x.tried)-1]
		}
		return nil, noResponse
	}
	c.unframed = isUnframed(rp.resp)
	rp.watch = watch
	rp.work, rp.unread = w, unread
	rp.release = func(reuse bool) {
		stop()
		c.onSilence = nil
		if reuse && ctx.Err() == nil && rp.prepareReuse(time.Now()) {
			t.putIdleConn(c)
		} else {
			t.closeConn(c)
		}
		t.requestEnded()
		t.workEnded(rp.work)
	}
	x.s.recordNotices(t.Upstream, rp.ResponseInfo, began)
	if rp.ColdRemaining > 0 {
		t.markCold(time.Now().Add(rp.ColdRemaining))
	}
	if rp.NotExecuted {
		x.countRun(isBack, -1)
		c.onSilence = nil // another upstream is asked anyway
		x.recordRejection(t, rp)
		return nil, rejected
	}
	return rp, answered
}

// countRun adds n to the runs of the request. isBack is whether they are at an upstream that it had left.
func (x *exchange) countRun(isBack bool, n int) {
	x.runs += n
	if !isBack {
		x.upstreamsUsed += n
	}
}

// recordSendFailure logs and counts a send without a valid response, and records it
// against the upstream unless notUpstreamFault is set: then the cause lies with the
// router or the caller, or an idle connection was dropped.
func (x *exchange) recordSendFailure(t *target, err error, notUpstreamFault bool) {
	var se *sendError
	sent, silent := false, time.Duration(0)
	if errors.As(err, &se) {
		sent, silent = se.sent, se.silent
	}
	x.s.log.Info("send failed", "request", x.spec.ID, "upstream", t.ID, "address", t.Address, "sent", sent,
		"silent_ms", silent.Milliseconds(), "ours", notUpstreamFault, "left_ms", x.remaining().Milliseconds(), "err", err)
	x.s.incCounter("sends", "outcome", "failed")
	left := errors.Is(err, errLeft)
	if !left {
		x.tried = append(x.tried, t.ID)
	}
	if notUpstreamFault {
		return
	}
	if left {
		t.recordReplaced(time.Now(), time.Now().Add(-silent))
		return
	}
	timeout := isTimeout(err)
	if timeout && x.remaining() <= deadlineMargin {
		// The request's own deadline passed, which says little about the upstream
		// unless the route is usually much faster.
		if mean, ok := x.s.latencies.mean(x.route.ID); ok && x.elapsed() > slowTimeoutFactor*mean {
			t.recordOverload(time.Now())
		}
		return
	}
	t.recordFailure(time.Now(), !sent, sent && !timeout)
	if sent && !timeout {
		x.probeCrash(t)
	}
}

// recordReplaced logs and counts an attempt that was given up because its upstream was silent
// while another one answers.
func (x *exchange) recordReplaced(t *target, c *upstreamConn) {
	x.s.log.Info("silent upstream replaced", "request", x.spec.ID, "upstream", t.ID, "by", x.upstream,
		"silent_ms", c.silence().Milliseconds(), "left_ms", x.remaining().Milliseconds())
	x.s.incCounter("sends", "outcome", "replaced")
	t.recordReplaced(time.Now(), c.heardAt)
}

const (
	// deadlineMargin is the remaining time up to which a timeout is attributed to the
	// request's own deadline.
	deadlineMargin = 5 * time.Millisecond
	// slowTimeoutFactor is the multiple of the route's mean latency beyond which such a
	// timeout still counts against the upstream.
	slowTimeoutFactor = 5
)

// isTimeout reports whether err is a timeout.
func isTimeout(err error) bool {
	var ne interface{ Timeout() bool }
	return errors.As(err, &ne) && ne.Timeout()
}

const (
	// crashProbeDelay is the wait before the probe. A crashed upstream no longer accepts
	// connections by then. crashProbeTimeout limits the probe itself.
	crashProbeDelay   = 20 * time.Millisecond
	crashProbeTimeout = 200 * time.Millisecond
)

// probeCrash checks in the background whether the upstream crashed while it ran the
// request: then it no longer accepts connections. If so, probeCrash records a strike
// against the request's fingerprint, and a crash of its prompt parts unless it had
// survived.
func (x *exchange) probeCrash(t *target) {
	strike := crash.Strike{Print: x.fingerprint, Upstream: t.ID, Born: t.Born}
	parts, failedAt := x.parts, time.Now()
	if x.survived {
		parts = nil
	}
	probed := make(chan struct{})
	x.probed = probed
	x.s.background.Go(func() {
		defer close(probed)
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeDelay+crashProbeTimeout)
		defer cancel()
		if !clock.Sleep(ctx, crashProbeDelay) {
			return
		}
		c, err := dialUpstream(ctx, t.Address, nil)
		if err == nil {
			_ = c.Close()
			return
		}
		x.s.log.Warn("upstream crashed while it ran a request", "request", x.spec.ID, "upstream", t.ID, "born", t.Born,
			"print", x.fingerprint, "parts", x.sharedSegmentIDs(), "err", err)
		x.s.incCounter("strikes")
		t.recordFailure(time.Now(), true, true)
		x.s.strikes.Add(time.Now(), strike)
		x.s.logQuarantined(x.s.parts.Crashed(failedAt, t.ID, t.Born, parts), "request", x.spec.ID, "ids", x.sharedSegmentIDs())
	})
}

// logQuarantined logs and counts parts that have just been quarantined.
func (s *Server) logQuarantined(parts []crash.Part, keyvals ...any) {
	for _, p := range parts {
		s.log.Warn("prompt part quarantined", append([]any{"service", p.Service, "part", p.Print}, keyvals...)...)
		s.incCounter("parts_quarantined", "service", string(p.Service))
	}
}

// recordRejection handles and releases a response that says that the request did not run.
func (x *exchange) recordRejection(t *target, rp *response) {
	x.s.log.Info("upstream rejected", "request", x.spec.ID, "upstream", t.ID, "status", rp.resp.StatusCode, "wrong", rp.Misdirected)
	x.s.incCounter("sends", "outcome", "rejected")
	x.tried = append(x.tried, t.ID)
	x.inputsGone = rp.resp.StatusCode == http.StatusConflict
	rp.release(discardBody(rp.resp))
	if rp.Misdirected {
		t.recordFailure(time.Now(), true, false)
	} else if rp.resp.StatusCode == http.StatusServiceUnavailable || rp.resp.StatusCode == http.StatusTooManyRequests {
		t.recordOverload(time.Now())
	}
}
