package agent

import (
	"context"
	"sync"
	"time"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

// maxQueued limits the calls that wait in the agent. A short queue is enough to keep
// the upstream's batch full. Longer waits belong in the router, which can still
// choose another replica.
const maxQueued wire.Slots = 32

// admitter applies the upstream's concurrency limit. All calls pass through it, so
// that several routers together cannot exceed the limit.
type admitter struct {
	mu           sync.Mutex
	limiter      *limit.Limiter
	queue        *share.Queue[*waiter]
	solo         *waiter             // call that waits to run alone, or nil
	meanCost     share.MovingAverage // mean accelerator time of a call in microseconds
	closedReason wire.Reason         // why no call is admitted, or empty
}

// waiter is a call that waits for admission.
type waiter struct {
	solo     bool          // whether the call must run alone
	estimate int64         // expected cost in microseconds
	done     chan struct{} // closed when the call is admitted or refused
	reason   wire.Reason   // set before done is closed; empty if admitted
}

// resolve ends the wait: it admits the call if reason is empty, and refuses it
// otherwise.
func (w *waiter) resolve(reason wire.Reason) {
	w.reason = reason
	close(w.done)
}

func newAdmitter(b limit.Bounds) *admitter {
	return &admitter{limiter: limit.New(b), queue: share.New[*waiter](maxQueued)}
}

// acquire waits for admission until ctx is done. An empty reason means that the call
// was admitted; the caller must then call release. The estimate is the cost in
// microseconds that the team was charged in advance.
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

// enqueue makes w wait for admission and reports whether it does; otherwise reason
// says why the call was refused. Only one call at a time may wait to run alone. The
// caller holds mu.
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
		_ = reason // ignored: the router treats a full agent as busy in any case
		return wire.ReasonBusy, false
	}
	g.dispatch(now)
	return "", true
}

// withdraw removes a waiter whose context has ended. If it was admitted meanwhile,
// its slot is given back.
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

// dispatch admits waiting calls up to the limit. While a call waits to run alone, no
// other is admitted. The caller holds mu.
func (g *admitter) dispatch(now time.Time) {
	if g.solo != nil {
		g.dispatchSolo(now)
		return
	}
	for g.canDispatch(now) {
		e, expired, ok := g.queue.Pop(now)
		for _, l := range expired {
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

// dispatchSolo admits the call that waits to run alone if the limiter allows it.
func (g *admitter) dispatchSolo(now time.Time) {
	if d := g.limiter.Admit(now, true); d.OK {
		w := g.solo
		g.solo = nil
		w.resolve("")
	}
}

// canDispatch reports whether a call is queued and the limit leaves a free slot.
func (g *admitter) canDispatch(now time.Time) bool {
	_, capacity, _ := g.limiter.View(now)
	return g.limiter.Held() < capacity && g.queue.Len() > 0
}

// release gives back the slot of an admitted call. The sample of its latency adjusts
// the limit.
func (g *admitter) release(s limit.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.limiter.Done(now, s)
	g.dispatch(now)
}

// observe passes the upstream's load report, requested at asked, to the limiter.
func (g *admitter) observe(asked time.Time, e limit.LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Observe(asked, e)
	g.dispatch(time.Now())
}

// markCold makes the limiter treat the upstream as cold.
func (g *admitter) markCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.MarkCold(time.Now())
}

// discardReport keeps the limit at the cold bound until the next load report.
func (g *admitter) discardReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.DiscardReport()
}

// setBounds sets the limiter's warm and cold bounds.
func (g *admitter) setBounds(b limit.Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.SetBounds(b)
}

// setClosed refuses new and waiting calls with reason. An empty reason admits calls
// again.
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
		e, expired, ok := g.queue.Pop(time.Now())
		for _, l := range expired {
			l.Value.resolve(reason)
		}
		if !ok {
			return
		}
		e.Value.resolve(reason)
	}
}

// snapshot returns the limiter's state and the queue length. inFlight includes the
// calls of other clients at the upstream.
func (g *admitter) snapshot() (w wire.Warmth, capacity, inFlight, queued wire.Slots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, capacity, _ = g.limiter.View(time.Now())
	return w, capacity, g.limiter.Held(), g.queue.Len()
}

// initialCostMicros is the estimated cost of a call while none has ended yet.
const initialCostMicros = 1000

// charge replaces the estimate that the call's team was charged by the actual cost.
func (g *admitter) charge(c *wire.Call, estimate int64, cost wire.Cost) {
	g.queue.ChargeRank(c.Team, c.Rank, int64(cost.Busy)-estimate)
	g.meanCost.Observe(int64(cost.Busy))
}
