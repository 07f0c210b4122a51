package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

// LapseGrace is the time after the store becomes readable again during which an
// upstream whose entry disappeared during the outage stays in use. Live upstreams
// register again within about two seconds.
const LapseGrace = 2500 * time.Millisecond

// Roster holds the registered upstreams. It is not safe for concurrent use.
type Roster struct {
	entries map[wire.UpstreamID]Upstream
	lapsed  map[wire.UpstreamID]Upstream // upstreams that stay in use although their entries were removed
	// departed holds the last entries that were removed, which a restored store may list
	// again.
	departed map[wire.UpstreamID]departure
	// kept holds the upstreams whose entries are newer than those in the restored store.
	kept map[wire.UpstreamID]bool
	// graceEnd is the end of the grace period that starts when the store becomes readable
	// again. Until then, the upstreams of removed entries stay in use as lapsed.
	graceEnd  time.Time
	storeLost bool
	restored  bool // whether the grace period is that of a restored store
}

// departure is an entry that was removed, and when.
type departure struct {
	Upstream
	at time.Time
}

const (
	// departureMemory is the time for which removed entries are remembered. A store is
	// restored from copies that are some seconds old.
	departureMemory = 5 * time.Minute
	// maxDepartures bounds the removed entries that are remembered; the oldest is forgotten.
	maxDepartures = 4096
)

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: make(map[wire.UpstreamID]Upstream), lapsed: make(map[wire.UpstreamID]Upstream), departed: make(map[wire.UpstreamID]departure), kept: make(map[wire.UpstreamID]bool)}
}

// StoreLost records that the store can no longer be read.
func (r *Roster) StoreLost() { r.storeLost = true }

// StoreRegained records that the store was read. The first call after StoreLost starts
// the grace period of LapseGrace.
func (r *Roster) StoreRegained(now time.Time) {
	if !r.storeLost {
		return
	}
	r.storeLost, r.restored = false, false
	r.graceEnd = now.Add(LapseGrace)
}

// StoreRestored records that the store was restored from a copy, which may lack entries of
// upstreams that are alive. It starts the grace period too.
func (r *Roster) StoreRestored(now time.Time) {
	r.StoreLost()
	r.StoreRegained(now)
	r.restored = true
}

// Put adds or replaces the entry of an upstream.
func (r *Roster) Put(u Upstream) {
	r.entries[u.ID] = u
	delete(r.lapsed, u.ID)
	delete(r.departed, u.ID)
	delete(r.kept, u.ID)
}

// LacksStart reports whether an entry lacks the start of the upstream, which the last entry taken has:
// the upstream has not written it.
func (r *Roster) LacksStart(u Upstream) bool {
	return u.Born == 0 && (r.entries[u.ID].Born != 0 || r.departed[u.ID].Born != 0)
}

// PutCopied is Put for an entry of a restored store, which may be from the copy: one that is
// older than the entry known, or not newer than one that was removed, is ignored. It reports
// whether the entry was taken.
func (r *Roster) PutCopied(u Upstream) bool {
	if known, ok := r.entries[u.ID]; ok && u.OlderThan(known) {
		r.kept[u.ID] = true
		return false
	}
	if gone, ok := r.departed[u.ID]; ok && !gone.OlderThan(u) && u.Born != 0 {
		return false
	}
	r.Put(u)
	return true
}

// Remove deletes an entry. During an outage of the store, and for LapseGrace after
// it, an upstream that was not draining stays in use as lapsed until that time ends.
func (r *Roster) Remove(id wire.UpstreamID, now time.Time) {
	u, ok := r.entries[id]
	if !ok {
		return
	}
	delete(r.entries, id)
	delete(r.kept, id)
	r.depart(u, now)
	if !u.Draining && (r.storeLost || now.Before(r.graceEnd)) {
		r.lapsed[id] = u
	}
}

// depart remembers an entry that was removed.
func (r *Roster) depart(u Upstream, now time.Time) {
	if len(r.departed) >= maxDepartures {
		oldest := u.ID
		for id, d := range r.departed {
			if o, ok := r.departed[oldest]; !ok || d.at.Before(o.at) {
				oldest = id
			}
		}
		delete(r.departed, oldest)
	}
	r.departed[u.ID] = departure{u, now}
}

// RosterMemory is what a roster knows and a restored store may have lost.
type RosterMemory struct {
	Newer    []Upstream // entries that are newer than those in the store
	Departed []Upstream // last entries that were removed
}

// Memory returns what the roster knows and the store may have lost.
func (r *Roster) Memory() (m RosterMemory) {
	for id := range r.kept {
		m.Newer = append(m.Newer, r.entries[id])
	}
	for _, d := range r.departed {
		m.Departed = append(m.Departed, d.Upstream)
	}
	return m
}

// Learn adds the memory of another router's roster. Entries that are older than what it
// holds are replaced or removed.
func (r *Roster) Learn(m RosterMemory, now time.Time) {
	for _, u := range m.Newer {
		if known, ok := r.entries[u.ID]; ok && known.OlderThan(u) {
			r.entries[u.ID] = u
			r.kept[u.ID] = true
		}
	}
	for _, u := range m.Departed {
		if known, ok := r.entries[u.ID]; ok && (u.OlderThan(known) || u.Born == 0 || known.Born == 0) {
			continue
		}
		if gone, ok := r.departed[u.ID]; ok && u.OlderThan(gone.Upstream) {
			continue
		}
		delete(r.entries, u.ID)
		delete(r.kept, u.ID)
		r.depart(u, now)
	}
}

// Replace sets the entries to those of a full listing of the store. Entries that the
// listing lacks are removed as by Remove.
func (r *Roster) Replace(listing []Upstream, now time.Time) {
	listed := make(map[wire.UpstreamID]bool, len(listing))
	for _, u := range listing {
		listed[u.ID] = true
		r.Put(u)
	}
	for _, id := range slices.Collect(maps.Keys(r.entries)) {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// Usable returns the upstreams that may receive work, by service and sorted by id:
// those that are listed and not draining, and those that lapsed. An outage of the store keeps
// all upstreams from registering, so if most of a service are listed, the others have left:
// lapsed ones count only if they are at least half, or if the store was restored.
func (r *Roster) Usable(now time.Time) map[ServiceID][]Upstream {
	if !r.storeLost && !now.Before(r.graceEnd) {
		clear(r.lapsed)
	}
	maps.DeleteFunc(r.departed, func(_ wire.UpstreamID, d departure) bool { return now.Sub(d.at) > departureMemory })
	usable := make(map[ServiceID][]Upstream)
	for _, u := range r.entries {
		if !u.Draining {
			usable[u.Service] = append(usable[u.Service], u)
		}
	}
	lapsed := make(map[ServiceID][]Upstream)
	for _, u := range r.lapsed {
		lapsed[u.Service] = append(lapsed[u.Service], u)
	}
	for svc, us := range lapsed {
		if r.restored || len(us) >= len(usable[svc]) {
			usable[svc] = append(usable[svc], us...)
		}
	}
	for _, us := range usable {
		slices.SortFunc(us, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return usable
}

// Entries returns the listed upstreams in no particular order.
func (r *Roster) Entries() []Upstream { return slices.Collect(maps.Values(r.entries)) }

// Len returns the numbers of listed and lapsed upstreams.
func (r *Roster) Len() (listed, lapsed int) { return len(r.entries), len(r.lapsed) }
