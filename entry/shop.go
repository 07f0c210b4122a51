package entry

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
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

// shops are the queues of the stage services that this router owns.
type shops struct {
	s     *Server
	http  *http.Client // one connection a call, so that a stray answer meets no other call
	frees *http.Client

	mu  sync.Mutex
	all map[fleet.ServiceID]*shop
}

func newShops(s *Server) *shops {
	return &shops{
		s:     s,
		http:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}},
		frees: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleAge}},
		all:   map[fleet.ServiceID]*shop{},
	}
}

// shop is the queue of one stage service.
type shop struct {
	ss  *shops
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
func (ss *shops) update(v *View) {
	if v.Config == nil {
		return
	}
	for i := range v.Config.Services {
		svc := &v.Config.Services[i]
		if svc.Calls == nil {
			continue
		}
		sh := ss.get(svc)
		sh.mu.Lock()
		sh.q.SetCalls(*svc.Calls)
		sh.q.SetUpstreams(v.Ups[svc.ID])
		clear(sh.ups)
		for _, u := range v.Ups[svc.ID] {
			sh.ups[u.ID] = u
		}
		sh.dispatch()
		sh.mu.Unlock()
	}
}

func (ss *shops) get(svc *fleet.Service) *shop {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	sh := ss.all[svc.ID]
	if sh == nil {
		sh = &shop{
			ss: ss, id: svc.ID, q: batch.New[*work](*svc.Calls),
			ups: map[wire.UpstreamID]fleet.Upstream{}, freed: map[wire.UpstreamID][]fleet.Handle{},
		}
		sh.timer = time.AfterFunc(time.Hour, sh.poll)
		ss.all[svc.ID] = sh
	}
	return sh
}

func (ss *shops) find(id fleet.ServiceID) *shop {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.all[id]
}

// owner returns the router that owns the queue of a service, as this router sees it.
func (ss *shops) owner(id fleet.ServiceID) wire.HostID {
	return route.Owner(string(id), ss.s.peers.alive(time.Now()))
}

// make makes the pieces of an order and returns when all are made or one can't be.
func (ss *shops) make(ctx context.Context, o Order) Made {
	sh := ss.find(o.Service)
	if sh == nil {
		return Made{Reason: reasonNoMaker}
	}
	now := time.Now()
	j := &job{order: o, latest: now.Add(o.Left), made: make([]fleet.Handle, o.Pieces), left: o.Pieces, done: make(chan struct{})}
	if m, ok := sh.accept(now, j); !ok {
		return m
	}
	t := time.NewTimer(o.Left)
	defer t.Stop()
	select {
	case <-j.done:
	case <-ctx.Done():
		sh.withdraw(j, reasonLeft)
	case <-t.C:
		sh.withdraw(j, reasonLate)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if j.reason != "" {
		return Made{Reason: j.reason}
	}
	return Made{Handles: j.made}
}

// accept queues the pieces of a job unless they can't be made in time.
func (sh *shop) accept(now time.Time, j *job) (m Made, ok bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	o := j.order
	aim := now.Add(o.Aim)
	if len(sh.ups) == 0 {
		return Made{Reason: reasonNoMaker}, false
	}
	if d, _ := sh.q.Estimate(now, o.Pieces, aim); d > o.Left {
		return Made{Reason: reasonBusy, Retry: d - o.Left}, false
	}
	ps := make([]batch.Piece[*work], o.Pieces)
	for i := range ps {
		ps[i] = batch.Piece[*work]{
			Value: &work{job: j, piece: i}, Centre: o.Centre, Size: o.Size, Moved: o.Moved, Rank: o.Rank,
			Aim: aim, Latest: j.latest,
		}
	}
	if !sh.q.Push(now, ps...) {
		return Made{Reason: reasonBusy, Retry: time.Second}, false
	}
	sh.dispatch()
	return Made{}, true
}

// withdraw ends a job early.
func (sh *shop) withdraw(j *job, reason string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.fail(j, reason)
}

// fail ends a job without success and gives up what was made for it. The caller
// holds mu.
func (sh *shop) fail(j *job, reason string) {
	if j.left == 0 || j.reason != "" {
		return
	}
	j.reason = reason
	close(j.done)
	sh.q.Remove(func(w *work) bool { return w.job == j })
	sh.giveUp(slices.DeleteFunc(slices.Clone(j.made), func(h fleet.Handle) bool { return h == "" }))
}

// cancel withdraws the jobs of a request.
func (ss *shops) cancel(o Order) {
	sh := ss.find(o.Service)
	if sh == nil {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var jobs []*job
	sh.q.Remove(func(w *work) bool {
		if w.order.Request != o.Request || w.order.Stage != o.Stage {
			return false
		}
		jobs = append(jobs, w.job)
		return true
	})
	for _, j := range jobs {
		sh.fail(j, reasonLeft)
	}
}

// free gives up results.
func (ss *shops) free(f Freed) {
	sh := ss.find(f.Service)
	if sh == nil {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.giveUp(f.Handles)
	sh.dispatch()
}

// giveUp collects results to be given up. The caller holds mu.
func (sh *shop) giveUp(hs []fleet.Handle) {
	first := len(sh.freed) == 0
	known, unknown := sh.q.Free(hs)
	for id, freed := range known {
		sh.freed[id] = append(sh.freed[id], freed...)
	}
	for _, h := range unknown {
		if id, ok := sh.maker(h); ok {
			sh.freed[id] = append(sh.freed[id], h)
		}
	}
	if first && len(sh.freed) > 0 {
		time.AfterFunc(freeDelay, sh.sendFreed)
	}
}

// maker returns the upstream that keeps a result, by its address.
func (sh *shop) maker(h fleet.Handle) (wire.UpstreamID, bool) {
	addr := platform.Maker(h)
	for id, u := range sh.ups {
		if u.Address == addr {
			return id, true
		}
	}
	return "", false
}

// sendFreed tells upstreams of the results that were given up.
func (sh *shop) sendFreed() {
	sh.mu.Lock()
	freed := sh.freed
	sh.freed = map[wire.UpstreamID][]fleet.Handle{}
	ups := maps.Clone(sh.ups)
	sh.mu.Unlock()
	for id, hs := range freed {
		u, ok := ups[id]
		if !ok {
			continue // results don't outlive their upstream
		}
		sh.ss.s.work.Go(func() {
			if err := sh.sendFree(u, hs); err != nil {
				sh.ss.s.log.Debug("results not given up", "upstream", u.ID, "results", len(hs), "err", err)
				sh.ss.s.count("frees_failed")
			}
		})
	}
}

func (sh *shop) sendFree(u fleet.Upstream, hs []fleet.Handle) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), freeLimit)
	defer cancel()
	req, err := platform.StageFree(u, hs)
	if err != nil {
		return err
	}
	resp, err := sh.ss.frees.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxStageAnswer))
	return err
}

// poll asks the queue again after the time that it named.
func (sh *shop) poll() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.dispatch()
}

// dispatch starts all calls that can start now. The caller holds mu.
func (sh *shop) dispatch() {
	now := time.Now()
	next := time.Duration(-1)
	for _, id := range slices.Sorted(maps.Keys(sh.ups)) {
		for {
			ps, late, wait := sh.q.Next(now, id)
			for _, p := range late {
				sh.fail(p.Value.job, reasonLate)
			}
			if len(ps) == 0 {
				if wait > 0 && (next < 0 || wait < next) {
					next = wait
				}
				break
			}
			u, limit := sh.ups[id], sh.q.Limit(id, len(ps))
			sh.ss.s.work.Go(func() { sh.call(u, ps, limit) })
		}
	}
	if sh.q.Len() > 0 && next >= 0 {
		sh.timer.Reset(next)
	}
}

// call makes one stage call and hands out its results.
func (sh *shop) call(u fleet.Upstream, ps []batch.Piece[*work], limit time.Duration) {
	began := time.Now()
	results, status, err := sh.ss.send(u, ps, limit)
	if err != nil {
		sh.ss.s.log.Warn("stage call failed", "service", sh.id, "upstream", u.ID, "pieces", len(ps),
			"request", ps[0].Value.order.Request, "took", time.Since(began).String(), "limit", limit.String(), "status", status, "err", err)
		sh.ss.s.count("stage_calls", "outcome", "failed")
	} else {
		sh.ss.s.count("stage_calls", "outcome", "done")
		sh.ss.s.counter("stage_pieces", int64(len(ps)))
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	end := batch.Result{Failed: err != nil, Full: errors.Is(err, errFull), Made: map[fleet.Handle]fleet.Bytes{}}
	var unused []fleet.Handle
	for i, p := range ps {
		end.Reserved += p.Size
		if err != nil {
			sh.again(p, end.Full || !reached(err))
			continue
		}
		r := results[i]
		if r.Handle == "" {
			end.NoRoom = end.NoRoom || r.Reason == platform.FailRoom
			sh.unmade(p, r.Reason)
			continue
		}
		end.Made[r.Handle] = p.Size
		if !sh.hand(p.Value, r.Handle) {
			unused = append(unused, r.Handle)
		}
	}
	sh.q.Done(time.Now(), u.ID, end)
	sh.giveUp(unused)
	sh.dispatch()
}

// hand gives a result to its job and reports whether it was still wanted.
func (sh *shop) hand(w *work, h fleet.Handle) bool {
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
func (sh *shop) unmade(p batch.Piece[*work], reason platform.Failure) {
	sh.ss.s.count("stage_unmade", "reason", string(reason))
	switch reason {
	case platform.FailLate:
		sh.fail(p.Value.job, reasonLate)
	case platform.FailGone:
		sh.fail(p.Value.job, reasonGone)
	default:
		sh.again(p, reason == platform.FailRoom)
	}
}

// again queues a piece once more; rejected says that no work was done on it.
func (sh *shop) again(p batch.Piece[*work], rejected bool) {
	w := p.Value
	if w.reason != "" {
		return
	}
	if !rejected {
		w.tries++
	}
	if w.tries >= maxTries {
		sh.fail(w.job, reasonFailed)
		return
	}
	if !sh.q.Push(time.Now(), p) {
		sh.fail(w.job, reasonBusy)
	}
}

// reached reports whether an upstream may have begun a call that failed.
func reached(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

var errFull = errors.New("the upstream is full")

// send makes one stage call and returns the result of each piece.
func (ss *shops) send(u fleet.Upstream, ps []batch.Piece[*work], limit time.Duration) (rs []platform.StageResult, status int, err error) {
	now := time.Now()
	items := make([]platform.StagePiece, len(ps))
	for i, p := range ps {
		o := &p.Value.order
		items[i] = platform.StagePiece{
			Request: o.Request, Stage: o.Stage, Piece: p.Value.piece,
			Left: p.Latest.Sub(now), Key: o.Key, Inputs: o.Inputs,
		}
	}
	req, err := platform.StageCall(u, items)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(limit, stageFloor))
	defer cancel()
	resp, err := ss.http.Do(req.WithContext(ctx))
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStageAnswer))
	if err != nil {
		return nil, resp.StatusCode, err
	}
	if resp.StatusCode != http.StatusOK {
		if platform.ReadAnswer(resp.StatusCode, resp.Header).NotRun && resp.StatusCode != http.StatusMisdirectedRequest {
			return nil, resp.StatusCode, errFull
		}
		return nil, resp.StatusCode, errors.New("stage call refused")
	}
	rs, err = platform.ReadStage(data, len(ps))
	return rs, resp.StatusCode, err
}
