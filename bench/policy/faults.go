package policy

import (
	"fmt"
	"time"

	"hornbeamcove.example/core/wire"
)

const (
	faultAt        = 12 * time.Second // start of each fault
	centreReturnAt = 24 * time.Second // return of the data centre that left at faultAt
	// minWatchDelay is the shortest time, in ms, after which a router's watch reports
	// a data centre change. The delay stays below 10 times this value.
	minWatchDelay = 2
)

// between counts the requests that arrived in [from, to), in whole seconds.
func (o *outcome) between(from, to time.Duration) (t tally) {
	for n := int(from / time.Second); n < int(to/time.Second) && n < len(o.bySecond); n++ {
		t = tally{t.offered + o.bySecond[n].offered, t.met + o.bySecond[n].met}
	}
	return t
}

// restartUpstreams restarts the first n upstreams of a pool at faultAt. They lose
// their calls.
func restartUpstreams(pool, n int) option {
	return func(s *sim) {
		s.after(faultAt, func() {
			for _, u := range s.upstreams[pool][:n] {
				u.restart(0)
			}
		})
	}
}

// turnCold makes the first n upstreams of a pool cold at faultAt. They keep their
// calls.
func turnCold(pool, n int) option {
	return func(s *sim) {
		s.after(faultAt, func() {
			for _, u := range s.upstreams[pool][:n] {
				u.coldSince = u.now
			}
		})
	}
}

// Cold prints the tables that compare policies while upstreams start cold.
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
				maxHeld, crashes := s.maxColdLoad(c.pool)
				rows = append(rows, []string{
					c.name, fmt.Sprint(c.load), p.Name, fmt.Sprint(maxHeld), fmt.Sprint(f.pools[c.pool].coldSlots), fmt.Sprint(crashes),
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

// maxColdLoad returns the most calls that a cold upstream of the pool held on arrival
// of a call, and the number of crashes in the pool. Calls that an upstream holds when
// it turns cold count only once another call arrives.
func (s *sim) maxColdLoad(pool int) (maxHeld, crashes int) {
	for _, u := range s.upstreams[pool] {
		maxHeld = max(maxHeld, u.maxHeldCold)
		crashes += u.crashes
	}
	return maxHeld, crashes
}

// takeCentreOutAndBack takes data centre 0 out at faultAt and returns it at centreReturnAt with its
// upstreams cold. learnDelay returns the time after which router i knows of the
// change, negative for never. If agentsLearn is set, the first router to know tells
// the agents, which refuse calls while the data centre is out.
func takeCentreOutAndBack(agentsLearn bool, learnDelay func(s *sim, i int) time.Duration) option {
	return func(s *sim) {
		announce := func(at time.Duration, state wire.CentreState) {
			minDelay := time.Hour
			for i, r := range s.routers {
				delay := learnDelay(s, i)
				if delay < 0 {
					continue
				}
				minDelay = min(minDelay, delay)
				s.after(at+delay, func() { r.centreStates[0] = state })
			}
			if agentsLearn {
				s.after(at+minDelay+s.fleet.crossCentreDelay, func() { s.setCentreOut(state == wire.CentreStateOut) })
			}
		}
		announce(faultAt, wire.CentreStateOut)
		announce(centreReturnAt, wire.CentreStateIn)
		s.after(centreReturnAt, func() {
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

// setCentreOut tells the agents of data centre 0 whether it is out. Their reports
// tell the routers.
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

// Centre prints the tables that compare policies while a data centre leaves and
// returns.
func (m *Measurement) Centre() {
	watchDelay := func(s *sim, _ int) time.Duration {
		return time.Duration(minWatchDelay+s.rng.IntN(9*minWatchDelay)) * ms
	}
	for _, f := range m.fleets {
		var rows [][]string
		for _, c := range []struct {
			p           Policy
			agentsLearn bool
			learnDelay  func(*sim, int) time.Duration
		}{
			{naive.with("naive, host list 5 s", func(*Policy) {}), false, func(*sim, int) time.Duration { return 5 * time.Second }},
			{plain.with("plain, poll 2 s", func(*Policy) {}), false, func(s *sim, _ int) time.Duration { return time.Duration(s.rng.IntN(2000)) * ms }},
			{plain.with("plain, watch", func(*Policy) {}), false, watchDelay},
			{plain.with("plain, own, fair, watch", func(p *Policy) { p.choice, p.fairQueue = chooseTwoOwn, true }), false, watchDelay},
			{ours.with("ours, no agents", func(*Policy) {}), false, watchDelay},
			{ours.with("ours", func(*Policy) {}), true, watchDelay},
			{ours.with("ours, platform down for all but one", func(*Policy) {}), true, func(s *sim, i int) time.Duration {
				return watchDelay(s, i) + time.Duration(3*min(i, 1))*s.fleet.crossCentreDelay // reads root, buckets and objects
			}},
			{ours.with("ours, one router cut off", func(*Policy) {}), true, func(s *sim, i int) time.Duration {
				if i == 0 {
					return -1
				}
				return watchDelay(s, i)
			}},
		} {
			s := m.run(f, 0.6, c.p, takeCentreOutAndBack(c.agentsLearn, c.learnDelay))
			lastCall, excess, crashes := time.Duration(0), 0, 0
			for i := range s.upstreams {
				for _, u := range s.upstreams[i] {
					lastCall = max(lastCall, u.lastCallBeforeReturn)
				}
				maxHeld, poolCrashes := s.maxColdLoad(i)
				excess, crashes = max(excess, maxHeld-f.pools[i].coldSlots), crashes+poolCrashes
			}
			o := &s.outcome
			rows = append(rows, []string{
				c.p.Name, fmt.Sprint(max(lastCall-faultAt, 0).Round(ms / 10)), percent(o.between(8*time.Second, faultAt).metRatio()),
				percent(o.between(faultAt, centreReturnAt).metRatio()), percent(o.between(centreReturnAt, centreReturnAt+5*time.Second).metRatio()),
				percent(o.between(centreReturnAt+5*time.Second, s.countUntil).metRatio()), fmt.Sprintf("%+d", excess), fmt.Sprint(crashes),
			})
		}
		rows = append(rows, []string{"bound", "0s", "100.0", "100.0", "100.0", "100.0", "+0", "0"})
		m.table("Data centre leaves and returns cold, load 0.6, "+f.name, []string{
			"policy", "last new work after", "met before %", "out %", "5 s after return %", "later %", "most over cold bound", "crashes",
		}, rows)
	}
}
