package entry

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/shed"
)

// unqueuedPieces counts by service the pieces of admitted requests that have not yet
// reached the service's queue. It is safe for concurrent use.
type unqueuedPieces struct {
	mu        sync.Mutex
	byService map[fleet.ServiceID]Load                  // Coming, Late and Resumed only
	byRank    map[fleet.ServiceID][fleet.RankLevels]int // pieces in Coming
}

// add adds n pieces of a request with the given rank, or removes them if n is negative. late says
// whether they yield to others, resumed whether they are for a stream that its caller takes up
// again.
func (c *unqueuedPieces) add(id fleet.ServiceID, n, rank int, late, resumed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.byService[id]
	if late {
		l.Late += n
	} else {
		l.Coming += n
		if resumed {
			l.Resumed += n
		}
		ranks := c.byRank[id]
		ranks[fleet.RankLevel(rank)] += n
		if c.byRank[id] = ranks; l.Coming == 0 {
			delete(c.byRank, id)
		}
	}
	if c.byService[id] = l; l == (Load{}) {
		delete(c.byService, id)
	}
}

// stageLoads returns this router's share of the pending work of each stage service. owned
// holds the work of the queues that it owns, of which those of divided services are left
// out. Undivided queues that the router owned before still count with what waits in them.
func (s *Server) stageLoads(owned map[shard.ID]Load) map[fleet.ServiceID]Load {
	loads := map[fleet.ServiceID]Load{}
	s.unqueued.mu.Lock()
	maps.Copy(loads, s.unqueued.byService)
	s.unqueued.mu.Unlock()
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	for id, sq := range s.queues.byID {
		if id.Centre != "" {
			continue
		}
		l, ok := owned[id]
		if !ok {
			l = sq.load(time.Time{})
		}
		l.Coming = loads[id.Service].Coming
		l.Resumed += loads[id.Service].Resumed
		if l.Late += loads[id.Service].Late; l != (Load{}) {
			loads[id.Service] = l
		}
	}
	return loads
}

// admitStages returns a refusal if the stages of the request can't run in time.
// Otherwise it counts the pieces of the request as unqueued.
func (x *exchange) admitStages() *refusal {
	if len(x.route.Stages) == 0 {
		return nil
	}
	now := time.Now()
	owned := x.s.queues.ownedLoads(now)
	own := x.s.stageLoads(owned)
	services := x.s.queues.layout.Load().services
	backlogs := map[fleet.ServiceID]admit.Backlog{}
	for _, st := range x.route.Stages {
		if _, ok := backlogs[st.Service]; !ok && len(services[st.Service]) > 0 {
			backlogs[st.Service] = x.s.peers.backlog(now, services[st.Service], own[st.Service], owned)
		}
	}
	cfg := x.view.Config
	seen := func(id fleet.ServiceID) admit.Backlog { return backlogs[id] }
	var others admit.Yielding = admit.FixedCut{Config: cfg, Route: x.route, FirstEventTime: x.s.expectedFirstEvent}
	var v *verdict
	if x.s.shedding.on.Load() {
		v = x.newVerdict(now, backlogs, owned)
		seen, others = v.backlog, v
	}
	forecast := admit.Predict(cfg, x.route, &x.spec, x.s.expectedFirstEvent(x.route), seen)
	forecastError := x.s.forecastErrors.Expected(x.route.ID)
	decision := admit.Decide(x.route, forecast, x.remaining(), forecastError, others)
	if v != nil && decision.Reason == admit.ReasonLate {
		v.sheds(shed.Late)
	}
	if x.spec.Resumed && !decision.OK {
		first := admit.Predict(cfg, x.route, &x.spec, x.s.expectedFirstEvent(x.route), func(id fleet.ServiceID) admit.Backlog { return backlogs[id].BehindResumed() })
		// forecastError comes from new requests, behind whose backlog the stream does not wait.
		decision.OK = admit.DecideResumed(first, x.remaining(), 0) || admit.DecideResumed(forecast, x.remaining(), forecastError)
	}
	if !decision.OK && x.admitLate(forecastError, backlogs) {
		x.late = true
		if decision.Reason == admit.ReasonShed {
			v.count("delayed")
		}
	} else if !decision.OK {
		logger := x.s.log.With("request", x.spec.ID, "reason", decision.Reason, "wait_ms", decision.Wait.Milliseconds(),
			"total_ms", forecast.Total.Milliseconds(), "error_ms", forecastError.Milliseconds(), "aim_ms", x.route.TargetLatency.Milliseconds(), "retry_ms", decision.RetryAfter.Milliseconds())
		if decision.Reason == admit.ReasonShed {
			sh := v.shortages[v.service]
			logger.Info("request shed", "service", v.service, "rank", x.rank, "group", v.group.String(), "size", v.size.String(), "work_ms", int64(1000*v.work),
				"fraction", v.fraction, "level_age_ms", sh.levelAge.Milliseconds(), "lasted_ms", sh.lasted.Milliseconds(), "bound_ms", sh.Bound[fleet.RankLevel(x.rank)].Milliseconds())
			v.count("refused")
		} else {
			logger.Info("stages would be late")
		}
		return &refusal{http.StatusServiceUnavailable, "stages: " + decision.Reason, admit.RetryDelay(decision.RetryAfter, decision.Spare, x.remaining(), randomFraction())}
	}
	if !x.late {
		x.stageForecast = forecast.StageTime
	}
	x.unqueuedByStage = make([]int, len(x.route.Stages))
	for i, st := range x.route.Stages {
		x.unqueuedByStage[i] = x.spec.PieceCount(i)
		x.s.unqueued.add(st.Service, x.unqueuedByStage[i], x.rank, x.late, x.spec.Resumed)
	}
	return nil
}

// admitLate reports whether the stages of a request that would miss its target can run
// behind all others before its caller leaves.
func (x *exchange) admitLate(forecastError time.Duration, backlogs map[fleet.ServiceID]admit.Backlog) bool {
	f := admit.Predict(x.view.Config, x.route, &x.spec, x.s.expectedFirstEvent(x.route), func(id fleet.ServiceID) admit.Backlog { return backlogs[id].BehindAll() })
	if !admit.DecideLate(f, x.patience(), forecastError) {
		return false
	}
	x.s.log.Info("admitted late", "request", x.spec.ID, "total_ms", f.Total.Milliseconds(), "error_ms", forecastError.Milliseconds(),
		"aim_ms", x.route.TargetLatency.Milliseconds(), "patience_ms", x.patience().Milliseconds())
	x.s.incCounter("admitted_late")
	return true
}

// patience returns the time until the request's deadline or until its caller is expected
// to leave, whichever comes first.
func (x *exchange) patience() time.Duration {
	return min(x.remaining(), x.start.Add(admit.Patience(x.route)).Sub(bootNow()))
}

// awaitedFor returns the time for which the results of the stages are of use. A caller that gets
// no event in time leaves without an answer, so its request is refused before.
func (x *exchange) awaitedFor() time.Duration {
	if x.headerSent || x.route.Kind != fleet.Stream && !x.late {
		return x.remaining()
	}
	return x.patience() - answerMargin
}

// markQueued stops counting the pieces of a stage as unqueued.
func (x *exchange) markQueued(stage int) {
	if x.unqueuedByStage == nil {
		return
	}
	x.unqueuedMu.Lock()
	n := x.unqueuedByStage[stage]
	x.unqueuedByStage[stage] = 0
	x.unqueuedMu.Unlock()
	x.s.unqueued.add(x.route.Stages[stage].Service, -n, x.rank, x.late, x.spec.Resumed)
}

// releaseUnqueued stops counting the pieces of all stages as unqueued.
func (x *exchange) releaseUnqueued() {
	for i := range x.unqueuedByStage {
		x.markQueued(i)
	}
}
