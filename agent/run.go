package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"hornbeamcove.example/core/hold"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/once"
	"hornbeamcove.example/core/wire"
)

const (
	// orphanTimeout is the time for which a repeatable call runs on without a
	// router that listens; a router that lost its session asks within it.
	orphanTimeout = 2 * time.Second
	// resultRetention is the time after a call's deadline for which its entry stays,
	// so that "absent" is never said of a call that a router may still ask for.
	resultRetention = 5 * time.Second
	probeTimeout    = 200 * time.Millisecond
)

// run is one call from its arrival until its result is held.
type run struct {
	call     *wire.Call
	entry    *hold.Entry
	deadline time.Time
	cancel   context.CancelFunc
	decided  chan struct{} // closed when the call was accepted or refused
	refusal  *wire.Refuse  // set before decided is closed, for a refused call

	mu        sync.Mutex
	listeners int
}

func (r *run) accept() { close(r.decided) }

// attach counts a stream that delivers the run's result.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners++
}

// detach ends the count of attach. A repeatable call that nobody listens to is
// cancelled after orphanTimeout; a non-repeatable one runs to its end, since its
// result may be asked for with its token.
func (r *run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners--
	if r.listeners > 0 || r.call.Once {
		return
	}
	time.AfterFunc(orphanTimeout, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.listeners == 0 {
			r.cancel()
		}
	})
}

// start registers a call and begins to execute it. Of two calls with one
// reference that arrive at once the second is refused as malformed.
func (a *Agent) start(c *wire.Call) (r *run, reason wire.Reason) {
	now := time.Now()
	deadline := now.Add(time.Duration(c.Left) * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return nil, wire.ReasonLeaving
	}
	e, reason, ok := a.held.Begin(now, c.Ref, deadline.Add(resultRetention))
	if !ok {
		return nil, reason
	}
	ctx, cancel := context.WithDeadline(a.workCtx, deadline)
	r = &run{call: c, entry: e, deadline: deadline, cancel: cancel, decided: make(chan struct{})}
	a.runs[c.Ref] = r
	a.runWG.Go(func() {
		defer cancel()
		a.execute(ctx, r)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.runs, c.Ref)
	})
	return r, ""
}

func (a *Agent) execute(ctx context.Context, r *run) {
	if !r.call.Once {
		a.admit(ctx, r)
		return
	}
	for {
		u := a.callTokens.Consume(r.call.Token, r.call.Print)
		switch u.State {
		case once.Fresh:
			a.admit(ctx, r)
		case once.Running:
			select {
			case <-u.Wait:
				continue
			case <-ctx.Done():
				a.refuse(r, wire.ReasonUnknown, wire.ExecutedUnknown)
			}
		case once.Finished:
			a.replay(r, u.Result)
		case once.Mismatch:
			// The token belongs to another body, which may have run.
			a.refuse(r, wire.ReasonMismatch, wire.ExecutedUnknown)
		default:
			// The token is of another run of the agent, or its record was
			// dropped: whether the call ran cannot be told.
			a.refuse(r, wire.ReasonSpent, wire.ExecutedUnknown)
		}
		return
	}
}

// replay answers with the result of an earlier call under the same token. Its
// cost was reported with the first answer.
func (a *Agent) replay(r *run, first *wire.Result) {
	res := *first
	res.Ref = r.call.Ref
	res.Cost = wire.Cost{}
	r.accept()
	r.entry.Finish(&res)
}

func (a *Agent) admit(ctx context.Context, r *run) {
	if !a.hasModel(r.call) {
		a.refuse(r, wire.ReasonUnavailable, wire.ExecutedNone)
		return
	}
	estimate, reason := a.admitter.acquire(ctx, r.call, r.deadline)
	if reason == "" && !time.Now().Before(r.deadline) {
		a.admitter.release(limit.Sample{Failed: true})
		reason = wire.ReasonDeadline
	}
	if reason == "" && a.configStale(time.Now()) {
		a.admitter.release(limit.Sample{Failed: true})
		reason = wire.ReasonUnavailable
	}
	if reason != "" {
		if r.call.Once {
			a.callTokens.Return(r.call.Token)
		}
		a.refuse(r, reason, wire.ExecutedNone)
		return
	}
	r.accept()
	a.callUpstream(ctx, r, estimate)
}

func (a *Agent) refuse(r *run, reason wire.Reason, ex wire.Executed) {
	r.refusal = a.logRefusal(a.newRefusal(r.call.Ref, reason, ex))
	// An acknowledged entry ends at its result; without one it would take up the
	// table and delay a planned stop until after the call's deadline.
	a.held.Ack(r.call.Ref)
	r.entry.Finish(&wire.Result{Ref: r.call.Ref, Outcome: wire.OutcomeFailed, Executed: ex, Reason: reason})
	close(r.decided)
}

func (a *Agent) newRefusal(ref wire.Ref, reason wire.Reason, ex wire.Executed) *wire.Refuse {
	return &wire.Refuse{Ref: ref, Reason: reason, Executed: ex, Retry: a.retryAfter(reason), Report: a.report()}
}

// callUpstream gives an admitted call to the upstream and holds what comes back.
func (a *Agent) callUpstream(ctx context.Context, r *run, estimate int64) {
	begun := time.Now()
	n := 0
	emit := func(text []byte) error {
		err := r.entry.Append(&wire.Chunk{Ref: r.call.Ref, Number: n, Data: append([]byte(nil), text...)})
		n++
		return err
	}
	ans, err := a.upstream.Run(withSendCheck(ctx, a.checkSend), r.call, emit)
	res := &wire.Result{
		Ref: r.call.Ref, Outcome: wire.OutcomeDone, Executed: wire.ExecutedSome, Reason: wire.ReasonUpstream,
		Chunks: n, Output: ans.Output, Cost: ans.Cost.Clamped(),
	}
	sample := limit.Sample{Latency: time.Since(begun), Units: units(r.call, ans.Cost.Output)}
	if err != nil {
		a.recordFailure(r.call, res, err)
		sample.Failed = true
		sample.Reset = res.Reason == wire.ReasonCrashed
	}
	if ans.CostUnknown {
		a.Inc("cost_lost", res.Reason)
	}
	a.admitter.charge(r.call, estimate, res.Cost)
	a.admitter.release(sample)
	res.Report = a.report()
	// From here on other goroutines read res.
	if r.call.Once {
		a.recordOutcome(r.call.Token, res)
	}
	r.entry.Finish(res)
	a.notifyResult(r.call, res, sample.Latency)
}

// checkSend refuses to send a call when a pause came after its admission.
func (a *Agent) checkSend() error {
	if a.configStale(time.Now()) {
		return &UpstreamError{Err: errStaleConfig}
	}
	return nil
}

// units is the work by which the limiter compares calls: generated tokens, since
// answers differ in length.
func units(c *wire.Call, tokens wire.Tokens) int64 {
	if c.Kind != wire.KindGenerate {
		return 1
	}
	return int64(tokens)
}

// recordOutcome records the end of a non-repeatable call under its token.
func (a *Agent) recordOutcome(t wire.Token, res *wire.Result) {
	switch {
	case res.Outcome == wire.OutcomeDone:
		a.callTokens.Finish(t, res)
	case res.Executed == wire.ExecutedNone:
		a.callTokens.Return(t)
	default:
		a.callTokens.Finish(t, nil)
	}
}

// recordFailure fills in the result of a call that the upstream did not complete.
func (a *Agent) recordFailure(c *wire.Call, res *wire.Result, err error) {
	res.Outcome = wire.OutcomeFailed
	res.Output = nil
	res.Wasted = true
	if c.Once {
		// The upstream may have taken effect before it failed.
		res.Executed = wire.ExecutedUnknown
	}
	var ue *UpstreamError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		res.Reason = wire.ReasonDeadline
	case errors.Is(err, context.Canceled):
		res.Reason = wire.ReasonCancelled
	case !errors.As(err, &ue):
		res.Reason = wire.ReasonUpstream
	case !ue.Sent:
		res.Reason = wire.ReasonUnavailable
		res.Executed = wire.ExecutedNone
	case ue.Reset && a.upstreamCrashed():
		res.Reason = wire.ReasonCrashed
	}
	a.log.Warn("stage failed", "request", c.Ref.Request, "stage", c.Ref.Stage, "attempt", c.Ref.Attempt,
		"team", c.Team, "pipeline", c.Pipeline, "reason", res.Reason, "executed", res.Executed, "err", err)
	a.Inc("failed", res.Reason)
}

// upstreamCrashed tells a crash of the upstream from one broken connection: after a
// crash the upstream does not answer, or answers with another boot id.
func (a *Agent) upstreamCrashed() bool {
	ctx, cancel := context.WithTimeout(a.workCtx, probeTimeout)
	defer cancel()
	before := a.bootID.Load()
	asked := time.Now()
	ev, _, err := a.upstream.Load(ctx)
	if err != nil {
		a.admitter.markCold()
		return true
	}
	a.observe(asked, ev)
	return before != nil && *before != ev.Boot
}
