package site

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testTimeout bounds the waits of the tests for events that come at once on any host.
const testTimeout = 20 * time.Second

// newReplica starts a replica that handles all requests with act.
func newReplica(t *testing.T, act Action, events int, pause time.Duration) *Replica {
	t.Helper()
	s, err := New()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	p := &Replica{ID: "e0", Service: "engine", Events: events, Pause: pause, Act: func(*http.Request) Action { return act }}
	assert.NilError(t, s.Add(p))
	return p
}

// send sends a request to a replica and returns the answer's head.
func send(ctx context.Context, p *Replica, path, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(HeaderID, "q1")
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

// call sends a request and returns the whole body of the answer.
func call(ctx context.Context, p *Replica, path, body string) (string, error) {
	resp, err := send(ctx, p, path, body)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

const (
	stagePath = "/stage-run"
	stageCall = `{"items":[{"id":"q1","stage":0,"piece":1,"key":"k"}]}`
)

// answers are the kinds of answers of a replica.
var answers = []struct {
	name, path, body string
	events           int
	want             string // a part of the answer behind its middle
}{
	{"plain", "/safe/1", "b", 0, Body("/safe/1")[5:]},
	{"stream", "/resume/1", "b", 4, Event("/resume/1", 4)},
	{"stage", stagePath, stageCall, 0, `-1"}]}`},
}

// TestPauses guards against pauses that come at another place of the answer, or after which it
// does not go on.
func TestPauses(t *testing.T) {
	for _, a := range answers {
		t.Run(a.name, func(t *testing.T) {
			for _, act := range []Action{PauseBeforeHead, PauseWithin} {
				const pause = 30 * time.Millisecond
				began := time.Now()
				answer, err := call(t.Context(), newReplica(t, act, a.events, pause), a.path, a.body)
				assert.NilError(t, err)
				assert.Assert(t, strings.Contains(answer, a.want), answer)
				assert.Assert(t, time.Since(began) >= pause)
			}

			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := send(ctx, newReplica(t, PauseBeforeHead, a.events, time.Hour), a.path, a.body)
			assert.ErrorIs(t, err, context.DeadlineExceeded)

			ctx, cancel = context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			resp, err := send(ctx, newReplica(t, PauseWithin, a.events, time.Hour), a.path, a.body)
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadFull(resp.Body, make([]byte, len(a.want)/2))
			assert.NilError(t, err)
		})
	}
}

// TestSilence guards against a silent replica that sends something, closes its connections, or
// loses requests or answers.
func TestSilence(t *testing.T) {
	for _, a := range answers {
		t.Run(a.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			p := newReplica(t, Serve, a.events, 0)
			ends := []func(){p.BeginSilence(), p.BeginSilence()}
			began := time.Now()
			silent := make(chan error, 1)
			var answer string
			var answered time.Time
			go func() {
				var err error
				answer, err = call(ctx, p, a.path, a.body)
				answered = time.Now()
				silent <- err
			}()
			waitFor(t, "the request was not read", time.Millisecond, func() bool { return len(p.Arrivals()) > 0 })
			ends[0]()
			p.FallSilent(50 * time.Millisecond)
			ends[1]()
			assert.NilError(t, <-silent)
			assert.Assert(t, strings.Contains(answer, a.want), answer)
			assert.Assert(t, answered.Sub(began) >= 50*time.Millisecond, "the answer came during the silence")
		})
	}
}

// TestSilenceStream guards against a silence that holds back only answers that have not begun.
func TestSilenceStream(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	p := newReplica(t, Serve, 1_000_000, 0)
	p.ServiceTime = time.Millisecond
	resp, err := send(ctx, p, "/resume/1", "b")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var received atomic.Int64
	go func() { _, _ = io.Copy(countingWriter{&received}, resp.Body) }()

	end := p.BeginSilence()
	last := received.Load()
	waitFor(t, "the stream goes on in the silence", 200*time.Millisecond, func() bool {
		before := last
		last = received.Load()
		return last == before
	})
	end()
	waitFor(t, "the stream does not go on after the silence", time.Millisecond, func() bool { return received.Load() > last })
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ n *atomic.Int64 }

func (w countingWriter) Write(b []byte) (int, error) {
	w.n.Add(int64(len(b)))
	return len(b), nil
}

// TestSilenceCaller guards against work that goes on until the end of a silence although the
// caller has closed its connection.
func TestSilenceCaller(t *testing.T) {
	p := newReplica(t, Serve, 1, 0)
	defer p.BeginSilence()()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	gone := make(chan error, 1)
	go func() {
		_, err := call(ctx, p, "/resume/1", "b")
		gone <- err
	}()
	waitFor(t, "the request was not read", time.Millisecond, func() bool { return len(p.Site.Runs()) > 0 })
	cancel()
	assert.ErrorIs(t, <-gone, context.Canceled)
	waitFor(t, "the run goes on", time.Millisecond, func() bool { return !p.Site.Runs()[0].Ended.IsZero() })
}

// waitFor checks a condition at intervals until it holds. It fails after testTimeout.
func waitFor(t *testing.T, otherwise string, interval time.Duration, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !holds() {
			return poll.Continue("%s", otherwise)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(interval))
}

// TestManyCacheEvents guards against a replica that blocks for good because it answers a call for its
// cache events, which fill more than a buffer.
func TestManyCacheEvents(t *testing.T) {
	p := newReplica(t, Serve, 1, 0)
	p.mu.Lock()
	for range 5000 {
		p.reads = append(p.reads, "part")
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	body, err := call(ctx, p, "/kv-events", "")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(body, "part"), 5000)
}
