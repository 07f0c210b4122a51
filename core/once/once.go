// Package once enforces at-most-once execution of non-repeatable calls. Each call
// carries a token that was reserved beforehand. A token is marked as used, under
// one lock, before its call may be sent to the upstream; results are kept so that
// a repeated request gets the same answer. Entries are evicted by count and size,
// never by age, so no clock is involved.
package once

import (
	"container/list"
	"sync"

	"hornbeamcove.example/core/wire"
)

// Limits of a Store. At each limit the oldest entry is evicted.
const (
	MaxUnused      = 65_536   // unused tokens
	MaxResults     = 4_096    // running calls and kept results together
	MaxResultBytes = 16 << 20 // encoded size of all kept results
)

// Values of ConsumeResult.State.
const (
	Fresh    = "fresh"    // unused until now; only this caller may run the call
	Running  = "running"  // another caller is running it; Wait is closed when that run ends
	Finished = "finished" // Result holds the kept result
	Spent    = "spent"    // not in the store, or MaxResults calls are running; the outcome is unknown
	Foreign  = "foreign"  // issued by another agent or by another run of this one, or malformed
	Mismatch = "mismatch" // bound to the fingerprint of another request
)

// ConsumeResult reports the state of a token that was passed to Consume. Result
// is set for a finished call; it is shared and must not be modified. Wait is set
// for a running call and is closed by Finish and by Return; the caller should
// then call Consume again.
type ConsumeResult struct {
	State  string
	Result *wire.Result
	Wait   <-chan struct{}
}

// entry is one token that is unused, running or finished.
type entry struct {
	serial      uint64
	fingerprint wire.Fingerprint // fingerprint of the request that first consumed the token
	bound       bool             // fingerprint is set
	elem        *list.Element    // in Store.unused or Store.results; nil while running
	done        chan struct{}    // non-nil while running; closed when the run ends
	result      *wire.Result     // non-nil when finished
	size        int              // encoded size of result in bytes
}

// Store holds the tokens that one run of an agent issued. It is safe for
// concurrent use. Running calls and kept results together number at most
// MaxResults. At that limit the oldest result is evicted; when only running calls
// are left, Consume returns Spent for a further token, which stays unused.
type Store struct {
	upstream    wire.UpstreamID
	incarnation wire.Incarnation

	mu          sync.Mutex
	lastSerial  uint64 // serial of the newest token
	entries     map[uint64]*entry
	unused      list.List // *entry values of unused tokens, oldest first
	results     list.List // *entry values of finished calls, oldest first
	running     int
	resultBytes int // encoded size of all kept results
	evicted     Evicted
}

// Evicted counts the entries that a Store evicted at its limits.
type Evicted struct{ Unused, Results uint64 }

// NewStore returns an empty store. The incarnation must differ between runs of
// the agent; otherwise a token of an earlier run would be accepted as one of this
// run.
func NewStore(u wire.UpstreamID, inc wire.Incarnation) *Store {
	return &Store{upstream: u, incarnation: inc, entries: make(map[uint64]*entry)}
}

// Reserve issues a new token. Beyond MaxUnused it evicts the oldest unused one.
func (s *Store) Reserve() wire.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSerial++
	e := &entry{serial: s.lastSerial}
	s.entries[e.serial] = e
	s.addUnused(e)
	return formatToken(s.upstream, s.incarnation, e.serial)
}

// Consume claims a token for the request with fingerprint fp. A caller that gets
// Fresh must end the run with exactly one call of Finish or Return.
func (s *Store) Consume(t wire.Token, fp wire.Fingerprint) ConsumeResult {
	serial, ok := s.parseOwn(t)
	if !ok {
		return ConsumeResult{State: Foreign}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[serial]
	switch {
	case e == nil:
		return ConsumeResult{State: Spent}
	case e.bound && e.fingerprint != fp:
		return ConsumeResult{State: Mismatch}
	case e.result != nil:
		return ConsumeResult{State: Finished, Result: e.result}
	case e.done != nil:
		return ConsumeResult{State: Running, Wait: e.done}
	case !s.makeRoomToRun():
		return ConsumeResult{State: Spent}
	}
	s.unused.Remove(e.elem)
	e.elem = nil
	e.fingerprint, e.bound = fp, true
	e.done = make(chan struct{})
	s.running++
	return ConsumeResult{State: Fresh}
}

// Finish ends a running call with its result, which the store keeps and which
// must not be modified afterwards. A nil result means that the outcome is
// unknown; the token is then spent. Tokens that are not running are ignored.
func (s *Store) Finish(t wire.Token, r *wire.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endRun(t)
	if e == nil {
		return
	}
	if r == nil {
		delete(s.entries, e.serial)
		return
	}
	e.result, e.size = r, r.Msgsize()
	e.elem = s.results.PushBack(e)
	s.resultBytes += e.size
	for s.resultBytes > MaxResultBytes {
		s.evictOldestResult()
	}
}

// Return makes a running token unused again. It may be called only if no part of
// the call was sent to the upstream. The token stays bound to its fingerprint and
// counts as the newest unused one. Tokens that are not running are ignored.
func (s *Store) Return(t wire.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.endRun(t); e != nil {
		s.addUnused(e)
	}
}

// Len returns the numbers of unused tokens, running calls and kept results.
func (s *Store) Len() (unused, running, results int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unused.Len(), s.running, s.results.Len()
}

// Evicted returns the numbers of entries evicted so far.
func (s *Store) Evicted() Evicted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evicted
}

// parseOwn returns the serial of a token. It reports false unless the token names
// this agent and this run of it.
func (s *Store) parseOwn(t wire.Token) (serial uint64, ok bool) {
	u, inc, serial, err := Parse(t)
	return serial, err == nil && u == s.upstream && inc == s.incarnation
}

// endRun ends the run of t, wakes its waiters and returns its entry, or nil if t
// is not running. The entry is then in neither list.
func (s *Store) endRun(t wire.Token) *entry {
	serial, ok := s.parseOwn(t)
	e := s.entries[serial]
	if !ok || e == nil || e.done == nil {
		return nil
	}
	close(e.done)
	e.done = nil
	s.running--
	return e
}

// addUnused appends e to the unused tokens and evicts the oldest one beyond
// MaxUnused.
func (s *Store) addUnused(e *entry) {
	e.elem = s.unused.PushBack(e)
	if s.unused.Len() <= MaxUnused {
		return
	}
	s.evictOldest(&s.unused)
	s.evicted.Unused++
}

// makeRoomToRun reports whether one more call may run. At MaxResults it evicts
// the oldest result; if there is none, all entries are running calls and it
// reports false.
func (s *Store) makeRoomToRun() bool {
	if s.running+s.results.Len() < MaxResults {
		return true
	}
	if s.results.Len() == 0 {
		return false
	}
	s.evictOldestResult()
	return true
}

func (s *Store) evictOldestResult() {
	e := s.evictOldest(&s.results)
	s.resultBytes -= e.size
	s.evicted.Results++
}

func (s *Store) evictOldest(l *list.List) *entry {
	e := l.Remove(l.Front()).(*entry)
	delete(s.entries, e.serial)
	return e
}
