package router

import (
	"time"

	"hornbeamcove.example/core/wire"
)

// Refusal is the answer to a request that failed or was not admitted.
type Refusal struct {
	Request  wire.RequestID  `json:"request"`
	Reason   wire.Reason     `json:"reason"`
	Team     wire.TeamID     `json:"team"`
	Pipeline wire.PipelineID `json:"pipeline"`
	// Executed tells how much of the request was executed. If the request has a
	// reservation, it covers every request sent with that reservation.
	Executed   wire.Executed `json:"executed"`
	RetryAfter wire.Millis   `json:"retry"` // delay before the caller should try again; 0 if a retry can't help
	Stage      wire.StageID  `json:"stage,omitempty"`
}

// Error implements error.
func (f *Refusal) Error() string {
	return "refused: " + string(f.Reason) + ", executed: " + string(f.Executed)
}

// StageRun describes the successful run of one stage of an answer.
type StageRun struct {
	Stage    wire.StageID      `json:"stage"`
	Upstream wire.UpstreamID   `json:"upstream"`
	Centre   wire.DataCentreID `json:"centre"`
	Attempt  wire.Attempt      `json:"attempt"` // number of the attempt, from 1
	Millis   wire.Millis       `json:"millis"`  // duration of the attempt
	Cost     wire.Cost         `json:"cost"`
}

// Answer is the answer to a request whose stages all succeeded.
type Answer struct {
	Request wire.RequestID `json:"request"`
	Output  rawJSON        `json:"output"` // output of the last stage
	Stages  []StageRun     `json:"stages"`
}

// rawJSON is an encoded JSON value; an empty one is encoded as null.
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

// executionRecord accumulates how much of a request was executed. The zero value
// means that nothing was executed.
type executionRecord struct {
	some    bool
	unknown bool // whether the outcome of an attempt can't be determined
	// tokenUnknown is set while it is unknown whether the request's reservation was
	// used: the caller may have sent the request before, through another router.
	tokenUnknown bool
}

// add records what one attempt executed.
func (x *executionRecord) add(e wire.Executed) {
	switch e {
	case wire.ExecutedSome:
		x.some = true
	case wire.ExecutedUnknown:
		x.unknown = true
	}
}

// value returns how much of the request was executed, for its refusal.
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

// retryAfter returns the delay before the caller should try again, or 0 if a retry
// can't help.
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

// millis returns d in milliseconds, rounded towards zero.
func millis(d time.Duration) wire.Millis { return wire.Millis(d / time.Millisecond) }
