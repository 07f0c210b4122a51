package plat

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func raw(index uint64) RawTicket {
	return RawTicket{index, fmt.Appendf(nil, `{"number": %d, "objects": [{"kind": "team", "name": "a", "deleted": true}]}`, index)}
}

// script answers each read with its next step and then blocks.
type script struct {
	steps []step
	asked []uint64
}

type step struct {
	page Page
	err  error
}

func (s *script) Tickets(ctx context.Context, after uint64, _ time.Duration) (Page, error) {
	s.asked = append(s.asked, after)
	if len(s.asked) > len(s.steps) {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	st := s.steps[len(s.asked)-1]
	return st.page, st.err
}

// TestWatcher guards against tickets missed, a watch that gives up, and a wrong
// state while the service is down, stale or limits the rate.
func TestWatcher(t *testing.T) {
	down, limited := errors.New("refused"), &StatusError{Code: 429, RetryAfter: 3 * time.Second}
	bad := RawTicket{6, []byte(`{"number": 6}`)}
	for name, c := range map[string]struct {
		steps []step
		asked []uint64
		got   []uint64
		state State
		count Counters
	}{
		"up":       {[]step{{page: Page{5, []RawTicket{raw(2), raw(5)}}}}, []uint64{0, 5}, []uint64{2, 5}, StateUp, Counters{Reads: 1, Tickets: 2}},
		"cut page": {[]step{{page: Page{9, []RawTicket{raw(2)}}}}, []uint64{0, 2}, []uint64{2}, StateUp, Counters{Reads: 1, Tickets: 1}},
		"down": {
			[]step{{page: Page{Index: 5}}, {err: down}, {err: down}},
			[]uint64{0, 5, 5, 5},
			nil, StateDown,
			Counters{Reads: 1, Failures: 2},
		},
		"limited": {[]step{{err: limited}}, []uint64{0, 0}, nil, StateStale, Counters{RateLimited: 1}},
		"backwards": {
			[]step{{page: Page{Index: 5}}, {page: Page{3, []RawTicket{raw(3)}}}},
			[]uint64{0, 5, 3},
			[]uint64{3},
			StateStale,
			Counters{Reads: 2, IndexRegressions: 1, Tickets: 1},
		},
		"forwards again": {
			[]step{{page: Page{Index: 5}}, {page: Page{Index: 3}}, {err: down}, {page: Page{6, []RawTicket{raw(4), raw(6)}}}},
			[]uint64{0, 5, 3, 3, 6},
			[]uint64{4, 6},
			StateUp,
			Counters{Reads: 3, Failures: 1, IndexRegressions: 1, Tickets: 2},
		},
		"faulty ticket": {[]step{{page: Page{7, []RawTicket{bad, raw(7)}}}}, []uint64{0, 7}, []uint64{7}, StateUp, Counters{Reads: 1, Tickets: 1, Invalid: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				src := &script{steps: c.steps}
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
				assert.DeepEqual(t, src.asked, c.asked)
				assert.DeepEqual(t, got, c.got)
				assert.Equal(t, w.Status().State, c.state)
				assert.Equal(t, w.Status().Counters, c.count)
			})
		})
	}
}

// TestBackoff guards against reads in a burst and against pauses without bound.
func TestBackoff(t *testing.T) {
	w := NewWatcher(nil, nil, WithRand(rand.New(rand.NewPCG(1, 2))))
	for failed := 1; failed < 100; failed++ {
		pause := w.backoff(failed)
		assert.Assert(t, pause > 0 && pause <= maxBackoff)
		assert.Assert(t, failed > 6 || pause <= backoffBase<<(failed-1))
	}
}

func serve(t *testing.T, h fasthttp.RequestHandler) *Client {
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

// TestClient guards against requests and answers that differ from the protocol.
func TestClient(t *testing.T) {
	c := serve(t, func(ctx *fasthttp.RequestCtx) {
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

// TestClientStops guards against a waiting read that outlives its context.
func TestClientStops(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	c := serve(t, func(*fasthttp.RequestCtx) {
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

// TestSilent guards against a connection that went silent holding up later reads.
func TestSilent(t *testing.T) {
	release := make(chan struct{})
	c := serve(t, func(ctx *fasthttp.RequestCtx) {
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
