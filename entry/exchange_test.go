package entry

import (
	"net/http"
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
