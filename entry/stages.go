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
	// orderSlack is the time beyond an order's own after which its owner counts as
	// silent.
	orderSlack = 150 * time.Millisecond
	// orderTries bounds how many owners an order is given to.
	orderTries = 3
	// orderRetry is the pause before an order goes to the next owner.
	orderRetry = 30 * time.Millisecond
)

// stageError says why the results of a stage were not made.
type stageError struct {
	stage  int
	reason string
	retry  time.Duration
}

// Error implements error.
func (e *stageError) Error() string { return fmt.Sprintf("stage %d: %s", e.stage, e.reason) }

// results are those of a request's stages.
type results struct {
	s     *Server
	route *fleet.Route

	mu    sync.Mutex
	made  [][]fleet.Handle // by stage
	freed []bool
}

// prepare makes the results of all stages of a request, those that don't depend on
// each other at the same time. What it made is freed by release, also after an error.
func (s *Server) prepare(ctx context.Context, x *exchange, centre wire.DataCentreID) (rs *results, err error) {
	stages := x.route.Stages
	rs = &results{s: s, route: x.route, made: make([][]fleet.Handle, len(stages)), freed: make([]bool, len(stages))}
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
			if err := rs.stage(ctx, x, i, centre); err != nil {
				return err // the stages that wait for this one end with the context
			}
			close(ready[i])
			return nil
		})
	}
	begun := time.Now()
	if err = p.Wait(); err == nil {
		s.forecastErrors.Record(x.route.ID, time.Since(begun)-x.stageForecast)
	}
	return rs, err
}

// stage makes the results of one stage and frees those that only it has read.
func (rs *results) stage(ctx context.Context, x *exchange, i int, centre wire.DataCentreID) error {
	st := &rs.route.Stages[i]
	n := x.need.PieceCount(i)
	if n == 0 {
		return nil
	}
	rest := rs.s.expect(x, i)
	o := Order{
		Request: x.need.ID, Service: st.Service, Stage: i, Pieces: n, Size: st.ResultSize, Moved: fleet.TransferBytes(rs.route.Stages, &x.need, i), Centre: centre, Rank: x.rank,
		Aim: x.remainingAim() - rest, Left: x.remaining() - rest,
	}
	if len(st.After) == 0 {
		o.Key = x.need.PieceKey
	} else {
		o.Inputs = rs.inputs(st.After)
	}
	x.markQueued(i)
	m, err := rs.s.order(ctx, o)
	if err != nil {
		return err
	}
	if m.Reason != "" {
		return &stageError{i, m.Reason, m.Retry}
	}
	rs.mu.Lock()
	rs.made[i] = m.Handles
	rs.mu.Unlock()
	for _, a := range st.After {
		if fleet.LastConsumer(rs.route.Stages, a) == i {
			rs.free(a)
		}
	}
	return nil
}

func (rs *results) inputs(stages []int) (hs []fleet.Handle) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, i := range stages {
		hs = append(hs, rs.made[i]...)
	}
	return hs
}

// final returns the results that the request itself reads.
func (rs *results) final() []fleet.Handle { return rs.inputs(fleet.FinalStages(rs.route.Stages)) }

// kept reports whether the results that the request reads were not freed.
func (rs *results) kept() bool {
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
func (rs *results) release() {
	for i := range rs.made {
		rs.free(i)
	}
}

func (rs *results) free(i int) {
	rs.mu.Lock()
	hs := rs.made[i]
	done := rs.freed[i]
	rs.freed[i] = true
	rs.mu.Unlock()
	if done || len(hs) == 0 {
		return
	}
	rs.s.giveUp(Freed{rs.route.Stages[i].Service, hs})
}

// giveUp tells the owner of a service's queue that results are no longer needed.
func (s *Server) giveUp(f Freed) {
	owner := s.queues.owner(f.Service)
	if owner == s.cfg.Name {
		s.queues.free(f)
		return
	}
	s.background.Go(func() {
		var none int
		if err := s.callOwner(context.Background(), owner, "Peer.Free", f, &none, beatLimit); err != nil {
			s.log.Debug("results not given up", "service", f.Service, "owner", owner, "err", err)
			s.incCounter("frees_failed")
		}
	})
}

var errNoPeer = errors.New("the owner's address is unknown")

func (s *Server) callOwner(ctx context.Context, owner wire.HostID, method string, args, answer any, limit time.Duration) error {
	addr, ok := s.peers.address(owner)
	if !ok {
		return errNoPeer
	}
	return s.peers.call(ctx, addr, method, args, answer, limit)
}

// order gives an order to the owner of the service's queue, and to the next owner
// when the first dies meanwhile. Pieces may be made again.
func (s *Server) order(ctx context.Context, o Order) (m Made, err error) {
	until := time.Now().Add(o.Left)
	for range orderTries {
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
		s.incCounter("orders_failed")
		o.Aim = max(o.Aim-orderRetry, 0)
		if !clock.Sleep(ctx, orderRetry) {
			return m, ctx.Err()
		}
	}
	return Made{Reason: reasonNoAnswer}, nil
}

// orderFrom waits for the answer of another router as long as that router lives.
func (s *Server) orderFrom(ctx context.Context, owner wire.HostID, o Order) (m Made, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.peers.whenLost(owner, cancel)
	defer stop()
	err = s.callOwner(ctx, owner, "Peer.Make", o, &m, o.Left+orderSlack)
	if ctx.Err() != nil {
		s.background.Go(func() {
			var none int
			if e := s.callOwner(context.Background(), owner, "Peer.Cancel", o, &none, beatLimit); e != nil {
				s.log.Debug("order not withdrawn", "request", o.Request, "owner", owner, "err", e)
			}
		})
	}
	return m, err
}

// expect returns the time that a request still needs after stage i: the calls of
// the stages that follow it and its first event.
func (s *Server) expect(x *exchange, i int) time.Duration {
	after := time.Duration(0)
	for j := i + 1; j < len(x.route.Stages); j++ {
		st := &x.route.Stages[j]
		if !slices.Contains(st.After, i) || x.need.PieceCount(j) == 0 {
			continue
		}
		svc := x.view.Config.Service(st.Service)
		after = max(after, svc.StageCalls.ExpectedTime(x.need.PieceCount(j))+s.expect(x, j))
	}
	if after == 0 {
		return s.expectedFirstEvent(x.route)
	}
	return after
}
