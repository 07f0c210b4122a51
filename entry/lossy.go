package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines bounds the log lines that wait for standard output.
	maxQueuedLines = 2048
	// maxLinesPerSecond and lineBurst bound the lines written per second.
	maxLinesPerSecond = 400
	lineBurst         = 800
	// dropReportInterval is how often the number of discarded lines is reported.
	dropReportInterval = time.Second
)

// lossyWriter passes log lines on to a writer that may block. Lines over the bounds
// are discarded and counted, so that logging never delays a request. It is safe for
// concurrent use.
type lossyWriter struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

func newLossyWriter(out io.Writer) *lossyWriter {
	return &lossyWriter{out: out, lines: make(chan []byte, maxQueuedLines), limit: rate.NewLimiter(maxLinesPerSecond, lineBurst)}
}

// Write implements io.Writer for one line.
func (l *lossyWriter) Write(b []byte) (int, error) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return len(b), nil
	}
	select {
	case l.lines <- bytes.Clone(b):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// run writes lines until ctx is done, and then those that still wait.
func (l *lossyWriter) run(ctx context.Context) {
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case b := <-l.lines:
			_, _ = l.out.Write(b) // there is nowhere to report a failure to
		case <-tick.C:
			l.report()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *lossyWriter) flush() {
	for {
		select {
		case b := <-l.lines:
			_, _ = l.out.Write(b)
		default:
			l.report()
			return
		}
	}
}

func (l *lossyWriter) report() {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(l.out, "{\"time\":%q,\"level\":\"warn\",\"msg\":\"log lines discarded\",\"lines\":%d}\n",
			time.Now().UTC().Format(time.RFC3339Nano), n)
	}
}
