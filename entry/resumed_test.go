package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes/site"
)

// TestResumedOrder guards against orders of streams taken up again that a queue refuses because
// of the new requests in it.
func TestResumedOrder(t *testing.T) {
	r := newRig(t)
	archive := r.addReplica("a-1", "archive")
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	archive.Act = func(*http.Request) site.Action { <-end; return site.Serve }
	n := r.startRouter(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 25 {
		o := Order{Request: wire.RequestID(fmt.Sprint("new", i)), Service: "archive", Pieces: 8, Key: "k", Centre: "a", Aim: 400 * time.Millisecond, Left: time.Minute}
		go n.queues.makePieces(ctx, o)
	}
	r.waitFor("the orders wait", func() bool {
		sq := n.queues.find(shard.ID{Service: "archive"})
		sq.mu.Lock()
		defer sq.mu.Unlock()
		return sq.q.Len() >= 24*8
	})
	o := Order{Request: "again", Service: "archive", Pieces: 1, Key: "k", Centre: "a", Aim: 500 * time.Millisecond, Left: 500 * time.Millisecond, Resumed: true}
	left, leave := context.WithCancel(context.Background())
	leave() // the order is cancelled as soon as it is queued
	assert.Equal(t, n.queues.makePieces(left, o).Reason, reasonCancelled)
	assert.Equal(t, n.queues.find(shard.ID{Service: "archive"}).load(time.Now()).Resumed, 0)
}
