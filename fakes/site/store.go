// Package site provides test doubles of the users' platform: its metadata store and the
// replicas of its services. They speak the platform's published protocol, inject faults
// on demand and record the requests that they ran.
package site

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode selects how the store answers calls.
type Mode int

// Modes of the store.
const (
	Up     Mode = iota // answers normally
	Busy               // answers 503
	Reset              // closes connections without an answer
	Silent             // holds calls without an answer until the caller leaves
	Slow               // answers normally after slowDelay
)

const (
	slowDelay = 300 * time.Millisecond
	pageSize  = 50               // items per page of a listing
	maxWait   = 30 * time.Second // longest wait of a watch call
)

// Item is an entry of the store, or a tombstone for a deleted one.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the platform's metadata store. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	era          int64 // number of restores, from 1
	rev          int64 // revision of the last write
	items        map[string]Item
	history      []Item // writes after compactedRev, oldest first
	compactedRev int64  // revision up to which the history was dropped
	restoredRev  int64  // revision of the copy of the last Restore
	mode         Mode
	changed      chan struct{} // closed and replaced at each write
	calls        int
	pace         Pace
}

// Pace slows down the bodies of the store's answers, as a short link does or a caller that
// is slow to read.
type Pace struct {
	Bytes int           // sent at a time; 0 for all at once
	Pause time.Duration // after each
}

// SetPace sets the pace of later answers.
func (s *Store) SetPace(p Pace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = p
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: 1, rev: 1, items: map[string]Item{}, changed: make(chan struct{})}
}

// Put writes an entry and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	return s.write(Item{Key: key, Value: value})
}

// PutJSON writes a value as JSON and returns its revision. It panics if the value can't
// be encoded.
func (s *Store) PutJSON(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic("site: encode value of " + key + ": " + err.Error())
	}
	return s.Put(key, data)
}

// SetField sets a field of an entry that holds a JSON object. It does nothing if there is
// no such entry.
func (s *Store) SetField(key, field string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	var object map[string]any
	if !ok || json.Unmarshal(it.Value, &object) != nil {
		return
	}
	object[field] = value
	if data, err := json.Marshal(object); err == nil {
		s.writeLocked(Item{Key: key, Value: data})
	}
}

// Delete replaces an entry by a tombstone and returns the revision of the deletion.
func (s *Store) Delete(key string) int64 { return s.write(Item{Key: key, Tombstone: true}) }

// write stores an item with the next revision, which it returns, and wakes all watches.
func (s *Store) write(it Item) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(it)
}

// writeLocked is write for callers that hold mu.
func (s *Store) writeLocked(it Item) int64 {
	s.rev++
	it.Revision = s.rev
	s.history = append(s.history, it)
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// SetMode sets how later calls are answered. Calls that already wait are not affected.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Compact drops the history. Watches from an earlier revision are answered with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRev = s.rev
	s.history = nil
}

// Copy is the state of a store at one moment.
type Copy struct {
	rev, compactedRev int64
	items             map[string]Item
	history           []Item
}

// Copy returns a copy of the store's state, for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.rev, s.compactedRev, maps.Clone(s.items), slices.Clone(s.history)}
}

// Restore puts the store back to a copy: later writes are lost and their revisions are
// given out again. The era rises by one.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.restoredRev = c.rev
	s.rev, s.compactedRev, s.items, s.history = c.rev, c.compactedRev, maps.Clone(c.items), slices.Clone(c.history)
	close(s.changed)
	s.changed = make(chan struct{})
}

// WriteAgain writes what the last restore lost, as the operator and the replicas do: later
// is a copy from right before it. Keys that were written since the restore stay as they are.
func (s *Store) WriteAgain(later Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := map[string]bool{}
	for _, it := range s.history {
		if it.Revision > s.restoredRev {
			written[it.Key] = true
		}
	}
	for _, key := range slices.Sorted(maps.Keys(later.items)) {
		if it := later.items[key]; !written[key] && !bytes.Equal(s.items[key].Value, it.Value) {
			s.writeLocked(Item{Key: key, Value: it.Value})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if _, ok := later.items[key]; !ok && !written[key] {
			s.writeLocked(Item{Key: key, Tombstone: true})
		}
	}
}

// Calls returns the number of HTTP calls that the store has received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode, era := s.mode, s.era
	s.mu.Unlock()
	w.Header().Set(HeaderEra, strconv.FormatInt(era, 10))
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		<-r.Context().Done()
		return
	case Slow:
		time.Sleep(slowDelay)
	}
	switch r.URL.Path {
	case "/kv-range":
		s.list(w, r)
	case "/kv-watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// list answers with a page of the entries under a prefix, in the order of their keys.
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	items, more, rev := s.page(w, prefix, after)
	s.writeJSON(w, map[string]any{"items": items, "truncated": more, "as_of": rev})
}

// page returns the entries of one page of a listing, whether more follow, and the revision.
// It sets the era in w's header.
func (s *Store) page(w http.ResponseWriter, prefix, after string) (items []Item, more bool, rev int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, it)
		}
	}
	w.Header().Set(HeaderEra, strconv.FormatInt(s.era, 10))
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if len(items) > pageSize {
		return items[:pageSize], true, s.rev
	}
	return items, false, s.rev
}

// watch answers with the writes after a revision, and waits for one if there is none yet.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, afterErr := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if afterErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer t.Stop()
	for {
		events, era, rev, known, changed := s.eventsSince(q.Get("path_prefix"), after)
		w.Header().Set(HeaderEra, strconv.FormatInt(era, 10))
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			s.writeJSON(w, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-t.C:
			s.writeJSON(w, map[string]any{"events": []Item{}, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the writes under prefix after a revision, the era and the current
// revision. known is false if the store has no such revision or has dropped that part of
// its history; changed is closed at the next write.
func (s *Store) eventsSince(prefix string, after int64) (events []Item, era, rev int64, known bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRev || after > s.rev {
		return nil, s.era, s.rev, false, s.changed
	}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.era, s.rev, true, s.changed
}

// writeJSON sends an answer at the store's pace. Sending fails only if the caller has
// disconnected.
func (s *Store) writeJSON(w http.ResponseWriter, v any) {
	s.mu.Lock()
	p := s.pace
	s.mu.Unlock()
	writeJSON(pacedWriter{w, p}, v)
}

// pacedWriter is a ResponseWriter with a pace.
type pacedWriter struct {
	http.ResponseWriter
	pace Pace
}

// Write implements io.Writer.
func (w pacedWriter) Write(b []byte) (n int, err error) {
	for err == nil && w.pace.Bytes > 0 && len(b)-n > w.pace.Bytes {
		var m int
		m, err = w.ResponseWriter.Write(b[n : n+w.pace.Bytes])
		n += m
		_ = http.NewResponseController(w.ResponseWriter).Flush() // fails like the next Write
		time.Sleep(w.pace.Pause)
	}
	if err != nil {
		return n, err
	}
	m, err := w.ResponseWriter.Write(b[n:])
	return n + m, err
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}
