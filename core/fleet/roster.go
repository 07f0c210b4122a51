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
	// graceEnd is the end of the grace period that starts when the store becomes readable
	// again. Until then, the upstreams of removed entries stay in use as lapsed.
	graceEnd  time.Time
	storeLost bool
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: make(map[wire.UpstreamID]Upstream), lapsed: make(map[wire.UpstreamID]Upstream)}
}

// StoreLost records that the store can no longer be read.
func (r *Roster) StoreLost() { r.storeLost = true }

// StoreRegained records that the store was read. The first call after StoreLost starts
// the grace period of LapseGrace.
func (r *Roster) StoreRegained(now time.Time) {
	if !r.storeLost {
		return
	}
	r.storeLost = false
	r.graceEnd = now.Add(LapseGrace)
}

// Put adds or replaces the entry of an upstream.
func (r *Roster) Put(u Upstream) {
	r.entries[u.ID] = u
	delete(r.lapsed, u.ID)
}

// Remove deletes an entry. During an outage of the store, and for LapseGrace after
// it, an upstream that was not draining stays in use as lapsed until that time ends.
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
// those that are listed and not draining, and those that lapsed.
func (r *Roster) Usable(now time.Time) map[ServiceID][]Upstream {
	if !r.storeLost && !now.Before(r.graceEnd) {
		clear(r.lapsed)
	}
	usable := make(map[ServiceID][]Upstream)
	for _, set := range []map[wire.UpstreamID]Upstream{r.entries, r.lapsed} {
		for _, u := range set {
			if !u.Draining {
				usable[u.Service] = append(usable[u.Service], u)
			}
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
