package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/wire"
)

// newRand returns the generator of the measurements that run without a sim.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 99)) }

const (
	crashSpan      = time.Minute // simulated time
	crashDelay     = 100 * ms    // time from the start of the request to the crash
	isolationDelay = time.Second // extra time of a request that runs alone
	resendDelay    = 50 * ms     // time until the caller resends a refused or failed request
	gossipInterval = time.Second
	bystanderCount = 7 // other requests in the batch of the crashing request
)

// quarantineKind is a policy against requests that crash upstreams.
type quarantineKind int

const (
	quarantineNone     quarantineKind = iota
	quarantineInFlight                // refuse all requests that were in flight at a crash
	quarantineIsolate                 // crash.Registry: suspects run alone
	quarantineClaim                   // crash.Registry with a claim before each isolated run
)

// crashSim simulates one request that crashes every upstream that runs it, and the
// bystanders: other requests that are in flight on the same upstream.
type crashSim struct {
	eventLoop
	quarantine         quarantineKind
	rng                *rand.Rand
	registries         []*crash.Registry
	gossip             bool
	upstreamsLost      int
	bystandersRefused  int
	bystandersIsolated int           // bystanders that had to run alone
	lastCrash          time.Duration // time of the latest crash
	bystanderSeq       int           // source of distinct fingerprints for bystanders
}

// simulateCrashes returns the simulation after crashSpan, in which the given number
// of senders resend the request to random routers. gossip is false when the routers
// are cut off from each other.
func simulateCrashes(seed uint64, quarantine quarantineKind, gossip bool, routers, senders int) *crashSim {
	s := &crashSim{quarantine: quarantine, rng: newRand(seed), gossip: gossip}
	for range routers {
		s.registries = append(s.registries, crash.NewRegistry(0))
	}
	for range senders {
		s.after(time.Duration(s.rng.IntN(1000))*ms, s.send)
	}
	s.every(gossipInterval, func() { s.gossipAll() })
	s.runUntil(crashSpan)
	return s
}

// crashingFingerprint identifies the request that crashes upstreams.
var crashingFingerprint = crash.Fingerprint("a", "p", []byte("bad"))

// send sends the request to a random router.
func (s *crashSim) send() {
	r := s.rng.IntN(len(s.registries))
	s.attempt(r, 1)
}

// attempt runs attempt n of the request at router r, unless the registry of r
// refuses it.
func (s *crashSim) attempt(r, n int) {
	state := s.registries[r].State(s.wallTime(), crashingFingerprint)
	if s.quarantine != quarantineNone && state == wire.MarkStateQuarantined {
		s.after(resendDelay, s.send)
		return
	}
	isolated := s.quarantine >= quarantineIsolate && state == wire.MarkStateSuspect
	wait := crashDelay
	if isolated {
		wait += isolationDelay
	}
	claimExpiry := s.wallTime().Add(deadline)
	if isolated && s.quarantine == quarantineClaim && !s.registries[r].Claim(s.wallTime(), crashingFingerprint, claimExpiry) {
		s.after(resendDelay, s.send)
		return
	}
	s.after(wait, func() {
		s.registries[r].Release(crashingFingerprint, claimExpiry)
		s.crash(r, n, isolated)
	})
}

// crash records the loss of an upstream. The router retries up to maxAttempts, then
// the caller resends the request.
func (s *crashSim) crash(r, n int, isolated bool) {
	s.upstreamsLost++
	s.lastCrash = s.now
	registry := s.registries[r]
	switch s.quarantine {
	case quarantineInFlight:
		registry.RecordCrash(s.wallTime(), crashingFingerprint, "a", "p", true)
		s.bystandersRefused += bystanderCount
	case quarantineIsolate, quarantineClaim:
		registry.RecordCrash(s.wallTime(), crashingFingerprint, "a", "p", isolated)
		if !isolated {
			s.bystandersIsolated += bystanderCount
			s.recordBystanders(registry)
		}
	}
	if s.gossip {
		marks := registry.Marks(s.wallTime())
		s.after(ms, func() { s.mergeMarks(marks) })
	}
	if n < maxAttempts {
		s.after(resendDelay, func() { s.attempt(r, n+1) })
		return
	}
	s.after(resendDelay, s.send)
}

// recordBystanders records the crash for the bystanders, each of which completes when
// it runs alone.
func (s *crashSim) recordBystanders(registry *crash.Registry) {
	for range bystanderCount {
		s.bystanderSeq++
		fingerprint := crash.Fingerprint("b", "p", fmt.Append(nil, s.bystanderSeq))
		registry.RecordCrash(s.wallTime(), fingerprint, "b", "p", false)
		s.after(isolationDelay, func() {
			registry.RecordSurvival(s.wallTime(), fingerprint)
			if registry.State(s.wallTime(), fingerprint) == wire.MarkStateQuarantined {
				s.bystandersRefused++
			}
		})
	}
}

// mergeMarks merges marks into the registries of all routers.
func (s *crashSim) mergeMarks(marks []wire.Mark) {
	for _, registry := range s.registries {
		registry.Merge(s.wallTime(), marks)
	}
}

// gossipAll exchanges the marks of all routers.
func (s *crashSim) gossipAll() {
	if !s.gossip {
		return
	}
	for _, registry := range s.registries {
		s.mergeMarks(registry.Marks(s.wallTime()))
	}
}

// Crashes prints the table that compares policies against a request that crashes
// upstreams.
func (m *Measurement) Crashes() {
	var rows [][]string
	for _, c := range []struct {
		name             string
		quarantine       quarantineKind
		gossip           bool
		routers, senders int
	}{
		{"naive", quarantineNone, false, 3, 1},
		{"refuse all in flight", quarantineInFlight, true, 3, 1},
		{"ours", quarantineIsolate, true, 3, 1},
		{"ours, 2 routers", quarantineIsolate, true, 2, 1},
		{"ours, 10 callers at once", quarantineIsolate, true, 3, 10},
		{"ours, claims, 10 callers at once", quarantineClaim, true, 3, 10},
		{"ours, routers cut off from each other", quarantineIsolate, false, 3, 1},
	} {
		s := simulateCrashes(m.seed, c.quarantine, c.gossip, c.routers, c.senders)
		rows = append(rows, []string{
			c.name, fmt.Sprint(c.routers), fmt.Sprint(c.senders), fmt.Sprint(s.upstreamsLost), s.lastCrash.Round(ms).String(),
			fmt.Sprint(s.bystandersRefused), fmt.Sprint(s.bystandersIsolated),
		})
	}
	rows = append(rows, []string{"bound: the first crash can't be foreseen", "-", "-", "1", "-", "0", "0"})
	m.table("A request that crashes upstreams, resent for 60 s", []string{
		"policy", "routers", "callers", "upstreams lost", "last crash", "others refused", "others run alone",
	}, rows)
}
