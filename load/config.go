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

// Config describes the load to send.
type Config struct {
	// Routers are the addresses of the routers, which get requests in turn.
	Routers []string
	// Keys are the team keys, one of which is drawn for each request. If it is empty,
	// requests carry an empty key.
	Keys []string
	// Rates are the request rates of the pipelines.
	Rates []Rate
	// AtMostOnce lists the pipelines that need a reservation, because their requests must
	// not be repeated.
	AtMostOnce []wire.PipelineID
	// Duration is the time during which requests start.
	Duration time.Duration
	// Deadline is the time within which each request must be answered, at least 1 ms.
	Deadline time.Duration
	// PromptWords is the length of the prompts. Their first SharedWords words are one of a
	// few prefixes that requests of a pipeline have in common.
	PromptWords, SharedWords int
	// MaxTokens is the max_tokens value of each request.
	MaxTokens int
	// Stream requests answers as server-sent events.
	Stream bool
	// MaxResends is how often a request is sent again, each time to the next router, after
	// its connection is lost.
	MaxResends int
	// MaxInFlight is the largest number of requests in flight; requests beyond it are not
	// sent and count as shed. 0 selects the default of 16384.
	MaxInFlight int
	// Seed determines start times, order and prompts.
	Seed uint64
}

// Rate is the request rate of one pipeline, in requests a second.
type Rate struct {
	Pipeline wire.PipelineID
	PerSec   float64
}

// ParseRate parses name=rate, such as plan=20 for 20 requests a second to pipeline plan. It
// returns an error unless the rate is above 0 and at most 1,000,000.
func ParseRate(s string) (Rate, error) {
	name, rate, ok := strings.Cut(s, "=")
	n, err := strconv.ParseFloat(rate, 64)
	if !ok || name == "" || err != nil || !validRate(n) {
		return Rate{}, fmt.Errorf("rate %q: want name=rate with a rate above 0 and at most %d", s, maxRate)
	}
	return Rate{wire.PipelineID(name), n}, nil
}

// validRate reports whether rate is above 0 and at most maxRate. It is false for NaN.
func validRate(rate float64) bool { return rate > 0 && rate <= maxRate }

const (
	// maxRate is the highest rate of a pipeline in requests a second.
	maxRate = 1_000_000
	// defaultMaxInFlight is the limit on requests in flight if MaxInFlight is not set.
	defaultMaxInFlight = 16_384
)

// validate checks the settings and fills in defaults.
func (c *Config) validate() error {
	switch {
	case len(c.Routers) == 0:
		return errors.New("no router address given")
	case len(c.Rates) == 0:
		return errors.New("no pipeline rate given")
	case c.Duration <= 0 || c.Deadline < time.Millisecond:
		return errors.New("duration must be above 0 and deadline at least 1ms")
	case c.PromptWords < 1 || c.SharedWords < 0 || c.SharedWords > c.PromptWords || c.MaxTokens < 1:
		return errors.New("words and tokens must be at least 1, and shared words between 0 and words")
	}
	for _, r := range c.Rates {
		if !validRate(r.PerSec) {
			return fmt.Errorf("rate of %s: %g is out of range: want above 0 and at most %d", r.Pipeline, r.PerSec, maxRate)
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

// atMostOnce reports whether a pipeline needs a reservation.
func (c *Config) atMostOnce(p wire.PipelineID) bool { return slices.Contains(c.AtMostOnce, p) }
