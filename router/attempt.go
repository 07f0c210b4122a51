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
	// silenceLimit is the time without a frame on an open call after which its
	// session counts as lost; agents send one at least every 250 ms.
	silenceLimit = 800 * time.Millisecond
	// resumeLimit bounds the wait for a new session when the call may be run
	// elsewhere instead; a dead host never opens one.
	resumeLimit = 300 * time.Millisecond
	// verdictMargin is the part of a stage's time that is left for the agent's word
	// on a call that ran out of time, with its cost.
	verdictMargin = 50 * time.Millisecond
	// verdictGrace is the time beyond the stage's budget for which the router
	// waits for the agent's own word on what became of the call.
	verdictGrace = 250 * time.Millisecond
)

// outcome is what became of one attempt.
type outcome struct {
	result   *wire.Result // for an attempt that the upstream was given
	reason   wire.Reason  // empty when done
	executed wire.Executed
	late     bool // given up before its result came; the cost is collected
	report   *wire.Report
	upstream wire.UpstreamID
	absent   bool // the agent never saw the call, nor its token
}

func (o *outcome) done() bool { return o.reason == "" }

// attempt is one call to one agent, over one or more sessions.
type attempt struct {
	r        *Router
	link     *agentLink
	call     *wire.Call
	emit     func([]byte) error
	inc      wire.Incarnation // of the agent that was sent the call
	next     int              // next chunk
	accepted bool
	shown    *bool     // whether any text has reached the caller
	until    time.Time // after it the agent may have forgotten the call
}

// errLost means that the session was lost before the outcome was known.
var errLost = errors.New("session lost")

const (
	// collectLimit is the time for which an agent keeps the result of a call
	// beyond its deadline; after it the cost can't be had.
	collectLimit = 5 * time.Second
	// maxCollecting bounds the abandoned calls whose cost is still awaited.
	maxCollecting = 1024
)

// collect asks an agent for the result of an abandoned call, and passes it to
// book. The drain waits for it. A cost that can't be had is counted.
func (r *Router) collect(l *agentLink, ref wire.Ref, book func(*wire.Result)) {
	if r.collecting.Add(1) > maxCollecting {
		r.collecting.Add(-1)
		r.Inc("cost_lost", wire.ReasonOverload)
		return
	}
	go func() {
		defer r.collecting.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), collectLimit)
		defer cancel()
		res, err := l.result(ctx, ref)
		for errors.Is(err, errLost) && ctx.Err() == nil {
			res, err = l.result(ctx, ref)
		}
		switch {
		case err != nil:
			r.Inc("cost_lost", wire.ReasonUnknown)
		case res != nil:
			book(res)
		}
	}()
}

// result returns the result of a call, or nil when the agent never accepted it. It
// returns errLost when the session was lost before the agent answered.
func (l *agentLink) result(ctx context.Context, ref wire.Ref) (*wire.Result, error) {
	sess, err := l.await(ctx, nil)
	if err != nil {
		return nil, err
	}
	st, err := sess.Open(ctx)
	if err != nil {
		return nil, errLost
	}
	defer func() { _ = st.Close() }()
	if st.Send(&wire.Frame{Query: &wire.Query{Ref: ref}}) != nil {
		return nil, errLost
	}
	for {
		f, err := recv(ctx, st)
		switch {
		case errors.Is(err, link.ErrReset) || errors.Is(err, io.EOF):
			return nil, err // the agent has nothing more to say of the call
		case err != nil:
			sess.Close("no answer on an open query")
			return nil, errLost
		case f.Refuse != nil:
			return nil, nil
		case f.Result != nil && f.Result.Ref == ref:
			_ = st.Send(&wire.Frame{Ack: &wire.Ack{Ref: ref}})
			return f.Result, nil
		}
	}
}

// try sends a call and follows it until its outcome is known or ctx is done.
// When the session is lost it asks for the outcome over a new one. shown is set
// by emit when text has reached the caller.
func (r *Router) try(ctx context.Context, l *agentLink, c *wire.Call, emit func([]byte) error, shown *bool) outcome {
	left := time.Duration(c.Left) * time.Millisecond
	a := &attempt{r: r, link: l, call: c, emit: emit, shown: shown, until: time.Now().Add(left)}
	ctx, cancel := context.WithTimeout(ctx, left+verdictGrace)
	defer cancel()
	sess, _ := l.session()
	if sess == nil {
		return outcome{reason: wire.ReasonUnavailable, executed: wire.ExecutedNone}
	}
	a.inc = sess.Peer().Incarnation
	st, err := sess.Open(ctx)
	if err != nil {
		return outcome{reason: wire.ReasonUnavailable, executed: wire.ExecutedNone}
	}
	out, err := a.follow(ctx, st, &wire.Frame{Call: c})
	for err != nil {
		sess.Close("no answer on an open call")
		r.logEvent(log.WarnLevel, "session_lost", "", "session lost under a call", "upstream", l.up, "request", c.Ref.Request, "stage", c.Ref.Stage)
		if sess, err = a.resume(ctx, sess); err != nil {
			out = a.unknown(ctx)
			out.late = true
			return out
		}
		if sess.Peer().Incarnation != a.inc {
			// The agent that knew the cost is gone.
			r.Inc("cost_lost", wire.ReasonUnknown)
			return a.unknown(ctx)
		}
		out, err = a.ask(ctx, sess)
	}
	return out
}

// ask asks for the outcome of the call over a new session. It returns errLost
// when that session broke too.
func (a *attempt) ask(ctx context.Context, sess link.Session) (outcome, error) {
	st, err := sess.Open(ctx)
	if err != nil {
		return outcome{}, errLost
	}
	return a.follow(ctx, st, &wire.Frame{Query: &wire.Query{Ref: a.call.Ref, Next: a.next}})
}

// resume waits for a new session to the agent. The wait is short only for a call
// that can be retried elsewhere, which one whose text the caller has seen can't.
func (a *attempt) resume(ctx context.Context, old link.Session) (link.Session, error) {
	if !a.call.Once && !*a.shown {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, resumeLimit)
		defer cancel()
	}
	return a.link.await(ctx, old)
}

// unknown is the outcome of a call that was sent and cannot be asked after.
func (a *attempt) unknown(ctx context.Context) outcome {
	o := outcome{reason: wire.ReasonUnknown, executed: wire.ExecutedUnknown}
	if a.accepted && !a.call.Once {
		o.executed = wire.ExecutedSome
	}
	if ctx.Err() != nil {
		o.reason = wire.ReasonDeadline
	}
	return o
}

// follow sends the first frame and reads the answer. It returns errLost when the
// session broke or went silent.
func (a *attempt) follow(ctx context.Context, st link.Stream, first *wire.Frame) (o outcome, err error) {
	if st.Send(first) != nil {
		return o, errLost
	}
	for {
		f, err := recv(ctx, st)
		if err != nil {
			return a.broken(ctx, st)
		}
		o, ended, err := a.take(st, f)
		if err != nil {
			return a.abandon(st, wire.ReasonCancelled), nil
		}
		if ended {
			return o, nil
		}
	}
}

// recv waits for a frame for at most silenceLimit.
func recv(ctx context.Context, st link.Stream) (*wire.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	return st.Recv(ctx)
}

// broken tells a caller that gave up or ran out of time from a lost session.
func (a *attempt) broken(ctx context.Context, st link.Stream) (outcome, error) {
	if ctx.Err() == nil {
		return outcome{}, errLost
	}
	return a.abandon(st, wire.ReasonDeadline), nil
}

// abandon gives up a call whose caller waits no longer; its cost is collected
// from the agent afterwards.
func (a *attempt) abandon(st link.Stream, reason wire.Reason) outcome {
	st.Reset()
	o := a.ended(reason)
	o.late = true
	return o
}

func (a *attempt) ended(reason wire.Reason) outcome {
	o := outcome{reason: reason, executed: wire.ExecutedUnknown}
	if a.accepted && !a.call.Once {
		o.executed = wire.ExecutedSome
	}
	return o
}

// take handles one frame. Frames of another call are dropped and counted.
func (a *attempt) take(st link.Stream, f *wire.Frame) (o outcome, ended bool, err error) {
	switch {
	case f.Report != nil:
		a.link.observe(f.Report)
	case f.Accept != nil && f.Accept.Ref == a.call.Ref:
		a.accepted = true
	case f.Refuse != nil && f.Refuse.Ref == a.call.Ref:
		return a.refused(f.Refuse), true, nil
	case f.Chunk != nil && f.Chunk.Ref == a.call.Ref && f.Chunk.Number == a.next:
		a.next++
		return o, false, a.emit(f.Chunk.Data)
	case f.Result != nil && f.Result.Ref == a.call.Ref && f.Result.Chunks == a.next:
		_ = st.Send(&wire.Frame{Ack: &wire.Ack{Ref: a.call.Ref}})
		_ = st.Close()
		return a.finished(f.Result), true, nil
	default:
		a.r.logEvent(log.WarnLevel, "discarded", wire.ReasonMismatch, "frame dropped", "upstream", a.link.up, "request", a.call.Ref.Request, "stage", a.call.Ref.Stage)
	}
	return o, false, nil
}

func (a *attempt) refused(f *wire.Refuse) outcome {
	a.link.observe(f.Report)
	o := outcome{reason: f.Reason, executed: f.Executed, report: f.Report}
	// The agent forgets a call some time after its deadline; from then on
	// "absent" proves nothing.
	switch {
	case f.Reason != wire.ReasonAbsent:
	case a.accepted || time.Now().After(a.until):
		o.reason, o.executed = wire.ReasonUnknown, wire.ExecutedUnknown
	default:
		o.reason, o.absent = wire.ReasonUnavailable, true
	}
	return o
}

func (a *attempt) finished(res *wire.Result) outcome {
	a.link.observe(res.Report)
	o := outcome{result: res, executed: res.Executed}
	if res.Outcome == wire.OutcomeFailed {
		o.reason = res.Reason
	}
	return o
}
