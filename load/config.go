package load

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"hornbeamcove.example/core/wire"
)

// Config says which requests to send.
type Config struct {
	// Routers are the addresses to which requests go in turn.
	Routers []string
	// Keys are the team keys, one of which is chosen for each request.
	Keys []string
	// Rates are the requests a second of each pipeline.
	Rates []Rate
	// Once names the pipelines that need a reservation.
	Once []wire.PipelineID
	// For is how long requests start.
	For time.Duration
	// Deadline is the time within which each request must be answered.
	Deadline time.Duration
	// Words is the length of the prompts, of which the first Shared words are taken from
	// a few that requests have in common.
	Words, Shared int
	// Tokens is max_tokens of each request.
	Tokens int
	// Stream asks for server-sent events.
	Stream bool
	// Resend is how often a request is sent again, to the next router, after a connection
	// is lost.
	Resend int
	// Flight bounds the requests in flight; those beyond it are not sent and count as shed.
	Flight int
	// Seed decides start times, order and prompts.
	Seed uint64
}

// Rate is the requests a second of one pipeline.
type Rate struct {
	Pipeline wire.PipelineID
	PerSec   float64
}

// ParseRate reads a rate of the form name=rate.
func ParseRate(s string) (Rate, error) {
	name, rate, ok := strings.Cut(s, "=")
	n, err := strconv.ParseFloat(rate, 64)
	if !ok || name == "" || err != nil || !valid(n) {
		return Rate{}, fmt.Errorf("rate %q: want name=rate with a rate above 0 and at most %d", s, maxRate)
	}
	return Rate{wire.PipelineID(name), n}, nil
}

// valid reports whether a rate is in range, which NaN is not.
func valid(rate float64) bool { return rate > 0 && rate <= maxRate }

const (
	// maxRate bounds the rate of a pipeline.
	maxRate = 1_000_000
	// defaultFlight bounds the requests in flight unless Flight is set.
	defaultFlight = 16_384
)

func (c *Config) check() error {
	switch {
	case len(c.Routers) == 0:
		return errors.New("no router is given")
	case len(c.Rates) == 0:
		return errors.New("no pipeline is given")
	case c.For <= 0 || c.Deadline < time.Millisecond:
		return errors.New("duration and deadline must be above zero")
	case c.Words < 1 || c.Shared < 0 || c.Shared > c.Words || c.Tokens < 1:
		return errors.New("prompts need at least one word and one token, and at most all words shared")
	}
	for _, r := range c.Rates {
		if !valid(r.PerSec) {
			return fmt.Errorf("rate of %s: %g is not above 0 and at most %d", r.Pipeline, r.PerSec, maxRate)
		}
	}
	if c.Flight <= 0 {
		c.Flight = defaultFlight
	}
	if len(c.Keys) == 0 {
		c.Keys = []string{""}
	}
	return nil
}

func (c *Config) once(p wire.PipelineID) bool { return slices.Contains(c.Once, p) }
