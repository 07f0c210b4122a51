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
	// bindAttempts and bindRetryInterval limit how long Restart tries to listen on its
	// port, which an outgoing connection of another process may use for a short time.
	bindAttempts      = 100
	bindRetryInterval = 10 * time.Millisecond
	// maxBodyBytes is the maximum size of a request body. It leaves room for wire frames,
	// which are at most 4 MiB.
	maxBodyBytes = 8 << 20
)

// ErrClosed is returned by Start and Restart of a stand-in that is closed.
var ErrClosed = errors.New("stand-in is closed")

// server is embedded by all stand-ins. It opens a listener for each run and handles /record
// and /fault.
type server struct {
	handler    func(ctx context.Context, rc *fasthttp.RequestCtx)
	onRunStart func(boot string)         // called with the boot identity before a run accepts calls
	background func(ctx context.Context) // runs in the background during a run; may be nil
	onFault    func(f *Fault)            // applies a fault and clears the fields that it supports
	record     func() any                // returns the body for GET /record

	lifecycleMu sync.Mutex // serialises Start, Restart and Close; handlers never lock it

	mu               sync.Mutex // guards the fields below and is held only briefly
	addr             string
	run              *run // latest run, or nil before Start
	closed           bool
	stopContextWatch func() bool    // ends the wait for the end of the context given to Start
	closing          chan struct{}  // closed by Close
	restarts         conc.WaitGroup // pending restarts after a Fault
}

// run is one run of the simulated process, from its start until it crashes, is restarted or
// is closed.
type run struct {
	ctx     context.Context
	cancel  context.CancelFunc
	ln      *listener
	tasks   conc.WaitGroup // HTTP server and background work
	streams sync.WaitGroup // streamed response bodies being written
}

// Start listens on addr, or on a free port of 127.0.0.1 if addr is empty, and serves
// in the background until Close is called or ctx ends. It returns ErrClosed after Close.
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

// currentRun returns the latest run, or nil before Start, and whether the stand-in is
// closed.
func (s *server) currentRun() (r *run, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run, s.closed
}

// startRun begins a run; the caller holds s.lifecycleMu.
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
	httpServer := &fasthttp.Server{
		Handler:               func(rc *fasthttp.RequestCtx) { s.route(r, rc) },
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxBodyBytes,
		Logger:                discardLogger{},
		// Idle workers remain for this long after the run; the default is 10 s.
		MaxIdleWorkerDuration: time.Second,
	}
	r.tasks.Go(func() { httpServer.Serve(r.ln) }) // the error only reports that the listener is closed
	if s.background != nil {
		r.tasks.Go(func() { s.background(r.ctx) })
	}
	return nil
}

// discardLogger is a fasthttp logger that discards all messages.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Addr returns the listen address. It stays the same across Crash and Restart.
func (s *server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// URL returns the address as an HTTP base URL.
func (s *server) URL() string { return "http://" + s.Addr() }

// Crash ends the run in the way a process crash does: it closes the listener and resets
// all connections. It does not wait for handlers; Restart and Close do.
func (s *server) Crash() {
	if r, _ := s.currentRun(); r != nil {
		r.abort()
	}
}

// Restart ends the current run as Crash does and begins a new one on the same address. It
// returns ErrClosed after Close, and an error if the address stays in use.
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

// abort ends the run. It resets the connections before it cancels the context of the
// handlers, so that no stream looks complete to its reader.
func (r *run) abort() {
	r.ln.abort()
	r.cancel()
}

// wait waits until all goroutines of the run have returned and its connections are closed.
func (r *run) wait() {
	r.tasks.Wait()
	r.ln.wg.Wait()
	r.streams.Wait()
}

// Close ends the run and waits for all goroutines that the stand-in started. The stand-in
// cannot be started again.
func (s *server) Close() {
	s.shutdown()
	s.restarts.Wait()
}

// shutdown ends the run for good and waits for its goroutines.
func (s *server) shutdown() {
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	s.mu.Lock()
	r, alreadyClosed := s.run, s.closed
	s.closed = true
	if r != nil && !alreadyClosed {
		s.stopContextWatch()
		close(s.closing)
	}
	s.mu.Unlock()
	if r != nil {
		r.abort()
		r.wait()
	}
}

// Silence makes all established connections discard all data permanently, except those
// that were used for /fault. New connections work.
func (s *server) Silence() {
	if r, _ := s.currentRun(); r != nil {
		r.ln.silence()
	}
}

// Drop resets all established connections, except those that were used for /fault. New
// connections work.
func (s *server) Drop() {
	if r, _ := s.currentRun(); r != nil {
		r.ln.reset(false)
	}
}

// runKey is the context key of the run that a handler belongs to.
type runKey struct{}

// route handles /record and /fault and passes other requests to the handler of the
// stand-in.
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

// streamEvents sends the server-sent events that write passes to send, and flushes each
// one; ctx is the context of the handler.
func streamEvents(ctx context.Context, rc *fasthttp.RequestCtx, write func(send func(data []byte) error)) {
	r := ctx.Value(runKey{}).(*run)
	r.streams.Add(1)
	rc.SetContentType("text/event-stream")
	rc.Response.ImmediateHeaderFlush = true
	rc.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.streams.Done()
		write(func(data []byte) error {
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

// writeJSON answers with a status and v as JSON.
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

// writeError answers with a status and a JSON object with the reason.
func writeError(rc *fasthttp.RequestCtx, status int, reason string) {
	writeJSON(rc, status, map[string]string{"error": reason})
}
