package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/shard"
	"hornbeamcove.example/fakes/site"
)

// silence is a time for which replicas get requests and do not work on them.
type silence struct {
	mu  sync.Mutex
	end chan struct{} // closed at the end, nil before the begin
}

// silenceDuration is the length of a silence that is no fault of a replica.
const silenceDuration = 2 * time.Second

// stageCallTime is the time for which a replica works on a stage call in these tests.
const stageCallTime = 100 * time.Millisecond

// begin starts the silence if it has not begun, and returns its end.
func (s *silence) begin() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil {
		end := make(chan struct{})
		s.end = end
		time.AfterFunc(silenceDuration, func() { close(end) })
	}
	return s.end
}

// replica returns an Act for stage calls, of which the first begins the silence. It works on
// one call at a time and drops calls that are closed while they wait.
func (s *silence) replica() func(*http.Request) site.Action {
	turn := make(chan struct{}, 1)
	return func(req *http.Request) site.Action {
		select {
		case turn <- struct{}{}:
		case <-req.Context().Done():
			return site.LoseAnswer
		}
		defer func() { <-turn }()
		<-s.begin()
		time.Sleep(stageCallTime)
		return site.Serve
	}
}

// TestSilentStageUpstreams guards against requests that fail, and results that are kept in
// vain, because sound upstreams of a stage fall silent and go on.
func TestSilentStageUpstreams(t *testing.T) {
	for _, tc := range []struct{ upstreams, silent int }{{1, 1}, {2, 2}, {3, 3}, {3, 1}} {
		t.Run(fmt.Sprintf("%d of %d", tc.silent, tc.upstreams), func(t *testing.T) {
			r := newRig(t)
			var s silence
			stageReplicas := []*site.Replica{r.addReplica("s-1", "school")}
			for i := range tc.upstreams {
				p := r.addReplica(fmt.Sprint("a-", i), "archive")
				if p.Act = nil; i < tc.silent {
					p.Act, p.ServiceTime = s.replica(), 0
				}
				stageReplicas = append(stageReplicas, p)
			}
			r.addReplica("e-1", "engine")
			n := r.startRouter(2 + tc.upstreams)
			assertServed(t, []*node{n}, 6, 100*time.Millisecond)
			r.waitForResults(stageReplicas, 0)
			assertServed(t, []*node{n}, 3, 0)
		})
	}
}

// TestLostStageAnswer guards against waiting for the answer of a stage call until the
// deadline although the upstream answers later calls.
func TestLostStageAnswer(t *testing.T) {
	r := newRig(t)
	lost := make(chan struct{})
	t.Cleanup(func() { close(lost) })
	var called atomic.Bool
	archive := r.addReplica("a-1", "archive")
	archive.Act = func(*http.Request) site.Action {
		if called.CompareAndSwap(false, true) {
			<-lost
		}
		return site.Serve
	}
	n := r.startRouter(1)
	m := n.queues.makePieces(context.Background(), Order{Request: "q", Service: "archive", Pieces: 2, Key: "k", Centre: "a", Aim: time.Second, Left: time.Minute})
	assert.Equal(t, m.Reason, "")
	assert.Equal(t, len(m.Handles), 2)
	r.waitFor("the queue is empty", func() bool {
		sq := n.queues.find(shard.ID{Service: "archive"})
		sq.mu.Lock()
		defer sq.mu.Unlock()
		return sq.q.Len() == 0
	})
}
