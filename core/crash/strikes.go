package crash

import (
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

// Strikes counts the crashes of upstreams during each request, for upstreams that run
// several requests at once, where the request that caused a crash is unknown. One
// crash blocks no request; a request that was running at three crashes is blocked.
// Strikes is safe for concurrent use. The zero value is ready to use.
type Strikes struct {
	mu       sync.Mutex
	recorded map[Strike]time.Time
}

// Strike is a crash of an upstream while it ran a request with the fingerprint Print.
// Upstream and Born identify the upstream process, so that a crash is counted once
// when several routers report it to each other.
type Strike struct {
	Print    wire.Fingerprint
	Upstream wire.UpstreamID
	Born     int64 // start time of the process in Unix milliseconds
}

const (
	// strikeLimit is the number of strikes at which a request is blocked.
	strikeLimit = 3
	// strikeLifetime is the time until a strike expires.
	strikeLifetime = 2 * time.Minute
	// maxStrikes limits the strikes kept; the oldest is evicted.
	maxStrikes = 1024
)

// Add records a strike at now and reports whether it is new. A strike that is already
// recorded keeps its time.
func (s *Strikes) Add(now time.Time, k Strike) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorded == nil {
		s.recorded = make(map[Strike]time.Time)
	}
	if _, ok := s.recorded[k]; ok {
		return false
	}
	if len(s.recorded) >= maxStrikes {
		s.evict()
	}
	s.recorded[k] = now
	return true
}

// Counts returns the number of unexpired strikes of each fingerprint.
func (s *Strikes) Counts(now time.Time) map[wire.Fingerprint]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[wire.Fingerprint]int)
	for k, t := range s.recorded {
		if now.Sub(t) <= strikeLifetime {
			counts[k.Print]++
		}
	}
	return counts
}

// evict removes the oldest strike.
func (s *Strikes) evict() {
	var oldest Strike
	var at time.Time
	for k, t := range s.recorded {
		if at.IsZero() || t.Before(at) {
			oldest, at = k, t
		}
	}
	delete(s.recorded, oldest)
}

// AgedStrike is a strike and the time since it was recorded.
type AgedStrike struct {
	Strike Strike
	Age    time.Duration
}

// maxBlocks limits the strikes that Blocks returns.
const maxBlocks = 64

// Blocks returns strikes of the requests that are blocked, for routers that start later and
// so miss those of Recent.
func (s *Strikes) Blocks(now time.Time) (out []AgedStrike) {
	counts := s.Counts(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, t := range s.recorded {
		if len(out) < maxBlocks && counts[k.Print] >= strikeLimit && now.Sub(t) <= strikeLifetime {
			out = append(out, AgedStrike{k, now.Sub(t)})
		}
	}
	return out
}

// Merge records the strikes of another router that have not expired.
func (s *Strikes) Merge(now time.Time, strikes []AgedStrike) {
	for _, a := range strikes {
		if a.Age >= 0 && a.Age <= strikeLifetime {
			s.Add(now.Add(-a.Age), a.Strike)
		}
	}
}

// Blocked reports whether a request with fingerprint p must not run again. It also
// removes expired strikes.
func (s *Strikes) Blocked(now time.Time, p wire.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k, t := range s.recorded {
		switch {
		case now.Sub(t) > strikeLifetime:
			delete(s.recorded, k)
		case k.Print == p:
			n++
		}
	}
	return n >= strikeLimit
}

// Clear removes the strikes of p, a request that completed.
func (s *Strikes) Clear(p wire.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.recorded {
		if k.Print == p {
			delete(s.recorded, k)
		}
	}
}

// Recent returns the strikes that are at most age old, for gossip to other routers.
func (s *Strikes) Recent(now time.Time, age time.Duration) (out []Strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, t := range s.recorded {
		if now.Sub(t) <= age {
			out = append(out, k)
		}
	}
	return out
}
