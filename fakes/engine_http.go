package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamcove.example/core/clock"
	"hornbeamcove.example/core/wire"
)

// weightReadTimeout is the timeout of an engine's read from the weight store.
const weightReadTimeout = 10 * time.Second

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model    wire.ModelID   `json:"model"`
	Adapter  wire.AdapterID `json:"adapter"`
	Prompt   string         `json:"prompt"`
	Tokens   int            `json:"max_tokens"`
	Stream   bool           `json:"stream"`
	Priority int            `json:"priority"`
}

// choice is the text of a completion, or of one token in a streamed response.
type choice struct {
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Finish string `json:"finish_reason,omitempty"`
}

// completionResponse is a response with a completion, or one event of a streamed response.
type completionResponse struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// route passes a request to the handler for its path and method.
func (e *Engine) route(ctx context.Context, rc *fasthttp.RequestCtx) {
	path, method := string(rc.Path()), string(rc.Method())
	id, hasID := strings.CutPrefix(path, "/v1/completions/")
	switch {
	case path == "/v1/completions" && method == "POST":
		e.complete(ctx, rc)
	case hasID && method == "GET":
		e.resume(ctx, rc, id)
	case hasID && method == "DELETE":
		e.cancel(rc, id)
	case path == "/cache/events" && method == "GET":
		e.events(rc)
	case path == "/orders" && method == "POST":
		e.orders(rc)
	default:
		writeError(rc, fasthttp.StatusNotFound, "no such path")
	}
}

// complete handles POST /v1/completions.
func (e *Engine) complete(ctx context.Context, rc *fasthttp.RequestCtx) {
	req := completionRequest{Tokens: defaultOutputTokens}
	if err := json.Unmarshal(rc.PostBody(), &req); err != nil {
		writeError(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if req.Tokens < 1 || req.Tokens > maxOutputTokens {
		writeError(rc, fasthttp.StatusBadRequest, fmt.Sprintf("max_tokens must be 1 to %d", maxOutputTokens))
		return
	}
	e.mu.Lock()
	if !e.loaded(req.Model, req.Adapter) {
		e.mu.Unlock()
		writeError(rc, fasthttp.StatusNotFound, "model or adapter is not loaded")
		return
	}
	delay := e.faults.delay
	e.mu.Unlock()
	if !clock.Sleep(ctx, delay) {
		closeConnection(rc)
		return
	}
	e.mu.Lock()
	callOutcome := e.drawOutcome()
	if callOutcome == outcomeFail {
		e.rec.Failed++
		e.mu.Unlock()
		writeError(rc, fasthttp.StatusInternalServerError, "injected failure")
		return
	}
	c, admitResult := e.submit(ctx, string(rc.Request.Header.Peek("Call-Key")), req.Prompt, req.Tokens, req.Priority)
	e.mu.Unlock()
	switch admitResult {
	case crashed:
		closeConnection(rc)
		return
	case refused:
		writeError(rc, fasthttp.StatusServiceUnavailable, "over capacity")
		return
	}
	rc.Response.Header.Set("Completion-Id", c.id)
	if callOutcome == outcomeAnswer && req.Stream {
		e.stream(ctx, rc, c, 0)
		return
	}
	_, state, usage, ok := e.waitForTokens(ctx, c, c.maxTokens)
	if !ok {
		closeConnection(rc)
		return
	}
	e.respond(ctx, rc, callOutcome, func() { writeJSON(rc, fasthttp.StatusOK, c.response(state, usage)) })
}

// loaded reports whether the engine has loaded model m and adapter a. An empty name matches
// any; so does an engine without a model. The caller holds e.mu.
func (e *Engine) loaded(m wire.ModelID, a wire.AdapterID) bool {
	if m != "" && e.load.Model != "" && m != e.load.Model {
		return false
	}
	if a == "" {
		return true
	}
	for _, adapter := range e.load.Adapters {
		if adapter == a {
			return true
		}
	}
	return false
}

func (c *completion) response(state completionState, usage Usage) completionResponse {
	resp := completionResponse{
		ID:      c.id,
		Choices: []choice{{Text: Text(c.prompt, int(usage.Completion)), Finish: "length"}},
		Usage:   &usage,
	}
	if state == stateCancelled {
		resp.Error, resp.Choices[0].Finish = "cancelled", "cancelled"
	}
	return resp
}

// stream sends the tokens of c from index n on, then an event with the usage and the
// [DONE] event. If the completion was cancelled, the event with the usage has an error.
func (e *Engine) stream(ctx context.Context, rc *fasthttp.RequestCtx, c *completion, n int) {
	streamEvents(ctx, rc, func(send func([]byte) error) {
		for {
			produced, state, usage, ok := e.waitForTokens(ctx, c, n)
			if !ok {
				return
			}
			for ; n < produced; n++ {
				if sendJSON(send, completionResponse{ID: c.id, Choices: []choice{{Text: Token(c.prompt, n)}}}) != nil {
					return // the reader has disconnected; it may resume
				}
			}
			if state != stateFinished && state != stateCancelled {
				continue
			}
			last := completionResponse{ID: c.id, Choices: []choice{}, Usage: &usage}
			if state == stateCancelled {
				last.Error = "cancelled"
			}
			if sendJSON(send, last) == nil {
				send([]byte("[DONE]")) // an error changes nothing: this is the last event
			}
			return
		}
	})
}

// sendJSON sends v as JSON in one event.
func sendJSON(send func([]byte) error, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return send(data)
}

// find returns the completion with the given ID, or nil if the engine does not know it.
func (e *Engine) find(id string) *completion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// resume streams the tokens of a completion that follow the number of tokens given by the
// query argument after.
func (e *Engine) resume(ctx context.Context, rc *fasthttp.RequestCtx, id string) {
	c := e.find(id)
	if c == nil {
		writeError(rc, fasthttp.StatusNotFound, "no such completion")
		return
	}
	n, err := queryUint(rc, "after")
	if err != nil {
		writeError(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	e.rec.Resumed++
	e.mu.Unlock()
	rc.Response.Header.Set("Completion-Id", c.id)
	e.stream(ctx, rc, c, n)
}

// cancel ends a completion and answers with its usage. It also answers with the usage if the
// completion has ended already.
func (e *Engine) cancel(rc *fasthttp.RequestCtx, id string) {
	c := e.find(id)
	if c == nil {
		writeError(rc, fasthttp.StatusNotFound, "no such completion")
		return
	}
	e.mu.Lock()
	if c.state == stateWaiting || c.state == stateRunning {
		e.end(c, stateCancelled)
	}
	resp := completionResponse{ID: c.id, Choices: []choice{}}
	usage := c.usage
	resp.Usage = &usage
	if c.state == stateCancelled {
		resp.Error = "cancelled"
	}
	e.mu.Unlock()
	writeJSON(rc, fasthttp.StatusOK, resp)
}

// events handles GET /cache/events.
func (e *Engine) events(rc *fasthttp.RequestCtx) {
	n, err := queryUint(rc, "after")
	if err != nil {
		writeError(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(n)
	e.mu.Unlock()
	writeJSON(rc, fasthttp.StatusOK, map[string]any{"events": events})
}

// orders handles POST /orders. Refused orders are recorded too.
func (e *Engine) orders(rc *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(rc.PostBody(), &o); err != nil {
		writeError(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	o.Status = e.fetchWeights(rc, o)
	if o.Status == fasthttp.StatusOK {
		o.Status = e.applyOrder(o)
	}
	e.mu.Lock()
	e.rec.addOrder(o)
	load := e.load
	fence := e.fence
	e.mu.Unlock()
	writeJSON(rc, o.Status, map[string]any{
		"model": load.Model, "version": load.Version, "adapters": load.Adapters, "fence": fence,
	})
}

// fetchWeights reads the weights for an order from the weight store. It returns 200, or the
// status to answer with: 429, with the store's Retry-After, or 502.
func (e *Engine) fetchWeights(rc *fasthttp.RequestCtx, o Order) int {
	if e.cfg.weightStore == "" {
		return fasthttp.StatusOK
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/weights/%s/%d", e.cfg.weightStore, o.Model, o.Version))
	if err := fasthttp.DoTimeout(req, resp, weightReadTimeout); err != nil {
		return fasthttp.StatusBadGateway
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusTooManyRequests:
		rc.Response.Header.SetBytesV("Retry-After", resp.Header.Peek("Retry-After"))
	default:
		return fasthttp.StatusBadGateway
	}
	return resp.StatusCode()
}

// queryUint returns a query argument as a non-negative integer, or zero if it is absent.
func queryUint(rc *fasthttp.RequestCtx, name string) (int, error) {
	if !rc.QueryArgs().Has(name) {
		return 0, nil
	}
	n, err := rc.QueryArgs().GetUint(name)
	if err != nil {
		return 0, fmt.Errorf("argument %s: %w", name, err)
	}
	return n, nil
}
