package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/platform"
)

// call makes one stage call and delivers each result to its job. Pieces that were not
// made are queued again or fail their job.
func (sq *stageQueue) call(u fleet.Upstream, ps []batch.Piece[*pieceWork], timeout time.Duration) {
	start := time.Now()
	results, status, err := sq.qs.send(u, ps, timeout)
	if err != nil {
		sq.qs.s.log.Warn("stage call failed", "service", sq.id.Service, "queue", sq.id.String(), "upstream", u.ID, "pieces", len(ps),
			"request", ps[0].Value.order.Request, "took", time.Since(start).String(), "limit", timeout.String(), "status", status, "err", err)
		sq.qs.s.incCounter("stage_calls", "outcome", "failed")
	} else {
		sq.qs.s.incCounter("stage_calls", "outcome", "done")
		sq.qs.s.addCounter("stage_pieces", int64(len(ps)))
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	outcome := batch.CallOutcome{Failed: err != nil, Timeout: isTimeout(err), Full: errors.Is(err, errUpstreamFull), Results: map[fleet.Handle]fleet.Bytes{}}
	var unused []fleet.Handle
	for i, p := range ps {
		outcome.Reserved += p.Size
		if err != nil {
			sq.requeue(p, outcome.Full || !mayHaveStarted(err))
			continue
		}
		r := results[i]
		if r.Handle == "" {
			outcome.NoRoom = outcome.NoRoom || r.Reason == platform.FailureNoCapacity
			sq.handleFailure(p, r.Reason)
			continue
		}
		outcome.Results[r.Handle] = p.Size
		if !sq.deliver(p.Value, r.Handle) {
			unused = append(unused, r.Handle)
		}
	}
	sq.q.Done(time.Now(), u.ID, outcome)
	sq.queueFrees(unused)
	sq.dispatch()
}

// deliver stores a result in its job and reports whether the job still needed it. The
// caller holds mu.
func (sq *stageQueue) deliver(w *pieceWork, h fleet.Handle) bool {
	if w.reason != "" || w.handles[w.piece] != "" {
		return false
	}
	w.handles[w.piece] = h
	if w.remaining--; w.remaining == 0 {
		close(w.done)
	}
	return true
}

// handleFailure handles a piece that the upstream did not make. Depending on the reason,
// it fails the piece's job or requeues the piece. The caller holds mu.
func (sq *stageQueue) handleFailure(p batch.Piece[*pieceWork], reason platform.FailureReason) {
	sq.qs.s.incCounter("stage_unmade", "reason", string(reason))
	switch reason {
	case platform.FailureLate:
		sq.failJobLocked(p.Value.job, reasonLate)
	case platform.FailureInputGone:
		sq.failJobLocked(p.Value.job, reasonInputGone)
	default:
		sq.requeue(p, reason == platform.FailureNoCapacity)
	}
}

// requeue queues a piece again unless its job has ended. A rejected piece, on which no
// work was done, does not count as an attempt. The caller holds mu.
func (sq *stageQueue) requeue(p batch.Piece[*pieceWork], rejected bool) {
	w := p.Value
	if w.reason != "" {
		return
	}
	if !rejected {
		w.attempts++
	}
	if w.attempts >= maxPieceAttempts {
		sq.failJobLocked(w.job, reasonFailed)
		return
	}
	if !sq.q.Push(time.Now(), p) {
		sq.failJobLocked(w.job, reasonBusy)
	}
}

// mayHaveStarted reports whether an upstream may have begun work on a call that failed
// with err. It has not if the connection could not be made.
func mayHaveStarted(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

var errUpstreamFull = errors.New("upstream rejected the stage call as full")

// send makes one stage call and returns the result of each piece, and the HTTP status or
// 0 if there was no response.
func (qs *stageQueues) send(u fleet.Upstream, ps []batch.Piece[*pieceWork], timeout time.Duration) (rs []platform.StageResult, status int, err error) {
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
	ctx, cancel := context.WithTimeout(context.Background(), max(timeout, minStageTimeout))
	defer cancel()
	resp, err := qs.callClient.Do(req.WithContext(ctx))
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	info := platform.ParseResponse(resp.StatusCode, resp.Header)
	qs.s.recordNotices(u, info, now)
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStageResponseBytes))
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
	rs, err = platform.ParseStageResults(data, len(ps))
	return rs, resp.StatusCode, err
}
