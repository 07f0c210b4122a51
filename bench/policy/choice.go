package policy

import (
	"fmt"
	"time"
)

// choicePolicies returns variants of ours that differ from it only in the choice of
// a replica.
func choicePolicies() []Policy {
	pick := func(name string, k choiceKind) Policy {
		return ours.with(name, func(p *Policy) { p.choice = k })
	}
	return []Policy{
		pick("random", chooseRandom),
		pick("least, reports", chooseLeast),
		pick("two, reports", chooseTwo),
		pick("least, own", chooseLeastOwn),
		pick("two, own", chooseTwoOwn),
		pick("two, own, holder", chooseHolder),
		pick("ours", choosePrefix),
	}
}

// Choice prints the tables that compare policies for the choice of a replica.
func (m *Measurement) Choice() {
	head := []string{"load", "choice", "met %", "p50 ms", "p99 ms", "prefix hits %", "useful s", "wasted s", "imbalance", "false cold", "feasible refused"}
	for _, f := range m.fleets {
		var rows [][]string
		for _, load := range m.loads {
			for _, p := range append([]Policy{naive}, choicePolicies()...) {
				s := m.run(f, load, p)
				o := &s.outcome
				rows = append(rows, []string{
					fmt.Sprint(load), p.Name, percent(o.all.metRatio()), quantileMillis(o.latency, 0.5), quantileMillis(o.latency, 0.99),
					o.prefixHitPercent(), seconds(sum(o.useful)), seconds(sum(o.wasted)), s.imbalance(), fmt.Sprint(s.falseColds()), fmt.Sprint(o.feasibleRefused),
				})
			}
			b := m.upperBound(f, load)
			rows = append(rows, []string{fmt.Sprint(load), "bound", percent(b.metRatio), "-", "-", "100.0", "-", "0", "1.00", "0", "0"})
		}
		m.table("Choice of replica, "+f.name, head, rows)
	}
	m.herding()
}

// herding prints the imbalance of the engines for several report intervals.
func (m *Measurement) herding() {
	lags := []time.Duration{0, 100 * ms, 500 * ms}
	head := []string{"fleet", "choice"}
	for _, lag := range lags {
		head = append(head, fmt.Sprintf("imbalance %d ms", lag/ms), fmt.Sprintf("p99 %d ms", lag/ms))
	}
	var rows [][]string
	for _, f := range m.fleets {
		for _, p := range choicePolicies() {
			p.limit = limitFixed
			row := []string{f.name, p.Name}
			for _, lag := range lags {
				s := m.run(f, m.loads[0], p, func(s *sim) { s.reportPeriod, s.liveReports = lag, lag == 0 })
				row = append(row, s.imbalance(), quantileMillis(s.outcome.latency, 0.99))
			}
			rows = append(rows, row)
		}
	}
	m.table("Herding: imbalance and latency (ms) against the period of reports, load 0.7, fixed limit; bound 1.00", head, rows)
}
