package origin

import (
	"slices"
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
)

const (
	// MaxGap is the longest time between two observations in which no version can have come
	// and gone unnoticed: upstreams that fall silent stay registered for longer.
	MaxGap = 2500 * time.Millisecond
	// maxWindow is the time for which versions that are gone are remembered.
	maxWindow = 10 * time.Minute
	// minWindow and windowFactor determine the time within which the streams of a route are
	// taken up, if at all: windowFactor times its timeout, and at least minWindow.
	minWindow    = 20 * time.Second
	windowFactor = 3
)

// Window returns the time within which a stream is taken up, for a route with a timeout. A
// service that has had one version for so long has no stream of another one.
func Window(timeout time.Duration) time.Duration {
	return min(max(windowFactor*timeout, minWindow), maxWindow)
}

// History tracks the software versions that each service has had. It is safe for concurrent
// use; the zero value has observed nothing.
type History struct {
	mu       sync.Mutex
	since    time.Time // start of the observation without a gap
	last     time.Time // last observation
	lastSeen map[fleet.ServiceID]map[fleet.SoftwareVersion]time.Time
}

// Observe records the registered upstreams of all services. A gap of more than MaxGap starts
// the observation over.
func (h *History) Observe(now time.Time, us []fleet.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastSeen == nil {
		h.lastSeen = make(map[fleet.ServiceID]map[fleet.SoftwareVersion]time.Time)
	}
	if h.since.IsZero() || now.Sub(h.last) > MaxGap {
		h.since = now
	}
	h.last = now
	for _, u := range us {
		seen := h.lastSeen[u.Service]
		if seen == nil {
			seen = make(map[fleet.SoftwareVersion]time.Time)
			h.lastSeen[u.Service] = seen
		}
		seen[u.Software] = now
	}
	for svc, seen := range h.lastSeen {
		for v, at := range seen {
			if now.Sub(at) > maxWindow {
				delete(seen, v)
			}
		}
		if len(seen) == 0 {
			delete(h.lastSeen, svc)
		}
	}
}

// Reset starts the observation over, for instance after the process was suspended.
func (h *History) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since = time.Time{}
}

// Versions returns the versions that a service has had within a window, sorted, and whether
// the observation covers it.
func (h *History) Versions(now time.Time, svc fleet.ServiceID, window time.Duration) (vs []fleet.SoftwareVersion, covered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for v, at := range h.lastSeen[svc] {
		if now.Sub(at) <= window {
			vs = append(vs, v)
		}
	}
	slices.Sort(vs)
	return vs, !h.since.IsZero() && now.Sub(h.since) >= window && now.Sub(h.last) <= MaxGap
}

// Answer is what one router knows about a stream that is taken up.
type Answer struct {
	Record   Record // zero if it has none
	Versions []fleet.SoftwareVersion
	Covered  bool // whether Versions holds all versions that may have begun the stream
}

// Resolve returns the service and the version that began a stream, given the answers of
// several routers, or false if they can't be known. Without a record it is the only version of
// the service sole, if one router has observed it for long enough and none has seen another.
// sole is empty if the stream may have begun at several services.
func Resolve(answers []Answer, sole fleet.ServiceID) (r Record, ok bool) {
	for _, a := range answers {
		if a.Record.Version != "" {
			return a.Record, true
		}
	}
	r.Service = sole
	covered := false
	for _, a := range answers {
		covered = covered || a.Covered
		for _, v := range a.Versions {
			if r.Version != "" && v != r.Version {
				return Record{}, false
			}
			r.Version = v
		}
	}
	return r, covered && sole != "" && r.Version != ""
}

// OfReaders returns the version that began a stream, given the versions of the upstreams that
// have read the part of its prompt that no other stream has, or false if there are none or
// several.
func OfReaders(vs []fleet.SoftwareVersion) (fleet.SoftwareVersion, bool) {
	if len(vs) == 0 || slices.ContainsFunc(vs, func(v fleet.SoftwareVersion) bool { return v != vs[0] }) {
		return "", false
	}
	return vs[0], true
}
