package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamcove.example/fakes/site"
)

// edgeSteps are what series of edge cases draw from: what is allowed and rare. None is trouble.
var edgeSteps = []seriesStep{
	{"one replica of a version silent, the others full", silentAmongFull},
	{"one replica of a version silent, the others full", silentAmongFull},
	{"one replica of a version silent, the others full", silentAmongFull},
	{"no teams", takeTeamsAway},
	{"stages numbered backward", numberBackward},
	{"reload a router", reloadRouter},
	{"burst of callers", burst},
}

// silentAmongFull makes one engine of a software version silent, while all others of that version are
// full and slow to say so.
func silentAmongFull(r *Run, rng *rand.Rand, e *event) {
	engines := slices.DeleteFunc(r.allReplicas(), func(rp *replica) bool { return rp.Service != "engine" })
	rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	silent := engines[0]
	full := slices.DeleteFunc(engines[1:], func(rp *replica) bool { return rp.Version != silent.Version })
	if !r.claims.claim("full engines") {
		r.events.remove(e)
		return
	}
	defer r.claims.release("full engines")
	if !r.claims.claim("silence of " + silent.ID) {
		r.events.remove(e)
		return
	}
	defer r.claims.release("silence of " + silent.ID)
	r.events.setTargets(e, "", silent)
	for _, rp := range full {
		rp.action.Store(int32(site.RejectLate))
		rp.actionPercent.Store(100)
	}
	d := randomDuration(rng, minSilence, maxSilence)
	silent.FallSilent(d)
	time.Sleep(d + minSpeech)
	for _, rp := range full {
		rp.actionPercent.Store(0)
	}
}

// numberBackward publishes a configuration in which a stage reads the results of one with a higher
// number.
func numberBackward(r *Run, _ *rand.Rand, _ *event) {
	rs := slices.Clone(routes)
	for i := range rs {
		if rs[i].Host == planHost {
			rs[i].Stages = slices.Clone(rs[i].Stages)
			rs[i].Stages[1].After = []int{2}
		}
	}
	r.putConfig(rs)
}

// keylessTime is a time in which the configuration has no team.
type keylessTime struct{ from, till time.Time }

// takeTeamsAway publishes a configuration without teams, and after a while one with them.
func takeTeamsAway(r *Run, rng *rand.Rand, e *event) {
	if !r.claims.claim("teams") {
		r.events.remove(e)
		return
	}
	defer r.claims.release("teams")
	r.events.mu.Lock()
	r.keyless = append(r.keyless, keylessTime{from: time.Now()})
	r.putConfigLocked(routes)
	r.events.mu.Unlock()
	time.Sleep(configLimit + randomDuration(rng, 200*time.Millisecond, time.Second))
	r.events.mu.Lock()
	defer r.events.mu.Unlock()
	r.keyless[len(r.keyless)-1].till = time.Now()
	r.putConfigLocked(routes)
}

// keysLocked returns the keys of the next configuration. The caller holds the lock of the event log.
func (r *Run) keysLocked() map[string]string {
	if n := len(r.keyless); n > 0 && r.keyless[n-1].till.IsZero() {
		return nil
	}
	return map[string]string{teamKey: team}
}

// mayBeUnauthorized reports whether a configuration without teams may have been in force during a request.
func (r *Run) mayBeUnauthorized(rec *requestRecord) bool {
	return slices.ContainsFunc(r.keyless, func(k keylessTime) bool {
		return rec.ended.After(k.from) && rec.began.Before(k.till.Add(configLimit))
	})
}

// checkKeyless checks that no request runs that was sent later than configLimit after a configuration
// without teams, unless a fault kept its router from following.
func (c *checker) checkKeyless(rec *requestRecord) {
	for _, k := range c.r.keyless {
		if !rec.began.After(k.from.Add(configLimit)) || !rec.began.Before(k.till) {
			continue
		}
		for _, run := range c.runs[rec.id] {
			if run.Executed && run.Began.Before(k.till) && !c.r.events.routerMayBeStale(exposure{k.from, run.Began, rec.router, nil}) {
				c.fail("keyless", "%s ran at %s %v after the last team was taken away", rec.id, run.Replica, run.Began.Sub(k.from))
			}
		}
	}
}
