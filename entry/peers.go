package entry

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/gossip"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/shard"
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
	// counts among the routers that share limits. It is longer than ownerTimeout, because
	// a router that is unreachable may still serve, and longer than a restart takes.
	memberTimeout = 15 * time.Second
	// maxNeighbours bounds the known members that a router sends heartbeats to: those at
	// distances 1, 2, 4 and so on after it in the order of names.
	maxNeighbours = 9
	// maxStrikeAge is the age up to which heartbeats report upstream crashes.
	maxStrikeAge = 10 * time.Second
	// maxIntroductions is the number of peers whose memory a router adds after its start. The
	// second one makes up for a first one that has just started too.
	maxIntroductions = 2
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
	Shards  map[shard.ID]Load        // queues of divided services that the router owns
	CPU     float64                  // processor share of its host in cores, 0 if unknown
	Shares  bool                     // whether the router divides services among teams
	// Version numbers the content, the fields above without Age. It is zero from builds that
	// do not number it.
	Version gossip.Version
	// Brief says that Address, Centre and CPU are left out, because the receiver knows the run. A
	// sender whose Version is left out too tells its name alone.
	Brief bool
}

// Load is a router's share of the outstanding work for a stage service, or for one queue of
// a divided service.
type Load struct {
	Coming  int     // pieces of the router's requests that have not reached a queue; only by service
	Waiting int     // pieces in the queue, if the router owns it, without those that yield
	Late    int     // pieces that yield to others, in the queue or coming
	Resumed int     // pieces of streams that callers take up again, in the queue or coming
	Rate    float64 // throughput of the queue in pieces per second, if the router owns it
	Demand  Demand  // what callers ask of the router; only by service
}

// Beat is the heartbeat that routers exchange periodically.
type Beat struct {
	From    Member             // sender
	Members []Member           // other routers that the sender knows
	At      [2]fleet.Revision  // store revision that the sender has reached, by platform.Area
	Eras    [2]fleet.Era       // era of the store that At belongs to, 0 if unknown
	Config  fleet.Version      // version in force, 0 if there is none
	Strikes []crash.Strike     // recent upstream crashes
	Blocks  []crash.AgedStrike // crashes of the requests that are blocked
	Parts   crash.PartsReport  // prompt parts that crash upstreams
	Limits  []limit.Report     // limits that upstreams name
	// Digest says what the sender knows of the members. If it is zero, the sender is of a build
	// that must be told everything.
	Digest gossip.Digest
	Fresh  gossip.Refreshes // members whose content the receiver knows, with their age
	Stamp  time.Duration    // time since the sender's start
	Heard  time.Duration    // Stamp of the last heartbeat from the receiver's run, 0 if there is none
}

// peers tracks the other routers and holds the connections to them. It is safe for
// concurrent use.
type peers struct {
	s    *Server
	self Member // without the fields that change, which updateOwn sets
	// startAt is the time from which Beat.Stamp counts.
	startAt time.Time

	mu      sync.Mutex
	members map[wire.HostID]*peerRecord
	own     *peerRecord        // this router, as heartbeats tell it
	blocks  []crash.AgedStrike // as of own.seenAt
	ring    ring
	told    map[wire.HostID]*neighbourState
	watches map[*peerWatch]struct{}
	clients map[wire.Address]*rpc.Client
	// introduced holds the peers whose memory was added after the start.
	introduced map[wire.HostID]bool
	tickAt     time.Time // last tick of run
	// resumedAt is the end of the last pause of run, for instance because the process was
	// suspended, and pause its length.
	resumedAt time.Time
	pause     time.Duration

	reach  reach
	offers fleet.Offers
	newest fleet.NewestVersion
	packer configPacker
	// catchingUp is whether a peer's state is being read. States of several peers at once
	// would share a short link.
	catchingUp atomic.Bool
}

// peerRecord is a member and the time when it was last heard of.
type peerRecord struct {
	Member
	seenAt time.Time
	// endedAt is when the router's address refused a connection, zero if it did not.
	endedAt time.Time
	inRing  bool // whether it is in the ring
	// demands holds the reports of Loads that were read. Each request that needs a stage service
	// goes by those of all routers.
	demands map[fleet.ServiceID]readDemand
}

// readDemand is a Demand and its content, which is not changed. ok is false if it is malformed.
type readDemand struct {
	Demand
	report demandReport
	ok     bool
}

// demand returns the report of the demand for a service, and false if there is none. The caller
// holds the mutex of peers.
func (m *peerRecord) demand(id fleet.ServiceID) (demandReport, bool) {
	told := m.Loads[id].Demand
	if told == "" {
		delete(m.demands, id)
		return demandReport{}, false
	}
	d, ok := m.demands[id]
	if !ok || d.Demand != told {
		if m.demands == nil || len(m.demands) >= maxReadDemands {
			m.demands = map[fleet.ServiceID]readDemand{}
		}
		d.Demand = told
		d.report, d.ok = told.decode()
		m.demands[id] = d
	}
	return d.report, d.ok
}

// maxReadDemands limits the services of a router whose demand is kept as read. Most of more belong
// to replaced configurations.
const maxReadDemands = 256

// isAlive reports whether the router was heard of recently enough to own queues, and has not
// refused a connection since.
func (m *peerRecord) isAlive(now time.Time) bool {
	return now.Sub(m.seenAt) < ownerTimeout && m.seenAt.After(m.endedAt)
}

func newPeers(s *Server) *peers {
	self := Member{Name: s.cfg.Name, Address: s.cfg.Peers, Centre: s.cfg.Centre, Boot: time.Now().UnixNano(), CPU: s.cfg.Cores}
	return &peers{
		s:       s,
		self:    self,
		startAt: time.Now(),
		members: map[wire.HostID]*peerRecord{},
		own:     &peerRecord{Member: self},
		told:    map[wire.HostID]*neighbourState{},
		watches: map[*peerWatch]struct{}{},
		clients: map[wire.Address]*rpc.Client{}, introduced: map[wire.HostID]bool{},
	}
}

// run sends heartbeats until ctx is done.
func (p *peers) run(ctx context.Context) error {
	tick := p.s.clock.Subscribe(heartbeatInterval, "peers")
	defer tick.Close()
	for {
		now := time.Now()
		p.recordTick(now)
		p.s.queues.reassign(now)
		p.cancelLost(now)
		p.updateOwn(now, 0)
		p.pingUncertain(ctx, now)
		ns := p.neighbours(now)
		for i, n := range ns {
			p.s.background.Go(func() {
				// An answer leaves out what earlier ones have told, so calls are spread over the interval.
				if n.name == "" || clock.Sleep(ctx, heartbeatInterval*time.Duration(i)/time.Duration(len(ns))) {
					p.sendHeartbeat(ctx, n)
				}
			})
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			p.close()
			return ctx.Err()
		}
	}
}

// recordTick notes a pause of run that ends at now.
func (p *peers) recordTick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pause := now.Sub(p.tickAt); !p.tickAt.IsZero() && pause > crash.MaxTransit {
		p.resumedAt, p.pause = now, pause
	}
	p.tickAt = now
}

// mayBeDelayed reports whether a heartbeat that is read now may have waited for longer than
// crash.MaxTransit, because this process was suspended.
func (p *peers) mayBeDelayed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.tickAt) > crash.MaxTransit || now.Sub(p.resumedAt) < 2*crash.MaxTransit
}

// aliveAt returns the time for which to ask whether routers are alive: now, but without a pause that
// has ended so recently that they can't have been heard of since. The caller holds mu.
func (p *peers) aliveAt(now time.Time) time.Time {
	switch {
	case p.tickAt.IsZero():
		return now
	case now.Sub(p.tickAt) > crash.MaxTransit: // run has not ticked since
		return p.tickAt
	case now.Sub(p.resumedAt) < heartbeatTimeout:
		return now.Add(-p.pause)
	}
	return now
}

// neighbour is a router to send heartbeats to. The name of a seed may be unknown.
type neighbour struct {
	name wire.HostID
	addr wire.Address
}

// neighbours returns the routers to send heartbeats to: the members at distances 1,
// 2, 4 and so on after this router in the ring of names, and the seeds that are not
// known as members yet.
func (p *peers) neighbours(now time.Time) (out []neighbour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ring := p.currentRing(now).records
	self := slices.Index(ring, p.own)
	for d := 1; d < len(ring) && len(out) < maxNeighbours; d *= 2 {
		m := ring[(self+d)%len(ring)]
		out = append(out, neighbour{m.Name, m.Address})
	}
	for _, a := range p.s.seeds() {
		if !slices.ContainsFunc(ring, func(m *peerRecord) bool { return m.Address == a }) {
			out = append(out, neighbour{addr: a})
		}
	}
	return out
}

// sendHeartbeat sends a heartbeat to a peer and merges the one that it answers with.
func (p *peers) sendHeartbeat(ctx context.Context, n neighbour) {
	var answer Beat
	if err := p.call(ctx, n.addr, "Peer.Beat", p.composeHeartbeat(time.Now(), beatCall, n.name), &answer, heartbeatTimeout); err != nil {
		p.s.log.Debug("heartbeat failed", "peer", n.addr, "err", err)
		p.s.incCounter("heartbeats_failed")
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.recordEndedAt(time.Now(), n.addr)
		}
		return
	}
	p.mergeHeartbeat(time.Now(), answer)
	p.followConfig(ctx, answer)
	p.catchUp(ctx, n.addr, answer)
}

// catchUp copies the store's state from a peer if the peer's heartbeat b shows a later
// position in an area that this router can't read from the store itself, and adds the
// peer's memory if the store may have lost what the peer knows.
func (p *peers) catchUp(ctx context.Context, addr wire.Address, b Beat) {
	if !p.catchingUp.CompareAndSwap(false, true) {
		return
	}
	defer p.catchingUp.Store(false)
	v := p.s.view.Load()
	behind := false
	for i := range b.At {
		stale := v.age(platform.Area(i)) > maxReadAge+watchWait || v.At[i].Revision == 0
		behind = behind || v.At[i].Before(fleet.Position{Era: b.Eras[i], Revision: b.At[i]}) && (stale || p.s.storeLost(platform.Area(i)))
	}
	if introduce := p.introduce(v, b); !behind && !introduce && !hasLostConfig(v, b) {
		return
	}
	var state State
	began := time.Now()
	if err := p.transfer(ctx, addr, "Peer.State", 0, &state); err != nil {
		p.s.log.Warn("could not read state from peer", "peer", addr, "took_ms", time.Since(began).Milliseconds(), "lag_ms", p.s.lag.current().Milliseconds(), "err", err)
		p.s.incCounter("peer_states_failed")
		return
	}
	for i, a := range state.Areas {
		if !v.At[i].Before(a.position()) || !a.Listed {
			continue
		}
		p.s.log.Info("state taken from peer", "peer", b.From.Name, "area", platform.Area(i), "era", a.Era, "revision", a.At,
			"known_era", v.At[i].Era, "known", v.At[i].Revision)
		p.s.applyUpdate(ctx, update{area: platform.Area(i), page: platform.Page{Records: slices.Collect(maps.Values(a.Records)), Position: a.position(), Answered: began.Add(-a.Age)}, full: true, fromPeer: true})
	}
	p.s.applyUpdate(ctx, update{state: &state, fromPeer: true})
}

// introduce reports whether the memory of the peer that sent b is still to be added after
// the start of this router, and counts it as added. A peer that has not yet read the
// restored store, unlike the view v, can't say what is missing there.
func (p *peers) introduce(v *View, b Beat) bool {
	for i, at := range v.At {
		if b.Eras[i] < at.Era {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.Config == 0 || p.introduced[b.From.Name] || len(p.introduced) >= maxIntroductions {
		return false
	}
	p.introduced[b.From.Name] = true
	return true
}

// hasLostConfig reports whether the store no longer has the configuration that is in force
// at the peer that sent b: a router with view v has read as far and has an older one.
func hasLostConfig(v *View, b Beat) bool {
	const op = platform.AreaOperatorSettings
	return v.Config != nil && b.Config > v.Config.Version &&
		!v.At[op].Before(fleet.Position{Era: b.Eras[op], Revision: b.At[op]})
}

// composeHeartbeat returns the heartbeat for a neighbour, which describes this router and the
// members that it knows, or what has changed since the neighbour was told.
func (p *peers) composeHeartbeat(now time.Time, kind beatKind, to wire.HostID) Beat {
	v := p.s.view.Load()
	p.updateOwn(now, heartbeatInterval)
	b := Beat{Stamp: now.Sub(p.startAt), Parts: p.s.parts.Report(now), Limits: p.s.limits.Reports(now)}
	b.Config = v.version()
	for i, at := range v.At {
		b.At[i], b.Eras[i] = at.Revision, at.Era
	}
	strikeAge := p.composeMembers(now, kind, to, &b)
	b.Strikes = p.s.strikes.Recent(now, strikeAge)
	return b
}

// mergeHeartbeat adds the crashes and members of a peer's heartbeat to those known, and notes
// the version in force there.
func (p *peers) mergeHeartbeat(now time.Time, b Beat) {
	p.newest.Heard(now, b.Config, p.s.view.Load().version())
	for _, k := range b.Strikes {
		if p.s.strikes.Add(now, k) {
			p.s.log.Info("crash reported by peer", "peer", b.From.Name, "upstream", k.Upstream, "born", k.Born, "print", k.Print)
			p.s.incCounter("strikes_reported")
		}
	}
	if !p.mayBeDelayed(now) { // the ages in the report are right at the time of its sending
		p.s.strikes.Merge(now, b.Blocks)
		p.s.logQuarantined(p.s.parts.Merge(now, b.Parts), "peer", b.From.Name)
		for _, r := range p.s.limits.Merge(now, now.Add(-crash.MaxTransit), b.Limits) {
			p.s.log.Info("limit reported by peer", "peer", b.From.Name, "upstream", r.Upstream, "limit", r.Rate, "ended", r.Ended)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mergeMember(now, b.From)
	for _, m := range b.Members {
		p.mergeMember(now.Add(-m.Age), m)
	}
	p.mergeRefreshes(now, &b.Fresh)
	p.recordTold(now, &b)
}

// mergeMember records that m was last heard of at the given time. It ignores m if a
// later run of that router is alive, or the same run was heard of since. The caller
// holds mu.
func (p *peers) mergeMember(at time.Time, m Member) {
	if m.Name == p.self.Name || m.Name == "" {
		return
	}
	old := p.members[m.Name]
	if m.Brief && !m.complete(old) {
		return // the next digest asks for everything
	}
	switch {
	case old == nil:
		p.s.log.Info("peer found", "peer", m.Name, "address", m.Address, "centre", m.Centre)
		old = &peerRecord{}
		p.members[m.Name] = old
	case m.Boot < old.Boot && at.Sub(old.seenAt) < ownerTimeout:
		return // of a run before the one known; a lower start later on shows that the clock was set back
	case m.Boot == old.Boot && m.Version.Seq > 0 && old.Version.Seq > 0:
		if m.Version.Seq <= old.Version.Seq {
			return
		}
	case m.Boot == old.Boot && !at.After(old.seenAt):
		return
	case m.Boot == old.Boot && old.Version.Seq > 0 && at.Sub(old.seenAt) < ownerTimeout/2:
		return // passed on by a former build, which leaves out Version, Shares and Load.Demand
	}
	started := m.Boot != old.Boot || m.Name != old.Name
	if started {
		old.endedAt, old.seenAt = time.Time{}, at
		p.ring.valid = false
	}
	p.ring.valid = p.ring.valid && old.inRing
	old.Member, old.seenAt = m, later(at, old.seenAt)
	if started {
		p.s.background.Go(func() { p.s.origins.peerStarted(m.Name) })
	}
}

// recordEnded records that the address of a router has refused a connection: its process has
// ended. The router owns no queues until it is heard of again. It returns false if that was known.
func (p *peers) recordEnded(now time.Time, name wire.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	if m == nil || !m.isAlive(now) {
		return false
	}
	m.endedAt = now
	p.s.log.Info("peer ended", "peer", name, "heard_ms", now.Sub(m.seenAt).Milliseconds())
	p.s.incCounter("peers_ended")
	return true
}

// recordEndedAt is recordEnded for the router at an address, if there is one.
func (p *peers) recordEndedAt(now time.Time, addr wire.Address) {
	p.mu.Lock()
	var name wire.HostID
	for n, m := range p.members {
		if m.Address == addr && m.isAlive(now) { // a former member may have had the address
			name = n
		}
	}
	p.mu.Unlock()
	if p.recordEnded(now, name) {
		p.s.queues.reassign(now)
	}
}

// ownerCandidates returns the routers that may own queues, sorted by name. Routers that
// drain or don't answer are left out. If none remains, it returns this router alone.
func (p *peers) ownerCandidates(now time.Time) []shard.Router {
	_, reachable := p.owners(now)
	return reachable
}

// owners returns the routers that may own queues as others see it, and those of them that answer this
// router, both as ownerCandidates does.
func (p *peers) owners(now time.Time) (alive, reachable []shard.Router) {
	self := shard.Router{Name: p.self.Name, Centre: p.self.Centre, CPU: p.self.CPU}
	if !p.s.draining.Load() {
		alive, reachable = append(alive, self), append(reachable, self)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.aliveAt(now)
	for n, m := range p.members {
		if !m.isAlive(at) || m.Leaving {
			continue
		}
		r := shard.Router{Name: n, Centre: m.Centre, CPU: m.CPU}
		alive = append(alive, r)
		if !p.reach.isSilent(m.Address) {
			reachable = append(reachable, r)
		}
	}
	for _, rs := range []*[]shard.Router{&alive, &reachable} {
		if len(*rs) == 0 {
			*rs = append(*rs, self)
		}
		slices.SortFunc(*rs, func(a, b shard.Router) int { return cmp.Compare(a.Name, b.Name) })
	}
	return alive, reachable
}

// candidateNames returns the names of ownerCandidates.
func (p *peers) candidateNames(now time.Time) (names []wire.HostID) {
	for _, r := range p.ownerCandidates(now) {
		names = append(names, r.Name)
	}
	return names
}

// knowsOthers reports whether another router was heard of within memberTimeout.
func (p *peers) knowsOthers(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if now.Sub(m.seenAt) < memberTimeout {
			return true
		}
	}
	return false
}

// othersReady reports whether another router is alive and does not drain.
func (p *peers) othersReady(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.aliveAt(now)
	for _, m := range p.members {
		if m.isAlive(at) && !m.Leaving {
			return true
		}
	}
	return false
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

// isGone reports whether a router was not heard of recently enough to own queues, or does not answer the
// calls of this one.
func (p *peers) isGone(now time.Time, name wire.HostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	return m == nil || !m.isAlive(p.aliveAt(now)) || p.reach.isSilent(m.Address)
}

// sinceHeard returns the time since a router was last heard of, 0 for this router and unknown ones.
func (p *peers) sinceHeard(now time.Time, name wire.HostID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[name]; m != nil {
		return now.Sub(m.seenAt)
	}
	return 0
}

// backlog returns the outstanding work for a stage service: that of this router, which is
// given, and the loads that live peers have reported.
func (p *peers) backlog(now time.Time, shards []shard.Shard, own Load, owned map[shard.ID]Load) admit.Backlog {
	loads := maps.Clone(owned)
	service := shards[0].ID.Service
	undivided := shard.ID{Service: service}
	total := own
	p.mu.Lock()
	for _, m := range p.members {
		if !m.isAlive(now) {
			continue
		}
		l := m.Loads[service]
		total.Coming += l.Coming
		total.Waiting += l.Waiting
		total.Late += l.Late
		total.Resumed += l.Resumed
		total.Rate = max(total.Rate, l.Rate)
		for id, l := range m.Shards {
			sum := loads[id]
			loads[id] = Load{Waiting: sum.Waiting + l.Waiting, Late: sum.Late + l.Late, Resumed: sum.Resumed + l.Resumed, Rate: max(sum.Rate, l.Rate)}
		}
	}
	p.mu.Unlock()
	loads[undivided] = total
	b := serviceBacklog(shards, loads)
	b.Unqueued = total.Coming
	if !slices.ContainsFunc(shards, func(sh shard.Shard) bool { return sh.ID == undivided }) {
		b.Late += total.Late // not yet in a queue
		b.Resumed += total.Resumed
	}
	return b
}

// addDemands adds the demand for a stage service at the live peers. All that waits at a router
// that reports no demand counts as most urgent.
func (p *peers) addDemands(sh *shortage, now time.Time, id fleet.ServiceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if !m.isAlive(now) {
			continue
		}
		l := m.Loads[id]
		d, ok := m.demand(id)
		if !ok && l.Coming+l.Waiting > 0 {
			d.pending = []int{l.Coming + l.Waiting}
		}
		sh.add(d, now.Sub(m.seenAt))
	}
}

// shardWait returns the expected queueing time of a queue, as its owner last reported it.
func (p *peers) shardWait(now time.Time, owner wire.HostID, id shard.ID) time.Duration {
	if owner == p.self.Name {
		if sq := p.s.queues.find(id); sq != nil {
			return sq.load(now).waitIn()
		}
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch m := p.members[owner]; {
	case m == nil:
		return 0
	case id.Centre == "":
		return m.Loads[id.Service].waitIn()
	default:
		return m.Shards[id].waitIn()
	}
}

// dividedOnly returns the loads of the queues of divided services.
func dividedOnly(loads map[shard.ID]Load) map[shard.ID]Load {
	out := map[shard.ID]Load{}
	for id, l := range loads {
		if id.Centre != "" {
			out[id] = l
		}
	}
	return out
}

// peerWatch is a call to lost when a peer is no longer alive.
type peerWatch struct {
	name wire.HostID
	lost func()
}

// onPeerLost calls lost once when the peer called name is no longer alive. The caller
// must call stop to end the watch.
func (p *peers) onPeerLost(name wire.HostID, lost func()) (stop func()) {
	w := &peerWatch{name, lost}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watches[w] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.watches, w)
	}
}

// cancelLost calls and ends the watches of the peers that are no longer alive.
func (p *peers) cancelLost(now time.Time) {
	p.mu.Lock()
	at := p.aliveAt(now)
	var lost []*peerWatch
	for w := range p.watches {
		if m := p.members[w.name]; m == nil || !m.isAlive(at) {
			lost = append(lost, w)
			delete(p.watches, w)
		}
	}
	p.mu.Unlock()
	for _, w := range lost {
		w.lost()
	}
}
