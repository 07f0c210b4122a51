package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/charmbracelet/log"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/wire"
)

const (
	// cutMargin is the time before the end of the drain timeout at which the requests
	// still in flight are cut off, so that each caller gets an answer.
	cutMargin = 500 * time.Millisecond
	// closeMargin is the part of cutMargin that is left for the callers' listener to
	// write the last answers and to close its connections.
	closeMargin = 250 * time.Millisecond
	// maxMarginShare limits the margins to 1/maxMarginShare of a short drain timeout.
	maxMarginShare = 4
)

// errStopped is the cause for which the context of a request that a stop cuts off ends.
var errStopped = errors.New("router stopped")

// stopPlan holds the times of a planned stop.
type stopPlan struct {
	refuseAt time.Time // all new requests are refused from then on
	cutAt    time.Time // requests still in flight are cut off
	end      time.Time // the drain ends, complete or not
}

// planStop returns the plan of a stop that begins now and ends within timeout.
func planStop(now time.Time, linger, timeout time.Duration) stopPlan {
	margin := min(cutMargin, timeout/maxMarginShare)
	p := stopPlan{cutAt: now.Add(timeout - margin), end: now.Add(timeout - min(closeMargin, margin/2))}
	p.refuseAt = now.Add(min(linger, timeout-margin))
	return p
}

// takes reports whether a router with this plan takes a request that may last for
// timeout. One that may be cut off is refused while it is certain that nothing of it
// was executed. A router without a plan takes all requests.
func (p *stopPlan) takes(now time.Time, timeout time.Duration) bool {
	return p == nil || now.Before(p.refuseAt) && !now.Add(timeout).After(p.cutAt)
}

// cuttable returns a copy of ctx that ends with cause errStopped if the stop cuts off
// the request. The caller must call cancel.
func (r *Router) cuttable(ctx context.Context) (_ context.Context, cancel func()) {
	ctx, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(r.cutContext, func() { end(errStopped) })
	return ctx, func() {
		stop()
		end(nil)
	}
}

// refusalReason returns the reason for which a request with context ctx is refused:
// reason, unless the stop cut it off.
func refusalReason(ctx context.Context, reason wire.Reason, x *executionRecord) wire.Reason {
	switch {
	case !errors.Is(context.Cause(ctx), errStopped):
		return reason
	case x.some || x.unknown:
		return wire.ReasonUnknown
	default:
		return wire.ReasonLeaving
	}
}

// drain lingers, refuses new requests and waits until those in flight have ended and
// the costs of abandoned calls have arrived. It cuts off the requests that last too
// long and returns an error if there were any, or if a cost is still missing at the end.
func (r *Router) drain(timeout time.Duration) error {
	plan := planStop(time.Now(), r.cfg.Linger, timeout)
	r.stop.Store(&plan)
	r.log.Info("stop begun", "flight", r.inFlight.Load(), "linger", r.cfg.Linger, "bound", timeout)
	clock.Sleep(context.Background(), time.Until(plan.refuseAt))
	r.draining.Store(true)
	r.log.Info("drain started", "flight", r.inFlight.Load())
	cut, expired := time.After(time.Until(plan.cutAt)), time.After(time.Until(plan.end))
	sub := r.ticker.Subscribe(drainPollInterval, "drain")
	defer sub.Close()
	cutOff := int64(0)
	for r.inFlight.Load()+r.costCollections.Load() > 0 {
		select {
		case <-sub.C:
		case <-cut:
			if cutOff = r.inFlight.Load(); cutOff > 0 {
				r.logEvent(log.WarnLevel, "cut_off", wire.ReasonLeaving, "requests cut off by the stop", "requests", cutOff)
				r.cutRequests()
			}
		case <-expired:
			return fmt.Errorf("drain exceeded %s with %d requests in flight, %d cut off", timeout, r.inFlight.Load(), cutOff)
		}
	}
	if cutOff > 0 {
		return fmt.Errorf("drain exceeded %s, %d requests cut off", timeout, cutOff)
	}
	r.log.Info("drain complete")
	return nil
}
