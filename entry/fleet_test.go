package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
	"hornbeamcove.example/platform"
)

// TestStages guards against pieces that are missing or doubled, against inputs of
// another stage, and against results that nobody gives up.
func TestStages(t *testing.T) {
	r := newRig(t)
	makers := []*site.Replica{r.replica("a-1", "archive"), r.replica("a-2", "archive"), r.replica("s-1", "school")}
	r.replica("e-1", "engine")
	n := r.router(4)
	c := post(planHost, "/fold", "prompt")
	c.header = http.Header{"Piece-Count": {"1,4,2"}, "Piece-Key": {"k"}}
	n.assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
	made := map[string]int{}
	for _, p := range makers {
		for _, call := range p.Calls() {
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
	assert.Equal(t, len(inputs), 6, "results of the stages that no other follows")
	r.waitFor("all results are given up", func() bool {
		kept := 0
		for _, p := range makers {
			kept += p.Kept()
		}
		return kept == 0
	})
}

// TestStageFaults guards against a request that fails because one upstream of a
// stage failed.
func TestStageFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  site.Action
	}{{"full", site.Reject}, {"crash", site.Crash}, {"answer lost", site.Lose}} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.replica("a-1", "archive", tc.act)
			r.replica("a-2", "archive", tc.act)
			r.replica("s-1", "school", tc.act)
			r.replica("e-1", "engine")
			n := r.router(4)
			c := post(planHost, "/fold", "prompt")
			c.header = http.Header{"Piece-Count": {"1,4,2"}, "Piece-Key": {"k"}}
			n.assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
		})
	}
}

// TestSharedCalls guards against routers that make stage calls of their own: the
// pieces of all routers meet in one queue.
func TestSharedCalls(t *testing.T) {
	r := newRig(t)
	maker := r.replica("a-1", "archive")
	maker.Work = 30 * time.Millisecond
	r.replica("s-1", "school")
	r.replica("e-1", "engine")
	first := r.settings("r1")
	second := r.settings("r2", first.Peers)
	nodes := []*node{r.start(first), r.start(second)}
	for _, n := range nodes {
		r.waitForUpstreams(n, 3)
		r.waitFor("the routers know each other", func() bool { return len(n.peers.alive(time.Now())) == 2 })
	}
	assert.Equal(t, nodes[0].queues.owner("archive"), nodes[1].queues.owner("archive"))
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			c := post(planHost, fmt.Sprint("/fold/", i), "prompt")
			c.header = http.Header{"Piece-Count": {"0,0,2"}, "Piece-Key": {"k"}}
			nodes[i%2].assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
		})
	}
	wg.Wait()
	calls := maker.Calls()
	assert.Assert(t, len(calls) < 12, "%d calls for 24 pieces", len(calls))
}

// TestConfiguration guards against a configuration that is not in force soon, and
// against a return to an older or an invalid one.
func TestConfiguration(t *testing.T) {
	r := newRig(t)
	r.replica("i-1", "desk")
	n := r.router(1)
	set := func(version int, rs []site.Route, ks map[string]string) {
		r.site.Store.PutJSON("op/config", site.Config(version, rs, site.Services, ks))
	}
	added := append([]site.Route{{Name: "new", Host: "new.example", Prefix: "/", Kind: "safe", Service: "desk", Timeout: 8000, Aim: 300, Attempts: 1}}, routes...)
	set(5, added, map[string]string{"key-2": "folders"})
	r.waitFor("version 5 is in force", func() bool { return n.view.Load().Config.Version == 5 })
	c := get("new.example", "/x")
	n.assertStatus(t, c, http.StatusUnauthorized, "")
	c.key = "key-2"
	n.assertStatus(t, c, http.StatusOK, site.Body("/x"))
	set(4, routes, apiKeys)
	r.site.Store.Put("op/config", []byte("{"))
	at := r.site.Store.PutJSON("op/evacuate/b", map[string]any{})
	r.waitFor("the router has read past them", func() bool { return int64(n.view.Load().Revisions[0]) >= at })
	assert.Equal(t, int(n.view.Load().Config.Version), 5)
	n.assertStatus(t, c, http.StatusOK, "")
}

// TestDiscovery guards against work for upstreams that left, and against losing all
// of them with the store's history or with entries of other writers.
func TestDiscovery(t *testing.T) {
	r := newRig(t)
	r.replica("i-1", "desk")
	second := r.replica("i-2", "desk")
	n := r.router(2)
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
	t.Run("history lost", func(t *testing.T) {
		r.site.Store.SetMode(site.Reset)
		r.waitFor("the store is missed", func() bool { return n.storeLost(1) })
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

// TestLapse guards against a router without upstreams when their entries lapse while
// the store is away.
func TestLapse(t *testing.T) {
	r := newRig(t)
	r.replica("i-1", "desk")
	n := r.router(1)
	r.site.Store.SetMode(site.Silent)
	r.waitFor("the store is missed", func() bool { return n.storeLost(1) })
	at := r.site.Store.Delete("servers/i-1")
	r.site.Store.SetMode(site.Up)
	r.waitFor("the deletion is read", func() bool { return int64(n.view.Load().Revisions[1]) >= at })
	n.assertStatus(t, get(deskHost, "/safe/1"), http.StatusOK, "")
	r.waitFor("the entry counts as gone", func() bool { return len(n.view.Load().Upstreams["desk"]) == 0 })
}

// TestWrongInstance guards against a request that runs at an upstream of another
// service to which an address was given again.
func TestWrongInstance(t *testing.T) {
	r := newRig(t)
	p := r.replica("i-1", "desk")
	n := r.router(1)
	p.ID = "i-9" // another run at the same address, before its entry is written
	resp := n.assertStatus(t, post(deskHost, "/once/1", "x"), http.StatusServiceUnavailable, "")
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	r.assertRuns("id-/once/1", 0)
}

// TestPeers guards against a router that starts while the store is away and can't
// serve although its peers know all it needs.
func TestPeers(t *testing.T) {
	r := newRig(t)
	r.replica("i-1", "desk")
	first := r.settings("r1")
	n := r.start(first)
	r.waitForUpstreams(n, 1)
	r.site.Store.SetMode(site.Silent)
	late := r.start(r.settings("r2", first.Peers))
	r.waitForUpstreams(late, 1)
	late.assertStatus(t, get(deskHost, "/safe/1"), http.StatusOK, site.Body("/safe/1"))
}

// TestDrain guards against a planned stop that cuts off a request or keeps being
// sent new ones.
func TestDrain(t *testing.T) {
	r := newRig(t)
	p := r.replica("i-1", "desk")
	p.Work = 400 * time.Millisecond
	n := r.routerWithGrace(1, 3)
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
// the drain: LOST on deploy/days/paused.toml, seed 821516968308, fvmfiu-router.
func TestDrainEnds(t *testing.T) {
	r := newRig(t)
	r.replica("i-1", "desk", site.Mute)
	r.replica("e-1", "engine", site.Mute)
	n := r.routerWithGrace(2, 3)
	var wg sync.WaitGroup
	for _, host := range []string{deskHost, streamHost} {
		wg.Go(func() {
			// It may have run.
			n.assertStatus(t, post(host, "/once/1", "x"), http.StatusGatewayTimeout, "stopping\n")
		})
	}
	r.waitFor("the upstreams run the requests", func() bool { return len(r.site.Runs()) == 2 })
	n.terminate()
	wg.Wait()
	n.wait(t)
}

// TestDrainLateCallers guards against a stop that resets the connections of callers
// that the balancer has sent although the router is no longer ready: at the end of
// the rotation 38 requests of an incident found their connection closed. It guards too
// against requests that are taken so late that the stop cuts them off.
func TestDrainLateCallers(t *testing.T) {
	r := newRig(t)
	r.replica("i-1", "desk")
	n := r.routerWithGrace(1, 5)
	n.terminate()
	r.waitFor("the router is not ready", func() bool { return n.readinessStatus(t) == http.StatusServiceUnavailable })
	// Requests come until after the rotation, which ends after half of the grace.
	began := time.Now()
	late := 0
	for i := 0; time.Since(began) < n.cfg.grace()/2+quietTime; i++ {
		c := get(deskHost, fmt.Sprint("/safe/", i))
		resp, _, err := n.do(t, c)
		assert.NilError(t, err)
		if n.ending.Load() != nil && resp.StatusCode != http.StatusOK {
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, resp.Header.Get("Retry-After") != "" && resp.Close)
			r.assertRuns(c.id, 0)
			late++
		} else {
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Assert(t, late == 0, "served after the rotation")
		}
		time.Sleep(quietTime / 10)
	}
	assert.Assert(t, late > 0)
	n.wait(t)
}

// TestDrainShortRequests guards against refusals of requests that would have ended long
// before the process is killed: 170 in six seconds of an incident in which several
// routers stopped at once.
func TestDrainShortRequests(t *testing.T) {
	r := newRig(t)
	r.replica("i-1", "desk")
	n := r.routerWithGrace(1, 5)
	n.terminate()
	for i, late := 0, 0; late < 10; i++ { // without requests the listener closes
		ended := n.ending.Load() != nil
		c := get(deskHost, fmt.Sprint("/safe/", i))
		c.header = http.Header{site.HeaderDeadline: {"600"}}
		n.assertStatus(t, c, http.StatusOK, site.Body(c.target))
		if ended {
			n.assertStatus(t, get(deskHost, fmt.Sprint("/safe/long/", i)), http.StatusServiceUnavailable, "")
			late++
		}
		time.Sleep(quietTime / 10)
	}
	n.wait(t)
}

// TestStoreReturns guards against a return of the store that is noticed with the next
// change only: an upstream that left then was taken for one whose entry had lapsed while
// the store was away, and got requests for 2.5 s more (mix, seed 844428995565).
func TestStoreReturns(t *testing.T) {
	r := newRig(t)
	r.replica("i-1", "desk")
	n := r.router(1)
	lost := func() bool { return n.storeLost(platform.Operator) || n.storeLost(platform.Upstreams) }
	r.site.Store.SetMode(site.Reset)
	r.waitFor("the store is lost", func() bool { return n.storeLost(platform.Operator) && n.storeLost(platform.Upstreams) })
	r.site.Store.SetMode(site.Up)
	for end := time.Now().Add(watchWait / 2); lost(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the return is not noticed")
	}
}

// TestCrashingRequest guards against a request that crashes one upstream after the
// other.
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
	n := r.router(8)
	// Most upstreams are reached over connections that were used before.
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
		time.Sleep(30 * time.Millisecond) // the router looks whether the upstream crashed
	}
	assert.Assert(t, count() <= 6, "%d upstreams crashed", count())
	n.assertStatus(t, get(deskHost, "/safe/good"), http.StatusOK, "")
}
