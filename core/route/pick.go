package route

import (
	"math/rand/v2"
	"time"

	"hornbeamcove.example/core/wire"
)

// Terms of a candidate's score besides its load, as fractions of its limit. They are
// small, so that they decide only between replicas of similar load and never send
// all routers to one replica.
const (
	// prefixBonus is the extra load accepted for a replica with a cached prefix.
	prefixBonus = 0.15
	// The penalty for distance approaches maxDistancePenalty and is half of it at a
	// one-way delay of halfPenaltyDelay. Neighbouring data centres (0.5 to 1.5 ms)
	// get 0.01 to 0.03, other regions more than half of maxDistancePenalty.
	maxDistancePenalty = 0.2
	halfPenaltyDelay   = wire.Micros(10 * time.Millisecond / time.Microsecond)
)

// Candidate is a replica that may receive a call.
type Candidate struct {
	Upstream     wire.UpstreamID
	Distance     wire.Micros // one-way delay
	Limit        wire.Slots  // from the last report, like InFlight, Queued and OwnReported
	InFlight     wire.Slots
	Queued       wire.Slots
	OwnInFlight  wire.Slots // calls of this router in flight now
	OwnReported  wire.Slots // calls of this router that the report includes
	OwnFailed    wire.Slots // calls of this router that failed there within about the last second
	Warmth       wire.Warmth
	PrefixCached bool // whether the prompt's prefix is probably cached
}

// Reasons of a Choice.
const (
	ReasonOnly     = "only"     // no other candidate has room
	ReasonLoad     = "load"     // lower load
	ReasonPrefix   = "prefix"   // cached prefix at similar load
	ReasonDistance = "distance" // nearer at similar load
	ReasonWarmth   = "warmth"   // warmer at equal load
	ReasonEven     = "even"     // no difference
)

// Choice is the index of the chosen candidate and the reason for the choice.
type Choice struct {
	Index  int
	Reason string
}

// Pick chooses the better of two random candidates with room (power of two choices).
// The load of a candidate is (own calls + reported calls of other routers) / limit.
// Own calls are counted as of now and subtracted from the report: a router that
// relied on the delayed report alone would send all calls of a report interval to
// the same replica. ok is false if no candidate has room.
func Pick(rng *rand.Rand, cs []Candidate) (c Choice, ok bool) {
	open := 0
	for i := range cs {
		if cs[i].hasRoom() {
			open++
		}
	}
	switch open {
	case 0:
		return Choice{}, false
	case 1:
		return Choice{nthWithRoom(cs, 0), ReasonOnly}, true
	}
	i := rng.IntN(open)
	j := rng.IntN(open - 1)
	if j >= i {
		j++
	}
	return prefer(cs, nthWithRoom(cs, i), nthWithRoom(cs, j)), true
}

// nthWithRoom returns the index of the nth candidate with room, counted from 0, or -1.
func nthWithRoom(cs []Candidate, n int) int {
	for i := range cs {
		if !cs[i].hasRoom() {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// prefer returns the better of the candidates i and j: the one with the lower score
// or, at equal scores, the warmer one.
func prefer(cs []Candidate, i, j int) Choice {
	if cs[j].score() < cs[i].score() {
		i, j = j, i
	}
	a, b := &cs[i], &cs[j]
	switch {
	case a.score() == b.score():
		if warmthOrder(b.Warmth) > warmthOrder(a.Warmth) {
			return Choice{j, ReasonWarmth}
		}
		if a.Warmth != b.Warmth {
			return Choice{i, ReasonWarmth}
		}
		return Choice{i, ReasonEven}
	case a.load() < b.load():
		return Choice{i, ReasonLoad}
	case a.PrefixCached && !b.PrefixCached:
		return Choice{i, ReasonPrefix}
	}
	return Choice{i, ReasonDistance}
}

// used returns the number of calls at the replica: own calls as of now plus the
// calls of other routers as reported.
func (c *Candidate) used() wire.Slots {
	return c.OwnInFlight + max(0, c.InFlight+c.Queued-c.OwnReported)
}

func (c *Candidate) hasRoom() bool { return c.used() < c.Limit }

// load returns the calls at the replica as a fraction of its limit. Recent failures
// count as calls: a replica that fails its calls at once would otherwise look idle
// and attract most of the traffic. They don't count in hasRoom, since requests that
// fail everywhere would then use up the pool's capacity for all teams.
func (c *Candidate) load() float64 { return float64(c.used()+c.OwnFailed) / float64(c.Limit) }

// score returns the load with the terms for distance and prefix; lower is better.
func (c *Candidate) score() float64 {
	score := c.load() + maxDistancePenalty*float64(c.Distance)/float64(c.Distance+halfPenaltyDelay)
	if c.PrefixCached {
		score -= prefixBonus
	}
	return score
}

func warmthOrder(w wire.Warmth) int {
	switch w {
	case wire.WarmthWarm:
		return 2
	case wire.WarmthWarming:
		return 1
	}
	return 0
}
