package policy

import (
	"fmt"
	"time"
)

// choices are the policies for the choice of a replica, all else as in ours.
func choices() []Policy {
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

// Choice prints the tables on the choice of a replica.
func (m *Measure) Choice() {
	head := []string{"load", "choice", "met %", "p50 ms", "p99 ms", "prefix hits %", "useful s", "wasted s", "imbalance", "false cold", "feasible refused"}
	for _, f := range m.fleet {
		var rows [][]string
		for _, load := range m.loads {
			for _, p := range append([]Policy{naive}, choices()...) {
				s := m.run(f, load, p)
				o := &s.out
				rows = append(rows, []string{
					fmt.Sprint(load), p.Name, percent(o.all.part()), quantile(o.latency, 0.5), quantile(o.latency, 0.99),
					o.hitPart(), seconds(sum(o.useful)), seconds(sum(o.wasted)), s.imbalance(), fmt.Sprint(s.chills()), fmt.Sprint(o.feasible),
				})
			}
			b := m.bound(f, load)
			rows = append(rows, []string{fmt.Sprint(load), "bound", percent(b.part), "-", "-", "100.0", "-", "0", "1.00", "0", "0"})
		}
		m.table("Choice of replica, "+f.name, head, rows)
	}
	m.herding()
}

// herding prints the imbalance of the engines against the age of reports.
func (m *Measure) herding() {
	lags := []time.Duration{0, 100 * ms, 500 * ms}
	head := []string{"fleet", "choice"}
	for _, lag := range lags {
		head = append(head, fmt.Sprintf("imbalance %d ms", lag/ms), fmt.Sprintf("p99 %d ms", lag/ms))
	}
	var rows [][]string
	for _, f := range m.fleet {
		for _, p := range choices() {
			p.limit = limitFixed
			row := []string{f.name, p.Name}
			for _, lag := range lags {
				s := m.run(f, m.loads[0], p, func(s *sim) { s.lag, s.live = lag, lag == 0 })
				row = append(row, s.imbalance(), quantile(s.out.latency, 0.99))
			}
			rows = append(rows, row)
		}
	}
	m.table("Herding: imbalance and latency (ms) against the period of reports, load 0.7, fixed limit; bound 1.00", head, rows)
}
