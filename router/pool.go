package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcove.example/core/budget"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

const (
	retryRatio = 0.1 // retries per first attempt
	retryBurst = 10  // retries allowed at once
	// fullReportMaxAge is the age from which a router without a call at an upstream
	// ignores that the last report shows it as full. The next report may come only after
	// 15 s, so the router offers one call, which the agent admits or refuses with a new
	// report.
	fullReportMaxAge = 500 * time.Millisecond
)

// poolMember is an eligible upstream of a pool.
type poolMember struct {
	link     *agentLink
	distance wire.Micros // one-way delay
}

// pool queues stages for one set of interchangeable upstreams. The control goroutine
// replaces its members without holding mu.
type pool struct {
	id          wire.PoolID
	members     atomic.Pointer[[]poolMember]
	retryBudget *budget.Retry
	meanCost    share.MovingAverage    // mean accelerator time of a stage in microseconds
	meanWaits   [2]share.MovingAverage // mean time in the queue in microseconds, by class

	mu         sync.Mutex
	queue      *share.Queue[*placement]
	rng        *rand.Rand
	candidates []route.Candidate // scratch buffer of pick
}

// placement is a request to place a stage on an upstream, and its result.
type placement struct {
	team        wire.TeamID
	weight      int
	teamLimit   wire.Slots // maximum waiting stages of the team in the pool
	rank        wire.Rank
	cost        int64 // estimate, in microseconds of accelerator time
	latestStart time.Time
	prefix      wire.Fingerprint // fingerprint of the prompt's start; empty if there is none
	model       wire.ModelID
	adapter     wire.AdapterID
	enqueued    time.Time
	avoid       map[wire.UpstreamID]bool // upstreams to use only if no other has free capacity

	done   chan struct{} // closed by settle, once link and reason are set
	link   *agentLink    // nil if the stage was refused
	reason wire.Reason   // reason of the refusal
}

func newPool(id wire.PoolID, maxQueued wire.Slots) *pool {
	p := &pool{
		id:          id,
		retryBudget: budget.NewRetry(retryRatio, retryBurst),
		queue:       share.New[*placement](maxQueued),
		rng:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	p.members.Store(&[]poolMember{})
	return p
}

// acquire waits until an upstream has free capacity for the stage and counts the stage
// as in flight there. The caller must then call release. On refusal the link is nil.
func (p *pool) acquire(ctx context.Context, w *placement) (*agentLink, wire.Reason) {
	now := time.Now()
	w.done, w.enqueued = make(chan struct{}), now
	if reason, ok := p.enqueue(now, w); !ok {
		return nil, reason
	}
	waitCtx, cancel := context.WithDeadline(ctx, w.latestStart)
	defer cancel()
	select {
	case <-w.done:
		return w.link, w.reason
	case <-waitCtx.Done():
		return p.withdraw(w)
	}
}

// enqueue adds a stage to the queue and dispatches. ok is false if it was refused.
func (p *pool) enqueue(now time.Time, w *placement) (reason wire.Reason, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reason, ok = p.queue.Push(now, share.Entry[*placement]{
		Team: w.team, Weight: w.weight, Rank: w.rank, Cost: w.cost, LatestStart: w.latestStart, TeamLimit: w.teamLimit, Value: w,
	})
	if ok {
		p.dispatch(now)
	}
	return reason, ok
}

// withdraw removes a stage from the queue whose caller stops waiting, unless it was
// placed in the meantime.
func (p *pool) withdraw(w *placement) (*agentLink, wire.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.done:
		return w.link, w.reason
	default:
	}
	p.queue.Remove(func(x *placement) bool { return x == w })
	if len(*p.members.Load()) == 0 {
		return nil, wire.ReasonUnavailable
	}
	return nil, wire.ReasonDeadline
}

// classOf returns the index of a rank's class: 0 for interactive, 1 for batch.
func classOf(r wire.Rank) int {
	if r == wire.RankBatch {
		return 1
	}
	return 0
}

// expectedWait returns the expected time in the queue of a stage queued now: the mean
// of its class, or 0 if the queue is empty.
func (p *pool) expectedWait(r wire.Rank) time.Duration {
	if p.queue.Len() == 0 {
		return 0
	}
	return time.Duration(p.meanWaits[classOf(r)].Estimate(1)) * time.Microsecond
}

// release counts a stage on l as ended and dispatches waiting stages.
func (p *pool) release(l *agentLink) {
	l.ownInFlight.Add(-1)
	p.wake()
}

// wake dispatches waiting stages to upstreams with free capacity.
func (p *pool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(time.Now())
}

// dispatch places stages in the queue's order until no upstream has free capacity. The
// caller must hold mu.
func (p *pool) dispatch(now time.Time) {
	for p.queue.Len() > 0 {
		if _, ok := p.pick(nil); !ok {
			return
		}
		e, expired, ok := p.queue.Pop(now)
		for _, entry := range expired {
			entry.Value.settle(nil, wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		w := e.Value
		l, ok := p.pick(w)
		if !ok && len(w.avoid) > 0 {
			// Only replicas to avoid have free capacity. Another attempt there is
			// better than none.
			w.avoid = nil
			l, ok = p.pick(w)
		}
		if !ok {
			// The replicas with free capacity don't serve the stage's model, or
			// the control goroutine has just removed them. The stage is retried
			// after a back-off.
			w.settle(nil, wire.ReasonBusy)
			continue
		}
		l.ownInFlight.Add(1)
		p.meanWaits[classOf(w.rank)].Observe(now.Sub(w.enqueued).Microseconds())
		w.settle(l, "")
	}
}

// settle sets the result of the placement and wakes its waiter.
func (w *placement) settle(l *agentLink, reason wire.Reason) {
	w.link, w.reason = l, reason
	close(w.done)
}

// pick chooses an upstream with free capacity for w, or for any stage if w is nil. The
// caller must hold mu.
func (p *pool) pick(w *placement) (*agentLink, bool) {
	members := *p.members.Load()
	p.candidates = p.candidates[:0]
	for i := range members {
		p.candidates = append(p.candidates, members[i].candidate(w))
	}
	c, ok := route.Pick(p.rng, p.candidates)
	if !ok {
		return nil, false
	}
	return members[c.Index].link, true
}

// hasCapacity reports whether some upstream has free capacity for w.
func (p *pool) hasCapacity(w *placement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.pick(w)
	return ok
}

// candidate returns the member as a candidate for w, or for any stage if w is nil.
// Without a report, or if w may not run there, its limit is 0, so that it isn't picked.
func (m *poolMember) candidate(w *placement) route.Candidate {
	c := route.Candidate{Upstream: m.link.upstream, Distance: m.distance, OwnInFlight: wire.Slots(m.link.ownInFlight.Load())}
	rep := m.link.report.Load()
	if rep == nil || w != nil && !w.canRunOn(m.link.upstream, rep) {
		return c
	}
	c.Limit, c.InFlight, c.Queued, c.Warmth = rep.Limit, rep.Flight, rep.Queued, rep.Warmth
	c.OwnReported = wire.Slots(rep.ownInFlight)
	c.OwnFailed = m.link.recentFailures(time.Now())
	if c.OwnInFlight == 0 && c.Limit > 0 && time.Since(rep.receivedAt) > fullReportMaxAge {
		c.InFlight, c.Queued = min(c.InFlight, c.Limit-1), 0
	}
	if w != nil && w.prefix != "" {
		c.PrefixCached = slices.Contains(rep.Prefixes, w.prefix)
	}
	return c
}

// canRunOn reports whether the stage may run on the upstream with this last report.
func (w *placement) canRunOn(up wire.UpstreamID, rep *receivedReport) bool {
	return !w.avoid[up] && wire.CanRun(rep.Model, rep.Adapters, w.model, w.adapter)
}

// newRand returns a new random source, seeded from the pool's, for use without the
// pool's lock.
func (p *pool) newRand() *rand.Rand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64()))
}
