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

// call makes one stage call and hands out its results.
func (sq *stageQueue) call(u fleet.Upstream, ps []batch.Piece[*work], limit time.Duration) {
	began := time.Now()
	results, status, err := sq.qs.send(u, ps, limit)
	if err != nil {
		sq.qs.s.log.Warn("stage call failed", "service", sq.id, "upstream", u.ID, "pieces", len(ps),
			"request", ps[0].Value.order.Request, "took", time.Since(began).String(), "limit", limit.String(), "status", status, "err", err)
		sq.qs.s.incCounter("stage_calls", "outcome", "failed")
	} else {
		sq.qs.s.incCounter("stage_calls", "outcome", "done")
		sq.qs.s.addCounter("stage_pieces", int64(len(ps)))
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	end := batch.Result{Failed: err != nil, Timeout: isTimeout(err), Full: errors.Is(err, errFull), Results: map[fleet.Handle]fleet.Bytes{}}
	var unused []fleet.Handle
	for i, p := range ps {
		end.Reserved += p.Size
		if err != nil {
			sq.again(p, end.Full || !reached(err))
			continue
		}
		r := results[i]
		if r.Handle == "" {
			end.NoRoom = end.NoRoom || r.Reason == platform.FailureNoCapacity
			sq.unmade(p, r.Reason)
			continue
		}
		end.Results[r.Handle] = p.Size
		if !sq.hand(p.Value, r.Handle) {
			unused = append(unused, r.Handle)
		}
	}
	sq.q.Done(time.Now(), u.ID, end)
	sq.giveUp(unused)
	sq.dispatch()
}

// hand gives a result to its job and reports whether it was still wanted.
func (sq *stageQueue) hand(w *work, h fleet.Handle) bool {
	if w.reason != "" || w.made[w.piece] != "" {
		return false
	}
	w.made[w.piece] = h
	if w.left--; w.left == 0 {
		close(w.done)
	}
	return true
}

// unmade handles a piece that the upstream could not make.
func (sq *stageQueue) unmade(p batch.Piece[*work], reason platform.FailureReason) {
	sq.qs.s.incCounter("stage_unmade", "reason", string(reason))
	switch reason {
	case platform.FailureLate:
		sq.fail(p.Value.job, reasonLate)
	case platform.FailureInputGone:
		sq.fail(p.Value.job, reasonGone)
	default:
		sq.again(p, reason == platform.FailureNoCapacity)
	}
}

// again queues a piece once more; rejected says that no work was done on it.
func (sq *stageQueue) again(p batch.Piece[*work], rejected bool) {
	w := p.Value
	if w.reason != "" {
		return
	}
	if !rejected {
		w.tries++
	}
	if w.tries >= maxTries {
		sq.fail(w.job, reasonFailed)
		return
	}
	if !sq.q.Push(time.Now(), p) {
		sq.fail(w.job, reasonBusy)
	}
}

// reached reports whether an upstream may have begun a call that failed.
func reached(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

var errFull = errors.New("the upstream is full")

// send makes one stage call and returns the result of each piece.
func (qs *stageQueues) send(u fleet.Upstream, ps []batch.Piece[*work], limit time.Duration) (rs []platform.StageResult, status int, err error) {
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
	ctx, cancel := context.WithTimeout(context.Background(), max(limit, stageFloor))
	defer cancel()
	resp, err := qs.http.Do(req.WithContext(ctx))
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStageAnswer))
	if err != nil {
		return nil, resp.StatusCode, err
	}
	if resp.StatusCode != http.StatusOK {
		if platform.ParseResponse(resp.StatusCode, resp.Header).NotExecuted && resp.StatusCode != http.StatusMisdirectedRequest {
			return nil, resp.StatusCode, errFull
		}
		return nil, resp.StatusCode, errors.New("stage call refused")
	}
	rs, err = platform.ParseStageResults(data, len(ps))
	return rs, resp.StatusCode, err
}
