package agent

import (
	"bytes"
	"testing"

	"hornbeamcove.example/core/wire"
)

// FuzzEvent checks the decoding of an engine's events: no input may cause a panic, as
// many tokens must be counted as were emitted, and the clamped cost must be valid.
func FuzzEvent(f *testing.F) {
	f.Add([]byte(`{"id":"c","choices":[{"index":0,"text":"a "}]}`))
	f.Add([]byte(`{"id":"c","choices":[],"usage":{"prompt_tokens":3,"cached_tokens":9,"completion_tokens":1,"busy_micros":5}}`))
	f.Add([]byte(`{"usage":{"prompt_tokens":-3,"cached_tokens":-9,"completion_tokens":-1,"busy_micros":99999999999999}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got bytes.Buffer
		n := 0
		s := &stream{emit: func(text []byte) error {
			n++
			got.Write(text)
			return nil
		}}
		_ = s.handleEvent(data)
		if s.received != n {
			t.Fatalf("%d tokens counted, %d emitted", s.received, n)
		}
		// A router closes a session that sends a cost that is out of range.
		if err := s.cost.Clamped().Check(); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzInput checks that no stage input causes a panic, since callers write it.
func FuzzInput(f *testing.F) {
	f.Add([]byte(`{"body":{"prompt":"fold","max_tokens":3},"prior":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = newCompletion(&wire.Call{Input: data, Rank: wire.RankBatch})
	})
}
