package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/load"
)

// TestRun guards against flags that have no effect on the requests, and against output
// that is not the report.
func TestRun(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Header.Get("Authorization") != "Bearer k" || !bytes.Contains(body, []byte(`"max_tokens":7`)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		io.WriteString(w, `{"request":"r","output":"","stages":[]}`)
	}))
	defer s.Close()
	args := []string{
		"-router", strings.TrimPrefix(s.URL, "http://"), "-key", "k", "-pipeline", "a=500,b=500",
		"-tokens", "7", "-for", "50ms", "-deadline", "1m",
	}
	var out bytes.Buffer
	assert.NilError(t, run(t.Context(), append(args, "-o", "json"), &out, io.Discard))
	var r load.Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &r))
	assert.Assert(t, r.Due > 0)
	assert.Equal(t, r.Attained, r.Due)
	assert.Equal(t, len(r.Pipelines), 2)
	out.Reset()
	assert.NilError(t, run(t.Context(), args, &out, io.Discard))
	assert.Assert(t, strings.HasPrefix(out.String(), "pipeline "))
	for _, bad := range [][]string{{"-o", "xml"}, {"-pipeline", "a"}, {"-tokens", "0"}, {"stray"}} {
		assert.Assert(t, run(t.Context(), append(args, bad...), io.Discard, io.Discard) != nil, "%v", bad)
	}
}
