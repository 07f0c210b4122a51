package policy

import (
	"slices"
	"time"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

// These constants follow package agent.
const (
	agentQueueLimit   wire.Slots = 32
	loadPollInterval             = 200 * ms
	heartbeatInterval            = 500 * ms
	reportInterval               = 15 * time.Second
)

// agent admits calls to one upstream. It models package agent, or an agent with a
// simpler limit.
type agent struct {
	*eventLoop
	upstream   *upstream
	limitKind  limitKind
	limiter    *limit.Limiter
	queue      queue
	inFlight   wire.Slots // calls admitted under limitFixed; limiter counts its own
	centreOut  bool
	falseColds int // times that limiter took a warm upstream for a cold one
}

func newAgent(l *eventLoop, u *upstream, p *Policy) *agent {
	a := &agent{eventLoop: l, upstream: u, limitKind: p.limit, queue: newQueue(p.fairQueue, agentQueueLimit)}
	a.limiter = limit.New(limit.Bounds{Warm: wire.Slots(u.pool.slots), Cold: wire.Slots(u.pool.coldSlots)})
	l.after(0, a.pollLoad)
	l.every(loadPollInterval, a.pollLoad)
	return a
}

// pollLoad passes the load of the upstream to the limiter.
func (a *agent) pollLoad() {
	if !a.upstream.down {
		a.limiter.Observe(a.wallTime(), a.upstream.loadReport())
		a.dispatch()
	}
}

// submit queues a call for admission. It returns the reason of a refusal, or "".
func (a *agent) submit(c *call) (reason wire.Reason) {
	if c.ended { // cancelled on its way to the agent
		return ""
	}
	if a.centreOut {
		return wire.ReasonOut
	}
	if a.limitKind == limitNone {
		a.admit(c)
		return ""
	}
	e := c.entry(a.upstream.pool.engine())
	e.TeamLimit, e.LatestStart = agentQueueLimit, epoch.Add(c.stageDeadline)
	if _, ok := a.queue.Push(a.wallTime(), e); !ok {
		return wire.ReasonBusy
	}
	a.dispatch()
	return ""
}

// dispatch admits queued calls while there is capacity.
func (a *agent) dispatch() {
	for a.queue.Len() > 0 && a.hasCapacity() {
		e, expired, ok := a.queue.Pop(a.wallTime())
		for _, x := range expired {
			x.Value.router.handleRefusal(x.Value, wire.ReasonDeadline)
		}
		switch {
		case !ok:
			return
		case e.Value.ended:
			continue
		}
		if a.limitKind == limitFixed {
			a.inFlight++
		} else if !a.limiter.Admit(a.wallTime(), false).OK {
			return
		}
		a.admit(e.Value)
	}
}

func (a *agent) hasCapacity() bool {
	if a.limitKind == limitFixed {
		return a.inFlight < wire.Slots(a.upstream.pool.slots)
	}
	_, maxInFlight, _ := a.limiter.View(a.wallTime())
	return a.limiter.Held() < maxInFlight
}

// admit passes a call to the upstream.
func (a *agent) admit(c *call) {
	c.admittedAt = a.now
	c.done = a.callEnded
	if !a.upstream.accept(c) {
		a.release(limit.Sample{Failed: true})
		c.router.handleRefusal(c, wire.ReasonUnavailable)
	}
}

// callEnded handles the end of an admitted call.
func (a *agent) callEnded(c *call, ok, reset bool) {
	a.release(limit.Sample{Latency: a.now - c.admittedAt, Units: a.tokens(c, ok), Failed: !ok, Reset: reset})
	c.router.handleResult(c, ok, reset)
}

// tokens returns the number of tokens that a call generated, 1 for a service.
func (a *agent) tokens(c *call, ok bool) int64 {
	w := c.work[c.stage]
	switch {
	case !a.upstream.pool.engine():
		return 1
	case ok:
		return int64(w.busy / tokenTime)
	case !c.running:
		return 0
	}
	return int64(max(0, a.now-c.startedAt-prefillTime) / tokenTime)
}

// release frees the slot of a call and admits the next one.
func (a *agent) release(s limit.Sample) {
	switch a.limitKind {
	case limitNone:
		return
	case limitFixed:
		a.inFlight--
	default:
		before, _, _ := a.limiter.View(a.wallTime())
		a.limiter.Done(a.wallTime(), s)
		if after, _, _ := a.limiter.View(a.wallTime()); after == wire.WarmthCold && before != after && !a.upstream.cold() {
			a.falseColds++
		}
	}
	a.dispatch()
}

// report returns the report that routers get.
func (a *agent) report() report {
	r := report{inFlight: wire.Slots(a.upstream.held()), limit: wire.Slots(a.upstream.pool.slots), queued: a.queue.Len(), warmth: wire.WarmthWarm}
	if a.limitKind == limitAdaptive {
		r.warmth, r.limit, _ = a.limiter.View(a.wallTime())
		r.inFlight = a.limiter.Held()
	}
	r.centreOut = a.centreOut
	r.cachedPrefixes = slices.Clone(a.upstream.prefixCache)
	return r
}

// queue is the part of share.Queue that routers and agents use.
type queue interface {
	Push(now time.Time, e share.Entry[*call]) (wire.Reason, bool)
	Pop(now time.Time) (share.Entry[*call], []share.Entry[*call], bool)
	Expire(now time.Time) []share.Entry[*call]
	ChargeRank(team wire.TeamID, rank wire.Rank, extra int64)
	Len() wire.Slots
}

func newQueue(fair bool, bound wire.Slots) queue {
	if fair {
		return share.New[*call](bound)
	}
	return &fifoQueue{bound: bound}
}

// fifoQueue serves calls in order of arrival, without regard to teams and ranks.
type fifoQueue struct {
	bound   wire.Slots // largest length; 0 for no bound
	entries []share.Entry[*call]
}

func (q *fifoQueue) Push(_ time.Time, e share.Entry[*call]) (wire.Reason, bool) {
	if q.bound > 0 && q.Len() >= q.bound {
		return wire.ReasonQueue, false
	}
	q.entries = append(q.entries, e)
	return "", true
}

func (q *fifoQueue) Pop(now time.Time) (e share.Entry[*call], expired []share.Entry[*call], ok bool) {
	expired = q.Expire(now)
	if len(q.entries) == 0 {
		return e, expired, false
	}
	e, q.entries = q.entries[0], q.entries[1:]
	return e, expired, true
}

func (q *fifoQueue) Expire(now time.Time) (expired []share.Entry[*call]) {
	if len(q.entries) == 0 || q.entries[0].LatestStart.IsZero() {
		return nil // a policy sets LatestStart on all entries or on none
	}
	var kept []share.Entry[*call]
	for _, e := range q.entries {
		if e.LatestStart.Before(now) {
			expired = append(expired, e)
			continue
		}
		kept = append(kept, e)
	}
	q.entries = kept
	return expired
}

func (q *fifoQueue) ChargeRank(wire.TeamID, wire.Rank, int64) {}

func (q *fifoQueue) Len() wire.Slots { return wire.Slots(len(q.entries)) }

// setCentreOut makes the agent refuse all calls, those in the queue too, while its
// data centre is out. The limiter restarts from the cold bound on return.
func (a *agent) setCentreOut(out bool) {
	if a.centreOut && !out {
		a.limiter.MarkCold(a.wallTime())
	}
	a.centreOut = out
	for out {
		e, expired, ok := a.queue.Pop(a.wallTime())
		for _, x := range expired {
			x.Value.router.handleRefusal(x.Value, wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		e.Value.router.handleRefusal(e.Value, wire.ReasonOut)
	}
}
