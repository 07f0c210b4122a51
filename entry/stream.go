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

	"hornbeamcove.example/platform"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// callerWriteTimeout limits how long a write to a caller that does not read blocks.
	callerWriteTimeout = 4 * time.Second
	// gapTimeoutFactor and minGapTimeout determine how long a resumable stream may pause
	// before it is resumed on another upstream: gapTimeoutFactor times the TargetGap,
	// and at least minGapTimeout. Callers give up after eight times TargetGap, or two seconds.
	gapTimeoutFactor = 3
	minGapTimeout    = 1100 * time.Millisecond
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
	t := st.acquire(ctx)
	if t == nil {
		return false, st.giveUpStream(ctx)
	}
	o := platform.Outgoing{LastEventID: st.lastEventID, Resumed: st.resume}
	if st.results != nil {
		o.Inputs = st.results.finalHandles()
	}
	began := time.Now()
	rp, out := st.send(ctx, t, o, st.firstEventTimeout())
	switch {
	case out == answered && rp.resp.StatusCode == http.StatusOK && rp.Signed && st.continues(rp):
		return st.relay(ctx, t, rp, began)
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
	if t, _ := st.choose(time.Now()); t != nil {
		centre = t.Centre // the engine fetches the results
	}
	rs, err := st.s.runStages(ctx, st.exchange, centre)
	if err != nil {
		rs.release()
		return st.stagesRefusal(ctx, err)
	}
	st.results = rs
	return nil
}

// firstEventTimeout returns the longest wait for the response header of an attempt and
// for its first event. It is shortened if another attempt is allowed.
func (st *streamExchange) firstEventTimeout() time.Duration {
	left := st.remaining()
	if !st.route.Repeatable() || st.runs+1 >= st.route.MaxAttempts {
		return left
	}
	return min(left, max(st.route.TargetLatency, minGapTimeout))
}

// gapTimeout returns the longest wait for each later event.
func (st *streamExchange) gapTimeout() time.Duration {
	left := st.remaining()
	if !st.route.Repeatable() || st.runs >= st.route.MaxAttempts {
		return left
	}
	return min(left, max(gapTimeoutFactor*st.route.TargetGap, minGapTimeout))
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
		case ctx.Err() != nil:
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
	body, err := readResponseBody(rp.resp)
	if err != nil || rp.resp.StatusCode < http.StatusMultipleChoices { // of another media type, unsigned, or no 200
		rp.release(false)
		st.recordSendFailure(t, &sendError{sent: true, err: errors.Join(err, errors.New("response is neither an event stream nor an error status"))}, ctx.Err() != nil)
		return st.giveUpStream(ctx)
	}
	rp.release(true)
	t.recordFailure(time.Now(), false, false)
	if st.headerSent {
		return st.giveUpStream(ctx)
	}
	st.forward(&bufferedResponse{rp, body})
	return nil
}

// relay forwards the events of a response as they arrive. It returns whether to resume
// the stream on another upstream; the refusal is always nil.
func (st *streamExchange) relay(ctx context.Context, t *target, rp *response, began time.Time) (again bool, f *refusal) {
	events := &eventReader{r: bufio.NewReader(rp.resp.Body)}
	var firstEventAt time.Time
	goesOn := st.headerSent // whether an earlier attempt has begun the stream
	for {
		ev, err := events.next()
		if err == nil && goesOn && !ev.hasID {
			err = errUnnumberedEvent // it can't be told whether it follows those sent
		}
		if err == nil {
			if firstEventAt.IsZero() {
				firstEventAt = time.Now()
			}
			st.recordProgress(firstEventAt)
			if !st.startResponse(t, rp, began) {
				continue
			}
			if e := st.writeEvent(ev); e != nil {
				rp.release(false)
				st.recordEnd(http.StatusOK, "caller left")
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case err == nil:
			_ = rp.conn.SetDeadline(time.Now().Add(st.gapTimeout()))
			if ctx.Err() == nil {
				continue
			}
			err = ctx.Err()
		case errors.Is(err, io.EOF):
			if !firstEventAt.IsZero() {
				st.recordSurvival(firstEventAt)
			}
			st.complete(t, rp)
			return false, nil
		}
		rp.release(false)
		st.recordSendFailure(t, &sendError{sent: true, err: err, silent: rp.conn.silence()}, ctx.Err() != nil)
		if ctx.Err() == nil && st.allowRepeat() {
			st.resume = st.resume || st.eventsSent > 0
			st.s.incCounter("streams_resumed")
			st.s.log.Info("stream broke off, resuming it", "request", st.spec.ID, "upstream", t.ID, "software", t.Software, "after_event", st.lastEventID)
			return true, nil
		}
		return false, st.giveUpStream(ctx)
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
// releases the stage results, which the engine has read by then. It always returns true.
func (st *streamExchange) startResponse(t *target, rp *response, began time.Time) bool {
	if st.results != nil {
		st.results.release()
	}
	if st.eventsSent > 0 && st.headerSent {
		return true
	}
	took := time.Since(began)
	if !st.headerSent {
		st.copyHeader(rp)
		st.w.Header().Del("Content-Length")
		st.w.WriteHeader(http.StatusOK)
		st.headerSent, st.pinned = true, t.Software
		st.recordOrigin()
		st.s.scope().Timer("first_event_time").Record(st.elapsed())
	}
	t.recordSuccess(time.Now(), ratio(took, st.s.expectedFirstEvent(st.route)))
	st.s.latencies.observe(st.route.ID, took)
	return true
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

// eventReader splits a stream into events.
type eventReader struct{ r *bufio.Reader }

var errUnnumberedEvent = errors.New("event without an id in a resumed stream")

var errEventTooLarge = errors.New("stream event exceeds the size limit")

// next returns the next whole event, including the empty line that ends it. It returns
// io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream ends within an
// event, and errEventTooLarge for one over maxEventBytes.
func (er *eventReader) next() (ev event, err error) {
	hasContent := false // whether a line that is not empty was read
	for {
		line, err := er.r.ReadSlice('\n')
		ev.data = append(ev.data, line...)
		switch {
		case len(ev.data) > maxEventBytes:
			return event{}, errEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			hasContent = true
			continue
		case errors.Is(err, io.EOF) && len(ev.data) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if !hasContent {
				continue // an empty line between events
			}
			return ev, nil
		}
		hasContent = true
		ev.parseLine(string(line))
	}
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
