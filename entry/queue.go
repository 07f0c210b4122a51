package entry

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// maxPieceAttempts bounds the calls for a piece that fail or are overdue.
	maxPieceAttempts = 4
	// freeBatchDelay is the time for which results to free are collected, so that one
	// call to an upstream frees many.
	freeBatchDelay = 20 * time.Millisecond
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// maxStageResponseBytes bounds the response body of a stage call or of a call that
	// frees results.
	maxStageResponseBytes = 1 << 20
	// minStageTimeout is the shortest timeout of a stage call.
	minStageTimeout = 20 * time.Millisecond
)

// Order asks the router that owns a queue to make the pieces of one stage.
type Order struct {
	Request wire.RequestID
	Service fleet.ServiceID
	Shard   shard.ID          // queue that takes the order; zero from routers that don't divide services
	Stage   int               // index of the stage in the route
	Pieces  int               // number of pieces
	Key     string            // input key, for a first stage
	Inputs  []fleet.Handle    // results to read, for a later stage
	Size    fleet.Bytes       // size of one result
	Moved   fleet.Bytes       // traffic between data centres for a piece made outside Centre
	Centre  wire.DataCentreID // data centre that reads the results
	Rank    int               // priority among pieces that miss their aim; lower goes first
	Aim     time.Duration     // time until the results miss the latency target
	Left    time.Duration     // time until the results are useless
	Late    bool              // whether the pieces yield to all that can be made before their aim
	Resumed bool              // whether the pieces are for a stream that its caller takes up again
	Bound   time.Duration     // queueing time beyond which less urgent orders give way, 0 if none do
	Team    wire.TeamID       // team of the request, empty from routers that don't tell it
}

// Made answers an Order with a handle for each piece, or with the reason of a failure.
type Made struct {
	Handles []fleet.Handle
	Reason  string        // one of the reason constants, or empty on success
	Retry   time.Duration // time until the queue may have room, for reasonBusy and reasonYielded
}

// Freed lists results of a service that are no longer needed.
type Freed struct {
	Service fleet.ServiceID
	Shard   shard.ID // as in Order
	Handles []fleet.Handle
	// Forwarded says that a router without the queue has sent the list on. It is not sent on
	// again: routers that divide the service differently would send it to each other.
	Forwarded bool
}

// Values of Made.Reason.
const (
	reasonBusy       = "busy"      // the queue is too long to make the results in time
	reasonLate       = "late"      // the deadline passed before the results were made
	reasonInputGone  = "gone"      // an input is no longer stored
	reasonFailed     = "failed"    // upstreams failed repeatedly
	reasonNoUpstream = "no maker"  // the service has no usable upstream
	reasonCancelled  = "left"      // the request was cancelled
	reasonNoAnswer   = "no answer" // the owner of the queue did not answer
	reasonMoved      = "moved"     // the service is divided differently, so the queue is gone
	reasonYielded    = "yielded"   // a more urgent order needs the place in the queue
)

// stageQueues holds the queues of the stage services. Only the queues that this router
// owns receive orders.
type stageQueues struct {
	s *Server
	// callClient makes stage calls. It uses one connection per call, so that a late
	// answer can't be taken for that of another call.
	callClient *http.Client
	freeClient *http.Client // frees results

	layoutMu sync.Mutex // held while a layout is derived from the previous one
	layout   atomic.Pointer[layout]

	mu   sync.Mutex
	byID map[shard.ID]*stageQueue
}

func newStageQueues(s *Server) *stageQueues {
	qs := &stageQueues{
		s:          s,
		callClient: newUpstreamClient(&http.Transport{DialContext: dialAbortable, DisableKeepAlives: true}, s.heldAnswers),
		freeClient: newUpstreamClient(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: defaultIdleTimeout}, s.heldAnswers),
		byID:       map[shard.ID]*stageQueue{},
	}
	qs.layout.Store(&layout{})
	return qs
}

// stageQueue is one queue of a stage service.
type stageQueue struct {
	qs        *stageQueues
	id        shard.ID
	mu        sync.Mutex // guards the fields below
	q         *batch.Queue[*pieceWork]
	jobs      map[*job]struct{} // orders in progress
	upstreams map[wire.UpstreamID]fleet.Upstream
	calls     map[wire.UpstreamID][]*stageCall // calls that may still be answered, in the order of their start
	// pendingFrees holds the results that the next flushFrees releases, by upstream.
	pendingFrees map[wire.UpstreamID][]fleet.Handle
	freeTimer    *time.Timer // runs flushFrees
	freesAt      time.Time   // when freeTimer expires, or zero if it is not set
	pollTimer    *time.Timer // runs poll when the queue may have a call to start
	retired      string      // reason for which the queue is gone, empty before
}

// job is an Order in progress.
type job struct {
	order     Order
	aim       time.Time
	deadline  time.Time
	begun     bool           // whether a piece has been in a call
	retry     time.Duration  // see Made.Retry
	handles   []fleet.Handle // by piece, empty for a piece that is not made yet
	remaining int            // pieces not made yet
	reason    string         // why the job failed, one of the reason constants
	done      chan struct{}  // closed when all pieces are made or the job failed
}

// pieceWork is one piece of a job in the queue.
type pieceWork struct {
	*job
	piece    int  // index of the piece in the job
	attempts int  // calls for the piece that failed or are overdue
	calls    int  // calls for the piece that may still be answered
	queued   bool // whether the piece waits in the queue
}

// needed reports whether the piece is still to be made. The caller holds the queue's mu.
func (w *pieceWork) needed() bool { return w.reason == "" && w.handles[w.piece] == "" }

// update applies the services and upstreams of a new snapshot. The queues of services that the
// configuration lacks follow their upstreams too, as long as requests may need them.
func (qs *stageQueues) update(v *View) {
	if v.Config == nil {
		return
	}
	l := qs.redivide(v)
	for id, shards := range l.services {
		for _, sh := range shards {
			us := slices.DeleteFunc(slices.Clone(sh.Upstreams), func(u fleet.Upstream) bool { return qs.s.notices.Leaving(time.Now(), u) })
			qs.getOrCreate(sh.ID, l.calls[id]).update(*l.calls[id], us)
		}
	}
	qs.retain(l)
}

// update replaces the description of the calls and the upstreams that take them.
func (sq *stageQueue) update(calls fleet.StageCalls, us []fleet.Upstream) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.q.SetCalls(calls)
	sq.q.SetUpstreams(us)
	clear(sq.upstreams)
	for _, u := range us {
		sq.upstreams[u.ID] = u
	}
	sq.dispatch()
}

// getOrCreate returns the queue with the given ID and creates it if there is none.
func (qs *stageQueues) getOrCreate(id shard.ID, calls *fleet.StageCalls) *stageQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	sq := qs.byID[id]
	if sq == nil {
		sq = &stageQueue{
			qs: qs, id: id, q: batch.New[*pieceWork](*calls), jobs: map[*job]struct{}{},
			upstreams: map[wire.UpstreamID]fleet.Upstream{}, calls: map[wire.UpstreamID][]*stageCall{}, pendingFrees: map[wire.UpstreamID][]fleet.Handle{},
		}
		sq.q.SetOverShare(func(now time.Time, rank int, team wire.TeamID) float64 {
			return qs.s.overShareIn(now, id.Service, rank, team)
		})
		sq.pollTimer = time.AfterFunc(time.Hour, sq.poll)
		sq.freeTimer = time.AfterFunc(time.Hour, sq.flushFrees)
		qs.byID[id] = sq
	}
	return sq
}

// find returns the queue with the given ID, or nil if there is none.
func (qs *stageQueues) find(id shard.ID) *stageQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	return qs.byID[id]
}

// ofService returns the queues of a service that this router has, whether it owns them or not.
func (qs *stageQueues) ofService(id fleet.ServiceID) (sqs []*stageQueue) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	for _, sq := range qs.byID {
		if sq.id.Service == id {
			sqs = append(sqs, sq)
		}
	}
	return sqs
}

// findFor returns the queue that an order or a list of results to free names, or nil if
// there is none.
func (qs *stageQueues) findFor(service fleet.ServiceID, id shard.ID) *stageQueue {
	if id == (shard.ID{}) {
		id.Service = service
	}
	return qs.find(id)
}

// retire ends a queue that is gone: it takes no orders, starts no calls, and fails the jobs that
// need another call with the given reason. The calls in flight go on, and the results that are not
// needed are freed by the queues that have their upstreams now.
func (sq *stageQueue) retire(reason string) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.retired = reason
	sq.pollTimer.Stop()
	sq.freeTimer.Stop()
	var jobs []*job
	sq.q.Remove(func(w *pieceWork) bool {
		w.queued = false
		jobs = append(jobs, w.job)
		return true
	})
	for _, j := range jobs {
		sq.failJobLocked(j, reason)
	}
	for _, hs := range sq.pendingFrees {
		sq.queueFrees(hs)
	}
	clear(sq.pendingFrees)
	sq.q.SetUpstreams(nil)
	clear(sq.upstreams)
}

// makePieces queues the pieces of an order and returns when all are made or one can't be.
// When ctx is done or the order's time has passed, it cancels the job.
func (qs *stageQueues) makePieces(ctx context.Context, o Order) Made {
	sq := qs.findFor(o.Service, o.Shard)
	if sq == nil {
		return Made{Reason: reasonMoved}
	}
	now := time.Now()
	j := &job{order: o, aim: now.Add(o.Aim), deadline: now.Add(o.Left), handles: make([]fleet.Handle, o.Pieces), remaining: o.Pieces, done: make(chan struct{})}
	if m, ok := sq.admit(now, j); !ok {
		return m
	}
	t := time.NewTimer(o.Left)
	defer t.Stop()
	select {
	case <-j.done:
	case <-ctx.Done():
		sq.failJob(j, reasonCancelled)
	case <-t.C:
		sq.failJob(j, reasonLate)
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	delete(sq.jobs, j)
	if j.reason != "" {
		return Made{Reason: j.reason, Retry: j.retry}
	}
	return Made{Handles: j.handles}
}

// admit queues the pieces of a job, or returns why it can't: there is no upstream, the
// estimated time exceeds the time left, or the queue is full.
func (sq *stageQueue) admit(now time.Time, j *job) (m Made, ok bool) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	o, aim := j.order, j.aim
	switch {
	case sq.retired != "":
		return Made{Reason: sq.retired}, false
	case len(sq.upstreams) == 0:
		return Made{Reason: reasonNoUpstream}, false
	}
	sq.makeRoom(now, j)
	estimate := sq.q.Estimate
	if o.Resumed {
		estimate = sq.q.EstimateResumed
	}
	if d, _ := estimate(now, o.Pieces, aim); d > o.Left && !o.Late {
		return Made{Reason: reasonBusy, Retry: d - o.Left}, false
	}
	ps := make([]batch.Piece[*pieceWork], o.Pieces)
	for i := range ps {
		ps[i] = j.newPiece(i)
	}
	if !sq.q.Push(now, ps...) {
		return Made{Reason: reasonBusy, Retry: time.Second}, false
	}
	sq.jobs[j] = struct{}{}
	sq.dispatch()
	return Made{}, true
}

// makeRoom ends the jobs that give way to a new one. The caller holds mu.
func (sq *stageQueue) makeRoom(now time.Time, j *job) {
	o := j.order
	ps, count := sq.q.Yielders(now, j.newPiece(0), o.Pieces, o.Bound, func(w *pieceWork) bool { return w.mayGiveWay() })
	for _, p := range ps {
		other := p.Value.job
		if count <= 0 {
			return
		}
		if other.reason != "" {
			continue // an earlier piece has ended it
		}
		count -= other.order.Pieces
		wait := admit.Backlog{Waiting: sq.q.Len() - sq.q.CountLate(), Rate: sq.q.Rate(now)}.WaitAfter(0)
		other.retry = max(wait-o.Bound, minYieldRetry)
		sq.failJobLocked(other, reasonYielded)
		sq.qs.s.log.Info("stage order gives way", "request", other.order.Request, "service", o.Service, "rank", other.order.Rank, "pieces", other.order.Pieces,
			"for", o.Request, "for_rank", o.Rank, "wait_ms", wait.Milliseconds(), "bound_ms", o.Bound.Milliseconds(), "aim_ms", o.Aim.Milliseconds())
		sq.qs.s.incCounter("orders_yielded", "service", string(o.Service), "rank", strconv.Itoa(fleet.RankLevel(other.order.Rank)))
	}
}

// minYieldRetry is the shortest delay after which the caller of a request that gave way retries.
const minYieldRetry = 200 * time.Millisecond

// mayGiveWay reports whether a job that waits may be ended for a more urgent one: none of its own
// pieces has been begun. Another stage of its request may have been, at this queue or another.
func (j *job) mayGiveWay() bool {
	return j.reason == "" && !j.begun && len(j.order.Inputs) == 0 && j.order.Bound > 0
}

// newPiece returns a piece of the job for the queue.
func (j *job) newPiece(i int) batch.Piece[*pieceWork] {
	o := &j.order
	return batch.Piece[*pieceWork]{
		Value: &pieceWork{job: j, piece: i, queued: true}, Centre: o.Centre, Size: o.Size, Moved: o.Moved, Rank: o.Rank,
		Aim: j.aim, Deadline: j.deadline, Late: o.Late, Resumed: o.Resumed, Ages: o.Bound > 0, Team: o.Team,
	}
}

// failJob is failJobLocked for callers that don't hold mu.
func (sq *stageQueue) failJob(j *job, reason string) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.failJobLocked(j, reason)
}

// failJobLocked ends a job without success, unless it has ended already, and frees the
// results made for it. The caller holds mu.
func (sq *stageQueue) failJobLocked(j *job, reason string) {
	if j.remaining == 0 || j.reason != "" {
		return
	}
	j.reason = reason
	close(j.done)
	sq.q.Remove(func(w *pieceWork) bool { return w.job == j })
	sq.queueFrees(slices.DeleteFunc(slices.Clone(j.handles), func(h fleet.Handle) bool { return h == "" }))
}

// cancel ends the jobs of a request's stage. The results of pieces that are in calls are
// freed when the calls end.
func (qs *stageQueues) cancel(o Order) {
	sq := qs.findFor(o.Service, o.Shard)
	if sq == nil {
		return
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	for j := range sq.jobs {
		if j.order.Request == o.Request && j.order.Stage == o.Stage {
			sq.failJobLocked(j, reasonCancelled)
		}
	}
}

// free releases results that are no longer needed.
func (qs *stageQueues) free(f Freed) {
	sq := qs.findFor(f.Service, f.Shard)
	if sq == nil {
		return
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.queueFrees(f.Handles)
	sq.dispatch()
}

// queueFrees adds results to pendingFrees and schedules flushFrees, or passes them on if the queue is
// gone. The caller holds mu.
func (sq *stageQueue) queueFrees(hs []fleet.Handle) {
	if sq.retired != "" {
		if s := sq.qs.s; len(hs) > 0 {
			s.background.Go(func() { s.freeResults(Freed{Service: sq.id.Service, Shard: sq.id, Handles: hs}) })
		}
		return
	}
	known, unknown := sq.q.Free(hs)
	for id, freed := range known {
		sq.pendingFrees[id] = append(sq.pendingFrees[id], freed...)
	}
	for _, h := range unknown {
		if id, ok := sq.upstreamOf(h); ok {
			sq.pendingFrees[id] = append(sq.pendingFrees[id], h)
		}
	}
	if len(sq.pendingFrees) > 0 {
		sq.scheduleFrees(freeBatchDelay)
	}
}

// scheduleFrees runs flushFrees after a delay, unless it runs sooner anyway. The caller
// holds mu.
func (sq *stageQueue) scheduleFrees(delay time.Duration) {
	if at := time.Now().Add(delay); sq.freesAt.IsZero() || at.Before(sq.freesAt) {
		sq.freesAt = at
		sq.freeTimer.Reset(delay)
	}
}

// upstreamOf returns the upstream that holds a result, found by the address in its
// handle, and false if that upstream is unknown. The caller holds mu.
func (sq *stageQueue) upstreamOf(h fleet.Handle) (wire.UpstreamID, bool) {
	addr := platform.HandleAddress(h)
	for id, u := range sq.upstreams {
		if u.Address == addr {
			return id, true
		}
	}
	return "", false
}

// takeFrees removes and returns the pending frees that may be sent now. Those of upstreams
// whose limit is used up stay pending until flushFrees runs again.
func (sq *stageQueue) takeFrees(now time.Time) map[wire.UpstreamID][]fleet.Handle {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.freesAt = time.Time{}
	freed := sq.pendingFrees
	sq.pendingFrees = map[wire.UpstreamID][]fleet.Handle{}
	for id := range freed {
		wait, ok := sq.qs.s.stageWait(now, sq.upstreams[id])
		switch {
		case !ok:
			delete(freed, id) // its results end with it
		case wait > 0 || !sq.qs.s.limits.Take(now, id, limit.Whole):
			sq.pendingFrees[id] = freed[id]
			delete(freed, id)
			sq.scheduleFrees(max(wait, sq.qs.s.limits.Wait(now, id, limit.Whole)))
		}
	}
	return freed
}

// flushFrees sends the pending frees to their upstreams.
func (sq *stageQueue) flushFrees() {
	freed := sq.takeFrees(time.Now())
	sq.mu.Lock()
	ups := maps.Clone(sq.upstreams)
	sq.mu.Unlock()
	for id, hs := range freed {
		u, ok := ups[id]
		if !ok {
			continue // results don't outlive their upstream
		}
		sq.qs.s.background.Go(func() {
			if err := sq.sendFree(u, hs); err != nil {
				sq.qs.s.log.Debug("could not free results at upstream", "upstream", u.ID, "results", len(hs), "err", err)
				sq.qs.s.incCounter("frees_failed")
			}
		})
	}
}

// sendFree tells an upstream to free results.
func (sq *stageQueue) sendFree(u fleet.Upstream, hs []fleet.Handle) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	req, err := platform.NewStageFreeRequest(u, hs)
	if err != nil {
		return err
	}
	began := time.Now()
	resp, err := sq.qs.freeClient.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	sq.qs.s.recordNotices(u, platform.ParseResponse(resp.StatusCode, resp.Header), began)
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxStageResponseBytes))
	return err
}

// poll runs dispatch when pollTimer expires.
func (sq *stageQueue) poll() {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.dispatch()
}

// dispatch starts all stage calls that can start now, and sets pollTimer for the
// earliest of those that the queue delays. The caller holds mu.
func (sq *stageQueue) dispatch() {
	now := time.Now()
	nextPoll := time.Duration(-1)
	for _, id := range slices.Sorted(maps.Keys(sq.upstreams)) {
		for {
			wait, ok := sq.qs.s.stageWait(now, sq.upstreams[id])
			if !ok {
				break
			}
			if wait > 0 {
				if nextPoll < 0 || wait < nextPoll {
					nextPoll = wait
				}
				break
			}
			ps, late, wait := sq.q.Next(now, id)
			for _, p := range late {
				if p.Value.queued = false; p.Value.calls == 0 {
					sq.failJobLocked(p.Value.job, reasonLate)
				}
			}
			if len(ps) == 0 {
				if wait > 0 && (nextPoll < 0 || wait < nextPoll) {
					nextPoll = wait
				}
				break
			}
			sq.qs.s.limits.Take(now, id, limit.Whole)
			c := &stageCall{upstream: sq.upstreams[id], pieces: ps, timeout: max(sq.q.CallTimeout(id, len(ps)), minStageTimeout)}
			sq.calls[id] = append(sq.calls[id], c)
			for _, p := range ps {
				p.Value.queued = false
				p.Value.calls++
				p.Value.begun = true
			}
			ctx, cancel := context.WithDeadline(context.Background(), c.deadline(now))
			c.cancel = cancel
			sq.qs.s.background.Go(func() { sq.call(ctx, c) })
		}
	}
	if sq.q.Len() > 0 && nextPoll >= 0 {
		sq.pollTimer.Reset(nextPoll)
	}
}
