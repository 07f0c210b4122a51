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
	// silenceTimeout is the longest wait for the next line of an event stream. After
	// it the stream is resumed over a new connection.
	silenceTimeout = time.Second
	// headTimeout is how long a cancelled call still waits for the head of the
	// engine's response. The head holds the completion's ID, without which the
	// completion cannot be cancelled and runs on.
	headTimeout = time.Second
	// cancelTimeout limits a cancel request. Together with headTimeout it stays below
	// the 5 s for which a router waits for the cost of a call.
	cancelTimeout      = 3 * time.Second
	maxEventBytes      = 64 << 10 // longest line of an event stream
	completionIDHeader = "Completion-Id"
)

// stageInput is the JSON input that the router sends for a stage: the caller's
// request body and the output of earlier stages.
type stageInput struct {
	Body  json.RawMessage `json:"body"`
	Prior json.RawMessage `json:"prior"`
}

// promptBody is the part of the caller's request body that an engine call uses.
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

// defaultMaxTokens is used if the caller sets no positive max_tokens.
const defaultMaxTokens = 64

// newCompletion encodes the completion request of c. Output of earlier stages is
// appended to the prompt.
func newCompletion(c *wire.Call) (body []byte, err error) {
	var in stageInput
	if err = json.Unmarshal(c.Input, &in); err != nil {
		return nil, fmt.Errorf("decode stage input: %w", err)
	}
	var p promptBody
	if err = json.Unmarshal(in.Body, &p); err != nil {
		return nil, fmt.Errorf("decode request body: %w", err)
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	prompt := p.Prompt
	if len(in.Prior) > 0 && string(in.Prior) != "null" {
		prompt += "\n" + string(in.Prior)
	}
	priority := 0 // engines serve lower values first
	if c.Rank == wire.RankBatch {
		priority = 1
	}
	return json.Marshal(completionRequest{c.Model, c.Adapter, prompt, p.MaxTokens, true, priority})
}

// completionEvent is one server-sent event of a completion, or the response to its
// cancellation.
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

// stream is one completion under way. It uses a new connection each time it is
// resumed.
type stream struct {
	h        *HTTP
	id       string // completion ID; empty until the response head has arrived
	received int    // tokens received
	cost     wire.Cost
	hasUsage bool // whether the engine has reported the cost
	emit     func([]byte) error
}

// complete runs a completion and passes its tokens to emit. If the connection goes
// silent, it resumes the stream after the last token on a new one. A completion
// that failed without reporting its usage is cancelled at the engine.
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
	// A resumed stream is no new work, so it may go on without a check.
	resumeCtx := withSendCheck(ctx, func() error { return nil })
	for err != nil && s.resumable(ctx, err) {
		resumeReq := h.newRequest(fasthttp.MethodGet, fmt.Sprintf("/v1/completions/%s?after=%d", s.id, s.received), nil)
		err = markSent(s.readConnection(resumeCtx, resumeReq))
		fasthttp.ReleaseRequest(resumeReq)
	}
	if err != nil && !s.hasUsage && s.id != "" {
		s.cancel()
	}
	return Answer{Cost: s.cost, CostUnknown: err != nil && !s.hasUsage && sentWithoutStatus(err)}, err
}

// errSilent means that the engine sent no line for silenceTimeout.
var errSilent = errors.New("stream went silent")

// resumable reports whether the stream can be resumed after err, because it only
// went silent and the engine may still be running the completion. After a refused
// connection or an error status, the engine no longer runs it.
func (s *stream) resumable(ctx context.Context, err error) bool {
	return ctx.Err() == nil && s.id != "" && errors.Is(err, errSilent)
}

// readConnection sends req on a new connection and reads events from it until the
// completion ends or the connection fails.
func (s *stream) readConnection(ctx context.Context, req *fasthttp.Request) (err error) {
	c, err := s.h.calls.dial(ctx)
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

// doUntilHead sends req on c and reads the head of the response, for which it waits
// up to headTimeout longer than ctx.
func doUntilHead(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	headCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(headTimeout, cancel) })
	defer stop()
	err := c.do(headCtx, req, resp)
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// read handles the events in body until the end mark. It returns errSilent if the
// next line does not arrive within silenceTimeout.
func (s *stream) read(ctx context.Context, c *conn, body io.Reader) error {
	lines := bufio.NewReaderSize(body, maxEventBytes)
	for {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_ = c.SetReadDeadline(time.Now().Add(silenceTimeout))
		line, err := lines.ReadSlice('\n')
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

// handleEvent updates the cost from one event and emits the event's tokens.
func (s *stream) handleEvent(data []byte) error {
	var e completionEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return &UpstreamError{Sent: true, Err: fmt.Errorf("decode completion event: %w", err)}
	}
	if u := e.Usage; u != nil {
		s.hasUsage = true
		s.cost.Input, s.cost.Cached, s.cost.Output, s.cost.Busy = u.Prompt, min(u.Cached, u.Prompt), u.Output, u.Busy
	}
	if e.Error != "" {
		// The engine's error text may quote the prompt, so it is kept out of the log.
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

// cancel cancels the completion at the engine, since closing the connection does not
// stop it. The response reports the cost of the work done so far.
func (s *stream) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	req := s.h.newRequest(fasthttp.MethodDelete, "/v1/completions/"+s.id, nil)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if s.h.control.roundTrip(ctx, req, resp) != nil || resp.StatusCode() != fasthttp.StatusOK {
		return
	}
	_ = s.handleEvent(resp.Body())
}
