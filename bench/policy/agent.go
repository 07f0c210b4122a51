package policy

import (
	"slices"
	"time"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

// These follow package agent.
const (
	agentQueueLimit   wire.Slots = 32
	loadPollInterval             = 200 * ms
	heartbeatInterval            = 500 * ms
	reportInterval               = 15 * time.Second
)

// agent admits calls to one upstream as package agent does, or with a simpler limit.
type agent struct {
	*eventLoop
	upstream   *upstream
	limitKind  limitKind
	limiter    *limit.Limiter
	queue      queue
	inFlight   wire.Slots // of a fixed limit
	centreOut  bool
	falseColds int // times that the limiter took a warm upstream for a cold one
}

func newAgent(l *eventLoop, u *upstream, p *Policy) *agent {
	g := &agent{eventLoop: l, upstream: u, limitKind: p.limit, queue: newQueue(p.fairQueue, agentQueueLimit)}
	g.limiter = limit.New(limit.Bounds{Warm: wire.Slots(u.pool.slots), Cold: wire.Slots(u.pool.coldSlots)})
	l.after(0, g.pollLoad)
	l.every(loadPollInterval, g.pollLoad)
	return g
}

func (g *agent) pollLoad() {
	if !g.upstream.down {
		g.limiter.Observe(g.wallTime(), g.upstream.loadReport())
		g.dispatch()
	}
}

func (g *agent) submit(c *call) (reason wire.Reason) {
	if c.ended { // cancelled on the way
		return ""
	}
	if g.centreOut {
		return wire.ReasonOut
	}
	if g.limitKind == limitNone {
		g.admit(c)
		return ""
	}
	e := c.entry(g.upstream.pool.engine())
	e.TeamLimit, e.LatestStart = agentQueueLimit, epoch.Add(c.stageDeadline)
	if _, ok := g.queue.Push(g.wallTime(), e); !ok {
		return wire.ReasonBusy
	}
	g.dispatch()
	return ""
}

func (g *agent) dispatch() {
	for g.queue.Len() > 0 && g.hasCapacity() {
		e, late, ok := g.queue.Pop(g.wallTime())
		for _, x := range late {
			x.Value.router.handleRefusal(x.Value, wire.ReasonDeadline)
		}
		switch {
		case !ok:
			return
		case e.Value.ended:
			continue
		}
		if g.limitKind == limitFixed {
			g.inFlight++
		} else if !g.limiter.Admit(g.wallTime(), false).OK {
			return
		}
		g.admit(e.Value)
	}
}

func (g *agent) hasCapacity() bool {
	if g.limitKind == limitFixed {
		return g.inFlight < wire.Slots(g.upstream.pool.slots)
	}
	_, most, _ := g.limiter.View(g.wallTime())
	return g.limiter.Held() < most
}

func (g *agent) admit(c *call) {
	c.admittedAt = g.now
	c.done = g.callEnded
	if !g.upstream.accept(c) {
		g.release(limit.Sample{Failed: true})
		c.router.handleRefusal(c, wire.ReasonUnavailable)
	}
}

func (g *agent) callEnded(c *call, ok, reset bool) {
	g.release(limit.Sample{Latency: g.now - c.admittedAt, Units: g.tokens(c, ok), Failed: !ok, Reset: reset})
	c.router.handleResult(c, ok, reset)
}

// tokens is the number of tokens that a call generated, 1 for a service.
func (g *agent) tokens(c *call, ok bool) int64 {
	w := c.work[c.stage]
	switch {
	case !g.upstream.pool.engine():
		return 1
	case ok:
		return int64(w.busy / tokenTime)
	case !c.running:
		return 0
	}
	return int64(max(0, g.now-c.startedAt-prefillTime) / tokenTime)
}

func (g *agent) release(s limit.Sample) {
	switch g.limitKind {
	case limitNone:
		return
	case limitFixed:
		g.inFlight--
	default:
		before, _, _ := g.limiter.View(g.wallTime())
		g.limiter.Done(g.wallTime(), s)
		if after, _, _ := g.limiter.View(g.wallTime()); after == wire.WarmthCold && before != after && !g.upstream.cold() {
			g.falseColds++
		}
	}
	g.dispatch()
}

// report describes the upstream to routers.
func (g *agent) report() report {
	r := report{inFlight: wire.Slots(g.upstream.held()), limit: wire.Slots(g.upstream.pool.slots), queued: g.queue.Len(), warmth: wire.WarmthWarm}
	if g.limitKind == limitAdaptive {
		r.warmth, r.limit, _ = g.limiter.View(g.wallTime())
		r.inFlight = g.limiter.Held()
	}
	r.centreOut = g.centreOut
	r.cachedPrefixes = slices.Clone(g.upstream.prefixCache)
	return r
}

// queue is the part of share.Queue that router and agent use.
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

// fifoQueue is first come, first served.
type fifoQueue struct {
	bound   wire.Slots // 0 for none
	entries []share.Entry[*call]
}

func (q *fifoQueue) Push(_ time.Time, e share.Entry[*call]) (wire.Reason, bool) {
	if q.bound > 0 && q.Len() >= q.bound {
		return wire.ReasonQueue, false
	}
	q.entries = append(q.entries, e)
	return "", true
}

func (q *fifoQueue) Pop(now time.Time) (e share.Entry[*call], late []share.Entry[*call], ok bool) {
	late = q.Expire(now)
	if len(q.entries) == 0 {
		return e, late, false
	}
	e, q.entries = q.entries[0], q.entries[1:]
	return e, late, true
}

func (q *fifoQueue) Expire(now time.Time) (late []share.Entry[*call]) {
	if len(q.entries) == 0 || q.entries[0].LatestStart.IsZero() {
		return nil // a policy sets Latest on all entries or on none
	}
	var kept []share.Entry[*call]
	for _, e := range q.entries {
		if e.LatestStart.Before(now) {
			late = append(late, e)
			continue
		}
		kept = append(kept, e)
	}
	q.entries = kept
	return late
}

func (q *fifoQueue) ChargeRank(wire.TeamID, wire.Rank, int64) {}

func (q *fifoQueue) Len() wire.Slots { return wire.Slots(len(q.entries)) }

// setCentreOut closes the gate for a data centre that is out, and opens it again.
func (g *agent) setCentreOut(out bool) {
	if g.centreOut && !out {
		g.limiter.MarkCold(g.wallTime())
	}
	g.centreOut = out
	for out {
		e, late, ok := g.queue.Pop(g.wallTime())
		for _, x := range late {
			x.Value.router.handleRefusal(x.Value, wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		e.Value.router.handleRefusal(e.Value, wire.ReasonOut)
	}
}
