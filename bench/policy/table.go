package policy

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Measurement compares the policies on several fleets and loads and prints the
// results as tables.
type Measurement struct {
	w      io.Writer
	seed   uint64
	loads  []float64 // multiples of fleet.saturationRate
	fleets []*fleet
	warmup time.Duration // time before requests are counted
	window time.Duration // time in which the counted requests arrive
}

// New returns a Measurement that prints to w and draws all random numbers from seed.
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

// table prints a title, the column heads and the rows in aligned columns.
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

// run simulates one policy on a fresh trace.
func (m *Measurement) run(f *fleet, load float64, p Policy, opts ...option) *sim {
	s := newSim(f, p, m.seed, append([]option{func(s *sim) { s.countFrom, s.countUntil = m.warmup, m.warmup+m.window }}, opts...)...)
	s.run(newTrace(f, load, s.countUntil, m.seed))
	return s
}

// upperBound is a limit that no policy can exceed. It assumes that the engines work
// without a pause from the first counted arrival until the last deadline, on the
// shortest requests only, each with its prefix cached.
type upperBound struct {
	metRatio   float64       // fraction of requests that meet their deadline
	engineTime time.Duration // slot time of these requests on the engines
}

// upperBound computes the bound for the counted requests of a trace. Requests
// without an engine stage always count as met.
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
	capacity := time.Duration(f.pools[0].replicas*f.pools[0].slots) * (m.window + deadline)
	slices.Sort(costs)
	for _, c := range costs {
		if capacity -= c; capacity < 0 {
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

// quantileMillis returns the p-quantile of ds in whole milliseconds, or "-" when ds is
// empty.
func quantileMillis(ds []time.Duration, p float64) string {
	if len(ds) == 0 {
		return "-"
	}
	s := slices.Sorted(slices.Values(ds))
	return fmt.Sprint(int64(s[int(p*float64(len(s)-1))] / ms))
}

func sum(ds []time.Duration) (total time.Duration) {
	for _, d := range ds {
		total += d
	}
	return total
}

// imbalance returns the highest load of an engine over the mean load, averaged over
// the samples.
func (s *sim) imbalance() string {
	return fmt.Sprintf("%.2f", s.imbalanceSum/max(s.imbalanceSamples, 1))
}

// falseColds returns how often a limiter took a warm upstream for a cold one.
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
