package limit

import (
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

const (
	// leavingMemory is the time for which an upstream that leaves is remembered after the
	// store has dropped it, since a restored store may list it again.
	leavingMemory = 5 * time.Minute
	// bornLag is the time for which a notice counts for another start of the upstream too, if
	// that lies before the notice: the store may tell of a start only after the first answers.
	// It is bounded, since the clocks of hosts differ.
	bornLag = 15 * time.Second
	// maxPause bounds the time for which an upstream may want no requests.
	maxPause = 10 * time.Minute
	// maxNotices bounds the upstreams whose notices are kept.
	maxNotices = 4096
)

// Notices holds what upstreams have told this router about themselves: that they leave, and
// for how long they want no requests from it. Both end when an upstream starts again. It is
// safe for concurrent use; the zero value is ready to use.
type Notices struct {
	mu         sync.Mutex
	byUpstream map[wire.UpstreamID]*notice
}

type notice struct {
	born        int64 // of the process that said so
	leaving     bool
	pausedUntil time.Time
	heardAt     time.Time
}

// Heard records an answer of u: whether it said that it leaves, and the time for which it
// wants no requests, 0 if it gave none. It reports whether either is news.
func (n *Notices) Heard(now time.Time, u fleet.Upstream, leaving bool, pause time.Duration) (left, paused bool) {
	if !leaving && pause <= 0 {
		return false, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.byUpstream[u.ID]
	if e == nil || e.born < u.Born {
		if e == nil && len(n.byUpstream) >= maxNotices {
			return false, false
		}
		if n.byUpstream == nil {
			n.byUpstream = make(map[wire.UpstreamID]*notice)
		}
		e = &notice{born: u.Born}
		n.byUpstream[u.ID] = e
	}
	if e.born != u.Born {
		return false, false // the answer is of a former process
	}
	e.heardAt = now
	left = leaving && !e.leaving
	e.leaving = e.leaving || leaving
	if until := now.Add(min(pause, maxPause)); pause > 0 && until.After(e.pausedUntil) {
		paused = !now.Before(e.pausedUntil)
		e.pausedUntil = until
	}
	return left, paused
}

// of reports whether the notice is of the process that u describes.
func (e *notice) of(u fleet.Upstream, now time.Time) bool {
	return e.born == u.Born || u.Born > e.born && u.Born <= e.heardAt.UnixMilli() && now.Sub(e.heardAt) < bornLag
}

// Leaving reports whether an upstream has said that it leaves.
func (n *Notices) Leaving(now time.Time, u fleet.Upstream) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.byUpstream[u.ID]
	return e != nil && e.leaving && e.of(u, now)
}

// Wait returns the time for which an upstream wants no requests, 0 if it takes them.
func (n *Notices) Wait(now time.Time, u fleet.Upstream) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.byUpstream[u.ID]
	if e == nil || !e.of(u, now) {
		return 0
	}
	return max(e.pausedUntil.Sub(now), 0)
}

// Retain forgets the notices of upstreams that are not live, after leavingMemory.
func (n *Notices) Retain(now time.Time, live func(wire.UpstreamID) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, e := range n.byUpstream {
		if !live(id) && now.Sub(e.heardAt) > leavingMemory && now.After(e.pausedUntil) {
			delete(n.byUpstream, id)
		}
	}
}
