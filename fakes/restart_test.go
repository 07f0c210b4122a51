package fakes

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestRestartUnderLoad guards against a restart that waits forever for handlers, and against a
// call that is missing from the record, or counted twice, because a crash ended it.
func TestRestartUnderLoad(t *testing.T) {
	e := start(t, NewEngine(WithSlots(4, 100), WithPoison("poison")))
	s := start(t, NewService(wire.KindPlain, WithSlots(2, 100)))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				text := fmt.Sprintf("p %d %d", g, i)
				if i%20 == 19 {
					text += " poison"
				}
				// Errors are ignored: calls that a crash ends return one. The test checks the record.
				send("POST", e.URL()+"/v1/completions", "k", streamBody(text, 5))
				send("POST", s.URL()+"/call", fmt.Sprintf("%d-%d", g, i), `{}`)
			}
		})
	}
	for i := range 20 {
		n := s.Record().Finished
		eventually(t, "calls", func() bool { return s.Record().Finished > n+10 })
		assert.NilError(t, e.Restart())
		if i%2 == 0 {
			assert.NilError(t, s.Restart())
		}
	}
	close(stop)
	wg.Wait()
	for _, rec := range []Record{e.Record(), s.Record()} {
		assert.Equal(t, rec.Begun, rec.Finished+rec.Lost)
	}
	for key, n := range s.Record().Effects {
		assert.Equal(t, n, 1, key)
	}
}
