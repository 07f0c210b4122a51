package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/batch"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

// layout is the division of the stage services into queues, and their owners, as this
// router sees them. It must not change after it is published.
type layout struct {
	services map[fleet.ServiceID][]shard.Shard
	// calls describes the calls of each service, as the last configuration that lists it does.
	calls map[fleet.ServiceID]*fleet.StageCalls
	// dropped holds the services that the configuration lacks.
	dropped map[fleet.ServiceID]bool
	owners  map[shard.ID]wire.HostID
}

// divide returns the layout of a snapshot, without owners. A service that has upstreams
// stays although the configuration lacks it, because requests that arrived before may still
// need it.
func (l layout) divide(v *View) layout {
	next := layout{services: map[fleet.ServiceID][]shard.Shard{}, calls: map[fleet.ServiceID]*fleet.StageCalls{}, dropped: map[fleet.ServiceID]bool{}}
	add := func(id fleet.ServiceID, calls *fleet.StageCalls) {
		next.services[id], next.calls[id] = shard.Divide(id, v.Upstreams[id]), calls
	}
	for i := range v.Config.Services {
		if svc := &v.Config.Services[i]; svc.StageCalls != nil {
			add(svc.ID, svc.StageCalls)
		}
	}
	for id, calls := range l.calls {
		if next.calls[id] == nil && len(v.Upstreams[id]) > 0 {
			add(id, calls)
			next.dropped[id] = true
		}
	}
	return next
}

// assign returns the layout with the owners that the live routers give. A router that has started
// after a service was dropped doesn't know it, so each dropped service is assigned by itself:
// routers agree on the owners of all queues that they know.
func (l layout) assign(routers []shard.Router) layout {
	var listed []shard.ID
	l.owners = map[shard.ID]wire.HostID{}
	for id, shards := range l.services {
		var ids []shard.ID
		for _, sh := range shards {
			ids = append(ids, sh.ID)
		}
		if l.dropped[id] {
			maps.Copy(l.owners, shard.Assign(ids, routers))
		} else {
			listed = append(listed, ids...)
		}
	}
	maps.Copy(l.owners, shard.Assign(listed, routers))
	return l
}

// assignReachable is assign for the routers that others hear of, but queues whose owner does not answer
// this router get another one that does. The owners of the other queues stay the same, so that routers
// which find out at different times that a router is silent agree on them.
func (l layout) assignReachable(alive, reachable []shard.Router) layout {
	l = l.assign(alive)
	if len(reachable) == len(alive) {
		return l
	}
	others := l.assign(reachable).owners
	for id, owner := range l.owners {
		if !slices.ContainsFunc(reachable, func(r shard.Router) bool { return r.Name == owner }) {
			l.owners[id] = others[id]
		}
	}
	return l
}

// reassign publishes the owners of the queues among the routers that are alive now.
func (qs *stageQueues) reassign(now time.Time) {
	qs.layoutMu.Lock()
	defer qs.layoutMu.Unlock()
	l := qs.layout.Load().assignReachable(qs.s.peers.owners(now))
	qs.publish(&l)
}

// redivide publishes the layout of a new snapshot.
func (qs *stageQueues) redivide(v *View) layout {
	qs.layoutMu.Lock()
	defer qs.layoutMu.Unlock()
	l := qs.layout.Load().divide(v).assignReachable(qs.s.peers.owners(time.Now()))
	qs.publish(&l)
	return l
}

// publish publishes a layout and prepares the queues that this router owns from now on. The caller
// holds layoutMu.
func (qs *stageQueues) publish(l *layout) {
	former := qs.layout.Swap(l).owners
	for id, owner := range l.owners {
		if sq := qs.find(id); sq != nil && owner == qs.s.cfg.Name && former[id] != owner {
			sq.regained()
		}
	}
}

// regained forgets the results that other owners of the queue may have freed.
func (sq *stageQueue) regained() {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.q.ForgetResults()
	sq.dispatch()
}

// owner returns the router that owns a queue, as this router sees it, or "" if the service
// has no such queue.
func (qs *stageQueues) owner(id shard.ID) wire.HostID { return qs.layout.Load().owners[id] }

// choose returns the queue for an order and its owner. Queues of the avoided owners are
// taken only if there is no other; the next owner then takes their orders. It returns false if no
// queue of the service is known.
func (qs *stageQueues) choose(o *Order, avoid []wire.HostID) (id shard.ID, owner wire.HostID, ok bool) {
	l := qs.layout.Load()
	var cs, avoided []shard.Candidate
	now := time.Now()
	for _, sh := range l.services[o.Service] {
		owner, ok := l.owners[sh.ID]
		if !ok {
			continue
		}
		c := shard.Candidate{ID: sh.ID}
		if len(l.services[o.Service]) > 1 {
			c.Wait = qs.s.peers.shardWait(now, owner, sh.ID)
		}
		if slices.Contains(avoid, owner) {
			avoided = append(avoided, c)
		} else {
			cs = append(cs, c)
		}
	}
	owners := l.owners
	if len(cs) == 0 && len(avoided) > 0 {
		cs, owners = avoided, l.nextOwners(qs.s.peers.ownerCandidates(now), avoid)
	}
	if len(cs) == 0 {
		return id, "", false // there may be no configuration either
	}
	i := shard.Choose(cs, o.Centre, detour(qs.s.view.Load().Config, o), rand.IntN)
	return cs[i].ID, owners[cs[i].ID], true
}

// nextOwners returns the owners of the queues if some routers are left out, or the present ones if
// no other router is left.
func (l layout) nextOwners(routers []shard.Router, without []wire.HostID) map[shard.ID]wire.HostID {
	routers = slices.DeleteFunc(routers, func(r shard.Router) bool { return slices.Contains(without, r.Name) })
	if len(routers) == 0 {
		return l.owners
	}
	return l.assign(routers).owners
}

// detour returns how much shorter the wait in another data centre must be for an order to
// go there: the fixed time of a call, which is also how long a queue keeps pieces for the
// upstreams of their own data centre, or less if little is transferred.
func detour(cfg *fleet.Config, o *Order) time.Duration {
	d := time.Duration(0)
	if cfg == nil {
		return d // the first snapshot is not in force yet
	}
	if svc := cfg.Service(o.Service); svc != nil && svc.StageCalls != nil {
		d = svc.StageCalls.CallOverhead
	}
	if o.Moved < batch.LocalityThreshold {
		d /= lightDetourDivisor
	}
	return d
}

// lightDetourDivisor shortens the detour of orders that transfer little.
const lightDetourDivisor = 4

// ownedLoads returns the work of the queues that this router owns.
func (qs *stageQueues) ownedLoads(now time.Time) map[shard.ID]Load {
	l := qs.layout.Load()
	loads := map[shard.ID]Load{}
	for id, owner := range l.owners {
		if owner != qs.s.cfg.Name {
			continue
		}
		if sq := qs.find(id); sq != nil {
			loads[id] = sq.load(now)
		}
	}
	return loads
}

// load returns the work in the queue. Its rate is left out if now is zero.
func (sq *stageQueue) load(now time.Time) (l Load) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	l.Late = sq.q.CountLate()
	l.Waiting = sq.q.Len() - l.Late
	l.Resumed = sq.q.CountResumed()
	switch {
	case now.IsZero():
	case sq.qs.s.shedding.on.Load():
		l.Rate = sq.q.SustainedRate(now)
	default:
		l.Rate = sq.q.Rate(now)
	}
	return l
}

// waitIn returns the expected queueing time of a queue with the given load, 0 if its rate
// is unknown.
func (l Load) waitIn() time.Duration {
	return admit.Backlog{Waiting: l.Waiting, Rate: l.Rate}.WaitAfter(0)
}

// serviceBacklog adds up the work of a service's queues. A queue whose owner has not
// reported its rate counts with the mean rate of the others.
func serviceBacklog(shards []shard.Shard, loads map[shard.ID]Load) (b admit.Backlog) {
	known := 0
	for _, sh := range shards {
		l, ok := loads[sh.ID]
		b.Waiting += l.Waiting
		b.Late += l.Late
		b.Resumed += l.Resumed
		if ok && l.Rate > 0 {
			b.Rate += l.Rate
			known++
		}
	}
	if known > 0 {
		b.Rate *= float64(len(shards)) / float64(known)
	}
	return b
}

// retain removes the queues that the layout lacks, and ends their jobs: those of services that
// are divided differently now, and those of services that the configuration lacks and that have
// no upstream left.
func (qs *stageQueues) retain(l layout) {
	kept := map[shard.ID]bool{}
	for _, shards := range l.services {
		for _, sh := range shards {
			kept[sh.ID] = true
		}
	}
	var gone []*stageQueue
	qs.mu.Lock()
	for id, sq := range qs.byID {
		if !kept[id] {
			gone = append(gone, sq)
			delete(qs.byID, id)
		}
	}
	qs.mu.Unlock()
	for _, sq := range gone {
		reason := reasonMoved
		if l.services[sq.id.Service] == nil {
			reason = reasonNoUpstream
		}
		sq.retire(reason)
	}
}

// holder returns the queue whose upstreams keep a result, and false if there is none.
func (qs *stageQueues) holder(id fleet.ServiceID, h fleet.Handle) (shard.ID, bool) {
	addr := platform.HandleAddress(h)
	for _, sh := range qs.layout.Load().services[id] {
		if slices.ContainsFunc(sh.Upstreams, func(u fleet.Upstream) bool { return u.Address == addr }) {
			return sh.ID, true
		}
	}
	return shard.ID{}, false
}
