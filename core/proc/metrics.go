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
	// reportInterval is how often counts move from the scope to the exposition.
	reportInterval = time.Second
	// Other is the value of a Label for all values over its bound.
	Other = "other"
)

// metrics is the root scope with its Prometheus registry.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
	series   *seriesLimiter
}

func newMetrics(l *log.Logger) *metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError:  func(err error) { l.Error("metric not registered", "error", err) },
	})
	bounded := &seriesLimiter{CachedStatsReporter: reporter, log: l, seen: map[string]struct{}{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "hornbeamcove",
		CachedReporter:         bounded,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{scope, closer, registry, bounded}
}

func (m *metrics) close() error { return m.closer.Close() }

// seriesLimiter passes at most maxSeries series on to its reporter; others are not
// exposed, and the discard is counted and the first one logged.
type seriesLimiter struct {
	tally.CachedStatsReporter
	log *log.Logger

	mu      sync.Mutex
	seen    map[string]struct{}
	dropped uint64
}

type seriesStats struct {
	Count   int    `json:"count"`
	Dropped uint64 `json:"dropped"`
}

func (s *seriesLimiter) stats() seriesStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return seriesStats{len(s.seen), s.dropped}
}

func (s *seriesLimiter) admit(name string, tags map[string]string) bool {
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
func (s *seriesLimiter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	if !s.admit(name, tags) {
		return noopMetric{}
	}
	return s.CachedStatsReporter.AllocateCounter(name, tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (s *seriesLimiter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	if !s.admit(name, tags) {
		return noopMetric{}
	}
	return s.CachedStatsReporter.AllocateGauge(name, tags)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (s *seriesLimiter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	if !s.admit(name, tags) {
		return noopMetric{}
	}
	return s.CachedStatsReporter.AllocateTimer(name, tags)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (s *seriesLimiter) AllocateHistogram(name string, tags map[string]string, b tally.Buckets) tally.CachedHistogram {
	if !s.admit(name, tags) {
		return noopMetric{}
	}
	return s.CachedStatsReporter.AllocateHistogram(name, tags, b)
}

// noopMetric is a metric of any sort that is not exposed.
type noopMetric struct{}

func (noopMetric) ReportCount(int64)                                    {}
func (noopMetric) ReportGauge(float64)                                  {}
func (noopMetric) ReportTimer(time.Duration)                            {}
func (noopMetric) ReportSamples(int64)                                  {}
func (noopMetric) ValueBucket(_, _ float64) tally.CachedHistogramBucket { return noopMetric{} }
func (noopMetric) DurationBucket(_, _ time.Duration) tally.CachedHistogramBucket {
	return noopMetric{}
}

// LabelLimiter bounds the values of one label, since a scope keeps every value it was
// tagged with for the life of the process. It is safe for concurrent use.
type LabelLimiter struct {
	limit int
	mu    sync.Mutex
	seen  map[string]struct{}
}

// NewLabelLimiter returns a label with at most bound values.
func NewLabelLimiter(bound int) *LabelLimiter {
	return &LabelLimiter{limit: bound, seen: make(map[string]struct{})}
}

// Value returns v if it is among the first values up to the bound, else Other.
func (l *LabelLimiter) Value(v string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.seen[v]; ok {
		return v
	}
	if len(l.seen) >= l.limit {
		return Other
	}
	l.seen[v] = struct{}{}
	return v
}
