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

type standIn interface {
	Start(ctx context.Context, addr string) error
	URL() string
	Close()
}

func start[T standIn](t *testing.T, s T) T {
	t.Helper()
	assert.NilError(t, s.Start(t.Context(), ""))
	t.Cleanup(s.Close)
	return s
}

// testClock is a clock that tests advance by hand.
type testClock struct{ nanos atomic.Int64 }

func (c *testClock) now() time.Time          { return time.Unix(1000, c.nanos.Load()) }
func (c *testClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

// client opens a connection for each call, so that no test reuses one that a crash reset.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}

type answer struct {
	status int
	header http.Header
	body   string
}

func send(method, url, key, body string) (answer, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if key != "" {
		req.Header.Set("Call-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data)}, err
}

func mustSend(t *testing.T, method, url, key, body string, status int) answer {
	t.Helper()
	a, err := send(method, url, key, body)
	assert.NilError(t, err)
	assert.Equal(t, a.status, status, a.body)
	return a
}

// inBackground sends a call whose answer a test reads later or not at all.
func inBackground(method, url, key, body string) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := send(method, url, key, body)
		done <- err
	}()
	return done
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
}

func prompt(text string, n int) string {
	return fmt.Sprintf(`{"prompt":%q,"max_tokens":%d}`, text, n)
}

func streamed(text string, n int) string {
	return fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, text, n)
}

// events reads server-sent events until n have arrived or the stream has ended.
func events(t *testing.T, body io.Reader, n int) (got []completionResponse, done bool) {
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
		var a completionResponse
		assert.NilError(t, json.Unmarshal([]byte(data), &a))
		got = append(got, a)
	}
	return got, false
}

func text(as []completionResponse) string {
	var b strings.Builder
	for _, a := range as {
		for _, c := range a.Choices {
			b.WriteString(c.Text)
		}
	}
	return b.String()
}
