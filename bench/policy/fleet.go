package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	ms                  = time.Millisecond
	centreCount         = 3
	tokenTime           = 10 * ms
	prefillTime         = 300 * ms // of a prompt without a cached prefix
	cachedPrefillTime   = 60 * ms  // of a prompt with one
	minTokens           = 30
	tokenRange          = 91  // tokens are uniform in [minTokens, minTokens+tokenRange)
	prefixesPerPipeline = 4   // prompt prefixes of a team and pipeline
	cacheSlots          = 6   // prefixes that an engine keeps
	promptTokens        = 100 // tokens of a prompt, known before the call
	deadline            = 3 * time.Second
	burstPeriod         = 5 * time.Second
	burstLength         = time.Second
	burstFactor         = 2.5
	quietFactor         = (5 - burstFactor) / 4 // keeps the average rate
)

// poolSpec is a set of interchangeable upstreams.
type poolSpec struct {
	name      string
	replicas  int
	slots     int
	coldSlots int
	meanTime  time.Duration // of a call of a service; 0 for engines
}

func (p *poolSpec) engine() bool { return p.meanTime == 0 }

// pipelineSpec is a pipeline: its stages are indices of pools.
type pipelineSpec struct {
	name         string
	rank         wire.Rank
	stages       []int
	trafficShare float64 // of all requests
	bursty       bool    // arrives in bursts
}

type teamSpec struct {
	name         string
	weight       int
	trafficShare float64 // of all requests
	answerLength float64 // of its answers, as a multiple
}

// fleet is one of the two fleets in use.
type fleet struct {
	name             string
	crossCentreDelay time.Duration // one-way delay between data centres
	pools            []poolSpec
	pipelines        []pipelineSpec
	teams            []teamSpec
	routers          int // number of routers
}

func consorzio() *fleet {
	return &fleet{
		name: "consorzio", crossCentreDelay: 500 * time.Microsecond, routers: 3,
		pools: []poolSpec{
			{"engines", 12, 8, 2, 0},
			{"counters", 3, 8, 2, 30 * ms},
			{"archive", 5, 4, 1, 80 * ms},
			{"bookings", 5, 4, 1, 40 * ms},
			{"dispatch", 5, 4, 1, 40 * ms},
		},
		pipelines: []pipelineSpec{
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
		name: "utility", crossCentreDelay: 1500 * time.Microsecond, routers: 2,
		pools: []poolSpec{
			{"engines", 10, 8, 2, 0},
			{"dispatch", 3, 8, 2, 40 * ms},
			{"portal", 3, 8, 2, 30 * ms},
			{"parts", 5, 4, 1, 60 * ms},
			{"permits", 5, 4, 1, 80 * ms},
		},
		pipelines: []pipelineSpec{
			{"wiring-review", wire.RankInteractive, []int{2, 4, 3, 0}, 0.4, true},
			{"inspection-summary", wire.RankBatch, []int{4, 0, 2}, 0.3, false},
			{"book-visit", wire.RankInteractive, []int{2, 1, 3}, 0.3, false},
		},
		teams: []teamSpec{
			{"installers", 3, 0.45, 1}, {"inspectors", 3, 0.25, 1.25}, {"permits", 1, 0.1, 1}, {"stores", 1, 0.1, 0.5}, {"front-desk", 1, 0.1, 1},
		},
	}
}

// estimate is the estimate of a stage that the pipeline object carries: the time
// that the given part of calls takes at most, or the average time of calls with
// a cached prefix when part is 0.
func (f *fleet) estimate(pool int, part float64) wire.Millis {
	p := &f.pools[pool]
	switch {
	case p.engine() && part == 0:
		return wire.Millis((cachedPrefillTime + (minTokens+tokenRange/2)*tokenTime) / ms)
	case p.engine():
		return wire.Millis((prefillTime + time.Duration(minTokens+part*tokenRange)*tokenTime) / ms)
	case part == 0:
		return wire.Millis(p.meanTime / ms)
	}
	return wire.Millis((0.5 + part) * float64(p.meanTime/ms))
}

// saturationRate returns the requests a second at which the engines, with every prefix
// cached, are used fully.
func (f *fleet) saturationRate() float64 {
	part := 0.0
	for _, p := range f.pipelines {
		if slices.Contains(p.stages, 0) {
			part += p.trafficShare
		}
	}
	mean := cachedPrefillTime
	for _, t := range f.teams {
		mean += time.Duration(t.trafficShare * t.answerLength * (minTokens + tokenRange/2) * float64(tokenTime))
	}
	slots := f.pools[0].replicas * f.pools[0].slots
	return float64(slots) / mean.Seconds() / part
}

// work is what one stage of one request needs from its upstream.
type work struct {
	busy   time.Duration // without prefill
	prefix wire.Fingerprint
}

// minBusy is the busy time with the prefix cached.
func (w work) minBusy() time.Duration {
	if w.prefix == "" {
		return w.busy
	}
	return w.busy + cachedPrefillTime
}

// request is one caller's request. It is shared by no two runs.
type request struct {
	arrival       time.Duration
	team          int
	pipeline      int
	router        int
	work          []work
	stage         int
	attempt       wire.Attempt
	completedTime []time.Duration // useful busy time by stage
	failedTime    []time.Duration // busy time of failed attempts by stage
	aborted       bool            // refused or timed out
	avoid         []*upstream     // replicas that failed the current stage
}

// newTrace draws the requests of a run. It depends on the seed, fleet and load only.
func newTrace(f *fleet, load float64, span time.Duration, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, uint64(load*1000)))
	var all []*request
	for i := range f.pipelines {
		for j := range f.teams {
			rate := load * f.saturationRate() * f.pipelines[i].trafficShare * f.teams[j].trafficShare
			all = append(all, f.arrivals(rng, i, j, rate, span)...)
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.arrival - b.arrival) })
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
		if f.pipelines[pipe].bursty {
			factor = quietFactor
			if at%burstPeriod < burstLength {
				factor = burstFactor
			}
		}
		if rng.Float64()*burstFactor > factor {
			continue
		}
		all = append(all, f.drawRequest(rng, pipe, team, at))
	}
}

func (f *fleet) drawRequest(rng *rand.Rand, pipe, team int, at time.Duration) *request {
	stages := f.pipelines[pipe].stages
	q := &request{arrival: at, team: team, pipeline: pipe, router: rng.IntN(f.routers), attempt: 1}
	q.completedTime = make([]time.Duration, len(stages))
	q.failedTime = make([]time.Duration, len(stages))
	for _, p := range stages {
		if f.pools[p].engine() {
			// The lower of two draws makes some prefixes more frequent.
			n := min(rng.IntN(prefixesPerPipeline), rng.IntN(prefixesPerPipeline))
			tokens := f.teams[team].answerLength * float64(minTokens+rng.IntN(tokenRange))
			q.work = append(q.work, work{
				time.Duration(tokens) * tokenTime,
				wire.Fingerprint(fmt.Sprintf("%d-%d-%d", team, pipe, n)),
			})
			continue
		}
		spread := 0.5 + rng.Float64()
		q.work = append(q.work, work{busy: time.Duration(spread * float64(f.pools[p].meanTime))})
	}
	return q
}
