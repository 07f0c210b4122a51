// Package meter counts events of a process by name and reason.
package meter

import (
	"cmp"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"hornbeamcove.example/core/wire"
)

// maxEvents bounds the distinct pairs of name and reason; further ones are
// counted under the name Other.
const maxEvents = 512

// Other is the name of all events beyond the bound.
const Other = "other"

// Event names what is counted.
type Event struct {
	Name   string      `json:"name"`
	Reason wire.Reason `json:"reason,omitempty"`
}

// Total is how often an event happened.
type Total struct {
	Event
	Count int64 `json:"count"`
}

// Counters counts events. The zero value is ready to use; it is safe for
// concurrent use and meant for embedding.
type Counters struct {
	mu     sync.Mutex
	counts map[Event]int64
	scope  tally.Scope
}

// Export sends later counts to scope too, as counters with the tag reason.
func (c *Counters) Export(scope tally.Scope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scope = scope
}

// Inc counts one event.
func (c *Counters) Inc(name string, reason wire.Reason) {
	c.mu.Lock()
	if c.counts == nil {
		c.counts = map[Event]int64{}
	}
	e := Event{name, reason}
	if _, ok := c.counts[e]; !ok && len(c.counts) >= maxEvents {
		e = Event{Name: Other}
	}
	c.counts[e]++
	scope := c.scope
	c.mu.Unlock()
	if scope != nil {
		scope.Tagged(map[string]string{"reason": string(e.Reason)}).Counter(e.Name).Inc(1)
	}
}

// Count returns how often an event was counted.
func (c *Counters) Count(name string, reason wire.Reason) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[Event{name, reason}]
}

// Totals returns all counts, ordered by name and reason.
func (c *Counters) Totals() (out []Total) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e, n := range c.counts {
		out = append(out, Total{e, n})
	}
	slices.SortFunc(out, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}
