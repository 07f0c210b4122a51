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
	// readGrace is how long after its deadline an answer is still awaited.
	readGrace = 5 * time.Second
	// maxAnswerBytes bounds an answer and each of its events in bytes.
	maxAnswerBytes = 8 << 20
)

// Answer is the complete answer of a router.
type Answer struct {
	Request wire.RequestID  `json:"request"`
	Output  json.RawMessage `json:"output"`
	Stages  []StageAnswer   `json:"stages"`
}

// StageAnswer says where a stage ran and what it used.
type StageAnswer struct {
	Stage    wire.StageID      `json:"stage"`
	Upstream wire.UpstreamID   `json:"upstream"`
	Centre   wire.DataCentreID `json:"centre"`
	Attempt  wire.Attempt      `json:"attempt"`
	Millis   float64           `json:"millis"`
	Cost     wire.Cost         `json:"cost"`
}

// Refusal is the answer of a router that refuses a request.
type Refusal struct {
	Request  wire.RequestID  `json:"request"`
	Reason   wire.Reason     `json:"reason"`
	Team     wire.TeamID     `json:"team"`
	Pipeline wire.PipelineID `json:"pipeline"`
	Executed wire.Executed   `json:"executed"`
	Retry    wire.Millis     `json:"retry"`
}

// outcome is how one request ended; one of answer, refusal and err is set.
type outcome struct {
	arrival    arrival
	answer     *Answer
	refusal    *Refusal
	err        error
	firstChunk time.Duration // until the first chunk; zero if there was none
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
		// Whether to send a request again is for the caller to decide and to count.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// do sends the request of a, which was due at begin, and waits for its answer.
func (c *caller) do(a arrival, begin time.Time) (o outcome) {
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
		o.err = c.try(&o, router, begin, body, &token)
		if !connectionLost(o.err) || o.resends >= c.cfg.MaxResends {
			return o
		}
		o.resends++
	}
}

// try sends a request once, after reserving if that is needed and not done yet.
func (c *caller) try(o *outcome, router string, begin time.Time, body []byte, token *string) error {
	url := fmt.Sprintf("http://%s/v1/pipelines/%s", router, o.arrival.pipeline)
	if c.cfg.atMostOnce(o.arrival.pipeline) && *token == "" {
		if err := c.reserve(o, url, begin, token); err != nil || o.refusal != nil {
			return err
		}
	}
	return c.exchange(o, url, begin, body, *token, func(resp *fasthttp.Response) error {
		if bytes.HasPrefix(resp.Header.ContentType(), []byte("text/event-stream")) {
			return readEvents(o, begin, resp.BodyStream())
		}
		data, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxAnswerBytes))
		if err != nil {
			return err
		}
		return o.decode(resp.StatusCode(), data)
	})
}

// reserve gets a token for a pipeline whose requests may not be repeated.
func (c *caller) reserve(o *outcome, url string, begin time.Time, token *string) error {
	return c.exchange(o, url+"/reservations", begin, nil, "", func(resp *fasthttp.Response) error {
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

func (c *caller) exchange(o *outcome, url string, begin time.Time, body []byte, token string, read func(*fasthttp.Response) error) error {
	left := c.cfg.Deadline - time.Since(begin)
	if left < time.Millisecond {
		return errExpired
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+o.arrival.key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
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
	defer resp.CloseBodyStream() // the answer has been read
	err := read(resp)
	o.latency = time.Since(begin)
	if err == nil {
		// A connection is used again only after its answer has been read to the end.
		io.Copy(io.Discard, io.LimitReader(resp.BodyStream(), maxAnswerBytes)) // the answer is complete
	}
	return err
}

// decode reads an answer or a refusal, depending on the status.
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

// readEvents reads server-sent events up to the answer or refusal.
func readEvents(o *outcome, begin time.Time, body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxAnswerBytes)
	var event string
	var data []byte
	for lines.Scan() {
		line := lines.Text()
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			done, err := o.handleEvent(event, data, begin)
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
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (o *outcome) handleEvent(name string, data []byte, begin time.Time) (done bool, err error) {
	switch name {
	case "chunk":
		if o.firstChunk == 0 {
			o.firstChunk = time.Since(begin)
		}
		return false, nil
	case "answer":
		return true, o.decode(fasthttp.StatusOK, data)
	case "refusal":
		return true, o.decode(fasthttp.StatusServiceUnavailable, data)
	}
	return false, nil
}

// connectionLost reports whether err says that the connection was lost or refused, after which the
// request may be sent again.
func connectionLost(err error) bool {
	return err != nil && !errors.Is(err, errMalformed) && !errors.Is(err, errExpired) && !isTimeout(err)
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &n) && n.Timeout()
}

// errorKind names an error for the report.
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
