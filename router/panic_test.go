package router

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v3"
	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

// TestPanicIsAnswered guards against a panic in one request that ends the process, and
// with it all requests in flight without an answer.
func TestPanicIsAnswered(t *testing.T) {
	t.Run("while a request is served", func(t *testing.T) {
		runWithFixture(t, func(fx *fixture) {
			var logged bytes.Buffer
			fx.r.log.SetOutput(&logged)
			fx.setAnswers(func(st link.Stream, c *wire.Call) {
				_ = st.Send(&wire.Frame{Accept: &wire.Accept{Ref: c.Ref}})
				_ = st.Send(&wire.Frame{Chunk: &wire.Chunk{Ref: c.Ref, Data: []byte("text")}})
			})
			ans, refusal := fx.r.Do(fx.t.Context(), &Request{Team: testTeam, Pipeline: plainPipeline, Body: []byte(`{}`), Sink: func([]byte) error { panic("broken sink") }})
			fx.r.log.SetOutput(io.Discard)
			assert.Assert(fx.t, ans == nil)
			assert.Equal(fx.t, refusal.Reason, wire.ReasonUnknown)
			assert.Equal(fx.t, refusal.Executed, wire.ExecutedUnknown)
			assert.Equal(fx.t, fx.r.Count("panicked", wire.ReasonUnknown), int64(1))
			assert.Assert(fx.t, strings.Contains(logged.String(), "broken sink"), logged.String())
			assert.Equal(fx.t, fx.r.inFlight.Load(), int64(0))
			fx.setAnswers(nil)
			fx.expect(`"one"`, plainPipeline, "")
		})
	})
	t.Run("in the HTTP layer", func(t *testing.T) {
		r := New(Config{Name: "r1"}, nil, nil)
		r.snapshot.Store(nil)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://router/v1/pipelines/notes", strings.NewReader("{}"))
		assert.NilError(t, err)
		req.Header.Set(fiber.HeaderAuthorization, "Bearer key")
		resp, err := r.App().Test(req)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		assert.Equal(t, resp.Header.Get(headerExecuted), string(wire.ExecutedUnknown))
		assert.Equal(t, r.Count("panicked", wire.ReasonUnknown), int64(1))
	})
}
