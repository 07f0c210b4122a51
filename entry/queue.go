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
	// maxTries bounds how often a piece is given to an upstream that fails.
	maxTries = 4
	// freeDelay is the time for which results to be given up are collected.
	freeDelay = 20 * time.Millisecond
	freeLimit = time.Second
	// maxStageAnswer bounds the answer to a stage call in bytes.
	maxStageAnswer = 1 << 20
	// stageFloor is the least time for which a stage call is worth sending.
	stageFloor = 20 * time.Millisecond
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
	reasonBusy     = "busy"      // the queue is too long for the request's time
	reasonLate     = "late"      // the time passed before the results were made
	reasonGone     = "gone"      // an input is no longer kept
	reasonFailed   = "failed"    // upstreams failed repeatedly
	reasonNoMaker  = "no maker"  // no upstream of the service is in use
	reasonLeft     = "left"      // the request was withdrawn
	reasonNoAnswer = "no answer" // the owner of the queue did not answer
)

// stageQueues are the queues of the stage services that this router owns.
type stageQueues struct {
	s     *Server
	http  *http.Client // one connection a call, so that a stray answer meets no other call
	frees *http.Client

	mu  sync.Mutex
	all map[fleet.ServiceID]*stageQueue
}

func newStageQueues(s *Server) *stageQueues {
	return &stageQueues{
		s:     s,
		http:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}},
		frees: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: defaultIdleTimeout}},
		all:   map[fleet.ServiceID]*stageQueue{},
	}
}

// stageQueue is the queue of one stage service.
type stageQueue struct {
	qs  *stageQueues
	id  fleet.ServiceID
	mu  sync.Mutex
	q   *batch.Queue[*work]
	ups map[wire.UpstreamID]fleet.Upstream
	// freed holds results to be given up, by upstream.
	freed map[wire.UpstreamID][]fleet.Handle
	timer *time.Timer // asks the queue again
}

// job is an Order under way.
type job struct {
	order  Order
	latest time.Time
	made   []fleet.Handle
	left   int
	reason string
	done   chan struct{} // closed when all pieces are made or the job failed
}

// work is one piece of a job.
type work struct {
	*job
	piece int
	tries int
}

// update takes over the services and upstreams of a new snapshot.
func (qs *stageQueues) update(v *View) {
	if v.Config == nil {
		return
	}
	for i := range v.Config.Services {
		svc := &v.Config.Services[i]
		if svc.StageCalls == nil {
			continue
		}
		sq := qs.get(svc)
		sq.mu.Lock()
		sq.q.SetCalls(*svc.StageCalls)
		sq.q.SetUpstreams(v.Ups[svc.ID])
		clear(sq.ups)
		for _, u := range v.Ups[svc.ID] {
			sq.ups[u.ID] = u
		}
		sq.dispatch()
		sq.mu.Unlock()
	}
}

func (qs *stageQueues) get(svc *fleet.Service) *stageQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	sq := qs.all[svc.ID]
	if sq == nil {
		sq = &stageQueue{
			qs: qs, id: svc.ID, q: batch.New[*work](*svc.StageCalls),
			ups: map[wire.UpstreamID]fleet.Upstream{}, freed: map[wire.UpstreamID][]fleet.Handle{},
		}
		sq.timer = time.AfterFunc(time.Hour, sq.poll)
		qs.all[svc.ID] = sq
	}
	return sq
}

func (qs *stageQueues) find(id fleet.ServiceID) *stageQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	return qs.all[id]
}

// owner returns the router that owns the queue of a service, as this router sees it.
func (qs *stageQueues) owner(id fleet.ServiceID) wire.HostID {
	return route.Owner(string(id), qs.s.peers.alive(time.Now()))
}

// make makes the pieces of an order and returns when all are made or one can't be.
func (qs *stageQueues) make(ctx context.Context, o Order) Made {
	sq := qs.find(o.Service)
	if sq == nil {
		return Made{Reason: reasonNoMaker}
	}
	now := time.Now()
	j := &job{order: o, latest: now.Add(o.Left), made: make([]fleet.Handle, o.Pieces), left: o.Pieces, done: make(chan struct{})}
	if m, ok := sq.accept(now, j); !ok {
		return m
	}
	t := time.NewTimer(o.Left)
	defer t.Stop()
	select {
	case <-j.done:
	case <-ctx.Done():
		sq.withdraw(j, reasonLeft)
	case <-t.C:
		sq.withdraw(j, reasonLate)
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	if j.reason != "" {
		return Made{Reason: j.reason}
	}
	return Made{Handles: j.made}
}

// accept queues the pieces of a job unless they can't be made in time.
func (sq *stageQueue) accept(now time.Time, j *job) (m Made, ok bool) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	o := j.order
	aim := now.Add(o.Aim)
	if len(sq.ups) == 0 {
		return Made{Reason: reasonNoMaker}, false
	}
	if d, _ := sq.q.Estimate(now, o.Pieces, aim); d > o.Left {
		return Made{Reason: reasonBusy, Retry: d - o.Left}, false
	}
	ps := make([]batch.Piece[*work], o.Pieces)
	for i := range ps {
		ps[i] = batch.Piece[*work]{
			Value: &work{job: j, piece: i}, Centre: o.Centre, Size: o.Size, Moved: o.Moved, Rank: o.Rank,
			Aim: aim, Deadline: j.latest,
		}
	}
	if !sq.q.Push(now, ps...) {
		return Made{Reason: reasonBusy, Retry: time.Second}, false
	}
	sq.dispatch()
	return Made{}, true
}

// withdraw ends a job early.
func (sq *stageQueue) withdraw(j *job, reason string) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.fail(j, reason)
}

// fail ends a job without success and gives up what was made for it. The caller
// holds mu.
func (sq *stageQueue) fail(j *job, reason string) {
	if j.left == 0 || j.reason != "" {
		return
	}
	j.reason = reason
	close(j.done)
	sq.q.Remove(func(w *work) bool { return w.job == j })
	sq.giveUp(slices.DeleteFunc(slices.Clone(j.made), func(h fleet.Handle) bool { return h == "" }))
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
	sq.q.Remove(func(w *work) bool {
		if w.order.Request != o.Request || w.order.Stage != o.Stage {
			return false
		}
		jobs = append(jobs, w.job)
		return true
	})
	for _, j := range jobs {
		sq.fail(j, reasonLeft)
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
	sq.giveUp(f.Handles)
	sq.dispatch()
}

// giveUp collects results to be given up. The caller holds mu.
func (sq *stageQueue) giveUp(hs []fleet.Handle) {
	first := len(sq.freed) == 0
	known, unknown := sq.q.Free(hs)
	for id, freed := range known {
		sq.freed[id] = append(sq.freed[id], freed...)
	}
	for _, h := range unknown {
		if id, ok := sq.maker(h); ok {
			sq.freed[id] = append(sq.freed[id], h)
		}
	}
	if first && len(sq.freed) > 0 {
		time.AfterFunc(freeDelay, sq.sendFreed)
	}
}

// maker returns the upstream that keeps a result, by its address.
func (sq *stageQueue) maker(h fleet.Handle) (wire.UpstreamID, bool) {
	addr := platform.HandleAddress(h)
	for id, u := range sq.ups {
		if u.Address == addr {
			return id, true
		}
	}
	return "", false
}

// sendFreed tells upstreams of the results that were given up.
func (sq *stageQueue) sendFreed() {
	sq.mu.Lock()
	freed := sq.freed
	sq.freed = map[wire.UpstreamID][]fleet.Handle{}
	ups := maps.Clone(sq.ups)
	sq.mu.Unlock()
	for id, hs := range freed {
		u, ok := ups[id]
		if !ok {
			continue // results don't outlive their upstream
		}
		sq.qs.s.background.Go(func() {
			if err := sq.sendFree(u, hs); err != nil {
				sq.qs.s.log.Debug("results not given up", "upstream", u.ID, "results", len(hs), "err", err)
				sq.qs.s.incCounter("frees_failed")
			}
		})
	}
}

func (sq *stageQueue) sendFree(u fleet.Upstream, hs []fleet.Handle) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), freeLimit)
	defer cancel()
	req, err := platform.NewStageFreeRequest(u, hs)
	if err != nil {
		return err
	}
	resp, err := sq.qs.frees.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxStageAnswer))
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
	for _, id := range slices.Sorted(maps.Keys(sq.ups)) {
		for {
			ps, late, wait := sq.q.Next(now, id)
			for _, p := range late {
				sq.fail(p.Value.job, reasonLate)
			}
			if len(ps) == 0 {
				if wait > 0 && (next < 0 || wait < next) {
					next = wait
				}
				break
			}
			u, limit := sq.ups[id], sq.q.CallTimeout(id, len(ps))
			sq.qs.s.background.Go(func() { sq.call(u, ps, limit) })
		}
	}
	if sq.q.Len() > 0 && next >= 0 {
		sq.timer.Reset(next)
	}
}
