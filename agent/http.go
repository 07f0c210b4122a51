package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamcove.example/core/limit"
	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
)

const (
	callKeyHeader = "Call-Key"
	busyHeader    = "Busy-Micros"
	// maxAnswerBytes limits the body of an upstream's response. The error in call
	// states the same size.
	maxAnswerBytes = 2 << 20
	// maxReportFieldLen limits the boot ID and the model in a load report, in bytes, and
	// the number of its adapters. The error in Load states the same number.
	maxReportFieldLen = 64
)

// HTTP is an Upstream that is reached over HTTP. Services take and return JSON;
// engines stream OpenAI-style completions as server-sent events.
type HTTP struct {
	kind    wire.Kind
	base    *url.URL
	calls   *dialer
	control *dialer // for load reports, orders and cancels

	mu        sync.Mutex
	prefixes  []wire.Fingerprint
	lastEvent int64 // number of the last cache event read
	bootID    wire.BootID
}

// NewHTTP returns the client of the upstream at base, which must be a URL like
// http://127.0.0.1:8000, with a port.
func NewHTTP(kind wire.Kind, base string) (h *HTTP, err error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("upstream address: %w", err)
	}
	if u.Scheme != "http" || u.Port() == "" {
		return nil, fmt.Errorf("upstream address %q: want http://IP:PORT", base)
	}
	return &HTTP{kind: kind, base: u, calls: newDialer(u.Host, callUserTimeout), control: newDialer(u.Host, controlUserTimeout)}, nil
}

// callKey returns the key that identifies a call at the upstream. A non-repeatable
// call is identified by its token, so that the upstream sees a second call with
// the same token as a duplicate.
func callKey(c *wire.Call) string {
	if c.Once {
		return string(c.Token)
	}
	return fmt.Sprintf("%s.%s.%d", c.Ref.Request, c.Ref.Stage, c.Ref.Attempt)
}

func (h *HTTP) newRequest(method, path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI(h.base.String() + path)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	return req
}

// Run implements Upstream.
func (h *HTTP) Run(ctx context.Context, c *wire.Call, emit func([]byte) error) (Answer, error) {
	if h.kind == wire.KindGenerate {
		return h.complete(ctx, c, emit)
	}
	return h.call(ctx, c)
}

// call sends a call to a service and reads its JSON answer.
func (h *HTTP) call(ctx context.Context, c *wire.Call) (ans Answer, err error) {
	req := h.newRequest(fasthttp.MethodPost, "/call", c.Input)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(callKeyHeader, callKey(c))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	ans.Cost.Calls = 1
	start := time.Now()
	if err = h.calls.roundTrip(ctx, req, resp); err != nil {
		ans.CostUnknown = sentWithoutStatus(err)
		return ans, err
	}
	busy, parseErr := strconv.ParseInt(string(resp.Header.Peek(busyHeader)), 10, 64)
	if parseErr != nil || busy < 0 {
		busy = time.Since(start).Microseconds() // the service does not report its busy time
	}
	ans.Cost.Busy = wire.Micros(busy)
	if err = statusError(resp); err != nil {
		return ans, err
	}
	if !json.Valid(resp.Body()) || len(resp.Body()) > maxAnswerBytes {
		return ans, &UpstreamError{Sent: true, Err: errors.New("response is not valid JSON of at most 2 MiB")}
	}
	ans.Output = bytes.Clone(resp.Body())
	return ans, nil
}

// loadReport is the response of GET /load.
type loadReport struct {
	Boot     wire.BootID      `json:"boot"`
	Cold     bool             `json:"cold"`
	Flight   wire.Slots       `json:"flight"`
	Queued   wire.Slots       `json:"queued"`
	Model    wire.ModelID     `json:"model"`
	Version  wire.Version     `json:"version"`
	Adapters []wire.AdapterID `json:"adapters"`
}

// Load implements Upstream. For an engine it also reads the new cache events.
func (h *HTTP) Load(ctx context.Context) (report limit.LoadReport, loaded Loaded, err error) {
	var lr loadReport
	if err = h.get(ctx, "/load", &lr); err != nil {
		return report, loaded, err
	}
	if len(lr.Boot) > maxReportFieldLen || len(lr.Model) > maxReportFieldLen || len(lr.Adapters) > maxReportFieldLen {
		return report, loaded, &UpstreamError{Sent: true, Err: errors.New("load report: boot ID or model exceeds 64 bytes, or there are over 64 adapters")}
	}
	if h.kind == wire.KindGenerate {
		h.resetOnRestart(lr.Boot)
		h.readCacheEvents(ctx)
	}
	report = limit.LoadReport{Boot: lr.Boot, Cold: lr.Cold, InFlight: lr.Flight, Queued: lr.Queued}
	return report, Loaded{lr.Model, lr.Version, lr.Adapters}, nil
}

// get fetches path over the control connections and decodes the JSON into v.
func (h *HTTP) get(ctx context.Context, path string, v any) error {
	req := h.newRequest(fasthttp.MethodGet, path, nil)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := h.control.roundTrip(ctx, req, resp); err != nil {
		return err
	}
	if err := statusError(resp); err != nil {
		return err
	}
	if err := json.Unmarshal(resp.Body(), v); err != nil {
		return &UpstreamError{Sent: true, Err: err}
	}
	return nil
}

// cacheEvents is the response of GET /cache/events. An event is about a block, a
// sequence of tokens; the first block of a prompt has no parent.
type cacheEvents struct {
	Events []struct {
		Number int64  `json:"number"`
		Kind   string `json:"kind"`
		Parent string `json:"parent"`
		Text   string `json:"text"`
	} `json:"events"`
}

// maxPrefixes limits the cached prefixes in a report, to about 600 bytes.
const maxPrefixes = 32

// readCacheEvents updates the list of cached prefixes from the engine's cache
// events. Events may be late or lost: that costs a cache hit, never an answer.
func (h *HTTP) readCacheEvents(ctx context.Context) {
	h.mu.Lock()
	after := h.lastEvent
	h.mu.Unlock()
	var ce cacheEvents
	if h.get(ctx, "/cache/events?after="+strconv.FormatInt(after, 10), &ce) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range ce.Events {
		h.lastEvent = max(h.lastEvent, e.Number)
		if e.Kind == "cleared" {
			h.prefixes = nil
			continue
		}
		p := route.PrefixFingerprint(e.Text)
		if e.Parent != "" || p == "" {
			continue
		}
		h.prefixes = slices.DeleteFunc(h.prefixes, func(x wire.Fingerprint) bool { return x == p })
		if e.Kind == "stored" {
			h.prefixes = append(h.prefixes, p)
		}
	}
	if n := len(h.prefixes) - maxPrefixes; n > 0 {
		h.prefixes = slices.Clone(h.prefixes[n:])
	}
}

// resetOnRestart forgets the cached prefixes if the boot ID b is new: the engine's
// cache is empty after a restart, and its event numbers start again.
func (h *HTTP) resetOnRestart(b wire.BootID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bootID != b {
		h.bootID, h.prefixes, h.lastEvent = b, nil, 0
	}
}

// Watch implements Watcher.
func (h *HTTP) Watch(ctx context.Context, onLost func()) { h.control.watch(ctx, onLost) }

// Prefixes implements Upstream.
func (h *HTTP) Prefixes() []wire.Fingerprint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]wire.Fingerprint{}, h.prefixes...)
}

// retryAfterError is the error of an order that the engine refused because the
// weight store limits its rate. It carries the Retry-After time.
type retryAfterError struct {
	error
	retryAfter time.Duration
}

// RetryAfter returns the time after which the order may be repeated.
func (e *retryAfterError) RetryAfter() time.Duration { return e.retryAfter }

// Order implements Upstream.
func (h *HTTP) Order(ctx context.Context, o Order) (err error) {
	body, err := json.Marshal(struct {
		Model    wire.ModelID      `json:"model"`
		Version  wire.Version      `json:"version"`
		Adapters []wire.AdapterID  `json:"adapters"`
		Fence    wire.TicketNumber `json:"fence"`
	}{o.Model, o.Version, o.Adapters, o.Fence})
	if err != nil {
		return err
	}
	req := h.newRequest(fasthttp.MethodPost, "/orders", body)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err = h.control.roundTrip(ctx, req, resp); err != nil {
		return err
	}
	if err = statusError(resp); err == nil {
		return nil
	}
	if secs, parseErr := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); parseErr == nil {
		return &retryAfterError{err, time.Duration(secs) * time.Second}
	}
	return err
}
