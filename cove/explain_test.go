package cove_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/admin"
	"hornbeamcove.example/cove"
)

// TestExplainCommand guards against a request that reaches the router otherwise than the operator gave
// it, against a key that is printed, and against wrong exit codes.
func TestExplainCommand(t *testing.T) {
	t.Setenv("COVE_KEY", "secret-key")
	var asked string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		asked = r.Method + " " + r.URL.Path + "\n" + string(body)
		_ = json.NewEncoder(w).Encode(admin.Explanation{
			ResponseInfo: admin.ResponseInfo{Process: "r1"}, Verdict: admin.Verdict{Status: 503, Reason: "stages: shed", Retry: 400},
			Route: "plan", Forecast: &admin.Forecast{Stages: []admin.StageForecast{{Service: "archive", Pieces: 3, Pressure: 0.25}}},
			Targets: []admin.Target{{Upstream: "e-1", State: "usable", LoadAge: -1, Pace: 1}},
		})
	}))
	defer srv.Close()
	file := filepath.Join(t.TempDir(), "request.txt")
	assert.NilError(t, os.WriteFile(file, []byte("POST /fold/7?x=1 HTTP/1.1\nHost: plan.example\nPiece-Count: 3"), 0o600))
	run := func(args ...string) (code int, out string) {
		var b bytes.Buffer
		code = cove.Run(context.Background(), append([]string{"explain", "-router", srv.URL}, args...), cove.Streams{Out: &b, Err: &b})
		assert.Assert(t, !strings.Contains(b.String(), "secret-key"), b.String())
		return code, b.String()
	}
	for _, tc := range []struct {
		name string
		args []string
	}{
		{"file", []string{file}},
		{"flags", []string{"-host", "plan.example", "-path", "/fold/7?x=1", "-header", "Piece-Count: 3"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, out := run(tc.args...)
			assert.Equal(t, code, cove.ExitOK, out)
			assert.Equal(t, asked, "POST /explain\nPOST /fold/7?x=1 HTTP/1.1\r\nHost: plan.example\r\nAuthorization: Bearer secret-key\r\nPiece-Count: 3\r\n\r\n")
			for _, want := range []string{"would be refused with 503: stages: shed, Retry-After at least 400 ms", "archive", "0.25", "e-1"} {
				assert.Assert(t, strings.Contains(out, want), out)
			}
		})
	}
	t.Run("json", func(t *testing.T) {
		_, out := run("-json", file)
		var got []struct{ Answer admin.Explanation }
		assert.NilError(t, json.Unmarshal([]byte(out), &got))
		assert.Equal(t, got[0].Answer.Status, 503)
	})
	for _, args := range [][]string{nil, {"-host", "a b"}, {"-header", "x"}, {file + ".missing"}, {"a", "b"}} {
		code, out := run(args...)
		assert.Equal(t, code, cove.ExitUsage, out)
	}
}
