package fleet

import (
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	// offerDelay is the time for which a peer has an older configuration before it is sent
	// the newer one: usually it reads a change from the store in a fraction of that.
	offerDelay = 500 * time.Millisecond
	// offerInterval is the shortest time between two offers to the same peer.
	offerInterval = time.Second
	// behindGrace is the time for which a router may go on with a configuration that a peer
	// is known to have replaced.
	behindGrace = time.Second
	// versionAge is the age of what a peer said of its configuration from which it no longer
	// counts. A version that only a lost peer had may never come.
	versionAge = 1100 * time.Millisecond
)

// Followers decides which peers are sent the configuration in force, because they have an
// older one and don't get the newer one by themselves. It is safe for concurrent use; the
// zero value knows no peers.
type Followers struct {
	mu     sync.Mutex
	behind map[wire.HostID]follower
}

// follower is a peer with an older configuration.
type follower struct {
	since   time.Time
	offered time.Time // last offer
}

// Heard records the version of a peer, and this router's own, and reports whether the peer is
// to be sent the configuration now.
func (f *Followers) Heard(now time.Time, peer wire.HostID, its, own Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if its >= own {
		delete(f.behind, peer)
		return false
	}
	b, known := f.behind[peer]
	if !known {
		if f.behind == nil {
			f.behind = map[wire.HostID]follower{}
		}
		f.behind[peer] = follower{since: now}
		return false
	}
	if now.Sub(b.since) < offerDelay || now.Sub(b.offered) < offerInterval {
		return false
	}
	b.offered = now
	f.behind[peer] = b
	return true
}

// Leader tells whether a router's configuration is outdated, by what its peers say of theirs.
// It is safe for concurrent use; the zero value knows of no newer version.
type Leader struct {
	mu      sync.Mutex
	version Version   // newest version heard of
	heardAt time.Time // when a peer last had it or a newer one
	since   time.Time // since when there is a version newer than the router's
}

// Heard records the version of a peer and this router's own.
func (l *Leader) Heard(now time.Time, its, own Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, own)
	if its <= own || its < l.version {
		return
	}
	l.version, l.heardAt = its, now
	if l.since.IsZero() {
		l.since = now
	}
}

// Outdated reports whether requests should not be handled by a configuration of the given
// version, because a peer has had a newer one for some time.
func (l *Leader) Outdated(now time.Time, own Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update(now, own)
	return !l.since.IsZero() && now.Sub(l.since) > behindGrace
}

// update forgets a version that the router has reached or that no peer has any more. The
// caller holds mu.
func (l *Leader) update(now time.Time, own Version) {
	if own >= l.version || now.Sub(l.heardAt) > versionAge {
		l.version, l.since = 0, time.Time{}
	}
}
