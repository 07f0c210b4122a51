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
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
	// writeLimit bounds the wait for a caller that does not read.
	writeLimit = 4 * time.Second
	// gapFactor and gapLeast give the silence after which a stream that may be
	// resumed goes on at another upstream: so many of its longest pauses, and at
	// least so long. Callers give up after eight pauses, or two seconds.
	gapFactor = 3
	gapLeast  = 1100 * time.Millisecond
	// maxPrepares bounds how often the stages of one request are run.
	maxPrepares = 2
)

// stream serves a request whose answer is a stream of events.
func (x *exchange) stream(ctx context.Context) {
	st := &streaming{exchange: x, last: x.need.LastEventID, resumed: x.need.Resumed}
	defer st.release()
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

// streaming is the state of a stream over several attempts.
type streaming struct {
	*exchange
	results  *stageResults // of the stages, nil before they ran
	prepared int
	last     int64 // id of the last event passed on
	resumed  bool  // last is to be sent to upstreams
	events   int
}

func (st *streaming) release() {
	if st.results != nil {
		st.results.release()
	}
}

// attempt runs the request once. It returns whether to try again, or the refusal
// that ends it; with neither the request has ended.
func (st *streaming) attempt(ctx context.Context) (again bool, f *refusal) {
	if f = st.prepare(ctx); f != nil {
		return false, f
	}
	t := st.acquire(ctx)
	if t == nil {
		return false, st.over(ctx)
	}
	o := platform.Outgoing{LastEventID: st.last, Resumed: st.resumed}
	if st.results != nil {
		o.Inputs = st.results.finalHandles()
	}
	began := time.Now()
	rp, out := st.send(ctx, t, o, st.silence())
	switch {
	case out == answered && rp.resp.StatusCode == http.StatusOK && rp.Signed:
		return st.relay(ctx, t, rp, began)
	case out == answered:
		return false, st.passFailure(ctx, t, rp)
	case out == rejected && st.results != nil && st.rejectedInputs:
		st.release()
		st.results = nil
		st.tried = st.tried[:len(st.tried)-1] // another run of the stages helps there too
		fallthrough
	case out != broken && ctx.Err() == nil && st.mayResend():
		return true, nil
	case out == broken && ctx.Err() == nil && st.mayRepeat():
		return true, nil
	}
	return false, st.over(ctx)
}

// prepare runs the stages unless their results are still kept.
func (st *streaming) prepare(ctx context.Context) *refusal {
	if len(st.route.Stages) == 0 || st.results != nil && st.results.available() {
		return nil
	}
	if st.prepared >= maxPrepares {
		return &refusal{http.StatusServiceUnavailable, "stages failed", retryNone}
	}
	st.prepared++
	centre := st.s.cfg.Centre
	if t, _ := st.choose(time.Now()); t != nil {
		centre = t.Centre // the engine fetches the results
	}
	rs, err := st.s.runStages(ctx, st.exchange, centre)
	if err != nil {
		rs.release()
		return st.unprepared(ctx, err)
	}
	st.results = rs
	return nil
}

// silence is the longest wait for the first event of an attempt.
func (st *streaming) silence() time.Duration {
	left := st.left()
	if !st.route.Repeatable() || st.runs+1 >= st.route.MaxAttempts {
		return left
	}
	return min(left, max(st.route.TargetLatency, gapLeast))
}

// gap is the longest wait for a later event.
func (st *streaming) gap() time.Duration {
	left := st.left()
	if !st.route.Repeatable() || st.runs >= st.route.MaxAttempts {
		return left
	}
	return min(left, max(gapFactor*st.route.TargetGap, gapLeast))
}

// over is the refusal of a request for which there is no more to try. A stream that
// has begun is broken off instead, so that it does not look complete.
func (st *streaming) over(ctx context.Context) *refusal {
	if st.started {
		reason := "stream broken off"
		switch {
		case st.r.Context().Err() != nil:
			reason = "caller left"
		case ctx.Err() != nil:
			reason = st.overtime()
		}
		st.account(http.StatusBadGateway, reason)
		panic(http.ErrAbortHandler)
	}
	st.giveUp(ctx)
	return nil
}

// passFailure passes on an answer that is not a stream.
func (st *streaming) passFailure(ctx context.Context, t *target, rp *reply) *refusal {
	body, err := readBody(rp.resp)
	if err != nil || rp.resp.StatusCode < http.StatusMultipleChoices {
		rp.release(false)
		st.failed(t, &sendError{sent: true, err: errors.Join(err, errors.New("neither a stream nor a failure"))}, ctx.Err() != nil)
		return st.over(ctx)
	}
	rp.release(true)
	t.bad(time.Now(), false, false)
	if st.started {
		return st.over(ctx)
	}
	st.pass(&answer{rp, body})
	return nil
}

// relay passes the events of an answer on as they arrive.
func (st *streaming) relay(ctx context.Context, t *target, rp *reply, began time.Time) (again bool, f *refusal) {
	events := &eventReader{r: bufio.NewReader(rp.resp.Body)}
	for {
		ev, err := events.next()
		if err == nil {
			if !st.first(t, rp, began) {
				continue
			}
			if e := st.write(ev); e != nil {
				rp.release(false)
				st.account(http.StatusOK, "caller left")
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case err == nil:
			_ = rp.conn.SetDeadline(time.Now().Add(st.gap()))
			if ctx.Err() == nil {
				continue
			}
			err = ctx.Err()
		case errors.Is(err, io.EOF):
			st.complete(t, rp)
			return false, nil
		}
		rp.release(false)
		st.failed(t, &sendError{sent: true, err: err}, ctx.Err() != nil)
		if ctx.Err() == nil && st.mayRepeat() {
			st.resumed = st.resumed || st.events > 0
			st.s.count("streams_resumed")
			return true, nil
		}
		return false, st.over(ctx)
	}
}

// first sends the head of the answer before the first event, and frees the stages'
// results, which the engine has read by then.
func (st *streaming) first(t *target, rp *reply, began time.Time) bool {
	if st.results != nil {
		st.results.release()
	}
	if st.events > 0 && st.started {
		return true
	}
	took := time.Since(began)
	if !st.started {
		st.copyHead(rp)
		st.w.Header().Del("Content-Length")
		st.w.WriteHeader(http.StatusOK)
		st.started = true
		st.s.scope().Timer("first_event_time").Record(st.took())
	}
	t.good(time.Now(), ratio(took, st.s.firstEvent(st.route)))
	st.s.learned.learn(st.route.ID, took)
	return true
}

// write passes one event on, unless an earlier attempt has passed it on already.
func (st *streaming) write(ev event) error {
	if ev.numbered {
		if (st.resumed || st.events > 0) && ev.id <= st.last {
			return nil
		}
		st.last = ev.id
	}
	st.events++
	rc := http.NewResponseController(st.w)
	if err := rc.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	if _, err := st.w.Write(ev.data); err != nil {
		return err
	}
	return rc.Flush()
}

// complete ends a stream whose last event was passed on.
func (st *streaming) complete(t *target, rp *reply) {
	rp.release(true)
	st.s.count("sends", "outcome", "answered")
	st.s.strikes.Clear(st.print)
	if !st.started {
		st.copyHead(rp)
		st.w.WriteHeader(http.StatusOK)
	}
	_ = http.NewResponseController(st.w).SetWriteDeadline(time.Time{})
	st.account(http.StatusOK, "served")
}

// event is one event of a stream with its bytes as they came.
type event struct {
	data     []byte
	id       int64
	numbered bool
}

// eventReader reads a stream event by event.
type eventReader struct{ r *bufio.Reader }

var errLongEvent = errors.New("an event is over the bound")

// next returns the next whole event, up to and with the empty line that ends it. It
// returns io.EOF at the end of the stream; any other error means that the stream
// broke off, which includes an end in the middle of an event.
func (er *eventReader) next() (ev event, err error) {
	for {
		line, err := er.r.ReadSlice('\n')
		ev.data = append(ev.data, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.data) > maxEvent {
				return event{}, errLongEvent
			}
			continue
		case errors.Is(err, io.EOF) && len(ev.data) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(bytes.TrimSpace(ev.data)) == 0 {
				continue // an empty line between events
			}
			return ev, nil
		}
		ev.read(string(line))
		if len(ev.data) > maxEvent {
			return event{}, errLongEvent
		}
	}
}

// read takes in one line of an event.
func (ev *event) read(line string) {
	name, value, _ := strings.Cut(line, ":")
	if name != "id" {
		return
	}
	if n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
		ev.id, ev.numbered = n, true
	}
}
