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
	// subsetSize is the number of replicas of a pool that a router aims to hold.
	subsetSize = 24
	// maxLinks bounds the sessions of a router; the idle ones cost control traffic.
	maxLinks        = 256
	maxRejected     = 64
	rebuildInterval = time.Second
	// revalidateTimeout bounds the wait for fresh configuration after a pause, since
	// the platform and all peers may be down.
	revalidateTimeout = time.Second
	commandQueueSize  = 256

	// reasonRevalidating is the reason of a verdict while configuration is read
	// again after a pause.
	reasonRevalidating = "revalidating"
)

// snapshot is an immutable view of the control state for the traffic path.
type snapshot struct {
	store    *ticket.Store
	pools    map[wire.PoolID]*pool
	links    map[wire.UpstreamID]*agentLink
	members  []memberView
	routers  []peerHost
	rejected []admin.Rejection
	recent   recentObjects
}

func emptySnapshot() *snapshot { return &snapshot{store: new(ticket.Store)} }

func (s *snapshot) poolIDs() []wire.PoolID {
	return slices.Sorted(maps.Keys(s.pools))
}

// control owns the control state. Its goroutine alone changes the fields below
// in and publishes snapshots.
type control struct {
	r                *Router
	commands         chan func()
	rebuildRequested chan struct{}
	wg               conc.WaitGroup

	store           *ticket.Store
	hosts           map[wire.HostID]plat.Host
	listings        map[wire.UpstreamID]member.Listing
	routers         []route.Router
	subset          map[wire.UpstreamID]bool
	links           map[wire.UpstreamID]*managedLink
	retired         []*managedLink // replaced links with calls under way
	pools           map[wire.PoolID]*pool
	rejected        []admin.Rejection
	pending         []wire.Ticket
	subsetStale     bool
	linkContext     context.Context // of the links
	revalidateUntil time.Time       // end of the wait after a pause, or zero
	stats           atomic.Pointer[ControlStats]
	recent          recentObjects
	storeChanged    bool // the store has changed since the last snapshot
}

// ControlStats is what the control goroutine has done so far. Its state dump shows
// whether it keeps up with changes.
type ControlStats struct {
	Rebuilds    int64         `json:"rebuilds"`
	RebuildTime time.Duration `json:"rebuild"` // of the last one, in ns, without the choice of the subset
	SubsetRuns  int64         `json:"choices"`
	SubsetTime  time.Duration `json:"choice"` // of the last one, in ns
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

// requestRebuild asks for a new snapshot; calls that come close together share one.
func (c *control) requestRebuild() {
	select {
	case c.rebuildRequested <- struct{}{}:
	default:
	}
}

// do runs f in the control goroutine and waits for it or for ctx.
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

// runQueued takes what is waiting, so that a burst of tickets makes one
// snapshot.
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

// handlePause handles the end of a pause: sessions and configuration may be out of
// date, so no upstream gets work until fresh ones are there.
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

// endRevalidation ends the wait after a pause: the platform or a peer has answered.
func (c *control) endRevalidation() { c.revalidateUntil = time.Time{} }

// rebuild brings links and pools in line with the state and publishes a
// snapshot.
func (c *control) rebuild(ctx context.Context, now time.Time) {
	work := *c.stats.Load()
	if c.subsetStale {
		c.subsetStale = false
		begun := time.Now()
		c.chooseSubset()
		work.SubsetTime = time.Since(begun)
		work.SubsetRuns++
	}
	begun := time.Now()
	c.reconcile(ctx, now)
	work.RebuildTime = time.Since(begun)
	work.Rebuilds++
	c.stats.Store(&work)
}

// reconcile opens and closes links and publishes a snapshot.
func (c *control) reconcile(ctx context.Context, now time.Time) {
	c.openLinks(ctx)
	c.closeLinks(now)
	views := c.eligibleMembers(now)
	snap := &snapshot{store: c.store, routers: c.peerHosts(), rejected: slices.Clone(c.rejected), recent: c.recent, pools: make(map[wire.PoolID]*pool, len(c.pools)), links: make(map[wire.UpstreamID]*agentLink, len(c.links))}
	for id, p := range c.pools {
		snap.pools[id] = p
		p.members.Store(views[id])
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
		// Peers compare what the snapshot holds, so it comes first.
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
