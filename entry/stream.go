package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hornbeamcove.example/core/admit"
	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/platform"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// callerWriteTimeout limits how long a write to a caller that does not read blocks.
	callerWriteTimeout = 4 * time.Second
	// gapWaitFactor and minGapWait determine how long a resumable stream may pause before
	// another upstream is asked to go on with it: gapWaitFactor times the TargetGap, and at
	// least minGapWait. Callers give up after eight times TargetGap, or two seconds.
	gapWaitFactor = 3
	minGapWait    = 1100 * time.Millisecond
	// survivalTime is the time from the first event of a stream after which the request is
	// not taken for the cause of a crash: those that crash upstreams do so as soon as their
	// answer begins. From progressTime on another cause is more likely.
	survivalTime = time.Second
	progressTime = 250 * time.Millisecond
	// maxStageRuns limits how often the stages of one request are run.
	maxStageRuns = 2
)

// serveStream serves a request whose response is an event stream, and resumes it on
// another upstream where the route permits.
func (x *exchange) serveStream(ctx context.Context) {
	st := &streamExchange{exchange: x, lastEventID: x.spec.LastEventID, resume: x.spec.Resumed}
	x.attemptElsewhere, x.dropReplacement = st.attemptElsewhere, st.dropReplacement
	defer st.releaseResults()
	for {
		again, f := st.attempt(ctx)
		switch {
		case f != nil:
			x.refuse(*f)
			return
		case !again:
			return
		}
	}
}

// streamExchange is an exchange whose response is a stream, with the state that is kept
// across attempts.
type streamExchange struct {
	*exchange
	results     *stageResults // stage results; nil before the stages have run
	stageRuns   int           // how often the stages were run
	lastEventID int64         // ID of the last event forwarded to the caller
	resume      bool          // whether lastEventID is sent to upstreams
	eventsSent  int           // events forwarded to the caller
	replacement *answer       // answer of attemptElsewhere
}

// answer is the response of an upstream to a stream's request.
type answer struct {
	target *target
	resp   *response
	events *eventReader
	began  time.Time // when the request was sent
}

func (st *streamExchange) releaseResults() {
	if st.results != nil {
		st.results.release()
	}
}

// attempt sends the request to one upstream. It returns whether to try again, or the
// refusal to send; if neither is set, the request has ended.
func (st *streamExchange) attempt(ctx context.Context) (again bool, f *refusal) {
	if f = st.ensureStageResults(ctx); f != nil {
		return false, f
	}
	if f = st.sendRefusal(); f != nil {
		return false, f
	}
	if f = st.lateRefusal(); f != nil {
		return false, f
	}
	t := st.acquire(ctx)
	if t == nil {
		return false, st.giveUpStream(ctx)
	}
	began := time.Now()
	rp, out := st.sendStream(ctx, t)
	switch {
	case out == replaced:
		return st.relay(ctx, st.replacement)
	case out == answered && st.succeeds(rp):
		return st.relay(ctx, newAnswer(t, rp, st.s.heldAnswers, began))
	case out == answered:
		return false, st.forwardFailure(ctx, t, rp)
	case out == rejected && st.results != nil && st.inputsGone:
		st.releaseResults()
		st.results = nil
		st.tried = st.tried[:len(st.tried)-1] // the same upstream may accept new stage results
		fallthrough                           // maxStageRuns limits this rather than the retry budget
	case out != noResponse && ctx.Err() == nil && st.allowResend():
		return true, nil
	case out == noResponse && ctx.Err() == nil && st.allowRepeat():
		return true, nil
	}
	return false, st.giveUpStream(ctx)
}

// lateRefusal returns the refusal of a stream whose run would be of no use, see admit.Begin, or nil. Only
// the setting shed asks for it. Of a stream that its caller takes up it is not known how much is left.
func (st *streamExchange) lateRefusal() *refusal {
	if st.headerSent || !st.s.shedding.on.Load() {
		return nil
	}
	b := admit.Begin{Elapsed: st.elapsed(), Awaited: st.patience(), Deadline: st.remaining(), First: st.s.expectedFirstEvent(st.route)}
	if !st.spec.Resumed {
		b.Rest = st.s.streamTimes.Rest(st.route.ID, st.spec.LikelyTokens())
	}
	if !b.IsLate() {
		return nil
	}
	st.s.log.Info("stream would be late", "request", st.spec.ID, "waited_ms", b.Elapsed.Milliseconds(), "awaited_ms", b.Awaited.Milliseconds(),
		"left_ms", b.Deadline.Milliseconds(), "first_ms", b.First.Milliseconds(), "rest_ms", b.Rest.Milliseconds(), "tokens", st.spec.LikelyTokens())
	return &refusal{status: http.StatusServiceUnavailable, reason: "stream would be late"}
}

// sendStream sends the request, or what the caller has not got of the stream yet, to t.
func (st *streamExchange) sendStream(ctx context.Context, t *target) (*response, outcome) {
	o := platform.Outgoing{LastEventID: st.lastEventID, Resumed: st.resume || st.eventsSent > 0}
	if st.results != nil {
		o.Inputs = st.results.finalHandles()
	}
	return st.send(ctx, t, o, st.firstEventWait())
}

func newAnswer(t *target, rp *response, bound *limit.Bytes, began time.Time) *answer {
	return &answer{target: t, resp: rp, events: &eventReader{r: bufio.NewReader(rp.resp.Body), event: held{heldShare: heldShare{bound: bound}}}, began: began}
}

// attemptElsewhere makes one attempt while another one is silent, and reports whether its first
// event has begun to arrive or the stream has ended.
func (st *streamExchange) attemptElsewhere(ctx context.Context) bool {
	stageRuns := st.stageRuns
	defer func() {
		if ctx.Err() != nil {
			st.stageRuns = stageRuns // a later attempt may need this run
		}
	}()
	if st.ensureStageResults(ctx) != nil {
		return false
	}
	t := st.acquire(ctx)
	if t == nil {
		return false
	}
	began := time.Now()
	rp, out := st.sendStream(ctx, t)
	if out == replaced {
		return true
	}
	if out != answered {
		return false
	}
	if !st.succeeds(rp) {
		if br := st.readFailure(ctx, t, rp); br != nil {
			st.tried = append(st.tried, t.ID)
			br.drop()
		}
		return false
	}
	a := newAnswer(t, rp, st.s.heldAnswers, began)
	if _, err := a.events.r.Peek(1); err != nil && !errors.Is(err, io.EOF) { // without events it is complete
		return st.end(ctx, a, err)
	}
	st.replacement = a
	return true
}

func (st *streamExchange) dropReplacement() {
	st.replacement.resp.release(false)
	st.replacement = nil
}

// end releases a response that ended with err, and reports whether another answer has taken
// its place.
func (st *streamExchange) end(ctx context.Context, a *answer, err error) (isReplaced bool) {
	a.resp.release(false)
	if errors.Is(err, errReplaced) {
		st.recordReplaced(a.target, a.resp.conn)
		return true
	}
	st.recordSendFailure(a.target, &sendError{sent: true, err: err, silent: a.resp.conn.silence()}, ctx.Err() != nil)
	return false
}

// succeeds reports whether a response is a stream that goes on with the one that may have begun.
func (st *streamExchange) succeeds(rp *response) bool {
	return rp.resp.StatusCode == http.StatusOK && rp.Signed && st.continues(rp)
}

// continues reports whether a response may go on with the stream that has begun: it has the
// media type of the first one. An upstream may report an error with 200.
func (st *streamExchange) continues(rp *response) bool {
	return !st.headerSent || rp.resp.Header.Get("Content-Type") == st.w.Header().Get("Content-Type")
}

// ensureStageResults runs the stages unless their results are still held. It returns a
// refusal if they fail.
func (st *streamExchange) ensureStageResults(ctx context.Context) *refusal {
	if len(st.route.Stages) == 0 || st.results != nil && st.results.available() {
		return nil
	}
	if st.stageRuns >= maxStageRuns {
		return &refusal{http.StatusServiceUnavailable, "stages failed", retryAfterNoUpstream}
	}
	st.stageRuns++
	centre := st.s.cfg.Centre
	st.planning = true
	if t, _ := st.choose(time.Now()); t != nil {
		centre = t.Centre // the engine fetches the results
	}
	st.planning, st.resultsCentre = false, centre
	rs, err := st.s.runStages(ctx, st.exchange, centre)
	if err != nil {
		rs.release()
		return st.stagesRefusal(ctx, err)
	}
	st.results = rs
	return nil
}

// firstEventWait returns the wait for the response header of an attempt and for its first
// event after which another upstream is asked.
func (st *streamExchange) firstEventWait() time.Duration {
	return max(st.route.TargetLatency, minGapWait)
}

// gapWait returns the wait for each later event after which another upstream is asked.
func (st *streamExchange) gapWait() time.Duration {
	return max(gapWaitFactor*st.route.TargetGap, minGapWait)
}

// giveUpStream ends a request for which no attempt is left. If the response has already
// begun, the connection is aborted, so that the stream does not look complete. The
// result is always nil.
func (st *streamExchange) giveUpStream(ctx context.Context) *refusal {
	if st.headerSent {
		reason := "stream broken off"
		switch {
		case st.r.Context().Err() != nil:
			reason = "caller left"
		case ctx.Err() != nil || st.remaining() <= deadlineMargin:
			reason = st.timeoutReason()
		}
		st.recordEnd(http.StatusBadGateway, reason)
		panic(http.ErrAbortHandler)
	}
	st.giveUp(ctx)
	return nil
}

// forwardFailure forwards an error response in place of a stream. A response that is
// neither counts as a failed send. The result is always nil.
func (st *streamExchange) forwardFailure(ctx context.Context, t *target, rp *response) *refusal {
	br := st.readFailure(ctx, t, rp)
	if br == nil {
		return st.giveUpStream(ctx)
	}
	if st.headerSent {
		br.drop()
		return st.giveUpStream(ctx)
	}
	st.forward(br)
	return nil
}

// readFailure reads a response that is no stream, and records it against its upstream. It returns
// nil if the response is no error response either.
func (st *streamExchange) readFailure(ctx context.Context, t *target, rp *response) *bufferedResponse {
	rp.conn.onSilence = nil
	rp.watch.expect(st.remaining())
	var br *bufferedResponse
	err := errors.New("response is neither an event stream nor an error status")
	if rp.resp.StatusCode >= http.StatusMultipleChoices { // otherwise of another media type, unsigned, or no 200
		br, err = st.s.readBody(rp)
	}
	if err != nil {
		rp.release(false)
		st.recordSendFailure(t, &sendError{sent: true, err: err, silent: rp.conn.silence()}, ctx.Err() != nil)
		return nil
	}
	if br.whole {
		rp.release(true)
	}
	t.recordFailure(time.Now(), false, false)
	return br
}

// relay forwards the events of a response as they arrive, and those of the response that takes
// its place if it is silent. It returns whether to resume the stream on another upstream; the
// refusal is always nil.
func (st *streamExchange) relay(ctx context.Context, a *answer) (again bool, f *refusal) {
	for {
		err := st.relayFrom(ctx, a)
		if err == nil {
			return false, nil
		}
		if !st.end(ctx, a, err) {
			break
		}
		a = st.replacement
	}
	if ctx.Err() == nil && st.allowRepeat() {
		st.resume = st.resume || st.eventsSent > 0
		st.s.incCounter("streams_resumed")
		st.s.log.Info("stream broke off, resuming it", "request", st.spec.ID, "upstream", a.target.ID, "software", a.target.Software, "after_event", st.lastEventID)
		return true, nil
	}
	return false, st.giveUpStream(ctx)
}

// relayFrom forwards the events of one response. It returns nil if the stream has ended, and
// otherwise what ended the response.
func (st *streamExchange) relayFrom(ctx context.Context, a *answer) error {
	defer a.events.event.release()
	var firstEventAt time.Time
	goesOn := st.headerSent // whether an earlier attempt has begun the stream
	for {
		ev, err := a.events.next()
		if errors.Is(err, io.EOF) {
			if !firstEventAt.IsZero() {
				st.recordSurvival(firstEventAt)
			}
			st.complete(a.target, a.resp)
			return nil
		}
		if err == nil && goesOn && !ev.hasID {
			err = errUnnumberedEvent // it can't be told whether it follows those sent
		}
		if err != nil {
			return err
		}
		if firstEventAt.IsZero() {
			firstEventAt = time.Now()
			a.resp.work = a.target.promptRead(a.resp.work)
		}
		st.recordProgress(firstEventAt)
		st.startResponse(a.target, a.resp, a.began)
		if err = st.writeEvent(ev); err != nil {
			a.resp.release(false)
			st.recordEnd(http.StatusOK, "caller left")
			panic(http.ErrAbortHandler)
		}
		a.resp.watch.expect(st.gapWait())
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// recordProgress records how far the answer of this attempt, which began at the given time,
// has come without a crash.
func (st *streamExchange) recordProgress(began time.Time) {
	switch took := time.Since(began); {
	case took >= survivalTime:
		st.recordSurvival(began)
	case took >= progressTime && !st.progressed:
		st.progressed = true
		st.s.parts.Progressed(time.Now(), st.parts)
	}
}

// startResponse sends the response header to the caller before the first event, and
// releases the stage results, which the engine has read by then.
func (st *streamExchange) startResponse(t *target, rp *response, began time.Time) {
	if st.results != nil {
		st.results.release()
	}
	if st.eventsSent > 0 && st.headerSent {
		return
	}
	took := time.Since(began)
	if !st.headerSent {
		st.copyHeader(rp)
		st.w.Header().Del("Content-Length")
		st.w.WriteHeader(http.StatusOK)
		st.beginAnswer()
		st.pinned = t.Software
		st.recordOrigin()
		st.s.scope().Timer("first_event_time").Record(st.elapsed())
	}
	t.recordSuccess(time.Now(), ratio(took, st.s.expectedFirstEvent(st.route)))
	st.recordRead(t, rp.unread, took)
	st.s.latencies.observe(st.route.ID, took)
}

// writeEvent forwards one event unless an earlier attempt has already forwarded it.
func (st *streamExchange) writeEvent(ev event) error {
	if ev.hasID {
		if (st.resume || st.eventsSent > 0) && ev.id <= st.lastEventID {
			return nil
		}
		st.lastEventID = ev.id
	}
	st.eventsSent++
	rc := http.NewResponseController(st.w)
	if err := rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return err
	}
	if _, err := st.w.Write(ev.data); err != nil {
		return err
	}
	return rc.Flush()
}

// complete ends a stream whose last event was forwarded.
func (st *streamExchange) complete(t *target, rp *response) {
	rp.release(true)
	st.s.incCounter("sends", "outcome", "answered")
	st.s.strikes.Clear(st.fingerprint)
	if !st.headerSent {
		st.copyHeader(rp)
		st.w.WriteHeader(http.StatusOK)
	}
	_ = http.NewResponseController(st.w).SetWriteDeadline(time.Time{})
	st.recordEnd(http.StatusOK, "served")
}

// event is one event of a stream, with its bytes exactly as received.
type event struct {
	data  []byte
	id    int64
	hasID bool
}

// eventReader splits a stream into events. Its event must be released after its last use.
type eventReader struct {
	r     *bufio.Reader
	event held // what has been read of the current event
}

var errUnnumberedEvent = errors.New("event without an id in a resumed stream")

var errEventTooLarge = errors.New("stream event exceeds the size limit")

// next returns the next whole event, including the empty line that ends it. Its data are valid until
// the next call. next returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream ends
// within an event, errEventTooLarge for one over maxEventBytes, and errNoMemory.
func (er *eventReader) next() (ev event, err error) {
	er.event.data = er.event.data[:0]
	hasContent := false // whether a line that is not empty was read
	for {
		line, err := er.r.ReadSlice('\n')
		if e := er.append(line); e != nil {
			return event{}, e
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			hasContent = true
			continue
		case errors.Is(err, io.EOF) && len(er.event.data) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if !hasContent {
				continue // an empty line between events
			}
			ev.data = er.event.data
			return ev, nil
		}
		hasContent = true
		ev.parseLine(string(line))
	}
}

// append adds a line or a part of one to the current event.
func (er *eventReader) append(line []byte) error {
	h := &er.event
	size := len(h.data) + len(line)
	if size > maxEventBytes {
		return errEventTooLarge
	}
	if size > cap(h.data) && !h.grow(max(size, min(2*cap(h.data), maxEventBytes))) {
		return errNoMemory
	}
	h.data = append(h.data, line...)
	return nil
}

// parseLine sets the event's ID if line is a valid id field.
func (ev *event) parseLine(line string) {
	name, value, _ := strings.Cut(line, ":")
	if name != "id" {
		return
	}
	if n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
		ev.id, ev.hasID = n, true
	}
}
