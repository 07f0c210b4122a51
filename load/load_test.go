package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

const answerJSON = `{"request":"r","output":"o","stages":[{"stage":"s","attempt":2,"millis":4,` +
	`"cost":{"input":10,"cached":4,"output":3,"calls":1,"busy":500}}]}`

const refusalJSON = `{"request":"r","reason":"queue","team":"t","executed":"none","retry":5}`

// router answers each pipeline in the way that its name says.
func router(t *testing.T) (addr string, reserved *atomic.Int64) {
	t.Helper()
	reserved = new(atomic.Int64)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{name}/reservations", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"token":"u:i:%d"}`, reserved.Add(1))
	})
	mux.HandleFunc("POST /v1/pipelines/{name}", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" || r.Header.Get("Deadline-Ms") == "" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		io.Copy(io.Discard, r.Body)
		switch r.PathValue("name") {
		case "plain":
			io.WriteString(w, answerJSON)
		case "once":
			if r.Header.Get("Reservation") == "" {
				w.WriteHeader(http.StatusPreconditionRequired)
			}
			io.WriteString(w, answerJSON)
		case "refused":
			w.WriteHeader(http.StatusServiceUnavailable)
			io.WriteString(w, refusalJSON)
		case "broken":
			io.WriteString(w, "{")
		case "lost":
			panic(http.ErrAbortHandler)
		case "stream":
			events(w, "event: chunk\ndata: {\"text\":\"a\"}\n\n", "event: answer\ndata: "+answerJSON+"\n\n")
		case "late":
			events(w, "event: chunk\ndata: {\"text\":\"a\"}\n\n", "event: refusal\ndata: "+refusalJSON+"\n\n")
		case "cut":
			events(w, "event: chunk\ndata: {\"text\":\"a\"}\n\n")
		}
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), reserved
}

func events(w http.ResponseWriter, all ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, e := range all {
		io.WriteString(w, e)
		w.(http.Flusher).Flush()
	}
}

func config(routers ...string) Config {
	return Config{
		Routers: routers, Keys: []string{"secret"}, Duration: 20 * time.Millisecond, Deadline: time.Minute,
		PromptWords: 8, SharedWords: 4, MaxTokens: 4, Seed: 3,
	}
}

// Guards against an answer, refusal or failure that is counted as something else.
func TestRun(t *testing.T) {
	for _, tt := range []struct {
		name                      string
		answered, refused, failed int // 1: all requests
		first                     bool
		failure                   string
	}{
		{name: "plain", answered: 1},
		{name: "once", answered: 1},
		{name: "refused", refused: 1},
		{name: "broken", failed: 1, failure: "malformed"},
		{name: "lost", failed: 1, failure: "connection"},
		{name: "stream", answered: 1, first: true},
		{name: "late", refused: 1},
		{name: "cut", failed: 1, failure: "connection"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, reserved := router(t)
			cfg := config(addr)
			cfg.Rates = []Rate{{wire.PipelineID(tt.name), 1000}}
			cfg.AtMostOnce = []wire.PipelineID{"once"}
			cfg.Stream = tt.first
			r, err := Run(t.Context(), cfg)
			assert.NilError(t, err)
			n := 0
			for s := newSchedule(&cfg); ; n++ {
				if _, ok := s.next(); !ok {
					break
				}
			}
			assert.Equal(t, r.Sent, n)
			assert.DeepEqual(t, []int{r.Answered, r.Refused, r.Failed}, []int{tt.answered * n, tt.refused * n, tt.failed * n})
			assert.Equal(t, r.Attained, r.Answered)
			assert.Equal(t, r.Errors[tt.failure], tt.failed*n)
			assert.Equal(t, r.FirstChunk.Count > 0, tt.first)
			assert.Equal(t, reserved.Load() > 0, tt.name == "once")
			if tt.answered > 0 {
				assert.DeepEqual(t, r.Stages[0].Cost, wire.Cost{
					Input: wire.Tokens(10 * n), Cached: wire.Tokens(4 * n), Output: wire.Tokens(3 * n), Calls: n, Busy: wire.Micros(500 * n),
				})
				assert.Equal(t, r.Stages[0].Retried, n)
			}
			if tt.refused > 0 {
				assert.DeepEqual(t, r.Refusals, []RefusalCount{{wire.PipelineID(tt.name), "t", "queue", "none", n}})
			}
			assert.NilError(t, r.WriteText(io.Discard))
		})
	}
}

// Guards against a resend that stays with a router that is gone.
func TestResend(t *testing.T) {
	addr, _ := router(t)
	gone := httptest.NewServer(nil)
	gone.Close()
	cfg := config(strings.TrimPrefix(gone.URL, "http://"), addr)
	cfg.Rates = []Rate{{"plain", 1000}}
	cfg.MaxResends = 1
	r, err := Run(t.Context(), cfg)
	assert.NilError(t, err)
	assert.Equal(t, r.Answered, r.Due)
	assert.Assert(t, r.Resent > 0 && r.Resent < r.Sent)
}

func TestSchedule(t *testing.T) {
	cfg := config("")
	cfg.Rates = []Rate{{"a", 30}, {"b", 10}}
	cfg.Duration = 100 * time.Second
	list := func() (as []arrival) {
		s := newSchedule(&cfg)
		for a, ok := s.next(); ok; a, ok = s.next() {
			as = append(as, a)
		}
		return as
	}
	first := list()
	assert.Assert(t, math.Abs(float64(len(first))-4000) < 200, "%d", len(first))
	assert.Assert(t, slices.Equal(first, list()))
	n := 0
	for _, a := range first {
		if a.pipeline == "a" {
			n++
		}
	}
	assert.Assert(t, math.Abs(float64(n)-3000) < 200, "%d", n)
	assert.Equal(t, len(strings.Fields(first[0].prompt)), cfg.PromptWords)
}

// Guards against attainment that leaves out late, failed or unsent requests.
func TestAttainment(t *testing.T) {
	cfg := config("")
	cfg.Rates, cfg.Duration, cfg.Deadline = []Rate{{"a", 1}}, 2*time.Second, time.Second
	ta := newCollector(&cfg)
	at := func(d time.Duration) arrival { return arrival{offset: d, pipeline: "a"} }
	ta.add(outcome{arrival: at(0), answer: &Answer{}, latency: time.Second})
	ta.add(outcome{arrival: at(0), answer: &Answer{}, latency: time.Second + 1})
	ta.add(outcome{arrival: at(time.Second), err: errors.New("closed")})
	ta.shed(at(time.Second))
	r := ta.report()
	assert.Equal(t, r.Attainment, 0.25)
	assert.Equal(t, r.PerSecond[0].Attainment, 0.5)
	assert.Equal(t, r.WorstSecond, 0.0)
	data, err := json.Marshal(r)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), `"attainment":0.25`))
}

func TestParseRate(t *testing.T) {
	for in, ok := range map[string]bool{"a=1.5": true, "a": false, "=1": false, "a=0": false, "a=-1": false, "a=NaN": false, "a=Inf": false} {
		_, err := ParseRate(in)
		assert.Equal(t, err == nil, ok, in)
	}
}
