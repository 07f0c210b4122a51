package limit

import (
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

// Process is one run of an upstream. Born is its start in Unix milliseconds, 0 if unknown.
type Process struct {
	Upstream wire.UpstreamID
	Born     int64
}

// Named holds the limits that upstreams name in their answers: the requests per second
// that they take from all routers together, for as long as they say so. It is safe for
// concurrent use. The zero value is ready to use.
type Named struct {
	mu        sync.Mutex
	byProcess map[Process]*namedLimit
}

type namedLimit struct {
	rate    float64   // requests per second
	heardAt time.Time // time of the last answer that named the limit
}

// Heard records the limit that an answer named, or nil if it named none. began is when its
// request was sent. It reports whether the limit has changed. Answers may overtake each
// other, so one without a limit ends the limit only if its request was sent after the last
// answer that named one.
func (n *Named) Heard(now, began time.Time, p Process, rate *float64) (changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.byProcess[p]
	if rate == nil {
		if l == nil || !began.After(l.heardAt) {
			return false
		}
		delete(n.byProcess, p)
		return true
	}
	if l == nil {
		if n.byProcess == nil {
			n.byProcess = make(map[Process]*namedLimit)
		}
		n.byProcess[p] = &namedLimit{*rate, now}
		return true
	}
	changed = l.rate != *rate
	l.rate, l.heardAt = *rate, now
	return changed
}

// Rate returns the limit of an upstream process in requests per second, and false if it
// names none.
func (n *Named) Rate(p Process) (rate float64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.byProcess[p]; l != nil {
		return l.rate, true
	}
	return 0, false
}

// Retain removes the limits of processes for which live returns false.
func (n *Named) Retain(live func(Process) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.byProcess {
		if !live(p) {
			delete(n.byProcess, p)
		}
	}
}
