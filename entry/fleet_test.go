package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/fakes/site"
	"hornbeamcove.example/platform"
)

// TestStages guards against pieces that are missing or made twice, against inputs from
// the wrong stage, and against results that are never freed.
func TestStages(t *testing.T) {
	r := newRig(t)
	stageReplicas := []*site.Replica{r.addReplica("a-1", "archive"), r.addReplica("a-2", "archive"), r.addReplica("s-1", "school")}
	r.addReplica("e-1", "engine")
	n := r.startRouter(4)
	c := post(planHost, "/fold", "prompt")
	c.header = http.Header{"Piece-Count": {"1,4,2"}, "Piece-Key": {"k"}}
	n.assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
	made := map[string]int{}
	for _, p := range stageReplicas {
		for _, call := range p.StageCalls() {
			for _, name := range call {
				made[name]++
			}
		}
	}
	want := map[string]int{}
	for stage, count := range []int{1, 4, 2} {
		for piece := range count {
			want[fmt.Sprintf("%s/%d/%d", c.id, stage, piece)] = 1
		}
	}
	assert.DeepEqual(t, made, want)
	inputs := strings.Split(r.site.Runs()[0].Header.Get("Input-Count"), ",")
	assert.Equal(t, len(inputs), 6, "results of the stages that no other stage reads")
	r.waitForResults(stageReplicas, 0)
}

// TestStageNumbers guards against a configuration that is refused as a whole because a stage of one route
// reads the results of a stage with a higher number.
func TestStageNumbers(t *testing.T) {
	r := newRig(t)
	stageReplicas := []*site.Replica{r.addReplica("a-1", "archive"), r.addReplica("s-1", "school")}
	r.addReplica("e-1", "engine")
	n := r.startRouter(3)
	reversed := slices.Clone(routes)
	for i := range reversed {
		if reversed[i].Name == "plan" {
			reversed[i].Stages = []site.Stage{{Service: "school", After: []int{2}, Bytes: 60000}, {Service: "archive", Bytes: 3000000}, {Service: "archive", Bytes: 8000}}
		}
	}
	r.site.Store.PutJSON("op/config", site.Config(2, reversed, site.Services, map[string]string{"key-2": "folders"}))
	r.waitFor("the configuration is in force", func() bool { return n.view.Load().version() == 2 })
	n.assertStatus(t, get(deskHost, "/safe/1"), http.StatusUnauthorized, "")
	c := post(planHost, "/fold", "prompt")
	c.key = "key-2"
	c.header = http.Header{"Piece-Count": {"4,2,1"}, "Piece-Key": {"k"}}
	n.assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
	inputs := strings.Split(r.site.Runs()[0].Header.Get("Input-Count"), ",")
	assert.Equal(t, len(inputs), 6, "results of the stages that no other stage reads")
	r.waitForResults(stageReplicas, 0)
	t.Run("forecast", func(t *testing.T) {
		cfg := n.view.Load().Config
		spec := &fleet.RequestSpec{PieceCounts: []int{4, 2, 1}}
		f := admit.Predict(cfg, cfg.Match(planHost, "/fold"), spec, 0, func(fleet.ServiceID) admit.Backlog { return admit.Backlog{} })
		archive, school := cfg.Service("archive").StageCalls, cfg.Service("school").StageCalls
		assert.Equal(t, f.StageTime, archive.ExpectedTime(1)+school.ExpectedTime(4))
	})
}

// TestTwoReaders guards against results that are freed while one of the stages that read
// them is still at work, because a later stage has read them already.
func TestTwoReaders(t *testing.T) {
	r := newRig(t)
	archive, school := r.addReplica("a-1", "archive"), r.addReplica("s-1", "school")
	school.ServiceTime = 150 * time.Millisecond
	r.addReplica("e-1", "engine")
	plan := routes[len(routes)-1]
	plan.Stages = []site.Stage{{Service: "archive", Bytes: 8000}, {Service: "school", After: []int{0}, Bytes: 60000}, {Service: "archive", After: []int{0}, Bytes: 8000}}
	r.site.Store.PutJSON("op/config", site.Config(2, []site.Route{plan}, site.Services, apiKeys))
	n := r.startRouter(3)
	c := post(planHost, "/fold", "prompt")
	c.header = http.Header{"Piece-Count": {"1,1,1"}, "Piece-Key": {"k"}}
	n.assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
	made := 0
	for _, call := range append(archive.StageCalls(), school.StageCalls()...) {
		made += len(call)
	}
	assert.Equal(t, made, 3, "each piece is made once")
}

// TestStageFaults guards against a request that fails because one upstream of a stage
// failed a call.
func TestStageFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  site.Action
	}{{"full", site.Reject}, {"crash", site.Crash}, {"answer lost", site.LoseAnswer}} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.addReplica("a-1", "archive", tc.act)
			r.addReplica("a-2", "archive", tc.act)
			r.addReplica("s-1", "school", tc.act)
			r.addReplica("e-1", "engine")
			n := r.startRouter(4)
			c := post(planHost, "/fold", "prompt")
			c.header = http.Header{"Piece-Count": {"1,4,2"}, "Piece-Key": {"k"}}
			n.assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
		})
	}
}

// TestSharedCalls guards against routers that batch stage calls separately: the pieces of
// all routers must share one queue, so that fewer calls than requests are made.
func TestSharedCalls(t *testing.T) {
	r := newRig(t)
	archive := r.addReplica("a-1", "archive")
	archive.ServiceTime = 30 * time.Millisecond
	r.addReplica("s-1", "school")
	r.addReplica("e-1", "engine")
	first := r.settings("r1")
	second := r.settings("r2", first.Peers)
	nodes := []*node{r.start(first), r.start(second)}
	archiveQueue := shard.ID{Service: "archive"}
	for _, n := range nodes {
		r.waitForUpstreams(n, 3)
		r.waitFor("the routers have discovered each other", func() bool { return len(n.peers.ownerCandidates(time.Now())) == 2 })
	}
	r.waitFor("the routers agree on the owner", func() bool { return nodes[0].queues.owner(archiveQueue) == nodes[1].queues.owner(archiveQueue) })
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			c := post(planHost, fmt.Sprint("/fold/", i), "prompt")
			c.header = http.Header{"Piece-Count": {"0,0,2"}, "Piece-Key": {"k"}}
			nodes[i%2].assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
		})
	}
	wg.Wait()
	calls := archive.StageCalls()
	assert.Assert(t, len(calls) < 12, "%d calls for 24 pieces", len(calls))
}

// TestQueuesBeforeSnapshot guards against requests that are refused beside a change of the
// configuration because its snapshot is in force before the queues of its stage services are.
func TestQueuesBeforeSnapshot(t *testing.T) {
	r := newRig(t)
	r.addReplica("a-1", "archive")
	s, err := New(r.settings("r1"), "", r.log)
	assert.NilError(t, err)
	c := newControl(s)
	c.config = &fleet.Config{Version: 2, Services: []fleet.Service{{ID: "archive", StageCalls: &fleet.StageCalls{}}}}
	s.queues.layoutMu.Lock()
	published := make(chan struct{})
	go func() {
		defer close(published)
		c.publish(time.Now())
	}()
	time.Sleep(50 * time.Millisecond) // until it waits for the layout
	assert.Assert(t, s.view.Load().Config == nil, "the snapshot is in force, its queues are not")
	s.queues.layoutMu.Unlock()
	<-published
	assert.Assert(t, s.view.Load().Config != nil)
	assert.Assert(t, s.queues.find(shard.ID{Service: "archive"}) != nil)
}

// TestConfiguration guards against a new configuration that does not take effect, and
// against its replacement by an older or an invalid one.
func TestConfiguration(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	n := r.startRouter(1)
	putConfig := func(version int, newRoutes []site.Route, keys map[string]string) {
		r.site.Store.PutJSON("op/config", site.Config(version, newRoutes, site.Services, keys))
	}
	added := append([]site.Route{{Name: "new", Host: "new.example", Prefix: "/", Kind: "safe", Service: "desk", Timeout: 8000, TargetLatency: 300, Attempts: 1}}, routes...)
	putConfig(5, added, map[string]string{"key-2": "folders"})
	r.waitFor("version 5 is in force", func() bool { return n.view.Load().Config.Version == 5 })
	c := get("new.example", "/x")
	n.assertStatus(t, c, http.StatusUnauthorized, "")
	c.key = "key-2"
	n.assertStatus(t, c, http.StatusOK, site.Body("/x"))
	putConfig(4, routes, apiKeys)
	r.site.Store.Put("op/config", []byte("{"))
	at := r.site.Store.PutJSON("op/evacuate/b", map[string]any{})
	r.waitFor("the router has read the later revision", func() bool { return int64(n.view.Load().At[0].Revision) >= at })
	assert.Equal(t, int(n.view.Load().Config.Version), 5)
	n.assertStatus(t, c, http.StatusOK, "")
}

// TestNoTeams guards against requests that run with any key, or with one that was taken away, once a
// configuration has no team left.
func TestNoTeams(t *testing.T) {
	r := newRig(t)
	r.addReplica("d-1", "desk")
	n := r.startRouter(1)
	n.assertStatus(t, get(deskHost, "/safe/1"), http.StatusOK, "")
	r.site.Store.PutJSON("op/config", site.Config(2, routes, site.Services, nil))
	r.waitFor("the configuration without teams is in force", func() bool { return n.view.Load().version() == 2 })
	for _, key := range []string{"key-1", "never held", ""} {
		c := get(deskHost, "/safe/2")
		c.id, c.key = "id-"+key, key
		n.assertStatus(t, c, http.StatusUnauthorized, "")
		r.assertRuns(c.id, 0)
	}
	n.assertStatus(t, get(deskHost, "/open/1"), http.StatusOK, "")
	t.Run("no list of teams", func(t *testing.T) {
		open := site.Config(3, routes, site.Services, nil)
		delete(open, "tenants")
		r.site.Store.PutJSON("op/config", open)
		r.waitFor("the configuration without a list of teams is in force", func() bool { return n.view.Load().version() == 3 })
		n.assertStatus(t, get(deskHost, "/safe/3"), http.StatusOK, "")
	})
}

// TestDiscovery guards against requests to upstreams that left, and against the loss of
// all upstreams when the store compacts its history or another writer's entry is invalid.
func TestDiscovery(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	second := r.addReplica("i-2", "desk")
	n := r.startRouter(2)
	t.Run("draining", func(t *testing.T) {
		r.site.Store.PutJSON("servers/i-2", second.Entry("draining"))
		r.waitForUpstreams(n, 1)
		r.site.Store.PutJSON("servers/i-2", second.Entry("ready"))
		r.waitForUpstreams(n, 2)
	})
	t.Run("entry of another writer", func(t *testing.T) {
		r.site.Store.Put("servers/i-2", []byte("\xff"))
		r.waitForUpstreams(n, 1)
		r.site.Store.PutJSON("servers/i-2", second.Entry("ready"))
		r.waitForUpstreams(n, 2)
	})
	t.Run("entry of another writer for a draining upstream", func(t *testing.T) {
		r.site.Store.PutJSON("servers/i-2", second.Entry("draining"))
		r.waitForUpstreams(n, 1)
		for _, missing := range []string{"cold_remaining_ms", "sequence", "born"} {
			e := second.Entry("ready")
			delete(e, missing)
			at := r.site.Store.PutJSON("servers/i-2", e)
			r.waitFor("the router has read the entry", func() bool { return int64(n.view.Load().At[1].Revision) >= at })
			assert.Equal(t, len(n.view.Load().Upstreams["desk"]), 1, "entry without %s", missing)
		}
		at := r.site.Store.PutJSON("servers/i-2", second.Entry("ready"))
		r.waitFor("the router has read the entry", func() bool { return int64(n.view.Load().At[1].Revision) >= at })
		r.waitForUpstreams(n, 2)
	})
	t.Run("history lost", func(t *testing.T) {
		r.site.Store.SetMode(site.Reset)
		r.waitFor("the router notices that the store is lost", func() bool { return n.storeLost(1) })
		r.site.Store.Delete("servers/i-1")
		r.site.Store.PutJSON("servers/i-1", second.Entry("draining"))
		r.site.Store.Compact()
		r.site.Store.SetMode(site.Up)
		r.waitForUpstreams(n, 1)
	})
	t.Run("data centre out", func(t *testing.T) {
		r.site.Store.PutJSON("op/evacuate/a", map[string]any{})
		r.waitForUpstreams(n, 0)
		n.assertStatus(t, get(deskHost, "/safe/1"), http.StatusServiceUnavailable, "")
		r.site.Store.Delete("op/evacuate/a")
		r.waitForUpstreams(n, 1)
	})
}

// TestLapse guards against a router that drops its upstreams because their entries lapsed
// during a loss of the store.
func TestLapse(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	n := r.startRouter(1)
	r.site.Store.SetMode(site.Silent)
	r.waitFor("the router notices that the store is lost", func() bool { return n.storeLost(1) })
	at := r.site.Store.Delete("servers/i-1")
	r.site.Store.SetMode(site.Up)
	r.waitFor("the deletion is read", func() bool { return int64(n.view.Load().At[1].Revision) >= at })
	n.assertStatus(t, get(deskHost, "/safe/1"), http.StatusOK, "")
	r.waitFor("the router drops the lapsed entry", func() bool { return len(n.view.Load().Upstreams["desk"]) == 0 })
}

// TestWrongInstance guards against a request that runs at the wrong upstream because the
// address of an upstream that ended was reused.
func TestWrongInstance(t *testing.T) {
	r := newRig(t)
	p := r.addReplica("i-1", "desk")
	n := r.startRouter(1)
	p.ID = "i-9" // another instance at the same address whose entry is not written yet
	resp := n.assertStatus(t, post(deskHost, "/once/1", "x"), http.StatusServiceUnavailable, "")
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	r.assertRuns("id-/once/1", 0)
}

// TestPeers guards against a router that starts while the store is unavailable and can't
// serve although a peer has the configuration and the upstreams.
func TestPeers(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	first := r.settings("r1")
	n := r.start(first)
	r.waitForUpstreams(n, 1)
	r.site.Store.SetMode(site.Silent)
	second := r.start(r.settings("r2", first.Peers))
	r.waitForUpstreams(second, 1)
	second.assertStatus(t, get(deskHost, "/safe/1"), http.StatusOK, site.Body("/safe/1"))
}

// TestDrain guards against a planned stop that cuts off a request in flight, and against
// a stopping router that stays ready or keeps its callers' connections open.
func TestDrain(t *testing.T) {
	r := newRig(t)
	p := r.addReplica("i-1", "desk")
	p.ServiceTime = 400 * time.Millisecond
	n := r.startRouterWithGrace(1, 3)
	answered := make(chan int, 1)
	go func() {
		resp, _, err := n.do(t, post(deskHost, "/once/1", "x"))
		if err != nil {
			answered <- 0
			return
		}
		answered <- resp.StatusCode
	}()
	r.waitFor("the upstream runs the request", func() bool { return len(r.site.Runs()) == 1 })
	n.terminate()
	r.waitFor("the router is not ready", func() bool { return n.readinessStatus(t) == http.StatusServiceUnavailable })
	resp := n.assertStatus(t, get(deskHost, "/safe/1"), http.StatusOK, "")
	assert.Assert(t, resp.Close, "the caller's connection stays open")
	assert.Equal(t, <-answered, http.StatusOK)
	n.wait(t)
}

// TestDrainEnds guards against requests that end without an answer because they outlast
// the drain. A soak run showed it as LOST: deploy/days/paused.toml, seed 821516968308,
// fvmfiu-router.
func TestDrainEnds(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk", site.NoAnswer)
	r.addReplica("e-1", "engine", site.NoAnswer)
	n := r.startRouterWithGrace(2, 3)
	var wg sync.WaitGroup
	for _, host := range []string{deskHost, streamHost} {
		wg.Go(func() {
			// The upstream may have executed the request, so the router must not claim otherwise.
			n.assertStatus(t, post(host, "/once/1", "x"), http.StatusGatewayTimeout, "stopping\n")
		})
	}
	r.waitFor("the upstreams run the requests", func() bool { return len(r.site.Runs()) == 2 })
	n.terminate()
	wg.Wait()
	n.wait(t)
}

// TestDrainLateCallers guards against a stop that resets the connections of callers that
// the load balancer still sends after the router is no longer ready. In an incident, 38
// requests had their connections closed this way at the end of the deregistration delay.
// It also guards against requests that are accepted so late that the stop cuts them off.
func TestDrainLateCallers(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	n := r.startRouterWithGrace(1, 5)
	n.terminate()
	r.waitFor("the router is not ready", func() bool { return n.readinessStatus(t) == http.StatusServiceUnavailable })
	// Send requests until after the deregistration delay, which is half of the grace
	// period here.
	began := time.Now()
	late := 0
	for i := 0; time.Since(began) < n.cfg.grace()/2+quietPeriod; i++ {
		c := get(deskHost, fmt.Sprint("/safe/", i))
		resp, _, err := n.do(t, c)
		assert.NilError(t, err)
		if n.drainEnd.Load() != nil && resp.StatusCode != http.StatusOK {
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, resp.Header.Get("Retry-After") != "" && resp.Close)
			r.assertRuns(c.id, 0)
			late++
		} else {
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Assert(t, late == 0, "request served after the deregistration delay")
		}
		time.Sleep(quietPeriod / 10)
	}
	assert.Assert(t, late > 0)
	n.wait(t)
}

// TestDrainShortRequests guards against refusals of requests that would end long before
// the process is killed. An incident in which several routers stopped at once had 170 of
// them in six seconds.
func TestDrainShortRequests(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	n := r.startRouterWithGrace(1, 5)
	n.terminate()
	for i, late := 0, 0; late < 10; i++ { // the listener closes when no requests come
		ended := n.drainEnd.Load() != nil
		c := get(deskHost, fmt.Sprint("/safe/", i))
		c.header = http.Header{site.HeaderDeadline: {"600"}}
		n.assertStatus(t, c, http.StatusOK, site.Body(c.target))
		if ended {
			n.assertStatus(t, get(deskHost, fmt.Sprint("/safe/long/", i)), http.StatusServiceUnavailable, "")
			late++
		}
		time.Sleep(quietPeriod / 10)
	}
	n.wait(t)
}

// TestStoreReturns guards against a return of the store that is noticed only with the
// next change. An upstream that left by that change was then treated as one whose entry
// lapsed while the store was lost, and got requests for another 2.5 s (mix, seed
// 844428995565).
func TestStoreReturns(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	n := r.startRouter(1)
	lost := func() bool {
		return n.storeLost(platform.AreaOperatorSettings) || n.storeLost(platform.AreaUpstreamRegistry)
	}
	r.site.Store.SetMode(site.Reset)
	r.waitFor("the store is lost", func() bool {
		return n.storeLost(platform.AreaOperatorSettings) && n.storeLost(platform.AreaUpstreamRegistry)
	})
	r.site.Store.SetMode(site.Up)
	for end := time.Now().Add(watchWait / 2); lost(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the router did not notice the store's return")
	}
}

// TestCrashingRequest guards against a request that is sent to one upstream after another
// and crashes each of them.
func TestCrashingRequest(t *testing.T) {
	r := newRig(t)
	crash := func(req *http.Request) site.Action {
		if strings.HasPrefix(req.URL.Path, "/safe/bad") {
			return site.Crash
		}
		return site.Serve
	}
	for i := range 8 {
		p := &site.Replica{ID: fmt.Sprint("i-", i), Service: "desk", Centre: "a", Act: crash}
		assert.NilError(t, r.site.Add(p))
	}
	n := r.startRouter(8)
	// Warm-up requests, so that most upstreams are reached over reused connections.
	for i := range 40 {
		n.assertStatus(t, get(deskHost, fmt.Sprint("/safe/warm", i)), http.StatusOK, "")
	}
	count := func() (runs int) {
		for _, run := range r.site.Runs() {
			if run.Target == "/safe/bad" {
				runs++
			}
		}
		return runs
	}
	for i := 0; i < 20; i++ {
		c := get(deskHost, "/safe/bad")
		c.id = fmt.Sprint("try-", i)
		_, _, err := n.do(t, c)
		assert.NilError(t, err)
		time.Sleep(30 * time.Millisecond) // gives the router time to check whether the upstream crashed
	}
	assert.Assert(t, count() <= 6, "%d upstreams crashed", count())
	n.assertStatus(t, get(deskHost, "/safe/good"), http.StatusOK, "")
}
