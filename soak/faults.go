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

// reach is what a fault touches; it tells which checks it excuses.
type reach int

const (
	planned  reach = iota // nothing: all must go on as before
	banned                // as planned; its replicas or data centre must get no request
	routers               // router processes
	store                 // the way to the store, or the store
	link                  // the way to a replica
	replicas              // what replicas do with requests
)

// event is one fault or change with the time in which it may have an effect.
type event struct {
	name       string
	from, till time.Time
	reach      reach
	router     string   // that it touches; empty for all
	replicas   []string // that it touches; empty for all
	centre     string   // of a ban of a data centre
}

// touch names what an event touches, before it has an effect.
func (es *events) touch(e *event, router string, rps ...*replica) {
	es.mu.Lock()
	defer es.mu.Unlock()
	e.router = router
	for _, rp := range rps {
		e.replicas = append(e.replicas, rp.ID)
	}
}

// events is the list of a run. It is safe for concurrent use.
type events struct {
	mu  sync.Mutex
	all []*event
}

func (es *events) begin(name string, on reach) *event {
	es.mu.Lock()
	defer es.mu.Unlock()
	e := &event{name: name, from: time.Now(), reach: on}
	es.all = append(es.all, e)
	return e
}

// end ends an event unless it has ended.
func (es *events) end(e *event) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if e.till.IsZero() {
		e.till = time.Now()
	}
}

// ban begins the time of an event in which replicas or a data centre must get no
// request.
func (es *events) ban(e *event, centre string, rps ...*replica) {
	es.touch(e, "", rps...)
	es.mu.Lock()
	defer es.mu.Unlock()
	e.from, e.centre = time.Now(), centre
}

// drop removes an event that did not happen.
func (es *events) drop(e *event) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.all = slices.DeleteFunc(es.all, func(x *event) bool { return x == e })
}

// where is the part of the system that a check concerns.
type where struct {
	from, till time.Time
	router     string
	replicas   []string
}

// excused reports whether an event of one of the kinds had an effect there.
func (es *events) excused(w where, kinds ...reach) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	return slices.ContainsFunc(es.all, func(e *event) bool {
		return slices.Contains(kinds, e.reach) &&
			e.from.Before(w.till) && (e.till.IsZero() || e.till.After(w.from)) &&
			(e.router == "" || e.router == w.router) &&
			(len(e.replicas) == 0 || slices.ContainsFunc(w.replicas, func(id string) bool { return slices.Contains(e.replicas, id) }))
	})
}

// unplanned reports whether any fault had an effect there.
func (es *events) unplanned(w where) bool { return es.excused(w, routers, store, link, replicas) }

// blind reports whether the router may not have known what the store says.
func (es *events) blind(w where) bool { return es.excused(w, routers, store) }

// unreachable reports whether a replica may not have noticed that the router closed
// its connection.
func (es *events) unreachable(w where) bool { return es.excused(w, routers, link) }

// faults are what a run draws from. Each returns when it has ended; several overlap.
var faults = []struct {
	name  string
	reach reach
	run   func(r *Run, rng *rand.Rand, e *event)
}{
	{"stop and start a router", planned, restart(syscall.SIGTERM)},
	{"stop and start a router", planned, restart(syscall.SIGTERM)},
	{"kill a router", routers, restart(os.Kill)},
	{"pause a router", routers, pause},
	{"reload a router", planned, func(r *Run, rng *rand.Rand, _ *event) { r.pick(rng).signal(syscall.SIGHUP) }},
	{"kill all routers", routers, killAll},
	{"fault before the store", store, storeLink},
	{"store fails", store, storeMode},
	{"store forgets", store, func(r *Run, _ *rand.Rand, _ *event) { r.site.Store.Compact() }},
	{"fault before a replica", link, replicaLink},
	{"replica fails", replicas, replicaActs},
	{"replica fails", replicas, replicaActs},
	{"service fails", replicas, serviceActs},
	{"service fails", replicas, serviceActs},
	{"configuration changes", planned, change},
	{"replica leaves", banned, leave},
	{"data centre goes out", banned, out},
}

// inject begins one fault after a pause.
func (r *Run) inject(rng *rand.Rand) {
	time.Sleep(time.Duration(rng.Int64N(int64(600 * time.Millisecond))))
	f := faults[rng.IntN(len(faults))]
	own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	r.work.Go(func() {
		e := r.events.begin(f.name, f.reach)
		f.run(r, own, e)
		r.events.end(e)
	})
}

func (r *Run) pick(rng *rand.Rand) *router { return r.routers[rng.IntN(len(r.routers))] }

// between returns a time between two bounds.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
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

// claim makes a router the event's own. It drops the event and returns nil if the router
// belongs to another one.
func (r *Run) claim(rng *rand.Rand, e *event) *router {
	rt := r.pick(rng)
	r.events.touch(e, rt.name)
	if !rt.claim() {
		r.events.drop(e)
		return nil
	}
	return rt
}

func restart(s os.Signal) func(*Run, *rand.Rand, *event) {
	return func(r *Run, rng *rand.Rand, e *event) {
		rt := r.claim(rng, e)
		if rt == nil {
			return
		}
		defer rt.release()
		rt.stop(s, stopTime*time.Second)
		time.Sleep(between(rng, 50*time.Millisecond, 400*time.Millisecond))
		r.startAgain(rt)
	}
}

func (r *Run) startAgain(rt *router) {
	if err := rt.start(); err != nil {
		r.events.begin("not started: "+err.Error(), routers)
	}
}

func pause(r *Run, rng *rand.Rand, e *event) {
	rt := r.claim(rng, e)
	if rt == nil {
		return
	}
	defer rt.release()
	rt.signal(syscall.SIGSTOP)
	time.Sleep(between(rng, 200*time.Millisecond, 3*time.Second))
	rt.signal(syscall.SIGCONT)
}

func killAll(r *Run, rng *rand.Rand, e *event) {
	if rng.IntN(3) > 0 {
		r.events.drop(e)
		return // it hides other faults
	}
	var own []*router
	for _, rt := range r.routers {
		if rt.claim() {
			own = append(own, rt)
			rt.stop(os.Kill, time.Second)
		}
	}
	time.Sleep(between(rng, 100*time.Millisecond, time.Second))
	for _, rt := range own {
		r.startAgain(rt)
		rt.release()
	}
}

var linkFaults = []Fault{Delay, Silent, Half, Refuse}

func storeLink(r *Run, rng *rand.Rand, e *event) {
	n := rng.IntN(len(r.store))
	r.events.touch(e, r.routers[n].name)
	p := r.store[n]
	p.Set(linkFaults[rng.IntN(len(linkFaults))])
	time.Sleep(between(rng, 200*time.Millisecond, 4*time.Second))
	p.Set(Pass)
}

func storeMode(r *Run, rng *rand.Rand, _ *event) {
	modes := []site.Mode{site.Busy, site.Reset, site.Silent, site.Slow}
	r.site.Store.SetMode(modes[rng.IntN(len(modes))])
	time.Sleep(between(rng, 200*time.Millisecond, 4*time.Second))
	r.site.Store.SetMode(site.Up)
}

func replicaLink(r *Run, rng *rand.Rand, e *event) {
	rp := r.replicas[rng.IntN(len(r.replicas))]
	r.events.touch(e, "", rp)
	rp.proxy.Set(linkFaults[rng.IntN(len(linkFaults))])
	time.Sleep(between(rng, 200*time.Millisecond, 3*time.Second))
	rp.proxy.Set(Pass)
}

// acts are what replicas do; the crash is the last.
var acts = []site.Action{site.Reject, site.LoseAnswer, site.NoAnswer, site.AnswerTwice, site.StrayAnswer, site.Unframed, site.Truncate, site.Stall, site.RejectEarly, site.InternalError, site.Crash}

func replicaActs(r *Run, rng *rand.Rand, e *event) {
	r.act(rng, e, acts[rng.IntN(len(acts))], r.replicas[rng.IntN(len(r.replicas))])
}

// serviceActs lets all replicas of a service answer badly, so that a request meets it
// more than once.
func serviceActs(r *Run, rng *rand.Rand, e *event) {
	service := []string{"desk", "engine"}[rng.IntN(2)]
	var all []*replica
	for _, rp := range r.replicas {
		if rp.Service == service {
			all = append(all, rp)
		}
	}
	r.act(rng, e, acts[rng.IntN(len(acts)-1)], all...) // all but the crash
}

// act lets replicas treat part of their requests in a way for some time.
func (r *Run) act(rng *rand.Rand, e *event, a site.Action, rps ...*replica) {
	r.events.touch(e, "", rps...)
	for _, rp := range rps {
		rp.act.Store(int32(a))
		rp.part.Store(int32(10 + rng.IntN(60)))
	}
	time.Sleep(between(rng, 300*time.Millisecond, 4*time.Second))
	for _, rp := range rps {
		rp.part.Store(0)
	}
}

// change puts a newer configuration in force, which adds a route that nobody uses.
func change(r *Run, _ *rand.Rand, _ *event) {
	r.events.mu.Lock()
	r.version++
	v := r.version
	r.site.Store.PutJSON("op/config", site.Config(v, append([]site.Route{
		{Name: fmt.Sprint("added-", v), Host: "added.example", Prefix: fmt.Sprintf("/%d/", v), Kind: "safe", Service: "desk", Timeout: 6000, TargetLatency: 300, Attempts: 1},
	}, routes...), site.Services, map[string]string{key: team}))
	r.events.mu.Unlock()
}

// leave lets a replica announce its leaving and come back.
func leave(r *Run, rng *rand.Rand, e *event) {
	rp := r.replicas[rng.IntN(len(r.replicas))]
	r.site.Store.PutJSON("servers/"+rp.ID, rp.Entry("draining"))
	r.events.ban(e, "", rp)
	time.Sleep(between(rng, time.Second, 7*time.Second))
	r.events.end(e)
	r.site.Store.PutJSON("servers/"+rp.ID, rp.Entry("ready"))
}

func out(r *Run, rng *rand.Rand, e *event) {
	centre := centres[rng.IntN(len(centres))]
	c := "op/evacuate/" + centre
	r.site.Store.PutJSON(c, map[string]any{})
	r.events.ban(e, centre)
	time.Sleep(between(rng, time.Second, 8*time.Second))
	r.events.end(e)
	r.site.Store.Delete(c)
}

// heal ends all faults.
func (r *Run) heal() {
	r.site.Store.SetMode(site.Up)
	for _, p := range r.store {
		p.Set(Pass)
	}
	for _, rp := range r.replicas {
		rp.proxy.Set(Pass)
		rp.part.Store(0)
	}
}
