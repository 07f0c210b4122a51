package route

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

const (
	// minRoutersPerReplica is the minimum number of routers that hold a session to
	// each replica, so that it stays in use while two of them fail or restart.
	minRoutersPerReplica = 3
	// minSubsetDivisor sets the minimum subset of a router to size/minSubsetDivisor.
	// Routers in a region with few or no replicas of a pool need it to reach the
	// pool at all.
	minSubsetDivisor = 2
)

// Replica is an upstream of a pool and its region.
type Replica struct {
	Upstream wire.UpstreamID
	Region   wire.RegionID
}

// Router is a router of the fleet and its region.
type Router struct {
	Name   wire.HostID
	Region wire.RegionID
}

// Subset returns the replicas of pool to which the router self holds sessions,
// sorted by name. Routers with the same view of routers and pool together cover
// every replica. The order of routers and pool doesn't matter.
//
// Each replica is assigned to the R routers with the highest rendezvous hash, chosen
// among those of its region if there are at least 3 and among all otherwise,
// with R = max(3, size x routers / replicas), rounded up. For a region with at
// least 3 routers, R counts the routers and replicas of that region only, which
// keeps each router near size replicas when regions differ. A router with fewer
// than size/2 replicas adds those of the pool with the highest hash for it.
//
// The result is nil if routers doesn't list self or pool is empty.
func Subset(self wire.HostID, routers []Router, pool []Replica, size int) []wire.UpstreamID {
	at := slices.IndexFunc(routers, func(r Router) bool { return r.Name == self })
	if at < 0 || len(pool) == 0 {
		return nil
	}
	own := hashedName{hash: xxhash.Sum64String(string(self)), name: string(self)}
	groups := groupRouters(routers, pool, size)
	var subset []wire.UpstreamID
	rest := make([]hashedUpstream, 0, len(pool))
	for _, p := range pool {
		key := xxhash.Sum64String(string(p.Upstream))
		g := groups[p.Region]
		if g.selects(own, routers[at].Region, key) {
			subset = append(subset, p.Upstream)
			continue
		}
		rest = append(rest, hashedUpstream{rendezvousHash(own.hash, key), p.Upstream})
	}
	if lack := min(max(size/minSubsetDivisor, 1), len(pool)) - len(subset); lack > 0 {
		slices.SortFunc(rest, func(a, b hashedUpstream) int {
			return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.upstream, b.upstream))
		})
		for _, r := range rest[:lack] {
			subset = append(subset, r.upstream)
		}
	}
	slices.Sort(subset)
	return subset
}

// hashedName is a router's name and its hash.
type hashedName struct {
	hash uint64
	name string
}

// hashedUpstream is an upstream and its rendezvous hash with the router.
type hashedUpstream struct {
	hash     uint64
	upstream wire.UpstreamID
}

// routerGroup is the set of routers to which the replicas of a region are assigned.
type routerGroup struct {
	region     wire.RegionID
	allRegions bool // whether the group has the routers of every region
	routers    []hashedName
	perReplica int // number of routers assigned to each replica
}

// groupRouters returns the router group for each region of the pool.
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

// routersPerReplica returns the number of routers to assign to each replica so that a
// router holds about size replicas, at least minRoutersPerReplica.
func routersPerReplica(routers, replicas, size int) int {
	return max(minRoutersPerReplica, (size*routers+replicas-1)/replicas)
}

// selects reports whether the replica with the given key is assigned to the router
// own of the given region: own is among the g.perReplica routers of the group with
// the highest hash for it.
func (g *routerGroup) selects(own hashedName, region wire.RegionID, key uint64) bool {
	if !g.allRegions && g.region != region {
		return false
	}
	if len(g.routers) <= g.perReplica {
		return true
	}
	weight := rendezvousHash(own.hash, key)
	above := 0
	for _, r := range g.routers {
		w := rendezvousHash(r.hash, key)
		if w > weight || w == weight && r.name < own.name {
			above++
			if above >= g.perReplica {
				return false
			}
		}
	}
	return true
}

// rendezvousHash returns the rendezvous hash of a router and an upstream. It takes the
// hashes of their names, so that its cost doesn't depend on the length of the names.
func rendezvousHash(router, upstream uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], router)
	binary.LittleEndian.PutUint64(b[8:], upstream)
	return xxhash.Sum64(b[:])
}
