package site

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcove.example/core/clock"
)

// Action selects how a replica handles a request. Not all apply everywhere: a stream
// serves AnswerTwice and StrayAnswer like Serve, a plain service Stall, and a stage call
// all but Reject, LoseAnswer, Crash and the pauses; CrashLater is Crash there. On LoseAnswer a stage call is aborted before any
// piece runs.
type Action int

// Actions of a replica.
const (
	Serve             Action = iota // runs the request and answers
	Reject                          // answers 503, as a full replica does, and states that the request was not run
	LoseAnswer                      // runs the request and resets the connection instead of answering; aborts a stream after two events
	NoAnswer                        // runs the request and never answers
	AnswerTwice                     // sends the answer twice and closes the connection
	StrayAnswer                     // sends the answer again when the next request arrives on the connection, or after strayWait
	Unframed                        // answers without a length, so that the end of the connection ends the answer; cuts off a stream in its third event
	Truncate                        // closes the connection in the middle of the answer
	Stall                           // pauses a stream for stallDelay after two events, then goes on
	RejectEarly                     // like Reject, but answers before it reads the request's body
	InternalError                   // answers 500
	Crash                           // resets all connections and refuses new ones for Downtime
	ErrorText                       // answers 200 with a signature and a text that is no event stream
	ErrorEvent                      // like ErrorText, but as an event stream
	GarbledHead                     // sends bytes that are no answer, then those of an error, and closes the connection
	RepeatRefusal                   // like Reject, and once more when the next request arrives on the connection, which is run
	RepeatBareRefusal               // like RepeatRefusal, without the id of the request
	RepeatGone                      // like RepeatRefusal, with the status for a stage result that is gone
	BothLengths                     // answers with a length and with chunks, which differ in what the body is
	OldChunks                       // answers in HTTP/1.0 with chunks, and keeps the connection
	Endless                         // answers with a body, or a line of an event, that goes on until the connection is closed
	EndlessHead                     // answers with a head that goes on so
	EndlessRefusal                  // like Reject, with a body that goes on so
	TruncateHead                    // closes the connection in the middle of the answer's head
	CrashLater                      // like Crash, but first works on the request for ServiceTime and, in a stream, sends one event
	PauseBeforeHead                 // pauses for the replica's Pause before the head of the answer, then goes on
	CutUnframed                     // answers without a length and resets the connection after a part of the answer; in a stream after two events
	OddStatus                       // answers with a status that HTTP doesn't have
	EndlessFields                   // like EndlessHead, in short fields, which take most memory for their bytes
	StalledHead                     // answers with 60 kB of a head in short fields, then with nothing until the connection is closed
	PauseWithin                     // pauses for the replica's Pause in the middle of the answer or, in a stream, after two events, then goes on
	RejectLate                      // like Reject, after lateRejection, as a full replica does that has just started and is slow
)

// refuses reports whether a replica does not run the request that it handles by a.
func (a Action) refuses() bool {
	return a == Reject || a == RejectLate || a == RepeatRefusal || a == RepeatBareRefusal || a == RepeatGone || a == EndlessRefusal
}

// endless reports whether a replica answers by a until the connection is closed.
func (a Action) endless() bool {
	return a == Endless || a == EndlessHead || a == EndlessFields || a == EndlessRefusal || a == StalledHead
}

const (
	defaultDowntime = 300 * time.Millisecond
	// strayWait is the longest wait for the next request before a stray answer is sent.
	strayWait  = time.Second
	stallDelay = 2500 * time.Millisecond
	// lateRejection is longer than the 400 ms for which two replicas may work on one stream.
	lateRejection = 450 * time.Millisecond
	// defaultPause is longer than the second after which a caller may take a server for dead.
	defaultPause = 1500 * time.Millisecond
)

// Run records one request that a replica received, whether it executed it or not.
type Run struct {
	Replica, ID          string
	Method, Target, Body string
	Header               http.Header
	Version              string // of the replica's software
	Born                 int64  // start of the replica
	Executed             bool   // whether the replica began to work on the request
	Act                  Action // how the replica handled the request
	RetryAfter           string // with which it was turned away, empty if it wasn't; the body is not recorded then
	Leaving              bool   // whether the answer said that the replica leaves
	Began, Ended         time.Time
}

// Replica is an HTTP server that stands in for one replica of a service. Set its
// fields before the first request; Site.Add starts it and sets Born and Site.
type Replica struct {
	ID, Service, Centre string
	Version             string                       // of its software, v1 if empty
	Born                int64                        // start time in Unix milliseconds
	ServiceTime         time.Duration                // duration of a request or a stage call, or pause before each event of a stream
	Events              int                          // number of events of a stream; 0 for a plain service
	Act                 func(r *http.Request) Action // nil serves all requests
	FreeAct             func(r *http.Request) Action // of calls that free results, for which only the endless actions apply; nil serves them
	// EventTime, if set, returns the pause before each event of a stream instead of ServiceTime.
	EventTime func(r *http.Request) time.Duration
	// PublicAddr, if set, maps the listen address to the address that is registered, for
	// example that of a proxy in front of the replica.
	PublicAddr func(addr string) string
	// Pace, if set, returns the percentage of the usual time that work takes now. The replica then
	// tells its load in all answers, and its health check is answered at once.
	Pace func(now time.Time) int
	// TagEvents adds the version to each event of a stream, as a comment.
	TagEvents bool
	Downtime  time.Duration // time that the replica is down after a crash, 300 ms if 0
	Pause     time.Duration // length of PauseBeforeHead and PauseWithin, 1.5 s if 0
	// SetDown, if set, is told when the replica crashes and when it is back.
	SetDown func(down bool)
	Site    *Site

	port  *Port
	ln    net.Listener
	addr  string // registered address
	srv   *http.Server
	mu    sync.Mutex
	conns map[net.Conn]bool
	// dropped holds connections that are reset as soon as data arrives on them.
	dropped       map[net.Conn]bool
	load          string          // value of HeaderLoad in all answers, empty for the true load
	running       int             // requests in work
	silences      int             // number of silences that have not ended
	speaks        chan struct{}   // closed when the last silence ends
	limit         string          // value of HeaderLimit in all answers, empty for none
	arrivals      []time.Time     // of all requests, also those that are not run
	leaving       bool            // whether all answers say that the replica leaves
	retryAfter    string          // value of Retry-After with which all requests are turned away, empty to serve them
	turnedAway    []time.Time     // when requests were turned away
	results       map[string]bool // handles of the stage results that the replica holds
	lastResult    int             // number of the last stage result, part of its handle
	sequence      int             // entries that Entry has returned since the last start
	reads         []string        // ids of the prompt parts read since the last start, in order
	stageCalls    [][]string      // pieces of each stage call, see StageCalls
	stageArrivals []time.Time     // see StageArrivals
}

// Addr returns the address under which the replica is registered.
func (p *Replica) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// StageCalls returns the pieces of each stage call that the replica ran, in order. A
// piece is written as "request/stage/piece".
func (p *Replica) StageCalls() [][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([][]string(nil), p.stageCalls...)
}

// StageArrivals returns the times at which stage calls arrived that the replica did not reject.
func (p *Replica) StageArrivals() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.stageArrivals)
}

// ResultCount returns the number of stage results that the replica holds.
func (p *Replica) ResultCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.results)
}

// Entry returns the replica's registration in the store, with the given state.
func (p *Replica) Entry(state string) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	return map[string]any{
		"service": p.Service, "address": p.addr, "zone": p.Centre, "version": p.version(), "slots": 8,
		"state": state, "cold_remaining_ms": 0, "sequence": p.sequence, "born": p.Born,
	}
}

func (p *Replica) version() string { return cmp.Or(p.Version, "v1") }

// start listens on the replica's port and serves requests. It also restarts a replica after a
// crash.
func (p *Replica) start() (err error) {
	ln, err := p.port.Listen()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ln = ln
	if p.addr == "" {
		p.addr = ln.Addr().String()
		if p.PublicAddr != nil {
			p.addr = p.PublicAddr(p.addr)
		}
	}
	if p.results == nil {
		p.results = map[string]bool{}
	}
	p.conns, p.dropped = map[net.Conn]bool{}, map[net.Conn]bool{}
	p.srv = &http.Server{Handler: p, ConnState: func(c net.Conn, st http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if st == http.StateClosed || st == http.StateHijacked {
			delete(p.conns, c)
			return
		}
		p.conns[c] = true
	}}
	go func(srv *http.Server, ln net.Listener) { _ = srv.Serve(serverListener{ln, p}) }(p.srv, ln)
	return nil
}

// stop closes the listener and then resets all connections, so that a caller that sees the
// reset can't connect again.
func (p *Replica) stop() {
	p.mu.Lock()
	_ = p.ln.Close()
	srv, conns := p.srv, slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	for _, c := range conns {
		resetConn(c) // without the lock, for which reads and writes in progress may wait
	}
	_ = srv.Close()
}

// DropConns marks the replica's open connections as lost, without closing them: each is
// reset when the next data arrives on it, as after a server has silently dropped an
// idle connection.
func (p *Replica) DropConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.dropped[c] = true
	}
}

// FallSilent makes the replica send nothing for d from now on, see BeginSilence.
func (p *Replica) FallSilent(d time.Duration) { time.AfterFunc(d, p.BeginSilence()) }

// BeginSilence makes the replica send nothing until end is called. It goes on reading and
// working on requests, and keeps its connections open unless an Action closes them. At the end
// it sends what it held back. Silences may overlap and go on after a crash.
func (p *Replica) BeginSilence() (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silences == 0 {
		p.speaks = make(chan struct{})
	}
	p.silences++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.silences--; p.silences == 0 {
			close(p.speaks)
		}
	})
}

// silence returns a channel that is closed at the end of the present silence, or nil if the
// replica is not silent.
func (p *Replica) silence() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silences == 0 {
		return nil
	}
	return p.speaks
}

// hold waits until the replica is not silent, and returns false if done ends before.
func (p *Replica) hold(done interface{ Done() <-chan struct{} }) bool {
	for end := p.silence(); end != nil; end = p.silence() {
		select {
		case <-end:
		case <-done.Done():
			return false
		}
	}
	return true
}

// serverConn is a connection of a replica. It is reset when data arrives after DropConns, and
// holds back what is written during a silence.
type serverConn struct {
	net.Conn
	p    *Replica
	once sync.Once
	gone chan struct{}
}

// Done returns a channel that is closed once the connection can't be read any more.
func (c *serverConn) Done() <-chan struct{} { return c.gone }

// end releases writes that wait for the end of a silence.
func (c *serverConn) end() { c.once.Do(func() { close(c.gone) }) }

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // net/http sets a deadline to end a read that it no longer needs
		c.end()
	}
	c.p.mu.Lock()
	dropped := c.p.dropped[c]
	c.p.mu.Unlock()
	if dropped && n > 0 {
		resetConn(c)
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	if !c.p.hold(c) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.end()
	return c.Conn.Close()
}

// serverListener wraps the connections that it accepts in serverConn.
type serverListener struct {
	net.Listener
	p *Replica
}

func (l serverListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: c, p: l.p, gone: make(chan struct{})}, nil
}

// resetConn closes a connection with a TCP reset instead of a FIN.
func resetConn(c net.Conn) {
	inner := c
	if f, ok := c.(*serverConn); ok {
		inner = f.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Kill crashes the replica, as Crash does when a request arrives.
func (p *Replica) Kill() { p.crash() }

// crash makes the replica unreachable for Downtime and drops its stage results and limit. It
// then starts again under its ID, with a new start time in its entry.
func (p *Replica) crash() {
	if p.SetDown != nil {
		p.SetDown(true)
	}
	p.stop()
	p.mu.Lock()
	clear(p.results)
	p.limit, p.reads, p.leaving, p.retryAfter = "", nil, false, ""
	p.mu.Unlock()
	downtime := p.Downtime
	if downtime <= 0 {
		downtime = defaultDowntime
	}
	time.AfterFunc(downtime, func() {
		if p.Site.closed.Load() || p.start() != nil { // it fails if another crash has ended
			return
		}
		if p.SetDown != nil {
			p.SetDown(false)
		}
		p.mu.Lock()
		p.Born = time.Now().UnixMilli()
		born := p.Born
		p.mu.Unlock()
		p.Site.Store.SetField("servers/"+p.ID, "born", born)
	})
}

// CrashOn returns an Act that crashes the replica on each request with a prompt part that
// other requests may share, and otherwise serves. In half of the requests it begins to
// answer before.
func CrashOn(part string) func(*http.Request) Action {
	var n atomic.Int64
	return func(r *http.Request) Action {
		parts := strings.Split(r.Header.Get(HeaderParts), ",")
		for _, p := range parts[:len(parts)-1] {
			if id, _, _ := strings.Cut(p, ":"); id == part {
				return []Action{Crash, CrashLater}[n.Add(1)%2]
			}
		}
		return Serve
	}
}

// SetLimit sets the limit that the replica names in all answers from now on. An empty one
// is not named. The replica does not enforce it.
func (p *Replica) SetLimit(limit string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Limit returns the value set by SetLimit.
func (p *Replica) Limit() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}

// SetLeaving sets whether all answers say from now on that the replica leaves. It goes on
// serving, and its entry stays as it is.
func (p *Replica) SetLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
}

// Leaving returns the value set by SetLeaving.
func (p *Replica) Leaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

func (p *Replica) born() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Born
}

// StartAgain gives the replica a new start in its entry, and ends what it told about itself, as
// if its process had been replaced in no time.
func (p *Replica) StartAgain() {
	p.mu.Lock()
	p.leaving, p.retryAfter, p.limit = false, "", ""
	p.Born = max(time.Now().UnixMilli(), p.Born+1)
	born := p.Born
	p.mu.Unlock()
	p.Site.Store.SetField("servers/"+p.ID, "born", born)
}

// TurnAway makes the replica answer all requests with 503 and Retry-After from now on, or
// serve them again if it is empty.
func (p *Replica) TurnAway(retryAfter string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryAfter = retryAfter
}

// TurnedAway returns when requests were turned away after TurnAway, in order.
func (p *Replica) TurnedAway() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.turnedAway)
}

// Arrivals returns when requests of any kind reached the replica, in order.
func (p *Replica) Arrivals() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.arrivals)
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	retryAfter := p.retryAfter
	if retryAfter != "" {
		p.turnedAway = append(p.turnedAway, time.Now())
	}
	p.mu.Unlock()
	for name, value := range p.notices() {
		w.Header().Set(name, value)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != p.ID {
		w.Header().Set("Instance-Id", p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if retryAfter != "" {
		if id := r.Header.Get("Request-Id"); id != "" {
			run := p.Site.begin(Run{Replica: p.ID, ID: id, Born: p.born(), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), RetryAfter: retryAfter})
			p.hold(r.Context())
			p.Site.end(run)
		}
		w.Header().Set("Retry-After", retryAfter)
		p.reject(w, r, http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/stage-run":
		p.stageRun(w, r)
		return
	case "/stage-free":
		p.stageFree(r)
		if p.FreeAct != nil {
			if act := p.FreeAct(r); act.endless() {
				p.endless(w, r, act)
			}
		}
		return
	case HealthPath:
		w.Header().Set("Instance-Id", p.ID)
		if p.Leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/kv-events":
		p.cacheEvents(w)
		return
	}
	p.addRunning(1)
	defer p.addRunning(-1)
	act := p.action(r)
	if act == RejectEarly {
		p.reject(w, r, http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := p.Site.begin(Run{
		Replica: p.ID, Version: p.version(), Born: p.born(), Leaving: p.Leaving(), ID: r.Header.Get("Request-Id"), Method: r.Method, Target: r.RequestURI, Body: string(body),
		Header: r.Header.Clone(), Executed: !act.refuses(), Act: act,
	})
	defer func() {
		p.hold(r.Context()) // the rest of the answer is sent after the silence
		p.Site.end(run)
	}()
	// Input-Count lists the handles of stage results, although its name suggests a number.
	if !act.refuses() && !p.Site.hasResults(r.Header.Get("Input-Count")) {
		p.Site.markNotExecuted(run)
		p.reject(w, r, http.StatusConflict)
		return
	}
	if !act.refuses() {
		p.readPrompt(r)
	}
	p.answer(w, r, act)
}

// readPrompt records the parts of a request's prompt as read.
func (p *Replica) readPrompt(r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for part := range strings.SplitSeq(r.Header.Get(HeaderParts), ",") {
		id, _, _ := strings.Cut(part, ":")
		p.reads = append(p.reads, id)
	}
}

// cacheEvents answers with the prompt parts that an engine has read.
func (p *Replica) cacheEvents(w http.ResponseWriter) {
	if p.Events == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	events, epoch := []any{}, p.Born
	for i, id := range p.reads {
		events = append(events, []any{i + 1, "+", "", id, 1, "m"})
	}
	p.mu.Unlock() // a write during a silence takes it
	writeJSON(w, map[string]any{"epoch": epoch, "next": len(events) + 1, "lost": false, "events": events})
}

// notices returns the headers with which the replica tells about itself in all answers.
func (p *Replica) notices() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := map[string]string{}
	if p.limit != "" {
		h[HeaderLimit] = p.limit
	}
	if p.leaving {
		h[HeaderLeaving] = "1"
	}
	switch {
	case p.load != "":
		h[HeaderLoad] = p.load
	case p.Pace != nil:
		h[HeaderLoad] = fmt.Sprintf("%d,0,8,%d", p.running, p.Pace(time.Now()))
	}
	return h
}

// SetLoad sets the load that the replica tells in all answers from now on, empty for the true
// one.
func (p *Replica) SetLoad(load string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = load
}

func (p *Replica) addRunning(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += n
}

// pacePeriod is the time for which a pace of PassingPace lasts.
const pacePeriod = 600 * time.Millisecond

// PassingPace returns a Pace that is 250 for 15 in 100 periods of 600 ms, in an order that depends
// on seed, and 100 for the others.
func PassingPace(seed uint64) func(time.Time) int {
	return func(now time.Time) int {
		if rand.New(rand.NewPCG(seed, uint64(now.UnixNano()/int64(pacePeriod)))).Float64() < 0.15 {
			return 250
		}
		return 100
	}
}

// stretched returns the time that work of the usual time d takes now.
func (p *Replica) stretched(d time.Duration) time.Duration {
	if p.Pace == nil {
		return d
	}
	return d * time.Duration(p.Pace(time.Now())) / 100
}

func (p *Replica) action(r *http.Request) Action {
	if p.Act == nil {
		return Serve
	}
	return p.Act(r)
}

// reject answers with a status and states that the request was not executed.
func (p *Replica) reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.WriteHeader(status)
}

// answer applies act to a request whose body was read.
func (p *Replica) answer(w http.ResponseWriter, r *http.Request, act Action) {
	id := r.Header.Get("Request-Id")
	switch act {
	case Reject, RejectLate:
		if act == RejectLate && !clock.Sleep(r.Context(), lateRejection) {
			return
		}
		p.reject(w, r, http.StatusServiceUnavailable)
		return
	case RepeatRefusal, RepeatBareRefusal, RepeatGone:
		p.repeatRefusal(w, id, act)
		return
	case Crash:
		p.crash()
		panic(http.ErrAbortHandler)
	case CrashLater:
		p.crashLater(w, r)
	case NoAnswer:
		<-r.Context().Done()
		return
	case PauseBeforeHead:
		if !clock.Sleep(r.Context(), p.pause()) {
			return
		}
	}
	switch {
	case act == BothLengths || act == OldChunks:
		p.ambiguous(w, r, act)
		return
	case act.endless():
		p.endless(w, r, act)
		return
	}
	if p.Events > 0 && act != InternalError && act != ErrorText && act != ErrorEvent && act != GarbledHead && act != TruncateHead && act != OddStatus {
		p.stream(w, r, act)
		return
	}
	if !clock.Sleep(r.Context(), p.stretched(p.ServiceTime)) {
		return
	}
	switch act {
	case InternalError, ErrorText, ErrorEvent:
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Signature", p.ID)
		w.Header().Set("Content-Type", "text/plain")
		if act == ErrorEvent {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if act == InternalError {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = io.WriteString(w, errorText)
		return
	case GarbledHead, TruncateHead:
		bytes := "5xx\r\n" + p.head(id) + "\r\n" + errorText
		if act == TruncateHead {
			bytes = p.head(id)
		}
		if c, rw, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = rw.WriteString(bytes)
			_ = rw.Flush()
			_ = c.Close()
		}
		return
	}
	body := Body(r.RequestURI)
	switch act {
	case LoseAnswer:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			resetConn(c)
		}
	case AnswerTwice, StrayAnswer, Unframed, CutUnframed, OddStatus, Truncate:
		p.writeRaw(w, id, body, act)
	default:
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Signature", p.ID)
		if w.Header().Get(HeaderLoad) == "" {
			w.Header().Set(HeaderLoad, "1,0,8")
		}
		p.write(w, r, act, body)
	}
}

// write sends a body, with a pause in its middle on PauseWithin. Sending fails only if the
// caller has disconnected.
func (p *Replica) write(w http.ResponseWriter, r *http.Request, act Action, body string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if act == PauseWithin {
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		if !clock.Sleep(r.Context(), p.pause()) {
			return
		}
		body = body[len(body)/2:]
	}
	_, _ = io.WriteString(w, body)
}

func (p *Replica) pause() time.Duration { return cmp.Or(p.Pause, defaultPause) }

// crashLater works on a request for ServiceTime, sends the first event if it answers with
// a stream, and crashes.
func (p *Replica) crashLater(w http.ResponseWriter, r *http.Request) {
	clock.Sleep(r.Context(), p.ServiceTime)
	if p.Events > 0 {
		p.streamHeader(w, r)
		_, _ = io.WriteString(w, p.event(r.RequestURI, p.firstEvent(r)))
		_ = http.NewResponseController(w).Flush()
	}
	p.crash()
	panic(http.ErrAbortHandler)
}

// errorText is the body of answers that report an error. It has the form of an event, so that
// it would pass for a part of a stream.
const errorText = "error: out of memory\n\n"

// Body returns the body with which a plain service answers a request target.
func Body(target string) string { return "answer to " + target }

// head returns the status line and headers of an answer without a length, and without
// the blank line that ends them.
func (p *Replica) head(id string) string {
	h := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: " + p.ID + "\r\n"
	for name, value := range p.notices() {
		h += name + ": " + value + "\r\n"
	}
	return h
}

// writeRaw takes over the connection and writes an answer that net/http would not write.
func (p *Replica) writeRaw(w http.ResponseWriter, id, body string, act Action) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	head := p.head(id)
	framed := head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	switch act {
	case AnswerTwice:
		_, _ = rw.WriteString(framed + body)
		_ = rw.Flush()
		time.Sleep(time.Millisecond)
		_, _ = rw.WriteString(framed + body)
	case StrayAnswer:
		_, _ = rw.WriteString(framed + body)
		_ = rw.Flush()
		// Wait for the first byte of the next request and leave the request unread.
		_ = c.SetReadDeadline(time.Now().Add(strayWait))
		_, _ = rw.Peek(1)
		_, _ = rw.WriteString(framed + body)
	case Unframed:
		_, _ = rw.WriteString(head + "\r\n" + body)
	case CutUnframed:
		_, _ = rw.WriteString(head + "\r\n" + body[:len(body)/2])
	case OddStatus:
		status := []string{"000 ", "600 ", "999 "}[rand.IntN(3)]
		_, _ = rw.WriteString(strings.Replace(framed, "200 ", status, 1) + body)
	case Truncate:
		_, _ = rw.WriteString(framed + body[:len(body)/2])
	}
	_ = rw.Flush()
	switch act {
	case AnswerTwice:
		time.Sleep(2 * p.ServiceTime)
	case CutUnframed:
		time.Sleep(time.Millisecond) // until the part has been read
		resetConn(c)
	}
	_ = c.Close()
}

// repeatRefusal turns a request away, and writes the refusal once more when the next request
// arrives on the connection, which it runs and answers.
func (p *Replica) repeatRefusal(w http.ResponseWriter, id string, act Action) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	status := http.StatusServiceUnavailable
	if act == RepeatGone {
		status = http.StatusConflict
	}
	refusal := fmt.Sprintf("HTTP/1.1 %d %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if act != RepeatBareRefusal {
		refusal += "Request-Id: " + id + "\r\n"
	}
	refusal += "\r\n"
	_, _ = rw.WriteString(refusal)
	_ = rw.Flush()
	_ = c.SetReadDeadline(time.Now().Add(strayWait))
	next, err := http.ReadRequest(rw.Reader)
	if err != nil {
		return
	}
	body, _ := io.ReadAll(next.Body)
	run := p.Site.begin(Run{
		Replica: p.ID, Version: p.version(), Born: p.born(), ID: next.Header.Get("Request-Id"), Method: next.Method, Target: next.RequestURI,
		Body: string(body), Header: next.Header, Executed: true,
	})
	defer p.Site.end(run)
	_, _ = rw.WriteString(refusal)
	_ = rw.Flush()
	time.Sleep(p.ServiceTime)
	head, answer := p.head(next.Header.Get("Request-Id")), Body(next.RequestURI)
	if p.Events > 0 {
		head += "Content-Type: text/event-stream\r\n"
		answer = ""
		for n := p.firstEvent(next); n <= p.Events; n++ {
			answer += p.event(next.RequestURI, n)
		}
	}
	_, _ = rw.WriteString(head + "Content-Length: " + strconv.Itoa(len(answer)) + "\r\n\r\n" + answer)
	_ = rw.Flush()
}

// ambiguous answers so that one parser sees a part of the body that another one sees.
func (p *Replica) ambiguous(w http.ResponseWriter, r *http.Request, act Action) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head, body := p.head(r.Header.Get("Request-Id")), Body(r.RequestURI)
	if p.Events > 0 {
		head += "Content-Type: text/event-stream\r\n"
		body = p.event(r.RequestURI, p.firstEvent(r))
	}
	rest := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	head += "Transfer-Encoding: chunked\r\n"
	if act == OldChunks {
		head = strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "Connection: keep-alive\r\n"
	}
	head += "Content-Length: " + strconv.Itoa(len(rest)) + "\r\n"
	_, _ = rw.WriteString(head + "\r\n" + rest)
	_ = rw.Flush()
	time.Sleep(p.ServiceTime)
}

// endless sends bytes until the connection is closed.
func (p *Replica) endless(w http.ResponseWriter, r *http.Request, act Action) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head, block := p.head(r.Header.Get("Request-Id")), strings.Repeat("x", 64<<10)
	next := func() string { return block }
	if act == EndlessFields || act == StalledHead {
		next = shortFields()
	}
	switch {
	case act == EndlessHead:
		head += "Other: "
	case act == EndlessFields:
	case act == StalledHead:
		head += next()[:stalledHeadBytes]
	case act == EndlessRefusal:
		head = strings.Replace(head, "200 OK", "503 Service Unavailable", 1) + "Not-Executed: 1\r\n\r\n"
	case p.Events > 0:
		head += "Content-Type: text/event-stream\r\n\r\ndata: "
	default:
		head += "\r\n"
	}
	if _, err = rw.WriteString(head); act == StalledHead {
		_ = rw.Flush()
		_, _ = io.Copy(io.Discard, c)
		return
	}
	for err == nil {
		if _, err = rw.WriteString(next()); err == nil {
			err = rw.Flush()
		}
	}
}

// shortFields returns a function that returns a block of header fields, each time others.
func shortFields() func() string {
	n := 0
	return func() string {
		var b strings.Builder
		for range fieldsPerBlock {
			n++
			b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
		}
		return b.String()
	}
}

const (
	fieldsPerBlock   = 20_000
	stalledHeadBytes = 60_000
)

// Event returns the n-th event of the stream that answers a request target.
func Event(target string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, target, n)
}

// event returns the n-th event of a stream as this replica sends it.
func (p *Replica) event(target string, n int) string {
	e := Event(target, n)
	if p.TagEvents {
		e = strings.TrimSuffix(e, "\n") + TagPrefix + p.version() + "\n\n"
	}
	return e
}

// TagPrefix precedes the version in the events of a replica with TagEvents, at the start of a
// line.
const TagPrefix = ": version "

// firstEvent returns the number of the first event that a request asks for: the one after
// the number in Last-Event-Id.
func (p *Replica) firstEvent(r *http.Request) int {
	lastEvent, _ := strconv.Atoi(r.Header.Get(HeaderLastEvent))
	return lastEvent + 1
}

func (p *Replica) streamHeader(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Server-Signature", p.ID)
}

// stream answers with the events after the one whose number is in Last-Event-Id.
func (p *Replica) stream(w http.ResponseWriter, r *http.Request, act Action) {
	lastEvent := p.firstEvent(r) - 1
	p.streamHeader(w, r)
	if act == Unframed || act == CutUnframed {
		p.streamUnframed(w, r, act, lastEvent)
		return
	}
	rc := http.NewResponseController(w)
	eventTime := p.ServiceTime
	if p.EventTime != nil {
		eventTime = p.EventTime(r)
	}
	for n := lastEvent + 1; n <= p.Events; n++ {
		if !clock.Sleep(r.Context(), p.stretched(eventTime)) {
			return
		}
		if n == lastEvent+3 {
			switch act {
			case Truncate: // part of an event, then abort
				_, _ = io.WriteString(w, Event(r.RequestURI, n)[:8])
				_ = rc.Flush()
				panic(http.ErrAbortHandler)
			case LoseAnswer:
				panic(http.ErrAbortHandler)
			case Stall:
				if !clock.Sleep(r.Context(), stallDelay) {
					return
				}
			case PauseWithin:
				if !clock.Sleep(r.Context(), p.pause()) {
					return
				}
			}
		}
		if _, err := io.WriteString(w, p.event(r.RequestURI, n)); err != nil || rc.Flush() != nil {
			return
		}
	}
}

// streamUnframed sends the events after lastEvent without a length. It closes the connection in the
// middle of the third one, or resets it before that if act is CutUnframed.
func (p *Replica) streamUnframed(w http.ResponseWriter, r *http.Request, act Action, lastEvent int) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = rw.WriteString(p.head(r.Header.Get("Request-Id")) + "Content-Type: text/event-stream\r\n\r\n")
	for n := lastEvent + 1; n <= min(lastEvent+2, p.Events); n++ {
		_, _ = rw.WriteString(p.event(r.RequestURI, n))
	}
	if act == CutUnframed {
		_ = rw.Flush()
		time.Sleep(time.Millisecond) // until the events have been read
		resetConn(c)
		return
	}
	_, _ = rw.WriteString(Event(r.RequestURI, lastEvent+3)[:8])
	_ = rw.Flush()
}

// stageItem is one piece of work in a stage call.
type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// stageRun runs the pieces of a stage call and answers with a handle for each result,
// or the reason "gone" if an input of the piece no longer exists.
func (p *Replica) stageRun(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []stageItem `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	act := p.action(r)
	if act.endless() {
		p.endless(w, r, act)
		return
	}
	switch act {
	case Reject:
		p.reject(w, r, http.StatusServiceUnavailable)
		return
	case Crash, CrashLater:
		p.crash()
		panic(http.ErrAbortHandler)
	case LoseAnswer:
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	p.stageArrivals = append(p.stageArrivals, time.Now())
	p.mu.Unlock()
	time.Sleep(p.ServiceTime)
	var out []map[string]string
	var names []string
	for _, it := range call.Items {
		names = append(names, fmt.Sprintf("%s/%d/%d", it.ID, it.Stage, it.Piece))
		if !p.Site.hasResults(strings.Join(it.Inputs, ",")) {
			out = append(out, map[string]string{"reason": "gone"})
			continue
		}
		out = append(out, map[string]string{"handle": p.storeResult(it)})
	}
	p.mu.Lock()
	p.stageCalls = append(p.stageCalls, names)
	p.mu.Unlock()
	body, err := json.Marshal(map[string]any{"items": out})
	if err != nil {
		panic("site: encode stage results: " + err.Error())
	}
	if act == PauseBeforeHead {
		time.Sleep(p.pause())
	}
	w.Header().Set("Content-Type", "application/json")
	p.write(w, r, act, string(body))
}

// storeResult stores the result of a piece and returns its handle.
func (p *Replica) storeResult(it stageItem) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastResult++
	h := fmt.Sprintf("%s/%s-%d-%d-%d", p.addr, it.ID, it.Stage, it.Piece, p.lastResult)
	p.results[h] = true
	return h
}

// stageFree drops the stage results whose handles the request lists.
func (p *Replica) stageFree(r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range call.Handles {
		delete(p.results, h)
	}
}

func (p *Replica) hasResult(handle string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.results[handle]
}
