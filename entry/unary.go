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

// maxAnswer bounds the body of an answer that is read before it is passed on.
const maxAnswer = 16 << 20

// statusLeft is logged and counted for callers that left; nobody reads it.
const statusLeft = 499

var errLongAnswer = errors.New("the answer is over the bound")

func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		return nil, errLongAnswer
	}
	return data, err
}

// answer is an upstream's whole answer.
type answer struct {
	*reply
	body []byte
}

// failure reports whether the upstream failed to serve the request, as its status says.
func (a *answer) failure() bool { return a.resp.StatusCode >= http.StatusInternalServerError }

// unary serves a request whose answer is passed on in one piece.
func (x *exchange) unary(ctx context.Context) {
	inputs, f := x.inputs(ctx)
	if f != nil {
		x.refuse(*f)
		return
	}
	var last *answer
	for {
		t := x.acquire(ctx)
		if t == nil {
			break
		}
		a, out := x.ask(ctx, t, platform.Outgoing{Inputs: inputs})
		if out == answered {
			last = a
			if !a.failure() || x.route.Kind != fleet.Safe || ctx.Err() != nil || !x.mayRepeat() {
				x.pass(a)
				return
			}
			x.tried = append(x.tried, t.ID)
			continue
		}
		if ctx.Err() != nil || out == broken && !x.mayRepeat() || out != broken && !x.mayResend() {
			break
		}
	}
	if last != nil {
		x.pass(last)
		return
	}
	x.giveUp(ctx)
}

// stall is the time that one attempt at a request may take. A request that may run
// again keeps time for another attempt.
func (x *exchange) stall() time.Duration {
	left := x.left()
	if !x.route.Repeatable() || x.runs+1 >= x.route.MaxAttempts {
		return left
	}
	return min(left, max(x.route.TargetLatency, left/2))
}

// ask sends the request to a target and reads the whole answer.
func (x *exchange) ask(ctx context.Context, t *target, o platform.Outgoing) (a *answer, out outcome) {
	began := time.Now()
	rp, out := x.send(ctx, t, o, x.stall())
	if out != answered {
		return nil, out
	}
	body, err := readBody(rp.resp)
	if err == nil && !rp.Signed && rp.resp.StatusCode < http.StatusMultipleChoices {
		err = errors.New("a success without signature")
	}
	if err != nil {
		rp.release(false)
		x.failed(t, &sendError{sent: true, err: err}, ctx.Err() != nil)
		return nil, broken
	}
	rp.release(true)
	took := time.Since(began)
	if rp.resp.StatusCode >= http.StatusInternalServerError {
		t.bad(time.Now(), false, false)
	} else {
		t.good(time.Now(), ratio(took, x.s.firstEvent(x.route)))
		x.s.learned.learn(x.route.ID, took)
	}
	x.s.count("sends", "outcome", "answered")
	return &answer{rp, body}, answered
}

func ratio(took, expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	return float64(took) / float64(expected)
}

// pass gives an upstream's answer to the caller.
func (x *exchange) pass(a *answer) {
	x.copyHead(a.reply)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.resp.StatusCode)
	_, err := x.w.Write(a.body)
	reason := "served"
	switch {
	case err != nil:
		reason = "caller left"
	case a.resp.StatusCode >= http.StatusBadRequest:
		reason = "upstream's own status"
	}
	if a.resp.StatusCode < http.StatusInternalServerError {
		x.s.strikes.Clear(x.print)
	}
	x.account(a.resp.StatusCode, reason)
}

// giveUp answers a request for which there is no more to try.
func (x *exchange) giveUp(ctx context.Context) {
	over := ctx.Err() != nil || x.left() <= ownTimeout
	switch {
	case x.r.Context().Err() != nil:
		x.refuse(refusal{status: statusLeft, reason: "caller left"})
	case !x.maybeRan() && over:
		x.refuse(refusal{http.StatusServiceUnavailable, x.overtime(), 0})
	case !x.maybeRan():
		x.refuse(refusal{http.StatusServiceUnavailable, "no upstream", retryNone})
	case over:
		x.refuse(refusal{status: http.StatusGatewayTimeout, reason: x.overtime()})
	default:
		x.refuse(refusal{status: http.StatusBadGateway, reason: "upstream failed"})
	}
}

// inputs makes the results of the stages of a request that is not a stream.
func (x *exchange) inputs(ctx context.Context) ([]fleet.Handle, *refusal) {
	if len(x.route.Stages) == 0 {
		return nil, nil
	}
	rs, err := x.s.runStages(ctx, x, x.s.cfg.Centre)
	if err != nil {
		rs.release()
		return nil, x.unprepared(ctx, err)
	}
	return rs.finalHandles(), nil
}

// unprepared is the refusal of a request whose stages failed. Nothing of the request
// itself has run then.
func (x *exchange) unprepared(ctx context.Context, err error) *refusal {
	var se *stageError
	f := &refusal{http.StatusServiceUnavailable, "stages failed", retryNone}
	switch {
	case errors.As(err, &se):
		f.reason = "stage " + se.reason
		f.retry = max(se.retry, retryBusy)
	case x.r.Context().Err() != nil:
		f = &refusal{status: statusLeft, reason: "caller left"}
	case ctx.Err() != nil:
		f.reason, f.retry = x.overtime(), 0
	}
	x.s.log.Info("stages not made", "request", x.need.ID, "err", err, "left_ms", x.left().Milliseconds())
	return f
}
