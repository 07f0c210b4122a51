// Package hold keeps the chunks and results of the calls that an agent accepted
// until the router acknowledges them or they expire. A router that lost its session
// replays them from here.
package hold

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hornbeamcove.example/core/wire"
)

// Retention is the time for which an entry is kept after its call's deadline.
const Retention = 5 * time.Second

// chunkOverhead is the memory that a chunk takes in addition to its data, in bytes.
const chunkOverhead = 96

var (
	// ErrFull is returned for a chunk that would exceed the table's byte limit. The
	// caller cancels the call and finishes the entry with a failure.
	ErrFull = errors.New("byte limit of the table exceeded")
	// ErrEnded is returned if the entry was acknowledged or has expired.
	ErrEnded = errors.New("entry was acknowledged or has expired")
	// ErrFinished is returned for a chunk that is appended after the result.
	ErrFinished = errors.New("entry already has its result")
	// ErrSequence is returned for an appended chunk whose number is not the next one,
	// and for a read of a chunk whose number is negative or beyond the result.
	ErrSequence = errors.New("chunk number out of sequence")
	// ErrWrongCall is returned for a chunk that belongs to another call.
	ErrWrongCall = errors.New("chunk belongs to another call")
)

// Table holds the entries of all calls. It is safe for concurrent use. A single lock
// guards the table and its entries, since an agent appends only hundreds of chunks
// per second.
type Table struct {
	maxEntries, maxBytes int

	mu      sync.Mutex
	entries map[wire.Ref]*Entry
	bytes   int
}

// NewTable returns an empty table that is limited to the given entries and bytes.
// Chunks never exceed the byte limit. A result may exceed it, since it would
// otherwise be lost; Begin then refuses calls until the table is below the limit.
func NewTable(entries, bytes int) *Table {
	return &Table{maxEntries: entries, maxBytes: bytes, entries: make(map[wire.Ref]*Entry)}
}

// Begin adds an entry for an accepted call. The entry expires at expires: the call's
// deadline plus Retention. Begin refuses a duplicate call with reason `malformed` and
// returns the existing entry; it refuses a call with `busy` if the table is full and
// with `deadline` if expires has passed. The refusal of a duplicate doesn't prove
// that nothing was executed.
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

// Find returns the entry of ref, or nil if there is none.
func (t *Table) Find(ref wire.Ref) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[ref]
}

// Ack ends the entry of ref. If the result is still missing, the entry ends at
// Finish: ending it while the call runs would make a later answer of `absent` false.
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

// Expire ends the entries that have expired, including those whose call still runs,
// and returns their number.
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

// Size returns the number of entries and the bytes that their chunks and results take.
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

// Append stores the next chunk. Chunks are numbered from 0 without gaps. It returns
// ErrWrongCall, ErrEnded, ErrFinished, ErrSequence or ErrFull, and then stores nothing.
func (e *Entry) Append(c *wire.Chunk) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("append chunk %d of request %s: %w", c.Number, e.ref.Request, err)
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

// Finish stores the result; further results are ignored. A result that is nil, that
// belongs to another call, or that is done with another number of chunks than were
// appended is replaced by a failure with reason `unknown`, since it would complete a
// wrong response. The number of chunks of a failure is set to that of the entry.
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

// reconcile returns r, corrected or replaced as Finish describes.
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
	corrected := *r
	corrected.Chunks = len(e.chunks)
	return &corrected
}

// failedResult returns a failure with reason `unknown` for the chunks appended so far.
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

// Next returns chunk n, or the result if n is the total number of chunks. It waits
// for either until ctx is done. Several readers may read one entry. It returns
// ErrEnded, ErrSequence or the error of ctx.
func (e *Entry) Next(ctx context.Context, n int) (c *wire.Chunk, r *wire.Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read chunk %d of request %s: %w", n, e.ref.Request, err)
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

// get returns chunk n or the result without waiting. If neither is there yet, it
// returns a channel that is closed at the next change of the entry.
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

// addBytes accounts for size more bytes and wakes the readers.
func (e *Entry) addBytes(size int) {
	e.bytes += size
	e.table.bytes += size
	e.notify()
}

// end removes the entry from the table and wakes its readers.
func (e *Entry) end() {
	delete(e.table.entries, e.ref)
	e.table.bytes -= e.bytes
	e.bytes = 0
	e.ended = true
	e.chunks, e.result = nil, nil
	e.notify()
}

// notify wakes the readers that wait for a change.
func (e *Entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}
