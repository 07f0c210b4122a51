package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/wire"
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 99)) }

const (
	crashSpan      = time.Minute
	crashDelay     = 100 * ms // from the start of the request to the crash
	isolationDelay = time.Second
	resendDelay    = 50 * ms // until the caller sends a refused request again
	gossipInterval = time.Second
	bystanderCount = 7 // requests beside it in the batch
)

// quarantineKind is a policy against requests that crash upstreams.
type quarantineKind int

const (
	quarantineNone     quarantineKind = iota
	quarantineInFlight                // refuse whatever was in flight at a crash
	quarantineIsolate                 // crash.Book
	quarantineClaim                   // crash.Book with a claim before each isolated run
)

// crashSim is the fate of one request that crashes each upstream that runs it,
// and of the requests beside it.
type crashSim struct {
	eventLoop
	quarantine         quarantineKind
	rng                *rand.Rand
	registries         []*crash.Registry
	gossip             bool
	upstreamsLost      int
	bystandersRefused  int           // requests of others that were refused for a crash
	bystandersIsolated int           // requests of others that had to run alone
	lastCrash          time.Duration // of the latest crash
	bystanderSeq       int
}

// simulateCrashes returns the counts after crashSpan, in which callers resend the request
// to any router, senders of them at once.
func simulateCrashes(seed uint64, g quarantineKind, gossip bool, routers, senders int) *crashSim {
	s := &crashSim{quarantine: g, rng: newRand(seed), gossip: gossip}
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

var crashingFingerprint = crash.Fingerprint("a", "p", []byte("bad"))

// send brings the request to a router.
func (s *crashSim) send() {
	r := s.rng.IntN(len(s.registries))
	s.attempt(r, 1)
}

func (s *crashSim) attempt(r, n int) {
	state := s.registries[r].State(s.wallTime(), crashingFingerprint)
	if s.quarantine != quarantineNone && state == wire.MarkStateQuarantined {
		s.after(resendDelay, s.send)
		return
	}
	solo := s.quarantine >= quarantineIsolate && state == wire.MarkStateSuspect
	wait := crashDelay
	if solo {
		wait += isolationDelay
	}
	until := s.wallTime().Add(deadline)
	if solo && s.quarantine == quarantineClaim && !s.registries[r].Claim(s.wallTime(), crashingFingerprint, until) {
		s.after(resendDelay, s.send)
		return
	}
	s.after(wait, func() {
		s.registries[r].Release(crashingFingerprint, until)
		s.crash(r, n, solo)
	})
}

// crash loses an upstream; the router retries the request while it may.
func (s *crashSim) crash(r, n int, solo bool) {
	s.upstreamsLost++
	s.lastCrash = s.now
	book := s.registries[r]
	switch s.quarantine {
	case quarantineInFlight:
		book.RecordCrash(s.wallTime(), crashingFingerprint, "a", "p", true)
		s.bystandersRefused += bystanderCount
	case quarantineIsolate, quarantineClaim:
		book.RecordCrash(s.wallTime(), crashingFingerprint, "a", "p", solo)
		if !solo {
			s.bystandersIsolated += bystanderCount
			s.recordBystanders(book)
		}
	}
	if s.gossip {
		now := book.Marks(s.wallTime())
		s.after(ms, func() { s.mergeMarks(now) })
	}
	if n < maxAttempts {
		s.after(resendDelay, func() { s.attempt(r, n+1) })
		return
	}
	s.after(resendDelay, s.send)
}

// recordBystanders marks the requests beside it, which complete when they run alone.
func (s *crashSim) recordBystanders(book *crash.Registry) {
	for range bystanderCount {
		s.bystanderSeq++
		p := crash.Fingerprint("b", "p", fmt.Append(nil, s.bystanderSeq))
		book.RecordCrash(s.wallTime(), p, "b", "p", false)
		s.after(isolationDelay, func() {
			book.RecordSurvival(s.wallTime(), p)
			if book.State(s.wallTime(), p) == wire.MarkStateQuarantined {
				s.bystandersRefused++
			}
		})
	}
}

func (s *crashSim) mergeMarks(ms []wire.Mark) {
	for _, b := range s.registries {
		b.Merge(s.wallTime(), ms)
	}
}

func (s *crashSim) gossipAll() {
	if !s.gossip {
		return
	}
	for _, b := range s.registries {
		s.mergeMarks(b.Marks(s.wallTime()))
	}
}

// Crashes prints the table on requests that crash upstreams.
func (m *Measurement) Crashes() {
	var rows [][]string
	for _, c := range []struct {
		name             string
		g                quarantineKind
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
		s := simulateCrashes(m.seed, c.g, c.gossip, c.routers, c.senders)
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
