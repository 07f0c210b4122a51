// Package fleet models a deployment: the versioned configuration with its routes,
// services and teams, the registered upstreams, and the rules that decide which
// upstream may receive work. It does no I/O.
package fleet

import (
	"time"

	"hornbeamcove.example/core/wire"
)

// Identifiers and quantities of a deployment.
type (
	// RouteID names a route of the configuration.
	RouteID string
	// ServiceID names a service.
	ServiceID string
	// Version numbers a configuration; a higher one is newer.
	Version int64
	// Revision numbers a change in the history of the platform's store.
	Revision int64
	// Era counts how often the platform's store was restored from a copy; 0 if it doesn't
	// say. Revisions of different eras can't be compared.
	Era int64
	// Bytes is a size in bytes.
	Bytes int64
	// SoftwareVersion is the version of the software that an upstream runs, not of its model.
	SoftwareVersion string
	// Handle refers to a result that an upstream keeps for a later stage.
	Handle string
)

// Kind classifies routes by whether a request may run more than once.
type Kind int

// Kinds of routes.
const (
	Unsafe Kind = iota // at most once
	Safe               // any number of times
	Stream             // an event stream, repeatable only if it is resumable
)

// Route maps the requests for a host and path prefix to services.
type Route struct {
	ID            RouteID
	Host          string // in lower case, without a port
	PathPrefix    string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration     // upper bound on the time until the response is complete
	TargetLatency time.Duration     // time to the response, or to a stream's first event, that earns full credit
	TargetGap     time.Duration     // longest gap between events that counts as on time
	Rank          int               // 0 is the most urgent
	Split         []WeightedService // services among which the traffic is split
	MaxAttempts   int               // upper bound on the upstreams that one request may run on
	Regions       []wire.RegionID   // regions in which its requests may run; empty for all
	Anonymous     bool              // requests need no API key
	Engine        bool              // served by model engines with a prefix cache
	Resumable     bool              // a stream may continue at another upstream
	Stages        []Stage

	stageOrder []int // see StageOrder; nil before Config.Index
}

// StageOrder returns the indices of the stages in an order in which each follows those whose results it
// reads. Before Config.Index it is that of their numbers.
func (r *Route) StageOrder() []int {
	if len(r.stageOrder) == len(r.Stages) {
		return r.stageOrder
	}
	order := make([]int, len(r.Stages))
	for i := range order {
		order[i] = i
	}
	return order
}

// Repeatable reports whether a request of r may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// WeightedService is a service that receives part of a route's traffic, in
// proportion to its weight.
type WeightedService struct {
	Service ServiceID
	Weight  int
}

// Stage is a processing step that must finish before a request of a route can run. Its
// work is divided into pieces, which are made in stage calls.
type Stage struct {
	Service    ServiceID
	After      []int // indices of the stages whose results this one reads
	ResultSize Bytes // size of the result of one piece
}

// Service is a set of interchangeable upstreams.
type Service struct {
	ID         ServiceID
	HealthPath string        // path of the health check of an upstream, empty if it has none
	MaxConns   int           // limit on the connections of all routers to one upstream
	ColdTime   time.Duration // time for which an upstream is cold after its start
	ColdRate   float64       // requests per second that a cold upstream tolerates, 0 for no limit
	Engine     *Engine       // nil for plain services
	StageCalls *StageCalls   // nil unless the service makes stage results
}

// Engine describes the model engine that each upstream of a service runs.
type Engine struct {
	Slots      int         // requests that run at a time
	KVCapacity wire.Tokens // shared by running requests and the prefix cache
}

// StageCalls describes the stage calls that each upstream of a service accepts.
type StageCalls struct {
	Slots          int           // calls that run at a time
	QueueLimit     int           // calls that may wait for a slot
	MaxBatch       int           // upper bound on the pieces of one call
	CallOverhead   time.Duration // fixed time per call
	PieceTime      time.Duration // approximate time per piece of a call
	ResultCapacity Bytes         // space for the results that an upstream keeps
	ResultTTL      time.Duration // time for which a result is kept after its call
}

// ExpectedTime returns the expected time of a call with n pieces.
func (c *StageCalls) ExpectedTime(n int) time.Duration {
	return c.CallOverhead + time.Duration(n)*c.PieceTime
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes Bytes
	IdleTimeout            time.Duration // time for which a connection may stay unused
}

// Team is a customer with its API keys.
type Team struct {
	ID      wire.TeamID
	Keys    []string
	Rank    int // overrides the rank of the route if HasRank is set
	HasRank bool
	Regions []wire.RegionID // regions in which its requests may run; empty for all
}

// Upstream is one replica of a service, as registered in the store.
type Upstream struct {
	ID            wire.UpstreamID
	Service       ServiceID
	Address       wire.Address
	Centre        wire.DataCentreID
	Software      SoftwareVersion
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // remaining cold time when the entry was written
	Born          int64         // start of the process in Unix milliseconds, 0 if unknown
	Sequence      int64         // number of the writes of the entry by this process, when it was written
}

// OlderThan reports whether the entry u was written before o, another entry of the same
// upstream. Processes that don't give their start can't be compared.
func (u Upstream) OlderThan(o Upstream) bool {
	if u.Born == 0 || o.Born == 0 {
		return false
	}
	return u.Born < o.Born || u.Born == o.Born && u.Sequence < o.Sequence
}

// SameRun reports whether u and o describe the same upstream process, not one that
// was restarted or replaced under the same id.
func (u Upstream) SameRun(o Upstream) bool {
	return u.ID == o.ID && u.Address == o.Address && u.Service == o.Service && u.Born == o.Born
}
