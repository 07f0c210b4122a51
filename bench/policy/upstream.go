package policy

import (
	"fmt"
	"slices"
	"time"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/wire"
)

const (
	coldPeriod   = 4 * time.Second // from the start of a run until it is warm
	restartTime  = time.Second     // from a crash until it answers again
	failFastTime = 5 * ms
	// coldCrashFactor is the multiple of the cold capacity above which a cold
	// upstream crashes.
	coldCrashFactor = 2
)

// call is one attempt of one stage.
type call struct {
	*request
	stage         int
	router        *router
	upstream      *upstream
	stageDeadline time.Duration // stage's deadline
	admittedAt    time.Duration // admitted by the agent
	startedAt     time.Duration // run on the upstream
	running       bool
	ended         bool
	done          func(c *call, ok, reset bool)
}

// upstream is a model of an engine or a service.
type upstream struct {
	*eventLoop
	id     wire.UpstreamID
	pool   *poolSpec
	centre int
	agent  *agent

	bootCount   int
	coldSince   time.Duration // start of the present run
	down        bool
	running     []*call
	waiting     []*call
	prefixCache []wire.Fingerprint // latest last

	maxHeldCold          int // most work held while cold
	crashes              int
	lastCall             time.Duration // latest arrival of work
	lastCallBeforeReturn time.Duration // latest arrival of work before its data centre returned
	fails                func() bool   // whether a call fails half way
	failFast             bool          // failing calls fail after failFastTime
}

func (u *upstream) held() int  { return len(u.running) + len(u.waiting) }
func (u *upstream) cold() bool { return u.now < u.coldSince+coldPeriod }

func (u *upstream) capacity() int {
	if u.cold() {
		return u.pool.coldSlots
	}
	return u.pool.slots
}

func (u *upstream) hasFreeSlot() bool { return !u.down && u.held() < u.capacity() }

// accept gives a call to the upstream. It is false when the upstream is down.
func (u *upstream) accept(c *call) bool {
	if u.down {
		return false
	}
	u.lastCall = u.now
	u.waiting = append(u.waiting, c)
	if u.cold() {
		u.maxHeldCold = max(u.maxHeldCold, u.held())
		if u.held() > coldCrashFactor*u.pool.coldSlots {
			u.crash()
			return true
		}
	}
	u.startWaiting()
	return true
}

func (u *upstream) startWaiting() {
	for len(u.waiting) > 0 && len(u.running) < u.capacity() {
		c := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.start(c)
	}
}

func (u *upstream) start(c *call) {
	c.running, c.startedAt = true, u.now
	u.running = append(u.running, c)
	busy, ok := u.serviceTime(c.work[c.stage]), true
	if u.fails != nil && u.fails() {
		busy, ok = busy/2, false
		if u.failFast {
			busy = failFastTime
		}
	}
	u.after(busy, func() {
		if !c.ended {
			u.finish(c, ok, false)
		}
	})
}

// serviceTime is the time that w takes, and keeps its prefix in the cache.
func (u *upstream) serviceTime(w work) time.Duration {
	if w.prefix == "" {
		return w.busy
	}
	prefill := prefillTime
	if i := slices.Index(u.prefixCache, w.prefix); i >= 0 {
		prefill = cachedPrefillTime
		u.prefixCache = slices.Delete(u.prefixCache, i, i+1)
	}
	u.prefixCache = append(u.prefixCache, w.prefix)
	if len(u.prefixCache) > cacheSlots {
		u.prefixCache = u.prefixCache[1:]
	}
	return prefill + w.busy
}

// finish ends a call that the upstream holds.
func (u *upstream) finish(c *call, ok, reset bool) {
	c.ended = true
	spent := time.Duration(0)
	if c.running {
		spent = u.now - c.startedAt
	}
	if ok {
		c.completedTime[c.stage] += spent
	} else {
		c.failedTime[c.stage] += spent
	}
	same := func(x *call) bool { return x == c }
	u.running = slices.DeleteFunc(u.running, same)
	u.waiting = slices.DeleteFunc(u.waiting, same)
	c.done(c, ok, reset)
	u.startWaiting()
}

// crash ends the present run with all calls in it.
func (u *upstream) crash() {
	u.crashes++
	u.restart(restartTime)
}

func (u *upstream) restart(down time.Duration) {
	lost := append(slices.Clone(u.running), u.waiting...)
	u.bootCount++
	u.prefixCache, u.running, u.waiting = nil, nil, nil
	u.down = true
	u.coldSince = u.now + down
	boot := u.bootCount
	u.after(down, func() {
		if u.bootCount == boot {
			u.down = false
		}
	})
	for _, c := range lost {
		u.finish(c, false, true)
	}
}

// loadReport is the upstream's own report.
func (u *upstream) loadReport() limit.LoadReport {
	return limit.LoadReport{
		Boot: wire.BootID(fmt.Sprint(u.bootCount)), Cold: u.cold(),
		InFlight: wire.Slots(len(u.running)), Queued: wire.Slots(len(u.waiting)),
	}
}
