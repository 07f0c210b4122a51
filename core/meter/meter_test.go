package meter

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMaxEvents guards against unbounded growth when event names vary.
func TestMaxEvents(t *testing.T) {
	var c Counters
	for i := range maxEvents + 10 {
		c.Inc(fmt.Sprint("event", i), "")
	}
	assert.Equal(t, c.Count("other", ""), int64(10))
	assert.Equal(t, len(c.Totals()), maxEvents+1)
}

func ExampleCounters() {
	var c Counters
	c.Inc("refused", "busy")
	c.Inc("refused", "busy")
	for _, t := range c.Totals() {
		fmt.Println(t.Name, t.Reason, t.Count)
	}
	// Output: refused busy 2
}
