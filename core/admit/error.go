package admit

import (
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
)

const (
	// errorWeight is the weight of a new sample in the mean error of a route's
	// forecasts and in its mean deviation.
	errorWeight = 0.06
	// deviations is the number of mean deviations that are added to the mean error. A
	// whole one keeps five of six requests in time and refuses many that would be.
	deviations = 0.3
	// maxError bounds one sample.
	maxError = 5 * time.Second
	// maxRoutes bounds the routes remembered.
	maxRoutes = 4096
)

// Errors learns by how much requests of each route come later than forecast. It is
// safe for concurrent use. The zero value is ready to use.
type Errors struct {
	mu     sync.Mutex
	routes map[fleet.RouteID]*estimate
}

type estimate struct{ mean, deviation float64 } // nanoseconds

// Learn records that the stages of a request took longer than forecast by late, or
// less long if it is negative.
func (e *Errors) Learn(id fleet.RouteID, late time.Duration) {
	late = min(max(late, -maxError), maxError)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.routes == nil || len(e.routes) >= maxRoutes {
		e.routes = make(map[fleet.RouteID]*estimate)
	}
	r := e.routes[id]
	if r == nil {
		r = new(estimate)
		e.routes[id] = r
	}
	diff := float64(late) - r.mean
	r.mean += errorWeight * diff
	r.deviation += errorWeight * (max(diff, -diff) - r.deviation)
}

// Usual returns the error to expect of a route's forecasts, at least 0.
func (e *Errors) Usual(id fleet.RouteID) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[id]
	if r == nil {
		return 0
	}
	return max(time.Duration(r.mean+deviations*r.deviation), 0)
}
