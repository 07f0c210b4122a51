package shed

import (
	"math"
	"time"

	"hornbeamcove.example/core/fleet"
)

const (
	// demandWindow is the time constant of the average that a Meter takes. A shorter one would
	// take the chance arrivals of a second for a change of the demand.
	demandWindow = 500 * time.Millisecond
	// reportDelay is the time in which a report reaches all routers: two heartbeats. A queue can't
	// be steered towards its bound faster than that.
	reportDelay = 240 * time.Millisecond
	// fallTime is the time in which a level falls to half. A level that fell at once would
	// follow each chance gap between arrivals.
	fallTime = 200 * time.Millisecond
	// minLevel is the level below which nothing is turned away.
	minLevel = 0.02
)

// Demand is the work that callers ask of a service, in pieces per second, by fleet.RankLevel.
type Demand [fleet.RankLevels]float64

// Total returns the demand of all ranks.
func (d *Demand) Total() (total float64) {
	for _, x := range d {
		total += x
	}
	return total
}

// Add adds the demand at another router.
func (d *Demand) Add(rank int, rate float64) { d[fleet.RankLevel(rank)] += max(rate, 0) }

// Meter measures the demand for a service at one router as an average that decays
// exponentially. The zero value is ready to use. It is not safe for concurrent use.
type Meter struct {
	demand Demand
	at     time.Time
}

// Record adds the pieces of a request that has arrived, whether it is admitted or not.
func (m *Meter) Record(now time.Time, rank, pieces int) {
	m.decay(now)
	m.demand.Add(rank, float64(pieces)/demandWindow.Seconds())
}

// Demand returns the current demand.
func (m *Meter) Demand(now time.Time) Demand {
	m.decay(now)
	return m.demand
}

func (m *Meter) decay(now time.Time) {
	if dt := now.Sub(m.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / demandWindow.Seconds())
		for r := range m.demand {
			m.demand[r] *= f
		}
		m.at = now
	}
}

// State is the state of a service's queues, as far as it is known, by fleet.RankLevel.
type State struct {
	Rate    float64                         // pieces per second that the upstreams make in full calls, 0 if unknown
	Asked   Demand                          // demand, admitted or not
	Pending [fleet.RankLevels]int           // pieces of admitted requests that are not made yet
	Bound   [fleet.RankLevels]time.Duration // most work that may be ahead of a request that is to be on time, 0 if no route has the rank
}

// Ahead returns the number of pending pieces that go before those of a new request with the given
// rank. Queues are in the order of the aims, so pieces with a longer bound go before it only once
// they have waited for the difference.
func (s *State) Ahead(rank int) (pieces int) {
	for q, n := range s.Pending {
		later := s.Rate * max(s.Bound[q]-s.Bound[fleet.RankLevel(rank)], 0).Seconds()
		pieces += max(n-int(later), 0)
	}
	return pieces
}

// Wait returns the expected queueing time of a new request with the given rank, 0 if the rate is
// unknown.
func (s *State) Wait(rank int) time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(s.Ahead(rank)) / s.Rate * float64(time.Second))
}

// Required returns the fraction of each rank's demand that has to be turned away so that what is
// admitted is made in time. In the order of the aims that is so if, for each bound, the pending
// pieces with that bound or a shorter one take no longer than the bound. A queue that is as long
// as a bound takes work at its rate, an empty one at twice that, and one of twice the bound none.
// The least urgent of the ranks that a bound concerns are turned away first, and never a smaller
// part of a rank than of a more urgent one. The result is 0 if the rate is unknown.
func (s *State) Required() (f Fractions) {
	if s.Rate <= 0 {
		return f
	}
	for _, bound := range s.Bound {
		if bound > 0 {
			s.require(&f, bound)
		}
	}
	for r := 1; r < len(f); r++ {
		f[r] = max(f[r], f[r-1])
	}
	return f
}

// require raises the fractions of the ranks that a bound concerns to what it requires. What is
// pending counts for its own rank and less urgent ones: it gives way to more urgent requests.
func (s *State) require(f *Fractions, bound time.Duration) {
	pending, accepted := 0, 0.0
	for q, asked := range s.Asked {
		if s.Bound[q] > bound {
			continue
		}
		pending += s.Pending[q]
		wait := time.Duration(float64(pending) / s.Rate * float64(time.Second))
		most := s.Rate*(1+float64(bound-wait)/float64(max(bound, reportDelay))) - accepted
		if asked > 0 {
			f[q] = max(f[q], min(1-most/asked, 1))
			accepted += min(max(most, 0), asked)
		}
	}
}

// Fractions is the part of the demand for a service that is turned away, from 0 to 1, by
// fleet.RankLevel.
type Fractions [fleet.RankLevels]float64

// Level is the part of the demand for a service that is turned away while there is a shortage. It
// rises at once and falls slowly. The zero value is ready to use. It is not safe for concurrent
// use.
type Level struct {
	fractions Fractions
	at        time.Time
}

// Update moves the level to the required one and returns it.
func (l *Level) Update(now time.Time, required Fractions) Fractions {
	fall := 1.0
	if dt := now.Sub(l.at); dt > 0 {
		fall = math.Exp2(-float64(dt) / float64(fallTime))
		l.at = now
	}
	for r := range l.fractions {
		if l.fractions[r] = max(l.fractions[r]*fall, required[r]); l.fractions[r] < minLevel {
			l.fractions[r] = 0
		}
	}
	return l.fractions
}
