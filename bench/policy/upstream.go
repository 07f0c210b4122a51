package policy

import (
	"fmt"
	"slices"
	"time"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/wire"
)

const (
	coldTime  = 4 * time.Second // from the start of a run until it is warm
	bootTime  = time.Second     // from a crash until it answers again
	quickTime = 5 * ms
	// crashFactor is the multiple of the cold capacity above which a cold
	// upstream crashes.
	crashFactor = 2
)

// call is one attempt of one stage.
type call struct {
	*request
	stage   int
	router  *router
	up      *upstream
	end     time.Duration // stage's deadline
	entered time.Duration // admitted by the agent
	begun   time.Duration // run on the upstream
	running bool
	over    bool
	done    func(c *call, ok, reset bool)
}

// upstream is a model of an engine or a service.
type upstream struct {
	*loop
	id     wire.UpstreamID
	pool   *poolSpec
	centre int
	agent  *gate

	boot    int
	since   time.Duration // start of the present run
	down    bool
	running []*call
	waiting []*call
	cache   []wire.Fingerprint // latest last

	coldMost int // most work held while cold
	crashes  int
	lastCall time.Duration // latest arrival of work
	stopped  time.Duration // latest arrival of work before its data centre returned
	fails    func() bool   // whether a call fails half way
	quick    bool          // failing calls fail after quickTime
}

func (u *upstream) held() int  { return len(u.running) + len(u.waiting) }
func (u *upstream) cold() bool { return u.now < u.since+coldTime }

func (u *upstream) width() int {
	if u.cold() {
		return u.pool.cold
	}
	return u.pool.slots
}

func (u *upstream) free() bool { return !u.down && u.held() < u.width() }

// take gives a call to the upstream. It is false when the upstream is down.
func (u *upstream) take(c *call) bool {
	if u.down {
		return false
	}
	u.lastCall = u.now
	u.waiting = append(u.waiting, c)
	if u.cold() {
		u.coldMost = max(u.coldMost, u.held())
		if u.held() > crashFactor*u.pool.cold {
			u.crash()
			return true
		}
	}
	u.fill()
	return true
}

func (u *upstream) fill() {
	for len(u.waiting) > 0 && len(u.running) < u.width() {
		c := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.run(c)
	}
}

func (u *upstream) run(c *call) {
	c.running, c.begun = true, u.now
	u.running = append(u.running, c)
	busy, ok := u.busy(c.work[c.stage]), true
	if u.fails != nil && u.fails() {
		busy, ok = busy/2, false
		if u.quick {
			busy = quickTime
		}
	}
	u.after(busy, func() {
		if !c.over {
			u.finish(c, ok, false)
		}
	})
}

// busy is the time that w takes, and keeps its prefix in the cache.
func (u *upstream) busy(w work) time.Duration {
	if w.prefix == "" {
		return w.busy
	}
	prefill := prefillTime
	if i := slices.Index(u.cache, w.prefix); i >= 0 {
		prefill = cachedTime
		u.cache = slices.Delete(u.cache, i, i+1)
	}
	u.cache = append(u.cache, w.prefix)
	if len(u.cache) > cacheSlots {
		u.cache = u.cache[1:]
	}
	return prefill + w.busy
}

// finish ends a call that the upstream holds.
func (u *upstream) finish(c *call, ok, reset bool) {
	c.over = true
	spent := time.Duration(0)
	if c.running {
		spent = u.now - c.begun
	}
	if ok {
		c.cost[c.stage] += spent
	} else {
		c.waste[c.stage] += spent
	}
	same := func(x *call) bool { return x == c }
	u.running = slices.DeleteFunc(u.running, same)
	u.waiting = slices.DeleteFunc(u.waiting, same)
	c.done(c, ok, reset)
	u.fill()
}

// crash ends the present run with all calls in it.
func (u *upstream) crash() {
	u.crashes++
	u.restart(bootTime)
}

func (u *upstream) restart(down time.Duration) {
	lost := append(slices.Clone(u.running), u.waiting...)
	u.boot++
	u.cache, u.running, u.waiting = nil, nil, nil
	u.down = true
	u.since = u.now + down
	boot := u.boot
	u.after(down, func() {
		if u.boot == boot {
			u.down = false
		}
	})
	for _, c := range lost {
		u.finish(c, false, true)
	}
}

// load is the upstream's own report.
func (u *upstream) load() limit.LoadReport {
	return limit.LoadReport{
		Boot: wire.BootID(fmt.Sprint(u.boot)), Cold: u.cold(),
		InFlight: wire.Slots(len(u.running)), Queued: wire.Slots(len(u.waiting)),
	}
}
