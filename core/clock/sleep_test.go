package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestSleep guards against a wait that outlasts its context, and against a wait of
// zero or negative length that ignores a context that is done.
func TestSleep(t *testing.T) {
	for _, tc := range []struct {
		name      string
		wait, ctx time.Duration
		completed bool
		took      time.Duration
	}{
		{name: "whole", wait: time.Second, ctx: time.Minute, completed: true, took: time.Second},
		{name: "cut short", wait: time.Minute, ctx: time.Second, took: time.Second},
		{name: "no length", wait: -time.Second, ctx: time.Second, completed: true},
		{name: "no length after the end", wait: 0, ctx: -time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tc.ctx)
				defer cancel()
				began := time.Now()
				assert.Equal(t, Sleep(ctx, tc.wait), tc.completed)
				assert.Equal(t, time.Since(began), tc.took)
			})
		})
	}
}
