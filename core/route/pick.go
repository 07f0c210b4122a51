package route

import (
	"math/rand/v2"
	"time"

	"hornbeamcove.example/core/wire"
)

// Each term is a fraction of the limit. All are small, so that they decide
// between replicas of similar load and never send everyone to one replica.
const (
	// prefixBonus is the extra load accepted for a cached prefix.
	prefixBonus = 0.15
	// maxDistancePenalty is the penalty of a distant replica, and halfPenaltyDelay the
	// one-way delay with half of it; neighbouring data centres (0.5 to 1.5 ms)
	// come to 0.01 to 0.03 and other regions to more than half.
	maxDistancePenalty = 0.2
	halfPenaltyDelay   = wire.Micros(10 * time.Millisecond / time.Microsecond)
)

// Candidate is a replica that may receive a call.
type Candidate struct {
	Upstream     wire.UpstreamID
	Distance     wire.Micros // one-way delay
	Limit        wire.Slots  // from the last report, like Flight, Queued and Seen
	InFlight     wire.Slots
	Queued       wire.Slots
	OwnInFlight  wire.Slots // this router's calls in flight now
	OwnReported  wire.Slots // this router's calls counted in the report
	OwnFailed    wire.Slots // this router's calls that failed there within about a second
	Warmth       wire.Warmth
	PrefixCached bool // the prompt's prefix is probably cached
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

// Choice is the candidate to use and why.
type Choice struct {
	Index  int
	Reason string
}

// Pick chooses between two random candidates that have room. It compares
// (own calls + reported calls of other routers) / limit. Own calls are counted
// as of now and taken out of the report: a router that relied on the late
// report alone would send all calls of a report interval to the same replica.
// ok is false when no candidate has room.
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

// nthWithRoom returns the index of the candidate with room that n others with room precede.
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

// prefer returns the better of the candidates i and j.
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

// used returns the calls at the replica: own ones now and others as reported.
func (c *Candidate) used() wire.Slots {
	return c.OwnInFlight + max(0, c.InFlight+c.Queued-c.OwnReported)
}

func (c *Candidate) hasRoom() bool { return c.used() < c.Limit }

// load counts recent failures as calls: a replica that fails its calls at once
// would otherwise look idle and draw most of the traffic. They take no room,
// since requests that fail everywhere would then fill the pool for all teams.
func (c *Candidate) load() float64 { return float64(c.used()+c.OwnFailed) / float64(c.Limit) }

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
