package fakes

import (
	"time"

	"hornbeamcove.example/core/wire"
)

// Option configures a stand-in. A stand-in ignores options that do not apply to it.
type Option func(*settings)

// settings holds the options of all kinds of stand-ins.
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

// WithSlots sets how many calls an upstream runs concurrently and how many more it
// queues. It answers 503 to calls beyond that. The defaults are 8 and 8.
func WithSlots(slots, queueLimit int) Option {
	return func(s *settings) { s.slots, s.queueLimit = slots, queueLimit }
}

// WithColdStart makes each run of an upstream start cold. A cold upstream holds at most
// slots calls, crashes if it is given more, and becomes warm after warmAfter completed
// calls. By default an upstream starts warm, and after GoCold it has one slot and becomes
// warm after 4 calls.
func WithColdStart(slots, warmAfter int) Option {
	return func(s *settings) { s.coldSlots, s.warmAfter = slots, warmAfter }
}

// WithTokenTime sets the duration of one batch step, which produces a token for each
// running call, and the time to read one uncached prompt token. Both default to zero.
func WithTokenTime(token, prompt time.Duration) Option {
	return func(s *settings) { s.tokenTime, s.promptTime = token, prompt }
}

// WithTokenCost sets the accelerator time that an engine reports for one output token
// and one uncached prompt token, independent of the time that they take. The defaults are
// 200 and 20 microseconds.
func WithTokenCost(token, prompt wire.Micros) Option {
	return func(s *settings) { s.tokenCost, s.promptCost = token, prompt }
}

// WithCacheBlocks sets the capacity of an engine's prefix cache in blocks of BlockTokens
// tokens. The default is 256; zero disables the cache.
func WithCacheBlocks(blocks int) Option {
	return func(s *settings) { s.cacheBlocks = blocks }
}

// WithCacheEvents delays an engine's cache events by lag and drops each event whose number
// is a multiple of dropEvery. Zero drops none.
func WithCacheEvents(lag time.Duration, dropEvery int) Option {
	return func(s *settings) { s.eventLag, s.dropEvery = lag, dropEvery }
}

// WithFencing sets whether an engine rejects orders whose fence is lower than the highest
// seen. By default it does not.
func WithFencing(enabled bool) Option {
	return func(s *settings) { s.fencing = enabled }
}

// WithPoison makes an upstream crash when it runs a call whose prompt or body
// contains text. Empty means none.
func WithPoison(text string) Option {
	return func(s *settings) { s.poison = text }
}

// WithModel sets the model that an engine has loaded at the start of each run.
func WithModel(m wire.ModelID, v wire.Version, adapters ...wire.AdapterID) Option {
	return func(s *settings) { s.model, s.version, s.adapters = m, v, adapters }
}

// WithWeightStore makes an engine read the weights for each order from the weight
// store at addr. If the store answers 429, the engine answers 429 with the store's
// Retry-After.
func WithWeightStore(addr string) Option {
	return func(s *settings) { s.weightStore = addr }
}

// WithBusy sets the service time that a service reports for a call, independent of the time
// that the call takes. The default is 1000 microseconds.
func WithBusy(micros wire.Micros) Option {
	return func(s *settings) { s.busy = micros }
}

// WithDelay sets the time that a service takes for a call, and that an engine waits before
// it admits one. The default is zero.
func WithDelay(d time.Duration) Option {
	return func(s *settings) { s.delay = d }
}

// WithLag sets the age of the load reports of an upstream and of the lists that a host
// list returns. The default is zero.
func WithLag(d time.Duration) Option {
	return func(s *settings) { s.lag = d }
}

// WithRateLimit sets the limit of calls per second of a platform stand-in. Zero, the
// default, means no limit.
func WithRateLimit(callsPerSecond int) Option {
	return func(s *settings) { s.rate = callsPerSecond }
}

// WithWeightSize sets the size of the weights that a weight store returns. The default is
// 1024 bytes.
func WithWeightSize(bytes int) Option {
	return func(s *settings) { s.weightBytes = bytes }
}

// WithSeed seeds the random choice of the calls that Fail, Lose and Mute of Fault affect.
// The default is 1.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithClock sets the function that returns the current time for lags and rate limits. The
// default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(s *settings) { s.now = now }
}
