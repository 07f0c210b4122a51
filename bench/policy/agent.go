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
	gateSlots    wire.Slots = 32
	pollPeriod              = 200 * ms
	beatPeriod              = 500 * ms
	reportPeriod            = 15 * time.Second
)

// gate admits calls to one upstream as package agent does, or with a simpler limit.
type gate struct {
	*loop
	up     *upstream
	kind   limitKind
	lim    *limit.Limiter
	queue  queue
	flight wire.Slots // of a fixed limit
	out    bool
	chills int // times that the limiter took a warm upstream for a cold one
}

func newGate(l *loop, u *upstream, p *Policy) *gate {
	g := &gate{loop: l, up: u, kind: p.limit, queue: newQueue(p.fair, gateSlots)}
	g.lim = limit.New(limit.Bounds{Warm: wire.Slots(u.pool.slots), Cold: wire.Slots(u.pool.cold)})
	l.after(0, g.poll)
	l.every(pollPeriod, g.poll)
	return g
}

func (g *gate) poll() {
	if !g.up.down {
		g.lim.Observe(g.wall(), g.up.load())
		g.dispatch()
	}
}

func (g *gate) join(c *call) (reason wire.Reason) {
	if c.over { // cancelled on the way
		return ""
	}
	if g.out {
		return wire.ReasonOut
	}
	if g.kind == limitNone {
		g.admit(c)
		return ""
	}
	e := c.entry(g.up.pool.engine())
	e.TeamLimit, e.LatestStart = gateSlots, epoch.Add(c.end)
	if _, ok := g.queue.Push(g.wall(), e); !ok {
		return wire.ReasonBusy
	}
	g.dispatch()
	return ""
}

func (g *gate) dispatch() {
	for g.queue.Len() > 0 && g.room() {
		e, late, ok := g.queue.Pop(g.wall())
		for _, x := range late {
			x.Value.router.refused(x.Value, wire.ReasonDeadline)
		}
		switch {
		case !ok:
			return
		case e.Value.over:
			continue
		}
		if g.kind == limitFixed {
			g.flight++
		} else if !g.lim.Admit(g.wall(), false).OK {
			return
		}
		g.admit(e.Value)
	}
}

func (g *gate) room() bool {
	if g.kind == limitFixed {
		return g.flight < wire.Slots(g.up.pool.slots)
	}
	_, most, _ := g.lim.View(g.wall())
	return g.lim.Held() < most
}

func (g *gate) admit(c *call) {
	c.entered = g.now
	c.done = g.ended
	if !g.up.take(c) {
		g.leave(limit.Sample{Failed: true})
		c.router.refused(c, wire.ReasonUnavailable)
	}
}

func (g *gate) ended(c *call, ok, reset bool) {
	g.leave(limit.Sample{Latency: g.now - c.entered, Units: g.tokens(c, ok), Failed: !ok, Reset: reset})
	c.router.returned(c, ok, reset)
}

// tokens is the number of tokens that a call generated, 1 for a service.
func (g *gate) tokens(c *call, ok bool) int64 {
	w := c.work[c.stage]
	switch {
	case !g.up.pool.engine():
		return 1
	case ok:
		return int64(w.busy / tokenTime)
	case !c.running:
		return 0
	}
	return int64(max(0, g.now-c.begun-prefillTime) / tokenTime)
}

func (g *gate) leave(s limit.Sample) {
	switch g.kind {
	case limitNone:
		return
	case limitFixed:
		g.flight--
	default:
		before, _, _ := g.lim.View(g.wall())
		g.lim.Done(g.wall(), s)
		if after, _, _ := g.lim.View(g.wall()); after == wire.WarmthCold && before != after && !g.up.cold() {
			g.chills++
		}
	}
	g.dispatch()
}

// report describes the upstream to routers.
func (g *gate) report() report {
	r := report{flight: wire.Slots(g.up.held()), limit: wire.Slots(g.up.pool.slots), queued: g.queue.Len(), warmth: wire.WarmthWarm}
	if g.kind == limitRamp {
		r.warmth, r.limit, _ = g.lim.View(g.wall())
		r.flight = g.lim.Held()
	}
	r.out = g.out
	r.cache = slices.Clone(g.up.cache)
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
	return &fifo{bound: bound}
}

// fifo is first come, first served.
type fifo struct {
	bound   wire.Slots // 0 for none
	entries []share.Entry[*call]
}

func (q *fifo) Push(_ time.Time, e share.Entry[*call]) (wire.Reason, bool) {
	if q.bound > 0 && q.Len() >= q.bound {
		return wire.ReasonQueue, false
	}
	q.entries = append(q.entries, e)
	return "", true
}

func (q *fifo) Pop(now time.Time) (e share.Entry[*call], late []share.Entry[*call], ok bool) {
	late = q.Expire(now)
	if len(q.entries) == 0 {
		return e, late, false
	}
	e, q.entries = q.entries[0], q.entries[1:]
	return e, late, true
}

func (q *fifo) Expire(now time.Time) (late []share.Entry[*call]) {
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

func (q *fifo) ChargeRank(wire.TeamID, wire.Rank, int64) {}

func (q *fifo) Len() wire.Slots { return wire.Slots(len(q.entries)) }

// shut closes the gate for a data centre that is out, and opens it again.
func (g *gate) shut(out bool) {
	if g.out && !out {
		g.lim.MarkCold(g.wall())
	}
	g.out = out
	for out {
		e, late, ok := g.queue.Pop(g.wall())
		for _, x := range late {
			x.Value.router.refused(x.Value, wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		e.Value.router.refused(e.Value, wire.ReasonOut)
	}
}
