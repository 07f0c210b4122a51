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
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxDeadline    = 600_000 * time.Millisecond // maximum of headerDeadline
	// maxConnections bounds the open connections of callers; further ones are closed.
	maxConnections = 16_384

	headerDeadline    = "Deadline-Ms" // time until the deadline in milliseconds
	headerReservation = "Reservation"
	headerRequest     = "Request-Id"
	headerExecuted    = "Executed"
	mimeEventStream   = "text/event-stream"
)

// App returns the HTTP server of the API for callers.
func (r *Router) App() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:      maxBodyBytes,
		ReadBufferSize: maxHeaderBytes,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		Concurrency:    maxConnections,
		ErrorHandler:   r.httpError,
	})
	app.Use(r.answerPanic)
	app.Post("/v1/pipelines/:name", r.postRequest)
	app.Post("/v1/pipelines/:name/reservations", r.postReservation)
	app.Get("/v1/accounts", r.getTeamAccounts)
	return app
}

// answerPanic answers a request whose handler panics. The HTTP library doesn't recover,
// so the panic would end the process.
func (r *Router) answerPanic(c fiber.Ctx) (err error) {
	defer func() {
		if v := recover(); v != nil {
			s := &activeRequest{r: r, req: &Request{}, id: r.newID()}
			err = writeRefusal(c, s.refusePanic(v))
		}
	}()
	return c.Next()
}

// httpError answers errors of the HTTP layer, such as bodies over maxBodyBytes, with
// a refusal.
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

// httpStatus returns the HTTP status code for a reason.
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

// writeRefusal answers with a refusal as JSON and sets the headers that go with it.
// Retry-After is in seconds, rounded up.
func writeRefusal(c fiber.Ctx, refusal *Refusal) error {
	c.Set(headerRequest, string(refusal.Request))
	c.Set(headerExecuted, string(refusal.Executed))
	if refusal.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int((refusal.RetryAfter+999)/1000)))
	}
	return c.Status(httpStatus(refusal.Reason)).JSON(refusal)
}

// authenticate returns the team of the bearer key. The key is looked up by its hash,
// and the hashes are compared in constant time.
func (r *Router) authenticate(c fiber.Ctx) (wire.TeamID, bool) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	hash := wire.KeyHash(hex.EncodeToString(sum[:]))
	k, ok := r.snapshot.Load().store.Key(hash)
	if !ok || subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hash)) != 1 {
		return "", false
	}
	return k.Team, true
}

// parseRequest reads a caller's request. The values are copied, since fiber reuses
// its buffers after the handler returns. On failure the request holds what its
// refusal needs.
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

// parseDeadline parses the value of headerDeadline, in milliseconds up to maxDeadline.
// It returns 0 for an empty value.
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

// postRequest serves a request, with server-sent events if the caller accepts them.
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
	ans, refusal := r.Do(context.Background(), req)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	c.Set(headerRequest, string(ans.Request))
	return c.JSON(ans)
}

// streamAnswer answers with server-sent events: chunks of text, then the answer or
// the refusal.
func (r *Router) streamAnswer(c fiber.Ctx, req *Request) error {
	c.Set(fiber.HeaderContentType, mimeEventStream)
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		req.Sink = func(text []byte) error { return writeEvent(w, "chunk", generatedOutput{string(text)}) }
		ans, refusal := r.Do(ctx, req)
		if refusal != nil {
			_ = writeEvent(w, "refusal", refusal)
			return
		}
		_ = writeEvent(w, "answer", ans)
	})
}

// writeEvent writes a server-sent event with v as JSON and flushes it.
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

// postReservation answers with a reservation for the pipeline's non-repeatable stage.
func (r *Router) postReservation(c fiber.Ctx) error {
	team, ok := r.authenticate(c)
	pipeline := wire.PipelineID(strings.Clone(c.Params("name")))
	if !ok {
		s := &activeRequest{r: r, req: &Request{Pipeline: pipeline}, id: r.newID()}
		return writeRefusal(c, s.refuse(wire.ReasonUnauthorised, ""))
	}
	tok, refusal := r.Reserve(context.Background(), team, pipeline)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	return c.Status(fiber.StatusCreated).JSON(reservationAnswer{tok})
}

// PromptPrefix returns the fingerprint of the start of the prompt in a caller's body,
// or "" if the body is no JSON object with a string prompt.
func PromptPrefix(body []byte) wire.Fingerprint {
	var p struct {
		Prompt string `json:"prompt"`
	}
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return route.PrefixFingerprint(p.Prompt)
}
