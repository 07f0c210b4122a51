package entry

import (
	"context"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// lagInterval is the interval at which the lag of the scheduler is measured.
	lagInterval = 100 * time.Millisecond
	// lagReportThreshold is the lag from which the process counts as short of processor in
	// its log, and lagReportInterval the shortest time between two such lines.
	lagReportThreshold = 150 * time.Millisecond
	lagReportInterval  = time.Second
)

// lagMonitor measures for how long goroutines of this process that could run wait for the
// processor. It is safe for concurrent use.
type lagMonitor struct {
	lag atomic.Int64 // time.Duration
}

// current returns the lag that was measured last.
func (m *lagMonitor) current() time.Duration { return time.Duration(m.lag.Load()) }

// watchLag measures the lag until ctx is done, and logs it while the process is short of
// processor. A freeze of the process counts as lag too.
func (s *Server) watchLag(ctx context.Context) error {
	tick := s.clock.Subscribe(lagInterval, "lag")
	defer tick.Close()
	var reported time.Time
	latencies := newLatencySampler()
	for {
		select {
		case t := <-tick.C:
			now := time.Now()
			lag := t.Late + now.Sub(t.Now)
			s.lag.lag.Store(int64(lag))
			s.scope().Timer("scheduler_lag").Record(lag)
			if lag < lagReportThreshold || now.Sub(reported) < lagReportInterval {
				continue
			}
			reported = now
			wait, gc := latencies.sample()
			queues, pieces := 0, 0
			for _, l := range s.queues.ownedLoads(now) {
				queues++
				pieces += l.Waiting + l.Late
			}
			s.log.Warn("short of processor", "lag_ms", lag.Milliseconds(), "longest_wait_ms", wait.Milliseconds(), "gc_share", gc,
				"goroutines", runtime.NumGoroutine(), "requests", s.inFlight.Load(), "queues", queues, "pieces", pieces)
			s.incCounter("processor_short")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// latencySampler reads the runtime's own measurements.
type latencySampler struct {
	samples []metrics.Sample
	counts  []uint64 // of the scheduling latencies at the last sample
	gc, all float64  // processor seconds at the last sample
}

func newLatencySampler() *latencySampler {
	l := &latencySampler{samples: []metrics.Sample{
		{Name: "/sched/latencies:seconds"}, {Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/total:cpu-seconds"},
	}}
	l.sample()
	return l
}

// sample returns the longest time that a goroutine waited for a processor since the last
// call, rounded down to a bucket of the runtime's histogram, and the share of the processor
// time that went to garbage collection, as of the last collection.
func (l *latencySampler) sample() (wait time.Duration, gcShare float64) {
	metrics.Read(l.samples)
	h := l.samples[0].Value.Float64Histogram()
	for i, n := range h.Counts {
		if l.counts == nil || n > l.counts[i] {
			wait = time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
		}
	}
	l.counts = append(l.counts[:0], h.Counts...)
	gc, all := l.samples[1].Value.Float64(), l.samples[2].Value.Float64()
	if all > l.all {
		gcShare = (gc - l.gc) / (all - l.all)
	}
	l.gc, l.all = gc, all
	return wait, gcShare
}
