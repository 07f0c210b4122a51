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
	// AtMostOnce names the pipelines that need a reservation.
	AtMostOnce []wire.PipelineID
	// Duration is how long requests start.
	Duration time.Duration
	// Deadline is the time within which each request must be answered.
	Deadline time.Duration
	// PromptWords is the length of the prompts, of which the first Shared words are taken from
	// a few that requests have in common.
	PromptWords, SharedWords int
	// MaxTokens is max_tokens of each request.
	MaxTokens int
	// Stream asks for server-sent events.
	Stream bool
	// MaxResends is how often a request is sent again, to the next router, after a connection
	// is lost.
	MaxResends int
	// MaxInFlight bounds the requests in flight; those beyond it are not sent and count as shed.
	MaxInFlight int
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
	if !ok || name == "" || err != nil || !validRate(n) {
		return Rate{}, fmt.Errorf("rate %q: want name=rate with a rate above 0 and at most %d", s, maxRate)
	}
	return Rate{wire.PipelineID(name), n}, nil
}

// validRate reports whether a rate is in range, which NaN is not.
func validRate(rate float64) bool { return rate > 0 && rate <= maxRate }

const (
	// maxRate bounds the rate of a pipeline.
	maxRate = 1_000_000
	// defaultMaxInFlight bounds the requests in flight unless Flight is set.
	defaultMaxInFlight = 16_384
)

func (c *Config) validate() error {
	switch {
	case len(c.Routers) == 0:
		return errors.New("no router is given")
	case len(c.Rates) == 0:
		return errors.New("no pipeline is given")
	case c.Duration <= 0 || c.Deadline < time.Millisecond:
		return errors.New("duration and deadline must be above zero")
	case c.PromptWords < 1 || c.SharedWords < 0 || c.SharedWords > c.PromptWords || c.MaxTokens < 1:
		return errors.New("prompts need at least one word and one token, and at most all words shared")
	}
	for _, r := range c.Rates {
		if !validRate(r.PerSec) {
			return fmt.Errorf("rate of %s: %g is not above 0 and at most %d", r.Pipeline, r.PerSec, maxRate)
		}
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if len(c.Keys) == 0 {
		c.Keys = []string{""}
	}
	return nil
}

func (c *Config) atMostOnce(p wire.PipelineID) bool { return slices.Contains(c.AtMostOnce, p) }
