package entry

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes/site"
	"hornbeamcove.example/platform"
)

// crowd is a router without listeners whose archive service has a queue at the peer r2.
type crowd struct {
	*Server
	t    testing.TB
	log  *logBuffer
	now  time.Time
	boot int64
}

// queueLength is the number of waiting pieces with which the archive is a little short of room.
const queueLength = 560

// newCrowd returns a router with the given number of seeds that has heard of no peer.
func newCrowd(t testing.TB, seeds int) *crowd {
	t.Helper()
	data, err := json.Marshal(site.Config(1, routes, site.Services, apiKeys))
	assert.NilError(t, err)
	cfg, err := platform.ParseConfig(data)
	assert.NilError(t, err)
	log := new(logBuffer)
	s, err := New(Settings{Name: "r1", Centre: "a", Level: "info", Shares: true, Seeds: make([]wire.Address, seeds)}, "", log)
	assert.NilError(t, err)
	v := &View{Config: cfg, Upstreams: map[fleet.ServiceID][]fleet.Upstream{"archive": {{ID: "m1", Service: "archive", Centre: "a"}}}}
	s.queues.update(v)
	s.view.Store(v)
	return &crowd{Server: s, t: t, log: log, now: time.Now(), boot: 1}
}

// hear merges a heartbeat of a peer that is to divide no services, with the length of the archive's
// queue if the peer owns it, and receives what its callers ask of the archive.
func (c *crowd) hear(name wire.HostID, waiting int, demand ...share.TeamRate) {
	m := Member{Name: name, Centre: "a", Boot: c.boot, Leaving: true, Loads: map[fleet.ServiceID]Load{}}
	if waiting > 0 {
		m.Loads["archive"] = Load{Waiting: waiting, Rate: 220}
	}
	c.peers.mu.Lock()
	c.peers.mergeMember(c.now, m)
	c.peers.mu.Unlock()
	if len(demand) == 0 {
		return
	}
	d := share.Demand{Teams: demand, Count: len(demand)}
	for _, t := range demand {
		d.Asked += t.Rate
	}
	c.shares.receive(c.now, ShareReport{name, c.boot, "archive", share.Report{Demands: []share.Demand{d}}})
}

// ask records that a team asks the archive for the given work per second until the next step.
func (c *crowd) ask(team wire.TeamID, rate float64) {
	c.recordDemand(c.now, "archive", 0, team, rate*heartbeatInterval.Seconds())
}

func (c *crowd) step() {
	c.now = c.now.Add(heartbeatInterval)
	c.shares.update(c.t.Context(), c.now, false)
}

// assertOver asserts whether a team is over its share of the archive.
func (c *crowd) assertOver(team wire.TeamID, want bool) {
	c.t.Helper()
	over := c.overShare(c.now, "archive", team)
	c.logOut.flush()
	assert.Equal(c.t, c.overShareIn(c.now, "archive", 0, team), over)
	assert.Equal(c.t, c.overShareIn(c.now, "archive", 1, team), 0.0)
	assert.Equal(c.t, over > 0, want, "team %s is over its share by %v; log:\n%s", team, over, c.log)
}

// TestShareOverRouters guards against a team that exceeds its share unseen, since each router
// sees a part of it only, or since it sends by one router, and against small teams that pay for
// it at a router that sees little of the large one.
func TestShareOverRouters(t *testing.T) {
	for _, tc := range []struct {
		name     string
		here, r2 float64 // work per second that the large team asks for at both routers
		want     bool
	}{{"by both", 1.2, 1.2, true}, {"here only", 2.4, 0, true}, {"there only", 0, 2.4, true}, {"as much as there is", 0.3, 0.3, false}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCrowd(t, 2)
			for range 20 {
				c.hear("r2", queueLength, share.TeamRate{Team: "large", Rate: share.Rate(tc.r2)}, share.TeamRate{Team: "small", Rate: 0.05})
				if tc.here > 0 {
					c.ask("large", tc.here)
				}
				c.ask("small", 0.05)
				c.step()
			}
			c.assertOver("large", tc.want)
			c.assertOver("small", false)
			c.assertOver("", false)
		})
	}
}

// TestShareOfRanks guards against shares that are ignored for the least urgent ranks: teams and
// routes with many ranks have more pairs of them than are counted apart.
func TestShareOfRanks(t *testing.T) {
	for _, rank := range []int{0, 9, 12, fleet.RankLevels - 1, fleet.RankLevels + 4} {
		t.Run(fmt.Sprint(rank), func(t *testing.T) {
			c := newCrowd(t, 2)
			for range 20 {
				c.hear("r2", queueLength)
				c.recordDemand(c.now, "archive", rank, "large", 2.4*heartbeatInterval.Seconds())
				c.recordDemand(c.now, "archive", rank, "small", 0.05*heartbeatInterval.Seconds())
				c.step()
			}
			assert.Assert(t, c.overShareIn(c.now, "archive", rank, "large") > 0)
			assert.Equal(t, c.overShareIn(c.now, "archive", rank, "small"), 0.0)
		})
	}
}

// TestRouterAlone guards against a router that hears no peer and takes the whole capacity of a
// service as that of its own callers, and against one that holds teams to shares without need.
func TestRouterAlone(t *testing.T) {
	for _, tc := range []struct {
		name string
		ask  float64
		want bool
	}{{"more than its part", 0.9, true}, {"its part", 0.1, false}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCrowd(t, 4)
			c.hear("r2", queueLength)
			c.now = c.now.Add(time.Millisecond)
			for range 8 { // while the length of the queue is known
				c.ask("large", tc.ask)
				c.ask("small", 0.02)
				c.step()
			}
			c.assertOver("large", tc.want)
			c.assertOver("small", false)
			for range 30 {
				c.ask("large", tc.ask)
				c.step()
			}
			c.assertOver("large", false) // the queue's length is no longer known
		})
	}
}

// TestOwnerOfQueueEnds guards against shares that are lost when the router that owns the queue
// ends: the demand is measured where requests arrive.
func TestOwnerOfQueueEnds(t *testing.T) {
	c := newCrowd(t, 3)
	for range 20 {
		c.hear("r2", queueLength, share.TeamRate{Team: "large", Rate: 2}, share.TeamRate{Team: "small", Rate: 0.05})
		c.hear("r3", 0, share.TeamRate{Team: "large", Rate: 2}, share.TeamRate{Team: "small", Rate: 0.05})
		c.step()
	}
	c.assertOver("large", true)
	c.peers.mu.Lock()
	c.peers.members["r2"].endedAt = c.now
	c.peers.mu.Unlock()
	for range 3 { // until the next owner reports its queue
		c.hear("r3", 0, share.TeamRate{Team: "large", Rate: 2}, share.TeamRate{Team: "small", Rate: 0.05})
		c.step()
		c.assertOver("large", true)
	}
	for range 10 {
		c.hear("r3", queueLength, share.TeamRate{Team: "large", Rate: 2}, share.TeamRate{Team: "small", Rate: 0.05})
		c.step()
		c.assertOver("large", true)
	}
}

// TestReportsOfPeer guards against wrong, old and repeated reports that decide who is turned away.
func TestReportsOfPeer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(c *crowd)
	}{
		{"negative", func(c *crowd) {
			c.hear("r3", 0, share.TeamRate{Team: "small", Rate: 50}, share.TeamRate{Team: "large", Rate: -49})
		}},
		{"of an earlier run", func(c *crowd) {
			c.boot = 0
			c.now = c.now.Add(time.Microsecond)
			c.hear("r2", queueLength, share.TeamRate{Team: "small", Rate: 50})
			c.boot = 1
		}},
		{"from the past", func(c *crowd) {
			c.now = c.now.Add(-time.Second)
			c.hear("r2", queueLength, share.TeamRate{Team: "small", Rate: 50})
			c.now = c.now.Add(time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCrowd(t, 3)
			for range 20 {
				c.hear("r2", queueLength, share.TeamRate{Team: "large", Rate: 2}, share.TeamRate{Team: "small", Rate: 0.05})
				tc.before(c)
				c.step()
			}
			c.assertOver("large", true)
			c.assertOver("small", false)
		})
	}
}

// TestUnknownReports guards against state for routers and services that don't exist.
func TestUnknownReports(t *testing.T) {
	c := newCrowd(t, 2)
	c.shares.receive(c.now, ShareReport{From: "nobody", Service: "archive"})
	c.hear("r2", 0)
	c.shares.receive(c.now, ShareReport{From: "r2", Service: "none"})
	assert.Equal(t, len(c.shares.services), 0)
	c.shares.receive(c.now, ShareReport{From: "r2", Service: "archive"})
	assert.Equal(t, len(c.shares.services["archive"].received), 1)
	c.now = c.now.Add(maxOverAge)
	c.step()
	assert.Equal(t, len(c.shares.services["archive"].received), 0)
}

// TestTakeOver guards against shares that end with the router that divides the service, and
// against two routers that divide it.
func TestTakeOver(t *testing.T) {
	c := newCrowd(t, 3)
	owner := wire.HostID("r2")
	for i := 3; route.Owner("archive", []wire.HostID{"r1", owner}) == "r1"; i++ {
		owner = wire.HostID(fmt.Sprint("r", i))
	}
	play := func(steps int) {
		for range steps {
			c.hear("q1", queueLength, share.TeamRate{Team: "large", Rate: 2}, share.TeamRate{Team: "small", Rate: 0.05})
			c.step()
		}
	}
	c.peers.mu.Lock()
	c.peers.mergeMember(c.now.Add(time.Millisecond), Member{Name: owner, Boot: 1, Shares: true})
	c.peers.mu.Unlock()
	play(8)
	c.assertOver("large", false) // the other router divides
	play(4)
	c.assertOver("large", true)
}

// TestSuspended guards against teams that are held to their shares for good, because the router
// was suspended or stops in the middle of a shortage.
func TestSuspended(t *testing.T) {
	c := newCrowd(t, 2)
	for range 20 {
		c.hear("r2", queueLength, share.TeamRate{Team: "large", Rate: 2}, share.TeamRate{Team: "small", Rate: 0.05})
		c.step()
	}
	c.assertOver("large", true)
	c.now = c.now.Add(maxOverAge + time.Millisecond)
	c.assertOver("large", false)
	assert.Equal(t, strings.Count(c.log.String(), `"team over its share"`), 1)
}

// TestReloadShares guards against shares that stay on or off until a restart.
func TestReloadShares(t *testing.T) {
	data, err := os.ReadFile("../examples/entry.toml")
	assert.NilError(t, err)
	c := newCrowd(t, 2)
	c.path = filepath.Join(t.TempDir(), "settings.toml")
	for _, on := range []bool{false, true} {
		text := strings.Replace(string(data), "slack =", fmt.Sprintf("shares = %v\nslack =", on), 1)
		assert.NilError(t, os.WriteFile(c.path, []byte(text), 0o600))
		c.reload("")
		for range 20 {
			c.hear("r2", queueLength, share.TeamRate{Team: "large", Rate: 2}, share.TeamRate{Team: "small", Rate: 0.05})
			c.ask("small", 0.01)
			if c.now = c.now.Add(heartbeatInterval); c.shares.on.Load() {
				c.shares.update(t.Context(), c.now, false)
			}
		}
		c.assertOver("large", on)
	}
}

// TestWork guards against work that is measured by the number of requests alone.
func TestWork(t *testing.T) {
	c := newCrowd(t, 1)
	cfg := c.view.Load().Config
	work := func(route fleet.RouteID, svc fleet.ServiceID, spec fleet.RequestSpec) map[fleet.ServiceID]float64 {
		x := &exchange{s: c.Server, view: c.view.Load(), spec: spec, svc: cfg.Service(svc)}
		for i := range cfg.Routes {
			if cfg.Routes[i].ID == route {
				x.route = &cfg.Routes[i]
			}
		}
		return x.workByService()
	}
	assert.DeepEqual(t, work("lookup", "desk", fleet.RequestSpec{}), map[fleet.ServiceID]float64{"desk": 1})
	plan := work("plan", "engine", fleet.RequestSpec{
		PromptTokens: 900, ExpectedTokens: 50, MaxOutputTokens: 400, PieceCounts: []int{2, 3, 4},
		PromptSegments: []fleet.PromptSegment{{ID: "shared", Tokens: 700}, {ID: "own", Tokens: 200}},
	})
	assert.Equal(t, plan["engine"], 250.0)
	perPiece := pieceSeconds(cfg.Service("archive").StageCalls)
	assert.Equal(t, plan["archive"], 2*perPiece+4*perPiece)
	assert.Equal(t, plan["school"], 3*pieceSeconds(cfg.Service("school").StageCalls))
}

// BenchmarkOverShare measures the decision about one request with 800 teams of which half are
// over their share.
func BenchmarkOverShare(b *testing.B) {
	c := newCrowd(b, 1)
	over := share.Over{}
	for i := range 400 {
		over[wire.TeamID(fmt.Sprint("team", i))] = 0.5
	}
	c.shares.published.Store(&publishedShares{"archive": {ShareAnswer{Short: true, Over: over}, c.now}})
	b.ReportAllocs()
	for b.Loop() {
		c.overShare(c.now, "archive", "team7")
	}
}

// BenchmarkRecordDemand measures recording one request with 800 teams.
func BenchmarkRecordDemand(b *testing.B) {
	c := newCrowd(b, 1)
	var teams []wire.TeamID
	for i := range 800 {
		teams = append(teams, wire.TeamID(fmt.Sprint("team", i)))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.recordDemand(c.now, "archive", 0, teams[i%len(teams)], 1)
	}
}

// TestSharesBetweenRouters guards against demand that is measured but does not reach the peers,
// or that a router without shares can't pass on.
func TestSharesBetweenRouters(t *testing.T) {
	r := newRig(t)
	var seeds []wire.Address
	var nodes []*node
	for i := range 3 {
		cfg := r.settings(fmt.Sprint("r", i), seeds...)
		cfg.Shares = i != 1
		seeds = append(seeds, cfg.Peers)
		nodes = append(nodes, r.start(cfg))
	}
	for _, n := range nodes {
		r.waitForUpstreams(n, 0)
	}
	here, there := nodes[0], nodes[2]
	r.waitFor("the last router holds the team that sends by the first to its share", func() bool {
		now := time.Now()
		here.recordDemand(now, "desk", 0, "large", 10)
		here.recordShortage(now, "desk")
		there.recordDemand(now, "desk", 0, "small", 0.1)
		there.shares.service("desk").Admit(now, 1)
		return there.overShare(now, "desk", "large") > 0
	})
	assert.Equal(t, there.overShare(time.Now(), "desk", "small"), 0.0)
	assert.Equal(t, nodes[1].overShare(time.Now(), "desk", "large"), 0.0)
	r.waitFor("the shortage is over", func() bool { return there.overShare(time.Now(), "desk", "large") == 0 })
}
