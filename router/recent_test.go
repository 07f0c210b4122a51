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

// ticketChanges returns one changed object for each ticket number in [from, to].
func ticketChanges(from, to wire.TicketNumber) (out []ticket.Change) {
	for n := from; n <= to; n++ {
		out = append(out, ticket.Change{New: &wire.Object{Kind: wire.ObjectKindTeam, Name: fmt.Sprint("t", n), Number: n}})
	}
	return out
}

// TestRecent guards against messages to peers that grow with the number of changes
// or objects. It also guards against a recent change that is not sent to a peer with
// a higher ticket, which would then get it only in a bucket exchange.
func TestRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := recentObjects(nil).withChanges(ticketChanges(1, 10))
		assert.Equal(t, len(first.objectsToSend(10)), 10, "recent objects are also sent to a peer with a higher ticket")
		time.Sleep(recentWindow)
		assert.Equal(t, len(first.objectsToSend(10)), 0)
		assert.Equal(t, len(first.objectsToSend(7)), 3)

		second := first.withChanges(ticketChanges(11, 2000))
		assert.Equal(t, len(second), maxRecent)
		got := second.objectsToSend(0)
		assert.Equal(t, got[0].Number, wire.TicketNumber(2000-maxRecent+1))
		assert.Equal(t, got[maxRecent-1].Number, wire.TicketNumber(2000))
		assert.Equal(t, len(first), 10, "the published list was modified")
	})
}
