package shard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// upstreams returns upstreams of data centres a, b, c and so on, as many in each as counts
// says.
func upstreams(counts ...int) (us []fleet.Upstream) {
	for i, n := range counts {
		c := wire.DataCentreID(rune('a' + i))
		for j := range n {
			us = append(us, fleet.Upstream{ID: wire.UpstreamID(fmt.Sprint(c, j)), Centre: c})
		}
	}
	return us
}

func ids(shards []Shard) (out []ID) {
	for _, s := range shards {
		out = append(out, s.ID)
	}
	return out
}

// placeOf returns the queue of each upstream.
func placeOf(shards []Shard) map[wire.UpstreamID]ID {
	out := map[wire.UpstreamID]ID{}
	for _, s := range shards {
		for _, u := range s.Upstreams {
			out[u.ID] = s.ID
		}
	}
	return out
}

// TestDivide guards against upstreams that are lost or in two queues, and against queues
// that are too small to fill calls.
func TestDivide(t *testing.T) {
	for _, tc := range []struct {
		name   string
		counts []int
		want   []ID
	}{
		{"none", nil, []ID{{"s", "", 0}}},
		{"few", []int{8, 8, 8}, []ID{{"s", "", 0}}},
		{"one a data centre", []int{10, 9, 9}, []ID{{"s", "a", 0}, {"s", "b", 0}, {"s", "c", 0}}},
		{"two a data centre", []int{20, 9}, []ID{{"s", "a", 0}, {"s", "a", 1}, {"s", "b", 0}}},
		{"small data centres share one", []int{20, 3, 2}, []ID{{"s", "", 0}, {"s", "a", 0}, {"s", "a", 1}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			us := upstreams(tc.counts...)
			got := Divide("s", us)
			assert.DeepEqual(t, ids(got), tc.want)
			assert.Equal(t, len(placeOf(got)), len(us))
			slices.Reverse(us)
			assert.DeepEqual(t, placeOf(Divide("s", us)), placeOf(got))
		})
	}
}

// TestDivideStable guards against an upstream that leaves and moves others to new queues,
// which loses what the owners know of their room.
func TestDivideStable(t *testing.T) {
	us := upstreams(30, 20)
	before := placeOf(Divide("s", us))
	for i, u := range us {
		after := placeOf(Divide("s", slices.Delete(slices.Clone(us), i, i+1)))
		for id, place := range after {
			assert.Equal(t, place, before[id], "%s moved when %s left", id, u.ID)
		}
	}
}

// routers returns three large and five small routers in each of n data centres.
func routers(n int) (rs []Router) {
	for i := range n {
		for j := range 8 {
			cpu := 0.8
			if j >= 3 {
				cpu = 0.35
			}
			rs = append(rs, Router{wire.HostID(fmt.Sprint("r", i, j)), wire.DataCentreID(rune('a' + i)), cpu})
		}
	}
	return rs
}

// TestAssign guards against queues whose owner is in another data centre, against small
// routers and single routers that carry the work, and against a router whose loss moves
// queues of other data centres.
func TestAssign(t *testing.T) {
	var all []ID
	for _, s := range []fleet.ServiceID{"archive", "school", "parcels"} {
		all = append(all, ids(Divide(s, upstreams(9, 9, 9, 9, 9)))...)
	}
	rs := routers(5)
	byName := map[wire.HostID]Router{}
	for _, r := range rs {
		byName[r.Name] = r
	}
	owners := Assign(all, rs)
	owned := map[wire.HostID]int{}
	for id, name := range owners {
		owned[name]++
		assert.Equal(t, byName[name].Centre, id.Centre)
		assert.Assert(t, byName[name].CPU > 0.5, "%s owns %s", name, id)
		assert.Assert(t, owned[name] == 1, "%s owns %d queues", name, owned[name])
	}
	assert.Equal(t, len(owners), len(all))
	t.Run("order", func(t *testing.T) {
		shuffled := slices.Clone(rs)
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(rs), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		assert.DeepEqual(t, Assign(all, shuffled), owners)
	})
	t.Run("loss", func(t *testing.T) {
		for i, r := range rs {
			for id, name := range Assign(all, slices.Delete(slices.Clone(rs), i, i+1)) {
				assert.Assert(t, name == owners[id] || id.Centre == r.Centre && owned[r.Name] > 0, "%s moved when %s was lost", id, r.Name)
			}
		}
	})
	t.Run("no router in the data centre", func(t *testing.T) {
		for id, name := range Assign(all, routers(1)) {
			assert.Assert(t, name != "", "%s has no owner", id)
		}
	})
	t.Run("no router", func(t *testing.T) { assert.Equal(t, len(Assign(all[:1], nil)), 0) })
}

// TestAssignUndivided guards against small routers and single routers that own the queues of
// whole services, and against a router whose loss moves the queues of others.
func TestAssignUndivided(t *testing.T) {
	rs := routers(3)
	byName := map[wire.HostID]Router{}
	for _, r := range rs {
		byName[r.Name] = r
	}
	for i := range 50 {
		var all []ID
		for j := range 3 {
			all = append(all, ID{Service: fleet.ServiceID(fmt.Sprint("s", i, j))})
		}
		owners := Assign(all, rs)
		owned := map[wire.HostID]int{}
		for id, name := range owners {
			owned[name]++
			assert.Assert(t, byName[name].CPU > 0.5, "%s owns %s", name, id)
			assert.Assert(t, owned[name] == 1, "%s owns %d queues", name, owned[name])
		}
		for k, r := range rs {
			for id, name := range Assign(all, slices.Delete(slices.Clone(rs), k, k+1)) {
				assert.Assert(t, name == owners[id] || owned[r.Name] > 0, "%s moved when %s was lost", id, r.Name)
			}
		}
	}
}

// TestChoose guards against orders that leave their data centre for a small gain, and
// against those that stay in one that is overloaded.
func TestChoose(t *testing.T) {
	const detour = 100 * time.Millisecond
	first := func(int) int { return 0 }
	a0, a1, b0, mixed := ID{"s", "a", 0}, ID{"s", "a", 1}, ID{"s", "b", 0}, ID{"s", "", 0}
	for _, tc := range []struct {
		name string
		cs   []Candidate
		want int
	}{
		{"none", nil, -1},
		{"own data centre", []Candidate{{b0, 0}, {a0, detour}}, 1},
		{"shorter of two", []Candidate{{a0, 2}, {a1, 1}}, 1},
		{"overloaded", []Candidate{{a0, detour + 1}, {b0, 0}}, 1},
		{"only elsewhere", []Candidate{{b0, time.Second}}, 0},
		{"several data centres", []Candidate{{b0, 0}, {mixed, 1}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, Choose(tc.cs, "a", detour, first), tc.want) })
	}
}

func ExampleID_String() {
	fmt.Println(ID{Service: "archive"}, ID{"archive", "palermo", 0})
	// Output: archive archive/palermo/0
}
