package policy

import (
	"fmt"
	"slices"
	"time"

	"hornbeamcove.example/core/wire"
)

// admissionPolicies returns variants of ours that differ from it in admission or
// in the order of the queues.
func admissionPolicies() []Policy {
	return []Policy{
		ours.with("none", func(p *Policy) { p.admit = admitAll }),
		ours.with("queue bound", func(p *Policy) { p.admit = admitBound }),
		ours.with("split, mean", func(p *Policy) { p.estimateQuantile = 0 }),
		ours.with("split, fifo", func(p *Policy) { p.fairQueue = false }),
		ours.with("ours, charged", func(p *Policy) { p.chargeActual = true }),
	}
}

// baselinePolicies returns the policies that use no decision packages except
// those that their names mention.
func baselinePolicies() []Policy {
	return []Policy{
		plain,
		plain.with("plain, own", func(p *Policy) { p.choice = chooseTwoOwn }),
		plain.with("plain, own, fair", func(p *Policy) { p.choice, p.fairQueue = chooseTwoOwn, true }),
	}
}

// Admission prints the tables that compare policies for admission and queue order,
// with deadlines met, cost and fairness.
func (m *Measurement) Admission() {
	for _, f := range m.fleets {
		var admissions, deadlines, costs, shareErrors [][]string
		for _, load := range m.loads {
			runs := m.compare(f, load)
			admissions = append(admissions, runs.admissionRows(load)...)
			deadlines = append(deadlines, runs.deadlineRows(f, load, m.upperBound(f, load))...)
			costs = append(costs, runs.costRows(load)...)
			if load > 1 {
				shareErrors = append(shareErrors, runs.shareErrorRows(f, load)...)
			}
		}
		m.table("Admission and order, "+f.name, []string{
			"load", "policy", "met %", "in bursts %", "between %", "useful s", "wasted s",
			"deadline", "queue", "busy", "other", "feasible refused",
		}, admissions)
		m.table("Deadlines met (%) by team and pipeline, "+f.name, append([]string{"load", "policy", "all"}, f.teamAndPipelineNames()...), deadlines)
		head := []string{"load", "policy"}
		for _, p := range f.pools {
			head = append(head, p.name)
		}
		m.table("Cost in upstream seconds by stage, useful/wasted, "+f.name, head, costs)
		head = []string{"load", "policy"}
		for _, t := range f.teams {
			head = append(head, t.name)
		}
		m.table("Error of the engine time of interactive requests by team against its fair share (%), "+f.name+"; bound 0", append(head, "largest"), shareErrors)
	}
}

// teamAndPipelineNames returns the names of all teams, then of all pipelines.
func (f *fleet) teamAndPipelineNames() (all []string) {
	for _, t := range f.teams {
		all = append(all, t.name)
	}
	for _, p := range f.pipelines {
		all = append(all, p.name)
	}
	return all
}

// comparison holds the runs of several policies on the same trace: naive first,
// then the baseline policies, the admission policies and ours.
type comparison []*sim

// compare runs the policies that the admission tables list.
func (m *Measurement) compare(f *fleet, load float64) (rs comparison) {
	for _, p := range slices.Concat([]Policy{naive}, baselinePolicies(), admissionPolicies(), []Policy{ours}) {
		rs = append(rs, m.run(f, load, p))
	}
	return rs
}

// summary returns the runs of naive, of the baseline policy that met most
// deadlines, and of ours.
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
		inBurst, between := o.splitByBurst(int(s.countFrom / time.Second))
		listed := 0 // refusals for the reasons that have a column
		row := []string{
			fmt.Sprint(load), s.policy.Name, percent(o.all.metRatio()), percent(inBurst.metRatio()), percent(between.metRatio()),
			seconds(sum(o.useful)), seconds(sum(o.wasted)),
		}
		for _, r := range []wire.Reason{wire.ReasonDeadline, wire.ReasonQueue, wire.ReasonBusy} {
			row = append(row, fmt.Sprint(o.refusals[r]))
			listed += o.refusals[r]
		}
		rows = append(rows, append(row, fmt.Sprint(o.all.offered-o.all.met-listed), fmt.Sprint(o.feasibleRefused)))
	}
	return rows
}

// splitByBurst counts the requests that arrived during a burst and those that
// arrived between bursts, from firstSecond on.
func (o *outcome) splitByBurst(firstSecond int) (inBurst, between tally) {
	for n, t := range o.bySecond {
		switch {
		case n < firstSecond:
		case time.Duration(n)*time.Second%burstPeriod < burstLength:
			inBurst = tally{inBurst.offered + t.offered, inBurst.met + t.met}
		default:
			between = tally{between.offered + t.offered, between.met + t.met}
		}
	}
	return inBurst, between
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

// shareErrorRows returns the relative error of each team's engine time against its
// max-min fair share of the engine time that the policy spent on all teams.
func (rs comparison) shareErrorRows(f *fleet, load float64) (rows [][]string) {
	for _, s := range rs {
		row, largest := []string{fmt.Sprint(load), s.policy.Name}, 0.0
		fair := f.fairShares(s.outcome.demandByTeam, s.outcome.servedByTeam)
		for i, d := range s.outcome.servedByTeam {
			relError := d.Seconds()/fair[i] - 1
			if relError*relError > largest*largest {
				largest = relError
			}
			row = append(row, fmt.Sprintf("%+.1f", 100*relError))
		}
		rows = append(rows, append(row, fmt.Sprintf("%+.1f", 100*largest)))
	}
	return rows
}

// fairShares returns the weighted max-min fair shares of the total time served,
// in seconds by team. A team gets at most its demand; the rest goes to the others.
func (f *fleet) fairShares(demand, served []time.Duration) []float64 {
	remaining := sum(served).Seconds()
	shares := make([]float64, len(f.teams))
	unsatisfied := make([]bool, len(f.teams))
	for i := range unsatisfied {
		unsatisfied[i] = true
	}
	for {
		weightSum, capped := 0, false
		for i, t := range f.teams {
			if unsatisfied[i] {
				weightSum += t.weight
			}
		}
		perWeight := remaining / float64(max(weightSum, 1))
		for i, t := range f.teams {
			if d := demand[i].Seconds(); unsatisfied[i] && d <= perWeight*float64(t.weight) {
				shares[i], unsatisfied[i], capped = d, false, true
				remaining -= d
				break
			}
		}
		if capped {
			continue
		}
		for i, t := range f.teams {
			if unsatisfied[i] {
				shares[i] = perWeight * float64(t.weight)
			}
		}
		return shares
	}
}
