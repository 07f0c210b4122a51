package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

const (
	// ownerTimeoutMargin is the time beyond an order's own after which its owner counts as
	// silent.
	ownerTimeoutMargin = 150 * time.Millisecond
	// maxOrderAttempts bounds how many owners an order is given to.
	maxOrderAttempts = 3
	// orderRetryDelay is the pause before an order goes to the next owner.
	orderRetryDelay = 30 * time.Millisecond
)

// stageError says why the results of a stage were not made.
type stageError struct {
	stage  int
	reason string
	retry  time.Duration
}

// Error implements error.
func (e *stageError) Error() string { return fmt.Sprintf("stage %d: %s", e.stage, e.reason) }

// stageResults are those of a request's stages.
type stageResults struct {
	s     *Server
	route *fleet.Route

	mu      sync.Mutex
	handles [][]fleet.Handle // by stage
	freed   []bool
}

// runStages makes the results of all stages of a request, those that don't depend on
// each other at the same time. What it made is freed by release, also after an error.
func (s *Server) runStages(ctx context.Context, x *exchange, centre wire.DataCentreID) (rs *stageResults, err error) {
	stages := x.route.Stages
	rs = &stageResults{s: s, route: x.route, handles: make([][]fleet.Handle, len(stages)), freed: make([]bool, len(stages))}
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
				return err // the stages that wait for this one end with the context
			}
			close(ready[i])
			return nil
		})
	}
	begun := time.Now()
	if err = p.Wait(); err == nil {
		s.errors.Learn(x.route.ID, time.Since(begun)-x.forecast)
	}
	return rs, err
}

// runStage makes the results of one stage and frees those that only it has read.
func (rs *stageResults) runStage(ctx context.Context, x *exchange, i int, centre wire.DataCentreID) error {
	st := &rs.route.Stages[i]
	n := x.need.PieceCount(i)
	if n == 0 {
		return nil
	}
	rest := rs.s.timeAfterStage(x, i)
	o := Order{
		Request: x.need.ID, Service: st.Service, Stage: i, Pieces: n, Size: st.Size, Moved: fleet.Moved(rs.route.Stages, &x.need, i), Centre: centre, Rank: x.rank,
		Aim: x.aimLeft() - rest, Left: x.left() - rest,
	}
	if len(st.After) == 0 {
		o.Key = x.need.Key
	} else {
		o.Inputs = rs.inputs(st.After)
	}
	x.reached(i)
	m, err := rs.s.placeOrder(ctx, o)
	if err != nil {
		return err
	}
	if m.Reason != "" {
		return &stageError{i, m.Reason, m.Retry}
	}
	rs.mu.Lock()
	rs.handles[i] = m.Handles
	rs.mu.Unlock()
	for _, a := range st.After {
		if fleet.Use(rs.route.Stages, a) == i {
			rs.free(a)
		}
	}
	return nil
}

func (rs *stageResults) inputs(stages []int) (hs []fleet.Handle) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, i := range stages {
		hs = append(hs, rs.handles[i]...)
	}
	return hs
}

// finalHandles returns the results that the request itself reads.
func (rs *stageResults) finalHandles() []fleet.Handle { return rs.inputs(fleet.Final(rs.route.Stages)) }

// available reports whether the results that the request reads were not freed.
func (rs *stageResults) available() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, i := range fleet.Final(rs.route.Stages) {
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

func (rs *stageResults) free(i int) {
	rs.mu.Lock()
	hs := rs.handles[i]
	done := rs.freed[i]
	rs.freed[i] = true
	rs.mu.Unlock()
	if done || len(hs) == 0 {
		return
	}
	rs.s.freeResults(Freed{rs.route.Stages[i].Service, hs})
}

// freeResults tells the owner of a service's queue that results are no longer needed.
func (s *Server) freeResults(f Freed) {
	owner := s.queues.owner(f.Service)
	if owner == s.cfg.Name {
		s.queues.free(f)
		return
	}
	s.work.Go(func() {
		var none int
		if err := s.callOwner(context.Background(), owner, "Peer.Free", f, &none, heartbeatTimeout); err != nil {
			s.log.Debug("results not given up", "service", f.Service, "owner", owner, "err", err)
			s.count("frees_failed")
		}
	})
}

var errOwnerUnknown = errors.New("the owner's address is unknown")

func (s *Server) callOwner(ctx context.Context, owner wire.HostID, method string, args, answer any, limit time.Duration) error {
	addr, ok := s.peers.address(owner)
	if !ok {
		return errOwnerUnknown
	}
	return s.peers.call(ctx, addr, method, args, answer, limit)
}

// placeOrder gives an order to the owner of the service's queue, and to the next owner
// when the first dies meanwhile. Pieces may be made again.
func (s *Server) placeOrder(ctx context.Context, o Order) (m Made, err error) {
	until := time.Now().Add(o.Left)
	for range maxOrderAttempts {
		o.Left = time.Until(until)
		if o.Left <= 0 {
			return Made{Reason: reasonLate}, nil
		}
		owner := s.queues.owner(o.Service)
		if owner == s.cfg.Name {
			return s.queues.make(ctx, o), ctx.Err()
		}
		if m, err = s.orderFrom(ctx, owner, o); err == nil || ctx.Err() != nil {
			return m, ctx.Err()
		}
		s.log.Warn("owner of a stage queue did not answer", "request", o.Request, "service", o.Service, "owner", owner, "err", err)
		s.count("orders_failed")
		o.Aim = max(o.Aim-orderRetryDelay, 0)
		if !clock.Sleep(ctx, orderRetryDelay) {
			return m, ctx.Err()
		}
	}
	return Made{Reason: reasonNoAnswer}, nil
}

// orderFrom waits for the answer of another router as long as that router lives.
func (s *Server) orderFrom(ctx context.Context, owner wire.HostID, o Order) (m Made, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.peers.onPeerLost(owner, cancel)
	defer stop()
	err = s.callOwner(ctx, owner, "Peer.Make", o, &m, o.Left+ownerTimeoutMargin)
	if ctx.Err() != nil {
		s.work.Go(func() {
			var none int
			if e := s.callOwner(context.Background(), owner, "Peer.Cancel", o, &none, heartbeatTimeout); e != nil {
				s.log.Debug("order not withdrawn", "request", o.Request, "owner", owner, "err", e)
			}
		})
	}
	return m, err
}

// timeAfterStage returns the time that a request still needs after stage i: the calls of
// the stages that follow it and its first event.
func (s *Server) timeAfterStage(x *exchange, i int) time.Duration {
	after := time.Duration(0)
	for j := i + 1; j < len(x.route.Stages); j++ {
		st := &x.route.Stages[j]
		if !slices.Contains(st.After, i) || x.need.PieceCount(j) == 0 {
			continue
		}
		svc := x.view.Config.Service(st.Service)
		after = max(after, svc.Calls.Took(x.need.PieceCount(j))+s.timeAfterStage(x, j))
	}
	if after == 0 {
		return s.firstEvent(x.route)
	}
	return after
}
