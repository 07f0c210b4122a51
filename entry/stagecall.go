package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

// stageCall is a stage call that may still be answered. The mu of its queue guards overdue.
type stageCall struct {
	upstream fleet.Upstream
	pieces   []batch.Piece[*pieceWork]
	timeout  time.Duration // time after which the call is overdue
	overdue  bool          // whether timeout has passed
	cancel   context.CancelFunc
}

// deadline returns the time from which nobody needs a result of the call, or the end of its
// timeout if that is later: the upstream is not slow because a piece had little time left.
func (c *stageCall) deadline(now time.Time) time.Time {
	end := now.Add(c.timeout)
	for _, p := range c.pieces {
		end = later(end, p.Deadline)
	}
	return end
}

// needed reports whether a piece of the call is still to be made. The caller holds the
// queue's mu.
func (c *stageCall) needed() bool {
	return slices.ContainsFunc(c.pieces, func(p batch.Piece[*pieceWork]) bool { return p.Value.needed() })
}

// call makes one stage call and delivers each result to its job. Pieces that were not
// made are queued again or fail their job. A call that is not answered within its timeout
// goes on until ctx is done, while other calls may make its pieces too: a sound upstream
// may fall silent for a while, and an answer that is not read leaves its results at the
// upstream until they expire.
func (sq *stageQueue) call(ctx context.Context, c *stageCall) {
	defer c.cancel()
	start := time.Now()
	timer := time.AfterFunc(c.timeout, func() { sq.markOverdue(c) })
	defer timer.Stop()
	u, ps := c.upstream, c.pieces
	results, status, err := sq.qs.send(ctx, u, ps)
	sq.mu.Lock()
	defer sq.mu.Unlock()
	cancelled := errors.Is(err, context.Canceled)
	switch {
	case cancelled:
		sq.qs.s.incCounter("stage_calls", "outcome", "cancelled")
	case err != nil:
		sq.qs.s.log.Warn("stage call failed", "service", sq.id.Service, "queue", sq.id.String(), "upstream", u.ID, "pieces", len(ps),
			"request", ps[0].Value.order.Request, "took", time.Since(start).String(), "limit", c.timeout.String(), "overdue", c.overdue, "status", status, "err", err)
		sq.qs.s.incCounter("stage_calls", "outcome", "failed")
	default:
		sq.qs.s.incCounter("stage_calls", "outcome", "done")
		sq.qs.s.addCounter("stage_pieces", int64(len(ps)))
	}
	sq.calls[u.ID] = slices.DeleteFunc(sq.calls[u.ID], func(other *stageCall) bool { return other == c })
	if len(sq.calls[u.ID]) == 0 {
		delete(sq.calls, u.ID)
	}
	outcome := batch.CallOutcome{Failed: err != nil, Timeout: isTimeout(err), Full: errors.Is(err, errUpstreamFull), Results: map[fleet.Handle]fleet.Bytes{}}
	var unused []fleet.Handle
	for i, p := range ps {
		outcome.Reserved += p.Size
		p.Value.calls--
		if err != nil {
			sq.handleUnmade(c, p, outcome.Full || !mayHaveStarted(err))
			continue
		}
		r := results[i]
		if r.Handle == "" {
			outcome.NoRoom = outcome.NoRoom || r.Reason == platform.FailureNoCapacity
			sq.handleFailure(c, p, r.Reason)
			continue
		}
		outcome.Results[r.Handle] = p.Size
		if !sq.deliver(p.Value, r.Handle) {
			unused = append(unused, r.Handle)
		}
	}
	switch {
	case !c.overdue:
		sq.q.Done(time.Now(), u.ID, outcome)
	case err == nil:
		sq.q.DoneLate(time.Now(), u.ID, outcome.Results)
	}
	sq.queueFrees(unused)
	if err == nil {
		sq.cancelUnneeded(u.ID)
	}
	sq.dispatch()
}

// markOverdue records that a call has not been answered within its timeout, and queues the pieces
// that are still to be made again.
func (sq *stageQueue) markOverdue(c *stageCall) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	if !slices.Contains(sq.calls[c.upstream.ID], c) {
		return // the call has ended meanwhile
	}
	c.overdue = true
	sq.qs.s.log.Info("stage call overdue", "service", sq.id.Service, "queue", sq.id.String(), "upstream", c.upstream.ID, "pieces", len(c.pieces),
		"request", c.pieces[0].Value.order.Request, "limit", c.timeout.String())
	sq.qs.s.incCounter("stage_calls_overdue")
	outcome := batch.CallOutcome{Failed: true, Timeout: true}
	for _, p := range c.pieces {
		outcome.Reserved += p.Size
		sq.requeue(p, false)
	}
	sq.q.Done(time.Now(), c.upstream.ID, outcome)
	sq.dispatch()
}

// cancelUnneeded closes the overdue calls of an upstream that has just answered one, if their
// pieces are all made or have become useless and they wait for their turn: the upstream drops
// them then. The calls whose turn has come end by themselves, so that their results can be
// freed. The caller holds mu.
func (sq *stageQueue) cancelUnneeded(id wire.UpstreamID) {
	calls := sq.calls[id]
	for _, c := range calls[min(sq.q.Slots(), len(calls)):] {
		if c.overdue && !c.needed() {
			c.cancel()
		}
	}
}

// deliver stores a result in its job and reports whether the job still needed it. The
// caller holds mu.
func (sq *stageQueue) deliver(w *pieceWork, h fleet.Handle) bool {
	if !w.needed() {
		return false
	}
	if w.queued {
		w.queued = false
		sq.q.Remove(func(other *pieceWork) bool { return other == w })
	}
	w.handles[w.piece] = h
	if w.remaining--; w.remaining == 0 {
		close(w.done)
	}
	return true
}

// handleFailure handles a piece that the upstream did not make. Depending on the reason,
// it fails the piece's job or requeues the piece. The caller holds mu.
func (sq *stageQueue) handleFailure(c *stageCall, p batch.Piece[*pieceWork], reason platform.FailureReason) {
	sq.qs.s.incCounter("stage_unmade", "reason", string(reason))
	switch reason {
	case platform.FailureLate:
		sq.failJobLocked(p.Value.job, reasonLate)
	case platform.FailureInputGone:
		sq.failJobLocked(p.Value.job, reasonInputGone)
	default:
		sq.handleUnmade(c, p, reason == platform.FailureNoCapacity)
	}
}

// handleUnmade queues a piece again that the call c did not make. The pieces of an overdue
// call were queued again before; their jobs fail if no call is left that may make them. The
// caller holds mu.
func (sq *stageQueue) handleUnmade(c *stageCall, p batch.Piece[*pieceWork], rejected bool) {
	w := p.Value
	switch {
	case !c.overdue:
		sq.requeue(p, rejected)
	case w.needed() && !w.queued && w.calls == 0:
		sq.failJobLocked(w.job, reasonFailed)
	}
}

// requeue queues a piece again if it is still to be made and no longer waits. A rejected
// piece, on which no work was done, does not count as an attempt. The job of a piece that
// can't be queued, or whose queue is gone, fails unless another call may still make the piece.
// The caller holds mu.
func (sq *stageQueue) requeue(p batch.Piece[*pieceWork], rejected bool) {
	w := p.Value
	if !w.needed() || w.queued {
		return
	}
	if !rejected {
		w.attempts++
	}
	reason := reasonFailed
	switch {
	case sq.retired != "":
		reason = sq.retired
	case w.attempts < maxPieceAttempts:
		if w.queued = sq.q.Push(time.Now(), p); w.queued {
			return
		}
		reason = reasonBusy
	}
	if w.calls == 0 {
		sq.failJobLocked(w.job, reason)
	}
}

// mayHaveStarted reports whether an upstream may have begun work on a call that failed
// with err. It has not if the connection could not be made.
func mayHaveStarted(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

var errUpstreamFull = errors.New("upstream rejected the stage call as full")

// send makes one stage call, which ends with ctx, and returns the result of each piece, and the HTTP status or
// 0 if there was no response.
func (qs *stageQueues) send(ctx context.Context, u fleet.Upstream, ps []batch.Piece[*pieceWork]) (rs []platform.StageResult, status int, err error) {
	now := time.Now()
	items := make([]platform.StagePiece, len(ps))
	for i, p := range ps {
		o := &p.Value.order
		items[i] = platform.StagePiece{
			Request: o.Request, Stage: o.Stage, Piece: p.Value.piece,
			Remaining: p.Deadline.Sub(now), Key: o.Key, Inputs: o.Inputs,
		}
	}
	req, err := platform.NewStageRunRequest(u, items)
	if err != nil {
		return nil, 0, err
	}
	resp, err := qs.callClient.Do(req.WithContext(ctx))
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	info := platform.ParseResponse(resp.StatusCode, resp.Header)
	qs.s.recordNotices(u, info, now)
	h, whole, err := readHeld(resp.Body, resp.ContentLength, maxStageResponseBytes, qs.s.heldAnswers)
	defer h.release()
	if err == nil && !whole {
		err = errResponseTooLarge
	}
	if err != nil {
		return nil, resp.StatusCode, err
	}
	if resp.StatusCode != http.StatusOK {
		// A misdirected call is not executed either, but the upstream isn't full.
		if info.NotExecuted && resp.StatusCode != http.StatusMisdirectedRequest {
			return nil, resp.StatusCode, errUpstreamFull
		}
		return nil, resp.StatusCode, errors.New("unexpected HTTP status")
	}
	rs, err = platform.ParseStageResults(h.data, len(ps))
	return rs, resp.StatusCode, err
}
