package admin

import (
	"time"

	"hornbeamcove.example/core/acct"
	"hornbeamcove.example/core/meter"
	"hornbeamcove.example/core/share"
	"hornbeamcove.example/core/wire"
)

// Key is a team's key without its hash, which is never shown.
type Key struct {
	Team wire.TeamID `json:"team"`
}

// Object is a configuration object without its secrets.
type Object struct {
	Number   wire.TicketNumber `json:"number"`
	Kind     wire.ObjectKind   `json:"kind"`
	Name     string            `json:"name"`
	Deleted  bool              `json:"deleted,omitempty"`
	Team     *wire.Team        `json:"team,omitempty"`
	Pipeline *wire.Pipeline    `json:"pipeline,omitempty"`
	Upstream *wire.Upstream    `json:"upstream,omitempty"`
	Centre   *wire.Centre      `json:"centre,omitempty"`
	Model    *wire.Model       `json:"model,omitempty"`
	Key      *Key              `json:"key,omitempty"`
}

// NewObject returns o without secrets, or nil for nil.
func NewObject(o *wire.Object) *Object {
	if o == nil {
		return nil
	}
	v := &Object{
		Number: o.Number, Kind: o.Kind, Name: o.Name, Deleted: o.Deleted,
		Team: o.Team, Pipeline: o.Pipeline, Upstream: o.Upstream, Centre: o.Centre, Model: o.Model,
	}
	if o.Key != nil {
		v.Key = &Key{o.Key.Team}
	}
	return v
}

// Objects is the response of /v1/objects.
type Objects struct {
	ResponseInfo
	// Number is the highest ticket number of any object.
	Number  wire.TicketNumber `json:"number"`
	Objects []Object          `json:"objects"`
	Page
}

// Rejection is a ticket that was refused as a whole. A pending one refers to
// objects of a ticket that has not arrived, and is retried when others arrive.
type Rejection struct {
	Number  wire.TicketNumber `json:"number"`
	Field   string            `json:"field"`
	Problem string            `json:"problem"`
	Pending bool              `json:"pending"`
	At      time.Time         `json:"at"`
}

// Tickets is the response of /v1/tickets.
type Tickets struct {
	ResponseInfo
	// Number is the highest ticket number of any object.
	Number  wire.TicketNumber `json:"number"`
	Tickets []Rejection       `json:"tickets"`
	// Truncated is set when older rejections were dropped at the limit; Dropped
	// counts them since the start of the process.
	Truncated bool  `json:"cut"`
	Dropped   int64 `json:"dropped"`
}

// Values of Upstream.State.
const (
	StateCold         = "cold"
	StateWarming      = "warming"
	StateWarm         = "warm"
	StateLeaving      = "leaving"
	StateOut          = "out"
	StateSilent       = "silent"
	StateUnknown      = "unknown"
	StateRevalidating = "revalidating"
)

// Upstream is a router's view of one upstream. Limit, InFlight and Queued are from
// the agent's last report; OwnInFlight counts this router's calls in flight.
type Upstream struct {
	Upstream    wire.UpstreamID   `json:"upstream"`
	Pool        wire.PoolID       `json:"pool"`
	Centre      wire.DataCentreID `json:"centre"`
	State       string            `json:"state"`
	Eligible    bool              `json:"eligible"`
	Reason      string            `json:"reason"`
	Warmth      wire.Warmth       `json:"warmth"`
	Limit       wire.Slots        `json:"limit"`
	InFlight    wire.Slots        `json:"flight"`
	Queued      wire.Slots        `json:"queued"`
	OwnInFlight int64             `json:"own"`
}

// Upstreams is the response of /v1/upstreams. It lists the upstreams that the
// router holds sessions to; RosterSize counts the upstreams of the current roster.
type Upstreams struct {
	ResponseInfo
	RosterSize int        `json:"roster"`
	Upstreams  []Upstream `json:"upstreams"`
	Page
}

// TeamPool is the state of a team in the queue of one pool. Interactive and Batch
// count its waiting entries; Served is the cost served.
type TeamPool struct {
	Pool        wire.PoolID `json:"pool"`
	Interactive wire.Slots  `json:"interactive"`
	Batch       wire.Slots  `json:"batch"`
	Served      int64       `json:"served"`
}

// Team is a team with its share of the fleet and its work on this router.
type Team struct {
	Team   wire.TeamID       `json:"team"`
	Number wire.TicketNumber `json:"number"`
	Weight int               `json:"weight"`
	// Share is the team's weight as a fraction of the sum of all weights.
	Share float64 `json:"share"`
	// Queue is the limit of waiting entries in one pool; Queued and Served are the
	// sums over Pools.
	Queue  int        `json:"queue"`
	Queued wire.Slots `json:"queued"`
	Served int64      `json:"served"`
	Pools  []TeamPool `json:"pools"`
}

// NewTeamPool returns the state of a team in a pool's queue.
func NewTeamPool(p wire.PoolID, v *share.TeamView) TeamPool {
	return TeamPool{p, v.Interactive, v.Batch, v.Served}
}

// Teams is the response of /v1/teams.
type Teams struct {
	ResponseInfo
	Teams []Team `json:"teams"`
	Page
}

// Quarantines is the response of /v1/quarantines.
type Quarantines struct {
	ResponseInfo
	Marks []wire.Mark `json:"marks"`
	Page
}

// Centre is the response of /v1/centres/{name}.
type Centre struct {
	ResponseInfo
	Centre wire.DataCentreID `json:"centre"`
	Region wire.RegionID     `json:"region"`
	State  wire.CentreState  `json:"state"`
	Number wire.TicketNumber `json:"number"`
	// Eligible counts the upstreams that may get new work from this router.
	Eligible int `json:"eligible"`
	// OwnInFlight counts this router's calls in flight there; InFlight those of all
	// routers, as the agents last reported.
	OwnInFlight int64      `json:"own"`
	InFlight    wire.Slots `json:"flight"`
	Upstreams   []Upstream `json:"upstreams"`
	Page
}

// Drained reports whether the data centre is out and has no work of this router.
func (c *Centre) Drained() bool {
	return c.State == wire.CentreStateOut && c.Eligible == 0 && c.OwnInFlight == 0
}

// Counts is the response of /v1/counts. The number of names and reasons is bounded;
// events beyond the limit are counted as other, and Truncated is then set.
type Counts struct {
	ResponseInfo
	Counts    []meter.Total `json:"counts"`
	Truncated bool          `json:"cut"`
	Totals    acct.Totals   `json:"totals"`
}

// Report is the response of an agent's /v1/report.
type Report struct {
	ResponseInfo
	Report *wire.Report `json:"report"`
}
