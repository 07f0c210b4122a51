package agent

import (
	"context"
	"sync"
	"time"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

// queueSlots bounds the calls that wait in the agent. A short queue keeps the
// upstream's batch full; longer waits belong to the router, which can still
// choose another replica.
const queueSlots wire.Slots = 32

// gate admits calls to the upstream. All work passes through it, so many
// routers together cannot exceed the limit.
type gate struct {
	mu     sync.Mutex
	lim    *limit.Limiter
	queue  *share.Queue[*waiter]
	solo   *waiter             // call that waits to run alone
	mean   share.MovingAverage // accelerator time of a call in microseconds
	closed wire.Reason         // why no new work is admitted, or empty
}

// waiter is a call that waits for admission.
type waiter struct {
	solo     bool
	estimate int64
	done     chan struct{}
	reason   wire.Reason // empty when admitted
}

func (w *waiter) settle(reason wire.Reason) {
	w.reason = reason
	close(w.done)
}

func newGate(b limit.Bounds) *gate {
	return &gate{lim: limit.New(b), queue: share.New[*waiter](queueSlots)}
}

// enter waits for admission until ctx is done. It returns an empty reason when
// the call was admitted; the caller then owes a call of leave. The estimate is
// the cost that the team was charged.
func (g *gate) enter(ctx context.Context, c *wire.Call, deadline time.Time) (estimate int64, reason wire.Reason) {
	w := &waiter{solo: c.Solo, estimate: g.mean.Estimate(firstCost), done: make(chan struct{})}
	g.mu.Lock()
	reason, waits := g.join(time.Now(), w, c, deadline)
	g.mu.Unlock()
	if !waits {
		return 0, reason
	}
	select {
	case <-w.done:
		return w.estimate, w.reason
	case <-ctx.Done():
		return 0, g.abandon(w, ctx)
	}
}

func (g *gate) join(now time.Time, w *waiter, c *wire.Call, deadline time.Time) (reason wire.Reason, waits bool) {
	if g.closed != "" {
		return g.closed, false
	}
	if w.solo {
		if g.solo != nil {
			return wire.ReasonSolo, false
		}
		g.solo = w
		g.dispatch(now)
		return "", true
	}
	reason, ok := g.queue.Push(now, share.Entry[*waiter]{
		Team: c.Team, Weight: c.Weight, Rank: c.Rank, Cost: w.estimate,
		LatestStart: deadline, TeamLimit: queueSlots, Value: w,
	})
	if !ok {
		_ = reason // the pool's reason; the router treats a full agent as busy
		return wire.ReasonBusy, false
	}
	g.dispatch(now)
	return "", true
}

// abandon withdraws a waiter whose context ended. A waiter that was admitted in
// the meantime gives its slot back.
func (g *gate) abandon(w *waiter, ctx context.Context) wire.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.done:
		if w.reason == "" {
			g.lim.Done(time.Now(), limit.Sample{Failed: true})
			g.dispatch(time.Now())
		}
	default:
		if g.solo == w {
			g.solo = nil
			g.dispatch(time.Now())
		} else {
			g.queue.Remove(func(x *waiter) bool { return x == w })
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return wire.ReasonDeadline
	}
	return wire.ReasonCancelled
}

// dispatch admits waiting calls while there is room. The caller holds mu.
func (g *gate) dispatch(now time.Time) {
	if g.solo != nil {
		g.dispatchSolo(now)
		return
	}
	for g.room(now) {
		e, late, ok := g.queue.Pop(now)
		for _, l := range late {
			l.Value.settle(wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		if d := g.lim.Admit(now, false); !d.OK {
			e.Value.settle(d.Reason)
			return
		}
		e.Value.settle("")
	}
}

func (g *gate) dispatchSolo(now time.Time) {
	if d := g.lim.Admit(now, true); d.OK {
		w := g.solo
		g.solo = nil
		w.settle("")
	}
}

func (g *gate) room(now time.Time) bool {
	_, most, _ := g.lim.View(now)
	return g.lim.Held() < most && g.queue.Len() > 0
}

// leave ends an admitted call.
func (g *gate) leave(s limit.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.lim.Done(now, s)
	g.dispatch(now)
}

// observe takes in the upstream's own report, which was asked for at asked.
func (g *gate) observe(asked time.Time, e limit.LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lim.Observe(asked, e)
	g.dispatch(time.Now())
}

// chill assumes that the upstream is cold.
func (g *gate) chill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lim.MarkCold(time.Now())
}

// doubt holds the limit at the cold bound until the next report.
func (g *gate) doubt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lim.DiscardReport()
}

func (g *gate) setBounds(b limit.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lim.SetBounds(b)
}

// shut refuses new and waiting calls with reason; an empty reason opens the gate.
func (g *gate) shut(reason wire.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = reason
	if reason == "" {
		return
	}
	if g.solo != nil {
		g.solo.settle(reason)
		g.solo = nil
	}
	for {
		e, late, ok := g.queue.Pop(time.Now())
		for _, l := range late {
			l.Value.settle(reason)
		}
		if !ok {
			return
		}
		e.Value.settle(reason)
	}
}

// view returns the limiter's state; held counts work of others at the upstream too.
func (g *gate) view() (w wire.Warmth, most, held, queued wire.Slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, most, _ = g.lim.View(time.Now())
	return w, most, g.lim.Held(), g.queue.Len()
}

// firstCost is the cost of a call in microseconds before any has ended.
const firstCost = 1000

// charge corrects the account of a call's team by what the call really cost.
func (g *gate) charge(c *wire.Call, estimate int64, cost wire.Cost) {
	g.queue.ChargeRank(c.Team, c.Rank, int64(cost.Busy)-estimate)
	g.mean.Observe(int64(cost.Busy))
}
