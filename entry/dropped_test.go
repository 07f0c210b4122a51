package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes/site"
)

// dropArchive publishes a configuration that has neither the archive service nor routes that need
// it, and waits until a router has it.
func (r *rig) dropArchive(n *node) {
	r.t.Helper()
	rs := slices.DeleteFunc(slices.Clone(routes), func(rt site.Route) bool { return len(rt.Stages) > 0 })
	services := slices.DeleteFunc(slices.Clone(site.Services), func(s site.Service) bool { return s.Name == "archive" })
	r.site.Store.PutJSON("op/config", site.Config(2, rs, services, apiKeys))
	r.waitFor("the configuration is in force", func() bool { return n.view.Load().version() == 2 })
}

// startOrders places orders for a piece of the archive service each, and returns what was made.
func (n *node) startOrders(count int) (made chan Made) {
	made = make(chan Made, count)
	for i := range count {
		o := Order{Request: wire.RequestID(fmt.Sprint("q", i)), Service: "archive", Pieces: 1, Key: "k", Centre: "a", Aim: 2 * waitTimeout, Left: 2 * waitTimeout}
		go func() {
			m, _, err := n.placeOrder(context.Background(), o, nil)
			if err != nil {
				m.Reason = err.Error()
			}
			made <- m
		}()
	}
	return made
}

// orderLoop places orders for the archive service one after the other in several goroutines until it
// is stopped, as requests do that arrived before the service was dropped.
type orderLoop struct {
	made, failed atomic.Int64 // orders
	reasons      sync.Map     // of those that failed
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

func (n *node) startOrderLoop(workers int) *orderLoop {
	l := new(orderLoop)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for i := range workers {
		l.wg.Go(func() {
			for k := 0; l.ctx.Err() == nil; k++ {
				o := Order{Request: wire.RequestID(fmt.Sprint("q", i, "-", k)), Service: "archive", Pieces: 1, Key: "k", Centre: "a", Aim: waitTimeout, Left: waitTimeout}
				switch m, _, err := n.placeOrder(l.ctx, o, nil); {
				case err != nil: // stopped
				case m.Reason != "":
					l.reasons.Store(m.Reason, true)
					l.failed.Add(1)
				default:
					l.made.Add(1)
				}
			}
		})
	}
	return l
}

func (l *orderLoop) stop() {
	l.cancel()
	l.wg.Wait()
}

// TestDroppedService guards against stage calls for requests that arrived before a service was
// dropped from the configuration, which go to upstreams that leave later or are in a data centre
// that is taken out, and not to those that join.
func TestDroppedService(t *testing.T) {
	for name, leave := range map[string]func(r *rig, p *site.Replica){
		"drains":          func(r *rig, p *site.Replica) { r.site.Store.PutJSON("servers/"+p.ID, p.Entry("draining")) },
		"is gone":         func(r *rig, p *site.Replica) { r.site.Store.Delete("servers/" + p.ID) },
		"data centre out": func(r *rig, p *site.Replica) { r.site.Store.PutJSON("op/evacuate/"+p.Centre, map[string]any{}) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			leaving := r.addArchives("a", 1, 20*time.Millisecond)[0]
			r.addArchives("b", 1, 20*time.Millisecond)
			n := r.startRouter(2)
			l := n.startOrderLoop(30)
			defer l.stop()
			r.waitFor("the upstream is called", func() bool { return len(leaving.StageCalls()) > 0 })
			r.dropArchive(n)
			joining := r.addArchives("c", 1, 20*time.Millisecond)[0]
			leave(r, leaving)
			r.waitFor("the router knows", func() bool {
				us := n.view.Load().Upstreams["archive"]
				return len(us) == 2 && !slices.ContainsFunc(us, func(u fleet.Upstream) bool { return string(u.ID) == leaving.ID })
			})
			before, made := len(leaving.StageCalls()), l.made.Load()
			r.waitFor("many more orders are made", func() bool { return l.made.Load() > made+300 })
			after := len(leaving.StageCalls())
			assert.Assert(t, after <= before+1, "%d calls were sent after the upstream had left", after-before-1) // one was in flight
			r.waitFor("the upstream that joined is called", func() bool { return len(joining.StageCalls()) > 0 })
			assert.Equal(t, l.failed.Load(), int64(0))
		})
	}
}

// TestDroppedServiceEnds guards against orders that wait until their deadline for a service that
// was dropped and has no upstream left, and against a queue that is kept for it.
func TestDroppedServiceEnds(t *testing.T) {
	r := newRig(t)
	last := r.addArchives("a", 1, 20*time.Millisecond)[0]
	n := r.startRouter(1)
	l := n.startOrderLoop(30)
	defer l.stop()
	r.waitFor("the upstream is called", func() bool { return len(last.StageCalls()) > 0 })
	r.dropArchive(n)
	r.site.Store.Delete("servers/" + last.ID)
	r.waitFor("orders fail", func() bool { return l.failed.Load() > 0 })
	l.reasons.Range(func(reason, _ any) bool {
		assert.Equal(t, reason, reasonNoUpstream)
		return true
	})
	r.waitFor("the queue is gone", func() bool { return n.queues.find(shard.ID{Service: "archive"}) == nil })
}

// TestDroppedServiceDivided guards against requests that fail because a service that was dropped is
// divided differently when some of its upstreams leave.
func TestDroppedServiceDivided(t *testing.T) {
	r, nodes, archives := dividedRig(t, 30*time.Millisecond)
	l := nodes[0].startOrderLoop(100)
	defer l.stop()
	r.waitFor("orders are made", func() bool { return l.made.Load() > 0 })
	for _, n := range nodes {
		r.dropArchive(n)
	}
	for _, p := range archives[:2] {
		r.site.Store.PutJSON("servers/"+p.ID, p.Entry("draining"))
	}
	for _, n := range nodes {
		r.waitFor("the service is divided differently", func() bool {
			return len(n.view.Load().Upstreams["archive"]) == len(archives)-2 && n.queues.find(shard.ID{Service: "archive"}) != nil
		})
	}
	made := l.made.Load()
	r.waitFor("many more orders are made", func() bool { return l.made.Load() > made+300 })
	assert.Equal(t, l.failed.Load(), int64(0))
}

// TestRetiredQueue guards against stage calls that a queue goes on sending, to the upstreams that it
// had, after its service was divided differently while a call was in flight, and against results
// that it leaves behind.
func TestRetiredQueue(t *testing.T) {
	r := newRig(t)
	services := slices.Clone(site.Services)
	i := slices.IndexFunc(services, func(s site.Service) bool { return s.Name == "archive" })
	services[i].Pieces = maps.Clone(services[i].Pieces)
	services[i].Pieces["call_ms"] = waitTimeout.Seconds() * 1000 // so that no call is overdue
	r.site.Store.PutJSON("op/config", site.Config(2, routes, services, apiKeys))
	archives := append(r.addArchives("a", 13, 5*time.Millisecond), r.addArchives("b", 12, 5*time.Millisecond)...)
	called, fail := make(chan *site.Replica, 100), make(chan struct{})
	var lost atomic.Bool
	for _, p := range archives[:13] {
		p.Act = func(*http.Request) site.Action {
			called <- p
			if !lost.CompareAndSwap(false, true) {
				return site.Serve
			}
			<-fail
			return site.LoseAnswer
		}
	}
	n := r.startRouter(25)
	id := shard.ID{Service: "archive", Centre: "a"}
	old := n.queues.find(id)
	first, _, err := n.placeOrder(context.Background(), Order{Request: "q", Service: "archive", Pieces: 1, Key: "k", Centre: "b", Aim: 2 * waitTimeout, Left: 2 * waitTimeout}, nil)
	assert.NilError(t, err)
	assert.Equal(t, resultCount(archives), 1)
	made := n.startOrders(1)
	busy := <-called
	b := n.queues.find(shard.ID{Service: "archive", Centre: "b"})
	b.mu.Lock()
	b.queueFrees(first.Handles)
	b.freeTimer.Stop() // as if the upstream's limit were used up
	b.mu.Unlock()
	for _, p := range archives[:13] {
		if p != busy {
			r.site.Store.PutJSON("servers/"+p.ID, p.Entry("draining"))
		}
	}
	r.waitFor("the service is divided differently", func() bool {
		return len(n.view.Load().Upstreams["archive"]) == 13 && n.queues.find(id) == nil
	})
	close(fail)
	m := <-made
	assert.Equal(t, m.Reason, "")
	for range len(called) {
		assert.Equal(t, (<-called).ID, busy.ID, "an upstream that had left was called")
	}
	r.waitForResults(archives, 1)
	n.queues.free(Freed{Service: "archive", Handles: m.Handles})
	r.waitForResults(archives, 0)
	m, ok := old.admit(time.Now(), &job{order: Order{Request: "late", Service: "archive", Pieces: 1, Left: time.Second}})
	assert.Assert(t, !ok)
	assert.Equal(t, m.Reason, reasonMoved, "an order that found the queue before it was gone")
}

// TestDroppedServiceOwners guards against routers that disagree on the owners of queues because one
// of them has started after a service was dropped: two owners would send calls to the same upstreams.
func TestDroppedServiceOwners(t *testing.T) {
	listed := &fleet.Config{Services: []fleet.Service{{ID: "plain"}}}
	upstreams := map[fleet.ServiceID][]fleet.Upstream{}
	for i := range 6 {
		id := fleet.ServiceID(fmt.Sprint("stage-", i))
		listed.Services = append(listed.Services, fleet.Service{ID: id, StageCalls: new(fleet.StageCalls)})
		upstreams[id] = []fleet.Upstream{{ID: wire.UpstreamID(fmt.Sprint("u-", i)), Service: id}}
	}
	routers := []shard.Router{{Name: "r1"}, {Name: "r2"}, {Name: "r3"}}
	for dropped := 1; dropped < len(listed.Services); dropped++ {
		cfg := &fleet.Config{Services: slices.Delete(slices.Clone(listed.Services), dropped, dropped+1)}
		v := &View{Config: cfg, Upstreams: upstreams}
		old := layout{}.divide(&View{Config: listed, Upstreams: upstreams}).divide(v).assign(routers)
		started := layout{}.divide(v).assign(routers)
		assert.Equal(t, len(old.owners), len(started.owners)+1, "the dropped service has no owner")
		for id, owner := range started.owners {
			assert.Equal(t, old.owners[id], owner, "owner of %s without %s", id, listed.Services[dropped].ID)
		}
	}
}

// TestDroppedPlainService guards against a request that arrived before its service was dropped from
// the configuration and reaches an upstream of it that leaves meanwhile, or fails.
func TestDroppedPlainService(t *testing.T) {
	r := newRig(t)
	r.addReplica("d-1", "desk")
	r.addReplica("d-2", "desk")
	r.addReplica("e-1", "engine")
	n := r.startRouter(3)
	const requests = 20
	bodies := make([]net.Conn, requests)
	for i := range bodies {
		c, err := net.Dial("tcp", string(n.cfg.Callers))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST /once/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: q%d\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\na", i, deskHost, i)
		assert.NilError(t, err)
		bodies[i] = c
	}
	r.waitFor("the requests have arrived", func() bool { return n.inFlight.Load() == requests })
	rs := slices.DeleteFunc(slices.Clone(routes), func(rt site.Route) bool { return rt.Service == "desk" })
	services := slices.DeleteFunc(slices.Clone(site.Services), func(s site.Service) bool { return s.Name == "desk" })
	r.site.Store.PutJSON("op/config", site.Config(2, rs, services, apiKeys))
	r.site.Store.PutJSON("servers/d-1", r.site.Replicas()[0].Entry("draining"))
	r.waitFor("the router knows", func() bool {
		v := n.view.Load()
		return v.version() == 2 && len(v.Upstreams["desk"]) == 1
	})
	for _, c := range bodies {
		_, err := io.WriteString(c, "b")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	for _, run := range r.site.Runs() {
		assert.Equal(t, run.Replica, "d-2", "%s reached an upstream that leaves", run.ID)
	}
}
