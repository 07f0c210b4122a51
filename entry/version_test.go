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

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/fakes/site"
	"hornbeamcove.example/platform"
)

// versionRig is a rig whose engines run several versions of their software.
type versionRig struct {
	*rig
	nodes []*node
}

// newVersionRig starts n routers and one engine, e-1, of version v1.
func newVersionRig(t *testing.T, n int, acts ...site.Action) *versionRig {
	t.Helper()
	r := &versionRig{rig: newRig(t)}
	r.addReplica("e-1", "engine", acts...)
	first := r.settings("r1")
	first.Seeds = append(first.Seeds, first.Peers)
	r.nodes = append(r.nodes, r.start(first))
	for i := 1; i < n; i++ {
		r.nodes = append(r.nodes, r.start(r.settings(fmt.Sprint("r", i+1), first.Peers)))
	}
	for _, nd := range r.nodes {
		r.waitForUpstreams(nd, 1)
	}
	return r
}

// release adds engines of version v2 and, if same is set, one more of v1, e-2.
func (r *versionRig) release(same bool) {
	r.t.Helper()
	n := 1
	if same {
		r.addReplica("e-2", "engine")
		n++
	}
	for i := range 5 {
		p := &site.Replica{ID: fmt.Sprint("new-", i), Service: "engine", Version: "v2", Centre: "a", Events: 6}
		assert.NilError(r.t, r.site.Add(p))
		n++
	}
	for _, nd := range r.nodes {
		r.waitForUpstreams(nd, n)
	}
}

// retire lets e-1 drain.
func (r *versionRig) retire() {
	r.t.Helper()
	before := len(r.nodes[0].view.Load().Upstreams["engine"])
	r.site.Store.PutJSON("servers/e-1", r.site.Replicas()[0].Entry("draining"))
	for _, nd := range r.nodes {
		r.waitForUpstreams(nd, before-1)
	}
}

// stream returns a request for a stream with a prompt of its own.
func stream(i int) call {
	c := post(streamHost, fmt.Sprint("/resume/", i), "prompt")
	c.header = http.Header{site.HeaderParts: {fmt.Sprintf("topic-%d:50,own-%d:5", i, i)}}
	return c
}

// takeUp returns the request that takes up the stream of c after an event.
func takeUp(c call, after int) call {
	again := c
	again.id = c.id + "-again"
	if again.header = c.header.Clone(); again.header == nil {
		again.header = http.Header{}
	}
	again.header.Set(site.HeaderLastEvent, fmt.Sprint(after))
	again.header.Set(site.HeaderResumes, c.id)
	return again
}

// eventsAfter returns the body of the events of a stream of six that follow one.
func eventsAfter(c call, after int) string {
	return streamBody(c.target, 6)[len(streamBody(c.target, after)):]
}

// assertVersion asserts that all engines that ran requests with an id had one version.
func (r *versionRig) assertVersion(id, want string) {
	r.t.Helper()
	for _, run := range r.site.Runs() {
		if run.ID == id && run.Executed {
			assert.Equal(r.t, run.Version, want, "%s ran at %s", id, run.Replica)
		}
	}
}

// observeLong makes a router believe that it has seen version v1 alone for a minute.
func (n *node) observeLong() {
	n.origins.history.Reset()
	for now, end := time.Now().Add(-time.Minute), time.Now(); now.Before(end); now = now.Add(time.Second) {
		n.origins.history.Observe(now, []fleet.Upstream{{ID: "e-1", Service: "engine", Software: "v1"}})
	}
}

// TestOutOfStep guards against a stream that a router out of step with the others takes up at
// the only version that it knows, while another one has joined.
func TestOutOfStep(t *testing.T) {
	begin := func(t *testing.T) (*versionRig, *storeGate, *node) {
		r := &versionRig{rig: newRig(t)}
		r.addReplica("e-1", "engine")
		g := r.newStoreGate()
		cfg := r.settings("r1")
		cfg.Store = g.address()
		n := r.start(cfg)
		r.nodes = []*node{n}
		r.waitForUpstreams(n, 1)
		n.observeLong()
		return r, g, n
	}
	again := takeUp(stream(1), 2)
	t.Run("in step", func(t *testing.T) {
		_, _, n := begin(t)
		n.assertStatus(t, again, http.StatusOK, eventsAfter(stream(1), 2))
	})
	t.Run("peers unreachable", func(t *testing.T) {
		_, _, n := begin(t)
		n.peers.mu.Lock()
		n.peers.mergeMember(time.Now().Add(-2*ownerTimeout), Member{Name: "r2", Address: "127.0.0.1:1", Boot: 1})
		n.peers.mu.Unlock()
		resp := n.assertStatus(t, again, http.StatusServiceUnavailable, "")
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
	})
	t.Run("store unreachable", func(t *testing.T) {
		r, g, n := begin(t)
		g.closed.Store(true)
		r.waitFor("the last read is old", func() bool {
			return n.view.Load().age(platform.AreaUpstreamRegistry) > 2*time.Second
		})
		n.assertStatus(t, again, http.StatusServiceUnavailable, "")
	})
}

// startBroken starts streams that e-1 begins and breaks off after two events, and calls
// release before it does. It returns the requests and what their callers got.
func (r *versionRig) startBroken(n int, same bool) (cs []call, bodies []string, errs []error) {
	r.t.Helper()
	bodies, errs = make([]string, n), make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		c := stream(i)
		cs = append(cs, c)
		wg.Go(func() { _, bodies[i], errs[i] = r.nodes[0].do(r.t, c) })
	}
	r.waitFor("the streams have begun", func() bool { return len(r.site.Runs()) == n })
	r.release(same)
	wg.Wait()
	return cs, bodies, errs
}

// TestStreamVersion guards against streams with events from two software versions.
func TestStreamVersion(t *testing.T) {
	const streams = 4
	slow := func(t *testing.T) *versionRig {
		r := newVersionRig(t, 1, slices.Repeat([]site.Action{site.LoseAnswer}, streams)...)
		r.site.Replicas()[0].ServiceTime = 400 * time.Millisecond
		return r
	}
	t.Run("resumed within an answer", func(t *testing.T) {
		r := slow(t)
		cs, bodies, errs := r.startBroken(streams, true)
		for i, c := range cs {
			assert.NilError(t, errs[i])
			assert.Equal(t, bodies[i], streamBody(c.target, 6))
			r.assertVersion(c.id, "v1")
		}
	})
	t.Run("no other upstream of the version", func(t *testing.T) {
		r := slow(t)
		cs, bodies, errs := r.startBroken(streams, false)
		for i, c := range cs {
			assert.Assert(t, errs[i] != nil || bodies[i] == streamBody(c.target, 6), "a part of the stream looks complete: %q", bodies[i])
			assert.Assert(t, strings.HasPrefix(streamBody(c.target, 6), bodies[i]))
			r.assertVersion(c.id, "v1")
		}
	})
	for _, routers := range []int{1, 2} {
		t.Run(fmt.Sprintf("taken up by the caller, %d routers", routers), func(t *testing.T) {
			r := newVersionRig(t, routers)
			for i := range streams {
				r.nodes[0].assertStatus(t, stream(i), http.StatusOK, "")
			}
			r.release(true)
			r.retire()
			for i := range streams {
				c := takeUp(stream(i), 2)
				r.nodes[routers-1].assertStatus(t, c, http.StatusOK, eventsAfter(c, 2))
				r.assertVersion(c.id, "v1")
			}
		})
	}
	t.Run("taken up when no upstream of the version is left", func(t *testing.T) {
		r := newVersionRig(t, 1)
		r.nodes[0].assertStatus(t, stream(0), http.StatusOK, "")
		r.release(false)
		r.retire()
		c := takeUp(stream(0), 2)
		r.nodes[0].assertStatus(t, c, http.StatusServiceUnavailable, "")
		r.assertRuns(c.id, 0)
	})
}

// waitForPeers waits until all routers of the rig know of each other.
func (r *versionRig) waitForPeers() {
	r.t.Helper()
	r.waitFor("the routers know of each other", func() bool {
		return !slices.ContainsFunc(r.nodes, func(n *node) bool { return len(n.peers.ownerCandidates(time.Now())) != len(r.nodes) })
	})
}

// restart replaces a router by a new one under its name, after stopping it with stop.
func (r *versionRig) restart(i int, stop func(n *node)) {
	r.t.Helper()
	old := r.nodes[i]
	stop(old)
	cfg := r.settings(string(old.cfg.Name))
	for j, n := range r.nodes {
		if j != i {
			cfg.Seeds = append(cfg.Seeds, n.cfg.Peers)
		}
	}
	r.nodes[i] = r.start(cfg)
	r.waitForUpstreams(r.nodes[i], len(r.nodes[(i+1)%len(r.nodes)].view.Load().Upstreams["engine"]))
	r.waitForPeers()
}

// TestStreamOrigin guards against routers that forget which version began a stream when the
// one that took it stops or is killed, and against guesses when all have forgotten.
func TestStreamOrigin(t *testing.T) {
	const streams = 4
	begin := func(t *testing.T) *versionRig {
		r := newVersionRig(t, 3)
		r.waitForPeers()
		for i := range streams {
			r.nodes[0].assertStatus(t, stream(i), http.StatusOK, "")
		}
		r.waitFor("the other routers hold the records", func() bool {
			return r.nodes[1].origins.table.Len()+r.nodes[2].origins.table.Len() >= streams
		})
		r.release(true)
		r.retire()
		return r
	}
	takeUpAll := func(t *testing.T, r *versionRig, n *node) {
		for i := range streams {
			c := takeUp(stream(i), 2)
			c.id += string(n.cfg.Name)
			n.assertStatus(t, c, http.StatusOK, eventsAfter(c, 2))
			r.assertVersion(c.id, "v1")
		}
	}
	t.Run("router killed", func(t *testing.T) {
		r := begin(t)
		r.nodes[0].kill(t)
		takeUpAll(t, r, r.nodes[1])
		takeUpAll(t, r, r.nodes[2])
	})
	t.Run("routers stopped and started one by one", func(t *testing.T) {
		r := begin(t)
		for i := range r.nodes {
			r.restart(i, func(n *node) { n.terminate(); n.wait(t) })
			r.waitFor("the router has the records that it owns", func() bool {
				return r.nodes[i].origins.table.Len() >= streams // one of three routers owns all records
			})
		}
		for _, n := range r.nodes {
			takeUpAll(t, r, n)
		}
	})
	t.Run("all killed at once, two versions", func(t *testing.T) {
		r := begin(t)
		for _, n := range r.nodes {
			n.kill(t)
		}
		n := r.start(r.settings("r9"))
		r.waitForUpstreams(n, len(r.site.Replicas())-1)
		for i := range streams {
			c := takeUp(stream(i), 2)
			n.assertStatus(t, c, http.StatusServiceUnavailable, "")
			r.assertRuns(c.id, 0)
		}
	})
	t.Run("all killed at once, the upstreams that read the prompts remain", func(t *testing.T) {
		r := newVersionRig(t, 1)
		for i := range streams {
			r.nodes[0].assertStatus(t, stream(i), http.StatusOK, "")
		}
		r.release(true)
		r.nodes[0].kill(t)
		n := r.start(r.settings("r9"))
		r.waitForUpstreams(n, len(r.site.Replicas()))
		takeUpAll(t, r, n)
	})
	t.Run("all killed at once, the old version has just left", func(t *testing.T) {
		r := newVersionRig(t, 1)
		r.nodes[0].assertStatus(t, stream(0), http.StatusOK, "")
		r.release(false)
		r.nodes[0].kill(t)
		r.site.Store.Delete("servers/e-1")
		n := r.start(r.settings("r9"))
		r.waitForUpstreams(n, 5)
		c := takeUp(stream(0), 2)
		n.assertStatus(t, c, http.StatusServiceUnavailable, "")
		r.assertRuns(c.id, 0)
	})
}
