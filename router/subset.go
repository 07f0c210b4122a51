package router

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

// managedLink is a link with the means to end it.
type managedLink struct {
	*agentLink
	cancel context.CancelFunc
	// keepUntil is the time until which a link outside the subset stays, for a call
	// that is bound to its upstream by a reservation.
	keepUntil   time.Time
	lastVerdict string // reason of the last verdict
}

// SubsetSize returns the number of replicas of each pool that a router aims to
// hold sessions to when there are that many pools.
func SubsetSize(pools int) int {
	return max(1, min(subsetSize, maxLinks/max(pools, 1)))
}

// chooseSubset computes the subset of upstreams that this router holds sessions to.
func (c *control) chooseSubset() {
	byPool := map[wire.PoolID][]route.Replica{}
	for _, o := range c.store.Upstreams() {
		u := o.Upstream
		centre, _ := c.store.Centre(u.Centre)
		byPool[u.Pool] = append(byPool[u.Pool], route.Replica{Upstream: wire.UpstreamID(o.Name), Region: centre.Region})
	}
	routers := c.routers
	if len(routers) == 0 {
		routers = []route.Router{{Name: c.r.cfg.Name, Region: c.r.cfg.Region}}
	}
	c.subset = map[wire.UpstreamID]bool{}
	for id, reps := range byPool {
		for _, up := range Subset(c.r.cfg.Name, routers, reps, len(byPool)) {
			c.subset[up] = true
		}
		if c.pools[id] == nil {
			c.pools[id] = newPool(id, c.r.cfg.MaxQueued)
		}
	}
}

// Subset returns the upstreams of one pool out of some that a router holds
// sessions to.
func Subset(self wire.HostID, routers []route.Router, pool []route.Replica, pools int) []wire.UpstreamID {
	return limitSubset(self, route.Subset(self, routers, pool, SubsetSize(pools)), maxLinks/max(pools, 1))
}

// limitSubset keeps at most n of a subset. Routers leave out different upstreams, by
// hash, so that one left out here is still held by others. Without the bound a
// router that knows of few others would hold the whole fleet.
func limitSubset(self wire.HostID, ups []wire.UpstreamID, n int) []wire.UpstreamID {
	if len(ups) <= max(n, 1) {
		return ups
	}
	hash := func(u wire.UpstreamID) uint64 { return xxhash.Sum64String(string(self) + "\x00" + string(u)) }
	out := slices.Clone(ups)
	slices.SortFunc(out, func(a, b wire.UpstreamID) int { return cmp.Compare(hash(a), hash(b)) })
	return out[:max(n, 1)]
}

func (c *control) openLinks(ctx context.Context) {
	for up := range c.subset {
		if u, ok := c.store.Upstream(up); ok {
			c.openLink(ctx, up, u)
		}
	}
}

// openLink starts a link, or replaces one whose agent moved to another address.
func (c *control) openLink(ctx context.Context, up wire.UpstreamID, u wire.Upstream) *managedLink {
	l := c.links[up]
	if l != nil && l.addr == u.Agent {
		return l
	}
	if l != nil {
		// Calls under way finish on the old session.
		c.retired = append(c.retired, l)
	}
	p := c.pools[u.Pool]
	if p == nil {
		p = newPool(u.Pool, c.r.cfg.MaxQueued)
		c.pools[u.Pool] = p
	}
	ctx, cancel := context.WithCancel(ctx)
	l = &managedLink{agentLink: newAgentLink(c.r, up, u.Agent, p), cancel: cancel}
	c.links[up] = l
	c.wg.Go(func() { l.run(ctx) })
	return l
}

// closeLinks ends links to upstreams that left the subset, once their calls are
// done.
func (c *control) closeLinks(now time.Time) {
	c.retired = slices.DeleteFunc(c.retired, func(l *managedLink) bool {
		if l.ownInFlight.Load() > 0 {
			return false
		}
		l.cancel()
		return true
	})
	for up, l := range c.links {
		if c.subset[up] || l.ownInFlight.Load() > 0 || now.Before(l.keepUntil) {
			continue
		}
		l.cancel()
		delete(c.links, up)
	}
}

// requireLink opens a link for a call that is bound to an upstream by its
// reservation, whether or not the upstream is in the subset.
func (c *control) requireLink(ctx context.Context, up wire.UpstreamID) (l *agentLink, err error) {
	if l = c.r.snapshot.Load().links[up]; l != nil {
		return l, nil
	}
	err = c.do(ctx, func() {
		if u, ok := c.store.Upstream(up); ok {
			h := c.openLink(c.linkContext, up, u)
			h.keepUntil = time.Now().Add(time.Minute)
			l = h.agentLink
		}
	})
	return l, err
}

// agentObjects returns the objects that concern one upstream and their numbers.
func agentObjects(s *ticket.Store, up wire.UpstreamID) (objs []wire.Object, sent objectVersions) {
	add := func(kind wire.ObjectKind, name string) wire.TicketNumber {
		o, ok := s.Object(kind, name)
		if !ok {
			return 0
		}
		objs = append(objs, *o)
		return o.Number
	}
	sent.upstream = add(wire.ObjectKindUpstream, string(up))
	if u, ok := s.Upstream(up); ok {
		sent.centre = add(wire.ObjectKindCentre, string(u.Centre))
		sent.model = add(wire.ObjectKindModel, string(u.Model))
	}
	return objs, sent
}
