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
	// maxPieceAttempts bounds how often a piece is given to an upstream that fails.
	maxPieceAttempts = 4
	// freeBatchDelay is the time for which results to be given up are collected.
	freeBatchDelay = 20 * time.Millisecond
	freeTimeout    = time.Second
	// maxStageResponseBytes bounds the answer to a stage call in bytes.
	maxStageResponseBytes = 1 << 20
	// minStageTimeout is the least time for which a stage call is worth sending.
	minStageTimeout = 20 * time.Millisecond
)

// Order asks the router that owns a service's queue for pieces of one stage.
type Order struct {
	Request wire.RequestID
	Service fleet.ServiceID
	Stage   int
	Pieces  int
	Key     string         // of a first stage
	Inputs  []fleet.Handle // of later stages
	Size    fleet.Bytes    // of one result
	Moved   fleet.Bytes    // between data centres by a piece that is made outside Centre
	Centre  wire.DataCentreID
	Rank    int
	Aim     time.Duration // by which the results are wanted
	Left    time.Duration // after which they are useless
}

// Made is the answer to an Order: a handle for each piece, or a reason.
type Made struct {
	Handles []fleet.Handle
	Reason  string        // empty on success
	Retry   time.Duration // after which there may be room, for reasonBusy
}

// Freed names results of a service that are no longer needed.
type Freed struct {
	Service fleet.ServiceID
	Handles []fleet.Handle
}

// Reasons of a Made.
const (
	reasonBusy       = "busy"      // the queue is too long for the request's time
	reasonLate       = "late"      // the time passed before the results were made
	reasonGone       = "gone"      // an input is no longer kept
	reasonFailed     = "failed"    // upstreams failed repeatedly
	reasonNoUpstream = "no maker"  // no upstream of the service is in use
	reasonCancelled  = "left"      // the request was withdrawn
	reasonNoAnswer   = "no answer" // the owner of the queue did not answer
)

// stageQueues are the queues of the stage services that this router owns.
type stageQueues struct {
	s          *Server
	callClient *http.Client // one connection a call, so that a stray answer meets no other call
	freeClient *http.Client

	mu        sync.Mutex
	byService map[fleet.ServiceID]*stageQueue
}

func newStageQueues(s *Server) *stageQueues {
	return &stageQueues{
		s:          s,
		callClient: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}},
		freeClient: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleAge}},
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
	// pendingFrees holds results to be given up, by upstream.
	pendingFrees map[wire.UpstreamID][]fleet.Handle
	pollTimer    *time.Timer // asks the queue again
}

// job is an Order under way.
type job struct {
	order     Order
	deadline  time.Time
	handles   []fleet.Handle
	remaining int
	reason    string
	done      chan struct{} // closed when all pieces are made or the job failed
}

// pieceWork is one piece of a job.
type pieceWork struct {
	*job
	piece    int
	attempts int
}

// update takes over the services and upstreams of a new snapshot.
func (qs *stageQueues) update(v *View) {
	if v.Config == nil {
		return
	}
	for i := range v.Config.Services {
		svc := &v.Config.Services[i]
		if svc.Calls == nil {
			continue
		}
		sq := qs.getOrCreate(svc)
		sq.mu.Lock()
		sq.q.SetCalls(*svc.Calls)
		sq.q.SetUpstreams(v.Upstreams[svc.ID])
		clear(sq.upstreams)
		for _, u := range v.Upstreams[svc.ID] {
			sq.upstreams[u.ID] = u
		}
		sq.dispatch()
		sq.mu.Unlock()
	}
}

func (qs *stageQueues) getOrCreate(svc *fleet.Service) *stageQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	sq := qs.byService[svc.ID]
	if sq == nil {
		sq = &stageQueue{
			qs: qs, id: svc.ID, q: batch.New[*pieceWork](*svc.Calls),
			upstreams: map[wire.UpstreamID]fleet.Upstream{}, pendingFrees: map[wire.UpstreamID][]fleet.Handle{},
		}
		sq.pollTimer = time.AfterFunc(time.Hour, sq.poll)
		qs.byService[svc.ID] = sq
	}
	return sq
}

func (qs *stageQueues) find(id fleet.ServiceID) *stageQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	return qs.byService[id]
}

// owner returns the router that owns the queue of a service, as this router sees it.
func (qs *stageQueues) owner(id fleet.ServiceID) wire.HostID {
	return route.Owner(string(id), qs.s.peers.alive(time.Now()))
}

// make makes the pieces of an order and returns when all are made or one can't be.
func (qs *stageQueues) make(ctx context.Context, o Order) Made {
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

// admit queues the pieces of a job unless they can't be made in time.
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
			Aim: aim, Latest: j.deadline,
		}
	}
	if !sq.q.Push(now, ps...) {
		return Made{Reason: reasonBusy, Retry: time.Second}, false
	}
	sq.dispatch()
	return Made{}, true
}

// failJob ends a job early.
func (sq *stageQueue) failJob(j *job, reason string) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.failLocked(j, reason)
}

// failLocked ends a job without success and gives up what was made for it. The caller
// holds mu.
func (sq *stageQueue) failLocked(j *job, reason string) {
	if j.remaining == 0 || j.reason != "" {
		return
	}
	j.reason = reason
	close(j.done)
	sq.q.Remove(func(w *pieceWork) bool { return w.job == j })
	sq.queueFrees(slices.DeleteFunc(slices.Clone(j.handles), func(h fleet.Handle) bool { return h == "" }))
}

// cancel withdraws the jobs of a request.
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
		sq.failLocked(j, reasonCancelled)
	}
}

// free gives up results.
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

// freeResults collects results to be given up. The caller holds mu.
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

// upstreamOf returns the upstream that keeps a result, by its address.
func (sq *stageQueue) upstreamOf(h fleet.Handle) (wire.UpstreamID, bool) {
	addr := platform.Maker(h)
	for id, u := range sq.upstreams {
		if u.Address == addr {
			return id, true
		}
	}
	return "", false
}

// flushFrees tells upstreams of the results that were given up.
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
		sq.qs.s.work.Go(func() {
			if err := sq.sendFree(u, hs); err != nil {
				sq.qs.s.log.Debug("results not given up", "upstream", u.ID, "results", len(hs), "err", err)
				sq.qs.s.count("frees_failed")
			}
		})
	}
}

func (sq *stageQueue) sendFree(u fleet.Upstream, hs []fleet.Handle) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	req, err := platform.StageFree(u, hs)
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

// poll asks the queue again after the time that it named.
func (sq *stageQueue) poll() {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.dispatch()
}

// dispatch starts all calls that can start now. The caller holds mu.
func (sq *stageQueue) dispatch() {
	now := time.Now()
	next := time.Duration(-1)
	for _, id := range slices.Sorted(maps.Keys(sq.upstreams)) {
		for {
			ps, late, wait := sq.q.Next(now, id)
			for _, p := range late {
				sq.failLocked(p.Value.job, reasonLate)
			}
			if len(ps) == 0 {
				if wait > 0 && (next < 0 || wait < next) {
					next = wait
				}
				break
			}
			u, limit := sq.upstreams[id], sq.q.Limit(id, len(ps))
			sq.qs.s.work.Go(func() { sq.call(u, ps, limit) })
		}
	}
	if sq.q.Len() > 0 && next >= 0 {
		sq.pollTimer.Reset(next)
	}
}
