package entry

import (
	"cmp"
	"context"
	"maps"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

const (
	// heartbeatInterval is the time between two heartbeats to the same peer.
	heartbeatInterval = 120 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat and other short calls to a peer.
	heartbeatTimeout = 400 * time.Millisecond
	// ownerTimeout is the time since a router was last heard of after which it no longer
	// owns queues. It tolerates two lost heartbeats.
	ownerTimeout = 1100 * time.Millisecond
	// memberTimeout is the time since a router was last heard of after which it no longer
	// counts where limits are divided among the routers: one that is unreachable may
	// still serve. It is longer than a restart takes.
	memberTimeout = 15 * time.Second
	// maxNeighbours bounds the known members that a router sends heartbeats to: those at
	// distances 1, 2, 4 and so on after it in the order of names.
	maxNeighbours = 9
	// maxStrikeAge is the age up to which heartbeats report upstream crashes.
	maxStrikeAge = 10 * time.Second
	// rpcDialTimeout bounds connecting to a peer.
	rpcDialTimeout = 300 * time.Millisecond
)

// Member describes a router to its peers.
type Member struct {
	Name    wire.HostID
	Address wire.Address
	Centre  wire.DataCentreID
	Boot    int64                    // start time in Unix nanoseconds; a later run replaces an earlier one
	Leaving bool                     // whether the router drains
	Age     time.Duration            // time since the sender last heard of the router
	Loads   map[fleet.ServiceID]Load // stage work of the router, by service
}

// Load is a router's share of the outstanding work for a stage service.
type Load struct {
	Coming  int     // pieces of the router's requests that have not reached the service's queue
	Waiting int     // pieces in the queue, if the router owns it
	Rate    float64 // throughput of the queue in pieces per second, if the router owns it
}

// Beat is the heartbeat that routers exchange periodically.
type Beat struct {
	From    Member            // sender
	Members []Member          // other routers that the sender knows
	At      [2]fleet.Revision // store revision that the sender has reached in each area
	Strikes []crash.Strike    // recent upstream crashes
}

// peers tracks the other routers and holds the connections to them. It is safe for
// concurrent use.
type peers struct {
	s    *Server
	self Member

	mu      sync.Mutex
	members map[wire.HostID]*peerRecord
	clients map[wire.Address]*rpc.Client
}

// peerRecord is a member and the time when it was last heard of.
type peerRecord struct {
	Member
	seenAt time.Time
}

func newPeers(s *Server) *peers {
	return &peers{
		s:       s,
		self:    Member{Name: s.cfg.Name, Address: s.cfg.Peers, Centre: s.cfg.Centre, Boot: time.Now().UnixNano()},
		members: map[wire.HostID]*peerRecord{},
		clients: map[wire.Address]*rpc.Client{},
	}
}

// run sends heartbeats until ctx is done.
func (p *peers) run(ctx context.Context) error {
	tick := p.s.clock.Subscribe(heartbeatInterval, "peers")
	defer tick.Close()
	for {
		for _, addr := range p.neighbours(time.Now()) {
			p.s.background.Go(func() { p.sendHeartbeat(ctx, addr) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			p.close()
			return ctx.Err()
		}
	}
}

// neighbours returns the addresses to send heartbeats to: the members at distances 1,
// 2, 4 and so on, and the seeds that are not known as members yet.
func (p *peers) neighbours(now time.Time) (out []wire.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ring := []*peerRecord{{Member: p.self}}
	known := map[wire.Address]bool{p.self.Address: true}
	for _, m := range p.members {
		if now.Sub(m.seenAt) < memberTimeout {
			ring = append(ring, m)
			known[m.Address] = true
		}
	}
	slices.SortFunc(ring, func(a, b *peerRecord) int { return cmp.Compare(a.Name, b.Name) })
	self := slices.IndexFunc(ring, func(m *peerRecord) bool { return m.Name == p.self.Name })
	for d := 1; d < len(ring) && len(out) < maxNeighbours; d *= 2 {
		out = append(out, ring[(self+d)%len(ring)].Address)
	}
	for _, a := range p.s.seeds() {
		if !known[a] {
			out = append(out, a)
		}
	}
	return out
}

// sendHeartbeat sends a heartbeat to a peer and merges the one that it answers with.
func (p *peers) sendHeartbeat(ctx context.Context, addr wire.Address) {
	var answer Beat
	if err := p.call(ctx, addr, "Peer.Beat", p.composeHeartbeat(time.Now()), &answer, heartbeatTimeout); err != nil {
		p.s.log.Debug("heartbeat failed", "peer", addr, "err", err)
		return
	}
	p.mergeHeartbeat(time.Now(), answer)
	p.catchUp(ctx, addr, answer)
}

// catchUp reads the store's state from a peer that has a later revision when this
// router has lost contact with the store.
func (p *peers) catchUp(ctx context.Context, addr wire.Address, b Beat) {
	v := p.s.view.Load()
	behind := false
	for i := range b.At {
		stale := time.Since(v.LastRead[i]) > maxReadAge+watchWait || v.Revisions[i] == 0
		behind = behind || b.At[i] > v.Revisions[i] && (stale || p.s.storeLost(platform.Area(i)))
	}
	if !behind {
		return
	}
	var state State
	if err := p.call(ctx, addr, "Peer.State", 0, &state, 2*heartbeatTimeout); err != nil {
		p.s.log.Warn("could not read state from peer", "peer", addr, "err", err)
		return
	}
	for i, a := range state.Areas {
		if a.At <= v.Revisions[i] || !a.Listed {
			continue
		}
		p.s.log.Info("state taken from peer", "peer", b.From.Name, "area", platform.Area(i), "revision", a.At, "known", v.Revisions[i])
		p.s.applyUpdate(ctx, update{area: platform.Area(i), page: platform.Page{Records: slices.Collect(maps.Values(a.Records)), Revision: a.At}, full: true, fromPeer: true})
	}
}

// composeHeartbeat returns the heartbeat that describes this router and the members
// that it knows.
func (p *peers) composeHeartbeat(now time.Time) Beat {
	v := p.s.view.Load()
	loads := p.s.stageLoads(now)
	b := Beat{From: p.self, At: v.Revisions, Strikes: p.s.strikes.Recent(now, maxStrikeAge)}
	p.mu.Lock()
	defer p.mu.Unlock()
	b.From.Leaving = p.s.draining.Load()
	b.From.Loads = loads
	for _, m := range p.members {
		if age := now.Sub(m.seenAt); age < memberTimeout {
			m.Member.Age = age
			b.Members = append(b.Members, m.Member)
		}
	}
	return b
}

// mergeHeartbeat adds the crashes and members of a peer's heartbeat to those known.
func (p *peers) mergeHeartbeat(now time.Time, b Beat) {
	for _, k := range b.Strikes {
		p.s.strikes.Add(now, k)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mergeMember(now, b.From)
	for _, m := range b.Members {
		p.mergeMember(now.Add(-m.Age), m)
	}
}

// mergeMember records that m was last heard of at the given time, unless that time or
// m's run is older than the one known. The caller holds mu.
func (p *peers) mergeMember(at time.Time, m Member) {
	if m.Name == p.self.Name || m.Name == "" {
		return
	}
	old := p.members[m.Name]
	switch {
	case old == nil:
		p.s.log.Info("peer found", "peer", m.Name, "address", m.Address, "centre", m.Centre)
	case m.Boot < old.Boot:
		return
	case m.Boot == old.Boot && !at.After(old.seenAt):
		return
	}
	p.members[m.Name] = &peerRecord{m, at}
}

// ownerCandidates returns the routers that may own queues, sorted by name. Routers that drain are
// left out. If none remains, it returns this router alone.
func (p *peers) ownerCandidates(now time.Time) []wire.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []wire.HostID
	if !p.s.draining.Load() {
		names = append(names, p.self.Name)
	}
	for n, m := range p.members {
		if now.Sub(m.seenAt) < ownerTimeout && !m.Leaving {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		names = append(names, p.self.Name)
	}
	slices.Sort(names)
	return names
}

// routerCount returns the number of routers among which limits are divided: those heard
// of within memberTimeout, this one included, and at least as many as there are seeds.
func (p *peers) routerCount(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, m := range p.members {
		if now.Sub(m.seenAt) < memberTimeout {
			n++
		}
	}
	return max(n, len(p.s.seeds()))
}

// address returns the address of a router, and false if the router is unknown.
func (p *peers) address(name wire.HostID) (wire.Address, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	if m == nil {
		return "", false
	}
	return m.Address, true
}

// backlog returns the outstanding work for a stage service: own, this router's load,
// and the loads that live peers have reported.
func (p *peers) backlog(now time.Time, id fleet.ServiceID, own Load) (b admit.Backlog) {
	b = admit.Backlog{Waiting: own.Waiting, Unqueued: own.Coming, Rate: own.Rate}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if now.Sub(m.seenAt) >= ownerTimeout {
			continue
		}
		l := m.Loads[id]
		b.Unqueued += l.Coming
		b.Waiting += l.Waiting
		b.Rate = max(b.Rate, l.Rate)
	}
	return b
}

// onPeerLost calls lost once if the router called name is no longer alive. The caller
// must call stop when it no longer needs to know.
func (p *peers) onPeerLost(name wire.HostID, lost func()) (stop func()) {
	tick := p.s.clock.Subscribe(heartbeatInterval, "owner "+string(name))
	quit := make(chan struct{})
	p.s.background.Go(func() {
		defer tick.Close()
		for {
			select {
			case now := <-tick.C:
				if !p.isAlive(now.Now, name) {
					lost()
					return
				}
			case <-quit:
				return
			}
		}
	})
	return func() { close(quit) }
}

// isAlive reports whether a peer was heard of within ownerTimeout.
func (p *peers) isAlive(now time.Time, name wire.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	return m != nil && now.Sub(m.seenAt) < ownerTimeout
}
