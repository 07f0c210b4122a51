package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/platform"
)

const (
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 16 << 20
	// maxHeldResponse is the size up to which a response is read before it is forwarded, so that
	// another upstream can be asked if it breaks off. The rest of a larger one is forwarded as it
	// arrives.
	maxHeldResponse = 1 << 20
	// maxDiscardedBytes limits what is read of a body that nobody needs to keep its connection.
	maxDiscardedBytes = 64 << 10
)

// statusClientClosed is logged and counted for callers that disconnected. It is never
// sent.
const statusClientClosed = 499

var errResponseTooLarge = errors.New("response body exceeds the size limit")

// discardBody reads the body of a response that nobody needs, and reports whether its connection
// may be reused.
func discardBody(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBytes))
	return err == nil && n < maxDiscardedBytes
}

// bufferedResponse is an upstream's response whose body was read, at least its beginning. drop
// must follow unless it is forwarded.
type bufferedResponse struct {
	*response
	*held
	whole bool // whether nothing is left to read, and the response was released
}

// readBody reads the body of a response up to maxHeldResponse, or to its beginning if there is
// no memory for that. The caller releases a response that is not whole.
func (s *Server) readBody(rp *response) (br *bufferedResponse, err error) {
	if rp.resp.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	br = &bufferedResponse{response: rp}
	if br.held, br.whole, err = readHeld(rp.resp.Body, rp.resp.ContentLength, maxHeldResponse, s.heldAnswers); err != nil {
		br.held.release()
		return nil, err
	}
	return br, nil
}

// drop ends the use of a response that is not forwarded.
func (br *bufferedResponse) drop() {
	br.held.release()
	if !br.whole {
		br.whole = true
		br.response.release(false)
	}
}

// serverError reports whether the response has a 5xx status.
func (br *bufferedResponse) serverError() bool {
	return br.resp.StatusCode >= http.StatusInternalServerError
}

// serveUnary serves a request whose response is buffered and forwarded as a whole.
func (x *exchange) serveUnary(ctx context.Context) {
	inputs, f := x.stageInputs(ctx)
	if f != nil {
		x.refuse(*f)
		return
	}
	var lastResponse *bufferedResponse
	defer func() {
		if lastResponse != nil {
			lastResponse.drop()
		}
	}()
	x.dropReplacement = func() {
		x.replacement.drop()
		x.replacement = nil
	}
	x.attemptElsewhere = func(ctx context.Context) bool {
		t := x.acquire(ctx)
		if t == nil {
			return false
		}
		br, out := x.attemptUnary(ctx, t, platform.Outgoing{Inputs: inputs})
		if out != answered {
			return false
		}
		if br.serverError() {
			x.tried = append(x.tried, t.ID)
			br.drop()
			return false
		}
		x.replacement = br
		return true
	}
	for {
		t := x.acquire(ctx)
		if t == nil {
			break
		}
		br, out := x.attemptUnary(ctx, t, platform.Outgoing{Inputs: inputs})
		if out == answered {
			if lastResponse != nil {
				lastResponse.drop()
			}
			lastResponse = br
			if !br.serverError() || x.route.Kind != fleet.Safe || ctx.Err() != nil || !x.allowRepeat() {
				x.forward(br)
				return
			}
			x.tried = append(x.tried, t.ID)
			continue
		}
		if ctx.Err() != nil || out == noResponse && !x.allowRepeat() || out != noResponse && !x.allowResend() {
			break
		}
	}
	if lastResponse != nil {
		x.forward(lastResponse)
		return
	}
	x.giveUp(ctx)
}

// responseWait returns how long one attempt may take before another upstream is asked.
func (x *exchange) responseWait() time.Duration {
	return max(x.route.TargetLatency, x.remaining()/2)
}

// attemptUnary sends the request to t and reads the whole response.
func (x *exchange) attemptUnary(ctx context.Context, t *target, o platform.Outgoing) (br *bufferedResponse, out outcome) {
	began := time.Now()
	rp, out := x.send(ctx, t, o, x.responseWait())
	switch out {
	case answered:
	case replaced:
		return x.replacement, answered
	default:
		return nil, out
	}
	rp.conn.due = max(min(rp.resp.ContentLength, maxHeldResponse)-int64(rp.conn.r.Buffered()), 0)
	br, err := x.s.readBody(rp)
	rp.conn.due = 0
	if errors.Is(err, errReplaced) {
		rp.release(false)
		x.recordReplaced(t, rp.conn)
		return x.replacement, answered
	}
	if err == nil && !rp.Signed && rp.resp.StatusCode < http.StatusMultipleChoices {
		br.held.release()
		err = errors.New("success status without a server signature")
	}
	if err != nil {
		rp.release(false)
		x.recordSendFailure(t, &sendError{sent: true, err: err, silent: rp.conn.silence()}, ctx.Err() != nil)
		return nil, noResponse
	}
	if br.whole {
		rp.release(true)
	}
	took := time.Since(began)
	if rp.resp.StatusCode >= http.StatusInternalServerError {
		t.recordFailure(time.Now(), false, false)
	} else {
		t.recordSuccess(time.Now(), ratio(took, x.s.expectedFirstEvent(x.route)))
		if mean, ok := x.s.latencies.mean(x.route.ID); ok {
			x.recordPace(t, ratio(took, mean))
		}
		x.s.latencies.observe(x.route.ID, took)
	}
	if rp.resp.StatusCode < http.StatusMultipleChoices {
		x.recordSurvival(time.Now())
	}
	x.s.incCounter("sends", "outcome", "answered")
	return br, answered
}

// ratio returns took relative to expected, or 0 if nothing is expected.
func ratio(took, expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	return float64(took) / float64(expected)
}

// forward sends an upstream's response to the caller, and releases it. If the response breaks off,
// forward aborts the connection, so that it does not look complete.
func (x *exchange) forward(br *bufferedResponse) {
	defer br.drop()
	x.copyHeader(br.response)
	switch size := br.resp.ContentLength; {
	case br.whole:
		x.w.Header().Set("Content-Length", strconv.Itoa(len(br.data)))
	case size >= 0:
		x.w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	x.w.WriteHeader(br.resp.StatusCode)
	_, err := x.w.Write(br.data)
	if err == nil && !br.whole {
		err = x.forwardRest(br)
	}
	reason := reasonServed
	switch {
	case err != nil:
		reason = "caller left"
	case br.resp.StatusCode >= http.StatusBadRequest:
		reason = "upstream's own status"
	}
	if br.resp.StatusCode < http.StatusInternalServerError {
		x.s.strikes.Clear(x.fingerprint)
	}
	x.recordEnd(br.resp.StatusCode, reason)
	if err != nil && !br.whole {
		panic(http.ErrAbortHandler) // on return, net/http would end the answer
	}
}

// forwardRest forwards the part of a response that was not read yet as it arrives. The error is
// that of writing to the caller.
func (x *exchange) forwardRest(br *bufferedResponse) (err error) {
	x.beginAnswer()
	br.conn.onSilence = nil // nobody can take its place any more
	br.watch.expect(x.remaining())
	x.s.incCounter("answers_passed_on")
	left := int64(maxResponseBytes - len(br.data))
	br.held.release()
	rc := http.NewResponseController(x.w)
	buf := make([]byte, freeHeldBytes)
	for {
		n, readErr := br.resp.Body.Read(buf)
		if left -= int64(n); left < 0 {
			readErr = errResponseTooLarge
		}
		if n > 0 && left >= 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
			if _, err = x.w.Write(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			_ = rc.SetWriteDeadline(time.Time{})
			br.whole = true
			br.response.release(true)
			return nil
		case readErr != nil:
			x.s.log.Info("answer broken off", "request", x.spec.ID, "upstream", x.upstream, "err", readErr)
			x.recordEnd(http.StatusBadGateway, "answer broken off")
			panic(http.ErrAbortHandler) // forward releases the response
		}
	}
}

// giveUp refuses a request for which no attempt is left.
func (x *exchange) giveUp(ctx context.Context) {
	outOfTime := ctx.Err() != nil || x.remaining() <= deadlineMargin
	switch {
	case x.r.Context().Err() != nil:
		x.refuse(refusal{status: statusClientClosed, reason: "caller left"})
	case x.quarantined():
		x.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonPartQuarantined})
	case !x.mayHaveRun() && outOfTime:
		x.refuse(refusal{http.StatusServiceUnavailable, x.timeoutReason(), 0})
	case !x.mayHaveRun() && x.limitWait > 0:
		x.refuse(refusal{http.StatusServiceUnavailable, reasonLimited, min(x.limitWait, maxLimitWait)})
	case !x.mayHaveRun():
		x.refuse(refusal{http.StatusServiceUnavailable, reasonNoTarget, retryAfterNoUpstream})
	case outOfTime:
		x.refuse(refusal{status: http.StatusGatewayTimeout, reason: x.timeoutReason()})
	default:
		x.refuse(refusal{status: http.StatusBadGateway, reason: "upstream failed"})
	}
}

// stageInputs runs the stages of a request that is not a stream and returns the handles
// of their results.
func (x *exchange) stageInputs(ctx context.Context) ([]fleet.Handle, *refusal) {
	if len(x.route.Stages) == 0 {
		return nil, nil
	}
	rs, err := x.s.runStages(ctx, x, x.s.cfg.Centre)
	if err != nil {
		rs.release()
		return nil, x.stagesRefusal(ctx, err)
	}
	return rs.finalHandles(), nil
}

// stagesRefusal returns the refusal of a request whose stages failed with err. The
// request itself has not been sent in this attempt.
func (x *exchange) stagesRefusal(ctx context.Context, err error) *refusal {
	var se *stageError
	f := &refusal{http.StatusServiceUnavailable, "stages failed", retryAfterNoUpstream}
	switch {
	case errors.As(err, &se):
		f.reason = "stage " + se.reason
		f.retryAfter = max(se.retry, retryAfterBusy)
	case x.r.Context().Err() != nil:
		f = &refusal{status: statusClientClosed, reason: "caller left"}
	case ctx.Err() != nil:
		f.reason, f.retryAfter = x.timeoutReason(), 0
	}
	x.s.log.Info("stages not made", "request", x.spec.ID, "err", err, "left_ms", x.remaining().Milliseconds())
	return f
}
