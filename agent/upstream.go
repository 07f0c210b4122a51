package agent

import (
	"context"
	"fmt"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/wire"
)

// Loaded is the model version and the adapters that an engine has loaded. It is
// empty for other kinds of upstream.
type Loaded struct {
	Model    wire.ModelID
	Version  wire.Version
	Adapters []wire.AdapterID
}

// Order tells an engine which model version and adapters to load. Fence is the
// number of the configuration ticket behind the order; an engine that supports
// fencing refuses orders with an older number.
type Order struct {
	Loaded
	Fence wire.TicketNumber
}

// Answer is what an upstream returned for one call. Output is empty when the
// text was passed to emit instead.
type Answer struct {
	Output []byte
	Cost   wire.Cost
	// CostUnknown reports whether the upstream may have done work without
	// reporting its cost.
	CostUnknown bool
}

// Upstream is the client of one upstream service or model engine.
type Upstream interface {
	// Run executes a call and passes streamed text to emit piece by piece. An
	// error is an *UpstreamError or the error of ctx. The answer's cost is filled
	// in as far as it is known, even when err is not nil.
	Run(ctx context.Context, call *wire.Call, emit func(text []byte) error) (Answer, error)
	// Load fetches the upstream's load report and what it has loaded.
	Load(ctx context.Context) (limit.LoadReport, Loaded, error)
	// Order sends a load order to an engine.
	Order(ctx context.Context, o Order) error
	// Prefixes returns the fingerprints of recently cached prompt prefixes.
	Prefixes() []wire.Fingerprint
}

// Watcher is implemented by an Upstream that notices at once when the upstream's
// process ends.
type Watcher interface {
	// Watch calls onLost each time the upstream's process may have ended, until
	// ctx is done.
	Watch(ctx context.Context, onLost func())
}

// UpstreamError describes a call that the upstream did not complete.
type UpstreamError struct {
	Status int   // HTTP status, or 0 if there was no response
	Sent   bool  // whether any byte of the request may have reached the upstream
	Reset  bool  // whether the connection broke
	Err    error // cause
}

// Error returns the HTTP status if there was a response, and the cause otherwise.
// It leaves out the response body, which may quote the caller's input.
func (e *UpstreamError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("upstream answered status %d", e.Status)
	}
	return fmt.Sprintf("upstream call: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UpstreamError) Unwrap() error { return e.Err }
