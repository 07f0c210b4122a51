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
	warmup = 8 * time.Second
	window = 30 * time.Second
)

// sim is one run of one policy.
type sim struct {
	loop
	fleet   *fleet
	policy  *Policy
	rng     *rand.Rand
	pools   [][]*upstream
	routers []*router
	cands   []route.Candidate // scratch space of pick, like open
	open    []*view

	lag  time.Duration // period of reports; 0 sends them with answers
	live bool          // reports are current at every choice

	warm, span      time.Duration // requests that arrive between them are counted
	out             outcome
	sends, retries  int
	skewSum, skewed float64
}

// tally counts requests.
type tally struct{ offered, met int }

func (t tally) part() float64 {
	if t.offered == 0 {
		return 1
	}
	return float64(t.met) / float64(t.offered)
}

// outcome is what a run measured, for requests that arrived in the window.
type outcome struct {
	all      tally
	teams    []tally
	pipes    []tally
	seconds  []tally // by second of arrival, over the whole run
	useful   []time.Duration
	wasted   []time.Duration
	served   []time.Duration // engine time of interactive requests by team, useful or not
	demand   []time.Duration // engine time by team that all these requests need
	reasons  map[wire.Reason]int
	feasible int // refused though feasible
	latency  []time.Duration
	hits     int // engine calls of answered requests that found their prefix
	engine   int
}

// option changes a run before it starts.
type option func(*sim)

// newSim builds a run.
func newSim(f *fleet, p Policy, seed uint64, opts ...option) *sim {
	s := &sim{fleet: f, policy: &p, rng: rand.New(rand.NewPCG(seed, 1)), warm: warmup, span: warmup + window}
	for i := range f.pools {
		var us []*upstream
		for j := range f.pools[i].count {
			u := &upstream{loop: &s.loop, id: wire.UpstreamID(fmt.Sprintf("%s-%d", f.pools[i].name, j)), pool: &f.pools[i], centre: j % centres, since: -coldTime}
			u.agent = newGate(&s.loop, u, s.policy)
			us = append(us, u)
		}
		s.pools = append(s.pools, us)
	}
	for i := range f.router {
		s.routers = append(s.routers, newRouter(s, i%centres, rand.New(rand.NewPCG(seed, uint64(i+2)))))
	}
	s.out = outcome{
		teams: make([]tally, len(f.teams)), pipes: make([]tally, len(f.pipes)), useful: make([]time.Duration, len(f.pools)),
		wasted: make([]time.Duration, len(f.pools)), served: make([]time.Duration, len(f.teams)),
		demand: make([]time.Duration, len(f.teams)), reasons: map[wire.Reason]int{},
	}
	for _, o := range opts {
		o(s)
	}
	s.out.seconds = make([]tally, s.span/time.Second)
	s.every(cmp.Or(s.lag, reportPeriod), s.reportAll)
	s.every(100*ms, s.sample)
	return s
}

// run serves a trace and returns what it measured.
func (s *sim) run(qs []*request) *outcome {
	for _, q := range qs {
		s.after(q.at, func() { s.arrive(q) })
	}
	s.until(s.span + 2*deadline)
	for _, q := range qs {
		s.book(q)
	}
	return &s.out
}

func (s *sim) arrive(q *request) {
	s.after(deadline, func() {
		if !q.dead && q.stage < len(q.work) {
			s.refuse(q, wire.ReasonDeadline)
		}
	})
	s.routers[q.router].begin(q)
}

func (s *sim) counted(q *request) bool { return q.at >= s.warm && q.at < s.span }

// answer ends a request in time; one that timed out is dead before.
func (s *sim) answer(q *request) {
	if s.counted(q) {
		s.out.latency = append(s.out.latency, s.now-q.at)
	}
}

// refuse ends a request without an answer.
func (s *sim) refuse(q *request, reason wire.Reason) {
	if q.dead {
		return
	}
	q.dead = true
	if !s.counted(q) {
		return
	}
	s.out.reasons[reason]++
	if s.feasible(q) {
		s.out.feasible++
	}
}

// feasible reports whether q could still be answered if it ran at once: its
// remaining work fits into the time left and its next pool has a free slot.
func (s *sim) feasible(q *request) bool {
	left := q.at + deadline - s.now
	for _, w := range q.work[q.stage:] {
		left -= w.least() + 2*nearDelay
	}
	if left < 0 {
		return false
	}
	for _, u := range s.pools[s.fleet.pipes[q.pipe].stages[q.stage]] {
		if u.free() && !u.agent.out {
			return true
		}
	}
	return false
}

// book accounts for a request after the run.
func (s *sim) book(q *request) {
	met := !q.dead && q.stage == len(q.work)
	if n := int(q.at / time.Second); n < len(s.out.seconds) {
		s.out.seconds[n].add(met)
	}
	if !s.counted(q) {
		return
	}
	s.out.all.add(met)
	s.out.teams[q.team].add(met)
	s.out.pipes[q.pipe].add(met)
	for i, pool := range s.fleet.pipes[q.pipe].stages {
		s.out.wasted[pool] += q.waste[i]
		if pool == 0 && s.fleet.pipes[q.pipe].rank == wire.RankInteractive {
			s.out.served[q.team] += q.cost[i] + q.waste[i]
			s.out.demand[q.team] += q.work[i].least() + prefillTime - cachedTime
		}
		if !met {
			s.out.wasted[pool] += q.cost[i]
			continue
		}
		s.out.useful[pool] += q.cost[i]
		if pool == 0 {
			s.out.engine++
			if q.cost[i] == q.work[i].least() {
				s.out.hits++
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

func (s *sim) reportAll() {
	for _, r := range s.routers {
		for _, p := range r.pools {
			for _, v := range p.members {
				r.observe(v, v.agent.report())
			}
			r.dispatch(p)
		}
	}
}

// sample takes the imbalance of the engines: the highest load over the mean.
func (s *sim) sample() {
	if s.now < s.warm || s.now > s.span {
		return
	}
	most, sum := 0, 0
	for _, u := range s.pools[0] {
		n := u.held() + int(u.agent.queue.Len())
		most = max(most, n)
		sum += n
	}
	if sum > 0 {
		s.skewSum += float64(most*len(s.pools[0])) / float64(sum)
		s.skewed++
	}
}
