package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"hornbeamcove.example/fakes/site"
)

const (
	// memoryMB is the memory in MB that a router may use, as its settings say.
	memoryMB = 284
	// memoryInterval is the time between two looks at the memory of the routers.
	memoryInterval = 50 * time.Millisecond
	// draftHost is the host of streams with stages that may run at most once.
	draftHost = "draft.example"
)

// answerSteps are what series of answers draw from. The replicas are in trouble, the routers and
// what they owe to other requests are not.
var answerSteps = []seriesStep{
	{"answers without end", failAnswers(site.Endless, site.EndlessHead, site.EndlessFields, site.EndlessRefusal, site.StalledHead)},
	{"answers without end", failAnswers(site.Endless, site.EndlessHead, site.EndlessFields, site.EndlessRefusal, site.StalledHead)},
	{"refusals sent twice", failAnswers(site.RepeatRefusal, site.RepeatBareRefusal, site.RepeatGone)},
	{"refusals sent twice", failAnswers(site.RepeatGone)},
	{"answers with an ambiguous end", failAnswers(site.BothLengths, site.OldChunks)},
	{"answers cut at their connection, impossible statuses", failAnswers(site.CutUnframed, site.OddStatus)},
	{"burst of drafts", burstOfDrafts},
	{"burst of drafts", burstOfDrafts},
}

// failAnswers returns a step in which one replica, or all of a service, handle a part of their
// requests by one of the actions.
func failAnswers(actions ...site.Action) func(*Run, *rand.Rand, *event) {
	return func(r *Run, rng *rand.Rand, e *event) {
		r.events.setScope(e, scopeReplicas)
		service := []string{"desk", "engine", "engine", "archive", "school"}[rng.IntN(5)]
		all := slices.DeleteFunc(r.allReplicas(), func(rp *replica) bool { return rp.Service != service })
		if rng.IntN(2) == 0 {
			all = all[:1]
		}
		r.applyAction(rng, e, actions[rng.IntN(len(actions))], all...)
	}
}

// setScope changes the scope of an event. It must be called before the event has an effect.
func (es *eventLog) setScope(e *event, scope eventScope) {
	es.mu.Lock()
	defer es.mu.Unlock()
	e.scope = scope
}

// draftKind is the kind of request that a burst of drafts sends.
var draftKind = requestKind{http.MethodPost, draftHost, "/", true, true, 1, "2"}

// burstOfDrafts lets as many further callers send drafts for a random time.
func burstOfDrafts(r *Run, rng *rand.Rand, _ *event) {
	ctx, cancel := context.WithTimeout(context.Background(), randomDuration(rng, time.Second, 4*time.Second))
	defer cancel()
	var more conc.WaitGroup
	for range r.Callers {
		seed := rng.Uint64()
		more.Go(func() { r.callers.runCaller(ctx, seed, draftKind) })
	}
	more.Wait()
}

// watchMemory returns the most memory in MB that each router has used until ctx is done.
func (r *Run) watchMemory(ctx context.Context) map[string]int {
	most := map[string]int{}
	for ctx.Err() == nil {
		for _, rt := range r.routers {
			most[rt.name] = max(most[rt.name], rt.memory())
		}
		select {
		case <-time.After(memoryInterval):
		case <-ctx.Done():
		}
	}
	return most
}

// memory returns the memory in MB that the process uses, 0 if it has ended.
func (r *router) memory() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// checkMemory returns a violation for each router that has used more than memoryMB.
func (r *Run) checkMemory(most map[string]int) (violations []string) {
	for _, rt := range r.routers {
		if mb := most[rt.name]; mb > memoryMB {
			violations = append(violations, fmt.Sprintf("memory: %s has used %d of %d MB", rt.name, mb, memoryMB))
		}
	}
	return violations
}
