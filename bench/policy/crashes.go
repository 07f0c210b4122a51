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
	crashSpan  = time.Minute
	killTime   = 100 * ms // from the start of the request to the crash
	soloWait   = time.Second
	resendTime = 50 * ms // until the caller sends a refused request again
	gossipTime = time.Second
	companions = 7 // requests beside it in the batch
)

// guard is a policy against requests that crash upstreams.
type guard int

const (
	guardNone  guard = iota
	guardFirst       // refuse whatever was in flight at a crash
	guardSolo        // crash.Book
	guardOne         // crash.Book with a claim before each isolated run
)

// crashSim is the fate of one request that crashes each upstream that runs it,
// and of the requests beside it.
type crashSim struct {
	loop
	guard   guard
	rng     *rand.Rand
	books   []*crash.Registry
	gossip  bool
	lost    int
	refused int           // requests of others that were refused for a crash
	alone   int           // requests of others that had to run alone
	last    time.Duration // of the latest crash
	serial  int
}

// crashRun returns the counts after crashSpan, in which callers resend the request
// to any router, senders of them at once.
func crashRun(seed uint64, g guard, gossip bool, routers, senders int) *crashSim {
	s := &crashSim{guard: g, rng: newRand(seed), gossip: gossip}
	for range routers {
		s.books = append(s.books, crash.NewRegistry(0))
	}
	for range senders {
		s.after(time.Duration(s.rng.IntN(1000))*ms, s.send)
	}
	s.every(gossipTime, func() { s.exchange() })
	s.until(crashSpan)
	return s
}

var badPrint = crash.Fingerprint("a", "p", []byte("bad"))

// send brings the request to a router.
func (s *crashSim) send() {
	r := s.rng.IntN(len(s.books))
	s.try(r, 1)
}

func (s *crashSim) try(r, n int) {
	state := s.books[r].State(s.wall(), badPrint)
	if s.guard != guardNone && state == wire.MarkStateQuarantined {
		s.after(resendTime, s.send)
		return
	}
	solo := s.guard >= guardSolo && state == wire.MarkStateSuspect
	wait := killTime
	if solo {
		wait += soloWait
	}
	until := s.wall().Add(deadline)
	if solo && s.guard == guardOne && !s.books[r].Claim(s.wall(), badPrint, until) {
		s.after(resendTime, s.send)
		return
	}
	s.after(wait, func() {
		s.books[r].Release(badPrint, until)
		s.crash(r, n, solo)
	})
}

// crash loses an upstream; the router retries the request while it may.
func (s *crashSim) crash(r, n int, solo bool) {
	s.lost++
	s.last = s.now
	book := s.books[r]
	switch s.guard {
	case guardFirst:
		book.RecordCrash(s.wall(), badPrint, "a", "p", true)
		s.refused += companions
	case guardSolo, guardOne:
		book.RecordCrash(s.wall(), badPrint, "a", "p", solo)
		if !solo {
			s.alone += companions
			s.bystanders(book)
		}
	}
	if s.gossip {
		now := book.Marks(s.wall())
		s.after(ms, func() { s.merge(now) })
	}
	if n < maxTries {
		s.after(resendTime, func() { s.try(r, n+1) })
		return
	}
	s.after(resendTime, s.send)
}

// bystanders marks the requests beside it, which complete when they run alone.
func (s *crashSim) bystanders(book *crash.Registry) {
	for range companions {
		s.serial++
		p := crash.Fingerprint("b", "p", fmt.Append(nil, s.serial))
		book.RecordCrash(s.wall(), p, "b", "p", false)
		s.after(soloWait, func() {
			book.RecordSurvival(s.wall(), p)
			if book.State(s.wall(), p) == wire.MarkStateQuarantined {
				s.refused++
			}
		})
	}
}

func (s *crashSim) merge(ms []wire.Mark) {
	for _, b := range s.books {
		b.Merge(s.wall(), ms)
	}
}

func (s *crashSim) exchange() {
	if !s.gossip {
		return
	}
	for _, b := range s.books {
		s.merge(b.Marks(s.wall()))
	}
}

// Crashes prints the table on requests that crash upstreams.
func (m *Measure) Crashes() {
	var rows [][]string
	for _, c := range []struct {
		name             string
		g                guard
		gossip           bool
		routers, senders int
	}{
		{"naive", guardNone, false, 3, 1},
		{"refuse all in flight", guardFirst, true, 3, 1},
		{"ours", guardSolo, true, 3, 1},
		{"ours, 2 routers", guardSolo, true, 2, 1},
		{"ours, 10 callers at once", guardSolo, true, 3, 10},
		{"ours, claims, 10 callers at once", guardOne, true, 3, 10},
		{"ours, routers cut off from each other", guardSolo, false, 3, 1},
	} {
		s := crashRun(m.seed, c.g, c.gossip, c.routers, c.senders)
		rows = append(rows, []string{
			c.name, fmt.Sprint(c.routers), fmt.Sprint(c.senders), fmt.Sprint(s.lost), s.last.Round(ms).String(),
			fmt.Sprint(s.refused), fmt.Sprint(s.alone),
		})
	}
	rows = append(rows, []string{"bound: the first crash can't be foreseen", "-", "-", "1", "-", "0", "0"})
	m.table("A request that crashes upstreams, resent for 60 s", []string{
		"policy", "routers", "callers", "upstreams lost", "last crash", "others refused", "others run alone",
	}, rows)
}
