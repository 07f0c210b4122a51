package plat

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// rawTicket returns a ticket that deletes a team.
func rawTicket(index uint64) RawTicket {
	return RawTicket{index, fmt.Appendf(nil, `{"number": %d, "objects": [{"kind": "team", "name": "a", "deleted": true}]}`, index)}
}

// scriptedSource answers each read with its next result and then blocks.
type scriptedSource struct {
	results []readResult
	afters  []uint64
}

type readResult struct {
	page Page
	err  error
}

func (s *scriptedSource) Tickets(ctx context.Context, after uint64, _ time.Duration) (Page, error) {
	s.afters = append(s.afters, after)
	if len(s.afters) > len(s.results) {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	result := s.results[len(s.afters)-1]
	return result.page, result.err
}

// TestWatcher guards against missed tickets, a watcher that stops reading, and a
// wrong state while the service is down, stale or limits the rate.
func TestWatcher(t *testing.T) {
	down, rateLimited := errors.New("refused"), &StatusError{Code: 429, RetryAfter: 3 * time.Second}
	invalid := RawTicket{6, []byte(`{"number": 6}`)}
	for name, c := range map[string]struct {
		results      []readResult
		wantAfters   []uint64
		wantIndexes  []uint64
		wantState    State
		wantCounters Counters
	}{
		"up":              {[]readResult{{page: Page{5, []RawTicket{rawTicket(2), rawTicket(5)}}}}, []uint64{0, 5}, []uint64{2, 5}, StateUp, Counters{Reads: 1, Tickets: 2}},
		"incomplete page": {[]readResult{{page: Page{9, []RawTicket{rawTicket(2)}}}}, []uint64{0, 2}, []uint64{2}, StateUp, Counters{Reads: 1, Tickets: 1}},
		"down": {
			[]readResult{{page: Page{Index: 5}}, {err: down}, {err: down}},
			[]uint64{0, 5, 5, 5},
			nil, StateDown,
			Counters{Reads: 1, Failures: 2},
		},
		"limited": {[]readResult{{err: rateLimited}}, []uint64{0, 0}, nil, StateStale, Counters{RateLimited: 1}},
		"backwards": {
			[]readResult{{page: Page{Index: 5}}, {page: Page{3, []RawTicket{rawTicket(3)}}}},
			[]uint64{0, 5, 3},
			[]uint64{3},
			StateStale,
			Counters{Reads: 2, IndexRegressions: 1, Tickets: 1},
		},
		"forwards again": {
			[]readResult{{page: Page{Index: 5}}, {page: Page{Index: 3}}, {err: down}, {page: Page{6, []RawTicket{rawTicket(4), rawTicket(6)}}}},
			[]uint64{0, 5, 3, 3, 6},
			[]uint64{4, 6},
			StateUp,
			Counters{Reads: 3, Failures: 1, IndexRegressions: 1, Tickets: 2},
		},
		"invalid ticket": {[]readResult{{page: Page{7, []RawTicket{invalid, rawTicket(7)}}}}, []uint64{0, 7}, []uint64{7}, StateUp, Counters{Reads: 1, Tickets: 1, Invalid: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				src := &scriptedSource{results: c.results}
				var got []uint64
				w := NewWatcher(src, func(es []Entry) {
					for _, e := range es {
						if e.Invalid == nil {
							got = append(got, e.Index)
						}
					}
				}, WithRand(rand.New(rand.NewPCG(1, 2))))
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				assert.ErrorIs(t, w.Run(ctx), context.DeadlineExceeded)
				assert.DeepEqual(t, src.afters, c.wantAfters)
				assert.DeepEqual(t, got, c.wantIndexes)
				assert.Equal(t, w.Status().State, c.wantState)
				assert.Equal(t, w.Status().Counters, c.wantCounters)
			})
		})
	}
}

// TestBackoff guards against reads in a burst and against unbounded delays.
func TestBackoff(t *testing.T) {
	w := NewWatcher(nil, nil, WithRand(rand.New(rand.NewPCG(1, 2))))
	for failures := 1; failures < 100; failures++ {
		pause := w.backoff(failures)
		assert.Assert(t, pause > 0 && pause <= maxBackoff)
		assert.Assert(t, failures > 6 || pause <= backoffBase<<(failures-1))
	}
}

// newTestClient returns a client of a server with the handler h.
func newTestClient(t *testing.T, h fasthttp.RequestHandler) *Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &fasthttp.Server{Handler: h}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	c := NewClient("http://" + ln.Addr().String())
	t.Cleanup(func() {
		c.Close()
		assert.NilError(t, srv.Shutdown())
		assert.NilError(t, <-done)
	})
	return c
}

// TestClient guards against requests that differ from the protocol and responses
// that are misread.
func TestClient(t *testing.T) {
	c := newTestClient(t, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.RequestURI()) {
		case "/v1/tickets?after=4&wait=1500":
			ctx.SetBodyString(`{"index": 9, "tickets": [{"index": 5, "ticket": {"number": 1}}]}`)
		case "/v1/hosts":
			ctx.SetBodyString(`{"hosts": [{"name": "r1", "role": "router", "state": "live"}, {"name": "r2", "state": "gone"}]}`)
		default:
			ctx.Response.Header.Set("Retry-After", "2")
			ctx.SetStatusCode(429)
		}
	})
	p, err := c.Tickets(t.Context(), 4, 1500*time.Millisecond)
	assert.NilError(t, err)
	assert.DeepEqual(t, p, Page{9, []RawTicket{{5, []byte(`{"number": 1}`)}}})

	hosts, dropped, err := c.Hosts(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, hosts, []Host{{Name: "r1", Role: "router", State: HostLive}})
	assert.Equal(t, dropped, 1)

	_, err = c.Tickets(t.Context(), 5, 0)
	var status *StatusError
	assert.Assert(t, errors.As(err, &status))
	assert.Assert(t, status.IsRateLimited() && status.RetryAfter == 2*time.Second)
}

// TestOddHost guards against a host list that is not followed because of one odd entry.
func TestOddHost(t *testing.T) {
	const good = `{"name": "r1", "role": "router", "address": "10.0.0.1:80", "state": "live"}`
	for name, odd := range map[string]string{
		"deeply nested":     strings.Repeat(`[{"a":`, 1<<16) + "1" + strings.Repeat("}]", 1<<16),
		"number too large":  `{"name": "r2", "state": "live", "address": 1e400}`,
		"another type":      `{"name": 5, "state": "live"}`,
		"port out of range": `{"name": "r2", "role": "router", "address": "10.0.0.1:65536", "state": "live"}`,
		"no object":         `"]}"`,
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestClient(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`{"hosts": [` + odd + `, ` + good + `]}`) })
			hosts, dropped, err := c.Hosts(t.Context())
			assert.NilError(t, err)
			assert.DeepEqual(t, hosts, []Host{{Name: "r1", Role: "router", Address: "10.0.0.1:80", State: HostLive}})
			assert.Equal(t, dropped, 1)
		})
	}
}

// TestClientStops guards against a waiting read that outlives its context.
func TestClientStops(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	c := newTestClient(t, func(*fasthttp.RequestCtx) {
		close(started)
		<-release
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := c.Tickets(ctx, 0, time.Hour)
	close(release)
	assert.ErrorIs(t, err, context.Canceled)
}

// TestSilent guards against a silent connection that blocks later reads.
func TestSilent(t *testing.T) {
	release := make(chan struct{})
	c := newTestClient(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/silent" {
			<-release
		}
		ctx.SetBodyString(`{"index": 9}`)
	})
	var p Page
	err := c.get(t.Context(), c.tickets, c.baseURL+"/silent", 20*time.Millisecond, &p)
	assert.ErrorIs(t, err, fasthttp.ErrTimeout)
	p, err = c.Tickets(t.Context(), 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, p.Index, uint64(9))
	close(release)
}
