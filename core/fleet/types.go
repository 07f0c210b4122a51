// Package fleet models a deployment that is configured as one versioned document:
// its routes, services, teams and upstreams, and the rules that say which upstream
// may receive work. It does no I/O.
package fleet

import (
	"time"

	"hornbeamcove.example/core/wire"
)

// Named ids and figures of a deployment.
type (
	// RouteID names a route of the configuration.
	RouteID string
	// ServiceID names a service, whose upstreams are interchangeable.
	ServiceID string
	// Version numbers a configuration; a higher one is newer.
	Version int64
	// Revision is a position in the history of the platform's store.
	Revision int64
	// Bytes is a size in bytes.
	Bytes int64
	// Handle names a result that an upstream keeps for a later stage.
	Handle string
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	Unsafe Kind = iota // at most once
	Safe               // any number of times
	Stream             // an event stream, repeatable only if it may be resumed
)

// Route maps requests to a service.
type Route struct {
	ID            RouteID
	Host          string // in lower case, without a port
	PathPrefix    string // of the path; begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration     // longest time until the answer is complete
	TargetLatency time.Duration     // time to the answer, or to a stream's first event, that earns full credit
	TargetGap     time.Duration     // longest pause between events that counts as on time
	Rank          int               // 0 is the most urgent
	Split         []WeightedService // services and their parts of the traffic
	MaxAttempts   int               // most upstreams on which one request may run
	Regions       []wire.RegionID
	Anonymous     bool // needs no key
	Engine        bool // served by model engines with a prefix cache
	Resumable     bool // a stream may go on at another upstream
	Stages        []Stage
}

// Repeatable reports whether a request of r may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// WeightedService is one service's part of a route's traffic.
type WeightedService struct {
	Service ServiceID
	Weight  int
}

// Stage is work that must be done before a request of a route can run.
type Stage struct {
	Service    ServiceID
	After      []int // indices of the stages whose results it reads
	ResultSize Bytes // of one result
}

// Service is a set of interchangeable upstreams.
type Service struct {
	ID         ServiceID
	MaxConns   int           // connections that an upstream accepts from all routers together
	ColdTime   time.Duration // for which an upstream stays cold after its start
	ColdRate   float64       // requests a second that a cold upstream tolerates; 0 for no bound
	Engine     *Engine       // nil for plain services
	StageCalls *StageCalls   // nil unless the service makes stage results
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int
	KVCapacity wire.Tokens // shared by running requests and the prefix cache
}

// StageCalls describes the stage calls that an upstream of a service takes.
type StageCalls struct {
	Slots          int           // calls in progress at a time
	QueueLimit     int           // calls that may wait
	MaxBatch       int           // most pieces of one call
	CallOverhead   time.Duration // of a call
	PieceTime      time.Duration // of each piece of a call, roughly
	ResultCapacity Bytes         // for results that are kept
	ResultTTL      time.Duration // for which a result is kept after its call
}

// ExpectedTime returns the expected time of a call with n pieces.
func (c *StageCalls) ExpectedTime(n int) time.Duration {
	return c.CallOverhead + time.Duration(n)*c.PieceTime
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes Bytes
	IdleTimeout            time.Duration // for which a connection may stay unused
}

// Team is a customer with its keys.
type Team struct {
	ID      wire.TeamID
	Keys    []string
	Rank    int // takes precedence over the rank of a route
	HasRank bool
	Regions []wire.RegionID
}

// Upstream is one replica of a service, as it registered itself.
type Upstream struct {
	ID            wire.UpstreamID
	Service       ServiceID
	Address       wire.Address
	Centre        wire.DataCentreID
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // at the time of the entry
	Born          int64         // Unix milliseconds of its start, 0 if unknown
}

// SameRun reports whether u and o are the same run of an upstream.
func (u Upstream) SameRun(o Upstream) bool {
	return u.ID == o.ID && u.Address == o.Address && u.Service == o.Service && u.Born == o.Born
}
