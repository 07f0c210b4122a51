package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"hornbeamcove.example/core/budget"
	"hornbeamcove.example/core/crash"
	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/platform"
)

// exchange is one request of a caller and the state of serving it.
type exchange struct {
	s           *Server
	w           http.ResponseWriter
	r           *http.Request
	view        *View // newest snapshot, but with the configuration at the request's arrival
	spec        fleet.RequestSpec
	route       *fleet.Route
	svc         *fleet.Service
	team        *fleet.Team // nil for an anonymous request
	rank        int         // priority; 0 is the most urgent
	body        []byte
	heldBody    *held // holds body; nil before it was read
	bodyRead    bool  // whether the whole body was read
	fingerprint wire.Fingerprint
	parts       []crash.Part // prompt parts that other requests may share
	retryBudget *budget.Retry
	holders     int // engines that should hold the prompt's parts; 0 before the first choice
	// planning is whether an engine is chosen before the stages have run, and resultsCentre
	// the data centre for which they have.
	planning      bool
	resultsCentre wire.DataCentreID

	asked map[fleet.ServiceID]float64 // work that recordDemand has recorded, by service

	late            bool // whether its stages yield to those of requests that can be on time
	unqueuedMu      sync.Mutex
	unqueuedByStage []int // by stage: pieces that have not reached the stage's queue

	stageForecast time.Duration // predicted time of the stages
	orderWaits    orderWaits
	originTook    time.Duration // time until the version of a stream that is taken up was known or not

	start    Instant
	deadline Instant
	// margin is the time from deadline to that of the caller, and answerDue ends the request at
	// deadline unless its answer has begun. It is nil before the request is admitted.
	margin     time.Duration
	answerDue  *time.Timer
	begunAfter time.Duration // time from start until the answer of a stream began, 0 before

	runs int // attempts in which an upstream may have run the request
	// upstreamsUsed is runs without those at an upstream that the request had left before.
	upstreamsUsed int
	sends         int               // attempts that reached an upstream, including those that it rejected
	returns       int               // sends to an upstream that the request had left
	tried         []wire.UpstreamID // upstreams that failed or rejected it
	left          []wire.UpstreamID // silent upstreams that were left for another one; they may be sound
	retriedStale  []wire.UpstreamID // upstreams that had closed their idle connection; each is tried once more
	// wayBack is the upstream that was left last for another one which then had no answer, until the next
	// send, and reserved the number of retries that are reserved for that.
	wayBack  wire.UpstreamID
	reserved int
	// pinned is the software version at which the stream must go on, empty if it is free.
	pinned fleet.SoftwareVersion
	// limitWait is the shortest time until an upstream takes a request within the limit
	// that it names, 0 if the last choice left none out for its limit.
	limitWait   time.Duration
	notRepeated string // why the request was not sent again, for the log
	detail      string // what a refusal tells the caller beside its reason, may quote the request
	headerSent  bool   // whether the response header was sent to the caller
	// inputsGone is whether the upstream that rejected the request last could no longer
	// fetch a stage result.
	inputsGone bool
	probed     <-chan struct{} // closed when probeCrash has ended for the last attempt; nil if it was not called

	attemptState
	// attemptElsewhere makes an attempt while another one is silent and reports whether it is
	// answered. The answer is then in place of that of the silent attempt.
	attemptElsewhere func(ctx context.Context) bool
	dropReplacement  func()            // releases the answer of attemptElsewhere
	hedges           []*hedge          // attempts elsewhere that are in progress, the innermost last
	onSend           func(*target)     // called when an attempt is sent; may be nil
	hedging          bool              // whether upstreams that may be silent are left out
	explaining       bool              // whether nothing is recorded, since the request is not sent
	replacement      *bufferedResponse // answer of attemptElsewhere, unless it is a stream
}

// remaining returns the time until the caller's deadline or the route's timeout,
// whichever is earlier.
func (x *exchange) remaining() time.Duration { return x.deadline.Sub(bootNow()) }

// remainingToTarget returns the time until the response, or a stream's first event,
// misses the route's latency target. A stream that was taken up has no target but its deadline.
func (x *exchange) remainingToTarget() time.Duration {
	if x.spec.Resumed {
		return x.remaining()
	}
	targetLatency := x.route.TargetLatency
	if targetLatency <= 0 {
		targetLatency = defaultTargetLatency
	}
	return x.start.Add(targetLatency).Sub(bootNow())
}

func (x *exchange) elapsed() time.Duration { return bootNow().Sub(x.start) }

// upstreamsUsedUp reports whether the request may have run at as many upstreams as its route allows. It may
// then be sent only to those of them that it has left.
func (x *exchange) upstreamsUsedUp() bool { return x.upstreamsUsed >= x.route.MaxAttempts }

// mayHaveRun reports whether the request may have run on any upstream.
func (x *exchange) mayHaveRun() bool { return x.runs > 0 }

const (
	// defaultTimeout applies when the caller sends no deadline.
	defaultTimeout = 30 * time.Second
	// Retry-After times: retryAfterStart lets a router load its configuration,
	// retryAfterNoUpstream lets a replacement upstream start, and retryAfterBusy lets other
	// routers take over.
	retryAfterStart      = 700 * time.Millisecond
	retryAfterNoUpstream = 500 * time.Millisecond
	retryAfterBusy       = 300 * time.Millisecond
	minRetryAfter        = 50 * time.Millisecond
	// maxLimitWait bounds the Retry-After of a request whose upstreams take no more within
	// their limits: another router may have a share of them.
	maxLimitWait     = time.Second
	retryAfterJitter = 0.5 // largest random fraction added to a Retry-After, so that callers don't return together
)

// refusal is an error response that the router itself generates.
type refusal struct {
	status     int
	reason     string        // one of a few: counters keep each as a label
	retryAfter time.Duration // 0 for no Retry-After header
}

// retryAfterSeconds returns the value of the Retry-After header, a random time from retryAfter on.
func (f refusal) retryAfterSeconds() string {
	d := max(f.retryAfter, minRetryAfter)
	d += time.Duration(retryAfterJitter * randomFraction() * float64(d))
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// refuse sends the error response of a request that is not served. If the response has
// already begun or the caller has left, refuse aborts the connection instead. It doesn't ask
// the context of net/http for that, which also ends when a read from the caller times out.
func (x *exchange) refuse(f refusal) {
	f = x.adjustStatus(f)
	x.recordEnd(f.status, f.reason)
	if x.headerSent {
		panic(http.ErrAbortHandler)
	}
	if f.status == statusClientClosed {
		panic(http.ErrAbortHandler) // on return, net/http would answer with an empty 200
	}
	if !x.bodyRead {
		// Before it answers, net/http reads what is left of the body.
		left := x.remaining()
		if x.s.drainBegan.Load() != nil {
			left = min(left, x.s.untilCut(bootNow()))
		}
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(left))
	}
	h := x.w.Header()
	platform.SetRequestID(h, x.spec.ID)
	if f.retryAfter > 0 {
		h.Set("Retry-After", f.retryAfterSeconds())
	}
	if x.s.draining.Load() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(f.status)
	text := f.reason
	if x.detail != "" {
		text += ": " + x.detail
	}
	_, _ = io.WriteString(x.w, text+"\n") // fails if the caller has disconnected
}

// adjustStatus replaces a status that promises that the request has not run by 502 if
// it may have run.
func (x *exchange) adjustStatus(f refusal) refusal {
	switch f.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		if x.mayHaveRun() {
			return refusal{status: http.StatusBadGateway, reason: f.reason}
		}
	}
	return f
}

// recordEnd logs the end of a request and updates the metrics.
func (x *exchange) recordEnd(status int, reason string) {
	s := x.s
	took := x.elapsed()
	routeID, team := "", ""
	if x.route != nil {
		routeID = string(x.route.ID)
	}
	if x.team != nil {
		team = string(x.team.ID)
	}
	x.recordDuration(status, reason, took)
	for ; x.reserved > 0; x.reserved-- {
		x.retryBudget.GiveBack()
	}
	logger := s.log
	if x.spec.Resumed {
		logger = logger.With("resumes", x.spec.Resumes, "after_event", x.spec.LastEventID, "origin_ms", x.originTook.Milliseconds())
	}
	failed := status >= http.StatusInternalServerError
	if waits := x.orderWaits.list(); len(waits) > 0 && (failed || x.spec.Resumed) {
		logger = logger.With("orders", waits)
	}
	if failed && len(x.tried) > 0 {
		logger = logger.With("tried", x.tried, "left", x.left, "untried", len(x.candidates()))
	}
	logEnd := logger.Info
	if failed {
		logEnd = logger.Warn
	}
	v := x.view
	logEnd("request ended", "request", x.spec.ID, "status", status, "reason", reason, "route", routeID, "team", team,
		"upstream", x.upstream, "software", x.software, "choice", x.choiceReason, "load", rounded(x.choiceLoad.Requests), "pace", rounded(x.choiceLoad.Factor), "known", rounded(x.choiceKnown), "sends", x.sends, "runs", x.runs, "not_repeated", x.notRepeated, "took_ms", took.Milliseconds(),
		"left_ms", x.remaining().Milliseconds(), "config", v.version(),
		"config_age_ms", v.age(platform.AreaOperatorSettings).Milliseconds(),
		"upstreams_revision", v.At[platform.AreaUpstreamRegistry].Revision,
		"upstreams_age_ms", v.age(platform.AreaUpstreamRegistry).Milliseconds())
	if reason == reasonStopping {
		x.logStopped(status)
	}
	s.incCounter("requests", "status", strconv.Itoa(status), "reason", reason)
	if status < http.StatusBadRequest {
		s.scope().Timer("request_time").Record(took)
	}
}

// serveCaller handles one request of a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	now := time.Now()
	s.lastArrival.Store(&now)
	x := &exchange{s: s, w: w, r: r, view: s.view.Load(), start: bootNow()}
	x.deadline = x.start.Add(defaultTimeout)
	s.callerConns.requestStarted(x)
	defer s.callerConns.requestEnded(x)
	defer x.recoverPanic()
	if inFlight > maxInFlight {
		x.refuse(refusal{http.StatusServiceUnavailable, "overload", retryAfterBusy})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.stopCtx, cancel)()
	defer x.releaseBody()
	if f := x.admit(ctx); f != nil {
		x.refuse(*f)
		return
	}
	x.recordAdmitted()
	defer x.releaseUnqueued()
	ctx, cancel = context.WithTimeout(ctx, x.remaining()+x.margin)
	defer cancel()
	x.answerDue = time.AfterFunc(x.remaining(), cancel)
	defer x.answerDue.Stop()
	x.serve(ctx)
}

// recoverPanic logs a panic of the handler and answers the request, whose connection net/http
// would close without an answer and without a log line at the default level. It must be deferred.
func (x *exchange) recoverPanic() {
	v := recover()
	switch {
	case v == nil:
		return
	case v == http.ErrAbortHandler:
		panic(v)
	}
	x.s.log.Error("handler of a request panicked", "request", x.spec.ID, "err", fmt.Sprint(v), "stack", string(debug.Stack()))
	x.s.incCounter("handler_panics")
	x.runs = max(x.runs, 1) // the panic may have come after a send
	x.refuse(refusal{status: http.StatusBadGateway, reason: "internal error"})
}

// timeoutReason returns the reason for a request whose context has ended.
func (x *exchange) timeoutReason() string {
	if x.s.stopCtx.Err() != nil {
		return reasonStopping
	}
	return "timeout"
}

// match reads the headers of the request and matches it to a route. It returns a refusal if that fails.
func (x *exchange) match() *refusal {
	var err error
	if x.spec, err = platform.ParseRequest(x.r.Header); err != nil {
		x.detail = err.Error()
		return &refusal{status: http.StatusBadRequest, reason: reasonMalformed}
	}
	cfg := x.view.Config
	if cfg == nil || !x.view.Listed {
		return &refusal{http.StatusServiceUnavailable, "no configuration", retryAfterStart}
	}
	if x.s.peers.newest.Outdates(time.Now(), cfg.Version) {
		return &refusal{http.StatusServiceUnavailable, "configuration outdated", retryAfterBusy}
	}
	path, _, _ := strings.Cut(x.requestTarget(), "?")
	if x.route = cfg.Match(x.r.Host, path); x.route == nil {
		return x.deny(http.StatusNotFound, "no route")
	}
	x.setDeadline()
	return nil
}

// admit matches a request to a route, authorizes it, reads its body and checks that its
// stages can run in time. It returns the refusal, or nil if the request is admitted.
func (x *exchange) admit(ctx context.Context) *refusal {
	if f := x.match(); f != nil {
		return f
	}
	cfg := x.view.Config
	if f := x.stopRefusal(x.expectedDuration()); f != nil {
		return f
	}
	if f := x.authorize(cfg); f != nil {
		return f
	}
	if f := x.readRequestBody(ctx, cfg); f != nil {
		return f
	}
	if f := x.stopRefusal(x.expectedDuration()); f != nil { // the drain may have begun, or its end come near
		return f
	}
	svc := x.route.ChooseService(randomFraction())
	if x.spec.Resumed && x.route.Kind == fleet.Stream {
		var f *refusal
		if svc, f = x.pinOrigin(ctx); f != nil {
			return f
		}
	}
	x.svc = cfg.Service(svc)
	x.retryBudget = x.s.retryBudget(x.svc.ID)
	x.retryBudget.RecordFirstAttempt()
	var team wire.TeamID
	if x.team != nil {
		team = x.team.ID
	}
	x.fingerprint = crash.Fingerprint(team, wire.PipelineID(x.requestTarget()), x.body)
	if x.s.strikes.Blocked(time.Now(), x.fingerprint) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "quarantined"}
	}
	x.parts = crash.SharedParts(x.svc.ID, &x.spec)
	x.s.parts.Arrived(time.Now(), x.route.ID, x.parts)
	if x.quarantined() && !x.tryPart() {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonPartQuarantined}
	}
	x.recordDemand()
	return x.admitStages()
}

// maxDenyAge is the age of the last read of the configuration beyond which it may be outdated:
// a watch without changes, the pause after one with changes, and a margin.
const maxDenyAge = watchWait + watchBatchDelay + 100*time.Millisecond

// deny returns the refusal of a request that the configuration does not allow. Callers don't
// repeat such a request, so a configuration that may be outdated is no ground for it.
func (x *exchange) deny(status int, reason string) *refusal {
	if x.view.age(platform.AreaOperatorSettings) > maxDenyAge {
		return &refusal{http.StatusServiceUnavailable, "configuration of unknown age: " + reason, retryAfterBusy}
	}
	return &refusal{status: status, reason: reason}
}

// Reasons for refusing a request for which no upstream was found.
const (
	reasonLimited  = "upstreams limited" // all take no more within the limits that they name
	reasonNoTarget = "no upstream"
)

// reasonMalformed is the reason for refusing a request with a header that can't be read.
const reasonMalformed = "malformed header"

// reasonPartQuarantined is the reason for refusing a request with a quarantined prompt part.
const reasonPartQuarantined = "prompt part quarantined"

// quarantined reports whether a part of the prompt is quarantined.
func (x *exchange) quarantined() bool {
	return x.s.parts.Quarantined(time.Now(), x.parts)
}

// tryPart reports whether the request may be sent once although a part of its prompt is
// quarantined. Trials of a part are up to the router with the highest hash for it.
func (x *exchange) tryPart() bool {
	now := time.Now()
	x.trial = x.s.parts.Trial(now, x.parts, func(p crash.Part) bool {
		return route.Owner(string(p.Print), x.s.peers.candidateNames(now)) == x.s.cfg.Name
	})
	if x.trial {
		x.s.log.Info("quarantined prompt part tried", "request", x.spec.ID, "ids", x.sharedSegmentIDs())
		x.s.incCounter("parts_tried")
	}
	return x.trial
}

// recordSurvival records that the last attempt, which began to be answered at the given
// time, did not crash its upstream.
func (x *exchange) recordSurvival(began time.Time) {
	if !x.survived {
		x.survived = true
		x.s.parts.Survived(time.Now(), began, x.svc.ID, x.parts)
	}
}

// requestTarget returns the request's path and query as the caller sent them.
func (x *exchange) requestTarget() string {
	if t := x.r.RequestURI; strings.HasPrefix(t, "/") {
		return t
	}
	return x.r.URL.RequestURI()
}

const (
	// answerMargin is the time before the caller's deadline at which a request without an answer
	// ends, at most 1/answerMarginDivisor of the time that the caller gave. An answer that is
	// sent at the deadline reaches nobody; hosts are at most a few milliseconds away.
	answerMargin        = 10 * time.Millisecond
	answerMarginDivisor = 20
)

// setDeadline sets the deadline from the caller's, or defaultTimeout if it sent none, and
// the route's timeout.
func (x *exchange) setDeadline() {
	left := x.spec.Remaining
	if left <= 0 {
		left = defaultTimeout
	} else {
		x.margin = min(answerMargin, left/answerMarginDivisor)
	}
	if t := x.route.Timeout; t > 0 && t < left {
		x.margin = max(x.margin-(left-t), 0)
		left = t
	}
	x.deadline = x.start.Add(left - x.margin)
}

// beginAnswer moves the deadline to the caller's, because the answer begins.
func (x *exchange) beginAnswer() {
	x.headerSent, x.begunAfter = true, x.elapsed()
	x.deadline, x.margin = x.deadline.Add(x.margin), 0
	if x.answerDue != nil {
		x.answerDue.Stop()
	}
}

// authorize sets the team and the rank of the request. The rank of a team, if it HasRank, goes before
// that of the route. A request without a valid API key is refused unless the route is anonymous or the
// configuration has no list of teams.
func (x *exchange) authorize(cfg *fleet.Config) *refusal {
	if key := platform.APIKey(x.r.Header); key != "" {
		x.team = cfg.Team(key)
	}
	x.rank = cfg.RankOf(x.route, x.team)
	if x.team == nil && !x.route.Anonymous && cfg.NeedsKeys {
		return x.deny(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

// readRequestBody reads the caller's body until the deadline or the end of ctx, and up to
// the configured size, or maxHeaderBytes if none is configured.
func (x *exchange) readRequestBody(ctx context.Context, cfg *fleet.Config) *refusal {
	maxBytes := int64(cfg.Limits.BodyBytes)
	if maxBytes <= 0 {
		maxBytes = maxHeaderBytes
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(time.Now().Add(x.remaining()))
	stop := context.AfterFunc(ctx, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	body, whole, err := readHeld(http.MaxBytesReader(x.w, x.r.Body, maxBytes), x.r.ContentLength, int(maxBytes), x.s.heldBodies)
	x.heldBody = body
	stopped := !stop() && x.s.stopCtx.Err() != nil
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return x.deny(http.StatusRequestEntityTooLarge, "body too large")
	case stopped:
		return &refusal{http.StatusServiceUnavailable, reasonStopping, minRetryAfter}
	case err != nil:
		return &refusal{status: http.StatusRequestTimeout, reason: "body not read"}
	case !whole:
		return &refusal{http.StatusServiceUnavailable, "no memory for the body", retryAfterBusy}
	}
	_ = rc.SetReadDeadline(time.Time{})
	x.body, x.bodyRead = body.data, true
	return nil
}

// releaseBody gives the memory of the body back.
func (x *exchange) releaseBody() {
	if x.heldBody != nil {
		x.heldBody.release()
	}
}

// serve forwards an admitted request by the kind of its route.
func (x *exchange) serve(ctx context.Context) {
	if x.route.Kind == fleet.Stream {
		x.serveStream(ctx)
		return
	}
	x.serveUnary(ctx)
}

// buildRequest returns the request to send to t, without hop-by-hop headers.
func (x *exchange) buildRequest(t *target, o platform.Outgoing) *upstreamRequest {
	h := make(http.Header, len(x.r.Header)+4)
	connection := x.r.Header.Values("Connection")
	for name, vs := range x.r.Header {
		if !hopByHop(name, connection) {
			h[name] = vs
		}
	}
	o.Remaining = x.remaining()
	o.Upstream = t.ID
	if x.team != nil {
		o.Team = x.team.ID
	}
	o.Rank, o.SendRank = x.rank, x.route.Engine // only engines admit by rank
	platform.SetOutgoing(h, o)
	return &upstreamRequest{method: x.r.Method, target: x.requestTarget(), host: x.r.Host, header: h, body: x.body, id: x.spec.ID}
}

// connectionHeaders are headers that apply to a single connection (RFC 9110, section
// 7.6.1) or that the router sets or handles itself.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// hopByHop reports whether a header must not be forwarded. connection holds the values
// of the message's Connection headers.
func hopByHop(name string, connection []string) bool {
	if connectionHeaders[name] {
		return true
	}
	for _, v := range connection {
		for n := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(n), name) {
				return true
			}
		}
	}
	return false
}

// copyHeader copies the end-to-end headers of an upstream's response to the caller's.
func (x *exchange) copyHeader(rp *response) {
	h := x.w.Header()
	connection := rp.resp.Header.Values("Connection")
	for name, vs := range rp.resp.Header {
		if !hopByHop(name, connection) {
			h[name] = vs
		}
	}
	if x.s.draining.Load() {
		h.Set("Connection", "close")
	}
}
