package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/link"
	"hornbeamcove.example/core/wire"
)

// sink is a stream that discards the frames sent on it and fails after maxSends.
type sink struct {
	link.Stream
	maxSends int
	sent     int
	reset    bool
}

func (s *sink) Send(*wire.Frame) error {
	if s.sent++; s.sent > s.maxSends {
		return link.ErrClosed
	}
	return nil
}

func (s *sink) Reset() { s.reset = true }

// TestForwardEnded guards against a busy loop that sends heartbeats on a stream whose
// held result has expired or does not have the requested chunk.
func TestForwardEnded(t *testing.T) {
	for name, next := range map[string]int{"expired": 0, "chunk beyond the result": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(Config{Name: "h", Upstream: "u"}, uncalledUpstream{}, nil)
				ref := wire.Ref{Request: "q", Stage: "s", Attempt: 1}
				e, _, ok := a.held.Begin(time.Now(), ref, time.Now().Add(time.Second))
				assert.Assert(t, ok)
				e.Finish(&wire.Result{Ref: ref, Outcome: wire.OutcomeDone, Executed: wire.ExecutedSome})
				if next == 0 {
					a.held.Expire(time.Now().Add(time.Minute))
				}
				st := &sink{maxSends: 100}
				assert.Assert(t, !a.forward(context.Background(), st, &run{call: &wire.Call{Ref: ref}, entry: e}, next))
				assert.Equal(t, st.sent, 0)
				assert.Assert(t, st.reset)
			})
		})
	}
}

// uncalledUpstream is an upstream that must not be called: all methods but Prefixes
// panic.
type uncalledUpstream struct{ Upstream }

func (uncalledUpstream) Prefixes() []wire.Fingerprint { return nil }
