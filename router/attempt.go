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
	// silenceTimeout is the time without a frame on an open call after which its
	// session counts as lost; agents send one at least every 250 ms.
	silenceTimeout = 800 * time.Millisecond
	// resumeTimeout bounds the wait for a new session when the call may be run
	// elsewhere instead; a dead host never opens one.
	resumeTimeout = 300 * time.Millisecond
	// outcomeMargin is the part of a stage's time that is left for the agent's word
	// on a call that ran out of time, with its cost.
	outcomeMargin = 50 * time.Millisecond
	// outcomeGrace is the time beyond the stage's budget for which the router
	// waits for the agent's own word on what became of the call.
	outcomeGrace = 250 * time.Millisecond
)

// outcome is what became of one attempt.
type outcome struct {
	result        *wire.Result // for an attempt that the upstream was given
	reason        wire.Reason  // empty when done
	executed      wire.Executed
	costPending   bool // given up before its result came; the cost is collected
	report        *wire.Report
	upstream      wire.UpstreamID
	neverReceived bool // the agent never saw the call, nor its token
}

func (o *outcome) done() bool { return o.reason == "" }

// attempt is one call to one agent, over one or more sessions.
type attempt struct {
	r           *Router
	link        *agentLink
	call        *wire.Call
	emit        func([]byte) error
	incarnation wire.Incarnation // of the agent that was sent the call
	nextChunk   int              // next chunk
	accepted    bool
	textSent    *bool     // whether any text has reached the caller
	deadline    time.Time // after it the agent may have forgotten the call
}

// errSessionLost means that the session was lost before the outcome was known.
var errSessionLost = errors.New("session lost")

const (
	// collectTimeout is the time for which an agent keeps the result of a call
	// beyond its deadline; after it the cost can't be had.
	collectTimeout = 5 * time.Second
	// maxCostCollections bounds the abandoned calls whose cost is still awaited.
	maxCostCollections = 1024
)

// collectCost asks an agent for the result of an abandoned call, and passes it to
// book. The drain waits for it. A cost that can't be had is counted.
func (r *Router) collectCost(l *agentLink, ref wire.Ref, book func(*wire.Result)) {
	if r.collecting.Add(1) > maxCostCollections {
		r.collecting.Add(-1)
		r.Inc("cost_lost", wire.ReasonOverload)
		return
	}
	go func() {
		defer r.collecting.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
		defer cancel()
		res, err := l.queryResult(ctx, ref)
		for errors.Is(err, errSessionLost) && ctx.Err() == nil {
			res, err = l.queryResult(ctx, ref)
		}
		switch {
		case err != nil:
			r.Inc("cost_lost", wire.ReasonUnknown)
		case res != nil:
			book(res)
		}
	}()
}

// queryResult returns the result of a call, or nil when the agent never accepted it. It
// returns errSessionLost when the session was lost before the agent answered.
func (l *agentLink) queryResult(ctx context.Context, ref wire.Ref) (*wire.Result, error) {
	sess, err := l.awaitSession(ctx, nil)
	if err != nil {
		return nil, err
	}
	st, err := sess.Open(ctx)
	if err != nil {
		return nil, errSessionLost
	}
	defer func() { _ = st.Close() }()
	if st.Send(&wire.Frame{Query: &wire.Query{Ref: ref}}) != nil {
		return nil, errSessionLost
	}
	for {
		f, err := recv(ctx, st)
		switch {
		case errors.Is(err, link.ErrReset) || errors.Is(err, io.EOF):
			return nil, err // the agent has nothing more to say of the call
		case err != nil:
			sess.Close("no answer on an open query")
			return nil, errSessionLost
		case f.Refuse != nil:
			return nil, nil
		case f.Result != nil && f.Result.Ref == ref:
			_ = st.Send(&wire.Frame{Ack: &wire.Ack{Ref: ref}})
			return f.Result, nil
		}
	}
}

// runAttempt sends a call and follows it until its outcome is known or ctx is done.
// When the session is lost it asks for the outcome over a new one. shown is set
// by emit when text has reached the caller.
func (r *Router) runAttempt(ctx context.Context, l *agentLink, c *wire.Call, emit func([]byte) error, shown *bool) outcome {
	left := time.Duration(c.Left) * time.Millisecond
	a := &attempt{r: r, link: l, call: c, emit: emit, textSent: shown, deadline: time.Now().Add(left)}
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
		r.logEvent(log.WarnLevel, "session_lost", "", "session lost under a call", "upstream", l.upstream, "request", c.Ref.Request, "stage", c.Ref.Stage)
		if sess, err = a.awaitNewSession(ctx, sess); err != nil {
			out = a.unknownOutcome(ctx)
			out.costPending = true
			return out
		}
		if sess.Peer().Incarnation != a.incarnation {
			// The agent that knew the cost is gone.
			r.Inc("cost_lost", wire.ReasonUnknown)
			return a.unknownOutcome(ctx)
		}
		out, err = a.queryOutcome(ctx, sess)
	}
	return out
}

// queryOutcome asks for the outcome of the call over a new session. It returns errSessionLost
// when that session broke too.
func (a *attempt) queryOutcome(ctx context.Context, sess link.Session) (outcome, error) {
	st, err := sess.Open(ctx)
	if err != nil {
		return outcome{}, errSessionLost
	}
	return a.follow(ctx, st, &wire.Frame{Query: &wire.Query{Ref: a.call.Ref, Next: a.nextChunk}})
}

// awaitNewSession waits for a new session to the agent. The wait is short only for a call
// that can be retried elsewhere, which one whose text the caller has seen can't.
func (a *attempt) awaitNewSession(ctx context.Context, old link.Session) (link.Session, error) {
	if !a.call.Once && !*a.textSent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, resumeTimeout)
		defer cancel()
	}
	return a.link.awaitSession(ctx, old)
}

// unknownOutcome is the outcome of a call that was sent and cannot be asked after.
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

// follow sends the first frame and reads the answer. It returns errSessionLost when the
// session broke or went silent.
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

// recv waits for a frame for at most silenceTimeout.
func recv(ctx context.Context, st link.Stream) (*wire.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return st.Recv(ctx)
}

// handleRecvError tells a caller that gave up or ran out of time from a lost session.
func (a *attempt) handleRecvError(ctx context.Context, st link.Stream) (outcome, error) {
	if ctx.Err() == nil {
		return outcome{}, errSessionLost
	}
	return a.abandon(st, wire.ReasonDeadline), nil
}

// abandon gives up a call whose caller waits no longer; its cost is collected
// from the agent afterwards.
func (a *attempt) abandon(st link.Stream, reason wire.Reason) outcome {
	st.Reset()
	o := a.abandonedOutcome(reason)
	o.costPending = true
	return o
}

func (a *attempt) abandonedOutcome(reason wire.Reason) outcome {
	o := outcome{reason: reason, executed: wire.ExecutedUnknown}
	if a.accepted && !a.call.Once {
		o.executed = wire.ExecutedSome
	}
	return o
}

// handleFrame handles one frame. Frames of another call are dropped and counted.
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

func (a *attempt) refusalOutcome(f *wire.Refuse) outcome {
	a.link.observe(f.Report)
	o := outcome{reason: f.Reason, executed: f.Executed, report: f.Report}
	// The agent forgets a call some time after its deadline; from then on
	// "absent" proves nothing.
	switch {
	case f.Reason != wire.ReasonAbsent:
	case a.accepted || time.Now().After(a.deadline):
		o.reason, o.executed = wire.ReasonUnknown, wire.ExecutedUnknown
	default:
		o.reason, o.neverReceived = wire.ReasonUnavailable, true
	}
	return o
}

func (a *attempt) resultOutcome(res *wire.Result) outcome {
	a.link.observe(res.Report)
	o := outcome{result: res, executed: res.Executed}
	if res.Outcome == wire.OutcomeFailed {
		o.reason = res.Reason
	}
	return o
}
