package share

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

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

// Meter measures the work that teams ask of one service. It is safe for concurrent use. The
// zero value has measured nothing.
type Meter struct {
	mu       sync.Mutex
	asked    decaying
	admitted decaying
	teams    map[wire.TeamID]*decaying
}

// Ask records that a team asks for work, served or not. Work that is not positive and finite
// is ignored. Beyond 4,096 teams, the work of a new one counts in the total only.
func (m *Meter) Ask(now time.Time, team wire.TeamID, work float64) {
	if !(work > 0) || work > maxCost {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked.add(now, work)
	t := m.teams[team]
	if t == nil {
		if m.teams == nil {
			m.teams = make(map[wire.TeamID]*decaying)
		}
		if len(m.teams) >= maxTeams {
			return
		}
		t = new(decaying)
		m.teams[team] = t
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

// Report returns what the meter measured, with the given number of teams named, at most
// MaxReportTeams. It forgets the teams that ask for nothing any more.
func (m *Meter) Report(now time.Time, teams int) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Report{Asked: m.asked.rate(now), Admitted: m.admitted.rate(now)}
	for id, t := range m.teams {
		rate := t.rate(now)
		if rate < negligibleRate {
			delete(m.teams, id)
			continue
		}
		r.Teams = append(r.Teams, TeamRate{id, rate})
	}
	r.Count = len(r.Teams)
	slices.SortFunc(r.Teams, func(a, b TeamRate) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Team, b.Team)) })
	r.Teams = slices.Clone(r.Teams[:min(len(r.Teams), max(teams, 0), MaxReportTeams)])
	return r
}

// TeamRate is the work that a team asks for.
type TeamRate struct {
	Team wire.TeamID
	Rate Rate
}

// Report is what one router's callers ask of one service. Routers send it to each other.
type Report struct {
	Asked    Rate       // by all teams, served or not
	Admitted Rate       // part of Asked that was admitted
	Count    int        // teams that ask for work
	Teams    []TeamRate // those that ask for most, at most MaxReportTeams
	Short    bool       // whether the router has turned requests away lately for want of room at the service
}

// IsValid reports whether a report can be right: a router of another build or a damaged
// message may say anything.
func (r *Report) IsValid() bool {
	if !r.Asked.valid() || !r.Admitted.valid() || r.Count < len(r.Teams) || r.Count > maxTeams || len(r.Teams) > MaxReportTeams {
		return false
	}
	sum := Rate(0)
	for _, t := range r.Teams {
		if !t.Rate.valid() {
			return false
		}
		sum += t.Rate
	}
	return sum <= r.Asked*(1+1e-6)
}

// Aged returns the report as of a later time, if nothing was asked for since.
func (r Report) Aged(age time.Duration) Report {
	f := Rate(decay(age))
	r.Asked *= f
	r.Admitted *= f
	r.Teams = slices.Clone(r.Teams)
	for i := range r.Teams {
		r.Teams[i].Rate *= f
	}
	return r
}

// Sum adds up the reports of several routers. The sum names all teams that one of them names.
// Count is the largest of the counts, since routers may count the same teams.
func Sum(reports []Report) (sum Report) {
	rates := make(map[wire.TeamID]Rate)
	for _, r := range reports {
		sum.Asked += r.Asked
		sum.Admitted += r.Admitted
		sum.Count = max(sum.Count, r.Count)
		sum.Short = sum.Short || r.Short
		for _, t := range r.Teams {
			rates[t.Team] += t.Rate
		}
	}
	for id, rate := range rates {
		sum.Teams = append(sum.Teams, TeamRate{id, rate})
	}
	slices.SortFunc(sum.Teams, func(a, b TeamRate) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Team, b.Team)) })
	sum.Count = max(sum.Count, len(sum.Teams))
	return sum
}
