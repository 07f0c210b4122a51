package router

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
)

const (
	// maxBodyBytes bounds a caller's body in bytes.
	maxBodyBytes = 1 << 20
	// maxHeaderBytes bounds a request's header lines in bytes.
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxDeadline    = 600_000 * time.Millisecond
	// maxConnections bounds open connections of callers; further ones are closed.
	maxConnections = 16_384

	headerDeadline    = "Deadline-Ms"
	headerReservation = "Reservation"
	headerRequest     = "Request-Id"
	headerExecuted    = "Executed"
	mimeEventStream   = "text/event-stream"
)

// App returns the HTTP server of the callers' API.
func (r *Router) App() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:      maxBodyBytes,
		ReadBufferSize: maxHeaderBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		Concurrency:    maxConnections,
		ErrorHandler:   r.httpError,
	})
	app.Post("/v1/pipelines/:name", r.postRequest)
	app.Post("/v1/pipelines/:name/reservations", r.postReservation)
	app.Get("/v1/accounts", r.getTeamAccounts)
	return app
}

// httpError answers errors of the HTTP layer, among them bodies over the bound.
func (r *Router) httpError(c fiber.Ctx, err error) error {
	reason := wire.ReasonMalformed
	if fe, ok := err.(*fiber.Error); ok {
		switch fe.Code {
		case fiber.StatusRequestEntityTooLarge, fiber.StatusRequestHeaderFieldsTooLarge:
			reason = wire.ReasonToolarge
		case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
			reason = wire.ReasonNotfound
		}
	}
	s := &activeRequest{r: r, req: &Request{}, id: r.newID()}
	return writeRefusal(c, s.refuse(reason, ""))
}

// httpStatus maps a reason to the status of the HTTP answer.
func httpStatus(reason wire.Reason) int {
	switch reason {
	case wire.ReasonMalformed:
		return fiber.StatusBadRequest
	case wire.ReasonUnauthorised:
		return fiber.StatusUnauthorized
	case wire.ReasonNotfound:
		return fiber.StatusNotFound
	case wire.ReasonToolarge:
		return fiber.StatusRequestEntityTooLarge
	case wire.ReasonReservation:
		return fiber.StatusPreconditionRequired
	case wire.ReasonMismatch, wire.ReasonSpent:
		return fiber.StatusConflict
	case wire.ReasonQuarantined:
		return fiber.StatusUnprocessableEntity
	case wire.ReasonQueue, wire.ReasonBusy, wire.ReasonSolo:
		return fiber.StatusTooManyRequests
	case wire.ReasonDeadline:
		return fiber.StatusGatewayTimeout
	case wire.ReasonUpstream, wire.ReasonCrashed, wire.ReasonUnknown:
		return fiber.StatusBadGateway
	default:
		return fiber.StatusServiceUnavailable
	}
}

func writeRefusal(c fiber.Ctx, f *Refusal) error {
	c.Set(headerRequest, string(f.Request))
	c.Set(headerExecuted, string(f.Executed))
	if f.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int((f.RetryAfter+999)/1000)))
	}
	return c.Status(httpStatus(f.Reason)).JSON(f)
}

// authenticate returns the team of the bearer key. The key is looked up by its
// hash; the comparison takes the same time whichever byte differs.
func (r *Router) authenticate(c fiber.Ctx) (wire.TeamID, bool) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	want := wire.KeyHash(hex.EncodeToString(sum[:]))
	k, ok := r.snapshot.Load().store.Key(want)
	if !ok || subtle.ConstantTimeCompare([]byte(k.Hash), []byte(want)) != 1 {
		return "", false
	}
	return k.Team, true
}

// parseRequest reads a caller's request. The values are copied, since fiber reuses
// its buffers after the handler returns.
func (r *Router) parseRequest(c fiber.Ctx) (*Request, wire.Reason) {
	team, ok := r.authenticate(c)
	req := &Request{Team: team, Pipeline: wire.PipelineID(strings.Clone(c.Params("name")))}
	if !ok {
		return req, wire.ReasonUnauthorised
	}
	req.Body = bytes.Clone(c.Body())
	req.Token = wire.Token(strings.Clone(c.Get(headerReservation)))
	var err error
	if req.Deadline, err = parseDeadline(c.Get(headerDeadline)); err != nil || !json.Valid(req.Body) {
		return req, wire.ReasonMalformed
	}
	return req, ""
}

func parseDeadline(s string) (d time.Duration, err error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(s)
	d = time.Duration(n) * time.Millisecond
	if err == nil && (d <= 0 || d > maxDeadline) {
		err = fmt.Errorf("%s: got %s, want 1 to %d", headerDeadline, s, maxDeadline/time.Millisecond)
	}
	return d, err
}

func (r *Router) postRequest(c fiber.Ctx) error {
	req, reason := r.parseRequest(c)
	if reason != "" {
		s := &activeRequest{r: r, req: req, id: r.newID()}
		s.executed.tokenUnknown = req.Token != ""
		return writeRefusal(c, s.refuse(reason, ""))
	}
	if strings.Contains(c.Get(fiber.HeaderAccept), mimeEventStream) {
		return r.streamAnswer(c, req)
	}
	ans, ref := r.Do(context.Background(), req)
	if ref != nil {
		return writeRefusal(c, ref)
	}
	c.Set(headerRequest, string(ans.Request))
	return c.JSON(ans)
}

// streamAnswer answers with server-sent events: chunks of text, then the answer
// or the refusal.
func (r *Router) streamAnswer(c fiber.Ctx, req *Request) error {
	c.Set(fiber.HeaderContentType, mimeEventStream)
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		req.Sink = func(text []byte) error { return writeEvent(w, "chunk", generatedOutput{string(text)}) }
		ans, ref := r.Do(ctx, req)
		if ref != nil {
			_ = writeEvent(w, "refusal", ref)
			return
		}
		_ = writeEvent(w, "answer", ans)
	})
}

func writeEvent(w *bufio.Writer, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data); err != nil {
		return err
	}
	return w.Flush()
}

// reservationAnswer is the answer to a request for a reservation.
type reservationAnswer struct {
	Token wire.Token `json:"token"`
}

func (r *Router) postReservation(c fiber.Ctx) error {
	team, ok := r.authenticate(c)
	pipeline := wire.PipelineID(strings.Clone(c.Params("name")))
	if !ok {
		s := &activeRequest{r: r, req: &Request{Pipeline: pipeline}, id: r.newID()}
		return writeRefusal(c, s.refuse(wire.ReasonUnauthorised, ""))
	}
	tok, ref := r.Reserve(context.Background(), team, pipeline)
	if ref != nil {
		return writeRefusal(c, ref)
	}
	return c.Status(fiber.StatusCreated).JSON(reservationAnswer{tok})
}

// PromptPrefix returns the fingerprint of the start of the prompt in a caller's
// body, or nothing.
func PromptPrefix(body []byte) wire.Fingerprint {
	var p struct {
		Prompt string `json:"prompt"`
	}
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return route.PrefixFingerprint(p.Prompt)
}
