package agent

import (
	"context"
	"sync"
	"time"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

// maxQueued bounds the calls that wait in the agent. A short queue keeps the
// upstream's batch full; longer waits belong to the router, which can still
// choose another replica.
const maxQueued wire.Slots = 32

// admitter admits calls to the upstream. All work passes through it, so many
// routers together cannot exceed the limit.
type admitter struct {
	mu           sync.Mutex
	limiter      *limit.Limiter
	queue        *share.Queue[*waiter]
	solo         *waiter             // call that waits to run alone
	meanCost     share.MovingAverage // accelerator time of a call in microseconds
	closedReason wire.Reason         // why no new work is admitted, or empty
}

// waiter is a call that waits for admission.
type waiter struct {
	solo     bool
	estimate int64
	done     chan struct{}
	reason   wire.Reason // empty when admitted
}

func (w *waiter) resolve(reason wire.Reason) {
	w.reason = reason
	close(w.done)
}

func newAdmitter(b limit.Bounds) *admitter {
	return &admitter{limiter: limit.New(b), queue: share.New[*waiter](maxQueued)}
}

// acquire waits for admission until ctx is done. It returns an empty reason when
// the call was admitted; the caller then owes a call of leave. The estimate is
// the cost that the team was charged.
func (g *admitter) acquire(ctx context.Context, c *wire.Call, deadline time.Time) (estimate int64, reason wire.Reason) {
	w := &waiter{solo: c.Solo, estimate: g.meanCost.Estimate(initialCostMicros), done: make(chan struct{})}
	g.mu.Lock()
	reason, waits := g.enqueue(time.Now(), w, c, deadline)
	g.mu.Unlock()
	if !waits {
		return 0, reason
	}
	select {
	case <-w.done:
		return w.estimate, w.reason
	case <-ctx.Done():
		return 0, g.withdraw(w, ctx)
	}
}

func (g *admitter) enqueue(now time.Time, w *waiter, c *wire.Call, deadline time.Time) (reason wire.Reason, waits bool) {
	if g.closedReason != "" {
		return g.closedReason, false
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
		LatestStart: deadline, TeamLimit: maxQueued, Value: w,
	})
	if !ok {
		_ = reason // the pool's reason; the router treats a full agent as busy
		return wire.ReasonBusy, false
	}
	g.dispatch(now)
	return "", true
}

// withdraw withdraws a waiter whose context ended. A waiter that was admitted in
// the meantime gives its slot back.
func (g *admitter) withdraw(w *waiter, ctx context.Context) wire.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.done:
		if w.reason == "" {
			g.limiter.Done(time.Now(), limit.Sample{Failed: true})
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
func (g *admitter) dispatch(now time.Time) {
	if g.solo != nil {
		g.dispatchSolo(now)
		return
	}
	for g.canDispatch(now) {
		e, late, ok := g.queue.Pop(now)
		for _, l := range late {
			l.Value.resolve(wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		if d := g.limiter.Admit(now, false); !d.OK {
			e.Value.resolve(d.Reason)
			return
		}
		e.Value.resolve("")
	}
}

func (g *admitter) dispatchSolo(now time.Time) {
	if d := g.limiter.Admit(now, true); d.OK {
		w := g.solo
		g.solo = nil
		w.resolve("")
	}
}

func (g *admitter) canDispatch(now time.Time) bool {
	_, most, _ := g.limiter.View(now)
	return g.limiter.Held() < most && g.queue.Len() > 0
}

// release ends an admitted call.
func (g *admitter) release(s limit.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.limiter.Done(now, s)
	g.dispatch(now)
}

// observe takes in the upstream's own report, which was asked for at asked.
func (g *admitter) observe(asked time.Time, e limit.LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Observe(asked, e)
	g.dispatch(time.Now())
}

// markCold assumes that the upstream is cold.
func (g *admitter) markCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.MarkCold(time.Now())
}

// discardReport holds the limit at the cold bound until the next report.
func (g *admitter) discardReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.DiscardReport()
}

func (g *admitter) setBounds(b limit.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.SetBounds(b)
}

// setClosed refuses new and waiting calls with reason; an empty reason opens the gate.
func (g *admitter) setClosed(reason wire.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closedReason = reason
	if reason == "" {
		return
	}
	if g.solo != nil {
		g.solo.resolve(reason)
		g.solo = nil
	}
	for {
		e, late, ok := g.queue.Pop(time.Now())
		for _, l := range late {
			l.Value.resolve(reason)
		}
		if !ok {
			return
		}
		e.Value.resolve(reason)
	}
}

// snapshot returns the limiter's state; held counts work of others at the upstream too.
func (g *admitter) snapshot() (w wire.Warmth, most, held, queued wire.Slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, most, _ = g.limiter.View(time.Now())
	return w, most, g.limiter.Held(), g.queue.Len()
}

// initialCostMicros is the cost of a call in microseconds before any has ended.
const initialCostMicros = 1000

// charge corrects the account of a call's team by what the call really cost.
func (g *admitter) charge(c *wire.Call, estimate int64, cost wire.Cost) {
	g.queue.ChargeRank(c.Team, c.Rank, int64(cost.Busy)-estimate)
	g.meanCost.Observe(int64(cost.Busy))
}
