package wire

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func ref() Ref { return Ref{Request: "r1", Stage: "encode", Attempt: 1} }

// TestFrameRoundTrip guards against fields that are lost or changed by encoding.
func TestFrameRoundTrip(t *testing.T) {
	for name, f := range map[string]*Frame{
		"accept": {Accept: &Accept{Ref: ref()}},
		"chunk":  {Chunk: &Chunk{Ref: ref(), Number: 3, Data: []byte("fold")}},
		"result": {Result: &Result{Ref: ref(), Outcome: OutcomeDone, Executed: ExecutedSome, Output: []byte("{}"), Cost: Cost{Input: 9, Cached: 4}}},
		"sync":   {Sync: &Sync{Head: Digest{Head: 7, Root: 1 << 63}, Objects: []Object{{Kind: ObjectKindTeam, Name: "a", Number: 7, Team: &Team{Weight: 2}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			assert.NilError(t, WriteFrame(&buf, f))
			got, err := ReadFrame(&buf)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, f)
		})
	}
}

// TestFrameCheck guards against values out of range reaching the router or agent.
func TestFrameCheck(t *testing.T) {
	for name, c := range map[string]struct {
		frame *Frame
		want  string
	}{
		"empty":               {&Frame{}, "exactly one"},
		"two messages":        {&Frame{Ack: &Ack{ref()}, Accept: &Accept{ref()}}, "exactly one"},
		"no attempt":          {&Frame{Ack: &Ack{Ref{Request: "r", Stage: "s"}}}, "ref.attempt"},
		"cached over input":   {&Frame{Result: &Result{Ref: ref(), Outcome: OutcomeDone, Executed: ExecutedSome, Cost: Cost{Cached: 1}}}, "cost.cached"},
		"bucket out of range": {&Frame{Sync: &Sync{Want: []int{64}}}, "sync.want"},
	} {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			assert.NilError(t, WriteFrame(&buf, c.frame))
			_, err := ReadFrame(&buf)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// FuzzDecodeFrame checks that no input causes a panic, and that decoded frames are
// valid.
func FuzzDecodeFrame(f *testing.F) {
	var buf bytes.Buffer
	_ = WriteFrame(&buf, &Frame{Chunk: &Chunk{Ref: ref(), Data: []byte("x")}})
	f.Add(buf.Bytes()[4:])
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := DecodeFrame(data)
		if err == nil {
			assert.NilError(t, got.Check())
		}
	})
}
