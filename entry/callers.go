package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks the connections of callers and the requests in their handlers. It is
// safe for concurrent use.
type callerConns struct {
	mu       sync.Mutex
	states   map[net.Conn]connState
	handlers map[*exchange]struct{}
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
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(cc.states, c)
		return
	}
	cc.states[c] = connState{st, time.Now()}
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

// logCutOff logs and counts the connections of callers that the end of a drain closes.
func (s *Server) logCutOff(err error) {
	c := s.callerConns.counts()
	s.log.Warn("requests cut off by the stop", "requests", c.Handlers, "oldest_request_ms", c.OldestHandler.Milliseconds(),
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
