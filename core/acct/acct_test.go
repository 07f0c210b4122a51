package acct

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hornbeamcove.example/core/wire"
)

var (
	noon = time.Date(2026, 3, 1, 12, 0, 30, 0, time.UTC) // not the start of a minute
	cost = wire.Cost{Input: 10, Cached: 4, Output: 5, Calls: 1, Busy: 900}
)

func refusal(team string, reason wire.Reason) Refusal {
	return Refusal{Request: "r", Team: wire.TeamID(team), Pipeline: "plan", Reason: reason, Executed: wire.ExecutedNone}
}

func stageRun(cause wire.Reason) StageRun {
	return StageRun{
		Ref: wire.Ref{Request: "r", Stage: "fold", Attempt: 1}, Team: "folders", Pipeline: "plan", Upstream: "u1",
		Took: time.Millisecond, Cost: cost, Wasted: cause != "", Cause: cause,
	}
}

// TestRows guards against wasted runs counted as useful ones, rows that mix
// reasons, and filters that select the wrong rows.
func TestRows(t *testing.T) {
	b := NewBook()
	b.RecordRefusal(noon, refusal("folders", wire.ReasonQueue))
	b.RecordRefusal(noon, Refusal{Team: "folders", Pipeline: "plan", Reason: wire.ReasonQueue, Executed: wire.ExecutedSome})
	b.RecordRefusal(noon.Add(time.Minute), refusal("gliders", wire.ReasonDeadline))
	b.RecordStageRun(noon, stageRun(""))
	b.RecordStageRun(noon, stageRun(""))
	b.RecordStageRun(noon, stageRun(wire.ReasonCrashed))
	start := noon.Truncate(time.Minute)
	refused := Row{Minute: start, Team: "folders", Pipeline: "plan", Reason: "queue", Refused: Refused{None: 1, Some: 1}}
	useful := Row{Minute: start, Team: "folders", Pipeline: "plan", Stage: "fold", Runs: 2, Cost: wire.Cost{Input: 20, Cached: 8, Output: 10, Calls: 2, Busy: 1800}}
	wasted := Row{Minute: start, Team: "folders", Pipeline: "plan", Stage: "fold", Reason: "crashed", Runs: 1, Cost: cost}
	nextMinute := Row{Minute: start.Add(time.Minute), Team: "gliders", Pipeline: "plan", Reason: "deadline", Refused: Refused{None: 1}}
	for name, c := range map[string]struct {
		filter Filter
		want   []Row
	}{
		"all":      {Filter{}, []Row{refused, useful, wasted, nextMinute}},
		"team":     {Filter{Team: "gliders"}, []Row{nextMinute}},
		"pipeline": {Filter{Pipeline: "none"}, nil},
		"stage":    {Filter{Stage: "fold"}, []Row{useful, wasted}},
		"reason":   {Filter{Reason: "queue"}, []Row{refused}},
		"since":    {Filter{Since: start.Add(time.Second)}, []Row{nextMinute}},
		"until":    {Filter{Until: start.Add(time.Minute)}, []Row{refused, useful, wasted}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, b.Rows(c.filter), c.want) })
	}
	totals := b.Totals()
	assert.DeepEqual(t, totals.Useful, Sum{Runs: 2, Cost: useful.Cost})
	assert.DeepEqual(t, totals.Reasons["crashed"], Sum{Runs: 1, Cost: cost})
	assert.DeepEqual(t, totals.Reasons["queue"], Sum{Refused: Refused{None: 1, Some: 1}})
}

// TestBounds guards against unbounded growth of rows, minutes, names and reasons,
// and against entries lost at a limit.
func TestBounds(t *testing.T) {
	b := NewBook()
	for i := range MaxRows + 3 {
		b.RecordRefusal(noon, refusal(fmt.Sprint("t", i), wire.ReasonQueue))
	}
	rows := b.Rows(Filter{})
	assert.Equal(t, len(rows), MaxRows+1)
	assert.Assert(t, rows[0].Overflow && rows[0].Refused.None == 3)
	assert.Equal(t, b.Totals().Overflow, uint64(3))

	for i := range 2 * RetainedMinutes {
		b.RecordRefusal(noon.Add(time.Duration(i)*time.Minute), refusal("t0", wire.ReasonQueue))
	}
	b.RecordRefusal(noon, refusal("t0", wire.ReasonQueue))
	rows = b.Rows(Filter{})
	assert.Equal(t, len(rows), RetainedMinutes+1)
	assert.Equal(t, rows[0].Minute, noon.Truncate(time.Minute).Add(RetainedMinutes*time.Minute))
	b.RecordRefusal(noon.Add(24*time.Hour), refusal("t0", wire.ReasonQueue))
	assert.Equal(t, len(b.Rows(Filter{})), 1)

	for i := range 2 * maxReasons {
		b.RecordRefusal(noon, refusal(strings.Repeat("x", 1000), wire.Reason(fmt.Sprint("r", i))))
	}
	assert.Equal(t, len(b.Totals().Reasons), maxReasons+1)
	b.RecordRefusal(noon.Add(24*time.Hour), refusal(strings.Repeat("x", 1000), wire.ReasonQueue))
	assert.Equal(t, len(b.Rows(Filter{Team: wire.TeamID(strings.Repeat("x", maxNameBytes))})), 1)
}

// recordingLogger counts log lines by message and keeps the last reported number of
// dropped lines.
type recordingLogger struct {
	mu      sync.Mutex
	count   map[string]int
	dropped any
}

func (r *recordingLogger) Info(msg any, _ ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[msg.(string)]++
}

func (r *recordingLogger) Warn(msg any, kv ...any) {
	r.Info(msg)
	r.dropped = kv[1]
}

// TestLines guards against entries without a log line and against lines that are
// dropped without being counted.
func TestLines(t *testing.T) {
	logger := &recordingLogger{count: map[string]int{}}
	b := NewBook(WithLogger(logger))
	for range maxQueuedLines - 1 {
		b.RecordRefusal(noon, refusal("folders", wire.ReasonQueue))
	}
	for range 3 {
		b.RecordStageRun(noon, stageRun(wire.ReasonCrashed))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, b.Run(ctx), context.Canceled)
	assert.DeepEqual(t, logger.count, map[string]int{"request refused": maxQueuedLines - 1, "stage run": 1, "log lines dropped": 1})
	assert.Equal(t, logger.dropped, uint64(2))
	assert.Equal(t, b.Totals().Dropped, uint64(2))
}

// TestConserved guards against entries that are missing from the rows or from the
// totals.
func TestConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		refused, runs := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "entries") {
			at := noon.Add(time.Duration(rapid.IntRange(0, RetainedMinutes-1).Draw(t, "minute")) * time.Minute)
			reason := rapid.SampledFrom([]wire.Reason{"queue", "busy", ""}).Draw(t, "reason")
			if rapid.Bool().Draw(t, "run") {
				b.RecordStageRun(at, stageRun(reason))
				runs++
				continue
			}
			b.RecordRefusal(at, refusal("folders", reason))
			refused++
		}
		var sum Sum
		for _, r := range b.Rows(Filter{}) {
			sum.Refused.addAll(r.Refused)
			sum.Runs += uint64(r.Runs)
			addCost(&sum.Cost, r.Cost)
		}
		assert.Equal(t, sum.Refused.None, uint32(refused))
		assert.Equal(t, sum.Runs, uint64(runs))
		assert.Equal(t, sum.Cost.Busy, wire.Micros(runs)*cost.Busy)
		total := b.Totals().Useful
		for _, s := range b.Totals().Reasons {
			total.Refused.addAll(s.Refused)
			total.Runs += s.Runs
			addCost(&total.Cost, s.Cost)
		}
		assert.DeepEqual(t, total, sum)
	})
}

// BenchmarkFull reports the heap size in MiB of a Book with the maximum number of
// rows.
func BenchmarkFull(b *testing.B) {
	teams := make([]string, MaxRows)
	for i := range teams {
		teams[i] = fmt.Sprint("team-", i)
	}
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		before := heap()
		book := NewBook()
		for m := range RetainedMinutes {
			for _, team := range teams {
				r := stageRun("")
				r.Team = wire.TeamID(team)
				book.RecordStageRun(noon.Add(time.Duration(m)*time.Minute), r)
			}
		}
		b.ReportMetric((heap()-before)/(1<<20), "MiB/book")
		runtime.KeepAlive(book)
	}
}

func BenchmarkStage(b *testing.B) {
	book := NewBook()
	for b.Loop() {
		book.RecordStageRun(noon, stageRun(""))
	}
}
