package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamcove.example/core/wire"
)

const (
	// readGrace is how long to wait for an answer after its deadline.
	readGrace = 5 * time.Second
	// maxAnswerBytes is the size limit of an answer and of each of its events.
	maxAnswerBytes = 8 << 20
)

// Answer is the body with which a router answers a completed request.
type Answer struct {
	Request wire.RequestID  `json:"request"`
	Output  json.RawMessage `json:"output"`
	Stages  []StageAnswer   `json:"stages"`
}

// StageAnswer says where a stage of a request ran, for how long and at what cost.
type StageAnswer struct {
	Stage    wire.StageID      `json:"stage"`
	Upstream wire.UpstreamID   `json:"upstream"`
	Centre   wire.DataCentreID `json:"centre"`
	Attempt  wire.Attempt      `json:"attempt"`
	Millis   float64           `json:"millis"`
	Cost     wire.Cost         `json:"cost"`
}

// Refusal is the body with which a router refuses a request.
type Refusal struct {
	Request  wire.RequestID  `json:"request"`
	Reason   wire.Reason     `json:"reason"`
	Team     wire.TeamID     `json:"team"`
	Pipeline wire.PipelineID `json:"pipeline"`
	Executed wire.Executed   `json:"executed"`
	Retry    wire.Millis     `json:"retry"`
}

// outcome is how one request ended. Exactly one of answer, refusal and err is set.
type outcome struct {
	arrival    arrival
	answer     *Answer
	refusal    *Refusal
	err        error
	firstChunk time.Duration // latency of the first chunk; 0 if there was none
	latency    time.Duration
	resends    int
}

var (
	errMalformed = errors.New("malformed answer")
	errExpired   = errors.New("deadline passed before the request was sent")
)

// caller sends requests to the routers in turn.
type caller struct {
	cfg    *Config
	client *fasthttp.Client
}

func newCaller(cfg *Config) *caller {
	return &caller{cfg, &fasthttp.Client{
		StreamResponseBody:  true,
		MaxConnsPerHost:     cfg.MaxInFlight,
		MaxResponseBodySize: maxAnswerBytes,
		ReadTimeout:         cfg.Deadline + readGrace,
		WriteTimeout:        cfg.Deadline + readGrace,
		// Retries by fasthttp would not be counted; do resends requests itself.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// do sends the request of a, which starts at due, and waits for its answer. It
// resends the request if the connection is lost.
func (c *caller) do(a arrival, due time.Time) (o outcome) {
	o.arrival = a
	body, err := json.Marshal(map[string]any{"prompt": a.prompt, "max_tokens": c.cfg.MaxTokens})
	if err != nil {
		o.err = err
		return o
	}
	token := ""
	for {
		router := c.cfg.Routers[(a.serial+o.resends)%len(c.cfg.Routers)]
		o.firstChunk = 0
		o.err = c.try(&o, router, due, body, &token)
		if !connectionLost(o.err) || o.resends >= c.cfg.MaxResends {
			return o
		}
		o.resends++
	}
}

// try sends a request once, after a reservation if the pipeline needs one and token is
// still empty.
func (c *caller) try(o *outcome, router string, due time.Time, body []byte, token *string) error {
	url := fmt.Sprintf("http://%s/v1/pipelines/%s", router, o.arrival.pipeline)
	if c.cfg.atMostOnce(o.arrival.pipeline) && *token == "" {
		if err := c.reserve(o, url, due, token); err != nil || o.refusal != nil {
			return err
		}
	}
	return c.exchange(o, url, due, body, *token, func(resp *fasthttp.Response) error {
		if bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")) {
			return readEvents(o, due, resp.BodyStream())
		}
		data, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxAnswerBytes))
		if err != nil {
			return err
		}
		return o.decode(resp.StatusCode(), data)
	})
}

// reserve obtains a reservation token for a pipeline whose requests must not be repeated.
func (c *caller) reserve(o *outcome, url string, due time.Time, token *string) error {
	return c.exchange(o, url+"/reservations", due, nil, "", func(resp *fasthttp.Response) error {
		data, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxAnswerBytes))
		if err != nil {
			return err
		}
		if resp.StatusCode()/100 != 2 {
			return o.decode(resp.StatusCode(), data)
		}
		var got wire.Reserved
		if err := json.Unmarshal(data, &got); err != nil || got.Token == "" {
			return fmt.Errorf("%w: reservation %.100q", errMalformed, data)
		}
		*token = string(got.Token)
		return nil
	})
}

// exchange sends one HTTP request with the time left until the deadline and passes the
// answer to read. It returns errExpired if less than 1 ms is left.
func (c *caller) exchange(o *outcome, url string, due time.Time, body []byte, token string, read func(*fasthttp.Response) error) error {
	remaining := c.cfg.Deadline - time.Since(due)
	if remaining < time.Millisecond {
		return errExpired
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+o.arrival.key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	if c.cfg.Stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	if token != "" {
		req.Header.Set("Reservation", token)
	}
	req.SetBody(body)
	if err := c.client.Do(req, resp); err != nil {
		return err
	}
	defer resp.CloseBodyStream() // its error is of no use once the answer has been read
	err := read(resp)
	o.latency = time.Since(due)
	if err == nil {
		// The connection is reused only if the body has been read to the end.
		io.Copy(io.Discard, io.LimitReader(resp.BodyStream(), maxAnswerBytes)) // an error is ignored: the answer is complete
	}
	return err
}

// decode parses a body as an answer if the status is 2xx, else as a refusal.
func (o *outcome) decode(status int, data []byte) error {
	if status/100 == 2 {
		var a Answer
		if err := json.Unmarshal(data, &a); err != nil || a.Request == "" {
			return fmt.Errorf("%w: %.100q", errMalformed, data)
		}
		o.answer = &a
		return nil
	}
	var r Refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Reason == "" {
		return fmt.Errorf("%w: status %d: %.100q", errMalformed, status, data)
	}
	o.refusal = &r
	return nil
}

// readEvents reads server-sent events up to the answer or refusal. It returns
// io.ErrUnexpectedEOF if the stream ends without either.
func readEvents(o *outcome, due time.Time, body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxAnswerBytes)
	var event string
	var data []byte
	for scanner.Scan() {
		line := scanner.Text()
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			done, err := o.handleEvent(event, data, due)
			if done || err != nil {
				return err
			}
			event, data = "", nil
		case name == "event":
			event = value
		case name == "data" && data != nil:
			data = append(append(data, '\n'), value...)
		case name == "data":
			data = []byte(value)
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// handleEvent processes one event. done is true for the last one, an answer or refusal.
func (o *outcome) handleEvent(name string, data []byte, due time.Time) (done bool, err error) {
	switch name {
	case "chunk":
		if o.firstChunk == 0 {
			o.firstChunk = time.Since(due)
		}
		return false, nil
	case "answer":
		return true, o.decode(fasthttp.StatusOK, data)
	case "refusal":
		return true, o.decode(fasthttp.StatusServiceUnavailable, data) // any status but 2xx marks a refusal
	}
	return false, nil
}

// connectionLost reports whether err means that the connection was lost or refused, so that
// the request may be resent.
func connectionLost(err error) bool {
	return err != nil && !errors.Is(err, errMalformed) && !errors.Is(err, errExpired) && !isTimeout(err)
}

// isTimeout reports whether err is a timeout of the client or the network.
func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &n) && n.Timeout()
}

// errorKind returns the name under which the report counts an error.
func errorKind(err error) string {
	switch {
	case errors.Is(err, errMalformed):
		return "malformed"
	case errors.Is(err, errExpired):
		return "expired"
	case isTimeout(err):
		return "timeout"
	}
	return "connection"
}
