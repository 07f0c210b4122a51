package proc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v3"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// operatorHash is the SHA-256 hash of the credential "operator".
const operatorHash = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"

// logLines collects log lines and lets a test wait for one.
type logLines struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	written chan struct{}
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() {
		select {
		case l.written <- struct{}{}:
		default:
		}
	}()
	return l.buf.Write(b)
}

// waitFor waits for a line with the message and returns the first one.
func (l *logLines) waitFor(t *testing.T, msg string) map[string]any {
	t.Helper()
	for {
		l.mu.Lock()
		text := l.buf.String()
		l.mu.Unlock()
		for line := range strings.Lines(text) {
			fields := map[string]any{}
			assert.NilError(t, json.Unmarshal([]byte(line), &fields), "%s", line)
			if fields["msg"] == msg {
				return fields
			}
		}
		select {
		case <-l.written:
		case <-t.Context().Done():
			t.Fatalf("no log line with message %q in %s", msg, text)
		}
	}
}

// testProcess is a process with captured log lines and simulated signals.
type testProcess struct {
	*Process
	out     *logLines
	signals chan os.Signal
	ended   chan error // receives the error of Run
}

func newTestProcess(t *testing.T, drainTimeout time.Duration) *testProcess {
	t.Helper()
	tp := &testProcess{out: &logLines{written: make(chan struct{}, 1)}, signals: make(chan os.Signal, 4), ended: make(chan error, 1)}
	p, err := New(Config{
		Name: "r1", Role: "router", LogLevel: "info", AdminAddr: "127.0.0.1:0", CredentialHash: operatorHash,
		DrainTimeout: drainTimeout, LogOutput: tp.out, Signals: tp.signals,
	})
	assert.NilError(t, err)
	tp.Process = p
	return tp
}

func (tp *testProcess) start(t *testing.T) {
	go func() { tp.ended <- tp.Run(t.Context()) }()
	tp.out.waitFor(t, "process started")
}

func (tp *testProcess) get(t *testing.T, path, authorization string) (code int, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+tp.Addr().String()+path, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", authorization)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(text)
}

// TestAdmin guards against administration routes that need no credential and
// against wrong status codes.
func TestAdmin(t *testing.T) {
	tp := newTestProcess(t, time.Second)
	tp.AddDumper("accounts", DumpFunc(func() any { return map[string]int{"rows": 3} }))
	tp.AddDumper("broken", DumpFunc(func() any { panic("no state") }))
	tp.AddReady("configuration", func() error { return errors.New("none read") })
	tp.Admin().Get("/own", func(c fiber.Ctx) error { return c.SendString("mine") })
	tp.start(t)
	const authorized = "Bearer operator"
	for name, c := range map[string]struct {
		path, auth string
		code       int
		want       string
	}{
		"health":         {"/healthz", "", 200, `"ok"`},
		"readiness":      {"/readyz", "", 503, "none read"},
		"no credential":  {"/state", "", 401, "credential"},
		"wrong":          {"/metrics", "Bearer other", 401, "credential"},
		"the hash":       {"/state", "Bearer " + operatorHash, 401, "credential"},
		"other scheme":   {"/state", "Basic operator", 401, "credential"},
		"added, refused": {"/own", "", 401, "credential"},
		"added":          {"/own", authorized, 200, "mine"},
		"no such route":  {"/none", "", 401, "credential"},
		"unknown route":  {"/none", authorized, 404, "error"},
		"state":          {"/state", authorized, 200, `"accounts":{"rows":3}`},
		"broken state":   {"/state", authorized, 200, `no state`},
		"metrics":        {"/metrics", authorized, 200, "go_goroutines"},
	} {
		t.Run(name, func(t *testing.T) {
			code, body := tp.get(t, c.path, c.auth)
			assert.Equal(t, code, c.code)
			assert.Assert(t, strings.Contains(body, c.want), "%s", body)
		})
	}
	tp.out.waitFor(t, "administration request refused")
	tp.Stop()
	assert.NilError(t, <-tp.ended)
}

// TestSignals guards against a drain that runs twice, ends early or leaves the
// process ready, and against a dump that stops the process.
func TestSignals(t *testing.T) {
	tp := newTestProcess(t, time.Minute)
	var order []string
	release := make(chan struct{})
	tp.OnDrain("goodbye", func(context.Context) error {
		<-release
		order = append(order, "goodbye")
		return nil
	})
	tp.OnDrain("finish", func(context.Context) error {
		order = append(order, "finish")
		return nil
	})
	tp.Go("control", func(ctx context.Context) error {
		<-ctx.Done()
		order = append(order, "control")
		return ctx.Err()
	})
	tp.start(t)
	tp.signals <- syscall.SIGUSR1
	state := tp.out.waitFor(t, "state dump")["state"].(map[string]any)
	assert.Equal(t, state["process"].(map[string]any)["draining"], false)

	tp.signals <- syscall.SIGTERM
	tp.out.waitFor(t, "drain started")
	tp.signals <- syscall.SIGTERM
	tp.out.waitFor(t, "signal ignored during the drain")
	code, _ := tp.get(t, "/readyz", "")
	assert.Equal(t, code, 503)
	close(release)
	assert.NilError(t, <-tp.ended)
	assert.DeepEqual(t, order, []string{"goodbye", "finish", "control"})
}

// TestDrainTimeout guards against a drain that never ends or hides the failure of a
// step.
func TestDrainTimeout(t *testing.T) {
	block := make(chan struct{})
	for name, c := range map[string]struct {
		step func(context.Context) error
		want string
	}{
		"step fails":      {func(context.Context) error { return errors.New("no peer") }, "drain step goodbye: no peer"},
		"step panics":     {func(context.Context) error { panic("no peer") }, "no peer"},
		"step is slow":    {func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, "deadline exceeded"},
		"step never ends": {func(context.Context) error { <-block; return nil }, "did not end before the deadline"},
	} {
		t.Run(name, func(t *testing.T) {
			tp := newTestProcess(t, time.Millisecond)
			tp.stopTimeout = 100 * time.Millisecond
			tp.OnDrain("goodbye", c.step)
			tp.start(t)
			tp.Stop()
			assert.ErrorContains(t, <-tp.ended, c.want)
		})
	}
	close(block)
}

// TestGoFails guards against a process that runs on after one of its goroutines has
// panicked.
func TestGoFails(t *testing.T) {
	tp := newTestProcess(t, time.Second)
	tp.Go("control", func(context.Context) error { panic("broken") })
	assert.ErrorContains(t, tp.Run(t.Context()), "goroutine control: panic: broken")
}

// TestNewRefused guards against a process that starts with an invalid
// configuration, and against errors that don't name the cause.
func TestNewRefused(t *testing.T) {
	for name, c := range map[string]struct {
		cfg  Config
		want string
	}{
		"level":  {Config{LogLevel: "loud", CredentialHash: operatorHash, AdminAddr: "127.0.0.1:0"}, "debug, info"},
		"secret": {Config{LogLevel: "info", CredentialHash: operatorHash + "00", AdminAddr: "127.0.0.1:0"}, "64 hexadecimal"},
		"admin":  {Config{LogLevel: "info", CredentialHash: operatorHash, AdminAddr: "127.0.0.1:99999"}, "99999"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := New(c.cfg)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// TestMetrics guards against values missing from the exposition and against an
// unbounded number of series.
func TestMetrics(t *testing.T) {
	l, err := NewLogger(io.Discard, log.ErrorLevel.String())
	assert.NilError(t, err)
	m := newMetrics(l)
	limiter := NewLabelLimiter(maxSeries)
	for i := range maxSeries + 10 {
		m.scope.Tagged(map[string]string{"team": limiter.Value(strings.Repeat("x", i%100) + string(rune('a'+i/100)))}).Counter("refusals").Inc(1)
	}
	m.scope.Histogram("wait", tally.DurationBuckets{time.Second}).RecordDuration(time.Minute)
	assert.NilError(t, m.close())
	families, err := m.registry.Gather()
	assert.NilError(t, err)
	count := 0
	for _, f := range families {
		if f.GetName() == "hornbeamcove_refusals" {
			count = len(f.GetMetric())
		}
	}
	assert.Assert(t, count >= maxSeries-1 && count <= maxSeries, "%d", count)
	assert.Equal(t, m.series.stats().Count, maxSeries)
	assert.Assert(t, m.series.stats().Dropped > 0)
	assert.Equal(t, NewLabelLimiter(0).Value("a"), Other)
}
