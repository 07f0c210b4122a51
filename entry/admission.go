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

// stagePlan is what the admission expects of the stages of a request, and its decision.
type stagePlan struct {
	admit.Decision
	forecast      admit.Forecast
	forecastError time.Duration
	backlogs      map[fleet.ServiceID]admit.Backlog
	verdict       *verdict // nil unless requests are shed by cost
}

// planStages forecasts the stages of the request and decides whether they can run in time.
func (x *exchange) planStages(now time.Time) (p stagePlan) {
	owned := x.s.queues.ownedLoads(now)
	own := x.s.stageLoads(owned)
	services := x.s.queues.layout.Load().services
	p.backlogs = map[fleet.ServiceID]admit.Backlog{}
	for _, st := range x.route.Stages {
		if _, ok := p.backlogs[st.Service]; !ok && len(services[st.Service]) > 0 {
			p.backlogs[st.Service] = x.s.peers.backlog(now, services[st.Service], own[st.Service], owned)
		}
	}
	cfg, firstEvent := x.view.Config, x.s.expectedFirstEvent(x.route)
	seen := func(id fleet.ServiceID) admit.Backlog { return p.backlogs[id] }
	var others admit.Yielding = admit.FixedCut{Config: cfg, Route: x.route, FirstEventTime: x.s.expectedFirstEvent}
	if x.s.shedding.on.Load() {
		p.verdict = x.newVerdict(now, p.backlogs, owned)
		seen, others = p.verdict.backlog, p.verdict
	}
	p.forecast = admit.Predict(cfg, x.route, &x.spec, firstEvent, seen)
	p.forecastError = x.s.forecastErrors.Expected(x.route.ID)
	p.Decision = admit.Decide(x.route, p.forecast, x.remaining(), p.forecastError, others)
	if p.verdict != nil && p.Reason == admit.ReasonLate {
		p.verdict.sheds(shed.Late)
	}
	if x.spec.Resumed && !p.OK {
		first := admit.Predict(cfg, x.route, &x.spec, firstEvent, func(id fleet.ServiceID) admit.Backlog { return p.backlogs[id].BehindResumed() })
		// forecastError comes from new requests, behind whose backlog the stream does not wait.
		p.OK = admit.DecideResumed(first, x.remaining(), 0) || admit.DecideResumed(p.forecast, x.remaining(), p.forecastError)
	}
	return p
}

// planLate returns the forecast of the request behind all others, and whether its stages can run
// so before its caller leaves.
func (x *exchange) planLate(p stagePlan) (f admit.Forecast, ok bool) {
	f = admit.Predict(x.view.Config, x.route, &x.spec, x.s.expectedFirstEvent(x.route), func(id fleet.ServiceID) admit.Backlog { return p.backlogs[id].BehindAll() })
	return f, admit.DecideLate(f, x.patience(), p.forecastError)
}

// admitStages returns a refusal if the stages of the request can't run in time.
// Otherwise it counts the pieces of the request as unqueued.
func (x *exchange) admitStages() *refusal {
	if len(x.route.Stages) == 0 {
		return nil
	}
	p := x.planStages(time.Now())
	if !p.OK && x.admitLate(p) {
		x.late = true
		if p.Reason == admit.ReasonShed {
			p.verdict.count("delayed")
		}
	} else if !p.OK {
		logger := x.s.log.With("request", x.spec.ID, "reason", p.Reason, "wait_ms", p.Wait.Milliseconds(),
			"total_ms", p.forecast.Total.Milliseconds(), "error_ms", p.forecastError.Milliseconds(), "aim_ms", x.route.TargetLatency.Milliseconds(), "retry_ms", p.RetryAfter.Milliseconds())
		if p.Reason == admit.ReasonShed {
			v := p.verdict
			sh := v.shortages[v.service]
			logger.Info("request shed", "service", v.service, "rank", x.rank, "group", v.group.String(), "size", v.size.String(), "work_ms", int64(1000*v.work),
				"fraction", v.fraction, "level_age_ms", sh.levelAge.Milliseconds(), "lasted_ms", sh.lasted.Milliseconds(), "bound_ms", sh.Bound[fleet.RankLevel(x.rank)].Milliseconds())
			v.count("refused")
		} else {
			logger.Info("stages would be late")
		}
		return &refusal{http.StatusServiceUnavailable, "stages: " + p.Reason, admit.RetryDelay(p.RetryAfter, p.Spare, x.remaining(), randomFraction())}
	}
	if !x.late {
		x.stageForecast = p.forecast.StageTime
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
func (x *exchange) admitLate(p stagePlan) bool {
	f, ok := x.planLate(p)
	if !ok {
		return false
	}
	x.s.log.Info("admitted late", "request", x.spec.ID, "total_ms", f.Total.Milliseconds(), "error_ms", p.forecastError.Milliseconds(),
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
