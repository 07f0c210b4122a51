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

// maxLines bounds the log lines that wait to be written.
const maxLines = 1024

// lines is the queue of log lines between the data path and the log. At its
// bound a line is dropped and counted, so that a slow log delays no request. A
// nil queue drops lines silently.
type lines struct {
	log     Logger
	queue   chan line
	dropped atomic.Uint64
	told    uint64 // dropped lines already logged; only Run uses it
}

// line is one entry; exactly one field is set.
type line struct {
	refusal *Refusal
	run     *StageRun
}

func newLines(l Logger) *lines {
	return &lines{log: l, queue: make(chan line, maxLines)}
}

func (l *lines) refusal(r Refusal) {
	if l != nil {
		l.push(line{refusal: &r})
	}
}

func (l *lines) stage(r StageRun) {
	if l != nil {
		l.push(line{run: &r})
	}
}

func (l *lines) push(n line) {
	select {
	case l.queue <- n:
	default:
		l.dropped.Add(1)
	}
}

func (l *lines) droppedLines() uint64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

// Run writes log lines until ctx ends, then those that still wait, and returns
// the error of ctx.
func (b *Book) Run(ctx context.Context) error {
	if b.lines == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	for {
		select {
		case n := <-b.lines.queue:
			b.lines.write(n)
		case <-ctx.Done():
			b.lines.flush()
			return ctx.Err()
		}
	}
}

func (l *lines) flush() {
	for {
		select {
		case n := <-l.queue:
			l.write(n)
		default:
			l.tell()
			return
		}
	}
}

func (l *lines) write(n line) {
	l.tell()
	if r := n.refusal; r != nil {
		l.log.Info("request refused", "request", string(r.Request), "team", string(r.Team),
			"pipeline", string(r.Pipeline), "stage", string(r.Stage), "reason", string(r.Reason),
			"executed", string(r.Executed))
		return
	}
	r := n.run
	l.log.Info("stage run", "request", string(r.Ref.Request), "team", string(r.Team),
		"pipeline", string(r.Pipeline), "stage", string(r.Ref.Stage), "attempt", int(r.Ref.Attempt),
		"upstream", string(r.Upstream), "centre", string(r.Centre), "micros", r.Took.Microseconds(),
		"cost", r.Cost, "wasted", r.Wasted, "cause", string(r.Cause))
}

// tell logs how many lines were dropped since it last did.
func (l *lines) tell() {
	dropped := l.dropped.Load()
	if dropped == l.told {
		return
	}
	l.log.Warn("log lines dropped", "lines", dropped-l.told, "total", dropped)
	l.told = dropped
}
