package clock

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// startService runs a service whose clock is ahead of the synctest bubble by offset.
func startService(t *testing.T) (s *Service, offset *atomic.Int64) {
	offset = new(atomic.Int64)
	s = New(WithNow(func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
	return s, offset
}

// TestTicks guards against ticks that drift or come early, and against ticks after
// Close.
func TestTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := startService(t)
		began := time.Now()
		slow, fast := s.Subscribe(3*time.Second, "slow"), s.Subscribe(time.Second, "fast")
		for i := range 6 {
			tick := <-fast.C
			assert.Equal(t, tick.Now.Sub(began), time.Duration(i+1)*time.Second)
			assert.Equal(t, tick.Late, time.Duration(0))
		}
		assert.Equal(t, (<-slow.C).Now.Sub(began), 6*time.Second)
		fast.Close()
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(fast.C), 0)
		assert.Equal(t, len(s.Views()), 1)
	})
}

// TestPause guards against a pause that goes unnoticed, also by a subscriber that is
// slow to receive, and against a burst of ticks after the pause.
func TestPause(t *testing.T) {
	for name, c := range map[string]struct {
		offset time.Duration
		after  time.Duration
		paused bool
		missed uint64
	}{
		"short":         {900 * time.Millisecond, 0, false, 0},
		"long":          {5500 * time.Millisecond, 0, true, 5},
		"long and slow": {5500 * time.Millisecond, 3 * time.Second, true, 8},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, offset := startService(t)
				sub := s.Subscribe(time.Second, "control")
				synctest.Wait()
				offset.Store(int64(c.offset))
				time.Sleep(time.Second + c.after)
				synctest.Wait()
				assert.Equal(t, (<-sub.C).Paused(), c.paused)
				assert.Equal(t, s.Views()[0].Missed, c.missed)
			})
		})
	}
}
