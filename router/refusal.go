package router

import (
	"time"

	"hornbeamcove.example/core/wire"
)

// Refusal is the answer to a request that was not answered whole.
type Refusal struct {
	Request  wire.RequestID  `json:"request"`
	Reason   wire.Reason     `json:"reason"`
	Team     wire.TeamID     `json:"team"`
	Pipeline wire.PipelineID `json:"pipeline"`
	// Executed says how much of the request ran. With a reservation it speaks of
	// every request that was sent under it.
	Executed   wire.Executed `json:"executed"`
	RetryAfter wire.Millis   `json:"retry"` // when another try is sensible; 0 for never
	Stage      wire.StageID  `json:"stage,omitempty"`
}

// Error implements error.
func (f *Refusal) Error() string {
	return "refused: " + string(f.Reason) + ", executed: " + string(f.Executed)
}

// StageRun is one stage of an answer.
type StageRun struct {
	Stage    wire.StageID      `json:"stage"`
	Upstream wire.UpstreamID   `json:"upstream"`
	Centre   wire.DataCentreID `json:"centre"`
	Attempt  wire.Attempt      `json:"attempt"`
	Millis   wire.Millis       `json:"millis"`
	Cost     wire.Cost         `json:"cost"`
}

// Answer is a whole answer.
type Answer struct {
	Request wire.RequestID `json:"request"`
	Output  rawJSON        `json:"output"`
	Stages  []StageRun     `json:"stages"`
}

// rawJSON is an encoded JSON value.
type rawJSON []byte

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) {
	if len(r) == 0 {
		return []byte("null"), nil
	}
	return r, nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *rawJSON) UnmarshalJSON(b []byte) error {
	*r = append((*r)[:0], b...)
	return nil
}

// executionRecord gathers how much of a request was run. The zero value means
// that nothing was.
type executionRecord struct {
	some    bool
	unknown bool // an attempt whose outcome cannot be learnt
	// tokenUnknown is set while the outcome under the request's reservation is unknown:
	// the caller may have sent the request before, through another router.
	tokenUnknown bool
}

func (x *executionRecord) add(e wire.Executed) {
	switch e {
	case wire.ExecutedSome:
		x.some = true
	case wire.ExecutedUnknown:
		x.unknown = true
	}
}

func (x *executionRecord) value() wire.Executed {
	switch {
	case x.unknown || x.tokenUnknown:
		return wire.ExecutedUnknown
	case x.some:
		return wire.ExecutedSome
	default:
		return wire.ExecutedNone
	}
}

const (
	retryDelayShort  wire.Millis = 100
	retryDelayMedium wire.Millis = 1000
	retryDelayLong   wire.Millis = 10_000
)

// retryAfter says when another try is sensible.
func retryAfter(reason wire.Reason) wire.Millis {
	switch reason {
	case wire.ReasonQueue, wire.ReasonBusy, wire.ReasonSolo:
		return retryDelayShort
	case wire.ReasonOverload, wire.ReasonDeadline, wire.ReasonCold, wire.ReasonUnavailable, wire.ReasonLeaving,
		wire.ReasonOut, wire.ReasonUpstream, wire.ReasonCrashed, wire.ReasonUnknown:
		return retryDelayMedium
	case wire.ReasonQuarantined:
		return retryDelayLong
	default:
		return 0
	}
}

func millis(d time.Duration) wire.Millis { return wire.Millis(d / time.Millisecond) }
