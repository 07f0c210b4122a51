package entry

import (
	"net/http"
	"sync"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
)

// unqueuedPieces counts by service the pieces of admitted requests that have not yet
// reached the service's queue. It is safe for concurrent use.
type unqueuedPieces struct {
	mu        sync.Mutex
	byService map[fleet.ServiceID]int
}

func (c *unqueuedPieces) add(id fleet.ServiceID, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byService[id] += n; c.byService[id] <= 0 {
		delete(c.byService, id)
	}
}

// stageLoads returns this router's share of the pending work of each stage service. owned
// holds the work of the queues that it owns, of which those of divided services are left
// out. Undivided queues that the router owned before still count with what waits in them.
func (s *Server) stageLoads(owned map[shard.ID]Load) map[fleet.ServiceID]Load {
	loads := map[fleet.ServiceID]Load{}
	s.unqueued.mu.Lock()
	for id, n := range s.unqueued.byService {
		loads[id] = Load{Coming: n}
	}
	s.unqueued.mu.Unlock()
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	for id, sq := range s.queues.byID {
		if id.Centre != "" {
			continue
		}
		l, ok := owned[id]
		if !ok {
			sq.mu.Lock()
			l.Waiting = sq.q.Len()
			sq.mu.Unlock()
		}
		if l.Coming = loads[id.Service].Coming; l != (Load{}) {
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
	forecast := admit.Predict(cfg, x.route, &x.spec, x.s.expectedFirstEvent(x.route), func(id fleet.ServiceID) admit.Backlog { return backlogs[id] })
	forecastError := x.s.forecastErrors.Expected(x.route.ID)
	decision := admit.Decide(cfg, x.route, forecast, x.remaining(), forecastError, x.s.expectedFirstEvent)
	if !decision.OK {
		x.s.log.Info("stages would be late", "request", x.spec.ID, "reason", decision.Reason, "wait_ms", decision.Wait.Milliseconds(),
			"total_ms", forecast.Total.Milliseconds(), "error_ms", forecastError.Milliseconds(), "aim_ms", x.route.TargetLatency.Milliseconds(), "retry_ms", decision.RetryAfter.Milliseconds())
		return &refusal{http.StatusServiceUnavailable, "stages: " + decision.Reason, admit.RetryDelay(decision.RetryAfter, decision.Spare, x.remaining(), randomFraction())}
	}
	x.stageForecast = forecast.StageTime
	x.unqueuedByStage = make([]int, len(x.route.Stages))
	for i, st := range x.route.Stages {
		x.unqueuedByStage[i] = x.spec.PieceCount(i)
		x.s.unqueued.add(st.Service, x.unqueuedByStage[i])
	}
	return nil
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
	x.s.unqueued.add(x.route.Stages[stage].Service, -n)
}

// releaseUnqueued stops counting the pieces of all stages as unqueued.
func (x *exchange) releaseUnqueued() {
	for i := range x.unqueuedByStage {
		x.markQueued(i)
	}
}
