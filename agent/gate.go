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
	soloWaiter   *waiter             // call that waits to run alone, or nil
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
func (ad *admitter) acquire(ctx context.Context, c *wire.Call, deadline time.Time) (estimate int64, reason wire.Reason) {
	w := &waiter{solo: c.Solo, estimate: ad.meanCost.Estimate(initialCostMicros), done: make(chan struct{})}
	ad.mu.Lock()
	reason, waits := ad.enqueue(time.Now(), w, c, deadline)
	ad.mu.Unlock()
	if !waits {
		return 0, reason
	}
	select {
	case <-w.done:
		return w.estimate, w.reason
	case <-ctx.Done():
		return 0, ad.withdraw(w, ctx)
	}
}

// enqueue makes w wait for admission and reports whether it does; otherwise reason
// says why the call was refused. Only one call at a time may wait to run alone. The
// caller holds mu.
func (ad *admitter) enqueue(now time.Time, w *waiter, c *wire.Call, deadline time.Time) (reason wire.Reason, waits bool) {
	if ad.closedReason != "" {
		return ad.closedReason, false
	}
	if w.solo {
		if ad.soloWaiter != nil {
			return wire.ReasonSolo, false
		}
		ad.soloWaiter = w
		ad.dispatch(now)
		return "", true
	}
	reason, ok := ad.queue.Push(now, share.Entry[*waiter]{
		Team: c.Team, Weight: c.Weight, Rank: c.Rank, Cost: w.estimate,
		LatestStart: deadline, TeamLimit: maxQueued, Value: w,
	})
	if !ok {
		_ = reason // ignored: the router treats a full agent as busy in any case
		return wire.ReasonBusy, false
	}
	ad.dispatch(now)
	return "", true
}

// withdraw removes a waiter whose context has ended. If it was admitted meanwhile,
// its slot is given back.
func (ad *admitter) withdraw(w *waiter, ctx context.Context) wire.Reason {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	select {
	case <-w.done:
		if w.reason == "" {
			ad.limiter.Done(time.Now(), limit.Sample{Failed: true})
			ad.dispatch(time.Now())
		}
	default:
		if ad.soloWaiter == w {
			ad.soloWaiter = nil
			ad.dispatch(time.Now())
		} else {
			ad.queue.Remove(func(x *waiter) bool { return x == w })
		}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return wire.ReasonDeadline
	}
	return wire.ReasonCancelled
}

// dispatch admits waiting calls up to the limit. While a call waits to run alone, no
// other is admitted. The caller holds mu.
func (ad *admitter) dispatch(now time.Time) {
	if ad.soloWaiter != nil {
		ad.dispatchSolo(now)
		return
	}
	for ad.canDispatch(now) {
		e, expired, ok := ad.queue.Pop(now)
		for _, x := range expired {
			x.Value.resolve(wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		if d := ad.limiter.Admit(now, false); !d.OK {
			e.Value.resolve(d.Reason)
			return
		}
		e.Value.resolve("")
	}
}

// dispatchSolo admits the call that waits to run alone if the limiter allows it.
func (ad *admitter) dispatchSolo(now time.Time) {
	if d := ad.limiter.Admit(now, true); d.OK {
		w := ad.soloWaiter
		ad.soloWaiter = nil
		w.resolve("")
	}
}

// canDispatch reports whether a call is queued and the limit leaves a free slot.
func (ad *admitter) canDispatch(now time.Time) bool {
	_, capacity, _ := ad.limiter.View(now)
	return ad.limiter.Held() < capacity && ad.queue.Len() > 0
}

// release gives back the slot of an admitted call. The sample of its latency adjusts
// the limit.
func (ad *admitter) release(s limit.Sample) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	now := time.Now()
	ad.limiter.Done(now, s)
	ad.dispatch(now)
}

// observe passes a load report that was requested at requestedAt to the limiter.
func (ad *admitter) observe(requestedAt time.Time, report limit.LoadReport) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.limiter.Observe(requestedAt, report)
	ad.dispatch(time.Now())
}

// markCold makes the limiter treat the upstream as cold.
func (ad *admitter) markCold() {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.limiter.MarkCold(time.Now())
}

// discardReport keeps the limit at the cold bound until the next load report.
func (ad *admitter) discardReport() {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.limiter.DiscardReport()
}

// setBounds sets the limiter's warm and cold bounds.
func (ad *admitter) setBounds(b limit.Bounds) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.limiter.SetBounds(b)
}

// setClosed refuses new and waiting calls with reason. An empty reason admits calls
// again.
func (ad *admitter) setClosed(reason wire.Reason) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.closedReason = reason
	if reason == "" {
		return
	}
	if ad.soloWaiter != nil {
		ad.soloWaiter.resolve(reason)
		ad.soloWaiter = nil
	}
	for {
		e, expired, ok := ad.queue.Pop(time.Now())
		for _, x := range expired {
			x.Value.resolve(reason)
		}
		if !ok {
			return
		}
		e.Value.resolve(reason)
	}
}

// snapshot returns the limiter's state and the queue length. inFlight includes the
// calls of other clients at the upstream.
func (ad *admitter) snapshot() (w wire.Warmth, capacity, inFlight, queued wire.Slots) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	w, capacity, _ = ad.limiter.View(time.Now())
	return w, capacity, ad.limiter.Held(), ad.queue.Len()
}

// initialCostMicros is the estimated cost of a call while none has ended yet.
const initialCostMicros = 1000

// charge corrects what the call's team was charged from the estimate to the actual
// cost, and adds the cost to the mean.
func (ad *admitter) charge(c *wire.Call, estimate int64, cost wire.Cost) {
	ad.queue.ChargeRank(c.Team, c.Rank, int64(cost.Busy)-estimate)
	ad.meanCost.Observe(int64(cost.Busy))
}
