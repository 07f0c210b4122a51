package router

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

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
	rejected []Rejection
	recent   recent
}

func emptySnapshot() *snapshot { return &snapshot{store: new(ticket.Store)} }

func (s *snapshot) poolNames() []wire.PoolID {
	return slices.Sorted(maps.Keys(s.pools))
}

// Member is this router's view of one upstream of its subset.
type Member struct {
	Upstream wire.UpstreamID   `json:"upstream"`
	Pool     wire.PoolID       `json:"pool"`
	Centre   wire.DataCentreID `json:"centre"`
	Eligible bool              `json:"eligible"`
	Reason   string            `json:"reason"`
	Warmth   wire.Warmth       `json:"warmth"`
	Limit    wire.Slots        `json:"limit"`
	Flight   wire.Slots        `json:"flight"`
	Queued   wire.Slots        `json:"queued"`
	Own      int64             `json:"own"`
}

// Rejection is a ticket that was refused whole.
type Rejection struct {
	Number  wire.TicketNumber `json:"number"`
	Field   string            `json:"field"`
	Problem string            `json:"problem"`
	Pending bool              `json:"pending"` // waits for the objects that it names
	At      time.Time         `json:"at"`
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
	links      map[wire.UpstreamID]*heldLink
	retired    []*heldLink // replaced links with calls under way
	pools      map[wire.PoolID]*pool
	rejected   []Rejection
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

// heldLink is a link with the means to end it.
type heldLink struct {
	*agentLink
	cancel context.CancelFunc
	// extra is the time until which a link outside the subset stays, for a call
	// that is bound to its upstream by a reservation.
	extra   time.Time
	verdict string // reason of the last verdict
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
		links:    map[wire.UpstreamID]*heldLink{},
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

// apply puts a ticket in force or records why it was refused. A ticket that names
// objects of a ticket that has not arrived waits for it, so that the state does
// not depend on the order of arrival.
func (c *control) apply(t wire.Ticket) {
	if c.try(t) {
		c.retryPending()
	}
}

func (c *control) try(t wire.Ticket) bool {
	next, changes, err := c.store.Apply(t)
	if err == nil {
		c.replace(next, changes)
		return true
	}
	c.reject(t.Number, err)
	var bt *ticket.BadTicket
	if errors.As(err, &bt) && bt.Pending {
		c.pending = slices.DeleteFunc(c.pending, func(x wire.Ticket) bool { return x.Number == t.Number })
		c.pending = append(c.pending, t)
		if len(c.pending) > maxRejected {
			c.r.note(log.WarnLevel, "pending_dropped", "", "waiting ticket dropped", "ticket", c.pending[0].Number)
			c.pending = c.pending[1:]
		}
	}
	return false
}

// retryPending tries waiting tickets again until none of them can be applied.
func (c *control) retryPending() {
	for again := true; again; {
		again = false
		waiting := c.pending
		c.pending = nil
		for _, t := range waiting {
			if c.try(t) {
				again = true
				c.rejected = slices.DeleteFunc(c.rejected, func(x Rejection) bool { return x.Number == t.Number })
			}
		}
	}
}

func (c *control) reject(n wire.TicketNumber, err error) {
	rej := Rejection{Number: n, Problem: err.Error(), At: time.Now()}
	if bt, ok := err.(*ticket.BadTicket); ok {
		rej.Number, rej.Field, rej.Problem, rej.Pending = bt.Number, bt.Field, bt.Problem, bt.Pending
	}
	known := slices.ContainsFunc(c.rejected, func(x Rejection) bool {
		return x.Number == rej.Number && x.Field == rej.Field
	})
	if known {
		return
	}
	c.r.log.Error("ticket refused", "ticket", rej.Number, "field", rej.Field, "problem", rej.Problem)
	c.r.Inc("ticket_refused", "")
	c.rejected = append(c.rejected, rej)
	if len(c.rejected) > maxRejected {
		c.r.note(log.InfoLevel, "rejection_dropped", "", "record of a refused ticket dropped", "ticket", c.rejected[0].Number)
		c.rejected = c.rejected[1:]
	}
}

// merge takes in objects from a peer.
func (c *control) merge(objs []wire.Object) {
	next, changes, err := c.store.Merge(objs)
	if err != nil {
		c.r.log.Warn("peer's objects refused", "err", err)
		c.r.Inc("merge_refused", "")
	}
	c.replace(next, changes)
	c.retryPending()
}

func (c *control) replace(next *ticket.Store, changes []ticket.Change) {
	if len(changes) == 0 {
		return
	}
	c.store = next
	for _, ch := range changes {
		c.r.note(log.InfoLevel, "object_in_force", "", "object in force", "kind", ch.Kind, "name", ch.Name, "ticket", ch.New.Number, "deleted", ch.New.Deleted)
		if ch.Kind == wire.ObjectKindUpstream || ch.Kind == wire.ObjectKindCentre {
			c.resubset = true
		}
	}
	c.r.Inc("ticket_applied", "")
	c.recent = c.recent.with(changes)
	c.changed = true
}

// setHosts takes in the platform's host list.
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
		c.resubset = true
	}
}

// rebuild brings links and pools in line with the state and publishes a
// snapshot.
func (c *control) rebuild(ctx context.Context, now time.Time) {
	work := *c.work.Load()
	if c.resubset {
		c.resubset = false
		begun := time.Now()
		c.choose()
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
	slices.SortFunc(snap.members, func(a, b memberView) int { return cmp.Compare(a.link.up, b.link.up) })
	c.r.snap.Store(snap)
	if c.changed {
		// Peers compare what the snapshot holds, so it comes first.
		c.changed = false
		c.r.announce()
	}
	for _, l := range c.links {
		l.nudge()
	}
	for _, p := range c.pools {
		p.wake()
	}
}

// SubsetSize returns the number of replicas of each pool that a router aims to
// hold sessions to when there are that many pools.
func SubsetSize(pools int) int {
	return max(1, min(subsetSize, maxLinks/max(pools, 1)))
}

// choose computes the subset of upstreams that this router holds sessions to.
func (c *control) choose() {
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
	size := SubsetSize(len(byPool))
	c.subset = map[wire.UpstreamID]bool{}
	for id, reps := range byPool {
		for _, up := range bounded(c.r.cfg.Name, route.Subset(c.r.cfg.Name, routers, reps, size), maxLinks/len(byPool)) {
			c.subset[up] = true
		}
		if c.pools[id] == nil {
			c.pools[id] = newPool(id, c.r.cfg.Queue)
		}
	}
}

// bounded keeps at most n of a subset. Routers leave out different upstreams, by
// hash, so that one left out here is still held by others. Without the bound a
// router that knows of few others would hold the whole fleet.
func bounded(self wire.HostID, ups []wire.UpstreamID, n int) []wire.UpstreamID {
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
			c.open(ctx, up, u)
		}
	}
}

// open starts a link, or replaces one whose agent moved to another address.
func (c *control) open(ctx context.Context, up wire.UpstreamID, u wire.Upstream) *heldLink {
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
		p = newPool(u.Pool, c.r.cfg.Queue)
		c.pools[u.Pool] = p
	}
	ctx, cancel := context.WithCancel(ctx)
	l = &heldLink{agentLink: newAgentLink(c.r, up, u.Agent, p), cancel: cancel}
	c.links[up] = l
	c.wg.Go(func() { l.run(ctx) })
	return l
}

// closeLinks ends links to upstreams that left the subset, once their calls are
// done.
func (c *control) closeLinks(now time.Time) {
	c.retired = slices.DeleteFunc(c.retired, func(l *heldLink) bool {
		if l.own.Load() > 0 {
			return false
		}
		l.cancel()
		return true
	})
	for up, l := range c.links {
		if c.subset[up] || l.own.Load() > 0 || now.Before(l.extra) {
			continue
		}
		l.cancel()
		delete(c.links, up)
	}
}

// require opens a link for a call that is bound to an upstream by its
// reservation, whether or not the upstream is in the subset.
func (c *control) require(ctx context.Context, up wire.UpstreamID) (l *agentLink, err error) {
	if l = c.r.snap.Load().links[up]; l != nil {
		return l, nil
	}
	err = c.do(ctx, func() {
		if u, ok := c.store.Upstream(up); ok {
			h := c.open(c.life, up, u)
			h.extra = time.Now().Add(time.Minute)
			l = h.agentLink
		}
	})
	return l, err
}

// judge returns the members of each pool that may receive work.
func (c *control) judge(now time.Time) map[wire.PoolID]*[]poolMember {
	out := make(map[wire.PoolID]*[]poolMember, len(c.pools))
	for id := range c.pools {
		out[id] = &[]poolMember{}
	}
	own, _ := c.store.Centre(c.r.cfg.Centre)
	for up, l := range c.links {
		u, ok := c.store.Upstream(up)
		if !ok || !c.subset[up] || !c.verdict(l, now).Eligible {
			continue
		}
		list := out[u.Pool]
		if list == nil {
			continue
		}
		*list = append(*list, poolMember{link: l.agentLink, distance: distance(own, c.r.cfg.Centre, u.Centre)})
	}
	for _, list := range out {
		slices.SortFunc(*list, func(a, b poolMember) int { return cmp.Compare(a.link.up, b.link.up) })
	}
	return out
}

// distance is the one-way delay to a data centre; unknown ones count as far.
func distance(own wire.Centre, from, to wire.DataCentreID) wire.Micros {
	const far = 100_000
	if from == to {
		return 0
	}
	if d, ok := own.Distances[string(to)]; ok {
		return wire.Micros(d)
	}
	return far
}

func (c *control) verdict(l *heldLink, now time.Time) member.Verdict {
	if now.Before(c.validating) {
		return member.Verdict{Reason: reasonRevalidating}
	}
	u, ok := c.store.Upstream(l.up)
	centre, known := c.store.Centre(u.Centre)
	var s member.Sight
	if sess, _ := l.session(); sess != nil {
		s.Alive = true
		s.Incarnation = sess.Peer().Incarnation
	}
	if rep := l.report.Load(); rep != nil && rep.Incarnation == s.Incarnation {
		s.Leaving, s.Out = rep.Leaving, rep.Out
	}
	return member.Judge(u, centre, ok && known, s, c.listing(l.up, u.Host, s))
}

// listing returns the host list's word on an upstream, with the incarnation that
// was seen when the list first said so.
func (c *control) listing(up wire.UpstreamID, host wire.HostID, s member.Sight) member.Listing {
	state := member.Absent
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

// memberView is a link with the verdict on its upstream.
type memberView struct {
	link *agentLink
	member.Verdict
}

// Members returns this router's view of the upstreams that it holds sessions to,
// in name order.
func (r *Router) Members() (out []Member) {
	s := r.snap.Load()
	for _, m := range s.members {
		out = append(out, m.view(s.store))
	}
	return out
}

func (v memberView) view(s *ticket.Store) Member {
	l := v.link
	m := Member{Upstream: l.up, Pool: l.pool.id, Eligible: v.Eligible, Reason: v.Reason, Own: l.own.Load()}
	if u, ok := s.Upstream(l.up); ok {
		m.Centre = u.Centre
	}
	if rep := l.report.Load(); rep != nil {
		m.Warmth, m.Limit, m.Flight, m.Queued = rep.Warmth, rep.Limit, rep.Flight, rep.Queued
	}
	return m
}

// slice returns the objects that concern one upstream and their numbers.
func slice(s *ticket.Store, up wire.UpstreamID) (objs []wire.Object, sent sentSlice) {
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
