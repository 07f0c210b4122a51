package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes/site"
)

// maxPartRuns is the largest number of requests with a prompt part that crashes upstreams
// which may reach one: the users' rule allows three after the fifth crash.
const maxPartRuns = 5 + 3

const badPart = "bad0"

// newCrashRig starts n upstreams of a service that crash on badPart, and three routers.
func newCrashRig(t *testing.T, service string, n int, work time.Duration) (*rig, []*node) {
	t.Helper()
	r := newRig(t)
	for i := range n {
		p := &site.Replica{ID: fmt.Sprint("u-", i), Service: service, Centre: "a", ServiceTime: work, Act: site.CrashOn(badPart)}
		if service == "engine" {
			p.Events = 6
		}
		assert.NilError(t, r.site.Add(p))
	}
	for i := range 2 {
		r.addReplica(fmt.Sprint("a-", i), "archive")
		r.addReplica(fmt.Sprint("s-", i), "school")
	}
	var nodes []*node
	var seeds []wire.Address
	for i := range 3 {
		cfg := r.settings(fmt.Sprint("r", i), seeds...)
		seeds = append(seeds, cfg.Peers)
		nodes = append(nodes, r.start(cfg))
	}
	for _, nd := range nodes {
		r.waitForUpstreams(nd, n+4)
		r.waitFor("the router knows its peers", func() bool { return nd.peers.routerCount(time.Now()) == len(nodes) })
	}
	return r, nodes
}

// withParts returns c with a prompt of the given shared parts and a last part of its own.
func withParts(c call, parts ...string) call {
	c.header = http.Header{site.HeaderParts: {strings.Join(parts, ":100,") + ":100,own-" + c.id + ":10"}}
	c.header.Set(site.HeaderPieceCounts, "1,2,1")
	c.header.Set(site.HeaderPieceKey, c.id)
	return c
}

// waitForRestarts waits until all upstreams of a service accept connections again.
func (r *rig) waitForRestarts(service string) {
	r.t.Helper()
	r.waitFor("all upstreams accept connections", func() bool {
		for _, rp := range r.site.Replicas() {
			if rp.Service != service {
				continue
			}
			c, err := net.Dial("tcp", rp.Addr())
			if err != nil {
				return false
			}
			_ = c.Close()
		}
		return true
	})
}

// badRuns returns how many requests with badPart began to run at upstreams.
func (r *rig) badRuns() (n int) {
	for _, run := range r.site.Runs() {
		if run.Executed && strings.Contains(run.Header.Get(site.HeaderParts), badPart) {
			n++
		}
	}
	return n
}

var partRoutes = []struct {
	name, service string
	call          func(id string) call
}{
	{"unary", "desk", func(id string) call { return post(deskHost, "/once/"+id, id) }},
	{"unary with retry", "desk", func(id string) call { return get(deskHost, "/safe/"+id) }},
	{"stream", "engine", func(id string) call { return post(streamHost, "/once/"+id, id) }},
	{"stream with retry", "engine", func(id string) call { return post(streamHost, "/resume/"+id, id) }},
	{"stream with stages", "engine", func(id string) call { return post(planHost, "/"+id, id) }},
}

// TestCrashingPart guards against requests that have only one prompt part in common and
// crash one upstream after another, at whichever router they arrive.
func TestCrashingPart(t *testing.T) {
	for _, c := range partRoutes {
		t.Run(c.name, func(t *testing.T) {
			r, nodes := newCrashRig(t, c.service, 6, 5*time.Millisecond)
			send := func(nd *node, id string, parts ...string) int {
				resp, _, err := nd.do(t, withParts(c.call(id), parts...))
				if err != nil {
					return 0
				}
				return resp.StatusCode
			}
			for i := range 16 {
				_ = send(nodes[i%3], fmt.Sprint("bad-", i), "first", badPart, fmt.Sprint("topic-", i%4))
				r.waitForRestarts(c.service)
				for j, nd := range nodes {
					id := fmt.Sprintf("good-%d-%d", i, j)
					assert.Equal(t, send(nd, id, "first", fmt.Sprint("topic-", i%4)), http.StatusOK, id)
				}
			}
			assert.Assert(t, r.badRuns() <= maxPartRuns, "%d requests with the part reached upstreams", r.badRuns())

			// A router that starts later refuses the part as well.
			late := r.start(r.settings("late", nodes[0].cfg.Peers))
			r.waitForUpstreams(late, 6+4)
			r.waitFor("the router knows its peers", func() bool { return late.peers.routerCount(time.Now()) == len(nodes)+1 })
			before := r.badRuns()
			assert.Equal(t, send(late, "bad-late", "first", badPart, "topic-0"), http.StatusServiceUnavailable)
			assert.Equal(t, r.badRuns(), before)
			assert.Equal(t, send(late, "good-late", "first", "topic-0"), http.StatusOK)
		})
	}
}

// TestCrashVictims guards against refusing sound requests because they ran beside requests
// that crashed their upstreams.
func TestCrashVictims(t *testing.T) {
	r, nodes := newCrashRig(t, "engine", 6, 30*time.Millisecond)
	send := func(nd *node, id string, parts ...string) {
		_, _, _ = nd.do(t, withParts(post(streamHost, "/once/"+id, id), parts...))
	}
	for i := range 12 {
		var wg sync.WaitGroup
		for j := range 24 {
			wg.Go(func() { send(nodes[j%3], fmt.Sprintf("good-%d-%d", i, j), "first", fmt.Sprint("topic-", j%8)) })
		}
		wg.Go(func() { send(nodes[i%3], fmt.Sprint("bad-", i), "first", badPart, fmt.Sprint("topic-", i)) })
		wg.Wait()
		r.waitForRestarts("engine")
	}
	assert.Assert(t, r.badRuns() <= maxPartRuns, "%d requests with the part reached upstreams", r.badRuns())
	for j := range 24 {
		c := withParts(post(streamHost, fmt.Sprint("/once/end-", j), "x"), "first", fmt.Sprint("topic-", j%8))
		nodes[j%3].assertStatus(t, c, http.StatusOK, "")
	}
}

// TestCrashingPartRepeat guards against repeating the request that showed a part to crash
// upstreams.
func TestCrashingPartRepeat(t *testing.T) {
	r, nodes := newCrashRig(t, "desk", 6, 5*time.Millisecond)
	n := nodes[0]
	n.assertStatus(t, withParts(get(deskHost, "/safe/good"), "first"), http.StatusOK, "")
	for i := range 2 {
		_, _, _ = n.do(t, withParts(post(deskHost, fmt.Sprint("/once/bad", i), "x"), "first", badPart))
		r.waitForRestarts("desk")
	}
	n.assertStatus(t, withParts(get(deskHost, "/safe/good2"), "first"), http.StatusOK, "")
	n.assertStatus(t, withParts(get(deskHost, "/safe/bad"), "first", badPart), http.StatusBadGateway, "")
	r.assertRuns("id-/safe/bad", 1)
}
