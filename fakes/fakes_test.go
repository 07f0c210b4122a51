package fakes

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// standIn is the part of a stand-in that start needs.
type standIn interface {
	Start(ctx context.Context, addr string) error
	URL() string
	Close()
}

// start starts a stand-in and closes it at the end of the test.
func start[T standIn](t *testing.T, s T) T {
	t.Helper()
	assert.NilError(t, s.Start(t.Context(), ""))
	t.Cleanup(s.Close)
	return s
}

// testClock is a clock that stands still except when a test calls advance.
type testClock struct{ nanos atomic.Int64 }

func (c *testClock) now() time.Time          { return time.Unix(1000, c.nanos.Load()) }
func (c *testClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

// client opens a connection for each call, so that no call reuses one that a crash has
// reset.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}

type httpResponse struct {
	status int
	header http.Header
	body   string
}

// send sends a call with the given Call-Key, if any, and returns the response.
func send(method, url, key, body string) (httpResponse, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return httpResponse{}, err
	}
	if key != "" {
		req.Header.Set("Call-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return httpResponse{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return httpResponse{resp.StatusCode, resp.Header, string(data)}, err
}

// mustSend is like send and fails the test on an error or another status.
func mustSend(t *testing.T, method, url, key, body string, status int) httpResponse {
	t.Helper()
	resp, err := send(method, url, key, body)
	assert.NilError(t, err)
	assert.Equal(t, resp.status, status, resp.body)
	return resp
}

// sendInBackground sends a call in a goroutine. The channel receives its error.
func sendInBackground(method, url, key, body string) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := send(method, url, key, body)
		done <- err
	}()
	return done
}

// eventually waits until condition holds; what describes it in the failure message.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
}

// completionBody returns the body of a request for n tokens.
func completionBody(text string, n int) string {
	return fmt.Sprintf(`{"prompt":%q,"max_tokens":%d}`, text, n)
}

// streamBody returns the body of a request for a stream of n tokens.
func streamBody(text string, n int) string {
	return fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, text, n)
}

// readEvents reads server-sent events until n have arrived or the stream ends. It reports
// whether the [DONE] event arrived.
func readEvents(t *testing.T, body io.Reader, n int) (got []completionResponse, done bool) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for len(got) < n && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return got, true
		}
		var event completionResponse
		assert.NilError(t, json.Unmarshal([]byte(data), &event))
		got = append(got, event)
	}
	return got, false
}

// joinText returns the concatenated texts of all choices.
func joinText(responses []completionResponse) string {
	var b strings.Builder
	for _, r := range responses {
		for _, c := range r.Choices {
			b.WriteString(c.Text)
		}
	}
	return b.String()
}
