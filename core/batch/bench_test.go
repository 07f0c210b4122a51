package batch

import (
	"testing"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// BenchmarkNext measures the selection of one call's pieces from 400 waiting pieces of
// three data centres, with 48 upstreams.
func BenchmarkNext(b *testing.B) {
	centres := make([]wire.DataCentreID, 48)
	for i := range centres {
		centres[i] = []wire.DataCentreID{"a", "b", "c"}[i%3]
	}
	q := newQueue(centres...)
	for i := range 400 {
		q.Push(start, Piece[string]{Centre: centres[i%3], Size: 3_000_000, Moved: 3_000_000, Aim: at(time.Duration(i) * time.Millisecond), Deadline: at(time.Hour)})
	}
	for b.Loop() {
		ps, _, _ := q.Next(at(time.Second), "u0")
		q.Done(at(time.Second), "u0", CallOutcome{Reserved: fleet.Bytes(len(ps)) * 3_000_000})
		q.Push(start, ps...)
	}
}
