package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the host's start that includes time for which it was
// suspended; the steady clock stands still meanwhile, and callers' deadlines don't.
type Instant time.Duration

// bootNow returns the present instant.
func bootNow() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart)) // kernels without this clock don't suspend
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
