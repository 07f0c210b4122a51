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
	// orphanTimeout is how long a repeatable call keeps running while no router
	// waits for it. A router that lost its session asks again within this time.
	orphanTimeout = 2 * time.Second
	// resultRetention is how long a call's entry is kept after the call's deadline,
	// so that a call that a router may still ask for is never reported as absent.
	resultRetention = 5 * time.Second
	// probeTimeout limits the load report request by which upstreamCrashed checks
	// the upstream.
	probeTimeout = 200 * time.Millisecond
)

// run is one call from its arrival until its result is stored in the held table.
type run struct {
	call     *wire.Call
	entry    *hold.Entry
	deadline time.Time
	cancel   context.CancelFunc
	decided  chan struct{} // closed when the call is accepted or refused
	refusal  *wire.Refuse  // set before decided is closed if the call is refused

	mu          sync.Mutex
	listeners   int         // streams that deliver the result
	orphanTimer *time.Timer // cancels the run once it has had no listener for orphanTimeout
}

// accept marks the call as accepted.
func (r *run) accept() { close(r.decided) }

// attach registers a stream that delivers the run's result.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners++
	if r.orphanTimer != nil {
		r.orphanTimer.Stop()
	}
}

// detach undoes one attach. A repeatable call without listeners is cancelled
// after orphanTimeout. A non-repeatable call runs to its end, since its result may
// still be requested by token.
func (r *run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners--
	if r.listeners > 0 || r.call.Once {
		return
	}
	r.orphanTimer = time.AfterFunc(orphanTimeout, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.listeners == 0 {
			r.cancel()
		}
	})
}

// start registers a call and begins to execute it. If two calls with the same
// reference arrive at once, the second is refused as malformed.
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
	ctx, cancel := context.WithDeadline(a.callCtx, deadline)
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

// execute runs a call to its end. A non-repeatable call first claims its token: it
// waits for a running call with the same token, and takes over the result of a
// finished one.
func (a *Agent) execute(ctx context.Context, r *run) {
	if !r.call.Once {
		a.admit(ctx, r)
		return
	}
	for {
		claim := a.callTokens.Consume(r.call.Token, r.call.Print)
		switch claim.State {
		case once.Fresh:
			a.admit(ctx, r)
		case once.Running:
			select {
			case <-claim.Wait:
				continue
			case <-ctx.Done():
				a.refuse(r, wire.ReasonUnknown, wire.ExecutedUnknown)
			}
		case once.Finished:
			a.replay(r, claim.Result)
		case once.Mismatch:
			// The token was used with another request body, which may have run.
			a.refuse(r, wire.ReasonMismatch, wire.ExecutedUnknown)
		default:
			// The token was issued by another run of the agent or its record was
			// dropped, so whether the call ran is unknown.
			a.refuse(r, wire.ReasonSpent, wire.ExecutedUnknown)
		}
		return
	}
}

// replay answers with the result of an earlier call with the same token. The cost
// is left out because it was reported with the first answer.
func (a *Agent) replay(r *run, first *wire.Result) {
	res := *first
	res.Ref = r.call.Ref
	res.Cost = wire.Cost{}
	r.accept()
	r.entry.Finish(&res)
}

// admit waits for admission and calls the upstream, or refuses the call. A refused
// call gives its token back, since it did not run.
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

// refuse refuses r and ends its entry in the held table.
func (a *Agent) refuse(r *run, reason wire.Reason, ex wire.Executed) {
	r.refusal = a.logRefusal(a.newRefusal(r.call.Ref, reason, ex))
	// An acknowledged entry is removed as soon as it has a result. Without the
	// acknowledgement it would occupy the table and delay a drain until after the
	// call's deadline.
	a.held.Ack(r.call.Ref)
	r.entry.Finish(&wire.Result{Ref: r.call.Ref, Outcome: wire.OutcomeFailed, Executed: ex, Reason: reason})
	close(r.decided)
}

func (a *Agent) newRefusal(ref wire.Ref, reason wire.Reason, ex wire.Executed) *wire.Refuse {
	return &wire.Refuse{Ref: ref, Reason: reason, Executed: ex, Retry: a.retryAfter(reason), Report: a.report()}
}

// callUpstream sends an admitted call to the upstream and stores its chunks and
// its result in the held table.
func (a *Agent) callUpstream(ctx context.Context, r *run, estimate int64) {
	start := time.Now()
	chunks := 0
	emit := func(text []byte) error {
		err := r.entry.Append(&wire.Chunk{Ref: r.call.Ref, Number: chunks, Data: append([]byte(nil), text...)})
		chunks++
		return err
	}
	ans, err := a.upstream.Run(withSendCheck(ctx, a.checkSend), r.call, emit)
	res := &wire.Result{
		Ref: r.call.Ref, Outcome: wire.OutcomeDone, Executed: wire.ExecutedSome, Reason: wire.ReasonUpstream,
		Chunks: chunks, Output: ans.Output, Cost: ans.Cost.Clamped(),
	}
	sample := limit.Sample{Latency: time.Since(start), Units: units(r.call, ans.Cost.Output)}
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
	// Other goroutines read res from here on.
	if r.call.Once {
		a.recordOutcome(r.call.Token, res)
	}
	r.entry.Finish(res)
	a.notifyResult(r.call, res, sample.Latency)
}

// checkSend returns an error if the process may have been paused since the call
// was admitted, so that the call must not be sent.
func (a *Agent) checkSend() error {
	if a.configStale(time.Now()) {
		return &UpstreamError{Err: errStaleConfig}
	}
	return nil
}

// units returns the amount of work by which the limiter compares latencies: for an
// engine the generated tokens, since answers differ in length, otherwise 1.
func units(c *wire.Call, tokens wire.Tokens) int64 {
	if c.Kind != wire.KindGenerate {
		return 1
	}
	return int64(tokens)
}

// recordOutcome records how the non-repeatable call with token t ended. A call that
// did not run gives its token back; one that may have run and failed has no result
// to replay.
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

// recordFailure fills in res for a call that failed with err, logs the failure and
// counts it.
func (a *Agent) recordFailure(c *wire.Call, res *wire.Result, err error) {
	res.Outcome = wire.OutcomeFailed
	res.Output = nil
	res.Wasted = true
	if c.Once {
		// The call may have had its effect before it failed.
		res.Executed = wire.ExecutedUnknown
	}
	var ue *UpstreamError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		res.Reason = wire.ReasonDeadline
	case errors.Is(err, context.Canceled) && a.callCtx.Err() != nil:
		// A router may retry a call that the stop cut off, unlike one that its caller
		// cancelled.
		res.Reason = wire.ReasonUnknown
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

// upstreamCrashed tells a crash of the upstream from a single broken connection.
// After a crash the upstream does not answer, or reports another boot ID.
func (a *Agent) upstreamCrashed() bool {
	ctx, cancel := context.WithTimeout(a.workCtx, probeTimeout)
	defer cancel()
	previous := a.bootID.Load()
	requestedAt := time.Now()
	report, _, err := a.upstream.Load(ctx)
	if err != nil {
		a.admitter.markCold()
		return true
	}
	a.observe(requestedAt, report)
	return previous != nil && *previous != report.Boot
}
