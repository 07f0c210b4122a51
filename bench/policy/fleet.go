package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	ms          = time.Millisecond
	centres     = 3
	tokenTime   = 10 * ms
	prefillTime = 300 * ms // of a prompt without a cached prefix
	cachedTime  = 60 * ms  // of a prompt with one
	minTokens   = 30
	moreTokens  = 91  // tokens are uniform in [minTokens, minTokens+moreTokens)
	prefixes    = 4   // prompt prefixes of a team and pipeline
	cacheSlots  = 6   // prefixes that an engine keeps
	promptSize  = 100 // tokens of a prompt, known before the call
	deadline    = 3 * time.Second
	burstPeriod = 5 * time.Second
	burstLength = time.Second
	burstFactor = 2.5
	quietFactor = (5 - burstFactor) / 4 // keeps the average rate
)

// poolSpec is a set of interchangeable upstreams.
type poolSpec struct {
	name  string
	count int
	slots int
	cold  int
	mean  time.Duration // of a call of a service; 0 for engines
}

func (p *poolSpec) engine() bool { return p.mean == 0 }

// pipeSpec is a pipeline: its stages are indices of pools.
type pipeSpec struct {
	name   string
	rank   wire.Rank
	stages []int
	part   float64 // of all requests
	burst  bool    // arrives in bursts
}

type teamSpec struct {
	name   string
	weight int
	part   float64 // of all requests
	length float64 // of its answers, as a multiple
}

// fleet is one of the two fleets in use.
type fleet struct {
	name   string
	apart  time.Duration // one-way delay between data centres
	pools  []poolSpec
	pipes  []pipeSpec
	teams  []teamSpec
	router int // number of routers
}

func consorzio() *fleet {
	return &fleet{
		name: "consorzio", apart: 500 * time.Microsecond, router: 3,
		pools: []poolSpec{
			{"engines", 12, 8, 2, 0},
			{"counters", 3, 8, 2, 30 * ms},
			{"archive", 5, 4, 1, 80 * ms},
			{"bookings", 5, 4, 1, 40 * ms},
			{"dispatch", 5, 4, 1, 40 * ms},
		},
		pipes: []pipeSpec{
			{"fold-plan", wire.RankInteractive, []int{1, 2, 0}, 0.4, true},
			{"bench-guidance", wire.RankInteractive, []int{2, 0, 1}, 0.2, false},
			{"kit-reservation", wire.RankInteractive, []int{1, 3, 4}, 0.2, false},
			{"trim-notes", wire.RankBatch, []int{1, 2, 0, 4}, 0.2, false},
		},
		teams: []teamSpec{
			{"folders", 3, 0.45, 1}, {"gliders", 3, 0.25, 1.25}, {"school", 1, 0.1, 1}, {"parcels", 1, 0.1, 0.5}, {"archivists", 1, 0.1, 1},
		},
	}
}

func utility() *fleet {
	return &fleet{
		name: "utility", apart: 1500 * time.Microsecond, router: 2,
		pools: []poolSpec{
			{"engines", 10, 8, 2, 0},
			{"dispatch", 3, 8, 2, 40 * ms},
			{"portal", 3, 8, 2, 30 * ms},
			{"parts", 5, 4, 1, 60 * ms},
			{"permits", 5, 4, 1, 80 * ms},
		},
		pipes: []pipeSpec{
			{"wiring-review", wire.RankInteractive, []int{2, 4, 3, 0}, 0.4, true},
			{"inspection-summary", wire.RankBatch, []int{4, 0, 2}, 0.3, false},
			{"book-visit", wire.RankInteractive, []int{2, 1, 3}, 0.3, false},
		},
		teams: []teamSpec{
			{"installers", 3, 0.45, 1}, {"inspectors", 3, 0.25, 1.25}, {"permits", 1, 0.1, 1}, {"stores", 1, 0.1, 0.5}, {"front-desk", 1, 0.1, 1},
		},
	}
}

// expect is the estimate of a stage that the pipeline object carries: the time
// that the given part of calls takes at most, or the average time of calls with
// a cached prefix when part is 0.
func (f *fleet) expect(pool int, part float64) wire.Millis {
	p := &f.pools[pool]
	switch {
	case p.engine() && part == 0:
		return wire.Millis((cachedTime + (minTokens+moreTokens/2)*tokenTime) / ms)
	case p.engine():
		return wire.Millis((prefillTime + time.Duration(minTokens+part*moreTokens)*tokenTime) / ms)
	case part == 0:
		return wire.Millis(p.mean / ms)
	}
	return wire.Millis((0.5 + part) * float64(p.mean/ms))
}

// rate returns the requests a second at which the engines, with every prefix
// cached, are used fully.
func (f *fleet) rate() float64 {
	part := 0.0
	for _, p := range f.pipes {
		if slices.Contains(p.stages, 0) {
			part += p.part
		}
	}
	mean := cachedTime
	for _, t := range f.teams {
		mean += time.Duration(t.part * t.length * (minTokens + moreTokens/2) * float64(tokenTime))
	}
	slots := f.pools[0].count * f.pools[0].slots
	return float64(slots) / mean.Seconds() / part
}

// work is what one stage of one request needs from its upstream.
type work struct {
	busy   time.Duration // without prefill
	prefix wire.Fingerprint
}

// least is the busy time with the prefix cached.
func (w work) least() time.Duration {
	if w.prefix == "" {
		return w.busy
	}
	return w.busy + cachedTime
}

// request is one caller's request. It is shared by no two runs.
type request struct {
	at      time.Duration
	team    int
	pipe    int
	router  int
	work    []work
	stage   int
	attempt wire.Attempt
	cost    []time.Duration // useful busy time by stage
	waste   []time.Duration // busy time of failed attempts by stage
	dead    bool            // refused or timed out
	avoid   []*upstream     // replicas that failed the current stage
}

// trace draws the requests of a run. It depends on the seed, fleet and load only.
func trace(f *fleet, load float64, span time.Duration, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, uint64(load*1000)))
	var all []*request
	for i := range f.pipes {
		for j := range f.teams {
			rate := load * f.rate() * f.pipes[i].part * f.teams[j].part
			all = append(all, f.arrivals(rng, i, j, rate, span)...)
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.at - b.at) })
	return all
}

func (f *fleet) arrivals(rng *rand.Rand, pipe, team int, rate float64, span time.Duration) (all []*request) {
	top := rate * burstFactor
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / top * float64(time.Second))
		if at >= span {
			return all
		}
		factor := 1.0
		if f.pipes[pipe].burst {
			factor = quietFactor
			if at%burstPeriod < burstLength {
				factor = burstFactor
			}
		}
		if rng.Float64()*burstFactor > factor {
			continue
		}
		all = append(all, f.draw(rng, pipe, team, at))
	}
}

func (f *fleet) draw(rng *rand.Rand, pipe, team int, at time.Duration) *request {
	stages := f.pipes[pipe].stages
	q := &request{at: at, team: team, pipe: pipe, router: rng.IntN(f.router), attempt: 1}
	q.cost = make([]time.Duration, len(stages))
	q.waste = make([]time.Duration, len(stages))
	for _, p := range stages {
		if f.pools[p].engine() {
			// The lower of two draws makes some prefixes more frequent.
			n := min(rng.IntN(prefixes), rng.IntN(prefixes))
			tokens := f.teams[team].length * float64(minTokens+rng.IntN(moreTokens))
			q.work = append(q.work, work{
				time.Duration(tokens) * tokenTime,
				wire.Fingerprint(fmt.Sprintf("%d-%d-%d", team, pipe, n)),
			})
			continue
		}
		spread := 0.5 + rng.Float64()
		q.work = append(q.work, work{busy: time.Duration(spread * float64(f.pools[p].mean))})
	}
	return q
}
