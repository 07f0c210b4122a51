package crash

import (
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

// Strikes counts the upstreams that a request has crashed where nothing shows
// which of the requests at a crashed upstream was the cause: one crash alone
// convicts nobody, but a request that meets a third one does not run again. It is
// safe for concurrent use. The zero value is ready to use.
type Strikes struct {
	mu       sync.Mutex
	recorded map[Strike]time.Time
}

// Strike is one crash that a request with the fingerprint met. Upstream and Born
// name the run of the upstream, so that routers that tell each other of it count
// it once.
type Strike struct {
	Print    wire.Fingerprint
	Upstream wire.UpstreamID
	Born     int64 // Unix milliseconds
}

const (
	// strikeLimit is the number of crashed upstreams from which a request is refused.
	strikeLimit = 3
	// strikeLifetime is the time for which a strike counts.
	strikeLifetime = 2 * time.Minute
	// maxStrikes bounds the strikes kept; the oldest are dropped.
	maxStrikes = 1024
)

// Add records a strike.
func (s *Strikes) Add(now time.Time, k Strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorded == nil {
		s.recorded = make(map[Strike]time.Time)
	}
	if _, ok := s.recorded[k]; ok {
		return
	}
	if len(s.recorded) >= maxStrikes {
		s.evict()
	}
	s.recorded[k] = now
}

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

// Blocked reports whether a request with the fingerprint must not run again.
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

// Clear removes the strikes of a request that completed.
func (s *Strikes) Clear(p wire.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.recorded {
		if k.Print == p {
			delete(s.recorded, k)
		}
	}
}

// Recent returns the strikes of the last age, for other routers.
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
