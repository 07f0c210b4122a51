// Package hold keeps the calls that an agent accepted, with their chunks and
// results, until the router acknowledges them or their time is over. A router
// whose session was lost reads them again from here.
package hold

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

// Retention is the time for which an entry outlives its call's deadline.
const Retention = 5 * time.Second

// chunkOverhead is the memory of a chunk beside its data, in bytes.
const chunkOverhead = 96

var (
	// ErrFull says that a chunk would take the table over its bytes. The caller
	// cancels the call and finishes the entry with a failure.
	ErrFull = errors.New("held results exceed the table's bytes")
	// ErrEnded says that the entry was acknowledged or has expired.
	ErrEnded = errors.New("entry has ended")
	// ErrFinished says that a chunk follows the result.
	ErrFinished = errors.New("entry has its result already")
	// ErrSequence says that a chunk's number isn't the next one, or that a chunk
	// beyond the result was asked for.
	ErrSequence = errors.New("chunk number out of sequence")
	// ErrWrongCall says that a chunk belongs to another call.
	ErrWrongCall = errors.New("chunk of another call")
)

// Table holds the entries. It is safe for concurrent use. One lock guards the
// table and its entries, since an agent appends only hundreds of chunks a second.
type Table struct {
	maxEntries, maxBytes int

	mu      sync.Mutex
	entries map[wire.Ref]*Entry
	bytes   int
}

// NewTable returns an empty table for at most that many entries and bytes.
// Chunks never exceed the bytes. A result is held even if it does, since it
// would otherwise be lost; no further call begins until there is room.
func NewTable(entries, bytes int) *Table {
	return &Table{maxEntries: entries, maxBytes: bytes, entries: make(map[wire.Ref]*Entry)}
}

// Begin adds the entry of an accepted call, which ends at expires: the call's
// deadline and Keep. It refuses a doubled call with reason `malformed` and the
// entry that exists, a full table with `busy` and a time that is over with
// `deadline`. A doubled call is not proof that nothing was executed.
func (t *Table) Begin(now time.Time, ref wire.Ref, expires time.Time) (e *Entry, reason wire.Reason, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e = t.entries[ref]; e != nil {
		return e, wire.ReasonMalformed, false
	}
	if len(t.entries) >= t.maxEntries || t.bytes >= t.maxBytes {
		return nil, wire.ReasonBusy, false
	}
	if !now.Before(expires) {
		return nil, wire.ReasonDeadline, false
	}
	e = &Entry{table: t, ref: ref, expires: expires, changed: make(chan struct{})}
	t.entries[ref] = e
	return e, "", true
}

// Find returns the entry of ref, or nil when there is none.
func (t *Table) Find(ref wire.Ref) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[ref]
}

// Ack ends the entry of ref. Before the result it takes effect at Finish: an
// entry that ends while its call runs would make a later `absent` false.
func (t *Table) Ack(ref wire.Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[ref]
	if e == nil {
		return
	}
	e.acked = true
	if e.result != nil {
		e.end()
	}
}

// Expire ends the entries whose time is over, running ones included, and returns
// their number.
func (t *Table) Expire(now time.Time) (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if now.Before(e.expires) {
			continue
		}
		e.end()
		dropped++
	}
	return dropped
}

// Size returns the number of entries and the bytes that they hold.
func (t *Table) Size() (entries, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.bytes
}

// Entry is one accepted call. Its chunks and result are shared with the readers
// and must not be changed.
type Entry struct {
	table   *Table
	ref     wire.Ref
	expires time.Time

	// The table's lock guards the fields below.
	chunks  []*wire.Chunk
	result  *wire.Result
	bytes   int
	acked   bool
	ended   bool
	changed chan struct{} // closed and replaced at each change
}

// Ref returns the call's reference.
func (e *Entry) Ref() wire.Ref { return e.ref }

// Append holds the next chunk. Numbers run from 0 without a gap. It returns
// ErrWrongCall, ErrEnded, ErrFinished, ErrSequence or ErrFull, and then holds nothing.
func (e *Entry) Append(c *wire.Chunk) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hold chunk %d of %s: %w", c.Number, e.ref.Request, err)
		}
	}()
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	size := len(c.Data) + chunkOverhead
	switch {
	case c.Ref != e.ref:
		return ErrWrongCall
	case e.ended:
		return ErrEnded
	case e.result != nil:
		return ErrFinished
	case c.Number != len(e.chunks):
		return ErrSequence
	case e.table.bytes+size > e.table.maxBytes:
		return ErrFull
	}
	e.chunks = append(e.chunks, c)
	e.addBytes(size)
	return nil
}

// Finish holds the result. Only the first one counts. A result that is nil, of
// another call, or done with a number of chunks other than that held is replaced
// by a failure with reason `unknown`, since it would complete a wrong answer. A
// failure gets the number of chunks held.
func (e *Entry) Finish(r *wire.Result) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.ended || e.result != nil {
		return
	}
	e.result = e.reconcile(r)
	e.addBytes(e.result.Msgsize())
	if e.acked {
		e.end()
	}
}

func (e *Entry) reconcile(r *wire.Result) *wire.Result {
	if r == nil || r.Ref != e.ref {
		return e.failedResult(wire.Cost{})
	}
	if r.Chunks == len(e.chunks) {
		return r
	}
	if r.Outcome == wire.OutcomeDone {
		return e.failedResult(r.Cost)
	}
	fitted := *r
	fitted.Chunks = len(e.chunks)
	return &fitted
}

func (e *Entry) failedResult(cost wire.Cost) *wire.Result {
	return &wire.Result{
		Ref:     e.ref,
		Chunks:  len(e.chunks),
		Cost:    cost,
		Outcome: wire.OutcomeFailed,
		Reason:  wire.ReasonUnknown,
		Wasted:  true,
	}
}

// Next returns chunk n, or the result when n is the number of all chunks. It
// waits for them until ctx ends. Several readers may replay one entry. It
// returns ErrEnded, ErrSequence or the error of ctx.
func (e *Entry) Next(ctx context.Context, n int) (c *wire.Chunk, r *wire.Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("replay chunk %d of %s: %w", n, e.ref.Request, err)
		}
	}()
	for {
		c, r, changed, err := e.get(n)
		if c != nil || r != nil || err != nil {
			return c, r, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// get returns what is held at n, or a channel that is closed at the next change.
func (e *Entry) get(n int) (c *wire.Chunk, r *wire.Result, changed <-chan struct{}, err error) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	switch {
	case e.ended:
		return nil, nil, nil, ErrEnded
	case n < 0:
		return nil, nil, nil, ErrSequence
	case n < len(e.chunks):
		return e.chunks[n], nil, nil, nil
	case e.result == nil:
		return nil, nil, e.changed, nil
	case n > len(e.chunks):
		return nil, nil, nil, ErrSequence
	}
	return nil, e.result, nil, nil
}

func (e *Entry) addBytes(size int) {
	e.bytes += size
	e.table.bytes += size
	e.notify()
}

// end takes the entry out of the table and wakes its readers.
func (e *Entry) end() {
	delete(e.table.entries, e.ref)
	e.table.bytes -= e.bytes
	e.bytes = 0
	e.ended = true
	e.chunks, e.result = nil, nil
	e.notify()
}

func (e *Entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}
