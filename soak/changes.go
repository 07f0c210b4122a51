package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"hornbeamcove.example/fakes/site"
)

const (
	// secondDesk is a plain service to which routes move when the configuration changes.
	secondDesk = "second-desk"
	// quotaPeriod is the period in which a router with a quota runs for its share of a core at
	// full speed and then not at all.
	quotaPeriod = 100 * time.Millisecond
	// minQuota and maxQuota bound that share.
	minQuota = 0.2
	maxQuota = 0.6
	// lossSlack is the time from its sending after which a request that was read must get an
	// answer: the platform's 200 ms and a margin for a router with a quota.
	lossSlack = 200*time.Millisecond + 2*quotaPeriod
)

// changeSteps are what series of changes draw from. None is trouble.
var changeSteps = []seriesStep{
	{"configurations in quick succession", changeOften},
	{"configurations in quick succession", changeOften},
	{"router has a quota", limitRouter},
	{"router has a quota", limitRouter},
	{"replicas fall silent", fallSilent},
	{"replicas fall silent", fallSilent},
	{"stop a router under load", stopUnderLoad},
	{"reload a router", reloadRouter},
	{"burst of callers", burst},
}

// changeOften publishes several configurations shortly one after the other, in which routes have
// other timeouts and services.
func changeOften(r *Run, rng *rand.Rand, _ *event) {
	gap := randomDuration(rng, 10*time.Millisecond, 400*time.Millisecond)
	for range 3 + rng.IntN(12) {
		var more []site.Route
		if rng.IntN(4) == 0 {
			more = largeConfig()
		}
		r.putConfig(append(variedRoutes(rng), more...))
		time.Sleep(gap)
	}
}

// variedRoutes returns the routes with other timeouts, none of which is below that of callers, and
// plain ones at another service.
func variedRoutes(rng *rand.Rand) []site.Route {
	rs := slices.Clone(routes)
	for i := range rs {
		rs[i].Timeout += rng.IntN(3) * 1000
		if rs[i].Service == "desk" && rng.IntN(2) == 0 {
			rs[i].Service = secondDesk
		}
	}
	return rs
}

// putConfig publishes the next configuration with the given routes and one that is new in it. The
// lock of the event log keeps the versions in order.
func (r *Run) putConfig(rs []site.Route) {
	r.events.mu.Lock()
	defer r.events.mu.Unlock()
	r.putConfigLocked(rs)
}

// putConfigLocked is putConfig for callers that hold the lock of the event log.
func (r *Run) putConfigLocked(rs []site.Route) {
	if r.stagesMoved {
		rs = moveStages(rs)
	}
	r.configVersion++
	v := r.configVersion
	added := site.Route{Name: fmt.Sprint("added-", v), Host: addedHost, Prefix: fmt.Sprintf("/%d/", v), Kind: "safe", Service: "desk", Timeout: 6000, TargetLatency: 300, Attempts: 1}
	r.site.Store.PutJSON("op/config", site.Config(v, slices.Concat([]site.Route{added}, rs), r.services(), r.keysLocked()))
	r.configPut = time.Now()
}

// services returns the services of the run's configurations.
func (r *Run) services() []site.Service {
	all := slices.Clone(site.Services)
	if r.Changes {
		all = append(all, site.Service{Name: secondDesk})
	}
	if r.Moves {
		all = r.moveServices(all)
	}
	return all
}

// limitRouter lets a router run for a share of each quotaPeriod only, for a random time in which
// it may be stopped or reloaded too.
func limitRouter(r *Run, rng *rand.Rand, e *event) {
	rt := r.randomRouter(rng)
	r.events.setTargets(e, rt.name)
	if !r.claims.claim("quota of " + rt.name) {
		r.events.remove(e)
		return
	}
	defer r.claims.release("quota of " + rt.name)
	share := minQuota + rng.Float64()*(maxQuota-minQuota)
	running := time.Duration(share * float64(quotaPeriod))
	for end := time.Now().Add(randomDuration(rng, time.Second, 6*time.Second)); time.Now().Before(end); {
		rt.signal(syscall.SIGSTOP)
		time.Sleep(quotaPeriod - running)
		rt.signal(syscall.SIGCONT)
		time.Sleep(running)
	}
}

// checkUnanswered checks that a request which did not run got an answer if its connection ended
// later than lossSlack after it was sent: by then its router had read it. Excused are faults and
// what checkLost excuses.
func (c *checker) checkUnanswered(rec *requestRecord) {
	if rec.status != 0 || rec.err == nil || rec.ended.IsZero() || !rec.abandonedAt.IsZero() || c.lastRun(rec) != nil ||
		rec.ended.Sub(rec.began) >= rec.timeout || rec.ended.Sub(rec.began) < lossSlack {
		return
	}
	exposed := c.exposure(rec, rec.began, rec.ended)
	exposed.from = rec.began.Add(-contactTime)
	if !c.r.events.affected(exposed, scopeRouters, scopeStore) {
		c.fail("unanswered", "%s at %s ended after %v without an answer or a refusal: %v", rec.id, rec.router, rec.ended.Sub(rec.began), rec.err)
	}
}
