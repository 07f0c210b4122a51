package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it down.
type record struct {
	began time.Time

	mu       sync.Mutex
	f        *os.File
	w        *bufio.Writer
	requests map[string]*request
	pieces   []pieceRun
}

// request is one client attempt.
type request struct {
	id, kind, daemon string
	kept             bool // whether it was sent on a connection that had carried another one
	sent, ended      time.Time
	outcome          string
	status           int
	signature        string
	answerTo, body   string
	runs             []string // replicas that began to work on it
	ranAt            []time.Time
	runAnswered      bool // whether a replica has written its whole answer
}

// pieceRun is a piece that reached a replica.
type pieceRun struct {
	id      string
	replica string
	at      time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), f: f, w: bufio.NewWriter(f), requests: map[string]*request{}}, nil
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// note writes a line and shows it.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
	fmt.Printf("%8.3f ", time.Since(r.began).Seconds())
	fmt.Printf(format+"\n", args...)
}

func (r *record) send(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
	kept := "new connection"
	if q.kept {
		kept = "kept connection"
	}
	r.line("sent     %s %s to %s on a %s", q.id, q.kind, q.daemon, kept)
}

func (r *record) end(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("ended    %s %s: %s, status %d, %d bytes", q.id, q.kind, q.outcome, q.status, len(q.body))
}

func (r *record) ran(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.runs, q.ranAt = append(q.runs, replica), append(q.ranAt, time.Now())
	}
	r.line("runs     %s at %s", id, replica)
}

func (r *record) answered(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.runAnswered = true
	}
	r.line("answers  %s from %s", id, replica)
}

func (r *record) dropped(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("drops    %s at %s: its connection was closed", id, replica)
}

func (r *record) piece(id string, stage, piece int, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pieces = append(r.pieces, pieceRun{id, replica, time.Now()})
	r.line("piece    %s stage %d piece %d at %s", id, stage, piece, replica)
}

// all returns the requests that have ended.
func (r *record) all() (qs []*request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.requests {
		if !q.ended.IsZero() {
			qs = append(qs, q)
		}
	}
	return qs
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
