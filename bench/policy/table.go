package policy

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Measurement is one run of all measurements.
type Measurement struct {
	w      io.Writer
	seed   uint64
	loads  []float64
	fleets []*fleet
	warmup time.Duration // before the counted window
	window time.Duration // of the counted window
}

// New returns measurements that print to w.
func New(w io.Writer, seed uint64) *Measurement {
	return &Measurement{w, seed, []float64{0.7, 1, 1.5}, []*fleet{consorzio(), utility()}, warmup, window}
}

// All prints every table.
func (m *Measurement) All() {
	fmt.Fprintf(m.w, "seed %d, %v counted after %v, load 1.0 uses the engines fully when every prefix is cached\n", m.seed, m.window, m.warmup)
	m.Choice()
	m.Admission()
	m.Cold()
	m.Centre()
	m.Retries()
	m.Crashes()
}

// table prints rows of cells under a title.
func (m *Measurement) table(title string, head []string, rows [][]string) {
	fmt.Fprintf(m.w, "\n%s\n\n", title)
	t := tabwriter.NewWriter(m.w, 0, 0, 2, ' ', 0)
	for _, r := range append([][]string{head}, rows...) {
		for i, c := range r {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, c)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
}

// run measures one policy on a fresh trace.
func (m *Measurement) run(f *fleet, load float64, p Policy, opts ...option) *sim {
	s := newSim(f, p, m.seed, append([]option{func(s *sim) { s.countFrom, s.countUntil = m.warmup, m.warmup+m.window }}, opts...)...)
	s.run(newTrace(f, load, s.countUntil, m.seed))
	return s
}

// upperBound is what no policy could pass: the engines work on the shortest requests
// only, each with its prefix cached, from the first counted arrival until the
// last deadline.
type upperBound struct {
	metRatio   float64       // of the deadlines met
	engineTime time.Duration // cost of the engines
}

func (m *Measurement) upperBound(f *fleet, load float64) (b upperBound) {
	span := m.warmup + m.window
	var costs []time.Duration
	met, offered := 0, 0
	for _, q := range newTrace(f, load, span, m.seed) {
		if q.arrival < m.warmup {
			continue
		}
		offered++
		cost := time.Duration(0)
		for i, p := range f.pipelines[q.pipeline].stages {
			if f.pools[p].engine() {
				cost += q.work[i].minBusy()
			}
		}
		if cost == 0 {
			met++
			continue
		}
		costs = append(costs, cost)
	}
	room := time.Duration(f.pools[0].replicas*f.pools[0].slots) * (m.window + deadline)
	slices.Sort(costs)
	for _, c := range costs {
		if room -= c; room < 0 {
			break
		}
		met++
		b.engineTime += c
	}
	b.metRatio = float64(met) / float64(max(offered, 1))
	return b
}

func percent(x float64) string { return fmt.Sprintf("%.1f", 100*x) }

func seconds(d time.Duration) string { return fmt.Sprintf("%.0f", d.Seconds()) }

// quantileMillis returns the p-th quantile of ds in milliseconds.
func quantileMillis(ds []time.Duration, p float64) string {
	if len(ds) == 0 {
		return "-"
	}
	s := slices.Sorted(slices.Values(ds))
	return fmt.Sprint(int64(s[int(p*float64(len(s)-1))] / ms))
}

func sum(ds []time.Duration) (all time.Duration) {
	for _, d := range ds {
		all += d
	}
	return all
}

// imbalance is the highest load of an engine over the mean.
func (s *sim) imbalance() string {
	return fmt.Sprintf("%.2f", s.imbalanceSum/max(s.imbalanceSamples, 1))
}

func (s *sim) falseColds() (n int) {
	for _, us := range s.upstreams {
		for _, u := range us {
			n += u.agent.falseColds
		}
	}
	return n
}

func (o *outcome) prefixHitPercent() string {
	return percent(float64(o.prefixHits) / float64(max(o.engineCalls, 1)))
}
