package policy

import (
	"fmt"
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	faultAt  = 12 * time.Second
	faultEnd = 24 * time.Second
	// minWatchDelay is the least time, in ms, that a router's watch takes to return a
	// ticket; it takes up to 10 times as long.
	minWatchDelay = 2
)

// between counts the requests that arrived in [from, to).
func (o *outcome) between(from, to time.Duration) (t tally) {
	for n := int(from / time.Second); n < int(to/time.Second) && n < len(o.bySecond); n++ {
		t = tally{t.offered + o.bySecond[n].offered, t.met + o.bySecond[n].met}
	}
	return t
}

// restartUpstreams lets n upstreams of a pool restart and lose their calls.
func restartUpstreams(pool, n int) option {
	return func(s *sim) {
		s.after(faultAt, func() {
			for _, u := range s.upstreams[pool][:n] {
				u.restart(0)
			}
		})
	}
}

// turnCold lets n upstreams of a pool turn cold while they keep their calls.
func turnCold(pool, n int) option {
	return func(s *sim) {
		s.after(faultAt, func() {
			for _, u := range s.upstreams[pool][:n] {
				u.coldSince = u.now
			}
		})
	}
}

// Cold prints the tables on upstreams in a cold start.
func (m *Measurement) Cold() {
	for _, f := range m.fleets {
		var rows [][]string
		for _, c := range []struct {
			name string
			pool int
			load float64
			opt  option
		}{
			{"3 engines restart", 0, 0.7, restartUpstreams(0, 3)},
			{"3 engines restart", 0, 0.2, restartUpstreams(0, 3)},
			{"3 engines turn cold", 0, 0.7, turnCold(0, 3)},
			{"2 services restart", 3, 0.7, restartUpstreams(3, 2)},
		} {
			for _, p := range []Policy{naive, plain, ours.with("fixed limit", func(p *Policy) { p.limit = limitFixed }), ours} {
				s := m.run(f, c.load, p, c.opt)
				most, crashes := s.maxColdLoad(c.pool)
				rows = append(rows, []string{
					c.name, fmt.Sprint(c.load), p.Name, fmt.Sprint(most), fmt.Sprint(f.pools[c.pool].coldSlots), fmt.Sprint(crashes),
					percent(s.outcome.between(faultAt, faultAt+5*time.Second).metRatio()), percent(s.outcome.between(faultAt+5*time.Second, s.countUntil).metRatio()),
				})
			}
			b := percent(m.upperBound(f, c.load).metRatio)
			cold := fmt.Sprint(f.pools[c.pool].coldSlots)
			rows = append(rows, []string{c.name, fmt.Sprint(c.load), "bound", cold, cold, "0", b, b})
		}
		m.table("Cold start, "+f.name, []string{
			"event", "load", "policy", "most held cold", "its bound", "crashes", "met in 5 s %", "met later %",
		}, rows)
	}
}

// maxColdLoad is the most work that a cold upstream of the pool held after it was
// given work, and the number of its crashes.
func (s *sim) maxColdLoad(pool int) (most, crashes int) {
	for _, u := range s.upstreams[pool] {
		most = max(most, u.maxHeldCold)
		crashes += u.crashes
	}
	return most, crashes
}

// moveCentre takes data centre 0 out and returns it with its upstreams cold.
// learn is the time after the ticket at which router i knows it, or negative
// when it never does; agents tells whether agents learn it and refuse.
func moveCentre(agents bool, learn func(s *sim, i int) time.Duration) option {
	return func(s *sim) {
		set := func(at time.Duration, state wire.CentreState) {
			first := time.Hour
			for i, r := range s.routers {
				d := learn(s, i)
				if d < 0 {
					continue
				}
				first = min(first, d)
				s.after(at+d, func() { r.centreStates[0] = state })
			}
			if agents {
				s.after(at+first+s.fleet.crossCentreDelay, func() { s.setCentreOut(state == wire.CentreStateOut) })
			}
		}
		set(faultAt, wire.CentreStateOut)
		set(faultEnd, wire.CentreStateIn)
		s.after(faultEnd, func() {
			for _, us := range s.upstreams {
				for _, u := range us {
					if u.centre == 0 {
						u.lastCallBeforeReturn = u.lastCall
						u.coldSince = u.now
					}
				}
			}
		})
	}
}

// setCentreOut tells the agents of data centre 0 that it is out or in again.
func (s *sim) setCentreOut(out bool) {
	for i, us := range s.upstreams {
		for j, u := range us {
			if u.centre != 0 {
				continue
			}
			u.agent.setCentreOut(out)
			rep := u.agent.report()
			for _, r := range s.routers {
				v := r.pools[i].views[j]
				s.after(v.delay, func() { r.observe(v, rep) })
			}
		}
	}
}

// Centre prints the table on a data centre that leaves and returns.
func (m *Measurement) Centre() {
	watch := func(s *sim, _ int) time.Duration {
		return time.Duration(minWatchDelay+s.rng.IntN(9*minWatchDelay)) * ms
	}
	for _, f := range m.fleets {
		var rows [][]string
		for _, c := range []struct {
			p      Policy
			agents bool
			learn  func(*sim, int) time.Duration
		}{
			{naive.with("naive, host list 5 s", func(*Policy) {}), false, func(*sim, int) time.Duration { return 5 * time.Second }},
			{plain.with("plain, poll 2 s", func(*Policy) {}), false, func(s *sim, _ int) time.Duration { return time.Duration(s.rng.IntN(2000)) * ms }},
			{plain.with("plain, watch", func(*Policy) {}), false, watch},
			{plain.with("plain, own, fair, watch", func(p *Policy) { p.choice, p.fairQueue = chooseTwoOwn, true }), false, watch},
			{ours.with("ours, no agents", func(*Policy) {}), false, watch},
			{ours.with("ours", func(*Policy) {}), true, watch},
			{ours.with("ours, platform down for all but one", func(*Policy) {}), true, func(s *sim, i int) time.Duration {
				return watch(s, i) + time.Duration(3*min(i, 1))*s.fleet.crossCentreDelay // root, buckets, objects
			}},
			{ours.with("ours, one router cut off", func(*Policy) {}), true, func(s *sim, i int) time.Duration {
				if i == 0 {
					return -1
				}
				return watch(s, i)
			}},
		} {
			s := m.run(f, 0.6, c.p, moveCentre(c.agents, c.learn))
			last, most, crashes := time.Duration(0), 0, 0
			for i := range s.upstreams {
				for _, u := range s.upstreams[i] {
					last = max(last, u.lastCallBeforeReturn)
				}
				n, k := s.maxColdLoad(i)
				most, crashes = max(most, n-f.pools[i].coldSlots), crashes+k
			}
			o := &s.outcome
			rows = append(rows, []string{
				c.p.Name, fmt.Sprint(max(last-faultAt, 0).Round(ms / 10)), percent(o.between(8*time.Second, faultAt).metRatio()),
				percent(o.between(faultAt, faultEnd).metRatio()), percent(o.between(faultEnd, faultEnd+5*time.Second).metRatio()),
				percent(o.between(faultEnd+5*time.Second, s.countUntil).metRatio()), fmt.Sprintf("%+d", most), fmt.Sprint(crashes),
			})
		}
		rows = append(rows, []string{"bound", "0s", "100.0", "100.0", "100.0", "100.0", "+0", "0"})
		m.table("Data centre leaves and returns cold, load 0.6, "+f.name, []string{
			"policy", "last new work after", "met before %", "out %", "5 s after return %", "later %", "most over cold bound", "crashes",
		}, rows)
	}
}
