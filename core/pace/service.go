package pace

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

const (
	// typicalSmoothing is the weight of a request in the typical work of a service, and
	// usualSmoothing that of a report in its mean pace.
	typicalSmoothing, usualSmoothing = 0.05, 0.02
	// probesPerRequest bounds the probes of a service by its requests, and probeBurst those
	// that may be saved up. With 15 in 100 upstreams slow, the first or the second upstream
	// asked is at its usual pace in 98 of 100 choices.
	probesPerRequest = 2
	probeBurst       = 8
	// slowestRatio is the time that an answer may take relative to the mean of its kind: 2.5 times
	// for a slow upstream, and twice for a large request.
	slowestRatio = 5
	// untoldPause is the time without probes after one whose reply told no pace. The health path
	// then may wait for a slot.
	untoldPause = 30 * time.Second
)

// Service is what a router knows about the upstreams of one service together. It is safe for
// concurrent use. The zero value is ready to use.
type Service struct {
	mu      sync.Mutex
	tells   bool      // whether the upstreams tell their load
	paced   bool      // whether they tell their pace, too
	usual   float64   // mean of the pace told, as a factor; 0 before the first
	typical float64   // mean work of a request; 0 before the first
	probes  float64   // probes that may be sent now
	probeAt time.Time // when the next one may be sent
	read    fit
	demand  demand
	held    held
}

// Heard records a report of an upstream of the service.
func (s *Service) Heard(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tells = true; r.Pace == 0 {
		return
	}
	s.paced = true
	f := float64(r.Pace) / float64(Usual)
	if s.usual == 0 {
		s.usual = 1
	}
	s.usual += usualSmoothing * (f - s.usual)
}

// Means holds what is usual at the upstreams of a service.
type Means struct {
	Work float64 // of a request; 0 if unknown
	Pace float64 // factor of the usual time, over what the upstreams told; 1 if unknown
	// Paced is whether the upstreams tell their pace. Their health checks then don't wait for a
	// slot, so they may be probed.
	Paced bool
}

// Means returns what is usual at the upstreams of the service, and whether they tell their load.
func (s *Service) Means() (m Means, tells bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m = Means{Work: s.typical, Pace: s.usual, Paced: s.paced}
	if m.Pace == 0 {
		m.Pace = 1
	}
	return m, s.tells
}

// Sent records a request, which allows probes for later ones.
func (s *Service) Sent(w Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes = min(s.probes+probesPerRequest, probeBurst)
	if s.typical == 0 {
		s.typical = w.total()
	}
	s.typical += typicalSmoothing * (w.total() - s.typical)
}

// AllowProbe reports whether a probe may be sent now, and counts it if so.
func (s *Service) AllowProbe(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.paced || s.probes < 1 || now.Before(s.probeAt) {
		return false
	}
	s.probes--
	return true
}

// Matters reports whether the pace of its upstream may decide that a request is late: it is not
// late yet, and would be if its answer took several times the mean. Only then is a probe worth
// its cost.
func Matters(left, mean time.Duration) bool { return left > 0 && left <= slowestRatio*mean }

// Untold records that the reply to a probe told no pace.
func (s *Service) Untold(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probeAt = now.Add(untoldPause)
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens wire.Tokens
}

// Unread returns the tokens of a prompt that an upstream has to read: all but the parts that
// this router had it read lately. It records that the upstream reads them now.
func (s *Service) Unread(now time.Time, u wire.UpstreamID, prompt wire.Tokens, parts []Part) (unread wire.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unread = prompt
	upstream := xxhash.Sum64String(string(u))
	for _, p := range parts {
		if s.held.touch(now, mix(upstream, xxhash.Sum64String(p.ID))) {
			unread -= p.Tokens
		}
	}
	return max(unread, 0)
}

// ReadIn records that an answer began after took at an engine that had unread tokens to read,
// and returns took relative to the time expected for so many; 0 if nothing is expected yet.
func (s *Service) ReadIn(unread wire.Tokens, took time.Duration) (ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected := s.read.at(float64(unread)); expected > 0 {
		ratio = took.Seconds() / expected
	}
	s.read.add(float64(unread), took.Seconds())
	return ratio
}

// Holders records a prompt with the given key and returns how many engines should hold its
// parts, given that n are usable: more than one if one can't serve the demand for them.
func (s *Service) Holders(now time.Time, key uint64, n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demand.holders(now, key, n)
}

// HoldersOf is Holders for a prompt that is not sent, and is not recorded.
func (s *Service) HoldersOf(key uint64, n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demand.holdersOf(key, n)
}

// mix combines two hashes.
func mix(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15 // golden ratio, as in Fibonacci hashing
	h := (a ^ b*odd) * odd
	return h ^ h>>32
}
