package agent

import (
	"context"
	"errors"
)

type sendCheckKey struct{}

// errStaleConfig reports that the process may have been paused since the call was admitted.
var errStaleConfig = errors.New("the configuration may be from before a pause")

// withSendCheck returns a context whose Guard calls f.
func withSendCheck(ctx context.Context, f func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, f)
}

// CheckSend returns an error if the call of ctx must not begin any more. An Upstream
// calls it right before it sends a call: between admission and that moment the
// process may have been paused, and the data centre taken out.
func CheckSend(ctx context.Context) error {
	if f, ok := ctx.Value(sendCheckKey{}).(func() error); ok {
		return f()
	}
	return nil
}
