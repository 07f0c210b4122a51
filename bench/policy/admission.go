package policy

import (
	"fmt"
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

// admissionPolicies are the policies for admission and order; all else is as in ours.
func admissionPolicies() []Policy {
	return []Policy{
		ours.with("none", func(p *Policy) { p.admit = admitAll }),
		ours.with("queue bound", func(p *Policy) { p.admit = admitBound }),
		ours.with("split, mean", func(p *Policy) { p.estimateQuantile = 0 }),
		ours.with("split, fifo", func(p *Policy) { p.fairQueue = false }),
		ours.with("ours, charged", func(p *Policy) { p.chargeActual = true }),
	}
}

// baselinePolicies are the compared policies without any of the decision packages but the
// ones that their names say.
func baselinePolicies() []Policy {
	return []Policy{
		plain,
		plain.with("plain, own", func(p *Policy) { p.choice = chooseTwoOwn }),
		plain.with("plain, own, fair", func(p *Policy) { p.choice, p.fairQueue = chooseTwoOwn, true }),
	}
}

// Admission prints the tables on admission, fairness and cost.
func (m *Measurement) Admission() {
	for _, f := range m.fleets {
		var all, parts, costs, shares [][]string
		for _, load := range m.loads {
			rows := m.compare(f, load)
			all = append(all, rows.admissionRows(load)...)
			parts = append(parts, rows.deadlineRows(f, load, m.upperBound(f, load))...)
			costs = append(costs, rows.costRows(load)...)
			if load > 1 {
				shares = append(shares, rows.shareErrorRows(f, load)...)
			}
		}
		m.table("Admission and order, "+f.name, []string{
			"load", "policy", "met %", "in bursts %", "between %", "useful s", "wasted s",
			"deadline", "queue", "busy", "other", "feasible refused",
		}, all)
		m.table("Deadlines met (%) by team and pipeline, "+f.name, append([]string{"load", "policy", "all"}, f.teamAndPipelineNames()...), parts)
		head := []string{"load", "policy"}
		for _, p := range f.pools {
			head = append(head, p.name)
		}
		m.table("Cost in upstream seconds by stage, useful/wasted, "+f.name, head, costs)
		head = []string{"load", "policy"}
		for _, t := range f.teams {
			head = append(head, t.name)
		}
		m.table("Error of the engine time of interactive requests by team against its fair share (%), "+f.name+"; bound 0", append(head, "largest"), shares)
	}
}

func (f *fleet) teamAndPipelineNames() (all []string) {
	for _, t := range f.teams {
		all = append(all, t.name)
	}
	for _, p := range f.pipelines {
		all = append(all, p.name)
	}
	return all
}

// comparison are the outcomes of several policies on one trace.
type comparison []*sim

func (m *Measurement) compare(f *fleet, load float64) (rs comparison) {
	for _, p := range slices.Concat([]Policy{naive}, baselinePolicies(), admissionPolicies(), []Policy{ours}) {
		rs = append(rs, m.run(f, load, p))
	}
	return rs
}

// summary returns naive, the best of the compared policies, and ours.
func (rs comparison) summary() (out comparison) {
	best := rs[1]
	for _, s := range rs[1 : 1+len(baselinePolicies())] {
		if s.outcome.all.met > best.outcome.all.met {
			best = s
		}
	}
	return comparison{rs[0], best, rs[len(rs)-1]}
}

func (rs comparison) admissionRows(load float64) (rows [][]string) {
	for _, s := range rs {
		o := &s.outcome
		in, between := o.splitByBurst(int(s.countFrom / time.Second))
		known := 0
		row := []string{
			fmt.Sprint(load), s.policy.Name, percent(o.all.metRatio()), percent(in.metRatio()), percent(between.metRatio()),
			seconds(sum(o.useful)), seconds(sum(o.wasted)),
		}
		for _, r := range []wire.Reason{wire.ReasonDeadline, wire.ReasonQueue, wire.ReasonBusy} {
			row = append(row, fmt.Sprint(o.refusals[r]))
			known += o.refusals[r]
		}
		rows = append(rows, append(row, fmt.Sprint(o.all.offered-o.all.met-known), fmt.Sprint(o.feasibleRefused)))
	}
	return rows
}

// splitByBurst divides the requests into those that arrive in the second of a
// retrieval burst and the others.
func (o *outcome) splitByBurst(from int) (in, between tally) {
	for n, t := range o.bySecond {
		switch {
		case n < from:
		case time.Duration(n)*time.Second%burstPeriod < burstLength:
			in = tally{in.offered + t.offered, in.met + t.met}
		default:
			between = tally{between.offered + t.offered, between.met + t.met}
		}
	}
	return in, between
}

func (rs comparison) deadlineRows(f *fleet, load float64, b upperBound) (rows [][]string) {
	for _, s := range rs.summary() {
		row := []string{fmt.Sprint(load), s.policy.Name, percent(s.outcome.all.metRatio())}
		for _, t := range slices.Concat(s.outcome.byTeam, s.outcome.byPipeline) {
			row = append(row, percent(t.metRatio()))
		}
		rows = append(rows, row)
	}
	row := []string{fmt.Sprint(load), "bound", percent(b.metRatio)}
	for range f.teamAndPipelineNames() {
		row = append(row, "-")
	}
	return append(rows, row)
}

func (rs comparison) costRows(load float64) (rows [][]string) {
	for _, s := range rs.summary() {
		row := []string{fmt.Sprint(load), s.policy.Name}
		for i := range s.outcome.useful {
			row = append(row, seconds(s.outcome.useful[i])+"/"+seconds(s.outcome.wasted[i]))
		}
		rows = append(rows, row)
	}
	return rows
}

// shareErrorRows compares the engine time of each team with its max-min fair share of
// the time that the policy spent on all teams.
func (rs comparison) shareErrorRows(f *fleet, load float64) (rows [][]string) {
	for _, s := range rs {
		row, largest := []string{fmt.Sprint(load), s.policy.Name}, 0.0
		fair := f.fairShares(s.outcome.demandByTeam, s.outcome.servedByTeam)
		for i, d := range s.outcome.servedByTeam {
			e := d.Seconds()/fair[i] - 1
			if e*e > largest*largest {
				largest = e
			}
			row = append(row, fmt.Sprintf("%+.1f", 100*e))
		}
		rows = append(rows, append(row, fmt.Sprintf("%+.1f", 100*largest)))
	}
	return rows
}

// fairShares divides the time served by weight. A team gets at most its demand;
// what it leaves over goes to the others.
func (f *fleet) fairShares(demand, served []time.Duration) []float64 {
	left := sum(served).Seconds()
	out := make([]float64, len(f.teams))
	open := make([]bool, len(f.teams))
	for i := range open {
		open[i] = true
	}
	for {
		weights, again := 0, false
		for i, t := range f.teams {
			if open[i] {
				weights += t.weight
			}
		}
		unit := left / float64(max(weights, 1))
		for i, t := range f.teams {
			if d := demand[i].Seconds(); open[i] && d <= unit*float64(t.weight) {
				out[i], open[i], again = d, false, true
				left -= d
				break
			}
		}
		if again {
			continue
		}
		for i, t := range f.teams {
			if open[i] {
				out[i] = unit * float64(t.weight)
			}
		}
		return out
	}
}
