package admit

import (
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
)

const (
	// errorSampleWeight is the weight of a new sample in the moving averages of a
	// route's forecast error and of its deviation.
	errorSampleWeight = 0.06
	// deviationFactor is the number of mean deviations that are added to the mean
	// error. A factor of 1 keeps five of six requests on time, but also refuses many
	// that would have been on time.
	deviationFactor = 0.3
	// maxErrorSample limits the size of one sample in either direction.
	maxErrorSample = 5 * time.Second
	// maxRoutes limits the routes that are remembered. Once it is reached, all of them
	// are forgotten.
	maxRoutes = 4096
)

// ForecastErrors tracks how much later than forecast the stages of each route's requests
// end. It is safe for concurrent use. The zero value is ready to use.
type ForecastErrors struct {
	mu     sync.Mutex
	routes map[fleet.RouteID]*estimate
}

// estimate holds the moving averages of a route's forecast error and of its absolute
// deviation, in nanoseconds.
type estimate struct{ mean, deviation float64 }

// Record adds the forecast error of one request: its stages ended later than forecast by
// late, or earlier if it is negative.
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

// Expected returns the error to expect of the route's forecasts: 0 or the time by which
// requests are likely to be later than forecast.
func (e *ForecastErrors) Expected(id fleet.RouteID) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[id]
	if r == nil {
		return 0
	}
	return max(time.Duration(r.mean+deviationFactor*r.deviation), 0)
}
