package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/fakes/site"
)

// TestForward guards against a request that is forwarded with changes, with the caller's
// API key, or with headers that callers may not set.
func TestForward(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	n := r.startRouter(1)
	c := post(deskHost, "/once/a%2Fb?x=1&y=%20", "kit 7")
	c.header = http.Header{
		"Tenant-Name": {"other"}, "Kv-From": {"10.0.0.1:80/h"}, "Cache-Hold": {"h"}, "Other": {"kept"},
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Request-Deadline": {"5000"}, "Model-Name": {"m"},
	}
	resp := n.assertStatus(t, c, http.StatusOK, site.Body(c.target))
	assert.Equal(t, resp.Header.Get("Server-Signature"), "i-1")
	assert.Equal(t, resp.Header.Get("Request-Id"), c.id)
	runs := r.site.Runs()
	assert.Equal(t, len(runs), 1)
	run := runs[0]
	assert.Equal(t, run.Method+" "+run.Target+" "+run.Body, "POST "+c.target+" kit 7")
	h := run.Header
	for name, want := range map[string]string{
		"Tenant-Name": "folders", "Authorization": "", "Kv-From": "", "Cache-Hold": "", "Other": "kept", "X-Hop": "",
		"Expected-Instance": "i-1", "Model-Name": "m", "Request-Id": c.id,
	} {
		assert.Equal(t, h.Get(name), want, name)
	}
	left, err := strconv.Atoi(h.Get("Request-Deadline"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 5000, "%d ms left", left)
}

// TestRefusals guards against a request that runs without a matching route or a valid
// key, and against a refusal for lack of upstreams without a Retry-After header.
func TestRefusals(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk")
	n := r.startRouter(1)
	unknownKey := get(deskHost, "/safe/1")
	unknownKey.key = "key-9"
	noKey := get(deskHost, "/safe/2")
	noKey.key = ""
	anonymous := get(deskHost, "/open/3")
	anonymous.key = ""
	large := post(deskHost, "/once/4", strings.Repeat("x", 1<<20+1))
	badDeadline := get(deskHost, "/safe/5")
	badDeadline.header = http.Header{"Request-Deadline": {"soon"}}
	for _, tc := range []struct {
		name   string
		c      call
		status int
		runs   int
	}{
		{"unknown key", unknownKey, http.StatusUnauthorized, 0},
		{"no key", noKey, http.StatusUnauthorized, 0},
		{"anonymous", anonymous, http.StatusOK, 1},
		{"no route", get("other.example", "/safe/1"), http.StatusNotFound, 0},
		{"path beside the prefix", get(deskHost, "/safer/1"), http.StatusNotFound, 0},
		{"body too large", large, http.StatusRequestEntityTooLarge, 0},
		{"deadline that can't be read", badDeadline, http.StatusBadRequest, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n.assertStatus(t, tc.c, tc.status, "")
			r.assertRuns(tc.c.id, tc.runs)
		})
	}
	t.Run("no upstream", func(t *testing.T) {
		resp := n.assertStatus(t, get(streamHost, "/once/1"), http.StatusServiceUnavailable, "")
		retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, retryAfter > 0 && retryAfter < 5, "Retry-After %v", retryAfter)
	})
}

// TestNoConfiguration guards against a router that reports itself ready before it has
// loaded the configuration.
func TestNoConfiguration(t *testing.T) {
	r := newRig(t)
	r.site.Store.SetMode(site.Busy)
	n := r.start(r.settings("r1"))
	r.waitFor("the router answers", func() bool { return n.readinessStatus(t) == http.StatusServiceUnavailable })
	resp := n.assertStatus(t, get(deskHost, "/safe/1"), http.StatusServiceUnavailable, "")
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	r.site.Store.SetMode(site.Up)
	r.waitFor("the router is ready", func() bool { return n.readinessStatus(t) == http.StatusOK })
}

// TestFaults guards, for each kind of upstream failure, against an unsafe request that
// runs twice, a request that fails although another upstream could run it, and a
// response that belongs to another request.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name               string
		act                site.Action
		safe, once         int // status
		safeRuns, onceRuns int
	}{
		{"full", site.Reject, 200, 200, 1, 1},
		{"answer lost", site.LoseAnswer, 200, 502, 2, 1},
		{"answer cut", site.Truncate, 200, 502, 2, 1},
		{"crash", site.Crash, 200, 502, 2, 1},
		{"second answer", site.AnswerTwice, 200, 200, 1, 1},
		{"no length", site.Unframed, 200, 200, 1, 1},
		{"failure", site.InternalError, 200, 500, 2, 1},
		{"rejected before it was read", site.RejectEarly, 200, 200, 1, 1},
		{"no answer", site.NoAnswer, 200, 504, 2, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, kind := range []struct {
				path   string
				status int
				runs   int
			}{{"/safe/", tc.safe, tc.safeRuns}, {"/once/", tc.once, tc.onceRuns}} {
				t.Run(kind.path, func(t *testing.T) {
					if kind.status == http.StatusGatewayTimeout {
						kind.path = "/short/" // the same kind with a shorter timeout
					}
					r := newRig(t)
					// The replica that is chosen first fails once.
					fault := make(chan struct{}, 1)
					fault <- struct{}{}
					act := func(*http.Request) site.Action {
						select {
						case <-fault:
							return tc.act
						default:
							return site.Serve
						}
					}
					for _, id := range []string{"i-1", "i-2"} {
						p := &site.Replica{ID: id, Service: "desk", Centre: "a", ServiceTime: 5 * time.Millisecond, Act: act}
						assert.NilError(t, r.site.Add(p))
					}
					n := r.startRouter(2)
					c := post(deskHost, kind.path+"1", strings.Repeat("b", 20_000))
					body := ""
					if kind.status == http.StatusOK {
						body = site.Body(c.target)
					}
					n.assertStatus(t, c, kind.status, body)
					r.assertRuns(c.id, kind.runs)
					// Later requests must not receive any part of the failed response.
					for i := range 6 {
						next := get(deskHost, fmt.Sprint("/safe/next", i))
						n.assertStatus(t, next, http.StatusOK, site.Body(next.target))
					}
				})
			}
		})
	}
}

// TestTimeout guards against a request without a response after its route's timeout, and
// against a status that promises that it did not run.
func TestTimeout(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk", site.NoAnswer)
	n := r.startRouter(1)
	n.assertStatus(t, post(deskHost, "/short/1", "x"), http.StatusGatewayTimeout, "")
	r.assertRuns("id-/short/1", 1)
}

// TestStream guards against events that are lost or duplicated when a stream breaks and
// is resumed on another upstream.
func TestStream(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  site.Action
		runs int
	}{
		{"whole", site.Serve, 1},
		{"cut within an event", site.Truncate, 2},
		{"cut between events", site.LoseAnswer, 2},
		{"full", site.Reject, 1},
		{"failed before the first event", site.InternalError, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			fault := make(chan struct{}, 1)
			fault <- struct{}{}
			for _, id := range []string{"e-1", "e-2"} {
				p := &site.Replica{ID: id, Service: "engine", Centre: "a", ServiceTime: 3 * time.Millisecond, Events: 6, Act: func(*http.Request) site.Action {
					select {
					case <-fault:
						return tc.act
					default:
						return site.Serve
					}
				}}
				assert.NilError(t, r.site.Add(p))
			}
			n := r.startRouter(2)
			c := post(streamHost, "/resume/1", "prompt")
			if tc.act == site.InternalError {
				n.assertStatus(t, c, http.StatusInternalServerError, "")
				return
			}
			n.assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
			r.assertRuns(c.id, tc.runs)
		})
	}
	t.Run("a caller resumes", func(t *testing.T) {
		r := newRig(t)
		r.addReplica("e-1", "engine")
		n := r.startRouter(1)
		c := post(streamHost, "/resume/1", "prompt")
		n.assertStatus(t, c, http.StatusOK, streamBody(c.target, 6))
		c = takeUp(c, 4)
		n.assertStatus(t, c, http.StatusOK, site.Event(c.target, 5)+site.Event(c.target, 6))
	})
	t.Run("one that must not be repeated is broken off", func(t *testing.T) {
		r := newRig(t)
		r.addReplica("e-1", "engine", site.LoseAnswer)
		r.addReplica("e-2", "engine", site.LoseAnswer)
		n := r.startRouter(2)
		c := post(streamHost, "/once/1", "prompt")
		_, body, err := n.do(t, c)
		assert.Assert(t, err != nil, "the response looks complete: %q", body)
		assert.Equal(t, body, streamBody(c.target, 2))
		r.assertRuns(c.id, 1)
	})
	t.Run("with no upstream left it is broken off", func(t *testing.T) {
		r := newRig(t)
		r.addReplica("e-1", "engine", site.LoseAnswer)
		n := r.startRouter(1)
		_, body, err := n.do(t, post(streamHost, "/resume/1", "prompt"))
		assert.Assert(t, err != nil, "the response looks complete: %q", body)
	})
}

// TestErrorWithinStream guards against the answer of the next upstream, or its text, within a
// stream that had begun at another one, and against a stream that ends as if it were complete.
func TestErrorWithinStream(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  site.Action
	}{
		{"error status", site.InternalError},
		{"text instead of events", site.ErrorText},
		{"error as an event", site.ErrorEvent},
		{"garbled head", site.GarbledHead},
		{"truncated head", site.TruncateHead},
		{"rejected", site.Reject},
		{"broken off at once", site.Crash},
		{"without a length", site.Unframed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.addReplica("e-1", "engine", site.LoseAnswer).ServiceTime = 150 * time.Millisecond
			n := r.startRouter(1)
			c := post(streamHost, "/resume/1", "prompt")
			var body string
			var err error
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, body, err = n.do(t, c)
			}()
			r.waitFor("the stream has begun", func() bool { return len(r.site.Runs()) == 1 })
			r.addReplica("e-2", "engine", slices.Repeat([]site.Action{tc.act}, 8)...)
			r.waitForUpstreams(n, 2)
			<-done
			assert.Assert(t, err != nil || body == streamBody(c.target, 6), "a part of the stream looks complete: %q", body)
			assert.Assert(t, strings.HasPrefix(streamBody(c.target, 6), body), "the stream holds other bytes: %q", body)
		})
	}
}

// TestTruncatedHead guards against a success with an empty or short body when an upstream
// stops within the head of its answer.
func TestTruncatedHead(t *testing.T) {
	for _, c := range []call{get(deskHost, "/safe/1"), post(deskHost, "/once/1", "x"), post(streamHost, "/resume/1", "x"), post(streamHost, "/once/1", "x")} {
		t.Run(c.host+c.target, func(t *testing.T) {
			r := newRig(t)
			r.addReplica("i-1", "desk", slices.Repeat([]site.Action{site.TruncateHead}, 8)...)
			r.addReplica("e-1", "engine", slices.Repeat([]site.Action{site.TruncateHead}, 8)...)
			n := r.startRouter(2)
			resp, _, err := n.do(t, c)
			assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway)
		})
	}
	t.Run("at any byte", func(t *testing.T) {
		const answer = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Signature: s\r\nContent-Length: 12\r\n\r\n"
		for cut := range len(answer) {
			near, far := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, answer[:cut])
				_ = far.Close()
			}()
			_, err := newUpstreamConn(near, nil).roundTrip(&upstreamRequest{method: "GET", target: "/", host: "h", id: "1"})
			assert.Assert(t, err != nil, "cut after %q", answer[:cut])
			_ = near.Close()
		}
	})
}

// TestCallerLeaves guards against an upstream that keeps working on a request whose
// caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	for _, host := range []string{deskHost, streamHost} {
		t.Run(host, func(t *testing.T) {
			r := newRig(t)
			r.addReplica("i-1", "desk", site.NoAnswer)
			r.addReplica("e-1", "engine", site.NoAnswer)
			n := r.startRouter(2)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _, _ = n.doContext(t, ctx, post(host, "/once/1", "x"))
			}()
			r.waitFor("the upstream runs the request", func() bool { return len(r.site.Runs()) == 1 })
			cancel()
			<-done
			r.waitFor("the upstream stops", func() bool { return !r.site.Runs()[0].Ended.IsZero() })
		})
	}
}

// TestCallerLeavesStages guards against counting a request as out of time when its caller
// disconnected while the stages were running.
func TestCallerLeavesStages(t *testing.T) {
	r := newRig(t)
	r.addReplica("a-1", "archive").ServiceTime = 200 * time.Millisecond
	r.addReplica("e-1", "engine")
	n := r.startRouter(2)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c := post(planHost, "/fold", "prompt")
	c.header = http.Header{"Piece-Count": {"0,0,2"}, "Piece-Key": {"k"}}
	_, _, _ = n.doContext(t, ctx, c)
	var ended string
	r.waitFor("the request is accounted for", func() bool {
		for line := range strings.Lines(r.log.String()) {
			if strings.Contains(line, `"request ended"`) {
				ended = line
			}
		}
		return ended != ""
	})
	assert.Assert(t, strings.Contains(ended, `"reason":"caller left"`), ended)
}

// TestSmuggling guards against request smuggling: the text of a request in the body of another
// one that runs as a request of its own, where two parsers may see different ends of that body.
func TestSmuggling(t *testing.T) {
	const (
		inner = "POST /once/inner HTTP/1.1\r\nHost: " + deskHost + "\r\nRequest-Id: inner\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"
		head  = "POST /once/1 HTTP/1.1\r\nHost: " + deskHost + "\r\nRequest-Id: outer\r\nAuthorization: Bearer key-1\r\n"
		old   = "POST /once/1 HTTP/1.0\r\nConnection: keep-alive\r\nHost: " + deskHost + "\r\nRequest-Id: outer\r\nAuthorization: Bearer key-1\r\n"
	)
	whole := fmt.Sprintf("Content-Length: %d\r\n", len("0\r\n\r\n"+inner))
	for _, tc := range []struct{ name, request string }{
		{"length and chunks", head + whole + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner},
		{"chunks and length", head + "Transfer-Encoding: chunked\r\n" + whole + "\r\n0\r\n\r\n" + inner},
		{"length and chunks, no route", strings.Replace(head, deskHost, "none.example", 1) + whole + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner},
		{"length of nothing and chunks", head + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner},
		{"chunks in HTTP/1.0", old + "Transfer-Encoding: chunked\r\n\r\n" + inner},
		{"length and chunks in HTTP/1.0", old + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner},
		{"length and folded chunks", head + whole + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + inner},
		{"length and bare line feeds", head + whole + "Transfer-Encoding: chunked\n\r\n0\r\n\r\n" + inner},
		{"two lengths", head + "Content-Length: 5\r\nContent-Length: 90\r\n\r\nhello" + inner},
		{"list of lengths", head + "Content-Length: 5, 90\r\n\r\nhello" + inner},
		{"signed length", head + "Content-Length: +5\r\n\r\nhello" + inner},
		{"spaced chunked", head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + inner},
		{"line in a header", head + "Other: a\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner},
		{"chunks twice", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner},
		{"another coding", head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + inner},
		{"chunk line without a carriage return", head + "Transfer-Encoding: chunked\r\n\r\n0\n\r\n" + inner},
		{"line feed in a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n0;a=\n\r\n" + inner},
		{"chunk size in C style", head + "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + inner},
		{"chunk longer than its size", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc0\r\n\r\n" + inner},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.addReplica("i-1", "desk")
			n := r.startRouter(1)
			conn, err := net.Dial("tcp", string(n.cfg.Callers))
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, tc.request)
			assert.NilError(t, err)
			_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, _ = io.Copy(io.Discard, conn)
			for _, run := range r.site.Runs() {
				assert.Assert(t, run.ID != "inner", "the inner request ran: %+v", run)
				assert.Assert(t, !strings.Contains(run.Body, "inner"), "the body holds the inner request: %q", run.Body)
			}
		})
	}
}

// TestAmbiguousAnswer guards against a success with a body that may not be the upstream's: its
// length and its chunks end at different places.
func TestAmbiguousAnswer(t *testing.T) {
	for _, tc := range []struct {
		service string
		act     site.Action
		call    call
	}{
		{"desk", site.BothLengths, post(deskHost, "/once/both", "x")},
		{"desk", site.OldChunks, post(deskHost, "/once/old", "x")},
		{"engine", site.BothLengths, post(streamHost, "/once/both", "x")},
		{"engine", site.OldChunks, post(streamHost, "/once/old", "x")},
	} {
		t.Run(tc.service+tc.call.target, func(t *testing.T) {
			r := newRig(t)
			r.addReplica("i-1", tc.service, tc.act)
			n := r.startRouter(1)
			n.assertStatus(t, tc.call, http.StatusBadGateway, "")
			r.assertRuns(tc.call.id, 1)
		})
	}
}

// TestKeptConnection guards against a response that is sent for another request on the
// same caller connection.
func TestKeptConnection(t *testing.T) {
	r := newRig(t)
	r.addReplica("i-1", "desk", site.Serve, site.AnswerTwice, site.Serve, site.Unframed)
	n := r.startRouter(1)
	conn, err := net.Dial("tcp", string(n.cfg.Callers))
	assert.NilError(t, err)
	defer conn.Close()
	br := bufio.NewReader(conn)
	for i := range 6 {
		target := fmt.Sprint("/safe/", i)
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %d\r\nAuthorization: Bearer key-1\r\n\r\n", target, deskHost, i)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), site.Body(target))
		assert.Equal(t, resp.Header.Get("Request-Id"), fmt.Sprint(i))
	}
}

// TestRepeatedRefusal guards against an earlier refusal that an upstream writes once more on a
// kept connection: it is no answer to the request that the upstream runs there.
func TestRepeatedRefusal(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  site.Action
	}{{"with the id of the earlier request", site.RepeatRefusal}, {"without an id", site.RepeatBareRefusal}} {
		for upstreams := 1; upstreams <= 2; upstreams++ {
			t.Run(fmt.Sprintf("%s, %d upstreams", tc.name, upstreams), func(t *testing.T) {
				r := newRig(t)
				for i := range upstreams {
					r.addReplica(fmt.Sprint("i-", i), "desk", tc.act)
				}
				n := r.startRouter(upstreams)
				_, _, err := n.do(t, post(deskHost, "/once/refused", "x"))
				assert.NilError(t, err)
				for i := range 4 {
					c := post(deskHost, fmt.Sprint("/once/", i), "x")
					resp, body, err := n.do(t, c)
					assert.NilError(t, err)
					ran := 0
					for _, run := range r.site.Runs() {
						if run.ID == c.id && run.Executed {
							ran++
						}
					}
					assert.Assert(t, ran <= 1, "%s ran %d times", c.id, ran)
					assert.Assert(t, ran == 0 || resp.StatusCode != http.StatusServiceUnavailable, "%s ran and got 503", c.id)
					if resp.StatusCode == http.StatusOK {
						assert.Equal(t, body, site.Body(c.target))
					}
				}
			})
		}
	}
}

// TestLostAnswers guards against an upstream that loses half of its responses but keeps its
// full share of the requests. Each loss occurred on a reused connection and was mistaken
// for a connection that had been dropped while idle.
func TestLostAnswers(t *testing.T) {
	r := newRig(t)
	var acts []site.Action
	for range 100 {
		acts = append(acts, site.Serve, site.LoseAnswer)
	}
	lossy := r.addReplica("i-1", "desk", acts...)
	good := r.addReplica("i-2", "desk")
	lossy.ServiceTime, good.ServiceTime = 2*staleConnWindow, 2*staleConnWindow
	n := r.startRouter(2)
	const requests = 60
	for i := range requests {
		_, _, err := n.do(t, get(deskHost, fmt.Sprint("/safe/", i)))
		assert.NilError(t, err)
	}
	lossyRuns := 0
	for _, run := range r.site.Runs() {
		if run.Replica == lossy.ID {
			lossyRuns++
		}
	}
	// A healthy upstream would get half of the first attempts.
	assert.Assert(t, lossyRuns <= requests/4, "%d of %d requests went to the lossy upstream", lossyRuns, requests)
}

// TestStaleConnection guards against a request that fails because the upstream dropped
// an idle connection without notice.
func TestStaleConnection(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t)
			p := r.addReplica("i-1", "desk")
			n := r.startRouter(1)
			n.assertStatus(t, get(deskHost, "/safe/first"), http.StatusOK, "")
			tg := n.targets.get(n.view.Load().Upstreams["desk"][0])
			r.waitFor("a connection is idle", func() bool {
				tg.mu.Lock()
				defer tg.mu.Unlock()
				return len(tg.idleConns) == 1
			})
			tg.mu.Lock()
			tg.idleConns[0].idleSince = time.Now().Add(-2 * maxIdleUnrepeatable)
			tg.mu.Unlock()
			p.DropConns()
			c := post(deskHost, path+"1", "x")
			n.assertStatus(t, c, http.StatusOK, site.Body(c.target))
			r.assertRuns(c.id, 1)
		})
	}
}

// TestEndlessHead guards against an upstream that sends a header without end: it must fail the
// attempt soon and must not use memory without bound.
func TestEndlessHead(t *testing.T) {
	for name, bytes := range map[string]string{
		"header lines":     "X-A: b\r\n",
		"one header line":  "a",
		"status line":      "",
		"informational":    "\r\nHTTP/1.1 100 Continue\r\n",
		"trailing answers": "Content-Length: 0\r\nRequest-Id: other\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			start, chunk := "HTTP/1.1 200 OK\r\n", bytes
			if bytes == "" {
				start, chunk = "", "H"
			}
			client, server := net.Pipe()
			defer client.Close()
			sent := make(chan int, 1)
			go func() {
				defer server.Close()
				go func() { _, _ = io.Copy(io.Discard, server) }()
				n, _ := io.WriteString(server, start)
				for k := 0; n < 64<<20; n += k {
					var err error
					if k, err = io.WriteString(server, strings.Repeat(chunk, 1000)); err != nil {
						break
					}
				}
				sent <- n
			}()
			c := newUpstreamConn(client, nil)
			_, err := c.roundTrip(&upstreamRequest{method: http.MethodGet, target: "/", host: "h", header: http.Header{}, id: "q"})
			assert.Assert(t, err != nil)
			_ = client.Close()
			n := <-sent
			assert.Assert(t, n <= 1<<20, "%d bytes were read", n)
		})
	}
}
