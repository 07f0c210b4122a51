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
	maxLinks    = 256
	maxRejected = 64
	refresh     = time.Second
	// revalidateLimit bounds the wait for fresh configuration after a pause, since
	// the platform and all peers may be down.
	revalidateLimit = time.Second
	submitQueue     = 256

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
	recent   recent
}

func emptySnapshot() *snapshot { return &snapshot{store: new(ticket.Store)} }

func (s *snapshot) poolNames() []wire.PoolID {
	return slices.Sorted(maps.Keys(s.pools))
}

// control owns the control state. Its goroutine alone changes the fields below
// in and publishes snapshots.
type control struct {
	r     *Router
	in    chan func()
	woken chan struct{}
	wg    conc.WaitGroup

	store      *ticket.Store
	hosts      map[wire.HostID]plat.Host
	listings   map[wire.UpstreamID]member.Listing
	routers    []route.Router
	subset     map[wire.UpstreamID]bool
	links      map[wire.UpstreamID]*managedLink
	retired    []*managedLink // replaced links with calls under way
	pools      map[wire.PoolID]*pool
	rejected   []admin.Rejection
	pending    []wire.Ticket
	resubset   bool
	life       context.Context // of the links
	validating time.Time       // end of the wait after a pause, or zero
	work       atomic.Pointer[Work]
	recent     recent
	changed    bool // the store has changed since the last snapshot
}

// Work is what the control goroutine has done so far. Its state dump shows
// whether it keeps up with changes.
type Work struct {
	Rebuilds int64         `json:"rebuilds"`
	Rebuild  time.Duration `json:"rebuild"` // of the last one, in ns, without the choice of the subset
	Choices  int64         `json:"choices"`
	Choice   time.Duration `json:"choice"` // of the last one, in ns
}

func newControl(r *Router) *control {
	c := &control{
		r:        r,
		in:       make(chan func(), submitQueue),
		woken:    make(chan struct{}, 1),
		store:    new(ticket.Store),
		hosts:    map[wire.HostID]plat.Host{},
		listings: map[wire.UpstreamID]member.Listing{},
		subset:   map[wire.UpstreamID]bool{},
		links:    map[wire.UpstreamID]*managedLink{},
		pools:    map[wire.PoolID]*pool{},
		resubset: true,
	}
	c.work.Store(new(Work))
	return c
}

// wake asks for a new snapshot; calls that come close together share one.
func (c *control) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

// do runs f in the control goroutine and waits for it or for ctx.
func (c *control) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case c.in <- func() { f(); close(done) }:
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
	sub := c.r.tick.Subscribe(refresh, "control")
	defer sub.Close()
	defer c.wg.Wait()
	c.life = ctx
	for {
		select {
		case f := <-c.in:
			f()
			c.drainInput()
		case <-c.woken:
		case t := <-sub.C:
			if t.Paused() {
				c.resumed(t.Late)
			}
		case <-ctx.Done():
			return
		}
		c.rebuild(ctx, time.Now())
	}
}

// drainInput takes what is waiting, so that a burst of tickets makes one
// snapshot.
func (c *control) drainInput() {
	for range submitQueue {
		select {
		case f := <-c.in:
			f()
		default:
			return
		}
	}
}

// resumed handles the end of a pause: sessions and configuration may be out of
// date, so no upstream gets work until fresh ones are there.
func (c *control) resumed(late time.Duration) {
	c.r.log.Warn("process was paused", "late", late)
	c.r.Inc("paused", "")
	c.validating = time.Now().Add(revalidateLimit)
	for _, l := range c.links {
		if sess, _ := l.session(); sess != nil {
			sess.Close("router was paused")
		}
	}
}

// confirmed ends the wait after a pause: the platform or a peer has answered.
func (c *control) confirmed() { c.validating = time.Time{} }

// rebuild brings links and pools in line with the state and publishes a
// snapshot.
func (c *control) rebuild(ctx context.Context, now time.Time) {
	work := *c.work.Load()
	if c.resubset {
		c.resubset = false
		begun := time.Now()
		c.chooseSubset()
		work.Choice = time.Since(begun)
		work.Choices++
	}
	begun := time.Now()
	c.bring(ctx, now)
	work.Rebuild = time.Since(begun)
	work.Rebuilds++
	c.work.Store(&work)
}

// bring opens and closes links and publishes a snapshot.
func (c *control) bring(ctx context.Context, now time.Time) {
	c.openLinks(ctx)
	c.closeLinks(now)
	views := c.judge(now)
	snap := &snapshot{store: c.store, routers: c.peerHosts(), rejected: slices.Clone(c.rejected), recent: c.recent, pools: make(map[wire.PoolID]*pool, len(c.pools)), links: make(map[wire.UpstreamID]*agentLink, len(c.links))}
	for id, p := range c.pools {
		snap.pools[id] = p
		p.members.Store(views[id])
	}
	for id, l := range c.links {
		snap.links[id] = l.agentLink
		v := c.verdict(l, now)
		l.observed(v)
		snap.members = append(snap.members, memberView{l.agentLink, v})
	}
	slices.SortFunc(snap.members, func(a, b memberView) int { return cmp.Compare(a.link.upstream, b.link.upstream) })
	c.r.snap.Store(snap)
	if c.changed {
		// Peers compare what the snapshot holds, so it comes first.
		c.changed = false
		c.r.announce()
	}
	for _, l := range c.links {
		l.requestSync()
	}
	for _, p := range c.pools {
		p.wake()
	}
}
