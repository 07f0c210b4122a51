package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/framer"
)

// callerConns tracks the connections of callers and the requests in their handlers. It is
// safe for concurrent use.
type callerConns struct {
	mu       sync.Mutex
	states   map[net.Conn]connState
	handlers map[*exchange]struct{}
	expiring bool // whether expire was called
}

// connState is the state of a connection and the time at which it began.
type connState struct {
	http.ConnState
	since time.Time
}

func newCallerConns() *callerConns {
	return &callerConns{states: map[net.Conn]connState{}, handlers: map[*exchange]struct{}{}}
}

// setState is the http.Server.ConnState hook.
func (cc *callerConns) setState(c net.Conn, st http.ConnState) {
	if fc, ok := c.(*framer.Conn); ok && st == http.StateIdle {
		fc.RequestEnded()
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(cc.states, c)
		return
	}
	cc.states[c] = connState{st, time.Now()}
	if cc.expiring && st == http.StateActive {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// expire ends the idle connections, and if all is set also those on which no request has been
// read yet, and returns how many connections are left. It ends them by a read deadline, so
// that a request that is being read meanwhile is served rather than cut off.
func (cc *callerConns) expire(all bool) int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.expiring = true
	for c, st := range cc.states {
		if st.ConnState == http.StateIdle || all && st.ConnState == http.StateNew {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(cc.states)
}

// requestStarted and requestEnded enclose the handler of a request.
func (cc *callerConns) requestStarted(x *exchange) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.handlers[x] = struct{}{}
}

func (cc *callerConns) requestEnded(x *exchange) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	delete(cc.handlers, x)
}

// callerConnCounts summarizes the connections of callers.
type callerConnCounts struct {
	New    int // whose first request header has not been read
	Active int // with a request that has not been answered
	Idle   int // after a response
	// OldestNew and OldestActive are the times since the oldest of these connections was
	// opened and since the oldest of these requests was read, 0 if there is none.
	OldestNew, OldestActive time.Duration
	Handlers                int           // requests in handlers
	OldestHandler           time.Duration // time since the oldest of them arrived
}

func (cc *callerConns) counts() (c callerConnCounts) {
	now, bootTime := time.Now(), bootNow()
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, st := range cc.states {
		switch st.ConnState {
		case http.StateNew:
			c.New++
			c.OldestNew = max(c.OldestNew, now.Sub(st.since))
		case http.StateActive:
			c.Active++
			c.OldestActive = max(c.OldestActive, now.Sub(st.since))
		case http.StateIdle:
			c.Idle++
		}
	}
	c.Handlers = len(cc.handlers)
	for x := range cc.handlers {
		c.OldestHandler = max(c.OldestHandler, bootTime.Sub(x.start))
	}
	return c
}

// callerListener is the listener for callers.
type callerListener struct {
	net.Listener
	served chan struct{} // closed when no further connection will be taken
}

// Close closes the listener and waits until the connections that it took are tracked.
func (l *callerListener) Close() error {
	err := l.Listener.Close()
	<-l.served
	return err
}

// recordAmbiguous logs and counts a request that net/http answers with 400 because its end is
// ambiguous.
func (s *Server) recordAmbiguous(err error) {
	s.log.Warn("ambiguous request rejected", "err", err)
	s.incCounter("requests", "status", strconv.Itoa(http.StatusBadRequest), "reason", "ambiguous end")
}

// requestHead limits the heads of a caller's requests. It implements framer.Meter.
type requestHead struct {
	headMemory
	s *Server
}

func (s *Server) newRequestHead() framer.Meter {
	return &requestHead{headMemory{maxBytes: maxHeaderBytes + headSlack, used: heldShare{bound: s.heldBodies}}, s}
}

// headSlack is how far beyond http.Server.MaxHeaderBytes net/http reads a head.
const headSlack = 4 << 10

// Grow implements framer.Meter. It refuses a head that is too large, and one for which there is no
// memory now.
func (h *requestHead) Grow(bytes, lines int) (answer []byte) {
	f, retry := refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head too large"}, ""
	switch err := h.grow(bytes, lines); {
	case err == nil:
		return nil
	case errors.Is(err, errNoMemory):
		f = refusal{http.StatusServiceUnavailable, "no memory for the head", retryAfterBusy}
		retry = "Retry-After: " + f.retryAfterSeconds() + "\r\n"
	}
	h.s.log.Warn("request refused for its head", "status", f.status, "reason", f.reason, "bytes", bytes, "lines", lines)
	h.s.incCounter("requests", "status", strconv.Itoa(f.status), "reason", f.reason)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s\n",
		f.status, http.StatusText(f.status), retry, len(f.reason)+1, f.reason)
}

// Release implements framer.Meter.
func (h *requestHead) Release() { h.release() }

// firstRequestWait is how long after the listener was closed the first request on a
// connection may arrive. It is longer than a host that has used up its CPU quota is paused.
const firstRequestWait = 500 * time.Millisecond

// endCallerConns waits until the connections of callers have ended. Those without a request
// end at once, new ones after firstRequestWait or the refusal of all requests. It returns the
// error of ctx if some are left when ctx ends.
func (s *Server) endCallerConns(ctx context.Context) error {
	wait := time.Now().Add(firstRequestWait)
	for {
		left := s.callerConns.expire(time.Now().After(wait) || s.stopCtx.Err() != nil)
		switch {
		case left == 0:
			return nil
		case !clock.Sleep(ctx, expirePollInterval):
			return ctx.Err()
		}
	}
}

// expirePollInterval is the time between two searches for connections that have become idle.
const expirePollInterval = 10 * time.Millisecond

// logCutOff logs and counts the connections of callers that the end of a drain closes.
// Without a request in a handler these only wait for callers to read their answers.
func (s *Server) logCutOff(err error) {
	c := s.callerConns.counts()
	logClose, msg := s.log.Info, "connections closed by the stop"
	if c.Handlers > 0 {
		logClose, msg = s.log.Warn, "requests cut off by the stop"
	}
	logClose(msg, "requests", c.Handlers, "oldest_request_ms", c.OldestHandler.Milliseconds(),
		"new", c.New, "oldest_new_ms", c.OldestNew.Milliseconds(), "active", c.Active, "oldest_active_ms", c.OldestActive.Milliseconds(),
		"idle", c.Idle, "err", err)
	s.addCounter("requests_cut", int64(c.Handlers))
	s.addCounter("connections_cut", int64(c.New), "state", "new")
	s.addCounter("connections_cut", int64(c.Active), "state", "active")
	s.addCounter("connections_cut", int64(c.Idle), "state", "idle")
}

// reasonStopping is the reason for ending a request because the router stops.
const reasonStopping = "stopping"

// awaited returns what a request that is ended waits for.
func (x *exchange) awaited() string {
	switch {
	case x.headerSent:
		return "events"
	case x.runs > 0:
		return "response"
	case x.retryBudget == nil:
		return "admission" // its body included
	case len(x.route.Stages) > 0 && x.sends == 0:
		return "stages"
	}
	return "upstream"
}

// logStopped logs and counts a request that is ended because the router stops.
func (x *exchange) logStopped(status int) {
	began := x.s.drainBegan.Load()
	if began == nil {
		return
	}
	awaited := x.awaited()
	x.s.log.Info("request ended by the stop", "request", x.spec.ID, "status", status, "arrived_ms", x.start.Sub(*began).Milliseconds(),
		"awaited", awaited, "left_ms", x.remaining().Milliseconds())
	x.s.incCounter("requests_stopped", "awaited", awaited)
}
