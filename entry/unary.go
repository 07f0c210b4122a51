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

// maxResponseBytes limits the body of a response that is buffered before it is forwarded.
const maxResponseBytes = 16 << 20

// statusClientClosed is logged and counted for callers that disconnected. It is never
// sent.
const statusClientClosed = 499

var errResponseTooLarge = errors.New("response body exceeds the size limit")

func readResponseBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return data, err
}

// bufferedResponse is an upstream's response with its whole body.
type bufferedResponse struct {
	*response
	body []byte
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
	x.dropReplacement = func() { x.replacement = nil }
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
	rp.conn.due = max(rp.resp.ContentLength-int64(rp.conn.r.Buffered()), 0)
	body, err := readResponseBody(rp.resp)
	rp.conn.due = 0
	if errors.Is(err, errReplaced) {
		rp.release(false)
		x.recordReplaced(t, rp.conn)
		return x.replacement, answered
	}
	if err == nil && !rp.Signed && rp.resp.StatusCode < http.StatusMultipleChoices {
		err = errors.New("success status without a server signature")
	}
	if err != nil {
		rp.release(false)
		x.recordSendFailure(t, &sendError{sent: true, err: err, silent: rp.conn.silence()}, ctx.Err() != nil)
		return nil, noResponse
	}
	rp.release(true)
	took := time.Since(began)
	if rp.resp.StatusCode >= http.StatusInternalServerError {
		t.recordFailure(time.Now(), false, false)
	} else {
		t.recordSuccess(time.Now(), ratio(took, x.s.expectedFirstEvent(x.route)))
		x.s.latencies.observe(x.route.ID, took)
	}
	if rp.resp.StatusCode < http.StatusMultipleChoices {
		x.recordSurvival(time.Now())
	}
	x.s.incCounter("sends", "outcome", "answered")
	return &bufferedResponse{rp, body}, answered
}

// ratio returns took relative to expected, or 0 if nothing is expected.
func ratio(took, expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	return float64(took) / float64(expected)
}

// forward sends an upstream's response to the caller.
func (x *exchange) forward(br *bufferedResponse) {
	x.copyHeader(br.response)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(br.body)))
	x.w.WriteHeader(br.resp.StatusCode)
	_, err := x.w.Write(br.body)
	reason := "served"
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
		x.refuse(refusal{http.StatusServiceUnavailable, "upstreams limited", min(x.limitWait, maxLimitWait)})
	case !x.mayHaveRun():
		x.refuse(refusal{http.StatusServiceUnavailable, "no upstream", retryAfterNoUpstream})
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
