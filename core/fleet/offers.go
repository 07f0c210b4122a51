package fleet

import (
	"slices"
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

// Offers decides which peers are sent the configuration in force, because they have an
// older one and don't get the newer one by themselves. It is safe for concurrent use; the
// zero value knows no peers.
type Offers struct {
	mu     sync.Mutex
	behind map[wire.HostID]offer
}

// offer is what is known of a peer with an older configuration.
type offer struct {
	since   time.Time
	offered time.Time // last offer
}

// Due records the version of a peer, and this router's own, and reports whether the peer is
// to be sent the configuration now.
func (o *Offers) Due(now time.Time, peer wire.HostID, its, own Version) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if its >= own {
		delete(o.behind, peer)
		return false
	}
	b, known := o.behind[peer]
	if !known {
		if o.behind == nil {
			o.behind = map[wire.HostID]offer{}
		}
		o.behind[peer] = offer{since: now}
		return false
	}
	if now.Sub(b.since) < offerDelay || now.Sub(b.offered) < offerInterval {
		return false
	}
	b.offered = now
	o.behind[peer] = b
	return true
}

// maxNewer bounds the newer versions whose times are kept. Beyond it the newest are left out.
const maxNewer = 64

// NewestVersion tells whether a router's configuration is outdated, by what its peers say of
// theirs. It is safe for concurrent use; the zero value knows of no newer version.
type NewestVersion struct {
	mu      sync.Mutex
	newer   []heardVersion // versions newer than the router's, in ascending order
	heardAt time.Time      // when a peer last had a newer version
}

// heardVersion is a version and when it was first heard of.
type heardVersion struct {
	version Version
	at      time.Time
}

// Heard records the version of a peer and this router's own.
func (n *NewestVersion) Heard(now time.Time, its, own Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.update(now, own)
	if its <= own {
		return
	}
	n.heardAt = now
	if len(n.newer) < maxNewer && (len(n.newer) == 0 || its > n.newer[len(n.newer)-1].version) {
		n.newer = append(n.newer, heardVersion{its, now})
	}
}

// Outdates reports whether requests should not be handled by a configuration of the given
// version, because a peer has had a newer one for some time.
func (n *NewestVersion) Outdates(now time.Time, own Version) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.update(now, own)
	return len(n.newer) > 0 && now.Sub(n.newer[0].at) > behindGrace
}

// update forgets the versions that the router has reached, and all if no peer has a newer one
// any more. The caller holds mu.
func (n *NewestVersion) update(now time.Time, own Version) {
	n.newer = slices.DeleteFunc(n.newer, func(h heardVersion) bool { return h.version <= own })
	if now.Sub(n.heardAt) > versionAge {
		n.newer = nil
	}
}
