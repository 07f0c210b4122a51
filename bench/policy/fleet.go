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
	tokenTime           = 10 * ms  // time to generate one token
	prefillTime         = 300 * ms // prefill of a prompt without a cached prefix
	cachedPrefillTime   = 60 * ms  // prefill of a prompt with a cached prefix
	minTokens           = 30
	tokenRange          = 91              // answer lengths are uniform in [minTokens, minTokens+tokenRange)
	prefixesPerPipeline = 4               // distinct prompt prefixes of one team in one pipeline
	cacheSlots          = 6               // prefixes that an engine caches
	promptTokens        = 100             // prompt length, known before the call
	deadline            = 3 * time.Second // time from the arrival of a request to its deadline
	burstPeriod         = 5 * time.Second // time from the start of one burst to the next
	burstLength         = time.Second
	burstFactor         = 2.5 // arrival rate in a burst over the average rate
	// quietFactor is the arrival rate between bursts, in 4 of every 5 s, over the average
	// rate. It keeps the average over burstPeriod at 1.
	quietFactor = (5 - burstFactor) / 4
)

// poolSpec describes a pool of interchangeable upstreams. Pool 0 of a fleet holds
// the engines, the others hold services.
type poolSpec struct {
	name      string
	replicas  int
	slots     int           // calls that a warm upstream runs at once
	coldSlots int           // calls that a cold upstream runs at once
	meanTime  time.Duration // mean duration of a service call; 0 for engines
}

func (p *poolSpec) engine() bool { return p.meanTime == 0 }

// pipelineSpec describes a pipeline and its traffic.
type pipelineSpec struct {
	name         string
	rank         wire.Rank
	stages       []int   // pool index of each stage
	trafficShare float64 // fraction of all requests
	bursty       bool    // whether the requests arrive in bursts
}

// teamSpec describes a team and its traffic.
type teamSpec struct {
	name         string
	weight       int     // weight in fair queueing
	trafficShare float64 // fraction of all requests
	answerLength float64 // factor on the token count of its answers
}

// fleet describes the upstreams, pipelines and teams of one of the two fleets in use.
type fleet struct {
	name             string
	crossCentreDelay time.Duration // one-way delay between data centres
	pools            []poolSpec
	pipelines        []pipelineSpec
	teams            []teamSpec
	routers          int
}

// consorzio returns a fleet of 3 routers and 30 upstreams.
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

// utility returns a fleet of 2 routers and 26 upstreams.
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

// estimate returns the duration of a stage that a pipeline object would state: the
// given quantile of the call durations without a cached prefix, or the mean with a
// cached prefix when quantile is 0.
func (f *fleet) estimate(pool int, quantile float64) wire.Millis {
	p := &f.pools[pool]
	switch {
	case p.engine() && quantile == 0:
		return wire.Millis((cachedPrefillTime + (minTokens+tokenRange/2)*tokenTime) / ms)
	case p.engine():
		return wire.Millis((prefillTime + time.Duration(minTokens+quantile*tokenRange)*tokenTime) / ms)
	case quantile == 0:
		return wire.Millis(p.meanTime / ms)
	}
	return wire.Millis((0.5 + quantile) * float64(p.meanTime/ms))
}

// saturationRate returns the requests a second that use the engines fully when
// every prefix is cached.
func (f *fleet) saturationRate() float64 {
	engineShare := 0.0
	for _, p := range f.pipelines {
		if slices.Contains(p.stages, 0) {
			engineShare += p.trafficShare
		}
	}
	meanCallTime := cachedPrefillTime
	for _, t := range f.teams {
		meanCallTime += time.Duration(t.trafficShare * t.answerLength * (minTokens + tokenRange/2) * float64(tokenTime))
	}
	slots := f.pools[0].replicas * f.pools[0].slots
	return float64(slots) / meanCallTime.Seconds() / engineShare
}

// work is what one stage of one request requires of its upstream.
type work struct {
	busy   time.Duration    // slot time without prefill
	prefix wire.Fingerprint // prompt prefix; empty for services
}

// minBusy returns the slot time of w when its prefix is cached.
func (w work) minBusy() time.Duration {
	if w.prefix == "" {
		return w.busy
	}
	return w.busy + cachedPrefillTime
}

// request is one caller's request with its progress. A run changes its requests, so
// each run needs a fresh trace.
type request struct {
	arrival       time.Duration
	team          int             // index in fleet.teams
	pipeline      int             // index in fleet.pipelines
	router        int             // index in sim.routers
	work          []work          // work of each stage
	stage         int             // current stage; len(work) when answered
	attempt       wire.Attempt    // attempt at the current stage, from 1
	completedTime []time.Duration // slot time of successful attempts by stage
	failedTime    []time.Duration // slot time of failed attempts by stage
	aborted       bool            // refused or timed out
	avoid         []*upstream     // replicas that refused or failed the current stage
}

// newTrace draws the requests that arrive before span, in order of arrival. load is the
// request rate as a multiple of saturationRate. The trace depends on the arguments alone,
// so all policies see the same requests.
func newTrace(f *fleet, load float64, span time.Duration, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, uint64(load*1000)))
	var requests []*request
	for i := range f.pipelines {
		for j := range f.teams {
			rate := load * f.saturationRate() * f.pipelines[i].trafficShare * f.teams[j].trafficShare
			requests = append(requests, f.arrivals(rng, i, j, rate, span)...)
		}
	}
	slices.SortStableFunc(requests, func(a, b *request) int { return int(a.arrival - b.arrival) })
	return requests
}

// arrivals draws the requests of one team in one pipeline as a Poisson process. It
// draws at the peak rate and drops requests to get the current rate.
func (f *fleet) arrivals(rng *rand.Rand, pipeline, team int, rate float64, span time.Duration) (all []*request) {
	peakRate := rate * burstFactor
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / peakRate * float64(time.Second))
		if at >= span {
			return all
		}
		factor := 1.0
		if f.pipelines[pipeline].bursty {
			factor = quietFactor
			if at%burstPeriod < burstLength {
				factor = burstFactor
			}
		}
		if rng.Float64()*burstFactor > factor {
			continue
		}
		all = append(all, f.drawRequest(rng, pipeline, team, at))
	}
}

// drawRequest draws the router and the work of a request.
func (f *fleet) drawRequest(rng *rand.Rand, pipeline, team int, arrival time.Duration) *request {
	stages := f.pipelines[pipeline].stages
	q := &request{arrival: arrival, team: team, pipeline: pipeline, router: rng.IntN(f.routers), attempt: 1}
	q.completedTime = make([]time.Duration, len(stages))
	q.failedTime = make([]time.Duration, len(stages))
	for _, p := range stages {
		if f.pools[p].engine() {
			// The lower of two draws makes some prefixes more frequent.
			n := min(rng.IntN(prefixesPerPipeline), rng.IntN(prefixesPerPipeline))
			tokens := f.teams[team].answerLength * float64(minTokens+rng.IntN(tokenRange))
			q.work = append(q.work, work{
				time.Duration(tokens) * tokenTime,
				wire.Fingerprint(fmt.Sprintf("%d-%d-%d", team, pipeline, n)),
			})
			continue
		}
		factor := 0.5 + rng.Float64() // fleet.estimate relies on this range
		q.work = append(q.work, work{busy: time.Duration(factor * float64(f.pools[p].meanTime))})
	}
	return q
}
