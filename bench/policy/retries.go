package policy

import (
	"fmt"
	"time"

	"hornbeamcove.example/core/budget"
	"hornbeamcove.example/core/wire"
)

// outageEnd is the end of the outage that begins at faultAt.
const outageEnd = 17 * time.Second

// failEngines makes calls to the first n engines fail with probability p during
// the outage: half way through, or after failFastTime when failFast is set.
func failEngines(n int, p float64, failFast bool) option {
	return func(s *sim) {
		for _, u := range s.upstreams[0][:n] {
			u.failFast = failFast
			u.fails = func() bool { return s.now >= faultAt && s.now < outageEnd && s.rng.Float64() < p }
		}
	}
}

// Retries prints the tables that compare retry policies while engine calls fail.
func (m *Measurement) Retries() {
	m.amplification()
	retry := func(name string, k retryKind) Policy { return ours.with(name, func(p *Policy) { p.retry = k }) }
	policies := []Policy{
		naive, plain, retry("none", retryNever), retry("any error, at once", retryImmediate), retry("back-off only", retryBackoff), ours,
		ours.with("ours, avoiding", func(p *Policy) { p.avoidFailed = true }),
		ours.with("ours, failures as load", func(p *Policy) { p.countFailures = true }),
	}
	for _, f := range m.fleets {
		engines := f.pools[0].replicas
		var rows [][]string
		for _, c := range []struct {
			name string
			load float64
			opt  option
		}{
			{"5% of engine calls fail", 0.7, failEngines(engines, 0.05, false)},
			{"half of engine calls fail", 0.7, failEngines(engines, 0.5, false)},
			{"half of engine calls fail", 1, failEngines(engines, 0.5, false)},
			{"all engine calls fail", 0.7, failEngines(engines, 1, false)},
			{"one engine fails all", 0.7, failEngines(1, 1, false)},
			{"one engine fails all in 5 ms", 0.7, failEngines(1, 1, true)},
		} {
			for _, p := range policies {
				s := m.run(f, c.load, p, c.opt)
				rows = append(rows, []string{
					c.name, fmt.Sprint(c.load), p.Name, percent(s.outcome.between(faultAt, outageEnd).metRatio()), percent(s.outcome.between(outageEnd, s.countUntil).metRatio()),
					fmt.Sprint(s.retries), seconds(sum(s.outcome.wasted)),
				})
			}
		}
		m.table("Retries, engines fail for 5 s, "+f.name, []string{"event", "load", "policy", "met in it %", "met later %", "retries", "wasted s"}, rows)
	}
}

// amplification prints the attempts per request for several failure rates. It
// calls the retry policies directly, without a model of capacity or time.
func (m *Measurement) amplification() {
	const requests = 100_000
	var rows [][]string
	for _, p := range []float64{0.01, 0.1, 0.5, 1} {
		row := []string{fmt.Sprint(p)}
		for _, kind := range []retryKind{retryNever, retryImmediate, retryBudget} {
			attempts, succeeded := countAttempts(m.seed, kind, p, requests)
			row = append(row, fmt.Sprintf("%.3f", float64(attempts)/requests), percent(float64(succeeded)/requests))
		}
		rows = append(rows, row)
	}
	m.table("Attempts a request against the part of attempts that fails; bound of budget.Retry 1.1", []string{
		"fails", "none", "ok %", "up to 4", "ok %", "budget", "ok %",
	}, rows)
}

// countAttempts returns the number of attempts, and of requests that succeed, when
// each attempt fails with probability p.
func countAttempts(seed uint64, kind retryKind, p float64, requests int) (attempts, succeeded int) {
	rng := newRand(seed)
	b := budget.NewRetry(retryRatio, retryBurst)
	for range requests {
		b.RecordFirstAttempt()
		for n := wire.Attempt(1); ; n++ {
			attempts++
			if rng.Float64() >= p {
				succeeded++
				break
			}
			retry := kind == retryImmediate && n < maxAttempts
			if kind == retryBudget {
				_, retry = b.Allow(n, time.Second, time.Second)
			}
			if !retry {
				break
			}
		}
	}
	return attempts, succeeded
}
