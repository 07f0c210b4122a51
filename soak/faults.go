package soak

import (
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"hornbeamcove.example/fakes/site"
)

// eventScope is the part of the system that a fault disturbs, or the kind of a planned
// change. Each check tolerates deviations that events of certain scopes explain.
type eventScope int

const (
	scopePlanned     eventScope = iota // a planned change, which must not affect requests
	scopeBanned                        // a planned change after which its replicas or data centre must get no request
	scopeRouters                       // router processes
	scopeStore                         // the store or the connection to it
	scopeRestore                       // a restore of the store, beside scopeStore
	scopeReplicaLink                   // the connection to a replica
	scopeReplicas                      // how replicas handle requests
	scopeEnds                          // the end or crash of a replica, beside scopeReplicas or scopeBanned
)

// event is a fault or planned change and the time during which it may have an effect.
type event struct {
	name       string
	from, till time.Time
	scope      eventScope
	router     string   // affected router; empty for all
	replicas   []string // IDs of affected replicas; empty for all
	centre     string   // banned data centre, or empty
}

// setTargets records the router and replicas that an event affects. It must be called
// before the event has an effect.
func (es *eventLog) setTargets(e *event, router string, replicas ...*replica) {
	es.mu.Lock()
	defer es.mu.Unlock()
	e.router = router
	for _, rp := range replicas {
		e.replicas = append(e.replicas, rp.ID)
	}
}

// eventLog records the events of a run. It is safe for concurrent use.
type eventLog struct {
	mu  sync.Mutex
	all []*event
}

// begin adds an event that starts now.
func (es *eventLog) begin(name string, scope eventScope) *event {
	es.mu.Lock()
	defer es.mu.Unlock()
	e := &event{name: name, from: time.Now(), scope: scope}
	es.all = append(es.all, e)
	return e
}

// end sets the end of an event to now, unless it has already ended.
func (es *eventLog) end(e *event) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if e.till.IsZero() {
		e.till = time.Now()
	}
}

// ban records the replicas or the data centre that must get no request and moves the start
// of the event to now. It is called after the ban has been written to the store.
func (es *eventLog) ban(e *event, centre string, replicas ...*replica) {
	es.setTargets(e, "", replicas...)
	es.mu.Lock()
	defer es.mu.Unlock()
	e.from, e.centre = time.Now(), centre
}

// addEnd records that a replica ends or crashes now and breaks off what it works on.
func (es *eventLog) addEnd(rp *replica) {
	es.mu.Lock()
	defer es.mu.Unlock()
	now := time.Now()
	es.all = append(es.all, &event{name: "replica ends", from: now, till: now.Add(crashDowntime), scope: scopeEnds, replicas: []string{rp.ID}})
}

// restart moves the start of an event to now.
func (es *eventLog) restart(e *event) {
	es.mu.Lock()
	defer es.mu.Unlock()
	e.from = time.Now()
}

// remove deletes an event that did not take place.
func (es *eventLog) remove(e *event) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.all = slices.DeleteFunc(es.all, func(x *event) bool { return x == e })
}

// exposure holds the time span, router and replicas whose events can explain a deviation
// that a check finds.
type exposure struct {
	from, till time.Time
	router     string
	replicas   []string
}

// affected reports whether an event of one of the scopes may have had an effect on exposed.
func (es *eventLog) affected(exposed exposure, scopes ...eventScope) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	return slices.ContainsFunc(es.all, func(e *event) bool {
		return slices.Contains(scopes, e.scope) &&
			e.from.Before(exposed.till) && (e.till.IsZero() || e.till.After(exposed.from)) &&
			(e.router == "" || e.router == exposed.router) &&
			(len(e.replicas) == 0 || slices.ContainsFunc(exposed.replicas, func(id string) bool { return slices.Contains(e.replicas, id) }))
	})
}

// hadFault reports whether any fault may have had an effect on exposed.
func (es *eventLog) hadFault(exposed exposure) bool {
	return es.affected(exposed, scopeRouters, scopeStore, scopeReplicaLink, scopeReplicas)
}

// routerMayBeStale reports whether the router may have had an outdated view of the store.
func (es *eventLog) routerMayBeStale(exposed exposure) bool {
	return es.affected(exposed, scopeRouters, scopeStore)
}

// restarted reports whether a router was stopped, killed or paused in a time span.
func (es *eventLog) restarted(router string, from, till time.Time) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	return slices.ContainsFunc(es.all, func(e *event) bool {
		return (e.scope == scopeRouters || e.scope == scopePlanned && e.router != "") && (e.router == "" || e.router == router) &&
			e.from.Before(till) && (e.till.IsZero() || e.till.After(from))
	})
}

// mayMissClose reports whether a replica may not have noticed that the router closed its
// connection.
func (es *eventLog) mayMissClose(exposed exposure) bool {
	return es.affected(exposed, scopeRouters, scopeReplicaLink)
}

// faults lists the faults and changes that a run draws from; repeated entries are drawn
// more often. run injects the fault and returns when it has ended. Several may overlap.
var faults = []struct {
	name  string
	scope eventScope
	run   func(r *Run, rng *rand.Rand, e *event)
}{
	{"stop and start a router", scopePlanned, stopAndStart(syscall.SIGTERM)},
	{"stop and start a router", scopePlanned, stopAndStart(syscall.SIGTERM)},
	{"kill a router", scopeRouters, stopAndStart(os.Kill)},
	{"pause a router", scopeRouters, pauseRouter},
	{"reload a router", scopePlanned, reloadRouter},
	{"kill all routers", scopeRouters, killAllRouters},
	{"engine crashes, routers are lost", scopeRouters, crashAndLose},
	{"fault on the store connection", scopeStore, faultStoreLink},
	{"store fails", scopeStore, failStore},
	{"store is restored", scopeStore, restoreStore},
	{"store answers slowly", scopeStore, slowStore},
	{"entry of another writer", scopePlanned, putOddEntry},
	{"store is compacted", scopeStore, func(r *Run, _ *rand.Rand, _ *event) { r.site.Store.Compact() }},
	{"fault on a replica connection", scopeReplicaLink, faultReplicaLink},
	{"replica fails", scopeReplicas, failReplica},
	{"replica fails", scopeReplicas, failReplica},
	{"service fails", scopeReplicas, failService},
	{"service fails", scopeReplicas, failService},
	{"replica names a limit", scopePlanned, nameLimit},
	{"prompt part crashes engines", scopeReplicas, crashOnPart},
	{"configuration changes", scopePlanned, changeConfig},
	{"replica drains", scopeBanned, drainReplica},
	{"engine is replaced", scopeBanned, replaceEngine},
	{"engine is replaced", scopeBanned, replaceEngine},
	{"replica says that it leaves", scopePlanned, sayLeaving},
	{"replica turns requests away", scopeReplicas, turnAway},
	{"data centre is evacuated", scopeBanned, evacuateCentre},
}

// inject starts one randomly drawn fault after a random pause of up to 600 ms.
func (r *Run) inject(rng *rand.Rand) {
	time.Sleep(time.Duration(rng.Int64N(int64(600 * time.Millisecond))))
	f := faults[rng.IntN(len(faults))]
	faultRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	if r.PlannedOnly && f.scope != scopePlanned && f.scope != scopeBanned {
		return
	}
	r.activeFaults.Go(func() {
		e := r.events.begin(f.name, f.scope)
		f.run(r, faultRNG, e)
		r.events.end(e)
	})
}

func (r *Run) randomRouter(rng *rand.Rand) *router { return r.routers[rng.IntN(len(r.routers))] }

// randomReplica returns a random replica of a service, or of any if it is empty.
func (r *Run) randomReplica(rng *rand.Rand, service string) *replica {
	all := r.allReplicas()
	if service != "" {
		all = slices.DeleteFunc(all, func(rp *replica) bool { return rp.Service != service })
	}
	return all[rng.IntN(len(all))]
}

// randomDuration returns a duration from low up to, but not including, high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// claims holds the names of the routers, replicas and data centres that a fault has
// reserved, so that no two stop, drain or evacuate the same one at once. It is safe for
// concurrent use.
type claims struct {
	mu   sync.Mutex
	held map[string]bool
}

// claim reserves a name. It returns false if the name is already reserved.
func (cs *claims) claim(name string) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.held[name] {
		return false
	}
	if cs.held == nil {
		cs.held = map[string]bool{}
	}
	cs.held[name] = true
	return true
}

func (cs *claims) release(name string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.held, name)
}

// claimRouter claims a random router for an event. If another event has claimed it, it
// removes e and returns nil.
func (r *Run) claimRouter(rng *rand.Rand, e *event) *router {
	rt := r.randomRouter(rng)
	r.events.setTargets(e, rt.name)
	if !r.claims.claim(rt.name) {
		r.events.remove(e)
		return nil
	}
	return rt
}

// stopAndStart returns a fault that stops a router with a signal and starts it again.
func stopAndStart(sig os.Signal) func(*Run, *rand.Rand, *event) {
	return func(r *Run, rng *rand.Rand, e *event) {
		rt := r.claimRouter(rng, e)
		if rt == nil {
			return
		}
		defer r.claims.release(rt.name)
		rt.stop(sig, stopSeconds*time.Second)
		time.Sleep(randomDuration(rng, 50*time.Millisecond, 400*time.Millisecond))
		r.restartRouter(rt)
	}
}

// restartRouter starts a stopped router. A failure is recorded as a fault that never ends.
func (r *Run) restartRouter(rt *router) {
	if err := rt.start(); err != nil {
		r.events.begin("not started: "+err.Error(), scopeRouters)
	}
}

// reloadRouter sends SIGHUP to a router. One that has just started is left out: the kernel ends
// a process that does not handle the signal yet, and nobody would start it again.
func reloadRouter(r *Run, rng *rand.Rand, e *event) {
	rt := r.randomRouter(rng)
	c, err := net.DialTimeout("tcp", rt.ready, time.Second)
	if err != nil {
		r.events.remove(e)
		return
	}
	_ = c.Close()
	rt.signal(syscall.SIGHUP)
}

// pauseRouter suspends a router process with SIGSTOP for up to 3 s.
func pauseRouter(r *Run, rng *rand.Rand, e *event) {
	rt := r.claimRouter(rng, e)
	if rt == nil {
		return
	}
	defer r.claims.release(rt.name)
	rt.signal(syscall.SIGSTOP)
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 3*time.Second))
	rt.signal(syscall.SIGCONT)
}

// killAllRouters kills the routers that no other fault has claimed and starts them again.
func killAllRouters(r *Run, rng *rand.Rand, e *event) {
	if rng.IntN(3) > 0 {
		r.events.remove(e)
		return // two thirds are skipped, because this fault hides the effects of others
	}
	var claimed []*router
	for _, rt := range r.routers {
		if r.claims.claim(rt.name) {
			claimed = append(claimed, rt)
			rt.stop(os.Kill, time.Second)
		}
	}
	time.Sleep(randomDuration(rng, 100*time.Millisecond, time.Second))
	r.restartClaimed(claimed)
}

// restartClaimed starts stopped routers that a fault has claimed, and releases them.
func (r *Run) restartClaimed(claimed []*router) {
	for _, rt := range claimed {
		r.restartRouter(rt)
		r.claims.release(rt.name)
	}
}

// maxKillDelay is the longest time from the crash of an engine until routers are lost, in which
// callers can't yet have taken up the streams that broke off.
const maxKillDelay = 50 * time.Millisecond

// crashAndLose crashes an engine, and soon after some routers are killed or stand still, which have begun
// its streams, hold their records or own the queues of the stages that they need again.
func crashAndLose(r *Run, rng *rand.Rand, e *event) {
	rp := r.randomReplica(rng, "engine")
	lose, n := r.killAndRestart, 1+rng.IntN(2)
	if rng.IntN(2) == 0 {
		lose, n = r.pauseClaimed, max(len(r.routers)-1, 1)
	}
	var claimed []*router
	for _, i := range rng.Perm(len(r.routers)) {
		if rt := r.routers[i]; len(claimed) < n && r.claims.claim(rt.name) {
			claimed = append(claimed, rt)
		}
	}
	if len(claimed) == 0 {
		r.events.remove(e)
		return
	}
	crashed := r.events.begin("engine crashes", scopeReplicas)
	r.events.setTargets(crashed, "", rp)
	rp.Kill()
	time.Sleep(randomDuration(rng, 0, maxKillDelay))
	lose(rng, claimed)
	time.Sleep(crashDowntime)
	r.events.end(crashed)
}

// killAndRestart kills routers that a fault has claimed, and starts and releases them later.
func (r *Run) killAndRestart(rng *rand.Rand, claimed []*router) {
	for _, rt := range claimed {
		rt.stop(os.Kill, time.Second)
	}
	time.Sleep(randomDuration(rng, 100*time.Millisecond, time.Second))
	r.restartClaimed(claimed)
}

// pauseClaimed suspends routers that a fault has claimed for up to 3 s, and releases them.
func (r *Run) pauseClaimed(rng *rand.Rand, claimed []*router) {
	for _, rt := range claimed {
		rt.signal(syscall.SIGSTOP)
	}
	time.Sleep(randomDuration(rng, 300*time.Millisecond, 3*time.Second))
	for _, rt := range claimed {
		rt.signal(syscall.SIGCONT)
		r.claims.release(rt.name)
	}
}

var linkFaults = []Fault{Delay, Blackhole, BlackholeResponses, Reset}

// faultStoreLink disturbs the connections of one router to the store.
func faultStoreLink(r *Run, rng *rand.Rand, e *event) {
	n := rng.IntN(len(r.storeProxies))
	r.events.setTargets(e, r.routers[n].name)
	p := r.storeProxies[n]
	p.SetFault(linkFaults[rng.IntN(len(linkFaults))])
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 4*time.Second))
	p.SetFault(Forward)
}

// failStore makes the store misbehave towards all routers.
func failStore(r *Run, rng *rand.Rand, _ *event) {
	modes := []site.Mode{site.Busy, site.Reset, site.Silent, site.Slow}
	r.site.Store.SetMode(modes[rng.IntN(len(modes))])
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 4*time.Second))
	r.site.Store.SetMode(site.Up)
}

// restoreStore restores the store from a copy that is some seconds old. What that loses is
// written again soon after.
func restoreStore(r *Run, rng *rand.Rand, e *event) {
	if !r.claims.claim("restore") {
		r.events.remove(e)
		return
	}
	defer r.claims.release("restore")
	lost := r.events.begin("versions are lost", scopeRestore)
	defer r.events.end(lost)
	old := r.site.Store.Copy()
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 5*time.Second))
	r.site.Store.SetMode([]site.Mode{site.Busy, site.Reset, site.Silent}[rng.IntN(3)])
	time.Sleep(randomDuration(rng, 10*time.Millisecond, 2*time.Second))
	later := r.site.Store.Copy()
	r.site.Store.Restore(old)
	r.site.Store.SetMode(site.Up)
	time.Sleep(randomDuration(rng, time.Millisecond, 800*time.Millisecond))
	r.site.Store.WriteAgain(later)
}

// faultReplicaLink disturbs the connections of all routers to one replica.
func faultReplicaLink(r *Run, rng *rand.Rand, e *event) {
	rp := r.randomReplica(rng, "")
	r.events.setTargets(e, "", rp)
	rp.proxy.SetFault(linkFaults[rng.IntN(len(linkFaults))])
	time.Sleep(randomDuration(rng, 200*time.Millisecond, 3*time.Second))
	rp.proxy.SetFault(Forward)
}

// replicaActions are the ways in which replicas misbehave. Crash must be the last, because
// failService leaves the last one out.
var replicaActions = []site.Action{site.Reject, site.LoseAnswer, site.NoAnswer, site.AnswerTwice, site.StrayAnswer, site.Unframed, site.Truncate, site.Stall, site.RejectEarly, site.InternalError, site.TruncateHead, site.CutUnframed, site.OddStatus, site.Crash}

// failReplica makes one replica misbehave.
func failReplica(r *Run, rng *rand.Rand, e *event) {
	r.applyAction(rng, e, replicaActions[rng.IntN(len(replicaActions))], r.randomReplica(rng, ""))
}

// failService makes all replicas of a service misbehave, so that retries of a request meet
// the fault as well.
func failService(r *Run, rng *rand.Rand, e *event) {
	service := []string{"desk", "engine"}[rng.IntN(2)]
	var all []*replica
	for _, rp := range r.allReplicas() {
		if rp.Service == service {
			all = append(all, rp)
		}
	}
	r.applyAction(rng, e, replicaActions[rng.IntN(len(replicaActions)-1)], all...) // any but site.Crash
}

// applyAction makes replicas handle 10 to 69 % of their requests with a for a random time.
func (r *Run) applyAction(rng *rand.Rand, e *event, a site.Action, replicas ...*replica) {
	r.events.setTargets(e, "", replicas...)
	for _, rp := range replicas {
		rp.action.Store(int32(a))
		rp.actionPercent.Store(int32(10 + rng.IntN(60)))
	}
	time.Sleep(randomDuration(rng, 300*time.Millisecond, 4*time.Second))
	for _, rp := range replicas {
		rp.actionPercent.Store(0)
	}
}

// addedHost is the host of the routes that configurations add.
const addedHost = "added.example"

// changeConfig publishes a newer configuration with an additional route, which only
// newProbe uses, and in a third of the cases with many others.
func changeConfig(r *Run, rng *rand.Rand, _ *event) {
	var more []site.Route
	if rng.IntN(3) == 0 {
		more = largeConfig()
	}
	r.putConfig(slices.Concat(routes, more))
}

// drainReplica marks a replica as draining and later as ready again. It does nothing if
// another event drains the replica: the first to end would make it ready again while the
// checker still counts the second.
func drainReplica(r *Run, rng *rand.Rand, e *event) {
	r.drain(rng, e, r.randomReplica(rng, ""))
}

// drain is drainReplica for a given replica.
func (r *Run) drain(rng *rand.Rand, e *event, rp *replica) {
	if !r.claims.claim(rp.ID) {
		r.events.remove(e)
		return
	}
	defer r.claims.release(rp.ID)
	r.site.Store.PutJSON("servers/"+rp.ID, rp.Entry("draining"))
	r.events.ban(e, "", rp)
	time.Sleep(randomDuration(rng, time.Second, 7*time.Second))
	r.events.end(e)
	r.site.Store.PutJSON("servers/"+rp.ID, rp.Entry("ready"))
}

// evacuateCentre takes a data centre out of service for a random time. It does nothing if
// another event evacuates the data centre, for the reason that drainReplica gives.
func evacuateCentre(r *Run, rng *rand.Rand, e *event) {
	r.evacuate(rng, e, centres[rng.IntN(len(centres))])
}

// evacuate is evacuateCentre for a given data centre.
func (r *Run) evacuate(rng *rand.Rand, e *event, centre string) {
	if !r.claims.claim(centre) {
		r.events.remove(e)
		return
	}
	defer r.claims.release(centre)
	path := "op/evacuate/" + centre
	r.site.Store.PutJSON(path, map[string]any{})
	r.events.ban(e, centre)
	time.Sleep(randomDuration(rng, time.Second, 8*time.Second))
	r.events.end(e)
	r.site.Store.Delete(path)
}

// clearFaults ends the faults of the store, the proxies and the replicas.
func (r *Run) clearFaults() {
	r.site.Store.SetMode(site.Up)
	r.site.Store.SetPace(site.Pace{})
	for _, p := range r.storeProxies {
		p.SetFault(Forward)
	}
	for _, rp := range r.allReplicas() {
		rp.proxy.SetFault(Forward)
		rp.actionPercent.Store(0)
	}
}
