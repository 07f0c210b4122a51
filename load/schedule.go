package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"hornbeamcove.example/core/wire"
)

// sharedPrefixes is the number of prompt prefixes that the requests of a pipeline share.
const sharedPrefixes = 8

// arrival is a request to send.
type arrival struct {
	offset   time.Duration // due time, since the start of the run
	pipeline wire.PipelineID
	key      string
	prompt   string
	serial   int // number of the request, from 1
}

// schedule generates the arrivals of all pipelines as one Poisson process, in order of time.
type schedule struct {
	cfg       *Config
	rng       *rand.Rand
	totalRate float64
	last      arrival
}

func newSchedule(cfg *Config) *schedule {
	s := &schedule{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	for _, r := range cfg.Rates {
		s.totalRate += r.PerSec
	}
	return s
}

// next returns the next arrival. It returns false if that is after the end of the run.
func (s *schedule) next() (arrival, bool) {
	a := arrival{
		offset: s.last.offset + time.Duration(s.rng.ExpFloat64()/s.totalRate*float64(time.Second)),
		key:    s.cfg.Keys[s.rng.IntN(len(s.cfg.Keys))],
		serial: s.last.serial + 1,
	}
	a.pipeline = s.choosePipeline()
	a.prompt = s.newPrompt(a)
	s.last = a
	return a, a.offset < s.cfg.Duration
}

// choosePipeline draws a pipeline with a probability in proportion to its rate.
func (s *schedule) choosePipeline() wire.PipelineID {
	p := s.rng.Float64() * s.totalRate
	for _, r := range s.cfg.Rates {
		if p < r.PerSec {
			return r.Pipeline
		}
		p -= r.PerSec
	}
	return s.cfg.Rates[len(s.cfg.Rates)-1].Pipeline
}

// newPrompt generates a prompt from one of the shared prefixes and random words.
func (s *schedule) newPrompt(a arrival) string {
	var b strings.Builder
	prefix := s.rng.IntN(sharedPrefixes)
	for i := range s.cfg.PromptWords {
		if i < s.cfg.SharedWords {
			fmt.Fprintf(&b, "%s-%d-%d ", a.pipeline, prefix, i)
		} else {
			fmt.Fprintf(&b, "w%d-%d ", a.serial, s.rng.IntN(10_000))
		}
	}
	return strings.TrimSpace(b.String())
}
