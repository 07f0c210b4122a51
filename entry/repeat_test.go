package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes/site"
)

// TestSameRequestRefusedAgain guards against a refusal of an earlier send of a request that is
// taken for that of a later one, which the upstream runs: its id doesn't tell the two apart on
// one connection.
func TestSameRequestRefusedAgain(t *testing.T) {
	draft := post(planHost, "/once/draft", "prompt")
	draft.header = http.Header{"Piece-Count": {"1"}, "Piece-Key": {"k"}}
	unnamed := post(deskHost, "/once/unnamed", "x")
	unnamed.id = ""
	for _, tc := range []struct {
		name, service string
		act           site.Action
		call          call
		sends         int // by the caller
		body          string
	}{
		{"stages run again", "engine", site.RepeatGone, draft, 1, streamBody(draft.target, 6)},
		{"sent again under its id", "desk", site.RepeatRefusal, post(deskHost, "/once/again", "x"), 2, site.Body("/once/again")},
		{"without an id", "desk", site.RepeatBareRefusal, unnamed, 2, site.Body(unnamed.target)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.addReplica("i-1", tc.service, tc.act)
			r.addReplica("s-1", "archive")
			n := r.startRouter(2)
			for range tc.sends - 1 {
				n.assertStatus(t, tc.call, http.StatusServiceUnavailable, "")
			}
			n.assertStatus(t, tc.call, http.StatusOK, tc.body)
			r.assertRuns(tc.call.id, 1)
		})
	}
}

// TestIdleConn guards against a connection that carries the same request id twice or a request
// without one after others, and against a request that is not sent because of an idle connection
// that it can't use.
func TestIdleConn(t *testing.T) {
	for _, tc := range []struct {
		name            string
		sent            []wire.RequestID
		id              wire.RequestID
		idle            time.Duration
		maxConns        int
		isReused, dials bool
	}{
		{"other id", []wire.RequestID{"a", "b"}, "c", 0, 2, true, false},
		{"same id", []wire.RequestID{"a", "b"}, "a", 0, 2, false, true},
		{"no id", []wire.RequestID{"a"}, "", 0, 2, false, true},
		{"idle for too long", []wire.RequestID{"a"}, "c", time.Minute, 2, false, true},
		{"same id, at the limit of connections", []wire.RequestID{"a"}, "a", 0, 1, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			now := time.Now()
			c := newUpstreamConn(near, nil)
			for _, id := range tc.sent {
				c.recordSent(id)
			}
			c.idleSince, c.expires = now.Add(-tc.idle), now.Add(time.Hour)
			tg := &target{Upstream: fleet.Upstream{Address: "127.0.0.1:0"}, openConns: 1}
			tg.putIdleConn(c)
			got, err := tg.conn(t.Context(), tc.id, tc.maxConns, time.Second)
			assert.Equal(t, got == c, tc.isReused)
			var se *sendError
			assert.Equal(t, errors.As(err, &se) && !errors.Is(err, errConnLimit), tc.dials, "%v", err)
		})
	}
}

// TestCacheEventsSentTwice guards against cache events of an earlier call that an engine sends
// once more: a stream could go on at another software version by them.
func TestCacheEventsSentTwice(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	var calls atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				last := ""
				for br := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					body := fmt.Sprintf(`{"epoch":1,"next":2,"lost":false,"events":[[1,"+","","part-%d",5,"m"]]}`, calls.Add(1))
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					_, _ = io.WriteString(c, last+answer)
					last = answer
				}
			}()
		}
	}()
	r := newRig(t)
	s, err := New(r.settings("r1"), "", r.log)
	assert.NilError(t, err)
	u := fleet.Upstream{ID: "e-1", Address: wire.Address(ln.Addr().String())}
	for i := range 3 {
		parts, err := s.readCache(u)
		assert.NilError(t, err)
		assert.DeepEqual(t, parts, map[string]bool{fmt.Sprint("part-", i+1): true})
	}
}
