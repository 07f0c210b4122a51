package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/origin"
	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes/site"
)

// listen returns an address that f listens on until the end of the test.
func listen(t *testing.T, f func() (addr string, stop func(), err error)) string {
	t.Helper()
	addr, stop, err := f()
	assert.NilError(t, err)
	t.Cleanup(stop)
	return addr
}

// startBesideSilent starts a router with the fewest cores of all that may own queues, which knows the
// archive and the routers at the given addresses. Others hear of these all the time.
func startBesideSilent(t *testing.T, addrs []string, cores []float64) (r *rig, n *node) {
	t.Helper()
	r = newRig(t)
	r.addReplica("a-1", "archive")
	cfg := r.settings("r1")
	cfg.Cores = 0.1
	n = r.start(cfg)
	r.waitForUpstreams(n, 1)
	n.peers.mu.Lock()
	for i, a := range addrs {
		n.peers.mergeMember(time.Now().Add(time.Hour), Member{Name: wire.HostID(fmt.Sprint("r", i+2)), Address: wire.Address(a), Centre: "a", Boot: 1, CPU: cores[i]})
	}
	n.peers.mu.Unlock()
	n.queues.reassign(time.Now())
	assert.Assert(t, n.queues.owner(shard.ID{Service: "archive"}) != n.cfg.Name)
	return r, n
}

// assertMade places an order and asserts that its pieces are made.
func assertMade(t *testing.T, n *node, request wire.RequestID) (waits []orderWait) {
	t.Helper()
	ws := new(orderWaits)
	o := Order{Request: request, Service: "archive", Pieces: 2, Key: "k", Centre: "a", Aim: waitTimeout, Left: waitTimeout}
	m, _, err := n.placeOrder(context.Background(), o, ws)
	assert.NilError(t, err)
	assert.Equal(t, m.Reason, "", "%v", ws.list())
	assert.Equal(t, len(m.Handles), 2)
	return ws.list()
}

// TestUnreachableOwners guards against requests that end because the owners of a stage queue can't be
// reached one after the other, although another router is left.
func TestUnreachableOwners(t *testing.T) {
	const silent = 5
	var addrs []string
	var cores []float64
	for range silent {
		addrs, cores = append(addrs, listen(t, site.ListenUnreachable)), append(cores, 8)
	}
	_, n := startBesideSilent(t, addrs, cores)
	assertMade(t, n, "first")
	t.Run("later orders pass them at once", func(t *testing.T) {
		assert.Equal(t, len(assertMade(t, n, "second")), 1)
	})
}

// TestSilentOwner guards against orders that wait until their deadline for an owner that others hear
// of, but that does not answer on the connection.
func TestSilentOwner(t *testing.T) {
	addr := listen(t, site.ListenSilent)
	far := listen(t, site.ListenSilent)
	// r4 is no neighbour of r1, to which r1 sends heartbeats.
	_, n := startBesideSilent(t, []string{addr, addr, far}, []float64{0.01, 0.01, 8})
	waits := assertMade(t, n, "first")
	assert.Equal(t, waits[0].Owner, wire.HostID("r4"))
}

// TestForecastBesideSilentOwners guards against requests that are refused long after routers were silent,
// because the time for which others waited for them is taken for an error of the forecasts.
func TestForecastBesideSilentOwners(t *testing.T) {
	addr := listen(t, site.ListenUnreachable)
	r, n := startBesideSilent(t, []string{addr}, []float64{8})
	r.addReplica("e-1", "engine")
	r.waitForUpstreams(n, 2)
	c := post(planHost, "/once/1", "prompt")
	c.header = http.Header{"Piece-Count": {"2"}, "Piece-Key": {"k"}}
	n.assertStatus(t, c, http.StatusOK, "")
	assert.Equal(t, n.forecastErrors.Expected("draft"), time.Duration(0))
}

// TestFirstRecord guards against take-ups that wait for routers that don't answer although another one
// has told the version of the stream.
func TestFirstRecord(t *testing.T) {
	told := origin.Answer{Record: origin.Record{Stream: "s", Service: "engine", Version: "v1"}}
	answers := make(chan originAnswer, 3)
	answers <- originAnswer{}
	answers <- originAnswer{answer: told, ok: true}
	found := originSearch{answers: make([]origin.Answer, 1), complete: true}
	found.gather(answers, 3)
	r, ok := origin.Resolve(found.answers, "engine")
	assert.Assert(t, ok)
	assert.Equal(t, r, told.Record)
}

// TestSilentHolders guards against streams that are refused because the holders of their record don't
// answer, although the router that began them does.
func TestSilentHolders(t *testing.T) {
	addr := listen(t, site.ListenSilent)
	r, n := startBesideSilent(t, slices.Repeat([]string{addr}, 6), slices.Repeat([]float64{8}, 6))
	beginner := r.start(r.settings("beginner"))
	n.peers.mu.Lock()
	n.peers.mergeMember(time.Now().Add(time.Hour), beginner.peers.self)
	n.peers.mu.Unlock()
	rec := origin.Record{Service: "engine", Version: "v1", Left: time.Hour}
	for i := 0; rec.Stream == ""; i++ {
		id := wire.RequestID(fmt.Sprint("s-", i))
		if !slices.Contains(origin.Holders(id, n.peers.ownerCandidates(time.Now())), beginner.cfg.Name) {
			rec.Stream = id
		}
	}
	beginner.origins.table.Add(time.Now(), rec)
	found := n.origins.resolve(t.Context(), OriginQuery{Stream: rec.Stream, Service: "engine", Window: time.Hour})
	got, _ := origin.Resolve(found.answers, "engine")
	assert.Equal(t, got.Version, rec.Version)
}

// TestSlowHolderKeepsConnection guards against orders that fail because a router is slow to tell the record
// of a stream, and the connection to it that they use is closed.
func TestSlowHolderKeepsConnection(t *testing.T) {
	addr := listen(t, site.ListenSilent)
	far := listen(t, site.ListenSilent)
	// r4 is no neighbour of r1, so a heartbeat does not close the connection either.
	_, n := startBesideSilent(t, []string{addr, addr, far}, []float64{8, 8, 8})
	n.origins.resolve(t.Context(), OriginQuery{Stream: "s", Service: "engine", Window: time.Hour})
	n.origins.sendTo("r4", []origin.Record{{Stream: "s"}})
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	assert.Assert(t, n.peers.clients[wire.Address(far)] != nil)
}

// TestPeersAfterSuspension guards against routers that take all others for lost when they run again
// after a suspension, and refuse the streams that others know.
func TestPeersAfterSuspension(t *testing.T) {
	s, err := New(Settings{Name: "r1", Level: "info"}, "", io.Discard)
	assert.NilError(t, err)
	const pause = 3 * time.Second
	start := time.Now()
	p := s.peers
	p.mu.Lock()
	p.tickAt = start
	p.mergeMember(start, Member{Name: "r2", Address: "127.0.0.1:1", Boot: 1})
	p.mu.Unlock()
	assertKnown := func(at time.Time, want bool) {
		t.Helper()
		assert.Equal(t, len(p.candidateNames(at)) == 2, want)
	}
	assertKnown(start.Add(pause), true)
	p.recordTick(start.Add(pause))
	assertKnown(start.Add(pause+heartbeatTimeout/2), true)
	t.Run("silent after it", func(t *testing.T) {
		assertKnown(start.Add(pause+ownerTimeout), false)
	})
}

// TestFreeBesideSilentOwner guards against results that take up the room of upstreams until they expire,
// because the owner of their queue does not answer.
func TestFreeBesideSilentOwner(t *testing.T) {
	addr := listen(t, site.ListenUnreachable)
	r, n := startBesideSilent(t, []string{addr}, []float64{8})
	id := shard.ID{Service: "archive"}
	m := n.queues.makePieces(t.Context(), Order{Request: "q", Service: "archive", Shard: id, Pieces: 2, Size: 1000, Key: "k", Centre: "a", Aim: waitTimeout, Left: waitTimeout})
	assert.Equal(t, m.Reason, "")
	n.freeResults(Freed{Service: "archive", Shard: id, Handles: m.Handles})
	r.waitForResults(r.site.Replicas(), 0)
}

// TestEndedConnection guards against calls to a sound router that fail because the last connection to it
// has ended.
func TestEndedConnection(t *testing.T) {
	r := newRig(t)
	n, other := r.start(r.settings("r1")), r.start(r.settings("r2"))
	r.waitFor("the other router listens", func() bool {
		_, err := n.peers.client(other.cfg.Peers)
		return err == nil
	})
	c, err := n.peers.client(other.cfg.Peers)
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	assert.NilError(t, n.peers.call(t.Context(), other.cfg.Peers, "Peer.Ping", 0, new(int), waitTimeout))
}

// TestLostOwners guards against requests that end because the owners of a stage queue are lost one after
// the other.
func TestLostOwners(t *testing.T) {
	const lost = 5
	var addrs []string
	for range lost {
		addrs = append(addrs, listen(t, site.ListenSilent))
	}
	r, n := startBesideSilent(t, addrs, slices.Repeat([]float64{8}, lost))
	var made sync.WaitGroup
	made.Go(func() { assertMade(t, n, "first") })
	for range lost {
		var owner *peerRecord
		r.waitFor("the order waits for an owner that is heard of", func() bool {
			n.peers.mu.Lock()
			defer n.peers.mu.Unlock()
			for w := range n.peers.watches {
				owner = n.peers.members[w.name]
			}
			return owner != nil && owner.isAlive(time.Now())
		})
		n.peers.mu.Lock()
		owner.seenAt = time.Time{}
		n.peers.mu.Unlock()
		n.peers.cancelLost(time.Now())
	}
	made.Wait()
}
