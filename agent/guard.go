package agent

import (
	"context"
	"errors"
)

type guardKey struct{}

// errOutdated reports that the process may have been paused since the call was admitted.
var errOutdated = errors.New("the configuration may be from before a pause")

// withGuard returns a context whose Guard calls f.
func withGuard(ctx context.Context, f func() error) context.Context {
	return context.WithValue(ctx, guardKey{}, f)
}

// Guard returns an error if the call of ctx must not begin any more. An Upstream
// calls it right before it sends a call: between admission and that moment the
// process may have been paused, and the data centre taken out.
func Guard(ctx context.Context) error {
	if f, ok := ctx.Value(guardKey{}).(func() error); ok {
		return f()
	}
	return nil
}
