package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamcove.example/core/route"
	"hornbeamcove.example/core/wire"
)

const (
	warmup = 8 * time.Second  // time before requests are counted
	window = 30 * time.Second // time in which the counted requests arrive
)

// sim simulates one policy on one fleet and one trace.
type sim struct {
	eventLoop
	fleet          *fleet
	policy         *Policy
	rng            *rand.Rand
	upstreams      [][]*upstream
	routers        []*router
	candidates     []route.Candidate // scratch space of router.pick
	candidateViews []*upstreamView   // views of the candidates, in the same order; scratch space too

	reportPeriod time.Duration // interval of reports; 0 means reportInterval, and reports with answers and heartbeats too
	liveReports  bool          // refresh the report before each choice

	countFrom, countUntil          time.Duration // arrival times of the counted requests, [from, until)
	outcome                        outcome
	sends, retries                 int // calls sent to agents; repeats of calls that an upstream accepted
	imbalanceSum, imbalanceSamples float64
}

// tally counts the requests offered and those answered before their deadline.
type tally struct{ offered, met int }

// metRatio returns the fraction of requests that met their deadline, 1 without requests.
func (t tally) metRatio() float64 {
	if t.offered == 0 {
		return 1
	}
	return float64(t.met) / float64(t.offered)
}

// outcome holds the results of a run. Except for bySecond it covers only the
// requests that arrived between countFrom and countUntil.
type outcome struct {
	all             tally
	byTeam          []tally
	byPipeline      []tally
	bySecond        []tally         // tallies by second of arrival, over the whole run
	useful          []time.Duration // slot time by pool, of answered requests
	wasted          []time.Duration // slot time by pool, of failed attempts and unanswered requests
	servedByTeam    []time.Duration // engine time spent on interactive requests, useful or wasted
	demandByTeam    []time.Duration // engine time that all interactive requests need without cached prefixes
	refusals        map[wire.Reason]int
	feasibleRefused int             // requests refused that sim.feasible would allow
	latency         []time.Duration // latencies of answered requests
	prefixHits      int             // engine calls of answered requests that found their prefix cached
	engineCalls     int             // engine calls of answered requests
}

// option configures a run before it starts.
type option func(*sim)

// newSim returns a run that is ready to start, with all upstreams warm.
func newSim(f *fleet, p Policy, seed uint64, opts ...option) *sim {
	s := &sim{fleet: f, policy: &p, rng: rand.New(rand.NewPCG(seed, 1)), countFrom: warmup, countUntil: warmup + window}
	for i := range f.pools {
		var us []*upstream
		for j := range f.pools[i].replicas {
			u := &upstream{eventLoop: &s.eventLoop, id: wire.UpstreamID(fmt.Sprintf("%s-%d", f.pools[i].name, j)), pool: &f.pools[i], centre: j % centreCount, coldSince: -coldPeriod}
			u.agent = newAgent(&s.eventLoop, u, s.policy)
			us = append(us, u)
		}
		s.upstreams = append(s.upstreams, us)
	}
	for i := range f.routers {
		s.routers = append(s.routers, newRouter(s, i%centreCount, rand.New(rand.NewPCG(seed, uint64(i+2)))))
	}
	s.outcome = outcome{
		byTeam: make([]tally, len(f.teams)), byPipeline: make([]tally, len(f.pipelines)), useful: make([]time.Duration, len(f.pools)),
		wasted: make([]time.Duration, len(f.pools)), servedByTeam: make([]time.Duration, len(f.teams)),
		demandByTeam: make([]time.Duration, len(f.teams)), refusals: map[wire.Reason]int{},
	}
	for _, o := range opts {
		o(s)
	}
	s.outcome.bySecond = make([]tally, s.countUntil/time.Second)
	s.every(cmp.Or(s.reportPeriod, reportInterval), s.reportAll)
	s.every(100*ms, s.sampleImbalance)
	return s
}

// run simulates the trace qs and returns the results.
func (s *sim) run(qs []*request) *outcome {
	for _, q := range qs {
		s.after(q.arrival, func() { s.arrive(q) })
	}
	s.runUntil(s.countUntil + 2*deadline)
	for _, q := range qs {
		s.account(q)
	}
	return &s.outcome
}

// arrive starts a request and its deadline timer.
func (s *sim) arrive(q *request) {
	s.after(deadline, func() {
		if !q.aborted && q.stage < len(q.work) {
			s.refuse(q, wire.ReasonDeadline)
		}
	})
	s.routers[q.router].beginStage(q)
}

func (s *sim) counted(q *request) bool { return q.arrival >= s.countFrom && q.arrival < s.countUntil }

// answer records the latency of an answered request. A request that timed out was
// aborted before and never gets here.
func (s *sim) answer(q *request) {
	if s.counted(q) {
		s.outcome.latency = append(s.outcome.latency, s.now-q.arrival)
	}
}

// refuse aborts a request and records the reason.
func (s *sim) refuse(q *request, reason wire.Reason) {
	if q.aborted {
		return
	}
	q.aborted = true
	if !s.counted(q) {
		return
	}
	s.outcome.refusals[reason]++
	if s.feasible(q) {
		s.outcome.feasibleRefused++
	}
}

// feasible reports whether q could meet its deadline if it ran at once: its
// remaining work fits into the remaining time and its next pool has a free slot.
func (s *sim) feasible(q *request) bool {
	remaining := q.arrival + deadline - s.now
	for _, w := range q.work[q.stage:] {
		remaining -= w.minBusy() + 2*nearDelay
	}
	if remaining < 0 {
		return false
	}
	for _, u := range s.upstreams[s.fleet.pipelines[q.pipeline].stages[q.stage]] {
		if u.hasFreeSlot() && !u.agent.centreOut {
			return true
		}
	}
	return false
}

// account adds a request to the results after the run.
func (s *sim) account(q *request) {
	met := !q.aborted && q.stage == len(q.work)
	if n := int(q.arrival / time.Second); n < len(s.outcome.bySecond) {
		s.outcome.bySecond[n].add(met)
	}
	if !s.counted(q) {
		return
	}
	s.outcome.all.add(met)
	s.outcome.byTeam[q.team].add(met)
	s.outcome.byPipeline[q.pipeline].add(met)
	for i, pool := range s.fleet.pipelines[q.pipeline].stages {
		s.outcome.wasted[pool] += q.failedTime[i]
		if pool == 0 && s.fleet.pipelines[q.pipeline].rank == wire.RankInteractive {
			s.outcome.servedByTeam[q.team] += q.completedTime[i] + q.failedTime[i]
			s.outcome.demandByTeam[q.team] += q.work[i].minBusy() + prefillTime - cachedPrefillTime
		}
		if !met {
			s.outcome.wasted[pool] += q.completedTime[i]
			continue
		}
		s.outcome.useful[pool] += q.completedTime[i]
		if pool == 0 {
			s.outcome.engineCalls++
			if q.completedTime[i] == q.work[i].minBusy() {
				s.outcome.prefixHits++
			}
		}
	}
}

func (t *tally) add(met bool) {
	t.offered++
	if met {
		t.met++
	}
}

// reportAll brings the report of every upstream to every router without delay.
func (s *sim) reportAll() {
	for _, r := range s.routers {
		for _, p := range r.pools {
			for _, v := range p.views {
				r.observe(v, v.agent.report())
			}
			r.dispatch(p)
		}
	}
}

// sampleImbalance samples the imbalance of the engines, which is the highest load
// over the mean load, unless all engines are idle.
func (s *sim) sampleImbalance() {
	if s.now < s.countFrom || s.now > s.countUntil {
		return
	}
	highest, total := 0, 0
	for _, u := range s.upstreams[0] {
		n := u.held() + int(u.agent.queue.Len())
		highest = max(highest, n)
		total += n
	}
	if total > 0 {
		s.imbalanceSum += float64(highest*len(s.upstreams[0])) / float64(total)
		s.imbalanceSamples++
	}
}
