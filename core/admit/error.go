package admit

import (
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
)

const (
	// errorSampleWeight is the weight of a new sample in the mean error of a route's
	// forecasts and in its mean deviation.
	errorSampleWeight = 0.06
	// deviationFactor is the number of mean deviations that are added to the mean error. A
	// whole one keeps five of six requests in time and refuses many that would be.
	deviationFactor = 0.3
	// maxErrorSample bounds one sample.
	maxErrorSample = 5 * time.Second
	// maxRoutes bounds the routes remembered.
	maxRoutes = 4096
)

// ForecastErrors learns by how much requests of each route come later than forecast. It is
// safe for concurrent use. The zero value is ready to use.
type ForecastErrors struct {
	mu     sync.Mutex
	routes map[fleet.RouteID]*estimate
}

type estimate struct{ mean, deviation float64 } // nanoseconds

// Record records that the stages of a request took longer than forecast by late, or
// less long if it is negative.
func (e *ForecastErrors) Record(id fleet.RouteID, late time.Duration) {
	late = min(max(late, -maxErrorSample), maxErrorSample)
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
	r.mean += errorSampleWeight * diff
	r.deviation += errorSampleWeight * (max(diff, -diff) - r.deviation)
}

// Expected returns the error to expect of a route's forecasts, at least 0.
func (e *ForecastErrors) Expected(id fleet.RouteID) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[id]
	if r == nil {
		return 0
	}
	return max(time.Duration(r.mean+deviationFactor*r.deviation), 0)
}
