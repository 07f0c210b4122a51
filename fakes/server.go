package fakes

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// bindAttempts times bindRetryInterval bounds how long Restart waits for its port, which an
	// outgoing connection of another process may hold for a moment.
	bindAttempts      = 100
	bindRetryInterval = 10 * time.Millisecond
	// maxBodyBytes bounds request bodies; wire frames are at most 4 MiB.
	maxBodyBytes = 8 << 20
)

// ErrClosed is returned when a closed stand-in is started again.
var ErrClosed = errors.New("stand-in is closed")

// server is the part that all stand-ins share: one listener a run.
type server struct {
	handler    func(ctx context.Context, rc *fasthttp.RequestCtx)
	onRunStart func(boot string)         // before a run accepts calls
	background func(ctx context.Context) // runs beside the listener; may be nil
	onFault    func(f *Fault)            // clears the fields it understood
	record     func() any

	lifecycleMu sync.Mutex // serialises Start, Restart and Close; handlers never take it

	mu               sync.Mutex // guards the fields below and is held only briefly
	addr             string
	run              *run
	closed           bool
	stopContextWatch func() bool
	closing          chan struct{}
	restarts         conc.WaitGroup
}

// run is one life of the simulated process.
type run struct {
	ctx     context.Context
	cancel  context.CancelFunc
	ln      *listener
	tasks   conc.WaitGroup
	streams sync.WaitGroup
}

// Start listens on addr, or on a free port of 127.0.0.1 when addr is empty, and
// serves until Close or until ctx ends.
func (s *server) Start(ctx context.Context, addr string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start stand-in: %w", err)
		}
	}()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	r, closed := s.currentRun()
	if closed {
		return ErrClosed
	}
	if r != nil {
		return errors.New("already running")
	}
	if err := s.startRun(addr); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.Close)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopContextWatch, s.closing = stop, make(chan struct{})
	return nil
}

func (s *server) currentRun() (r *run, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run, s.closed
}

// startRun begins a run; the caller holds s.life.
func (s *server) startRun(addr string) error {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r := &run{ln: &listener{Listener: inner, conns: map[*conn]struct{}{}}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	s.onRunStart(uuid.NewString())
	s.mu.Lock()
	s.addr, s.run = inner.Addr().String(), r
	s.mu.Unlock()
	http := &fasthttp.Server{
		Handler:               func(rc *fasthttp.RequestCtx) { s.route(r, rc) },
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxBodyBytes,
		Logger:                discardLogger{},
		// A worker pool stays for this long after its run; the default is 10 s.
		MaxIdleWorkerDuration: time.Second,
	}
	r.tasks.Go(func() { http.Serve(r.ln) }) // the error only says that the listener has closed
	if s.background != nil {
		r.tasks.Go(func() { s.background(r.ctx) })
	}
	return nil
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Addr returns the address in use; it stays the same over Crash and Restart.
func (s *server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// URL returns the address as an HTTP base URL.
func (s *server) URL() string { return "http://" + s.Addr() }

// Crash ends the run as a dying process would: the listener closes and connections
// are reset. It does not wait for handlers; Restart and Close do.
func (s *server) Crash() {
	if r, _ := s.currentRun(); r != nil {
		r.abort()
	}
}

// Restart begins a new run on the same address, ending the current one first.
func (s *server) Restart() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("restart stand-in: %w", err)
		}
	}()
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	r, closed := s.currentRun()
	if closed {
		return ErrClosed
	}
	if r == nil {
		return errors.New("not started")
	}
	r.abort()
	r.wait()
	for range bindAttempts {
		if err = s.startRun(s.Addr()); err == nil {
			return nil
		}
		time.Sleep(bindRetryInterval)
	}
	return err
}

// abort resets connections before it wakes handlers, so that no stream ends as if it
// were complete.
func (r *run) abort() {
	r.ln.abort()
	r.cancel()
}

func (r *run) wait() {
	r.tasks.Wait()
	r.ln.wg.Wait()
	r.streams.Wait()
}

// Close ends the run and waits for everything it started.
func (s *server) Close() {
	s.shutdown()
	s.restarts.Wait()
}

func (s *server) shutdown() {
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	s.mu.Lock()
	r, again := s.run, s.closed
	s.closed = true
	if r != nil && !again {
		s.stopContextWatch()
		close(s.closing)
	}
	s.mu.Unlock()
	if r != nil {
		r.abort()
		r.wait()
	}
}

// Silence makes all established connections go silent for good, except those that were
// used for /fault; new ones work.
func (s *server) Silence() {
	if r, _ := s.currentRun(); r != nil {
		r.ln.silence()
	}
}

// Drop resets all established connections, except those that were used for /fault; new
// ones work.
func (s *server) Drop() {
	if r, _ := s.currentRun(); r != nil {
		r.ln.reset(false)
	}
}

type runKey struct{}

func (s *server) route(r *run, rc *fasthttp.RequestCtx) {
	switch path := string(rc.Path()); {
	case path == "/record" && rc.IsGet():
		writeJSON(rc, fasthttp.StatusOK, s.record())
	case path == "/fault" && rc.IsPost():
		if c, ok := rc.Conn().(*conn); ok {
			c.control.Store(true)
		}
		var f Fault
		if err := json.Unmarshal(rc.PostBody(), &f); err != nil {
			writeError(rc, fasthttp.StatusBadRequest, err.Error())
			return
		}
		if err := s.Apply(f); err != nil {
			writeError(rc, fasthttp.StatusBadRequest, err.Error())
			return
		}
		writeJSON(rc, fasthttp.StatusOK, struct{}{})
	default:
		s.handler(context.WithValue(r.ctx, runKey{}, r), rc)
	}
}

// streamEvents writes server-sent events with fn, flushing each one; ctx is that of the
// handler.
func streamEvents(ctx context.Context, rc *fasthttp.RequestCtx, fn func(send func(data []byte) error)) {
	r := ctx.Value(runKey{}).(*run)
	r.streams.Add(1)
	rc.SetContentType("text/event-stream")
	rc.Response.ImmediateHeaderFlush = true
	rc.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.streams.Done()
		fn(func(data []byte) error {
			fmt.Fprintf(w, "data: %s\n\n", data)
			return w.Flush()
		})
	})
}

// closeConnection closes the connection without an answer.
func closeConnection(rc *fasthttp.RequestCtx) {
	rc.HijackSetNoResponse(true)
	rc.Hijack(func(net.Conn) {})
}

func writeJSON(rc *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		writeError(rc, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(data)
}

func writeError(rc *fasthttp.RequestCtx, status int, reason string) {
	writeJSON(rc, status, map[string]string{"error": reason})
}
