package agent

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
)

// TestWatch guards against work above the cold bound after an idle upstream
// restarted: no call breaks then, and the next report may be 200 ms away.
func TestWatch(t *testing.T) {
	s := fakes.NewService(wire.KindPlain, fakes.WithDelay(0))
	assert.NilError(t, s.Start(t.Context(), ""))
	defer s.Close()
	h, err := NewHTTP(wire.KindPlain, s.URL())
	assert.NilError(t, err)
	before, _, err := h.Load(t.Context())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lost := make(chan wire.BootID, 64)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.Watch(ctx, func() {
			ev, _, err := h.Load(ctx)
			if err == nil {
				lost <- ev.Boot
			}
		})
	}()
	assert.NilError(t, s.Restart())
	for boot := range lost {
		if boot != before.Boot {
			break
		}
	}
	cancel()
	<-ended
}
