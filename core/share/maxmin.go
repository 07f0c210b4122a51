package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

// Claim is the work that a team asks for and the team's weight, or those of a group of teams
// that ask for the same each.
type Claim struct {
	Rate   Rate
	Weight float64 // positive; of a group, the sum of its weights
}

// Level returns the weighted max-min fair level: the rate per unit of weight up to which every
// claim can be met (Bertsekas and Gallager, Data Networks, section 6.5). It is infinite if
// capacity meets all claims.
func Level(capacity Rate, claims []Claim) Rate {
	sorted := slices.Clone(claims)
	perWeight := func(c Claim) float64 { return float64(c.Rate) / c.Weight }
	slices.SortFunc(sorted, func(a, b Claim) int { return cmp.Compare(perWeight(a), perWeight(b)) })
	weight := 0.0
	for _, c := range sorted {
		weight += c.Weight
	}
	left := float64(max(capacity, 0))
	for _, c := range sorted {
		if perWeight(c)*weight > left {
			return Rate(left / weight)
		}
		left = max(left-float64(c.Rate), 0)
		weight -= c.Weight
	}
	return Rate(math.Inf(1))
}

// Share returns what a claim gets at a level.
func (c Claim) Share(level Rate) Rate {
	if math.IsInf(float64(level), 1) {
		return c.Rate
	}
	return min(c.Rate, Rate(c.Weight)*level)
}

const (
	// overMargin is by what ratio a team exceeds its share before it counts as over it. It
	// stays so until it asks for no more than its share. The margin keeps a team that asks for
	// about its share from changing sides with every measurement.
	overMargin = 0.1
	// shortageEnd is the time without a shortage after which it counts as over, and heldEnd that
	// after which it does although more is asked for than can be done. The wait is short then
	// because teams are held to their shares, and would be long again if they were not.
	shortageEnd = 500 * time.Millisecond
	heldEnd     = 3 * time.Second
	// levelWindow is the time constant with which the level rises. It falls at once. The waits
	// in a queue rise and fall with each burst and call, and with them what is left to divide.
	levelWindow = time.Second
	// calmWait is the fraction of the tolerated wait below which a wait shows no shortage.
	calmWait = 0.5
	// capacityWindow is the time constant with which the capacity of a service that states
	// none decays to the work that is admitted. What is admitted falls as soon as teams are held
	// to their shares, which must not make the shares smaller in turn.
	capacityWindow = 5 * time.Second
	// minCapacity is the fraction of the capacity that is always divided, however much waits. A
	// queue whose length admission control holds does what arrives.
	minCapacity = 0.8
)

// Input is what is known of one service when Divider.Update decides.
type Input struct {
	// Wait is the expected time in the service's queue, and Tolerated the longest with which
	// the requests that use the service are on time. Tolerated is 0 for a service without a
	// queue, which is short if a report says so.
	Wait, Tolerated time.Duration
	// Capacity is the work per second that the service can do. It is 0 if that is unknown; the
	// work that was admitted lately is taken for it then.
	Capacity Rate
	// Reports holds those of the routers that were heard of.
	Reports []Report
	// Coverage is the fraction of all routers that Reports covers, those that report nothing
	// because they have no callers included. These routers have that fraction of Capacity.
	Coverage float64
	Weight   func(wire.TeamID) float64 // nil if all teams have the same
}

// Over tells for each team that asks for more than its share of a service by what ratio it
// does so: 0.5 is half as much again as its share. It is not changed after it was returned.
type Over map[wire.TeamID]float64

// IsValid reports whether the ratios can be right, as Report.IsValid does.
func (o Over) IsValid() bool {
	for _, ratio := range o {
		if !Rate(ratio).valid() {
			return false
		}
	}
	return true
}

// Exceeds reports whether a request of a team counts to the part of the team's demand that exceeds
// its share. ratio is that of Over, draw a number in [0, 1) that is spread evenly over the team's
// requests. With all requests of such teams taken alike, one that asks for a tenth more would lose
// as much as one that asks for ten times its share.
func Exceeds(ratio, draw float64) bool { return draw*(1+ratio) < ratio }

// Change reports that a team has gone over its share or is back within it.
type Change struct {
	Team   wire.TeamID
	Over   bool
	Demand Rate // 0 if the team is not among those that ask for most any more
	Share  Rate
}

// Division is the outcome of Divider.Update.
type Division struct {
	Short bool // whether the service is short of room
	// Rank is the most urgent rank whose requests ask for more than the more urgent ones leave.
	// Those of less urgent ranks get nothing of their own. If there is room for all, it is the
	// least urgent.
	Rank     int
	Over     Over // of requests of Rank; nil if no team is over its share
	Capacity Rate
	Level    Rate     // rate per unit of weight up to which teams are within their share, infinite without a shortage
	Asked    Rate     // by all ranks
	Demand   Demand   // of Rank, by all routers
	Changes  []Change // in the order of the teams' names
}

// Divider divides a service that is short of room among the teams that ask for its work. What the
// more urgent ranks leave to the rank that can't be served in full is divided by weighted max-min
// shares. It answers bursts of one team that make a service short for all: a team that asks for
// less than its share does not pay for them, and what such teams leave is divided among the
// others. Without a shortage no team is over its share. It is not safe for concurrent use. The
// zero value has seen no shortage.
type Divider struct {
	short    bool
	shortAt  time.Time // last time at which the service was short
	calmAt   time.Time // last time at which the service was short, or had more to do than it can
	capacity Rate      // as estimated from what was admitted
	level    Rate      // infinite without a shortage
	rank     int       // as in Division
	at       time.Time // last update
	over     Over      // of requests of rank
	logged   Over      // over before the rank changed
}

// Update decides which teams are over their share from now on. Invalid reports are ignored.
func (d *Divider) Update(now time.Time, in Input) Division {
	valid := make([]Report, 0, len(in.Reports))
	for _, r := range in.Reports {
		if r.IsValid() {
			valid = append(valid, r)
		}
	}
	sum := Sum(valid)
	div := Division{Capacity: d.estimate(now, in, sum.Admitted), Level: Rate(math.Inf(1)), Asked: sum.Asked()}
	wasShort := d.short
	d.observeShortage(now, in, sum.Short, div.Asked > div.Capacity)
	demand, left := marginal(sum, div.Capacity)
	div.Rank, div.Demand = demand.Rank, demand
	if div.Rank != d.rank {
		d.over, wasShort = nil, false
	}
	next := Over(nil)
	if div.Short = d.short; d.short {
		claims := claimsOf(demand, in.Weight)
		div.Level = Level(left, claims)
		if wasShort {
			div.Level = d.rise(now, div.Level, claims)
		}
		next = d.divide(div.Level, demand, claims)
	}
	div.Changes = changes(d.logged, next, demand, div.Level, in.Weight)
	d.over, d.logged, div.Over = next, next, next
	d.level, d.at, d.rank = div.Level, now, div.Rank
	return div
}

// marginal returns the demand of the most urgent rank that asks for more than is left of the
// capacity, and what is left for it. If there is none, it returns that of the least urgent rank.
func marginal(sum Report, capacity Rate) (demand Demand, left Rate) {
	left = capacity
	for i, d := range sum.Demands {
		demand = d
		if d.Asked > left || i == len(sum.Demands)-1 {
			break
		}
		left -= d.Asked
	}
	return demand, left
}

// estimate returns the capacity for what the routers that were heard of are asked for now.
func (d *Divider) estimate(now time.Time, in Input, admitted Rate) Rate {
	if in.Capacity > 0 {
		// What waits for longer than tolerated is done first. Without it, the shares follow a
		// burst only when the measured demand does, after most of demandWindow.
		backlog := max(in.Wait-in.Tolerated, 0).Seconds() / demandWindow.Seconds()
		return in.Capacity * Rate(min(max(in.Coverage, 0), 1)*max(1-backlog, minCapacity))
	}
	f := Rate(math.Exp(-max(now.Sub(d.at), 0).Seconds() / capacityWindow.Seconds()))
	d.capacity = max(admitted, admitted+(d.capacity-admitted)*f)
	return d.capacity
}

// observeShortage begins a shortage at once and ends it after shortageEnd without one, if no more
// is asked for than can be done, or after heldEnd.
func (d *Divider) observeShortage(now time.Time, in Input, reported, overloaded bool) {
	short, calm := reported, !reported
	if in.Tolerated > 0 {
		short, calm = in.Wait >= in.Tolerated, in.Wait < time.Duration(calmWait*float64(in.Tolerated))
	}
	if short {
		d.short = true
	}
	if short || !calm {
		d.shortAt = now
	}
	if short || !calm || overloaded {
		d.calmAt = now
	}
	if now.Sub(d.calmAt) >= shortageEnd || now.Sub(d.shortAt) >= heldEnd {
		d.short = false
	}
}

// rise returns the level between the last one and the next to which it has risen. It rises towards
// one at which no claim is cut, if the next is higher.
func (d *Divider) rise(now time.Time, next Rate, claims []Claim) Rate {
	if next <= d.level {
		return next
	}
	uncut := Rate(0)
	for _, c := range claims {
		uncut = max(uncut, c.Rate/Rate(c.Weight))
	}
	next = max(min(next, (1+overMargin)*uncut), d.level)
	f := Rate(math.Exp(-max(now.Sub(d.at), 0).Seconds() / levelWindow.Seconds()))
	return next + (d.level-next)*f
}

// claimsOf returns the claims of the teams that a demand names, in its order. Those that it does
// not name come last, as a group of teams that ask for the same each.
func claimsOf(sum Demand, weight func(wire.TeamID) float64) []Claim {
	claims := make([]Claim, 0, len(sum.Teams)+1)
	named := Rate(0)
	for _, t := range sum.Teams {
		claims = append(claims, Claim{t.Rate, weightOf(weight, t.Team)})
		named += t.Rate
	}
	if others := sum.Count - len(sum.Teams); others > 0 {
		claims = append(claims, Claim{max(sum.Asked-named, 0), float64(others)})
	}
	return claims
}

// divide returns the teams over their share. A team that asks alone is not: there is nobody to
// protect.
func (d *Divider) divide(level Rate, sum Demand, claims []Claim) (over Over) {
	if sum.Count < 2 || level <= 0 {
		return nil
	}
	for i, t := range sum.Teams {
		excess := float64(t.Rate/(Rate(claims[i].Weight)*level)) - 1
		if _, was := d.over[t.Team]; excess > overMargin || was && excess > 0 {
			if over == nil {
				over = Over{}
			}
			over[t.Team] = excess
		}
	}
	return over
}

func weightOf(weight func(wire.TeamID) float64, team wire.TeamID) float64 {
	if weight != nil {
		if w := weight(team); w > 0 {
			return w
		}
	}
	return 1
}

// changes compares two results of divide.
func changes(before, after Over, sum Demand, level Rate, weight func(wire.TeamID) float64) (cs []Change) {
	add := func(id wire.TeamID, over bool) {
		c := Change{Team: id, Over: over}
		if i := slices.IndexFunc(sum.Teams, func(t TeamRate) bool { return t.Team == id }); i >= 0 {
			c.Demand = sum.Teams[i].Rate
		}
		c.Share = Claim{c.Demand, weightOf(weight, id)}.Share(level)
		cs = append(cs, c)
	}
	for id := range after {
		if _, ok := before[id]; !ok {
			add(id, true)
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			add(id, false)
		}
	}
	slices.SortFunc(cs, func(a, b Change) int { return cmp.Compare(a.Team, b.Team) })
	return cs
}
