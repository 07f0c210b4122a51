package share

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

const (
	// demandWindow is the time constant with which measured work decays. A shorter one takes
	// two requests in a row for a burst, a longer one holds a burst against its team when it
	// is over.
	demandWindow = time.Second
	// MaxReportTeams bounds the teams that a Report names.
	MaxReportTeams = 16
	// negligibleRate is the rate in units of work per second below which a team is forgotten.
	negligibleRate = 1e-6
)

// Rate is an amount of work per second. The unit of work is the service's own, such as
// seconds of an upstream or tokens.
type Rate float64

// valid reports whether r is a finite number that is not negative.
func (r Rate) valid() bool { return r >= 0 && !math.IsInf(float64(r), 1) }

// decaying is a sum of work in which old work counts less.
type decaying struct {
	work float64
	at   time.Time
}

func (d *decaying) add(now time.Time, work float64) {
	d.work = d.workAt(now) + work
	if now.After(d.at) {
		d.at = now
	}
}

func (d *decaying) workAt(now time.Time) float64 { return d.work * decay(now.Sub(d.at)) }

func (d *decaying) rate(now time.Time) Rate { return Rate(d.workAt(now) / demandWindow.Seconds()) }

// decay returns how much work of the given age counts, 1 if the age is negative because the
// clock was set back.
func decay(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / demandWindow.Seconds())
}

// Ranks is the number of ranks of requests, from 0, the most urgent.
const Ranks = fleet.RankLevels

// Meter measures the work that teams ask of one service. It is safe for concurrent use. The
// zero value has measured nothing.
type Meter struct {
	mu       sync.Mutex
	asked    [Ranks]decaying
	admitted decaying
	teams    map[rankedTeam]*decaying
}

// rankedTeam is a team's requests of one rank.
type rankedTeam struct {
	rank int
	team wire.TeamID
}

// Ask records that requests of a team and rank ask for work, served or not. Work that is not
// positive and finite is ignored. Beyond 4,096 teams and ranks, the work of a new one counts in
// the total only.
func (m *Meter) Ask(now time.Time, rank int, team wire.TeamID, work float64) {
	if !(work > 0) || work > maxCost {
		return
	}
	id := rankedTeam{fleet.RankLevel(rank), team}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked[id.rank].add(now, work)
	t := m.teams[id]
	if t == nil {
		if m.teams == nil {
			m.teams = make(map[rankedTeam]*decaying)
		}
		if len(m.teams) >= maxTeams {
			return
		}
		t = new(decaying)
		m.teams[id] = t
	}
	t.add(now, work)
}

// Admit records that work that was asked for is admitted.
func (m *Meter) Admit(now time.Time, work float64) {
	if !(work > 0) || work > maxCost {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admitted.add(now, work)
}

// Report returns what the meter measured. It names the teams of one rank that ask for most, as
// many as given and at most MaxReportTeams. It forgets those that ask for nothing any more.
func (m *Meter) Report(now time.Time, rank, teams int) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Report{Admitted: m.admitted.rate(now)}
	var counts [Ranks]int
	var named []TeamRate
	for id, t := range m.teams {
		rate := t.rate(now)
		if rate < negligibleRate {
			delete(m.teams, id)
			continue
		}
		counts[id.rank]++
		if id.rank == rank {
			named = append(named, TeamRate{id.team, rate})
		}
	}
	sortTeams(named)
	named = slices.Clone(named[:min(len(named), max(teams, 0), MaxReportTeams)])
	for i := range m.asked {
		if counts[i] == 0 {
			continue
		}
		d := Demand{Rank: i, Asked: m.asked[i].rate(now), Count: counts[i]}
		if i == rank {
			d.Teams = named
		}
		r.Demands = append(r.Demands, d)
	}
	return r
}

// TeamRate is the work that a team asks for.
type TeamRate struct {
	Team wire.TeamID
	Rate Rate
}

// sortTeams sorts teams by what they ask for, the largest first.
func sortTeams(ts []TeamRate) {
	slices.SortFunc(ts, func(a, b TeamRate) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Team, b.Team)) })
}

// Demand is what the requests of one rank ask of a service.
type Demand struct {
	Rank  int
	Asked Rate       // by all teams, served or not
	Count int        // teams that ask for work
	Teams []TeamRate // some of those that ask for most
}

// isValid is Report.IsValid for one rank.
func (d *Demand) isValid() bool {
	if d.Rank < 0 || d.Rank >= Ranks || !d.Asked.valid() || d.Count < len(d.Teams) || d.Count > maxTeams || len(d.Teams) > MaxReportTeams {
		return false
	}
	sum := Rate(0)
	for _, t := range d.Teams {
		if !t.Rate.valid() {
			return false
		}
		sum += t.Rate
	}
	return sum <= d.Asked*(1+1e-6)
}

// Report is what one router's callers ask of one service. Routers send it to each other.
type Report struct {
	Demands  []Demand // those that aren't 0, the most urgent first
	Admitted Rate     // part of them that was admitted
	Short    bool     // whether the router has turned requests away lately for want of room at the service
}

// IsValid reports whether a report can be right: a router of another build or a damaged
// message may say anything.
func (r *Report) IsValid() bool {
	last := -1
	for i := range r.Demands {
		d := &r.Demands[i]
		if d.Rank <= last || !d.isValid() {
			return false
		}
		last = d.Rank
	}
	return r.Admitted.valid()
}

// Asked returns the work that the requests of all ranks ask for.
func (r *Report) Asked() (sum Rate) {
	for _, d := range r.Demands {
		sum += d.Asked
	}
	return sum
}

// Aged returns the report as of a later time, if nothing was asked for since.
func (r Report) Aged(age time.Duration) Report {
	f := Rate(decay(age))
	r.Admitted *= f
	r.Demands = slices.Clone(r.Demands)
	for i := range r.Demands {
		d := &r.Demands[i]
		d.Asked *= f
		d.Teams = slices.Clone(d.Teams)
		for j := range d.Teams {
			d.Teams[j].Rate *= f
		}
	}
	return r
}

// Sum adds up the reports of several routers. The sum names all teams that one of them names.
// Counts are the largest of the counts, since routers may count the same teams.
func Sum(reports []Report) (sum Report) {
	var demands [Ranks]Demand
	var rates [Ranks]map[wire.TeamID]Rate
	for _, r := range reports {
		sum.Admitted += r.Admitted
		sum.Short = sum.Short || r.Short
		for _, d := range r.Demands {
			total := &demands[d.Rank]
			total.Asked += d.Asked
			total.Count = max(total.Count, d.Count)
			for _, t := range d.Teams {
				if rates[d.Rank] == nil {
					rates[d.Rank] = make(map[wire.TeamID]Rate)
				}
				rates[d.Rank][t.Team] += t.Rate
			}
		}
	}
	for rank := range demands {
		d := &demands[rank]
		if d.Asked == 0 {
			continue
		}
		d.Rank = rank
		for id, rate := range rates[rank] {
			d.Teams = append(d.Teams, TeamRate{id, rate})
		}
		sortTeams(d.Teams)
		d.Count = max(d.Count, len(d.Teams))
		sum.Demands = append(sum.Demands, *d)
	}
	return sum
}
