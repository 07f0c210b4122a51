package router

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/ticket"
	"hornbeamcove.example/core/wire"
)

func changes(from, to wire.TicketNumber) (out []ticket.Change) {
	for n := from; n <= to; n++ {
		out = append(out, ticket.Change{New: &wire.Object{Kind: wire.ObjectKindTeam, Name: fmt.Sprint("t", n), Number: n}})
	}
	return out
}

// TestRecent guards against messages to peers that grow with the number of
// changes or of objects, and against a change that a peer with a higher ticket
// would get only with whole buckets.
func TestRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := recentObjects(nil).withChanges(changes(1, 10))
		assert.Equal(t, len(first.newerThan(10)), 10, "young objects go to a peer with a higher ticket too")
		time.Sleep(recentWindow)
		assert.Equal(t, len(first.newerThan(10)), 0)
		assert.Equal(t, len(first.newerThan(7)), 3)

		second := first.withChanges(changes(11, 2000))
		assert.Equal(t, len(second), maxRecent)
		got := second.newerThan(0)
		assert.Equal(t, got[0].Number, wire.TicketNumber(2000-maxRecent+1))
		assert.Equal(t, got[maxRecent-1].Number, wire.TicketNumber(2000))
		assert.Equal(t, len(first), 10, "a published list changed")
	})
}
