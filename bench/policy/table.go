package policy

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Measure is one run of all measurements.
type Measure struct {
	w     io.Writer
	seed  uint64
	loads []float64
	fleet []*fleet
	warm  time.Duration // before the counted window
	span  time.Duration // of the counted window
}

// New returns measurements that print to w.
func New(w io.Writer, seed uint64) *Measure {
	return &Measure{w, seed, []float64{0.7, 1, 1.5}, []*fleet{consorzio(), utility()}, warmup, window}
}

// All prints every table.
func (m *Measure) All() {
	fmt.Fprintf(m.w, "seed %d, %v counted after %v, load 1.0 uses the engines fully when every prefix is cached\n", m.seed, m.span, m.warm)
	m.Choice()
	m.Admission()
	m.Cold()
	m.Centre()
	m.Retries()
	m.Crashes()
}

// table prints rows of cells under a title.
func (m *Measure) table(title string, head []string, rows [][]string) {
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
func (m *Measure) run(f *fleet, load float64, p Policy, opts ...option) *sim {
	s := newSim(f, p, m.seed, append([]option{func(s *sim) { s.warm, s.span = m.warm, m.warm+m.span }}, opts...)...)
	s.run(trace(f, load, s.span, m.seed))
	return s
}

// bound is what no policy could pass: the engines work on the shortest requests
// only, each with its prefix cached, from the first counted arrival until the
// last deadline.
type bound struct {
	part   float64       // of the deadlines met
	useful time.Duration // cost of the engines
}

func (m *Measure) bound(f *fleet, load float64) (b bound) {
	span := m.warm + m.span
	var costs []time.Duration
	met, offered := 0, 0
	for _, q := range trace(f, load, span, m.seed) {
		if q.at < m.warm {
			continue
		}
		offered++
		cost := time.Duration(0)
		for i, p := range f.pipes[q.pipe].stages {
			if f.pools[p].engine() {
				cost += q.work[i].least()
			}
		}
		if cost == 0 {
			met++
			continue
		}
		costs = append(costs, cost)
	}
	room := time.Duration(f.pools[0].count*f.pools[0].slots) * (m.span + deadline)
	slices.Sort(costs)
	for _, c := range costs {
		if room -= c; room < 0 {
			break
		}
		met++
		b.useful += c
	}
	b.part = float64(met) / float64(max(offered, 1))
	return b
}

func percent(x float64) string { return fmt.Sprintf("%.1f", 100*x) }

func seconds(d time.Duration) string { return fmt.Sprintf("%.0f", d.Seconds()) }

// quantile returns the p-th quantile of ds in milliseconds.
func quantile(ds []time.Duration, p float64) string {
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
func (s *sim) imbalance() string { return fmt.Sprintf("%.2f", s.skewSum/max(s.skewed, 1)) }

func (s *sim) chills() (n int) {
	for _, us := range s.pools {
		for _, u := range us {
			n += u.agent.chills
		}
	}
	return n
}

func (o *outcome) hitPart() string { return percent(float64(o.hits) / float64(max(o.engine, 1))) }
