package admin

import (
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// MaxExplainBytes limits the request line and the headers of a request to explain, in bytes.
const MaxExplainBytes = 64 << 10

// Explanation says what a router would do with a request now, and why, without sending it. Times
// are in milliseconds.
type Explanation struct {
	ResponseInfo
	Verdict
	Config    fleet.Version `json:"config"` // version in force, 0 for none
	ConfigAge int64         `json:"age"`    // since the configuration was read

	Route   fleet.RouteID           `json:"route"`           // empty if none matches
	Service fleet.ServiceID         `json:"service"`         // the first of those among which the route draws
	Split   map[fleet.ServiceID]int `json:"split,omitempty"` // weights of these services, if there are several
	Team    wire.TeamID             `json:"team"`            // empty for an anonymous request
	Rank    int                     `json:"rank"`            // 0 is the most urgent
	Left    int64                   `json:"left"`            // until the deadline
	Aim     int64                   `json:"aim"`             // until the route's latency target

	Forecast *Forecast `json:"forecast,omitempty"` // nil without stages
	Targets  []Target  `json:"targets"`            // upstreams of the service
}

// Verdict says whether a request would be sent, and where to, or the refusal that its caller would
// get.
type Verdict struct {
	Send     bool            `json:"send"`
	Upstream wire.UpstreamID `json:"upstream,omitempty"`
	Status   int             `json:"status,omitempty"`
	Reason   string          `json:"reason"`          // of the refusal or of the choice
	Retry    int64           `json:"retry,omitempty"` // Retry-After without its random part
}

// Forecast is what the admission expects of the stages of a request.
type Forecast struct {
	Stages []StageForecast `json:"stages"`
	Total  int64           `json:"total"` // until the first event or the answer
	Error  int64           `json:"error"` // by which forecasts of the route are usually too short
	Late   bool            `json:"late"`  // whether the request would run behind all others
}

// StageForecast is the forecast of one stage. Pressure is the share of the demand that the service has
// to turn away, Over by how much the team exceeds its share of it, as a ratio.
type StageForecast struct {
	Service  fleet.ServiceID `json:"service"`
	Pieces   int             `json:"pieces"`
	Waiting  int             `json:"waiting"` // pieces of all routers
	Rate     float64         `json:"rate"`    // pieces per second
	Wait     int64           `json:"wait"`
	Pressure float64         `json:"pressure"`
	Over     float64         `json:"over"`
}

// Target is an upstream as the choice sees it. State is usable, cold, silent, ejected, leaving,
// limited, or region if the request may not run there.
type Target struct {
	Upstream wire.UpstreamID       `json:"upstream"`
	Centre   wire.DataCentreID     `json:"centre"`
	Software fleet.SoftwareVersion `json:"software"`
	State    string                `json:"state"`
	InFlight int                   `json:"flight"`  // requests of this router
	Penalty  float64               `json:"penalty"` // extra load for recent failures and latency, in requests
	Load     float64               `json:"load"`    // as the choice weighs it
	LoadAge  int64                 `json:"loadage"` // since the upstream reported its load, -1 if it did not
	Pace     float64               `json:"pace"`    // time that work takes there, 1 as usual
}
