package route

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

const (
	// minRoutersPerReplica is the least number of routers that hold a session to each
	// replica, so that it stays in use while two of them fail or restart.
	minRoutersPerReplica = 3
	// minSubsetDivisor is the part of size, as 1/minSubsetDivisor, that every router holds
	// at least. A region with few or no replicas of a pool needs it to reach
	// the pool at all.
	minSubsetDivisor = 2
)

// Replica is one upstream of a pool.
type Replica struct {
	Upstream wire.UpstreamID
	Region   wire.RegionID
}

// Router is one router of the fleet.
type Router struct {
	Name   wire.HostID
	Region wire.RegionID
}

// Subset returns the replicas of pool to which the router self holds sessions,
// in name order. Routers that agree on routers and pool together cover every
// replica. The order of routers and pool doesn't matter.
//
// Each replica takes the R routers with the highest rendezvous hash, chosen
// among those of its region if there are at least 3 and among all otherwise,
// with R = max(3, size x routers / replicas). For a region with at least 3
// routers R counts the routers and replicas of that region, which keeps a
// router near size replicas when regions differ. A router that comes to fewer
// than size/2 replicas adds those of the pool with the highest hash for it.
//
// The result is empty when routers doesn't list self.
func Subset(self wire.HostID, routers []Router, pool []Replica, size int) []wire.UpstreamID {
	at := slices.IndexFunc(routers, func(r Router) bool { return r.Name == self })
	if at < 0 || len(pool) == 0 {
		return nil
	}
	own := hashedName{sum: xxhash.Sum64String(string(self)), name: string(self)}
	groups := groupRouters(routers, pool, size)
	var subset []wire.UpstreamID
	rest := make([]weightedUpstream, 0, len(pool))
	for _, p := range pool {
		key := xxhash.Sum64String(string(p.Upstream))
		g := groups[p.Region]
		if g.selects(own, routers[at].Region, key) {
			subset = append(subset, p.Upstream)
			continue
		}
		rest = append(rest, weightedUpstream{rendezvousHash(own.sum, key), p.Upstream})
	}
	if lack := min(max(size/minSubsetDivisor, 1), len(pool)) - len(subset); lack > 0 {
		slices.SortFunc(rest, func(a, b weightedUpstream) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.upstream, b.upstream))
		})
		for _, r := range rest[:lack] {
			subset = append(subset, r.upstream)
		}
	}
	slices.Sort(subset)
	return subset
}

type hashedName struct {
	sum  uint64
	name string
}

type weightedUpstream struct {
	weight   uint64
	upstream wire.UpstreamID
}

// routerGroup holds the routers among which the replicas of a region choose.
type routerGroup struct {
	region     wire.RegionID
	allRegions bool // routers of every region
	routers    []hashedName
	perReplica int // routers per replica
}

// groupRouters returns the routers for the replicas of each region of the pool.
func groupRouters(routers []Router, pool []Replica, size int) map[wire.RegionID]*routerGroup {
	everyone := &routerGroup{allRegions: true}
	local := make(map[wire.RegionID]*routerGroup)
	for _, r := range routers {
		h := hashedName{xxhash.Sum64String(string(r.Name)), string(r.Name)}
		everyone.routers = append(everyone.routers, h)
		g := local[r.Region]
		if g == nil {
			g = &routerGroup{region: r.Region}
			local[r.Region] = g
		}
		g.routers = append(g.routers, h)
	}
	everyone.perReplica = routersPerReplica(len(routers), len(pool), size)

	replicas := make(map[wire.RegionID]int)
	for _, p := range pool {
		replicas[p.Region]++
	}
	groups := make(map[wire.RegionID]*routerGroup, len(replicas))
	for region, n := range replicas {
		g := local[region]
		if g == nil || len(g.routers) < minRoutersPerReplica {
			groups[region] = everyone
			continue
		}
		g.perReplica = routersPerReplica(len(g.routers), n, size)
		groups[region] = g
	}
	return groups
}

func routersPerReplica(routers, replicas, size int) int {
	return max(minRoutersPerReplica, (size*routers+replicas-1)/replicas)
}

// selects reports whether own is among the g.need routers of the group with the
// highest hash for the replica with the given key.
func (g *routerGroup) selects(own hashedName, region wire.RegionID, key uint64) bool {
	if !g.allRegions && g.region != region {
		return false
	}
	if len(g.routers) <= g.perReplica {
		return true
	}
	weight := rendezvousHash(own.sum, key)
	above := 0
	for _, r := range g.routers {
		w := rendezvousHash(r.sum, key)
		if w > weight || w == weight && r.name < own.name {
			above++
			if above >= g.perReplica {
				return false
			}
		}
	}
	return true
}

// rendezvousHash is the rendezvous hash of a router and an upstream, given by the hashes
// of their names so that a pair costs the same whatever the length of the names.
func rendezvousHash(router, upstream uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], router)
	binary.LittleEndian.PutUint64(b[8:], upstream)
	return xxhash.Sum64(b[:])
}
