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

// managedLink is a link and the control goroutine's state for it.
type managedLink struct {
	*agentLink
	cancel context.CancelFunc // ends the link
	// keepUntil is the time until which a link outside the subset is kept, for calls
	// that are bound to its upstream by a reservation.
	keepUntil   time.Time
	lastVerdict string // reason of the last eligibility verdict
}

// SubsetSize returns the number of replicas of each pool that a router aims to hold
// sessions to, given the number of pools. It is at least 1.
func SubsetSize(poolCount int) int {
	return max(1, min(defaultSubsetSize, maxLinks/max(poolCount, 1)))
}

// chooseSubset computes the subset of upstreams that this router holds sessions to,
// and creates the pools that don't exist yet.
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
	for id, replicas := range byPool {
		for _, up := range Subset(c.r.cfg.Name, routers, replicas, len(byPool)) {
			c.subset[up] = true
		}
		if c.pools[id] == nil {
			c.pools[id] = newPool(id, c.r.cfg.MaxQueued)
		}
	}
}

// Subset returns the upstreams of one pool to which the router self holds sessions.
// poolCount is the number of pools.
func Subset(self wire.HostID, routers []route.Router, replicas []route.Replica, poolCount int) []wire.UpstreamID {
	return limitSubset(self, route.Subset(self, routers, replicas, SubsetSize(poolCount)), maxLinks/max(poolCount, 1))
}

// limitSubset keeps at most n upstreams of a subset, and at least one. The choice is by
// a hash of router and upstream, so that routers drop different upstreams and other
// routers still hold those that this one drops. Without the limit, a router that knows
// of few others would hold sessions to the whole fleet.
func limitSubset(self wire.HostID, ups []wire.UpstreamID, n int) []wire.UpstreamID {
	if len(ups) <= max(n, 1) {
		return ups
	}
	hash := func(u wire.UpstreamID) uint64 { return xxhash.Sum64String(string(self) + "\x00" + string(u)) }
	out := slices.Clone(ups)
	slices.SortFunc(out, func(a, b wire.UpstreamID) int { return cmp.Compare(hash(a), hash(b)) })
	return out[:max(n, 1)]
}

// openLinks opens the missing links to upstreams of the subset.
func (c *control) openLinks(ctx context.Context) {
	for up := range c.subset {
		if u, ok := c.store.Upstream(up); ok {
			c.openLink(ctx, up, u)
		}
	}
}

// openLink returns the link to an upstream. It starts one if there is none or if the
// agent's address has changed.
func (c *control) openLink(ctx context.Context, up wire.UpstreamID, u wire.Upstream) *managedLink {
	l := c.links[up]
	if l != nil && l.addr == u.Agent {
		return l
	}
	if l != nil {
		// Calls in flight finish on the old session.
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

// closeLinks ends replaced links, and links to upstreams outside the subset, once they
// have no call in flight.
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

// requireLink returns the link to the upstream to which a call is bound by its
// reservation, and opens it if there is none, even outside the subset. It returns nil
// if the upstream is unknown, and an error if ctx ends first.
func (c *control) requireLink(ctx context.Context, up wire.UpstreamID) (l *agentLink, err error) {
	if l = c.r.snapshot.Load().links[up]; l != nil {
		return l, nil
	}
	err = c.do(ctx, func() {
		if u, ok := c.store.Upstream(up); ok {
			managed := c.openLink(c.linkContext, up, u)
			managed.keepUntil = time.Now().Add(time.Minute)
			l = managed.agentLink
		}
	})
	return l, err
}

// agentObjects returns the configuration objects that concern one upstream, and their
// ticket numbers.
func agentObjects(s *ticket.Store, up wire.UpstreamID) (objs []wire.Object, versions objectVersions) {
	add := func(kind wire.ObjectKind, name string) wire.TicketNumber {
		o, ok := s.Object(kind, name)
		if !ok {
			return 0
		}
		objs = append(objs, *o)
		return o.Number
	}
	versions.upstream = add(wire.ObjectKindUpstream, string(up))
	if u, ok := s.Upstream(up); ok {
		versions.centre = add(wire.ObjectKindCentre, string(u.Centre))
		versions.model = add(wire.ObjectKindModel, string(u.Model))
	}
	return objs, versions
}
