package entry

import (
	"bytes"
	"context"
	"errors"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamcove.example/core/budget"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/pace"
	"hornbeamcove.example/core/wire"
)

const (
	// silenceCheckInterval is how often it is checked whether another upstream can take a
	// request whose upstream stays silent.
	silenceCheckInterval = 500 * time.Millisecond
	// silentTime is how long an upstream that was found silent gets requests only if there is
	// no other, unless it is heard from before.
	silentTime = 2 * time.Second
	// maxOverlap is how long two upstreams may have the request of one stream. The platform
	// allows 400 ms from the time at which the second one begins, which may be at once.
	maxOverlap = 300 * time.Millisecond
	// maxQuiet is the silence on all requests of an upstream from which on it is not asked in
	// place of a silent one: it may be silent for the same reason.
	maxQuiet = 500 * time.Millisecond
)

var (
	// errReplaced ends the wait for a silent upstream after another one has begun to answer.
	errReplaced = errors.New("another upstream answers in place of the silent one")
	// errLeft ends the wait for a silent upstream that was left for another one, which then
	// gave no answer.
	errLeft = errors.New("the upstream was silent, and the one asked in its place gave no answer")
)

// silenceWatch is the wait of one attempt for its upstream. A sound upstream may be silent for
// a while, so the attempt is given up only once another upstream has begun to answer, or has
// had the request of a stream for maxOverlap. In the second case the stream may come back.
type silenceWatch struct {
	ctx    context.Context
	x      *exchange
	target *target
	conn   *upstreamConn
	logged string // reason for waiting that was logged last
}

// watchSilence sets how long an attempt waits for bytes of its answer before another
// upstream is asked.
func (x *exchange) watchSilence(ctx context.Context, t *target, c *upstreamConn, wait time.Duration) *silenceWatch {
	w := &silenceWatch{ctx: ctx, x: x, target: t, conn: c}
	c.onSilence = w.onTimeout
	_ = c.SetWriteDeadline(time.Now().Add(x.remaining()))
	w.expect(wait)
	return w
}

// expect sets the wait for the next bytes.
func (w *silenceWatch) expect(wait time.Duration) {
	_ = w.conn.SetReadDeadline(time.Now().Add(min(wait, w.x.remaining())))
	if w.ctx.Err() != nil {
		w.interrupt()
	}
}

// interrupt ends reads and writes that are in progress.
func (w *silenceWatch) interrupt() { _ = w.conn.SetDeadline(time.Unix(1, 0)) }

// onTimeout handles a wait that has passed without a byte. It returns nil to go on waiting,
// errReplaced or errLeft, or the timeout of the request.
func (w *silenceWatch) onTimeout(timeout error) error {
	x := w.x
	if w.ctx.Err() != nil || x.remaining() <= 0 {
		return timeout
	}
	if w.conn.readable() { // not the upstream was late but this router, kept from running
		w.expect(silenceCheckInterval)
		return nil
	}
	w.target.markSilent(time.Now())
	for _, h := range x.hedges {
		if h.state() == hedgeAway {
			x.recordLeft(h.silent.target.ID)
		}
	}
	saved, tried := x.attemptState, slices.Clone(x.tried)
	x.tried = append(x.tried, w.target.ID)
	reason := x.hedgeBlocked()
	w.log(reason)
	outcome := hedgeFailed
	if reason == "" {
		outcome = x.hedge(w)
		x.s.incCounter("hedges", "outcome", string(outcome))
	}
	switch outcome {
	case hedgeReplaced:
		if x.upstream != w.target.ID { // otherwise the stream has come back to it
			x.recordLeft(w.target.ID)
		}
		return errReplaced
	case hedgeLeft:
		x.recordLeft(w.target.ID)
		x.wayBack = w.target.ID
		x.reserved++
		return errLeft
	case hedgeWithdrawn: // nothing is known against the other upstream, which has had the request
		x.tried = tried
		x.recordLeft(x.upstream)
	case hedgeDropped:
		x.tried = tried
	case hedgeFailed:
		x.tried = without(x.tried, w.target.ID)
	}
	x.attemptState = saved
	w.expect(silenceCheckInterval)
	return nil
}

// recordLeft records that the request has left an upstream for its silence, which is no failure.
func (x *exchange) recordLeft(id wire.UpstreamID) {
	x.tried, x.left = without(x.tried, id), append(without(x.left, id), id)
}

// without returns ids, which it changes, without id.
func without(ids []wire.UpstreamID, id wire.UpstreamID) []wire.UpstreamID {
	return slices.DeleteFunc(ids, func(other wire.UpstreamID) bool { return other == id })
}

// hedgeOutcome is how an attempt ended that was made while another one was silent.
type hedgeOutcome string

const (
	hedgeReplaced  hedgeOutcome = "replaced"  // its answer takes the place of that of the silent upstream
	hedgeDropped   hedgeOutcome = "dropped"   // it was cancelled before it was sent, because the silent upstream goes on
	hedgeWithdrawn hedgeOutcome = "withdrawn" // it was cancelled after it was sent, and the silent upstream is still waited for
	hedgeFailed    hedgeOutcome = "failed"    // it had no answer, and the silent upstream is still waited for
	hedgeLeft      hedgeOutcome = "left"      // it had no answer after the silent upstream had been left
)

// log logs and counts what is done about a silence, once for each reason.
func (w *silenceWatch) log(reason string) {
	if reason == "" {
		reason = "asking another"
	}
	if reason == w.logged {
		return
	}
	w.logged = reason
	w.x.s.log.Info("upstream silent", "request", w.x.spec.ID, "upstream", w.target.ID, "silent_ms", w.conn.silence().Milliseconds(),
		"action", reason, "left_ms", w.x.remaining().Milliseconds())
	w.x.s.incCounter("silences", "action", reason)
}

// attemptState is the part of an exchange that belongs to the attempt whose answer is awaited.
type attemptState struct {
	upstream     wire.UpstreamID       // upstream chosen last
	software     fleet.SoftwareVersion // of that upstream
	choiceReason string                // why upstream was chosen, for the log
	choiceLoad   pace.Load             // its load as estimated then, for the log
	choiceKnown  float64               // how far that includes the requests of other routers, from 0 to 1
	// survived is whether the last attempt was answered for so long that the request is not
	// the one that crashes its upstream.
	survived   bool
	progressed bool // whether the answer to the last attempt went on for progressTime
	trial      bool // whether the next attempt may be made although a prompt part is quarantined
}

// hedgeBlocked returns why the request must wait for its silent upstream, or "" if it may be
// sent to another one, for which a retry was taken from the budget.
func (x *exchange) hedgeBlocked() string {
	expected := max(x.s.expectedFirstEvent(x.route), minAttemptTime)
	x.hedging = true
	defer func() { x.hedging = false }()
	other, _ := x.choose(time.Now())
	reason := budget.Hedge{
		Repeatable: x.route.Repeatable(), Runs: x.upstreamsUsed, MaxAttempts: x.route.MaxAttempts, MayReturn: len(x.left) > 0, Sends: x.sends - x.returns, MaxSends: maxResends + 1,
		Remaining: x.remaining(), Expected: expected, HasOther: other != nil && x.choiceReason != choiceExcluded,
	}.Blocked()
	if reason != "" {
		return reason
	}
	if _, ok := x.retryBudget.AllowHedge(x.remaining(), expected); !ok {
		return "budget"
	}
	return ""
}

// hedgeState is how far a hedge is.
type hedgeState int32

const (
	hedgeOpen      hedgeState = iota // it is cancelled if the silent upstream goes on
	hedgeSent                        // it is a stream that was sent, which the other upstream may have begun
	hedgeOver                        // it has ended
	hedgeCancelled                   // it was cancelled, the silent upstream is kept
	hedgeAway                        // the silent upstream was left
)

// hedge is an attempt that is made while the upstream of another one is silent.
type hedge struct {
	x       *exchange
	silent  *silenceWatch
	now     atomic.Int32 // a hedgeState
	cancel  context.CancelFunc
	overlap *time.Timer // runs endOverlap
}

func (h *hedge) state() hedgeState { return hedgeState(h.now.Load()) }

// move changes the state to another one, if it is one of from, and reports whether it was.
func (h *hedge) move(to hedgeState, from ...hedgeState) bool {
	return slices.ContainsFunc(from, func(f hedgeState) bool { return h.now.CompareAndSwap(int32(f), int32(to)) })
}

// drop cancels the hedge because the silent upstream goes on.
func (h *hedge) drop() {
	if h.move(hedgeCancelled, hedgeOpen) {
		h.cancel()
	}
}

// recordSend records that a stream is sent to another upstream, which may begin it at once.
func (h *hedge) recordSend(t *target) {
	x := h.x
	x.s.log.Info("stream sent in place of a silent upstream", "request", x.spec.ID, "upstream", h.silent.target.ID, "other", t.ID,
		"load", rounded(x.choiceLoad.Requests), "known", rounded(x.choiceKnown), "slots", t.Slots)
	if h.move(hedgeSent, hedgeOpen) {
		h.overlap.Reset(maxOverlap)
	}
}

// endOverlap gives one of two upstreams up that must not work on one stream: the silent one if the stream
// could come back to it, for which a retry is reserved, and otherwise the other one, since it may still reject
// the stream.
func (h *hedge) endOverlap() {
	if !h.x.mayReturn(h.silent.target) || !h.x.retryBudget.Reserve() {
		if h.move(hedgeCancelled, hedgeSent) {
			h.log("silent upstream kept")
			h.cancel()
		}
		return
	}
	if !h.move(hedgeAway, hedgeSent) {
		h.x.retryBudget.GiveBack()
		return
	}
	h.log("silent upstream left")
	h.silent.conn.abort()
}

func (h *hedge) log(msg string) {
	h.x.s.log.Info(msg, "request", h.x.spec.ID, "upstream", h.silent.target.ID)
}

// mayReturn reports whether the request may be sent again to an upstream that has it: one that drains or has
// left gets no requests. It is safe for concurrent use.
func (x *exchange) mayReturn(t *target) bool {
	return !x.s.notices.Leaving(time.Now(), t.Upstream) &&
		slices.ContainsFunc(x.s.view.Load().Upstreams[x.svc.ID], func(u fleet.Upstream) bool { return u.ID == t.ID && u.SameRun(t.Upstream) })
}

// hedge makes another attempt while the upstream of w is silent. If that goes on before the
// other attempt is sent, or before it is answered if it is no stream, the other attempt is
// cancelled. A stream that was sent has both upstreams for maxOverlap, see endOverlap.
func (x *exchange) hedge(w *silenceWatch) hedgeOutcome {
	ctx, cancel := context.WithCancel(w.ctx) // ends with w.ctx if the attempt is answered
	h := &hedge{x: x, silent: w, cancel: cancel}
	outer, sends := x.onSend, x.sends
	x.hedges = append(x.hedges, h)
	defer func() { x.onSend, x.hedges = outer, x.hedges[:len(x.hedges)-1] }()
	x.onSend = nil
	if x.route.Kind == fleet.Stream {
		h.overlap = time.AfterFunc(time.Hour, h.endOverlap)
		defer h.overlap.Stop()
		x.onSend = h.recordSend
	}
	w.expect(x.remaining())
	heard := make(chan struct{})
	go func() {
		defer close(heard)
		if w.conn.awaitProgress() {
			h.drop()
		}
	}()
	x.hedging = true
	answered := x.attemptElsewhere(ctx)
	x.hedging = false
	h.move(hedgeOver, hedgeOpen, hedgeSent)
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-heard
	state := h.state()
	if answered && state == hedgeAway {
		x.retryBudget.GiveBack()
	}
	switch {
	case answered && state != hedgeCancelled:
		return hedgeReplaced
	case answered:
		x.dropReplacement()
	}
	cancel()
	switch {
	case state == hedgeAway:
		return hedgeLeft
	case state == hedgeCancelled && x.sends > sends:
		return hedgeWithdrawn
	case state == hedgeCancelled:
		return hedgeDropped
	}
	return hedgeFailed
}

// maxPeekedBytes limits the bytes that awaitProgress looks at. More of them count as progress.
const maxPeekedBytes = 16 << 10

// awaitProgress waits until an empty line has arrived, as after a head or an event, or the end of an
// answer that has none, without reading anything, and reports whether one has. An upstream in
// trouble may send single bytes that never make up an event. It returns false at its read
// deadline, and at the end of the connection if that ends no answer.
func (c *upstreamConn) awaitProgress() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	buf := make([]byte, maxPeekedBytes)
	found := false
	err = raw.Read(func(fd uintptr) bool {
		n, _, e := unix.Recvfrom(int(fd), buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(e, unix.EAGAIN) {
			return false
		}
		found = n == len(buf) || n > 0 && hasEmptyLine(buf[:n]) || c.due > 0 && int64(n) >= c.due || c.unframed && isCloseWait(fd)
		return found || n <= 0
	})
	return err == nil && found
}

func hasEmptyLine(b []byte) bool {
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n"))
}

// read reads from the connection. When the read deadline has passed, onSilence decides whether
// to go on.
func (c *upstreamConn) read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.due = max(c.due-int64(n), 0)
			c.heardAt = time.Now()
			if c.target != nil {
				c.target.heardAt.Store(c.heardAt.UnixNano())
			}
			return n, err
		}
		if c.onSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err = c.onSilence(err); err != nil {
			return 0, err
		}
	}
}

// silence returns the time since the last byte from the upstream, or since the request was
// written.
func (c *upstreamConn) silence() time.Duration { return time.Since(c.heardAt) }

// markSilent records that an attempt has waited for the upstream without an answer.
func (t *target) markSilent(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentAt = now
}

// silent reports whether the upstream was found silent and has not been heard from since. The
// caller holds mu.
func (t *target) silent(now time.Time) bool {
	return now.Before(t.silentAt.Add(silentTime)) && t.heardAt.Load() < t.silentAt.UnixNano()
}

// recordReplaced records that a request of the upstream, last heard of at the given time, was
// answered by another one. A silence of the whole upstream is one failure, however many
// requests waited for it, and another one for requests that are sent after that. One of a
// single request is a failure of its own.
func (t *target) recordReplaced(now, requestHeardAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heardAt.Load() <= requestHeardAt.UnixNano() {
		if !requestHeardAt.After(t.silenceCountedAt) {
			return
		}
		t.silenceCountedAt = now
	}
	t.outlier.RecordFailure(now)
}
