package entry

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes/site"
)

// addArchives adds replicas of the archive service to a data centre.
func (r *rig) addArchives(centre string, n int, serviceTime time.Duration) (ps []*site.Replica) {
	r.t.Helper()
	for i := range n {
		p := &site.Replica{ID: fmt.Sprint("archive-", centre, i), Service: "archive", Centre: centre, ServiceTime: serviceTime}
		assert.NilError(r.t, r.site.Add(p))
		ps = append(ps, p)
	}
	return ps
}

// resultCount returns how many stage results replicas keep.
func resultCount(ps []*site.Replica) (n int) {
	for _, p := range ps {
		n += p.ResultCount()
	}
	return n
}

// waitForResults waits until replicas keep n stage results.
func (r *rig) waitForResults(ps []*site.Replica, n int) {
	r.t.Helper()
	r.waitFor(fmt.Sprintf("%d results are kept", n), func() bool { return resultCount(ps) == n })
}

// planCall returns a request that needs pieces of all stages.
func planCall(i int) call {
	c := post(planHost, fmt.Sprint("/fold/", i), "prompt")
	c.header = http.Header{"Piece-Count": {"1,4,2"}, "Piece-Key": {"k"}}
	return c
}

// dividedRig starts a site whose archive service has queues in two data centres, and a
// router in each of them.
func dividedRig(t *testing.T, serviceTime time.Duration) (r *rig, nodes []*node, archives []*site.Replica) {
	r = newRig(t)
	archives = append(r.addArchives("a", 13, serviceTime), r.addArchives("b", 12, serviceTime)...)
	r.addReplica("s-1", "school")
	r.addReplica("e-1", "engine")
	first := r.settings("r1")
	second := r.settings("r2", first.Peers)
	second.Centre = "b"
	nodes = []*node{r.start(first), r.start(second)}
	for _, n := range nodes {
		r.waitForUpstreams(n, 27)
		r.waitFor("each queue has an owner in its data centre", func() bool {
			return n.queues.owner(shard.ID{Service: "archive", Centre: "a"}) == "r1" && n.queues.owner(shard.ID{Service: "archive", Centre: "b"}) == "r2"
		})
	}
	return r, nodes, archives
}

// assertServed sends plan requests to the routers in turn and asserts that all are
// answered whole.
func assertServed(t *testing.T, nodes []*node, requests int, interval time.Duration) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			c := planCall(i)
			nodes[i%len(nodes)].assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
		})
		time.Sleep(interval)
	}
	wg.Wait()
}

// TestDividedService guards against orders and frees that miss the queue of their data
// centre when a service has several queues.
func TestDividedService(t *testing.T) {
	r, nodes, archives := dividedRig(t, 5*time.Millisecond)
	assertServed(t, nodes, 40, time.Millisecond)
	r.waitForResults(archives, 0)
	t.Run("by a router of the former build", func(t *testing.T) {
		for _, n := range nodes {
			o := Order{Request: "q", Service: "archive", Stage: 2, Pieces: 2, Key: "k", Centre: "a", Aim: time.Second, Left: 4 * time.Second}
			var m Made
			assert.NilError(t, nodes[0].peers.call(context.Background(), n.cfg.Peers, "Peer.Make", o, &m, waitTimeout))
			assert.Equal(t, m.Reason, "")
			assert.Equal(t, len(m.Handles), 2)
			var reply int
			assert.NilError(t, nodes[0].peers.call(context.Background(), n.cfg.Peers, "Peer.Free", Freed{Service: "archive", Handles: m.Handles}, &reply, waitTimeout))
		}
		r.waitForResults(archives, 0)
	})
}

// TestFreeOnce guards against routers that know different divisions of a service and send
// results to free to each other without end.
func TestFreeOnce(t *testing.T) {
	r, nodes, archives := dividedRig(t, 5*time.Millisecond)
	m, _, err := nodes[0].placeOrder(context.Background(), Order{Request: "q", Service: "archive", Pieces: 1, Key: "k", Centre: "a", Aim: time.Second, Left: 4 * time.Second}, nil)
	assert.NilError(t, err)
	assert.Equal(t, resultCount(archives), 1)
	gone := shard.ID{Service: "archive", Centre: "a", Index: 7}
	for _, n := range nodes {
		assert.NilError(t, (&Peer{n.Server}).Free(Freed{Service: "archive", Shard: gone, Handles: m.Handles, Forwarded: true}, nil))
	}
	// Had the first result been sent on, it would be freed before that of a second order.
	other, madeBy, err := nodes[0].placeOrder(context.Background(), Order{Request: "q2", Service: "archive", Pieces: 1, Key: "k", Centre: "a", Aim: time.Second, Left: 4 * time.Second}, nil)
	assert.NilError(t, err)
	nodes[0].freeResults(Freed{Service: "archive", Shard: madeBy, Handles: other.Handles})
	r.waitForResults(archives, 1)
	assert.NilError(t, (&Peer{nodes[0].Server}).Free(Freed{Service: "archive", Shard: gone, Handles: m.Handles}, nil))
	r.waitForResults(archives, 0)
}

// TestDivisionChanges guards against requests that are lost when upstreams come and go so
// that a service is divided differently, or when the owner of a queue leaves.
func TestDivisionChanges(t *testing.T) {
	t.Run("to one queue and back", func(t *testing.T) {
		r, nodes, archives := dividedRig(t, 30*time.Millisecond)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for _, state := range []string{"draining", "ready"} {
				time.Sleep(60 * time.Millisecond)
				for _, p := range archives[:2] {
					r.site.Store.PutJSON("servers/"+p.ID, p.Entry(state))
				}
			}
		}()
		assertServed(t, nodes, 40, 5*time.Millisecond)
		<-done
	})
	t.Run("an owner stops", func(t *testing.T) {
		_, nodes, _ := dividedRig(t, 30*time.Millisecond)
		time.AfterFunc(60*time.Millisecond, nodes[1].terminate)
		assertServed(t, nodes[:1], 40, 5*time.Millisecond)
		nodes[1].wait(t)
	})
}

// TestCancelInCall guards against results that nobody reads and that keep room until they
// expire: those of an order that is cancelled while all its pieces are in calls.
func TestCancelInCall(t *testing.T) {
	r := newRig(t)
	archive := r.addReplica("a-1", "archive")
	archive.ServiceTime = 100 * time.Millisecond
	n := r.startRouter(1)
	o := Order{Request: "q", Service: "archive", Pieces: 2, Key: "k", Centre: "a", Aim: time.Second, Left: 4 * time.Second}
	made := make(chan Made, 1)
	go func() { made <- n.queues.makePieces(context.Background(), o) }()
	r.waitFor("all pieces are in calls", func() bool {
		sq := n.queues.find(shard.ID{Service: "archive"})
		sq.mu.Lock()
		defer sq.mu.Unlock()
		return sq.q.View().Upstreams["a-1"].InFlight == 1 && sq.q.Len() == 0
	})
	n.queues.cancel(o)
	assert.Equal(t, (<-made).Reason, reasonCancelled)
	r.waitFor("the call has ended", func() bool { return len(archive.StageCalls()) == 1 })
	r.waitFor("its results are freed", func() bool { return archive.ResultCount() == 0 })
}

// TestOrderAbandoned guards against an abandoned order whose answer arrives while its caller
// reads it. The race detector finds it.
func TestOrderAbandoned(t *testing.T) {
	r := newRig(t)
	r.addReplica("a-1", "archive")
	owner := r.startRouter(1)
	n := r.start(r.settings("r2", owner.cfg.Peers))
	r.waitForUpstreams(n, 1)
	r.waitFor("the router knows its peer", func() bool { _, ok := n.peers.address("r1"); return ok })
	for i := range 300 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond+time.Duration(i%30)*100*time.Microsecond)
		o := Order{Request: wire.RequestID(fmt.Sprint("q", i)), Service: "archive", Pieces: 1, Key: "k", Centre: "a", Aim: time.Second, Left: 4 * time.Second}
		_, _ = n.orderFrom(ctx, "r1", o)
		cancel()
	}
}

// TestOrderBeforeConfiguration guards against a router that crashes when it gets an order of
// the former build before it has a configuration.
func TestOrderBeforeConfiguration(t *testing.T) {
	r := newRig(t)
	r.site.Store.SetMode(site.Silent)
	n := r.start(r.settings("r1"))
	var m Made
	assert.NilError(t, (&Peer{n.Server}).Make(Order{Request: "q", Service: "archive", Pieces: 1, Left: time.Second}, &m))
	assert.Equal(t, m.Reason, reasonNoUpstream)
}

// TestQueueOwnedAgain guards against a router that makes nothing when it owns a queue again, because it
// still counts the results that another owner has freed meanwhile.
func TestQueueOwnedAgain(t *testing.T) {
	const pieces, size = 8, 5_000_000 // together as much as an upstream keeps
	r := newRig(t)
	services := slices.Clone(site.Services)
	for i, s := range services {
		if s.Name == "archive" {
			services[i].Pieces = maps.Clone(s.Pieces)
			services[i].Pieces["handle_s"] = waitTimeout.Seconds() * 100
		}
	}
	r.site.Store.PutJSON("op/config", site.Config(2, routes, services, apiKeys))
	archives := r.addArchives("a", 1, 0)
	first := r.settings("r1")
	first.Cores = 1
	n := r.start(first)
	r.waitForUpstreams(n, 1)
	id := shard.ID{Service: "archive"}
	waitForOwner := func(name wire.HostID) {
		t.Helper()
		r.waitFor("the queue is owned by "+string(name), func() bool { return n.queues.owner(id) == name })
	}
	makeAll := func(request wire.RequestID) Made {
		t.Helper()
		o := Order{Request: request, Service: "archive", Pieces: pieces, Size: size, Key: "k", Centre: "a", Aim: waitTimeout, Left: waitTimeout}
		m, _, err := n.placeOrder(context.Background(), o, nil)
		assert.NilError(t, err)
		assert.Equal(t, m.Reason, "")
		return m
	}
	waitForOwner("r1")
	m := makeAll("first")
	second := r.settings("r2", first.Peers)
	second.Cores = 8
	other := r.start(second)
	r.waitForUpstreams(other, 1)
	waitForOwner("r2")
	r.waitFor("both agree on the owner", func() bool { return other.queues.owner(id) == "r2" })
	n.freeResults(Freed{Service: "archive", Shard: id, Handles: m.Handles})
	r.waitForResults(archives, 0)
	other.terminate()
	waitForOwner("r1")
	makeAll("second")
}

// TestOwnersThatAnswer guards against queues that routers look for at different owners, because the
// routers find out at different times that the owner of another queue is silent.
func TestOwnersThatAnswer(t *testing.T) {
	var routers []shard.Router
	for i := range 6 {
		routers = append(routers, shard.Router{Name: wire.HostID(fmt.Sprint("r", i)), Centre: "a", CPU: 0.5})
	}
	l := layout{services: map[fleet.ServiceID][]shard.Shard{}}
	for i := range 12 {
		id := fleet.ServiceID(fmt.Sprint("s", i))
		l.services[id] = []shard.Shard{{ID: shard.ID{Service: id}}}
	}
	before := l.assign(routers).owners
	after := l.assignReachable(routers, routers[1:]).owners
	for id, owner := range before {
		if owner == routers[0].Name {
			assert.Assert(t, after[id] != owner)
		} else {
			assert.Equal(t, after[id], owner)
		}
	}
}
