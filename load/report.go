package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hornbeamcove.example/core/wire"
)

const (
	// maxLatency bounds recorded latencies; longer ones count as this.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Report sums up a run. Shares are from 0 to 1 and latencies in milliseconds.
type Report struct {
	Counts
	// WorstSecond is the lowest attainment of any second in which requests were due.
	WorstSecond float64        `json:"worst"`
	Latency     Quantiles      `json:"latency"`
	FirstChunk  Quantiles      `json:"first"`
	Pipelines   []Pipeline     `json:"pipelines"`
	Stages      []Stage        `json:"stages"`
	Refusals    []RefusalCount `json:"refusals"`
	Errors      map[string]int `json:"errors"`
	PerSecond   []Counts       `json:"seconds"`
}

// Counts says how requests ended. Sent requests were answered, refused or failed; Shed
// ones were due but not sent, because too many were in flight.
type Counts struct {
	Due      int `json:"due"`
	Shed     int `json:"shed"`
	Sent     int `json:"sent"`
	Resent   int `json:"resent"`
	Answered int `json:"answered"`
	Attained int `json:"attained"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Attainment is the share of due requests that were answered in time.
	Attainment float64 `json:"attainment"`
}

// Pipeline is the part of a report about one pipeline.
type Pipeline struct {
	Pipeline wire.PipelineID `json:"pipeline"`
	Counts
	Latency    Quantiles `json:"latency"`
	FirstChunk Quantiles `json:"first"`
}

// Stage sums up one stage of the answered requests of a pipeline.
type Stage struct {
	Pipeline   wire.PipelineID `json:"pipeline"`
	Stage      wire.StageID    `json:"stage"`
	Requests   int             `json:"requests"`
	Retried    int             `json:"retried"`
	MeanMillis float64         `json:"millis"` // mean
	Cost       wire.Cost       `json:"cost"`
}

// RefusalCount counts the refusals of one kind.
type RefusalCount struct {
	Pipeline wire.PipelineID `json:"pipeline"`
	Team     wire.TeamID     `json:"team"`
	Reason   wire.Reason     `json:"reason"`
	Executed wire.Executed   `json:"executed"`
	Count    int             `json:"count"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

type stageKey struct {
	pipeline wire.PipelineID
	stage    wire.StageID
}

// collector collects outcomes; its owner locks.
type collector struct {
	deadline  time.Duration
	total     *stats
	pipelines map[wire.PipelineID]*stats
	stages    map[stageKey]*Stage
	refusals  map[RefusalCount]int
	errors    map[string]int
	perSecond []Counts
}

// stats collects counts and latencies.
type stats struct {
	Counts
	latency, firstChunk *hdrhistogram.Histogram
}

func newStats() *stats {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	return &stats{latency: h(), firstChunk: h()}
}

func newCollector(cfg *Config) *collector {
	t := &collector{
		deadline:  cfg.Deadline,
		total:     newStats(),
		pipelines: map[wire.PipelineID]*stats{},
		stages:    map[stageKey]*Stage{},
		refusals:  map[RefusalCount]int{},
		errors:    map[string]int{},
		perSecond: make([]Counts, int(cfg.Duration/time.Second)+1),
	}
	for _, r := range cfg.Rates {
		t.pipelines[r.Pipeline] = newStats()
	}
	return t
}

// shed counts a request that was due but not sent.
func (t *collector) shed(a arrival) {
	for _, c := range []*Counts{&t.total.Counts, &t.pipelines[a.pipeline].Counts, &t.perSecond[a.offset/time.Second]} {
		c.Due++
		c.Shed++
	}
}

// add counts a request that was sent.
func (t *collector) add(o outcome) {
	g := t.pipelines[o.arrival.pipeline]
	for _, c := range []*Counts{&t.total.Counts, &g.Counts, &t.perSecond[o.arrival.offset/time.Second]} {
		c.add(o, t.deadline)
	}
	switch {
	case o.err != nil:
		t.errors[errorKind(o.err)]++
	case o.refusal != nil:
		r := o.refusal
		t.refusals[RefusalCount{Pipeline: o.arrival.pipeline, Team: r.Team, Reason: r.Reason, Executed: r.Executed}]++
	default:
		t.total.record(o)
		g.record(o)
		t.addStages(o)
	}
}

func (c *Counts) add(o outcome, deadline time.Duration) {
	c.Due++
	c.Sent++
	c.Resent += o.resends
	switch {
	case o.err != nil:
		c.Failed++
	case o.refusal != nil:
		c.Refused++
	default:
		c.Answered++
		if o.latency <= deadline {
			c.Attained++
		}
	}
}

func (g *stats) record(o outcome) {
	record(g.latency, o.latency)
	if o.firstChunk > 0 {
		record(g.firstChunk, o.firstChunk)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(max(1, min(d, maxLatency).Microseconds())) // the value is in range
}

func (t *collector) addStages(o outcome) {
	for _, a := range o.answer.Stages {
		key := stageKey{o.arrival.pipeline, a.Stage}
		s := t.stages[key]
		if s == nil {
			s = &Stage{Pipeline: key.pipeline, Stage: key.stage}
			t.stages[key] = s
		}
		s.Requests++
		if a.Attempt > 1 {
			s.Retried++
		}
		s.MeanMillis += a.Millis
		s.Cost.Input += a.Cost.Input
		s.Cost.Cached += a.Cost.Cached
		s.Cost.Output += a.Cost.Output
		s.Cost.Calls += a.Cost.Calls
		s.Cost.Busy += a.Cost.Busy
	}
}

func (t *collector) report() *Report {
	r := &Report{
		Counts: t.total.withAttainment(), WorstSecond: 1, Errors: t.errors,
		Latency: quantiles(t.total.latency), FirstChunk: quantiles(t.total.firstChunk),
		Pipelines: []Pipeline{}, Stages: []Stage{}, Refusals: []RefusalCount{}, PerSecond: []Counts{},
	}
	for _, name := range slices.Sorted(maps.Keys(t.pipelines)) {
		g := t.pipelines[name]
		r.Pipelines = append(r.Pipelines, Pipeline{name, g.withAttainment(), quantiles(g.latency), quantiles(g.firstChunk)})
	}
	for _, s := range t.stages {
		s.MeanMillis /= float64(s.Requests)
		r.Stages = append(r.Stages, *s)
	}
	slices.SortFunc(r.Stages, func(a, b Stage) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Stage, b.Stage))
	})
	for c, n := range t.refusals {
		c.Count = n
		r.Refusals = append(r.Refusals, c)
	}
	slices.SortFunc(r.Refusals, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Executed, b.Executed))
	})
	for _, c := range t.perSecond {
		c = c.withAttainment()
		r.PerSecond = append(r.PerSecond, c)
		if c.Due > 0 {
			r.WorstSecond = min(r.WorstSecond, c.Attainment)
		}
	}
	return r
}

func (c Counts) withAttainment() Counts {
	if c.Due > 0 {
		c.Attainment = float64(c.Attained) / float64(c.Due)
	}
	return c
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{h.TotalCount(), at(50), at(90), at(95), at(99), float64(h.Max()) / 1000}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "pipeline\tdue\tshed\tsent\tresent\tanswered\tin time\tattainment\trefused\tfailed\tp50 ms\tp95 ms\tp99 ms\tfirst p50\tfirst p95")
	for _, p := range append(r.Pipelines, Pipeline{"all", r.Counts, r.Latency, r.FirstChunk}) {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n",
			p.Pipeline, p.Due, p.Shed, p.Sent, p.Resent, p.Answered, p.Attained, p.Attainment, p.Refused, p.Failed,
			p.Latency.P50, p.Latency.P95, p.Latency.P99, p.FirstChunk.P50, p.FirstChunk.P95)
	}
	fmt.Fprintf(tw, "\nworst second\t%.4f\n", r.WorstSecond)
	if len(r.Stages) > 0 {
		fmt.Fprintln(tw, "\npipeline\tstage\trequests\tretried\tmean ms\tcalls\tinput\tcached\toutput\tbusy ms")
	}
	for _, s := range r.Stages {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%.1f\n", s.Pipeline, s.Stage, s.Requests, s.Retried,
			s.MeanMillis, s.Cost.Calls, s.Cost.Input, s.Cost.Cached, s.Cost.Output, float64(s.Cost.Busy)/1000)
	}
	if len(r.Refusals) > 0 {
		fmt.Fprintln(tw, "\npipeline\tteam\trefused for\texecuted\tcount")
	}
	for _, c := range r.Refusals {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\n", c.Pipeline, c.Team, c.Reason, c.Executed, c.Count)
	}
	if len(r.Errors) > 0 {
		fmt.Fprintln(tw, "\nfailure\tcount")
	}
	for _, name := range slices.Sorted(maps.Keys(r.Errors)) {
		fmt.Fprintf(tw, "%s\t%d\n", name, r.Errors[name])
	}
	return tw.Flush()
}
