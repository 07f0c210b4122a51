package acct

import (
	"time"

	"hornbeamcove.example/core/wire"
)

// Refusal is one refused request. Stage is empty when no stage was reached. Its
// strings are logged later by another goroutine, so they must not share a buffer
// that is used again.
type Refusal struct {
	Request  wire.RequestID
	Team     wire.TeamID
	Pipeline wire.PipelineID
	Stage    wire.StageID
	Reason   wire.Reason
	Executed wire.Executed
}

// StageRun is one stage that an upstream ran. Its strings must not share a buffer
// that is used again.
type StageRun struct {
	Ref      wire.Ref
	Team     wire.TeamID
	Pipeline wire.PipelineID
	Upstream wire.UpstreamID
	Centre   wire.DataCentreID
	Took     time.Duration
	Cost     wire.Cost
	// Wasted marks cost without a usable answer; Cause says why.
	Wasted bool
	Cause  wire.Reason
}

// Refused counts refused requests by what was executed of them.
type Refused struct {
	None    uint32 `json:"none"`
	Some    uint32 `json:"some"`
	Unknown uint32 `json:"unknown"`
}

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

func (r *Refused) addAll(o Refused) {
	r.None += o.None
	r.Some += o.Some
	r.Unknown += o.Unknown
}

// Row is the account of one minute, team, pipeline, stage and reason. Without a
// reason, Runs and Cost are work that was of use; with a reason they are waste
// with that cause.
type Row struct {
	Minute   time.Time       `json:"minute"`
	Team     wire.TeamID     `json:"team"`
	Pipeline wire.PipelineID `json:"pipeline"`
	Stage    wire.StageID    `json:"stage"`
	Reason   wire.Reason     `json:"reason"`
	Refused  Refused         `json:"refused"`
	Runs     uint32          `json:"runs"`
	Cost     wire.Cost       `json:"cost"`
	// Overflow marks the row of a minute that holds all entries for which there
	// was no room; it has no team, pipeline or stage.
	Overflow bool `json:"overflow,omitempty"`
}

// Sum is a total of refusals and runs.
type Sum struct {
	Refused Refused   `json:"refused"`
	Runs    uint64    `json:"runs"`
	Cost    wire.Cost `json:"cost"`
}

// Totals are the sums since the start of the process.
type Totals struct {
	// Useful holds runs with a usable answer.
	Useful Sum `json:"useful"`
	// Reasons holds refusals and wasted runs by reason.
	Reasons map[wire.Reason]Sum `json:"reasons"`
	// Overflow counts entries that went into an overflow row.
	Overflow uint64 `json:"overflow"`
	// Dropped counts log lines that were dropped because the log was slow.
	Dropped uint64 `json:"dropped"`
}

func addCost(to *wire.Cost, c wire.Cost) {
	to.Input += c.Input
	to.Cached += c.Cached
	to.Output += c.Output
	to.Calls += c.Calls
	to.Busy += c.Busy
}
