package fakes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOrderOverWeightRate guards against an order that succeeds although its weights could not
// be read, and against a Retry-After that is not passed on to the sender of the order.
func TestOrderOverWeightRate(t *testing.T) {
	clock := &testClock{}
	w := start(t, NewWeights(WithRateLimit(1), WithWeightSize(10), WithClock(clock.now)))
	e := start(t, NewEngine(WithModel("m", 1), WithWeightStore(w.Addr())))
	const order = `{"model":"m","version":2,"fence":1}`
	resp := mustSend(t, "GET", w.URL()+"/v1/weights/m/1", "", "", 200)
	assert.Equal(t, len(resp.body), 10)
	resp = mustSend(t, "POST", e.URL()+"/orders", "", order, 429)
	assert.Equal(t, resp.header.Get("Retry-After"), "1")
	assert.Equal(t, int(e.Load().Version), 1)
	clock.advance(time.Second)
	mustSend(t, "POST", e.URL()+"/orders", "", order, 200)
	assert.Equal(t, int(e.Load().Version), 2)
	assert.Equal(t, w.Record().Reads["/v1/weights/m/2"], 1)
	assert.Equal(t, w.Record().Refused, 1)
}
