// Package origin remembers which software version began each stream, and which versions each
// service has had. A stream that broke off may go on only at the version that began it, also
// when its caller takes it up at another router. The package does no I/O.
package origin

import (
	"slices"
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// maxRecords bounds the streams that a Table holds. A new stream replaces the one that was
// added first.
const maxRecords = 1 << 15

// Record says which software version of a service began a stream.
type Record struct {
	Stream  wire.RequestID // request that brought the stream's first event
	Service fleet.ServiceID
	Version fleet.SoftwareVersion
	Left    time.Duration // time until nobody takes the stream up any more
}

// Table holds records until their time is over. It is safe for concurrent use; the zero
// value is empty.
type Table struct {
	mu       sync.Mutex
	byStream map[wire.RequestID]entry
	order    []wire.RequestID // in the order in which they were added, also those forgotten
}

type entry struct {
	Record
	until time.Time
}

// Add adds a record, or extends the time of the one known for its stream. A record that
// contradicts the one known is ignored, since the first event came before it.
func (t *Table) Add(now time.Time, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byStream == nil {
		t.byStream = make(map[wire.RequestID]entry)
	}
	until := now.Add(r.Left)
	if known, ok := t.byStream[r.Stream]; ok && now.Before(known.until) {
		if known.Version == r.Version && until.After(known.until) {
			known.until = until
			t.byStream[r.Stream] = known
		}
		return
	}
	t.forget(now)
	t.byStream[r.Stream] = entry{r, until}
	t.order = append(t.order, r.Stream)
}

// forget removes the oldest records whose time is over, and the very oldest at maxRecords.
// The caller holds mu.
func (t *Table) forget(now time.Time) {
	n := 0
	for n < len(t.order) {
		e, ok := t.byStream[t.order[n]]
		if ok && now.Before(e.until) && len(t.order)-n < maxRecords {
			break
		}
		delete(t.byStream, t.order[n])
		n++
	}
	t.order = slices.Delete(t.order, 0, n)
}

// Find returns the record of a stream, or false if there is none.
func (t *Table) Find(now time.Time, id wire.RequestID) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byStream[id]
	if !ok || !now.Before(e.until) {
		return Record{}, false
	}
	e.Left = e.until.Sub(now)
	return e.Record, true
}

// Records returns the records that keep selects, with the time left.
func (t *Table) Records(now time.Time, keep func(wire.RequestID) bool) (rs []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.byStream {
		if now.Before(e.until) && keep(id) {
			e.Left = e.until.Sub(now)
			rs = append(rs, e.Record)
		}
	}
	return rs
}

// Len returns the number of records, including those whose time is over.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byStream)
}
