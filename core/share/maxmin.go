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
	// shortageEnd is the time without a shortage after which it counts as over.
	shortageEnd = 500 * time.Millisecond
	// calmWait is the fraction of the tolerated wait below which a wait shows no shortage.
	calmWait = 0.5
	// capacityWindow is the time constant with which the capacity of a service that states
	// none decays to the work that is admitted. What is admitted falls as soon as teams are held
	// to their shares, which must not make the shares smaller in turn.
	capacityWindow = 5 * time.Second
	// minCapacity is the fraction of the capacity that is always divided, however much waits.
	minCapacity = 0.5
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

// Change reports that a team has gone over its share or is back within it.
type Change struct {
	Team   wire.TeamID
	Over   bool
	Demand Rate // 0 if the team is not among those that ask for most any more
	Share  Rate
}

// Division is the outcome of Divider.Update.
type Division struct {
	Short    bool // whether the service is short of room
	Over     Over // nil if no team is over its share
	Capacity Rate
	Level    Rate // rate per unit of weight up to which teams are within their share, infinite without a shortage
	Asked    Report
	Changes  []Change // in the order of the teams' names
}

// Divider divides a service that is short of room among the teams that ask for its work, by
// weighted max-min shares. It answers bursts of one team that make a service short for all: a
// team that asks for less than its share does not pay for them, and what such teams leave is
// divided among the others. Without a shortage no team is over its share. It is not safe for
// concurrent use. The zero value has seen no shortage.
type Divider struct {
	short    bool
	shortAt  time.Time // last time at which the service was short
	capacity Rate      // as estimated from what was admitted
	at       time.Time // time of capacity
	over     Over
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
	div := Division{Capacity: d.estimate(now, in, sum.Admitted), Level: Rate(math.Inf(1)), Asked: sum}
	d.observeShortage(now, in, sum.Short)
	next := Over(nil)
	if div.Short = d.short; d.short {
		div.Level, next = d.divide(div.Capacity, sum, in.Weight)
	}
	div.Changes = changes(d.over, next, sum, div.Level, in.Weight)
	d.over, div.Over = next, next
	return div
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
	d.capacity, d.at = max(admitted, admitted+(d.capacity-admitted)*f), now
	return d.capacity
}

// observeShortage begins a shortage at once and ends it after shortageEnd without one.
func (d *Divider) observeShortage(now time.Time, in Input, reported bool) {
	short, calm := reported, !reported
	if in.Tolerated > 0 {
		short, calm = in.Wait >= in.Tolerated, in.Wait < time.Duration(calmWait*float64(in.Tolerated))
	}
	switch {
	case short:
		d.short, d.shortAt = true, now
	case d.short && !calm:
		d.shortAt = now
	case d.short && now.Sub(d.shortAt) >= shortageEnd:
		d.short = false
	}
}

// divide returns the level and the teams over their share. Teams that no report names count
// as a group that asks for the same each. If no team is within its share, none is over it:
// there is nobody to protect.
func (d *Divider) divide(capacity Rate, sum Report, weight func(wire.TeamID) float64) (level Rate, over Over) {
	claims := make([]Claim, 0, len(sum.Teams)+1)
	named := Rate(0)
	for _, t := range sum.Teams {
		claims = append(claims, Claim{t.Rate, weightOf(weight, t.Team)})
		named += t.Rate
	}
	if others := sum.Count - len(sum.Teams); others > 0 {
		claims = append(claims, Claim{max(sum.Asked-named, 0), float64(others)})
	}
	level = Level(capacity, claims)
	within := false
	for _, c := range claims {
		within = within || c.Rate <= Rate(c.Weight)*level
	}
	if !within || level <= 0 {
		return level, nil
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
	return level, over
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
func changes(before, after Over, sum Report, level Rate, weight func(wire.TeamID) float64) (cs []Change) {
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
