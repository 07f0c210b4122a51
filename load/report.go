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
	// maxLatency is the longest latency recorded; longer ones are recorded as maxLatency.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of the latency histograms in decimal digits.
	significantDigits = 3
)

// Report summarises a run. Shares are between 0 and 1 and latencies in milliseconds.
// FirstChunk is the latency of the first chunk of streams, Errors counts failures by kind,
// and PerSecond has the counts of each second by the time at which requests were due.
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

// Counts says how requests ended. Each request that was due is either sent or, if too many
// are in flight, shed. Each one sent is answered, refused or failed. Attained counts those
// answered within the deadline and Resent the resends after lost connections.
type Counts struct {
	Due      int `json:"due"`
	Shed     int `json:"shed"`
	Sent     int `json:"sent"`
	Resent   int `json:"resent"`
	Answered int `json:"answered"`
	Attained int `json:"attained"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Attainment is the share of due requests that were answered within the deadline.
	Attainment float64 `json:"attainment"`
}

// Pipeline is the part of the report about one pipeline.
type Pipeline struct {
	Pipeline wire.PipelineID `json:"pipeline"`
	Counts
	Latency    Quantiles `json:"latency"`
	FirstChunk Quantiles `json:"first"`
}

// Stage summarises one stage of a pipeline over all answered requests.
type Stage struct {
	Pipeline   wire.PipelineID `json:"pipeline"`
	Stage      wire.StageID    `json:"stage"`
	Requests   int             `json:"requests"`
	Retried    int             `json:"retried"` // requests in which the stage took more than one attempt
	MeanMillis float64         `json:"millis"`  // mean per request
	Cost       wire.Cost       `json:"cost"`
}

// RefusalCount counts the refusals with the same pipeline, team, reason and executed value.
type RefusalCount struct {
	Pipeline wire.PipelineID `json:"pipeline"`
	Team     wire.TeamID     `json:"team"`
	Reason   wire.Reason     `json:"reason"`
	Executed wire.Executed   `json:"executed"`
	Count    int             `json:"count"`
}

// Quantiles summarises a latency distribution in milliseconds.
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

// collector adds up outcomes. It is not safe for concurrent use.
type collector struct {
	deadline  time.Duration
	total     *stats
	pipelines map[wire.PipelineID]*stats
	stages    map[stageKey]*Stage
	refusals  map[RefusalCount]int
	errors    map[string]int
	perSecond []Counts
}

// stats holds the counts and latencies of one pipeline or of all.
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
	col := &collector{
		deadline:  cfg.Deadline,
		total:     newStats(),
		pipelines: map[wire.PipelineID]*stats{},
		stages:    map[stageKey]*Stage{},
		refusals:  map[RefusalCount]int{},
		errors:    map[string]int{},
		perSecond: make([]Counts, int(cfg.Duration/time.Second)+1),
	}
	for _, r := range cfg.Rates {
		col.pipelines[r.Pipeline] = newStats()
	}
	return col
}

// shed counts a request that was due but not sent.
func (col *collector) shed(a arrival) {
	for _, c := range []*Counts{&col.total.Counts, &col.pipelines[a.pipeline].Counts, &col.perSecond[a.offset/time.Second]} {
		c.Due++
		c.Shed++
	}
}

// add counts a request that was sent.
func (col *collector) add(o outcome) {
	st := col.pipelines[o.arrival.pipeline]
	for _, c := range []*Counts{&col.total.Counts, &st.Counts, &col.perSecond[o.arrival.offset/time.Second]} {
		c.add(o, col.deadline)
	}
	switch {
	case o.err != nil:
		col.errors[errorKind(o.err)]++
	case o.refusal != nil:
		r := o.refusal
		col.refusals[RefusalCount{Pipeline: o.arrival.pipeline, Team: r.Team, Reason: r.Reason, Executed: r.Executed}]++
	default:
		col.total.record(o)
		st.record(o)
		col.addStages(o)
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

// record adds the latencies of an answered request.
func (st *stats) record(o outcome) {
	recordLatency(st.latency, o.latency)
	if o.firstChunk > 0 {
		recordLatency(st.firstChunk, o.firstChunk)
	}
}

// recordLatency adds a latency to a histogram in microseconds, limited to 1 µs to maxLatency.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(max(1, min(d, maxLatency).Microseconds())) // cannot fail: the value is in range
}

// addStages adds the stages of an answer.
func (col *collector) addStages(o outcome) {
	for _, a := range o.answer.Stages {
		key := stageKey{o.arrival.pipeline, a.Stage}
		s := col.stages[key]
		if s == nil {
			s = &Stage{Pipeline: key.pipeline, Stage: key.stage}
			col.stages[key] = s
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

// report returns the report of the run. It may be called once, because it turns the stages'
// sums of milliseconds into means.
func (col *collector) report() *Report {
	r := &Report{
		Counts: col.total.withAttainment(), WorstSecond: 1, Errors: col.errors,
		Latency: quantiles(col.total.latency), FirstChunk: quantiles(col.total.firstChunk),
		Pipelines: []Pipeline{}, Stages: []Stage{}, Refusals: []RefusalCount{}, PerSecond: []Counts{},
	}
	for _, name := range slices.Sorted(maps.Keys(col.pipelines)) {
		st := col.pipelines[name]
		r.Pipelines = append(r.Pipelines, Pipeline{name, st.withAttainment(), quantiles(st.latency), quantiles(st.firstChunk)})
	}
	for _, s := range col.stages {
		s.MeanMillis /= float64(s.Requests)
		r.Stages = append(r.Stages, *s)
	}
	slices.SortFunc(r.Stages, func(a, b Stage) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Stage, b.Stage))
	})
	for c, n := range col.refusals {
		c.Count = n
		r.Refusals = append(r.Refusals, c)
	}
	slices.SortFunc(r.Refusals, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Executed, b.Executed))
	})
	for _, c := range col.perSecond {
		c = c.withAttainment()
		r.PerSecond = append(r.PerSecond, c)
		if c.Due > 0 {
			r.WorstSecond = min(r.WorstSecond, c.Attainment)
		}
	}
	return r
}

// withAttainment returns a copy of c with Attainment computed.
func (c Counts) withAttainment() Counts {
	if c.Due > 0 {
		c.Attainment = float64(c.Attained) / float64(c.Due)
	}
	return c
}

// quantiles converts a histogram in microseconds to quantiles in milliseconds.
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

// WriteText writes the report as plain-text tables.
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
