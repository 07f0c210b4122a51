package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

var plain = []WeightedService{{Service: "desk", Weight: 1}}

func config(routes ...Route) *Config {
	return &Config{
		Version:  3,
		Services: []Service{{ID: "desk"}, {ID: "archive", StageCalls: &StageCalls{MaxBatch: 8}}},
		Routes:   routes,
		Teams:    []Team{{ID: "folders", Keys: []string{"k1", "k2"}}},
	}
}

// TestMatch guards against a request that runs on a route of a shorter prefix, of
// another host, or of a path that only looks like the prefix.
func TestMatch(t *testing.T) {
	c := config(
		Route{ID: "all", Host: "a.example", PathPrefix: "/", Split: plain},
		Route{ID: "kits", Host: "a.example", PathPrefix: "/kits/", Split: plain},
		Route{ID: "deep", Host: "a.example", PathPrefix: "/kits/new/", Split: plain},
		Route{ID: "only", Host: "b.example", PathPrefix: "/kits/", Split: plain},
	)
	assert.NilError(t, c.Index())
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/kits/new/7", "deep"},
		{"a.example", "/kits/newer", "kits"},
		{"a.example", "/kits", "all"},
		{"A.Example:8080", "/kits/7", "kits"},
		{"b.example", "/kits/7", "only"},
		{"b.example", "/", ""},
		{"c.example", "/kits/", ""},
	} {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			got := ""
			if r := c.Match(tc.host, tc.path); r != nil {
				got = string(r.ID)
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

// TestIndex guards against a configuration that would fail when a request needs it.
func TestIndex(t *testing.T) {
	for _, tc := range []struct {
		name  string
		route Route
		err   string
	}{
		{"good", Route{ID: "r", PathPrefix: "/a/", Split: plain, Stages: []Stage{{Service: "archive"}}}, ""},
		{"prefix", Route{ID: "r", PathPrefix: "/a", Split: plain}, `route r: prefix "/a" does not begin and end with a slash`},
		{"no service", Route{ID: "r", PathPrefix: "/a/"}, "route r: no service"},
		{"unknown service", Route{ID: "r", PathPrefix: "/a/", Split: []WeightedService{{Service: "x"}}}, "route r: unknown service x"},
		{"stage without calls", Route{ID: "r", PathPrefix: "/a/", Split: plain, Stages: []Stage{{Service: "desk"}}}, "route r: stage 0: service desk takes no stage calls"},
		{"stage after itself", Route{ID: "r", PathPrefix: "/a/", Split: plain, Stages: []Stage{{Service: "archive", After: []int{0}}}}, "route r: stage 0 comes after stage 0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := config(tc.route).Index()
			if tc.err == "" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, "configuration 3: "+tc.err)
		})
	}
	c := config()
	c.Version = 0
	assert.Error(t, c.Index(), "configuration 0: version is not positive")
}

func TestTeam(t *testing.T) {
	c := config()
	assert.NilError(t, c.Index())
	assert.Equal(t, c.Team("k2").ID, wire.TeamID("folders"))
	assert.Assert(t, c.Team("k3") == nil)
	assert.Assert(t, c.Team("") == nil)
}

// TestAllowed guards against a request that leaves the regions of its route or team.
func TestAllowed(t *testing.T) {
	r := &Route{Regions: []wire.RegionID{"east", "west"}}
	team := &Team{Regions: []wire.RegionID{"west"}}
	assert.Assert(t, Allowed(r, nil, "east"))
	assert.Assert(t, !Allowed(r, nil, "north"))
	assert.Assert(t, !Allowed(r, team, "east"))
	assert.Assert(t, Allowed(r, team, "west"))
	assert.Assert(t, Allowed(&Route{}, &Team{}, "north"))
}

func TestChoose(t *testing.T) {
	r := &Route{Split: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	assert.Equal(t, r.ChooseService(0), ServiceID("a"))
	assert.Equal(t, r.ChooseService(0.89), ServiceID("a"))
	assert.Equal(t, r.ChooseService(0.91), ServiceID("b"))
	assert.Equal(t, r.ChooseService(0.999999), ServiceID("b"))
	assert.Equal(t, (&Route{Split: []WeightedService{{"a", 0}}}).ChooseService(0.5), ServiceID("a"))
}

func TestStages(t *testing.T) {
	stages := []Stage{{ResultSize: 100}, {ResultSize: 8}, {After: []int{1}, ResultSize: 60}, {After: []int{2}, ResultSize: 6}}
	assert.DeepEqual(t, FinalStages(stages), []int{0, 3})
	assert.Equal(t, LastConsumer(stages, 0), -1)
	assert.Equal(t, LastConsumer(stages, 1), 2)
	n := &RequestSpec{PieceCounts: []int{2, 1, 8, 16}}
	assert.Equal(t, TransferBytes(stages, n, 0), Bytes(100))
	assert.Equal(t, TransferBytes(stages, n, 2), Bytes(8+60*16))
	assert.Equal(t, TransferBytes(stages, n, 3), Bytes(60*8+6))
	assert.Equal(t, n.PieceCount(9), 0)
}

func up(id wire.UpstreamID) Upstream { return Upstream{ID: id, Service: "desk"} }

func assertUsable(t *testing.T, r *Roster, now time.Time, want ...wire.UpstreamID) {
	t.Helper()
	var got []wire.UpstreamID
	for _, u := range r.Usable(now)["desk"] {
		got = append(got, u.ID)
	}
	assert.DeepEqual(t, got, want)
}

// TestRoster guards against work for upstreams that left, and against the loss of all
// upstreams when their entries lapse while the store is away.
func TestRoster(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := func() *Roster {
		r := NewRoster()
		r.Replace([]Upstream{up("a"), up("b"), up("c")}, now)
		return r
	}
	t.Run("draining and gone", func(t *testing.T) {
		r := fresh()
		b := up("b")
		b.Draining = true
		r.Put(b)
		r.Remove("c", now)
		assertUsable(t, r, now, "a")
	})
	t.Run("lapsed while the store was away", func(t *testing.T) {
		r := fresh()
		r.StoreLost()
		r.StoreRegained(now)
		r.Replace([]Upstream{up("a")}, now)
		assertUsable(t, r, now, "a", "b", "c")
		r.Put(up("b"))
		assertUsable(t, r, now.Add(LapseGrace), "a", "b")
	})
	t.Run("draining before the store was away", func(t *testing.T) {
		r := fresh()
		b := up("b")
		b.Draining = true
		r.Put(b)
		r.StoreLost()
		r.StoreRegained(now)
		r.Remove("b", now)
		assertUsable(t, r, now, "a", "c")
	})
	t.Run("removed long after the return", func(t *testing.T) {
		r := fresh()
		r.StoreLost()
		r.StoreRegained(now)
		r.Remove("c", now.Add(LapseGrace))
		assertUsable(t, r, now.Add(LapseGrace), "a", "b")
	})
	t.Run("a return without an absence opens no grace", func(t *testing.T) {
		r := fresh()
		r.StoreRegained(now)
		r.Remove("c", now)
		assertUsable(t, r, now, "a", "b")
	})
}
