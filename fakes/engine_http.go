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

// weightReadTimeout bounds an engine's read from the weight store.
const weightReadTimeout = 10 * time.Second

type completionRequest struct {
	Model    wire.ModelID   `json:"model"`
	Adapter  wire.AdapterID `json:"adapter"`
	Prompt   string         `json:"prompt"`
	Tokens   int            `json:"max_tokens"`
	Stream   bool           `json:"stream"`
	Priority int            `json:"priority"`
}

type choice struct {
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Finish string `json:"finish_reason,omitempty"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Error   string   `json:"error,omitempty"`
}

func (e *Engine) route(ctx context.Context, rc *fasthttp.RequestCtx) {
	path, method := string(rc.Path()), string(rc.Method())
	id, one := strings.CutPrefix(path, "/v1/completions/")
	switch {
	case path == "/v1/completions" && method == "POST":
		e.complete(ctx, rc)
	case one && method == "GET":
		e.resume(ctx, rc, id)
	case one && method == "DELETE":
		e.cancel(rc, id)
	case path == "/cache/events" && method == "GET":
		e.events(rc)
	case path == "/orders" && method == "POST":
		e.orders(rc)
	default:
		writeError(rc, fasthttp.StatusNotFound, "no such path")
	}
}

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
	fate := e.drawOutcome()
	if fate == outcomeFail {
		e.rec.Failed++
		e.mu.Unlock()
		writeError(rc, fasthttp.StatusInternalServerError, "injected failure")
		return
	}
	c, got := e.submit(ctx, string(rc.Request.Header.Peek("Call-Key")), req.Prompt, req.Tokens, req.Priority)
	e.mu.Unlock()
	switch got {
	case crashed:
		closeConnection(rc)
		return
	case refused:
		writeError(rc, fasthttp.StatusServiceUnavailable, "over capacity")
		return
	}
	rc.Response.Header.Set("Completion-Id", c.id)
	if fate == outcomeAnswer && req.Stream {
		e.stream(ctx, rc, c, 0)
		return
	}
	_, state, usage, ok := e.waitForTokens(ctx, c, c.maxTokens)
	if !ok {
		closeConnection(rc)
		return
	}
	e.respond(ctx, rc, fate, func() { writeJSON(rc, fasthttp.StatusOK, c.response(state, usage)) })
}

// loaded reports whether the engine can run a model; the caller holds e.mu.
func (e *Engine) loaded(m wire.ModelID, a wire.AdapterID) bool {
	if m != "" && e.load.Model != "" && m != e.load.Model {
		return false
	}
	if a == "" {
		return true
	}
	for _, have := range e.load.Adapters {
		if have == a {
			return true
		}
	}
	return false
}

func (c *completion) response(state completionState, usage Usage) completionResponse {
	a := completionResponse{
		ID:      c.id,
		Choices: []choice{{Text: Text(c.prompt, int(usage.Completion)), Finish: "length"}},
		Usage:   &usage,
	}
	if state == stateCancelled {
		a.Error, a.Choices[0].Finish = "cancelled", "cancelled"
	}
	return a
}

// stream sends the tokens of c from number n on, then the usage and the end mark. A
// cancelled completion has an error in the event with its usage.
func (e *Engine) stream(ctx context.Context, rc *fasthttp.RequestCtx, c *completion, n int) {
	streamEvents(ctx, rc, func(send func([]byte) error) {
		for {
			made, state, usage, ok := e.waitForTokens(ctx, c, n)
			if !ok {
				return
			}
			for ; n < made; n++ {
				if sendJSON(send, completionResponse{ID: c.id, Choices: []choice{{Text: Token(c.prompt, n)}}}) != nil {
					return // the reader is gone; it may resume
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
				send([]byte("[DONE]")) // nothing is left to send
			}
			return
		}
	})
}

func sendJSON(send func([]byte) error, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return send(data)
}

func (e *Engine) find(id string) *completion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

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

// cancel ends a completion. It answers with what the completion used, and does the same
// for one that has ended already.
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
	answer := completionResponse{ID: c.id, Choices: []choice{}}
	usage := c.usage
	answer.Usage = &usage
	if c.state == stateCancelled {
		answer.Error = "cancelled"
	}
	e.mu.Unlock()
	writeJSON(rc, fasthttp.StatusOK, answer)
}

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

// fetchWeights reads the weights for an order and returns 200 or the status to answer with.
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

// queryUint returns a query argument that is a number of at least zero; it is zero when
// absent.
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
