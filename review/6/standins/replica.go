package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// fault is what a replica in trouble does instead of answering a request.
type fault func(c net.Conn)

// handler runs a request at a replica.
type handler func(rp *replica, w http.ResponseWriter, r *http.Request)

// replica is a sound replica of a service, unless fault is set.
type replica struct {
	id, service, zone, addr string
	slots, queue            int
	p                       *platform
	handler                 handler

	born   int64
	places chan struct{} // slots and queue
	work   chan struct{} // slots
	seq    atomic.Int64
	// troubled counts the requests that reached the replica in its trouble, and faults those that were
	// answered with a fault.
	troubled, faults atomic.Int64
	mu               sync.Mutex
	during           func() bool // see setTrouble
	trouble          func() fault
	results          map[string]time.Time // stage results, with the end of their time
}

// platform is the world around the system: the store and the replicas.
type platform struct {
	store    *store
	rec      *record
	replicas []*replica
}

// add starts a replica and registers it.
func (p *platform) add(rp *replica) error {
	ln, err := net.Listen("tcp", listenHost+":0")
	if err != nil {
		return err
	}
	rp.p, rp.addr, rp.born = p, ln.Addr().String(), time.Now().UnixMilli()
	rp.places, rp.work = make(chan struct{}, rp.slots+rp.queue), make(chan struct{}, rp.slots)
	rp.results = map[string]time.Time{}
	go func() { _ = http.Serve(ln, rp) }()
	rp.register("ready")
	p.replicas = append(p.replicas, rp)
	return nil
}

// register writes the replica's entry and returns when the store has acknowledged it.
func (rp *replica) register(state string) time.Time {
	return rp.p.store.put("servers/"+rp.id, map[string]any{
		"service": rp.service, "address": rp.addr, "zone": rp.zone, "version": "v1", "slots": rp.slots, "state": state,
		"cold_remaining_ms": 0, "born": rp.born, "sequence": rp.seq.Add(1),
	})
}

// ServeHTTP implements http.Handler.
func (rp *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", rp.id)
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if id := r.Header.Get("Request-Id"); id != "" {
		h.Set("Request-Id", id)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != rp.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if f := rp.chooseFault(r.URL.Path); f != nil {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			f(c)
			_ = c.Close()
		}
		return
	}
	if r.URL.Path == "/stage-free" {
		rp.serveFree(w, r)
		return
	}
	select {
	case rp.places <- struct{}{}:
		defer func() { <-rp.places }()
	default:
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case rp.work <- struct{}{}:
		defer func() { <-rp.work }()
	case <-r.Context().Done():
		return
	}
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(rp.work), len(rp.places)-len(rp.work), rp.slots))
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	rp.handler(rp, w, r)
}

// servePlain runs a request of the shop counter.
func servePlain(rp *replica, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rp.p.rec.ran(id, rp.id)
	if sleep(r.Context(), 15*time.Millisecond) != nil {
		rp.p.rec.dropped(id, rp.id)
		return
	}
	w.Header().Set("Server-Signature", rp.id+"."+id)
	body := strings.Repeat("s", 800)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	rp.p.rec.answered(id, rp.id)
}

const (
	firstEvent = 700 * time.Millisecond // of the model replicas: the prompt is read
	eventGap   = 30 * time.Millisecond
	events     = 10
)

// serveEngine runs a request of a model replica.
func serveEngine(rp *replica, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id == "" || r.Header.Get("Input-Count") == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, in := range strings.Split(r.Header.Get("Input-Count"), ",") {
		if !rp.p.holds(in) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rp.p.rec.ran(id, rp.id)
	if sleep(r.Context(), firstEvent) != nil {
		rp.p.rec.dropped(id, rp.id)
		return
	}
	w.Header().Set("Server-Signature", rp.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= events; n++ {
		if sleep(r.Context(), eventGap) != nil {
			rp.p.rec.dropped(id, rp.id)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		w.(http.Flusher).Flush()
	}
	rp.p.rec.answered(id, rp.id)
}

// stage describes the stage calls of a service.
type stage struct {
	batch  int
	call   time.Duration
	item   time.Duration
	handle time.Duration // time for which a result is kept
}

var archive = stage{batch: 8, call: 150 * time.Millisecond, item: 16 * time.Millisecond, handle: 4 * time.Second}

var handles atomic.Int64

// serveStage makes the results of a stage call.
func serveStage(rp *replica, w http.ResponseWriter, r *http.Request) {
	var in struct {
		Items []struct {
			ID        string `json:"id"`
			Stage     int    `json:"stage"`
			Piece     int    `json:"piece"`
			Remaining int64  `json:"remaining_ms"`
			Key       string `json:"key"`
		} `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Items) == 0 || len(in.Items) > archive.batch {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, it := range in.Items {
		rp.p.rec.piece(it.ID, it.Stage, it.Piece, rp.id)
	}
	time.Sleep(archive.call + time.Duration(len(in.Items))*archive.item) // a close doesn't drop a call at work
	out := make([]map[string]string, len(in.Items))
	rp.mu.Lock()
	for i := range in.Items {
		h := fmt.Sprintf("%s/%x%x", rp.addr, rp.born, handles.Add(1))
		rp.results[h] = time.Now().Add(archive.handle)
		out[i] = map[string]string{"handle": h}
	}
	rp.mu.Unlock()
	writeJSON(w, map[string]any{"items": out})
}

// setTrouble lets the replica be in trouble while during says so. trouble chooses what it does instead
// of answering a stage call or a request, nil for a sound answer.
func (rp *replica) setTrouble(during func() bool, trouble func() fault) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.during, rp.trouble = during, trouble
}

// chooseFault returns the fault with which a request is answered, if any.
func (rp *replica) chooseFault(path string) fault {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if rp.during == nil || !rp.during() {
		return nil
	}
	rp.troubled.Add(1)
	if path == "/stage-free" {
		return nil
	}
	f := rp.trouble()
	if f != nil {
		rp.faults.Add(1)
	}
	return f
}

func (rp *replica) serveFree(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Handles []string `json:"handles"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	rp.mu.Lock()
	for _, h := range in.Handles {
		delete(rp.results, h)
	}
	rp.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// holds reports whether a result is still kept at its maker.
func (p *platform) holds(handle string) bool {
	addr, _, _ := strings.Cut(handle, "/")
	for _, rp := range p.replicas {
		if rp.addr == addr {
			rp.mu.Lock()
			defer rp.mu.Unlock()
			end, ok := rp.results[handle]
			return ok && time.Now().Before(end)
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
