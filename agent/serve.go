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
	// call; a router treats 800 ms of silence as a lost session.
	heartbeatInterval = 250 * time.Millisecond
	firstFrameTimeout = 2 * time.Second
	ackTimeout        = 5 * time.Second
	// maxSessions bounds routers served at once; about 9 are expected.
	maxSessions = 256
)

// session is one router's connection.
type session struct {
	link.Session
	openedAt time.Time
	// pending holds what the session's writer has to send: a report, a question for
	// the configuration, or both. A router that stopped reading delays no other.
	pending          chan struct{}
	reportDue        atomic.Bool
	configRequestDue atomic.Bool
	// closed is set under admit's read lock before the session is replaced, so
	// that no call of a replaced session starts afterwards.
	startMu sync.RWMutex
	closed  bool
}

func (a *Agent) acceptLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		ls, err := a.ln.Accept(ctx)
		if err != nil {
			return
		}
		s := &session{Session: ls, openedAt: time.Now(), pending: make(chan struct{}, 1)}
		if !a.register(s) {
			a.logEvent(log.InfoLevel, "session_refused", "", "session refused", "router", s.Peer().Name, "epoch", s.Peer().Epoch)
			s.Close("a newer session is open, or too many are")
			continue
		}
		wg.Go(func() { a.serveSession(ctx, s) })
	}
}

// register makes s the session of its router's incarnation. Older ones are
// closed first: from then on none of their calls can start, so that "absent" is
// final for a call that was sent over one of them.
func (a *Agent) register(s *session) bool {
	a.mu.Lock()
	old := a.sessions[s.Peer().Incarnation]
	full := old == nil && len(a.sessions) >= maxSessions
	if full || old != nil && old.Peer().Epoch >= s.Peer().Epoch {
		a.mu.Unlock()
		return false
	}
	a.sessions[s.Peer().Incarnation] = s
	a.mu.Unlock()
	if old != nil {
		old.closeReplaced()
	}
	return true
}

func (s *session) closeReplaced() {
	s.startMu.Lock()
	s.closed = true
	s.startMu.Unlock()
	s.Close("replaced by a newer session")
}

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

// readControl merges the configuration that the router sends.
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

// writeControl sends the first report, which opens the session for work, and then
// what is due.
func (a *Agent) writeControl(s *session) {
	err := s.Control().Send(&wire.Frame{Report: a.report()})
	for err == nil {
		select {
		case <-s.pending:
		case <-s.Done():
			return
		}
		if s.configRequestDue.Swap(false) {
			err = s.Control().Send(&wire.Frame{Sync: &wire.Sync{Head: wire.Digest{Head: a.state.Load().latestTicket()}}})
		}
		if err == nil && s.reportDue.Swap(false) {
			// Prefixes ride on the answers of calls; an idle router needs none.
			err = s.Control().Send(a.heartbeat())
		}
	}
}

// wakeWriter lets the session's writer run.
func (s *session) wakeWriter() {
	select {
	case s.pending <- struct{}{}:
	default:
	}
}

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

// requestConfig asks one router for the slice of the configuration.
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

func (a *Agent) serveStream(ctx context.Context, s *session, st link.Stream) {
	first, cancel := context.WithTimeout(ctx, firstFrameTimeout)
	f, err := st.Recv(first)
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

func (a *Agent) serveReserve(st link.Stream) {
	defer func() { _ = st.Close() }()
	if reason := refusalReason(a.state.Load()); reason != "" {
		ref := wire.Ref{Request: "reservation", Stage: "reservation", Attempt: 1}
		_ = st.Send(&wire.Frame{Refuse: a.logRefusal(a.newRefusal(ref, reason, wire.ExecutedNone))})
		return
	}
	_ = st.Send(&wire.Frame{Reserved: &wire.Reserved{Token: a.callTokens.Reserve()}})
}

func (a *Agent) serveCall(ctx context.Context, s *session, st link.Stream, c *wire.Call) {
	s.startMu.RLock()
	if s.closed {
		s.startMu.RUnlock()
		st.Reset()
		return
	}
	if e := a.findRun(c.Ref); e != nil {
		s.startMu.RUnlock()
		a.streamRun(ctx, st, e, 0)
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

// executedBeforeTokenCheck is how much of a call ran that was refused before its token was looked
// at: an earlier call under the same token may have run.
func executedBeforeTokenCheck(c *wire.Call) wire.Executed {
	if c.Once {
		return wire.ExecutedUnknown
	}
	return wire.ExecutedNone
}

// serveQuery answers what became of a call. Older sessions of the same router
// are closed by now, so a call that is unknown here was never accepted.
func (a *Agent) serveQuery(ctx context.Context, st link.Stream, q *wire.Query) {
	if r := a.findRun(q.Ref); r != nil {
		a.streamRun(ctx, st, r, q.Next)
		return
	}
	_ = st.Send(&wire.Frame{Refuse: a.logRefusal(a.newRefusal(q.Ref, wire.ReasonAbsent, wire.ExecutedNone))})
	_ = st.Close()
}

// findRun returns the run of a call that is under way or whose result is held, or
// nil. A call that arrives twice joins its first run.
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
	return &run{call: &wire.Call{Ref: ref, Once: true}, entry: e, decided: done, cancel: func() {}}
}

// streamRun delivers a run to a router from chunk next on, until the router has
// acknowledged the result.
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

// readCallFrames reads what the router sends on a call's stream: its acknowledgement,
// or a reset when the caller gave up.
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

// awaitDecision sends reports while the call waits for admission.
func (a *Agent) awaitDecision(ctx context.Context, st link.Stream, r *run) bool {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-r.decided:
			return true
		case <-ctx.Done():
			return false
		case <-beat.C:
			if st.Send(a.heartbeat()) != nil {
				return false
			}
		}
	}
}

// heartbeat shows a router that an open call is alive. It leaves out the cached
// prefixes, which make up most of a report.
func (a *Agent) heartbeat() *wire.Frame {
	rep := a.report()
	rep.Prefixes = nil
	rep.Brief = true
	return &wire.Frame{Report: rep}
}

func (a *Agent) forward(ctx context.Context, st link.Stream, r *run, next int) bool {
	for {
		wait, cancel := context.WithTimeout(ctx, heartbeatInterval)
		c, res, err := r.entry.Next(wait, next)
		cancel()
		var f *wire.Frame
		switch {
		case ctx.Err() != nil:
			return false
		case errors.Is(err, hold.ErrEnded) || errors.Is(err, hold.ErrSequence):
			// Nothing more will come; a router that still listens asks again.
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

// awaitAck waits until the reading side has ended.
func awaitAck(ctx context.Context, st link.Stream) {
	select {
	case <-ctx.Done():
	case <-time.After(ackTimeout):
	}
	_ = st.Close()
}
