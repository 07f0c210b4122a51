package agent

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
)

// soundSilence is how long an upstream without a fault may be silent.
const soundSilence = 2 * time.Second

// runSilentEngine runs a completion of 6 tokens at an engine that pauses after 3 of them
// until its stream was resumed, and returns the text and the error. check is the
// CheckSend of the call.
func runSilentEngine(t *testing.T, check func() error) (string, error) {
	e := fakes.NewEngine()
	assert.NilError(t, e.Start(t.Context(), ""))
	t.Cleanup(func() { e.Close() })
	e.Hold()
	e.Step(3)
	h, err := NewHTTP(wire.KindGenerate, e.URL())
	assert.NilError(t, err)
	go func() {
		for e.Record().Resumed == 0 && t.Context().Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		e.Release()
	}()
	var text bytes.Buffer
	c := &wire.Call{Kind: wire.KindGenerate, Input: []byte(`{"body":{"prompt":"a b c","max_tokens":6}}`)}
	_, err = h.Run(withSendCheck(t.Context(), check), c, func(b []byte) error {
		text.Write(b)
		return nil
	})
	return text.String(), err
}

// TestSilentStreamGoesOn guards against a stream that ends, loses a token or gets one
// twice because its engine was silent.
func TestSilentStreamGoesOn(t *testing.T) {
	text, err := runSilentEngine(t, func() error { return nil })
	assert.NilError(t, err)
	assert.Equal(t, text, fakes.Text("a b c", 6))
}

// TestStreamResumesAfterPause guards against a stream that fails because its process was
// paused: it is no new work, so the configuration need not be confirmed first.
func TestStreamResumesAfterPause(t *testing.T) {
	sends := 0
	text, err := runSilentEngine(t, func() error {
		if sends++; sends > 1 {
			return &UpstreamError{Err: errStaleConfig}
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, text, fakes.Text("a b c", 6))
}

// TestSilentServiceGetsLargeCall guards against a call that fails because the upstream
// was silent while the call's body filled the buffers of the connection.
func TestSilentServiceGetsLargeCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	served := make(chan error, 1)
	body := []byte(`"` + strings.Repeat("x", 3<<20) + `"`)
	go func() {
		served <- func() error {
			c, err := ln.Accept()
			if err != nil {
				return err
			}
			defer func() { _ = c.Close() }()
			time.Sleep(soundSilence)
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return err
			}
			if n, err := io.Copy(io.Discard, req.Body); err != nil || n != int64(len(body)) {
				return errors.Join(err, errors.New("body incomplete"))
			}
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n\"done\"")
			return err
		}()
	}()
	h, err := NewHTTP(wire.KindPlain, "http://"+ln.Addr().String())
	assert.NilError(t, err)
	ans, err := h.Run(t.Context(), &wire.Call{Kind: wire.KindPlain, Once: true, Token: "u:a:1", Input: body}, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(ans.Output), `"done"`)
	assert.NilError(t, <-served)
}
