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
	retryRatio = 0.1
	retryBurst = 10
	// fullReportMaxAge is the age from which a report no longer shows an upstream to be
	// full. A router without a call there gets the next report only after 15 s, so
	// one call is offered; the agent admits it or answers with a new report.
	fullReportMaxAge = 500 * time.Millisecond
)

// poolMember is an upstream that may receive work.
type poolMember struct {
	link     *agentLink
	distance wire.Micros
}

// pool queues stages for one set of interchangeable upstreams. Control replaces
// its members without taking its lock.
type pool struct {
	id        wire.PoolID
	members   atomic.Pointer[[]poolMember]
	retry     *budget.Retry
	meanCost  share.MovingAverage    // accelerator time of a stage in microseconds
	meanWaits [2]share.MovingAverage // time in the queue in microseconds, by class

	mu         sync.Mutex
	queue      *share.Queue[*placement]
	rng        *rand.Rand
	candidates []route.Candidate // scratch space of pick
}

// placement is a stage that waits for an upstream.
type placement struct {
	team        wire.TeamID
	weight      int
	teamLimit   wire.Slots
	rank        wire.Rank
	cost        int64
	latestStart time.Time
	prefix      wire.Fingerprint
	model       wire.ModelID
	adapter     wire.AdapterID
	enqueued    time.Time
	avoid       map[wire.UpstreamID]bool

	done   chan struct{}
	link   *agentLink
	reason wire.Reason
}

func newPool(id wire.PoolID, queue wire.Slots) *pool {
	p := &pool{
		id:    id,
		retry: budget.NewRetry(retryRatio, retryBurst),
		queue: share.New[*placement](queue),
		rng:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	p.members.Store(&[]poolMember{})
	return p
}

// acquire waits until an upstream has room for the stage, and counts the stage
// as under way there; the caller owes a call of release. On refusal the link is
// nil.
func (p *pool) acquire(ctx context.Context, w *placement) (*agentLink, wire.Reason) {
	now := time.Now()
	w.done, w.enqueued = make(chan struct{}), now
	p.mu.Lock()
	reason, ok := p.queue.Push(now, share.Entry[*placement]{
		Team: w.team, Weight: w.weight, Rank: w.rank, Cost: w.cost, LatestStart: w.latestStart, TeamLimit: w.teamLimit, Value: w,
	})
	if ok {
		p.dispatch(now)
	}
	p.mu.Unlock()
	if !ok {
		return nil, reason
	}
	wait, cancel := context.WithDeadline(ctx, w.latestStart)
	defer cancel()
	select {
	case <-w.done:
		return w.link, w.reason
	case <-wait.Done():
		return p.withdraw(w)
	}
}

// withdraw takes back a stage that waited too long, unless it was placed in the
// meantime.
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

func classOf(r wire.Rank) int {
	if r == wire.RankBatch {
		return 1
	}
	return 0
}

// expectedWait is the time that a stage of a class may expect to spend in the queue now.
func (p *pool) expectedWait(r wire.Rank) time.Duration {
	if p.queue.Len() == 0 {
		return 0
	}
	return time.Duration(p.meanWaits[classOf(r)].Estimate(1)) * time.Microsecond
}

// release ends a stage on l.
func (p *pool) release(l *agentLink) {
	l.ownInFlight.Add(-1)
	p.wake()
}

// wake places waiting stages where there is room.
func (p *pool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(time.Now())
}

// dispatch places stages in the queue's order. The caller holds mu.
func (p *pool) dispatch(now time.Time) {
	for p.queue.Len() > 0 {
		if _, ok := p.pick(nil); !ok {
			return
		}
		e, late, ok := p.queue.Pop(now)
		for _, l := range late {
			l.Value.settle(nil, wire.ReasonDeadline)
		}
		if !ok {
			return
		}
		w := e.Value
		l, ok := p.pick(w)
		if !ok && len(w.avoid) > 0 {
			// Only avoided replicas have room; another try there is better than
			// none.
			w.avoid = nil
			l, ok = p.pick(w)
		}
		if !ok {
			// The replicas with room lack the stage's model, or control has just
			// taken them away; the stage comes back later.
			w.settle(nil, wire.ReasonBusy)
			continue
		}
		l.ownInFlight.Add(1)
		p.meanWaits[classOf(w.rank)].Observe(now.Sub(w.enqueued).Microseconds())
		w.settle(l, "")
	}
}

func (w *placement) settle(l *agentLink, reason wire.Reason) {
	w.link, w.reason = l, reason
	close(w.done)
}

// pick chooses an upstream with room for w, or for any stage when w is nil.
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

// canRunOn reports whether the stage may go to an upstream with such a report.
func (w *placement) canRunOn(up wire.UpstreamID, rep *receivedReport) bool {
	return !w.avoid[up] && wire.CanRun(rep.Model, rep.Adapters, w.model, w.adapter)
}

// newRand returns a source of its own, seeded from the pool's.
func (p *pool) newRand() *rand.Rand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64()))
}
