package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamcove.example/core/wire"
)

const (
	// silenceTimeout is the time without an event after which a stream is resumed over
	// a new connection.
	silenceTimeout = time.Second
	// headTimeout is the time for which a cancelled call still waits for the head of
	// the engine's answer: it names the completion, which goes on until cancelled.
	headTimeout = time.Second
	// cancelTimeout is the time for a cancel. With headTimeout it stays below the
	// time for which a router asks for the cost of a call, 5 s.
	cancelTimeout      = 3 * time.Second
	maxEventBytes      = 64 << 10
	completionIDHeader = "Completion-Id"
)

// stageInput is the JSON that the router sends for a stage.
type stageInput struct {
	Body  json.RawMessage `json:"body"`
	Prior json.RawMessage `json:"prior"`
}

// promptBody is what an engine call takes from the caller's body.
type promptBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     wire.ModelID   `json:"model"`
	Adapter   wire.AdapterID `json:"adapter,omitempty"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	Priority  int            `json:"priority"`
}

const defaultMaxTokens = 64

func newCompletion(c *wire.Call) (body []byte, err error) {
	var in stageInput
	if err = json.Unmarshal(c.Input, &in); err != nil {
		return nil, fmt.Errorf("stage input: %w", err)
	}
	var p promptBody
	if err = json.Unmarshal(in.Body, &p); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	prompt := p.Prompt
	if len(in.Prior) > 0 && string(in.Prior) != "null" {
		prompt += "\n" + string(in.Prior)
	}
	priority := 0 // engines serve lower numbers first
	if c.Rank == wire.RankBatch {
		priority = 1
	}
	return json.Marshal(completionRequest{c.Model, c.Adapter, prompt, p.MaxTokens, true, priority})
}

// completionEvent is one server-sent event of a completion, or the answer to its cancel.
type completionEvent struct {
	Error   string `json:"error"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		Prompt wire.Tokens `json:"prompt_tokens"`
		Cached wire.Tokens `json:"cached_tokens"`
		Output wire.Tokens `json:"completion_tokens"`
		Busy   wire.Micros `json:"busy_micros"`
	} `json:"usage"`
}

// stream is one completion under way, over one or more connections.
type stream struct {
	h        *HTTP
	id       string
	received int // tokens received
	cost     wire.Cost
	hasUsage bool
	emit     func([]byte) error
}

// complete runs a completion and passes its tokens to emit. When the connection
// breaks or goes silent it resumes after the last token. Unless the completion
// ended, the engine is told to cancel it.
func (h *HTTP) complete(ctx context.Context, c *wire.Call, emit func([]byte) error) (ans Answer, err error) {
	body, err := newCompletion(c)
	if err != nil {
		return ans, &UpstreamError{Err: err}
	}
	req := h.newRequest(fasthttp.MethodPost, "/v1/completions", body)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(callKeyHeader, callKey(c))
	s := &stream{h: h, emit: emit, cost: wire.Cost{Calls: 1}}
	err = s.readConnection(ctx, req)
	for err != nil && s.resumable(ctx, err) {
		again := h.newRequest(fasthttp.MethodGet, fmt.Sprintf("/v1/completions/%s?after=%d", s.id, s.received), nil)
		err = markSent(s.readConnection(ctx, again))
		fasthttp.ReleaseRequest(again)
	}
	if err != nil && !s.hasUsage && s.id != "" {
		s.cancel()
	}
	return Answer{Cost: s.cost, CostUnknown: err != nil && !s.hasUsage && mayBeSent(err)}, err
}

var errSilent = errors.New("stream went silent")

// resumable reports whether the engine may still be running the completion. A
// refused connection or an error status means that it is not.
func (s *stream) resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && s.id != "" && errors.Is(err, errSilent)
}

// readConnection reads one connection's events until the completion ends.
func (s *stream) readConnection(ctx context.Context, req *fasthttp.Request) (err error) {
	c, err := s.h.calls.get(ctx, true)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	defer fasthttp.ReleaseResponse(resp)
	if err = doUntilHead(ctx, c, req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return statusError(resp)
	}
	s.id = string(resp.Header.Peek(completionIDHeader))
	stop := c.bindContext(ctx)
	defer stop()
	err = s.read(ctx, c, resp.BodyStream())
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// doUntilHead makes a call on c until the head of the answer is read, and waits for it
// up to headTimeout longer than ctx.
func doUntilHead(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	head, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(headTimeout, cancel) })
	defer stop()
	err := c.do(head, req, resp)
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (s *stream) read(ctx context.Context, c *conn, body io.Reader) error {
	in := bufio.NewReaderSize(body, maxEventBytes)
	for {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_ = c.SetReadDeadline(time.Now().Add(silenceTimeout))
		line, err := in.ReadSlice('\n')
		if err != nil {
			if !isConnBroken(err) {
				return errSilent
			}
			return &UpstreamError{Sent: true, Reset: true, Err: err}
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		if err = s.handleEvent(data); err != nil {
			return err
		}
	}
}

func (s *stream) handleEvent(data []byte) error {
	var e completionEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return &UpstreamError{Sent: true, Err: fmt.Errorf("event: %w", err)}
	}
	if u := e.Usage; u != nil {
		s.hasUsage = true
		s.cost.Input, s.cost.Cached, s.cost.Output, s.cost.Busy = u.Prompt, min(u.Cached, u.Prompt), u.Output, u.Busy
	}
	if e.Error != "" {
		// The engine's text may quote the prompt, so it does not go into the log.
		return &UpstreamError{Sent: true, Err: errors.New("engine ended the stream with an error")}
	}
	for _, ch := range e.Choices {
		if ch.Text == "" {
			continue
		}
		s.received++
		s.cost.Output = wire.Tokens(s.received)
		if err := s.emit([]byte(ch.Text)); err != nil {
			return &UpstreamError{Sent: true, Err: err}
		}
	}
	return nil
}

// cancel tells the engine to stop, since a closed connection alone does not. It
// reads the cost of the work that was done from the answer.
func (s *stream) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	req := s.h.newRequest(fasthttp.MethodDelete, "/v1/completions/"+s.id, nil)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if s.h.control.roundTrip(ctx, req, resp, false) != nil || resp.StatusCode() != fasthttp.StatusOK {
		return
	}
	_ = s.handleEvent(resp.Body())
}
