package agent

import (
	"bytes"
	"testing"

	"hornbeamcove.example/core/wire"
)

// FuzzEvent guards the reading of an engine's events: no input may panic, and the
// tokens counted are those that were passed on.
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
			t.Fatalf("%d tokens counted, %d passed on", s.received, n)
		}
		// A router drops a session that sends a cost out of range.
		if err := s.cost.Clamped().Check(); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzInput guards the reading of a stage's input, which callers write.
func FuzzInput(f *testing.F) {
	f.Add([]byte(`{"body":{"prompt":"fold","max_tokens":3},"prior":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = newCompletion(&wire.Call{Input: data, Rank: wire.RankBatch})
	})
}
