// Package once keeps the reservations and results of non-repeatable calls. A
// token runs at most once: it leaves the table of unused reservations, under one
// lock, before its call may be given to the upstream. No clock is involved.
package once

import (
	"container/list"
	"sync"

	"hornbeamcove.example/core/wire"
)

// Bounds of a Book. At each the oldest entry is dropped.
const (
	MaxUnused      = 65_536
	MaxResults     = 4_096
	MaxResultBytes = 16 << 20 // of encoded results
)

// States of a Use.
const (
	Fresh    = "fresh"    // the caller alone may run the call
	Running  = "running"  // another caller runs it; Wait ends with it
	Finished = "finished" // Result is the held result
	Spent    = "spent"    // not unused and not held; the outcome is unknown
	Foreign  = "foreign"  // not issued by this run of this agent, or malformed
	Mismatch = "mismatch" // bound to the fingerprint of another request
)

// ConsumeResult says what became of a token. Result is shared and must not be changed.
// Wait is set for a running call and is closed by Finish and by Return; the
// caller then consumes the token again.
type ConsumeResult struct {
	State  string
	Result *wire.Result
	Wait   <-chan struct{}
}

// entry is one token that is unused, running or finished.
type entry struct {
	serial      uint64
	fingerprint wire.Fingerprint // of the first use
	bound       bool             // print is set
	elem        *list.Element    // in Book.unused or Book.results; nil while running
	done        chan struct{}    // set while running
	result      *wire.Result     // set when finished
	size        int              // of result
}

// Store holds the tokens that one run of an agent issued. It is safe for
// concurrent use. Running calls and results together are at most MaxResults:
// results are dropped first, and while all of them are running a further token
// is answered spent but stays unused.
type Store struct {
	upstream    wire.UpstreamID
	incarnation wire.Incarnation

	mu          sync.Mutex
	lastSerial  uint64 // of the newest token
	entries     map[uint64]*entry
	unused      list.List // of *entry, oldest first
	results     list.List // of *entry, oldest first
	running     int
	resultBytes int // of all results
	evicted     Evicted
}

// Evicted counts the entries that a Book dropped at its bounds.
type Evicted struct{ Unused, Results uint64 }

// NewStore returns an empty book. The incarnation must differ between runs of the
// agent, or a token of an earlier run would pass for one of this run.
func NewStore(u wire.UpstreamID, inc wire.Incarnation) *Store {
	return &Store{upstream: u, incarnation: inc, entries: make(map[uint64]*entry)}
}

// Reserve issues a token. Over MaxUnused the oldest unused token is dropped.
func (b *Store) Reserve() wire.Token {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastSerial++
	e := &entry{serial: b.lastSerial}
	b.entries[e.serial] = e
	b.addUnused(e)
	return formatToken(b.upstream, b.incarnation, e.serial)
}

// Consume uses a token for the request with fingerprint p. A caller that gets
// Fresh ends the use with exactly one call of Finish or Return.
func (b *Store) Consume(t wire.Token, p wire.Fingerprint) ConsumeResult {
	serial, ok := b.parseOwn(t)
	if !ok {
		return ConsumeResult{State: Foreign}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[serial]
	switch {
	case e == nil:
		return ConsumeResult{State: Spent}
	case e.bound && e.fingerprint != p:
		return ConsumeResult{State: Mismatch}
	case e.result != nil:
		return ConsumeResult{State: Finished, Result: e.result}
	case e.done != nil:
		return ConsumeResult{State: Running, Wait: e.done}
	case !b.makeRoomToRun():
		return ConsumeResult{State: Spent}
	}
	b.unused.Remove(e.elem)
	e.elem = nil
	e.fingerprint, e.bound = p, true
	e.done = make(chan struct{})
	b.running++
	return ConsumeResult{State: Fresh}
}

// Finish ends a running call with its result, which the book keeps and which
// must not be changed afterwards. A nil result means that the outcome is
// unknown; the token is then spent. Tokens that are not running are ignored.
func (b *Store) Finish(t wire.Token, r *wire.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endRun(t)
	if e == nil {
		return
	}
	if r == nil {
		delete(b.entries, e.serial)
		return
	}
	e.result, e.size = r, r.Msgsize()
	e.elem = b.results.PushBack(e)
	b.resultBytes += e.size
	for b.resultBytes > MaxResultBytes {
		b.evictOldestResult()
	}
}

// Return makes a running token unused again. It is only for a call of which
// nothing was sent to the upstream. The token stays bound to its fingerprint and
// counts as the newest unused one. Tokens that are not running are ignored.
func (b *Store) Return(t wire.Token) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.endRun(t); e != nil {
		b.addUnused(e)
	}
}

// Len returns the number of unused tokens, running calls and held results.
func (b *Store) Len() (unused, running, results int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unused.Len(), b.running, b.results.Len()
}

// Evicted returns the entries dropped so far.
func (b *Store) Evicted() Evicted {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted
}

// parseOwn returns the serial of a token that this run of this agent may have issued.
func (b *Store) parseOwn(t wire.Token) (serial uint64, ok bool) {
	u, inc, serial, err := Parse(t)
	return serial, err == nil && u == b.upstream && inc == b.incarnation
}

// endRun ends the running state of t and wakes the callers that wait for it.
func (b *Store) endRun(t wire.Token) *entry {
	serial, ok := b.parseOwn(t)
	e := b.entries[serial]
	if !ok || e == nil || e.done == nil {
		return nil
	}
	close(e.done)
	e.done = nil
	b.running--
	return e
}

func (b *Store) addUnused(e *entry) {
	e.elem = b.unused.PushBack(e)
	if b.unused.Len() <= MaxUnused {
		return
	}
	b.evictOldest(&b.unused)
	b.evicted.Unused++
}

// makeRoomToRun reports whether one more call may run.
func (b *Store) makeRoomToRun() bool {
	if b.running+b.results.Len() < MaxResults {
		return true
	}
	if b.results.Len() == 0 {
		return false
	}
	b.evictOldestResult()
	return true
}

func (b *Store) evictOldestResult() {
	e := b.evictOldest(&b.results)
	b.resultBytes -= e.size
	b.evicted.Results++
}

func (b *Store) evictOldest(l *list.List) *entry {
	e := l.Remove(l.Front()).(*entry)
	delete(b.entries, e.serial)
	return e
}
