package router

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"hornbeamcove.example/core/wire"
)

// TestBounded guards against a router that opens sessions to the whole fleet when
// the host list names no other router, and against routers that all leave out the
// same upstreams.
func TestBounded(t *testing.T) {
	var ups []wire.UpstreamID
	for i := range 200 {
		ups = append(ups, wire.UpstreamID(fmt.Sprint("u", i)))
	}
	held := map[wire.UpstreamID]bool{}
	for i := range 40 {
		got := limitSubset(wire.HostID(fmt.Sprint("r", i)), ups, 24)
		assert.Equal(t, len(got), 24)
		for _, u := range got {
			held[u] = true
		}
	}
	assert.Assert(t, len(held) > 190, "%d of 200 upstreams held by 40 routers", len(held))
}
