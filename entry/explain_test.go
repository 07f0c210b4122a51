package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/admin"
)

// explain asks the router's admin listener to explain a request.
func (n *node) explain(t *testing.T, c call) (e admin.Explanation) {
	t.Helper()
	var b strings.Builder
	b.WriteString(c.method + " " + c.target + " HTTP/1.1\r\nHost: " + c.host + "\r\n")
	h := c.header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set("Authorization", "Bearer "+c.key)
	assert.NilError(t, h.Write(&b))
	resp, err := http.Post("http://"+string(n.cfg.Admin)+"/explain", "text/plain", strings.NewReader(b.String()+"\r\n"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&e))
	return e
}

// TestExplain guards against an explanation that differs from what the router does with the next request,
// and against one that counts as a request.
func TestExplain(t *testing.T) {
	r := newRig(t)
	for _, id := range []string{"e-1", "e-2", "e-3", "e-4"} {
		r.addReplica(id, "engine")
	}
	r.addReplica("a-1", "archive")
	r.addReplica("s-1", "school")
	n := r.startRouter(6)
	t.Run("sent", func(t *testing.T) {
		for i := range 5 {
			c := planCall(i)
			c.header.Set("Prompt-Prefix", strings.Repeat("f", i+1)+":50,own:5")
			e := n.explain(t, c)
			assert.Assert(t, e.Send, "%+v", e.Verdict)
			assert.Equal(t, len(e.Targets), 4)
			assert.Equal(t, len(e.Forecast.Stages), 3)
			n.assertStatus(t, c, http.StatusOK, "")
			runs := r.site.Runs()
			assert.Equal(t, string(e.Upstream), runs[len(runs)-1].Replica, "request %d", i)
		}
	})
	t.Run("refused", func(t *testing.T) {
		for _, tc := range []struct {
			name   string
			call   call
			reason string
		}{
			{"no route", post("nowhere.example", "/fold/1", ""), "no route"},
			{"unknown key", call{method: http.MethodPost, host: planHost, target: "/fold/1", key: "wrong"}, "unknown key"},
			{"no upstream", get(deskHost, "/safe/1"), reasonNoTarget},
			{"malformed", call{method: http.MethodPost, host: planHost, target: "/fold/1", header: http.Header{"Piece-Count": {"x"}}}, reasonMalformed},
		} {
			t.Run(tc.name, func(t *testing.T) {
				e := n.explain(t, tc.call)
				resp, _, err := n.do(t, tc.call)
				assert.NilError(t, err)
				assert.Assert(t, !e.Send)
				assert.Equal(t, e.Status, resp.StatusCode)
				assert.Assert(t, strings.HasPrefix(e.Reason, tc.reason), e.Reason)
			})
		}
	})
	t.Run("nothing is sent", func(t *testing.T) {
		before := len(r.site.Runs())
		for i := range 10 {
			assert.Assert(t, n.explain(t, planCall(100+i)).Send)
		}
		assert.Equal(t, len(r.site.Runs()), before)
		assert.Equal(t, n.inFlight.Load(), int64(0))
	})
}
