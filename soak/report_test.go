package soak

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReport guards against a report that omits faults or violations, counts requests
// wrongly, or loads resources over the network.
func TestReport(t *testing.T) {
	start := time.Unix(1000, 0)
	request := func(after, took time.Duration, status int, err error) *requestRecord {
		return &requestRecord{began: start.Add(after), ended: start.Add(after + took), status: status, err: err}
	}
	left := request(2*time.Second, time.Second, 0, errors.New("left"))
	left.abandonedAt = left.ended
	r := &Run{Options: Options{Seed: 42, Routers: 3}, callers: &callers{records: []*requestRecord{
		request(0, time.Second, 200, nil),
		request(time.Second, time.Second, 200, nil),
		request(time.Second, lateThreshold+1, 200, nil),
		request(3*time.Second, time.Second, 503, nil),
		request(3*time.Second, time.Second, 502, nil),
		request(4*time.Second, time.Second, 200, errors.New("cut")),
		left,
	}}}
	r.events.all = []*event{{name: "kill a router", from: start, till: start.Add(time.Second), scope: scopeRouters}, {name: "change", from: start}}
	file := filepath.Join(t.TempDir(), "report.html")
	assert.NilError(t, r.report(file, []string{"twice: <q1> ran 2 times"}))
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	for _, want := range []string{
		"seed 42", "kill a router", "change", "twice: &lt;q1&gt; ran 2 times",
		"<td>served</td><td>2</td>", "<td>late</td><td>1</td>", "<td>refused</td><td>1</td>", "<td>failed</td><td>2</td>", "<td>caller left</td><td>1</td>",
	} {
		assert.Assert(t, strings.Contains(string(data), want), want)
	}
	for _, loads := range []string{"<script", "<link", "<img", "@import", "src="} {
		assert.Assert(t, !strings.Contains(string(data), loads), loads)
	}
	assert.Equal(t, strings.Count(string(data), "<svg"), 2)
}
