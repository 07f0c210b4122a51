package entry

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// maxPieceAttempts bounds the failed attempts to make a piece.
	maxPieceAttempts = 4
	// freeBatchDelay is the time for which results to free are collected, so that one
	// call to an upstream frees many.
	freeBatchDelay = 20 * time.Millisecond
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// maxStageResponseBytes bounds the response body of a stage call.
	maxStageResponseBytes = 1 << 20
	// minStageTimeout is the shortest timeout of a stage call.
	minStageTimeout = 20 * time.Millisecond
)

// Order asks the router that owns a service's queue to make the pieces of one stage.
type Order struct {
	Request wire.RequestID
	Service fleet.ServiceID
	Stage   int
	Pieces  int
	Key     string            // input key, for a first stage
	Inputs  []fleet.Handle    // results to read, for a later stage
	Size    fleet.Bytes       // size of one result
	Moved   fleet.Bytes       // traffic between data centres for a piece made outside Centre
	Centre  wire.DataCentreID // data centre that reads the results
	Rank    int               // priority among pieces that miss their aim; lower goes first
	Aim     time.Duration     // target time for the results
	Left    time.Duration     // time until the results are useless
}

// Made answers an Order with a handle for each piece, or with the reason of a failure.
type Made struct {
	Handles []fleet.Handle
	Reason  string        // one of the reason constants, or empty on success
	Retry   time.Duration // time until the queue may have room, for reasonBusy
}

// Freed lists results of a service that are no longer needed.
type Freed struct {
	Service fleet.ServiceID
	Handles []fleet.Handle
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
)

// stageQueues holds a queue for each stage service. Only the queues that this router
// owns receive orders.
type stageQueues struct {
	s *Server
	// callClient makes stage calls. It uses one connection per call, so that a late
	// answer can't be taken for that of another call.
	callClient *http.Client
	freeClient *http.Client // frees results

	mu        sync.Mutex
	byService map[fleet.ServiceID]*stageQueue
}

func newStageQueues(s *Server) *stageQueues {
	return &stageQueues{
		s:          s,
		callClient: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}},
		freeClient: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: defaultIdleTimeout}},
		byService:  map[fleet.ServiceID]*stageQueue{},
	}
}

// stageQueue is the queue of one stage service.
type stageQueue struct {
	qs        *stageQueues
	id        fleet.ServiceID
	mu        sync.Mutex
	q         *batch.Queue[*pieceWork]
	upstreams map[wire.UpstreamID]fleet.Upstream
	// pendingFrees holds the results that the next flushFrees releases, by upstream.
	pendingFrees map[wire.UpstreamID][]fleet.Handle
	pollTimer    *time.Timer // runs poll when the queue may have a call to start
}

// job is an Order in progress.
type job struct {
	order     Order
	deadline  time.Time
	handles   []fleet.Handle
	remaining int           // pieces not made yet
	reason    string        // why the job failed, one of the reason constants
	done      chan struct{} // closed when all pieces are made or the job failed
}

// pieceWork is one piece of a job in the queue.
type pieceWork struct {
	*job
	piece    int
	attempts int // failed attempts to make the piece
}

// update applies the services and upstreams of a new snapshot.
func (qs *stageQueues) update(v *View) {
	if v.Config == nil {
		return
	}
	for i := range v.Config.Services {
		svc := &v.Config.Services[i]
		if svc.StageCalls == nil {
			continue
		}
		sq := qs.getOrCreate(svc)
		sq.mu.Lock()
		sq.q.SetCalls(*svc.StageCalls)
		sq.q.SetUpstreams(v.Upstreams[svc.ID])
		clear(sq.upstreams)
		for _, u := range v.Upstreams[svc.ID] {
			sq.upstreams[u.ID] = u
		}
		sq.dispatch()
		sq.mu.Unlock()
	}
}

// getOrCreate returns the queue of a service and creates it if there is none.
func (qs *stageQueues) getOrCreate(svc *fleet.Service) *stageQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	sq := qs.byService[svc.ID]
	if sq == nil {
		sq = &stageQueue{
			qs: qs, id: svc.ID, q: batch.New[*pieceWork](*svc.StageCalls),
			upstreams: map[wire.UpstreamID]fleet.Upstream{}, pendingFrees: map[wire.UpstreamID][]fleet.Handle{},
		}
		sq.pollTimer = time.AfterFunc(time.Hour, sq.poll)
		qs.byService[svc.ID] = sq
	}
	return sq
}

// find returns the queue of a service, or nil if there is none.
func (qs *stageQueues) find(id fleet.ServiceID) *stageQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	return qs.byService[id]
}

// owner returns the router that owns the queue of a service, as this router sees it.
func (qs *stageQueues) owner(id fleet.ServiceID) wire.HostID {
	return route.Owner(string(id), qs.s.peers.ownerCandidates(time.Now()))
}

// makePieces queues the pieces of an order and returns when all are made or one can't be. When
// ctx is done or the order's time has passed, it cancels the job.
func (qs *stageQueues) makePieces(ctx context.Context, o Order) Made {
	sq := qs.find(o.Service)
	if sq == nil {
		return Made{Reason: reasonNoUpstream}
	}
	now := time.Now()
	j := &job{order: o, deadline: now.Add(o.Left), handles: make([]fleet.Handle, o.Pieces), remaining: o.Pieces, done: make(chan struct{})}
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
	if j.reason != "" {
		return Made{Reason: j.reason}
	}
	return Made{Handles: j.handles}
}

// admit queues the pieces of a job, or returns why it can't: there is no upstream, the
// estimated time exceeds the order's, or the queue is full.
func (sq *stageQueue) admit(now time.Time, j *job) (m Made, ok bool) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	o := j.order
	aim := now.Add(o.Aim)
	if len(sq.upstreams) == 0 {
		return Made{Reason: reasonNoUpstream}, false
	}
	if d, _ := sq.q.Estimate(now, o.Pieces, aim); d > o.Left {
		return Made{Reason: reasonBusy, Retry: d - o.Left}, false
	}
	ps := make([]batch.Piece[*pieceWork], o.Pieces)
	for i := range ps {
		ps[i] = batch.Piece[*pieceWork]{
			Value: &pieceWork{job: j, piece: i}, Centre: o.Centre, Size: o.Size, Moved: o.Moved, Rank: o.Rank,
			Aim: aim, Deadline: j.deadline,
		}
	}
	if !sq.q.Push(now, ps...) {
		return Made{Reason: reasonBusy, Retry: time.Second}, false
	}
	sq.dispatch()
	return Made{}, true
}

// failJob calls failJobLocked with mu held.
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

// cancel ends the jobs of a request's stage that still have pieces in the queue.
func (qs *stageQueues) cancel(o Order) {
	sq := qs.find(o.Service)
	if sq == nil {
		return
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	var jobs []*job
	sq.q.Remove(func(w *pieceWork) bool {
		if w.order.Request != o.Request || w.order.Stage != o.Stage {
			return false
		}
		jobs = append(jobs, w.job)
		return true
	})
	for _, j := range jobs {
		sq.failJobLocked(j, reasonCancelled)
	}
}

// free releases results that are no longer needed.
func (qs *stageQueues) free(f Freed) {
	sq := qs.find(f.Service)
	if sq == nil {
		return
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.queueFrees(f.Handles)
	sq.dispatch()
}

// queueFrees adds results to pendingFrees and schedules flushFrees. The caller holds mu.
func (sq *stageQueue) queueFrees(hs []fleet.Handle) {
	first := len(sq.pendingFrees) == 0
	known, unknown := sq.q.Free(hs)
	for id, freed := range known {
		sq.pendingFrees[id] = append(sq.pendingFrees[id], freed...)
	}
	for _, h := range unknown {
		if id, ok := sq.upstreamOf(h); ok {
			sq.pendingFrees[id] = append(sq.pendingFrees[id], h)
		}
	}
	if first && len(sq.pendingFrees) > 0 {
		time.AfterFunc(freeBatchDelay, sq.flushFrees)
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

// flushFrees sends the pending frees to their upstreams.
func (sq *stageQueue) flushFrees() {
	sq.mu.Lock()
	freed := sq.pendingFrees
	sq.pendingFrees = map[wire.UpstreamID][]fleet.Handle{}
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
	resp, err := sq.qs.freeClient.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
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
	next := time.Duration(-1)
	for _, id := range slices.Sorted(maps.Keys(sq.upstreams)) {
		for {
			ps, late, wait := sq.q.Next(now, id)
			for _, p := range late {
				sq.failJobLocked(p.Value.job, reasonLate)
			}
			if len(ps) == 0 {
				if wait > 0 && (next < 0 || wait < next) {
					next = wait
				}
				break
			}
			u, limit := sq.upstreams[id], sq.q.CallTimeout(id, len(ps))
			sq.qs.s.background.Go(func() { sq.call(u, ps, limit) })
		}
	}
	if sq.q.Len() > 0 && next >= 0 {
		sq.pollTimer.Reset(next)
	}
}
