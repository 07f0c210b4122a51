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
	MaxUnused  = 65_536
	MaxResults = 4_096
	MaxBytes   = 16 << 20 // of encoded results
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

// Use says what became of a token. Result is shared and must not be changed.
// Wait is set for a running call and is closed by Finish and by Return; the
// caller then consumes the token again.
type Use struct {
	State  string
	Result *wire.Result
	Wait   <-chan struct{}
}

// entry is one token that is unused, running or finished.
type entry struct {
	serial uint64
	print  wire.Fingerprint // of the first use
	bound  bool             // print is set
	place  *list.Element    // in Book.unused or Book.results; nil while running
	done   chan struct{}    // set while running
	result *wire.Result     // set when finished
	bytes  int              // of result
}

// Book holds the tokens that one run of an agent issued. It is safe for
// concurrent use. Running calls and results together are at most MaxResults:
// results are dropped first, and while all of them are running a further token
// is answered spent but stays unused.
type Book struct {
	upstream    wire.UpstreamID
	incarnation wire.Incarnation

	mu      sync.Mutex
	serial  uint64 // of the newest token
	entries map[uint64]*entry
	unused  list.List // of *entry, oldest first
	results list.List // of *entry, oldest first
	running int
	bytes   int // of all results
	dropped Dropped
}

// Dropped counts the entries that a Book dropped at its bounds.
type Dropped struct{ Unused, Results uint64 }

// NewBook returns an empty book. The incarnation must differ between runs of the
// agent, or a token of an earlier run would pass for one of this run.
func NewBook(u wire.UpstreamID, inc wire.Incarnation) *Book {
	return &Book{upstream: u, incarnation: inc, entries: make(map[uint64]*entry)}
}

// Reserve issues a token. Over MaxUnused the oldest unused token is dropped.
func (b *Book) Reserve() wire.Token {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serial++
	e := &entry{serial: b.serial}
	b.entries[e.serial] = e
	b.keepUnused(e)
	return format(b.upstream, b.incarnation, e.serial)
}

// Consume uses a token for the request with fingerprint p. A caller that gets
// Fresh ends the use with exactly one call of Finish or Return.
func (b *Book) Consume(t wire.Token, p wire.Fingerprint) Use {
	serial, ok := b.own(t)
	if !ok {
		return Use{State: Foreign}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[serial]
	switch {
	case e == nil:
		return Use{State: Spent}
	case e.bound && e.print != p:
		return Use{State: Mismatch}
	case e.result != nil:
		return Use{State: Finished, Result: e.result}
	case e.done != nil:
		return Use{State: Running, Wait: e.done}
	case !b.makeRoom():
		return Use{State: Spent}
	}
	b.unused.Remove(e.place)
	e.place = nil
	e.print, e.bound = p, true
	e.done = make(chan struct{})
	b.running++
	return Use{State: Fresh}
}

// Finish ends a running call with its result, which the book keeps and which
// must not be changed afterwards. A nil result means that the outcome is
// unknown; the token is then spent. Tokens that are not running are ignored.
func (b *Book) Finish(t wire.Token, r *wire.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.stop(t)
	if e == nil {
		return
	}
	if r == nil {
		delete(b.entries, e.serial)
		return
	}
	e.result, e.bytes = r, r.Msgsize()
	e.place = b.results.PushBack(e)
	b.bytes += e.bytes
	for b.bytes > MaxBytes {
		b.dropResult()
	}
}

// Return makes a running token unused again. It is only for a call of which
// nothing was sent to the upstream. The token stays bound to its fingerprint and
// counts as the newest unused one. Tokens that are not running are ignored.
func (b *Book) Return(t wire.Token) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.stop(t); e != nil {
		b.keepUnused(e)
	}
}

// Len returns the number of unused tokens, running calls and held results.
func (b *Book) Len() (unused, running, results int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unused.Len(), b.running, b.results.Len()
}

// Dropped returns the entries dropped so far.
func (b *Book) Dropped() Dropped {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// own returns the serial of a token that this run of this agent may have issued.
func (b *Book) own(t wire.Token) (serial uint64, ok bool) {
	u, inc, serial, err := Parse(t)
	return serial, err == nil && u == b.upstream && inc == b.incarnation
}

// stop ends the running state of t and wakes the callers that wait for it.
func (b *Book) stop(t wire.Token) *entry {
	serial, ok := b.own(t)
	e := b.entries[serial]
	if !ok || e == nil || e.done == nil {
		return nil
	}
	close(e.done)
	e.done = nil
	b.running--
	return e
}

func (b *Book) keepUnused(e *entry) {
	e.place = b.unused.PushBack(e)
	if b.unused.Len() <= MaxUnused {
		return
	}
	b.drop(&b.unused)
	b.dropped.Unused++
}

// makeRoom reports whether one more call may run.
func (b *Book) makeRoom() bool {
	if b.running+b.results.Len() < MaxResults {
		return true
	}
	if b.results.Len() == 0 {
		return false
	}
	b.dropResult()
	return true
}

func (b *Book) dropResult() {
	e := b.drop(&b.results)
	b.bytes -= e.bytes
	b.dropped.Results++
}

func (b *Book) drop(l *list.List) *entry {
	e := l.Remove(l.Front()).(*entry)
	delete(b.entries, e.serial)
	return e
}
