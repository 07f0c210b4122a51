// Package site provides test doubles of the users' platform: its metadata store and the
// replicas of its services. They speak the platform's published protocol, inject faults
// on demand and record the requests that they ran.
package site

import (
	"encoding/json"
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
	rev          int64 // revision of the last write
	items        map[string]Item
	history      []Item // writes after compactedRev, oldest first
	compactedRev int64  // revision up to which the history was dropped
	mode         Mode
	changed      chan struct{} // closed and replaced at each write
	calls        int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 1, items: map[string]Item{}, changed: make(chan struct{})}
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
	mode := s.mode
	s.mu.Unlock()
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
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, map[string]any{"items": items, "truncated": more, "as_of": s.rev})
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
		events, rev, compacted, changed := s.eventsSince(q.Get("path_prefix"), after)
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-t.C:
			writeJSON(w, map[string]any{"events": []Item{}, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the writes under prefix after a revision and the current revision.
// compacted is set if that part of the history was dropped; changed is closed at the
// next write.
func (s *Store) eventsSince(prefix string, after int64) (events []Item, rev int64, compacted bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRev {
		return nil, s.rev, true, s.changed
	}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.rev, false, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}
