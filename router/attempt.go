package router

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

const (
	// silenceTimeout is the time without a frame on an open stream after which its
	// session counts as lost. Agents send a frame at least every 250 ms.
	silenceTimeout = 800 * time.Millisecond
	// resumeTimeout is the wait for a new session after which the call is retried on
	// another replica instead, if one can take it. A host that is down never opens one.
	resumeTimeout = 300 * time.Millisecond
	// outcomeMargin is subtracted from the time that a call is given, so that the agent
	// can still report the outcome and cost of a call that ran out of time.
	outcomeMargin = 50 * time.Millisecond
	// outcomeGrace is the time after the call's timeout for which the router still
	// waits for the agent to report the outcome.
	outcomeGrace = 250 * time.Millisecond
)

// outcome describes how one attempt ended.
type outcome struct {
	result        *wire.Result // set if the agent sent a result, also for a failed attempt
	reason        wire.Reason  // reason of the failure; empty if the attempt succeeded
	executed      wire.Executed
	costPending   bool // whether the cost must be collected, as the attempt was abandoned before its result came
	runsOn        bool // whether the agent may still run the abandoned call, which must be cancelled
	report        *wire.Report
	upstream      wire.UpstreamID
	neverReceived bool // whether the agent never received the call, nor its reservation token
	retryClaimed  bool // whether the attempt was given up for a retry, which the budget has granted
}

// succeeded reports whether the attempt succeeded.
func (o *outcome) succeeded() bool { return o.reason == "" }

// attempt is one call to one agent, over one or more sessions.
type attempt struct {
	r           *Router
	link        *agentLink
	call        *wire.Call
	emit        func([]byte) error // receives generated text; an error cancels the call
	claimRetry  func() bool        // takes a retry on another replica, if one is possible
	incarnation wire.Incarnation   // run of the agent to which the call was sent
	nextChunk   int                // number of the next chunk
	accepted    bool               // whether the agent accepted the call
	textSent    *bool              // whether any text was passed to the caller
	deadline    time.Time          // time after which the agent may have forgotten the call
}

// errSessionLost reports that the session was lost before the outcome was known.
var errSessionLost = errors.New("session lost")

const (
	// collectTimeout bounds the wait for the cost of an abandoned call. An agent
	// keeps a result for this long after the call's deadline.
	collectTimeout = 5 * time.Second
	// maxCostCollections bounds the number of abandoned calls whose cost is awaited.
	maxCostCollections = 1024
)

// errRunCancelled reports that the agent was told to cancel a run.
var errRunCancelled = errors.New("run cancelled")

// collectCost queries an agent for the result of an abandoned call in the background
// and passes it to record. If cancelRun is set, it cancels the run first, as soon as the
// agent is reached. The drain waits for it. Costs that can't be collected are counted as
// cost_lost.
func (r *Router) collectCost(l *agentLink, ref wire.Ref, cancelRun bool, record func(*wire.Result)) {
	if r.costCollections.Add(1) > maxCostCollections {
		r.costCollections.Add(-1)
		r.Inc("cost_lost", wire.ReasonOverload)
		return
	}
	go func() {
		defer r.costCollections.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
		defer cancel()
		res, err := l.queryResult(ctx, ref, cancelRun)
		for (errors.Is(err, errSessionLost) || errors.Is(err, errRunCancelled)) && ctx.Err() == nil {
			cancelRun = cancelRun && !errors.Is(err, errRunCancelled)
			res, err = l.queryResult(ctx, ref, cancelRun)
		}
		switch {
		case err != nil:
			r.Inc("cost_lost", wire.ReasonUnknown)
		case res != nil:
			record(res)
		}
	}()
}

// queryResult queries the agent for the result of a call. The result is nil if the
// agent never accepted the call. The error is errSessionLost if the session was lost
// before the agent answered. If cancelRun is set and the call still runs, queryResult
// cancels it and returns errRunCancelled.
func (l *agentLink) queryResult(ctx context.Context, ref wire.Ref, cancelRun bool) (*wire.Result, error) {
	sess, err := l.awaitSession(ctx, nil)
	if err != nil {
		return nil, err
	}
	st, err := sess.Open(ctx)
	if err != nil {
		return nil, errSessionLost
	}
	end := func() { _ = st.Close() }
	defer func() { end() }()
	if st.Send(&wire.Frame{Query: &wire.Query{Ref: ref}}) != nil {
		return nil, errSessionLost
	}
	for {
		f, err := recv(ctx, st)
		switch {
		case errors.Is(err, link.ErrReset) || errors.Is(err, io.EOF):
			return nil, err // the agent ended the stream: it has no result of the call
		case err != nil:
			sess.Close("no answer on an open query")
			return nil, errSessionLost
		case f.Refuse != nil:
			return nil, nil
		case f.Result != nil && f.Result.Ref == ref:
			_ = st.Send(&wire.Frame{Ack: &wire.Ack{Ref: ref}})
			return f.Result, nil
		case cancelRun:
			// The frame shows that the agent serves the query. A reset before that may
			// overtake the query.
			end = st.Reset
			return nil, errRunCancelled
		}
	}
}

// runAttempt sends a call and follows it until its outcome is known, ctx is done or the
// call's time is over. If the session is lost, it queries the outcome over a new one.
// emit sets *textSent when it passes text to the caller. claimRetry is called while the
// agent can't be reached; if it returns true, the attempt is given up for a retry.
func (r *Router) runAttempt(ctx context.Context, l *agentLink, c *wire.Call, emit func([]byte) error, textSent *bool, claimRetry func() bool) outcome {
	left := time.Duration(c.Left) * time.Millisecond
	a := &attempt{r: r, link: l, call: c, emit: emit, textSent: textSent, claimRetry: claimRetry, deadline: time.Now().Add(left)}
	ctx, cancel := context.WithTimeout(ctx, left+outcomeGrace)
	defer cancel()
	sess, _ := l.session()
	if sess == nil {
		return outcome{reason: wire.ReasonUnavailable, executed: wire.ExecutedNone}
	}
	a.incarnation = sess.Peer().Incarnation
	st, err := sess.Open(ctx)
	if err != nil {
		return outcome{reason: wire.ReasonUnavailable, executed: wire.ExecutedNone}
	}
	out, err := a.follow(ctx, st, &wire.Frame{Call: c})
	for err != nil {
		sess.Close("no answer on an open call")
		r.logEvent(log.WarnLevel, "session_lost", "", "session lost during a call", "upstream", l.upstream, "request", c.Ref.Request, "stage", c.Ref.Stage)
		var claimed bool
		if sess, claimed = a.awaitNewSession(ctx, sess); sess == nil {
			out = a.unknownOutcome(ctx)
			out.costPending, out.retryClaimed, out.runsOn = true, claimed, !c.Once
			return out
		}
		if sess.Peer().Incarnation != a.incarnation {
			// The agent restarted and has lost the cost.
			r.Inc("cost_lost", wire.ReasonUnknown)
			return a.unknownOutcome(ctx)
		}
		out, err = a.queryOutcome(ctx, sess)
	}
	return out
}

// queryOutcome queries the outcome of the call over a new session. It returns
// errSessionLost if that session is lost too.
func (a *attempt) queryOutcome(ctx context.Context, sess link.Session) (outcome, error) {
	st, err := sess.Open(ctx)
	if err != nil {
		return outcome{}, errSessionLost
	}
	return a.follow(ctx, st, &wire.Frame{Query: &wire.Query{Ref: a.call.Ref, Next: a.nextChunk}})
}

// awaitNewSession waits for a session to the agent other than old. The session is nil
// if ctx ends first, or if a retry on another replica was claimed meanwhile. A call that
// can't be retried keeps its wait, since its run may still succeed.
func (a *attempt) awaitNewSession(ctx context.Context, old link.Session) (sess link.Session, claimed bool) {
	for ctx.Err() == nil {
		waitCtx, cancel := context.WithTimeout(ctx, resumeTimeout)
		sess, err := a.link.awaitSession(waitCtx, old)
		cancel()
		if err == nil {
			return sess, false
		}
		if ctx.Err() == nil && a.claimRetry() {
			return nil, true
		}
	}
	return nil, false
}

// unknownOutcome returns the outcome of a call that was sent but whose agent can't be
// queried.
func (a *attempt) unknownOutcome(ctx context.Context) outcome {
	o := outcome{reason: wire.ReasonUnknown, executed: wire.ExecutedUnknown}
	if a.accepted && !a.call.Once {
		o.executed = wire.ExecutedSome
	}
	if ctx.Err() != nil {
		o.reason = wire.ReasonDeadline
	}
	return o
}

// follow sends the first frame and reads frames until the call's outcome is known. It
// returns errSessionLost if the session is lost or silent for silenceTimeout.
func (a *attempt) follow(ctx context.Context, st link.Stream, first *wire.Frame) (o outcome, err error) {
	if st.Send(first) != nil {
		return o, errSessionLost
	}
	for {
		f, err := recv(ctx, st)
		if err != nil {
			return a.handleRecvError(ctx, st)
		}
		o, ended, err := a.handleFrame(st, f)
		if err != nil {
			return a.abandon(st, wire.ReasonCancelled), nil
		}
		if ended {
			return o, nil
		}
	}
}

// recv reads a frame, waiting for at most silenceTimeout.
func recv(ctx context.Context, st link.Stream) (*wire.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return st.Recv(ctx)
}

// handleRecvError returns errSessionLost, or abandons the call if ctx is done.
func (a *attempt) handleRecvError(ctx context.Context, st link.Stream) (outcome, error) {
	if ctx.Err() == nil {
		return outcome{}, errSessionLost
	}
	return a.abandon(st, wire.ReasonDeadline), nil
}

// abandon resets the stream of a call whose caller no longer waits. The cost is
// collected from the agent afterwards.
func (a *attempt) abandon(st link.Stream, reason wire.Reason) outcome {
	st.Reset()
	o := a.abandonedOutcome(reason)
	o.costPending = true
	return o
}

// abandonedOutcome returns the outcome of a call that ended for the given reason
// without the agent reporting how much of it was executed.
func (a *attempt) abandonedOutcome(reason wire.Reason) outcome {
	o := outcome{reason: reason, executed: wire.ExecutedUnknown}
	if a.accepted && !a.call.Once {
		o.executed = wire.ExecutedSome
	}
	return o
}

// handleFrame handles one frame; ended reports whether it was the last one of the
// call. Frames that are out of order or belong to another call are dropped and
// counted. The error is that of emit.
func (a *attempt) handleFrame(st link.Stream, f *wire.Frame) (o outcome, ended bool, err error) {
	switch {
	case f.Report != nil:
		a.link.observe(f.Report)
	case f.Accept != nil && f.Accept.Ref == a.call.Ref:
		a.accepted = true
	case f.Refuse != nil && f.Refuse.Ref == a.call.Ref:
		return a.refusalOutcome(f.Refuse), true, nil
	case f.Chunk != nil && f.Chunk.Ref == a.call.Ref && f.Chunk.Number == a.nextChunk:
		a.nextChunk++
		return o, false, a.emit(f.Chunk.Data)
	case f.Result != nil && f.Result.Ref == a.call.Ref && f.Result.Chunks == a.nextChunk:
		_ = st.Send(&wire.Frame{Ack: &wire.Ack{Ref: a.call.Ref}})
		_ = st.Close()
		return a.resultOutcome(f.Result), true, nil
	default:
		a.r.logEvent(log.WarnLevel, "discarded", wire.ReasonMismatch, "frame dropped", "upstream", a.link.upstream, "request", a.call.Ref.Request, "stage", a.call.Ref.Stage)
	}
	return o, false, nil
}

// refusalOutcome returns the outcome of a call or query that the agent refused.
func (a *attempt) refusalOutcome(refuse *wire.Refuse) outcome {
	a.link.observe(refuse.Report)
	o := outcome{reason: refuse.Reason, executed: refuse.Executed, report: refuse.Report}
	// The agent forgets a call some time after its deadline. From then on "absent"
	// doesn't prove that the call was never received.
	switch {
	case refuse.Reason != wire.ReasonAbsent:
	case a.accepted || time.Now().After(a.deadline):
		o.reason, o.executed = wire.ReasonUnknown, wire.ExecutedUnknown
	default:
		o.reason, o.neverReceived = wire.ReasonUnavailable, true
	}
	return o
}

// resultOutcome returns the outcome of a call whose result has arrived.
func (a *attempt) resultOutcome(res *wire.Result) outcome {
	a.link.observe(res.Report)
	o := outcome{result: res, executed: res.Executed}
	if res.Outcome == wire.OutcomeFailed {
		o.reason = res.Reason
	}
	return o
}
