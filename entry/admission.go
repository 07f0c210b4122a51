package entry

import (
	"net/http"
	"sync"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/route"
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

// stageLoads returns this router's share of the pending work of each stage service.
func (s *Server) stageLoads(now time.Time) map[fleet.ServiceID]Load {
	alive := s.peers.ownerCandidates(now)
	out := map[fleet.ServiceID]Load{}
	s.unqueued.mu.Lock()
	for id, n := range s.unqueued.byService {
		out[id] = Load{Coming: n}
	}
	s.unqueued.mu.Unlock()
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	for id, sq := range s.queues.byService {
		l := out[id]
		sq.mu.Lock()
		l.Waiting = sq.q.Len()
		if route.Owner(string(id), alive) == s.cfg.Name {
			l.Rate = sq.q.Rate(now)
		}
		sq.mu.Unlock()
		out[id] = l
	}
	return out
}

// admitStages returns a refusal if the stages of the request can't run in time.
// Otherwise it counts the pieces of the request as unqueued.
func (x *exchange) admitStages() *refusal {
	if len(x.route.Stages) == 0 {
		return nil
	}
	now := time.Now()
	own := x.s.stageLoads(now)
	backlogs := map[fleet.ServiceID]admit.Backlog{}
	for _, st := range x.route.Stages {
		if _, ok := backlogs[st.Service]; !ok {
			backlogs[st.Service] = x.s.peers.backlog(now, st.Service, own[st.Service])
		}
	}
	cfg := x.view.Config
	f := admit.Predict(cfg, x.route, &x.spec, x.s.expectedFirstEvent(x.route), func(id fleet.ServiceID) admit.Backlog { return backlogs[id] })
	late := x.s.forecastErrors.Expected(x.route.ID)
	v := admit.Decide(cfg, x.route, f, x.remaining(), late, x.s.expectedFirstEvent)
	if !v.OK {
		x.s.log.Info("stages would be late", "request", x.spec.ID, "reason", v.Reason, "wait_ms", v.Wait.Milliseconds(),
			"total_ms", f.Total.Milliseconds(), "error_ms", late.Milliseconds(), "aim_ms", x.route.TargetLatency.Milliseconds(), "retry_ms", v.RetryAfter.Milliseconds())
		return &refusal{http.StatusServiceUnavailable, "stages: " + v.Reason, admit.RetryDelay(v.RetryAfter, v.Spare, x.remaining(), randomFraction())}
	}
	x.stageForecast = f.StageTime
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
