package entry

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"hornbeamcove.example/core/gossip"
	"hornbeamcove.example/core/wire"
)

// strikeOverlap is the time before the last heartbeat that a neighbour acknowledged from which
// crashes are told again. One may be recorded while that heartbeat is composed.
const strikeOverlap = time.Second

// maxSeqAhead is how far the number of a member's heartbeat may be ahead of the one known. A larger step
// comes from a damaged message; a member that was silent for so long is told anew.
const maxSeqAhead = 255

// A heartbeat is either a call to a neighbour or the answer to one.
type beatKind bool

const (
	beatCall   beatKind = false
	beatAnswer beatKind = true
)

// ring is the members that were heard of within memberTimeout, and this router, in the order
// of names.
type ring struct {
	valid   bool
	records []*peerRecord
	set     uint64 // hash of their runs, see gossip.Hash
}

// currentRing returns the ring at the given time. The caller holds mu.
func (p *peers) currentRing(now time.Time) *ring {
	expired := func(m *peerRecord) bool { return m != p.own && now.Sub(m.seenAt) >= memberTimeout }
	if p.ring.valid && !slices.ContainsFunc(p.ring.records, expired) {
		return &p.ring
	}
	records := []*peerRecord{p.own}
	for name, m := range p.members {
		if m.inRing = !expired(m); m.inRing {
			records = append(records, m)
		} else {
			delete(p.told, name)
		}
	}
	slices.SortFunc(records, func(a, b *peerRecord) int { return cmp.Compare(a.Name, b.Name) })
	runs := make([]gossip.Run, len(records))
	for i, m := range records {
		runs[i] = gossip.Run{Name: m.Name, Boot: m.Boot}
	}
	p.ring = ring{valid: true, records: records, set: gossip.Hash(runs)}
	return &p.ring
}

// versions returns the versions of the members of the ring.
func (r *ring) versions() []gossip.Version {
	vs := make([]gossip.Version, len(r.records))
	for i, m := range r.records {
		vs[i] = m.Version
	}
	return vs
}

// neighbourState is what this router knows of a neighbour's run.
type neighbourState struct {
	gossip.Neighbour
	boot  int64
	begun time.Duration // time since this router's start when the run was first heard of
	stamp time.Duration // Beat.Stamp of the last heartbeat from it
	acked time.Duration // Stamp of the last heartbeat to it that it has acknowledged, 0 if there is none
}

// recordTold records what the sender of a heartbeat or an answer says that it knows. The caller
// holds mu.
func (p *peers) recordTold(now time.Time, b *Beat) {
	if p.members[b.From.Name] == nil {
		return
	}
	st := p.told[b.From.Name]
	if st == nil || st.boot != b.From.Boot {
		st = &neighbourState{boot: b.From.Boot, begun: now.Sub(p.startAt)}
		p.told[b.From.Name] = st
	}
	if b.Heard > st.begun && b.Heard <= now.Sub(p.startAt) { // earlier heartbeats left out what the former run knew
		st.acked = max(st.acked, b.Heard)
	}
	st.stamp = max(st.stamp, b.Stamp)
	if b.Digest.Check() == nil {
		st.Heard(now, b.From.Boot, b.Digest)
	}
}

// updateOwn brings up to date what heartbeats tell of this router, unless it was updated within
// recent. All heartbeats of an interval tell the same, so that neighbours pass one version on.
func (p *peers) updateOwn(now time.Time, recent time.Duration) {
	next := p.self
	next.Leaving = p.s.draining.Load()
	p.mu.Lock()
	current := p.own.Version.Seq > 0 && now.Sub(p.own.seenAt) < recent && p.own.Leaving == next.Leaving
	p.mu.Unlock()
	if current {
		return
	}
	owned := p.s.queues.ownedLoads(now)
	next.Loads = p.s.stageLoads(owned)
	for id, d := range p.s.reportDemands(now, owned) {
		l := next.Loads[id]
		l.Demand = d
		next.Loads[id] = l
	}
	next.Shards = dividedOnly(owned)
	next.Shares = p.s.shares.on.Load()
	blocks := p.s.strikes.Blocks(now) // reads all crashes of two minutes
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.own.Version
	next.Version = version
	next.Version = version.Next(version.Seq == 0 || !reflect.DeepEqual(next, p.own.Member))
	p.own.Member, p.own.seenAt = next, now
	p.blocks = blocks
}

// composeMembers adds to a heartbeat what its receiver is to be told of this router and the
// members, and returns the age up to which it is to be told of crashes.
func (p *peers) composeMembers(now time.Time, kind beatKind, to wire.HostID, b *Beat) (strikeAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ring := p.currentRing(now)
	versions := ring.versions()
	b.Digest = gossip.NewDigest(ring.set, versions)
	b.From = p.own.Member
	st := p.told[to]
	if st == nil {
		st = &neighbourState{}
	}
	b.Heard = st.stamp
	for _, k := range p.blocks {
		k.Age += now.Sub(p.own.seenAt)
		b.Blocks = append(b.Blocks, k)
	}
	strikeAge = maxStrikeAge
	if st.acked > 0 {
		strikeAge = min(maxStrikeAge, now.Sub(p.startAt)-st.acked+strikeOverlap)
	}
	plan := st.Tell(now, ring.set, versions)
	if plan.Full {
		p.s.incCounter("heartbeats_full", "reason", plan.Reason)
		for _, m := range ring.records {
			if m != p.own {
				m.Age = now.Sub(m.seenAt)
				b.Members = append(b.Members, m.Member)
			}
		}
		return strikeAge
	}
	if kind == beatCall {
		plan = plan.Call(slices.Index(ring.records, p.own))
	}
	b.From = Member{Name: p.self.Name, Boot: p.self.Boot, Brief: true}
	for _, i := range plan.Changed {
		switch m := ring.records[i]; m {
		case p.own:
			b.From = m.brief(0)
		default:
			if m.Name != to {
				b.Members = append(b.Members, m.brief(now.Sub(m.seenAt)))
			}
		}
	}
	b.Fresh.Set = ring.set
	for _, i := range plan.Fresh {
		m, age := ring.records[i], time.Duration(0)
		if m != p.own {
			age = now.Sub(m.seenAt)
		}
		b.Fresh.Add(i, m.Version.Seq, age)
	}
	return strikeAge
}

// mergeRefreshes records that members were heard of whose content has not changed. The caller
// holds mu.
func (p *peers) mergeRefreshes(now time.Time, f *gossip.Refreshes) {
	ring := p.currentRing(now)
	if f.Check() != nil || f.Set != ring.set {
		return // the next digest asks for everything
	}
	for i, place := range f.Places {
		if int(place) >= len(ring.records) {
			continue
		}
		m := ring.records[place]
		if m == p.own || m.Version.Seq == 0 || f.Seqs[i] <= m.Version.Seq || f.Seqs[i]-m.Version.Seq > maxSeqAhead {
			continue
		}
		m.Version.Seq = f.Seqs[i]
		m.seenAt = later(m.seenAt, now.Add(-time.Duration(f.Ages[i])*time.Millisecond))
	}
}

// brief returns the member without what never changes in a run. One of unknown version comes
// from a former build and stays whole.
func (m *peerRecord) brief(age time.Duration) Member {
	b := m.Member
	b.Age = age
	if b.Version.Seq > 0 {
		b.Address, b.Centre, b.CPU, b.Brief = "", "", 0, true
	}
	return b
}

// complete adds what a brief member leaves out from the record of its run. It returns false if
// the run is unknown, or m tells no content.
func (m *Member) complete(known *peerRecord) bool {
	if known == nil || known.Boot != m.Boot || m.Version.Seq == 0 {
		return false
	}
	m.Address, m.Centre, m.CPU, m.Brief = known.Address, known.Centre, known.CPU, false
	return true
}
