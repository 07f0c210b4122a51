package origin

import (
	"cmp"
	"slices"

	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
)

// copies is the number of routers that hold the record of a stream, beside the one that
// began it.
const copies = 2

// Owners returns the routers that hold the record of a stream: those with the highest
// rendezvous hashes, in several data centres if there are any. Routers that know the same
// routers agree on them.
func Owners(id wire.RequestID, rs []shard.Router) []wire.HostID {
	return pick(ranked(id, rs), copies)
}

// Holders returns the routers to ask for the record of a stream: its owners and one more,
// since an owner may have started or stopped after the stream began.
func Holders(id wire.RequestID, rs []shard.Router) []wire.HostID {
	order := ranked(id, rs)
	holders := pick(order, copies)
	for _, r := range order {
		if len(holders) <= copies && !slices.Contains(holders, r.Name) {
			holders = append(holders, r.Name)
		}
	}
	return holders
}

// ranked returns the routers in descending order of their hash for id.
func ranked(id wire.RequestID, rs []shard.Router) []shard.Router {
	names := make([]wire.HostID, len(rs))
	for i, r := range rs {
		names[i] = r.Name
	}
	order := slices.Clone(rs)
	slices.SortFunc(order, func(a, b shard.Router) int {
		return cmp.Compare(route.Rank(string(id), names, a.Name), route.Rank(string(id), names, b.Name))
	})
	return order
}

// pick returns the first n routers of an order, at first one for each data centre.
func pick(order []shard.Router, n int) (out []wire.HostID) {
	centres := map[wire.DataCentreID]bool{}
	for _, r := range order {
		if len(out) < n && !centres[r.Centre] {
			centres[r.Centre] = true
			out = append(out, r.Name)
		}
	}
	for _, r := range order {
		if len(out) < n && !slices.Contains(out, r.Name) {
			out = append(out, r.Name)
		}
	}
	return out
}
