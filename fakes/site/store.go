// Package site holds stand-ins for the users' platform: its metadata store and the
// replicas of its services. They speak the platform's published protocol, can be made
// to fail on demand, and keep a record of what they ran.
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

// Mode is how the store treats calls.
type Mode int

// Modes of the store.
const (
	Up     Mode = iota
	Busy        // answers 503
	Reset       // closes connections without an answer
	Silent      // does not answer
	Slow        // answers after slowDelay
)

const (
	slowDelay = 300 * time.Millisecond
	pageSize  = 50
	maxWait   = 30 * time.Second
)

// Item is one entry of the store, or its deletion.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the platform's metadata store. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	rev          int64
	items        map[string]Item
	history      []Item
	compactedRev int64 // history up to this revision is gone
	mode         Mode
	changed      chan struct{}
	calls        int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 1, items: map[string]Item{}, changed: make(chan struct{})}
}

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	return s.write(Item{Key: key, Value: value})
}

// PutJSON writes an item as JSON.
func (s *Store) PutJSON(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic("site: value of " + key + ": " + err.Error())
	}
	return s.Put(key, data)
}

// Delete removes an item.
func (s *Store) Delete(key string) int64 { return s.write(Item{Key: key, Tombstone: true}) }

func (s *Store) write(it Item) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// SetMode changes how calls are treated. Calls that wait are not affected.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRev = s.rev
	s.history = nil
}

// Calls returns the number of calls so far.
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

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer t.Stop()
	for {
		events, rev, gone, changed := s.eventsSince(q.Get("path_prefix"), after)
		if gone {
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

func (s *Store) eventsSince(prefix string, after int64) (events []Item, rev int64, gone bool, changed <-chan struct{}) {
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
	_ = json.NewEncoder(w).Encode(v) // a caller that left reads nothing
}
