package route

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

const size = 24

// A fixed seed makes every run check the same cases; the flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func newFleet(routers, replicas, regions int) (rs []Router, ps []Replica) {
	for i := range routers {
		rs = append(rs, Router{wire.HostID(fmt.Sprintf("router-%d", i)), wire.RegionID(fmt.Sprint(i % regions))})
	}
	for i := range replicas {
		ps = append(ps, Replica{wire.UpstreamID(fmt.Sprintf("up-%d", i)), wire.RegionID(fmt.Sprint(i % regions))})
	}
	return rs, ps
}

// TestSubsetCovers guards against replicas with too few sessions, routers without
// replicas, and subsets that depend on the order of the lists.
func TestSubsetCovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		region := rapid.Custom(func(t *rapid.T) wire.RegionID {
			return wire.RegionID(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "region")))
		})
		rs, ps := newFleet(rapid.IntRange(1, 40).Draw(t, "routers"), rapid.IntRange(1, 300).Draw(t, "replicas"), 1)
		routersIn := map[wire.RegionID]int{}
		for i := range rs {
			rs[i].Region = region.Draw(t, "router")
			routersIn[rs[i].Region]++
		}
		for i := range ps {
			ps[i].Region = region.Draw(t, "replica")
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		holders, localHolders := map[wire.UpstreamID]int{}, map[wire.UpstreamID]int{}
		regions := map[wire.UpstreamID]wire.RegionID{}
		for _, p := range ps {
			regions[p.Upstream] = p.Region
		}
		for _, r := range slices.Clone(rs) {
			rng.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
			rng.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
			got := Subset(r.Name, rs, ps, size)
			if len(got) < min(size/2, len(ps)) || !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != len(got) {
				t.Fatalf("router %s holds %v of %d replicas", r.Name, got, len(ps))
			}
			for _, u := range got {
				holders[u]++
				if regions[u] == r.Region {
					localHolders[u]++
				}
			}
		}
		for u, region := range regions {
			if holders[u] < min(3, len(rs)) || localHolders[u] < min(3, routersIn[region]) && routersIn[region] >= 3 {
				t.Fatalf("%s has %d routers, %d of its region", u, holders[u], localHolders[u])
			}
		}
	})
}

// TestSubsetEven guards against an uneven number of sessions per router or replica
// while the fleet changes.
func TestSubsetEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs, ps := newFleet(12, 300, 1)
		for step := range 3 {
			holders, mean := map[wire.UpstreamID]int{}, 3*len(ps)/len(rs)
			for _, r := range rs {
				got := Subset(r.Name, rs, ps, size)
				if len(got) < mean/2 || len(got) > mean*8/5 {
					t.Fatalf("step %d: router %s holds %d replicas, mean %d", step, r.Name, len(got), mean)
				}
				for _, u := range got {
					holders[u]++
				}
			}
			for _, p := range ps {
				if holders[p.Upstream] != 3 {
					t.Fatalf("step %d: %s is held by %d routers", step, p.Upstream, holders[p.Upstream])
				}
			}
			leaving := rapid.IntRange(0, 3).Draw(t, "leave")
			rs, ps = slices.Delete(rs, 1, 1+leaving), slices.Delete(ps, 10, 10+20*leaving)
			for n := range rapid.IntRange(0, 3).Draw(t, "join") {
				rs = append(rs, Router{wire.HostID(fmt.Sprintf("new-%d-%d", step, n)), "0"})
				ps = append(ps, Replica{wire.UpstreamID(fmt.Sprintf("new-%d-%d", step, n)), "0"})
			}
		}
	})
}

// TestSubsetMove guards against moving the sessions of other routers when a router
// leaves or joins.
func TestSubsetMove(t *testing.T) {
	rs, ps := newFleet(40, 2000, 1)
	gained := 0
	for _, r := range rs[1:] {
		before, after := Subset(r.Name, rs, ps, size), Subset(r.Name, rs[1:], ps, size)
		for _, u := range before {
			assert.Assert(t, slices.Contains(after, u))
		}
		gained += len(after) - len(before)
	}
	assert.Equal(t, gained, len(Subset(rs[0].Name, rs, ps, size)))
	assert.Assert(t, Subset("absent", rs, ps, size) == nil)
}

// TestSubsetRegions guards against routers that hold all replicas of their region
// because other regions have more routers, and against routers in a region without
// replicas that all choose the same ones.
func TestSubsetRegions(t *testing.T) {
	var rs []Router
	for i := range 110 {
		region := wire.RegionID("b")
		if i < 20 {
			region = wire.RegionID("ac"[i/10:][:1])
		}
		rs = append(rs, Router{wire.HostID(fmt.Sprint("router-", i)), region})
	}
	_, ps := newFleet(1, 110, 1)
	for i := range ps {
		ps[i].Region = wire.RegionID("ab"[i/100:][:1])
	}
	distant := map[wire.UpstreamID]bool{}
	for _, r := range rs[:20] {
		got := Subset(r.Name, rs, ps, size)
		if r.Region == "a" {
			assert.Assert(t, len(got) >= 12 && len(got) <= 48, "%s holds %d", r.Name, len(got))
			continue
		}
		assert.Equal(t, len(got), size/2)
		for _, u := range got {
			distant[u] = true
		}
	}
	assert.Assert(t, len(distant) > 60, "10 routers hold %d replicas in all", len(distant))
}

func BenchmarkSubset(b *testing.B) {
	rs, ps := newFleet(370, 11_000, 4)
	for b.Loop() {
		Subset(rs[7].Name, rs, ps, size)
	}
}
