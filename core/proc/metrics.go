package proc

import (
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	// maxSeries bounds the series that a process exposes.
	maxSeries = 2048
	// reportEvery is how often counts move from the scope to the exposition.
	reportEvery = time.Second
	// Other is the value of a Label for all values over its bound.
	Other = "other"
)

// metrics is the root scope with its Prometheus registry.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
	series   *series
}

func newMetrics(l *log.Logger) *metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError:  func(err error) { l.Error("metric not registered", "error", err) },
	})
	bounded := &series{CachedStatsReporter: reporter, log: l, seen: map[string]struct{}{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "hornbeamcove",
		CachedReporter:         bounded,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &metrics{scope, closer, registry, bounded}
}

func (m *metrics) close() error { return m.closer.Close() }

// series passes at most maxSeries series on to its reporter; others are not
// exposed, and the discard is counted and the first one logged.
type series struct {
	tally.CachedStatsReporter
	log *log.Logger

	mu      sync.Mutex
	seen    map[string]struct{}
	dropped uint64
}

type seriesView struct {
	Count   int    `json:"count"`
	Dropped uint64 `json:"dropped"`
}

func (s *series) view() seriesView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return seriesView{len(s.seen), s.dropped}
}

func (s *series) admit(name string, tags map[string]string) bool {
	var key strings.Builder
	key.WriteString(name)
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		key.WriteString("\x00" + k + "\x00" + tags[k])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.seen[key.String()]; ok {
		return true
	}
	if len(s.seen) < maxSeries {
		s.seen[key.String()] = struct{}{}
		return true
	}
	if s.dropped++; s.dropped == 1 {
		s.log.Warn("metric series over the bound are not exposed", "bound", maxSeries, "metric", name)
	}
	return false
}

// AllocateCounter implements tally.CachedStatsReporter.
func (s *series) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	if !s.admit(name, tags) {
		return discard{}
	}
	return s.CachedStatsReporter.AllocateCounter(name, tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (s *series) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	if !s.admit(name, tags) {
		return discard{}
	}
	return s.CachedStatsReporter.AllocateGauge(name, tags)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (s *series) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	if !s.admit(name, tags) {
		return discard{}
	}
	return s.CachedStatsReporter.AllocateTimer(name, tags)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (s *series) AllocateHistogram(name string, tags map[string]string, b tally.Buckets) tally.CachedHistogram {
	if !s.admit(name, tags) {
		return discard{}
	}
	return s.CachedStatsReporter.AllocateHistogram(name, tags, b)
}

// discard is a metric of any sort that is not exposed.
type discard struct{}

func (discard) ReportCount(int64)                                    {}
func (discard) ReportGauge(float64)                                  {}
func (discard) ReportTimer(time.Duration)                            {}
func (discard) ReportSamples(int64)                                  {}
func (discard) ValueBucket(_, _ float64) tally.CachedHistogramBucket { return discard{} }
func (discard) DurationBucket(_, _ time.Duration) tally.CachedHistogramBucket {
	return discard{}
}

// Label bounds the values of one label, since a scope keeps every value it was
// tagged with for the life of the process. It is safe for concurrent use.
type Label struct {
	bound int
	mu    sync.Mutex
	seen  map[string]struct{}
}

// NewLabel returns a label with at most bound values.
func NewLabel(bound int) *Label {
	return &Label{bound: bound, seen: make(map[string]struct{})}
}

// Value returns v if it is among the first values up to the bound, else Other.
func (l *Label) Value(v string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.seen[v]; ok {
		return v
	}
	if len(l.seen) >= l.bound {
		return Other
	}
	l.seen[v] = struct{}{}
	return v
}
