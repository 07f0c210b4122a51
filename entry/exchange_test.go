package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAdjustStatus guards against a refusal that promises that a request has not run
// although an earlier attempt may have run it. That can happen when a stream is resumed
// and its stages, which have to run again, fail.
func TestAdjustStatus(t *testing.T) {
	for _, tc := range []struct{ status, notRun, ran int }{
		{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusBadGateway},
		{http.StatusTooManyRequests, http.StatusTooManyRequests, http.StatusBadGateway},
		{http.StatusRequestTimeout, http.StatusRequestTimeout, http.StatusBadGateway},
		{http.StatusGatewayTimeout, http.StatusGatewayTimeout, http.StatusGatewayTimeout},
		{http.StatusBadGateway, http.StatusBadGateway, http.StatusBadGateway},
	} {
		t.Run(http.StatusText(tc.status), func(t *testing.T) {
			f := refusal{tc.status, "stages failed", retryAfterNoUpstream}
			assert.Equal(t, new(exchange).adjustStatus(f).status, tc.notRun)
			got := (&exchange{runs: 1}).adjustStatus(f)
			assert.Equal(t, got.status, tc.ran)
			assert.Equal(t, got.retryAfter != 0, tc.ran == tc.status)
		})
	}
}

// TestHandlerPanic guards against a request whose connection is closed without an answer, and
// without a log line, because its handler panicked.
func TestHandlerPanic(t *testing.T) {
	r := newRig(t)
	s, err := New(r.settings("r1"), "", r.log)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	func() {
		x := &exchange{s: s, w: w, r: httptest.NewRequest(http.MethodGet, "/safe/1", nil), view: &View{}, start: bootNow()}
		defer x.recoverPanic()
		x.svc.MaxConns++
	}()
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Equal(t, w.Body.String(), "internal error\n")
}
