package acct

import (
	"time"

	"hornbeamcove.example/core/wire"
)

// Refusal describes one refused request. Stage is empty if no stage was reached.
// Another goroutine logs the strings later, so they must not share a buffer that is
// reused.
type Refusal struct {
	Request  wire.RequestID
	Team     wire.TeamID
	Pipeline wire.PipelineID
	Stage    wire.StageID
	Reason   wire.Reason
	Executed wire.Executed
}

// StageRun describes one run of a stage on an upstream. Its strings must not share
// a buffer that is reused, since another goroutine logs them later.
type StageRun struct {
	Ref      wire.Ref
	Team     wire.TeamID
	Pipeline wire.PipelineID
	Upstream wire.UpstreamID
	Centre   wire.DataCentreID
	Took     time.Duration
	Cost     wire.Cost
	// Wasted marks a run that gave no usable answer. Cause is the reason; it is
	// ignored for other runs.
	Wasted bool
	Cause  wire.Reason
}

// Refused counts refused requests by how much of the request was executed: none,
// some or unknown.
type Refused struct {
	None    uint32 `json:"none"`
	Some    uint32 `json:"some"`
	Unknown uint32 `json:"unknown"`
}

// add counts one refused request.
func (r *Refused) add(e wire.Executed) {
	switch e {
	case wire.ExecutedNone:
		r.None++
	case wire.ExecutedSome:
		r.Some++
	default:
		r.Unknown++
	}
}

// addAll adds the counts of o.
func (r *Refused) addAll(o Refused) {
	r.None += o.None
	r.Some += o.Some
	r.Unknown += o.Unknown
}

// Row is the account of one minute, team, pipeline, stage and reason. Without a
// reason, Runs and Cost count useful runs; with a reason, they count runs wasted
// for that reason.
type Row struct {
	Minute   time.Time       `json:"minute"`
	Team     wire.TeamID     `json:"team"`
	Pipeline wire.PipelineID `json:"pipeline"`
	Stage    wire.StageID    `json:"stage"`
	Reason   wire.Reason     `json:"reason"`
	Refused  Refused         `json:"refused"`
	Runs     uint32          `json:"runs"`
	Cost     wire.Cost       `json:"cost"`
	// Overflow marks the row of a minute that holds the entries beyond MaxRows, and
	// those that came too late for a row of their own minute. It has no team,
	// pipeline, stage or reason.
	Overflow bool `json:"overflow,omitempty"`
}

// Sum is a total of refusals and stage runs.
type Sum struct {
	Refused Refused   `json:"refused"`
	Runs    uint64    `json:"runs"`
	Cost    wire.Cost `json:"cost"`
}

// Totals are the sums since the start of the process.
type Totals struct {
	// Useful counts runs that gave a usable answer.
	Useful Sum `json:"useful"`
	// Reasons counts refusals and wasted runs by reason.
	Reasons map[wire.Reason]Sum `json:"reasons"`
	// Overflow counts entries that were added to an overflow row.
	Overflow uint64 `json:"overflow"`
	// Dropped counts log lines that were dropped because the log was slow.
	Dropped uint64 `json:"dropped"`
}

// addCost adds each component of c to that of to.
func addCost(to *wire.Cost, c wire.Cost) {
	to.Input += c.Input
	to.Cached += c.Cached
	to.Output += c.Output
	to.Calls += c.Calls
	to.Busy += c.Busy
}
