package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
)

// TestWatch guards against admitting calls above the cold bound after an idle upstream
// restarted. No call fails in that case, and the next load report may be 200 ms away.
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
			report, _, err := h.Load(ctx)
			if err == nil {
				lost <- report.Boot
			}
		})
	}()
	assert.NilError(t, s.Restart())
	timeout := time.After(10 * time.Second)
	for boot := before.Boot; boot == before.Boot; {
		select {
		case boot = <-lost:
		case <-timeout:
			t.Fatal("the restart was not detected")
		}
	}
	cancel()
	<-ended
}

// TestWatchAtStart guards against missing a restart between the first load report and
// the connection that watches for restarts. On a busy machine this made TestWatch
// fail.
func TestWatchAtStart(t *testing.T) {
	s := fakes.NewService(wire.KindPlain, fakes.WithDelay(0))
	assert.NilError(t, s.Start(t.Context(), ""))
	defer s.Close()
	h, err := NewHTTP(wire.KindPlain, s.URL())
	assert.NilError(t, err)
	assert.NilError(t, s.Restart())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lost := make(chan struct{}, 64)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.Watch(ctx, func() { lost <- struct{}{} })
	}()
	select {
	case <-lost:
	case <-time.After(10 * time.Second):
		t.Fatal("the watcher did not report the first connection")
	}
	cancel()
	<-ended
}
