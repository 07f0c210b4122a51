package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"hornbeamcove.example/core/wire"
)

// sharedPrefixes is the number of shared prompt beginnings of each pipeline.
const sharedPrefixes = 8

// arrival is one request to start.
type arrival struct {
	offset   time.Duration // since the start of the run
	pipeline wire.PipelineID
	key      string
	prompt   string
	serial   int
}

// schedule produces Poisson arrivals of all pipelines in order of time.
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

// next returns the next arrival; false when the time of the run is over.
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
