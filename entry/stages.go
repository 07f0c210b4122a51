package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/pool"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
)

const (
	// orderTimeoutMargin is added to the time left for an order to get the timeout of the
	// call to the queue's owner.
	orderTimeoutMargin = 150 * time.Millisecond
	// maxOrderAttempts bounds how many times an order is placed.
	maxOrderAttempts = 3
	// orderRetryDelay is the pause before an order is placed again.
	orderRetryDelay = 30 * time.Millisecond
)

// stageError reports why the results of a stage were not made.
type stageError struct {
	stage  int
	reason string        // see Made.Reason
	retry  time.Duration // see Made.Retry
}

// Error names the stage and the reason.
func (e *stageError) Error() string { return fmt.Sprintf("stage %d: %s", e.stage, e.reason) }

// stageResults holds the results of a request's stages.
type stageResults struct {
	s     *Server
	route *fleet.Route

	mu      sync.Mutex
	handles [][]fleet.Handle // by stage
	shards  []shard.ID       // queue that made the results, by stage
	reads   []int            // number of stages that have read the results, by stage
	freed   []bool           // by stage
}

// runStages makes the results of all stages of a request; stages that don't depend on
// each other run concurrently. centre is the data centre that reads the results. The
// caller must release the results, also after an error.
func (s *Server) runStages(ctx context.Context, x *exchange, centre wire.DataCentreID) (rs *stageResults, err error) {
	stages := x.route.Stages
	rs = &stageResults{s: s, route: x.route, handles: make([][]fleet.Handle, len(stages)), shards: make([]shard.ID, len(stages)), reads: make([]int, len(stages)), freed: make([]bool, len(stages))}
	ready := make([]chan struct{}, len(stages))
	for i := range ready {
		ready[i] = make(chan struct{})
	}
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for i := range stages {
		p.Go(func(ctx context.Context) error {
			for _, a := range stages[i].After {
				select {
				case <-ready[a]:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if err := rs.runStage(ctx, x, i, centre); err != nil {
				return err // cancels the context, so the stages that wait for this one return
			}
			rs.freeInputs(i)
			close(ready[i])
			return nil
		})
	}
	start := time.Now()
	if err = p.Wait(); err == nil && !x.late && !x.spec.Resumed && !x.orderWaits.hasFailed() {
		s.forecastErrors.Record(x.route.ID, time.Since(start)-x.stageForecast)
	}
	return rs, err
}

// runStage makes the results of stage i.
func (rs *stageResults) runStage(ctx context.Context, x *exchange, i int, centre wire.DataCentreID) error {
	st := &rs.route.Stages[i]
	n := x.spec.PieceCount(i)
	if n == 0 {
		return nil
	}
	timeAfter := rs.s.timeAfterStage(x, i)
	o := Order{
		Request: x.spec.ID, Service: st.Service, Stage: i, Pieces: n, Size: st.ResultSize, Moved: fleet.TransferBytes(rs.route.Stages, &x.spec, i), Centre: centre, Rank: x.rank,
		Aim: x.remainingToTarget() - timeAfter, Left: x.awaitedFor() - timeAfter, Late: x.late, Resumed: x.spec.Resumed, Bound: x.s.shedding.boundOf(st.Service, x.rank), Team: x.teamID(),
	}
	if len(st.After) == 0 {
		o.Key = x.spec.PieceKey
	} else {
		o.Inputs = rs.handlesOf(st.After)
	}
	x.markQueued(i)
	m, madeBy, err := rs.s.placeOrder(ctx, o, &x.orderWaits)
	if err != nil {
		return err
	}
	if m.Reason != "" {
		return &stageError{i, m.Reason, m.Retry}
	}
	rs.mu.Lock()
	rs.handles[i], rs.shards[i] = m.Handles, madeBy
	rs.mu.Unlock()
	return nil
}

// freeInputs frees the inputs of stage i that no other stage needs any more.
func (rs *stageResults) freeInputs(i int) {
	for _, a := range rs.route.Stages[i].After {
		if rs.countRead(a) == fleet.Consumers(rs.route.Stages, a) {
			rs.free(a)
		}
	}
}

// countRead records that a stage has read the results of stage i, and returns how many
// have.
func (rs *stageResults) countRead(i int) int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.reads[i]++
	return rs.reads[i]
}

// handlesOf returns the results of the given stages.
func (rs *stageResults) handlesOf(stages []int) (hs []fleet.Handle) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, i := range stages {
		hs = append(hs, rs.handles[i]...)
	}
	return hs
}

// finalHandles returns the results that the request itself reads.
func (rs *stageResults) finalHandles() []fleet.Handle {
	return rs.handlesOf(fleet.FinalStages(rs.route.Stages))
}

// available reports whether none of the results that the request itself reads has been
// freed.
func (rs *stageResults) available() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, i := range fleet.FinalStages(rs.route.Stages) {
		if rs.freed[i] {
			return false
		}
	}
	return true
}

// release frees all results.
func (rs *stageResults) release() {
	for i := range rs.handles {
		rs.free(i)
	}
}

// free releases the results of stage i, once.
func (rs *stageResults) free(i int) {
	rs.mu.Lock()
	hs, madeBy := rs.handles[i], rs.shards[i]
	done := rs.freed[i]
	rs.freed[i] = true
	rs.mu.Unlock()
	if done || len(hs) == 0 {
		return
	}
	rs.s.freeResults(Freed{Service: rs.route.Stages[i].Service, Shard: madeBy, Handles: hs})
}

// freeResults tells the owner of a queue which results are no longer needed. If the queue
// is gone, it tells the owners of the queues that have their upstreams now.
func (s *Server) freeResults(f Freed) {
	owner := s.queues.owner(f.Shard)
	if owner == "" {
		for _, h := range f.Handles {
			if id, ok := s.queues.holder(f.Service, h); ok {
				s.freeResultsAt(s.queues.owner(id), Freed{f.Service, id, []fleet.Handle{h}, f.Forwarded})
			}
		}
		return
	}
	s.freeResultsAt(owner, f)
}

// freeResultsAt tells a router which results of its queue are no longer needed. If the router does not
// answer, this one frees them at the upstreams.
func (s *Server) freeResultsAt(owner wire.HostID, f Freed) {
	if owner == s.cfg.Name {
		s.queues.free(f)
		return
	}
	s.background.Go(func() {
		var reply int
		if err := s.callOwner(context.Background(), owner, "Peer.Free", f, &reply, heartbeatTimeout); err != nil {
			s.log.Debug("could not free results at queue owner", "queue", f.Shard.String(), "owner", owner, "err", err)
			s.incCounter("frees_failed")
			s.queues.free(f)
		}
	})
}

var errOwnerUnknown = errors.New("address of queue owner is unknown")

// callOwner calls a method of the router that owns a queue.
func (s *Server) callOwner(ctx context.Context, owner wire.HostID, method string, args, answer any, timeout time.Duration) error {
	addr, ok := s.peers.address(owner)
	if !ok {
		return errOwnerUnknown
	}
	return s.peers.call(ctx, addr, method, args, answer, timeout)
}

// placeOrder places an order with the owner of a queue of the service, and returns the
// queue too. If the call fails or the queue is gone, it places the order again, with another
// owner if there is one; owners that have ended, are lost or don't answer don't count as attempts. Pieces may
// be made twice, unless the owner has ended. waits records what the order waited for.
func (s *Server) placeOrder(ctx context.Context, o Order, waits *orderWaits) (m Made, madeBy shard.ID, err error) {
	deadline := time.Now().Add(o.Left)
	var failed []wire.HostID
	for attempts := 0; attempts < maxOrderAttempts; {
		o.Left = time.Until(deadline)
		if o.Left <= 0 {
			return Made{Reason: reasonLate}, madeBy, nil
		}
		id, owner, ok := s.queues.choose(&o, failed)
		if !ok {
			return Made{Reason: reasonNoUpstream}, madeBy, ctx.Err()
		}
		o.Shard = id
		began := time.Now()
		if owner == s.cfg.Name {
			m, err = s.queues.makePieces(ctx, o), ctx.Err()
		} else {
			m, err = s.orderFrom(ctx, owner, o)
		}
		w := s.orderWait(o.Stage, owner, began, m, err)
		waits.add(w)
		if ctx.Err() != nil || err == nil && m.Reason != reasonMoved {
			return m, id, ctx.Err()
		}
		now := time.Now()
		ended := errors.Is(err, syscall.ECONNREFUSED) && s.peers.recordEnded(now, owner)
		gone := err != nil && s.peers.isGone(now, owner)
		s.log.Warn("owner of a stage queue did not answer", "request", o.Request, "service", o.Service, "queue", id.String(), "owner", owner, "ended", ended, "gone", gone, "waited_ms", w.Waited, "heard_ms", w.Heard, "reason", m.Reason, "err", err)
		s.incCounter("orders_failed")
		failed = append(failed, owner)
		if ended || gone {
			s.queues.reassign(now)
			continue // at once: the owner is none until it is heard of again or answers
		}
		attempts++
		o.Aim = max(o.Aim-orderRetryDelay, 0)
		if !clock.Sleep(ctx, orderRetryDelay) {
			return m, madeBy, ctx.Err()
		}
	}
	return Made{Reason: reasonNoAnswer}, madeBy, nil
}

// orderWait is one placement of an order, for the log.
type orderWait struct {
	Stage   int         `json:"stage"`
	Owner   wire.HostID `json:"owner"`
	Waited  int64       `json:"waited_ms"`
	Heard   int64       `json:"heard_ms"` // time since the owner was last heard of when the wait ended; 0 for this router
	Outcome string      `json:"outcome"`  // reason of Made, outcomeMade or outcomeFailed
}

// Values of orderWait.Outcome beside the reasons of Made.
const (
	outcomeMade   = "made"
	outcomeFailed = "failed" // the owner did not answer
)

// orderWait returns the record of a placement that began at a time and ends now.
func (s *Server) orderWait(stage int, owner wire.HostID, began time.Time, m Made, err error) orderWait {
	now := time.Now()
	w := orderWait{Stage: stage, Owner: owner, Waited: now.Sub(began).Milliseconds(), Heard: s.peers.sinceHeard(now, owner).Milliseconds(), Outcome: outcomeMade}
	switch {
	case err != nil:
		w.Outcome = outcomeFailed
	case m.Reason != "":
		w.Outcome = m.Reason
	}
	return w
}

// orderWaits collects the placements of the orders of one request. It is safe for concurrent use; a
// nil one collects nothing.
type orderWaits struct {
	mu  sync.Mutex
	all []orderWait
}

func (ws *orderWaits) add(w orderWait) {
	if ws == nil {
		return
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.all = append(ws.all, w)
}

// hasFailed reports whether an owner did not answer.
func (ws *orderWaits) hasFailed() bool {
	return slices.ContainsFunc(ws.list(), func(w orderWait) bool { return w.Outcome == outcomeFailed })
}

func (ws *orderWaits) list() []orderWait {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.Clone(ws.all)
}

// orderFrom places an order with another router and waits for the answer while that
// router is alive. An order that is abandoned is cancelled at the router.
func (s *Server) orderFrom(ctx context.Context, owner wire.HostID, o Order) (m Made, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.peers.onPeerLost(owner, cancel)
	defer stop()
	if addr, ok := s.peers.address(owner); ok {
		s.peers.reach.addOrders(addr, 1)
		defer s.peers.reach.addOrders(addr, -1)
	}
	answer := new(Made) // still written to after the call was abandoned
	err = s.callOwner(ctx, owner, "Peer.Make", o, answer, o.Left+orderTimeoutMargin)
	if ctx.Err() != nil {
		s.background.Go(func() {
			var reply int
			if e := s.callOwner(context.Background(), owner, "Peer.Cancel", o, &reply, heartbeatTimeout); e != nil {
				s.log.Debug("could not cancel order at queue owner", "request", o.Request, "owner", owner, "err", e)
			}
		})
	}
	if err != nil {
		return Made{}, err
	}
	return *answer, nil
}

// timeAfterStage returns the time that a request is expected to need after stage i: the
// longest chain of stage calls that follow it, and the wait for its first event.
func (s *Server) timeAfterStage(x *exchange, i int) time.Duration {
	after := time.Duration(0)
	for j := range x.route.Stages {
		st := &x.route.Stages[j]
		if !slices.Contains(st.After, i) || x.spec.PieceCount(j) == 0 {
			continue
		}
		svc := x.view.Config.Service(st.Service)
		after = max(after, svc.StageCalls.ExpectedTime(x.spec.PieceCount(j))+s.timeAfterStage(x, j))
	}
	if after == 0 {
		return s.expectedFirstEvent(x.route)
	}
	return after
}
