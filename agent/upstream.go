package agent

import (
	"context"
	"fmt"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/wire"
)

// Loaded is what a model engine has loaded; it is empty for other upstreams.
type Loaded struct {
	Model    wire.ModelID
	Version  wire.Version
	Adapters []wire.AdapterID
}

// Order asks an engine to load a model version. Fence is the number of the
// ticket behind it.
type Order struct {
	Loaded
	Fence wire.TicketNumber
}

// Answer is what an upstream returned for one call. Output is empty when the
// text went to emit.
type Answer struct {
	Output []byte
	Cost   wire.Cost
	// CostUnknown says that the upstream may have done work whose cost it did not
	// tell.
	CostUnknown bool
}

// Upstream is the protocol of one upstream.
type Upstream interface {
	// Run executes a call. The text of a stream goes to emit piece by piece. An
	// error is an *UpstreamError, or the error of ctx. The answer's cost is
	// filled in as far as it is known, with an error too.
	Run(ctx context.Context, call *wire.Call, emit func(text []byte) error) (Answer, error)
	// Load asks for the upstream's own report.
	Load(ctx context.Context) (limit.LoadReport, Loaded, error)
	// Order gives an order to an engine.
	Order(ctx context.Context, o Order) error
	// Prefixes lists fingerprints of prompt prefixes recently cached.
	Prefixes() []wire.Fingerprint
}

// Watcher is an Upstream that notices at once when the upstream's process ends.
type Watcher interface {
	// Watch calls lost each time the upstream may have ended, until ctx is done.
	Watch(ctx context.Context, lost func())
}

// UpstreamError describes a call that the upstream did not complete.
type UpstreamError struct {
	Status int  // HTTP status, or 0 without an answer
	Sent   bool // whether any byte of the request may have reached the upstream
	Reset  bool // whether the connection broke
	Err    error
}

// Error implements error.
func (e *UpstreamError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("upstream answered status %d", e.Status)
	}
	return fmt.Sprintf("upstream call: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *UpstreamError) Unwrap() error { return e.Err }
