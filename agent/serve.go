package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"hornbeamcove.example/core/hold"
	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

const (
	// heartbeatInterval is the longest time without a frame on the stream of an open
	// call. A router treats 800 ms of silence as a lost session.
	heartbeatInterval = 250 * time.Millisecond
	firstFrameTimeout = 2 * time.Second // wait for the first frame of a new stream
	ackTimeout        = 5 * time.Second // wait for the acknowledgement of a result
	// maxSessions limits the routers served at once; about 9 are expected.
	maxSessions = 256
)

// session is an open session with a router.
type session struct {
	link.Session
	openedAt time.Time
	// wake wakes the session's writer, which then sends a report, a configuration
	// request or both, as the flags below say. Each session has a writer of its own,
	// so that a router that stopped reading does not delay the others.
	wake             chan struct{}
	reportDue        atomic.Bool
	configRequestDue atomic.Bool
	// startMu guards replaced. serveCall holds the read lock while it starts a call,
	// so that no call starts over a session once replaced is set.
	startMu  sync.RWMutex
	replaced bool
}

// acceptLoop accepts and serves sessions until ctx is done or the listener fails.
func (a *Agent) acceptLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		ls, err := a.ln.Accept(ctx)
		if err != nil {
			return
		}
		s := &session{Session: ls, openedAt: time.Now(), wake: make(chan struct{}, 1)}
		if !a.register(s) {
			a.logEvent(log.InfoLevel, "session_refused", "", "session refused", "router", s.Peer().Name, "epoch", s.Peer().Epoch)
			s.Close("a newer session is open, or too many are")
			continue
		}
		wg.Go(func() { a.serveSession(ctx, s) })
	}
}

// register makes s the session of its router's incarnation. It returns false if
// there is one with the same or a newer epoch, or if there is none and maxSessions
// are open. An older session is closed first. None of its calls can start from then
// on, so that "absent" is a final answer for a call that was sent over it.
func (a *Agent) register(s *session) bool {
	a.mu.Lock()
	previous := a.sessions[s.Peer().Incarnation]
	full := previous == nil && len(a.sessions) >= maxSessions
	if full || previous != nil && previous.Peer().Epoch >= s.Peer().Epoch {
		a.mu.Unlock()
		return false
	}
	a.sessions[s.Peer().Incarnation] = s
	a.mu.Unlock()
	if previous != nil {
		previous.closeReplaced()
	}
	return true
}

// closeReplaced closes a session that a newer one has replaced.
func (s *session) closeReplaced() {
	s.startMu.Lock()
	s.replaced = true
	s.startMu.Unlock()
	s.Close("replaced by a newer session")
}

// serveSession serves the streams of s until the session ends.
func (a *Agent) serveSession(ctx context.Context, s *session) {
	ctx, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer func() {
		stop()
		a.mu.Lock()
		if a.sessions[s.Peer().Incarnation] == s {
			delete(a.sessions, s.Peer().Incarnation)
		}
		a.mu.Unlock()
		wg.Wait()
	}()
	wg.Go(func() {
		a.writeControl(s)
		s.Close("control stream broken")
	})
	wg.Go(func() {
		a.readControl(ctx, s)
		s.Close("control stream ended")
	})
	for {
		st, err := s.Accept(ctx)
		if err != nil {
			return
		}
		wg.Go(func() { a.serveStream(ctx, s, st) })
	}
}

// readControl applies the configuration that the router sends. If the session was
// opened after a pause of the process, this also confirms the configuration.
func (a *Agent) readControl(ctx context.Context, s *session) {
	for {
		f, err := s.Control().Recv(ctx)
		if err != nil {
			return
		}
		if f.Sync == nil || len(f.Sync.Objects) > maxObjects {
			a.logDiscard("control frame")
			continue
		}
		a.submit(stateUpdate{objects: f.Sync.Objects, change: func(st *state) { st.confirmedAt = time.Now() }})
		if since := a.unconfirmedSince.Load(); since != nil && s.openedAt.After(*since) {
			a.unconfirmedSince.Store(nil)
		}
	}
}

// writeControl sends the first report, after which the router may send calls, and
// then reports and configuration requests when they are due.
func (a *Agent) writeControl(s *session) {
	err := s.Control().Send(&wire.Frame{Report: a.report()})
	for err == nil {
		select {
		case <-s.wake:
		case <-s.Done():
			return
		}
		if s.configRequestDue.Swap(false) {
			err = s.Control().Send(&wire.Frame{Sync: &wire.Sync{Head: wire.Digest{Head: a.state.Load().latestTicket()}}})
		}
		if err == nil && s.reportDue.Swap(false) {
			// Routers get the cached prefixes with the results of calls. An idle
			// router does not need them.
			err = s.Control().Send(a.heartbeat())
		}
	}
}

// wakeWriter makes the session's writer send what is due.
func (s *session) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// openSessions returns the open sessions in no particular order.
func (a *Agent) openSessions() (out []*session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		out = append(out, s)
	}
	return out
}

// broadcastReport sends the report to all routers.
func (a *Agent) broadcastReport() {
	for _, s := range a.openSessions() {
		s.reportDue.Store(true)
		s.wakeWriter()
	}
}

// requestConfig asks one router, if any is connected, for this agent's part of the
// configuration.
func (a *Agent) requestConfig() {
	for _, s := range a.openSessions() {
		s.configRequestDue.Store(true)
		s.wakeWriter()
		return
	}
}

func (a *Agent) closeSessions(reason string) {
	for _, s := range a.openSessions() {
		s.Close(reason)
	}
}

// serveStream reads the first frame of a stream and serves the request in it.
func (a *Agent) serveStream(ctx context.Context, s *session, st link.Stream) {
	frameCtx, cancel := context.WithTimeout(ctx, firstFrameTimeout)
	f, err := st.Recv(frameCtx)
	cancel()
	if err != nil {
		st.Reset()
		return
	}
	switch {
	case f.Call != nil:
		a.serveCall(ctx, s, st, f.Call)
	case f.Query != nil:
		a.serveQuery(ctx, st, f.Query)
	case f.Reserve != nil:
		a.serveReserve(st)
	default:
		a.logDiscard("first frame of a stream")
		st.Reset()
	}
}

// serveReserve issues a token for a non-repeatable call, or refuses to while the
// agent admits no calls.
func (a *Agent) serveReserve(st link.Stream) {
	defer func() { _ = st.Close() }()
	if reason := refusalReason(a.state.Load()); reason != "" {
		// A refusal must name a call, and a reservation does not belong to one yet.
		ref := wire.Ref{Request: "reservation", Stage: "reservation", Attempt: 1}
		_ = st.Send(&wire.Frame{Refuse: a.logRefusal(a.newRefusal(ref, reason, wire.ExecutedNone))})
		return
	}
	_ = st.Send(&wire.Frame{Reserved: &wire.Reserved{Token: a.callTokens.Reserve()}})
}

// serveCall starts a call, or joins its run if the call is already known, and streams
// the result.
func (a *Agent) serveCall(ctx context.Context, s *session, st link.Stream, c *wire.Call) {
	s.startMu.RLock()
	if s.replaced {
		s.startMu.RUnlock()
		st.Reset()
		return
	}
	if known := a.findRun(c.Ref); known != nil {
		s.startMu.RUnlock()
		a.streamRun(ctx, st, known, 0)
		return
	}
	r, reason := a.start(c)
	s.startMu.RUnlock()
	if r == nil {
		_ = st.Send(&wire.Frame{Refuse: a.logRefusal(a.newRefusal(c.Ref, reason, executedBeforeTokenCheck(c)))})
		_ = st.Close()
		return
	}
	a.streamRun(ctx, st, r, 0)
}

// executedBeforeTokenCheck returns what is known about the execution of a call that
// is refused before its token is checked. An earlier call with the same token may
// have run.
func executedBeforeTokenCheck(c *wire.Call) wire.Executed {
	if c.Once {
		return wire.ExecutedUnknown
	}
	return wire.ExecutedNone
}

// serveQuery answers a query about an earlier call. Older sessions of the same
// router are closed by then, so a call that is unknown here was never accepted.
func (a *Agent) serveQuery(ctx context.Context, st link.Stream, q *wire.Query) {
	if r := a.findRun(q.Ref); r != nil {
		a.streamRun(ctx, st, r, q.Next)
		return
	}
	_ = st.Send(&wire.Frame{Refuse: a.logRefusal(a.newRefusal(q.Ref, wire.ReasonAbsent, wire.ExecutedNone))})
	_ = st.Close()
}

// findRun returns the run of a call that is under way or whose result is held, or
// nil. A call that arrives a second time joins its first run this way.
func (a *Agent) findRun(ref wire.Ref) *run {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.runs[ref]; r != nil {
		return r
	}
	e := a.held.Find(ref)
	if e == nil {
		return nil
	}
	done := make(chan struct{})
	close(done)
	// The call has ended, and Once keeps detach from starting a timer to cancel it.
	return &run{call: &wire.Call{Ref: ref, Once: true}, entry: e, decided: done, cancel: func() {}}
}

// streamRun sends a run's chunks, from number next on, and its result to a router,
// until the router has acknowledged the result.
func (a *Agent) streamRun(ctx context.Context, st link.Stream, r *run, next int) {
	r.attach()
	defer r.detach()
	ctx, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() {
		defer stop()
		a.readCallFrames(ctx, st, r)
	})
	if !a.awaitDecision(ctx, st, r) {
		return
	}
	if r.refusal != nil {
		_ = st.Send(&wire.Frame{Refuse: r.refusal})
		_ = st.Close()
		return
	}
	if st.Send(&wire.Frame{Accept: &wire.Accept{Ref: r.call.Ref}}) != nil {
		return
	}
	if a.forward(ctx, st, r, next) {
		awaitAck(ctx, st)
	}
}

// readCallFrames reads what the router sends on a call's stream: an acknowledgement
// of the result, or a reset, which cancels the call because the caller has given up.
func (a *Agent) readCallFrames(ctx context.Context, st link.Stream, r *run) {
	for {
		f, err := st.Recv(ctx)
		if errors.Is(err, link.ErrReset) {
			r.cancel()
		}
		if err != nil {
			return
		}
		if f.Ack != nil && f.Ack.Ref == r.call.Ref {
			a.held.Ack(f.Ack.Ref)
			return
		}
		a.logDiscard("frame of a call")
	}
}

// awaitDecision sends heartbeats while the call waits for admission. It returns false
// if the stream ends first.
func (a *Agent) awaitDecision(ctx context.Context, st link.Stream, r *run) bool {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.decided:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if st.Send(a.heartbeat()) != nil {
				return false
			}
		}
	}
}

// heartbeat returns a frame that shows a router that the agent is alive: a report
// without the cached prefixes, which make up most of its size.
func (a *Agent) heartbeat() *wire.Frame {
	rep := a.report()
	rep.Prefixes = nil
	rep.Brief = true
	return &wire.Frame{Report: rep}
}

// forward sends chunks from number next on and then the result, with heartbeats in
// between. It reports whether the result was sent.
func (a *Agent) forward(ctx context.Context, st link.Stream, r *run, next int) bool {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, heartbeatInterval)
		c, res, err := r.entry.Next(waitCtx, next)
		cancel()
		var f *wire.Frame
		switch {
		case ctx.Err() != nil:
			return false
		case errors.Is(err, hold.ErrEnded) || errors.Is(err, hold.ErrSequence):
			// The entry will give no more frames. A router that still waits queries
			// the call again.
			st.Reset()
			return false
		case err != nil:
			f = a.heartbeat()
		case c != nil:
			f = &wire.Frame{Chunk: c}
			next++
		default:
			f = &wire.Frame{Result: res}
		}
		if st.Send(f) != nil {
			return false
		}
		if f.Result != nil {
			return true
		}
	}
}

// awaitAck waits until readCallFrames has returned, which ends ctx, but at most
// ackTimeout, and closes the stream.
func awaitAck(ctx context.Context, st link.Stream) {
	select {
	case <-ctx.Done():
	case <-time.After(ackTimeout):
	}
	_ = st.Close()
}
