package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"hornbeamcove.example/fakes/site"
)

const (
	// minSilence and maxSilence bound the time for which sound replicas fall silent: the
	// platform's "a second or so". minSpeech is the least time between two silences of one.
	minSilence = 800 * time.Millisecond
	maxSilence = 2 * time.Second
	minSpeech  = time.Second
	// lateCallers is the number of callers that send to one stopping router until it is gone,
	// and lateWarmup the time before the stop in which they open connections.
	lateCallers = 6
	lateWarmup  = 300 * time.Millisecond
	latePause   = 10 * time.Millisecond
	// cutWindow is the last part of the time to stop, in which requests may be cut that were
	// sent no later than cutSent after SIGTERM: the platform's last sixth, and 3 s.
	cutWindow = stopSeconds * time.Second / 6
	cutSent   = 3 * time.Second
)

// seriesStep is a step of a series, which returns when it has ended.
type seriesStep struct {
	name string
	run  func(r *Run, rng *rand.Rand, e *event)
}

// seriesSteps are what a series draws from; repeated entries are drawn more often. None is
// trouble, so the checks excuse nothing by them.
var seriesSteps = []seriesStep{
	{"replicas fall silent", fallSilent},
	{"replicas fall silent", fallSilent},
	{"replicas fall silent", fallSilent},
	{"stop a router under load", stopUnderLoad},
	{"stop a router under load", stopUnderLoad},
	{"reload a router", reloadRouter},
	{"configuration changes", changeConfig},
	{"burst of callers", burst},
}

// runSeries plays series of overlapping steps until end.
func (r *Run) runSeries(rng *rand.Rand, all []seriesStep, end time.Time) {
	for time.Now().Before(end) {
		var steps conc.WaitGroup
		for range 3 + rng.IntN(4) {
			s := all[rng.IntN(len(all))]
			stepRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
			steps.Go(func() {
				e := r.events.begin(s.name, scopePlanned)
				s.run(r, stepRNG, e)
				r.events.end(e)
			})
			time.Sleep(randomDuration(rng, 0, 500*time.Millisecond))
		}
		steps.Wait()
	}
}

// fallSilent makes one replica of a service, some or all of them silent.
func fallSilent(r *Run, rng *rand.Rand, e *event) {
	service := []string{"desk", "engine", "engine", "archive", "school"}[rng.IntN(5)]
	all := slices.DeleteFunc(r.allReplicas(), func(rp *replica) bool { return rp.Service != service })
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := []int{1, 1 + rng.IntN(len(all)), len(all)}[rng.IntN(3)]
	d := randomDuration(rng, minSilence, maxSilence)
	var silent []*replica
	for _, rp := range all[:n] {
		if r.claims.claim("silence of " + rp.ID) {
			defer r.claims.release("silence of " + rp.ID)
			silent = append(silent, rp)
		}
	}
	if len(silent) == 0 {
		r.events.remove(e)
		return
	}
	r.events.setTargets(e, "", silent...)
	for _, rp := range silent {
		rp.FallSilent(d)
	}
	time.Sleep(d)
	r.events.end(e)
	time.Sleep(minSpeech)
}

// stopUnderLoad stops a router and starts it again. Callers send to it until it is gone, on
// connections that they opened before and on new ones.
func stopUnderLoad(r *Run, rng *rand.Rand, e *event) {
	rt := r.claimRouter(rng, e)
	if rt == nil {
		return
	}
	defer r.claims.release(rt.name)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var late conc.WaitGroup
	for i := range lateCallers {
		lateRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		late.Go(func() { r.callers.runLateCaller(ctx, lateRNG, rt, i%2 == 0) })
	}
	time.Sleep(lateWarmup)
	r.events.restart(e)
	rt.stop(syscall.SIGTERM, stopSeconds*time.Second)
	r.events.end(e)
	cancel()
	late.Wait()
	time.Sleep(randomDuration(rng, 50*time.Millisecond, 400*time.Millisecond))
	r.restartRouter(rt)
}

// runLateCaller sends requests to one router until ctx ends, on one connection as long as that
// stays open if keep is set, or each on a new one.
func (c *callers) runLateCaller(ctx context.Context, rng *rand.Rand, r *router, keep bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: !keep}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sendOne(client, rng, r, requestKinds[rng.IntN(len(requestKinds))], true)
		time.Sleep(latePause)
	}
}

// burst doubles the number of callers for a random time.
func burst(r *Run, rng *rand.Rand, _ *event) {
	ctx, cancel := context.WithTimeout(context.Background(), randomDuration(rng, 500*time.Millisecond, 3*time.Second))
	defer cancel()
	var more conc.WaitGroup
	for range r.Callers {
		seed := rng.Uint64()
		more.Go(func() { r.callers.runCaller(ctx, seed, requestKinds...) })
	}
	more.Wait()
}

// checkLost checks that a request which a sound replica ran has got a complete answer. Excused
// are an end by the replica, the caller or its deadline, a fault of the router or of its
// connections within contactTime before, and for streams one of the store; besides, what a stop
// cuts in its cutWindow. A silence excuses nothing. It reports whether the request was lost.
func (c *checker) checkLost(rec *requestRecord) bool {
	if rec.err == nil || rec.ended.IsZero() || !rec.abandonedAt.IsZero() || rec.ended.Sub(rec.began) >= rec.timeout {
		return false
	}
	last := c.lastRun(rec)
	if last == nil || !slices.Contains([]site.Action{site.Serve, site.PauseBeforeHead, site.PauseWithin}, last.Act) ||
		c.r.events.affected(exposure{last.Began, rec.ended, "", []string{last.Replica}}, scopeEnds) {
		return false
	}
	exposed := c.exposure(rec, rec.began, rec.ended)
	exposed.from = rec.began.Add(-contactTime)
	if c.r.events.affected(exposed, scopeRouters, scopeReplicaLink) || rec.stream && c.r.events.affected(exposed, scopeStore) ||
		c.r.events.mayBeCut(rec, last) {
		return false
	}
	c.fail("lost", "%s at %s ran at %s and was cut after %v with %d bytes of an answer, although the replica still answered: %v",
		rec.id, rec.router, last.Replica, rec.ended.Sub(rec.began), len(rec.answer), rec.err)
	return true
}

// lastRun returns the run of a request that began last, or nil if it did not run.
func (c *checker) lastRun(rec *requestRecord) (last *site.Run) {
	for _, run := range c.runs[rec.id] {
		if run.Executed && (last == nil || run.Began.After(last.Began)) {
			last = &run
		}
	}
	return last
}

// mayBeCut reports whether the router of a request was stopping, and a replica still worked on
// it in the cutWindow, although it had been sent no later than cutSent after SIGTERM.
func (es *eventLog) mayBeCut(rec *requestRecord, run *site.Run) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	return slices.ContainsFunc(es.all, func(e *event) bool {
		window := e.from.Add(stopSeconds*time.Second - cutWindow)
		return e.scope == scopePlanned && e.router == rec.router && !rec.ended.Before(window) && (e.till.IsZero() || rec.began.Before(e.till)) &&
			!rec.began.After(e.from.Add(cutSent)) && (run.Ended.IsZero() || !run.Ended.Before(window))
	})
}
