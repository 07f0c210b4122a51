package fakes

import (
	"time"

	"hornbeamcove.example/core/wire"
)

// Option sets a property of a stand-in; a stand-in ignores options that have no
// meaning for it.
type Option func(*settings)

type settings struct {
	slots, queueLimit    int
	coldSlots, warmAfter int
	tokenTime            time.Duration
	promptTime           time.Duration
	tokenCost            wire.Micros
	promptCost           wire.Micros
	cacheBlocks          int
	eventLag             time.Duration
	dropEvery            int
	fencing              bool
	poison               string
	model                wire.ModelID
	version              wire.Version
	adapters             []wire.AdapterID
	weightStore          string
	busy                 wire.Micros
	delay                time.Duration
	lag                  time.Duration
	rate                 int
	weightBytes          int
	seed                 uint64
	now                  func() time.Time
}

func newSettings(opts []Option) settings {
	s := settings{
		slots: 8, queueLimit: 8, warmAfter: 4,
		tokenCost: 200, promptCost: 20, busy: 1000,
		cacheBlocks: 256, weightBytes: 1024, seed: 1,
		now: time.Now,
	}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// WithSlots sets how many calls an upstream runs at once and how many more wait;
// it answers 503 beyond that. The defaults are 8 and 8.
func WithSlots(slots, queue int) Option {
	return func(s *settings) { s.slots, s.queueLimit = slots, queue }
}

// WithColdStart makes each run of an upstream start cold: it handles slots calls at once
// until warmAfter calls have completed, and crashes when it is given more. By default
// an upstream never starts cold and GoCold leaves it one slot.
func WithColdStart(slots, warmAfter int) Option {
	return func(s *settings) { s.coldSlots, s.warmAfter = slots, warmAfter }
}

// WithTokenTime sets the time of one batch step, which produces a token for each
// running call, and the time to read one uncached prompt token. Both default to zero.
func WithTokenTime(token, prompt time.Duration) Option {
	return func(s *settings) { s.tokenTime, s.promptTime = token, prompt }
}

// WithTokenCost sets the accelerator time that an engine reports for one output token
// and one uncached prompt token, independent of the time it really takes.
func WithTokenCost(token, prompt wire.Micros) Option {
	return func(s *settings) { s.tokenCost, s.promptCost = token, prompt }
}

// WithCacheBlocks bounds an engine's prefix cache to a number of blocks of BlockTokens.
func WithCacheBlocks(blocks int) Option {
	return func(s *settings) { s.cacheBlocks = blocks }
}

// WithCacheEvents delays an engine's cache events and drops every gap-th one; zero
// drops none.
func WithCacheEvents(lag time.Duration, gap int) Option {
	return func(s *settings) { s.eventLag, s.dropEvery = lag, gap }
}

// WithFencing makes an engine reject orders with a fence lower than the highest seen.
func WithFencing(honoured bool) Option {
	return func(s *settings) { s.fencing = honoured }
}

// WithPoison makes an upstream crash when it runs a call whose prompt or body
// contains text.
func WithPoison(text string) Option {
	return func(s *settings) { s.poison = text }
}

// WithModel sets the model that an engine has loaded at the start of each run.
func WithModel(m wire.ModelID, v wire.Version, adapters ...wire.AdapterID) Option {
	return func(s *settings) { s.model, s.version, s.adapters = m, v, adapters }
}

// WithWeightStore makes an engine read the weights for each order from the weight
// store at addr and answer 429 with the store's Retry-After when the store does.
func WithWeightStore(addr string) Option {
	return func(s *settings) { s.weightStore = addr }
}

// WithBusy sets the service time that a service reports for a call.
func WithBusy(d wire.Micros) Option {
	return func(s *settings) { s.busy = d }
}

// WithDelay sets the time that a service takes for a call.
func WithDelay(d time.Duration) Option {
	return func(s *settings) { s.delay = d }
}

// WithLag sets how old the load report of an upstream and the answers of a host list
// are.
func WithLag(d time.Duration) Option {
	return func(s *settings) { s.lag = d }
}

// WithRateLimit limits the calls a second of a configuration service or weight store; zero
// means no limit.
func WithRateLimit(calls int) Option {
	return func(s *settings) { s.rate = calls }
}

// WithWeightSize sets the size in bytes of the weights that a weight store returns.
func WithWeightSize(n int) Option {
	return func(s *settings) { s.weightBytes = n }
}

// WithSeed seeds the choice of the calls that a failure rate affects.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithClock replaces time.Now for lags and rate limits.
func WithClock(now func() time.Time) Option {
	return func(s *settings) { s.now = now }
}
