package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/fakes"
)

// TestCancelBeforeHead guards against a completion that runs on at the engine, with
// its cost unreported, because its call was cancelled before the response head with
// the completion's ID had arrived.
func TestCancelBeforeHead(t *testing.T) {
	const answerDelay = 300 * time.Millisecond
	e := fakes.NewEngine()
	assert.NilError(t, e.Start(t.Context(), ""))
	defer e.Close()
	delay := int(answerDelay.Milliseconds())
	assert.NilError(t, e.Apply(fakes.Fault{Delay: &delay}))
	// The engine generates three tokens and then none, however late the cancel
	// arrives.
	e.Hold()
	e.Step(3)
	h, err := NewHTTP(wire.KindGenerate, e.URL())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), answerDelay/3)
	defer cancel()
	c := &wire.Call{Kind: wire.KindGenerate, Input: []byte(`{"body":{"prompt":"a b c","max_tokens":2000}}`)}
	ans, err := h.Run(ctx, c, func([]byte) error { return nil })
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	record := e.Record()
	assert.Equal(t, record.Begun, 1)
	got := ans.Cost
	assert.DeepEqual(t, got, record.Total())
	assert.Assert(t, got.Output < 2000, "the completion ran to its end")
	assert.Equal(t, record.Cancelled, 1)
	assert.Equal(t, e.Load().Flight+e.Load().Queued, wire.Slots(0))
}
