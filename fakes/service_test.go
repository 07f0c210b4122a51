package fakes

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

func TestServiceOutputs(t *testing.T) {
	const body = `{"body":{},"prior":{"documents":[{"id":"1","text":"a"},{"id":"2","text":"b"}]}}`
	for _, tt := range []struct {
		kind      wire.Kind
		vector    int
		documents int
		key       string
	}{{wire.KindEncode, 8, 0, ""}, {wire.KindRetrieve, 0, 5, ""}, {wire.KindRerank, 0, 2, ""}, {wire.KindPlain, 0, 0, "k"}} {
		t.Run(string(tt.kind), func(t *testing.T) {
			s := start(t, NewService(tt.kind, WithBusy(70)))
			resp := mustSend(t, "POST", s.URL()+"/call", "k", body, 200)
			var out ServiceOutput
			assert.NilError(t, json.Unmarshal([]byte(resp.body), &out))
			assert.Equal(t, out.Input, Digest([]byte(body)))
			assert.Equal(t, len(out.Vector), tt.vector)
			assert.Equal(t, len(out.Documents), tt.documents)
			assert.Equal(t, out.Key, tt.key)
			assert.Equal(t, resp.header.Get("Busy-Micros"), "70")
			mustSend(t, "POST", s.URL()+"/call", "", body, 400)
		})
	}
}

// TestEffects guards against an effect that is not counted because its answer was lost, one
// that is counted for a failed call, and a repeated call whose effect is not counted again.
func TestEffects(t *testing.T) {
	for _, tt := range []struct {
		name    string
		fault   string
		status  int // 0 means no answer
		effects int
	}{
		{"answered", `{}`, 200, 2},
		{"failed", `{"fail":1}`, 500, 0},
		{"lost", `{"lose":1}`, 0, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, NewService(wire.KindPlain))
			mustSend(t, "POST", s.URL()+"/fault", "", tt.fault, 200)
			for range 2 {
				resp, err := send("POST", s.URL()+"/call", "k", `{}`)
				assert.Equal(t, err != nil, tt.status == 0)
				assert.Equal(t, resp.status, tt.status)
			}
			var rec Record
			resp := mustSend(t, "GET", s.URL()+"/record", "", "", 200)
			assert.NilError(t, json.Unmarshal([]byte(resp.body), &rec))
			assert.Equal(t, rec.Effects["k"], tt.effects)
			assert.Equal(t, rec.Costs["k"].Calls, tt.effects)
		})
	}
}

// TestMute guards against a Close that waits for a call that is never answered.
func TestMute(t *testing.T) {
	s := start(t, NewService(wire.KindPlain))
	mute := 1.0
	assert.NilError(t, s.Apply(Fault{Mute: &mute}))
	done := sendInBackground("POST", s.URL()+"/call", "k", `{}`)
	eventually(t, "effect", func() bool { return s.Record().Effects["k"] == 1 })
	s.Close() // returns although the call is never answered
	assert.Assert(t, <-done != nil)
}

// TestSilence guards against a silenced connection that still carries calls, and against new
// connections that are silent too.
func TestSilence(t *testing.T) {
	s := start(t, NewService(wire.KindPlain))
	const call = "POST /call HTTP/1.1\r\nHost: s\r\nCall-Key: k\r\nContent-Length: 2\r\n\r\n{}"
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer c.Close()
	exchange := func() error {
		_, err := c.Write([]byte(call))
		assert.NilError(t, err)
		_, err = c.Read(make([]byte, 4096))
		return err
	}
	assert.NilError(t, exchange())
	s.Silence()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	assert.ErrorContains(t, exchange(), "timeout")
	mustSend(t, "POST", s.URL()+"/call", "new", `{}`, 200)
	assert.Equal(t, s.Record().Effects["k"], 1)
}

// TestServiceColdCrash guards against a crash after which calls in flight still take effect,
// and against a cold service that survives more calls than it can hold.
func TestServiceColdCrash(t *testing.T) {
	s := start(t, NewService(wire.KindPlain, WithColdStart(1, 1), WithDelay(time.Hour)))
	lost := sendInBackground("POST", s.URL()+"/call", "a", `{}`)
	eventually(t, "first call", func() bool { return s.Load().Flight == 1 })
	_, err := send("POST", s.URL()+"/call", "b", `{}`)
	assert.Assert(t, err != nil)
	assert.Assert(t, <-lost != nil)
	assert.NilError(t, s.Restart())
	rec := s.Record()
	assert.Equal(t, rec.OverloadCrashes, 1)
	assert.Equal(t, len(rec.Effects), 0)
	assert.Equal(t, rec.Lost, 1)
	noDelay := 0
	assert.NilError(t, s.Apply(Fault{Delay: &noDelay}))
	mustSend(t, "POST", s.URL()+"/call", "c", `{}`, 200)
	assert.Equal(t, s.Load().Cold, false)
}
