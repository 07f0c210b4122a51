package acct

import (
	"context"
	"sync/atomic"
)

// Logger writes log lines; *log.Logger of charmbracelet/log is one.
type Logger interface {
	Info(msg any, keyvals ...any)
	Warn(msg any, keyvals ...any)
}

// maxQueuedLines bounds the log lines that wait to be written.
const maxQueuedLines = 1024

// logQueue is the queue of log lines between the data path and the log. At its
// bound a line is dropped and counted, so that a slow log delays no request. A
// nil queue drops lines silently.
type logQueue struct {
	logger   Logger
	entries  chan logEntry
	dropped  atomic.Uint64
	reported uint64 // dropped lines already logged; only Run uses it
}

// logEntry is one entry; exactly one field is set.
type logEntry struct {
	refusal *Refusal
	run     *StageRun
}

func newLogQueue(l Logger) *logQueue {
	return &logQueue{logger: l, entries: make(chan logEntry, maxQueuedLines)}
}

func (l *logQueue) enqueueRefusal(r Refusal) {
	if l != nil {
		l.enqueue(logEntry{refusal: &r})
	}
}

func (l *logQueue) enqueueStageRun(r StageRun) {
	if l != nil {
		l.enqueue(logEntry{run: &r})
	}
}

func (l *logQueue) enqueue(n logEntry) {
	select {
	case l.entries <- n:
	default:
		l.dropped.Add(1)
	}
}

func (l *logQueue) droppedCount() uint64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

// Run writes log lines until ctx ends, then those that still wait, and returns
// the error of ctx.
func (b *Book) Run(ctx context.Context) error {
	if b.logQueue == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	for {
		select {
		case n := <-b.logQueue.entries:
			b.logQueue.write(n)
		case <-ctx.Done():
			b.logQueue.flush()
			return ctx.Err()
		}
	}
}

func (l *logQueue) flush() {
	for {
		select {
		case n := <-l.entries:
			l.write(n)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *logQueue) write(n logEntry) {
	l.reportDropped()
	if r := n.refusal; r != nil {
		l.logger.Info("request refused", "request", string(r.Request), "team", string(r.Team),
			"pipeline", string(r.Pipeline), "stage", string(r.Stage), "reason", string(r.Reason),
			"executed", string(r.Executed))
		return
	}
	r := n.run
	l.logger.Info("stage run", "request", string(r.Ref.Request), "team", string(r.Team),
		"pipeline", string(r.Pipeline), "stage", string(r.Ref.Stage), "attempt", int(r.Ref.Attempt),
		"upstream", string(r.Upstream), "centre", string(r.Centre), "micros", r.Took.Microseconds(),
		"cost", r.Cost, "wasted", r.Wasted, "cause", string(r.Cause))
}

// reportDropped logs how many lines were dropped since it last did.
func (l *logQueue) reportDropped() {
	dropped := l.dropped.Load()
	if dropped == l.reported {
		return
	}
	l.logger.Warn("log lines dropped", "lines", dropped-l.reported, "total", dropped)
	l.reported = dropped
}
