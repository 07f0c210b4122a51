package router

import (
	"cmp"
	"slices"
	"time"

	"hornbeamcove.example/core/member"
	"hornbeamcove.example/core/plat"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

// Member is this router's view of one upstream to which it holds a session. Limit,
// InFlight, Queued and Warmth are those of the agent's last report. OwnInFlight is
// the number of calls in flight that this router sent.
type Member struct {
	Upstream    wire.UpstreamID   `json:"upstream"`
	Pool        wire.PoolID       `json:"pool"`
	Centre      wire.DataCentreID `json:"centre"`
	Eligible    bool              `json:"eligible"`
	Reason      string            `json:"reason"`
	Warmth      wire.Warmth       `json:"warmth"`
	Limit       wire.Slots        `json:"limit"`
	InFlight    wire.Slots        `json:"flight"`
	Queued      wire.Slots        `json:"queued"`
	OwnInFlight int64             `json:"own"`
}

// setHosts replaces the host list. If the set of live routers has changed, the
// subset is computed again.
func (c *control) setHosts(hosts []plat.Host) {
	next := make(map[wire.HostID]plat.Host, len(hosts))
	for _, h := range hosts {
		next[h.Name] = h
	}
	c.hosts = next
	routers := []route.Router{{Name: c.r.cfg.Name, Region: c.r.cfg.Region}}
	for _, h := range hosts {
		if h.Role == wire.RoleRouter && h.Name != c.r.cfg.Name && h.State == plat.HostLive {
			routers = append(routers, route.Router{Name: h.Name, Region: h.Region})
		}
	}
	slices.SortFunc(routers, func(a, b route.Router) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.Equal(routers, c.routers) {
		c.routers = routers
		c.subsetStale = true
	}
}

// eligibleMembers returns, for each pool, the upstreams of the subset that may
// receive work.
func (c *control) eligibleMembers(now time.Time) map[wire.PoolID]*[]poolMember {
	eligible := make(map[wire.PoolID]*[]poolMember, len(c.pools))
	for id := range c.pools {
		eligible[id] = &[]poolMember{}
	}
	ownCentre, _ := c.store.Centre(c.r.cfg.Centre)
	for up, l := range c.links {
		u, ok := c.store.Upstream(up)
		if !ok || !c.subset[up] || !c.verdict(l, now).Eligible {
			continue
		}
		list := eligible[u.Pool]
		if list == nil {
			continue
		}
		*list = append(*list, poolMember{link: l.agentLink, distance: distance(ownCentre, c.r.cfg.Centre, u.Centre)})
	}
	for _, list := range eligible {
		slices.SortFunc(*list, func(a, b poolMember) int { return cmp.Compare(a.link.upstream, b.link.upstream) })
	}
	return eligible
}

// distance returns the one-way delay between two data centres in microseconds. A
// delay that ownCentre doesn't list counts as 100 ms.
func distance(ownCentre wire.Centre, from, to wire.DataCentreID) wire.Micros {
	const unknownDelay = 100_000
	if from == to {
		return 0
	}
	if d, ok := ownCentre.Distances[string(to)]; ok {
		return wire.Micros(d)
	}
	return unknownDelay
}

// verdict says whether the upstream of a link may receive work, and why not.
func (c *control) verdict(l *managedLink, now time.Time) member.Verdict {
	if now.Before(c.revalidateUntil) {
		return member.Verdict{Reason: reasonRevalidating}
	}
	u, ok := c.store.Upstream(l.upstream)
	centre, known := c.store.Centre(u.Centre)
	var s member.Session
	if sess, _ := l.session(); sess != nil {
		s.Alive = true
		s.Incarnation = sess.Peer().Incarnation
	}
	if rep := l.report.Load(); rep != nil && rep.Incarnation == s.Incarnation {
		s.Leaving, s.CentreOut = rep.Leaving, rep.Out
	}
	return member.Evaluate(u, centre, ok && known, s, c.listing(l.upstream, u.Host, s))
}

// listing returns the state of an upstream's host in the host list and the incarnation
// of its agent when the host was first seen in this state.
func (c *control) listing(up wire.UpstreamID, host wire.HostID, s member.Session) member.Listing {
	state := member.ListedAbsent
	if h, ok := c.hosts[host]; ok {
		state = string(h.State)
	}
	l := c.listings[up]
	if l.State != state {
		l = member.Listing{State: state, Incarnation: s.Incarnation}
		c.listings[up] = l
	}
	return l
}

// memberView is a link and the verdict on its upstream.
type memberView struct {
	link *agentLink
	member.Verdict
}

// Members returns this router's view of the upstreams to which it holds sessions,
// in name order.
func (r *Router) Members() (out []Member) {
	s := r.snapshot.Load()
	for _, m := range s.members {
		out = append(out, m.toMember(s.store))
	}
	return out
}

// toMember combines the verdict with the last report of the agent.
func (v memberView) toMember(s *ticket.Store) Member {
	l := v.link
	m := Member{Upstream: l.upstream, Pool: l.pool.id, Eligible: v.Eligible, Reason: v.Reason, OwnInFlight: l.ownInFlight.Load()}
	if u, ok := s.Upstream(l.upstream); ok {
		m.Centre = u.Centre
	}
	if rep := l.report.Load(); rep != nil {
		m.Warmth, m.Limit, m.InFlight, m.Queued = rep.Warmth, rep.Limit, rep.Flight, rep.Queued
	}
	return m
}
