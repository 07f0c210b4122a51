package fakes

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// untilEnd makes readEvents read to the end: it is more events than any stream has.
const untilEnd = 1 << 20

// openStream starts a streamed completion and returns the response with its body open.
func openStream(t *testing.T, e *Engine, key, body string) *http.Response {
	t.Helper()
	req, err := http.NewRequest("POST", e.URL()+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Call-Key", key)
	resp, err := client.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func TestCompletion(t *testing.T) {
	e := start(t, NewEngine(WithTokenCost(100, 10)))
	resp := mustSend(t, "POST", e.URL()+"/v1/completions", "k", completionBody("fold a plan", 5), 200)
	var got completionResponse
	assert.NilError(t, json.Unmarshal([]byte(resp.body), &got))
	assert.Equal(t, got.Choices[0].Text, Text("fold a plan", 5))
	assert.DeepEqual(t, *got.Usage, Usage{Prompt: 3, Completion: 5, Busy: 530})
	assert.Equal(t, resp.header.Get("Upstream-Boot"), string(e.Load().Boot))
	assert.DeepEqual(t, e.Record().Costs["k"], wire.Cost{Calls: 1, Input: 3, Output: 5, Busy: 530})
}

// TestStreamResume guards against a closed connection that cancels the completion, and against
// a resumed stream that repeats or skips tokens or processes the prompt again.
func TestStreamResume(t *testing.T) {
	e := start(t, NewEngine())
	e.Hold()
	resp := openStream(t, e, "k", streamBody("p", 10))
	e.Step(3)
	first, _ := readEvents(t, resp.Body, 3)
	resp.Body.Close()
	e.Drop()
	e.Release()
	eventually(t, "completion", func() bool { return e.Record().Finished == 1 })
	resumed, err := client.Get(e.URL() + "/v1/completions/" + resp.Header.Get("Completion-Id") + "?after=3")
	assert.NilError(t, err)
	defer resumed.Body.Close()
	rest, done := readEvents(t, resumed.Body, untilEnd)
	assert.Assert(t, done)
	assert.Equal(t, joinText(first)+joinText(rest), Text("p", 10))
	assert.Equal(t, rest[len(rest)-1].Usage.Completion, wire.Tokens(10))
	rec := e.Record()
	assert.Equal(t, rec.Begun, 1)
	assert.Equal(t, rec.Resumed, 1)
	assert.Equal(t, rec.Costs["k"].Output, wire.Tokens(10))
}

// TestCancel guards against a cancelled completion, running or waiting, that keeps using the
// engine.
func TestCancel(t *testing.T) {
	for _, tt := range []struct {
		name   string
		steps  int
		output wire.Tokens
	}{{"running", 2, 2}, {"waiting", 0, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			e := start(t, NewEngine())
			e.Hold()
			resp := openStream(t, e, "k", streamBody("p", 10))
			e.Step(tt.steps)
			readEvents(t, resp.Body, tt.steps)
			url := e.URL() + "/v1/completions/" + resp.Header.Get("Completion-Id")
			for range 2 { // the second cancel changes nothing
				mustSend(t, "DELETE", url, "", "", 200)
			}
			e.Release()
			last, done := readEvents(t, resp.Body, untilEnd)
			assert.Assert(t, done)
			assert.Equal(t, last[len(last)-1].Error, "cancelled")
			rec := e.Record()
			assert.Equal(t, rec.Cancelled, 1)
			assert.Equal(t, rec.Finished, 0)
			assert.Equal(t, rec.Costs["k"].Output, tt.output)
			assert.Equal(t, e.Load().Flight+e.Load().Queued, wire.Slots(0))
		})
	}
}

// TestColdCrash guards against a cold engine that survives more calls than it can hold, and
// against a restart that keeps the boot identity or the calls of the previous run.
func TestColdCrash(t *testing.T) {
	e := start(t, NewEngine(WithColdStart(1, 2)))
	e.Hold()
	boot := e.Load().Boot
	lost := sendInBackground("POST", e.URL()+"/v1/completions", "a", completionBody("p", 4))
	eventually(t, "first call", func() bool { return e.Load().Queued == 1 })
	_, err := send("POST", e.URL()+"/v1/completions", "b", completionBody("p", 4))
	assert.Assert(t, err != nil)
	assert.Assert(t, <-lost != nil)
	_, err = send("GET", e.URL()+"/load", "", "")
	assert.ErrorContains(t, err, "refused")
	assert.Equal(t, e.Record().Lost, 1)
	assert.NilError(t, e.Restart())
	e.Release()
	rec := e.Record()
	assert.Equal(t, rec.OverloadCrashes, 1)
	assert.Equal(t, rec.PeakColdHeld, 2)
	assert.Equal(t, rec.Lost, 1)
	assert.Assert(t, e.Load().Boot != boot)
	for range 2 {
		assert.Equal(t, e.Load().Cold, true)
		mustSend(t, "POST", e.URL()+"/v1/completions", "c", completionBody("p", 4), 200)
	}
	assert.Equal(t, e.Load().Cold, false)
}

// TestGoCold guards against an engine that keeps its cache, or changes its boot identity, when
// it becomes cold.
func TestGoCold(t *testing.T) {
	e := start(t, NewEngine(WithCacheBlocks(4)))
	long := strings.Repeat("w ", BlockTokens)
	mustSend(t, "POST", e.URL()+"/v1/completions", "a", completionBody(long, 1), 200)
	boot := e.Load().Boot
	e.GoCold()
	assert.Equal(t, e.Load().Boot, boot)
	mustSend(t, "POST", e.URL()+"/v1/completions", "b", completionBody(long, 1), 200)
	assert.Equal(t, e.Record().Costs["b"].Cached, wire.Tokens(0))
	assert.Equal(t, e.Record().PeakColdHeld, 1)
}

// TestCapacity guards against a call beyond slots and queue that is accepted, and against
// accepted calls that are lost.
func TestCapacity(t *testing.T) {
	e := start(t, NewEngine(WithSlots(1, 1)))
	e.Hold()
	for i := range 2 {
		sendInBackground("POST", e.URL()+"/v1/completions", "k", completionBody("p", 1))
		eventually(t, "call", func() bool { return e.Record().Begun == i+1 })
	}
	mustSend(t, "POST", e.URL()+"/v1/completions", "k", completionBody("p", 1), 503)
	assert.Equal(t, e.Record().Refused, 1)
	e.Release()
	eventually(t, "both calls", func() bool { return e.Record().Finished == 2 })
}

// TestPriority guards against a waiting call that runs after a later one of lower or equal
// priority.
func TestPriority(t *testing.T) {
	e := start(t, NewEngine(WithSlots(1, 4)))
	e.Hold()
	for i, priority := range []string{"2", "1", "1", "0"} {
		key := "k" + string(rune('0'+i))
		sendInBackground("POST", e.URL()+"/v1/completions", key, `{"prompt":"p","max_tokens":1,"priority":`+priority+`}`)
		eventually(t, "call", func() bool { return e.Record().Begun == i+1 })
	}
	for i, key := range []string{"k3", "k1", "k2", "k0"} {
		e.Step(1)
		eventually(t, "step", func() bool { return e.Record().Finished == i+1 })
		assert.Equal(t, e.Record().Effects[key], 1, key)
	}
}

func TestPoison(t *testing.T) {
	e := start(t, NewEngine(WithPoison("bad kite")))
	_, err := send("POST", e.URL()+"/v1/completions", "k", completionBody("a bad kite", 1))
	assert.Assert(t, err != nil)
	assert.NilError(t, e.Restart())
	mustSend(t, "POST", e.URL()+"/v1/completions", "k", completionBody("a good kite", 1), 200)
	assert.Equal(t, e.Record().PoisonCrashes, 1)
}

// TestOrders guards against an order with an old fence that is applied although fencing is on,
// or rejected although it is off.
func TestOrders(t *testing.T) {
	for _, tt := range []struct {
		name    string
		fencing bool
		status  int
		version wire.Version
	}{{"honoured", true, 409, 2}, {"ignored", false, 200, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			e := start(t, NewEngine(WithFencing(tt.fencing), WithModel("m", 1)))
			mustSend(t, "POST", e.URL()+"/orders", "", `{"model":"m","version":2,"adapters":["x"],"fence":7}`, 200)
			mustSend(t, "POST", e.URL()+"/orders", "", `{"model":"m","version":1,"fence":6}`, tt.status)
			assert.Equal(t, e.Load().Version, tt.version)
			assert.Equal(t, e.Record().Orders[1].Status, tt.status)
			mustSend(t, "POST", e.URL()+"/v1/completions", "", `{"model":"other","prompt":"p"}`, 404)
		})
	}
}

func TestPrefixCache(t *testing.T) {
	clock := &testClock{}
	e := start(t, NewEngine(WithCacheBlocks(2), WithCacheEvents(time.Second, 3), WithClock(clock.now)))
	shared := strings.Repeat("w ", BlockTokens)
	for _, tail := range []string{"a", "b", "c"} {
		mustSend(t, "POST", e.URL()+"/v1/completions", tail, completionBody(shared+strings.Repeat(tail+" ", BlockTokens), 1), 200)
	}
	rec := e.Record()
	assert.Equal(t, rec.Costs["a"].Cached, wire.Tokens(0))
	assert.Equal(t, rec.Costs["b"].Cached, wire.Tokens(BlockTokens))
	visibleKinds := func() (kinds []string) {
		var got struct{ Events []CacheEvent }
		resp := mustSend(t, "GET", e.URL()+"/cache/events?after=1", "", "", 200)
		assert.NilError(t, json.Unmarshal([]byte(resp.body), &got))
		for _, ev := range got.Events {
			kinds = append(kinds, ev.Kind)
		}
		return kinds
	}
	assert.Equal(t, len(visibleKinds()), 0) // more recent than the lag
	clock.advance(time.Second)
	// Events 1 and 2 are stores, 3 to 6 are two pairs of removal and store. The reader asks
	// for those after 1, and 3 and 6 are dropped.
	assert.DeepEqual(t, visibleKinds(), []string{"stored", "stored", "removed"})
}

// TestLoadReport guards against a load report that is newer than its lag allows, or that
// changes while frozen.
func TestLoadReport(t *testing.T) {
	clock := &testClock{}
	e := start(t, NewEngine(WithLag(time.Second), WithClock(clock.now)))
	reportedCold := func() bool {
		var l Load
		assert.NilError(t, json.Unmarshal([]byte(mustSend(t, "GET", e.URL()+"/load", "", "", 200).body), &l))
		return l.Cold
	}
	clock.advance(time.Millisecond)
	e.GoCold()
	clock.advance(999 * time.Millisecond)
	assert.Equal(t, reportedCold(), false)
	clock.advance(time.Millisecond)
	assert.Equal(t, reportedCold(), true)
	mustSend(t, "POST", e.URL()+"/fault", "", `{"stale":true,"cold":false}`, 200)
	clock.advance(time.Minute)
	assert.Equal(t, reportedCold(), true)
	mustSend(t, "POST", e.URL()+"/fault", "", `{"down":true}`, 400)
}
