package admit

import (
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
)

// Stop is the state of a router's stop when a request arrives.
type Stop struct {
	Left         time.Duration // time until the requests that have not ended are cut off
	DeadlineOnly bool          // whether a request must end before that even if it takes all its time
	OthersReady  bool          // whether another router is known to take requests
}

// Length is how long a request may take.
type Length struct {
	Deadline   time.Duration // time until its deadline
	Expected   time.Duration // whole time that requests of its route take, 0 if unknown
	Repeatable bool          // whether it may run more than once
}

// Takes reports whether a stopping router takes a request. Callers repeat one that it
// refuses elsewhere. One that is cut off after it was sent on is lost if it may not be
// repeated, so its expected time counts only if no other router can take it.
func (s Stop) Takes(l Length) bool {
	switch {
	case l.Deadline <= s.Left:
		return true
	case s.DeadlineOnly, l.Expected <= 0, !l.Repeatable && s.OthersReady:
		return false
	}
	return l.Expected <= s.Left
}

const (
	// durationWeight is the weight of a new sample in the moving averages of a route's
	// duration and of its deviation.
	durationWeight = 0.1
	// durationDeviations is the number of mean deviations that are added to the mean. As in
	// the retransmission timer of TCP (RFC 6298), few samples exceed the sum.
	durationDeviations = 4
)

// Durations tracks the whole time that requests of each route take. It is safe for
// concurrent use. The zero value is ready to use.
type Durations struct {
	mu     sync.Mutex
	routes map[fleet.RouteID]*estimate
}

// Record adds the duration of a request that was served.
func (ds *Durations) Record(id fleet.RouteID, d time.Duration) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.record(id, d)
}

// RecordAtLeast adds that a request was not served within d. It counts if d is longer than
// the mean.
func (ds *Durations) RecordAtLeast(id fleet.RouteID, d time.Duration) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if e := ds.routes[id]; e == nil || float64(d) > e.mean {
		ds.record(id, d)
	}
}

// record adds a sample. The caller holds mu.
func (ds *Durations) record(id fleet.RouteID, d time.Duration) {
	e := ds.routes[id]
	if e == nil {
		if ds.routes == nil || len(ds.routes) >= maxRoutes {
			ds.routes = make(map[fleet.RouteID]*estimate)
		}
		ds.routes[id] = &estimate{mean: float64(d), deviation: float64(d) / 2}
		return
	}
	diff := float64(d) - e.mean
	e.mean += durationWeight * diff
	e.deviation += durationWeight * (max(diff, -diff) - e.deviation)
}

// Expected returns a time within which most requests of a route end, 0 if none has ended.
func (ds *Durations) Expected(id fleet.RouteID) time.Duration {
	return ds.within(id, durationDeviations)
}

// within returns the mean of a route and the given number of mean deviations, 0 if none has ended.
func (ds *Durations) within(id fleet.RouteID, deviations float64) time.Duration {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	e := ds.routes[id]
	if e == nil {
		return 0
	}
	return time.Duration(e.mean + deviations*e.deviation)
}
