package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"hornbeamcove.example/fakes/site"
)

const (
	// secondArchive is the stage service to which the stages of archive move.
	secondArchive = "second-archive"
	// movedCallTime is the time of a call to either. It is long, so that requests wait for the
	// former service for longer than drainLimit after a move.
	movedCallTime = 300 * time.Millisecond
	// moveCallers is the number of callers whose drafts wait for a service when it is dropped,
	// and moveBurst the time in which they send.
	moveCallers = 60
	moveBurst   = 1500 * time.Millisecond
)

// moveSteps are what series of moves draw from. None is trouble.
var moveSteps = []seriesStep{
	{"stages move to another service", moveUnderLoad},
	{"stages move to another service", moveUnderLoad},
	{"configuration changes", changeConfig},
	{"reload a router", reloadRouter},
	{"burst of drafts", burstOfDrafts},
}

// bulkyKind is the kind of drafts that need a whole stage call each.
var bulkyKind = requestKind{http.MethodPost, draftHost, "/", true, true, 1, "8"}

// moveStages returns the routes with the stages of archive at secondArchive.
func moveStages(rs []site.Route) []site.Route {
	rs = slices.Clone(rs)
	for i := range rs {
		rs[i].Stages = slices.Clone(rs[i].Stages)
		for j := range rs[i].Stages {
			if st := &rs[i].Stages[j]; st.Service == "archive" {
				st.Service = secondArchive
			}
		}
	}
	return rs
}

// moveServices returns the services with the one of archive and secondArchive that routes need now.
func (r *Run) moveServices(all []site.Service) []site.Service {
	i := slices.IndexFunc(all, func(s site.Service) bool { return s.Name == "archive" })
	all[i].Pieces = maps.Clone(all[i].Pieces)
	all[i].Pieces["call_ms"] = float64(movedCallTime.Milliseconds())
	if r.stagesMoved {
		all[i].Name = secondArchive
	}
	return all
}

// moveUnderLoad drops a stage service for another while requests wait for it, and then takes one of
// its replicas, or the data centre of one, out of service.
func moveUnderLoad(r *Run, rng *rand.Rand, e *event) {
	if !r.claims.claim("stages") {
		r.events.remove(e)
		return
	}
	defer r.claims.release("stages")
	ctx, cancel := context.WithTimeout(context.Background(), moveBurst)
	defer cancel()
	var burst conc.WaitGroup
	defer burst.Wait()
	for range moveCallers {
		seed := rng.Uint64()
		burst.Go(func() { r.callers.runCaller(ctx, seed, bulkyKind) })
	}
	time.Sleep(moveBurst)
	r.events.mu.Lock()
	dropped := "archive"
	if r.stagesMoved {
		dropped = secondArchive
	}
	r.stagesMoved = !r.stagesMoved
	r.putConfigLocked(routes)
	r.events.mu.Unlock()
	time.Sleep(randomDuration(rng, 0, 400*time.Millisecond))
	rp := r.randomReplica(rng, dropped)
	if rng.IntN(3) == 0 {
		r.evacuate(rng, r.events.begin("data centre is evacuated", scopeBanned), rp.Centre)
	} else {
		r.drain(rng, r.events.begin("replica drains", scopeBanned), rp)
	}
}
