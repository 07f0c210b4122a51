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

// secret is the SHA-256 hash of "operator".
const secret = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"

// lines collects log lines and lets a test wait for one.
type lines struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	more chan struct{}
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() {
		select {
		case l.more <- struct{}{}:
		default:
		}
	}()
	return l.buf.Write(b)
}

// await returns the first line with the message.
func (l *lines) await(t *testing.T, msg string) map[string]any {
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
		case <-l.more:
		case <-t.Context().Done():
			t.Fatalf("no line %q in %s", msg, text)
		}
	}
}

type bench struct {
	*Process
	out     *lines
	signals chan os.Signal
	ended   chan error
}

func setup(t *testing.T, drain time.Duration) *bench {
	t.Helper()
	b := &bench{out: &lines{more: make(chan struct{}, 1)}, signals: make(chan os.Signal, 4), ended: make(chan error, 1)}
	p, err := New(Config{
		Name: "r1", Role: "router", LogLevel: "info", AdminAddr: "127.0.0.1:0", CredentialHash: secret,
		DrainTimeout: drain, LogOutput: b.out, Signals: b.signals,
	})
	assert.NilError(t, err)
	b.Process = p
	return b
}

func (b *bench) start(t *testing.T) {
	go func() { b.ended <- b.Run(t.Context()) }()
	b.out.await(t, "process started")
}

func (b *bench) get(t *testing.T, path, auth string) (code int, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+b.Addr().String()+path, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", auth)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(text)
}

// TestAdmin guards against an open administration route and a wrong status.
func TestAdmin(t *testing.T) {
	b := setup(t, time.Second)
	b.AddDumper("accounts", DumpFunc(func() any { return map[string]int{"rows": 3} }))
	b.AddDumper("broken", DumpFunc(func() any { panic("no state") }))
	b.AddReady("configuration", func() error { return errors.New("none read") })
	b.Admin().Get("/own", func(c fiber.Ctx) error { return c.SendString("mine") })
	b.start(t)
	const right = "Bearer operator"
	for name, c := range map[string]struct {
		path, auth string
		code       int
		want       string
	}{
		"health":         {"/healthz", "", 200, `"ok"`},
		"readiness":      {"/readyz", "", 503, "none read"},
		"no credential":  {"/state", "", 401, "credential"},
		"wrong":          {"/metrics", "Bearer other", 401, "credential"},
		"the hash":       {"/state", "Bearer " + secret, 401, "credential"},
		"other scheme":   {"/state", "Basic operator", 401, "credential"},
		"added, refused": {"/own", "", 401, "credential"},
		"added":          {"/own", right, 200, "mine"},
		"no such route":  {"/none", "", 401, "credential"},
		"unknown route":  {"/none", right, 404, "error"},
		"state":          {"/state", right, 200, `"accounts":{"rows":3}`},
		"broken state":   {"/state", right, 200, `no state`},
		"metrics":        {"/metrics", right, 200, "go_goroutines"},
	} {
		t.Run(name, func(t *testing.T) {
			code, body := b.get(t, c.path, c.auth)
			assert.Equal(t, code, c.code)
			assert.Assert(t, strings.Contains(body, c.want), "%s", body)
		})
	}
	b.out.await(t, "administration request refused")
	b.Stop()
	assert.NilError(t, <-b.ended)
}

// TestSignals guards against a drain that runs twice, ends early or leaves the
// process ready, and against a dump that stops the process.
func TestSignals(t *testing.T) {
	b := setup(t, time.Minute)
	var order []string
	release := make(chan struct{})
	b.OnDrain("goodbye", func(context.Context) error {
		<-release
		order = append(order, "goodbye")
		return nil
	})
	b.OnDrain("finish", func(context.Context) error {
		order = append(order, "finish")
		return nil
	})
	b.Go("control", func(ctx context.Context) error {
		<-ctx.Done()
		order = append(order, "control")
		return ctx.Err()
	})
	b.start(t)
	b.signals <- syscall.SIGUSR1
	state := b.out.await(t, "state dump")["state"].(map[string]any)
	assert.Equal(t, state["process"].(map[string]any)["draining"], false)

	b.signals <- syscall.SIGTERM
	b.out.await(t, "drain started")
	b.signals <- syscall.SIGTERM
	b.out.await(t, "signal ignored during the drain")
	code, _ := b.get(t, "/readyz", "")
	assert.Equal(t, code, 503)
	close(release)
	assert.NilError(t, <-b.ended)
	assert.DeepEqual(t, order, []string{"goodbye", "finish", "control"})
}

// TestDrainBound guards against a drain without end.
func TestDrainBound(t *testing.T) {
	block := make(chan struct{})
	for name, c := range map[string]struct {
		step func(context.Context) error
		want string
	}{
		"step fails":      {func(context.Context) error { return errors.New("no peer") }, "drain step goodbye: no peer"},
		"step panics":     {func(context.Context) error { panic("no peer") }, "no peer"},
		"step is slow":    {func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, "deadline exceeded"},
		"step never ends": {func(context.Context) error { <-block; return nil }, "did not end at the bound"},
	} {
		t.Run(name, func(t *testing.T) {
			b := setup(t, time.Millisecond)
			b.stopTimeout = 100 * time.Millisecond
			b.OnDrain("goodbye", c.step)
			b.start(t)
			b.Stop()
			assert.ErrorContains(t, <-b.ended, c.want)
		})
	}
	close(block)
}

// TestGoFails guards against a process that runs on without its control goroutine.
func TestGoFails(t *testing.T) {
	b := setup(t, time.Second)
	b.Go("control", func(context.Context) error { panic("broken") })
	assert.ErrorContains(t, b.Run(t.Context()), "goroutine control: panic: broken")
}

func TestNewRefused(t *testing.T) {
	for name, c := range map[string]struct {
		cfg  Config
		want string
	}{
		"level":  {Config{LogLevel: "loud", CredentialHash: secret, AdminAddr: "127.0.0.1:0"}, "debug, info"},
		"secret": {Config{LogLevel: "info", CredentialHash: secret + "00", AdminAddr: "127.0.0.1:0"}, "64 hexadecimal"},
		"admin":  {Config{LogLevel: "info", CredentialHash: secret, AdminAddr: "127.0.0.1:99999"}, "99999"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := New(c.cfg)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// TestMetrics guards against values missing from the exposition and against
// series without bound.
func TestMetrics(t *testing.T) {
	l, err := NewLogger(io.Discard, log.ErrorLevel.String())
	assert.NilError(t, err)
	m := newMetrics(l)
	label := NewLabelLimiter(maxSeries)
	for i := range maxSeries + 10 {
		m.scope.Tagged(map[string]string{"team": label.Value(strings.Repeat("x", i%100) + string(rune('a'+i/100)))}).Counter("refusals").Inc(1)
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
