package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"hornbeamcove.example/fakes/site"
)

// faultScope is what a fault touches; it tells which checks it excuses.
type faultScope int

const (
	scopePlanned     faultScope = iota // nothing: all must go on as before
	scopeBanned                        // as planned; its replicas or data centre must get no request
	scopeRouters                       // router processes
	scopeStore                         // the way to the store, or the store
	scopeReplicaLink                   // the way to a replica
	scopeReplicas                      // what replicas do with requests
)

// event is one fault or change with the time in which it may have an effect.
type event struct {
	name       string
	from, till time.Time
	scope      faultScope
	router     string   // that it touches; empty for all
	replicas   []string // that it touches; empty for all
	centre     string   // of a ban of a data centre
}

// setTargets names what an event touches, before it has an effect.
func (es *eventLog) setTargets(e *event, router string, rps ...*replica) {
	es.mu.Lock()
	defer es.mu.Unlock()
	e.router = router
	for _, rp := range rps {
		e.replicas = append(e.replicas, rp.ID)
	}
}

// eventLog is the list of a run. It is safe for concurrent use.
type eventLog struct {
	mu  sync.Mutex
	all []*event
}

func (es *eventLog) begin(name string, on faultScope) *event {
	es.mu.Lock()
	defer es.mu.Unlock()
	e := &event{name: name, from: time.Now(), scope: on}
	es.all = append(es.all, e)
	return e
}

// end ends an event unless it has ended.
func (es *eventLog) end(e *event) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if e.till.IsZero() {
		e.till = time.Now()
	}
}

// ban begins the time of an event in which replicas or a data centre must get no
// request.
func (es *eventLog) ban(e *event, centre string, rps ...*replica) {
	es.setTargets(e, "", rps...)
	es.mu.Lock()
	defer es.mu.Unlock()
	e.from, e.centre = time.Now(), centre
}

// remove removes an event that did not happen.
func (es *eventLog) remove(e *event) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.all = slices.DeleteFunc(es.all, func(x *event) bool { return x == e })
}

// exposure is the part of the system that a check concerns.
type exposure struct {
	from, till time.Time
	router     string
	replicas   []string
}

// affected reports whether an event of one of the kinds had an effect there.
func (es *eventLog) affected(w exposure, kinds ...faultScope) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	return slices.ContainsFunc(es.all, func(e *event) bool {
		return slices.Contains(kinds, e.scope) &&
			e.from.Before(w.till) && (e.till.IsZero() || e.till.After(w.from)) &&
			(e.router == "" || e.router == w.router) &&
			(len(e.replicas) == 0 || slices.ContainsFunc(w.replicas, func(id string) bool { return slices.Contains(e.replicas, id) }))
	})
}

// hadFault reports whether any fault had an effect there.
func (es *eventLog) hadFault(w exposure) bool {
	return es.affected(w, scopeRouters, scopeStore, scopeReplicaLink, scopeReplicas)
}

// routerMayBeStale reports whether the router may not have known what the store says.
func (es *eventLog) routerMayBeStale(w exposure) bool {
	return es.affected(w, scopeRouters, scopeStore)
}

// mayMissClose reports whether a replica may not have noticed that the router closed
// its connection.
func (es *eventLog) mayMissClose(w exposure) bool {
	return es.affected(w, scopeRouters, scopeReplicaLink)
}

// faults are what a run draws from. Each returns when it has ended; several overlap.
var faults = []struct {
	name  string
	reach faultScope
	run   func(r *Run, rng *rand.Rand, e *event)
}{
	{"stop and start a router", scopePlanned, stopAndStart(syscall.SIGTERM)},
	{"stop and start a router", scopePlanned, stopAndStart(syscall.SIGTERM)},
	{"kill a router", scopeRouters, stopAndStart(os.Kill)},
	{"pause a router", scopeRouters, pauseRouter},
	{"reload a router", scopePlanned, func(r *Run, rng *rand.Rand, _ *event) { r.randomRouter(rng).signal(syscall.SIGHUP) }},
	{"kill all routers", scopeRouters, killAllRouters},
	{"fault before the store", scopeStore, faultStoreLink},
	{"store fails", scopeStore, failStore},
	{"store forgets", scopeStore, func(r *Run, _ *rand.Rand, _ *event) { r.site.Store.Compact() }},
	{"fault before a replica", scopeReplicaLink, faultReplicaLink},
	{"replica fails", scopeReplicas, failReplica},
	{"replica fails", scopeReplicas, failReplica},
	{"service fails", scopeReplicas, failService},
	{"service fails", scopeReplicas, failService},
	{"configuration changes", scopePlanned, changeConfig},
	{"replica leaves", scopeBanned, drainReplica},
	{"data centre goes out", scopeBanned, evacuateCentre},
}

// inject begins one fault after a pause.
func (r *Run) inject(rng *rand.Rand) {
	time.Sleep(time.Duration(rng.Int64N(int64(600 * time.Millisecond))))
	f := faults[rng.IntN(len(faults))]
	own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	r.activeFaults.Go(func() {
		e := r.events.begin(f.name, f.reach)
		f.run(r, own, e)
		r.events.end(e)
	})
}

func (r *Run) randomRouter(rng *rand.Rand) *router { return r.routers[rng.IntN(len(r.routers))] }

// randomDuration returns a time between two bounds.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// claim makes a router one fault's own, so that no two stop and start it at once.
func (rt *router) claim() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.claimed {
		return false
	}
	rt.claimed = true
	return true
}

func (rt *router) release() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.claimed = false
}

// claimRouter makes a router the event's own. It drops the event and returns nil if the router
// belongs to another one.
func (r *Run) claimRouter(rng *rand.Rand, e *event) *router {
	rt := r.randomRouter(rng)
	r.events.setTargets(e, rt.name)
	if !rt.claim() {
		r.events.remove(e)
		return nil
	}
	return rt
}

func stopAndStart(s os.Signal) func(*Run, *rand.Rand, *event) {
	return func(r *Run, rng *rand.Rand, e *event) {
		rt := r.claimRouter(rng, e)
		if rt == nil {
			return
		}
		defer rt.release()
		rt.stop(s, stopSeconds*time.Second)
		time.Sleep(randomDuration(rng, 50*time.Millisecond, 400*time.Millisecond))
		r.restartRouter(rt)
	}
}

func (r *Run) restartRouter(rt *router) {
	if err := rt.start(); err != nil {
		r.events.begin("not started: "+err.Error(), scopeRouters)
	}
}

func pauseRouter(r *Run, rng *rand.Rand, e *event) {
	rt := r.claimRouter(rng, e)
	if rt == nil {
		return
	}
	defer rt.release()
	rt.signal(syscall.SIGSTOP)
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 3*time.Second))
	rt.signal(syscall.SIGCONT)
}

func killAllRouters(r *Run, rng *rand.Rand, e *event) {
	if rng.IntN(3) > 0 {
		r.events.remove(e)
		return // it hides other faults
	}
	var own []*router
	for _, rt := range r.routers {
		if rt.claim() {
			own = append(own, rt)
			rt.stop(os.Kill, time.Second)
		}
	}
	time.Sleep(randomDuration(rng, 100*time.Millisecond, time.Second))
	for _, rt := range own {
		r.restartRouter(rt)
		rt.release()
	}
}

var linkFaults = []Fault{Delay, Blackhole, BlackholeResponses, Reset}

func faultStoreLink(r *Run, rng *rand.Rand, e *event) {
	n := rng.IntN(len(r.storeProxies))
	r.events.setTargets(e, r.routers[n].name)
	p := r.storeProxies[n]
	p.SetFault(linkFaults[rng.IntN(len(linkFaults))])
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 4*time.Second))
	p.SetFault(Forward)
}

func failStore(r *Run, rng *rand.Rand, _ *event) {
	modes := []site.Mode{site.Busy, site.Reset, site.Silent, site.Slow}
	r.site.Store.SetMode(modes[rng.IntN(len(modes))])
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 4*time.Second))
	r.site.Store.SetMode(site.Up)
}

func faultReplicaLink(r *Run, rng *rand.Rand, e *event) {
	rp := r.replicas[rng.IntN(len(r.replicas))]
	r.events.setTargets(e, "", rp)
	rp.proxy.SetFault(linkFaults[rng.IntN(len(linkFaults))])
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 3*time.Second))
	rp.proxy.SetFault(Forward)
}

// replicaActions are what replicas do; the crash is the last.
var replicaActions = []site.Action{site.Reject, site.LoseAnswer, site.NoAnswer, site.AnswerTwice, site.StrayAnswer, site.Unframed, site.Truncate, site.Stall, site.RejectEarly, site.InternalError, site.Crash}

func failReplica(r *Run, rng *rand.Rand, e *event) {
	r.applyAction(rng, e, replicaActions[rng.IntN(len(replicaActions))], r.replicas[rng.IntN(len(r.replicas))])
}

// failService lets all replicas of a service answer badly, so that a request meets it
// more than once.
func failService(r *Run, rng *rand.Rand, e *event) {
	service := []string{"desk", "engine"}[rng.IntN(2)]
	var all []*replica
	for _, rp := range r.replicas {
		if rp.Service == service {
			all = append(all, rp)
		}
	}
	r.applyAction(rng, e, replicaActions[rng.IntN(len(replicaActions)-1)], all...) // all but the crash
}

// applyAction lets replicas treat part of their requests in a way for some time.
func (r *Run) applyAction(rng *rand.Rand, e *event, a site.Action, rps ...*replica) {
	r.events.setTargets(e, "", rps...)
	for _, rp := range rps {
		rp.action.Store(int32(a))
		rp.actionPercent.Store(int32(10 + rng.IntN(60)))
	}
	time.Sleep(randomDuration(rng, 300*time.Millisecond, 4*time.Second))
	for _, rp := range rps {
		rp.actionPercent.Store(0)
	}
}

// changeConfig puts a newer configuration in force, which adds a route that nobody uses.
func changeConfig(r *Run, _ *rand.Rand, _ *event) {
	r.events.mu.Lock()
	r.configVersion++
	v := r.configVersion
	r.site.Store.PutJSON("op/config", site.Config(v, append([]site.Route{
		{Name: fmt.Sprint("added-", v), Host: "added.example", Prefix: fmt.Sprintf("/%d/", v), Kind: "safe", Service: "desk", Timeout: 6000, TargetLatency: 300, Attempts: 1},
	}, routes...), site.Services, map[string]string{teamKey: team}))
	r.events.mu.Unlock()
}

// drainReplica lets a replica announce its leaving and come back.
func drainReplica(r *Run, rng *rand.Rand, e *event) {
	rp := r.replicas[rng.IntN(len(r.replicas))]
	r.site.Store.PutJSON("servers/"+rp.ID, rp.Entry("draining"))
	r.events.ban(e, "", rp)
	time.Sleep(randomDuration(rng, time.Second, 7*time.Second))
	r.events.end(e)
	r.site.Store.PutJSON("servers/"+rp.ID, rp.Entry("ready"))
}

func evacuateCentre(r *Run, rng *rand.Rand, e *event) {
	centre := centres[rng.IntN(len(centres))]
	c := "op/evacuate/" + centre
	r.site.Store.PutJSON(c, map[string]any{})
	r.events.ban(e, centre)
	time.Sleep(randomDuration(rng, time.Second, 8*time.Second))
	r.events.end(e)
	r.site.Store.Delete(c)
}

// clearFaults ends all faults.
func (r *Run) clearFaults() {
	r.site.Store.SetMode(site.Up)
	for _, p := range r.storeProxies {
		p.SetFault(Forward)
	}
	for _, rp := range r.replicas {
		rp.proxy.SetFault(Forward)
		rp.actionPercent.Store(0)
	}
}
