package proc

import (
	"sync"

	"github.com/sourcegraph/conc/panics"
)

// checks is a set of named conditions of readiness or health.
type checks struct {
	mu  sync.Mutex
	all map[string]func() error
}

func (c *checks) add(name string, check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = make(map[string]func() error)
	}
	c.all[name] = check
}

// failures returns the errors of the checks that fail, by name.
func (c *checks) failures() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]string{}
	for name, check := range c.all {
		var err error
		if r := panics.Try(func() { err = check() }); r != nil {
			err = r.AsError()
		}
		if err != nil {
			out[name] = err.Error()
		}
	}
	return out
}
