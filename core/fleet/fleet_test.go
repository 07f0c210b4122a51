package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

var deskOnly = []WeightedService{{Service: "desk", Weight: 1}}

func newConfig(routes ...Route) *Config {
	return &Config{
		Version:  3,
		Services: []Service{{ID: "desk"}, {ID: "archive", StageCalls: &StageCalls{MaxBatch: 8}}},
		Routes:   routes,
		Teams:    []Team{{ID: "folders", Keys: []string{"k1", "k2"}}},
	}
}

// TestMatch guards against matching a route with a shorter prefix, of another host,
// or whose prefix ends within a path segment.
func TestMatch(t *testing.T) {
	c := newConfig(
		Route{ID: "all", Host: "a.example", PathPrefix: "/", Split: deskOnly},
		Route{ID: "kits", Host: "a.example", PathPrefix: "/kits/", Split: deskOnly},
		Route{ID: "deep", Host: "a.example", PathPrefix: "/kits/new/", Split: deskOnly},
		Route{ID: "only", Host: "b.example", PathPrefix: "/kits/", Split: deskOnly},
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

// TestIndex guards against accepting a configuration that would fail later, when a
// request uses it.
func TestIndex(t *testing.T) {
	for _, tc := range []struct {
		name  string
		route Route
		err   string
	}{
		{"good", Route{ID: "r", PathPrefix: "/a/", Split: deskOnly, Stages: []Stage{{Service: "archive"}}}, ""},
		{"prefix", Route{ID: "r", PathPrefix: "/a", Split: deskOnly}, `route r: prefix "/a" does not begin and end with a slash`},
		{"no service", Route{ID: "r", PathPrefix: "/a/"}, "route r: no service"},
		{"unknown service", Route{ID: "r", PathPrefix: "/a/", Split: []WeightedService{{Service: "x"}}}, "route r: unknown service x"},
		{"stage without calls", Route{ID: "r", PathPrefix: "/a/", Split: deskOnly, Stages: []Stage{{Service: "desk"}}}, "route r: stage 0: service desk takes no stage calls"},
		{"stage after itself", Route{ID: "r", PathPrefix: "/a/", Split: deskOnly, Stages: []Stage{{Service: "archive", After: []int{0}}}}, "route r: stages depend on each other"},
		{"stages after each other", Route{ID: "r", PathPrefix: "/a/", Split: deskOnly, Stages: []Stage{{Service: "archive", After: []int{1}}, {Service: "archive", After: []int{0}}}}, "route r: stages depend on each other"},
		{"stage after none", Route{ID: "r", PathPrefix: "/a/", Split: deskOnly, Stages: []Stage{{Service: "archive", After: []int{1}}}}, "route r: stage 0 depends on stage 1, which does not exist"},
		{"stage after a later one", Route{ID: "r", PathPrefix: "/a/", Split: deskOnly, Stages: []Stage{{Service: "archive", After: []int{1}}, {Service: "archive"}}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := newConfig(tc.route).Index()
			if tc.err == "" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, "configuration 3: "+tc.err)
		})
	}
	c := newConfig()
	c.Version = 0
	assert.Error(t, c.Index(), "configuration 0: version is not positive")
}

func TestTeam(t *testing.T) {
	c := newConfig()
	assert.NilError(t, c.Index())
	assert.Equal(t, c.Team("k2").ID, wire.TeamID("folders"))
	assert.Assert(t, c.Team("k3") == nil)
	assert.Assert(t, c.Team("") == nil)
}

// TestAllowed guards against running a request outside the regions of its route or
// team.
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
	assert.Equal(t, Consumers(stages, 0), 0)
	assert.Equal(t, Consumers(stages, 1), 1)
	spec := &RequestSpec{PieceCounts: []int{2, 1, 8, 16}}
	assert.Equal(t, TransferBytes(stages, spec, 0), Bytes(100))
	assert.Equal(t, TransferBytes(stages, spec, 2), Bytes(8+60*16))
	assert.Equal(t, TransferBytes(stages, spec, 3), Bytes(60*8+6))
	assert.Equal(t, spec.PieceCount(9), 0)
}

func newUpstream(id wire.UpstreamID) Upstream { return Upstream{ID: id, Service: "desk"} }

func assertUsable(t *testing.T, r *Roster, now time.Time, want ...wire.UpstreamID) {
	t.Helper()
	var got []wire.UpstreamID
	for _, u := range r.Usable(now)["desk"] {
		got = append(got, u.ID)
	}
	assert.DeepEqual(t, got, want)
}

// TestRoster guards against sending work to upstreams that left, and against losing
// all upstreams when their entries expire during an outage of the store.
func TestRoster(t *testing.T) {
	now := time.Unix(1000, 0)
	filledRoster := func() *Roster {
		r := NewRoster()
		r.Replace([]Upstream{newUpstream("a"), newUpstream("b"), newUpstream("c")}, now)
		return r
	}
	t.Run("draining and removed", func(t *testing.T) {
		r := filledRoster()
		b := newUpstream("b")
		b.Draining = true
		r.Put(b)
		r.Remove("c", now)
		assertUsable(t, r, now, "a")
	})
	t.Run("lapsed during an outage of the store", func(t *testing.T) {
		r := filledRoster()
		r.StoreLost()
		r.StoreRegained(now)
		r.Replace([]Upstream{newUpstream("a")}, now)
		assertUsable(t, r, now, "a", "b", "c")
		r.Put(newUpstream("b"))
		assertUsable(t, r, now.Add(LapseGrace), "a", "b")
	})
	t.Run("draining before an outage of the store", func(t *testing.T) {
		r := filledRoster()
		b := newUpstream("b")
		b.Draining = true
		r.Put(b)
		r.StoreLost()
		r.StoreRegained(now)
		r.Remove("b", now)
		assertUsable(t, r, now, "a", "c")
	})
	t.Run("removed after the grace period", func(t *testing.T) {
		r := filledRoster()
		r.StoreLost()
		r.StoreRegained(now)
		r.Remove("c", now.Add(LapseGrace))
		assertUsable(t, r, now.Add(LapseGrace), "a", "b")
	})
	t.Run("removed alone after an outage of the store", func(t *testing.T) {
		r := filledRoster()
		r.StoreLost()
		r.StoreRegained(now)
		r.Remove("c", now)
		assertUsable(t, r, now, "a", "b")
	})
	t.Run("missing from a restored store", func(t *testing.T) {
		r := filledRoster()
		r.StoreRestored(now)
		r.Remove("c", now)
		assertUsable(t, r, now, "a", "b", "c")
		assertUsable(t, r, now.Add(LapseGrace), "a", "b")
	})
	t.Run("no grace period without an outage", func(t *testing.T) {
		r := filledRoster()
		r.StoreRegained(now)
		r.Remove("c", now)
		assertUsable(t, r, now, "a", "b")
	})
}

// TestCopiedEntries guards against upstreams that are used again because a restored store
// lists them as they were before they drained, left or started again.
func TestCopiedEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(born, sequence int64, draining bool) Upstream {
		u := newUpstream("a")
		u.Born, u.Sequence, u.Draining = born, sequence, draining
		return u
	}
	for _, tc := range []struct {
		name   string
		known  Upstream
		left   bool
		copied Upstream
		taken  bool
	}{
		{"draining since", entry(5, 9, true), false, entry(5, 2, false), false},
		{"left since", entry(5, 9, false), true, entry(5, 9, false), false},
		{"left since, earlier entry", entry(5, 9, false), true, entry(5, 2, false), false},
		{"started again since", entry(7, 1, false), false, entry(5, 2, false), false},
		{"start again and left since", entry(7, 1, false), true, entry(5, 2, false), false},
		{"written again", entry(5, 9, false), false, entry(5, 9, false), true},
		{"written after it was removed", entry(5, 9, false), true, entry(5, 10, false), true},
		{"started again after the copy", entry(5, 9, true), false, entry(7, 1, false), true},
		{"start unknown", entry(0, 9, false), true, entry(0, 2, false), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRoster()
			r.Put(tc.known)
			if tc.left {
				r.Remove("a", now)
			}
			assert.Equal(t, r.PutCopied(tc.copied), tc.taken)
			usable := tc.taken && !tc.copied.Draining || !tc.taken && !tc.left && !tc.known.Draining
			if usable {
				assertUsable(t, r, now, "a")
			} else {
				assertUsable(t, r, now)
			}
		})
	}
	t.Run("memory is bounded", func(t *testing.T) {
		r := NewRoster()
		for i := range int64(maxDepartures + 1) {
			u := entry(5, 1, false)
			u.ID = wire.UpstreamID(fmt.Sprint(i))
			r.Put(u)
			r.Remove(u.ID, now.Add(time.Duration(i)))
		}
		assert.Equal(t, len(r.departed), maxDepartures)
		_, ok := r.departed["0"]
		assert.Assert(t, !ok, "the oldest is forgotten first")
		r.Usable(now.Add(2 * departureMemory))
		assert.Equal(t, len(r.departed), 0)
	})
}

// TestPosition guards against revisions of different eras that are compared.
func TestPosition(t *testing.T) {
	for _, tc := range []struct {
		p, o             Position
		before, restored bool
	}{
		{Position{1, 35}, Position{1, 36}, true, false},
		{Position{1, 35}, Position{2, 34}, true, true},
		{Position{2, 34}, Position{1, 35}, false, false},
		{Position{0, 35}, Position{2, 34}, false, false},
		{Position{0, 33}, Position{2, 34}, true, false},
		{Position{2, 34}, Position{0, 35}, true, false},
	} {
		assert.Equal(t, tc.p.Before(tc.o), tc.before, "%v before %v", tc.p, tc.o)
		assert.Equal(t, tc.p.Restored(tc.o), tc.restored, "restored between %v and %v", tc.p, tc.o)
	}
}

// TestRankOf guards against a team's rank that is ignored or that goes behind the route's, and
// against ranks that change where teams don't differ.
func TestRankOf(t *testing.T) {
	split := []WeightedService{{Service: "desk", Weight: 1}}
	routes := []Route{
		{ID: "plan", Host: "a", PathPrefix: "/", Split: split, Rank: 0},
		{ID: "chat", Host: "b", PathPrefix: "/", Split: split, Rank: 4},
	}
	gold, silver, plain := Team{ID: "gold", Rank: 1, HasRank: true}, Team{ID: "silver", Rank: 6, HasRank: true}, Team{ID: "plain"}
	for _, tc := range []struct {
		name  string
		teams []Team
		want  [][2]int // by team and route; the last one is that of an anonymous request
	}{
		{"no teams", nil, [][2]int{{0, 4}}},
		{"no team has a rank", []Team{plain, plain}, [][2]int{{0, 4}, {0, 4}, {0, 4}}},
		{"the same rank", []Team{gold, gold}, [][2]int{{0, 4}, {0, 4}, {0, 4}}},
		{"two ranks", []Team{silver, gold}, [][2]int{{4, 5}, {1, 2}, {0, 3}}},
		{"one has a rank", []Team{gold, plain}, [][2]int{{1, 2}, {0, 3}, {0, 3}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &Config{Version: 1, Services: []Service{{ID: "desk"}}, Routes: routes, Teams: tc.teams}
			assert.NilError(t, c.Index())
			for i, want := range tc.want {
				var team *Team
				if i < len(tc.teams) {
					team = &c.Teams[i]
				}
				assert.Equal(t, [2]int{c.RankOf(&c.Routes[0], team), c.RankOf(&c.Routes[1], team)}, want)
			}
		})
	}
}

// TestLikelyTokens guards against requests that are refused as too long for a length that their own
// upper bound rules out.
func TestLikelyTokens(t *testing.T) {
	for _, tc := range []struct{ expected, most, want wire.Tokens }{{0, 50, 0}, {40, 50, 40}, {400, 50, 50}, {400, 0, 400}} {
		s := RequestSpec{ExpectedTokens: tc.expected, MaxOutputTokens: tc.most}
		assert.Equal(t, s.LikelyTokens(), tc.want)
	}
}
