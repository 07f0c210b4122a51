package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// limitWindow is the time over which requests to a replica that names a limit are counted.
// The platform allows one and a half times the limit and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// namedLimit is a time during which a replica names a limit, in requests per second.
type namedLimit struct {
	replica    string
	rate       float64
	from, till time.Time
}

// limitLog records the limits that replicas named. It is safe for concurrent use.
type limitLog struct {
	mu  sync.Mutex
	all []namedLimit
}

// nameLimit makes a replica name a limit in its answers for a random time. Half of the times
// it names a value that is no number before.
func nameLimit(r *Run, rng *rand.Rand, e *event) {
	rp := r.randomReplica(rng, "")
	for rng.IntN(3) > 0 && rp.Service != "desk" { // the others get few requests each
		rp = r.randomReplica(rng, "")
	}
	if !r.claims.claim("limit of " + rp.ID) {
		r.events.remove(e)
		return
	}
	defer r.claims.release("limit of " + rp.ID)
	if rng.IntN(2) == 0 {
		rp.SetLimit([]string{"", "none", "-1", "NaN", "1e999"}[rng.IntN(5)])
		time.Sleep(randomDuration(rng, 50*time.Millisecond, 500*time.Millisecond))
	}
	l := namedLimit{replica: rp.ID, rate: []float64{0, 0.5, 1, 2}[rng.IntN(4)], from: time.Now()}
	rp.SetLimit(fmt.Sprint(l.rate))
	for end := l.from.Add(randomDuration(rng, 6*time.Second, 10*time.Second)); rp.Limit() != "" && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond) // a crash ends the limit
	}
	rp.SetLimit("")
	l.till = time.Now()
	r.limits.mu.Lock()
	defer r.limits.mu.Unlock()
	r.limits.all = append(r.limits.all, l)
}

// knowledgeDelay is the time from the first whole answer that names a limit until its router
// must keep it.
const knowledgeDelay = 500 * time.Millisecond

// checkLimits checks that replicas get no more requests of callers than they named, from
// contactTime after they first did, from routers that had such an answer. Requests of routers
// that were stopped, killed or paused within contactTime before don't count.
func (c *checker) checkLimits(recordsByID map[string]*requestRecord) {
	c.r.limits.mu.Lock()
	defer c.r.limits.mu.Unlock()
	for _, l := range c.r.limits.all {
		var arrivals []time.Time
		told := map[string]time.Time{} // by router: end of the first whole answer
		for id, runs := range c.runs {
			for _, run := range runs {
				if rec := recordsByID[id]; rec != nil && run.Replica == l.replica && run.Began.After(l.from) && rec.status == http.StatusOK && rec.err == nil {
					if t := told[rec.router]; t.IsZero() || run.Ended.Before(t) {
						told[rec.router] = run.Ended
					}
				}
			}
		}
		for id, runs := range c.runs {
			for _, run := range runs {
				if rec := recordsByID[id]; rec != nil && run.Replica == l.replica && run.Began.After(l.from.Add(contactTime)) && run.Began.Before(l.till) &&
					!told[rec.router].IsZero() && run.Began.After(told[rec.router].Add(knowledgeDelay)) &&
					!c.r.events.restarted(rec.router, run.Began.Add(-contactTime), run.Began) {
					arrivals = append(arrivals, run.Began)
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		allowed := int(limitFactor*l.rate*limitWindow.Seconds()) + limitSlack
		for i := allowed; i < len(arrivals); i++ {
			if arrivals[i].Sub(arrivals[i-allowed]) < limitWindow {
				c.fail("limit", "%s, which named %v requests a second, got more than %d in %v", l.replica, l.rate, allowed, limitWindow)
				break
			}
		}
	}
}
