package acct

import (
	"context"
	"sync/atomic"
)

// Logger writes log lines. The *log.Logger of charmbracelet/log implements it.
type Logger interface {
	Info(msg any, keyvals ...any)
	Warn(msg any, keyvals ...any)
}

// maxQueuedLines is the capacity of the queue of log lines.
const maxQueuedLines = 1024

// logQueue passes log lines from the data path to the goroutine of Run. When it is
// full, lines are dropped and counted, so that a slow log delays no request. A nil
// logQueue discards lines without counting them.
type logQueue struct {
	logger   Logger
	entries  chan logEntry
	dropped  atomic.Uint64
	reported uint64 // value of dropped when last logged; used only by the goroutine of Run
}

// logEntry is one line to log; exactly one field is set.
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

func (l *logQueue) enqueue(e logEntry) {
	select {
	case l.entries <- e:
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

// Run writes log lines until ctx is done, then writes the lines still queued and
// returns the error of ctx.
func (b *Book) Run(ctx context.Context) error {
	if b.logQueue == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	for {
		select {
		case e := <-b.logQueue.entries:
			b.logQueue.write(e)
		case <-ctx.Done():
			b.logQueue.flush()
			return ctx.Err()
		}
	}
}

// flush writes the queued lines and returns when the queue is empty.
func (l *logQueue) flush() {
	for {
		select {
		case e := <-l.entries:
			l.write(e)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *logQueue) write(e logEntry) {
	l.reportDropped()
	if r := e.refusal; r != nil {
		l.logger.Info("request refused", "request", string(r.Request), "team", string(r.Team),
			"pipeline", string(r.Pipeline), "stage", string(r.Stage), "reason", string(r.Reason),
			"executed", string(r.Executed))
		return
	}
	r := e.run
	l.logger.Info("stage run", "request", string(r.Ref.Request), "team", string(r.Team),
		"pipeline", string(r.Pipeline), "stage", string(r.Ref.Stage), "attempt", int(r.Ref.Attempt),
		"upstream", string(r.Upstream), "centre", string(r.Centre), "micros", r.Took.Microseconds(),
		"cost", r.Cost, "wasted", r.Wasted, "cause", string(r.Cause))
}

// reportDropped logs the number of lines dropped since its last report, if any.
func (l *logQueue) reportDropped() {
	dropped := l.dropped.Load()
	if dropped == l.reported {
		return
	}
	l.logger.Warn("log lines dropped", "lines", dropped-l.reported, "total", dropped)
	l.reported = dropped
}
