package policy

import (
	"fmt"
	"slices"
	"time"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/wire"
)

const (
	coldPeriod   = 4 * time.Second // time from the start of an upstream until it is warm
	restartTime  = time.Second     // time from a crash until the upstream accepts calls again
	failFastTime = 5 * ms          // duration of a failing call on an upstream with failFast
	// coldCrashFactor is the multiple of poolSpec.coldSlots above which the calls held
	// crash a cold upstream.
	coldCrashFactor = 2
)

// call is one attempt at one stage of a request.
type call struct {
	*request
	stage         int
	router        *router
	upstream      *upstream
	stageDeadline time.Duration
	admittedAt    time.Duration // time of admission by the agent
	startedAt     time.Duration // time of the start on the upstream
	running       bool          // whether it has started on the upstream
	ended         bool
	done          func(c *call, ok, reset bool) // nil until the agent admits the call; reset: lost in a restart
}

// upstream models an engine or a service.
type upstream struct {
	*eventLoop
	id     wire.UpstreamID
	pool   *poolSpec
	centre int
	agent  *agent

	bootCount   int
	coldSince   time.Duration // start of the latest cold period
	down        bool
	running     []*call
	waiting     []*call
	prefixCache []wire.Fingerprint // in order of use, most recent last

	maxHeldCold          int // most calls held on arrival of a call while cold
	crashes              int
	lastCall             time.Duration // arrival of the latest call
	lastCallBeforeReturn time.Duration // arrival of the latest call before the data centre returned
	fails                func() bool   // reports whether the next call fails; nil for never
	failFast             bool          // whether failing calls end after failFastTime instead of half way
}

// held returns the number of calls running and waiting.
func (u *upstream) held() int  { return len(u.running) + len(u.waiting) }
func (u *upstream) cold() bool { return u.now < u.coldSince+coldPeriod }

// capacity returns the number of calls that the upstream runs at once.
func (u *upstream) capacity() int {
	if u.cold() {
		return u.pool.coldSlots
	}
	return u.pool.slots
}

func (u *upstream) hasFreeSlot() bool { return !u.down && u.held() < u.capacity() }

// accept queues a call on the upstream, which crashes if it is cold and holds too
// many calls. accept returns false when the upstream is down.
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

// startWaiting starts waiting calls while there is capacity.
func (u *upstream) startWaiting() {
	for len(u.waiting) > 0 && len(u.running) < u.capacity() {
		c := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.start(c)
	}
}

// start runs a call on a slot until it completes or fails.
func (u *upstream) start(c *call) {
	c.running, c.startedAt = true, u.now
	u.running = append(u.running, c)
	duration, ok := u.serviceTime(c.work[c.stage]), true
	if u.fails != nil && u.fails() {
		duration, ok = duration/2, false
		if u.failFast {
			duration = failFastTime
		}
	}
	u.after(duration, func() {
		if !c.ended {
			u.finish(c, ok, false)
		}
	})
}

// serviceTime returns the slot time of w and moves its prefix to the end of the LRU
// cache.
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

// finish ends a call that the upstream holds; reset tells that a restart lost it.
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
	isCall := func(x *call) bool { return x == c }
	u.running = slices.DeleteFunc(u.running, isCall)
	u.waiting = slices.DeleteFunc(u.waiting, isCall)
	c.done(c, ok, reset)
	u.startWaiting()
}

// crash loses all calls; the upstream is down for restartTime.
func (u *upstream) crash() {
	u.crashes++
	u.restart(restartTime)
}

// restart loses all calls and the prefix cache. The upstream is cold after downtime.
func (u *upstream) restart(downtime time.Duration) {
	lost := append(slices.Clone(u.running), u.waiting...)
	u.bootCount++
	u.prefixCache, u.running, u.waiting = nil, nil, nil
	u.down = true
	u.coldSince = u.now + downtime
	boot := u.bootCount // a further restart during the downtime has its own timer
	u.after(downtime, func() {
		if u.bootCount == boot {
			u.down = false
		}
	})
	for _, c := range lost {
		u.finish(c, false, true)
	}
}

// loadReport returns the load that the upstream reports to its agent.
func (u *upstream) loadReport() limit.LoadReport {
	return limit.LoadReport{
		Boot: wire.BootID(fmt.Sprint(u.bootCount)), Cold: u.cold(),
		InFlight: wire.Slots(len(u.running)), Queued: wire.Slots(len(u.waiting)),
	}
}
