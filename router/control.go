package router

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/core/member"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

const (
	// defaultSubsetSize is the number of replicas of each pool to which a router holds
	// sessions, unless maxLinks requires fewer.
	defaultSubsetSize = 24
	// maxLinks bounds the sessions of a router, since idle ones cause traffic too.
	maxLinks = 256
	// maxRejected bounds the records of refused tickets, and the pending tickets.
	maxRejected     = 64
	rebuildInterval = time.Second
	// revalidateTimeout bounds the wait for new configuration after the process was
	// paused, since the platform and all peers may be down.
	revalidateTimeout = time.Second
	// commandQueueSize is the number of commands that may wait for the control
	// goroutine.
	commandQueueSize = 256

	// reasonRevalidating is the reason for which upstreams are ineligible until the
	// configuration has been read again after a pause.
	reasonRevalidating = "revalidating"
)

// snapshot is an immutable copy of the control state, which requests read without
// locks.
type snapshot struct {
	store       *ticket.Store
	pools       map[wire.PoolID]*pool
	links       map[wire.UpstreamID]*agentLink
	members     []memberView
	routerHosts []routerHost
	rejected    []admin.Rejection
	recent      recentObjects
}

func emptySnapshot() *snapshot { return &snapshot{store: new(ticket.Store)} }

// poolIDs returns the IDs of the pools in ascending order.
func (s *snapshot) poolIDs() []wire.PoolID {
	return slices.Sorted(maps.Keys(s.pools))
}

// control owns the control state and publishes snapshots of it. The fields from
// store on are written by its goroutine only.
type control struct {
	r                *Router
	commands         chan func() // run by the control goroutine
	rebuildRequested chan struct{}
	wg               conc.WaitGroup

	store           *ticket.Store
	hosts           map[wire.HostID]plat.Host
	listings        map[wire.UpstreamID]member.Listing
	routers         []route.Router           // live routers and this one, in name order
	subset          map[wire.UpstreamID]bool // upstreams to hold sessions to
	links           map[wire.UpstreamID]*managedLink
	retired         []*managedLink // replaced links that still have calls in flight
	pools           map[wire.PoolID]*pool
	rejected        []admin.Rejection
	pending         []wire.Ticket   // tickets that name objects which have not arrived
	subsetStale     bool            // subset must be computed again
	linkContext     context.Context // parent context of links opened for a reservation
	revalidateUntil time.Time       // upstreams are ineligible until then; zero when not revalidating
	stats           atomic.Pointer[ControlStats]
	recent          recentObjects
	storeChanged    bool // store has changed since the last snapshot
}

// ControlStats counts the work of the control goroutine. The state dump contains
// it, to show whether the goroutine keeps up with changes.
type ControlStats struct {
	Rebuilds    int64         `json:"rebuilds"`
	RebuildTime time.Duration `json:"rebuild"` // duration of the last rebuild in ns, without computing the subset
	SubsetRuns  int64         `json:"choices"`
	SubsetTime  time.Duration `json:"choice"` // duration of the last computation of the subset in ns
}

func newControl(r *Router) *control {
	c := &control{
		r:                r,
		commands:         make(chan func(), commandQueueSize),
		rebuildRequested: make(chan struct{}, 1),
		store:            new(ticket.Store),
		hosts:            map[wire.HostID]plat.Host{},
		listings:         map[wire.UpstreamID]member.Listing{},
		subset:           map[wire.UpstreamID]bool{},
		links:            map[wire.UpstreamID]*managedLink{},
		pools:            map[wire.PoolID]*pool{},
		subsetStale:      true,
	}
	c.stats.Store(new(ControlStats))
	return c
}

// requestRebuild makes the control goroutine publish a new snapshot. Requests
// that arrive before it does so are merged.
func (c *control) requestRebuild() {
	select {
	case c.rebuildRequested <- struct{}{}:
	default:
	}
}

// do runs f in the control goroutine and waits until f has returned or ctx is
// done. In the latter case f may still run.
func (c *control) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case c.commands <- func() { f(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run executes commands and publishes snapshots until ctx is done.
func (c *control) run(ctx context.Context) {
	sub := c.r.ticker.Subscribe(rebuildInterval, "control")
	defer sub.Close()
	defer c.wg.Wait()
	c.linkContext = ctx
	for {
		select {
		case f := <-c.commands:
			f()
			c.runQueued()
		case <-c.rebuildRequested:
		case t := <-sub.C:
			if t.Paused() {
				c.handlePause(t.Late)
			}
		case <-ctx.Done():
			return
		}
		c.rebuild(ctx, time.Now())
	}
}

// runQueued runs the commands that are already queued, so that a burst of tickets
// causes one rebuild.
func (c *control) runQueued() {
	for range commandQueueSize {
		select {
		case f := <-c.commands:
			f()
		default:
			return
		}
	}
}

// handlePause is called after the process was paused. Sessions and configuration
// may be stale, so it closes the sessions and makes all upstreams ineligible until
// the configuration has been revalidated.
func (c *control) handlePause(late time.Duration) {
	c.r.log.Warn("process was paused", "late", late)
	c.r.Inc("paused", "")
	c.revalidateUntil = time.Now().Add(revalidateTimeout)
	for _, l := range c.links {
		if sess, _ := l.session(); sess != nil {
			sess.Close("router was paused")
		}
	}
}

// endRevalidation makes upstreams eligible again after a pause. It is called when
// the platform or a peer has answered.
func (c *control) endRevalidation() { c.revalidateUntil = time.Time{} }

// rebuild computes the subset again if it is stale, updates links and pools,
// publishes a snapshot and records how long this took.
func (c *control) rebuild(ctx context.Context, now time.Time) {
	stats := *c.stats.Load()
	if c.subsetStale {
		c.subsetStale = false
		start := time.Now()
		c.chooseSubset()
		stats.SubsetTime = time.Since(start)
		stats.SubsetRuns++
	}
	start := time.Now()
	c.reconcile(ctx, now)
	stats.RebuildTime = time.Since(start)
	stats.Rebuilds++
	c.stats.Store(&stats)
}

// reconcile opens and closes links to match the subset, updates the members of
// the pools and publishes a snapshot.
func (c *control) reconcile(ctx context.Context, now time.Time) {
	c.openLinks(ctx)
	c.closeLinks(now)
	eligible := c.eligibleMembers(now)
	snap := &snapshot{store: c.store, routerHosts: c.routerHosts(), rejected: slices.Clone(c.rejected), recent: c.recent, pools: make(map[wire.PoolID]*pool, len(c.pools)), links: make(map[wire.UpstreamID]*agentLink, len(c.links))}
	for id, p := range c.pools {
		snap.pools[id] = p
		p.members.Store(eligible[id])
	}
	for id, l := range c.links {
		snap.links[id] = l.agentLink
		v := c.verdict(l, now)
		l.logVerdictChange(v)
		snap.members = append(snap.members, memberView{l.agentLink, v})
	}
	slices.SortFunc(snap.members, func(a, b memberView) int { return cmp.Compare(a.link.upstream, b.link.upstream) })
	c.r.snapshot.Store(snap)
	if c.storeChanged {
		// The exchange with peers reads the snapshot, so publish that first.
		c.storeChanged = false
		c.r.requestGossip()
	}
	for _, l := range c.links {
		l.requestSync()
	}
	for _, p := range c.pools {
		p.wake()
	}
}
