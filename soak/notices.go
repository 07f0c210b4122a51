package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"hornbeamcove.example/fakes/site"
)

const (
	// pauseDelay is the time after a refusal with Retry-After in which requests may still
	// arrive, and pauseAllowed the number of those that may until its end.
	pauseDelay   = 500 * time.Millisecond
	pauseAllowed = 2
)

// sayLeaving makes a replica say in all answers that it leaves, while the store says nothing.
// It starts again at the end.
func sayLeaving(r *Run, rng *rand.Rand, e *event) {
	rp := r.randomReplica(rng, "")
	if !r.claims.claim(rp.ID) {
		r.events.remove(e)
		return
	}
	defer r.claims.release(rp.ID)
	rp.SetLeaving(true)
	time.Sleep(randomDuration(rng, 2*time.Second, 8*time.Second))
	rp.StartAgain()
}

// turnAway makes a replica turn all requests away for a random time.
func turnAway(r *Run, rng *rand.Rand, e *event) {
	rp := r.randomReplica(rng, "")
	if !r.claims.claim("turn away " + rp.ID) {
		r.events.remove(e)
		return
	}
	defer r.claims.release("turn away " + rp.ID)
	r.events.setTargets(e, "", rp)
	rp.TurnAway([]string{"0.8", "1.5", "3", "soon"}[rng.IntN(4)])
	time.Sleep(randomDuration(rng, time.Second, 5*time.Second))
	rp.TurnAway("")
}

// visit is a request of a caller that a router sent to a replica.
type visit struct {
	rec *requestRecord
	run site.Run
}

// checkNotices checks that routers send nothing to a replica that has told them that it leaves,
// or that it wants no requests for some time. A stop, kill or pause of the router since then
// excuses it.
func (c *checker) checkNotices(recordsByID map[string]*requestRecord) {
	type pair struct{ router, replica string }
	visits := map[pair][]visit{}
	for id, runs := range c.runs {
		if rec := recordsByID[id]; rec != nil {
			for _, run := range runs {
				p := pair{rec.router, run.Replica}
				visits[p] = append(visits[p], visit{rec, run})
			}
		}
	}
	for p, vs := range visits {
		for _, told := range vs {
			c.checkLeaving(p.router, told, vs)
			c.checkPause(p.router, told, vs)
		}
	}
}

// checkLeaving checks the visits after one whose answer said that the replica leaves, and was
// passed on.
func (c *checker) checkLeaving(router string, told visit, vs []visit) {
	if !told.run.Leaving || told.rec.status != http.StatusOK || told.rec.err != nil || told.rec.ended.IsZero() || len(c.runs[told.rec.id]) > 1 {
		return // the answer may not have been passed on
	}
	for _, v := range vs {
		if v.run.Born == told.run.Born && v.rec.began.After(told.rec.ended.Add(drainLimit)) && !c.r.events.restarted(router, told.run.Began, v.run.Began) {
			c.fail("leaving", "%s reached %s from %s, which had been told %v before that it leaves", v.rec.id, v.run.Replica, router, v.rec.began.Sub(told.rec.ended))
		}
	}
}

// checkPause checks the visits after one that was turned away.
func (c *checker) checkPause(router string, told visit, vs []visit) {
	seconds, err := strconv.ParseFloat(told.run.RetryAfter, 64)
	if err != nil || c.r.events.affected(c.exposure(told.rec, told.run.Began, told.run.Ended), scopeReplicaLink) {
		return // none was given, or it may have been lost on the way
	}
	end := told.run.Ended.Add(time.Duration(seconds * float64(time.Second)))
	n := 0
	for _, v := range vs {
		if v.run.Born == told.run.Born && v.run.Began.After(told.run.Ended.Add(pauseDelay)) && v.run.Began.Before(end) && !c.r.events.restarted(router, told.run.Began, v.run.Began) {
			n++
		}
	}
	if n > pauseAllowed {
		c.fail("pause", "%d requests reached %s from %s, which it had asked for %s s without any", n, told.run.Replica, router, told.run.RetryAfter)
	}
}
