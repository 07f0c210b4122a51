package agent

import (
	"context"
	"errors"
)

// sendCheckKey is the context key of the check that CheckSend runs.
type sendCheckKey struct{}

// errStaleConfig means that the process may have been paused since the call was
// admitted, so that the call must not be sent.
var errStaleConfig = errors.New("configuration may predate a pause of the process")

// withSendCheck returns a copy of ctx for which CheckSend calls f.
func withSendCheck(ctx context.Context, f func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, f)
}

// CheckSend returns an error if the call that ctx belongs to must no longer be
// sent. An Upstream calls it right before it sends a call, since the process may
// have been paused after admission and the data centre taken out of service
// meanwhile.
func CheckSend(ctx context.Context) error {
	if f, ok := ctx.Value(sendCheckKey{}).(func() error); ok {
		return f()
	}
	return nil
}
