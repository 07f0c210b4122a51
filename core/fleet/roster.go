package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

// LapseGrace is the time after the store's return for which an upstream is still
// used whose entry vanished while the store was away. Entries of live upstreams are
// back within about two seconds.
const LapseGrace = 2500 * time.Millisecond

// Roster holds the upstreams that registered themselves. It is not safe for
// concurrent use.
type Roster struct {
	entries map[wire.UpstreamID]Upstream
	lapsed  map[wire.UpstreamID]Upstream
	// graceEnd is the time up to which missing entries count as lapsed; zero while
	// the store is away.
	graceEnd  time.Time
	storeLost bool
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: make(map[wire.UpstreamID]Upstream), lapsed: make(map[wire.UpstreamID]Upstream)}
}

// StoreLost records that the store can't be read.
func (r *Roster) StoreLost() { r.storeLost = true }

// StoreRegained records that the store was read again after it was away.
func (r *Roster) StoreRegained(now time.Time) {
	if !r.storeLost {
		return
	}
	r.storeLost = false
	r.graceEnd = now.Add(LapseGrace)
}

// Put adds or replaces an entry.
func (r *Roster) Put(u Upstream) {
	r.entries[u.ID] = u
	delete(r.lapsed, u.ID)
}

// Remove drops an entry. Around an outage of the store an upstream that did not
// announce its leaving stays in use until LapseGrace after the store's return.
func (r *Roster) Remove(id wire.UpstreamID, now time.Time) {
	u, ok := r.entries[id]
	if !ok {
		return
	}
	delete(r.entries, id)
	if !u.Draining && (r.storeLost || now.Before(r.graceEnd)) {
		r.lapsed[id] = u
	}
}

// Replace sets all entries after a full listing.
func (r *Roster) Replace(all []Upstream, now time.Time) {
	next := make(map[wire.UpstreamID]bool, len(all))
	for _, u := range all {
		next[u.ID] = true
		r.Put(u)
	}
	for _, id := range slices.Collect(maps.Keys(r.entries)) {
		if !next[id] {
			r.Remove(id, now)
		}
	}
}

// Usable returns the upstreams that may receive work, by service and in the order
// of their ids: those that are listed and not draining, and those that lapsed.
func (r *Roster) Usable(now time.Time) map[ServiceID][]Upstream {
	if !r.storeLost && !now.Before(r.graceEnd) {
		clear(r.lapsed)
	}
	out := make(map[ServiceID][]Upstream)
	for _, set := range []map[wire.UpstreamID]Upstream{r.entries, r.lapsed} {
		for _, u := range set {
			if !u.Draining {
				out[u.Service] = append(out[u.Service], u)
			}
		}
	}
	for _, us := range out {
		slices.SortFunc(us, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// Entries returns the listed upstreams in no particular order.
func (r *Roster) Entries() []Upstream { return slices.Collect(maps.Values(r.entries)) }

// Len returns the number of listed and of lapsed upstreams.
func (r *Roster) Len() (listed, lapsed int) { return len(r.entries), len(r.lapsed) }
